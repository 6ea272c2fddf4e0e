"""The client library: outcomes, limits, and hosts that block, flood, cancel, fork or exit."""

from __future__ import annotations

import asyncio
import signal
import subprocess
import sys
import textwrap
import threading
import time
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import pytest
import uvloop

from minthitch import (
    BadCall,
    BlockingClient,
    Client,
    ClientClosed,
    ConfigError,
    Failed,
    Refused,
    RequestClass,
    Served,
    Settings,
    configure,
)
from minthitch.embedded import loop_queue
from minthitch.embedded.pending import PendingCall
from minthitch.interface import SECOND, Effect
from rigs.discovery import entry
from rigs.servers import OK, PATIENCE, Script, Seen, reply, serve_ok
from tests.embedded import Tier, library, tier
from tests.net import MS, SETTINGS
from tests.test_node import PARALLEL_CLASSES, run

ROOT = Path(__file__).parent.parent
SAFE_ONLY = Settings(classes=(RequestClass("safe", SECOND, 4 * SECOND, Effect.SAFE),), max_attempts=3)


async def never(_seen: Seen) -> None:
    return None


async def until(ready: Callable[[], bool]) -> None:
    async with asyncio.timeout(PATIENCE):
        while not ready():
            await asyncio.sleep(0.005)


# Outcomes ---------------------------------------------------------------------------------------


async def _outcomes() -> None:
    async def script(seen: Seen) -> bytes:
        if seen.body == b"fail":
            return reply(500)
        if seen.body == b"refuse":
            return reply(503, extra="X-Unprocessed: 1\r\n")
        return reply(200, b"\x00" + seen.body, "Content-Type: a/b\r\nX-More: 1\r\n")

    async with library(script) as lib:
        served = await lib.client.call(
            "unsafe",
            "/sale?x=%20",
            body=b"ticket",
            tenant="acme",
            session="s1",
            cost=0.05,
            repeat=True,
            headers={"X-Trace": "t"},
        )
        assert isinstance(served, Served) and served.body == b"\x00ticket"
        assert served.content_type == b"a/b" and (b"x-more", b"1") in served.fields
        seen = lib.tier.sends[0]
        assert seen.head.startswith(b"POST /sale?x=%20 HTTP/1.1\r\n")
        wanted = {
            "X-Account": "acme",
            "X-Session-Key": "s1",
            "X-Repeat": "1",
            "X-Trace": "t",
            "Host": "test",
            "X-Weight-Hint": "50000.000",
            "X-Service-Class": "unsafe",
            "Content-Length": "6",
        }
        assert {name: seen.field(name) for name in wanted} == wanted
        assert isinstance(await lib.client.call("unsafe", body=b"fail"), Failed)
        assert len(lib.tier.sends) == 2  # it may have run, so it is not resent
        refused = await lib.client.call("unsafe", body=b"refuse", timeout=0.5)
        assert isinstance(refused, Refused) and 0 < refused.retry_after <= 2.0
        assert lib.client.held == 0


def test_a_call_ends_served_refused_or_failed() -> None:
    run(_outcomes)


async def _keyed() -> None:
    async with library(serve_ok) as lib:
        assert isinstance(await lib.client.call("keyed", body=b"trip", key="k9"), Served)
        assert lib.tier.sends[0].field("Idempotency-Key") == "k9"


def test_a_keyed_call_carries_its_key() -> None:
    run(_keyed)


