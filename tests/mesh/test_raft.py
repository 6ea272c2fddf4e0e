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
from tests.mesh.cluster import Cluster, Node, Schedule, Wrong

SCHEDULES = 180
WALKS, STEPS = 120, 4_000  # of the adversary


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


class ForgetsLease(Election):
    """Injected fault: votes for another although a leader was just heard from."""

    def hears_live_leader(self, now: float) -> bool:
        return False


class ForgetsLeaseNode(RaftNode):
    election_type = ForgetsLease


class SwapsAtOnce(Reconfiguration):
    """Injected fault: removes the old name and adds the new one in one change."""

    def voters_adding(self, view: VoterView, learner: str) -> Voters | None:
        old = next((name for name in view.voters if address_of(name) == address_of(learner)), None)
        if old is None or old == view.leader:
            return super().voters_adding(view, learner)
        return tuple(sorted((*(name for name in view.voters if name != old), learner)))


class SwapsAtOnceNode(RaftNode):
    reconfiguration_type = SwapsAtOnce


class Schedules(unittest.TestCase):
    def test_drawn(self) -> None:
        acknowledged = 0
        for seed in range(SCHEDULES):
            with self.subTest(seed=seed):
                acknowledged += len(Schedule(seed).play().acknowledged)
        self.assertGreater(acknowledged, 50 * SCHEDULES, "too few acknowledged entries for a meaningful test")


class Planted(unittest.TestCase):
    """The checks are effective: some schedule finds each of these faults."""

    def find(self, node_type: type[RaftNode], seeds: range) -> None:
        for seed in seeds:
            try:
                Schedule(seed, node_type, seconds=4.0, storm=True).play()
            except (Wrong, ConsensusViolationError):
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
        with self.assertRaises(Wrong):
            for seed in range(40):
                self.disconnected_from_leader(seed, ForgetsLeaseNode)
        for seed in range(40):
            self.disconnected_from_leader(seed, RaftNode)

    def disconnected_from_leader(self, seed: int, node_type: type[RaftNode]) -> None:
        cluster = Cluster(seed, node_type=node_type)
        leader = cluster.led()
        other = next(n for n in cluster.nodes.values() if n is not leader)
        cluster.disconnect(leader.ip, other.ip, both=True)
        cluster.until(lambda: other.live.role is Role.CANDIDATE)
        cluster.isolate(leader.ip)
        cluster.load(0.02, 3.0)
        cluster.run(1.0)


