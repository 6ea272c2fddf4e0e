"""A control node's disk in memory: synced late, hung, full, without power, torn, foreign, lost."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

import msgpack

from minthitch.mesh.raft.actions import Persist, PersistedState
from minthitch.mesh.raft.log import EMPTY_SNAPSHOT, MEMBERS
from minthitch.mesh.storage.records import Header
from minthitch.mesh.storage.store import Condition
from rigs.simulation.loop import Machine, VirtualLoop

WRITE_RETRY_S = 0.2  # seconds between two tries of a write that is refused


class SimDisk:
    """What stays when the process ends."""

    def __init__(self, sync: tuple[float, float]) -> None:
        self.sync_s = sync  # seconds of a write, from and to
        self.name = ""
        self.saved: PersistedState | None = None
        self.condition_after_loss = Condition.EMPTY  # what a start finds where nothing of ours is whole
        self.hung = self.full = False

    @property
    def voters(self) -> tuple[str, ...]:
        """By the newest table that is on it."""
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
                f"a hole on the disk: {kept[0].index} to {kept[-1].index} after {snapshot.index}"
            )
        self.saved = PersistedState(persist.term, persist.voted_for, snapshot, kept)

    def wipe(self, condition_after_loss: Condition = Condition.EMPTY) -> None:
        """Nothing is left, or what is left is torn or another's."""
        self.name, self.saved, self.condition_after_loss = "", None, condition_after_loss


class SimStore:
    """What a control server asks of a store."""

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
    """What a control server asks of a writer: one write at a time, each told once it is synced."""

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
        self.on_begin = on_begin  # hears of each write that is under way
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
        """In the system, not in the process: it goes on while that is frozen."""
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
        """The process ends, or power is lost: with chance `survival_probability` a write under way has come to the disk.

        One that was torn by the loss of power is condition_after_loss out by its meta page, and the one before stands.
        """
        takes = not self.disk.hung and not self.disk.full
        if self.queue and takes and self.loop.random.random() < survival_probability:
            self.disk.write(self.queue[0])
        self.queue.clear()
