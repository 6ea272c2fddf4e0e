"""A store of record with faults by a script, round a real one."""

from __future__ import annotations

import threading
from collections import deque
from collections.abc import Sequence
from typing import Any

from minthitch.record.model import Result, Write
from minthitch.record.store import CommitUnknown, Store, StoreError


class Faults:
    """What the next operations do; shared by every connection to one store."""

    def __init__(self) -> None:
        self.script: deque[str] = deque()  # of each apply: "" (good), fails, lost-before, lost-after, stalls
        self.away = False  # nothing can be opened, read or written
        self.go = threading.Event()  # lets a stalled apply go on
        self.stalled = threading.Event()
        self.opened = 0


class FaultyStore:
    """Passes all on to the store inside, but for the faults."""

    def __init__(self, inner: Store, faults: Faults) -> None:
        self.inner, self.faults = inner, faults

    def __getattr__(self, name: str) -> Any:
        return getattr(self.inner, name)

    def _reach(self) -> None:
        if self.faults.away:
            raise StoreError("connection refused")

    def open(self) -> None:
        self._reach()
        self.inner.open()
        self.faults.opened += 1

    def is_committed(self, token: str) -> bool:
        self._reach()
        return self.inner.is_committed(token)

    def apply(self, token: str, writes: Sequence[Write]) -> list[Result]:
        fault = self.faults.script.popleft() if self.faults.script else ""
        self._reach()
        if fault == "fails":
            raise StoreError("no space left")
        if fault == "stalls":
            self.faults.stalled.set()
            self.faults.go.wait(20)
        if fault == "lost-before":
            raise CommitUnknown("reset by peer", [])
        results = self.inner.apply(token, writes)
        if fault == "lost-after":
            raise CommitUnknown("reset by peer", results)
        return results
