"""Group commit: a dedicated thread writes all waiting writes in one transaction with one sync.

While a commit is running, the next batch gathers. If the outcome of a commit is unknown, the store is asked
whether the batch was committed. While the store is unavailable, new writes fail at once.
"""

from __future__ import annotations

import secrets
import threading
import time
from collections import deque
from collections.abc import Callable

from minthitch.record.model import NotWritten, Result, Write
from minthitch.record.store import CommitUnknown, Store, StoreError

MAX_BATCH = 256  # writes in one transaction
MAX_WAITING = 20_000  # waiting writes; further ones are rejected
MIN_RETRY_DELAY_S, MAX_RETRY_DELAY_S = 0.05, 2.0  # seconds between reconnects, doubling
MAINTENANCE_INTERVAL_S = 5.0
Results = list[tuple[int, Result]]


class Writer:
    """Writes to one store on one thread, which calls `deliver` and `on_available`."""

    def __init__(
        self,
        create_store: Callable[[], Store],
        deliver: Callable[[Results], object],
        on_available: Callable[[], object],
        log: Callable[[str], None] = lambda text: None,
        maintain: Callable[[Store], None] = lambda store: None,
    ) -> None:
        """`maintain` runs on the writer's thread between batches, every MAINTENANCE_INTERVAL_S."""
        self.create_store, self.deliver, self.on_available, self.log, self.maintain = (
            create_store,
            deliver,
            on_available,
            log,
            maintain,
        )
        self.lock = threading.Condition()
        self.waiting: deque[tuple[int, Write]] = deque()
        self.stopping = False
        self.unavailable_reason = ""  # why the store is unavailable; "" = it is available
        self.batches = self.writes = 0
        self.store: Store | None = None
        self.epoch = 0
        self.started = threading.Event()
        self.error: StoreError | None = None
        self.thread = threading.Thread(target=self._run, name="minthitch-record", daemon=True)

    # On any thread ------------------------------------------------------------------------------

    def start(self, node: str, lease_ms: int) -> int:
        """Opens the store and starts a new epoch with this lease. Raises StoreError."""
        self.node, self.lease_ms = node, lease_ms
        self.thread.start()
        self.started.wait()
        if self.error is not None:
            raise self.error
        return self.epoch

    def put(self, ticket: int, write: Write) -> None:
        """Queues the write. `deliver` gets its result, on the writer's thread unless it is rejected."""
        with self.lock:
            full = "too many writes are waiting" if len(self.waiting) >= MAX_WAITING else ""
            refused = "the writer is closed" if self.stopping else full
            if not refused:
                self.waiting.append((ticket, write))
                self.lock.notify()
        if refused:  # a ticket without a result would block its call forever
            self.deliver([(ticket, NotWritten(refused))])

    def close(self, within: float = 5.0) -> None:
        """Writes the waiting writes and stops. What can't be written gets the result NotWritten."""
        with self.lock:
            self.stopping = True
            self.lock.notify()
        if self.thread.is_alive():
            self.thread.join(within)

    # On the writer's thread ---------------------------------------------------------------------

    def _run(self) -> None:
        try:
            self.store = self.create_store()
            self.store.open()
            self.epoch = self.store.start_epoch(self.node, self.lease_ms)
        except StoreError as err:
            self.error = err
            self._close_store()
            return
        finally:
            self.started.set()
        due = time.monotonic()
        while (batch := self._next_batch(due)) is not None:
            if batch:
                self._write_batch(batch)
            if time.monotonic() >= due:
                self._run_maintenance()
                due = time.monotonic() + MAINTENANCE_INTERVAL_S
        self._close_store()

    def _run_maintenance(self) -> None:
        assert self.store is not None
        try:
            self.maintain(self.store)
        except StoreError as err:
            self._wait_for_store(str(err), [], None)

    def _next_batch(self, due: float) -> list[tuple[int, Write]] | None:
        """Up to MAX_BATCH waiting writes; an empty batch when maintenance is due; None after the last."""
        with self.lock:
            self.lock.wait_for(lambda: bool(self.waiting) or self.stopping, max(due - time.monotonic(), 0.0))
            if self.stopping and not self.waiting:
                return None
            return [self.waiting.popleft() for _ in range(min(len(self.waiting), MAX_BATCH))]

    def _write_batch(self, batch: list[tuple[int, Write]]) -> None:
        assert self.store is not None
        token = secrets.token_hex(8)
        try:
            results = self.store.apply(token, [write for _, write in batch])
        except CommitUnknown as err:
            self._wait_for_store(str(err), batch, (token, err.results))
            return
        except StoreError as err:
            self._deliver_results(batch, [NotWritten(str(err))] * len(batch))
            self._wait_for_store(str(err), [], None)
            return
        self.batches += 1
        self.writes += len(batch)
        self._deliver_results(batch, results)

    def _deliver_results(self, batch: list[tuple[int, Write]], results: list[Result]) -> None:
        self.deliver([(ticket, result) for (ticket, _), result in zip(batch, results, strict=True)])

    def _wait_for_store(
        self, why: str, unknown: list[tuple[int, Write]], token: tuple[str, list[Result]] | None
    ) -> None:
        """Reconnects until the store is available; meanwhile new writes fail at once.

        `unknown` is a batch whose commit has an unknown outcome, `token` its token and its results.
        """
        self.unavailable_reason = why
        self.log(f"the store of record is unavailable: {why}")
        delay = MIN_RETRY_DELAY_S
        while not self._reconnect():
            self._fail_waiting(delay)
            delay = min(2 * delay, MAX_RETRY_DELAY_S)
            if self.stopping:  # the next start reads the records as they are
                self._deliver_results(
                    unknown, [NotWritten(f"unknown whether it was written: {why}")] * len(unknown)
                )
                return
        if token is not None and unknown:
            self._read_back(unknown, *token)
        self.unavailable_reason = ""
        self.log("the store of record is available again")
        self.on_available()

    def _read_back(self, unknown: list[tuple[int, Write]], token: str, results: list[Result]) -> None:
        assert self.store is not None
        try:
            committed = self.store.is_committed(token)
        except StoreError as err:
            self._wait_for_store(str(err), unknown, (token, results))
            return
        self._deliver_results(
            unknown,
            results if committed else [NotWritten("the transaction was not committed")] * len(unknown),
        )

    def _reconnect(self) -> bool:
        assert self.store is not None
        try:
            self.store.open()
        except StoreError as err:
            self.unavailable_reason = str(err)
            return False
        return True

    def _fail_waiting(self, delay: float) -> None:
        """Waits for the delay. Fails the waiting writes at once, so that calls are refused, not delayed."""
        with self.lock:
            self.lock.wait_for(lambda: bool(self.waiting) or self.stopping, delay)
            failed, self.waiting = self.waiting, deque()
        if failed:
            self.deliver([(ticket, NotWritten(self.unavailable_reason)) for ticket, _ in failed])

    def _close_store(self) -> None:
        with self.lock:
            self.stopping = True
            failed, self.waiting = self.waiting, deque()
        if failed:
            self.deliver([(ticket, NotWritten("the writer is closed")) for ticket, _ in failed])
        if self.store is not None:
            self.store.close()
