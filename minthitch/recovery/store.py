"""Snapshots on disk: two generations, each whole or not there. Written on a thread, never on the loop.

A snapshot is written temporary the older of the two, fsynced, renamed over it, and the folder is fsynced: a
crash at any byte leaves the younger one as it was.
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
    """What one of the two places held."""

    path: Path
    snapshot: Snapshot | None = None
    fault: Fault | None = None  # None where there is no file, or a good one
    why: str = ""


def newest(found: list[SlotContent]) -> SlotContent | None:
    """The good one of the highest generation."""
    good = [each for each in found if each.snapshot is not None]
    return max(good, key=lambda each: each.snapshot.generation if each.snapshot else 0, default=None)


class Store:
    """The snapshots of one node in a folder."""

    def __init__(self, folder: str | os.PathLike[str], node: str) -> None:
        safe = "".join(c if c.isalnum() or c in "-_" else "_" for c in node)
        self.folder = Path(folder)
        self.paths = [self.folder / f"{safe}.{slot}.snapshot" for slot in SLOTS]
        self.newest_slot = 0  # the slot that holds the youngest

    def read(self) -> list[SlotContent]:
        """Both places. Never raises: what can't be read is a fault with its reason."""
        found = [self._read(path) for path in self.paths]
        best = newest(found)
        self.newest_slot = found.index(best) if best is not None else 1
        return found

    @staticmethod
    def _read(path: Path) -> SlotContent:
        try:
            with open(path, "rb") as file:
                data = file.read(MAX_BODY_BYTES + 64)  # danger: a file without end would fill the memory
        except FileNotFoundError:
            return SlotContent(path)
        except OSError as err:
            return SlotContent(path, fault=Fault.ODD, why=f"can't be read: {err}")
        try:
            return SlotContent(path, decode(data))
        except FrameError as err:
            return SlotContent(path, fault=err.fault, why=str(err))

    def write(self, snapshot: Snapshot) -> None:
        """Raises OSError or ValueError; what was there before is there still."""
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
        """Removes both. Gives how many there were. Raises OSError."""
        removed = 0
        for path in self.paths:
            with suppress(FileNotFoundError):
                path.unlink()
                removed += 1
        return removed
