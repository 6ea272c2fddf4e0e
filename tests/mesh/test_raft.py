"""Consensus between control nodes: specific fault scenarios, random schedules, and injected faults that the
checks must find.
"""

from __future__ import annotations

import unittest
from typing import Any

import msgpack
from msgspec.structs import replace

from minthitch.mesh.raft.actions import Persist, PersistedState, Restore, Send, Timing
from minthitch.mesh.raft.election import Election
from minthitch.mesh.raft.errors import ConsensusViolationError
from minthitch.mesh.raft.follower import Follower
from minthitch.mesh.raft.leader import Leader
from minthitch.mesh.raft.log import Snapshot
from minthitch.mesh.raft.member import Role
from minthitch.mesh.raft.membership import Voters, VoterView, address_of
from minthitch.mesh.raft.messages import (
    AppendEntriesResponse,
    RequestVote,
    RequestVoteResponse,
    encode_message,
)
from minthitch.mesh.raft.node import RaftNode
from minthitch.mesh.raft.reconfiguration import Reconfiguration
from tests.mesh.chaos import Chaos
from tests.mesh.cluster import Cluster, InvariantViolationError, Node, Schedule

SCHEDULES = 180
WALKS, STEPS = 120, 4_000  # random runs of the adversary, and steps of each


class AcknowledgesUnsynced(Follower):
    """Injected fault: acknowledges entries that its disk has not stored yet."""

    def acknowledge(self) -> None:
        member = self._member
        if member.leader is not None:
            response = AppendEntriesResponse(member.term, True, self.match_index, *self._newest_message)
            member.send(member.leader, response)


class AcknowledgesUnsyncedNode(RaftNode):
    follower_type = AcknowledgesUnsynced


class ForgetsVote(RaftNode):
    """Injected fault: a restart loses the vote and its term."""

    def __init__(self, name: str, persisted: PersistedState | None, *rest: Any, **more: Any) -> None:
        if persisted is not None:
            last = persisted.entries[-1].term if persisted.entries else persisted.snapshot.term
            persisted = replace(persisted, term=last, voted_for="")
        super().__init__(name, persisted, *rest, **more)


class CountsUnsynced(Leader):
    """Injected fault: the leader counts itself before its own disk has stored the entry."""

    def update_commit_index(self, now: float) -> None:
        self._member.log.durable = self._member.log.last_index
        super().update_commit_index(now)


class CountsUnsyncedNode(RaftNode):
    leader_type = CountsUnsynced


class IgnoresLease(Election):
    """Injected fault: votes for another although a leader was just heard from."""

    def hears_live_leader(self, now: float) -> bool:
        return False


class IgnoresLeaseNode(RaftNode):
    election_type = IgnoresLease


class SwapsAtOnce(Reconfiguration):
    """Injected fault: removes the old name and adds the new one in one change."""

    def voters_adding(self, view: VoterView, learner: str) -> Voters | None:
        old = next((name for name in view.voters if address_of(name) == address_of(learner)), None)
        if old is None or old == view.leader:
            return super().voters_adding(view, learner)
        return tuple(sorted((*(name for name in view.voters if name != old), learner)))


class SwapsAtOnceNode(RaftNode):
    reconfiguration_type = SwapsAtOnce


class RandomSchedules(unittest.TestCase):
    def test_random_schedules(self) -> None:
        acknowledged = 0
        for seed in range(SCHEDULES):
            with self.subTest(seed=seed):
                acknowledged += len(Schedule(seed).run_scenario().acknowledged)
        self.assertGreater(acknowledged, 50 * SCHEDULES, "too few acknowledged entries for a meaningful test")


