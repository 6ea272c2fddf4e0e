"""The public clients: `Client` for asyncio, `BlockingClient` for threads."""

from __future__ import annotations

import asyncio
import os
import threading
import time
from collections.abc import Iterable, Sequence
from types import TracebackType
from typing import Self

from minthitch import operatorfile
from minthitch.config import NO_SERVERS, Config, ConfigError
from minthitch.embedded import process_exit
from minthitch.embedded.loop_queue import LoopQueue
from minthitch.embedded.pending import LoopPendingCall, ThreadPendingCall
from minthitch.embedded.requests import CallBuilder, Headers
from minthitch.embedded.worker import Worker
from minthitch.engine import Answer, Call, Refused
from minthitch.interface import Settings
from minthitch.listing import ListError, static_listing

DEFAULT_CLOSE_WITHIN = 3.4  # seconds in which a close settles all held calls
RawHeaders = Iterable[tuple[bytes, bytes]]


def configure(
    settings: Settings,
    *,
    servers: Sequence[str] = (),
    discovery: str = "",
    name: str = "minthitch",
    seed: int | None = None,
    sockets: int = 1024,
) -> Config:
    """A client configuration from settings and either a static server list (`address:port`) or discovery.

    Raises ConfigError.
    """
    if bool(servers) == bool(discovery):
        raise ConfigError("either servers or discovery must be given, and not both")
    try:
        known = static_listing(servers) if servers else NO_SERVERS
    except ListError as err:
        raise ConfigError(f"servers = {list(servers)!r}: {err}") from None
    seed = int.from_bytes(os.urandom(8)) if seed is None else seed
    return Config(name, operatorfile.NO_LISTEN_ADDRESS, discovery, seed, sockets, known, settings)


def _config(source: Config | str | os.PathLike[str]) -> Config:
    return source if isinstance(source, Config) else operatorfile.read(source)


class _BaseClient:
    """What both clients share: the worker's lifecycle, and building calls from arguments."""

    def __init__(
        self,
        config: Config | str | os.PathLike[str],
        *,
        close_within: float = DEFAULT_CLOSE_WITHIN,
        settle_on_sigterm: bool = False,
    ) -> None:
        """`config`: a Config (`configure`) or the path of an operator file (TOML).

        `close_within`: seconds in which a close settles every held call. `settle_on_sigterm`: on SIGTERM
        settle held calls, then run the previous signal handler. It needs a start in the main thread, and
        that nothing else replaces the handler. Raises ConfigError.
        """
        if not 0 < close_within < 3600:
            raise ConfigError(f"close_within = {close_within!r} is not a number of seconds above 0")
        config = _config(config)
        self.settings = config.settings
        self._call_builder = CallBuilder(config.settings, config.name)
        self._worker = Worker(config, close_within)
        self._settle_on_sigterm = settle_on_sigterm

    @property
    def held(self) -> int:
        """The number of calls that are not settled yet."""
        return len(self._worker.held)

    @property
    def started(self) -> bool:
        """Whether the client was started or closed, so that it can't be started any more."""
        return self._worker.state != "new"

    @property
    def ready(self) -> bool:
        """Whether the client accepts calls and has a server list."""
        worker = self._worker
        return worker.state == "open" and worker.engine is not None and worker.engine.have_list

    def _start(self) -> None:
        self._worker.start()
        process_exit.register(self._worker)
        if self._settle_on_sigterm:
            process_exit.settle_on_sigterm(self._worker)

    def _call(
        self,
        service_class: str,
        target: str,
        body: bytes,
        headers: Headers,
        timeout: float | None,
        key: str | None,
        tenant: str,
        session: str,
        cost: float,
        repeat: bool,
        identity: str | None,
    ) -> Call:
        return self._call_builder.from_arguments(
            service_class,
            target,
            body,
            headers,
            timeout,
            key,
            tenant,
            session,
            cost,
            repeat,
            identity,
            time.monotonic_ns(),
        )


