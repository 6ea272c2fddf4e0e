"""Load on a real node by a scenario's crowd: open loop, by scheduled times, each answer checked.

A request's time counts from when it was due, not from when it could be sent (no coordinated omission).
"""

from __future__ import annotations

import asyncio
import ipaddress
from collections import Counter, deque
from collections.abc import Sequence
from typing import cast
from urllib.parse import urlsplit

import httptools
from hdrh.histogram import HdrHistogram

from minthitch.config import ConfigError
from minthitch.interface import SECOND, Effect, RequestClass
from minthitch.lab.scenario import Scenario
from minthitch.lab.streams import Streams, edges
from minthitch.lab.tally import DIGITS, LONGEST

MOST_OUT = 2_000  # requests out at once: one over it is counted as not sent
MOST_REQUESTS = 1_000_000
MOST_RATE = 20_000.0
LATE_SLACK = 0.25  # seconds over its deadline at which an answer is called late
BEYOND = 2.0  # seconds that an answer is waited for over its deadline
WORDS = {200: "served", 503: "refused", 429: "refused"}


def target(url: str, allowed: Sequence[str]) -> tuple[str, int]:
    """Address and port. Raises ConfigError for what is neither loopback nor named by the operator."""
    try:
        parts = urlsplit(url)
        host, port = parts.hostname or "", parts.port
    except ValueError:
        host, port, parts = "", None, urlsplit("")
    if parts.scheme != "http" or not host or not port:
        raise ConfigError(f"{url!r} is not http://ADDRESS:PORT")
    try:
        address = ipaddress.ip_address(host)
    except ValueError:
        raise ConfigError(f"{url!r}: {host!r} is no IP address; names are not looked up") from None
    if not address.is_loopback and host not in allowed:
        raise ConfigError(f"{url!r}: {host} is not loopback; name it with --allow-host to load it")
    return host, port


class Heard:
    """What a load came to."""

    def __init__(self, classes: Sequence[RequestClass]) -> None:
        self.classes = classes
        self.words: Counter[str] = Counter()
        self.wrong: list[str] = []  # answers that no request can have
        self.histograms = [HdrHistogram(1, LONGEST, DIGITS) for _ in classes]  # us from when it was due
        self.in_aim = 0
        self.sent = 0

    def lines(self) -> list[str]:
        counts = ", ".join(f"{word} {count}" for word, count in sorted(self.words.items()))
        made = [f"{self.sent} sent: {counts}; {self.in_aim} within their aims"]
        for spec, histogram in zip(self.classes, self.histograms, strict=True):
            if histogram.get_total_count():
                figures = ((q, histogram.get_value_at_percentile(q) / 1e3) for q in (50, 95, 99, 99.9))
                made.append(f"{spec.name}: " + ", ".join(f"p{q:g} {ms:.1f} ms" for q, ms in figures))
        return made + [f"wrong: {line}" for line in self.wrong[:20]]


class _Connection(asyncio.Protocol):
    """One request at a time; its answer as status, X-Correlation-Id and body."""

    def __init__(self) -> None:
        self.waiter: asyncio.Future[tuple[int, bytes]] | None = None
        self.transport: asyncio.Transport | None = None
        self._begin()

    def _begin(self) -> None:
        self.parser = httptools.HttpResponseParser(self)
        self.body = bytearray()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)  # uvloop's are none by their class

    def on_body(self, data: bytes) -> None:
        self.body += data

    def on_message_complete(self) -> None:
        if self.waiter is not None and not self.waiter.done():
            self.waiter.set_result((self.parser.get_status_code(), bytes(self.body)))

    def data_received(self, data: bytes) -> None:
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError as err:
            self.connection_lost(ConnectionError(str(err)))

    def connection_lost(self, exc: Exception | None) -> None:
        if self.waiter is not None and not self.waiter.done():
            self.waiter.set_exception(exc or ConnectionError("closed"))
        self.transport = None

    async def ask(self, data: bytes) -> tuple[int, bytes]:
        assert self.transport is not None
        self._begin()
        self.waiter = asyncio.get_running_loop().create_future()
        self.transport.write(data)
        return await self.waiter


