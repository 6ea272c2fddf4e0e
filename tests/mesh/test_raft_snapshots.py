"""Snapshot transfer in chunks: lost chunks, leader changes, slow links, corruption."""

from __future__ import annotations

import unittest
from collections.abc import Sequence
from unittest import mock

import msgpack

from minthitch.mesh.raft import follower
from minthitch.mesh.raft.actions import Action, Restore, Send, Timing
from minthitch.mesh.raft.follower import Follower
from minthitch.mesh.raft.leader import CHUNK_BYTES
from minthitch.mesh.raft.log import Snapshot
from minthitch.mesh.raft.membership import address_of
from minthitch.mesh.raft.messages import InstallSnapshot, encode_message
from minthitch.mesh.raft.node import RaftNode
from minthitch.mesh.raft.snapshot_transfer import IncomingSnapshot, OutgoingSnapshot
from tests.mesh.cluster import Cluster, InvariantViolationError, Node

BIG = b"".join(bytes([n % 251]) * 1000 for n in range(600))
CHUNKS = -(-len(BIG) // CHUNK_BYTES)
SLOW_LINK_BYTES_PER_S = 331_000
CONTROL_TIMING = Timing(0.05, 0.25)  # as used by the control servers


class RestartsTransfer(Follower):
    """Injected fault: a leader change discards what was received."""

    def reset_match(self) -> None:
        self.incoming_snapshot = None
        super().reset_match()


class RestartsTransferNode(RaftNode):
    follower_type = RestartsTransfer


class IgnoresChecksum(IncomingSnapshot):
    """Injected fault: the checksum is not verified."""

    @property
    def is_intact(self) -> bool:
        return True


class RetriesByTimer(OutgoingSnapshot):
    """Injected fault: a chunk is sent again with each heartbeat, whether acknowledged or not."""

    def next_chunk(self, size: int, sequence: int) -> bytes:
        self._chunk_sequence = None
        return super().next_chunk(size, sequence)


def _has_chunk(send: Send) -> bool:
    return isinstance(send.message, InstallSnapshot) and bool(send.message.chunk)


class Transfer(Cluster):
    """One member of five lost its disk and needs a snapshot of `BIG`; the chunks sent are counted."""

    def __init__(self, seed: int, node_type: type[RaftNode] = RaftNode, slow: bool = False) -> None:
        self.chunks_sent, self.lost_chunks = 0, set[int]()
        self.slow, self.link_free_at = False, dict[tuple[str, str], float]()
        super().__init__(seed, 5, node_type, timing=CONTROL_TIMING if slow else Timing())
        leader = self.wait_for_leader()
        self.load(0.02, 1.0)
        self.run(1.5)
        self.snapshot_every = 1_000_000
        for node in self.nodes.values():
            self.load_snapshot(node, BIG)
        self.learner = next(node for node in self.nodes.values() if node is not leader)
        self.lose_disk(self.learner)
        self.start(self.learner)
        self.slow = slow
        self.started_at = self.now

    def load_snapshot(self, node: Node, data: bytes) -> None:
        """Install data other than the committed entries: only the transfer is tested."""
        log, index = node.live.log, min(each.live.last_applied for each in self.nodes.values())
        log.retained_entries = 0
        log.compact(Snapshot(index, log.term_at(index), log.voters, data))

    def restore(self, node: Node, action: Restore) -> None:
        node.applied_index = action.index

    def execute(self, node: Node, actions: Sequence[Action]) -> None:
        for action in actions:
            if isinstance(action, Send) and _has_chunk(action):
                self.chunks_sent += 1
                if self.chunks_sent in self.lost_chunks:
                    continue
            if isinstance(action, Send) and self.slow:
                self.send_slowly(node, action)
            else:
                super().execute(node, [action])

    def send_slowly(self, node: Node, send: Send) -> None:
        """Send over a slow link, in order."""
        packed, target = msgpack.packb(encode_message(send.message)), self.nodes[address_of(send.to)]
        link = (node.ip, target.ip)
        self.link_free_at[link] = (
            max(self.link_free_at.get(link, 0.0), self.now) + len(packed) / SLOW_LINK_BYTES_PER_S
        )
        call, epoch = self.receiver(node.name, packed), target.epoch

        def arrive() -> None:
            if send.to == target.name:
                self.call_core(target, epoch, call)

        self.call_later(self.link_free_at[link] - self.now + 0.001, arrive)

    def has_received(self, count: int) -> bool:
        incoming = self.learner.live.follower.incoming_snapshot
        return incoming is not None and len(incoming.data) >= min(count * CHUNK_BYTES, len(BIG) - 1)

    def run_until_received(self, count: int) -> None:
        while not self.has_received(count):
            if self.arrived():
                raise InvariantViolationError("the whole snapshot has already arrived")
            self.run(0.001)

    def arrived(self) -> bool:
        return self.learner.live.log.snapshot.data == BIG

    def replace_leader(self) -> None:
        old = self.wait_for_leader()
        self.lose_power(old)
        self.run_until(lambda: self.leader() not in (None, old), 4.0)


class SnapshotTransfers(unittest.TestCase):
    def test_each_chunk_lost_once(self) -> None:
        for lost in range(1, CHUNKS + 1):
            with self.subTest(lost=lost):
                transfer = Transfer(lost)
                transfer.lost_chunks = {lost}
                transfer.run_until(transfer.arrived, 2.0)
                self.assertEqual(transfer.chunks_sent, CHUNKS + 1)

    def test_lost_again_and_again(self) -> None:
        transfer = Transfer(1)
        transfer.lost_chunks = set(range(3, 9))
        transfer.run_until(transfer.arrived, 2.5)
        self.assertEqual(transfer.chunks_sent, CHUNKS + 6)

    def leader_changes_at(self, count: int, node_type: type[RaftNode]) -> int:
        transfer = Transfer(count, node_type)
        transfer.run_until_received(count)
        transfer.replace_leader()
        transfer.run_until(transfer.arrived, 6.0)
        return transfer.chunks_sent

    def test_leader_changes_at_each_chunk(self) -> None:
        """At most the chunk in flight is sent again."""
        for count in range(1, CHUNKS):
            with self.subTest(count=count):
                self.assertLessEqual(self.leader_changes_at(count, RaftNode), CHUNKS + 1)

    def test_a_restarted_transfer_is_found(self) -> None:
        self.assertGreater(self.leader_changes_at(CHUNKS - 2, RestartsTransferNode), CHUNKS + 1)

    def test_a_new_leader_with_another_snapshot_restarts_the_transfer(self) -> None:
        transfer = Transfer(4)
        transfer.run_until_received(CHUNKS // 2)
        other = BIG[::-1]
        for node in transfer.nodes.values():
            if node not in (transfer.learner, transfer.wait_for_leader()):
                node.live.log.snapshot.data, node.live.log.snapshot._checksum = other, None
        transfer.replace_leader()
        transfer.run_until(lambda: transfer.learner.live.log.snapshot.data == other, 6.0)

    def test_the_member_loses_power(self) -> None:
        transfer = Transfer(5)
        for count in (1, 3, CHUNKS - 1):
            transfer.run_until_received(count)
            transfer.lose_power(transfer.learner)
            transfer.start(transfer.learner)
        transfer.run_until(transfer.arrived, 3.0)

    def install_damaged_snapshot(self) -> None:
        transfer = Transfer(6)
        transfer.run_until_received(2)
        incoming = transfer.learner.live.follower.incoming_snapshot
        assert incoming is not None
        incoming.data[70_000] ^= 1
        transfer.run_until(lambda: transfer.learner.live.log.snapshot.index > 0, 6.0)
        if not transfer.arrived():
            raise InvariantViolationError("a corrupted snapshot is installed")

    def test_damage_is_seen(self) -> None:
        self.install_damaged_snapshot()
        with (
            mock.patch.object(follower, "IncomingSnapshot", IgnoresChecksum),
            self.assertRaises(InvariantViolationError),
        ):
            self.install_damaged_snapshot()

    def test_a_slow_link_carries_each_chunk_once(self) -> None:
        transfer = Transfer(7, slow=True)
        transfer.run_until(transfer.arrived, 6.0)
        self.assertEqual(transfer.chunks_sent, CHUNKS)
        self.assertLess(transfer.now - transfer.started_at, 1.5 * len(BIG) / SLOW_LINK_BYTES_PER_S)

    def test_a_lost_chunk_on_a_slow_link_is_sent_again_soon(self) -> None:
        transfer = Transfer(8, slow=True)
        transfer.lost_chunks = {3}
        transfer.run_until(transfer.arrived, 6.0)
        self.assertEqual(transfer.chunks_sent, CHUNKS + 1)
        self.assertLess(transfer.now - transfer.started_at, 1.5 * len(BIG) / SLOW_LINK_BYTES_PER_S + 0.3)

    def test_a_retry_by_timer_is_found(self) -> None:
        transfer = Transfer(7, slow=True)
        leader = transfer.wait_for_leader().live
        transfer.run_until(lambda: transfer.learner.name in leader.leader_state.peers)
        peer = leader.leader_state.peers[transfer.learner.name]
        transfer.run_until(lambda: peer.outgoing_snapshot is not None)
        assert peer.outgoing_snapshot is not None
        peer.outgoing_snapshot = RetriesByTimer(peer.outgoing_snapshot.snapshot)
        with self.assertRaises(InvariantViolationError):
            transfer.run_until(transfer.arrived, 6.0)
