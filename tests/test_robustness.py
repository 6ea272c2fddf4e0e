"""Malformed answers, bad clients and reloads must not mix up answers, hang, leak or crash."""

from __future__ import annotations

import asyncio
import os
import signal
import socket
from contextlib import suppress
from pathlib import Path

import pytest

from minthitch.net import eviction
from minthitch.policy import Balancer
from rigs.process import free_port
from tests.net import (
    OK,
    PATIENCE,
    Caller,
    Discovery,
    Seen,
    Server,
    address_of,
    call,
    entry,
    reply,
    reset,
    rig,
    serve_ok,
)
from tests.test_node import run
from tests.test_service import connect, program

NOISE = bytes(range(128, 178)) + b"\r\n\r\n"


async def _extra_bytes(more: bytes) -> None:
    async def script(seen: Seen) -> bytes:
        return reply(200, b"mine" + seen.body) + more

    async with rig(script) as r:
        caller = await r.caller()
        for body in (b"1", b"2", b"3"):
            status, _, got = await caller.ask(call("unsafe", body))
            assert (status, got) == (200, b"mine" + body)
        assert len(r.sends) == 3
        assert r.servers[0].connections == 3  # a connection with bytes beyond its answer is not reused


@pytest.mark.parametrize(
    "more", [OK, reply(200, b"other"), NOISE, b"x" * 200_000, b"HTTP/1.1 200 OK\r\nX-Pad: p"]
)
def test_a_valid_answer_is_served_whatever_follows_it(more: bytes) -> None:
    run(_extra_bytes, more)


async def _malformed(answer: bytes) -> None:
    async def script(seen: Seen) -> bytes | None:
        if len(r.sends) == 1:
            seen.writer.write(answer)  # and the connection stays open
            return None
        return OK

    async with rig(script, script) as r:
        status, _, _ = await r.ask(call("unsafe", left="6000m"))
        assert status == 502 and len(r.sends) == 1  # at once, not at the deadline
        assert not r.node.pool.idle
        spoilt = next(server for server in r.servers if server.seen)
        await spoilt.until(lambda: spoilt.closed == 1)


async def _malformed_in_time(answer: bytes) -> None:
    async with asyncio.timeout(4.0):  # the deadline is at 6 s
        await _malformed(answer)


@pytest.mark.parametrize(
    "answer",
    [
        NOISE,
        b"ICY 200 OK\r\nContent-Length: 4\r\n\r\ndone",
        b"HTTP/1.1 2x0 OK\r\nContent-Length: 4\r\n\r\ndone",
        b"HTTP/1.1 OK 200\r\nContent-Length: 4\r\n\r\ndone",
        b"HTTP/1.1 200 OK\r\nContent-Length: -1\r\nContent-Length: 4\r\n\r\ndone",
        b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\ndone",
        b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nno colon here\r\nContent-Length: 4\r\n\r\ndone",
        b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nx",
        b"HTTP/1.1 200 OK\r\nX-Pad: " + b"p" * 40_000,  # a field that never ends
        b"HTTP/1.1 200 OK\r\n" + b"X-Pad: p\r\n" * 5_000,
        b"HTTP/1.1 103 Early Hints\r\n\r\n" * 2_000,
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4;x=" + b"e" * 300_000,
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\nX-Pad: " + b"p" * 300_000,
        b"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n",
    ],
)
def test_a_malformed_answer_is_a_failure_at_once(answer: bytes) -> None:
    run(_malformed_in_time, answer)


async def _interim() -> None:
    async def script(seen: Seen) -> bytes:
        return b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n" + OK

    async with rig(script) as r:
        caller = await r.caller()
        for _ in range(3):
            assert (await caller.ask(call("unsafe")))[::2] == (200, b"done")
        assert r.servers[0].connections == 1


def test_interim_answers_are_skipped() -> None:
    run(_interim)


async def _large() -> None:
    async def script(seen: Seen) -> bytes:
        return reply(200, seen.body * 300_000)

    async with rig(script) as r:
        caller = await r.caller()
        for body in (b"1", b"2", b"3"):
            assert (await caller.ask(call("unsafe", body)))[::2] == (200, body * 300_000)
            assert r.node.pool.buffered_bytes == 0


def test_an_answer_of_some_hundred_kilobytes_is_served() -> None:
    run(_large)