class _Driver:
    def __init__(self, where: tuple[str, int], scenario: Scenario, seed: int) -> None:
        self.where, self.load = where, scenario.load
        self.classes = scenario.settings().classes
        self.heard = Heard(self.classes)
        self.idle: deque[_Connection] = deque()
        self.out = 0
        streams = Streams(seed)
        self.arrivals, self.kinds = streams("arrivals"), streams("classes")
        names = [spec.name for spec in self.classes]
        rows = [(names.index(row.name), row.share) for row in self.load.mix] or [
            (i, 1.0) for i in range(len(names))
        ]
        self.rows, self.edges = [cls for cls, _ in rows], edges([share for _, share in rows])

    def _data(self, number: int, spec: RequestClass) -> bytes:
        method = "GET" if spec.effect is Effect.SAFE else "POST"
        key = f"Idempotency-Key: lab-{number}\r\n" if spec.effect is Effect.KEYED else ""
        body = b"" if spec.effect is Effect.SAFE else b"lab-%d" % number
        length = f"Content-Length: {len(body)}\r\n" if body else ""
        return (
            f"{method} /api?lab={number} HTTP/1.1\r\nHost: lab\r\nX-Correlation-Id: lab-{number}\r\n"
            f"X-Service-Class: {spec.name}\r\nX-Time-Left: {spec.deadline / 1e6:.0f}m\r\n"
            f"{key}{length}\r\n"
        ).encode() + body

    async def one(self, number: int, cls: int, due: float) -> None:
        loop, spec = asyncio.get_running_loop(), self.classes[cls]
        deadline = spec.deadline / SECOND
        connection: _Connection | None = None
        try:
            async with asyncio.timeout_at(due + deadline + BEYOND):
                while self.idle and connection is None:
                    kept = self.idle.pop()
                    connection = kept if kept.transport is not None else None
                if connection is None:
                    _, connection = await loop.create_connection(_Connection, *self.where)
                status, body = await connection.ask(self._data(number, spec))
            self._judge(number, cls, loop.time() - due, status, body)
            self.idle.append(connection)
            connection = None
        except TimeoutError:
            self.heard.words["nothing"] += 1
            self.heard.wrong.append(f"request {number} had no answer {BEYOND} s behind its deadline")
        except OSError:
            self.heard.words["lost"] += 1
        finally:
            self.out -= 1
            if connection is not None and connection.transport is not None:
                connection.transport.close()  # what still comes on it is nobody's answer

    def _judge(self, number: int, cls: int, took: float, status: int, body: bytes) -> None:
        word = WORDS.get(status, "failed")
        self.heard.words[word] += 1
        spec = self.classes[cls]
        if word == "served":
            self.heard.histograms[cls].record_value(max(int(took * 1e6), 1))
            self.heard.in_aim += took <= spec.aim / SECOND
            if b"lab-" in body and b"lab-%d" % number not in body:
                self.heard.wrong.append(f"request {number} got another's answer: {body[:60]!r}")
        if took > spec.deadline / SECOND + LATE_SLACK:
            self.heard.wrong.append(f"request {number} was {word} {took:.3f} s behind its due time")

    async def drive(self, seconds: float) -> Heard:
        loop = asyncio.get_running_loop()
        began, due, number = loop.time(), 0.0, 0
        tasks: set[asyncio.Task[None]] = set()
        while number < MOST_REQUESTS:
            due += self.arrivals.exponential() / self.load.rate
            if due >= seconds:
                break
            await asyncio.sleep(began + due - loop.time())
            number += 1
            cls = self.rows[self.kinds.pick(self.edges)]
            if self.out >= MOST_OUT:  # danger: a stuck node would take this process's descriptors
                self.heard.words["not sent"] += 1
                continue
            self.out += 1
            self.heard.sent += 1
            task = asyncio.ensure_future(self.one(number, cls, began + due))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
        await asyncio.gather(*tasks)
        for connection in self.idle:
            if connection.transport is not None:
                connection.transport.close()
        return self.heard


async def drive(url: str, scenario: Scenario, seed: int, allowed: Sequence[str] = ()) -> Heard:
    """Loads the node for the scenario's seconds at its rate. Raises ConfigError."""
    where = target(url, allowed)
    if scenario.load.rate > MOST_RATE:
        raise ConfigError(f"load.rate = {scenario.load.rate} is over {MOST_RATE:.0f}, the most on sockets")
    return await _Driver(where, scenario, seed).drive(scenario.seconds)
