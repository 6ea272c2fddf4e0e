"""The library against the daemon: `python -m bench.embedded [--quick]`.

In one run, over the same servers in a process of their own: CPU and latency of a call as ratios (library's
over the daemon's; the daemon's CPU is the node's and its caller's), calls that are late while the host's loop
stands still for 2 s of every 4, and calls left unsettled when a host ends in each of four ways.
"""

from __future__ import annotations

import argparse
import asyncio
import resource
import signal
import statistics
import subprocess
import sys
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import httpx
import uvloop

from minthitch import Client, Config, Effect, RequestClass, Served, Settings, configure
from minthitch.engine import Answer, Call, Engine, LoopClock, Message, Request
from minthitch.httpx_transport import BalancedTransport
from minthitch.interface import MILLISECOND, SECOND, ListKind
from minthitch.listing import static_listing
from minthitch.net.pool import Pool
from rigs.process import NodeProcess
from rigs.quick import quick_servers

ROOT = Path(__file__).parent.parent
SERVERS = 4
AT_ONCE = 16  # calls in flight in the measured rounds
LATE = 100 * MILLISECOND  # beyond its deadline; a busy machine's scheduling is not the library's
HELD = 200  # calls held when a host ends
Form = Callable[[int], Awaitable[bool]]
CLASSES = (
    RequestClass("safe", 2 * SECOND, 4 * SECOND, Effect.SAFE),
    RequestClass("unsafe", 2 * SECOND, 4 * SECOND, Effect.UNSAFE),
)
SETTINGS = Settings(
    classes=CLASSES,
    tier=1,
    max_attempts=3,
    max_open=2_000,
    retry_after=True,
    max_retry_after=SECOND,
    connect_timeout=SECOND,
    idle_close=30 * SECOND,
)
NODE_SETTINGS: dict[str, Any] = {
    "tier": 1,
    "siblings": 1,
    "periodNs": MILLISECOND,
    "classes": [
        {"name": "safe", "effect": "repeatable", "objectiveNs": 2 * SECOND, "deadlineNs": 4 * SECOND},
        {"name": "unsafe", "effect": "once", "objectiveNs": 2 * SECOND, "deadlineNs": 4 * SECOND},
    ],
    "policyLimits": {
        "sendCap": 3,
        "maxOpen": 2_000,
        "retryAfter": True,
        "maxRetryAfterNs": SECOND,
        "connectTimeoutNs": SECOND,
        "idleCloseNs": 30 * SECOND,
    },
}


def own_cpu() -> float:
    used = resource.getrusage(resource.RUSAGE_SELF)
    return used.ru_utime + used.ru_stime


def cpu_of(pid: int) -> float:
    """Seconds of CPU that another process has used, all its threads."""
    threads = Path(f"/proc/{pid}/task").glob("*/schedstat")
    return sum(int(thread.read_text().split()[0]) for thread in threads) / 1e9


# Cost of a call ---------------------------------------------------------------------------------


async def _round(call: Form, count: int, at_once: int) -> list[float]:
    """Times of `count` calls with `at_once` in flight. Raises RuntimeError for one that was not served."""
    numbers, times = iter(range(count)), list[float]()

    async def worker() -> None:
        for number in numbers:
            began = time.perf_counter()
            if not await call(number):
                raise RuntimeError("a call of a calm round was not served")
            times.append(time.perf_counter() - began)

    await asyncio.gather(*(worker() for _ in range(at_once)))
    return times


class Sides:
    """The same calls by both forms."""

    def __init__(self, client: Client, node: NodeProcess) -> None:
        self.client, self.node, self.number = client, node, 0

    async def embedded(self, number: int) -> bool:
        cls = "unsafe" if number % 4 == 0 else "safe"
        body = b"x" * 200 if cls == "unsafe" else b""
        return isinstance(await self.client.call(cls, "/api?from=Lahore", body=body), Served)

    async def daemon(self, number: int) -> bool:
        self.number += 1
        cls, method = ("unsafe", "POST") if number % 4 == 0 else ("safe", "GET")
        body = b"x" * 200 if cls == "unsafe" else b""
        length = f"Content-Length: {len(body)}\r\n" if body else ""
        status, _, _ = await self.node.ask(
            (
                f"{method} /api?from=Lahore HTTP/1.1\r\nHost: bench\r\nX-Correlation-Id: b{self.number:x}\r\n"
                f"X-Service-Class: {cls}\r\n{length}\r\n"
            ).encode()
            + body
        )
        return status == 200

    def web(self, client: httpx.AsyncClient) -> Form:
        """The same by an httpx client, whose transport is the only difference."""

        async def call(number: int) -> bool:
            self.number += 1
            cls, method = ("unsafe", "POST") if number % 4 == 0 else ("safe", "GET")
            answer = await client.request(
                method,
                "/api?from=Lahore",
                content=b"x" * 200 if cls == "unsafe" else None,
                headers={"X-Correlation-Id": f"h{self.number:x}", "X-Service-Class": cls},
            )
            return answer.status_code == 200

        return call


