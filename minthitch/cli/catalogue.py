"""The catalogue of the mesh's events, read from docs/events.md."""

from __future__ import annotations

from pathlib import Path
from typing import NamedTuple

FILE = Path(__file__).parents[2] / "docs" / "events.md"
CELLS = 5  # in a row


class Entry(NamedTuple):
    """One event; `says` is the text of the log line, with the names of its values in braces."""

    number: int
    level: str
    says: str
    when: str
    what_to_do: str

    def shown(self) -> str:
        """The entry as readable text."""
        return (
            f"E{self.number} {self.level}: {self.says}\n  when: {self.when}\n  what to do: {self.what_to_do}"
        )


def read(text: str) -> list[Entry]:
    """Parse the page; the entries are in its order.

    Raises:
        ValueError: a row can't be read.
    """
    entries = []
    for line in text.splitlines():
        if line.startswith("| E"):
            cells = [cell.strip() for cell in line.strip("| ").split(" | ")]
            if len(cells) != CELLS:
                raise ValueError(f"{len(cells)} cells in {line[:20]!r}")
            entries.append(Entry(int(cells[0][1:]), *cells[1:]))
    return entries
