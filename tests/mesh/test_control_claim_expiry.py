"""Claims expire by committed time: also under frequent leader changes, and never too early."""

from __future__ import annotations

import random
import unittest
from collections.abc import Callable
from typing import Any
from unittest import mock

import msgpack

from minthitch.mesh.control import server
from minthitch.mesh.control.state_machine import CLAIM, GRANTED, ROTATE, TIME, StateMachine, pack_command
from minthitch.mesh.events.events import LOG
from minthitch.mesh.idempotency.claims import ClaimCommand
from minthitch.mesh.idempotency.rotation import RECORD_INTERVAL_S, LeadershipClock
from rigs.simulation.mesh import CLAIM_MARGIN_S, KEY_WINDOW_S, ControlNode, Site

WINDOW_S, MARGIN_S = 60.0, 15.0
NEEDED_MS = int((WINDOW_S + MARGIN_S) * 1000)
TICK_S = 0.5  # between two ticks; a claim is made at each


Entry = tuple[float, int, bytes]  # when it was appended, kind, body


class Member:
    """One control node's leadership clock, and the offset of its monotonic time."""

    def __init__(self, make: Callable[[], LeadershipClock], offset: float) -> None:
        self.clock, self.offset = make(), offset


class LogSimulation:
    """Simulates one log whose leaders change, freeze, resume and lose their last entries."""

    def __init__(self, seed: int, make: Callable[[], LeadershipClock], leadership_s: float = 30.0) -> None:
        self.random, self.leadership_s = random.Random(seed), leadership_s
        self.members = [Member(make, self.random.uniform(0.0, 1e5)) for _ in range(3)]
        self.state, self.applied, self.term, self.now = StateMachine(), 0, 0, 0.0
        self.in_flight: list[Entry] = []  # in the leader's log, not yet committed
        self.claimed_at: dict[bytes, float] = {}  # keys, and when their claims were appended
        self.expired_ages: list[float] = []  # ages of expired claims in seconds
        self.largest = self.rotations = 0

    def run(self, seconds: float) -> None:
        while self.now < seconds:
            self.term += 1
            self.lead(self.random.choice(self.members), self.random.uniform(0.8, 1.2) * self.leadership_s)
            self.now += self.random.uniform(0.3, 2.0)  # without a leader

    def lead(self, member: Member, seconds: float) -> None:
        """Commit entries `lag` seconds late; uncommitted ones are lost, or committed in the next term."""
        lag, end = self.random.choice((0.0, 0.2, 1.1)), self.now + seconds
        frozen = self.random.random() < 0.2  # for its last seconds; it resumes after it was replaced
        freezes = end - self.random.uniform(1.0, seconds / 2) if frozen else end
        while self.now < end:
            if self.now < freezes:
                self.commit(self.now - lag)
                self.append(CLAIM, self.claim())
                self.tick(member)
            self.now += TICK_S
        if self.random.random() < 0.5:
            self.commit(self.now)  # they were in the next leader's log
        self.in_flight.clear()
        if frozen:
            self.tick(member)  # what it appends is of its old term, and lost
            self.in_flight.clear()

    def append(self, kind: int, body: bytes) -> int:
        self.in_flight.append((self.now, kind, body))
        return self.applied + len(self.in_flight)

    def claim(self) -> bytes:
        key = self.random.randbytes(12)
        return ClaimCommand(key, "10.0.0.9/1", key, b"", b"").pack()

    def commit(self, until: float) -> None:
        while self.in_flight and self.in_flight[0][0] <= until:
            appended, kind, body = self.in_flight.pop(0)
            self.applied += 1
            self.state.apply(self.applied, pack_command(kind, body))
            if kind == CLAIM:
                self.claimed_at[msgpack.unpackb(body)[0]] = appended
            elif kind == ROTATE:
                self.rotations += 1
                for key in [key for key in self.claimed_at if self.state.claims.find(key) is None]:
                    self.expired_ages.append(self.now - self.claimed_at.pop(key))
        self.largest = max(self.largest, self.state.claims.count())

    def tick(self, member: Member) -> None:
        """Tick as the control server does."""
        now, clock, state = self.now + member.offset, member.clock, self.state
        clock.on_leadership(now, self.term)
        if clock.may_rotate(self.applied, state.elapsed_ms, NEEDED_MS):
            clock.on_rotated(now, self.append(ROTATE, b""))
        elif clock.is_due(now, state.elapsed_ms, NEEDED_MS):
            self.append(TIME, bytes(msgpack.packb(clock.unrecorded_ms(now))))
            clock.on_recorded(now)


class CountsOtherTerms(LeadershipClock):
    """Planted fault: keeps counting through the terms of other leaders."""

    def on_leadership(self, now: float, term: int) -> None:
        if self.term:
            self.term = term
        else:
            super().on_leadership(now, term)


class CountsTwice(LeadershipClock):
    """Planted fault: each time record covers the whole leadership again."""

    def on_recorded(self, now: float) -> None:
        pass


class RotatesTwice(LeadershipClock):
    """Planted fault: does not wait for its own pending rotation."""

    def may_rotate(self, applied: int, agreed_ms: int, needed_ms: int) -> bool:
        return agreed_ms >= needed_ms


