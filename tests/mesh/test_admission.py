"""Admission in front of a fake server: server runs, late heartbeats, rejected and cancelled calls."""

from __future__ import annotations

import asyncio
import math
import time
import unittest
from types import SimpleNamespace
from typing import Any, Literal
from unittest import mock

from minthitch.engine.calls import Message
from minthitch.interface import Status
from minthitch.mesh.configuration.calls import Heartbeat, Stat, Summary
from minthitch.mesh.configuration.routes import Route
from minthitch.mesh.http.upstream import NOT_RUN, RAN, UNKNOWN, Outcome, Upstream, UpstreamCall
from minthitch.mesh.http.upstream import ServerPool as RealServerPool
from minthitch.mesh.sidecar.admission import AT_MOST_ONCE, MAX_RETRY_QUEUE_S, RETRY, Admission
from minthitch.mesh.sidecar.exchange import Exchange
from minthitch.mesh.transport import ops
from minthitch.net.callers import Incoming
from rigs.simulation.loop import Machine, VirtualLoop
from tests.mesh.test_events import unwritable_log


class ServerPool:
    """Keeps calls until the test ends them."""

    def __init__(self) -> None:
        self.upstream_calls: list[UpstreamCall] = []

    def run(self, upstream_call: UpstreamCall) -> None:
        self.upstream_calls.append(upstream_call)

    def hang_up(self, server: Any) -> None:
        pass

    def unsent_bytes(self) -> int:
        return 0

    def close(self) -> None:
        pass


def heartbeat(state: Literal["up", "draining"], seq: int, slots: int = 1) -> Heartbeat:
    return Heartbeat("a", Summary("s", slots, "1", "z"), Stat(state, seq))


class AdmissionTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.server_pool = ServerPool()
        self.admission = Admission("127.0.0.1:9", "s", self.server_pool, lambda: None)  # type: ignore[arg-type]
        self.replies: list[ops.Message] = []
        self.admission.on_heartbeat("one", heartbeat("up", 1))

    def call(self, ident: int, life: str = "one", flags: int = AT_MOST_ONCE) -> None:
        self.admission.call(
            "line",
            self.replies.append,
            (ops.CALL, ident, life, 5.0, 5.0, 1, flags, b"GET", b"/", (), b"", b"id", b"svc", "r"),
        )

    def kinds(self) -> list[tuple[int, int]]:
        return [(message[0], message[1]) for message in self.replies]

    async def test_calls_for_another_server_run_or_a_draining_server_never_reach_it(self) -> None:
        self.call(1, "zero")
        self.admission.on_heartbeat("one", heartbeat("draining", 2))
        self.call(2)
        self.assertEqual(
            (self.kinds(), self.server_pool.upstream_calls), ([(ops.REJECTED, 1), (ops.REJECTED, 2)], [])
        )

    async def test_a_late_heartbeat_of_an_ended_server_run_opens_nothing(self) -> None:
        self.admission.on_heartbeat("two", heartbeat("up", 1))
        self.admission.on_heartbeat("one", heartbeat("up", 9))
        self.assertEqual(self.admission.server_fields()[0], "two")
        self.admission.deregister("two")
        self.admission.on_heartbeat("two", heartbeat("up", 9))
        self.assertEqual(self.admission.server_fields()[2], "none")

    async def test_a_late_heartbeat_of_this_server_run_changes_nothing(self) -> None:
        self.admission.on_heartbeat("one", heartbeat("draining", 5))
        self.admission.on_heartbeat("one", heartbeat("up", 4))
        self.assertEqual(self.admission.server_fields()[2], "draining")

    async def test_a_late_draining_of_this_server_run_closes_the_gate(self) -> None:
        # Guards against: it was acknowledged as late, and calls went on.
        self.admission.on_heartbeat("one", heartbeat("up", 5))
        self.admission.on_heartbeat("one", heartbeat("draining", 4))
        self.call(1)
        self.assertEqual(self.kinds(), [(ops.REJECTED, 1)])

    async def test_a_log_that_cannot_be_written_keeps_no_gate_open(self) -> None:
        # Guards against: the log line of a departure failed, and the server went on getting requests.
        with unwritable_log():
            self.admission.on_heartbeat("one", heartbeat("draining", 2))
            self.call(1)
            self.admission.on_heartbeat("two", heartbeat("up", 1))
            self.admission.deregister("two")
            self.call(2, "two")
        self.assertEqual(self.kinds(), [(ops.REJECTED, 1), (ops.REJECTED, 2)])

    async def test_queued_calls_are_rejected_when_the_server_drains_and_running_ones_go_on(self) -> None:
        self.call(1)
        self.call(2)
        self.admission.on_heartbeat("one", heartbeat("draining", 2))
        self.assertEqual(self.kinds(), [(ops.REJECTED, 2)])
        self.server_pool.upstream_calls[0].finish(Status.OK, Outcome(RAN, 200))
        self.assertEqual(self.kinds()[1:], [(ops.ANSWER, 1)])

    async def test_shutdown_rejects_calls_that_have_not_started_and_starts_no_more(self) -> None:
        loop = asyncio.get_running_loop()
        self.call(1)
        self.call(2)
        self.admission.limit_deadlines(loop.time())
        self.server_pool.upstream_calls[0].finish(Status.OK, Outcome(RAN, 200))
        self.call(3)
        self.assertEqual(self.kinds(), [(ops.ANSWER, 1), (ops.REJECTED, 2), (ops.REJECTED, 3)])
        self.assertEqual(len(self.server_pool.upstream_calls), 1)

    async def test_shutdown_limits_the_deadline_that_the_server_gets(self) -> None:
        self.admission.limit_deadlines(asyncio.get_running_loop().time() + 1.0)
        self.call(1)
        self.assertAlmostEqual(self.server_pool.upstream_calls[0].time_left / 1e9, 1.0, delta=0.1)

    async def test_calls_abandoned_after_long_are_logged_with_their_state(self) -> None:
        long_s = mock.patch("minthitch.mesh.sidecar.admission.LOG_ABANDONED_AFTER_S", 0.0)
        with long_s, self.assertLogs("minthitch") as log:
            self.call(1, flags=0)
            self.call(2, flags=0)
            self.admission.on_connection_lost("line")
        self.assertEqual(len(log.output), 2)
        self.assertRegex(log.output[0], r"E211 call on r abandoned by svc after 0\.\d s: queued$")
        self.assertRegex(
            log.output[1], r"E211 call on r abandoned by svc after 0\.\d s: running for 0\.\d s$"
        )

    async def test_only_a_failed_connect_takes_the_server_out(self) -> None:
        self.call(1)
        self.server_pool.upstream_calls[0].finish(Status.FULL, Outcome(NOT_RUN, 503, reason="turned away"))
        self.assertEqual((self.kinds()[-1], self.replies[-1][3]), ((ops.REJECTED, 1), True))  # it arrived
        self.call(2)
        self.server_pool.upstream_calls[1].finish(Status.RESET, Outcome(UNKNOWN, reason="reset"))
        self.assertEqual(
            (self.kinds()[-1], self.admission.server_fields()[2]), ((ops.OUTCOME_UNKNOWN, 2), "up")
        )
        self.call(3)
        self.server_pool.upstream_calls[2].end(Status.CONNECT_FAILED)
        self.assertEqual((self.kinds()[-1], self.admission.server_fields()[2]), ((ops.REJECTED, 3), "none"))
        self.admission.on_heartbeat("one", heartbeat("up", 2))
        self.assertEqual(self.admission.server_fields()[2], "up")

    async def test_a_lost_connection_cancels_only_idempotent_and_queued_calls(self) -> None:
        self.admission.on_heartbeat("one", heartbeat("up", 2, 2))
        self.call(1)
        self.call(2, flags=0)
        self.call(3)
        self.admission.on_connection_lost("line")
        await asyncio.sleep(0)
        self.assertEqual([e.status for e in self.server_pool.upstream_calls], [None, Status.CANCELLED])
        self.assertEqual((self.admission.gate.running, self.admission.gate.queued), (1, 0))

    async def test_a_retry_too_old_for_its_charge_or_whose_calls_exceed_the_budget_is_not_started(
        self,
    ) -> None:
        self.call(1)
        self.call(2, flags=RETRY)
        self.admission.jobs["line", 2].arrived_at -= MAX_RETRY_QUEUE_S + 0.1
        self.server_pool.upstream_calls[0].finish(Status.OK, Outcome(RAN, 200))
        self.admission.may_run_retry = lambda: False
        self.call(3, flags=RETRY)
        self.call(4)
        self.assertEqual(self.kinds(), [(ops.ANSWER, 1), (ops.REJECTED, 2), (ops.REJECTED, 3)])
        self.assertEqual([message[3] for message in self.replies[1:]], [False, False])
        self.assertEqual((len(self.server_pool.upstream_calls), self.admission.gate.running), (2, 1))

    async def test_a_cancel_after_the_answer_changes_nothing_and_one_before_it_ends_the_call(self) -> None:
        self.call(1)
        self.server_pool.upstream_calls[0].finish(Status.OK, Outcome(RAN, 200))
        self.admission.cancel("line", 1)
        self.call(2)
        self.admission.cancel("line", 2)
        self.server_pool.upstream_calls[1].finish(Status.OK, Outcome(RAN, 200))
        self.assertEqual(self.kinds(), [(ops.ANSWER, 1)])
        self.assertEqual(
            (self.server_pool.upstream_calls[1].status, self.admission.gate.running), (Status.CANCELLED, 0)
        )


