"""The interface of a store of record, independent of the database."""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from typing import Protocol

from minthitch.record.model import Record, Resolution, Result, Write


class StoreError(Exception):
    """The store is unusable or rejected the operation: nothing was written. The text is one line."""


class CommitUnknown(StoreError):
    """The outcome of the commit is unknown; `Store.is_committed` tells it after a reconnect.

    `results` are those of the writes, if the batch was committed.
    """

    def __init__(self, text: str, results: list[Result]) -> None:
        super().__init__(text)
        self.results = results


class Store(Protocol):
    """One connection, used by one thread. Every method may raise StoreError."""

    def open(self) -> None:
        """Connects and migrates the schema. A schema newer than the program is an error."""

    def start_epoch(self, node: str, lease_ms: int) -> int:
        """Starts a new epoch of the node, with a lease of `lease_ms`.

        The same transaction fences the older epochs of the node and puts their open intents in doubt.
        """

    def fence_expired(self) -> list[Record]:
        """Fences every epoch whose lease expired by the store's clock; returns the records put in doubt."""

    def apply(self, token: str, writes: Sequence[Write]) -> list[Result]:
        """Applies all writes in order in one durable transaction. May raise CommitUnknown.

        `token` identifies the batch for `is_committed`.
        """

    def is_committed(self, token: str) -> bool:
        """Whether the batch with this token was committed."""

    def get(self, identity: str) -> Record | None: ...

    def doubtful(self) -> list[Record]:
        """Records in doubt or failed that are not resolved yet, oldest first."""

    def resolve(self, identity: str, word: Resolution, why: str) -> Record:
        """Resolves a call in doubt or failed. Raises StoreError for any other call."""

    def export(self) -> Iterator[Record]: ...

    def conflicts(self, identity: str) -> list[str]:
        """Outcomes that came after the recorded one or from a fenced epoch, one line each."""

    def prune(self, before: int, max_records: int) -> int:
        """Deletes records that ended before `before` (Unix ms), then the oldest above `max_records`.

        Open intents and unresolved records stay. Returns how many were deleted.
        """

    def close(self) -> None: ...
