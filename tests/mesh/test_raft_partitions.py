"""One-way partitions of 20 s, restarts during them, and leases that expire in time."""

from __future__ import annotations

import itertools
import unittest
from collections.abc import Callable

from minthitch.mesh.raft.actions import Action
from minthitch.mesh.raft.election import Election
from minthitch.mesh.raft.errors import ConsensusViolationError
from minthitch.mesh.raft.leader import Leader
from minthitch.mesh.raft.node import RaftNode
from tests.mesh.cluster import Cluster, InvariantViolationError, Node

PARTITION_S = 20.0
SEEDS = (1,)
RESTARTS = (None, 0.2, 5.0, 19.9)  # seconds into the partition at which the partitioned node restarts


class LeaseByArrival(Leader):
    """Injected fault: the lease counts from the arrival of responses, not from when messages were sent."""

    def quorum_acknowledged_sent_at(self, now: float) -> float:
        return self.quorum_last_response_at(now)


class LeaseByArrivalNode(RaftNode):
    leader_type = LeaseByArrival


class LeadsWithoutContact(Leader):
    """Injected fault: a leader continues although no majority responds."""

    def has_lost_quorum(self, now: float) -> bool:
        return False

    def quorum_acknowledged_sent_at(self, now: float) -> float:
        return now


class LeadsWithoutContactNode(RaftNode):
    leader_type = LeadsWithoutContact


class CommitsWithoutQuorum(Leader):
    """Injected fault: a single other copy counts as a majority."""

    def update_commit_index(self, now: float) -> None:
        member = self._member
        index = max([progress.match_index for progress in self.peers.values()], default=0)
        if member.commit_index < index <= member.log.durable and member.log.term_at(index) == member.term:
            member.advance_commit_index(index)


class CommitsWithoutQuorumNode(RaftNode):
    leader_type = CommitsWithoutQuorum


class LeadsOnAfterRestart(RaftNode):
    """Injected fault: a restarted member resumes leadership if it had voted for itself."""

    def tick(self, now: float) -> list[Action]:
        if not hasattr(self, "looked"):
            self.looked = True
            if self.voted_for == self.name and not self.is_leader:
                self.leader_state.start(now)
        return super().tick(now)


class DisruptsOnReturn(Election):
    """Injected fault: starts an election without a pre-vote, although there is a leader."""

    def _start_pre_vote(self, now: float) -> None:
        self._start_candidacy(now, leadership_transfer=True)


class DisruptsOnReturnNode(RaftNode):
    election_type = DisruptsOnReturn


def run_checked(cluster: Cluster, seconds: float) -> None:
    """Run for some time, and check repeatedly that at most one node has a lease."""
    end = cluster.now + seconds
    while cluster.now < end:
        cluster.run(0.1)
        holding = [
            node
            for node in cluster.nodes.values()
            if node.core is not None and not node.frozen and node.core.has_lease(cluster.now)
        ]
        if len(holding) > 1:
            raise InvariantViolationError(f"leases of {[node.name for node in holding]} at the same time")
        for node in holding:
            cluster.check_leader(node)


class Partitions(unittest.TestCase):
    def start_cluster(self, seed: int, spares: int = 0) -> tuple[Cluster, Node]:
        cluster = Cluster(seed, 3, spares=spares)
        leader = cluster.wait_for_leader()
        cluster.load(0.1, PARTITION_S + 10.0)
        cluster.run(0.5)
        return cluster, leader

    def disconnect(
        self,
        seed: int,
        pick: Callable[[Node, Cluster], Node],
        receives: bool,
        restart: float | None,
        spares: int = 0,
    ) -> tuple[Cluster, Node]:
        """Partition the picked node one way for 20 s and restart it meanwhile; the others make progress."""
        cluster, leader = self.start_cluster(seed, spares)
        node = pick(leader, cluster)
        cluster.isolate(node.ip, receives=receives, reaches=not receives)
        if restart is not None:
            cluster.call_later(restart, lambda: self.restart(cluster, node))
        run_checked(cluster, 4.0)
        last = max(cluster.acknowledged)
        run_checked(cluster, PARTITION_S - 4.0)
        self.assertGreater(max(cluster.acknowledged), last + 60)
        return cluster, node

    def restart(self, cluster: Cluster, node: Node) -> None:
        cluster.kill(node)
        cluster.start(node)

    def assert_undisturbed_return(self, cluster: Cluster, node: Node) -> None:
        """The returning node does not disrupt a working leader and is soon in contact with it."""
        leader = cluster.wait_for_leader()
        self.assertIsNot(leader, node)
        term = leader.live.term
        cluster.disconnected.clear()
        run_checked(cluster, 3.0)
        self.assertEqual((cluster.wait_for_leader(), leader.live.term), (leader, term))
        self.assertTrue(node.live.in_contact_with_quorum(cluster.now))
        cluster.recover_and_check()

    def test_a_follower(self) -> None:
        def follower(leader: Node, cluster: Cluster) -> Node:
            return next(node for node in cluster.nodes.values() if node is not leader)

        for seed, receives, restart in itertools.product(SEEDS, (False, True), RESTARTS):
            with self.subTest(seed=seed, receives=receives, restart=restart):
                self.assert_undisturbed_return(*self.disconnect(seed, follower, receives, restart))

    def test_the_leader(self) -> None:
        for seed, receives, restart in itertools.product(SEEDS, (False, True), RESTARTS):
            with self.subTest(seed=seed, receives=receives, restart=restart):
                self.assert_undisturbed_return(
                    *self.disconnect(seed, lambda leader, _: leader, receives, restart)
                )

    def test_one_that_is_replaced_by_a_spare(self) -> None:
        """It returns as a learner, and the leader is not disrupted."""
        for leads, receives, restart in itertools.product((False, True), (False, True), (None, 5.0)):
            with self.subTest(leads=leads, receives=receives, restart=restart):

                def pick(leader: Node, cluster: Cluster, leads: bool = leads) -> Node:
                    founders = [node for node in cluster.nodes.values() if node.ip != "n3"]
                    return next(node for node in founders if (node is leader) == leads)

                cluster, node = self.disconnect(1, pick, receives, restart, spares=1)
                self.assertNotIn(node.name, cluster.wait_for_leader().live.voters)
                self.assert_undisturbed_return(cluster, node)
                self.assertNotIn(node.name, cluster.wait_for_leader().live.voters)

    def test_one_direction_of_one_link(self) -> None:
        """Only between the leader and one follower, one way; the other two links work."""
        for seed, out in itertools.product(range(2), (False, True)):
            with self.subTest(seed=seed, out=out):
                cluster, leader = self.start_cluster(seed)
                other = next(node for node in cluster.nodes.values() if node is not leader)
                cluster.disconnect(*((leader.ip, other.ip) if out else (other.ip, leader.ip)))
                run_checked(cluster, 4.0)
                last = max(cluster.acknowledged)
                run_checked(cluster, PARTITION_S - 4.0)
                self.assertGreater(max(cluster.acknowledged), last + 60)
                self.assertIs(cluster.wait_for_leader(), leader)
                cluster.disconnected.clear()
                run_checked(cluster, 2.0)
                self.assertIs(cluster.wait_for_leader(), leader)
                cluster.recover_and_check()