@pytest.mark.parametrize(
    ("arguments", "words"),
    [
        ({"service_class": "none"}, "unknown class 'none'"),
        ({"service_class": "keyed"}, "Idempotency-Key"),
        ({"service_class": "unsafe", "key": "k"}, "Idempotency-Key"),
        ({"service_class": "unsafe", "body": b"x" * 65_537}, "65537 bytes"),
        ({"service_class": "safe", "target": "no"}, "bad target"),
        ({"service_class": "safe", "target": "/a b"}, "bad target"),
        ({"service_class": "safe", "target": "/a\r\nX: 1"}, "bad target"),
        ({"service_class": "safe", "headers": {"X-A": "1\r\nX-B: 2"}}, "X-A"),
        ({"service_class": "safe", "headers": {"X A": "1"}}, "X A"),
        ({"service_class": "safe", "headers": {"X-A": "€"}}, "headers"),
        ({"service_class": "safe", "headers": {"X-A": "x" * 33_000}}, "too long"),
        ({"service_class": "safe", "headers": {"X-Correlation-Id": "2"}}, "given twice"),
        ({"service_class": "safe", "timeout": 0.0}, "timeout 0.0"),
        ({"service_class": "safe", "timeout": float("nan")}, "timeout nan"),
        ({"service_class": "safe", "cost": -1.0}, "cost -1.0"),
    ],
)
def test_an_invalid_call_is_rejected_with_the_reason(arguments: dict[str, Any], words: str) -> None:
    async def bad() -> None:
        async with library(serve_ok) as lib:
            with pytest.raises(BadCall, match=words):
                await lib.client.call(**arguments)
            assert not lib.tier.sends and lib.client.held == 0
            assert isinstance(await lib.client.call("safe"), Served)

    run(bad)


async def _duplicate_identity() -> None:
    async with library(never) as lib:
        first = asyncio.ensure_future(lib.client.call("unsafe", identity="one", timeout=1.0))
        await lib.tier.servers[0].until(lambda: bool(lib.tier.sends))
        with pytest.raises(BadCall, match="open request") as caught:
            await lib.client.call("unsafe", identity="one")
        assert caught.value.status == 409
        assert isinstance(await first, Failed)
        assert len(lib.tier.sends) == 1


def test_the_identity_of_an_open_call_is_rejected() -> None:
    run(_duplicate_identity)


@pytest.mark.parametrize(
    "answer",
    [
        b"no HTTP at all\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\ncut short",
        reply(204),
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
    ],
)
def test_a_malformed_or_truncated_answer_is_a_failure(answer: bytes) -> None:
    async def malformed() -> None:
        async def script(seen: Seen) -> bytes | None:
            seen.writer.write(answer)
            await seen.writer.drain()
            seen.writer.close()
            return None

        async with library(script, script) as lib:
            assert isinstance(await lib.client.call("unsafe"), Failed)
            assert len(lib.tier.sends) == 1

    run(malformed)


async def _drained() -> None:
    async with library(serve_ok, serve_ok, watch=True) as lib:
        await until(lambda: lib.client.ready)
        found = lib.tier.discovery
        found.change({**found.hosts[0], "health": "draining"})
        worker = lib.client._worker
        await until(lambda: worker.engine is not None and worker.engine.server_table.seq == 2)
        for _ in range(10):
            assert isinstance(await lib.client.call("safe"), Served)
        assert not lib.tier.servers[0].seen and lib.tier.servers[1].seen


def test_no_call_goes_to_a_draining_server() -> None:
    run(_drained)


# Hosts that block, leave or flood ---------------------------------------------------------------


def _spin(seconds: float) -> None:
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        pass


@asynccontextmanager
async def tier_elsewhere(
    *scripts: Script, hosts: bool = True
) -> AsyncIterator[tuple[Tier, Callable[..., object]]]:
    """A tier on its own thread, as the test blocks its loop; and a function that schedules calls there."""
    found: list[Tier] = []
    up, end = threading.Event(), threading.Event()
    loops: list[asyncio.AbstractEventLoop] = []

    async def servers() -> None:
        async with tier(*scripts) as running:
            if not hosts:
                running.discovery.hosts = []
            found.append(running)
            loops.append(asyncio.get_running_loop())
            up.set()
            await asyncio.to_thread(end.wait)

    thread = threading.Thread(target=lambda: asyncio.run(servers()))
    thread.start()
    await asyncio.to_thread(up.wait)
    try:
        yield found[0], loops[0].call_soon_threadsafe
    finally:
        end.set()
        await asyncio.to_thread(thread.join)


