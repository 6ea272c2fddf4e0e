"""Bodies of megabytes in both directions: complete or visibly broken, at the slower side's pace, bounded."""

from __future__ import annotations

import asyncio
import gc
import random
import re
from collections.abc import AsyncIterator

import pytest

from minthitch.engine.calls import Message
from minthitch.engine.stream import Stream
from minthitch.net import callers
from minthitch.net.body_memory import OVERTAKE_WINDOW_S, BodyMemory
from tests.net import OK, PATIENCE, Caller, Rig, Seen, call, reply, reset, rig
from tests.test_node import run

LONG = random.Random(5).randbytes(3_000_001)


# Without I/O ------------------------------------------------------------------------------------


def test_the_memory_limit_holds_and_every_body_completes() -> None:
    for seed in range(200):
        rng, room = random.Random(seed), BodyMemory[int](1_000, 2_600)
        left = {who: rng.choice([[10], [300], [990], [1_500], [200] * 6]) for who in range(40)}
        asked, now, got, may = dict.fromkeys(left, 0), 0.0, set[int](), set[int]()
        coming = list(left)
        while len(got) < len(left):
            now += rng.random()
            if coming and rng.random() < 0.6:
                may.add(coming.pop())
            elif may and rng.random() < 0.7:
                who = rng.choice(sorted(may))
                may.discard(who)
                if left[who]:  # a body of unknown length reserves in steps
                    asked[who] += left[who].pop()
                    may |= {who} if room.reserve(who, asked[who], now) else set()
                else:
                    got.add(who)
                    room.release(who)
            may |= set(room.grant_waiting(now))
            assert room.used == sum(room.held.values()) <= 2_600
    assert not room.held and not room.waiting and room.used == 0


def test_small_bodies_overtake_a_large_one_only_for_a_while() -> None:
    room = BodyMemory[str](100, 200)
    assert room.reserve("a", 60, 0.0) and not room.reserve("large", 90, 0.0)
    assert room.reserve("b", 30, OVERTAKE_WINDOW_S / 2)
    assert not room.reserve("c", 5, OVERTAKE_WINDOW_S)
    room.release("a")
    room.release("b")
    assert room.grant_waiting(OVERTAKE_WINDOW_S) == ["large", "c"]


def test_if_nobody_can_continue_one_body_is_dropped_for_the_others() -> None:
    room = BodyMemory[str](100, 120)
    for who in ("a", "b"):
        assert room.reserve(who, 50, 0.0)
    assert not room.reserve("a", 90, 0.1) and not room.reserve("b", 80, 0.2)
    assert room.grant_waiting(0.3) == [] and room.evict_stuck() == "a"
    assert room.grant_waiting(0.3) == ["b"] and room.evict_stuck() is None
    assert room.held == {"b": 80}


class _Ends:
    """The producer and the sink of a stream."""

    def __init__(self) -> None:
        self.said: list[object] = []

    def pause(self) -> None:
        self.said.append("pause")

    def resume(self) -> None:
        self.said.append("resume")

    def drop(self) -> None:
        self.said.append("drop")

    def receive(self, data: bytes) -> None:
        self.said.append(data)

    def ended(self, whole: bool) -> None:
        self.said.append(whole)


@pytest.mark.parametrize(
    ("script", "said"),
    [
        ("feed start feed finish", [b"1", "resume", b"3", True, "settled True"]),
        ("feed finish start", [b"1", True, "settled True"]),
        ("start feed break finish drop", ["resume", b"2", False, "settled False"]),
        ("start feed drop finish", ["resume", b"2", "settled False", "drop"]),
        ("feed drop", ["settled False", "drop"]),
        ("start pause resume finish pause resume", ["resume", "pause", "resume", True, "settled True"]),
    ],
)
def test_a_stream_ends_once_and_in_order(script: str, said: list[object]) -> None:
    ends = _Ends()
    stream = Stream(None, ends)
    stream.on_end = lambda whole: ends.said.append(f"settled {whole}")
    for number, deed in enumerate(script.split(), 1):
        if deed == "feed":
            stream.feed(b"%d" % number)
        elif deed == "start":
            stream.start(ends)
        elif deed in ("finish", "break"):
            stream.finish(deed == "finish")
        else:
            getattr(stream, deed)()
    assert ends.said == said


