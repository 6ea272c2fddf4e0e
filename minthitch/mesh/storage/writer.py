"""Writes to the store in a separate thread: a sync takes milliseconds, but may hang for seconds."""

from __future__ import annotations

import threading
import time
from collections import deque
from collections.abc import Callable

from minthitch.mesh.raft.actions import Persist
from minthitch.mesh.raft.log import Snapshot
from minthitch.mesh.storage.errors import StoreCorruptedError, StoreUnavailableError
from minthitch.mesh.storage.store import Store

RETRY_DELAY_S = 0.2  # between attempts at a write that the disk refuses


class StorageWriter(threading.Thread):
    """Executes writes in the order of submission.

    `on_durable(write_id)` and `on_failure(reason, corrupted)` are called in this thread, so they must forward
    to the event loop with `loop.call_soon_threadsafe`. If `corrupted` is true, no more writes are executed,
    and the process must exit and restart as a node that lost its disk.
    """

    def __init__(
        self,
        store: Store,
        on_durable: Callable[[int], None],
        on_failure: Callable[[str, bool], None],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        super().__init__(name="storage-writer", daemon=True)
        self.store = store
        # Written before a refused write is retried, to free space by dropping log entries. Its index must not
        # exceed the committed log that this disk already has.
        self.emergency_snapshot: Snapshot | None = None
        self._on_durable = on_durable
        self._on_failure = on_failure
        self._clock = clock
        self._queue: deque[Persist] = deque()
        self._changed = threading.Condition()
        self._stopping = False
        self._pending_since: float | None = None

    @property
    def pending_since(self) -> float | None:
        """When the current write started, in seconds of the monotonic clock; None if the queue is empty."""
        return self._pending_since

    def submit(self, persist: Persist) -> None:
        """Queue a write."""
        with self._changed:
            if self._pending_since is None:
                self._pending_since = self._clock()
            self._queue.append(persist)
            self._changed.notify()

    def stop(self) -> None:
        """Finish the queued writes, then stop the thread; a refused write is abandoned."""
        with self._changed:
            self._stopping = True
            self._changed.notify()

    def run(self) -> None:
        """Execute queued writes until stopped."""
        while True:
            with self._changed:
                while not self._queue and not self._stopping:
                    self._changed.wait()
                if not self._queue:
                    return
                persist = self._queue[0]
            if not self._write(persist):
                return
            with self._changed:
                self._queue.popleft()
                self._pending_since = self._clock() if self._queue else None
            self._on_durable(persist.write_id)

    def _write(self, persist: Persist) -> bool:
        """Write until durable; False if it never will be."""
        while True:
            try:
                self.store.write(persist)
            except StoreUnavailableError as error:
                self._on_failure(str(error), False)
            except StoreCorruptedError as error:
                self._on_failure(str(error), True)
                return False
            else:
                return True
            with self._changed:
                if self._stopping or self._changed.wait_for(lambda: self._stopping, RETRY_DELAY_S):
                    return False
            if not self._reopen() or not self._make_space():
                return False

    def _make_space(self) -> bool:
        """Write the emergency snapshot, if there is one; False if the file is corrupted."""
        snapshot, self.emergency_snapshot = self.emergency_snapshot, None
        header = self.store.header
        if snapshot is None or not header.snapshot_index < snapshot.index <= header.last_index:
            return True
        try:
            self.store.write_snapshot_in_reserve(snapshot)
        except StoreUnavailableError as error:
            self._on_failure(str(error), False)
            return self._reopen()
        except StoreCorruptedError as error:
            self._on_failure(str(error), True)
            return False
        return True

    def _reopen(self) -> bool:
        """Reopen the file, as LMDB accepts no writes after some failures; False if it is corrupted."""
        try:
            self.store.reopen()
        except StoreCorruptedError as error:
            self._on_failure(str(error), True)
            return False
        except (OSError, StoreUnavailableError):
            return True  # the disk still refuses: the next write reports it
        return True
