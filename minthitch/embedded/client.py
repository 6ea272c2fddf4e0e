"""The public clients: one for hosts with a loop, one for hosts without."""

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
from minthitch.embedded import exits
from minthitch.embedded.handover import Handover
from minthitch.embedded.requests import Headers, Maker
from minthitch.embedded.tickets import LoopTicket, ThreadTicket
from minthitch.embedded.worker import Worker
from minthitch.engine import Answer, Call, Refused
from minthitch.interface import Settings
from minthitch.listing import ListError, static_listing

CLOSE_WITHIN = 3.4  # seconds in which a close settles all that is held, if nothing else is said
Fields = Iterable[tuple[bytes, bytes]]


def configure(
    settings: Settings,
    *,
    servers: Sequence[str] = (),
    discovery: str = "",
    name: str = "minthitch",
    seed: int | None = None,
    sockets: int = 1024,
) -> Config:
    """A client's configuration from settings and either a static list (`address:port`) or discovery.

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


class _Base:
    """What both clients share: the worker's life, and calls made from arguments."""

    def __init__(
        self,
        config: Config | str | os.PathLike[str],
        *,
        close_within: float = CLOSE_WITHIN,
        settle_on_sigterm: bool = False,
    ) -> None:
        """`config`: a Config (`configure`) or the path of an operator file (TOML).

        `close_within`: seconds in which a close settles every held call. `settle_on_sigterm`: on SIGTERM
        settle all first, then do what the process did before; set it from the main thread, and only where
        nobody else handles the signal. Raises ConfigError.
        """
        if not 0 < close_within < 3600:
            raise ConfigError(f"close_within = {close_within!r} is not a number of seconds above 0")
        config = _config(config)
        self.settings = config.settings
        self._maker = Maker(config.settings, config.name)
        self._worker = Worker(config, close_within)
        self._settle_on_sigterm = settle_on_sigterm

    @property
    def held(self) -> int:
        """Calls that are not settled yet."""
        return len(self._worker.held)

    @property
    def started(self) -> bool:
        """Whether it was started, and perhaps closed since."""
        return self._worker.state != "new"

    @property
    def ready(self) -> bool:
        """Whether calls are taken and a list of servers is there."""
        worker = self._worker
        return worker.state == "open" and worker.engine is not None and worker.engine.have_list

    def _start(self) -> None:
        self._worker.start()
        exits.register(self._worker)
        if self._settle_on_sigterm:
            exits.settle_on_sigterm(self._worker)

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
        return self._maker.direct(
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


class Client(_Base):
    """Balanced calls from asyncio, from any number of loops.

        async with Client("minthitch.toml") as client:
            match await client.call("search", "/search?q=lahore"):
                case Served(body=body): ...
                case Refused(retry_after=seconds): ...
                case Failed(): ...

    Each call ends once. A task that is cancelled while it waits counts as a caller that left.
    """

    def __init__(
        self,
        config: Config | str | os.PathLike[str],
        *,
        close_within: float = CLOSE_WITHIN,
        settle_on_sigterm: bool = False,
    ) -> None:
        super().__init__(config, close_within=close_within, settle_on_sigterm=settle_on_sigterm)
        self._mailboxes: dict[asyncio.AbstractEventLoop, Handover[LoopTicket]] = {}
        self._mailbox_lock = threading.Lock()

    async def start(self) -> None:
        """Starts the engine. Raises ClientClosed if it was started before."""
        self._start()

    async def __aenter__(self) -> Self:
        self._start()
        return self

    async def __aexit__(
        self, kind: type[BaseException] | None, err: BaseException | None, trace: TracebackType | None
    ) -> None:
        await self.aclose()

    async def aclose(self) -> None:
        """Settles all that is held within `close_within`, then ends the engine. May be called again."""
        self._worker.begin_close()
        loop, down = asyncio.get_running_loop(), asyncio.Event()

        def tell() -> None:
            # Danger: the loop may have ended meanwhile, and the engine's thread must not fail over it.
            if not loop.is_closed():
                loop.call_soon_threadsafe(down.set)

        self._worker.call_when_down(tell)
        await down.wait()

    def _mailbox(self) -> Handover[LoopTicket]:
        loop = asyncio.get_running_loop()
        with self._mailbox_lock:
            box = self._mailboxes.get(loop)
            if box is None:
                for ended in [known for known in self._mailboxes if known.is_closed()]:
                    del self._mailboxes[ended]  # danger: a host that makes loops would fill the memory
                box = self._mailboxes[loop] = Handover(loop, LoopTicket.resolve)
        return box

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
        """Sends to the tier; `Served`, `Refused` or `Failed` by `timeout` s or the class's deadline.

        `key`: the idempotency key of a keyed class. `tenant`, `session`: whose and about what it is. `cost`:
        a guess at its work in s. `repeat`: the caller tried before. `identity`: its id, else a new one.
        Raises BadCall where no server could use it, ClientClosed where the client takes no calls.
        """
        return await self._wait(
            self._call(
                service_class, target, body, headers, timeout, key, tenant, session, cost, repeat, identity
            )
        )

    async def send(
        self, method: bytes, target: bytes, fields: Fields, body: bytes = b"", timeout: float | None = None
    ) -> Answer:
        """The same from a request's raw parts; its fields name it as at the daemon."""
        return await self._wait(self._maker.call(method, target, fields, body, timeout, time.monotonic_ns()))

    async def _wait(self, call: Call) -> Answer:
        ticket = LoopTicket(call, self._worker, self._mailbox())
        if (full := self._worker.submit(ticket)) is not None:
            return full
        try:
            return await ticket.future
        except asyncio.CancelledError:
            self._worker.abandon(ticket)
            raise


class BlockingClient(_Base):
    """The same for hosts without a loop, from any number of threads."""

    def start(self) -> None:
        """Starts the engine. Raises ClientClosed if it was started before."""
        self._start()

    def __enter__(self) -> Self:
        self._start()
        return self

    def __exit__(
        self, kind: type[BaseException] | None, err: BaseException | None, trace: TracebackType | None
    ) -> None:
        self.close()

    def close(self) -> None:
        """Settles all that is held within `close_within`, then ends the engine. May be called again."""
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
        """As `Client.call`. Must not be called from a coroutine: it blocks."""
        call = self._call(
            service_class, target, body, headers, timeout, key, tenant, session, cost, repeat, identity
        )
        ticket = ThreadTicket(call, self._worker)
        full: Refused | None = self._worker.submit(ticket)
        if full is not None:
            return full
        try:
            ticket.done.wait()
        except BaseException:  # KeyboardInterrupt, or what a signal handler raised: nobody waits any more
            self._worker.abandon(ticket)
            raise
        if isinstance(ticket.result, BaseException):
            raise ticket.result
        assert ticket.result is not None
        return ticket.result