# Answers ----------------------------------------------------------------------------------------


def _chunked(body: bytes, size: int) -> bytes:
    parts = [body[i : i + size] for i in range(0, len(body), size)]
    return (
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        + b"".join(b"%x\r\n%b\r\n" % (len(part), part) for part in parts)
        + b"0\r\n\r\n"
    )


async def _body(caller: Caller, version: bytes = b"1.1") -> bytes:
    """The body of one answer, with any framing."""
    async with asyncio.timeout(PATIENCE):
        head = await caller.reader.readuntil(b"\r\n\r\n")
        assert head.startswith(b"HTTP/1.1 200 ")
        if size := re.search(rb"(?i)content-length: (\d+)", head):
            return await caller.reader.readexactly(int(size[1]))
        if b"chunked" not in head:
            return await caller.reader.read()
        body = b""
        while size_line := int(await caller.reader.readuntil(b"\n"), 16):
            body += (await caller.reader.readexactly(size_line + 2))[:-2]
        await caller.reader.readline()
        return body


async def _passes(answer: bytes) -> None:
    async def script(seen: Seen) -> bytes:
        return answer

    async with rig(script) as r:
        caller = await r.caller()
        for _ in range(3):
            caller.writer.write(call("unsafe"))
            assert await _body(caller) == LONG
        assert r.servers[0].connections == 1 and r.node.metrics().counts.served[2] == 3
        old = await r.caller()
        old.writer.write(call("unsafe").replace(b"HTTP/1.1", b"HTTP/1.0"))
        assert await _body(old) == LONG  # an HTTP/1.0 client without chunked encoding
        assert not r.node.pool.buffered_bytes


@pytest.mark.parametrize("answer", [reply(200, LONG), _chunked(LONG, 70_000), _chunked(LONG, 999)])
def test_long_answers_pass_unchanged_on_kept_connections(answer: bytes) -> None:
    run(_passes, answer)


async def _slow_reader() -> None:
    sent = 0

    async def script(seen: Seen) -> None:
        nonlocal sent
        seen.writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 32000000\r\n\r\n")
        for _ in range(320):
            seen.writer.write(b"x" * 100_000)
            await seen.writer.drain()
            sent += 100_000

    async with rig(script) as r:
        caller = await r.caller()
        caller.reader._limit = 1  # type: ignore[attr-defined]  # stops reading at once
        caller.writer.write(call("unsafe"))
        await r.until(lambda: sent > 0)
        before = -1
        while before != sent:  # until no more bytes are sent
            before = sent
            await asyncio.sleep(0.3)
        assert sent < 16_000_000 and r.node.metrics().inflight == 1
        fast = await r.caller()
        assert (await fast.ask(b"GET /ready HTTP/1.1\r\n\r\n"))[0] == 200
        caller.writer.transport.abort()  # the caller leaves: nothing more of its answer is read
        await r.servers[0].until(lambda: r.servers[0].closed == 1)
        assert r.node.metrics().inflight == 0 and not r.node.pool.connections


def test_a_slow_reader_slows_down_only_its_server() -> None:
    run(_slow_reader)


async def _breaks(how: str) -> None:
    async def script(seen: Seen) -> bytes | None:
        framing = b"Transfer-Encoding: chunked" if how == "chunks" else b"Content-Length: 500000"
        first = b"186A0\r\n" + b"x" * 100_000 if how == "chunks" else b"x" * 100_000
        seen.writer.write(b"HTTP/1.1 200 OK\r\n" + framing + b"\r\n\r\n" + first)
        await seen.writer.drain()
        await r.until(lambda: r.node.metrics().inflight == 1 and bool(r.node.callers.all))
        await asyncio.sleep(0.1)
        if how == "chunks":
            seen.writer.write(b"\r\nno chunk\r\n")
            return None
        reset(seen.writer)
        return None

    async with rig(script, script) as r:
        caller = await r.caller()
        caller.writer.write(call("safe"))
        with pytest.raises((asyncio.IncompleteReadError, ConnectionResetError)):
            await _body(caller)
        assert len(r.sends) == 1  # its first bytes have been sent on, so it can't be retried
        counts = r.node.metrics().counts
        assert counts.failed[0] == 1 and counts.served[0] == 0


