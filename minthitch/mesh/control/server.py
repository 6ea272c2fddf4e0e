"""One control node on its loop: the agreement and its disk, the other control nodes, the sidecars,
operators and servers."""

from __future__ import annotations

import asyncio
import os
import random
import time
from collections.abc import Callable
from typing import Any

import msgpack

from minthitch.mesh.raft.node import RaftNode
from minthitch.mesh.raft.reconfiguration import UNRESPONSIVE_AFTER_S, GroupPolicy
from minthitch.mesh.raft.actions import Action, Apply, Persist, Restore, Send, Timing
from minthitch.mesh.raft.errors import ConsensusViolationError
from minthitch.mesh.raft.log import DATA, MEMBERS
from minthitch.mesh.raft.messages import decode_message
from minthitch.mesh.raft.placement import Location, Tolerated, target_group_size
from minthitch.mesh.storage.errors import StoreCorruptedError
from minthitch.mesh.storage.store import Condition, Store
from minthitch.mesh.storage.writer import StorageWriter
from minthitch.mesh.control.aging import Aging
from minthitch.mesh.control.diskwatch import DiskWatch
from minthitch.mesh.control.leases import Leases
from minthitch.mesh.control.members import Others
from minthitch.mesh.control.orders import Orders, Result
from minthitch.mesh.control.proposals import Proposals, answer
from minthitch.mesh.control.pushes import Pushes
from minthitch.mesh.control.retirement import Retirement
from minthitch.mesh.control.snapshots import Schedule, Snapshots
from minthitch.mesh.control.state import CLAIM, NO_LEADER, Claimed, Patched, State
from minthitch.mesh.configuration.boot import Boot
from minthitch.mesh.transport import ops
from minthitch.mesh.transport.connection import Connection
from minthitch.mesh.registry.registry import Registry
from minthitch.mesh.events.events import Event, say

TICK = 0.02  # seconds between two looks at the agreement's time
TIMING = Timing(heartbeat=0.05, election_timeout=0.25)
LOOK_EVERY = 0.5  # seconds between two looks at who is alive
SURELY = 2.0  # seconds between two words to a sidecar, whatever has changed: its line beats by itself
JOIN_EVERY = 0.5  # seconds between two tries of a learner to be taken in
SNAPSHOT_EVERY = 4_000  # entries between two snapshots at most, however short: a start applies them all
GONE_PART = 0.35  # of the time that a successor has, after which a silent voter gives up its seat
MAP_PART = 0.7  # part of the disk that the file may take
ROTATE_SLACK = 15.0  # seconds beyond the window before claims grow old: requests take their time too
MOST_PATCH = 4 * 1024 * 1024  # bytes of one call of the operator
Clock = Callable[[], float]
MakeWriter = Callable[[Store, Callable[[int], None], Callable[[str, bool], None], Clock], StorageWriter]


