"""The HTTP/1.1 node: one engine between callers, the pool and a source of lists, and the program's life."""

from __future__ import annotations

import asyncio
import os
import socket
import sys
from collections.abc import Callable, Mapping

from minthitch import interface as api
from minthitch.config import Config
from minthitch.engine.calls import Message, Rejected
from minthitch.engine.clock import LoopClock
from minthitch.engine.core import Engine, retry_after_when_full
from minthitch.engine.counts import NodeMetrics
from minthitch.engine.fields import CallParser
from minthitch.engine.ports import Decider, StaticSource
from minthitch.log import LineLog
from minthitch.net.callers import Caller, Callers, Incoming
from minthitch.net.discovery import Discovery
from minthitch.net.door import LAST_ANSWER, Door, State
from minthitch.net.servers import Pool
from minthitch.net.succession import Succession
from minthitch.net.uploads import Room

RESERVE = 48  # descriptors for the listener, the watch, files, staff and callers to be turned away
LOOK = 0.1  # seconds between two looks at the door while the process ends
BACKLOG = 512
RESIDENT = 32 * 1024 * 1024  # bytes that the process holds without long bodies, with some to spare
SEND_BUFFER = 64 * 1024  # bytes that the system holds for each caller, before it doubles them
LEAST_ROOM = 2 * 1024 * 1024


