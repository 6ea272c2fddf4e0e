"""Operation: admin commands and metrics, draining of clients, replacement of a process."""

from __future__ import annotations

import asyncio
import os
import socket
import tempfile
from dataclasses import replace

import pytest

from minthitch.admin.commands import COMMANDS, answer
from minthitch.admin.listener import MAX_CONNECTIONS, MAX_LINE_BYTES, AdminListener
from minthitch.engine.calls import Failed, Refused, Rejected, Served
from minthitch.engine.counts import Counts, NodeMetrics
from minthitch.net.handover import Handover
from minthitch.net.lifecycle import (
    ACCEPT_AFTER_SIGTERM_S,
    AWAY_IDLE_S,
    KEEP_ALIVE_AFTER_SIGTERM_S,
    REPLACED_IDLE_S,
    Lifecycle,
    State,
)
from minthitch.net.node import Node
from tests.net import SETTINGS, Caller, Rig, Seen, call, config, reply, rig, serve_ok
from tests.test_node import run

READY = b"GET /ready HTTP/1.1\r\n\r\n"


# Admin commands without sockets ----------------------------------------------------------------


class FakeNode:
    """A node with settable state."""

    def __init__(self) -> None:
        self.up, self.lifecycle = True, Lifecycle()
        self.counts = Counts(2)

    def ready(self) -> bool:
        return self.up and self.lifecycle.is_open

    def metrics(self) -> NodeMetrics:
        return NodeMetrics(("a", 'b"\\'), self.counts, 7, 5, 1)

    def send_away(self) -> str:
        return self.lifecycle.send_away(1.0)

    def take_back(self) -> str:
        return self.lifecycle.take_back(2.0)


def test_each_command_is_answered_with_done_or_error() -> None:
    node = FakeNode()
    answers = [
        answer(line, node)
        for line in (
            b"ready",
            b"drain",
            b"drain\r",
            b"ready",
            b" resume ",
            b"ready",
            b"",
            b"halt",
            b"drain now",
        )
    ]
    assert [text.split()[0] for text in answers] == [
        "done",
        "done",
        "done",
        "error",
        "done",
        "done",
        "error",
        "error",
        "error",
    ]
    assert all("\n" not in text for text in answers)
    assert node.ready()  # the command with an extra word changed nothing
    assert "'halt'" in answers[7] and all(name in answers[7] for name in COMMANDS)


def test_metrics_are_listed_per_class_and_end_with_an_end_line() -> None:
    node = FakeNode()
    for outcome in (Served(), Served(), Refused(), Failed()):
        node.counts.answered(0, outcome)
    node.counts.rejected(1, Rejected(503, "full"))
    node.counts.rejected(1, Rejected(409, "open"))
    node.counts.sends = 4
    assert answer(b"show-stat", node).split("\n") == [
        'edge_balancer_success{tier="a"} 2',
        'edge_balancer_success{tier="b\\"\\\\"} 0',
        'edge_balancer_busy{tier="a"} 1',
        'edge_balancer_busy{tier="b\\"\\\\"} 1',
        'edge_balancer_failure{tier="a"} 1',
        'edge_balancer_failure{tier="b\\"\\\\"} 1',
        "edge_balancer_backend_calls 4",
        "edge_balancer_inflight 7",
        "edge_balancer_hosts_listed 5",
        "edge_balancer_hosts_down 1",
        "end",
    ]


@pytest.mark.parametrize(
    ("steps", "at", "accepts", "keeps", "stays_open"),
    [
        ("", 9.0, True, True, True),
        ("end", KEEP_ALIVE_AFTER_SIGTERM_S - 0.1, False, True, True),
        ("end", KEEP_ALIVE_AFTER_SIGTERM_S + 0.1, False, False, False),
        ("away", AWAY_IDLE_S - 0.1, True, True, False),
        ("away", AWAY_IDLE_S + 0.1, True, False, False),
        ("away back", 9.0, True, True, True),
        ("end", 0.1, True, True, True),
        ("end", ACCEPT_AFTER_SIGTERM_S + 0.1, False, True, True),
        ("end away back", 0.1, True, True, True),  # ending is final
        ("succeeded end", 0.0, False, True, False),
        ("succeeded end", ACCEPT_AFTER_SIGTERM_S + 0.1, False, True, False),
        ("succeeded end", REPLACED_IDLE_S + 0.1, False, False, False),
        ("succeeded away", 0.5, True, True, False),
    ],
)
def test_the_door_by_state_and_time(
    steps: str, at: float, accepts: bool, keeps: bool, stays_open: bool
) -> None:
    lifecycle = Lifecycle()
    for step in steps.split():
        if step == "succeeded":
            lifecycle.replaced = True
        else:
            {"away": lifecycle.send_away, "back": lifecycle.take_back, "end": lifecycle.end}[step](0.0)
    assert (lifecycle.accepts(at), lifecycle.keeps_idle(at), not lifecycle.closes_after_answer(at)) == (
        accepts,
        keeps,
        stays_open,
    )
    assert lifecycle.is_open == (lifecycle.state is State.OPEN)
    if lifecycle.state is State.ENDING:
        assert lifecycle.send_away(at) and lifecycle.take_back(at)