class Named(unittest.TestCase):
    def begun(self, seed: int = 1, count: int = 3, **more: Any) -> tuple[Cluster, Node]:
        """A cluster with a leader and some acknowledged entries."""
        cluster = Cluster(seed, count, **more)
        leader = cluster.led()
        cluster.load(0.02, 30.0)
        cluster.run(0.5)
        self.assertTrue(cluster.acknowledged)
        return cluster, leader

    def others(self, cluster: Cluster, *but: Node) -> list[Node]:
        return [n for n in cluster.nodes.values() if n not in but]

    def goes_on(self, cluster: Cluster, within: float) -> None:
        """New proposals are acknowledged within this many seconds."""
        last = max(cluster.acknowledged, default=0)
        cluster.until(lambda: max(cluster.acknowledged, default=0) > last + 3, within)

    def test_first_start(self) -> None:
        for seed in range(20):
            cluster = Cluster(seed)
            cluster.until(lambda c=cluster: c.leader() is not None, 3.0)  # type: ignore[misc]

    def test_leader_that_reaches_nobody(self) -> None:
        for seed in range(10):
            cluster, leader = self.begun(seed)
            cluster.isolate(leader.ip, receives=True)
            cluster.run(0.2)
            self.goes_on(cluster, 2.5)
            self.assertIsNot(cluster.led(), leader)
            cluster.recover_and_check()

    def test_leader_that_hears_nothing(self) -> None:
        """It must step down by itself, or its heartbeats would keep the others from electing another."""
        for seed in range(10):
            cluster, leader = self.begun(seed)
            cluster.isolate(leader.ip, reaches=True)
            cluster.run(0.2)
            self.goes_on(cluster, 3.5)
            self.assertIsNot(cluster.led(), leader)
            cluster.recover_and_check()

    def test_follower_partitioned_one_way_unseats_nobody(self) -> None:
        for receives in (False, True):
            cluster, leader = self.begun(3)
            term = leader.live.term
            cluster.isolate(self.others(cluster, leader)[0].ip, receives=receives, reaches=not receives)
            cluster.run(5.0)
            cluster.disconnected.clear()
            cluster.run(2.0)
            self.assertIs(cluster.leader(), leader)
            self.assertEqual(leader.live.term, term)

    def test_isolated_node_returns(self) -> None:
        cluster, leader = self.begun(4)
        term = leader.live.term
        cluster.isolate(self.others(cluster, leader)[0].ip)
        cluster.run(10.0)
        cluster.disconnected.clear()
        cluster.run(2.0)
        self.assertEqual((cluster.led(), leader.live.term), (leader, term))
        cluster.recover_and_check()

    def test_frozen_leader_wakes(self) -> None:
        for seed in range(10):
            cluster, leader = self.begun(seed)
            cluster.freeze(leader)
            cluster.run(0.2)
            self.goes_on(cluster, 2.5)
            new = cluster.led()
            term = new.live.term
            self.assertFalse(leader.live.has_lease(cluster.now))
            cluster.thaw(leader)
            cluster.run(2.0)
            self.assertEqual((cluster.led(), new.live.term, leader.live.role), (new, term, Role.FOLLOWER))
            cluster.recover_and_check()

    def test_frozen_leader_does_not_trust_old_answers(self) -> None:
        cluster, leader = self.begun(2)
        cluster.freeze(leader)
        cluster.run(3.0)
        for call in leader.waiting[:20]:
            leader.frozen = False
            call()
            self.assertFalse(leader.live.has_lease(cluster.now))
            self.assertFalse(
                leader.live.in_contact_with_quorum(cluster.now) and leader.live.role == Role.LEADER
            )

    def test_disk_hung_while_leading(self) -> None:
        for seed in range(10):
            cluster, leader = self.begun(seed)
            leader.disk.hung_until = cluster.now + 8.0
            cluster.run(0.1)
            cluster.until(lambda c=cluster, n=leader: c.leader() not in (None, n), 1.5)  # type: ignore[misc]
            self.goes_on(cluster, 1.0)
            cluster.run(5.0)
            self.assertIsNot(cluster.led(), leader)
            cluster.recover_and_check()

    def test_wiped_machine_is_taken_in_then_another_is_wiped(self) -> None:
        for seed in range(6):
            cluster, leader = self.begun(seed)
            for node in (leader, *self.others(cluster, leader)):
                cluster.lose_disk(node)
                cluster.run(0.3)
                cluster.start(node)
                self.assertEqual(node.live.role, Role.LEARNER)
                cluster.until(lambda c=cluster: c.taken_in(), 6.0)  # type: ignore[misc]
            self.assertEqual(sorted(cluster.led().live.voters), ["n0#1", "n1#1", "n2#1"])
            cluster.recover_and_check()

    def test_wiped_then_all_power_lost(self) -> None:
        for seed in range(10):
            cluster, leader = self.begun(seed)
            for n, node in enumerate(cluster.nodes.values()):
                (cluster.lose_disk if n == seed % 3 else cluster.power)(node)
            for node in cluster.nodes.values():
                cluster.start(node)
            cluster.recover_and_check()

    def test_all_power_lost_and_again_in_recovery(self) -> None:
        for seed in range(10):
            cluster, _ = self.begun(seed)
            for again in (0.3, 0.75, 1.0):
                for node in cluster.nodes.values():
                    cluster.power(node)
                for node in cluster.nodes.values():
                    cluster.start(node)
                cluster.run(again)
            cluster.recover_and_check()

    def test_snapshot_half_sent(self) -> None:
        """In the middle of a snapshot of many chunks the learner loses power, then the leader does."""
        cluster, leader = self.begun(5)
        cluster.run(1.5)
        cluster.snapshot_every = 1_000_000
        big = b"".join(bytes([n % 251]) * 1000 for n in range(600))
        for node in cluster.nodes.values():
            log = node.live.log
            log.retained_entries = 0
            log.compact(log.snapshot)
            log.snapshot.data = big  # not the committed data: only the transfer is tested
        learner = self.others(cluster, leader)[0]
        cluster.restore = self.placed  # type: ignore[method-assign]
        cluster.lose_disk(learner)
        cluster.start(learner)
        self.half(cluster, learner)
        cluster.power(learner)
        cluster.start(learner)
        self.half(cluster, learner)
        cluster.power(leader)
        cluster.run(0.1)
        cluster.start(leader)
        cluster.until(lambda: learner.live.log.snapshot.data == big, 10.0)

    def placed(self, node: Node, action: Restore) -> None:
        node.applied_index = action.index

    def half(self, cluster: Cluster, learner: Node) -> None:
        cluster.until(lambda: len(getattr(learner.live.follower.incoming_snapshot, "data", b"")) > 200_000)

    def test_follower_far_behind(self) -> None:
        cluster, leader = self.begun(6)
        behind = self.others(cluster, leader)[0]
        cluster.power(behind)
        cluster.load(0.002, 3.0)
        cluster.run(4.0)
        self.assertGreater(
            leader.live.log.base_index, 700, "the log was compacted, so the follower needs a snapshot"
        )
        cluster.start(behind)
        cluster.until(lambda: behind.applied_index >= leader.applied_index - 20, 3.0)
        cluster.recover_and_check()

    def test_spare_replaces_a_failed_voter(self) -> None:
        cluster, leader = self.begun(7, spares=1)
        cluster.run(2.0)
        self.assertEqual(sorted(leader.live.voters), ["n0#0", "n1#0", "n2#0"])
        removed = self.others(cluster, leader, cluster.nodes["n3"])[0]
        cluster.power(removed)
        cluster.until(lambda: "n3#0" in cluster.led().live.voters, 8.0)
        cluster.until(lambda: removed.name not in cluster.led().live.voters, 0.5)
        self.assertEqual(len(cluster.led().live.voters), 3)
        cluster.start(removed)
        cluster.until(lambda: removed.live.role == Role.LEARNER, 5.0)
        cluster.run(3.0)
        self.assertEqual(
            removed.live.leader, cluster.led().name, "it is replicated to as long as it requests to join"
        )

    def test_grows_to_five(self) -> None:
        cluster = Cluster(8, 3, spares=2)
        cluster.wanted = 5
        for node in cluster.nodes.values():
            node.live.reconfiguration.policy.target_size = 5
        cluster.until(cluster.is_consistent, 10.0)
        self.assertEqual(len(cluster.led().live.voters), 5)

    def test_lossy_links(self) -> None:
        cluster, _ = self.begun(9)
        cluster.loss = 0.3
        cluster.run(10.0)
        self.assertGreater(len(cluster.acknowledged), 100)
        cluster.recover_and_check()


