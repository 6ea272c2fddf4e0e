"""Stand-in application servers: what the mesh expects of one, and a count of what each ran."""

from __future__ import annotations

import asyncio
import json
import random
import zlib
from collections import Counter
from typing import NamedTuple, cast

import httptools

from rigs.mesh_demo.wire import Answer, Door, request

HEALTH = "/well"
QUEUE = 6  # requests that wait for a slot; a further one is turned away
WORK = 0.004, 0.03  # seconds that a run takes
SLOW = 3.0  # times as long while it is cold
COLD = 1.0  # seconds from its start
BEAT = 0.5  # seconds between two beats
ACK = 1.0  # seconds within which a beat is acknowledged
HOST = "maps.demo"  # of the calls that a run makes itself
REASONS = {200: "OK", 400: "Bad", 421: "Misdirected", 500: "Error", 503: "Unavailable", 504: "Late"}


class Asked(NamedTuple):
    """A request as it came; names of fields in lower case."""

    method: bytes
    target: bytes
    fields: dict[bytes, bytes]
    body: bytes


class Guest(asyncio.Protocol):
    """One connection to a server, from any sidecar."""

    def __init__(self, server: Server) -> None:
        self.server = server
        self.parser = httptools.HttpRequestParser(self)
        self.transport: asyncio.Transport | None = None
        self.task: asyncio.Task[None] | None = None
        self.target, self.fields, self.parts = b"", dict[bytes, bytes](), list[bytes]()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.server.guests.add(self)

    def connection_lost(self, err: Exception | None) -> None:
        self.transport = None
        self.server.guests.discard(self)
        if self.task is not None:
            self.task.cancel()  # as most servers do

    def data_received(self, data: bytes) -> None:
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            if self.transport is not None:
                self.transport.abort()

    def on_url(self, part: bytes) -> None:
        self.target += part

    def on_header(self, name: bytes, value: bytes) -> None:
        self.fields[name.lower()] = value

    def on_body(self, part: bytes) -> None:
        self.parts.append(part)

    def on_message_complete(self) -> None:
        asked = Asked(self.parser.get_method(), self.target, self.fields, b"".join(self.parts))
        self.target, self.fields, self.parts = b"", {}, []
        self.task = asyncio.get_running_loop().create_task(self._answer(asked))

    async def _answer(self, asked: Asked) -> None:
        status, fields, body = await self.server.handle(asked)
        fields[b"X-Request-Id"] = asked.fields.get(b"x-request-id", b"")
        head = b"HTTP/1.1 %d %b\r\nContent-Length: %d\r\n" % (status, REASONS[status].encode(), len(body))
        head += b"".join(b"%b: %b\r\n" % field for field in fields.items())
        if self.transport is not None:
            self.transport.write(head + b"\r\n" + body)