class ControlServer:
    """Everything that one control node holds."""

    def __init__(
        self,
        boot: Boot,
        store: Store | None = None,
        writer: MakeWriter = StorageWriter,
        clock: Clock = time.monotonic,
    ) -> None:
        """Models give `store`, `writer` and `clock` (steady seconds); else they are the system's."""
        self.boot, self.clock = boot, clock
        self.loop = asyncio.get_running_loop()
        self.ip, self.port = boot.own.ip, boot.net.port_range[0]
        self.random = random.Random(os.urandom(8))
        self.state, self.registry = State(), Registry()
        self.seeds = tuple(seed.rpartition(":")[0] for seed in boot.net.seeds)
        self.proposals, self.pushes = Proposals(self), Pushes(self, self.registry)
        self.orders = Orders(self)
        self.others = Others(self, self.ip, self.port, Location(boot.own.az, boot.own.region))
        self.links = self.others.links
        self.disk = DiskWatch()
        self.knew_newest = False
        self.failed: BaseException | None = None
        self.finished = asyncio.Event()
        self.said: tuple[Any, ...] = ()
        self.told_all = 0.0
        self.aging = Aging(self, boot.terms.bounds.key_win_s)
        size = int(max(boot.own.limits.disk_mb, 16.0) * MAP_PART) * 1024 * 1024
        self.store = store or Store(boot.own.datadir, size)
        self.core = self._core()
        kept = self.core.log.snapshot
        schedule = Schedule(self.ip, size, kept.index, len(kept.data))
        self.snapshots = Snapshots(self.loop, self.state, schedule, self._snapshot)
        self.retirement = Retirement(self.core)
        self.retired = asyncio.Event()
        self.leases = Leases(boot.terms.bounds, self.core)
        self.writer = writer(self.store, self._synced_soon, self._trouble_soon, clock)
        self.writer.start()
        self.act(self.core.drain())
        self.others.know(self.seeds + tuple(member.partition("#")[0] for member in self.core.voters))
        self.timers = [
            self.loop.call_later(TICK, self._tick),
            self.loop.call_later(LOOK_EVERY, self._look),
            self.loop.call_later(JOIN_EVERY, self._join_group),
        ]

    # Start ----------------------------------------------------------------------------------------

    def _core(self) -> RaftNode:
        store, founders = self.store, tuple[str, ...]()
        say(
            Event.DISK_LOADED,
            state=store.condition.value,
            entries=store.header.last_index,
            term=store.header.term,
        )
        if (
            store.condition is Condition.NEWER
        ):  # danger: written by a later version: what it says would be lost
            raise StoreCorruptedError("the folder was written by a later version")
        if store.condition is not Condition.INTACT:
            # Only the first start of the whole system, told so, may form a group; danger: two groups.
            founds = self.boot.own.init and store.condition is Condition.EMPTY and self.ip in self.seeds
            store.initialize("0" if founds else os.urandom(6).hex())
        if store.incarnation == "0":
            founders = tuple(f"{ip}#0" for ip in self.seeds)
        saved = store.load()
        now = self.loop.time()
        me = f"{self.ip}#{store.incarnation}"
        terms = self.boot.terms
        tolerated = Tolerated(terms.tolerate.hw, terms.tolerate.azs, terms.tolerate.regions)
        core = RaftNode(
            me,
            saved,
            founders,
            TIMING,
            self.random.getrandbits(60),
            now,
            GroupPolicy(
                target_group_size(tolerated),
                min(UNRESPONSIVE_AFTER_S, GONE_PART * terms.bounds.sync_s),
                tolerated,
            ),
        )
        core.locations[self.ip] = Location(self.boot.own.az, self.boot.own.region)
        return core

    # The agreement --------------------------------------------------------------------------------

    def _tick(self) -> None:
        self.timers[0] = self.loop.call_later(TICK, self._tick)
        now = self.loop.time()
        if self.retirement.begun is None and self.disk.look(now, self.disk_waits()):
            self.act(self.core.set_disk_health(now, not self.bad))
        self.act(self.core.tick(now))
        if self.retirement.over(now, len(self.orders.open)):
            self.retired.set()
        changed = self._tell_changes(now)
        if changed or self.knows_newest(now) != self.knew_newest:
            self.knew_newest = self.knows_newest(now)
            # Danger: sidecars would send claims to the leader before for half a second more.
            self.pushes.push(True)

    def knows_newest(self, now: float) -> bool:
        """Whether what this control node has applied is what was agreed, and not of a time before a cut."""
        return self.core.in_contact_with_quorum(now) and self.core.last_applied >= self.core.commit_index > 0

    def disk_waits(self) -> float:
        """Seconds for which the write under way has been."""
        since = self.writer.pending_since
        return self.clock() - since if since is not None else 0.0

    @property
    def bad(self) -> bool:
        """Whether its disk can't be relied on now."""
        return self.disk.bad

    def _tell_changes(self, now: float) -> bool:
        """Says who leads and votes; whether that is news."""
        core = self.core
        leads = core.role == "leader"
        told = (core.role == "leader", core.leader, core.term, core.voters)
        if told == self.said:
            return False
        if not self.said or told[3] != self.said[3]:
            say(Event.MEMBERS, voters=", ".join(core.voters))
        if leads:
            say(Event.LEADS, term=core.term)
        elif core.leader:
            say(Event.FOLLOWS, leader=core.leader, term=core.term)
        else:
            say(Event.NO_LEADER, term=core.term)
        self.said = told
        self.others.know(tuple(member.partition("#")[0] for member in core.voters))
        self.proposals.resend()
        return True

    def act(self, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, Send):
                self.others.send(action)
            elif isinstance(action, Persist):
                self.writer.submit(action)
            elif isinstance(action, Apply):
                self._apply(action)
            elif isinstance(action, Restore):
                self.state.load(action.data)
                self.snapshots.restored(action.index, len(action.data))
                self.pushes.news()

    def _apply(self, action: Apply) -> None:
        entry = action.entry
        result: tuple[Any, ...] = ()
        if entry.kind == DATA:
            result = self.state.apply(entry.index, entry.data)
            if isinstance(result, Patched):
                say(Event.PATCHED, index=entry.index, verdict=f"{result.status} {result.why}")
                self.pushes.news()
        elif entry.kind == MEMBERS:
            self.pushes.news()
        self.proposals.applied(entry, result)
        self.snapshots.applied(entry.index, len(entry.data), SNAPSHOT_EVERY)

    def _snapshot(self, index: int, snapshot: bytes) -> None:
        self.act(self.core.compact(index, snapshot))
        log = self.core.log
        if self.disk.refuses(self.loop.time()) and index == log.snapshot.index <= log.durable:
            self.writer.emergency_snapshot = log.snapshot

    def _synced_soon(self, ticket: int) -> None:
        self.loop.call_soon_threadsafe(self._synced, ticket)

    def _synced(self, ticket: int) -> None:
        self.act(self.core.persisted(self.loop.time(), ticket))

    def _trouble_soon(self, why: str, lost: bool) -> None:
        self.loop.call_soon_threadsafe(self._trouble, why, lost)

    def _trouble(self, why: str, lost: bool) -> None:
        self.disk.refused(self.loop.time(), why)
        if lost:  # danger: what it acknowledged may be missing: it must come back as one that forgot
            self.fail(RuntimeError(why))
        else:
            self.snapshots.hurry(self.core.last_applied)

    def retire(self) -> None:
        """Before this process ends: `retired` is set once it may."""
        self.act(self.retirement.begin(self.loop.time()))

    def fail(self, err: BaseException) -> None:
        self.failed = err
        self.finished.set()
        self.retired.set()

    # Proposals ------------------------------------------------------------------------------------

    def time(self) -> float:
        return self.loop.time()

    def propose(self, kind: int, data: bytes, done: Result) -> None:
        """`done` is told the result once it is agreed, or None where that is unclear or nobody leads."""
        self.proposals.propose(kind, data, done)

    def patch(self, body: bytes, done: Result) -> None:
        self.orders.patch(body, done)

    def fetch(self, done: Result) -> None:
        self.orders.fetch(done)

    # Lines ----------------------------------------------------------------------------------------

    def heard(self, connection: Connection, message: ops.Message) -> None:
        try:
            self._heard(connection, message)
        except ConsensusViolationError as err:
            self.fail(err)

    def _heard(self, connection: Connection, message: ops.Message) -> None:
        op = message[0]
        if op == ops.HELLO:
            if connection.kind == "control":
                self.others.called(connection.name, tuple(message[3:]))
        elif op == ops.RAFT:
            if message[1] == self.core.name:  # danger: meant for the disk that was lost
                self._receive(message[2], message[3])
        elif op == ops.REPORT:
            self.pushes.report(connection, message)
        elif op == ops.LEASE_REQUEST:
            watcher = self.pushes.watchers.get(connection)
            if watcher is not None:
                self.leases.heard(max(self.loop.time(), self.clock()), watcher, message[1:])
        elif op == ops.CLAIM:
            self._claim(connection, message)
        elif op == ops.FORWARD:
            self.proposals.for_other(connection, message)
        elif op == ops.FETCH:
            if self.core.role == "leader":
                self.orders.fetch_here(lambda result: answer(connection, message[1], result))
            else:
                answer(connection, message[1], None)
        elif op == ops.RESULT:
            self.proposals.heard(message)
        elif op == ops.JOIN:
            self.others.asked_to_join(message[1], connection.name)

    def _receive(self, source: str, wire: tuple[Any, ...]) -> None:
        decoded = decode_message(wire)
        if decoded is not None:
            self.act(self.core.receive(self.loop.time(), source, decoded))

    def _claim(self, connection: Connection, message: ops.Message) -> None:
        _, ident, key, owner, claim, digest, over = message
        body = bytes(msgpack.packb((key, owner, claim, digest, over)))

        def done(result: tuple[Any, ...] | None) -> None:
            if connection.up:
                connection.send((ops.CLAIMED, ident, *(result or Claimed(NO_LEADER))), 0)

        self.propose(CLAIM, body, done)

    def fell(self, connection: Connection) -> None:
        self.pushes.fell(connection)

    # Time -----------------------------------------------------------------------------------------

    def _look(self) -> None:
        self.timers[1] = self.loop.call_later(LOOK_EVERY, self._look)
        now = self.loop.time()
        self.pushes.beat()
        self.proposals.expire(now)
        self._rotate(now)
        surely = now - self.told_all >= SURELY
        self.told_all = now if surely else self.told_all
        self.pushes.push(surely)
        self._lend(max(now, self.clock()))

    def _lend(self, now: float) -> None:
        """Settles who holds how much of the slack, and tells each sidecar."""
        self.leases.share(now)
        for connection, watcher in self.pushes.watchers.items():
            lease = self.leases.lease(now, watcher)
            if lease is not None:
                connection.send((ops.LEASE_GRANT, *lease), 0)

    def _join_group(self) -> None:
        self.timers[2] = self.loop.call_later(JOIN_EVERY, self._join_group)
        self.others.ask_to_join()

    def _rotate(self, now: float) -> None:
        self.aging.look(self.clock(), ROTATE_SLACK)  # danger: the loop's time is from before a freeze maybe

    def close(self) -> None:
        for timer in self.timers:
            timer.cancel()
        self.snapshots.close()
        self.others.close()
        self.pushes.close()
        self.writer.stop()
