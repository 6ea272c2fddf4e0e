"""The pure cores: framing, gate, claims, operations, registry, load balancer. Histories are random."""

from __future__ import annotations

import random
import unittest

from minthitch.mesh.idempotency.claims import Claim, ClaimCommand, ClaimTable
from minthitch.mesh.idempotency.operations import MAX_ANSWER_BYTES, OperationState, OperationTable
from minthitch.mesh.limits.gate import MAX_QUEUED, Gate, QueuedRequest
from minthitch.mesh.registry.merged_views import MergedViews
from minthitch.mesh.registry.records import SidecarRecord
from minthitch.mesh.registry.registry import EXPIRY_S, Registry, RegistryDelta
from minthitch.mesh.sidecar.load_balancer import LoadBalancer
from minthitch.mesh.transport.framing import (
    MAX_FRAME_PAYLOAD,
    MAX_MESSAGE_BYTES,
    MAX_PARTIAL_MESSAGES,
    PRIORITY_LEVELS,
    Inbox,
    Outbox,
    ProtocolError,
)


class FramingTest(unittest.TestCase):
    def test_messages_of_all_ranks_arrive_whole_however_the_bytes_are_cut(self) -> None:
        rng = random.Random(7)
        for _ in range(20):
            outbox, inbox = Outbox(), Inbox()
            sizes = 0, 1, 100, MAX_FRAME_PAYLOAD, MAX_FRAME_PAYLOAD + 1, 5 * MAX_FRAME_PAYLOAD + 3
            sent = [rng.randbytes(rng.choice(sizes)) for _ in range(30)]
            for data in sent:
                outbox.put(data, rng.randrange(3))
            wire = b""
            while piece := outbox.next_frame():
                wire += piece
            got = []
            while wire:
                cut = rng.randrange(1, 4 * MAX_FRAME_PAYLOAD)
                got += list(inbox.feed(wire[:cut]))
                wire = wire[cut:]
            self.assertEqual(sorted(got), sorted(sent))
            self.assertEqual((outbox.size, inbox.partial_bytes, inbox.partial), (0, 0, {}))

    def test_a_short_message_waits_for_at_most_one_piece_of_a_long_one(self) -> None:
        outbox, inbox = Outbox(), Inbox()
        long = outbox.put(b"x" * (50 * MAX_FRAME_PAYLOAD), 1)
        first = outbox.next_frame()
        assert first is not None
        outbox.put(b"short", 1)
        outbox.put(b"urgent", 0)
        second, third, fourth = outbox.next_frame(), outbox.next_frame(), outbox.next_frame()
        assert second is not None and third is not None and fourth is not None
        self.assertEqual(list(inbox.feed(first + second)), [b"urgent"])
        self.assertEqual(list(inbox.feed(third + fourth)), [b"short"])
        self.assertFalse(long.fully_sent)

    def test_a_message_dropped_before_its_first_piece_is_never_sent(self) -> None:
        outbox = Outbox()
        outbox.put(b"gone", 1).dropped = True
        self.assertIsNone(outbox.next_frame())
        self.assertEqual(outbox.size, 0)

    def test_a_notice_leaves_before_the_last_frame_of_the_message_of_any_rank_that_it_withdraws(self) -> None:
        # Guards against: the receiver had the whole call before its CANCEL, and ran what counted as not run.
        for rank in range(PRIORITY_LEVELS):
            outbox, inbox = Outbox(), Inbox()
            withdrawn = outbox.put(b"x" * (MAX_FRAME_PAYLOAD + 1), rank)
            received = [*inbox.feed(outbox.next_frame() or b"")]
            withdrawn.dropped = True
            outbox.put(b"cancel", 0)
            while frame := outbox.next_frame():
                received += inbox.feed(frame)
            self.assertEqual([message[:6] for message in received], [b"cancel", b"xxxxxx"], f"rank {rank}")
            self.assertEqual((outbox.size, inbox.partial), (0, {}))

    def test_invalid_bytes_and_too_many_open_messages_are_rejected(self) -> None:
        with self.assertRaises(ProtocolError):
            list(Inbox().feed(b"GET / HTTP/1.1\r\n\r\n"))
        inbox, outbox = Inbox(), Outbox()
        with self.assertRaises(ProtocolError):
            outbox.put(b"x" * (MAX_MESSAGE_BYTES + 1), 1)
        for _ in range(MAX_PARTIAL_MESSAGES + 1):
            outbox.put(b"x" * (2 * MAX_FRAME_PAYLOAD), 1)
        with self.assertRaises(ProtocolError):
            list(inbox.feed(b"".join(outbox.next_frame() or b"" for _ in range(MAX_PARTIAL_MESSAGES + 1))))


