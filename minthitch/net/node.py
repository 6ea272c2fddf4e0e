"""The HTTP/1.1 node: one engine between callers, the pool and a source of lists, and the program's life."""

from __future__ import annotations

import asyncio
import sys

from minthitch import interface as api
from minthitch.config import Config
from minthitch.engine.calls import Message, Rejected
from minthitch.engine.clock import LoopClock
from minthitch.engine.core import Engine
from minthitch.engine.fields import Reader
from minthitch.engine.ports import StaticSource
from minthitch.log import LineLog
from minthitch.net.callers import Caller, Callers, Incoming
from minthitch.net.discovery import Discovery
from minthitch.net.servers import Pool

RESERVE = 48  # descriptors for the listener, the watch, files and callers to be turned away
ACCEPT_ON = 0.6  # seconds after SIGTERM in which new connections may still come (0.4 stated)
LAST_ANSWER = 3.4  # seconds after SIGTERM by which all is answered: SIGKILL comes after 3.7 or more
BACKLOG = 512


class Node:
    """Listens for HTTP/1.1 callers at `config.listen`. Lives on the running loop."""

    def __init__(self, config: Config) -> None:
        self.config, self.settings = config, config.settings
        self.loop = asyncio.get_running_loop()
        self.log = LineLog(lambda text: print(f"{config.name}: {text}", file=sys.stderr, flush=True))
        self.engine = Engine(config.settings, config.seed, LoopClock(self.loop), self.log,
                             self._check_finished)
        self.reader = Reader(config.settings)
        half = max((config.sockets - RESERVE) // 2, 1)
        self.pool = self.engine.carrier = Pool(config.settings, half)
        self.callers = Callers(self, half, half + RESERVE // 2)
        self.discovery: Discovery | None = None
        if config.discovery:
            self.discovery = Discovery(config.discovery, self.engine, config.seed ^ 1)
        self.engine.source = self.discovery or StaticSource(config.known, self.engine.listed)
        self.listening, self.draining = False, False
        self.listener: asyncio.Server | None = None
        self.finished = asyncio.Event()

    # Start and end ------------------------------------------------------------------------------

    async def start(self) -> None:
        """Takes the known list, watches discovery and listens. Raises OSError."""
        self.engine.listed(self.config.known, api.ListKind.CACHED)
        if self.discovery is not None:
            self.discovery.start()
        host, port = self.config.listen
        self.listener = await self.loop.create_server(
            lambda: Caller(self.callers), host, port, backlog=BACKLOG)
        self.listening = True

    def reload(self, config: Config) -> None:
        """Takes the new discovery, or the new static list; all else belongs to the process."""
        if self.discovery is None or not config.discovery:
            self._relist(config)
            return
        self.log(f"configuration read again: discovery is {config.discovery}")
        self.discovery.move(config.discovery)

    def _relist(self, config: Config) -> None:
        if self.discovery is not None or config.discovery:
            self.log("configuration read again: a change between discovery and a static list needs a restart")
            return
        self.engine.source = StaticSource(config.known, self.engine.listed)
        self.engine.listed(config.known, api.ListKind.FULL)
        self.log(f"configuration read again: {len(config.known.hosts)} servers")

    @property
    def port(self) -> int:
        assert self.listener is not None
        return int(self.listener.sockets[0].getsockname()[1])

    def drain(self) -> None:
        """SIGTERM: what has come, and still comes for a while, is answered; then the node ends."""
        if not self.draining:
            self.draining = True
            self.engine.drain(int(LAST_ANSWER * api.SECOND))
            self.loop.call_later(ACCEPT_ON, self._stop_accepting)

    def _stop_accepting(self) -> None:
        self.listening = False
        if self.listener is not None:
            self.listener.close()
        self.callers.stop_idle()
        self._check_finished()

    def _check_finished(self) -> None:
        if self.draining and not self.listening and not self.callers.all and not self.engine.open:
            self.finished.set()

    async def stop(self) -> None:
        if self.listener is not None:
            self.listener.close()
        self.callers.close()
        if self.discovery is not None:
            await self.discovery.close()
        self.pool.close()

    # What callers' connections need -------------------------------------------------------------

    def ready(self) -> bool:
        return self.listening and self.engine.have_list and not self.draining

    def check(self, item: Incoming) -> None:
        """Turns away what no server could use, by its head."""
        self.reader.check(item.method, item.fields)

    def take(self, caller: Caller, item: Incoming) -> None:
        message = Message(item.method, item.target, item.head, item.body)
        item.call = self.reader.call(message, item.fields, item.heard)
        try:
            request = self.engine.admit(caller, item.call, full=caller.surplus)
        except Rejected:
            item.call = None  # danger: an answer to the open request of that id is not this one's
            raise
        if not request.over:
            caller.request = request

    def left(self, caller: Caller) -> None:
        if caller.request is not None:
            self.engine.leave(caller.request)
            caller.request = None
        self._check_finished()
