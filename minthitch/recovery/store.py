"""Stores the last two snapshots on disk, in two slots. `write` blocks: call it on a thread, not on the loop.

A snapshot is written to a temporary file, fsynced and renamed over the older of the two; then the folder is
fsynced. A crash at any byte leaves the newer one as it was.
"""

from __future__ import annotations

import os
from contextlib import suppress
from dataclasses import dataclass
from pathlib import Path

from minthitch.recovery.frame import MAX_BODY_BYTES, Fault, FrameError, decode, encode
from minthitch.recovery.model import Snapshot

SLOTS = ("a", "b")


@dataclass(frozen=True, slots=True)
class SlotContent:
    """What was read from one of the two slots."""

    path: Path
    snapshot: Snapshot | None = None
    fault: Fault | None = None  # None if the file is missing or valid
    why: str = ""


def newest(contents: list[SlotContent]) -> SlotContent | None:
    """The valid snapshot of the highest generation."""
    valid = [content for content in contents if content.snapshot is not None]
    return max(
        valid, key=lambda content: content.snapshot.generation if content.snapshot else 0, default=None
    )


class Store:
    """The two snapshot files of one node in a folder."""

    def __init__(self, folder: str | os.PathLike[str], node: str) -> None:
        safe = "".join(c if c.isalnum() or c in "-_" else "_" for c in node)
        self.folder = Path(folder)
        self.paths = [self.folder / f"{safe}.{slot}.snapshot" for slot in SLOTS]
        self.newest_slot = 0  # the slot of the newest snapshot; the other is written next

    def read(self) -> list[SlotContent]:
        """Reads both slots. Never raises: a file that cannot be read gives a fault and its reason."""
        contents = [self._read(path) for path in self.paths]
        best = newest(contents)
        self.newest_slot = contents.index(best) if best is not None else 1
        return contents

    @staticmethod
    def _read(path: Path) -> SlotContent:
        try:
            with open(path, "rb") as file:
                data = file.read(MAX_BODY_BYTES + 64)  # an endless file must not fill the memory
        except FileNotFoundError:
            return SlotContent(path)
        except OSError as err:
            return SlotContent(path, fault=Fault.ODD, why=f"cannot be read: {err}")
        try:
            return SlotContent(path, decode(data))
        except FrameError as err:
            return SlotContent(path, fault=err.fault, why=str(err))

    def write(self, snapshot: Snapshot) -> None:
        """Replaces the older snapshot. Raises OSError or ValueError; the newer one is then still intact."""
        data = encode(snapshot)
        slot = 1 - self.newest_slot
        path, temporary = self.paths[slot], self.paths[slot].with_suffix(".new")
        try:
            with open(temporary, "wb") as file:
                file.write(data)
                file.flush()
                os.fsync(file.fileno())
            os.replace(temporary, path)
        except OSError:
            with suppress(OSError):
                temporary.unlink()
            raise
        folder = os.open(self.folder, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)
        self.newest_slot = slot

    def forget(self) -> int:
        """Removes both files and gives the number removed. Raises OSError."""
        removed = 0
        for path in self.paths:
            with suppress(FileNotFoundError):
                path.unlink()
                removed += 1
        return removed
