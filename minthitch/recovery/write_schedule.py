"""Decides when a snapshot is written and what is logged on failure. Pure: clock readings in, actions out."""

from __future__ import annotations

from dataclasses import dataclass

MAX_BACKOFF = 12  # the longest pause while writing fails, in intervals


@dataclass(frozen=True, slots=True)
class Write:
    """Create a snapshot of this generation and write it."""

    generation: int


@dataclass(frozen=True, slots=True)
class LogLine:
    """A line for the log."""

    text: str


class WriteSchedule:
    """Allows one write at a time, with exponential backoff while writes fail."""

    def __init__(self, interval: int, generation: int, now: int) -> None:
        self.interval, self.generation = interval, generation
        self.next_at = now + interval  # ns
        self.writing = False
        self.failures = 0
        self.ending = False
        self.written_at: int | None = None

    def tick(self, now: int) -> Write | None:
        if self.writing or self.ending or now < self.next_at:
            return None
        return self._write()

    def end(self) -> Write | None:
        """The last write before the process ends; None while one is in progress, which then is the last."""
        self.ending = True
        return None if self.writing else self._write()

    def _write(self) -> Write:
        self.writing = True
        self.generation += 1
        return Write(self.generation)

    def written(self, now: int) -> LogLine | None:
        self.writing, self.written_at = False, now
        failures, self.failures = self.failures, 0
        self.next_at = now + self.interval
        return LogLine(f"snapshots are written again after {failures} failed attempts") if failures else None

    def failed(self, now: int, why: str) -> LogLine | None:
        """Logged once; the next failure is logged only after a write has succeeded."""
        self.writing = False
        self.failures += 1
        self.next_at = now + self.interval * min(1 << min(self.failures, 10), MAX_BACKOFF)
        return LogLine(f"cannot write the snapshot: {why}") if self.failures == 1 else None
