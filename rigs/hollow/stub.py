"""The plain ends of a measured call: `python -m rigs.hollow.stub server IP BEATS...` or `relay FROM TO`.

The server answers every request at once, with its X-Request-Id, and says its beats to its sidecar. The relay
passes bytes on, a connection for a connection: what two hops cost at least in this language.
"""

from __future__ import annotations

import asyncio
import json
import sys
from typing import cast

import uvloop

from rigs.hollow.channel import listen
from rigs.hollow.meter import Meter
from rigs.hollow.site import PORTS

LONGEST = 600.0  # seconds after which the process ends, whatever its measurer does
BEAT = 0.5  # seconds
END = b"\r\n\r\n"
IDENT = b"x-request-id:"


class Answering(asyncio.Protocol):
    """A connection of the stub server: requests without bodies."""

    def __init__(self) -> None:
        self.rest = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        self.rest += data
        while (at := self.rest.find(END)) >= 0:
            head, self.rest = self.rest[:at], self.rest[at + len(END) :]
            lines = head.split(b"\r\n")
            ident = next((line for line in lines if line.lower().startswith(IDENT)), b"X-Request-Id: none")
            self.transport.write(
                b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Server-Seal: 1\r\n" + ident + END + b"ok"
            )


class Pipe(asyncio.Protocol):
    """One end of a relayed connection."""

    def __init__(self, target: tuple[str, int] | None) -> None:
        self.target = target
        self.other: Pipe | None = None
        self.waiting: list[bytes] = []
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        if self.target is not None:
            self.opening = asyncio.get_running_loop().create_task(self._open(self.target))

    async def _open(self, target: tuple[str, int]) -> None:
        other = Pipe(None)
        await asyncio.get_running_loop().create_connection(lambda: other, *target)
        self.other, other.other = other, self
        for data in self.waiting:
            other.pass_on(data)

    def data_received(self, data: bytes) -> None:
        if self.other is not None:
            self.other.pass_on(data)
        else:
            self.waiting.append(data)

    def pass_on(self, data: bytes) -> None:
        if self.transport is not None:
            self.transport.write(data)

    def connection_lost(self, err: Exception | None) -> None:
        self.transport = None
        if self.other is not None and self.other.transport is not None:
            self.other.transport.close()


class Quiet(asyncio.Protocol):
    """What is answered to a beat is not looked at."""


async def _beats(ip: str, service: str) -> None:
    """Says every half second that the server at `ip` is up."""
    number = 0
    while True:
        number += 1
        body = json.dumps(
            {
                "Addr": f"{ip}:{PORTS['server']}",
                "Summary": {"Svc": service, "Ver": "1", "Az": "zone-0", "Cap": 64},
                "Stat": {"State": "up", "Seq": number},
            }
        ).encode()
        path = f"/Instances.Heartbeat/{service}-1"
        head = f"POST {path} HTTP/1.1\r\nHost: ctl\r\nContent-Length: {len(body)}\r\n\r\n"
        try:
            transport, _ = await asyncio.get_running_loop().create_connection(Quiet, ip, PORTS["ctl"])
            transport.write(head.encode() + body)
            await asyncio.sleep(BEAT)
            transport.close()
        except OSError:
            await asyncio.sleep(0.05)


async def _serve(words: list[str]) -> None:
    meter = Meter()
    listen(lambda request: meter.usage())
    loop = asyncio.get_running_loop()
    tasks = []
    if words[0] == "server":
        for place in words[1:]:
            ip, service = place.split("=")
            await loop.create_server(Answering, ip, PORTS["server"])
            tasks.append(loop.create_task(_beats(ip, service)))
    else:
        (ip, port), target = (word.split(":") for word in words[1:])
        await loop.create_server(lambda: Pipe((target[0], int(target[1]))), ip, int(port))
    await asyncio.sleep(LONGEST)


if __name__ == "__main__":
    uvloop.run(_serve(sys.argv[1].split(",")))
