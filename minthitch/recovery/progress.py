"""One line a second of a node's recovery, for its log, and such lines read back. Pure."""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence

import msgspec

from minthitch.interface import SECOND
from minthitch.recovery.phases import Phase

LINE_PREFIX = "recovery: second "  # what such a line begins with, behind the node's name
MAX_LINES = 120  # lines of one recovery: a fleet that stays short for hours must not fill its logs
LINES_AFTER_WHOLE = 5  # lines once it is whole, which show that it stays so
MAX_CLASSES = 64  # of a line that is read


class ProgressLine(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A second: when it ended (Unix ms), since the start (ms), the phase then; by class what was served,
    refused and failed in it.
    """

    at: int
    up: int
    phase: str
    classes: dict[str, tuple[int, int, int]]


class ProgressLog:
    """Tells of each second while a node recovers; silent once it has been whole for a while."""

    def __init__(self, names: Sequence[str], now: int) -> None:
        self.names, self.started, self.next_at = tuple(names), now, now + SECOND
        self.lines_written, self.lines_left = 0, LINES_AFTER_WHOLE
        self.previous = [(0, 0, 0)] * len(self.names)

    def next_line(
        self, now: int, wall: int, phase: Phase, counts: Sequence[tuple[int, int, int]]
    ) -> str | None:
        """`counts` by class since the process began; `wall` in ns. Gives the text to log, if one is due."""
        if now < self.next_at:
            return None
        self.next_at = max(
            self.next_at + SECOND, now
        )  # danger: after a stop, one line and not one for each second
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
        """A new recovery of the same process has begun."""
        self.lines_written, self.lines_left = 0, LINES_AFTER_WHOLE


def parse_log(lines: Iterable[str]) -> Mapping[str, list[ProgressLine]]:
    """Of each node, the seconds that its log tells, as they came. Other lines are passed over, as are those
    that a crash has cut.
    """
    found: dict[str, list[ProgressLine]] = {}
    for text in lines:
        name, mark, rest = text.partition(": " + LINE_PREFIX)
        if not mark:
            continue
        try:
            line = msgspec.json.decode(rest, type=ProgressLine)
        except (msgspec.DecodeError, UnicodeDecodeError):
            continue
        if len(line.classes) <= MAX_CLASSES:
            found.setdefault(name.split()[-1] if name.split() else name, []).append(line)
    return found
