"""Discovery: the list of servers and its watch."""

from __future__ import annotations

import asyncio
import ipaddress
import json
import math
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, cast

import httptools

MOST_LINE = 8 * 1024 * 1024
STATES = ("up", "draining", "removed")
SILENCE = 3.5  # seconds after which a watch is dead: an empty line is due every 2 s
CALL_TIMEOUT = 5.0  # a call for the list takes no longer
HEAD_TIMEOUT = 2.0  # nor do a connection to discovery and the head of an answer where lists are pushed


class DiscoveryError(Exception):
    """An answer that can't be used; the text says why."""


@dataclass(frozen=True, slots=True)
class Host:
    name: str
    address: str
    port: int
    zone: str
    kind: str
    cell: int
    state: str
    weight: float
    born_ms: int


@dataclass(frozen=True, slots=True)
class Listing:
    seq: int
    whole: bool
    hosts: tuple[Host, ...]


def parse_address(text: object) -> tuple[str, int]:
    if not isinstance(text, str):
        raise DiscoveryError("an address is no text")
    host, colon, port = text.rpartition(":")
    if not colon or not host or not port.isdecimal() or not 0 < int(port) < 65536:
        raise DiscoveryError(f"bad address {text[:60]!r}")
    try:  # danger: a name would be looked up, and there is no DNS
        return str(ipaddress.ip_address(host.strip("[]"))), int(port)
    except ValueError:
        raise DiscoveryError(f"bad address {text[:60]!r}") from None


def _whole(row: dict[str, Any], name: str, default: int | None) -> int:
    value = row.get(name, default)
    if isinstance(value, bool) or not isinstance(value, int) or value < 0:
        raise DiscoveryError(f"{name} is not a whole number")
    return value


def _host(row: object) -> Host:
    if not isinstance(row, dict) or not isinstance(row.get("host"), str):
        raise DiscoveryError("an entry names no host")
    state, weight = row.get("health", "up"), row.get("share", 1.0)
    if state not in STATES:
        raise DiscoveryError(f"health {state!r} is unknown")
    if isinstance(weight, bool) or not isinstance(weight, (int, float)) or not 0 <= weight < math.inf:
        raise DiscoveryError("share is not a number")
    address, port = ("", 0) if state == "removed" else parse_address(row.get("dial"))
    return Host(row["host"], address, port, str(row.get("site", "")), str(row.get("class", "")),
                _whole(row, "block", 0), state, float(weight), _whole(row, "born_ms", 0))


def parse_listing(value: object) -> Listing:
    """A list or a change of it, from decoded JSON. It is taken whole or not at all."""
    if not isinstance(value, dict) or not isinstance(value.get("hosts"), list):
        raise DiscoveryError("no list of hosts")
    return Listing(_whole(value, "seq", None), value.get("whole") is True,
                   tuple(_host(row) for row in value["hosts"]))


def decode(text: bytes) -> Listing:
    try:
        return parse_listing(json.loads(text))
    except (ValueError, RecursionError) as err:
        raise DiscoveryError(f"not JSON ({err})") from None


class Call(asyncio.Protocol):
    """One GET to discovery: a whole answer, or a watch that gives a line at a time."""

    def __init__(self, target: str, authority: str, on_line: Callable[[bytes], None] | None) -> None:
        self.request = f"GET {target} HTTP/1.1\r\nHost: {authority}\r\n\r\n".encode()
        self.on_line = on_line
        self.parser = httptools.HttpResponseParser(self)
        self.buffer = bytearray()
        self.heard = asyncio.get_running_loop().time()
        self.headed: asyncio.Future[int] = asyncio.get_running_loop().create_future()
        self.ended: asyncio.Future[bytes] = asyncio.get_running_loop().create_future()
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.transport.write(self.request)

    def data_received(self, data: bytes) -> None:
        self.heard = asyncio.get_running_loop().time()
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError as err:
            cause = err.__context__ or err
            self._fail(cause if isinstance(cause, DiscoveryError) else DiscoveryError(f"bad answer: {err}"))

    def on_headers_complete(self) -> None:
        if not self.headed.done():
            self.headed.set_result(self.parser.get_status_code())

    def on_body(self, part: bytes) -> None:
        self.buffer += part
        if len(self.buffer) > MOST_LINE:
            raise DiscoveryError("the list is too long")
        if self.on_line is None or self.parser.get_status_code() != 200:
            return
        *lines, rest = self.buffer.split(b"\n")
        self.buffer = rest
        for line in lines:
            if line.strip():
                self.on_line(bytes(line))

    def on_message_complete(self) -> None:
        if not self.ended.done():
            self.ended.set_result(bytes(self.buffer))

    def connection_lost(self, exc: Exception | None) -> None:
        self._fail(DiscoveryError(f"the connection ended ({exc or 'closed'})"))

    def _fail(self, err: DiscoveryError) -> None:
        for future in (self.headed, self.ended):
            if not future.done():
                future.set_exception(err)
                future.exception()  # read here: nobody may be waiting for it any more
        if self.transport is not None:
            self.transport.abort()


class Client:
    """Calls discovery at one address."""

    def __init__(self, address: str, head_timeout: float = HEAD_TIMEOUT) -> None:
        self.authority, self.head_timeout = address, head_timeout
        self.host, self.port = parse_address(address)

    async def _open(self, target: str, on_line: Callable[[bytes], None] | None) -> Call:
        loop = asyncio.get_running_loop()
        call: Call | None = None
        try:
            async with asyncio.timeout(self.head_timeout):
                _, call = await loop.create_connection(
                    lambda: Call(target, self.authority, on_line), self.host, self.port)
                status = await call.headed
        except (OSError, TimeoutError) as err:
            if call is not None:
                call._fail(DiscoveryError("no answer"))
            raise DiscoveryError(f"no answer ({type(err).__name__})") from None
        if status != 200:
            call._fail(DiscoveryError(f"answered {status}"))
            raise DiscoveryError(f"answered {status}")
        return call

    async def fetch(self) -> Listing:
        """The whole list."""
        call = await self._open("/v1/endpoints", None)
        try:
            async with asyncio.timeout(CALL_TIMEOUT):
                return decode(await call.ended)
        except TimeoutError:
            raise DiscoveryError("no answer (TimeoutError)") from None
        finally:
            call._fail(DiscoveryError("done"))

    async def watch(self, after: int, on_listing: Callable[[Listing], None]) -> None:
        """Gives each change to `on_listing` until the watch ends.

        Danger: a connection that has fallen silent tells of no drain, and nothing else ends it.
        """
        call = await self._open(f"/v1/endpoints?watch=1&after={after}", lambda line: on_listing(decode(line)))
        loop = asyncio.get_running_loop()
        try:
            while not call.ended.done():
                if (left := call.heard + SILENCE - loop.time()) <= 0:
                    raise DiscoveryError("the watch fell silent")
                await asyncio.wait([call.ended], timeout=left)
            await call.ended
        finally:
            call._fail(DiscoveryError("done"))
