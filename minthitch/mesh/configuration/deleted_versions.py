"""The versions at which names were deleted, in 20 bytes a name. No I/O and no clock.

A name without a row may be new, and then any version of it is accepted; or it was deleted, and then an older
change that arrives again must not bring it back. Versions of different names are independent, so no single
number can tell the two apart: the deleted names are kept, without limit in number or age.
"""

from __future__ import annotations

import struct
from hashlib import blake2b

from minthitch.mesh.configuration.validation import Key

HASH_BYTES = 16  # two names with one hash are not to be expected
MAX_RECENT = 4_096  # records added singly before they are merged into the sorted ones
_RECORD = struct.Struct(f">{HASH_BYTES}sI")  # the hash of section and name, and the version


class DeletedVersions:
    """The greatest version at which each name was deleted.

    Args:
        packed: what `pack` returned.
    """

    def __init__(self, packed: bytes = b"") -> None:
        self._sorted = packed
        self._recent: dict[bytes, int] = {}

    def __len__(self) -> int:
        """How many names are kept; one that is both recent and sorted counts twice."""
        return len(self._sorted) // _RECORD.size + len(self._recent)

    def find(self, key: Key) -> int | None:
        """The greatest version at which this name was deleted."""
        wanted = _hash_of(key)
        recent = self._recent.get(wanted)
        return recent if recent is not None else self._find_sorted(wanted)

    def add(self, key: Key, version: int) -> None:
        """Keep a deletion. A lower version than the one that is kept changes nothing."""
        known = self.find(key)
        if known is not None and known >= version:
            return
        self._recent[_hash_of(key)] = version
        if len(self._recent) >= MAX_RECENT:
            self._merge()

    def pack(self) -> bytes:
        """All records, ordered by hash: a function of the deletions alone."""
        if self._recent:
            self._merge()
        return self._sorted

    def _merge(self) -> None:
        size = _RECORD.size
        records = [self._sorted[start : start + size] for start in range(0, len(self._sorted), size)]
        records += sorted(_RECORD.pack(*record) for record in self._recent.items())
        records.sort()
        # Of two records of one name the greater version comes last, and prevails.
        newest = {record[:HASH_BYTES]: record for record in records}
        self._sorted = b"".join(newest.values())
        self._recent.clear()

    def _find_sorted(self, wanted: bytes) -> int | None:
        low, high = 0, len(self._sorted) // _RECORD.size
        while low < high:
            middle = (low + high) // 2
            found, version = _RECORD.unpack_from(self._sorted, middle * _RECORD.size)
            if found == wanted:
                return int(version)
            if found < wanted:
                low = middle + 1
            else:
                high = middle
        return None


def _hash_of(key: Key) -> bytes:
    section, name = key
    return blake2b(f"{section}\0{name}".encode(), digest_size=HASH_BYTES).digest()
