"""A small host for ASGI apps on loopback: lifespan, chunked bodies, disconnects. For tests; not a server."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from urllib.parse import unquote

import httptools

from minthitch.asgi import App, Message
from rigs.servers import PATIENCE, address_of


class LifespanFailed(Exception):
    """The app's startup or shutdown failed; the text is its message."""


class Lifespan:
    """Drives an app's lifespan from outside."""

    def __init__(self, app: App) -> None:
        self.inbound: asyncio.Queue[Message] = asyncio.Queue()
        self.outbound: asyncio.Queue[Message] = asyncio.Queue()
        self.task = asyncio.ensure_future(self._run(app))
        self.supported = True

    async def _run(self, app: App) -> None:
        try:
            await app(
                {"type": "lifespan", "asgi": {"version": "3.0"}, "state": {}},
                self.inbound.get,
                self.outbound.put,
            )
        finally:
            await self.outbound.put({"type": "ended"})

    async def step(self, phase: str) -> None:
        """Sends `startup` or `shutdown` and waits for the word on it. Raises LifespanFailed."""
        if not self.supported:
            return
        await self.inbound.put({"type": f"lifespan.{phase}"})
        async with asyncio.timeout(PATIENCE):
            message = await self.outbound.get()
        if message["type"] == "ended":
            self.supported = False
        elif message["type"] != f"lifespan.{phase}.complete":
            raise LifespanFailed(message.get("message", message["type"]))


class Connection:
    """One HTTP/1.1 connection: one request at a time, given to the app as it comes."""

    def __init__(self, app: App, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.app, self.reader, self.writer = app, reader, writer
        self.parser = httptools.HttpRequestParser(self)
        self.url = b""
        self.headers: list[tuple[bytes, bytes]] = []
        self.inbound: asyncio.Queue[Message] = asyncio.Queue()
        self.tasks: list[asyncio.Task[None]] = []
        self.chunked = False

    def on_url(self, part: bytes) -> None:
        self.url += part

    def on_header(self, name: bytes, value: bytes) -> None:
        self.headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        path, _, query = self.url.partition(b"?")
        scope = {
            "type": "http",
            "asgi": {"version": "3.0"},
            "http_version": "1.1",
            "scheme": "http",
            "method": self.parser.get_method().decode(),
            "raw_path": path,
            "path": unquote(path.decode("ascii")),
            "query_string": query,
            "root_path": "",
            "headers": self.headers,
            "state": {},
        }
        self.url, self.headers, self.inbound = b"", [], asyncio.Queue()
        self.tasks.append(asyncio.ensure_future(self._serve(scope, self.inbound)))

    def on_body(self, part: bytes) -> None:
        self.inbound.put_nowait({"type": "http.request", "body": part, "more_body": True})

    def on_message_complete(self) -> None:
        self.inbound.put_nowait({"type": "http.request", "body": b"", "more_body": False})

    async def _serve(self, scope: Message, inbound: asyncio.Queue[Message]) -> None:
        try:
            await self.app(scope, inbound.get, self._send)
        except Exception as err:  # what a server answers for an app that raises
            with suppress(OSError):
                self.writer.write(b"HTTP/1.1 500 x\r\nContent-Length: 0\r\n\r\n")
            self.error: BaseException | None = err

    async def _send(self, message: Message) -> None:
        if message["type"] == "http.response.start":
            names = {name.lower() for name, _ in message["headers"]}
            self.chunked = b"content-length" not in names
            head = b"".join(b"%s: %s\r\n" % field for field in message["headers"])
            if self.chunked:
                head += b"transfer-encoding: chunked\r\n"
            self.writer.write(b"HTTP/1.1 %d x\r\n%s\r\n" % (message["status"], head))
            return
        body = message.get("body", b"")
        if self.chunked:
            body = (b"%x\r\n%s\r\n" % (len(body), body) if body else b"") + (
                b"" if message.get("more_body") else b"0\r\n\r\n"
            )
        self.writer.write(body)
        await self.writer.drain()

    async def run(self) -> None:
        try:
            while data := await self.reader.read(65_536):
                self.parser.feed_data(data)
        except (OSError, httptools.HttpParserError, asyncio.CancelledError):
            pass  # the last is the host's own end: streams would log it as a fault
        finally:
            self.inbound.put_nowait({"type": "http.disconnect"})
            await asyncio.gather(*self.tasks, return_exceptions=True)
            self.writer.close()


class Host:
    """A hosted app. `port` is where it listens."""

    def __init__(self, app: App) -> None:
        self.app = app
        self.lifespan = Lifespan(app)
        self.port = 0
        self.listener: asyncio.Server | None = None
        self.connections: set[asyncio.Task[None]] = set()

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self.connections.add(task)
        try:
            await Connection(self.app, reader, writer).run()
        finally:
            self.connections.discard(task)

    async def start(self) -> None:
        """Raises LifespanFailed."""
        await self.lifespan.step("startup")
        self.listener = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        self.port = int(address_of(self.listener).rpartition(":")[2])

    async def stop(self) -> None:
        """Ends as a server does: no new connections, then the app's shutdown. Raises LifespanFailed."""
        if self.listener is not None:
            self.listener.close()
        await self.lifespan.step("shutdown")
        await self.stop_listening()

    async def stop_listening(self) -> None:
        """Ends every connection, without a word to the app's lifespan."""
        if self.listener is not None:
            self.listener.close()
        for task in list(self.connections):
            task.cancel()
        await asyncio.gather(*self.connections, return_exceptions=True)


@asynccontextmanager
async def hosted(app: App) -> AsyncIterator[Host]:
    host = Host(app)
    await host.start()
    try:
        yield host
    finally:
        await host.stop()
