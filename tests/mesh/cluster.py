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

TICK_S, JOIN_RETRY_S, DISK_TIMEOUT_S = 0.04, 0.5, 0.5  # seconds
SHUTDOWN_POLL_S = 0.02  # seconds between two checks whether a process may exit
SNAPSHOT_EVERY = 30  # applied entries


class InvariantViolationError(AssertionError):
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
            raise InvariantViolationError(
                f"gap in the log on disk: {[e.index for e in kept]} after {snapshot.index}"
            )
        self.saved = PersistedState(persist.term, persist.voted_for, snapshot, kept)


class Node:
    """A machine with a disk and, while its process runs, a core."""

    def __init__(self, ip: str, node_type: type[RaftNode]) -> None:
        self.ip, self.node_type = ip, node_type
        self.disk, self.incarnation = Disk(), 0
        self.core: RaftNode | None = None
        self.epoch = 0  # counts process starts; events for an earlier process are dropped
        self.frozen, self.deferred_calls = False, list[Callable[[], None]]()
        self.pending_write: tuple[float, Persist] | None = None
        self.applied: list[bytes] = []
        self.applied_index = 0
        self.next_join_request_at = 0.0
        self.disk_lost = False

    @property
    def name(self) -> str:
        return f"{self.ip}#{self.incarnation}"

    @property
    def live(self) -> RaftNode:
        """The core of the running process."""
        assert self.core is not None
        return self.core