class Members(unittest.TestCase):
    """Voter changes while disks are lost and machines return, are replaced, or are gone permanently."""

    def walk(self, seed: int, node_type: type[RaftNode] = RaftNode) -> Chaos:
        chaos = Chaos(seed, 5 if seed % 3 == 0 else 3, seed % 4 // 2, node_type)
        chaos.play(STEPS)
        return chaos

    def test_adversary(self) -> None:
        losses = removed = 0
        for seed in range(WALKS):
            with self.subTest(seed=seed):
                chaos = self.walk(seed)
                losses += chaos.losses
                removed += sum(machine.removed for machine in chaos.machines.values())
        self.assertGreater((losses, removed), (2 * WALKS, 5), "too few losses for a meaningful test")

    def test_adversary_finds_what_is_planted(self) -> None:
        for node_type in (ForgetsVote, CountsUnsyncedNode):
            with self.subTest(node_type.__name__), self.assertRaises((Wrong, ConsensusViolationError)):
                for seed in range(WALKS):
                    self.walk(seed, node_type)

    def test_vote_of_a_disk_that_was_lost(self) -> None:
        """n0 leads. n2 votes for n1 in a newer term and loses its disk before n0 learns of that term. n0 adds
        n2 again: if n0 and n2 then form a majority without n1, two leaders commit different entries.
        """
        with self.assertRaises((Wrong, ConsensusViolationError)):
            self.voted_and_lost(SwapsAtOnceNode)
        self.voted_and_lost(RaftNode)

    def voted_and_lost(self, node_type: type[RaftNode]) -> None:
        chaos = Chaos(1, node_type=node_type)
        old, new, lost = chaos.machines.values()
        lead = {old.ip, new.ip, lost.ip}
        for machine, seconds in ((new, 0.61), (lost, 0.61), (old, 1.3)):
            chaos.tick(machine, seconds)
        self.among(chaos, lead)
        self.assertEqual(old.core and old.core.role, Role.LEADER)
        for machine, seconds in ((lost, 0.61), (new, 1.3)):
            chaos.tick(machine, seconds)
        self.among(
            chaos, {new.ip, lost.ip}, until=lambda: new.core is not None and new.core.role == Role.LEADER
        )
        self.assertEqual((new.core and new.core.role, old.core and old.core.role), (Role.LEADER, Role.LEADER))
        chaos.wire.clear()
        self.assertTrue(chaos.lose_disk(lost))
        chaos.start(lost)
        for _ in range(6):
            chaos.tick(lost, 0.02)
            chaos.tick(old, 0.02)
            self.among(chaos, {old.ip, lost.ip})
        chaos.propose(old)
        self.among(chaos, {old.ip, lost.ip})
        chaos.recover_and_check()

    def among(self, chaos: Chaos, ips: set[str], until: Any = lambda: False) -> None:
        """Deliver all messages between these and complete their writes; other messages are lost."""
        for _ in range(30):
            wire, chaos.wire = chaos.wire, []
            for src, to, message in wire:
                if {address_of(src), address_of(to)} <= ips and not until():
                    chaos.arrive(src, to, message)
            for ip in sorted(ips):
                if not until():
                    chaos.sync(chaos.machines[ip])

    def test_two_of_five_wiped_at_different_times(self) -> None:
        for seed in range(6):
            cluster = Cluster(seed, 5)
            leader = cluster.led()
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
                    cluster.power(node)
            for node in cluster.nodes.values():
                cluster.start(node)
            cluster.recover_and_check()
            self.assertTrue({first.name, second.name} <= set(cluster.led().live.voters))

    def test_two_of_five_lost_for_good(self) -> None:
        """The three remaining voters continue, and one of them may still lose power temporarily."""
        cluster = Cluster(3, 5)
        for removed in (cluster.led(), cluster.nodes["n4"]):
            cluster.power(removed)
        cluster.load(0.02, 30.0)
        cluster.until(lambda: len(cluster.acknowledged) > 20, 5.0)
        again = cluster.led()
        cluster.power(again)
        cluster.run(1.0)
        cluster.start(again)
        last = max(cluster.acknowledged)
        cluster.until(lambda: max(cluster.acknowledged) > last + 20, 5.0)

    def test_removed_machine_votes_again_under_its_old_name(self) -> None:
        """When the spare that replaced it fails, it is added again with its old disk, like any learner."""
        cluster = Cluster(7, 3, spares=1)
        leader = cluster.led()
        cluster.load(0.02, 60.0)
        removed, spare = next(n for n in cluster.nodes.values() if n is not leader), cluster.nodes["n3"]
        cluster.power(removed)
        cluster.until(lambda: spare.name in cluster.led().live.voters, 8.0)
        cluster.start(removed)
        cluster.run(2.0)
        self.assertEqual(removed.live.role, Role.LEARNER)
        cluster.power(spare)
        cluster.until(lambda: removed.name in cluster.led().live.voters, 8.0)
        cluster.until(lambda: spare.name not in cluster.led().live.voters, 0.5)
        cluster.start(spare)
        cluster.recover_and_check()


class Single(unittest.TestCase):
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
