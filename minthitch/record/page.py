"""`GET /record/ID`: the record of a call, for the operators' listener."""

from __future__ import annotations

import asyncio
from concurrent.futures import ThreadPoolExecutor

from minthitch.record.backends import open_store
from minthitch.record.serialization import as_json
from minthitch.record.store import Store, StoreError


class RecordPage:
    """Reads with its own connection in its own thread, so that the writer never waits for a page."""

    def __init__(self, location: str) -> None:
        self.location = location
        self.thread = ThreadPoolExecutor(1, "minthitch-record-page")
        self.store: Store | None = None

    async def __call__(self, identity: str) -> tuple[int, object]:
        """Status and JSON: 404 if there is no record, 503 while the store is unavailable."""
        if not identity:
            return 400, {"error": "ask for /record/ID"}
        return await asyncio.get_running_loop().run_in_executor(self.thread, self._read, identity)

    def _read(self, identity: str) -> tuple[int, object]:
        try:
            store = self._connected()
            record = store.get(identity)
            if record is None:
                return 404, {"error": f"no record of {identity!r}"}
            return 200, as_json(record, store.conflicts(identity))
        except StoreError as err:
            self._disconnect()  # the next request reconnects
            return 503, {"error": str(err)}

    def _connected(self) -> Store:
        if self.store is None:
            store = open_store(self.location)
            store.open()
            self.store = store
        return self.store

    def _disconnect(self) -> None:
        store, self.store = self.store, None
        if store is not None:
            store.close()

    def close(self) -> None:
        """Does not wait: a read that hangs is ended by the backend's own timeout."""
        self.thread.submit(self._disconnect)
        self.thread.shutdown(wait=False)
