"""The gate's shell with a server that is a list: lives, late beats, what is turned away or cancelled."""

from __future__ import annotations

import asyncio
import math
import time
import unittest
from types import SimpleNamespace
from typing import Any
from unittest import mock

import msgspec

from minthitch.engine.calls import Message
from minthitch.interface import Status
from minthitch.mesh.configuration.routes import Route
from minthitch.mesh.http.upstream import NOT_RUN, RAN, UNKNOWN, Outcome, Upstream, UpstreamCall
from minthitch.mesh.http.upstream import ServerPool as RealShelf
from minthitch.mesh.sidecar.admission import ONCE, REPEAT, REPEAT_WAITS, Admission
from minthitch.mesh.sidecar.trip import Trip
from minthitch.mesh.transport import ops
from minthitch.net.callers import Incoming
from rigs.simulation.loop import Machine, VirtualLoop


class ServerPool:
    """Takes errands and keeps them until the test ends them."""

    def __init__(self) -> None:
        self.errands: list[UpstreamCall] = []

    def run(self, errand: UpstreamCall) -> None:
        self.errands.append(errand)

    def hang_up(self, server: Any) -> None:
        pass

    def close(self) -> None:
        pass


def beat(state: str, seq: int, slots: int = 1) -> bytes:
    return msgspec.json.encode(
        {
            "Addr": "a",
            "Summary": {"Svc": "s", "Ver": "1", "Az": "z", "Cap": slots},
            "Stat": {"State": state, "Seq": seq, "ColdS": 0},
        }
    )


