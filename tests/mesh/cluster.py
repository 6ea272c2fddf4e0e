"""Raft cores on a simulated network with simulated disks, power losses and freezes, in virtual time.

All random choices come from a seed. Every applied entry, snapshot, leader and lease is checked at once
against what all nodes have shown before; a violation raises `InvariantViolationError`.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable
from functools import partial
from typing import Any

import msgpack

from minthitch.mesh.raft.actions import Action, Apply, Persist, PersistedState, Restore, Send, Timing
from minthitch.mesh.raft.log import DATA, EMPTY_SNAPSHOT, Entry
from minthitch.mesh.raft.member import Role
from minthitch.mesh.raft.membership import address_of
from minthitch.mesh.raft.messages import decode_message, encode_message
from minthitch.mesh.raft.node import RaftNode
from minthitch.mesh.raft.placement import Location, Tolerated
from minthitch.mesh.raft.reconfiguration import UNRESPONSIVE_AFTER_S, GroupPolicy

TICK, JOIN, DISK_TIMEOUT = 0.04, 0.5, 0.5  # seconds
RETIRE_LOOK = 0.02  # seconds between two checks whether a process may exit
SNAPSHOT_EVERY = 30  # applied entries


class Wrong(AssertionError):
    """A safety property of consensus is violated, or the cluster does not recover in time."""


class Disk:
    """The durable state of a control node."""

    def __init__(self) -> None:
        self.saved: PersistedState | None = None
        self.hung_until = 0.0

    def write(self, persist: Persist) -> None:
        old = self.saved or PersistedState(0, "", EMPTY_SNAPSHOT, ())
        entries = {
            e.index: e for e in old.entries if not persist.truncate_from or e.index < persist.truncate_from
        }
        entries.update((e.index, e) for e in persist.entries)
        snapshot = persist.snapshot or old.snapshot
        kept = tuple(entries[i] for i in sorted(entries) if i > snapshot.index)
        if [e.index for e in kept] != list(range(snapshot.index + 1, snapshot.index + 1 + len(kept))):
            raise Wrong(f"gap in the log on disk: {[e.index for e in kept]} after {snapshot.index}")
        self.saved = PersistedState(persist.term, persist.voted_for, snapshot, kept)


class Node:
    def __init__(self, ip: str, node_type: type[RaftNode]) -> None:
        self.ip, self.node_type = ip, node_type
        self.disk, self.incarnation = Disk(), 0
        self.core: RaftNode | None = None
        self.epoch = 0  # counts process starts; events for an earlier process are dropped
        self.frozen, self.waiting = False, list[Callable[[], None]]()
        self.pending: tuple[float, Persist] | None = None
        self.applied: list[bytes] = []
        self.applied_index = 0
        self.next_join_request_at = 0.0
        self.disk_lost = False

    @property
    def name(self) -> str:
        return f"{self.ip}#{self.incarnation}"

    @property
    def live(self) -> RaftNode:
        assert self.core is not None
        return self.core


class Cluster:
    def __init__(
        self,
        seed: int,
        count: int = 3,
        node_type: type[RaftNode] = RaftNode,
        loss: float = 0.0,
        sync: tuple[float, float] = (0.002, 0.02),
        spares: int = 0,
        delay: float = 0.008,
        timing: Timing = Timing(),  # noqa: B008
        unresponsive_after: float = UNRESPONSIVE_AFTER_S,
        tolerated: Tolerated = Tolerated(),  # noqa: B008
        locations: dict[str, Location] | None = None,
    ) -> None:
        self.random = random.Random(seed)
        self.now, self.order = 0.0, 0
        self.snapshot_every, self.tail, self.loading = SNAPSHOT_EVERY, 512, True
        self.unresponsive_after, self.tolerated = unresponsive_after, tolerated
        self.locations = locations or {}
        self.heap: list[tuple[float, int, Callable[[], None]]] = []
        self.nodes = {f"n{i}": Node(f"n{i}", node_type) for i in range(count + spares)}
        self.founders = tuple(f"n{i}#0" for i in range(count))
        self.wanted = count
        self.loss, self.sync, self.delay, self.timing = loss, sync, delay, timing
        self.disconnected: set[tuple[str, str]] = set()
        self.agreed: dict[int, Entry] = {}
        self.values: list[tuple[int, bytes]] = []  # committed DATA entries, in order
        self.leaders: dict[int, str] = {}
        self.proposed: dict[tuple[int, int], tuple[str, int, bytes]] = {}
        self.acknowledged: dict[int, bytes] = {}
        self.ack_time = 0.0
        self.longest_pause = 0.0  # between two acknowledgements, since the load started
        self.left: list[tuple[Node, float]] = []  # processes that exited after a graceful shutdown, and when
        self.value = 0
        for node in self.nodes.values():
            self.start(node, first=True)

    # --- time ---

    def at(self, delay: float, call: Callable[[], None]) -> None:
        self.order += 1
        heapq.heappush(self.heap, (self.now + delay, self.order, call))

    def run(self, seconds: float) -> None:
        end = self.now + seconds
        while self.heap and self.heap[0][0] <= end:
            self.now, _, call = heapq.heappop(self.heap)
            call()
        self.now = end

    def until(self, condition: Callable[[], bool], limit: float = 15.0) -> None:
        end = self.now + limit
        while not condition():
            if self.now >= end:
                raise Wrong(f"waited {limit} s, but the condition is not met: {self.shown()}")
            self.run(0.02)

    # --- machines ---

    def start(self, node: Node, first: bool = False) -> None:
        node.epoch += 1
        node.frozen, node.waiting, node.pending = False, [], None
        node.applied, node.applied_index = [], 0
        saved = node.disk.saved
        is_first_start = saved is None and (node.incarnation == 0)
        founders = self.founders if is_first_start and node.name in self.founders else ()
        node.core = node.node_type(
            node.name,
            saved,
            founders,
            self.timing,
            self.random.getrandbits(32),
            self.now,
            GroupPolicy(self.wanted, self.unresponsive_after, self.tolerated),
        )
        node.core.reconfiguration.locations = self.locations
        node.core.log.retained_entries = self.tail
        self.at(0.0 if first else self.random.uniform(0, TICK), partial(self.tick, node, node.epoch))

    def kill(self, node: Node) -> None:
        """Kill the process: a write in progress is stored completely or not at all."""
        if node.pending is not None and self.random.random() < 0.5:
            node.disk.write(node.pending[1])
        self.power(node)

    def retire(self, node: Node, back_after: float | None = None) -> None:
        """Shut the process down gracefully once its core allows it; restart it after `back_after` seconds."""

        def watch(epoch: int) -> None:
            if node.epoch != epoch or node.core is None:
                return
            if node.frozen or not node.core.may_end(self.now):
                self.at(RETIRE_LOOK, lambda: watch(epoch))
                return
            if node.pending is not None:  # the writer completes a write in progress
                node.disk.write(node.pending[1])
            self.power(node)
            self.left.append((node, self.now))
            if back_after is not None:
                self.at(back_after, lambda: self.start(node) if node.core is None else None)

        self.on(node, node.epoch, lambda core: core.begin_shutdown(self.now))
        watch(node.epoch)

    def power(self, node: Node) -> None:
        """Cut the power: a write in progress is lost."""
        node.core, node.pending = None, None
        node.epoch += 1

    def lose_disk(self, node: Node) -> None:
        """Lose the disk and cut the power. The machine returns under a new name."""
        self.power(node)
        node.disk = Disk()
        node.incarnation += 1
        node.disk_lost = True

    def freeze(self, node: Node) -> None:
        node.frozen = True

    def thaw(self, node: Node) -> None:
        node.frozen = False
        waiting, node.waiting = node.waiting, []
        for call in waiting:
            call()

    def disconnect(self, src: str, dst: str, both: bool = False) -> None:
        self.disconnected.add((src, dst))
        if both:
            self.disconnected.add((dst, src))

    def isolate(self, ip: str, receives: bool = False, reaches: bool = False) -> None:
        for other in self.nodes:
            if other != ip and not reaches:
                self.disconnected.add((ip, other))
            if other != ip and not receives:
                self.disconnected.add((other, ip))

    def heal(self) -> None:
        """Repair all links and disks, and start all processes."""
        self.disconnected.clear()
        self.loss = 0.0
        for node in self.nodes.values():
            node.disk.hung_until = 0.0
            if node.frozen:
                self.thaw(node)
            if node.core is None:
                self.start(node)

    # --- carrying out the actions of a core ---

    def on(self, node: Node, epoch: int, call: Callable[[RaftNode], list[Action]]) -> None:
        if node.epoch != epoch or node.core is None:
            return
        if node.frozen:
            node.waiting.append(lambda: self.on(node, epoch, call))
            return
        self.act(node, call(node.core))
        self.check(node)

    def tick(self, node: Node, epoch: int) -> None:
        if node.epoch != epoch or node.core is None:
            return
        self.at(TICK, lambda: self.tick(node, epoch))
        if node.frozen:
            return
        core = node.core
        self.on(node, epoch, lambda c: c.tick(self.now))
        hung = node.pending is not None and self.now - node.pending[0] > DISK_TIMEOUT
        if hung == core.disk_healthy:
            self.on(node, epoch, lambda c: c.set_disk_health(self.now, not hung))
        if core.role is Role.LEARNER and self.now >= node.next_join_request_at:
            node.next_join_request_at = self.now + JOIN
            for ip in self.nodes:
                self.post(node, ip, self.join_requester(node.name))
        if core.last_applied - core.log.snapshot.index > self.snapshot_every:
            snapshot = msgpack.packb(node.applied)
            self.on(node, epoch, lambda c: c.compact(c.last_applied, snapshot))

    def act(self, node: Node, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, Send):
                packed = msgpack.packb(encode_message(action.message))
                self.post(node, address_of(action.to), self.receiver(node.name, packed), to=action.to)
            elif isinstance(action, Persist):
                self.persist(node, action)
            elif isinstance(action, Apply):
                self.apply(node, action.entry)
            else:
                self.restore(node, action)

    def join_requester(self, src: str) -> Callable[[RaftNode], list[Action]]:
        return lambda core: core.add_learner(self.now, src)

    def receiver(self, src: str, packed: bytes) -> Callable[[RaftNode], list[Action]]:
        message = decode_message(tuple(msgpack.unpackb(packed)))
        assert message is not None
        return lambda core: core.receive(self.now, src, message)

    def post(self, node: Node, ip: str, call: Callable[[RaftNode], list[Action]], to: str = "") -> None:
        if ip == node.ip or ip not in self.nodes:
            return
        if (node.ip, ip) in self.disconnected or self.random.random() < self.loss:
            return
        target = self.nodes[ip]

        def arrive() -> None:
            if (node.ip, ip) not in self.disconnected and (not to or to == target.name):
                self.on(target, target.epoch, call)

        self.at(self.random.uniform(0.0005, self.delay), arrive)

    def persist(self, node: Node, persist: Persist) -> None:
        if node.pending is not None:
            raise Wrong("two writes at once")
        node.pending = (self.now, persist)
        epoch = node.epoch
        self.at(self.random.uniform(*self.sync), lambda: self.landed(node, epoch, persist))

    def landed(self, node: Node, epoch: int, persist: Persist) -> None:
        if node.epoch != epoch:
            return
        if self.now < node.disk.hung_until:
            self.at(node.disk.hung_until - self.now, lambda: self.landed(node, epoch, persist))
            return
        node.disk.write(persist)
        node.pending = None
        self.on(node, epoch, lambda c: c.persisted(self.now, persist.write_id))

    # --- observations and checks ---

    def apply(self, node: Node, entry: Entry) -> None:
        if entry.index != node.applied_index + 1:
            raise Wrong(f"{node.name} applies {entry.index} after {node.applied_index}")
        node.applied_index = entry.index
        known = self.agreed.setdefault(entry.index, entry)
        if known != entry:
            raise Wrong(f"{node.name} applies {entry}, another node has applied {known}")
        if entry.kind == DATA:
            node.applied.append(entry.data)
            if len(self.values) < len(node.applied):
                self.values.append((entry.index, entry.data))
        asked = self.proposed.get((entry.index, entry.term))
        if asked is not None and asked[:2] == (node.name, node.epoch):
            if asked[2] != entry.data:
                raise Wrong("two values for one index and term")
            if self.acknowledged:
                self.longest_pause = max(self.longest_pause, self.now - self.ack_time)
            self.acknowledged[entry.index] = entry.data
            self.ack_time = self.now

    def restore(self, node: Node, action: Restore) -> None:
        node.applied, node.applied_index = msgpack.unpackb(action.data), action.index
        expected = [data for index, data in self.values if index <= action.index]
        if node.applied != expected:
            raise Wrong(f"{node.name}: snapshot {action.index} differs from the committed entries")

    def check(self, node: Node) -> None:
        core = node.core
        if core is None or not core.is_leader:
            return
        if self.leaders.setdefault(core.term, node.name) != node.name:
            raise Wrong(f"two leaders in term {core.term}")
        if core.has_lease(self.now) and self.acknowledged and max(self.acknowledged) > core.last_applied:
            raise Wrong(f"{node.name} has a lease but lacks acknowledged entries")

    def propose(self) -> None:
        """Propose a value to a node that considers itself the leader."""
        leading = [n for n in self.nodes.values() if n.core and not n.frozen and n.core.is_leader]
        if not leading:
            return
        node = self.random.choice(leading)
        self.value += 1
        data = b"%d" % self.value
        got = node.live.propose(self.now, data)
        if got is not None:
            self.proposed[got] = (node.name, node.epoch, data)
        self.act(node, node.live.drain())

    def load(self, every: float, seconds: float) -> None:
        """Propose values from now on, on average one `every` seconds."""
        end = self.now + seconds

        def again() -> None:
            self.propose()
            if self.now < end and self.loading:
                self.at(self.random.uniform(0.2, 1.8) * every, again)

        self.at(0.0, again)

    def leader(self) -> Node | None:
        """The leader that holds a lease, if any."""
        leading = [n for n in self.nodes.values() if n.core and not n.frozen and n.core.has_lease(self.now)]
        return leading[0] if leading else None

    def led(self) -> Node:
        self.until(lambda: self.leader() is not None)
        node = self.leader()
        assert node is not None
        return node

    def is_consistent(self) -> bool:
        """Whether all voters are current names and have the full log, and all nodes have applied it."""
        node = self.leader()
        if node is None or node.core is None:
            return False
        core, names = node.core, {n.name for n in self.nodes.values()}
        return (
            len(core.voters) == self.wanted
            and set(core.voters) <= names
            and all(n.core is not None and n.applied_index == core.last_index for n in self.nodes.values())
            and all(
                core.leader_state.peers[v].match_index == core.last_index
                for v in core.voters
                if v != core.name
            )
        )

    def taken_in(self) -> bool:
        """Whether all voters are current names of machines and their set is committed and replicated."""
        node = self.leader()
        if node is None or node.core is None:
            return False
        core, names = node.core, {n.name for n in self.nodes.values()}
        return (
            len(core.voters) == self.wanted
            and set(core.voters) <= names
            and core.log.voters_index <= core.commit_index
            and all(
                core.leader_state.peers[v].match_index >= core.log.voters_index
                for v in core.voters
                if v != core.name
            )
        )

    def recover_and_check(self) -> None:
        """Repair everything, wait for consistency, and check that no acknowledged entry is lost."""
        self.loading = False
        self.heal()
        self.until(self.is_consistent)
        for node in self.nodes.values():
            node.disk_lost = False
            have = dict(self.values)
            if node.applied != [data for _, data in self.values]:
                raise Wrong(f"{node.name} ends with a different state")
            for index, data in self.acknowledged.items():
                if have.get(index) != data:
                    raise Wrong(f"acknowledged entry {index} is lost")

    def shown(self) -> list[Any]:
        return [
            (
                n.name,
                n.pending is not None,
                n.core
                and (
                    n.core.role,
                    n.core.term,
                    n.core.leader,
                    n.core.commit_index,
                    n.core.last_index,
                    n.core.voters,
                ),
            )
            for n in self.nodes.values()
        ]


class Schedule:
    """Random faults from a seed, also overlapping ones, within the tolerated number of losses."""

    def __init__(
        self, seed: int, node_type: type[RaftNode] = RaftNode, seconds: float = 6.0, storm: bool = False
    ) -> None:
        self.random = random.Random(seed * 7919 + 1)
        count = self.random.choice((3, 3, 3, 5))
        self.cluster = Cluster(
            seed,
            count,
            node_type,
            loss=self.random.choice((0.0, 0.0, 0.02, 0.1)),
            spares=self.random.choice((0, 0, 0, 1)),
            delay=self.random.choice((0.008, 0.06)),
            sync=self.random.choice(((0.002, 0.02), (0.01, 0.05), (0.02, 0.3))),
            timing=self.random.choice((Timing(), Timing(0.05, 0.2))),
        )
        self.end = seconds
        self.cluster.tail = self.random.choice((0, 5, 512))
        self.faults = [
            self.restart,
            self.restart,
            self.outage,
            self.disconnect,
            self.isolate,
            self.freeze,
            self.hang,
            self.lose,
            self.rejoin,
            self.retire,
        ]
        if storm:  # elections and power losses in quick succession, on slow disks
            self.cluster.sync, self.cluster.timing = (0.02, 0.3), Timing(0.05, 0.2)
            self.faults = [self.restart, self.restart, self.outage, self.disconnect]

    def play(self) -> Cluster:
        cluster = self.cluster
        cluster.run(self.random.uniform(0.5, 1.5))
        cluster.load(self.random.choice((0.01, 0.04, 0.1)), self.end)
        while cluster.now < self.end:
            self.random.choice(self.faults)()
            cluster.run(self.random.choice((0.01, 0.03, 0.1, 0.3, 1.0)))
        cluster.recover_and_check()
        return cluster

    def pick(self) -> Node:
        """Pick a node, preferably the leader, where faults have the most effect."""
        leader = self.cluster.leader()
        if leader is not None and self.random.random() < 0.5:
            return leader
        return self.random.choice(list(self.cluster.nodes.values()))

    def later(self, call: Callable[[], None]) -> None:
        self.cluster.at(self.random.choice((0.01, 0.05, 0.2, 1.0, 2.0)), call)

    def back(self, node: Node) -> None:
        if node.core is None:
            self.cluster.start(node)

    def restart(self) -> None:
        node = self.pick()
        self.random.choice((self.cluster.kill, self.cluster.power))(node)
        self.later(lambda: self.back(node))

    def retire(self) -> None:
        node = self.pick()
        if node.core is not None:
            self.cluster.retire(node, back_after=self.random.choice((0.05, 1.0)))

    def outage(self) -> None:
        lost = self.random.choice((self.cluster.kill, self.cluster.power))
        for node in self.cluster.nodes.values():
            lost(node)
            self.later(partial(self.back, node))

    def disconnect(self) -> None:
        src, dst = self.random.sample(sorted(self.cluster.nodes), 2)
        self.cluster.disconnect(src, dst, both=self.random.random() < 0.3)
        self.later(self.cluster.disconnected.clear)

    def isolate(self) -> None:
        receives, reaches = self.random.choice(((False, False), (True, False), (False, True)))
        self.cluster.isolate(self.pick().ip, receives, reaches)
        self.later(self.cluster.disconnected.clear)

    def freeze(self) -> None:
        node = self.pick()
        self.cluster.freeze(node)
        self.later(lambda: self.cluster.thaw(node))

    def hang(self) -> None:
        self.pick().disk.hung_until = self.cluster.now + self.random.choice((0.3, 1.0, 2.0))

    def lose(self) -> None:
        """Lose a disk, unless one is lost already: until that machine rejoins, no other loss is tolerated."""
        nodes = self.cluster.nodes.values()
        if any(n.disk_lost for n in nodes) or not self.cluster.taken_in():
            return
        node = self.pick()
        self.cluster.lose_disk(node)
        self.later(lambda: self.back(node))

    def rejoin(self) -> None:
        if self.cluster.taken_in():
            for node in self.cluster.nodes.values():
                node.disk_lost = False
