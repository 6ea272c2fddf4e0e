"""The node over loopback sockets: one answer, exact outcomes, and what each class allows."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

import pytest
import uvloop

from tests.net import OK, PATIENCE, Seen, call, reply, reset, rig, serve_ok


def run(test: Callable[..., Coroutine[Any, Any, None]], *args: Any) -> None:
    async def limited() -> None:
        async with asyncio.timeout(3 * PATIENCE):
            await test(*args)

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(limited())


async def _serves() -> None:
    async def script(seen: Seen) -> bytes:
        return reply(200, b"\x00\xff" + seen.body, "Content-Type: a/b\r\n")

    async with rig(script) as r:
        caller = await r.caller()
        for _ in range(3):
            status, head, body = await caller.ask(call("unsafe", b"\r\n\x00x", target="/api?a=1"))
            assert (status, body) == (200, b"\x00\xff\r\n\x00x")
            assert b"Content-Type: a/b" in head
        seen = r.servers[0].seen[0]
        assert seen.head.startswith(b"POST /api?a=1 HTTP/1.1\r\n") and seen.field("X-Correlation-Id")
        left = seen.field("X-Time-Left")
        assert left and left.endswith("u") and 0 < int(left[:-1]) < 6_000_000
        assert r.servers[0].connections == 1  # kept alive


def test_bodies_and_the_request_line_pass_unchanged() -> None:
    run(_serves)


async def _unsafe_outcome(answer: bytes | str, sends: int, status: int) -> None:
    async def script(seen: Seen) -> bytes | None:
        if len(r.sends) > 1:
            return OK
        if isinstance(answer, bytes) and b"short" not in answer:
            return answer
        if isinstance(answer, bytes):
            seen.writer.write(answer)
        if answer == "reset":
            reset(seen.writer)
        seen.writer.close()
        return None

    async with rig(script, script) as r:
        got, _, _ = await r.ask(call("unsafe"))
        assert got == status
        assert len(r.sends) == sends


@pytest.mark.parametrize(("answer", "sends", "status"), [
    (OK, 1, 200),
    (reply(500), 1, 502),
    (reply(404), 1, 502),
    (reply(204), 1, 502),
    (reply(503), 1, 502),
    (reply(504), 1, 502),
    (reply(503, extra="X-Unprocessed: 0\r\n"), 1, 502),
    (reply(503, extra="X-Unprocessed: 1\r\n"), 2, 200),
    (reply(504, extra="X-Unprocessed: 1\r\n"), 2, 200),
    (reply(500, extra="X-Unprocessed: 1\r\n"), 1, 502),
    (b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nshort", 1, 502),
    (b"no HTTP at all\r\n\r\n", 1, 502),
    ("reset", 1, 502),
    ("end", 1, 502),
])
def test_an_unsafe_request_goes_out_again_only_if_it_never_ran(answer: bytes | str, sends: int,
                                                               status: int) -> None:
    async def cut(*args: Any) -> None:
        await _unsafe_outcome(*args)

    run(cut, answer, sends, status)


async def _refused_connection() -> None:
    async with rig(serve_ok, serve_ok) as r:
        closed = await asyncio.start_server(r.servers[1], "127.0.0.1", 0)
        port = closed.sockets[0].getsockname()[1]
        closed.close()
        await closed.wait_closed()
        for name, server in r.node.servers.items():
            if name == "s0":
                server.port = port
        for _ in range(8):
            status, _, _ = await r.ask(call("unsafe"))
            assert status == 200
        assert not r.servers[0].seen


def test_a_refused_connection_proves_that_an_unsafe_request_never_ran() -> None:
    run(_refused_connection)
