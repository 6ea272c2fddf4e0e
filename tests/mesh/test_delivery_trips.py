"""A non-idempotent request at its deadline: rejected if it is not sent, else open until its outcome."""

from __future__ import annotations

import math
import random
import unittest
from types import SimpleNamespace
from typing import Any
from unittest import mock

from minthitch.mesh.configuration.errors import REPLIES, ErrorKind
from minthitch.mesh.configuration.routes import Route
from minthitch.mesh.idempotency.operations import OperationState, OperationTable
from minthitch.mesh.sidecar.exchange import Attempt, Exchange
from rigs.simulation.loop import VirtualLoop

DEADLINE = 1.0


class AttemptDispatcher:
    """Takes attempts; `whole` tells how much of each is sent: nothing (None), a part, or all."""

    def __init__(self, whole: bool | None) -> None:
        self.whole = whole
        self.sent: list[Attempt] = []
        self.cancelled: list[Attempt] = []

    def new_attempt(self, exchange: Exchange, endpoint: Any, now: float) -> Attempt:
        return Attempt(1, exchange, endpoint, now)

    def send(self, attempt: Attempt, message: Any) -> None:
        self.sent.append(attempt)
        if self.whole is not None:
            attempt.outgoing = SimpleNamespace(fully_sent=self.whole)

    def cancel(self, attempt: Attempt) -> None:
        self.cancelled.append(attempt)


class Deadlines(unittest.TestCase):
    def play(self, whole: bool | None, limit: float = DEADLINE) -> None:
        """A keyed request whose claim is granted, up to just after its deadline or an earlier `limit`."""
        loop, self.statuses = VirtualLoop(1), list[int]()
        self.dispatcher, operations = AttemptDispatcher(whole), OperationTable(60.0)
        budget = mock.Mock()
        budget.remaining.return_value = 0
        sidecar: Any = SimpleNamespace(
            answer_by=math.inf,
            loop=loop,
            caller=b"svc",
            random=random.Random(1),
            load_balancer=SimpleNamespace(pick=lambda *_: [SimpleNamespace(server_id="life", ip="10.0.0.2")]),
            retry_budget=SimpleNamespace(budget_for=lambda service: budget),
            dispatcher=self.dispatcher,
            keys=SimpleNamespace(operations=operations),
            count_error=lambda kind, route: None,
            on_exchange_closed=lambda exchange: None,
            claim_key=lambda exchange: exchange.on_claim_granted(operations.begin(b"k", b"claim", b"d", 0.0)),
        )
        client: Any = SimpleNamespace(
            token=1, respond=lambda token, status, fields, body: self.statuses.append(status)
        )
        request: Any = SimpleNamespace(
            fields={b"x-request-id": b"1"}, forwarded_fields=[], method=b"POST", target=b"/", body=b""
        )
        self.exchange = Exchange(
            sidecar, client, request, Route("r", "keyed", 5.0, 0.5, 1, 2, ()), "s", 0.0, DEADLINE, False
        )
        self.exchange.start()
        self.exchange.limit_deadline(limit)
        loop.run_until(min(limit, DEADLINE) + 0.1)
        self.operation = operations.by_claim_id[b"claim"]

    def test_a_request_not_sent_or_sent_in_part_is_withdrawn_and_rejected(self) -> None:
        for whole in (None, False):
            self.play(whole)
            self.assertEqual(self.statuses, [REPLIES[ErrorKind.NO_TIME].status])
            self.assertEqual((self.dispatcher.cancelled, self.exchange.closed), (self.dispatcher.sent, True))
            self.assertEqual((len(self.dispatcher.sent), self.operation.state), (1, OperationState.NOT_RUN))

    def test_a_request_that_was_sent_stays_open_until_its_outcome(self) -> None:
        self.play(True)
        self.assertEqual(self.statuses, [REPLIES[ErrorKind.DEADLINE].status])
        self.assertEqual((self.dispatcher.cancelled, self.exchange.closed), ([], False))
        self.assertEqual(self.operation.state, OperationState.IN_PROGRESS)
        self.exchange.on_lost(self.dispatcher.sent[0])
        self.assertEqual(
            (self.operation.state, len(self.statuses), self.exchange.closed),
            (OperationState.UNKNOWN, 1, True),
        )

    def test_a_limit_before_the_deadline_ends_it_then_and_a_later_one_changes_nothing(self) -> None:
        for whole, kind in ((True, ErrorKind.DEADLINE), (None, ErrorKind.NO_TIME)):
            self.play(whole, DEADLINE / 2)
            self.assertEqual(self.statuses, [REPLIES[kind].status])
        self.play(True, 2 * DEADLINE)
        self.assertEqual(self.statuses, [REPLIES[ErrorKind.DEADLINE].status])

    def test_the_log_states_where_it_is(self) -> None:
        self.play(True)
        self.assertEqual(self.exchange.describe(1.0), "sent to 10.0.0.2 1.0 s ago")
        self.dispatcher.sent[0].outgoing = None
        self.assertEqual(self.exchange.describe(1.0), "not sent to 10.0.0.2 1.0 s ago")
        self.exchange.in_flight.clear()
        self.assertEqual(self.exchange.describe(1.0), "between attempts, 1 made")
        self.exchange.operation = None
        self.assertEqual(self.exchange.describe(1.0), "waiting for its key, claimed by no known sidecar")


if __name__ == "__main__":
    unittest.main()
