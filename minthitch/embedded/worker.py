"""Runs the engine on its own event loop and thread, so its timers run even while the host blocks.

States: new, open, closing, closed; each is entered once. The lock guards what the host's threads share.
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
from minthitch.embedded.loop_queue import LoopQueue
from minthitch.embedded.pending import PendingCall
from minthitch.engine import Engine, Failed, LoopClock, Refused, Rejected, Source, StaticSource
from minthitch.engine.core import retry_after_when_full
from minthitch.log import LineLog
from minthitch.net.discovery import Discovery
from minthitch.net.pool import Pool

START_TIMEOUT_S = 10.0  # for the thread to start
JOIN_MARGIN_S = 2.0  # added to close_within; after that, close stops waiting for the thread
DEFAULT_MAX_HELD = 1_000  # calls held at once where the settings have no max_open
RESERVED_DESCRIPTORS = 16  # for the event loop and discovery
logger = logging.getLogger("minthitch")


class Worker:
    """An engine, its thread, and the calls that are not settled yet."""

    def __init__(self, config: Config, close_within: float) -> None:
        self.config, self.settings = config, config.settings
        self.close_within = close_within  # seconds in which a close settles all held calls
        self.max_held = config.settings.max_open or DEFAULT_MAX_HELD
        self.random = random.Random(config.seed ^ 3)
        self.lock = threading.RLock()  # re-entered by a signal handler of the same thread
        self.state = "new"
        self.pid = os.getpid()
        self.held: set[PendingCall] = set()
        self.failure: BaseException | None = None  # what ended the thread, unless it was a close
        self.started, self.stopped = threading.Event(), threading.Event()
        self.stop_callbacks: list[Callable[[], None]] = []
        self.thread = threading.Thread(target=self._run, name=f"minthitch-{config.name}", daemon=True)
        self.inbox: LoopQueue[Callable[[], None]] | None = None
        self.engine: Engine | None = None
        self.engine_ended: asyncio.Event | None = None

    # On the host's threads ----------------------------------------------------------------------

    def start(self) -> None:
        """Start the engine's thread. Raises ClientClosed if it was started before or fails to start."""
        with self.lock:
            if self.state != "new":
                raise ClientClosed(f"the client is {self.state}: a client is started once; create a new one")
            self.state = "open"
        self.thread.start()
        if not self.started.wait(START_TIMEOUT_S):
            raise ClientClosed("the engine's thread did not start in time")
        if self.failure is not None:
            raise ClientClosed(f"the engine did not start: {self.failure}")

    def check_open(self) -> None:
        """Raises ClientClosed unless the client accepts calls."""
        # Fork does not copy the engine's thread, so no call would be answered.
        if self.pid != os.getpid():
            raise ClientClosed(
                f"the client belongs to process {self.pid}, before the fork: make one after the fork"
            )
        if self.state != "open":
            why = f": {self.failure}" if self.failure is not None else ""
            raise ClientClosed(
                "the client is not started" if self.state == "new" else f"the client is {self.state}{why}"
            )

    def submit(self, pending: PendingCall) -> Refused | None:
        """Pass a call to the engine; returns Refused at once if too many are held. Raises ClientClosed."""
        with self.lock:
            self.check_open()
            assert self.inbox is not None
            if len(self.held) >= self.max_held:
                spec = self.settings.classes[pending.call.cls]
                return Refused(
                    retry_after_when_full(self.settings, spec, self.random), "too many calls are held"
                )
            self.held.add(pending)
            self.inbox.put(lambda: self._admit(pending))
        return None

    def abandon(self, pending: PendingCall) -> None:
        """The host no longer waits for the call."""
        pending.abandoned = True
        if self.inbox is not None and self.pid == os.getpid():
            self.inbox.put(lambda: self._abandon(pending))

    def begin_close(self) -> None:
        """Reject new calls from now on; held calls are settled within `close_within`."""
        with self.lock:
            if self.state == "new":
                self.state = "closed"
                self.stopped.set()
            if self.state == "open" and self.pid == os.getpid():
                self.state = "closing"
                assert self.inbox is not None
                self.inbox.put(self._drain)

    def call_when_stopped(self, call: Callable[[], None]) -> None:
        """Run `call` once all calls are settled; perhaps on the engine's thread."""
        with self.lock:
            if not self.stopped.is_set():
                self.stop_callbacks.append(call)
                return
        call()

    def close(self) -> None:
        """Close and wait, at most `close_within` plus JOIN_MARGIN_S seconds."""
        self.begin_close()
        if self.pid == os.getpid() and threading.current_thread() is not self.thread:
            self.stopped.wait(self.close_within + JOIN_MARGIN_S)

    # On the engine's thread ---------------------------------------------------------------------

    def _run(self) -> None:
        try:
            with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
                runner.run(self._main())
        except BaseException as err:  # callers would wait for ever for a thread that has ended
            self.failure = err
            logger.exception("%s: the engine ended", self.config.name)
        finally:
            self._finish()

    def _finish(self) -> None:
        with self.lock:
            self.state = "closed"
            left, self.held = list(self.held), set()
        for pending in left:
            pending.answer(pending.call, Failed("the engine ended"))
        with self.lock:
            self.stopped.set()
            callbacks, self.stop_callbacks = self.stop_callbacks, []
        self.started.set()
        for callback in callbacks:
            callback()

    async def _main(self) -> None:
        loop = asyncio.get_running_loop()
        name, config = self.config.name, self.config
        ended = self.engine_ended = asyncio.Event()
        log = LineLog(lambda text: logger.warning("%s: %s", name, text))
        loop.set_exception_handler(
            lambda _loop, context: log(f"{context.get('message')}: {context.get('exception')!r}")
        )
        clock = LoopClock(loop)
        engine = self.engine = Engine(config.settings, config.seed, clock, log, ended.set)
        pool = engine.transport = Pool(config.settings, config.sockets - RESERVED_DESCRIPTORS)
        source = engine.source = self._source(engine)
        recording = None
        if config.record is not None:
            from minthitch.record.attach import Recording  # loaded only if recording is on

            recording = Recording(engine, config.record, config.name, log)
        listener = None
        if config.operators is not None:
            from minthitch.operators.listener import open_listener

            pages = recording.pages() if recording is not None else {}
            listener = await open_listener(config.operators, pages, log)
        engine.listed(config.known, api.ListKind.CACHED)
        if isinstance(source, Discovery):
            source.start()
        self.inbox = LoopQueue(loop, lambda work: work())
        self.started.set()
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

    def _admit(self, pending: PendingCall) -> None:
        assert self.engine is not None
        if pending.abandoned:
            self.discard(pending)
            return
        try:
            request = self.engine.admit(pending, pending.call)
        except Rejected as err:
            if err.status == 503:
                pending.answer(pending.call, Refused(err.retry_after, str(err)))
            else:
                pending.fail(BadCall(str(err), err.status))
            return
        except Exception as err:  # a bug in the engine must not leave the call unanswered
            self.engine.log_error("admitting a call failed", err)
            pending.answer(pending.call, Failed(f"{type(err).__name__}: {err}"))
            return
        pending.request = request

    def _abandon(self, pending: PendingCall) -> None:
        assert self.engine is not None
        if pending.request is not None:
            self.engine.abandon(pending.request)
        self.discard(pending)

    def discard(self, pending: PendingCall) -> None:
        with self.lock:
            self.held.discard(pending)

    def _drain(self) -> None:
        assert self.engine is not None
        self.engine.drain(int(self.close_within * api.SECOND))
