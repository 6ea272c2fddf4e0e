"""A node's day by hand of its staff: `python -m bench.operation [--quick]`.

Real processes on loopback. Replacing: one process after another under load, over kept and new connections:
every request that met a refused, reset or unread connection counts. Emptying: how clients leave, and that no
request is lost by it. Long bodies: many at once, taken slowly, beside the memory that the node may have.
Figures: what the node tells beside what servers and clients counted.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import re
import signal
import sys
import tempfile
import time
from collections import Counter
from contextlib import suppress
from pathlib import Path
from typing import Any

import uvloop

from rigs.caller import Caller, call
from rigs.process import ROOT, free_port
from rigs.servers import PATIENCE, Seen, Server, address_of, reply
from rigs.settings import SETTINGS

PACE = 0.004  # seconds between two requests of the steady load
ANSWER_MB = 8
MEMORY_MB = 80  # what the node with long bodies is told, and held against
KEPT = 24  # connections that clients keep
READY = b"GET /ready HTTP/1.1\r\nConnection: close\r\n\r\n"


class Process:
    """A node at `port`, with a desk for its staff."""

    def __init__(self, port: int, folder: str, servers: list[str], memory_mb: int = 192) -> None:
        self.port, self.folder, self.desk = port, folder, free_port()
        self.calls = 0  # attempts to servers, as it told last
        self.table = {
            "name": f"n{self.desk}",
            "listen": f"127.0.0.1:{port}",
            "servers": servers,
            "admin": f"127.0.0.1:{self.desk}",
            "limits": {"memory_mb": memory_mb},
            "settings": SETTINGS,
        }

    async def start(self) -> None:
        """Waits until its staff hear that it is ready."""
        path = Path(self.folder) / f"{self.desk}.json"
        path.write_text(json.dumps(self.table))
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "minthitch",
            cwd=ROOT,
            stderr=asyncio.subprocess.DEVNULL,
            env={**os.environ, "BALANCER_CONFIG": str(path), "TMPDIR": self.folder},
        )
        async with asyncio.timeout(PATIENCE):
            while not (await self.ask("ready")).startswith("done"):
                await asyncio.sleep(0.02)

    async def ask(self, line: str) -> str:
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.desk)
        except OSError:
            return ""
        writer.write(line.encode() + b"\n")
        text = (await reader.read()).decode()
        writer.close()
        return text

    async def figures(self) -> dict[str, int]:
        text = await self.ask("show-stat")
        return {m[1]: int(m[2]) for m in re.finditer(r"(?m)^edge_balancer_(\S+) (\d+)$", text)}

    def peak_mb(self) -> float:
        status = Path(f"/proc/{self.process.pid}/status").read_text()
        return int(re.search(r"VmHWM:\s+(\d+)", status)[1]) / 1024  # type: ignore[index]

    async def end(self) -> int:
        with suppress(ProcessLookupError):
            self.process.send_signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(PATIENCE):
                return await self.process.wait()
        except TimeoutError:
            self.process.kill()
            return -1


class Clients:
    """Steady load: kept connections by turns, a new one for every fourth request, as HTTP asks of clients."""

    def __init__(self, port: int) -> None:
        self.port = port
        self.idle: list[Caller] = []
        self.heard: Counter[str] = Counter()
        self.tasks: set[asyncio.Task[None]] = set()

    async def run(self, stop: asyncio.Event) -> None:
        number = 0
        while not stop.is_set():
            number += 1
            task = asyncio.create_task(self._one(number % 4 == 0))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
            await asyncio.sleep(PACE)
        await asyncio.gather(*self.tasks)

    async def _one(self, new: bool) -> None:
        caller: Caller | None = None
        if not new and self.idle:
            caller = self.idle.pop(0)
            if caller.reader.at_eof():  # closed in order, as it was idle
                caller = None
        try:
            caller = caller or Caller(*await asyncio.open_connection("127.0.0.1", self.port))
            status, head, _ = await caller.ask(call("unsafe", b"x", left="5000m"))
        except (OSError, asyncio.IncompleteReadError, TimeoutError) as err:
            self.heard[f"door: {type(err).__name__}"] += 1
            return
        self.heard[str(status)] += 1
        if b"connection: close" not in head.lower() and len(self.idle) < KEPT:
            self.idle.append(caller)
        else:
            caller.writer.close()

    @property
    def at_the_door(self) -> int:
        return sum(count for word, count in self.heard.items() if word.startswith("door"))


async def _steady(seen: Seen) -> bytes:
    await asyncio.sleep(0.03)
    return reply(200, b"done")


async def replacing(folder: str, times: int) -> list[str]:
    """One process after another, and the last one's figures beside what its peers counted."""
    servers = [Server(_steady) for _ in range(4)]
    listeners = [await asyncio.start_server(server, "127.0.0.1", 0) for server in servers]
    addresses, port = [address_of(listener) for listener in listeners], free_port()
    now = Process(port, folder, addresses)
    await now.start()
    clients, stop = Clients(port), asyncio.Event()
    load = asyncio.create_task(clients.run(stop))
    short, codes, calls = [], [], 0
    for _ in range(times):
        await asyncio.sleep(1.0)
        new = Process(port, folder, addresses)
        await new.start()
        old, now = now, new
        ending = asyncio.create_task(old.end())
        while not ending.done():  # its figures up to its end, as far as they can be had
            old.calls = max(old.calls, (await old.figures()).get("backend_calls", 0))
            await asyncio.sleep(0.02)
        calls += old.calls
        codes.append(await ending)
    stop.set()
    await load
    figures = await now.figures()
    calls += figures["backend_calls"]
    seen = sum(len(server.seen) for server in servers)
    total = sum(clients.heard.values())
    print(f"replacing: {times} times under load, {total} requests, {dict(clients.heard)}, exit codes {codes}")
    print(
        f"figures: {calls} attempts told by all processes, {seen} seen by servers, "
        f"inflight {figures['inflight']}"
    )
    if clients.at_the_door > 2 * times:
        short.append(f"{clients.at_the_door} requests met a closed door in {times} replacements")
    if clients.heard["200"] < 0.98 * total:
        short.append(f"only {clients.heard['200']} of {total} served while replacing")
    if any(codes):
        short.append(f"exit codes {codes}")
    if abs(calls - seen) > max(3, 0.02 * seen) or figures["inflight"]:
        short.append("the figures are not what the peers counted")
    await now.end()
    for listener in listeners:
        listener.close()
    return short


