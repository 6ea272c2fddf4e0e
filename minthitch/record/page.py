"""`GET /record/ID`: what the store of record knows of a sale, for the operators' listener."""

from __future__ import annotations

import asyncio
from concurrent.futures import ThreadPoolExecutor

from minthitch.record.backends import open_store
from minthitch.record.serialization import as_json
from minthitch.record.store import Store, StoreError


class RecordPage:
    """Reads by a connection of its own, in a thread of its own: the writer's sales never wait for it."""

    def __init__(self, where: str) -> None:
        self.where = where
        self.thread = ThreadPoolExecutor(1, "minthitch-record-page")
        self.store: Store | None = None

    async def __call__(self, identity: str) -> tuple[int, object]:
        """Status and JSON. 404 where nothing is known, 503 while the store is away."""
        if not identity:
            return 400, {"error": "ask for /record/ID"}
        return await asyncio.get_running_loop().run_in_executor(self.thread, self._look, identity)

    def _look(self, identity: str) -> tuple[int, object]:
        try:
            store = self._opened()
            record = store.get(identity)
            if record is None:
                return 404, {"error": f"no record of {identity!r}"}
            return 200, as_json(record, store.conflicts(identity))
        except StoreError as err:
            self._drop()  # the next one connects anew
            return 503, {"error": str(err)}

    def _opened(self) -> Store:
        if self.store is None:
            store = open_store(self.where)
            store.open()
            self.store = store
        return self.store

    def _drop(self) -> None:
        store, self.store = self.store, None
        if store is not None:
            store.close()

    def close(self) -> None:
        """Not waited for: a look at a store that hangs ends by the backend's own bound."""
        self.thread.submit(self._drop)
        self.thread.shutdown(wait=False)
