"""The bodies that a sidecar holds for its server are bounded by its memory; what does not fit waits unsent.

Guards against: bodies of calls that waited and ran took a sidecar over its memory limit under long uploads
(docs/incidents/24-bodies-of-waiting-uploads.md).
"""

from __future__ import annotations

import random
import unittest
from typing import Any

from minthitch.interface import Status
from minthitch.mesh.http.upstream import RAN, Outcome, UpstreamCall
from minthitch.mesh.limits.bulk import BulkAdmission, Offer
from minthitch.mesh.sidecar.admission import AT_MOST_ONCE, Admission
from minthitch.mesh.sidecar.body_memory import body_memory_bytes
from minthitch.mesh.sidecar.offers import OfferReceiver
from minthitch.mesh.transport import ops
from tests.mesh.test_admission import ServerPool, heartbeat

MIB = 1024 * 1024
MEMORY = 8 * MIB
LONG_S = 60.0


class Bounds(unittest.TestCase):
    def test_a_body_that_does_not_fit_beside_those_held_waits_until_they_are_released(self) -> None:
        bulk = BulkAdmission(MEMORY)
        sizes = {"a": 5 * MIB, "b": 2 * MIB, "c": 2 * MIB}
        verdicts = []
        for key, size in sizes.items():
            verdicts.append(bulk.offer(0.0, Offer(key, size, 1, 9.0, 9.0)))
            bulk.arrived(0.0, key)
        self.assertEqual((verdicts, bulk.received_bytes), ([True, True, False], 7 * MIB))
        self.assertEqual(bulk.next(0.1), ([], []))
        self.assertTrue(bulk.released("b"))
        self.assertFalse(bulk.released("b"))
        self.assertEqual(bulk.next(0.2), (["c"], []))

    def test_a_body_larger_than_the_memory_is_granted_alone(self) -> None:
        bulk = BulkAdmission(MEMORY)
        self.assertTrue(bulk.offer(0.0, Offer("large", 2 * MEMORY, 1, 9.0, 9.0)))
        bulk.arrived(0.0, "large")
        self.assertIs(bulk.offer(0.0, Offer("small", 20_000, 1, 9.0, 9.0)), False)
        bulk.released("large")
        self.assertEqual(bulk.next(0.0), (["small"], []))

    def test_what_waits_for_memory_is_late_at_its_due_time(self) -> None:
        bulk = BulkAdmission(MEMORY)
        bulk.offer(0.0, Offer("held", MEMORY, 1, 9.0, 9.0))
        bulk.arrived(0.0, "held")
        bulk.offer(0.0, Offer("waits", MIB, 1, 0.5, 9.0))
        self.assertEqual(bulk.next(0.5), ([], ["waits"]))

    def test_the_shares_of_both_sides_and_of_the_copies_fit_into_the_memory(self) -> None:
        for mem_mb in (76.0, 118.0, 200.0, 300.0):
            self.assertLessEqual(60 * MIB + 3 * body_memory_bytes(mem_mb), mem_mb * MIB)
        self.assertGreater(body_memory_bytes(10.0), 5 * MIB)


