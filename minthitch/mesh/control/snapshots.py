"""When a control node takes a snapshot of its state, and how: by bytes and entries, in short steps.

The log before a snapshot is dropped on disk and in memory, so the bytes between two snapshots bound both.
Each member waits a little longer than it must, by a fraction derived from its name, so that they do not all
write at once.
"""

from __future__ import annotations

import asyncio
import zlib
from collections.abc import Callable, Iterator

from minthitch.mesh.control.state_machine import StateMachine
from minthitch.mesh.events.events import Event, log_event

# Bytes of entries between two snapshots, or as many as the last snapshot has: the disk then writes each byte
# about twice, whatever the state's size.
LOG_BYTES = 8 * 1024 * 1024
FILE_DIVISOR = 8  # the log may take this part of the file: two snapshots need space beside it
MIN_EARLY_BYTES = 1024 * 1024  # of log that an early snapshot must drop to be worth its own space
STAGGER = 0.5  # the largest fraction by which a member waits longer


def stagger_fraction(name: str) -> float:
    """A member's own fraction of STAGGER, from 0 to 1."""
    return zlib.crc32(name.encode()) / 0xFFFFFFFF


class SnapshotSchedule:
    """Counts what has been applied since the last snapshot."""

    def __init__(self, name: str, file_bytes: int, index: int, size: int) -> None:
        self.index = index  # of the last snapshot
        self.size = size  # of the last snapshot
        self.applied_bytes = 0
        self._stretch = 1.0 + STAGGER * stagger_fraction(name)
        self._max_log_bytes = file_bytes // FILE_DIVISOR

    def on_applied(self, size: int) -> None:
        """An entry of that size was applied."""
        self.applied_bytes += size

    def is_due(self, index: int, max_entries: int) -> bool:
        """Whether a snapshot is due at `index`, where one is taken every `max_entries` at the latest."""
        max_bytes = min(max(LOG_BYTES, self.size), self._max_log_bytes)
        too_many_entries = index - self.index >= max_entries * self._stretch
        return self.applied_bytes >= max_bytes * self._stretch or too_many_entries

    def on_taken(self, index: int, size: int) -> None:
        """A snapshot as of `index`, which now is the last applied one, has that size."""
        self.index = index
        self.size = size
        self.applied_bytes = 0


class SnapshotTaker:
    """Takes one snapshot at a time; `on_taken(index, data)` is called once it is encoded."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        state: StateMachine,
        schedule: SnapshotSchedule,
        on_taken: Callable[[int, bytes], None],
    ) -> None:
        self.schedule = schedule
        self.next_step: asyncio.Handle | None = None
        self._loop = loop
        self._state = state
        self._on_taken = on_taken

    def on_applied(self, index: int, size: int, max_entries: int) -> None:
        """An entry was applied: take a snapshot where one is due."""
        self.schedule.on_applied(size)
        if self.next_step is None and self.schedule.is_due(index, max_entries):
            self._begin(index)

    def take_early(self, index: int) -> None:
        """The disk refuses a write: a snapshot that drops much of the log may make space for it."""
        schedule = self.schedule
        is_useful = schedule.applied_bytes >= max(MIN_EARLY_BYTES, schedule.size)
        if self.next_step is None and is_useful:
            self._begin(index)

    def on_restored(self, index: int, size: int) -> None:
        """The state was replaced by a leader's snapshot; what was being encoded is of no use."""
        self.close()
        self.schedule.on_taken(index, size)

    def _begin(self, index: int) -> None:
        self.schedule.on_taken(index, self.schedule.size)
        self.next_step = self._loop.call_soon(self._encode, index, self._state.snapshot_steps(), [])

    def _encode(self, index: int, steps: Iterator[bytes], encoded: list[bytes]) -> None:
        """One step in each turn of the loop: whatever else is due comes in between."""
        step = next(steps, None)
        if step is not None:
            encoded.append(step)
            self.next_step = self._loop.call_soon(self._encode, index, steps, encoded)
            return
        self.next_step = None
        data = b"".join(encoded)
        self.schedule.size = len(data)
        log_event(Event.SNAPSHOT, index=index, size=len(data))
        self._on_taken(index, data)

    def close(self) -> None:
        """Give up the snapshot that is being encoded."""
        if self.next_step is not None:
            self.next_step.cancel()
            self.next_step = None
