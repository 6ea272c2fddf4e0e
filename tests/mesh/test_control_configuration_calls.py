"""Configuration calls at a control node, in virtual time: answered within a second, repeats joined."""

from __future__ import annotations

from typing import Any
from unittest import mock

from minthitch.mesh.control import configuration_calls
from minthitch.mesh.control.configuration_calls import (
    RESULT_TIMEOUT_S,
    ConfigurationCalls,
    PendingCall,
    call_timeout,
)
from minthitch.mesh.raft.actions import Timing
from rigs.simulation.mesh import ControlNode, Site
from rigs.simulation.size import items
from tests.mesh.site_test_case import SiteTestCase

CALLER_TIMEOUT_S = 1.0  # without an answer, after which callers of `Ctl` turn to another node
Answer = tuple[float, tuple[Any, ...] | None]


def change(version: int) -> bytes:
    return items(range(3), version)


class AtControlNode(SiteTestCase):
    def ask(self, site: Site, control: ControlNode, body: bytes, answers: list[Answer]) -> None:
        asked = site.loop.now
        assert control.server is not None
        site.loop.after(
            0.0,
            control.machine,
            control.server.patch,
            body,
            lambda result: answers.append((site.loop.now - asked, result)),
        )

    def follower(self, site: Site) -> ControlNode:
        return next(control for control in site.controls if not control.leads)

    def disconnect(self, site: Site, one: ControlNode, other: ControlNode, *, back: bool = True) -> None:
        site.network.cuts.add((one.ip, other.ip))
        if back:
            site.network.cuts.add((other.ip, one.ip))

    def test_a_silent_partition_from_the_leader_keeps_no_caller_waiting(self) -> None:
        slowest, longest_clear = 0.0, 0.0
        for seed in range(8):
            for wait, back in (
                (0.0, True),
                (0.0, False),
                (0.2, True),
                (0.5, False),
                (0.9, True),
                (1.2, False),
            ):
                site = self.start_site(seed)
                follower, answers = self.follower(site), list[Answer]()
                self.ask(site, follower, change(1), answers)
                site.loop.run_until(4.0)
                self.assertEqual(answers[0][1], (200, "", True))
                longest_clear = max(longest_clear, answers[0][0])
                self.disconnect(site, follower, site.leader(), back=back)
                site.loop.run_until(4.0 + wait)
                self.ask(site, follower, change(2), answers)
                site.loop.run_until(7.0)
                self.assertEqual(len(answers), 2)
                self.assertIsNone(answers[1][1])
                slowest = max(slowest, answers[1][0])
        self.assertGreaterEqual(slowest, RESULT_TIMEOUT_S, "some calls waited")
        self.assertLess(slowest, CALLER_TIMEOUT_S - 0.2)
        self.assertLess(longest_clear, RESULT_TIMEOUT_S / 2, "a clear answer takes far less time")

    def test_a_timeout_above_that_of_the_callers_is_found(self) -> None:
        """Planted fault: the timeout exceeds that of the callers."""
        site = self.start_site(1)
        answers: list[Answer] = []
        with mock.patch.object(configuration_calls, "RESULT_TIMEOUT_S", 3.0):
            follower = self.follower(site)
            self.disconnect(site, follower, site.leader(), back=False)
            self.ask(site, follower, change(1), answers)
            site.loop.run_until(7.0)
        self.assertGreater(answers[0][0], CALLER_TIMEOUT_S)

    def test_without_a_quorum_it_answers_at_once(self) -> None:
        for seed in range(4):
            site = self.start_site(seed)
            leader, answers = site.leader(), list[Answer]()
            for control in site.controls:
                if control is not leader:
                    self.disconnect(site, leader, control)
            site.loop.run_until(4.0)
            self.ask(site, leader, change(1), answers)
            site.loop.run_until(4.001)
            self.assertEqual(answers, [(answers[0][0], None)])

    def test_a_leader_that_resumes_after_it_was_replaced_accepts_nothing(self) -> None:
        """Calls that arrived while it was frozen are read before it learns of the new leader."""
        for seed in range(8):
            site = self.start_site(seed)
            leader, answers = site.leader(), list[Answer]()
            site.loop.freeze(leader.machine)
            site.loop.run_until(6.0)
            self.ask(site, leader, change(1), answers)
            site.loop.run_until(6.1)
            site.loop.thaw(leader.machine)
            site.loop.run_until(6.15)
            self.assertEqual([result for _, result in answers], [None])

    def test_without_a_quorum_nothing_is_proposed_or_forwarded(self) -> None:
        for role, young, in_contact, asked in (
            ("leader", False, False, 0),
            ("leader", True, False, 1),
            ("leader", False, True, 1),
            ("follower", False, False, 0),
            ("follower", False, True, 1),
        ):
            host = mock.Mock()
            host.loop.time.return_value = host.clock.return_value = 100.0
            host.raft.is_leader, host.raft.timing = role == "leader", Timing(election_timeout=0.25)
            host.raft.leader_state.elected_at = 99.9 if young else 90.0
            host.raft.in_contact_with_quorum.return_value = in_contact
            results: list[Any] = []
            open_calls = ConfigurationCalls(host)
            open_calls.patch(b"{}", results.append)
            self.assertEqual(host.propose.call_count, asked, (role, young, in_contact))
            if role == "follower":
                open_calls.fetch(results.append)
                self.assertEqual(host.proposals.forward.call_count, asked)
            self.assertEqual(results, [] if asked else [None] * (2 if role == "follower" else 1))

    def test_a_late_result_is_dropped_and_the_repeat_acknowledged(self) -> None:
        """The answers are cut off: the call is committed, but its caller gets "unclear" and repeats it."""
        site = self.start_site(2)
        leader, follower, answers = site.leader(), self.follower(site), list[Answer]()
        other = next(c for c in site.controls if c not in (leader, follower))
        self.disconnect(site, leader, follower, back=False)
        self.ask(site, follower, change(1), answers)
        site.loop.run_until(3.75)
        site.network.cuts.clear()
        self.ask(site, other, change(1), answers)
        site.loop.run_until(6.0)
        self.assertEqual([result for _, result in answers], [None, (200, "", False)])

    def test_a_repeat_joins_the_pending_call(self) -> None:
        """Otherwise each repeat of a slow call would lengthen the log that it waits for."""
        site = self.start_site(3)
        leader, answers = site.leader(), list[Answer]()
        assert leader.server is not None
        last = leader.server.raft.last_index
        for at in range(5):
            self.ask(site, leader, change(1), answers)
            site.loop.run_until(3.0 + at * 1e-6)
        self.assertEqual(leader.server.raft.last_index, last + 1)
        site.loop.run_until(3.5)
        self.assertEqual([result for _, result in answers], [(200, "", True)] * 5)
        self.ask(site, leader, change(1), answers)
        site.loop.run_until(4.0)
        self.assertEqual(answers[-1][1], (200, "", False))
        self.assertEqual(leader.server.proposals.unapplied, {})

    def test_each_call_is_answered_once(self) -> None:
        site = self.start_site(4)
        results: list[Any] = []
        open_calls: set[PendingCall] = set()
        first = site.loop.on(site.loop.world, PendingCall, site.loop, open_calls, 0.5, results.append)
        second = site.loop.on(site.loop.world, PendingCall, site.loop, open_calls, 0.5, results.append)
        first((200, "", True))
        first(None)
        site.loop.run_until(4.0)
        second((200, "", True))
        self.assertEqual((results, open_calls), ([(200, "", True), None], set()))

    def test_long_bodies_have_a_longer_timeout(self) -> None:
        self.assertEqual(call_timeout(0), RESULT_TIMEOUT_S)
        self.assertLess(call_timeout(256 * 1024), CALLER_TIMEOUT_S - 0.2)
        self.assertGreater(call_timeout(4 * 1024 * 1024), 1.5)
