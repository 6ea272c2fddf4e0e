"""Graceful shutdown: leadership is transferred, and no data exists only on the member that exits."""

from __future__ import annotations

import itertools
import unittest
from typing import Any

from minthitch.mesh.raft.actions import Persist, Timing
from minthitch.mesh.raft.leadership_transfer import LeadershipTransfer
from minthitch.mesh.raft.node import RaftNode
from minthitch.mesh.raft.shutdown import GracefulShutdown
from minthitch.mesh.raft.shutdown_state import SHUTDOWN_TIMEOUT_S
from tests.mesh.cluster import Cluster, InvariantViolationError, Node

SEEDS = range(6)
PAUSE_S = 0.4  # between two acknowledgements; the shortest election timeout alone is 0.6 s


class EndsAtOnce(GracefulShutdown):
    """Injected fault: the process exits without checking for data that only it has."""

    def may_end(self, now: float) -> bool:
        return self._state.started_at is not None


class EndsAtOnceNode(RaftNode):
    shutdown_type = EndsAtOnce


class CountsItself(GracefulShutdown):
    """Injected fault: committed entries count as stored by the others, although it counted itself."""

    def may_end(self, now: float) -> bool:
        begun = self._state.started_at is not None
        return super().may_end(now) or (begun and self._member.commit_index >= self._state.max_acknowledged)


class CountsItselfNode(RaftNode):
    shutdown_type = CountsItself


class NeverTransfers(LeadershipTransfer):
    """Injected fault: a stopping leader does not transfer leadership."""

    def continue_transfer(self, now: float) -> bool:
        return self._shutdown.started_at is None and super().continue_transfer(now)


class NeverTransfersNode(RaftNode):
    transfer_type = NeverTransfers


def copies(cluster: Cluster, index: int, without: Node) -> int:
    """Number of other disks that have the entry at `index`, or a snapshot that covers it."""
    disks = [node.disk.saved for node in cluster.nodes.values() if node is not without]
    return sum(
        saved is not None
        and (
            saved.snapshot.index >= index or any(cluster.committed[index] == entry for entry in saved.entries)
        )
        for saved in disks
    )