class Client(_BaseClient):
    """Load-balanced calls for asyncio, usable from any number of loops.

        async with Client("minthitch.toml") as client:
            match await client.call("search", "/search?q=lahore"):
                case Served(body=body): ...
                case Refused(retry_after=seconds): ...
                case Failed(): ...

    Each call has exactly one outcome. Cancelling a task that awaits a call abandons the call.
    """

    def __init__(
        self,
        config: Config | str | os.PathLike[str],
        *,
        close_within: float = DEFAULT_CLOSE_WITHIN,
        settle_on_sigterm: bool = False,
    ) -> None:
        super().__init__(config, close_within=close_within, settle_on_sigterm=settle_on_sigterm)
        self._result_queues: dict[asyncio.AbstractEventLoop, LoopQueue[LoopPendingCall]] = {}
        self._result_queues_lock = threading.Lock()

    async def start(self) -> None:
        """Start the engine. Raises ClientClosed if it was started before."""
        self._start()

    async def __aenter__(self) -> Self:
        self._start()
        return self

    async def __aexit__(
        self, kind: type[BaseException] | None, err: BaseException | None, trace: TracebackType | None
    ) -> None:
        await self.aclose()

    async def aclose(self) -> None:
        """Settle all held calls within `close_within`, then stop the engine. May be called more than once."""
        self._worker.begin_close()
        loop, stopped = asyncio.get_running_loop(), asyncio.Event()

        def notify() -> None:
            # The loop may be closed by now, which must not raise in the engine's thread.
            if not loop.is_closed():
                loop.call_soon_threadsafe(stopped.set)

        self._worker.call_when_stopped(notify)
        await stopped.wait()

    def _result_queue(self) -> LoopQueue[LoopPendingCall]:
        loop = asyncio.get_running_loop()
        with self._result_queues_lock:
            queue = self._result_queues.get(loop)
            if queue is None:
                # Without this, a host that keeps creating loops would leak memory.
                for ended in [known for known in self._result_queues if known.is_closed()]:
                    del self._result_queues[ended]
                queue = self._result_queues[loop] = LoopQueue(loop, LoopPendingCall.resolve)
        return queue

    async def call(
        self,
        service_class: str,
        target: str = "/api",
        *,
        body: bytes = b"",
        headers: Headers = (),
        timeout: float | None = None,
        key: str | None = None,
        tenant: str = "",
        session: str = "",
        cost: float = 0.0,
        repeat: bool = False,
        identity: str | None = None,
    ) -> Answer:
        """Send a request to the tier; the result comes within `timeout` s or the class's deadline.

        `key`: the idempotency key, for a keyed class. `tenant`, `session`: the account and the session that
        the call belongs to. `cost`: its estimated work in s. `repeat`: this is a retry by the caller.
        `identity`: its id (default: a new one). Raises BadCall for an invalid call, ClientClosed if the
        client does not accept calls.
        """
        return await self._wait(
            self._call(
                service_class, target, body, headers, timeout, key, tenant, session, cost, repeat, identity
            )
        )

    async def send(
        self,
        method: bytes,
        target: bytes,
        fields: RawHeaders,
        body: bytes = b"",
        timeout: float | None = None,
    ) -> Answer:
        """Like `call`, from a request's raw parts; class, id and key are header fields, as for the daemon."""
        return await self._wait(
            self._call_builder.from_raw(method, target, fields, body, timeout, time.monotonic_ns())
        )

    async def _wait(self, call: Call) -> Answer:
        pending = LoopPendingCall(call, self._worker, self._result_queue())
        if (refused := self._worker.submit(pending)) is not None:
            return refused
        try:
            return await pending.future
        except asyncio.CancelledError:
            self._worker.abandon(pending)
            raise


class BlockingClient(_BaseClient):
    """Load-balanced calls for hosts without a loop, usable from any number of threads."""

    def start(self) -> None:
        """Start the engine. Raises ClientClosed if it was started before."""
        self._start()

    def __enter__(self) -> Self:
        self._start()
        return self

    def __exit__(
        self, kind: type[BaseException] | None, err: BaseException | None, trace: TracebackType | None
    ) -> None:
        self.close()

    def close(self) -> None:
        """Settle all held calls within `close_within`, then stop the engine. May be called more than once."""
        self._worker.close()

    def call(
        self,
        service_class: str,
        target: str = "/api",
        *,
        body: bytes = b"",
        headers: Headers = (),
        timeout: float | None = None,
        key: str | None = None,
        tenant: str = "",
        session: str = "",
        cost: float = 0.0,
        repeat: bool = False,
        identity: str | None = None,
    ) -> Answer:
        """Like `Client.call`, but blocks. Must not be called from a coroutine."""
        call = self._call(
            service_class, target, body, headers, timeout, key, tenant, session, cost, repeat, identity
        )
        pending = ThreadPendingCall(call, self._worker)
        refused: Refused | None = self._worker.submit(pending)
        if refused is not None:
            return refused
        try:
            pending.done.wait()
        except BaseException:  # KeyboardInterrupt, or raised by a signal handler
            self._worker.abandon(pending)
            raise
        if isinstance(pending.result, BaseException):
            raise pending.result
        assert pending.result is not None
        return pending.result
