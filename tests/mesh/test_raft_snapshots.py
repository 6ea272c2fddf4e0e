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
from tests.mesh.cluster import Cluster, Node, Wrong

BIG = b"".join(bytes([n % 251]) * 1000 for n in range(600))
CHUNKS = -(-len(BIG) // CHUNK_BYTES)
SLOW = 331_000  # bandwidth of the slow link
CONTROL = Timing(0.05, 0.25)  # as used by the control servers


class StartsAnew(Follower):
    """Injected fault: a leader change discards what was received."""

    def reset_match(self) -> None:
        self.incoming_snapshot = None
        super().reset_match()


class StartsAnewNode(RaftNode):
    follower_type = StartsAnew


class TrustsWhatItGot(IncomingSnapshot):
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
        self.pieces, self.lose = 0, set[int]()
        self.slow, self.link_free = False, dict[tuple[str, str], float]()
        super().__init__(seed, 5, node_type, timing=CONTROL if slow else Timing())
        leader = self.led()
        self.load(0.02, 1.0)
        self.run(1.5)
        self.snapshot_every = 1_000_000
        for node in self.nodes.values():
            self.load_snapshot(node, BIG)
        self.learner = next(node for node in self.nodes.values() if node is not leader)
        self.lose_disk(self.learner)
        self.start(self.learner)
        self.slow = slow
        self.began = self.now

    def load_snapshot(self, node: Node, data: bytes) -> None:
        """Install data other than the committed entries: only the transfer is tested."""
        log, index = node.live.log, min(each.live.last_applied for each in self.nodes.values())
        log.retained_entries = 0
        log.compact(Snapshot(index, log.term_at(index), log.voters, data))

    def restore(self, node: Node, action: Restore) -> None:
        node.applied_index = action.index

    def act(self, node: Node, actions: Sequence[Action]) -> None:
        for action in actions:
            if isinstance(action, Send) and _has_chunk(action):
                self.pieces += 1
                if self.pieces in self.lose:
                    continue
            if isinstance(action, Send) and self.slow:
                self.queue(node, action)
            else:
                super().act(node, [action])

    def queue(self, node: Node, send: Send) -> None:
        """Send over a slow link, in order."""
        packed, target = msgpack.packb(encode_message(send.message)), self.nodes[address_of(send.to)]
        link = (node.ip, target.ip)
        self.link_free[link] = max(self.link_free.get(link, 0.0), self.now) + len(packed) / SLOW
        call, epoch = self.receiver(node.name, packed), target.epoch

        def arrive() -> None:
            if send.to == target.name:
                self.on(target, epoch, call)

        self.at(self.link_free[link] - self.now + 0.001, arrive)

    def has(self, count: int) -> bool:
        incoming = self.learner.live.follower.incoming_snapshot
        return incoming is not None and len(incoming.data) >= min(count * CHUNK_BYTES, len(BIG) - 1)

    def until_it_has(self, count: int) -> None:
        while not self.has(count):
            if self.arrived():
                raise Wrong("the whole snapshot has already arrived")
            self.run(0.001)

    def arrived(self) -> bool:
        return self.learner.live.log.snapshot.data == BIG

    def new_leader(self) -> None:
        old = self.led()
        self.power(old)
        self.until(lambda: self.leader() not in (None, old), 4.0)


class Pieces(unittest.TestCase):
    def test_each_chunk_lost_once(self) -> None:
        for lost in range(1, CHUNKS + 1):
            with self.subTest(lost=lost):
                transfer = Transfer(lost)
                transfer.lose = {lost}
                transfer.until(transfer.arrived, 2.0)
                self.assertEqual(transfer.pieces, CHUNKS + 1)

    def test_lost_again_and_again(self) -> None:
        transfer = Transfer(1)
        transfer.lose = set(range(3, 9))
        transfer.until(transfer.arrived, 2.5)
        self.assertEqual(transfer.pieces, CHUNKS + 6)

    def leader_changes_at(self, count: int, node_type: type[RaftNode]) -> int:
        transfer = Transfer(count, node_type)
        transfer.until_it_has(count)
        transfer.new_leader()
        transfer.until(transfer.arrived, 6.0)
        return transfer.pieces

    def test_leader_changes_at_each_chunk(self) -> None:
        """At most the chunk in flight is sent again."""
        for count in range(1, CHUNKS):
            with self.subTest(count=count):
                self.assertLessEqual(self.leader_changes_at(count, RaftNode), CHUNKS + 1)

    def test_a_start_anew_is_found(self) -> None:
        self.assertGreater(self.leader_changes_at(CHUNKS - 2, StartsAnewNode), CHUNKS + 1)

    def test_a_new_leader_with_another_snapshot_starts_anew(self) -> None:
        transfer = Transfer(4)
        transfer.until_it_has(CHUNKS // 2)
        other = BIG[::-1]
        for node in transfer.nodes.values():
            if node not in (transfer.learner, transfer.led()):
                node.live.log.snapshot.data, node.live.log.snapshot._checksum = other, None
        transfer.new_leader()
        transfer.until(lambda: transfer.learner.live.log.snapshot.data == other, 6.0)

    def test_the_member_loses_power(self) -> None:
        transfer = Transfer(5)
        for count in (1, 3, CHUNKS - 1):
            transfer.until_it_has(count)
            transfer.power(transfer.learner)
            transfer.start(transfer.learner)
        transfer.until(transfer.arrived, 3.0)

    def damaged(self) -> None:
        transfer = Transfer(6)
        transfer.until_it_has(2)
        incoming = transfer.learner.live.follower.incoming_snapshot
        assert incoming is not None
        incoming.data[70_000] ^= 1
        transfer.until(lambda: transfer.learner.live.log.snapshot.index > 0, 6.0)
        if not transfer.arrived():
            raise Wrong("a corrupted snapshot is installed")

    def test_damage_is_seen(self) -> None:
        self.damaged()
        with mock.patch.object(follower, "IncomingSnapshot", TrustsWhatItGot), self.assertRaises(Wrong):
            self.damaged()

    def test_a_slow_link_carries_each_chunk_once(self) -> None:
        transfer = Transfer(7, slow=True)
        transfer.until(transfer.arrived, 6.0)
        self.assertEqual(transfer.pieces, CHUNKS)
        self.assertLess(transfer.now - transfer.began, 1.5 * len(BIG) / SLOW)

    def test_a_lost_chunk_on_a_slow_link_is_sent_again_soon(self) -> None:
        transfer = Transfer(8, slow=True)
        transfer.lose = {3}
        transfer.until(transfer.arrived, 6.0)
        self.assertEqual(transfer.pieces, CHUNKS + 1)
        self.assertLess(transfer.now - transfer.began, 1.5 * len(BIG) / SLOW + 0.3)

    def test_a_retry_by_timer_is_found(self) -> None:
        transfer = Transfer(7, slow=True)
        leader = transfer.led().live
        transfer.until(lambda: transfer.learner.name in leader.leader_state.peers)
        peer = leader.leader_state.peers[transfer.learner.name]
        transfer.until(lambda: peer.outgoing_snapshot is not None)
        assert peer.outgoing_snapshot is not None
        peer.outgoing_snapshot = RetriesByTimer(peer.outgoing_snapshot.snapshot)
        with self.assertRaises(Wrong):
            transfer.until(transfer.arrived, 6.0)
