"""Formats counts over a fleet as lines of text. No I/O."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator
from statistics import median

from minthitch.fleet.count import FleetCounts, ServerCounts, Window


def _window(window: Window) -> str:
    ends = " ".join(f"{name.lower()} {number}" for name, number in sorted(window.ends.items()))
    return (
        f"arrivals {window.arrivals} (again {window.repeats})  sends {window.sends} "
        f"(further {window.resends})  ends: {ends}  cancels {window.cancels}  refused: at once "
        f"{window.refused_at_once}, held {window.refused_after_wait}, after a send "
        f"{window.refused_after_send}  failed {window.failed}"
    )


def _server(server: ServerCounts, number: int) -> str:
    ends = server.ends.get(number, Counter[str]())
    bad = " ".join(f"{name.lower()} {n}" for name, n in sorted(ends.items()) if name != "OK")
    latencies = server.latencies_ms.get(number)
    latency = f" {median(latencies):.0f} ms" if latencies else ""
    return (
        f"{server.sends[number]} sent, {server.peak_in_flight[number]} out{latency}{' ' + bad if bad else ''}"
    )


def lines(fleet: FleetCounts, servers: bool) -> Iterator[str]:
    """Yields lines per tier, window and server; with `servers` also one per server and window with sends."""
    span = fleet.window_ms / 1_000
    for tier in sorted({tier for tier, _ in fleet.windows}):
        nodes = sum(1 for node in fleet.nodes.values() if node.tier == tier)
        yield f"tier {tier}: {nodes} nodes, {len(fleet.servers.get(tier, {}))} servers"
        for where, window in sorted(fleet.windows.items()):
            if where[0] == tier:
                yield f"  {where[1] * span:6.1f} s  {_window(window)}"
        for name, server in sorted(fleet.servers.get(tier, {}).items()):
            first = ", ".join(f"{server.first_sends[s]}" for s in range(5))
            late = max(server.ready_at.values(), default=0) - min(server.ready_at.values(), default=0)
            yield (
                f"  {name}: named to {len(server.ready_at)} nodes within {late} ms, withdrawn by "
                f"{len(server.withdrawn_at)}; sends in the first seconds {first}"
            )
            if servers:
                for number in sorted(server.sends):
                    yield f"    {number * span:6.1f} s  {_server(server, number)}"
    if fleet.unreadable:
        yield f"{fleet.unreadable} lines could not be read"
