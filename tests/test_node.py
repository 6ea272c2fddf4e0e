"""The node over loopback sockets: one answer per request, exact outcomes, and what each class allows."""

from __future__ import annotations

import asyncio
import re
import socket
import time
from collections.abc import Callable, Coroutine
from contextlib import suppress
from typing import Any

import pytest
import uvloop

from minthitch.engine import Server
from minthitch.interface import SetTimer, TimerFired
from minthitch.net.pool import Connection, Pool
from tests.net import OK, PATIENCE, SETTINGS, Seen, call, reply, reset, rig, serve_ok


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
        assert r.servers[0].connections == 1  # the connection was kept alive


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


@pytest.mark.parametrize(
    ("answer", "sends", "status"),
    [
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
    ],
)
def test_an_unsafe_request_is_retried_only_if_it_never_ran(
    answer: bytes | str, sends: int, status: int
) -> None:
    async def cut(*args: Any) -> None:
        await _unsafe_outcome(*args)

    run(cut, answer, sends, status)


async def _refused_connection() -> None:
    async with rig(serve_ok, serve_ok) as r:
        closed = await asyncio.start_server(r.servers[1], "127.0.0.1", 0)
        port = closed.sockets[0].getsockname()[1]
        closed.close()
        await closed.wait_closed()
        for name, server in r.node.engine.server_table.by_name.items():
            if name == "s0":
                server.port = port
        for _ in range(8):
            status, _, _ = await r.ask(call("unsafe"))
            assert status == 200
        assert not r.servers[0].seen


def test_a_refused_connection_proves_that_an_unsafe_request_never_ran() -> None:
    run(_refused_connection)


async def _never(_seen: Seen) -> None:
    return None


async def _timeout(cls: str, status: int) -> None:
    async with rig(_never, _never) as r:
        got, head, _ = await r.ask(call(cls, left="700m"))
        assert got == status
        assert len(r.sends) >= 1
        pause = re.search(rb"\r\nRetry-After: (\d+\.\d+)\r\n", head)
        assert bool(pause) == (status == 503)
        assert pause is None or 0.15 <= float(pause[1]) <= 0.49  # 0.04 to 0.12 of the latency target
    async with rig(_never, policyLimits={"retryAfter": False}) as r:
        _, head, _ = await r.ask(call(cls, left="300m"))
        assert b"Retry-After" not in head


def test_a_timeout_fails_unsafe_and_refuses_safe_requests() -> None:
    run(_timeout, "unsafe", 502)
    run(_timeout, "safe", 503)


async def _keyed_retried_in_its_cell() -> None:
    async def script(seen: Seen) -> bytes:
        return reply(500) if len(r.sends) == 1 else OK

    async with rig(script, script, script) as r:
        cells = {"s0": 0, "s1": 0, "s2": 1}
        r.discovery.change(*({**host, "block": cells[host["host"]]} for host in r.discovery.hosts))
        await r.until(lambda: r.node.engine.server_table.seq == 2)
        for _ in range(12):
            for server in r.servers:
                server.seen.clear()
            status, _, _ = await r.ask(call("keyed", b"x"))
            assert status in (200, 502)
            cell = {cells[f"s{i}"] for i, server in enumerate(r.servers) if server.seen}
            assert len(cell) == 1  # a retry in another cell would take effect twice
            assert {seen.field("Idempotency-Key") for seen in r.sends} == {"k1"}


def test_a_keyed_request_that_may_have_run_is_retried_only_in_its_cell() -> None:
    run(_keyed_retried_in_its_cell)


# With so long a latency target one server's chance to answer in time is too small: safe requests are sent to
# several servers at once.
PARALLEL_CLASSES = [{**spec, "objectiveNs": 8000 * 1_000_000} for spec in SETTINGS["classes"]]


async def _parallel_attempts() -> None:
    async def script(seen: Seen) -> bytes | None:
        first.append(seen)
        return None if len(first) == 1 else OK

    first: list[Seen] = []
    async with rig(script, script, script, classes=PARALLEL_CLASSES) as r:
        caller = await r.caller()
        status, _, body = await caller.ask(call("safe", left="2000m"))
        assert (status, body) == (200, b"done")
        assert len(r.sends) > 1
        silent = next(s for s in r.servers if s.seen and s.seen[0] is first[0])
        await silent.until(lambda: silent.closed == 1)  # the slower attempt's connection is closed, not kept
        again, _, _ = await caller.ask(call("safe"))
        assert again == 200
        await r.until(lambda: not r.node.engine.requests)


