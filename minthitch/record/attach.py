"""Puts a store of record to an engine, as the configuration says, and takes it off again."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

from minthitch.config import ConfigError, RecordConfig
from minthitch.engine import Engine
from minthitch.interface import MILLISECOND
from minthitch.record.choose import open_store, shown
from minthitch.record.keeper import RecordKeeper
from minthitch.record.life import Life, Need, Terms
from minthitch.record.page import RecordPage
from minthitch.record.store import Store, StoreError
from minthitch.record.writer import Results, Writer

CLOSE_WITHIN = 3.0  # seconds in which what waits is written at the end


class Recording:
    """A store of record at work for one engine, on the running loop."""

    def __init__(self, engine: Engine, config: RecordConfig, node: str, log: Callable[[str], None]) -> None:
        """Opens the store and takes a new epoch; older ones of the node are fenced. Raises ConfigError."""
        self.config, self.log = config, log
        self.loop = asyncio.get_running_loop()
        self.keeper: RecordKeeper | None = None
        self.page: RecordPage | None = None
        self.writer = Writer(lambda: open_store(config.store), self._deliver, self._back, log, self._chore)
        try:
            epoch = self.writer.start(node, config.lease // MILLISECOND)
        except StoreError as err:
            raise ConfigError(f"record.store = {shown(config.store)!r}: {err}") from None
        terms = Terms(
            node,
            epoch,
            config.lease,
            config.intent_within,
            config.answer_within,
            keep_answer=config.keep_answer,
        )
        needs = {
            number: Need.REQUIRED if spec.name in config.required else Need.BEST_EFFORT
            for number, spec in enumerate(engine.settings.classes)
            if spec.name in config.required | config.best_effort
        }
        life = Life(terms, engine.clock.now() + config.lease)
        self.keeper = engine.recorder = RecordKeeper(
            engine, life, self.writer, needs, config.identity.encode()
        )

    def _deliver(self, results: Results) -> None:
        self._on_loop(lambda keeper: keeper.came(results))

    def _back(self) -> None:
        self._on_loop(lambda keeper: keeper.back())

    def _on_loop(self, call: Callable[[RecordKeeper], None]) -> None:
        """Danger: the loop may have ended meanwhile; nobody is left to hear it."""
        if not self.loop.is_closed():
            self.loop.call_soon_threadsafe(self._call, call)

    def _call(self, call: Callable[[RecordKeeper], None]) -> None:
        if self.keeper is not None:
            call(self.keeper)

    def _chore(self, store: Store) -> None:
        taken = store.take_over()
        if taken:
            self.log(f"{len(taken)} open sales of nodes that fell silent are in doubt now")
        store.prune((time.time_ns() - self.config.keep_for) // MILLISECOND, self.config.keep_most)

    def pages(self) -> dict[str, RecordPage]:
        """What operators may ask, by the page's name."""
        if self.page is None:
            self.page = RecordPage(self.config.store)
        return {"record": self.page}

    async def close(self) -> None:
        """Writes what waits and ends."""
        if self.page is not None:
            self.page.close()
        if self.keeper is not None:
            self.keeper.close()
        await asyncio.to_thread(self.writer.close, CLOSE_WITHIN)