class Cluster:
    """Founders `n0`, `n1`, ... and spares, with events in virtual time.

    `loss` is the fraction of messages lost, `delay` the longest message delay, and `write_time` the range
    of the duration of a write, both in seconds.
    """

    def __init__(
        self,
        seed: int,
        count: int = 3,
        node_type: type[RaftNode] = RaftNode,
        loss: float = 0.0,
        write_time: tuple[float, float] = (0.002, 0.02),
        spares: int = 0,
        delay: float = 0.008,
        timing: Timing = Timing(),  # noqa: B008
        unresponsive_after: float = UNRESPONSIVE_AFTER_S,
        tolerated: Tolerated = Tolerated(),  # noqa: B008
        locations: dict[str, Location] | None = None,
    ) -> None:
        self.random = random.Random(seed)
        self.now, self.event_count = 0.0, 0
        self.snapshot_every, self.retained_log_entries, self.loading = SNAPSHOT_EVERY, 512, True
        self.unresponsive_after, self.tolerated = unresponsive_after, tolerated
        self.locations = locations or {}
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.nodes = {f"n{i}": Node(f"n{i}", node_type) for i in range(count + spares)}
        self.founders = tuple(f"n{i}#0" for i in range(count))
        self.voter_count = count
        self.loss, self.write_time, self.delay, self.timing = loss, write_time, delay, timing
        self.disconnected: set[tuple[str, str]] = set()
        self.committed: dict[int, Entry] = {}
        self.committed_data: list[tuple[int, bytes]] = []  # committed DATA entries, in order
        self.leaders: dict[int, str] = {}
        self.proposed: dict[tuple[int, int], tuple[str, int, bytes]] = {}
        self.acknowledged: dict[int, bytes] = {}
        self.last_acknowledged_at = 0.0
        self.longest_pause = 0.0  # between two acknowledgements, since the load started
        self.exited: list[tuple[Node, float]] = []  # nodes that shut down gracefully, and when
        self.proposal_count = 0
        for node in self.nodes.values():
            self.start(node, first=True)

    # --- time ---

    def call_later(self, delay: float, call: Callable[[], None]) -> None:
        self.event_count += 1
        heapq.heappush(self.events, (self.now + delay, self.event_count, call))

    def run(self, seconds: float) -> None:
        end = self.now + seconds
        while self.events and self.events[0][0] <= end:
            self.now, _, call = heapq.heappop(self.events)
            call()
        self.now = end

    def run_until(self, condition: Callable[[], bool], limit: float = 15.0) -> None:
        end = self.now + limit
        while not condition():
            if self.now >= end:
                raise InvariantViolationError(
                    f"waited {limit} s, but the condition is not met: {self.summary()}"
                )
            self.run(0.02)

    # --- machines ---

    def start(self, node: Node, first: bool = False) -> None:
        node.epoch += 1
        node.frozen, node.deferred_calls, node.pending_write = False, [], None
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
            GroupPolicy(self.voter_count, self.unresponsive_after, self.tolerated),
        )
        node.core.reconfiguration.locations = self.locations
        node.core.log.retained_entries = self.retained_log_entries
        self.call_later(
            0.0 if first else self.random.uniform(0, TICK_S), partial(self.tick, node, node.epoch)
        )

    def kill(self, node: Node) -> None:
        """Kill the process: a write in progress is stored completely or not at all."""
        if node.pending_write is not None and self.random.random() < 0.5:
            node.disk.write(node.pending_write[1])
        self.lose_power(node)

    def shut_down(self, node: Node, restart_after: float | None = None) -> None:
        """Shut the process down gracefully once its core allows it; then restart it after `restart_after`."""

        def watch(epoch: int) -> None:
            if node.epoch != epoch or node.core is None:
                return
            if node.frozen or not node.core.may_end(self.now):
                self.call_later(SHUTDOWN_POLL_S, lambda: watch(epoch))
                return
            if node.pending_write is not None:  # the writer completes a write in progress
                node.disk.write(node.pending_write[1])
            self.lose_power(node)
            self.exited.append((node, self.now))
            if restart_after is not None:
                self.call_later(restart_after, lambda: self.start(node) if node.core is None else None)

        self.call_core(node, node.epoch, lambda core: core.begin_shutdown(self.now))
        watch(node.epoch)

    def lose_power(self, node: Node) -> None:
        """Cut the power: a write in progress is lost."""
        node.core, node.pending_write = None, None
        node.epoch += 1

    def lose_disk(self, node: Node) -> None:
        """Lose the disk and cut the power. The machine returns under a new name."""
        self.lose_power(node)
        node.disk = Disk()
        node.incarnation += 1
        node.disk_lost = True

    def freeze(self, node: Node) -> None:
        node.frozen = True

    def thaw(self, node: Node) -> None:
        node.frozen = False
        deferred, node.deferred_calls = node.deferred_calls, []
        for call in deferred:
            call()

    def disconnect(self, src: str, dst: str, both: bool = False) -> None:
        self.disconnected.add((src, dst))
        if both:
            self.disconnected.add((dst, src))

    def isolate(self, ip: str, receives: bool = False, reaches: bool = False) -> None:
        """Cut the links of one node, except incoming ones (`receives`) or outgoing ones (`reaches`)."""
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

    def call_core(self, node: Node, epoch: int, call: Callable[[RaftNode], list[Action]]) -> None:
        """Pass an event to a core, unless its process has ended; a frozen process handles it later."""
        if node.epoch != epoch or node.core is None:
            return
        if node.frozen:
            node.deferred_calls.append(lambda: self.call_core(node, epoch, call))
            return
        self.execute(node, call(node.core))
        self.check_leader(node)

    def tick(self, node: Node, epoch: int) -> None:
        if node.epoch != epoch or node.core is None:
            return
        self.call_later(TICK_S, lambda: self.tick(node, epoch))
        if node.frozen:
            return
        core = node.core
        self.call_core(node, epoch, lambda c: c.tick(self.now))
        hung = node.pending_write is not None and self.now - node.pending_write[0] > DISK_TIMEOUT_S
        if hung == core.disk_healthy:
            self.call_core(node, epoch, lambda c: c.set_disk_health(self.now, not hung))
        if core.role is Role.LEARNER and self.now >= node.next_join_request_at:
            node.next_join_request_at = self.now + JOIN_RETRY_S
            for ip in self.nodes:
                self.send(node, ip, self.join_requester(node.name))
        if core.last_applied - core.log.snapshot.index > self.snapshot_every:
            snapshot = msgpack.packb(node.applied)
            self.call_core(node, epoch, lambda c: c.compact(c.last_applied, snapshot))

    def execute(self, node: Node, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, Send):
                packed = msgpack.packb(encode_message(action.message))
                self.send(node, address_of(action.to), self.receiver(node.name, packed), to=action.to)
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

    def send(self, node: Node, ip: str, call: Callable[[RaftNode], list[Action]], to: str = "") -> None:
        if ip == node.ip or ip not in self.nodes:
            return
        if (node.ip, ip) in self.disconnected or self.random.random() < self.loss:
            return
        target = self.nodes[ip]

        def arrive() -> None:
            if (node.ip, ip) not in self.disconnected and (not to or to == target.name):
                self.call_core(target, target.epoch, call)

        self.call_later(self.random.uniform(0.0005, self.delay), arrive)

    def persist(self, node: Node, persist: Persist) -> None:
        if node.pending_write is not None:
            raise InvariantViolationError("two writes at once")
        node.pending_write = (self.now, persist)
        epoch = node.epoch
        self.call_later(
            self.random.uniform(*self.write_time), lambda: self.write_completed(node, epoch, persist)
        )

    def write_completed(self, node: Node, epoch: int, persist: Persist) -> None:
        if node.epoch != epoch:
            return
        if self.now < node.disk.hung_until:
            self.call_later(
                node.disk.hung_until - self.now, lambda: self.write_completed(node, epoch, persist)
            )
            return
        node.disk.write(persist)
        node.pending_write = None
        self.call_core(node, epoch, lambda c: c.persisted(self.now, persist.write_id))

    # --- observations and checks ---

    def apply(self, node: Node, entry: Entry) -> None:
        if entry.index != node.applied_index + 1:
            raise InvariantViolationError(f"{node.name} applies {entry.index} after {node.applied_index}")
        node.applied_index = entry.index
        known = self.committed.setdefault(entry.index, entry)
        if known != entry:
            raise InvariantViolationError(f"{node.name} applies {entry}, another node has applied {known}")
        if entry.kind == DATA:
            node.applied.append(entry.data)
            if len(self.committed_data) < len(node.applied):
                self.committed_data.append((entry.index, entry.data))
        asked = self.proposed.get((entry.index, entry.term))
        if asked is not None and asked[:2] == (node.name, node.epoch):
            if asked[2] != entry.data:
                raise InvariantViolationError("two values for one index and term")
            if self.acknowledged:
                self.longest_pause = max(self.longest_pause, self.now - self.last_acknowledged_at)
            self.acknowledged[entry.index] = entry.data
            self.last_acknowledged_at = self.now

    def restore(self, node: Node, action: Restore) -> None:
        node.applied, node.applied_index = msgpack.unpackb(action.data), action.index
        expected = [data for index, data in self.committed_data if index <= action.index]
        if node.applied != expected:
            raise InvariantViolationError(
                f"{node.name}: snapshot {action.index} differs from the committed entries"
            )

    def check_leader(self, node: Node) -> None:
        core = node.core
        if core is None or not core.is_leader:
            return
        if self.leaders.setdefault(core.term, node.name) != node.name:
            raise InvariantViolationError(f"two leaders in term {core.term}")
        if core.has_lease(self.now) and self.acknowledged and max(self.acknowledged) > core.last_applied:
            raise InvariantViolationError(f"{node.name} has a lease but lacks acknowledged entries")

    def propose(self) -> None:
        """Propose a value to a node that considers itself the leader."""
        leading = [n for n in self.nodes.values() if n.core and not n.frozen and n.core.is_leader]
        if not leading:
            return
        node = self.random.choice(leading)
        self.proposal_count += 1
        data = b"%d" % self.proposal_count
        got = node.live.propose(self.now, data)
        if got is not None:
            self.proposed[got] = (node.name, node.epoch, data)
        self.execute(node, node.live.drain())

    def load(self, every: float, seconds: float) -> None:
        """Propose values from now on, on average one `every` seconds."""
        end = self.now + seconds

        def again() -> None:
            self.propose()
            if self.now < end and self.loading:
                self.call_later(self.random.uniform(0.2, 1.8) * every, again)

        self.call_later(0.0, again)

    def leader(self) -> Node | None:
        """The leader that holds a lease, if any."""
        leading = [n for n in self.nodes.values() if n.core and not n.frozen and n.core.has_lease(self.now)]
        return leading[0] if leading else None

    def wait_for_leader(self) -> Node:
        self.run_until(lambda: self.leader() is not None)
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
            len(core.voters) == self.voter_count
            and set(core.voters) <= names
            and all(n.core is not None and n.applied_index == core.last_index for n in self.nodes.values())
            and all(
                core.leader_state.peers[v].match_index == core.last_index
                for v in core.voters
                if v != core.name
            )
        )

    def all_rejoined(self) -> bool:
        """Whether all voters are current names of machines and their set is committed and replicated."""
        node = self.leader()
        if node is None or node.core is None:
            return False
        core, names = node.core, {n.name for n in self.nodes.values()}
        return (
            len(core.voters) == self.voter_count
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
        self.run_until(self.is_consistent)
        for node in self.nodes.values():
            node.disk_lost = False
            have = dict(self.committed_data)
            if node.applied != [data for _, data in self.committed_data]:
                raise InvariantViolationError(f"{node.name} ends with a different state")
            for index, data in self.acknowledged.items():
                if have.get(index) != data:
                    raise InvariantViolationError(f"acknowledged entry {index} is lost")

    def summary(self) -> list[Any]:
        return [
            (
                n.name,
                n.pending_write is not None,
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
            write_time=self.random.choice(((0.002, 0.02), (0.01, 0.05), (0.02, 0.3))),
            timing=self.random.choice((Timing(), Timing(0.05, 0.2))),
        )
        self.end = seconds
        self.cluster.retained_log_entries = self.random.choice((0, 5, 512))
        self.faults = [
            self.restart,
            self.restart,
            self.outage,
            self.disconnect,
            self.isolate,
            self.freeze,
            self.hang_disk,
            self.lose_disk,
            self.forget_lost_disks,
            self.shut_down,
        ]
        if storm:  # elections and power losses in quick succession, on slow disks
            self.cluster.write_time, self.cluster.timing = (0.02, 0.3), Timing(0.05, 0.2)
            self.faults = [self.restart, self.restart, self.outage, self.disconnect]

    def run_scenario(self) -> Cluster:
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
        self.cluster.call_later(self.random.choice((0.01, 0.05, 0.2, 1.0, 2.0)), call)

    def start_again(self, node: Node) -> None:
        if node.core is None:
            self.cluster.start(node)

    def restart(self) -> None:
        node = self.pick()
        self.random.choice((self.cluster.kill, self.cluster.lose_power))(node)
        self.later(lambda: self.start_again(node))

    def shut_down(self) -> None:
        node = self.pick()
        if node.core is not None:
            self.cluster.shut_down(node, restart_after=self.random.choice((0.05, 1.0)))

    def outage(self) -> None:
        lost = self.random.choice((self.cluster.kill, self.cluster.lose_power))
        for node in self.cluster.nodes.values():
            lost(node)
            self.later(partial(self.start_again, node))

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

    def hang_disk(self) -> None:
        self.pick().disk.hung_until = self.cluster.now + self.random.choice((0.3, 1.0, 2.0))

    def lose_disk(self) -> None:
        """Lose a disk, unless one is lost already: until that machine rejoins, no other loss is tolerated."""
        nodes = self.cluster.nodes.values()
        if any(n.disk_lost for n in nodes) or not self.cluster.all_rejoined():
            return
        node = self.pick()
        self.cluster.lose_disk(node)
        self.later(lambda: self.start_again(node))

    def forget_lost_disks(self) -> None:
        if self.cluster.all_rejoined():
            for node in self.cluster.nodes.values():
                node.disk_lost = False
