"""A control node's disk in memory, which may be slow, hung, full, lost, torn, or hold another node's data."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

import msgpack

from minthitch.mesh.raft.actions import Persist, PersistedState
from minthitch.mesh.raft.log import EMPTY_SNAPSHOT, MEMBERS
from minthitch.mesh.storage.records import Header
from minthitch.mesh.storage.store import Condition
from rigs.simulation.loop import Machine, VirtualLoop

WRITE_RETRY_S = 0.2  # between two attempts of a write that a full disk refuses


class SimDisk:
    """The state that outlives the process."""

    def __init__(self, sync: tuple[float, float]) -> None:
        self.sync_s = sync  # range of the duration of a write
        self.name = ""
        self.saved: PersistedState | None = None
        self.condition_after_loss = Condition.EMPTY  # what a start finds if there is no intact data
        self.hung = self.full = False

    @property
    def voters(self) -> tuple[str, ...]:
        """The voters in the newest membership entry on the disk, else in the snapshot."""
        if self.saved is None:
            return ()
        tables = [entry.data for entry in self.saved.entries if entry.kind == MEMBERS]
        return tuple(msgpack.unpackb(tables[-1])) if tables else self.saved.snapshot.voters

    def write(self, persist: Persist) -> None:
        old = self.saved or PersistedState(0, "", EMPTY_SNAPSHOT, ())
        entries = {
            e.index: e for e in old.entries if not persist.truncate_from or e.index < persist.truncate_from
        }
        entries.update((e.index, e) for e in persist.entries)
        snapshot = persist.snapshot or old.snapshot
        kept = tuple(entries[i] for i in sorted(entries) if i > snapshot.index)
        if kept and [kept[0].index, kept[-1].index] != [snapshot.index + 1, snapshot.index + len(kept)]:
            raise ValueError(
                f"gap in the log on disk: entries {kept[0].index} to {kept[-1].index} after {snapshot.index}"
            )
        self.saved = PersistedState(persist.term, persist.voted_for, snapshot, kept)

    def wipe(self, condition_after_loss: Condition = Condition.EMPTY) -> None:
        """Loses all data; a start then finds `condition_after_loss`: empty, torn, or another node's data."""
        self.name, self.saved, self.condition_after_loss = "", None, condition_after_loss


class SimStore:
    """The `Store` interface that a control server uses."""

    def __init__(self, disk: SimDisk) -> None:
        self.disk = disk
        self.condition = Condition.INTACT if disk.name else disk.condition_after_loss
        self.header = Header(disk.name)
        saved = disk.saved
        if saved is not None:
            self.header.term = saved.term
            self.header.last_index = saved.entries[-1].index if saved.entries else saved.snapshot.index

    @property
    def incarnation(self) -> str:
        return self.disk.name

    def initialize(self, incarnation: str) -> None:
        self.disk.wipe()
        self.disk.name = incarnation
        self.condition = Condition.INTACT

    def load(self) -> PersistedState | None:
        return self.disk.saved


class SimWriter:
    """The `StorageWriter` interface: one write at a time, each reported once it is durable."""

    def __init__(
        self,
        loop: VirtualLoop,
        machine: Machine,
        disk: SimDisk,
        done: Callable[[int], None],
        on_trouble: Callable[[str, bool], None],
        on_begin: Callable[[], None] = lambda: None,
    ) -> None:
        self.loop, self.machine, self.disk, self.done, self.on_trouble = loop, machine, disk, done, on_trouble
        self.on_begin = on_begin  # called when a write starts
        self.life = machine.life
        self.queue: deque[Persist] = deque()
        self.write_started_at: float | None = None
        self.stopping = False

    @property
    def pending_since(self) -> float | None:
        return self.write_started_at

    def start(self) -> None:
        pass

    def submit(self, persist: Persist) -> None:
        self.queue.append(persist)
        if len(self.queue) == 1:
            self._begin()

    def stop(self) -> None:
        self.stopping = True

    def _begin(self) -> None:
        self.write_started_at = self.loop.now + self.machine.offset
        self.loop.after(self.loop.random.uniform(*self.disk.sync_s), self.loop.world, self._complete)
        self.on_begin()

    def _complete(self) -> None:
        """Completes the write. It runs in the operating system, so it goes on while the process is frozen."""
        if self.machine.life != self.life or not self.queue:
            return
        if self.disk.hung:
            self.loop.after(0.02, self.loop.world, self._complete)
        elif self.disk.full:
            self.loop.after(0.0, self.machine, self.on_trouble, "full", False)
            self.loop.after(WRITE_RETRY_S, self.loop.world, self._complete)
        else:
            self.disk.write(self.queue[0])
            self.loop.after(0.0, self.machine, self._notify)

    def _notify(self) -> None:
        persist = self.queue.popleft()
        self.write_started_at = None
        if self.queue:
            self._begin()
        self.done(persist.write_id)

    def abort(self, survival_probability: float) -> None:
        """Ends the process: a write in flight reached the disk with this probability.

        A write that the loss of power tore is detected by its meta page, and the state before it remains.
        """
        takes = not self.disk.hung and not self.disk.full
        if self.queue and takes and self.loop.random.random() < survival_probability:
            self.disk.write(self.queue[0])
        self.queue.clear()