# The admin listener on sockets -----------------------------------------------------------------


async def _visit(port: int, data: bytes) -> bytes:
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(data)
    text = await reader.read()
    writer.close()
    return text


async def _silent() -> None:
    listener = AdminListener(FakeNode(), lambda text: None)
    await listener.start("127.0.0.1", 0)
    silent = [await asyncio.open_connection("127.0.0.1", listener.port) for _ in range(3 * MAX_CONNECTIONS)]
    assert await _visit(listener.port, b"ready\n") == b"done ready\n"
    assert len(listener.connections) <= MAX_CONNECTIONS
    assert (await _visit(listener.port, b"show-stat\nmore\n")).endswith(b"\nend\n")
    assert (await _visit(listener.port, b"x" * (MAX_LINE_BYTES + 1))).startswith(b"error ")
    for _, writer in silent:
        writer.close()
    listener.close()


def test_silent_connections_do_not_block_others() -> None:
    run(_silent)


# The node's metrics, and draining of clients ----------------------------------------------------


async def _figures() -> None:
    async def script(seen: Seen) -> bytes:
        return reply(500) if len(r.sends) == 1 else b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"

    async with rig(script, script) as r:
        for cls in ("unsafe", "unsafe", "safe"):
            await r.ask(call(cls))
        await r.ask(call("unsafe").replace(b"POST", b"GET", 1))
        metrics = r.node.metrics()
        counts = dict(
            zip(
                metrics.classes,
                zip(metrics.counts.served, metrics.counts.refused, metrics.counts.failed, strict=True),
                strict=True,
            )
        )
        assert counts["unsafe"] == (1, 0, 2) and counts["safe"] == (1, 0, 0)
        assert metrics.counts.sends == len(r.sends) == 3
        assert (metrics.inflight, metrics.listed, metrics.down) == (0, 2, 0)
        r.discovery.change({**r.discovery.hosts[0], "health": "draining"})
        await r.until(lambda: r.node.metrics().down == 1)


def test_the_metrics_match_what_the_servers_saw() -> None:
    run(_figures)


async def _closed(caller: Caller) -> None:
    assert await caller.reader.read() == b""


async def _away() -> None:
    async with rig(serve_ok) as r:
        idle, used = await r.caller(), await r.caller()
        for caller in (idle, used):
            assert (await caller.ask(call("safe")))[0] == 200
        assert r.node.send_away() == ""
        assert (await r.ask(READY))[0] == 503
        status, head, _ = await used.ask(call("safe"))  # a request that still arrives is served
        assert status == 200 and b"Connection: close" in head
        await _closed(used)
        await _closed(idle)
        assert r.node.take_back() == ""
        kept = await r.caller()
        assert (await kept.ask(READY))[0] == 200
        assert b"Connection: close" not in (await kept.ask(call("safe")))[1]


def test_drained_clients_are_answered_then_closed_and_accepted_after_resume() -> None:
    run(_away)


# Replacement of a process -----------------------------------------------------------------------


async def _successor(r: Rig, folder: str, port: int) -> Node:
    node = Node(
        replace(
            config(SETTINGS, r.node.config.discovery, r.discovery.hosts),
            listen=("127.0.0.1", port),
            handover=folder,
        )
    )
    await node.start()
    return node


async def _replaced() -> None:
    with tempfile.TemporaryDirectory() as folder, socket.create_server(("127.0.0.1", 0)) as probe:
        port = probe.getsockname()[1]
        probe.close()
        async with rig(serve_ok) as r:
            old = await _successor(r, folder, port)
            most = old.pool.max_connections
            kept = Caller(*await asyncio.open_connection("127.0.0.1", port))
            assert (await kept.ask(call("safe")))[0] == 200
            new = await _successor(r, folder, port)
            await r.until(lambda: old.lifecycle.replaced)
            assert (
                old.pool.max_connections + new.pool.max_connections <= most
            )  # both together stay within the limit
            old.drain()
            assert not old.listening  # at once: the new process listens
            status, head, _ = await kept.ask(call("safe"))
            assert status == 200 and b"Connection: close" in head
            for _ in range(20):
                fresh = Caller(*await asyncio.open_connection("127.0.0.1", port))
                assert (await fresh.ask(READY))[0] == 200
                fresh.writer.close()
            await old.finished.wait()
            await old.stop()
            await r.until(lambda: new.pool.max_connections == most)
            await new.stop()


def test_a_process_is_replaced_without_a_refused_or_unread_request() -> None:
    run(_replaced)


async def _left_over() -> None:
    with tempfile.TemporaryDirectory() as folder:
        one = Handover(folder, "a", lambda: None, lambda text: None)
        await one.start()
        one.close()  # as after a kill: the socket file remains
        assert os.listdir(folder)
        log: list[str] = []
        two = Handover(folder, "a", lambda: None, log.append)
        await two.start()
        assert not two.predecessor and not log
        long = Handover(folder, "a" * 200, lambda: None, log.append)
        await long.start()
        assert len(log) == 1 and "too long" in log[0]
        two.close()


def test_the_socket_of_a_dead_process_is_taken_over() -> None:
    run(_left_over)
