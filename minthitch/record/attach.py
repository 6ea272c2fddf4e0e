"""Attaches a configured store of record to an engine, and detaches it on close."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

from minthitch.config import ConfigError, RecordConfig
from minthitch.engine import Engine
from minthitch.interface import MILLISECOND
from minthitch.record.backends import open_store, redacted
from minthitch.record.keeper import RecordKeeper
from minthitch.record.lifecycle import Lifecycle, RecordingMode, RecordSettings
from minthitch.record.page import RecordPage
from minthitch.record.store import Store, StoreError
from minthitch.record.writer import Results, Writer

CLOSE_TIMEOUT_S = 3.0  # seconds for the pending writes at shutdown


class Recording:
    """The store of record of one engine, on the running event loop."""

    def __init__(self, engine: Engine, config: RecordConfig, node: str, log: Callable[[str], None]) -> None:
        """Opens the store and starts a new epoch, which fences older ones of the node. Raises ConfigError."""
        self.config, self.log = config, log
        self.loop = asyncio.get_running_loop()
        self.keeper: RecordKeeper | None = None
        self.page: RecordPage | None = None
        self.writer = Writer(
            lambda: open_store(config.store), self._deliver, self._on_store_available, log, self._maintain
        )
        try:
            epoch = self.writer.start(node, config.lease // MILLISECOND)
        except StoreError as err:
            raise ConfigError(f"record.store = {redacted(config.store)!r}: {err}") from None
        settings = RecordSettings(
            node,
            epoch,
            config.lease,
            config.intent_within,
            config.answer_within,
            keep_answer=config.keep_answer,
        )
        modes = {
            number: RecordingMode.REQUIRED if spec.name in config.required else RecordingMode.BEST_EFFORT
            for number, spec in enumerate(engine.settings.classes)
            if spec.name in config.required | config.best_effort
        }
        lifecycle = Lifecycle(settings, engine.clock.now() + config.lease)
        self.keeper = engine.recorder = RecordKeeper(
            engine, lifecycle, self.writer, modes, config.identity.encode()
        )

    def _deliver(self, results: Results) -> None:
        self._on_loop(lambda keeper: keeper.on_results(results))

    def _on_store_available(self) -> None:
        self._on_loop(lambda keeper: keeper.on_store_available())

    def _on_loop(self, call: Callable[[RecordKeeper], None]) -> None:
        """Calls the keeper on the event loop; drops the call if the loop is already closed."""
        if not self.loop.is_closed():
            self.loop.call_soon_threadsafe(self._call_keeper, call)

    def _call_keeper(self, call: Callable[[RecordKeeper], None]) -> None:
        if self.keeper is not None:
            call(self.keeper)

    def _maintain(self, store: Store) -> None:
        in_doubt = store.fence_expired()
        if in_doubt:
            self.log(f"{len(in_doubt)} open calls of nodes whose lease expired are now in doubt")
        store.prune((time.time_ns() - self.config.keep_for) // MILLISECOND, self.config.keep_most)

    def pages(self) -> dict[str, RecordPage]:
        """The pages for the operators' listener, by name."""
        if self.page is None:
            self.page = RecordPage(self.config.store)
        return {"record": self.page}

    async def close(self) -> None:
        """Writes the pending writes and closes the store."""
        if self.page is not None:
            self.page.close()
        if self.keeper is not None:
            self.keeper.close()
        await asyncio.to_thread(self.writer.close, CLOSE_TIMEOUT_S)
