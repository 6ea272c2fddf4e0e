"""What clients and servers saw, on one clock: the machine's monotonic one. No I/O but the books' files.

A call is `asked` once and `heard` once: served, refused, failed, lost (the connection ended without an
answer) or silent (nothing came in time). A want that was refused may come back as a further call. A server
`took` a call, `did` it, or was `pushed over`.
"""

from __future__ import annotations

import json
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path


@dataclass(frozen=True, slots=True)
class Event:
    at: float  # seconds
    who: str
    what: str
    call: str = ""
    cls: str = ""
    word: str = ""  # of `heard`; of `away` and `back`, why


def want_of(call: str) -> str:
    """The want of a call, which may be the second or third of it."""
    return call.partition(".")[0]


def came_back(history: Iterable[Event]) -> float:
    """When the last node that was killed was ready again. Raises ValueError where none was."""
    return max(e.at for e in history if e.what == "back" and e.word == "killed")


def read_books(folder: Path) -> list[Event]:
    """All servers' parts. A last line that a kill cut off is no event."""
    found = []
    for path in sorted(folder.glob("*.book")):
        for line in path.read_bytes().split(b"\n")[:-1]:
            found.append(Event(**json.loads(line)))
    return found


def whole(*parts: Iterable[Event]) -> list[Event]:
    return sorted((event for part in parts for event in part), key=lambda event: event.at)