class Transfer(unittest.TestCase):
    def start_cluster(
        self, seed: int, count: int = 3, node_type: type[RaftNode] = RaftNode, **more: Any
    ) -> Cluster:
        cluster = Cluster(seed, count, node_type, **more)
        cluster.wait_for_leader()
        cluster.load(0.01, 60.0)
        cluster.run(0.7)
        cluster.longest_pause = 0.0
        return cluster

    def wait_until_exited(self, cluster: Cluster, node: Node) -> None:
        cluster.run_until(lambda: any(left is node for left, _ in cluster.exited), SHUTDOWN_TIMEOUT_S + 0.1)

    def assert_progress(self, cluster: Cluster, within: float) -> None:
        last = max(cluster.acknowledged)
        cluster.run_until(lambda: max(cluster.acknowledged) > last + 3, within)

    def test_leader_ends_and_nobody_waits_for_an_election(self) -> None:
        for seed, count in itertools.product(SEEDS, (3, 5)):
            with self.subTest(seed=seed, count=count):
                cluster = self.start_cluster(seed, count)
                old = cluster.wait_for_leader()
                cluster.shut_down(old)
                self.wait_until_exited(cluster, old)
                self.assert_progress(cluster, 0.3)
                self.assertLess(cluster.longest_pause, PAUSE_S)
                cluster.recover_and_check()

    def test_no_transfer_is_found(self) -> None:
        cluster = self.start_cluster(1, node_type=NeverTransfersNode)
        old = cluster.wait_for_leader()
        cluster.shut_down(old)
        self.wait_until_exited(cluster, old)
        with self.assertRaises(InvariantViolationError):
            self.assert_progress(cluster, 0.3)

    def has_no_sole_copy(self, seed: int, node_type: type[RaftNode], leads: bool) -> None:
        """When the member exits, each acknowledged entry must be on enough other disks for a majority."""
        cluster = self.start_cluster(seed, 3, node_type, write_time=(0.005, 0.15), delay=0.06)
        leader = cluster.wait_for_leader()
        node = leader if leads else next(n for n in cluster.nodes.values() if n is not leader)
        cluster.run(0.013 * seed)
        started = cluster.now
        cluster.shut_down(node)
        self.wait_until_exited(cluster, node)
        waited = cluster.exited[-1][1] - started
        alone = [index for index in cluster.acknowledged if copies(cluster, index, node) < 2]
        if alone and waited < SHUTDOWN_TIMEOUT_S:
            raise InvariantViolationError(f"{alone} are on less than a majority of disks without {node.name}")
        cluster.lose_disk(node)
        cluster.recover_and_check()

    def test_nothing_is_only_on_the_one_that_left(self) -> None:
        for seed, leads in itertools.product(SEEDS, (False, True)):
            with self.subTest(seed=seed, leads=leads):
                self.has_no_sole_copy(seed, RaftNode, leads)

    def test_a_lost_sole_copy_is_found(self) -> None:
        for node_type, leads in ((EndsAtOnceNode, False), (EndsAtOnceNode, True), (CountsItselfNode, False)):
            with self.subTest(node_type.__name__, leads=leads), self.assertRaises(InvariantViolationError):
                for seed in SEEDS:
                    self.has_no_sole_copy(seed, node_type, leads)

    def test_the_one_that_holds_everything_is_chosen(self) -> None:
        for seed in SEEDS:
            with self.subTest(seed=seed):
                cluster = self.start_cluster(seed)
                old = cluster.wait_for_leader()
                ahead, behind = (n for n in cluster.nodes.values() if n is not old)
                cluster.disconnect(old.ip, behind.ip)
                cluster.run(0.3)
                cluster.shut_down(old)
                cluster.run_until(lambda o=old, c=cluster: c.leader() not in (None, o), 0.5)  # type: ignore[misc]
                self.assertIs(cluster.leader(), ahead)
                self.wait_until_exited(cluster, old)
                cluster.recover_and_check()

    def test_a_successor_that_lags_is_waited_for(self) -> None:
        """The only successor has slow links: the leader waits for it, but exits in any case."""
        for seed in SEEDS:
            with self.subTest(seed=seed):
                cluster = self.start_cluster(seed, delay=0.15)
                old = cluster.wait_for_leader()
                cluster.lose_power(next(n for n in cluster.nodes.values() if n is not old))
                cluster.run(0.3)
                cluster.shut_down(old)
                self.wait_until_exited(cluster, old)
                cluster.recover_and_check()

    def test_without_a_successor_the_wait_is_bounded(self) -> None:
        cluster = self.start_cluster(1)
        leader = cluster.wait_for_leader()
        for node in cluster.nodes.values():
            if node is not leader:
                cluster.lose_power(node)
        cluster.shut_down(leader)
        self.wait_until_exited(cluster, leader)
        cluster.recover_and_check()

    def test_a_stopping_leader_rejects_proposals(self) -> None:
        cluster = self.start_cluster(1)
        leader = cluster.wait_for_leader()
        cluster.shut_down(leader)
        self.assertIsNone(leader.live.propose(cluster.now, b"late"))

    def test_during_an_election(self) -> None:
        """The leader fails while a follower is shutting down: that follower must not be elected."""
        for seed in SEEDS:
            with self.subTest(seed=seed):
                cluster = self.start_cluster(seed, 5)
                leader = cluster.wait_for_leader()
                node = next(n for n in cluster.nodes.values() if n is not leader)
                cluster.lose_power(leader)
                cluster.run(0.1 * seed)
                leads_already = node.live.role == "leader"
                cluster.shut_down(node)
                while node.core is not None:
                    self.assertFalse(node.core.role == "leader" and not leads_already)
                    cluster.run(0.01)
                self.assert_progress(cluster, 2.5)
                cluster.recover_and_check()

    def test_two_at_once_of_five(self) -> None:
        """Leadership goes to a voter that is not shutting down."""
        for seed in SEEDS:
            with self.subTest(seed=seed):
                cluster = self.start_cluster(seed, 5)
                leader = cluster.wait_for_leader()
                other = next(n for n in cluster.nodes.values() if n is not leader)
                cluster.shut_down(other)
                cluster.run(0.02)
                cluster.shut_down(leader)
                self.wait_until_exited(cluster, leader)
                self.wait_until_exited(cluster, other)
                self.assert_progress(cluster, 0.3)
                self.assertLess(cluster.longest_pause, PAUSE_S)
                cluster.recover_and_check()

    def test_all_at_once(self) -> None:
        for seed in SEEDS:
            with self.subTest(seed=seed):
                cluster = self.start_cluster(seed)
                for node in cluster.nodes.values():
                    cluster.shut_down(node, restart_after=0.5)
                cluster.run(SHUTDOWN_TIMEOUT_S + 0.1)
                self.assertEqual(len(cluster.exited), 3)
                self.assert_progress(cluster, 4.0)
                cluster.recover_and_check()

    def test_rolling(self) -> None:
        """Restart the nodes one after the other, where possible always the leader or never the leader."""
        for seed, leads in itertools.product(SEEDS, (False, True)):
            with self.subTest(seed=seed, leads=leads):
                cluster = self.start_cluster(seed)
                rolled = list[Node]()
                while len(rolled) < 3:
                    leader = cluster.wait_for_leader()
                    waiting = [n for n in cluster.nodes.values() if n not in rolled]
                    node = next((n for n in waiting if (n is leader) == leads), waiting[0])
                    rolled.append(node)
                    cluster.shut_down(node, restart_after=1.0)
                    self.wait_until_exited(cluster, node)
                    cluster.run(2.0)
                self.assertLess(cluster.longest_pause, PAUSE_S)
                cluster.recover_and_check()


