"""The engine on a loop of its own in a thread of its own: whatever the host does, its timers run.

States: new, open, closing, closed; each is entered once. What a host's thread may touch is under the lock.
"""

from __future__ import annotations

import asyncio
import logging
import os
import random
import threading
from collections.abc import Callable

import uvloop

from minthitch import interface as api
from minthitch.config import Config
from minthitch.embedded.errors import BadCall, ClientClosed
from minthitch.embedded.handover import Handover
from minthitch.embedded.tickets import Ticket
from minthitch.engine import Engine, Failed, LoopClock, Refused, Rejected, Source, StaticSource
from minthitch.engine.core import retry_after_when_full
from minthitch.log import LineLog
from minthitch.net.discovery import Discovery
from minthitch.net.servers import Pool

START_WITHIN = 10.0  # seconds for the thread to be up
JOIN_BEYOND = 2.0  # seconds beyond the bound after which the thread is not waited for any more
MOST_HELD = 1_000  # calls held at once where the settings state no max_open
RESERVE = 16  # descriptors for the loop and discovery
logger = logging.getLogger("minthitch")


class Worker:
    """One engine in one thread, and the calls that are held by it."""

    def __init__(self, config: Config, close_within: float) -> None:
        self.config, self.settings = config, config.settings
        self.close_within = close_within  # seconds in which a close settles all
        self.most = config.settings.max_open or MOST_HELD
        self.random = random.Random(config.seed ^ 3)
        self.lock = threading.RLock()  # re-entered by a signal handler of the same thread
        self.state = "new"
        self.pid = os.getpid()
        self.held: set[Ticket] = set()
        self.error: BaseException | None = None  # what ended the thread, if it was not a close
        self.up, self.down = threading.Event(), threading.Event()
        self.when_down: list[Callable[[], None]] = []
        self.thread = threading.Thread(target=self._run, name=f"minthitch-{config.name}", daemon=True)
        self.inbox: Handover[Callable[[], None]] | None = None
        self.engine: Engine | None = None
        self.ended: asyncio.Event | None = None

    # On the host's threads ----------------------------------------------------------------------

    def start(self) -> None:
        """Raises ClientClosed if it was started before, or can't be."""
        with self.lock:
            if self.state != "new":
                raise ClientClosed(f"the client is {self.state}: a client is started once; make another")
            self.state = "open"
        self.thread.start()
        if not self.up.wait(START_WITHIN):
            raise ClientClosed("the engine's thread did not come up")
        if self.error is not None:
            raise ClientClosed(f"the engine did not start: {self.error}")

    def usable(self) -> None:
        """Raises ClientClosed where calls can't be taken."""
        if self.pid != os.getpid():  # danger: the thread is not in this process, and nothing would answer
            raise ClientClosed(
                f"the client belongs to process {self.pid}, before the fork: make one after the fork"
            )
        if self.state != "open":
            why = f": {self.error}" if self.error is not None else ""
            raise ClientClosed(
                "the client is not started" if self.state == "new" else f"the client is {self.state}{why}"
            )

    def submit(self, ticket: Ticket) -> Refused | None:
        """Hands a call over; an answer at once where too many are held. Raises ClientClosed."""
        with self.lock:
            self.usable()
            assert self.inbox is not None
            if len(self.held) >= self.most:
                spec = self.settings.classes[ticket.call.cls]
                return Refused(
                    retry_after_when_full(self.settings, spec, self.random), "too many calls are held"
                )
            self.held.add(ticket)
            self.inbox.put(lambda: self._take(ticket))
        return None

    def abandon(self, ticket: Ticket) -> None:
        """The host waits for it no more."""
        ticket.gone = True
        if self.inbox is not None and self.pid == os.getpid():
            self.inbox.put(lambda: self._leave(ticket))

    def begin_close(self) -> None:
        """Turns away all that comes from now on; what is held is settled within `close_within`."""
        with self.lock:
            if self.state == "new":
                self.state = "closed"
                self.down.set()
            if self.state == "open" and self.pid == os.getpid():
                self.state = "closing"
                assert self.inbox is not None
                self.inbox.put(self._drain)

    def call_when_down(self, call: Callable[[], None]) -> None:
        """Calls, perhaps on the engine's thread, once all is settled."""
        with self.lock:
            if not self.down.is_set():
                self.when_down.append(call)
                return
        call()

    def close(self) -> None:
        """Closes and waits. Bounded by `close_within` and a little more."""
        self.begin_close()
        if self.pid == os.getpid() and threading.current_thread() is not self.thread:
            self.down.wait(self.close_within + JOIN_BEYOND)

    # On the engine's thread ---------------------------------------------------------------------

    def _run(self) -> None:
        try:
            with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
                runner.run(self._main())
        except BaseException as err:  # danger: callers would wait for ever for a thread that is no more
            self.error = err
            logger.exception("%s: the engine ended", self.config.name)
        finally:
            self._end()

    def _end(self) -> None:
        with self.lock:
            self.state = "closed"
            left, self.held = list(self.held), set()
        for ticket in left:
            ticket.answer(ticket.call, Failed("the engine ended"))
        with self.lock:
            self.down.set()
            calls, self.when_down = self.when_down, []
        self.up.set()
        for call in calls:
            call()

    async def _main(self) -> None:
        loop = asyncio.get_running_loop()
        name, config = self.config.name, self.config
        ended = self.ended = asyncio.Event()
        log = LineLog(lambda text: logger.warning("%s: %s", name, text))
        loop.set_exception_handler(
            lambda _loop, context: log(f"{context.get('message')}: {context.get('exception')!r}")
        )
        clock = LoopClock(loop)
        engine = self.engine = Engine(config.settings, config.seed, clock, log, ended.set)
        pool = engine.transport = Pool(config.settings, config.sockets - RESERVE)
        source = engine.source = self._source(engine)
        recording = None
        if config.record is not None:
            from minthitch.record.attach import Recording  # not loaded where it is off

            recording = Recording(engine, config.record, config.name, log)
        listener = None
        if config.operators is not None:
            from minthitch.operators.listener import open_listener

            pages = recording.pages() if recording is not None else {}
            listener = await open_listener(config.operators, pages, log)
        engine.listed(config.known, api.ListKind.CACHED)
        if isinstance(source, Discovery):
            source.start()
        self.inbox = Handover(loop, lambda work: work())
        self.up.set()
        try:
            await ended.wait()
        finally:
            if listener is not None:
                await listener.close()
            if recording is not None:
                await recording.close()
            await source.close()
            pool.close()
            clock.close()

    def _source(self, engine: Engine) -> Source:
        if self.config.discovery:
            return Discovery(self.config.discovery, engine, self.config.seed ^ 1)
        return StaticSource(self.config.known, engine.listed)

    def _take(self, ticket: Ticket) -> None:
        assert self.engine is not None
        if ticket.gone:
            self.settled(ticket)
            return
        try:
            request = self.engine.admit(ticket, ticket.call)
        except Rejected as err:
            if err.status == 503:
                ticket.answer(ticket.call, Refused(err.retry_after, str(err)))
            else:
                ticket.turn_away(BadCall(str(err), err.status))
            return
        except Exception as err:  # danger: a fault of ours must not leave the call unanswered
            self.engine.log_error("a call was not taken", err)
            ticket.answer(ticket.call, Failed(f"{type(err).__name__}: {err}"))
            return
        ticket.request = request

    def _leave(self, ticket: Ticket) -> None:
        assert self.engine is not None
        if ticket.request is not None:
            self.engine.abandon(ticket.request)
        self.settled(ticket)

    def settled(self, ticket: Ticket) -> None:
        with self.lock:
            self.held.discard(ticket)

    def _drain(self) -> None:
        assert self.engine is not None
        self.engine.drain(int(self.close_within * api.SECOND))
