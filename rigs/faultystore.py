"""Wraps a store of record and injects scripted faults."""

from __future__ import annotations

import threading
from collections import deque
from collections.abc import Sequence
from typing import Any

from minthitch.record.model import Result, Write
from minthitch.record.store import CommitUnknown, Store, StoreError


class Faults:
    """The faults of the next operations; shared by all connections to one store."""

    def __init__(self) -> None:
        # The fault of each coming apply: "" (none), fails, lost-before, lost-after, stalls.
        self.script: deque[str] = deque()
        self.unavailable = False  # open, apply and is_committed fail
        self.resume = threading.Event()  # lets a stalled apply continue
        self.stalled = threading.Event()
        self.open_count = 0


class FaultyStore:
    """Passes all calls on to `inner`, except for the faults."""

    def __init__(self, inner: Store, faults: Faults) -> None:
        self.inner, self.faults = inner, faults

    def __getattr__(self, name: str) -> Any:
        return getattr(self.inner, name)

    def _check_available(self) -> None:
        if self.faults.unavailable:
            raise StoreError("connection refused")

    def open(self) -> None:
        self._check_available()
        self.inner.open()
        self.faults.open_count += 1

    def is_committed(self, token: str) -> bool:
        self._check_available()
        return self.inner.is_committed(token)

    def apply(self, token: str, writes: Sequence[Write]) -> list[Result]:
        fault = self.faults.script.popleft() if self.faults.script else ""
        self._check_available()
        if fault == "fails":
            raise StoreError("no space left")
        if fault == "stalls":
            self.faults.stalled.set()
            self.faults.resume.wait(20)
        if fault == "lost-before":
            raise CommitUnknown("reset by peer", [])
        results = self.inner.apply(token, writes)
        if fault == "lost-after":
            raise CommitUnknown("reset by peer", results)
        return results
