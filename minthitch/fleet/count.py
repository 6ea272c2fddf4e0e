"""Counts over a fleet, from the traces of all nodes (`engine/trace.py`). No I/O.

Of each node only its open requests are kept, in bounded number.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

LINE_PREFIX = "# "
MAX_OPEN_REQUESTS = 100_000  # per node; a node with more has lost the ends of its requests
STATUSES = ("OK", "ERROR", "FULL", "TIMEOUT", "CONNECT_FAILED", "RESET", "CANCELLED", "MOOT")


@dataclass
class Window:
    """Counts over all nodes of one tier in one time window."""

    arrivals: int = 0
    repeats: int = 0  # of those, marked by the client as a repeat
    sends: int = 0
    resends: int = 0  # of those, hedged copies and retries
    ends: Counter[str] = field(default_factory=Counter)
    cancels: int = 0
    refused_at_once: int = 0  # at admission, nothing sent
    refused_after_wait: int = 0  # after waiting for a server, nothing sent
    refused_after_send: int = 0  # after a send
    failed: int = 0


@dataclass
class ServerCounts:
    """Counts over all nodes for one server, by window."""

    first_sends: Counter[int] = field(default_factory=Counter)  # seconds since a node knew of it: sends
    sends: Counter[int] = field(default_factory=Counter)
    ends: dict[int, Counter[str]] = field(default_factory=dict)
    peak_in_flight: Counter[int] = field(default_factory=Counter)  # in flight at most in the window
    latencies_ms: dict[int, list[int]] = field(default_factory=dict)  # of successful answers
    ready_at: dict[str, int] = field(default_factory=dict)  # node: ms at which a list named it ready
    withdrawn_at: dict[str, int] = field(default_factory=dict)  # node: ms at which it drained or was gone
    in_flight: int = 0


@dataclass
class NodeState:
    tier: str = "?"
    open: dict[str, list[int]] = field(default_factory=dict)  # request: arrival in ms, sends


class FleetCounts:
    """Counts over all nodes, from their lines in the order of time."""

    def __init__(self, window: float) -> None:
        self.window_ms = int(window * 1_000)
        self.start: int | None = None
        self.windows: dict[tuple[str, int], Window] = {}
        self.servers: dict[str, dict[str, ServerCounts]] = {}  # tier: name: server
        self.nodes: dict[str, NodeState] = {}
        self.unreadable = 0  # trace lines that could not be parsed

    def add(self, name: str, at: int, words: list[str]) -> None:
        """Adds one line of the node `name`: `at` in ms, the mark and its fields."""
        node = self.nodes.setdefault(name, NodeState())
        self.start = at if self.start is None else self.start
        try:
            getattr(self, f"_take_{words[0]}")(name, node, at, words[1:])
        except (AttributeError, IndexError, ValueError):
            self.unreadable += 1

    def _window_index(self, at: int) -> int:
        return (at - (self.start or 0)) // self.window_ms

    def _window(self, node: NodeState, at: int) -> Window:
        return self.windows.setdefault((node.tier, self._window_index(at)), Window())

    def _server(self, node: NodeState, name: str) -> ServerCounts:
        return self.servers.setdefault(node.tier, {}).setdefault(name, ServerCounts())

    def _take_l(self, name: str, node: NodeState, at: int, words: list[str]) -> None:
        node.tier = words[1]
        for row in words[2:]:
            server, _zone, _kind, state = row.rsplit(":", 3)
            counts = self._server(node, server)
            (counts.ready_at if state == "READY" else counts.withdrawn_at).setdefault(name, at)

    def _take_a(self, name: str, node: NodeState, at: int, words: list[str]) -> None:
        window = self._window(node, at)
        window.arrivals += 1
        window.repeats += words[2] == "1"
        if len(node.open) < MAX_OPEN_REQUESTS:
            node.open[words[0]] = [at, 0]

    def _take_s(self, name: str, node: NodeState, at: int, words: list[str]) -> None:
        window, server = self._window(node, at), self._server(node, words[1])
        request = node.open.setdefault(words[0], [at, 0])
        request[1] += 1
        window.sends += 1
        window.resends += request[1] > 1
        number = self._window_index(at)
        server.sends[number] += 1
        server.in_flight += 1
        server.peak_in_flight[number] = max(server.peak_in_flight[number], server.in_flight)
        if name in server.ready_at:
            server.first_sends[(at - server.ready_at[name]) // 1_000] += 1

    def _take_e(self, name: str, node: NodeState, at: int, words: list[str]) -> None:
        request, _attempt, server_name, status, wait, closed = words
        if status not in STATUSES:
            raise ValueError(status)
        self._window(node, at).ends[status] += 1
        server, number = self._server(node, server_name), self._window_index(at)
        server.in_flight -= 1
        server.ends.setdefault(number, Counter())[status] += 1
        if status == "OK":
            server.latencies_ms.setdefault(number, []).append(int(wait))
        if closed == "1":
            node.open.pop(request, None)

    def _take_c(self, name: str, node: NodeState, at: int, words: list[str]) -> None:
        self._window(node, at).cancels += 1

    def _take_r(self, name: str, node: NodeState, at: int, words: list[str]) -> None:
        arrived_at, sends = node.open.pop(words[0], [at, 0])
        window = self._window(node, at)
        if sends:
            window.refused_after_send += 1
        elif at - arrived_at < 20:
            window.refused_at_once += 1
        else:
            window.refused_after_wait += 1

    def _take_f(self, name: str, node: NodeState, at: int, words: list[str]) -> None:
        node.open.pop(words[0], None)
        self._window(node, at).failed += 1


def parse(line: str) -> tuple[int, list[str]] | None:
    """Returns the time in ms and the words of a trace line; None for any other line."""
    at = line.find(LINE_PREFIX)
    words = line[at + len(LINE_PREFIX) :].split() if at >= 0 else []
    if len(words) < 2 or not words[0].isdecimal():
        return None
    return int(words[0]), words[1:]


def count(logs: Mapping[str, Iterable[str]], window: float) -> FleetCounts:
    """Counts the lines of all nodes, given by node name."""
    rows = [
        (at, name, words)
        for name, lines in logs.items()
        for line in lines
        if (parsed := parse(line)) is not None
        for at, words in [parsed]
    ]
    fleet = FleetCounts(window)
    for at, name, words in sorted(rows, key=lambda row: row[0]):
        fleet.add(name, at, words)
    return fleet