class InjectedFaults(unittest.TestCase):
    """The checks are effective: some schedule finds each of these faults."""

    def find(self, node_type: type[RaftNode], seeds: range) -> None:
        for seed in seeds:
            try:
                Schedule(seed, node_type, seconds=4.0, storm=True).run_scenario()
            except (InvariantViolationError, ConsensusViolationError):
                return
        self.fail(f"{node_type.__name__} is not found")

    def test_acknowledged_before_sync(self) -> None:
        self.find(AcknowledgesUnsyncedNode, range(120))

    def test_vote_forgotten(self) -> None:
        self.find(ForgetsVote, range(120))

    def test_counted_before_sync(self) -> None:
        self.find(CountsUnsyncedNode, range(120))

    def test_lease_forgotten(self) -> None:
        """A follower cut off from the leader alone gets the third vote, and two leaders have a lease."""
        with self.assertRaises(InvariantViolationError):
            for seed in range(40):
                self.disconnected_from_leader(seed, IgnoresLeaseNode)
        for seed in range(40):
            self.disconnected_from_leader(seed, RaftNode)

    def disconnected_from_leader(self, seed: int, node_type: type[RaftNode]) -> None:
        cluster = Cluster(seed, node_type=node_type)
        leader = cluster.wait_for_leader()
        other = next(n for n in cluster.nodes.values() if n is not leader)
        cluster.disconnect(leader.ip, other.ip, both=True)
        cluster.run_until(lambda: other.live.role is Role.CANDIDATE)
        cluster.isolate(leader.ip)
        cluster.load(0.02, 3.0)
        cluster.run(1.0)


