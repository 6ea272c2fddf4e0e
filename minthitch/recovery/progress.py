"""Formats one log line per second of a node's recovery, and parses such lines. Pure, no I/O."""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence

import msgspec

from minthitch.interface import SECOND
from minthitch.recovery.phases import Phase

LINE_PREFIX = "recovery: second "  # follows the node's name in the log
MAX_LINES = 120  # per recovery: a fleet that is short of capacity for hours must not fill its logs
LINES_AFTER_WHOLE = 5  # lines after full service is reached, to show that it lasts
MAX_CLASSES = 64  # upper bound for a parsed line


class ProgressLine(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One second: its end in Unix ms (`at`) and in ms since the node's start (`up`), the phase then, and by
    class the numbers of served, refused and failed requests in it.
    """

    at: int
    up: int
    phase: str
    classes: dict[str, tuple[int, int, int]]


class ProgressLog:
    """Gives a line for each second of a recovery; ends when the node has been whole for a while."""

    def __init__(self, names: Sequence[str], now: int) -> None:
        self.names, self.started, self.next_at = tuple(names), now, now + SECOND
        self.lines_written, self.lines_left = 0, LINES_AFTER_WHOLE
        self.previous = [(0, 0, 0)] * len(self.names)

    def next_line(
        self, now: int, wall: int, phase: Phase, counts: Sequence[tuple[int, int, int]]
    ) -> str | None:
        """Gives the line to log, if one is due. `counts` are totals by class, `wall` is in ns."""
        if now < self.next_at:
            return None
        self.next_at = max(self.next_at + SECOND, now)  # after a pause, one line, not one per missed second
        self.lines_left = self.lines_left - 1 if phase is Phase.WHOLE else LINES_AFTER_WHOLE
        old_counts, self.previous = self.previous, list(counts)
        if self.lines_left < 0 or self.lines_written >= MAX_LINES:
            return None
        self.lines_written += 1
        rows = {
            name: (new[0] - old[0], new[1] - old[1], new[2] - old[2])
            for name, new, old in zip(self.names, self.previous, old_counts, strict=True)
        }
        line = ProgressLine(wall // 1_000_000, (now - self.started) // 1_000_000, phase, rows)
        return LINE_PREFIX + msgspec.json.encode(line).decode()

    def restart(self) -> None:
        """Starts over, as another recovery begins within the same process."""
        self.lines_written, self.lines_left = 0, LINES_AFTER_WHOLE


def parse_log(lines: Iterable[str]) -> Mapping[str, list[ProgressLine]]:
    """Gives the progress lines of each node, in the order of the log. Skips other lines and those that a
    crash has cut off.
    """
    found: dict[str, list[ProgressLine]] = {}
    for text in lines:
        name, prefix, encoded = text.partition(": " + LINE_PREFIX)
        if not prefix:
            continue
        try:
            line = msgspec.json.decode(encoded, type=ProgressLine)
        except (msgspec.DecodeError, UnicodeDecodeError):
            continue
        if len(line.classes) <= MAX_CLASSES:
            found.setdefault(name.split()[-1] if name.split() else name, []).append(line)
    return found