def room_for_bodies(memory: int) -> Room[Caller]:
    """Room for long bodies of requests, within `memory` bytes for the whole process."""
    left = memory - RESIDENT
    return Room(max(left // 2, LEAST_ROOM), max(left, 2 * LEAST_ROOM))


class Node:
    """Listens for HTTP/1.1 callers at `config.listen`. Lives on the running loop."""

    def __init__(self, config: Config, decider: Decider | None = None) -> None:
        self.config, self.settings = config, config.settings
        self.loop = asyncio.get_running_loop()
        self.log = LineLog(lambda text: print(f"{config.name}: {text}", file=sys.stderr, flush=True))
        self.engine = Engine(
            config.settings, config.seed, LoopClock(self.loop), self.log, self._check_finished, decider
        )
        self.reader = CallParser(config.settings)
        self.door = Door()
        self.pool = self.engine.transport = Pool(config.settings, 1)
        self.callers = Callers(self, 1, 1, room_for_bodies(config.memory))
        self.succession: Succession | None = None
        self._share()
        self.discovery: Discovery | None = None
        if config.discovery:
            self.discovery = Discovery(config.discovery, self.engine, config.seed ^ 1)
        self.engine.source = self.discovery or StaticSource(config.known, self.engine.listed)
        self.listening = False
        self.servable: Callable[[], bool] = lambda: True  # what else has to hold before it is ready
        self.listener: asyncio.Server | None = None
        self.finished = asyncio.Event()

    # Start and end ------------------------------------------------------------------------------

    async def start(self) -> None:
        """Takes the known list, watches discovery and listens. Raises OSError."""
        self.engine.listed(self.config.known, api.ListKind.CACHED)
        if self.discovery is not None:
            self.discovery.start()
        host, port = self.config.listen
        if self.config.handover:
            self.succession = Succession(
                self.config.handover,
                f"{host}:{port}",
                self._share,
                self.log,
                self.engine.export_learned,
                self.engine.restore_learned,
            )
            await self.succession.start()
            self._share()
        # Two processes may listen at the address: one replaces the other while both serve.
        self.listener = await self.loop.create_server(
            lambda: Caller(self.callers), host, port, backlog=BACKLOG, reuse_port=True
        )
        # Danger: what the system holds for a caller that reads slowly hides for minutes that it does.
        self.listener.sockets[0].setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER)
        self.listening = True
        if self.succession is not None:
            self.succession.listening()

    def _share(self) -> None:
        """Danger: the limits count both processes together, so that each keeps to half of the descriptors."""
        two = self.succession is not None and (self.succession.predecessor or self.succession.successor)
        sockets = self.config.sockets // 2 if two else self.config.sockets
        half = max((sockets - RESERVE) // 2, 1)
        self.pool.most, self.callers.most, self.callers.hard = half, half, half + RESERVE // 2
        if self.succession is not None:
            self.door.succeeded = self.succession.successor

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

    def list_heard(self) -> int:
        """When the list was last known to be true, in the clock's ns; 0 for never. A static one always is."""
        now = self.engine.clock.now()
        if self.discovery is None:
            return now
        heard = self.discovery.heard
        return now - int((self.loop.time() - heard) * api.SECOND) if heard else 0

    def drain(self) -> None:
        """SIGTERM: what has come, and still comes for a while, is answered; then the node ends."""
        if self.door.state is not State.ENDING:
            if self.succession is not None:
                self.succession.hand_over()
            self.door.end(self.loop.time())
            self.engine.drain(int(LAST_ANSWER * api.SECOND))
            self._end_in_time()

    def _end_in_time(self) -> None:
        if self.finished.is_set():
            return
        if self.listening and not self.door.accepts(self.loop.time()):
            self.listening = False
            self.loop.create_task(self._stop_accepting())
        self._check_finished()
        self.loop.call_later(LOOK, self._end_in_time)

    async def _stop_accepting(self) -> None:
        """Danger: connections in the queue of a listener that closes are cut off; they are taken first."""
        if self.listener is None:
            return
        queue = socket.socket(fileno=os.dup(self.listener.sockets[0].fileno()))
        queue.setblocking(False)
        self.listener.close()
        waiting = []
        try:
            while True:
                waiting.append(queue.accept()[0])
        except OSError:
            queue.close()
        for connection in waiting:
            await self.loop.connect_accepted_socket(lambda: Caller(self.callers), connection)

    def _check_finished(self) -> None:
        ending = self.door.state is State.ENDING
        gone = not self.callers.all or self.door.cuts(self.loop.time())
        if ending and not self.listening and gone and not self.engine.open:
            self.finished.set()

    # What staff ask -----------------------------------------------------------------------------

    def send_away(self) -> str:
        """Empties the node of clients; the process stays. Gives why not, or ""."""
        return self.door.send_away(self.loop.time())

    def take_back(self) -> str:
        return self.door.take_back(self.loop.time())

    def metrics(self) -> NodeMetrics:
        return NodeMetrics(
            tuple(spec.name for spec in self.settings.classes),
            self.engine.counts,
            self.callers.taken(),
            len(self.engine.server_table.by_name),
            self.engine.avoided(),
        )

    async def stop(self) -> None:
        if self.listener is not None:
            self.listener.close()
        self.callers.close()
        if self.discovery is not None:
            await self.discovery.close()
        self.pool.close()
        if self.succession is not None:
            self.succession.close()

    # What callers' connections need -------------------------------------------------------------

    def ready(self) -> bool:
        return self.listening and self.engine.have_list and self.door.open and self.servable()

    def pause(self) -> int:
        """When one that found no room may come back, in ns."""
        return retry_after_when_full(self.settings, self.settings.classes[0], self.engine.random)

    @property
    def wanted(self) -> bool:
        """Whether callers' connections outlast their answers."""
        return not self.door.closes(self.loop.time())

    def keeps_idle(self) -> bool:
        return self.door.keeps_idle(self.loop.time())

    def turned_away(self, fields: Mapping[bytes, bytes], err: Rejected) -> None:
        """Counts one that never reached the engine, where it tells its class."""
        cls = self.reader.classes.get(fields.get(b"x-service-class", b""))
        if cls is not None:
            self.engine.counts.rejected(cls, err)

    def check(self, item: Incoming) -> None:
        """Turns away what no server could use, by its head."""
        self.reader.check(item.method, item.fields)

    def take(self, caller: Caller, item: Incoming) -> None:
        message = Message(item.method, item.target, item.head, item.body)
        item.call = self.reader.call(message, item.fields, item.heard)
        item.call.accepts_stream = True
        try:
            request = self.engine.admit(caller, item.call, full=caller.surplus)
        except Rejected:
            item.call = None  # danger: an answer to the open request of that id is not this one's
            raise
        if not request.closed:
            caller.request = request

    def left(self, caller: Caller) -> None:
        if caller.request is not None:
            self.engine.abandon(caller.request)
            caller.request = None
        self._check_finished()