async def emptying(folder: str) -> list[str]:
    """A node is emptied under load and taken back."""
    server = Server(_steady)
    listener = await asyncio.start_server(server, "127.0.0.1", 0)
    node = Process(free_port(), folder, [address_of(listener)])
    await node.start()
    clients, stop = Clients(node.port), asyncio.Event()
    load = asyncio.create_task(clients.run(stop))
    await asyncio.sleep(1.0)
    stop.set()  # the front sends nobody any more; the kept connections stay
    await load
    kept = len(clients.idle)
    began = time.monotonic()
    said = await node.ask("drain")
    no = (await Caller(*await asyncio.open_connection("127.0.0.1", node.port)).ask(READY))[0]
    served = (await clients.idle.pop().ask(call("unsafe")))[0]  # one that comes all the same
    async with asyncio.timeout(PATIENCE):
        await asyncio.gather(*(caller.reader.read() for caller in clients.idle))
    empty = time.monotonic() - began
    back = await node.ask("resume")
    yes = (await Caller(*await asyncio.open_connection("127.0.0.1", node.port)).ask(READY))[0]
    print(
        f"emptying: {kept} kept connections, {clients.at_the_door} requests lost, /ready {no} then {yes}, "
        f"a late request {served}, all gone within the 4 s allowed: {empty < 4.0}"
    )
    await node.end()
    listener.close()
    good = said.startswith("done") and back.startswith("done") and (no, served, yes) == (503, 200, 200)
    good = good and empty < 4.0 and not clients.at_the_door
    return [] if good else ["a node was not emptied as it should be"]


async def _taken(port: int, slowly: bool) -> int:
    caller = Caller(*await asyncio.open_connection("127.0.0.1", port, limit=64 * 1024))
    caller.writer.write(call("unsafe", left="5000m"))
    got, head = 0, await caller.reader.readuntil(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 200"), head
    while got < ANSWER_MB << 20:
        got += len(await caller.reader.read(64 * 1024))
        if slowly:
            await asyncio.sleep(0.02)
    caller.writer.close()
    return got


async def _given(port: int) -> int:
    caller = Caller(*await asyncio.open_connection("127.0.0.1", port))
    return (await caller.ask(call("unsafe", b"x" * (ANSWER_MB << 20), left="5000m")))[0]


async def long_bodies(folder: str, many: int) -> list[str]:
    """Answers taken slowly and uploads, many at once, beside the memory that the node was told of."""
    answer = reply(200, b"y" * (ANSWER_MB << 20))

    async def script(seen: Seen) -> bytes:
        return answer if not seen.body else reply(200, b"%d" % len(seen.body))

    server = Server(script)
    listener = await asyncio.start_server(server, "127.0.0.1", 0, limit=1 << 20)
    node = Process(free_port(), folder, [address_of(listener)], MEMORY_MB)
    await node.start()
    before = node.peak_mb()
    whole = await asyncio.gather(
        *(_taken(node.port, i % 2 == 0) for i in range(many)), *(_given(node.port) for _ in range(many))
    )
    peak, moved = node.peak_mb(), 2 * many * ANSWER_MB
    await node.end()
    listener.close()
    good = sum(got == ANSWER_MB << 20 for got in whole[:many]) + whole[many:].count(200)
    print(
        f"long bodies: {good} of {2 * many} whole, {moved} MB in all at once; the node's peak is "
        f"{peak / before:.1f} times an idle one's and {peak / MEMORY_MB:.2f} of what it may have"
    )
    return [] if good == 2 * many and peak < MEMORY_MB else ["long bodies were lost, or took too much memory"]


async def measure(quick: bool) -> list[str]:
    with tempfile.TemporaryDirectory() as folder:
        short = await replacing(folder, 2 if quick else 8)
        short += await emptying(folder)
        return short + await long_bodies(folder, 16 if quick else 48)


def main() -> int:
    parser = argparse.ArgumentParser(description="A node's day by hand of its staff, on real processes.")
    parser.add_argument("--quick", action="store_true", help="within 50 s")
    options: Any = parser.parse_args()
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        short = runner.run(measure(options.quick))
    print(f"operation: short: {'; '.join(short)}" if short else "operation: ok")
    return 1 if short else 0


if __name__ == "__main__":
    sys.exit(main())