class Gates(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.shelf = ServerPool()
        self.admission = Admission("127.0.0.1:9", "s", self.shelf, lambda: None)  # type: ignore[arg-type]
        self.said: list[ops.Message] = []
        self.admission.beat("one", beat("up", 1))

    def call(self, ident: int, life: str = "one", flags: int = ONCE) -> None:
        self.admission.call(
            "line",
            self.said.append,
            (ops.CALL, ident, life, 5.0, 5.0, 1, flags, b"GET", b"/", (), b"", b"id", b"svc", "r"),
        )

    def kinds(self) -> list[tuple[int, int]]:
        return [(message[0], message[1]) for message in self.said]

    async def test_calls_for_another_life_or_a_server_that_leaves_never_reach_it(self) -> None:
        self.call(1, "zero")
        self.admission.beat("one", beat("draining", 2))
        self.call(2)
        self.assertEqual((self.kinds(), self.shelf.errands), ([(ops.BUSY, 1), (ops.BUSY, 2)], []))

    async def test_a_late_beat_of_a_life_that_is_over_opens_nothing(self) -> None:
        self.admission.beat("two", beat("up", 1))
        self.admission.beat("one", beat("up", 9))
        self.assertEqual(self.admission.record()[0], "two")
        self.admission.leave("two")
        self.admission.beat("two", beat("up", 9))
        self.assertEqual(self.admission.record()[2], "none")

    async def test_a_late_beat_of_this_life_changes_nothing(self) -> None:
        self.admission.beat("one", beat("draining", 5))
        self.admission.beat("one", beat("up", 4))
        self.assertEqual(self.admission.record()[2], "draining")

    async def test_what_waits_is_turned_away_when_its_server_drains_and_what_runs_goes_on(self) -> None:
        self.call(1)
        self.call(2)
        self.admission.beat("one", beat("draining", 2))
        self.assertEqual(self.kinds(), [(ops.BUSY, 2)])
        self.shelf.errands[0].finish(Status.OK, Outcome(RAN, 200))
        self.assertEqual(self.kinds()[1:], [(ops.ANSWER, 1)])

    async def test_gate_that_shuts_down_rejects_what_has_not_begun_and_starts_nothing_more(self) -> None:
        loop = asyncio.get_running_loop()
        self.call(1)
        self.call(2)
        self.admission.limit_deadlines(loop.time())
        self.shelf.errands[0].finish(Status.OK, Outcome(RAN, 200))
        self.call(3)
        self.assertEqual(self.kinds(), [(ops.ANSWER, 1), (ops.BUSY, 2), (ops.BUSY, 3)])
        self.assertEqual(len(self.shelf.errands), 1)

    async def test_gate_that_shuts_down_tells_its_server_the_time_that_is_left(self) -> None:
        self.admission.limit_deadlines(asyncio.get_running_loop().time() + 1.0)
        self.call(1)
        self.assertAlmostEqual(self.shelf.errands[0].time_left / 1e9, 1.0, delta=0.1)

    async def test_calls_given_up_after_long_are_logged_with_their_state(self) -> None:
        long_s = mock.patch("minthitch.mesh.sidecar.admission.LONG_S", 0.0)
        with long_s, self.assertLogs("minthitch") as log:
            self.call(1, flags=0)
            self.call(2, flags=0)
            self.admission.fell("line")
        self.assertEqual(len(log.output), 2)
        self.assertRegex(log.output[0], r"E211 call on r abandoned by svc after 0\.\d s: queued$")
        self.assertRegex(
            log.output[1], r"E211 call on r abandoned by svc after 0\.\d s: running for 0\.\d s$"
        )

    async def test_only_a_connect_that_failed_takes_the_server_out(self) -> None:
        self.call(1)
        self.shelf.errands[0].finish(Status.FULL, Outcome(NOT_RUN, 503, why="turned away"))
        self.assertEqual((self.kinds()[-1], self.said[-1][3]), ((ops.BUSY, 1), True))  # it arrived
        self.call(2)
        self.shelf.errands[1].finish(Status.RESET, Outcome(UNKNOWN, why="reset"))
        self.assertEqual((self.kinds()[-1], self.admission.record()[2]), ((ops.LOST, 2), "up"))
        self.call(3)
        self.shelf.errands[2].end(Status.CONNECT_FAILED)
        self.assertEqual((self.kinds()[-1], self.admission.record()[2]), ((ops.BUSY, 3), "none"))
        self.admission.beat("one", beat("up", 2))
        self.assertEqual(self.admission.record()[2], "up")

    async def test_a_line_that_falls_gives_up_what_may_be_repeated_and_what_waits_alone(self) -> None:
        self.admission.beat("one", beat("up", 2, 2))
        self.call(1)
        self.call(2, flags=0)
        self.call(3)
        self.admission.fell("line")
        await asyncio.sleep(0)
        self.assertEqual([e.status for e in self.shelf.errands], [None, Status.CANCELLED])
        self.assertEqual((self.admission.gate.running, self.admission.gate.queued), (1, 0))

    async def test_a_repeat_too_old_for_its_charge_or_whose_calls_cannot_be_paid_is_not_begun(self) -> None:
        self.call(1)
        self.call(2, flags=REPEAT)
        self.admission.jobs["line", 2].came -= REPEAT_WAITS + 0.1
        self.shelf.errands[0].finish(Status.OK, Outcome(RAN, 200))
        self.admission.may_repeat = lambda: False
        self.call(3, flags=REPEAT)
        self.call(4)
        self.assertEqual(self.kinds(), [(ops.ANSWER, 1), (ops.BUSY, 2), (ops.BUSY, 3)])
        self.assertEqual([message[3] for message in self.said[1:]], [False, False])
        self.assertEqual((len(self.shelf.errands), self.admission.gate.running), (2, 1))

    async def test_a_cancel_that_crosses_its_answer_changes_nothing_and_one_before_it_ends_it(self) -> None:
        self.call(1)
        self.shelf.errands[0].finish(Status.OK, Outcome(RAN, 200))
        self.admission.cancel("line", 1)
        self.call(2)
        self.admission.cancel("line", 2)
        self.shelf.errands[1].finish(Status.OK, Outcome(RAN, 200))
        self.assertEqual(self.kinds(), [(ops.ANSWER, 1)])
        self.assertEqual((self.shelf.errands[1].status, self.admission.gate.running), (Status.CANCELLED, 0))


class Passed(unittest.TestCase):
    def test_what_a_client_says_of_caller_deadline_and_target_is_not_passed_on(self) -> None:
        item = Incoming()
        item.head = [
            (b"X-Request-Id", b"1"),
            (b"x-caller-service", b"forged"),
            (b"X-Deadline-Ms", b"9"),
            (b"X-Target-Instance", b"i"),
            (b"X-Mine", b"gone"),
            (b"Accept", b"*/*"),
        ]
        item.fields = {b"x-request-id": b"1", b"connection": b"close, X-Mine"}
        front: Any = SimpleNamespace(last=math.inf)
        client: Any = SimpleNamespace(token=1)
        trip = Trip(front, client, item, Route("r", "idempotent", 1.0, 0.5, 1, 2, ()), "s", 0.0, 1.0, False)
        self.assertEqual(trip.fields, ((b"X-Request-Id", b"1"), (b"Accept", b"*/*")))


class Silent(unittest.TestCase):
    def test_a_server_that_takes_no_connection_is_known_before_its_callers_give_up(self) -> None:
        loop, outcomes = VirtualLoop(1), list[Outcome]()

        async def silence(*_: Any) -> Any:
            await loop.create_future()

        def ask() -> None:
            errand = UpstreamCall(
                Upstream("127.0.0.1:9"),
                Message(b"GET", b"/", (), b""),
                b"id",
                b"life",
                b"svc",
                time.monotonic_ns() + 10**12,
                True,
                outcomes.append,
            )
            RealShelf(4).run(errand)

        with mock.patch.object(loop, "create_connection", silence):
            loop.after(0.0, Machine("side"), ask)
            loop.run_until(0.7)
        loop.close()
        self.assertEqual(
            [(o.kind, o.why, o.arrived) for o in outcomes], [(NOT_RUN, Status.CONNECT_FAILED.value, False)]
        )


if __name__ == "__main__":
    unittest.main()