async def _unread_bytes() -> None:
    async with rig(serve_ok) as r:
        assert (await r.ask(call("unsafe")))[0] == 200
        server = next(iter(r.node.engine.server_table.by_name.values()))
        kept = r.node.pool.idle_by_server[server][0]
        assert kept.transport is not None
        kept.transport.pause_reading()  # as if the event loop had not read from it yet
        seen = r.servers[0].seen[0]
        seen.writer.write(reply(200, b"stale"))
        await seen.writer.drain()
        await r.until(lambda: not kept.is_quiet)
        assert (await r.ask(call("unsafe")))[2] == b"done"
        assert r.servers[0].connections == 2


def test_an_idle_connection_with_unread_bytes_is_not_reused() -> None:
    run(_unread_bytes)


async def _pool_full() -> None:
    async def never(_seen: Seen) -> None:
        return None

    async with rig(never) as r:
        first = asyncio.create_task(r.ask(call("unsafe", left="5000m")))
        await r.servers[0].until(lambda: bool(r.sends))
        r.node.pool.max_connections = 1
        status, _, _ = await r.ask(call("unsafe", left="600m"))
        assert status == 503  # the request never left the node
        balancer = r.node.engine.balancer
        assert isinstance(balancer, Balancer)
        server = next(iter(balancer.servers.values()))
        # the lack of connections is the node's own
        assert server.evidence.trials == 0 and server.connect_after < balancer.load_at
        first.cancel()


def test_a_full_pool_does_not_count_against_the_server() -> None:
    run(_pool_full)


# Bad clients ----------------------------------------------------------------------------------


def _head(extra: str = "", method: str = "POST", cls: str = "unsafe", identity: str = "77") -> bytes:
    return (
        f"{method} /api HTTP/1.1\r\nHost: a\r\nX-Correlation-Id: {identity}\r\nX-Service-Class: {cls}\r\n"
        f"X-Time-Left: 5000m\r\n{extra}"
    ).encode()


INNER = _head("Content-Length: 0\r\n\r\n", identity="78")


async def _rejected(data: bytes) -> None:
    async with rig(serve_ok) as r:
        caller = await r.caller()
        caller.writer.write(data)
        got = b""
        with suppress(ConnectionError):  # closing with unread bytes sends a reset
            got = await caller.ended()  # an error or nothing, then the end
        assert not got or got.startswith((b"HTTP/1.1 4", b"HTTP/1.1 5"))
        assert got.count(b"HTTP/1.1") <= 1
        assert not r.sends
        assert (await r.ask(call("unsafe")))[0] == 200


@pytest.mark.parametrize(
    "data",
    [
        b"",  # sends nothing
        b"POST /ap",
        _head("X-Pad: "),
        _head("Content-Length: 300\r\n\r\n") + b"half",
        _head("Content-Length: 60000000\r\n\r\n") + b"x" * 100_000,
        _head("Content-Length: -5\r\n\r\n"),
        _head("Content-Length: 4\r\nContent-Length: 9\r\n\r\nabcd"),
        _head(f"Content-Length: {len(INNER) + 5}\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n") + INNER,
        _head(f"Transfer-Encoding: chunked\r\nContent-Length: {len(INNER) + 5}\r\n\r\n0\r\n\r\n") + INNER,
        _head("Transfer-Encoding: chunked\r\n\r\n4\r\nabcd\r\nzz\r\nabcd\r\n0\r\n\r\n"),
        _head("Transfer-Encoding: chunked\r\n\r\n4;x=") + b"e" * 300_000,
        _head("Transfer-Encoding: chunked\r\n\r\n4\r\nabcd\r\n0\r\nX-Pad: ") + b"p" * 300_000,
        _head("X-Pad: ") + b"p" * 200_000,
        _head("a line with no colon\r\n\r\n"),
        _head("\r\n", method="GET"),  # wrong method for the class
        _head("Content-Length: 0\r\n\r\n", cls="safe"),
        _head("Content-Length: 0\r\nIdempotency-Key: k\r\n\r\n"),
        _head("Content-Length: 0\r\n\r\n", cls="unsafes") * 600,
    ],
)
def test_a_bad_request_gets_one_error_or_a_close_and_reaches_no_server(data: bytes) -> None:
    run(_rejected, data)


async def _open_id() -> None:
    release = asyncio.Event()

    async def script(_seen: Seen) -> bytes:
        await release.wait()
        return OK

    async with rig(script) as r:
        one, two = await r.caller(), await r.caller()
        data = _head("Content-Length: 0\r\n\r\n")
        one.writer.write(data)
        await r.servers[0].until(lambda: bool(r.sends))
        assert (await two.ask(data))[0] == 409
        assert await two.ended() == b""
        release.set()
        assert (await one.answer())[0] == 200
        assert len(r.sends) == 1
        assert (await one.ask(data))[0] == 200  # it is free again
        assert not r.node.engine.open_ids