class Scenarios(unittest.TestCase):
    def start_cluster(self, seed: int = 1, count: int = 3, **more: Any) -> tuple[Cluster, Node]:
        """A cluster with a leader and some acknowledged entries."""
        cluster = Cluster(seed, count, **more)
        leader = cluster.wait_for_leader()
        cluster.load(0.02, 30.0)
        cluster.run(0.5)
        self.assertTrue(cluster.acknowledged)
        return cluster, leader

    def others(self, cluster: Cluster, *but: Node) -> list[Node]:
        return [n for n in cluster.nodes.values() if n not in but]

    def assert_progress(self, cluster: Cluster, within: float) -> None:
        """New proposals are acknowledged within this many seconds."""
        last = max(cluster.acknowledged, default=0)
        cluster.run_until(lambda: max(cluster.acknowledged, default=0) > last + 3, within)

    def test_first_start(self) -> None:
        for seed in range(20):
            cluster = Cluster(seed)
            cluster.run_until(lambda c=cluster: c.leader() is not None, 3.0)  # type: ignore[misc]

    def test_leader_that_reaches_nobody(self) -> None:
        for seed in range(10):
            cluster, leader = self.start_cluster(seed)
            cluster.isolate(leader.ip, receives=True)
            cluster.run(0.2)
            self.assert_progress(cluster, 2.5)
            self.assertIsNot(cluster.wait_for_leader(), leader)
            cluster.recover_and_check()

    def test_leader_that_hears_nothing(self) -> None:
        """It must step down by itself, or its heartbeats would keep the others from electing another."""
        for seed in range(10):
            cluster, leader = self.start_cluster(seed)
            cluster.isolate(leader.ip, reaches=True)
            cluster.run(0.2)
            self.assert_progress(cluster, 3.5)
            self.assertIsNot(cluster.wait_for_leader(), leader)
            cluster.recover_and_check()

    def test_follower_partitioned_one_way_does_not_disrupt_the_leader(self) -> None:
        for receives in (False, True):
            cluster, leader = self.start_cluster(3)
            term = leader.live.term
            cluster.isolate(self.others(cluster, leader)[0].ip, receives=receives, reaches=not receives)
            cluster.run(5.0)
            cluster.disconnected.clear()
            cluster.run(2.0)
            self.assertIs(cluster.leader(), leader)
            self.assertEqual(leader.live.term, term)

    def test_isolated_node_returns(self) -> None:
        cluster, leader = self.start_cluster(4)
        term = leader.live.term
        cluster.isolate(self.others(cluster, leader)[0].ip)
        cluster.run(10.0)
        cluster.disconnected.clear()
        cluster.run(2.0)
        self.assertEqual((cluster.wait_for_leader(), leader.live.term), (leader, term))
        cluster.recover_and_check()

    def test_frozen_leader_wakes(self) -> None:
        for seed in range(10):
            cluster, leader = self.start_cluster(seed)
            cluster.freeze(leader)
            cluster.run(0.2)
            self.assert_progress(cluster, 2.5)
            new = cluster.wait_for_leader()
            term = new.live.term
            self.assertFalse(leader.live.has_lease(cluster.now))
            cluster.thaw(leader)
            cluster.run(2.0)
            self.assertEqual(
                (cluster.wait_for_leader(), new.live.term, leader.live.role), (new, term, Role.FOLLOWER)
            )
            cluster.recover_and_check()

    def test_frozen_leader_does_not_trust_old_answers(self) -> None:
        cluster, leader = self.start_cluster(2)
        cluster.freeze(leader)
        cluster.run(3.0)
        for call in leader.deferred_calls[:20]:
            leader.frozen = False
            call()
            self.assertFalse(leader.live.has_lease(cluster.now))
            self.assertFalse(
                leader.live.in_contact_with_quorum(cluster.now) and leader.live.role == Role.LEADER
            )

    def test_disk_hung_while_leading(self) -> None:
        for seed in range(10):
            cluster, leader = self.start_cluster(seed)
            leader.disk.hung_until = cluster.now + 8.0
            cluster.run(0.1)
            cluster.run_until(lambda c=cluster, n=leader: c.leader() not in (None, n), 1.5)  # type: ignore[misc]
            self.assert_progress(cluster, 1.0)
            cluster.run(5.0)
            self.assertIsNot(cluster.wait_for_leader(), leader)
            cluster.recover_and_check()

    def test_machines_lose_their_disks_one_after_the_other(self) -> None:
        for seed in range(6):
            cluster, leader = self.start_cluster(seed)
            for node in (leader, *self.others(cluster, leader)):
                cluster.lose_disk(node)
                cluster.run(0.3)
                cluster.start(node)
                self.assertEqual(node.live.role, Role.LEARNER)
                cluster.run_until(lambda c=cluster: c.all_rejoined(), 6.0)  # type: ignore[misc]
            self.assertEqual(sorted(cluster.wait_for_leader().live.voters), ["n0#1", "n1#1", "n2#1"])
            cluster.recover_and_check()

    def test_disk_loss_then_power_loss_of_all(self) -> None:
        for seed in range(10):
            cluster, leader = self.start_cluster(seed)
            for n, node in enumerate(cluster.nodes.values()):
                (cluster.lose_disk if n == seed % 3 else cluster.lose_power)(node)
            for node in cluster.nodes.values():
                cluster.start(node)
            cluster.recover_and_check()

    def test_all_power_lost_and_again_in_recovery(self) -> None:
        for seed in range(10):
            cluster, _ = self.start_cluster(seed)
            for again in (0.3, 0.75, 1.0):
                for node in cluster.nodes.values():
                    cluster.lose_power(node)
                for node in cluster.nodes.values():
                    cluster.start(node)
                cluster.run(again)
            cluster.recover_and_check()

    def test_snapshot_half_sent(self) -> None:
        """In the middle of a snapshot of many chunks the learner loses power, then the leader does."""
        cluster, leader = self.start_cluster(5)
        cluster.run(1.5)
        cluster.snapshot_every = 1_000_000
        big = b"".join(bytes([n % 251]) * 1000 for n in range(600))
        for node in cluster.nodes.values():
            log = node.live.log
            log.retained_entries = 0
            log.compact(log.snapshot)
            log.snapshot.data = big  # not the committed data: only the transfer is tested
        learner = self.others(cluster, leader)[0]
        cluster.restore = self.skip_restore  # type: ignore[method-assign]
        cluster.lose_disk(learner)
        cluster.start(learner)
        self.run_until_half_received(cluster, learner)
        cluster.lose_power(learner)
        cluster.start(learner)
        self.run_until_half_received(cluster, learner)
        cluster.lose_power(leader)
        cluster.run(0.1)
        cluster.start(leader)
        cluster.run_until(lambda: learner.live.log.snapshot.data == big, 10.0)

    def skip_restore(self, node: Node, action: Restore) -> None:
        node.applied_index = action.index

    def run_until_half_received(self, cluster: Cluster, learner: Node) -> None:
        cluster.run_until(
            lambda: len(getattr(learner.live.follower.incoming_snapshot, "data", b"")) > 200_000
        )

    def test_follower_far_behind(self) -> None:
        cluster, leader = self.start_cluster(6)
        behind = self.others(cluster, leader)[0]
        cluster.lose_power(behind)
        cluster.load(0.002, 3.0)
        cluster.run(4.0)
        self.assertGreater(
            leader.live.log.base_index, 700, "the log was compacted, so the follower needs a snapshot"
        )
        cluster.start(behind)
        cluster.run_until(lambda: behind.applied_index >= leader.applied_index - 20, 3.0)
        cluster.recover_and_check()

    def test_spare_replaces_a_failed_voter(self) -> None:
        cluster, leader = self.start_cluster(7, spares=1)
        cluster.run(2.0)
        self.assertEqual(sorted(leader.live.voters), ["n0#0", "n1#0", "n2#0"])
        removed = self.others(cluster, leader, cluster.nodes["n3"])[0]
        cluster.lose_power(removed)
        cluster.run_until(lambda: "n3#0" in cluster.wait_for_leader().live.voters, 8.0)
        cluster.run_until(lambda: removed.name not in cluster.wait_for_leader().live.voters, 0.5)
        self.assertEqual(len(cluster.wait_for_leader().live.voters), 3)
        cluster.start(removed)
        cluster.run_until(lambda: removed.live.role == Role.LEARNER, 5.0)
        cluster.run(3.0)
        self.assertEqual(
            removed.live.leader,
            cluster.wait_for_leader().name,
            "it is replicated to as long as it requests to join",
        )

    def test_grows_to_five(self) -> None:
        cluster = Cluster(8, 3, spares=2)
        cluster.voter_count = 5
        for node in cluster.nodes.values():
            node.live.reconfiguration.policy.target_size = 5
        cluster.run_until(cluster.is_consistent, 10.0)
        self.assertEqual(len(cluster.wait_for_leader().live.voters), 5)

    def test_lossy_links(self) -> None:
        cluster, _ = self.start_cluster(9)
        cluster.loss = 0.3
        cluster.run(10.0)
        self.assertGreater(len(cluster.acknowledged), 100)
        cluster.recover_and_check()