class Server:
    """One life of a server at `ip`:`port`, beside the sidecar whose `Out` and `Ctl` it calls."""

    def __init__(
        self, service: str, number: int, zone: str, ip: str, ports: dict[str, int], slots: int
    ) -> None:
        self.life, self.service, self.zone, self.ip = f"{service}-{number}", service, zone, ip
        self.slots = slots
        self.port = ports["server"]
        self.out, self.ctl = Door(ip, ports["out"]), Door(ip, ports["ctl"])
        self.free = asyncio.Semaphore(slots)
        self.queued = self.ran = self.turned_away = self.nested = self.seq = 0
        self.strangers = 0  # runs without the name of their caller's service
        self.keys: Counter[bytes] = Counter()
        self.guests: set[Guest] = set()
        self.random = random.Random(self.life)
        self.beating: asyncio.Task[None] | None = None
        self.listener: asyncio.Server | None = None
        self.warm_at = 0.0

    async def start(self) -> None:
        loop = asyncio.get_running_loop()
        self.warm_at = loop.time() + COLD
        self.listener = await loop.create_server(lambda: Guest(self), self.ip, self.port)
        self.beating = loop.create_task(self._beat())

    async def stop(self) -> None:
        if self.beating is not None:
            self.beating.cancel()
        if self.listener is not None:
            self.listener.close()
        for guest in list(self.guests):
            if guest.transport is not None:
                guest.transport.abort()
        self.out.close()
        self.ctl.close()

    # Its heartbeats ------------------------------------------------------------------------------------

    async def _beat(self) -> None:
        while True:
            await self.tell("up")
            await asyncio.sleep(BEAT * self.random.uniform(0.9, 1.1))

    async def tell(self, state: str) -> bool:
        """One heartbeat. Gives whether it was acknowledged."""
        return await self._call(f"/Instances.Heartbeat/{self.life}", self.heartbeat(state))

    def heartbeat(self, state: str) -> bytes:
        """The body of the next heartbeat."""
        self.seq += 1
        cold = max(self.warm_at - asyncio.get_running_loop().time(), 0.0)
        body = {
            "Addr": f"{self.ip}:{self.port}",
            "Summary": {"Svc": self.service, "Ver": "demo", "Az": self.zone, "Cap": self.slots},
            "Stat": {"State": state, "Seq": self.seq, "ColdS": cold},
        }
        return json.dumps(body).encode()

    async def _call(self, path: str, body: bytes) -> bool:
        fields = {"Host": "ctl", "Content-Type": "application/json"}
        try:
            answer = await self.ctl.ask(request("POST", path, fields, body), ACK)
        except OSError:
            return False
        return 200 <= answer.status < 300 and len(answer.body) <= 4096

    async def leave(self, drain: float) -> None:
        """The planned end: no new work, what is open, farewell."""
        if self.beating is not None:
            self.beating.cancel()
        await self.tell("draining")
        await asyncio.sleep(drain)
        await self._call(f"/Instances.Deregister/{self.life}", b"{}")

    # Its work -------------------------------------------------------------------------------------

    async def handle(self, asked: Asked) -> tuple[int, dict[bytes, bytes], bytes]:
        if asked.method == b"GET" and asked.target == HEALTH.encode():
            async with self.free:
                return 200, {b"X-Instance-Id": self.life.encode()}, b""
        if asked.fields.get(b"x-target-instance", self.life.encode()) != self.life.encode():
            return self._away(421)
        if b"x-request-id" not in asked.fields:
            return self._away(400)
        if self.queued >= QUEUE:
            return self._away(503)
        loop = asyncio.get_running_loop()
        until = loop.time() + float(asked.fields.get(b"x-deadline-ms", b"5000")) / 1000
        if not await self._slot(until):
            return self._away(503)
        try:
            async with asyncio.timeout_at(until):
                return await self._run(asked, until)
        except TimeoutError:
            return 504, {}, b""
        finally:
            self.free.release()

    def _away(self, status: int) -> tuple[int, dict[bytes, bytes], bytes]:
        self.turned_away += 1
        return status, {b"X-Not-Executed": b"1"}, b""

    async def _slot(self, until: float) -> bool:
        self.queued += 1
        try:
            async with asyncio.timeout_at(until):
                await self.free.acquire()
        except TimeoutError:
            return False
        finally:
            self.queued -= 1
        return True

    async def _run(self, asked: Asked, until: float) -> tuple[int, dict[bytes, bytes], bytes]:
        loop = asyncio.get_running_loop()
        self.ran += 1
        self.strangers += not asked.fields.get(b"x-caller-service")
        key = asked.fields.get(b"x-idempotency-key")
        if key is not None:
            self.keys[key] += 1
        await asyncio.sleep(self.random.uniform(*WORK) * (SLOW if loop.time() < self.warm_at else 1.0))
        if asked.target.startswith(b"/trips/"):
            found = await self._call_maps(asked, until - loop.time())
            if found is None or found.status != 200:
                return 500, {}, b""
        seal = f"{self.life}.{self.ran}.{zlib.crc32(asked.body):08x}"
        return (
            200,
            {b"X-Server-Seal": seal.encode()},
            b"%b %d bytes by %b" % (asked.target, len(asked.body), self.life.encode()),
        )

    async def _call_maps(self, asked: Asked, left: float) -> Answer | None:
        """A call of its own through the sidecar beside it, which ends with its parent."""
        self.nested += 1
        fields = {
            "Host": HOST,
            "X-Request-Id": f"{self.life}-{self.nested}",
            "X-Deadline-Ms": str(int(left * 1000)),
        }
        try:
            return await self.out.ask(request("GET", "/tiles/nested", fields), left)
        except OSError:
            return None