class SingleNode(unittest.TestCase):
    """A single core, driven step by step."""

    def start_leader(self) -> tuple[RaftNode, float]:
        core, now = RaftNode("a#0", None, ("a#0",), Timing(), 1, 0.0), 0.0
        while core.commit_index < core.last_index or core.role != "leader":
            now += 0.02
            actions = core.tick(now)
            for action in actions:
                if isinstance(action, Persist):
                    actions += core.persisted(now, action.write_id)
            if now > 5.0:
                raise InvariantViolationError("the only voter does not become leader")
        return core, now

    def test_one_that_was_not_asked_to_end(self) -> None:
        core, now = self.start_leader()
        self.assertFalse(core.may_end(now + 10.0))

    def test_the_only_voter_waits_for_its_disk(self) -> None:
        core, now = self.start_leader()
        self.assertIsNotNone(core.propose(now, b"last"))
        persist = next(action for action in core.drain() if isinstance(action, Persist))
        core.begin_shutdown(now)
        self.assertFalse(core.may_end(now))
        core.persisted(now, persist.write_id)
        self.assertTrue(core.may_end(now))

    def test_a_learner_may_end_at_once(self) -> None:
        core = RaftNode("d#0", None, (), Timing(), 1, 0.0)
        core.begin_shutdown(0.0)
        self.assertTrue(core.may_end(0.0))

    def test_a_disk_that_is_well_again_does_not_stop_it(self) -> None:
        core, now = self.start_leader()
        core.begin_shutdown(now)
        core.set_disk_health(now, False)
        core.set_disk_health(now, True)
        self.assertIsNone(core.propose(now, b"late"))

    def test_asked_twice(self) -> None:
        core, now = self.start_leader()
        core.begin_shutdown(now)
        core.begin_shutdown(now + 0.5)
        self.assertTrue(core.may_end(now + SHUTDOWN_TIMEOUT_S))