class ForwardedHeaders(unittest.TestCase):
    def test_client_headers_for_caller_deadline_and_target_are_not_forwarded(self) -> None:
        item = Incoming()
        item.forwarded_fields = [
            (b"X-Request-Id", b"1"),
            (b"x-caller-service", b"forged"),
            (b"X-Deadline-Ms", b"9"),
            (b"X-Target-Instance", b"i"),
            (b"X-Mine", b"gone"),
            (b"Accept", b"*/*"),
        ]
        item.fields = {b"x-request-id": b"1", b"connection": b"close, X-Mine"}
        sidecar: Any = SimpleNamespace(answer_by=math.inf)
        client: Any = SimpleNamespace(token=1)
        exchange = Exchange(
            sidecar, client, item, Route("r", "idempotent", 1.0, 0.5, 1, 2, ()), "s", 0.0, 1.0, False
        )
        self.assertEqual(exchange.fields, ((b"X-Request-Id", b"1"), (b"Accept", b"*/*")))


class UnreachableServer(unittest.TestCase):
    def test_a_server_that_accepts_no_connection_is_detected_before_its_callers_time_out(self) -> None:
        loop, outcomes = VirtualLoop(1), list[Outcome]()

        async def silence(*_: Any) -> Any:
            await loop.create_future()

        def ask() -> None:
            upstream_call = UpstreamCall(
                Upstream("127.0.0.1:9"),
                Message(b"GET", b"/", (), b""),
                b"id",
                b"life",
                b"svc",
                time.monotonic_ns() + 10**12,
                True,
                outcomes.append,
            )
            RealServerPool(4).run(upstream_call)

        with mock.patch.object(loop, "create_connection", silence):
            loop.after(0.0, Machine("side"), ask)
            loop.run_until(0.7)
        loop.close()
        self.assertEqual(
            [(o.kind, o.reason, o.arrived) for o in outcomes], [(NOT_RUN, Status.CONNECT_FAILED.value, False)]
        )


if __name__ == "__main__":
    unittest.main()
