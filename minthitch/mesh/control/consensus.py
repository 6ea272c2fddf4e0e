"""Runs the consensus core of a control node: time, durable storage and the state machine."""

from __future__ import annotations

import asyncio
import os
import random
from collections.abc import Callable
from typing import Any, Protocol

from minthitch.mesh.configuration.settings import NodeSettings
from minthitch.mesh.control.disk_health import DiskHealth
from minthitch.mesh.control.shutdown import GracefulShutdown
from minthitch.mesh.control.snapshots import SnapshotSchedule, SnapshotTaker
from minthitch.mesh.control.state_machine import ConfigurationResult, StateMachine
from minthitch.mesh.events.events import Event, log_event
from minthitch.mesh.raft.actions import Action, Apply, Persist, Restore, Send, Timing
from minthitch.mesh.raft.log import DATA, MEMBERS, Entry
from minthitch.mesh.raft.messages import decode_message
from minthitch.mesh.raft.node import RaftNode
from minthitch.mesh.raft.placement import Location, Tolerated, target_group_size
from minthitch.mesh.raft.reconfiguration import UNRESPONSIVE_AFTER_S, GroupPolicy
from minthitch.mesh.storage.errors import StoreCorruptedError
from minthitch.mesh.storage.store import Condition, Store
from minthitch.mesh.storage.writer import StorageWriter

TIMING = Timing(heartbeat=0.05, election_timeout=0.25)
MAX_SNAPSHOT_ENTRIES = 4_000  # between two snapshots, however small: a restart applies all of them again
REPLACEMENT_FRACTION = 0.35  # of Terms.Bnd.SyncS, after which an unresponsive voter may be replaced
FILE_FRACTION = 0.7  # of the disk that the data file may use
MIN_DISK_MB = 16.0
FOUNDER_INCARNATION = "0"

Clock = Callable[[], float]
MakeWriter = Callable[[Store, Callable[[int], None], Callable[[str, bool], None], Clock], StorageWriter]


class Host(Protocol):
    """The control node that runs the core."""

    loop: asyncio.AbstractEventLoop

    def send(self, action: Send) -> None:
        """Send a message to another member."""

    def on_applied(self, entry: Entry, result: tuple[Any, ...]) -> None:
        """Called after a committed entry was applied."""

    def on_state_changed(self) -> None:
        """Called when the configuration or the voters have changed."""

    def on_leader_changed(self) -> None:
        """Called when the leader, the term or the voters have changed."""

    def fail(self, error: BaseException) -> None:
        """End the process because of an error."""


def data_file_bytes(settings: NodeSettings) -> int:
    """The size limit of the data file in bytes."""
    return int(max(settings.own.limits.disk_mb, MIN_DISK_MB) * FILE_FRACTION) * 1024 * 1024


