"""The HTTP/1.1 node: an engine between callers, servers and a source of lists, and the node's life cycle."""

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
from minthitch.net.body_memory import BodyMemory
from minthitch.net.caller_table import Callers
from minthitch.net.callers import Caller, Incoming
from minthitch.net.discovery import Discovery
from minthitch.net.handover import Handover
from minthitch.net.lifecycle import ANSWER_TIMEOUT_S, Lifecycle, State
from minthitch.net.pool import Pool

# Descriptors for the listener, the watch, files, administration and callers that are rejected.
RESERVED_DESCRIPTORS = 48
SHUTDOWN_CHECK_S = 0.1  # seconds between two checks of the shutdown's progress
BACKLOG = 512
BASE_MEMORY_BYTES = 32 * 1024 * 1024  # memory of the process without long bodies, with a margin
SEND_BUFFER_BYTES = 64 * 1024  # send buffer for each caller; the kernel doubles it
MIN_BODY_MEMORY_BYTES = 2 * 1024 * 1024


def memory_for_bodies(memory: int) -> BodyMemory[Caller]:
    """A budget for long request bodies that keeps the whole process within `memory` bytes."""
    available = memory - BASE_MEMORY_BYTES
    return BodyMemory(max(available // 2, MIN_BODY_MEMORY_BYTES), max(available, 2 * MIN_BODY_MEMORY_BYTES))


class Node:
    """Listens for HTTP/1.1 callers at `config.listen`. Must be created on the running loop."""

    def __init__(self, config: Config, decider: Decider | None = None) -> None:
        self.config, self.settings = config, config.settings
        self.loop = asyncio.get_running_loop()
        self.log = LineLog(lambda text: print(f"{config.name}: {text}", file=sys.stderr, flush=True))
        self.engine = Engine(
            config.settings, config.seed, LoopClock(self.loop), self.log, self._check_finished, decider
        )
        self.reader = CallParser(config.settings)
        self.lifecycle = Lifecycle()
        self.pool = self.engine.transport = Pool(config.settings, 1)
        self.callers = Callers(self, 1, 1, memory_for_bodies(config.memory))
        self.handover: Handover | None = None
        self._divide_sockets()
        self.discovery: Discovery | None = None
        if config.discovery:
            self.discovery = Discovery(config.discovery, self.engine, config.seed ^ 1)
        self.engine.source = self.discovery or StaticSource(config.known, self.engine.listed)
        self.listening = False
        self.ready_condition: Callable[[], bool] = lambda: True  # further condition for being ready
        self.listener: asyncio.Server | None = None
        self.finished = asyncio.Event()

    # Start and shutdown -------------------------------------------------------------------------

    async def start(self) -> None:
        """Loads the configured list, watches discovery and listens. Raises OSError."""
        self.engine.listed(self.config.known, api.ListKind.CACHED)
        if self.discovery is not None:
            self.discovery.start()
        host, port = self.config.listen
        if self.config.handover:
            self.handover = Handover(
                self.config.handover,
                f"{host}:{port}",
                self._divide_sockets,
                self.log,
                self.engine.export_learned,
                self.engine.restore_learned,
            )
            await self.handover.start()
            self._divide_sockets()
        # Two processes may listen at the address, while one replaces the other.
        self.listener = await self.loop.create_server(
            lambda: Caller(self.callers), host, port, backlog=BACKLOG, reuse_port=True
        )
        # A large send buffer would hide for minutes that a caller reads slowly.
        self.listener.sockets[0].setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
        self.listening = True
        if self.handover is not None:
            self.handover.announce_ready()

    def _divide_sockets(self) -> None:
        """Adapts the limits: while two processes serve, each may use half of the descriptors."""
        has_other_process = self.handover is not None and (
            self.handover.has_predecessor or self.handover.has_successor
        )
        sockets = self.config.sockets // 2 if has_other_process else self.config.sockets
        per_side = max((sockets - RESERVED_DESCRIPTORS) // 2, 1)
        self.pool.max_connections, self.callers.max_connections, self.callers.hard_limit = (
            per_side,
            per_side,
            per_side + RESERVED_DESCRIPTORS // 2,
        )
        if self.handover is not None:
            self.lifecycle.replaced = self.handover.has_successor

    def reload(self, config: Config) -> None:
        """Takes over the new discovery address or the new static list; other settings need a restart."""
        if self.discovery is None or not config.discovery:
            self._reload_list(config)
            return
        self.log(f"configuration reloaded: discovery is {config.discovery}")
        self.discovery.change_address(config.discovery)

    def _reload_list(self, config: Config) -> None:
        if self.discovery is not None or config.discovery:
            self.log("configuration reloaded: a change between discovery and a static list needs a restart")
            return
        self.engine.source = StaticSource(config.known, self.engine.listed)
        self.engine.listed(config.known, api.ListKind.FULL)
        self.log(f"configuration reloaded: {len(config.known.hosts)} servers")

    @property
    def port(self) -> int:
        assert self.listener is not None
        return int(self.listener.sockets[0].getsockname()[1])

    def list_confirmed_at(self) -> int:
        """When the list was last confirmed, in the clock's ns; 0 for never. For a static list: now."""
        now = self.engine.clock.now()
        if self.discovery is None:
            return now
        heard = self.discovery.last_heard_at
        return now - int((self.loop.time() - heard) * api.SECOND) if heard else 0

    def drain(self) -> None:
        """SIGTERM: answers what has arrived and what arrives for a while, then ends the node."""
        if self.lifecycle.state is not State.ENDING:
            if self.handover is not None:
                self.handover.hand_over()
            self.lifecycle.end(self.loop.time())
            self.engine.drain(int(ANSWER_TIMEOUT_S * api.SECOND))
            self._poll_shutdown()

    def _poll_shutdown(self) -> None:
        if self.finished.is_set():
            return
        if self.listening and not self.lifecycle.accepts(self.loop.time()):
            self.listening = False
            self.loop.create_task(self._stop_accepting())
        self._check_finished()
        self.loop.call_later(SHUTDOWN_CHECK_S, self._poll_shutdown)

    async def _stop_accepting(self) -> None:
        """Accepts the connections in the listener's queue, which closing the listener would reset."""
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
        ending = self.lifecycle.state is State.ENDING
        callers_done = not self.callers.all or self.lifecycle.cuts_streams(self.loop.time())
        if ending and not self.listening and callers_done and not self.engine.open:
            self.finished.set()

    # For administration -------------------------------------------------------------------------

    def send_away(self) -> str:
        """Sends clients to other nodes; the process stays. Returns why it is not possible, or ""."""
        return self.lifecycle.send_away(self.loop.time())

    def take_back(self) -> str:
        return self.lifecycle.take_back(self.loop.time())

    def metrics(self) -> NodeMetrics:
        return NodeMetrics(
            tuple(spec.name for spec in self.settings.classes),
            self.engine.counts,
            self.callers.pending_count(),
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
        if self.handover is not None:
            self.handover.close()

    # CallerHost ---------------------------------------------------------------------------------

    def ready(self) -> bool:
        return self.listening and self.engine.have_list and self.lifecycle.is_open and self.ready_condition()

    def busy_retry_after(self) -> int:
        """When a caller that was rejected for lack of memory may retry, in ns."""
        return retry_after_when_full(self.settings, self.settings.classes[0], self.engine.random)

    @property
    def keeps_connections(self) -> bool:
        """Whether callers' connections stay open after an answer."""
        return not self.lifecycle.closes_after_answer(self.loop.time())

    def keeps_idle(self) -> bool:
        return self.lifecycle.keeps_idle(self.loop.time())

    def on_rejected(self, fields: Mapping[bytes, bytes], err: Rejected) -> None:
        """Counts a request that never reached the engine, if its class is known."""
        cls = self.reader.classes.get(fields.get(b"x-service-class", b""))
        if cls is not None:
            self.engine.counts.rejected(cls, err)

    def check(self, item: Incoming) -> None:
        """Rejects by its head what no server could serve."""
        self.reader.check(item.method, item.fields)

    def handle_request(self, caller: Caller, item: Incoming) -> None:
        message = Message(item.method, item.target, item.forwarded_fields, item.body)
        item.call = self.reader.call(message, item.fields, item.received_at)
        item.call.accepts_stream = True
        try:
            request = self.engine.admit(caller, item.call, full=caller.over_limit)
        except Rejected:
            item.call = None  # an answer to the open request with the same id must not go to this one
            raise
        if not request.closed:
            caller.request = request

    def on_caller_lost(self, caller: Caller) -> None:
        if caller.request is not None:
            self.engine.abandon(caller.request)
            caller.request = None
        self._check_finished()