def test_the_first_answer_of_parallel_attempts_wins_and_the_others_are_cancelled() -> None:
    run(_parallel_attempts)


async def _simultaneous_answers() -> None:
    both = asyncio.Event()

    async def script(seen: Seen) -> bytes:
        if len(r.sends) > 1:
            both.set()
        with suppress(TimeoutError):
            async with asyncio.timeout(0.2):
                await both.wait()
        return reply(200, str(seen.connection).encode())

    async with rig(script, script, script, classes=PARALLEL_CLASSES) as r:
        caller, most = await r.caller(), 0
        for _ in range(20):  # two answers arrive at once: each request is answered once and in order
            both.clear()
            for server in r.servers:
                server.seen.clear()
            status, _, body = await caller.ask(call("safe", left="2000m"))
            assert status == 200 and body.isdigit()
            most = max(most, len(r.sends))
        assert most > 1
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.2):
                await caller.reader.read(1)  # nothing more arrives


def test_simultaneous_answers_reach_the_caller_once() -> None:
    run(_simultaneous_answers)


async def _stale() -> None:
    async def script(seen: Seen) -> bytes:
        seen.writer.write(OK)
        await seen.writer.drain()
        seen.writer.close()
        return b""

    async with rig(script) as r:
        for _ in range(3):
            status, _, _ = await r.ask(call("unsafe"))
            assert status == 200
            await r.until(lambda: not r.node.pool.connections)  # closed when the peer closes
        assert r.servers[0].connections == 3


def test_an_idle_connection_that_the_server_closed_is_not_reused() -> None:
    run(_stale)


async def _idle_dropped() -> None:
    async with rig(serve_ok, policyLimits={"idleCloseNs": 400 * 1_000_000}) as r:
        await r.ask(call("safe"))
        await r.servers[0].until(lambda: r.servers[0].closed == 1)


def test_idle_connections_are_closed_before_the_server_closes_them() -> None:
    run(_idle_dropped)


async def _restarted(change: dict[str, Any]) -> None:
    async with rig(serve_ok) as r:
        await r.ask(call("safe"))
        host = {**r.discovery.hosts[0], **change}
        if "dial" in change:
            second = await asyncio.start_server(r.servers[0], "127.0.0.1", 0)
            host["dial"] = f"127.0.0.1:{second.sockets[0].getsockname()[1]}"
        r.discovery.change(host)
        await r.servers[0].until(lambda: r.servers[0].closed == 1)
        before = r.node.engine.server_table.by_name["s0"].entry.started
        r.discovery.change(host)
        await r.until(lambda: r.node.engine.server_table.seq == 3)
        # a later start would discard what is known of the server
        assert r.node.engine.server_table.by_name["s0"].entry.started == before


def test_a_restarted_or_moved_server_loses_its_idle_connections() -> None:
    run(_restarted, {"born_ms": 1_700_000_000_000})
    run(_restarted, {"dial": ""})


async def _drained() -> None:
    async with rig(serve_ok, serve_ok) as r:
        r.discovery.change({**r.discovery.hosts[0], "health": "draining"})
        await r.until(lambda: r.node.engine.server_table.seq == 2)
        for _ in range(10):
            assert (await r.ask(call("safe")))[0] == 200
        assert not r.servers[0].seen and r.servers[1].seen
        r.discovery.change(dict(r.discovery.hosts[1], health="removed"), r.discovery.hosts[0])
        await r.until(lambda: r.node.engine.server_table.seq == 3)
        r.servers[1].seen.clear()
        for _ in range(10):
            assert (await r.ask(call("safe")))[0] == 200
        assert r.servers[0].seen and not r.servers[1].seen


def test_nothing_new_goes_to_a_draining_or_removed_server() -> None:
    run(_drained)


