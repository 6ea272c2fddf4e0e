"""A forge's disk in memory: synced late, hung, full, without power, lost."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from minthitch.anvil.messages import Persist, Saved
from minthitch.chest.store import Header, Kind
from rigs.meshlab.loop import Machine, VirtualLoop

AGAIN = 0.2  # seconds between two tries of a write that is refused


class SimDisk:
    """What stays when the process ends."""

    def __init__(self, sync: tuple[float, float]) -> None:
        self.sync = sync  # seconds of a write, from and to
        self.name = ""
        self.saved: Saved | None = None
        self.hung = self.full = False

    def write(self, persist: Persist) -> None:
        old = self.saved or Saved(0, "", (), 0, 0, b"", ())
        entries = {e.index: e for e in old.entries if not persist.truncate or e.index < persist.truncate}
        entries.update((e.index, e) for e in persist.entries)
        place = (old.members, old.snap_index, old.snap_term, old.snapshot)
        if persist.snapshot is not None:
            index, term, voters, data = persist.snapshot
            place = (voters, index, term, data)
        kept = tuple(entries[i] for i in sorted(entries) if i > place[1])
        self.saved = Saved(persist.term, persist.vote, *place, kept)

    def wipe(self) -> None:
        self.name, self.saved = "", None


class SimChest:
    """What Hall asks of a chest."""

    def __init__(self, disk: SimDisk) -> None:
        self.disk = disk
        self.kind = Kind.WHOLE if disk.name else Kind.EMPTY
        self.header = Header(disk.name)
        saved = disk.saved
        if saved is not None:
            self.header.term = saved.term
            self.header.last = saved.entries[-1].index if saved.entries else saved.snap_index

    @property
    def incarnation(self) -> str:
        return self.disk.name

    def begin(self, incarnation: str) -> None:
        self.disk.wipe()
        self.disk.name = incarnation
        self.kind = Kind.WHOLE

    def load(self) -> Saved | None:
        return self.disk.saved


class SimWriter:
    """What Hall asks of a writer: one write at a time, each told once it is synced."""

    def __init__(self, loop: VirtualLoop, machine: Machine, disk: SimDisk, done: Callable[[int], None],
                 trouble: Callable[[str, bool], None]) -> None:
        self.loop, self.machine, self.disk, self.done, self.trouble = loop, machine, disk, done, trouble
        self.life = machine.life
        self.queue: deque[Persist] = deque()
        self.since: float | None = None
        self.ending = False

    @property
    def pending_since(self) -> float | None:
        return self.since

    def start(self) -> None:
        pass

    def put(self, persist: Persist) -> None:
        self.queue.append(persist)
        if len(self.queue) == 1:
            self._begin()

    def end(self) -> None:
        self.ending = True

    def _begin(self) -> None:
        self.since = self.loop.now + self.machine.offset
        self.loop.after(self.loop.random.uniform(*self.disk.sync), self.loop.world, self._land)

    def _land(self) -> None:
        """In the system, not in the process: it goes on while that is frozen."""
        if self.machine.life != self.life or not self.queue:
            return
        if self.disk.hung:
            self.loop.after(0.02, self.loop.world, self._land)
        elif self.disk.full:
            self.loop.after(0.0, self.machine, self.trouble, "full", False)
            self.loop.after(AGAIN, self.loop.world, self._land)
        else:
            self.disk.write(self.queue[0])
            self.loop.after(0.0, self.machine, self._told)

    def _told(self) -> None:
        persist = self.queue.popleft()
        self.since = None
        if self.queue:
            self._begin()
        self.done(persist.ticket)

    def fall(self, power: bool) -> None:
        """The process ends, or power is lost: a write under way may have landed or not."""
        takes = not power and not self.disk.hung and not self.disk.full
        if self.queue and takes and self.loop.random.random() < 0.5:
            self.disk.write(self.queue[0])
        self.queue.clear()