async def _blocked(block: Callable[[float], None]) -> None:
    closed: list[float] = []

    async def script(seen: Seen) -> bytes | None:
        if seen.field("X-Silent"):
            await seen.reader.read()
            closed.append(time.monotonic())
            return b""
        return OK

    classes = [{**spec, "deadlineNs": 900 * MS, "objectiveNs": 800 * MS} for spec in SETTINGS["classes"]]
    async with (
        tier_elsewhere(script, script, script) as (servers, _),
        Client(servers.config(classes=classes)) as client,
    ):
        worker = client._worker
        settled: list[float] = []
        discard = worker.discard

        def discard_and_record(pending: PendingCall) -> None:
            settled.append(time.monotonic())
            discard(pending)

        worker.discard = discard_and_record  # type: ignore[method-assign]
        began = time.monotonic()
        calls = [asyncio.ensure_future(client.call("unsafe", headers={"X-Silent": "1"})) for _ in range(3)]
        calls += [asyncio.ensure_future(client.call("safe")) for _ in range(3)]
        await asyncio.sleep(0.05)
        block(2.0)
        assert client.held == 0  # all were settled while the host's loop was blocked
        assert len(settled) == 6 and max(settled) < began + 1.9
        assert len(closed) == 3 and max(closed) < began + 1.9  # and the servers saw their connections closed
        answers = await asyncio.gather(*calls)
        assert [type(answer) for answer in answers] == [Failed] * 3 + [Served] * 3


@pytest.mark.parametrize("block", [time.sleep, _spin])
def test_a_host_that_blocks_its_loop_for_2_s_keeps_every_deadline(block: Callable[[float], None]) -> None:
    run(_blocked, block)


async def _race_while_blocked() -> None:
    """The first attempt gets no answer; a second one starts and wins while the host's loop is blocked."""
    first: list[int] = []

    async def script(seen: Seen) -> bytes | None:
        first.append(seen.connection)
        return None if len(first) == 1 else OK

    async with (
        tier_elsewhere(script, script, script) as (servers, _),
        Client(servers.config(classes=PARALLEL_CLASSES)) as client,
    ):
        call = asyncio.ensure_future(client.call("safe", timeout=2.0))
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        time.sleep(1.5)
        assert client.held == 0 and len(first) > 1
        assert isinstance(await call, Served)


def test_a_second_attempt_starts_and_wins_while_the_host_blocks() -> None:
    run(_race_while_blocked)


async def _drain_while_blocked() -> None:
    """Calls are held as no server is listed; a list with a draining server comes while the host blocks."""
    async with (
        tier_elsewhere(serve_ok, serve_ok, hosts=False) as (servers, there),
        Client(servers.config(watch=True)) as client,
    ):
        await until(lambda: bool(servers.discovery.writers) and client.ready)
        calls = [asyncio.ensure_future(client.call(cls)) for cls in ("safe", "unsafe", "safe")]
        await asyncio.sleep(0.05)
        assert client.held == 3
        first, second = (entry(f"s{i}", address) for i, address in enumerate(servers.addresses))
        there(servers.discovery.change, {**first, "health": "draining"}, second)
        time.sleep(1.5)
        assert client.held == 0
        assert [type(answer) for answer in await asyncio.gather(*calls)] == [Served] * 3
        assert not servers.servers[0].seen and len(servers.servers[1].seen) == 3


def test_a_server_list_with_a_drain_is_applied_while_the_host_blocks() -> None:
    run(_drain_while_blocked)


async def _one_wake() -> None:
    async with library(serve_ok) as lib:
        worker = lib.client._worker
        inbox = worker.inbox
        assert inbox is not None
        hold, holding = threading.Event(), threading.Event()

        def block_loop() -> None:
            holding.set()
            hold.wait()

        inbox.loop.call_soon_threadsafe(block_loop)
        holding.wait()
        before = inbox.wake_ups
        calls = [asyncio.ensure_future(lib.client.call("safe")) for _ in range(50)]
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        assert inbox.wake_ups == before + 1  # 50 calls, one wake-up
        result_queue = lib.client._result_queue()
        hold.set()
        answered = result_queue.wake_ups
        await asyncio.gather(*calls)
        assert 1 <= result_queue.wake_ups - answered <= 50


def test_a_batch_of_calls_wakes_the_engine_once() -> None:
    run(_one_wake)


async def _answers_in_one_wake() -> None:
    loop = asyncio.get_running_loop()
    taken: list[int] = []
    result_queue = loop_queue.LoopQueue(loop, taken.append)
    thread = threading.Thread(target=lambda: [result_queue.put(i) for i in range(3_000)])
    thread.start()
    thread.join()  # the loop is blocked meanwhile
    assert result_queue.wake_ups == 1 and not taken
    await asyncio.sleep(0)
    assert len(taken) == loop_queue.MAX_BATCH  # a flood leaves time for the loop's timers
    await until(lambda: len(taken) == 3_000)
    assert taken == list(range(3_000))