def test_the_id_of_another_open_request_is_rejected() -> None:
    run(_open_id)


async def _trailer() -> None:
    async with rig(serve_ok) as r:
        status, _, _ = await r.ask(
            _head(
                "Transfer-Encoding: chunked\r\n\r\n4\r\nabcd\r\n0\r\n"
                "X-Correlation-Id: 99\r\nX-Other: 1\r\n\r\n"
            )
        )
        assert status == 200
        assert r.sends[0].field("X-Correlation-Id") == "77" and r.sends[0].field("X-Other") is None


def test_trailers_are_ignored() -> None:
    run(_trailer)


async def _pipelined(count: int, drain: bool) -> None:
    async def script(seen: Seen) -> bytes:
        if drain and len(r.sends) == 1:
            r.node.drain()
        return reply(200, seen.body)

    async with rig(script) as r:
        caller = await r.caller()
        bodies = [b"%d" % i for i in range(count)]
        caller.writer.write(b"".join(call("unsafe", body) for body in bodies))
        for body in bodies:
            assert (await caller.answer())[::2] == (200, body)
        if drain:
            assert await caller.ended() == b""
            await r.until(r.node.finished.is_set)


@pytest.mark.parametrize(("count", "drain"), [(200, False), (40, True)])
def test_pipelined_requests_are_all_answered_in_order(count: int, drain: bool) -> None:
    run(_pipelined, count, drain)


async def _silent_connections() -> None:
    async with rig(serve_ok, sockets=128) as r:  # at most 40 callers
        regular = [await r.caller() for _ in range(20)]
        for caller in regular:
            assert (await caller.ask(call("unsafe")))[0] == 200
        incomplete = await r.caller()
        incomplete.writer.write(call("unsafe", b"whole")[:-2])
        await r.until(lambda: any(c.reading for c in r.node.callers.all))
        once = [await r.caller() for _ in range(15)]
        silent = [await r.caller() for _ in range(100)]
        for caller in regular:  # none was closed or refused
            assert (await caller.ask(call("unsafe")))[0] == 200
        incomplete.writer.write(b"le")
        assert (await incomplete.answer())[0] == 200
        for caller in (*once, *silent):
            assert await caller.ended() == b""
        assert len(r.node.callers.all) <= 40
        stay = []
        for _ in range(60):  # each sends one request and stays connected
            stay.append(await r.caller())
            assert (await stay[-1].ask(call("unsafe")))[0] == 200
        for caller in regular:
            assert (await caller.ask(call("unsafe")))[0] == 200