@pytest.mark.parametrize("how", ["reset", "chunks"])
def test_the_caller_sees_that_a_streamed_answer_broke(how: str) -> None:
    run(_breaks, how)


async def _by_the_end(head: bytes, size: int, how: str, status: int) -> None:
    async def script(seen: Seen) -> None:
        seen.writer.write(b"HTTP/1." + head + b"\r\n\r\n" + LONG[:size])
        await seen.writer.drain()
        if how == "end":
            seen.writer.write_eof()
        elif size:
            await asyncio.sleep(0.2)  # until the node has read it
            reset(seen.writer)

    async with rig(script) as r:
        caller = await r.caller()
        caller.writer.write(call("unsafe", left="3000m"))
        if status == 200:
            assert await _body(caller) == LONG[:size]
        else:
            assert (await caller.answer())[0] == status
        assert len(r.sends) == 1


@pytest.mark.parametrize(
    ("head", "size", "how", "status"),
    [
        (b"1 200 OK\r\nConnection: close", 5, "end", 200),
        (b"1 200 OK\r\nConnection: x, Close", 3_000_000, "end", 200),
        (b"0 200 OK\r\nX: y", 5, "end", 200),
        (b"1 200 OK\r\nX: y", 5, "end", 502),  # nothing says that the end of the connection ends the body
        (b"1 200 OK\r\nConnection: close", 5, "reset", 502),
        (b"1 200 OK\r\nConnection: close\r\nContent-Length: 9", 5, "end", 502),
        (b"1 500 x\r\nConnection: close", 5, "end", 502),
    ],
)
def test_an_answer_framed_by_the_connections_end(head: bytes, size: int, how: str, status: int) -> None:
    run(_by_the_end, head, size, how, status)


# Requests ---------------------------------------------------------------------------------------


async def _pieces(data: bytes, size: int) -> AsyncIterator[bytes]:
    for i in range(0, len(data), size):
        yield data[i : i + size]
        await asyncio.sleep(0)


async def _upload(r: Rig, body: bytes, chunk: int, cls: str = "unsafe") -> int:
    """Sends a request with a long body, with chunked encoding if `chunk` is not 0."""
    caller = await r.caller()
    head = call(cls, extra="Transfer-Encoding: chunked\r\n" if chunk else "")
    head = head.replace(b"Content-Length: 0\r\n", b"" if chunk else b"Content-Length: %d\r\n" % len(body))
    caller.writer.write(head)
    async for part in _pieces(body, chunk or 100_000):
        caller.writer.write(b"%x\r\n%b\r\n" % (len(part), part) if chunk else part)
        await caller.writer.drain()
    caller.writer.write(b"0\r\n\r\n" if chunk else b"")
    return (await caller.answer())[0]


async def _retried(chunk: int) -> None:
    async def script(seen: Seen) -> bytes:
        return reply(503, extra="X-Unprocessed: 1\r\n") if len(r.sends) == 1 else OK

    async with rig(script, script) as r:
        assert await _upload(r, LONG, chunk) == 200
        assert [seen.body == LONG for seen in r.sends] == [True, True]
        assert r.node.callers.body_memory.used == 0


@pytest.mark.parametrize("chunk", [0, 64_000, 333])
def test_a_long_request_body_is_retried_in_full_if_it_never_ran(chunk: int) -> None:
    run(_retried, chunk)