def test_answers_for_a_blocked_host_need_one_wake_up_and_come_in_order_and_in_batches() -> None:
    run(_answers_in_one_wake)


async def _cancelled() -> None:
    async with library(never) as lib:
        call = asyncio.ensure_future(lib.client.call("unsafe"))
        await lib.tier.servers[0].until(lambda: bool(lib.tier.sends))
        call.cancel()
        with pytest.raises(asyncio.CancelledError):
            await call
        await lib.tier.servers[0].until(lambda: lib.tier.servers[0].closed == 1)  # its attempt is cancelled
        await until(lambda: lib.client.held == 0)
        engine = lib.client._worker.engine
        assert engine is not None
        await until(lambda: not engine.requests and not engine.open_ids)


def test_cancelling_the_awaiting_task_abandons_the_call() -> None:
    run(_cancelled)


async def _cancelled_before() -> None:
    async with library(serve_ok) as lib:
        call = asyncio.ensure_future(lib.client.call("unsafe"))
        await asyncio.sleep(0)
        call.cancel()
        with pytest.raises(asyncio.CancelledError):
            await call
        await until(lambda: lib.client.held == 0)


def test_a_call_cancelled_at_once_leaves_no_state() -> None:
    run(_cancelled_before)


async def _flood() -> None:
    async with library(never, policyLimits={"maxOpen": 20}) as lib:
        calls = [asyncio.ensure_future(lib.client.call("unsafe", timeout=1.5)) for _ in range(2_000)]
        answers = await asyncio.gather(*calls)
        refused = [a for a in answers if isinstance(a, Refused)]
        over = [a for a in refused if a.reason == "too many calls are held"]
        assert len(over) == 1_980  # all but the 20 that were held
        assert all(0 < a.retry_after <= 2.0 for a in over)
        assert len(lib.tier.sends) <= 20 and lib.client.held == 0
        engine = lib.client._worker.engine
        assert engine is not None
        await until(lambda: not engine.requests and not engine.open and not engine.open_ids)


def test_calls_over_max_open_are_refused_at_once() -> None:
    run(_flood)


# Hosts that exit --------------------------------------------------------------------------------


async def _leaves_the_context() -> None:
    async with tier(never) as servers:
        client = Client(servers.config(), close_within=0.5)
        async with client:
            calls = [asyncio.ensure_future(client.call(cls)) for cls in ("unsafe", "safe", "unsafe")]
            await servers.servers[0].until(lambda: len(servers.sends) == 3)
            began = time.monotonic()
        assert time.monotonic() - began < 0.5 + PATIENCE / 4
        assert all(call.done() for call in calls)
        assert {type(call.result()) for call in calls} <= {Failed, Refused}
        with pytest.raises(ClientClosed, match="the client is closed"):
            await client.call("safe")
        with pytest.raises(ClientClosed, match="started once"):
            await client.start()
        await client.aclose()  # a second close has no effect


def test_leaving_the_context_manager_settles_held_calls_within_close_within() -> None:
    run(_leaves_the_context)


async def _call_while_closing() -> None:
    async with tier(never) as servers:
        client = Client(servers.config(), close_within=0.6)
        with pytest.raises(ClientClosed, match="not started"):
            await client.call("safe")
        await client.start()
        held = asyncio.ensure_future(client.call("unsafe"))
        await servers.servers[0].until(lambda: bool(servers.sends))
        closing = asyncio.ensure_future(client.aclose())
        await asyncio.sleep(0)
        with pytest.raises(ClientClosed, match="the client is closing"):
            await client.call("safe")
        assert not held.done()
        await closing
        assert isinstance(held.result(), Failed)


def test_a_call_during_close_is_rejected_while_held_calls_are_settled() -> None:
    run(_call_while_closing)


async def _answer_while_closing() -> None:
    release = asyncio.Event()

    async def script(_seen: Seen) -> bytes:
        await release.wait()
        return OK

    async with tier(script) as servers:
        client = Client(servers.config())
        await client.start()
        held = asyncio.ensure_future(client.call("unsafe"))
        await servers.servers[0].until(lambda: bool(servers.sends))
        closing = asyncio.ensure_future(client.aclose())
        await asyncio.sleep(0.05)
        release.set()
        await closing
        assert isinstance(held.result(), Served)  # its answer came within close_within


