"""`demo`: a node on loopback between test servers that misbehave and clients that send requests.

The test servers are from the repository's `rigs`; the node is a separate process, started as on the platform.
"""

from __future__ import annotations

import asyncio
import random
import statistics
import sys
import time
from collections import Counter, deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).parent.parent.parent
REQUESTS_PER_S = 120.0
MAX_TIMES = 400  # latest response times kept for the percentiles
REFRESH_S = 0.25  # between two updates of the table
MS = 1_000_000
CLASSES = (  # name, share of the traffic, effect, latency target and deadline in ms, worth
    ("route-search", 0.45, "repeatable", 600, 2500, 5.0),
    ("departures", 0.25, "repeatable", 900, 3000, 3.0),
    ("save-trip", 0.2, "by_key", 900, 3000, 3.0),
    ("buy-ticket", 0.1, "once", 900, 3000, 8.0),
)
# Mean service time of each server in s; the last one starts late, cold.
SPEEDS = (0.02, 0.03, 0.05, 0.05, 0.15, 0.02)

MIN_TIMES = 2  # needed for percentiles
SECOND_RUN = 2
TIMELINE = (  # fraction of the demo's time, server, its state from then on, message above the table
    (0.2, 1, "silent", "s1 takes requests and answers none; discovery says nothing"),
    (0.45, 1, "up", "s1 answers again"),
    (0.55, 0, "draining", "s0 drains: nothing new goes there"),
    (0.7, 0, "up", "s0 is back"),
    (0.75, 5, "cold", "s5 starts cold: it is not pushed over"),
)


@dataclass
class ServerRow:
    """State and counts of one test server, a row of the table."""

    name: str
    speed: float
    state: str = "up"
    seen: int = 0
    times: deque[float] = field(default_factory=lambda: deque(maxlen=MAX_TIMES))


@dataclass
class Board:
    """The counts that the demo shows."""

    servers: list[ServerRow]
    outcomes: dict[str, Counter[str]]
    times: dict[str, deque[float]]
    message: str = "all is well"
    twice: int = 0  # sales that ran twice; must stay 0

    def rows(self) -> Iterator[tuple[str, ...]]:
        """One text row for each class: name, counts, percentiles."""
        for name, counts in self.outcomes.items():
            yield (
                name,
                str(counts["served"]),
                str(counts["refused"]),
                str(counts["failed"]),
                *percentiles(self.times[name]),
            )


def percentiles(times: deque[float]) -> tuple[str, str]:
    """Median and 95th percentile in ms."""
    if len(times) < MIN_TIMES:
        return "-", "-"
    cuts = statistics.quantiles(times, n=20)
    return f"{1000 * cuts[9]:.0f}", f"{1000 * cuts[18]:.0f}"