class ConsensusDriver:
    """Executes the actions of a RaftNode and reports events to it."""

    def __init__(
        self, host: Host, settings: NodeSettings, store: Store | None, make_writer: MakeWriter, clock: Clock
    ) -> None:
        """Open the data folder and start the core.

        Raises:
            StoreError, OSError: the data folder can't be used.
        """
        self.state = StateMachine()
        self.disk = DiskHealth()
        self._host = host
        self._loop = host.loop
        self._clock = clock
        self._last_logged: tuple[Any, ...] = ()
        store = store or Store(settings.own.datadir, data_file_bytes(settings))
        self.raft = _start_raft(settings, store, self._loop.time())
        snapshot = self.raft.log.snapshot
        schedule = SnapshotSchedule(
            settings.own.ip, data_file_bytes(settings), snapshot.index, len(snapshot.data)
        )
        self.snapshots = SnapshotTaker(self._loop, self.state, schedule, self._compact)
        self.shutdown = GracefulShutdown(self.raft)
        self.writer = make_writer(store, self._on_durable_soon, self._on_failure_soon, clock)
        self.writer.start()

    def tick(self, now: float) -> bool:
        """Advance the core's time. Returns whether the leader, the term or the voters have changed."""
        health_changed = not self.shutdown.has_begun and self.disk.update(now, self.pending_write_s())
        if health_changed:
            self.carry_out(self.raft.set_disk_health(now, self.disk.healthy))
        self.carry_out(self.raft.tick(now))
        return self._log_changes()

    def receive(self, source: str, target: str, wire: tuple[Any, ...]) -> None:
        """Handle a member's message; drop one to an earlier incarnation of this node, whose disk was lost."""
        message = decode_message(wire) if target == self.raft.name else None
        if message is not None:
            self.carry_out(self.raft.receive(self._loop.time(), source, message))

    def is_up_to_date(self, now: float) -> bool:
        """Whether all entries known to be committed are applied, and a quorum is in contact."""
        raft = self.raft
        return raft.in_contact_with_quorum(now) and raft.last_applied >= raft.commit_index > 0

    def pending_write_s(self) -> float:
        """Seconds since the current write started; 0 without one."""
        since = self.writer.pending_since
        return self._clock() - since if since is not None else 0.0

    def carry_out(self, actions: list[Action]) -> None:
        """Execute the core's actions in order."""
        for action in actions:
            if isinstance(action, Send):
                self._host.send(action)
            elif isinstance(action, Persist):
                self.writer.submit(action)
            elif isinstance(action, Apply):
                self._apply(action.entry)
            elif isinstance(action, Restore):
                self.state.restore(action.data)
                self.snapshots.on_restored(action.index, len(action.data))
                self._host.on_state_changed()

    def _apply(self, entry: Entry) -> None:
        result: tuple[Any, ...] = ()
        if entry.kind == DATA:
            result = self.state.apply(entry.index, entry.data) or ()
        if isinstance(result, ConfigurationResult):
            verdict = f"{result.status} {result.reason}"
            log_event(Event.PATCHED, index=entry.index, verdict=verdict)
        if isinstance(result, ConfigurationResult) or entry.kind == MEMBERS:
            self._host.on_state_changed()
        self._host.on_applied(entry, result)
        self.snapshots.on_applied(entry.index, len(entry.data), MAX_SNAPSHOT_ENTRIES)

    def _compact(self, index: int, data: bytes) -> None:
        self.carry_out(self.raft.compact(index, data))
        log = self.raft.log
        is_on_disk = index == log.snapshot.index <= log.durable
        if is_on_disk and self.disk.refuses_writes(self._loop.time()):
            self.writer.emergency_snapshot = log.snapshot

    # The writer's thread --------------------------------------------------------------------------

    def _on_durable_soon(self, write_id: int) -> None:
        self._loop.call_soon_threadsafe(self._on_durable, write_id)

    def _on_durable(self, write_id: int) -> None:
        self.carry_out(self.raft.persisted(self._loop.time(), write_id))

    def _on_failure_soon(self, reason: str, corrupted: bool) -> None:
        self._loop.call_soon_threadsafe(self._on_failure, reason, corrupted)

    def _on_failure(self, reason: str, corrupted: bool) -> None:
        self.disk.on_write_refused(self._loop.time(), reason)
        if corrupted:  # the process must restart as a node that lost its disk
            self._host.fail(StoreCorruptedError(reason))
        else:
            self.snapshots.take_early(self.raft.last_applied)

    # Log ------------------------------------------------------------------------------------------

    def _log_changes(self) -> bool:
        raft = self.raft
        present = (raft.is_leader, raft.leader, raft.term, raft.voters)
        if present == self._last_logged:
            return False
        if not self._last_logged or raft.voters != self._last_logged[-1]:
            log_event(Event.MEMBERS, voters=", ".join(raft.voters))
        if raft.is_leader:
            log_event(Event.LEADS, term=raft.term)
        elif raft.leader:
            log_event(Event.FOLLOWS, leader=raft.leader, term=raft.term)
        else:
            log_event(Event.NO_LEADER, term=raft.term)
        self._last_logged = present
        self._host.on_leader_changed()
        return True

    def close(self) -> None:
        """Finish the queued writes and stop."""
        self.snapshots.close()
        self.writer.stop()


def _start_raft(settings: NodeSettings, store: Store, now: float) -> RaftNode:
    """Create the consensus core from the state on disk.

    Raises:
        StoreCorruptedError: a newer version wrote the folder, and using it would lose that data.
    """
    seed = random.Random(os.urandom(8)).getrandbits(60)
    condition = store.condition
    log_event(
        Event.DISK_LOADED,
        state=condition.value,
        last_index=store.header.last_index,
        term=store.header.term,
    )
    if condition is Condition.NEWER:
        raise StoreCorruptedError("the folder was written by a newer version")
    seeds = tuple(address.rpartition(":")[0] for address in settings.net.seeds)
    if condition is not Condition.INTACT:
        # Only the first start of the whole system may found a group; otherwise there could be two groups.
        founds_group = settings.own.init and condition is Condition.EMPTY and settings.own.ip in seeds
        store.initialize(FOUNDER_INCARNATION if founds_group else os.urandom(6).hex())
    is_founder = store.incarnation == FOUNDER_INCARNATION
    tolerate = settings.terms.tolerate
    tolerated = Tolerated(tolerate.hw, tolerate.azs, tolerate.regions)
    policy = GroupPolicy(
        target_size=target_group_size(tolerated),
        unresponsive_after_s=min(UNRESPONSIVE_AFTER_S, REPLACEMENT_FRACTION * settings.terms.bounds.sync_s),
        tolerated=tolerated,
    )
    raft = RaftNode(
        name=f"{settings.own.ip}#{store.incarnation}",
        persisted=store.load(),
        founders=tuple(f"{seed}#{FOUNDER_INCARNATION}" for seed in seeds) if is_founder else (),
        timing=TIMING,
        seed=seed,
        now=now,
        policy=policy,
    )
    raft.locations[settings.own.ip] = Location(settings.own.az, settings.own.region)
    return raft
