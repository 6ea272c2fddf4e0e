"""When a snapshot is written, and what is said of one that could not be. Pure: times in, actions out."""

from __future__ import annotations

from dataclasses import dataclass

MAX_BACKOFF = 12  # times the usual pause at most, while writing fails


@dataclass(frozen=True, slots=True)
class Write:
    """Make a snapshot of this generation, and write it."""

    generation: int


@dataclass(frozen=True, slots=True)
class LogLine:
    """A line for the log."""

    text: str


class WriteSchedule:
    """One write at a time; a failing disk is tried less and less often, and costs the snapshot only."""

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
        """The last one, as the process ends; None where one is on its way, which then is the last."""
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
        return LogLine(f"snapshots are written again, after {failures} that failed") if failures else None

    def failed(self, now: int, why: str) -> LogLine | None:
        """Said once, until one is written again."""
        self.writing = False
        self.failures += 1
        self.next_at = now + self.interval * min(1 << min(self.failures, 10), MAX_BACKOFF)
        return LogLine(f"the snapshot is not written: {why}") if self.failures == 1 else None