class InjectedFaults(unittest.TestCase):
    """A partition reveals each of these faults; the unchanged core passes the same scenarios."""

    def assert_fault_found(
        self, node_type: type[RaftNode], scenario: Callable[[type[RaftNode], int], None]
    ) -> None:
        for seed in range(8):
            scenario(RaftNode, seed)
        with self.assertRaises((InvariantViolationError, ConsensusViolationError)):
            for seed in range(8):
                scenario(node_type, seed)

    def frozen_leader(self, node_type: type[RaftNode], seed: int) -> None:
        """The leader freezes with responses in transit and another is elected; then it reads them."""
        cluster = Cluster(seed, 3, node_type)
        leader = cluster.wait_for_leader()
        cluster.load(0.02, 6.0)
        cluster.run(0.5 + 0.013 * seed)
        cluster.freeze(leader)
        cluster.run(3.0)
        leader.frozen = False
        deferred, leader.deferred_calls = leader.deferred_calls, []
        for call in deferred:
            call()
            others = [n for n in cluster.nodes.values() if n is not leader and n.live.has_lease(cluster.now)]
            if leader.live.has_lease(cluster.now) and others:
                raise InvariantViolationError("a stale lease")
            cluster.check_leader(leader)

    def isolated_leader(self, node_type: type[RaftNode], seed: int) -> None:
        cluster = Cluster(seed, 5, node_type)
        leader = cluster.wait_for_leader()
        cluster.load(0.02, 6.0)
        cluster.run(0.5)
        for ip in [ip for ip in cluster.nodes if ip != leader.ip][1:]:
            cluster.disconnect(leader.ip, ip, both=True)
            cluster.disconnect(next(i for i in cluster.nodes if i != leader.ip), ip, both=True)
        run_checked(cluster, 4.0)
        cluster.recover_and_check()

    def restarted_leader(self, node_type: type[RaftNode], seed: int) -> None:
        cluster = Cluster(seed, 3, node_type)
        leader = cluster.wait_for_leader()
        cluster.load(0.02, 6.0)
        cluster.run(0.5)
        cluster.lose_power(leader)
        cluster.run(0.05)
        cluster.start(leader)
        run_checked(cluster, 3.0)
        cluster.recover_and_check()

    def returning_follower(self, node_type: type[RaftNode], seed: int) -> None:
        cluster = Cluster(seed, 3, node_type)
        leader = cluster.wait_for_leader()
        cluster.load(0.05, 6.0)
        node = next(n for n in cluster.nodes.values() if n is not leader)
        cluster.isolate(node.ip)
        run_checked(cluster, 5.0)
        cluster.disconnected.clear()
        run_checked(cluster, 2.0)
        if cluster.wait_for_leader() is not leader:
            raise InvariantViolationError("a working leader is replaced")

    def test_a_lease_not_bounded_by_the_leaders_send_times(self) -> None:
        self.assert_fault_found(LeaseByArrivalNode, self.frozen_leader)

    def test_a_leader_without_contact(self) -> None:
        self.assert_fault_found(LeadsWithoutContactNode, self.isolated_leader)

    def test_a_commit_without_a_majority(self) -> None:
        self.assert_fault_found(CommitsWithoutQuorumNode, self.isolated_leader)

    def test_a_restarted_member_that_leads_with_old_state(self) -> None:
        self.assert_fault_found(LeadsOnAfterRestart, self.restarted_leader)

    def test_a_returning_member_that_disrupts_the_leader(self) -> None:
        self.assert_fault_found(DisruptsOnReturnNode, self.returning_follower)