class HeldBodies(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.server_pool = ServerPool()
        self.admission = Admission("127.0.0.1:9", "s", self.server_pool, lambda: None)  # type: ignore[arg-type]
        self.admission.on_heartbeat("life", heartbeat("up", 1, 2))
        self.receiver = OfferReceiver(self.admission, MEMORY)
        self.granted: list[int] = []
        self.ended: list[int] = []

    def offer(self, ident: int, size: int, time_left: float = LONG_S) -> None:
        message = (ops.OFFER, ident, "life", time_left, LONG_S, 1, size, "r")
        self.receiver.on_offer("line", self._on_reply, message)

    def _on_reply(self, message: ops.Message) -> None:
        (self.granted if message[0] == ops.GRANT else self.ended).append(message[1])

    def arrive(self, ident: int, size: int, time_left: float = LONG_S) -> None:
        """As the sidecar does with a CALL."""
        body: Any = bytes(size)
        call = (
            ops.CALL,
            ident,
            "life",
            time_left,
            LONG_S,
            1,
            AT_MOST_ONCE,
            b"POST",
            b"/",
            (),
            body,
            b"id",
            b"svc",
            "r",
        )
        self.receiver.on_call("line", call)
        self.admission.call("line", self._on_reply, call)

    @staticmethod
    def send_whole(call: UpstreamCall) -> None:
        """The server gets all of a request."""
        call.wrote()
        call.wrote()

    async def test_a_body_counts_until_the_server_has_it(self) -> None:
        for ident in (1, 2, 3):
            self.offer(ident, 4 * MIB)
            if ident in self.granted:
                self.arrive(ident, 4 * MIB)
        self.assertEqual(self.granted, [1, 2])
        self.send_whole(self.server_pool.upstream_calls[0])
        self.assertEqual((self.granted, self.receiver.bulk.received_bytes), ([1, 2, 3], 4 * MIB))

    def _lose_connection(self, call: UpstreamCall) -> None:
        """The caller's connection is lost, and the call runs on to its end."""
        self.admission.on_connection_lost("line")
        self.assertIsNone(call.status)
        call.end(Status.RESET)

    async def test_a_body_is_released_however_its_call_ends(self) -> None:
        ends = (
            lambda call: call.finish(Status.OK, Outcome(RAN, 200)),
            lambda call: call.end(Status.RESET),
            lambda call: call.end(Status.CONNECT_FAILED),
            lambda call: self.admission.cancel("line", self.granted[-1]),
            self._lose_connection,
            lambda call: self.admission._on_deadline(self.admission.jobs["line", self.granted[-1]]),
        )
        for number, end in enumerate(ends):
            self.admission.on_heartbeat("life", heartbeat("up", number + 2, 2))
            self.offer(number, 4 * MIB)
            self.arrive(number, 4 * MIB)
            self.assertEqual(self.receiver.bulk.received_bytes, 4 * MIB)
            end(self.server_pool.upstream_calls[-1])  # type: ignore[no-untyped-call]
            self.assertEqual((self.receiver.bulk.received_bytes, self.admission.jobs), (0, {}), number)

    async def test_a_call_that_is_rejected_on_arrival_or_in_the_queue_holds_nothing(self) -> None:
        for ident in range(4):  # two run, one waits, one is not admitted
            self.offer(ident, MIB)
            if ident == 3:
                self.admission.may_run_retry = lambda: False
                self.admission.suspend()
            self.arrive(ident, MIB)
        self.assertEqual(self.receiver.bulk.received_bytes, 2 * MIB)
        self.assertEqual(sorted(self.ended), [2, 3])

    def _has_open_calls(self, offered: dict[int, int]) -> bool:
        is_granted = any(ident in offered for ident in self.granted)
        return is_granted or any(call.status is None for call in self.server_pool.upstream_calls)

    async def test_drawn_uploads_never_exceed_the_memory_and_all_end(self) -> None:
        for seed in range(40):
            await self.asyncSetUp()
            rng, offered, held_most = random.Random(seed), dict[int, int](), 0
            for ident in range(200):
                offered[ident] = rng.randrange(20_000, 3 * MIB)
                self.offer(ident, offered[ident])
                for granted in [one for one in self.granted if one in offered]:
                    if rng.random() < 0.9:
                        self.arrive(granted, offered.pop(granted))
                    else:
                        del offered[granted]
                        self.receiver.on_cancel("line", granted)
                running = [call for call in self.server_pool.upstream_calls if call.status is None]
                for call in rng.sample(running, min(len(running), rng.randrange(3))):
                    if rng.random() < 0.5:
                        self.send_whole(call)
                    call.finish(Status.OK, Outcome(RAN, 200))
                held_most = max(held_most, self.receiver.bulk.received_bytes + self.receiver.bulk.outstanding)
            while self._has_open_calls(offered):
                for granted in [one for one in self.granted if one in offered]:
                    self.arrive(granted, offered.pop(granted))
                for call in self.server_pool.upstream_calls:
                    call.finish(Status.OK, Outcome(RAN, 200))
            self.assertLessEqual(held_most, MEMORY)
            self.assertEqual((self.receiver.bulk.received_bytes, self.receiver.bulk.waiting), (0, []))


if __name__ == "__main__":
    unittest.main()