async def _compare(
    what: str, node: NodeProcess, ours: Form, theirs: Form, rounds: int, count: int
) -> dict[str, float]:
    """Ratios of a call by the library over one by the daemon, in rounds that take turns."""
    cpu: list[tuple[float, ...]] = []
    busy: list[tuple[float, ...]] = []
    alone: list[tuple[float, ...]] = []
    for form in (ours, theirs):
        await _round(form, 300, AT_ONCE)  # connections and curves first
    for _ in range(rounds):
        figures = []
        for form in (ours, theirs):
            before = own_cpu() + cpu_of(node.process.pid)
            times = await _round(form, count, AT_ONCE)
            spent = (own_cpu() + cpu_of(node.process.pid) - before) / count
            single = await _round(form, count // 5, 1)
            figures.append((spent, statistics.median(times), statistics.median(single)))
        for kept, both in zip((cpu, busy, alone), zip(*figures, strict=True), strict=True):
            kept.append(both)
    found = {}
    for name, pairs in (("CPU", cpu), ("latency", busy), ("latency, one at a time", alone)):
        found[name] = statistics.median(a / b for a, b in pairs)
        middle = [1e6 * statistics.median(side) for side in zip(*pairs, strict=True)]
        print(
            f"{what}: {name} of a call {middle[0]:.0f} us, by the daemon {middle[1]:.0f} us; "
            f"ratio {found[name]:.2f}"
        )
    return found


async def cost(addresses: list[str], rounds: int, count: int) -> list[str]:
    """What falls short: a call by the library must cost less than one by the daemon."""
    node = NodeProcess({"name": "bench", "servers": addresses, "seed": "1", "settings": NODE_SETTINGS})
    await node.start()
    print(f"{rounds} rounds of {count} calls, {AT_ONCE} at once; the daemon's CPU: node and caller")
    async with Client(configure(SETTINGS, servers=addresses, seed=1)) as client:
        sides = Sides(client, node)
        plain = await _compare("plain", node, sides.embedded, sides.daemon, rounds, count)
        transport = BalancedTransport(client, {"GET": "safe", "POST": "unsafe"})
        async with (
            httpx.AsyncClient(transport=transport, base_url="http://bench") as ours,
            httpx.AsyncClient(base_url=f"http://127.0.0.1:{node.port}") as theirs,
        ):
            by_httpx = await _compare("httpx", node, sides.web(ours), sides.web(theirs), rounds, count // 6)
    await node.stop()
    return [
        f"a call by the library costs {found['CPU']:.2f} of one by the daemon ({what})"
        for what, found in (("plain", plain), ("httpx", by_httpx))
        if found["CPU"] >= 1.0
    ]


# A host that stands still -----------------------------------------------------------------------


class OnHostLoop:
    """What the library would be on its host's own loop: for comparison only."""

    def __init__(self, config: Config) -> None:
        self.engine = Engine(config.settings, 1, LoopClock(asyncio.get_running_loop()), lambda text: None)
        self.engine.transport = self.pool = Pool(config.settings, 512)
        self.engine.listed(config.known, ListKind.CACHED)
        self.late = self.settled = 0
        self.requests: list[Request] = []

    def answer(self, call: Call, answer: Answer) -> None:
        self.settled += 1
        assert call.time_left is not None
        self.late += time.monotonic_ns() > call.received_at + call.time_left + LATE

    def begin(self, number: int, left: int, fields: tuple[tuple[bytes, bytes], ...]) -> None:
        cls = number % 2
        message = Message(b"POST" if cls else b"GET", b"/api", ((b"Host", b"bench"), *fields))
        call = Call(b"%d" % number, cls, message, time_left=left, received_at=time.monotonic_ns())
        self.requests.append(self.engine.admit(self, call))


async def blocked(addresses: list[str], cycles: int) -> tuple[int, int, int, int]:
    """Calls and how many of them were late: in the library, then on the host's own loop."""
    config = configure(SETTINGS, servers=addresses, seed=1)
    late: list[int] = []
    settled = 0
    async with Client(config) as client:
        worker, whole = client._worker, client._worker.discard

        def noting(pending: Any) -> None:
            nonlocal settled
            settled += 1
            if time.monotonic_ns() > pending.call.heard + pending.call.left + LATE:
                late.append(1)
            whole(pending)

        worker.discard = noting  # type: ignore[method-assign]
        tasks: list[asyncio.Task[Answer]] = []
        other = OnHostLoop(config)
        number = 0
        for _ in range(cycles):  # 2 s awake, with calls of 0.3 to 1.9 s throughout, then 2 s asleep
            end = time.monotonic() + 2.0
            while time.monotonic() < end:
                number += 1
                left = 0.3 + number % 17 / 10
                silent = {"X-Silent": "1"} if number % 3 == 0 else {"X-Wait": "150"}
                cls = ("safe", "unsafe")[number % 2]
                tasks.append(asyncio.ensure_future(client.call(cls, timeout=left, headers=silent)))
                fields = tuple((name.encode(), value.encode()) for name, value in silent.items())
                other.begin(number, int(left * SECOND), fields)
                await asyncio.sleep(0.01)
            time.sleep(2.0)
        await asyncio.gather(*tasks)
        while other.settled < len(other.requests):
            await asyncio.sleep(0.05)
        other.pool.close()
    return settled, len(late), other.settled, other.late


# Hosts that end ---------------------------------------------------------------------------------

HOST = """
import asyncio, os, sys, threading, time
from minthitch import *
from minthitch.interface import SECOND
settings = Settings(classes=(RequestClass("unsafe", SECOND, 60 * SECOND),), max_open=2000, tier=1)
end = time.monotonic() + 15
config = configure(settings, servers={addresses!r})
heard = 0
async def one(client):
    global heard
    try:
        await client.call("unsafe", headers={{"X-Silent": "1"}})
    except asyncio.CancelledError:
        pass  # the host itself gave it up
    heard += 1
async def hold(client):
    tasks = [asyncio.ensure_future(one(client)) for _ in range({held})]
    while client.held < {held} and time.monotonic() < end:
        await asyncio.sleep(0.01)
    os.write(1, b"held\\n")
    return tasks
def tell():
    os.write(1, b"unsettled %d\\n" % ({held} - heard))
"""
ENDS = {
    "leaving the context": """
async def main():
    async with Client(config, close_within=1.0) as client:
        await hold(client)
    tell()
asyncio.run(main())
""",
    "SIGTERM": """
async def main():
    client = Client(config, close_within=1.0, settle_on_sigterm=True)
    await client.start()
    await asyncio.gather(*await hold(client))
    tell()
    await asyncio.sleep(30)
asyncio.run(main())
""",
    "asyncio.run cancelling all": """
async def main():
    global client
    client = Client(config, close_within=1.0)
    await client.start()
    await hold(client)
asyncio.run(main())
while client.held:
    time.sleep(0.01)
tell()
""",
    "an exit without closing": """
client = BlockingClient(config, close_within=1.0)
client.start()
def hold_one():
    global heard
    client.call("unsafe", headers={"X-Silent": "1"})
    heard += 1
    if heard == HELD_HERE:
        os.write(1, b"unsettled 0\\n")
for _ in range(HELD_HERE):
    threading.Thread(target=hold_one, daemon=True).start()
while client.held < HELD_HERE and time.monotonic() < end:
    time.sleep(0.01)
os.write(1, b"held\\n")
""",
}


def unsettled(addresses: list[str], way: str) -> int:
    """Calls that a host which ended so did not hear of; all of them if it did not say."""
    held = HELD if way != "an exit without closing" else 50
    code = HOST.format(addresses=addresses, held=held) + ENDS[way].replace("HELD_HERE", str(held))
    process = subprocess.Popen([sys.executable, "-c", code], cwd=ROOT, stdout=subprocess.PIPE, text=True)
    assert process.stdout is not None
    try:
        if process.stdout.readline() == "held\n" and way == "SIGTERM":
            process.send_signal(signal.SIGTERM)
        out, _ = process.communicate(timeout=20)
    finally:
        process.kill()
        process.wait()
    words = out.split()
    return int(words[words.index("unsettled") + 1]) if "unsettled" in words else held


def main() -> int:
    arguments = argparse.ArgumentParser(description=__doc__)
    arguments.add_argument("--quick", action="store_true", help="within 50 s")
    quick = arguments.parse_args().quick
    short: list[str] = []
    with quick_servers(SERVERS) as addresses:
        assert static_listing(addresses).whole
        short += uvloop.run(cost(addresses, 5 if quick else 15, 3_000 if quick else 6_000))
        calls, late, other, other_late = uvloop.run(blocked(addresses, 3 if quick else 15))
        print(
            f"host blocked 2 s of every 4: {late} of {calls} calls late; on the host's own loop "
            f"{other_late} of {other}"
        )
        if late or not calls:
            short.append(f"{late} of {calls} calls late while the host stood still")
        for way in ENDS:
            left = unsettled(addresses, way)
            print(f"held calls unsettled after {way}: {left}")
            if left:
                short.append(f"{left} held calls unsettled after {way}")
    print(f"embedded: short: {'; '.join(short)}" if short else "embedded: ok")
    return 1 if short else 0


if __name__ == "__main__":
    sys.exit(main())