class LeaderChanges(unittest.TestCase):
    def play(
        self, make: Callable[[], LeadershipClock], seeds: range, leadership_s: float = 30.0
    ) -> list[LogSimulation]:
        plays = [LogSimulation(seed, make, leadership_s) for seed in seeds]
        for play in plays:
            play.run(3600.0)
        return plays

    def test_an_hour_with_a_new_leader_every_thirty_seconds(self) -> None:
        plays = self.play(LeadershipClock, range(12))
        for play in plays:
            self.assertGreater(play.rotations, 20)
            self.assertGreaterEqual(min(play.expired_ages), WINDOW_S + MARGIN_S - 0.01)
            self.assertLess(play.largest, 450, "of about 6,500 claims made")

    def test_terms_of_a_few_seconds_and_of_minutes(self) -> None:
        for leadership_s in (5.0, 12.0, 300.0):
            for play in self.play(LeadershipClock, range(3), leadership_s):
                self.assertGreater(play.rotations, 10, leadership_s)
                self.assertGreaterEqual(min(play.expired_ages), WINDOW_S + MARGIN_S - 0.01)

    def test_planted_faults_are_found(self) -> None:
        for make in (CountsOtherTerms, CountsTwice, RotatesTwice):
            ages = [min(play.expired_ages) for play in self.play(make, range(4))]
            self.assertLess(min(ages), WINDOW_S, make.__name__)


class Servers(unittest.TestCase):
    """The control nodes of the simulation, with a key window of 3 s."""

    def test_a_leader_frozen_every_four_seconds(self) -> None:
        window = KEY_WINDOW_S + CLAIM_MARGIN_S
        with (
            mock.patch.object(LOG, "disabled", True),
            mock.patch.object(server, "CLAIM_MARGIN_S", CLAIM_MARGIN_S),
        ):
            for seed in range(3):
                site = Site(seed)
                self.addCleanup(site.loop.close)
                for control in site.controls:
                    site.loop.after(0.0, site.loop.world, control.start)
                site.loop.run_until(2.0)
                granted: dict[bytes, float] = {}
                ages: list[float] = []
                leaders = set[tuple[str, int]]()
                while site.loop.now < 60.0:
                    leader = site.leader()
                    assert leader.server is not None
                    core, claims = leader.server.raft, leader.server.state.claims
                    if core.has_committed_in_term:
                        leaders.add((leader.ip, core.term))
                        for key in [key for key in granted if claims.find(key) is None]:
                            ages.append(site.loop.now - granted.pop(key))
                    self.claim(site, leader, granted)
                    if site.loop.now % 4.0 < 0.2:
                        site.loop.freeze(leader.machine)
                        site.loop.after(1.5, site.loop.world, site.loop.thaw, leader.machine)
                    site.loop.run_until(site.loop.now + 0.2)
                self.assertGreater(len(leaders), 10)
                self.assertGreater(len(list(site.history.of("rotated"))), 3)
                self.assertGreater(len(ages), 20)
                self.assertGreaterEqual(min(ages), window - 0.2)  # the test looks every 0.2 s

    def claim(self, site: Site, leader: ControlNode, granted: dict[bytes, float]) -> None:
        key = site.loop.random.randbytes(8)
        began = site.loop.now
        assert leader.server is not None

        def on_result(result: tuple[Any, ...] | None) -> None:
            if result is not None and result[0] == GRANTED:
                granted[key] = began

        body = ClaimCommand(key, "10.0.0.9/1", key, b"", b"").pack()
        site.loop.after(0.0, leader.machine, leader.server.propose, CLAIM, body, on_result)


class RecordedTime(unittest.TestCase):
    def test_time_is_recorded_when_due(self) -> None:
        clock = LeadershipClock()
        clock.on_leadership(100.0, 3)
        self.assertFalse(clock.is_due(100.0 + RECORD_INTERVAL_S - 0.01, 0, NEEDED_MS))
        self.assertTrue(clock.is_due(100.0 + RECORD_INTERVAL_S, 0, NEEDED_MS))
        self.assertTrue(
            clock.is_due(100.5, NEEDED_MS - 500, NEEDED_MS), "the last part needs no full interval"
        )
        clock.on_leadership(101.0, 3)
        self.assertEqual(clock.unrecorded_ms(102.0), 2000)
        clock.on_leadership(103.0, 4)
        self.assertEqual(clock.unrecorded_ms(103.0005), 0)

    def test_snapshots_and_logs_of_earlier_versions(self) -> None:
        state = StateMachine()
        state.apply(1, pack_command(CLAIM, ClaimCommand(b"k", "o", b"c", b"", b"").pack()))
        state.apply(2, pack_command(TIME, msgpack.packb(1500)))
        state.apply(3, pack_command(TIME, msgpack.packb(500)))
        self.assertEqual(state.elapsed_ms, 2000)
        again = StateMachine()
        again.restore(state.snapshot())
        self.assertEqual(
            (again.elapsed_ms, again.rotation_index, again.snapshot()), (2000, 0, state.snapshot())
        )
        old = msgpack.packb((state.items.snapshot(), state.claims.to_rows(), 7))
        again.restore(old)
        self.assertEqual((again.elapsed_ms, again.rotation_index, again.claims.count()), (0, 7, 1))
        again.restore(state.snapshot())
        again.apply(9, pack_command(ROTATE, b""))
        self.assertEqual((again.elapsed_ms, again.rotation_index, again.claims.count()), (0, 9, 1))
        again.apply(10, pack_command(ROTATE, b""))
        self.assertEqual(again.claims.count(), 0)