class Gate:
    """Holds new connections back until `opened` is set."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.opened, self.waiting = asyncio.Event(), 0
        real = Pool._open

        async def held(pool: Pool, server: Server) -> Connection:
            connection = await real(pool, server)
            self.waiting += 1
            await self.opened.wait()
            return connection

        monkeypatch.setattr(Pool, "_open", held)


async def _drained_while_connecting(monkeypatch: pytest.MonkeyPatch) -> None:
    gate = Gate(monkeypatch)
    async with rig(
        serve_ok, rules={"drainGraceNs": 0}, policyLimits={"connectTimeoutNs": 60_000 * 1_000_000}
    ) as r:
        caller = await r.caller()
        caller.writer.write(call("unsafe", left="900m"))
        await r.until(lambda: gate.waiting == 1)
        r.discovery.change({**r.discovery.hosts[0], "health": "draining"})
        await r.until(lambda: r.node.engine.server_table.seq == 2)
        gate.opened.set()
        status, _, _ = await caller.answer()
        assert status == 503  # the request never left the node, so a retry is harmless
        assert not r.servers[0].seen


def test_an_attempt_that_connects_past_the_drain_grace_is_not_written(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    run(_drained_while_connecting, monkeypatch)


async def _gone_while_connecting(monkeypatch: pytest.MonkeyPatch) -> None:
    gate = Gate(monkeypatch)
    async with rig(serve_ok) as r:
        caller = await r.caller()
        caller.writer.write(call("unsafe"))
        await r.until(lambda: gate.waiting == 1)
        caller.writer.close()
        await r.until(lambda: not r.node.engine.open)
        gate.opened.set()
        await r.until(lambda: not r.node.engine.requests)
        assert not r.servers[0].seen


def test_an_attempt_whose_caller_left_while_it_connected_is_not_written(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    run(_gone_while_connecting, monkeypatch)


async def _partly_sent(monkeypatch: pytest.MonkeyPatch) -> None:
    async def script(_seen: Seen) -> bytes:
        return OK

    async def stuck(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readexactly(1)  # a part has arrived; the rest can't be sent because the buffers are full
        await release.wait()
        reset(writer)

    release = asyncio.Event()
    async with rig(script) as r:
        listener = socket.create_server(("127.0.0.1", 0))
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2048)
        slow = await asyncio.start_server(stuck, sock=listener, limit=1024)
        real = Pool._open

        async def narrow(pool: Pool, server: Server) -> Connection:
            sock = socket.socket()
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 2048)
            sock.connect(listener.getsockname())
            sock.setblocking(False)
            _, connection = await pool.loop.create_connection(lambda: Connection(pool, server), sock=sock)
            return connection

        monkeypatch.setattr(Pool, "_open", narrow)
        caller = await r.caller()
        caller.writer.write(call("unsafe", b"x" * 65_536))
        await r.until(lambda: any(c.attempt for c in r.node.pool.connections))
        assert not next(iter(r.node.pool.connections)).written
        monkeypatch.setattr(Pool, "_open", real)
        release.set()
        status, _, _ = await caller.answer()
        # Not sent in full, so it never ran and was retried.
        assert status == 200 and len(r.servers[0].seen) == 1
        slow.close()


def test_a_break_before_the_last_byte_was_sent_proves_that_the_request_never_ran(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    run(_partly_sent, monkeypatch)


async def _caller_gone() -> None:
    patient = [{**spec, "deadlineNs": 90_000 * 1_000_000} for spec in SETTINGS["classes"]]
    async with rig(_never, classes=patient) as r:
        caller = await r.caller()
        caller.writer.write(call("unsafe", left="90000m"))
        await r.servers[0].until(lambda: bool(r.servers[0].seen))
        caller.writer.close()
        # Nobody waits for the answer: the attempt is cancelled.
        await r.servers[0].until(lambda: r.servers[0].closed == 1)
        await r.until(lambda: not r.node.engine.requests)
        assert (await r.ask(b"GET /ready HTTP/1.1\r\n\r\n"))[0] == 200


def test_a_caller_that_leaves_ends_its_request() -> None:
    run(_caller_gone)


HEAD = "X-Correlation-Id: 1\r\nX-Service-Class: safe\r\n"


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"no HTTP at all\r\n\r\n", 400),
        (b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03", 400),
        (f"GET /api HTTP/1.1\r\n{HEAD}X-Time-Left: soon\r\n\r\n".encode(), 400),
        (f"GET /api HTTP/1.1\r\n{HEAD}X-Time-Left: -5m\r\n\r\n".encode(), 400),
        (f"GET /api HTTP/1.1\r\n{HEAD}X-Weight-Hint: much\r\n\r\n".encode(), 400),
        (f"GET /api HTTP/1.1\r\n{HEAD}X-Correlation-Id: 2\r\n\r\n".encode(), 400),
        (b"GET /api HTTP/1.1\r\nX-Service-Class: safe\r\n\r\n", 400),
        (b"GET /api HTTP/1.1\r\nX-Correlation-Id: 1\r\nX-Service-Class: none\r\n\r\n", 400),
        (b"POST /api HTTP/1.1\r\nX-Correlation-Id: 1\r\nX-Service-Class: keyed\r\n\r\n", 400),
        (f"POST /api HTTP/1.1\r\n{HEAD}Content-Length: x\r\n\r\n".encode(), 400),
        (b"GET /elsewhere HTTP/1.1\r\n\r\n", 404),
        (b"DELETE /api HTTP/1.1\r\n\r\n", 405),
        (b"POST /ready HTTP/1.1\r\nContent-Length: 0\r\n\r\n", 405),
        (f"POST /api HTTP/1.1\r\n{HEAD}Content-Length: 35651585\r\n\r\n".encode(), 413),
        (b"GET /api HTTP/1.1\r\nX: " + b"x" * 40_000 + b"\r\n\r\n", 431),
    ],
)
def test_bad_input_gets_an_error_and_the_node_continues(
    data: bytes, status: int, capfd: pytest.CaptureFixture[str]
) -> None:
    async def bad() -> None:
        async with rig(serve_ok) as r:
            caller = await r.caller()
            assert (await caller.ask(data))[0] == status
            assert len(capfd.readouterr().err.splitlines()) == 1
            assert (await r.ask(call("safe")))[0] == 200

    run(bad)


async def _max_open() -> None:
    async with rig(_never, policyLimits={"maxOpen": 2}) as r:
        held = [await r.caller() for _ in range(2)]
        for caller in held:
            caller.writer.write(call("unsafe"))
        await r.until(lambda: len(r.node.engine.open) == 2)
        assert (await r.ask(call("unsafe")))[0] == 503
        assert len(r.sends) <= 2


def test_requests_over_the_limit_are_refused() -> None:
    run(_max_open)


async def _pipelined() -> None:
    async with rig(serve_ok) as r:
        caller = await r.caller()
        caller.writer.write(call("unsafe") + call("safe") + b"GET /no HTTP/1.1\r\n\r\n")
        assert [(await caller.answer())[0] for _ in range(3)] == [200, 200, 404]


def test_requests_sent_at_once_on_a_connection_are_answered_in_turn() -> None:
    run(_pipelined)


async def _balancer_fails(monkeypatch: pytest.MonkeyPatch) -> None:
    async with rig(serve_ok) as r:
        real = r.node.engine.balancer.handle

        def failing(now: int, event: Any) -> Any:
            if type(event).__name__ == "RequestArrived":
                raise IndexError("out of range")
            return real(now, event)

        monkeypatch.setattr(r.node.engine.balancer, "handle", failing)
        assert (await r.ask(call("safe")))[0] == 502
        monkeypatch.setattr(r.node.engine.balancer, "handle", lambda now, event: [])
        assert (await r.ask(call("safe", left="200m")))[0] == 502  # held until its deadline
        monkeypatch.setattr(r.node, "handle_request", lambda caller, call: 1 // 0)
        assert (await r.ask(call("safe")))[0] == 502  # an error before the balancer is reached
        monkeypatch.undo()
        assert (await r.ask(call("safe")))[0] == 200


def test_every_caller_is_answered_when_the_balancer_fails(monkeypatch: pytest.MonkeyPatch) -> None:
    run(_balancer_fails, monkeypatch)


async def _events_queued(monkeypatch: pytest.MonkeyPatch) -> None:
    async with rig(serve_ok) as r:
        depth, deepest, handled, real = 0, 0, 0, r.node.engine.balancer.handle

        def watched(now: int, event: Any) -> Any:
            nonlocal depth, deepest, handled
            depth, handled = depth + 1, handled + 1
            deepest = max(deepest, depth)
            if type(event) is not TimerFired:
                r.node.engine.post(TimerFired(1 << 40 | 1))  # arrives while the balancer handles an event
            actions = real(now, event)
            depth -= 1
            return actions

        monkeypatch.setattr(r.node.engine.balancer, "handle", watched)
        assert (await r.ask(call("safe")))[0] == 200
        assert deepest == 1 and handled >= 4


def test_events_are_queued_while_the_balancer_handles_one(monkeypatch: pytest.MonkeyPatch) -> None:
    run(_events_queued, monkeypatch)


async def _timers() -> None:
    async with rig(serve_ok) as r:
        early: list[int] = []
        due: dict[int, int] = {}

        def posted(event: Any) -> None:
            early.append(due.pop(event.token) - time.monotonic_ns())

        r.node.engine.post = posted  # type: ignore[method-assign]
        for token in range(300):
            delay = 1_000_000 + token * 70_001
            due[token] = time.monotonic_ns() + delay
            r.node.engine._execute(SetTimer(token, delay))
        await r.until(lambda: not due)
        assert max(early) <= 0  # an early timer would be ignored, and no other would follow


def test_no_timer_fires_early() -> None:
    run(_timers)