class MembershipChanges(unittest.TestCase):
    """Voter changes while disks are lost and machines return, are replaced, or are gone permanently."""

    def walk(self, seed: int, node_type: type[RaftNode] = RaftNode) -> Chaos:
        chaos = Chaos(seed, 5 if seed % 3 == 0 else 3, seed % 4 // 2, node_type)
        chaos.run_scenario(STEPS)
        return chaos

    def test_adversary(self) -> None:
        losses = removed = 0
        for seed in range(WALKS):
            with self.subTest(seed=seed):
                chaos = self.walk(seed)
                losses += chaos.disk_losses
                removed += sum(machine.removed for machine in chaos.machines.values())
        self.assertGreater((losses, removed), (2 * WALKS, 5), "too few losses for a meaningful test")

    def test_adversary_finds_injected_faults(self) -> None:
        for node_type in (ForgetsVote, CountsUnsyncedNode):
            with (
                self.subTest(node_type.__name__),
                self.assertRaises((InvariantViolationError, ConsensusViolationError)),
            ):
                for seed in range(WALKS):
                    self.walk(seed, node_type)

    def test_vote_of_a_disk_that_was_lost(self) -> None:
        """n0 leads. n2 votes for n1 in a newer term and loses its disk before n0 learns of that term. n0 adds
        n2 again: if n0 and n2 then form a majority without n1, two leaders commit different entries.
        """
        with self.assertRaises((InvariantViolationError, ConsensusViolationError)):
            self.vote_then_disk_loss(SwapsAtOnceNode)
        self.vote_then_disk_loss(RaftNode)

    def vote_then_disk_loss(self, node_type: type[RaftNode]) -> None:
        chaos = Chaos(1, node_type=node_type)
        old, new, lost = chaos.machines.values()
        lead = {old.ip, new.ip, lost.ip}
        for machine, seconds in ((new, 0.61), (lost, 0.61), (old, 1.3)):
            chaos.tick(machine, seconds)
        self.exchange_messages(chaos, lead)
        self.assertEqual(old.core and old.core.role, Role.LEADER)
        for machine, seconds in ((lost, 0.61), (new, 1.3)):
            chaos.tick(machine, seconds)
        self.exchange_messages(
            chaos, {new.ip, lost.ip}, until=lambda: new.core is not None and new.core.role == Role.LEADER
        )
        self.assertEqual((new.core and new.core.role, old.core and old.core.role), (Role.LEADER, Role.LEADER))
        chaos.in_flight.clear()
        self.assertTrue(chaos.lose_disk(lost))
        chaos.start(lost)
        for _ in range(6):
            chaos.tick(lost, 0.02)
            chaos.tick(old, 0.02)
            self.exchange_messages(chaos, {old.ip, lost.ip})
        chaos.propose(old)
        self.exchange_messages(chaos, {old.ip, lost.ip})
        chaos.recover_and_check()

    def exchange_messages(self, chaos: Chaos, ips: set[str], until: Any = lambda: False) -> None:
        """Deliver all messages between these and complete their writes; other messages are lost."""
        for _ in range(30):
            in_flight, chaos.in_flight = chaos.in_flight, []
            for src, to, message in in_flight:
                if {address_of(src), address_of(to)} <= ips and not until():
                    chaos.arrive(src, to, message)
            for ip in sorted(ips):
                if not until():
                    chaos.complete_write(chaos.machines[ip])

    def test_two_of_five_wiped_at_different_times(self) -> None:
        for seed in range(6):
            cluster = Cluster(seed, 5)
            leader = cluster.wait_for_leader()
            cluster.load(0.02, 30.0)
            cluster.run(0.5)
            first, second = leader, next(n for n in cluster.nodes.values() if n is not leader)
            cluster.lose_disk(first)
            cluster.run(0.2)
            cluster.start(first)
            cluster.run((0.05, 0.3, 0.6, 0.9, 1.2, 1.5)[seed])
            cluster.lose_disk(second)
            for node in cluster.nodes.values():  # and the others lose power
                if node.core is not None:
                    cluster.lose_power(node)
            for node in cluster.nodes.values():
                cluster.start(node)
            cluster.recover_and_check()
            self.assertTrue({first.name, second.name} <= set(cluster.wait_for_leader().live.voters))

    def test_two_of_five_lost_for_good(self) -> None:
        """The three remaining voters continue, and one of them may still lose power temporarily."""
        cluster = Cluster(3, 5)
        for removed in (cluster.wait_for_leader(), cluster.nodes["n4"]):
            cluster.lose_power(removed)
        cluster.load(0.02, 30.0)
        cluster.run_until(lambda: len(cluster.acknowledged) > 20, 5.0)
        again = cluster.wait_for_leader()
        cluster.lose_power(again)
        cluster.run(1.0)
        cluster.start(again)
        last = max(cluster.acknowledged)
        cluster.run_until(lambda: max(cluster.acknowledged) > last + 20, 5.0)

    def test_removed_machine_votes_again_under_its_old_name(self) -> None:
        """When the spare that replaced it fails, it is added again with its old disk, like any learner."""
        cluster = Cluster(7, 3, spares=1)
        leader = cluster.wait_for_leader()
        cluster.load(0.02, 60.0)
        removed, spare = next(n for n in cluster.nodes.values() if n is not leader), cluster.nodes["n3"]
        cluster.lose_power(removed)
        cluster.run_until(lambda: spare.name in cluster.wait_for_leader().live.voters, 8.0)
        cluster.start(removed)
        cluster.run(2.0)
        self.assertEqual(removed.live.role, Role.LEARNER)
        cluster.lose_power(spare)
        cluster.run_until(lambda: removed.name in cluster.wait_for_leader().live.voters, 8.0)
        cluster.run_until(lambda: spare.name not in cluster.wait_for_leader().live.voters, 0.5)
        cluster.start(spare)
        cluster.recover_and_check()


class SingleNode(unittest.TestCase):
    """A single core, driven step by step."""

    def core(self, saved: PersistedState | None = None) -> RaftNode:
        return RaftNode("a#0", saved, ("a#0", "b#0", "c#0"), Timing(), 1, 0.0)

    def votes(self, actions: list[Any]) -> list[tuple[str, RequestVoteResponse]]:
        return [
            (a.to, a.message)
            for a in actions
            if isinstance(a, Send) and isinstance(a.message, RequestVoteResponse)
        ]

    def test_vote_waits_for_the_disk(self) -> None:
        core = self.core()
        first = [a for a in core.tick(0.0) if isinstance(a, Persist)]
        core.persisted(0.01, first[0].write_id)
        out = core.receive(5.0, "b#0", RequestVote(3, 9, 2, False))
        self.assertEqual(self.votes(out), [])
        persist = next(a for a in out if isinstance(a, Persist))
        self.assertEqual((persist.term, persist.voted_for), (3, "b#0"))
        other = self.votes(core.receive(5.0, "c#0", RequestVote(3, 9, 2, False)))
        self.assertEqual([vote.granted for _, vote in other], [False])
        out = core.persisted(5.01, persist.write_id)
        self.assertEqual(self.votes(out), [("b#0", RequestVoteResponse(3, True))])

    def test_restart_keeps_the_vote_and_restores_the_snapshot(self) -> None:
        members = ("a#0", "b#0", "c#0")
        core = self.core(PersistedState(4, "b#0", Snapshot(7, 3, members, b"image"), ()))
        out = core.tick(0.0)
        self.assertIn(Restore(7, b"image"), out)
        self.assertEqual((core.term, core.voted_for, core.voters, core.last_applied), (4, "b#0", members, 7))
        out = core.receive(5.0, "c#0", RequestVote(4, 99, 4, False))
        self.assertEqual(self.votes(out)[0][1].granted, False)

    def test_proposals_gather_while_the_disk_writes(self) -> None:
        core = RaftNode("a#0", None, ("a#0",), Timing(), 1, 0.0)
        now, pending = 0.0, list[Persist]()
        while core.role != Role.LEADER or pending:
            now += 0.02
            out = core.tick(now)
            out += [b for p in pending for b in core.persisted(now, p.write_id)]
            pending = [a for a in out if isinstance(a, Persist)]
        placed = [core.propose(now, b"%d" % n) for n in range(5)]
        self.assertEqual([p and p[0] - placed[0][0] for p in placed if placed[0]], [0, 1, 2, 3, 4])
        out = core.drain()
        persists = [a for a in out if isinstance(a, Persist)]
        self.assertEqual([len(p.entries) for p in persists], [1])
        out = core.persisted(now, persists[0].write_id)
        self.assertEqual([len(a.entries) for a in out if isinstance(a, Persist)], [4])

    def test_messages_can_be_packed(self) -> None:
        core = self.core()
        for now in (0.0, 1.3, 1.5):
            for action in core.tick(now):
                if isinstance(action, Send):
                    msgpack.packb(encode_message(action.message))