class GateTest(unittest.TestCase):
    def test_never_more_run_than_slots_and_no_call_is_lost(self) -> None:
        for seed in range(40):
            self._play(random.Random(seed))

    def _play(self, rng: random.Random) -> None:
        slots = rng.randrange(1, 5)
        gate: Gate[int] = Gate(slots)
        running: set[int] = set()
        fate: dict[int, str] = {}
        now = 0.0
        for job in range(300):
            now += rng.expovariate(20.0)
            waiting = QueuedRequest(job, rng.randrange(3), now + 0.3, now + 0.6, 0.02)
            verdict = gate.arrive(now, waiting)
            fate[job] = {True: "ran", False: "waits", None: "away"}[verdict]
            if verdict:
                running.add(job)
            while running and rng.random() < 0.5:
                running.discard(rng.choice(sorted(running)))
                gate.ended("r", 0.1)
                starts, late = gate.next(now)
                running.update(starts)
                fate.update(dict.fromkeys(starts, "ran") | dict.fromkeys(late, "away"))
            self.assertLessEqual(len(running), slots)
            self.assertEqual(len(running), gate.running)
            self.assertLessEqual(gate.queued, MAX_QUEUED)
        waits = [job for job, end in fate.items() if end == "waits"]
        self.assertEqual(sorted(waits), sorted(gate.clear()))

    def test_a_lower_rank_goes_first_and_calls_that_can_be_in_time_before_those_that_cannot(self) -> None:
        gate: Gate[str] = Gate(1)
        gate.arrive(0.0, QueuedRequest("runs", 1, 1.0, 9.0, 0.1))
        for name, rank, due in (("late", 1, 0.35), ("later", 1, 2.0), ("soon", 1, 1.0), ("inner", 0, 3.0)):
            self.assertIs(gate.arrive(0.0, QueuedRequest(name, rank, due, 9.0, 0.1)), False)
        order = []
        for _ in range(4):
            gate.ended("r", 0.1)
            order += gate.next(0.3)[0]
        self.assertEqual(order, ["inner", "soon", "later", "late"])

    def test_a_call_that_cannot_be_served_in_time_is_rejected_at_once(self) -> None:
        gate: Gate[int] = Gate(1)
        gate.mean = 0.5
        gate.arrive(0.0, QueuedRequest(0, 1, 1.0, 1.0, 0.2))
        self.assertIsNone(gate.arrive(0.0, QueuedRequest(1, 1, 0.3, 0.4, 0.2)))

    def test_a_full_server_that_frees_no_slot_is_stuck_until_one_is_free(self) -> None:
        gate: Gate[int] = Gate(2)
        for n in range(2):
            self.assertTrue(gate.arrive(0.1 * n, QueuedRequest(n, 1, 9.0, 9.0, 0.1)))
        self.assertEqual([gate.stuck(now) for now in (0.5, 0.7)], [False, True])
        gate.ended("r", 2.0)
        self.assertEqual(gate.next(0.8), ([], []))
        self.assertFalse(gate.stuck(1.4))  # not full
        self.assertTrue(gate.arrive(1.4, QueuedRequest(2, 1, 9.0, 9.0, 0.1)))
        gate.mean = 0.5
        self.assertEqual([gate.stuck(now) for now in (2.8, 3.0)], [False, True])  # a slow one: three means