async def _many() -> None:
    async def script(seen: Seen) -> bytes:
        assert r.node.callers.body_memory.used <= room + len(LONG)
        return reply(200, b"%d" % len(seen.body))

    async with rig(script) as r:
        room = r.node.callers.body_memory.limit = 2 * len(LONG)
        r.node.callers.body_memory.hard_limit = room + len(LONG)
        left = await r.caller()  # leaves while it holds memory
        left.writer.write(call("unsafe").replace(b"Content-Length: 0", b"Content-Length: 3000000"))
        await r.until(lambda: r.node.callers.body_memory.used > 0)
        asks = [asyncio.create_task(_upload(r, LONG, i % 2 * 50_000)) for i in range(12)]
        await r.until(lambda: bool(r.node.callers.body_memory.waiting))
        left.writer.close()
        assert await asyncio.gather(*asks) == [200] * 12
        assert r.node.callers.body_memory.used == 0


def test_many_long_bodies_wait_for_memory_and_all_complete() -> None:
    run(_many)


async def _freed() -> None:
    async def script(seen: Seen) -> bytes:
        return reply(500) if len(r.sends) % 2 else OK

    def messages() -> int:
        return sum(isinstance(thing, Message) for thing in gc.get_objects())

    async with rig(script, script) as r:
        await r.ask(call("keyed", b"x"))
        gc.collect()
        before = messages()
        gc.disable()
        try:
            for cls in ("keyed", "unsafe", "keyed", "unsafe"):
                await r.ask(call(cls, b"x" * 100_000))
            await r.until(lambda: not r.node.engine.requests)
            assert messages() <= before
        finally:
            gc.enable()


def test_a_finished_request_frees_its_body_without_the_garbage_collector() -> None:
    run(_freed)


async def _no_memory() -> None:
    async def script(seen: Seen) -> bytes:
        return OK

    async with rig(script) as r:
        r.node.callers.body_memory.limit, r.node.callers.body_memory.hard_limit = 1_000_000, 1_200_000
        callers = [await r.caller() for _ in range(3)]
        for caller in callers:  # no length is given, and none of them ends
            caller.writer.write(
                call("unsafe", extra="Transfer-Encoding: chunked\r\n").replace(b"Content-Length: 0\r\n", b"")
            )
            caller.writer.write((b"186A0\r\n" + b"x" * 100_000 + b"\r\n") * 12)
        statuses = sorted([(await caller.answer())[0] for caller in callers])
        assert statuses[-1] == 503 and set(statuses) <= {408, 413, 503}
        longer = call("unsafe").replace(b"Content-Length: 0", b"Content-Length: 1300000")
        assert (await r.ask(longer))[0] == 413
        assert not r.sends and r.node.callers.body_memory.used == 0


def test_bodies_that_never_fit_are_rejected_and_hold_no_memory() -> None:
    run(_no_memory)


async def _slow(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(callers, "REQUEST_TIMEOUT_S", 0.3)
    monkeypatch.setattr(callers, "MIN_BODY_RATE", 1_000)
    monkeypatch.setattr(callers, "BODY_STALL_S", 0.6)

    async def script(seen: Seen) -> bytes:
        return OK

    async with rig(script) as r:
        steady, stalled = await r.caller(), await r.caller()
        for caller in (steady, stalled):
            caller.writer.write(call("unsafe").replace(b"Content-Length: 0", b"Content-Length: 6000"))
        stalled.writer.write(b"x" * 3_000)
        for _ in range(20):  # slower than every limit in total, but steady
            steady.writer.write(b"x" * 300)
            await asyncio.sleep(0.08)
        assert (await steady.answer())[0] == 200
        assert (await stalled.answer())[0] == 408


def test_a_body_may_arrive_slowly_but_not_stall(monkeypatch: pytest.MonkeyPatch) -> None:
    run(_slow, monkeypatch)


async def _spaces() -> None:
    async def script(seen: Seen) -> bytes:
        assert seen.field("X-Correlation-Id") == "7"
        return OK

    async with rig(script) as r:
        status, _, _ = await r.ask(
            b"POST /api HTTP/1.1\r\nX-Correlation-Id:\t7 \r\nX-Service-Class:unsafe \t\r\n"
            b"X-Time-Left:   900m  \r\nContent-Length: 3 \r\n\r\nabc"
        )
        assert status == 200


def test_whitespace_around_a_field_value_is_ignored() -> None:
    run(_spaces)