def test_a_close_waits_for_answers() -> None:
    run(_answer_while_closing)


HEAD = """
import asyncio, os, signal, sys, threading, time
sys.path.insert(0, {root!r})
from minthitch import *
settings = Settings(classes=(RequestClass("buy", 10**9, 30 * 10**9),), max_attempts=2)
config = configure(settings, servers=[{address!r}])
"""


async def _program(
    body: str, address: str, *, signal_at: Callable[[], bool] | None = None, send: int = signal.SIGTERM
) -> tuple[int, str, float]:
    """Run a host program; returns its exit code, its output, and the seconds it ran after the signal."""
    code = HEAD.format(root=str(ROOT), address=address) + textwrap.dedent(body)
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-c", code, stdout=subprocess.PIPE, stderr=subprocess.STDOUT
    )
    began = time.monotonic()
    try:
        if signal_at is not None:
            await until(signal_at)
            began = time.monotonic()
            process.send_signal(send)
        async with asyncio.timeout(PATIENCE):
            out, _ = await process.communicate()
    finally:
        if process.returncode is None:
            process.kill()
            await process.wait()
    assert process.returncode is not None
    return process.returncode, out.decode(), time.monotonic() - began


SIGTERM_HOST = """
async def one(client):
    print(type(await client.call("buy")).__name__, flush=True)

async def main():
    client = Client(config, close_within=0.5, settle_on_sigterm=True)
    await client.start()
    await asyncio.gather(*(one(client) for _ in range(3)))
    await asyncio.sleep(30)

if {uv}:
    import uvloop
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(main())
else:
    asyncio.run(main())
"""


async def _sigterm(uv: bool) -> None:
    async with tier(never) as servers:
        code, out, took = await _program(
            SIGTERM_HOST.replace("{uv}", str(uv)),
            servers.addresses[0],
            signal_at=lambda: len(servers.sends) == 3,
        )
        assert out.split() == ["Failed"] * 3, out  # each host task got its answer before the process ended
        assert code == -signal.SIGTERM  # then the signal ended the process
        assert took < 0.5 + PATIENCE / 4
        await servers.servers[0].until(lambda: servers.servers[0].closed == 3)


@pytest.mark.parametrize("uv", [False, True])
def test_sigterm_settles_held_calls_then_ends_the_process(uv: bool) -> None:
    run(_sigterm, uv)


async def _exits_without_closing() -> None:
    async with tier(never) as servers:
        body = """
        client = BlockingClient(config, close_within=0.5)
        client.start()
        def hold():
            os.write(1, type(client.call("buy")).__name__.encode() + b"\\n")
        for _ in range(2):
            threading.Thread(target=hold, daemon=True).start()
        while client.held < 2:
            time.sleep(0.01)
        time.sleep(0.2)
        """
        code, out, _ = await _program(body, servers.addresses[0])
        assert (code, out.split()) == (0, ["Failed", "Failed"]), out
        await servers.servers[0].until(lambda: servers.servers[0].closed == len(servers.sends) == 2)


def test_an_interpreter_exit_without_close_settles_held_calls() -> None:
    run(_exits_without_closing)


async def _asyncio_cancels_all() -> None:
    async with tier(never) as servers:
        body = """
        outcomes = []
        async def hold(client):
            try:
                outcomes.append(type(await client.call("buy")).__name__)
            except asyncio.CancelledError:
                outcomes.append("cancelled")
                raise
        async def main():
            global client
            client = Client(config, close_within=5.0)
            await client.start()
            for _ in range(3):
                tasks.append(asyncio.ensure_future(hold(client)))
            while client.held < 3:
                await asyncio.sleep(0.01)
            await asyncio.sleep(0.2)
        tasks = []
        began = time.monotonic()
        asyncio.run(main())
        while client.held:
            time.sleep(0.01)
        print(*outcomes, time.monotonic() - began < 4.0)
        """
        code, out, _ = await _program(body, servers.addresses[0])
        assert (code, out.split()) == (0, ["cancelled"] * 3 + ["True"]), out
        await servers.servers[0].until(lambda: servers.servers[0].closed == len(servers.sends) == 3)