class ClaimsAndOperations(unittest.TestCase):
    def test_a_key_has_one_owner_until_its_claim_is_replaced_and_rotations_keep_recent_claims(self) -> None:
        table = ClaimTable()

        def acquire(owner: str, claim_id: bytes, replaces: bytes) -> tuple[str, bytes]:
            valid = table.acquire(ClaimCommand(b"k", owner, claim_id, b"d", replaces))
            assert valid is not None and valid.request_digest == b"d"
            return valid.owner, valid.claim_id

        one, two = ("a", b"1"), ("b", b"2")
        self.assertEqual(acquire(*one, b""), one)
        self.assertEqual(acquire(*two, b""), one)
        self.assertEqual(acquire(*one, b""), one)  # the same claim once more: its answer was lost
        table.rotate()
        self.assertEqual(acquire(*two, b""), one)
        self.assertEqual(acquire(*two, b"1"), two)
        self.assertEqual(acquire("c", b"3", b"1"), two)  # free only once
        copy = ClaimTable()
        copy.load_rows(table.to_rows())
        self.assertEqual(copy.find(b"k"), Claim("b", b"2", b"d"))
        table.rotate()
        table.rotate()
        self.assertIsNone(table.find(b"k"))

    def test_the_outcome_of_an_operation_is_reported_once_and_never_changes(self) -> None:
        operations, heard = OperationTable(60.0), list[str]()
        operation = operations.begin(b"k", b"c", b"d", 0.0)
        operation.listeners.append(lambda op: heard.append(op.state))
        operations.record_unknown(operation)
        operations.record_not_run(operation)
        self.assertEqual((heard, operation.state), ([OperationState.UNKNOWN], OperationState.UNKNOWN))
        self.assertIs(operations.by_key[b"k"], operation, "no repeat begins it anew")
        other = operations.begin(b"x", b"y", b"d", 0.0)
        operations.record_not_run(other)
        self.assertEqual((other.state, operations.by_key.get(b"x")), (OperationState.NOT_RUN, None))

    def test_answers_are_bounded_in_bytes_and_dropped_ones_are_unknown(self) -> None:
        table = OperationTable(60.0)
        operations = []
        for number in range(30):
            operation = table.begin(b"%d" % number, b"%d" % number, b"d", 0.0)
            table.record_answer(operation, 200, (), b"x" * (MAX_ANSWER_BYTES // 20))
            operations.append(operation)
        self.assertLessEqual(table.answer_bytes, MAX_ANSWER_BYTES)
        self.assertEqual(
            (operations[0].state, operations[-1].state), (OperationState.UNKNOWN, OperationState.ANSWERED)
        )
        table.begin(b"new", b"new", b"d", 61.0)
        self.assertEqual(len(table.by_claim_id), 1)


def record(ip: str, epoch: int, seq: int, state: str = "up") -> SidecarRecord:
    return SidecarRecord(ip, 1, epoch, seq, "z", "svc", f"life-{epoch}", 9, state, 0.0, True)


class RegistryTest(unittest.TestCase):
    def test_subscribers_of_deltas_have_what_the_registry_has(self) -> None:
        for seed in range(20):
            rng = random.Random(seed)
            registry, version, held, now = Registry(), 0, dict[str, SidecarRecord](), 0.0
            for step in range(300):
                now += rng.uniform(0.0, 0.3)
                ip = f"10.0.0.{rng.randrange(6)}"
                registry.update(now, record(ip, rng.randrange(3), step, rng.choice(("up", "draining"))))
                registry.expire(now)
                if rng.random() < 0.3:
                    whole, changed, dropped = registry.since(version)
                    version = registry.version
                    held = {} if whole else held
                    held.update({r.ip: r for r in changed})
                    for ip in dropped:
                        held.pop(ip, None)
                    self.assertEqual(
                        {ip: r.server_id for ip, r in held.items()},
                        {ip: r.server_id for ip, r in registry.records.items()},
                    )
            registry.expire(now + EXPIRY_S + 1.0)
            self.assertFalse(registry.records)

    def test_the_newest_epoch_wins_and_the_last_view_stays(self) -> None:
        views = MergedViews()
        views.update(0.0, "f1", RegistryDelta(True, [record("a", 2, 1)], []))
        views.update(0.0, "f2", RegistryDelta(True, [record("a", 1, 9)], []))
        self.assertEqual(views.merged["a"].epoch, 2)
        views.disconnect("f1")
        self.assertEqual(views.merged["a"].epoch, 1)
        views.disconnect("f2")
        self.assertIn("a", views.merged)
        views.update(5.0, "f1", RegistryDelta(True, [record("b", 3, 1)], []))
        self.assertFalse(
            views.expire(5.0 + EXPIRY_S / 2)
        )  # a control node that just started knows only a part
        self.assertIn("a", views.merged)
        self.assertTrue(views.expire(5.0 + EXPIRY_S))
        self.assertEqual(set(views.merged), {"b"})


class LoadBalancerTest(unittest.TestCase):
    def setUp(self) -> None:
        self.balancer = LoadBalancer("here", 1)
        self.balancer.update_servers(
            0.0, [("svc", f"life-{n}", f"ip-{n}", "here" if n < 3 else "there", 9, 0.0) for n in range(6)]
        )

    def _learn(self, life: str, took: float, times: int = 30) -> None:
        target = self.balancer.endpoints["svc"][life]
        for n in range(times):
            self.balancer.on_sent(target)
            self.balancer.on_ended(n * 0.1, target, "r", 0.4, took, ok=True, lost=False)

    def test_a_fast_server_in_the_zone_is_preferred_and_an_excluded_or_avoided_one_is_not_used(self) -> None:
        for n in range(6):
            self._learn(f"life-{n}", 0.1)
        picked = {self.balancer.pick(3.0, "svc", "r", 0.4, 0.4, 1, 0, ())[0].zone for _ in range(20)}
        self.assertEqual(picked, {"here"})
        barred = {f"life-{n}" for n in range(5)}
        chosen = self.balancer.pick(3.0, "svc", "r", 0.4, 0.4, 1, 0, barred)
        self.assertEqual([t.server_id for t in chosen], ["life-5"])
        self.balancer.avoid(3.0, self.balancer.endpoints["svc"]["life-0"], False)
        self.assertNotIn(
            "life-0",
            {self.balancer.pick(3.0, "svc", "r", 0.4, 0.4, 1, 0, ())[0].server_id for _ in range(30)},
        )

    def test_slow_servers_are_hedged(self) -> None:
        for n in range(6):
            self._learn(f"life-{n}", 0.35, 4)  # few samples: exponential
        chosen = self.balancer.pick(1.0, "svc", "r", 0.4, 0.6, 3, 0, ())
        self.assertGreater(len(chosen), 1)
        self.assertEqual(len(self.balancer.pick(1.0, "svc", "r", 0.4, 0.6, 1, 0, ())), 1)

    def test_a_server_that_reports_full_load_is_avoided(self) -> None:
        for n in range(6):
            self._learn(f"life-{n}", 0.1)
        self.balancer.on_load_report(3.0, self.balancer.endpoints["svc"]["life-0"], 9, 20)
        self.assertNotIn(
            "life-0",
            {self.balancer.pick(3.0, "svc", "r", 0.4, 0.4, 1, 0, ())[0].server_id for _ in range(30)},
        )

    def _asked(self, since: float, seconds: int, seen: bool | None) -> int:
        """How many of 10 calls a second life-0 gets that fails each at once (None: it serves them)."""
        count = 0
        for n in range(10 * seconds):
            now = since + n / 10
            target = self.balancer.pick(now, "svc", "r", 0.4, 0.4, 1, 0, ())[0]
            count += target.server_id == "life-0"
            self.balancer.on_sent(target)
            if target.server_id != "life-0" or seen is None:
                self.balancer.on_ended(now, target, "r", 0.4, 0.1, ok=True, lost=False)
            elif seen:
                target.in_flight -= 1
                self.balancer.avoid(now, target, True, seen)
            else:
                self.balancer.on_ended(now, target, "r", 0.4, 0.001, ok=False, lost=True)
        return count

    def test_a_server_that_fails_or_rejects_at_once_is_avoided_until_it_serves(self) -> None:
        for seen in (False, True):
            with self.subTest(turns_away=seen):
                self.setUp()
                self.assertGreater(self._asked(0.0, 10, None), 15)
                self.assertLess(self._asked(10.0, 10, seen), 8)
                self.assertGreater(self._asked(20.0, 20, None), 15)


if __name__ == "__main__":
    unittest.main()
