"""One line a second of a node's recovery, for its log, and such lines read back. Pure."""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence

import msgspec

from minthitch.interface import SECOND
from minthitch.recovery.phases import Phase

MARK = "recovery: second "  # what such a line begins with, behind the node's name
MOST_TOLD = 120  # lines of one recovery: a fleet that stays short for hours must not fill its logs
BEHIND = 5  # lines once it is whole, which show that it stays so
MOST_CLASSES = 64  # of a line that is read


class Line(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A second: when it ended (Unix ms), since the start (ms), the phase then; by class what was served,
    refused and failed in it.
    """

    at: int
    up: int
    phase: str
    classes: dict[str, tuple[int, int, int]]


class Seconds:
    """Tells of each second while a node recovers; silent once it has been whole for a while."""

    def __init__(self, names: Sequence[str], now: int) -> None:
        self.names, self.started, self.next = tuple(names), now, now + SECOND
        self.told, self.left = 0, BEHIND
        self.before = [(0, 0, 0)] * len(self.names)

    def look(self, now: int, wall: int, phase: Phase, counts: Sequence[tuple[int, int, int]]) -> str | None:
        """`counts` by class since the process began; `wall` in ns. Gives the text to log, if one is due."""
        if now < self.next:
            return None
        self.next = max(self.next + SECOND, now)  # danger: after a stop, one line and not one for each second
        self.left = self.left - 1 if phase is Phase.WHOLE else BEHIND
        gone, self.before = self.before, list(counts)
        if self.left < 0 or self.told >= MOST_TOLD:
            return None
        self.told += 1
        rows = {
            name: (new[0] - old[0], new[1] - old[1], new[2] - old[2])
            for name, new, old in zip(self.names, self.before, gone, strict=True)
        }
        line = Line(wall // 1_000_000, (now - self.started) // 1_000_000, phase, rows)
        return MARK + msgspec.json.encode(line).decode()

    def again(self) -> None:
        """A new recovery of the same process has begun."""
        self.told, self.left = 0, BEHIND


def read(lines: Iterable[str]) -> Mapping[str, list[Line]]:
    """Of each node, the seconds that its log tells, as they came. Other lines are passed over, as are those
    that a crash has cut.
    """
    found: dict[str, list[Line]] = {}
    for text in lines:
        name, mark, rest = text.partition(": " + MARK)
        if not mark:
            continue
        try:
            line = msgspec.json.decode(rest, type=Line)
        except (msgspec.DecodeError, UnicodeDecodeError):
            continue
        if len(line.classes) <= MOST_CLASSES:
            found.setdefault(name.split()[-1] if name.split() else name, []).append(line)
    return found