def test_the_cancellation_of_all_tasks_by_asyncio_run_leaves_no_call_held() -> None:
    run(_asyncio_cancels_all)


async def _interrupted() -> None:
    async with tier(never) as servers:
        body = """
        async def main():
            async with Client(config, close_within=0.5) as client:
                await client.call("buy")
        try:
            asyncio.run(main())
        except KeyboardInterrupt:
            print("interrupted")
        """
        code, out, took = await _program(
            body, servers.addresses[0], send=signal.SIGINT, signal_at=lambda: len(servers.sends) == 1
        )
        assert (code, out.split()) == (0, ["interrupted"]), out
        assert took < PATIENCE / 2


def test_an_interrupt_ends_the_call_and_the_host() -> None:
    run(_interrupted)


# Forks, loops, threads --------------------------------------------------------------------------


async def _forked() -> None:
    async with tier(serve_ok) as servers:
        body = """
        client = BlockingClient(config)
        client.start()
        assert isinstance(client.call("buy"), Served)
        child = os.fork()
        if not child:
            try:
                client.call("buy")
            except ClientClosed as err:
                print("child:", err, flush=True)
            client.close()
            with BlockingClient(config) as own:
                print(type(own.call("buy")).__name__, flush=True)
            sys.exit(7)
        print(os.waitstatus_to_exitcode(os.waitpid(child, 0)[1]), flush=True)
        print(type(client.call("buy")).__name__, flush=True)
        client.close()
        """
        code, out, _ = await _program(body, servers.addresses[0])
        lines = out.splitlines()
        assert code == 0 and "before the fork: make one after the fork" in lines[0], out
        # The child's new client, its exit code, and the parent's client.
        assert lines[1:] == ["Served", "7", "Served"]


def test_after_a_fork_the_child_gets_an_error_and_the_parent_continues() -> None:
    run(_forked)


async def _two_loops() -> None:
    async with library(serve_ok) as lib:

        def other() -> object:
            async def ask() -> object:
                return await asyncio.gather(*(lib.client.call("safe") for _ in range(20)))

            with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
                return runner.run(ask())

        mine = asyncio.gather(*(lib.client.call("safe") for _ in range(20)))
        theirs = await asyncio.gather(*(asyncio.to_thread(other) for _ in range(3)))
        assert all(isinstance(a, Served) for a in await mine)
        assert all(isinstance(a, Served) for answers in theirs for a in answers)  # type: ignore[attr-defined]
        await lib.client.call("safe")
        await asyncio.to_thread(other)
        assert len(lib.client._result_queues) <= 2  # queues of closed loops are removed


def test_one_client_serves_several_loops() -> None:
    run(_two_loops)


@pytest.mark.parametrize("make", [asyncio.new_event_loop, uvloop.new_event_loop])
def test_the_host_may_run_stock_asyncio_or_uvloop(make: Callable[[], asyncio.AbstractEventLoop]) -> None:
    async def host() -> None:
        async with library(serve_ok) as lib:
            assert isinstance(await lib.client.call("safe"), Served)

    with asyncio.Runner(loop_factory=make) as runner:
        runner.run(host())


async def _two_clients() -> None:
    async with library(serve_ok) as one, library(serve_ok) as two:
        await asyncio.gather(*(lib.client.call("safe") for lib in (one, two) for _ in range(10)))
        assert len(one.tier.sends) >= 10 and len(two.tier.sends) >= 10
        await one.client.aclose()
        assert isinstance(await two.client.call("safe"), Served)


def test_two_clients_in_one_process_are_independent() -> None:
    run(_two_clients)


async def _ended_loop() -> None:
    """A host's loop is closed while its call is held: the answer is dropped, and the engine goes on."""
    async with library(never) as lib:
        loop = asyncio.new_event_loop()

        async def begin() -> asyncio.Task[object]:
            task: asyncio.Task[object] = asyncio.ensure_future(lib.client.call("unsafe", timeout=0.5))
            while not lib.client.held:
                await asyncio.sleep(0.01)
            return task

        task = await asyncio.to_thread(lambda: loop.run_until_complete(begin()))
        loop.close()
        await until(lambda: lib.client.held == 0)
        assert not task.done()
        task._log_destroy_pending = False  # type: ignore[attr-defined]
        assert isinstance(await lib.client.call("safe", timeout=0.3), (Refused, Failed))


