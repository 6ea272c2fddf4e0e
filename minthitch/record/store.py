"""What a store of record offers, whichever database is behind it."""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from typing import Protocol

from minthitch.record.model import Record, Resolution, Result, Write


class StoreError(Exception):
    """The store can't be used, or could not do it; the text is one plain line. Nothing was written."""


class CommitUnknown(StoreError):
    """The commit's answer never came: `Store.is_committed` tells whether the batch is there.

    `results` are those of its writes, if it is.
    """

    def __init__(self, text: str, results: list[Result]) -> None:
        super().__init__(text)
        self.results = results


class Store(Protocol):
    """One connection, used by one thread. Every method raises StoreError."""

    def open(self) -> None:
        """Connects, and brings the schema up to date. A schema newer than the program is an error."""

    def start_epoch(self, node: str, lease: int) -> int:
        """A new epoch of the node, with a lease of so many ms.

        In the same transaction the node's older epochs are fenced, and their open intents put in doubt.
        """

    def fence_expired(self) -> list[Record]:
        """Fences every epoch whose lease has run out by the store's clock; gives what is in doubt by it."""

    def apply(self, token: str, writes: Sequence[Write]) -> list[Result]:
        """All writes in order in one transaction, durable when it returns. Raises CommitUnknown too."""

    def is_committed(self, token: str) -> bool:
        """Whether a batch whose commit's answer never came is there."""

    def get(self, identity: str) -> Record | None: ...

    def doubtful(self) -> list[Record]:
        """What may have run and has no word yet, the oldest first."""

    def resolve(self, identity: str, word: Resolution, why: str) -> Record:
        """Notes what is known now of a call in doubt or failed. StoreError for any other."""

    def export(self) -> Iterator[Record]: ...

    def conflicts(self, identity: str) -> list[str]:
        """Outcomes that came second, as lines."""

    def prune(self, before: int, most: int) -> int:
        """Deletes settled records that ended before (Unix ms), then the oldest beyond `most`."""

    def close(self) -> None: ...