def test_silent_connections_do_not_push_out_regular_clients(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(eviction, "REUSE_GRACE_S", 2 * PATIENCE)  # for busy machines
    run(_silent_connections)


async def _incomplete_after_complete() -> None:
    async with rig(serve_ok) as r:
        caller = await r.caller()
        caller.writer.write(call("unsafe") + call("unsafe") + b"POST /api HTTP/1.1\r\n")
        assert [(await caller.answer())[0] for _ in range(3)] == [200, 200, 408]
        assert await caller.ended() == b""


def test_an_incomplete_request_after_complete_ones_is_rejected_after_them() -> None:
    run(_incomplete_after_complete)


async def _does_not_read() -> None:
    async def large(_seen: Seen) -> bytes:
        return reply(200, b"x" * 60_000)

    async with rig(large) as r:
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        sock.setblocking(False)
        await asyncio.get_running_loop().sock_connect(sock, ("127.0.0.1", r.node.port))
        await asyncio.get_running_loop().sock_sendall(sock, b"".join(call("unsafe") for _ in range(200)))
        await r.until(lambda: len(r.node.callers.all) == 1)
        await r.until(lambda: not r.node.callers.all)  # disconnected
        assert len(r.sends) < 200
        sock.close()


def test_a_caller_that_reads_nothing_is_disconnected() -> None:
    run(_does_not_read)


# Reloaded configurations ----------------------------------------------------------------------


async def _lookup(*hosts: dict[str, object], seq: int = 1) -> tuple[Discovery, asyncio.Server]:
    found = Discovery()
    found.hosts, found.seq = list(hosts), seq
    return found, await asyncio.start_server(found, "127.0.0.1", 0)


def _rewrite(path: Path, old: str, new: str) -> None:
    other = path.with_suffix(".new")
    other.write_text(path.read_text().replace(old, new))
    os.replace(other, path)


async def _answers(port: int, body: bytes) -> None:
    """Waits until requests are answered with `body`; until then, each must be answered."""
    async with asyncio.timeout(PATIENCE):
        while True:
            status, _, got = await (await connect(port)).ask(call("unsafe"))
            assert status == 200
            if got == body:
                return
            await asyncio.sleep(0.02)


async def _reloaded(path: Path) -> None:
    async def other(_seen: Seen) -> bytes:
        return reply(200, b"other")

    one, two = Server(serve_ok), Server(other)
    listeners = [await asyncio.start_server(server, "127.0.0.1", 0) for server in (one, two)]
    dials = [address_of(listener) for listener in listeners]
    first, lookup_1 = await _lookup(entry("s0", dials[0]), seq=900)
    # Without s0, and with lower sequence numbers.
    second, lookup_2 = await _lookup(entry("s1", dials[1]), seq=3)
    third, lookup_3 = await _lookup(entry("s0", dials[0]), seq=3)
    nowhere = f"127.0.0.1:{free_port()}"
    async with program(path, [entry("s0", dials[0])], address_of(lookup_1)) as (process, port):
        await _answers(port, b"done")
        text = path.read_text()
        path.write_text("{ no JSON")
        process.send_signal(signal.SIGHUP)
        await asyncio.sleep(0.2)
        await _answers(port, b"done")
        path.write_text(text)
        _rewrite(path, address_of(lookup_1), nowhere)  # the old list stays in use while discovery is down
        process.send_signal(signal.SIGHUP)
        await asyncio.sleep(0.2)
        await _answers(port, b"done")
        _rewrite(path, nowhere, address_of(lookup_2))
        process.send_signal(signal.SIGHUP)
        await _answers(port, b"other")
        _rewrite(path, address_of(lookup_2), address_of(lookup_3))
        process.send_signal(signal.SIGHUP)
        process.send_signal(signal.SIGHUP)
        await _answers(port, b"done")
        await third.watches(1)
        third.replace(entry("s1", dials[1]))
        await _answers(port, b"other")
        process.send_signal(signal.SIGTERM)
        process.send_signal(signal.SIGHUP)
        async with asyncio.timeout(PATIENCE):
            assert await process.wait() == 0
    for listener in (*listeners, lookup_1, lookup_2, lookup_3):
        listener.close()


def test_sighup_switches_to_the_new_discovery_without_interruption(tmp_path: Path) -> None:
    run(_reloaded, tmp_path / "config.json")


async def _reloaded_under_load(path: Path) -> None:
    async def slow(_seen: Seen) -> bytes:
        await asyncio.sleep(0.05)
        return OK

    server = Server(slow)
    listener = await asyncio.start_server(server, "127.0.0.1", 0)
    hosts = [entry("s0", address_of(listener))]
    lookups = [await _lookup(*hosts) for _ in range(3)]
    places = [address_of(lookup) for _, lookup in lookups]

    async def client(caller: Caller) -> None:
        for _ in range(20):
            assert (await caller.ask(call("unsafe")))[0] == 200

    async with program(path, hosts, places[0]) as (process, port):
        load = asyncio.gather(*[client(await connect(port)) for _ in range(3)])
        for old, new in zip(places, places[1:], strict=False):
            await asyncio.sleep(0.1)
            _rewrite(path, old, new)
            process.send_signal(signal.SIGHUP)
        await load
        await lookups[2][0].watches(1)
        assert process.returncode is None
    for waiting in (listener, *(lookup for _, lookup in lookups)):
        waiting.close()


def test_sighup_under_load_loses_no_request(tmp_path: Path) -> None:
    run(_reloaded_under_load, tmp_path / "config.json")


# Idle connections that servers drop -----------------------------------------------------------


async def _dropped() -> None:
    async def script(seen: Seen) -> bytes | None:
        if len([s for s in r.sends if s.connection == seen.connection]) > 1:  # reused: dropped without notice
            reset(seen.writer)
            return None
        return OK

    async with rig(script) as r:
        caller = await r.caller()
        assert (await caller.ask(call("safe")))[0] == 200
        # The reused connection breaks and the request is retried.
        assert (await caller.ask(call("safe")))[0] == 200
        for _ in range(3):
            await asyncio.sleep(0.1)
            assert (await caller.ask(call("unsafe")))[0] == 200  # on new connections
        assert r.servers[0].connections == 5


def test_after_a_stale_connection_unsafe_requests_use_new_connections() -> None:
    run(_dropped)