def test_a_closed_host_loop_does_not_harm_the_engine() -> None:
    run(_ended_loop)


async def _engine_dies() -> None:
    async with library(never) as lib:
        held = asyncio.ensure_future(lib.client.call("unsafe"))
        await lib.tier.servers[0].until(lambda: bool(lib.tier.sends))
        inbox = lib.client._worker.inbox
        assert inbox is not None

        def die() -> None:
            raise SystemExit("as a fault that no handler catches")

        inbox.loop.call_soon_threadsafe(die)
        async with asyncio.timeout(PATIENCE):
            assert isinstance(await held, Failed)
        with pytest.raises(ClientClosed, match="as a fault"):
            await lib.client.call("safe")


def test_the_end_of_the_engines_thread_fails_held_calls() -> None:
    run(_engine_dies)


async def _blocking() -> None:
    async with tier(serve_ok) as servers:

        def host() -> list[object]:
            with BlockingClient(servers.config()) as client:
                answers: list[object] = []
                threads = [
                    threading.Thread(target=lambda: answers.append(client.call("keyed", key="k")))
                    for _ in range(8)
                ]
                for thread in threads:
                    thread.start()
                for thread in threads:
                    thread.join()
                with pytest.raises(BadCall):
                    client.call("none")
            with pytest.raises(ClientClosed):
                client.call("safe")
            return answers

        answers = await asyncio.to_thread(host)
        assert len(answers) == 8 and all(isinstance(a, Served) for a in answers)


def test_the_blocking_client_serves_threads_without_a_loop() -> None:
    run(_blocking)


# Configuration ----------------------------------------------------------------------------------


@pytest.mark.parametrize(
    ("arguments", "words"),
    [
        ({}, "either servers or discovery"),
        ({"servers": ["127.0.0.1:1"], "discovery": "127.0.0.1:2"}, "not both"),
        ({"servers": ["localhost:80"]}, "localhost:80"),
        ({"servers": ["127.0.0.1:1", "127.0.0.1:1"]}, "twice"),
    ],
)
def test_an_invalid_server_list_is_rejected_with_the_reason(arguments: dict[str, Any], words: str) -> None:
    with pytest.raises(ConfigError, match=words):
        configure(SAFE_ONLY, **arguments)


def test_an_invalid_close_within_is_rejected() -> None:
    with pytest.raises(ConfigError, match="close_within"):
        Client(configure(SAFE_ONLY, servers=["127.0.0.1:1"]), close_within=0)


def test_sigterm_needs_the_main_thread() -> None:
    errors: list[BaseException] = []

    def host() -> None:
        client = BlockingClient(configure(SAFE_ONLY, servers=["127.0.0.1:1"]), settle_on_sigterm=True)
        try:
            client.start()
        except ClientClosed as err:
            errors.append(err)
        finally:
            client.close()

    thread = threading.Thread(target=host)
    thread.start()
    thread.join(PATIENCE)
    assert "main thread" in str(errors[0])


async def _memory() -> None:
    """After the calls, the tables of the engine and the client are empty again."""
    async with library(serve_ok, serve_ok) as lib:
        for _ in range(5):
            await asyncio.gather(*(lib.client.call("safe", timeout=6.0) for _ in range(80)))
        engine, worker = lib.client._worker.engine, lib.client._worker
        assert engine is not None and worker.inbox is not None
        await until(
            lambda: not engine.requests and not engine.open and not engine.open_ids and not worker.held
        )
        assert not worker.inbox.items and len(lib.client._result_queues) == 1


def test_answered_calls_leave_no_state() -> None:
    run(_memory)


def test_the_package_exports_exactly_its_public_names() -> None:
    import minthitch

    assert set(dir(minthitch)) == set(minthitch.__all__)
    assert all(getattr(minthitch, name) is not None for name in minthitch.__all__)
    assert (Path(minthitch.__file__).parent / "py.typed").exists()
    with pytest.raises(AttributeError):
        getattr(minthitch, "nothing")  # noqa: B009
