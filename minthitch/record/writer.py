"""Group commit: a thread of its own gives the store all that waits in one transaction, one sync for all.

While a commit is under way the next batch gathers behind it. A commit whose answer never came is read back,
never guessed. While the store is away, what comes is told so at once.
"""

from __future__ import annotations

import secrets
import threading
import time
from collections import deque
from collections.abc import Callable

from minthitch.record.model import Lost, Result, Write
from minthitch.record.store import CommitUnknown, Store, StoreError

MAX_BATCH = 256  # writes in one transaction
MOST_WAITING = 20_000  # writes that wait; more are told that the store is too slow
RETRY_LEAST, RETRY_MOST = 0.05, 2.0  # seconds between two tries to reach a store that is away
CHORE_EVERY = 5.0  # seconds
Results = list[tuple[int, Result]]


class Writer:
    """One store, one thread. `deliver` and `back` are called on that thread."""

    def __init__(
        self,
        make: Callable[[], Store],
        deliver: Callable[[Results], object],
        back: Callable[[], object],
        log: Callable[[str], None] = lambda text: None,
        chore: Callable[[Store], None] = lambda store: None,
    ) -> None:
        """`chore` is done on the writer's thread every CHORE_EVERY s, between batches."""
        self.make, self.deliver, self.back, self.log, self.chore = make, deliver, back, log, chore
        self.lock = threading.Condition()
        self.waiting: deque[tuple[int, Write]] = deque()
        self.stopping = False
        self.away = ""  # why the store can't be reached; "" = it can
        self.batches = self.writes = 0
        self.store: Store | None = None
        self.epoch = 0
        self.up = threading.Event()
        self.error: StoreError | None = None
        self.thread = threading.Thread(target=self._run, name="minthitch-record", daemon=True)

    # On any thread ------------------------------------------------------------------------------

    def start(self, node: str, lease: int) -> int:
        """Opens the store and takes a new epoch with a lease of so many ms. Raises StoreError."""
        self.node, self.lease = node, lease
        self.thread.start()
        self.up.wait()
        if self.error is not None:
            raise self.error
        return self.epoch

    def put(self, ticket: int, write: Write) -> None:
        """Its result comes by `deliver`, on the writer's thread."""
        with self.lock:
            full = "it is too slow" if len(self.waiting) >= MOST_WAITING else ""
            refused = "it is closed" if self.stopping else full
            if not refused:
                self.waiting.append((ticket, write))
                self.lock.notify()
        if refused:  # danger: a ticket that never comes back would hold its call for ever
            self.deliver([(ticket, Lost(refused))])

    def close(self, within: float = 5.0) -> None:
        """Writes what waits, if the store takes it, and ends. What can't be written is told as lost."""
        with self.lock:
            self.stopping = True
            self.lock.notify()
        if self.thread.is_alive():
            self.thread.join(within)

    # On the writer's thread ---------------------------------------------------------------------

    def _run(self) -> None:
        try:
            self.store = self.make()
            self.store.open()
            self.epoch = self.store.start_epoch(self.node, self.lease)
        except StoreError as err:
            self.error = err
            self._drop()
            return
        finally:
            self.up.set()
        due = time.monotonic()
        while (batch := self._next(due)) is not None:
            if batch:
                self._write(batch)
            if time.monotonic() >= due:
                self._do_chore()
                due = time.monotonic() + CHORE_EVERY
        self._drop()

    def _do_chore(self) -> None:
        assert self.store is not None
        try:
            self.chore(self.store)
        except StoreError as err:
            self._gone(str(err), [], None)

    def _next(self, due: float) -> list[tuple[int, Write]] | None:
        """What waits, at most MAX_BATCH; nothing when the chore is due; None at the end."""
        with self.lock:
            self.lock.wait_for(lambda: bool(self.waiting) or self.stopping, max(due - time.monotonic(), 0.0))
            if self.stopping and not self.waiting:
                return None
            return [self.waiting.popleft() for _ in range(min(len(self.waiting), MAX_BATCH))]

    def _write(self, batch: list[tuple[int, Write]]) -> None:
        assert self.store is not None
        token = secrets.token_hex(8)
        try:
            results = self.store.apply(token, [write for _, write in batch])
        except CommitUnknown as err:
            self._gone(str(err), batch, (token, err.results))
            return
        except StoreError as err:
            self._tell(batch, [Lost(str(err))] * len(batch))
            self._gone(str(err), [], None)
            return
        self.batches += 1
        self.writes += len(batch)
        self._tell(batch, results)

    def _tell(self, batch: list[tuple[int, Write]], results: list[Result]) -> None:
        self.deliver([(ticket, result) for (ticket, _), result in zip(batch, results, strict=True)])

    def _gone(
        self, why: str, unknown: list[tuple[int, Write]], token: tuple[str, list[Result]] | None
    ) -> None:
        """Until the store is back: what comes is told at once; what is unknown waits to be read back."""
        self.away = why
        self.log(f"the store of record is away: {why}")
        pause = RETRY_LEAST
        while not self._reach():
            self._refuse_waiting(pause)
            pause = min(2 * pause, RETRY_MOST)
            if self.stopping:  # nobody will read it back here: the next start finds it as it is
                self._tell(unknown, [Lost(f"unknown whether it was written: {why}")] * len(unknown))
                return
        if token is not None and unknown:
            self._read_back(unknown, *token)
        self.away = ""
        self.log("the store of record is back")
        self.back()

    def _read_back(self, unknown: list[tuple[int, Write]], token: str, results: list[Result]) -> None:
        assert self.store is not None
        try:
            landed = self.store.is_committed(token)
        except StoreError as err:
            self._gone(str(err), unknown, (token, results))
            return
        self._tell(unknown, results if landed else [Lost("its commit was not done")] * len(unknown))

    def _reach(self) -> bool:
        assert self.store is not None
        try:
            self.store.open()
        except StoreError as err:
            self.away = str(err)
            return False
        return True

    def _refuse_waiting(self, pause: float) -> None:
        """Danger: while the store is away, calls must be refused at once, not held."""
        with self.lock:
            self.lock.wait_for(lambda: bool(self.waiting) or self.stopping, pause)
            lost, self.waiting = self.waiting, deque()
        if lost:
            self.deliver([(ticket, Lost(self.away)) for ticket, _ in lost])

    def _drop(self) -> None:
        with self.lock:
            self.stopping = True
            lost, self.waiting = self.waiting, deque()
        if lost:
            self.deliver([(ticket, Lost("it is closed")) for ticket, _ in lost])
        if self.store is not None:
            self.store.close()
