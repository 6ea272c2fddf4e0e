"""A small, read-only HTTP/1.1 listener that serves a node's state to operators as JSON.

One request per connection. This module bounds size, time and number; the contents are up to the pages.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable, Mapping
from http import HTTPStatus
from urllib.parse import unquote, urlsplit

import httptools

from minthitch.config import ConfigError

Page = Callable[[str], Awaitable[tuple[int, object]]]  # rest of the path -> status, JSON value
MAX_CONNECTIONS = 16
MAX_HEAD_BYTES = 8 * 1024
READ_TIMEOUT_S = 5.0  # for a complete head
ANSWER_TIMEOUT_S = 10.0  # for a page


class _Head:
    """Collects the parser's events for a request head."""

    def __init__(self) -> None:
        self.target, self.complete = b"", False

    def on_url(self, part: bytes) -> None:
        self.target += part

    def on_headers_complete(self) -> None:
        self.complete = True


class Listener:
    """Serves `pages`; the first segment of a path selects the page."""

    def __init__(self, pages: Mapping[str, Page], log: Callable[[str], None]) -> None:
        self.pages, self.log = dict(pages), log
        self.server: asyncio.Server | None = None
        self.connections = 0
        self.tasks: set[asyncio.Task[None]] = set()

    async def start(self, host: str, port: int) -> None:
        """Raises OSError."""
        self.server = await asyncio.start_server(self._serve, host, port, limit=MAX_HEAD_BYTES)

    @property
    def port(self) -> int:
        assert self.server is not None
        return int(self.server.sockets[0].getsockname()[1])

    async def close(self) -> None:
        if self.server is not None:
            self.server.close()
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self.tasks.add(task)
        self.connections += 1
        try:
            # A looping script must not use up the file descriptors needed for callers.
            full = self.connections > MAX_CONNECTIONS
            status, body = (
                (503, {"error": "too many connections"}) if full else await self._read_request(reader)
            )
            self._answer(writer, status, body)
            await writer.drain()
        except (OSError, asyncio.IncompleteReadError, TimeoutError):
            pass  # the client left or sent nothing
        finally:
            self.connections -= 1
            self.tasks.discard(task)
            writer.close()

    async def _read_request(self, reader: asyncio.StreamReader) -> tuple[int, object]:
        try:
            async with asyncio.timeout(READ_TIMEOUT_S):
                data = await reader.readuntil(b"\r\n\r\n")
        except asyncio.LimitOverrunError:
            return 431, {"error": f"a head of over {MAX_HEAD_BYTES} bytes"}
        head = _Head()
        parser = httptools.HttpRequestParser(head)
        try:
            parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            return 400, {"error": "not a request"}
        if not head.complete or not head.target.startswith(b"/"):
            return 400, {"error": "not a request"}
        if parser.get_method() != b"GET":
            return 405, {"error": "only GET"}
        return await self._call_page(urlsplit(head.target.decode("latin-1")).path)

    async def _call_page(self, path: str) -> tuple[int, object]:
        name, _, rest = path.lstrip("/").partition("/")
        page = self.pages.get(name)
        if page is None:
            return 404, {"error": f"no page {name!r}; there are {', '.join(sorted(self.pages)) or 'none'}"}
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                return await page(unquote(rest))
        except TimeoutError:
            return 504, {"error": f"no answer within {ANSWER_TIMEOUT_S:.0f} s"}
        except Exception as err:  # a fault in a page must not stop the node
            self.log(f"operators' page {name}: {type(err).__name__}: {err}")
            return 500, {"error": "the page failed; the log has it"}

    @staticmethod
    def _answer(writer: asyncio.StreamWriter, status: int, body: object) -> None:
        data = json.dumps(body, indent=2).encode() + b"\n"
        writer.write(
            (
                f"HTTP/1.1 {status} {HTTPStatus(status).phrase}\r\nContent-Type: application/json\r\n"
                f"Content-Length: {len(data)}\r\nConnection: close\r\n"
                "Cache-Control: no-store\r\n\r\n"
            ).encode()
            + data
        )


async def open_listener(
    where: tuple[str, int], pages: Mapping[str, Page], log: Callable[[str], None]
) -> Listener:
    """Returns a started listener. Raises ConfigError if the address can't be bound."""
    listener = Listener(pages, log)
    try:
        await listener.start(*where)
    except OSError as err:
        raise ConfigError(f"operators.listen = {where[0]}:{where[1]}: {err.strerror or err}") from None
    log(f"operators' pages at {where[0]}:{listener.port}: {', '.join(sorted(pages)) or 'none'}")
    return listener