class Demo:
    """Runs the test servers, the node and the traffic."""

    def __init__(self, seconds: float) -> None:
        from rigs.discovery import Discovery

        self.seconds = seconds
        self.random = random.Random(1)
        self.board = Board(
            [ServerRow(f"s{i}", speed) for i, speed in enumerate(SPEEDS)],
            {name: Counter() for name, *_ in CLASSES},
            {name: deque(maxlen=MAX_TIMES) for name, *_ in CLASSES},
        )
        self.discovery = Discovery()
        self.ran: Counter[str] = Counter()
        self.tasks: set[asyncio.Task[None]] = set()

    # Servers ------------------------------------------------------------------------------------

    def _script(self, row: ServerRow) -> Callable[[Any], Any]:
        from rigs.servers import reply

        async def script(seen: Any) -> bytes | None:
            began = time.monotonic()
            row.seen += 1
            if row.state == "silent":
                return None
            await asyncio.sleep(row.speed * self.random.expovariate(1.0) + 0.005)
            if seen.field("X-Service-Class") == "buy-ticket":
                identity = seen.field("X-Correlation-Id") or ""
                self.ran[identity] += 1
                self.board.twice += self.ran[identity] == SECOND_RUN
            row.times.append(time.monotonic() - began)
            return reply(200, b"ticket to Lahore")

        return script

    async def _listen(self) -> None:
        from rigs.discovery import entry
        from rigs.servers import Server, address_of

        self.listeners = [
            await asyncio.start_server(Server(self._script(row)), "127.0.0.1", 0)
            for row in self.board.servers
        ]
        self.discovery_listener = await asyncio.start_server(self.discovery, "127.0.0.1", 0)
        self.discovery_address = address_of(self.discovery_listener)
        pairs = zip(self.board.servers, self.listeners, strict=True)
        self.hosts = [
            entry(row.name, address_of(listener), block=i % 2) for i, (row, listener) in enumerate(pairs)
        ]
        self.discovery.hosts = self.hosts[:-1]
        self.board.servers[-1].state = "off"

    async def _play_timeline(self) -> None:
        """Change the servers' states as TIMELINE says."""
        hosts, at = self.hosts, time.monotonic()
        for moment, number, state, message in TIMELINE:
            await asyncio.sleep(max(at + moment * self.seconds - time.monotonic(), 0))
            before, self.board.servers[number].state = self.board.servers[number].state, state
            self.board.message = message
            if state == "cold":
                self.discovery.change({**hosts[number], "born_ms": time.time_ns() // MS})
            elif state == "draining":
                self.discovery.change({**hosts[number], "health": "draining"})
            elif before == "draining":
                self.discovery.change(hosts[number])

    # Node ---------------------------------------------------------------------------------------

    def _settings(self) -> dict[str, Any]:
        classes = [
            {
                "name": name,
                "effect": effect,
                "group": "cell",
                "windowNs": 10_000 * MS,
                "objectiveNs": latency_target * MS,
                "deadlineNs": deadline * MS,
                "worth": value,
            }
            for name, _, effect, latency_target, deadline, value in CLASSES
        ]
        return {
            "areas": ["z"],
            "flavors": ["k"],
            "registryMode": "push",
            "siblings": 1,
            "tier": 0,
            "periodNs": MS,
            "classes": classes,
            "policyLimits": {
                "connectTimeoutNs": 500 * MS,
                "idleCloseNs": 15_000 * MS,
                "maxOpen": 400,
                "sendCap": 4,
                "retryAfter": True,
                "maxRetryAfterNs": 2_000 * MS,
            },
            "rules": {
                "drainGraceNs": 500 * MS,
                "graceToAnswerNs": 20 * MS,
                "coldFrom": 0.3,
                "coldNs": 4_000 * MS,
                "overloadFactor": 3.0,
                "overloadForNs": 2_000 * MS,
            },
        }

    # Traffic ------------------------------------------------------------------------------------

    async def _send_request(self, number: int) -> None:
        name, _, effect, _, deadline, _ = self.random.choices(
            CLASSES, [traffic_weight for _, traffic_weight, *_ in CLASSES]
        )[0]
        method = "GET" if effect == "repeatable" else "POST"
        more = f"Idempotency-Key: k{number}\r\n" if effect == "by_key" else ""
        more += "Content-Length: 0\r\n" if method == "POST" else ""
        data = (
            f"{method} /api HTTP/1.1\r\nHost: demo\r\nX-Correlation-Id: d{number:x}\r\nX-Service-Class: "
            f"{name}\r\nX-Time-Left: {deadline}m\r\n{more}\r\n"
        ).encode()
        began = time.monotonic()
        try:
            status, _, _ = await self.node.ask(data)
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            status = 0
        outcome = {200: "served", 503: "refused"}.get(status, "failed")
        self.board.outcomes[name][outcome] += 1
        if outcome == "served":
            self.board.times[name].append(time.monotonic() - began)

    async def _traffic(self) -> None:
        end, number = time.monotonic() + self.seconds, 0
        while time.monotonic() < end:
            await asyncio.sleep(self.random.expovariate(REQUESTS_PER_S))
            number += 1
            task = asyncio.ensure_future(self._send_request(number))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
        await asyncio.gather(*self.tasks)

    async def run(self, show: Callable[[Board, float], None]) -> int:
        """Run the demo. Exit code 0 if the node ended well and no sale ran twice."""
        from rigs.process import NodeProcess

        await self._listen()
        self.node = NodeProcess(
            {
                "name": "node",
                "discovery": self.discovery_address,
                "seed": "1",
                "limits": {"sockets": 1024},
                "settings": self._settings(),
            }
        )
        await self.node.start()
        began = time.monotonic()
        timeline, traffic = (
            asyncio.ensure_future(self._play_timeline()),
            asyncio.ensure_future(self._traffic()),
        )
        while not traffic.done():
            show(self.board, time.monotonic() - began)
            await asyncio.wait([traffic], timeout=REFRESH_S)
        timeline.cancel()
        traffic.result()
        show(self.board, time.monotonic() - began)
        code = await self.node.stop()
        for listener in (*self.listeners, self.discovery_listener):
            listener.close()
        return 1 if code or self.board.twice else 0


def _plain(seconds: float) -> Callable[[Board, float], None]:
    at, message = -seconds, ""

    def show(board: Board, now: float) -> None:
        nonlocal at, message
        if board.message != message or now - at >= seconds / 10:
            at, message = now, board.message
            total = sum(board.outcomes.values(), Counter[str]())
            print(
                f"{now:5.1f} s  served {total['served']:5d}  refused {total['refused']:3d}  "
                f"failed {total['failed']:3d}  {board.message}",
                flush=True,
            )

    return show


def _table(board: Board, now: float, seconds: float) -> Any:
    from rich.console import Group
    from rich.table import Table

    outcomes = Table(title=f"{now:.0f} of {seconds:.0f} s: {board.message}", title_justify="left")
    for head in ("class", "served", "refused", "failed", "median ms", "95% ms"):
        outcomes.add_column(head, justify="left" if head == "class" else "right")
    for row in board.rows():
        outcomes.add_row(*row)
    servers = Table()
    for head in ("server", "state", "requests", "median ms", "95% ms"):
        servers.add_column(head, justify="left" if head in ("server", "state") else "right")
    for server in board.servers:
        style = {"up": "green", "off": "dim", "cold": "cyan"}.get(server.state, "red")
        servers.add_row(
            server.name, f"[{style}]{server.state}[/]", str(server.seen), *percentiles(server.times)
        )
    return Group(outcomes, servers)


def _summary(board: Board) -> None:
    for name, served, refused, failed, median, slowest in board.rows():
        print(
            f"{name:13s} served {served:>5s}  refused {refused:>4s}  failed {failed:>4s}  "
            f"median {median:>4s} ms  95% {slowest:>4s} ms"
        )
    print(f"sales that ran twice: {board.twice}")


def main(seconds: float, plain: bool) -> int:
    """Run the demo. Exit code 0, 1 if a rule was broken, 2 if the repository is missing."""
    if not (ROOT / "rigs" / "servers.py").exists():
        print("minthitch: the demo needs a clone of the repository (its rigs/)", file=sys.stderr)
        return 2
    sys.path.insert(0, str(ROOT))
    try:
        from rich.live import Live
    except ImportError:
        plain = True
    demo = Demo(seconds)
    if plain or not sys.stdout.isatty():
        code = asyncio.run(demo.run(_plain(seconds)))
    else:
        with Live(_table(demo.board, 0.0, seconds), refresh_per_second=4) as live:
            code = asyncio.run(demo.run(lambda board, now: live.update(_table(board, now, seconds))))
    _summary(demo.board)
    return code
