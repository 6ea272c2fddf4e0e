"""Snapshots of a control node's state: due by bytes and entries of the log, encoded in short steps.

The log before a snapshot is dropped on disk and in memory, so the bytes between two snapshots bound both.
Each member delays its snapshots by a fraction derived from its name, so that members do not all write at
once.
"""

from __future__ import annotations

import asyncio
import zlib
from collections.abc import Callable, Iterator

from minthitch.mesh.control.state_machine import StateMachine
from minthitch.mesh.events.events import Event, log_event

# Bytes of log between two snapshots, or the size of the last snapshot if that is larger. So each byte is
# written to disk about twice, however large the state is.
LOG_BYTES = 8 * 1024 * 1024
FILE_DIVISOR = 8  # the log may use 1/8 of the file, which must also hold two snapshots
MIN_EARLY_BYTES = 1024 * 1024  # of log that an early snapshot must drop to be worth its space
STAGGER = 0.5  # the largest fraction by which a member delays its snapshots


def stagger_fraction(name: str) -> float:
    """The fraction of STAGGER, from 0 to 1, that a member delays its snapshots by."""
    return zlib.crc32(name.encode()) / 0xFFFFFFFF


class SnapshotSchedule:
    """Decides when a snapshot is due, from what was applied since the last one."""

    def __init__(self, name: str, file_bytes: int, index: int, size: int) -> None:
        self.index = index  # of the last snapshot
        self.size = size  # of the last snapshot
        self.applied_bytes = 0
        self._delay_factor = 1.0 + STAGGER * stagger_fraction(name)
        self._max_log_bytes = file_bytes // FILE_DIVISOR

    def on_applied(self, size: int) -> None:
        """Count an applied entry of this size."""
        self.applied_bytes += size

    def is_due(self, index: int, max_entries: int) -> bool:
        """Whether a snapshot is due at `index`; one is due after `max_entries` at the latest."""
        max_bytes = min(max(LOG_BYTES, self.size), self._max_log_bytes)
        too_many_entries = index - self.index >= max_entries * self._delay_factor
        return self.applied_bytes >= max_bytes * self._delay_factor or too_many_entries

    def on_taken(self, index: int, size: int) -> None:
        """Reset the counters for a snapshot of this size as of `index`, the last applied index."""
        self.index = index
        self.size = size
        self.applied_bytes = 0


class SnapshotTaker:
    """Takes one snapshot at a time, and calls `on_taken(index, data)` once it is encoded."""

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
        """Count an applied entry, and take a snapshot if one is due."""
        self.schedule.on_applied(size)
        if self.next_step is None and self.schedule.is_due(index, max_entries):
            self._begin(index)

    def take_early(self, index: int) -> None:
        """After a refused write, take a snapshot if it would drop enough log to free space."""
        schedule = self.schedule
        is_useful = schedule.applied_bytes >= max(MIN_EARLY_BYTES, schedule.size)
        if self.next_step is None and is_useful:
            self._begin(index)

    def on_restored(self, index: int, size: int) -> None:
        """Abandon the current snapshot, because a leader's snapshot replaced the state."""
        self.close()
        self.schedule.on_taken(index, size)

    def _begin(self, index: int) -> None:
        self.schedule.on_taken(index, self.schedule.size)
        self.next_step = self._loop.call_soon(self._encode, index, self._state.snapshot_steps(), [])

    def _encode(self, index: int, steps: Iterator[bytes], encoded: list[bytes]) -> None:
        """Encode one step per loop iteration, so that other callbacks run in between."""
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
        """Abandon the snapshot that is being encoded."""
        if self.next_step is not None:
            self.next_step.cancel()
            self.next_step = None
