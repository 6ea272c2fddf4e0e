"""The node as a process: configuration, SIGTERM, a restart from the configured list, and the watch."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import subprocess
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import pytest

from minthitch.policy import Balancer
from rigs.process import free_port
from tests.net import (
    OK,
    PATIENCE,
    SETTINGS,
    Caller,
    Discovery,
    Seen,
    Server,
    address_of,
    call,
    entry,
    rig,
    serve_ok,
)
from tests.test_node import run

ROOT = Path(__file__).parent.parent


@asynccontextmanager
async def program(
    path: Path, known: list[dict[str, Any]], where: str
) -> AsyncIterator[tuple[asyncio.subprocess.Process, int]]:
    port = free_port()
    path.write_text(
        json.dumps(
            {
                "name": "n1",
                "listen": f"127.0.0.1:{port}",
                "discovery": where,
                "seed": "8c1f30d27a5be964",
                "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
                "known": {"seq": 41, "whole": True, "hosts": known},
                "settings": SETTINGS,
                "peers": [],
            }
        )
    )
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "minthitch", cwd=ROOT, env={**os.environ, "BALANCER_CONFIG": str(path)}
    )
    try:
        async with asyncio.timeout(PATIENCE):
            while await ready(port) != 200:
                assert process.returncode is None
                await asyncio.sleep(0.02)
        yield process, port
    finally:
        if process.returncode is None:
            process.kill()
        await process.wait()


async def connect(port: int) -> Caller:
    return Caller(*await asyncio.open_connection("127.0.0.1", port))


async def ready(port: int) -> int:
    try:
        caller = await connect(port)
        status, _, _ = await caller.ask(b"GET /ready HTTP/1.1\r\nConnection: close\r\n\r\n")
        return status
    except (OSError, asyncio.IncompleteReadError):
        return 0


async def _restart_from_known(path: Path) -> None:
    server = Server(serve_ok)
    listener = await asyncio.start_server(server, "127.0.0.1", 0)
    nowhere = f"127.0.0.1:{free_port()}"  # discovery is down
    async with program(path, [entry("s0", address_of(listener))], nowhere) as (_, port):
        assert (await (await connect(port)).ask(call("unsafe")))[0] == 200
    listener.close()


def test_a_restart_serves_from_the_configured_list_while_discovery_is_down(tmp_path: Path) -> None:
    run(_restart_from_known, tmp_path / "config.json")


async def _sigterm(path: Path) -> None:
    release = asyncio.Event()

    async def script(_seen: Seen) -> bytes:
        await release.wait()
        return OK

    server, found = Server(script), Discovery()
    listener = await asyncio.start_server(server, "127.0.0.1", 0)
    lookup = await asyncio.start_server(found, "127.0.0.1", 0)
    found.hosts = [entry("s0", address_of(listener))]
    async with program(path, found.hosts, address_of(lookup)) as (process, port):
        idle, held = await connect(port), await connect(port)
        held.writer.write(call("unsafe"))
        await server.until(lambda: len(server.seen) == 1)
        process.send_signal(signal.SIGTERM)
        async with asyncio.timeout(PATIENCE):
            while await ready(port) != 503:  # no longer ready, but still accepting
                await asyncio.sleep(0.005)
        late = await connect(port)
        late.writer.write(call("unsafe"))
        await server.until(lambda: len(server.seen) == 2)
        assert await idle.ended() == b""
        release.set()
        for caller in (held, late):
            status, head, body = await caller.answer()
            assert (status, body) == (200, b"done") and b"Connection: close" in head
        async with asyncio.timeout(PATIENCE):
            assert await process.wait() == 0
    for each in (listener, lookup):
        each.close()


def test_sigterm_answers_open_and_new_requests_and_exits_with_0(tmp_path: Path) -> None:
    run(_sigterm, tmp_path / "config.json")


GOOD = {"name": "n", "listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "seed": "1", "settings": SETTINGS}


@pytest.mark.parametrize(
    "text",
    [
        None,
        "",
        "no JSON",
        "[]",
        "{}",
        json.dumps({**GOOD, "settings": {}}),
        json.dumps({**GOOD, "listen": "x"}),
        json.dumps({**GOOD, "seed": "no hex"}),
        json.dumps({**GOOD, "known": {"hosts": 3}}),
        json.dumps({**GOOD, "limits": {"sockets": "many"}}),
        json.dumps({**GOOD, "limits": [1]}),
        json.dumps({**GOOD, "discovery": 5}),
    ],
)
def test_a_bad_configuration_is_reported_in_one_line(text: str | None, tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    if text is not None:
        path.write_text(text)
    env = {k: v for k, v in os.environ.items() if not k.startswith("BALANCER_")}
    done = subprocess.run(
        [sys.executable, "-m", "minthitch"],
        cwd=ROOT,
        capture_output=True,
        text=True,
        env={**env, "BALANCER_CONFIG": str(path)},
        timeout=60,
    )
    assert done.returncode == 2 and not done.stdout
    assert len(done.stderr.splitlines()) == 1 and done.stderr.startswith("minthitch: ")


async def _watch_lost() -> None:
    async with rig(serve_ok, serve_ok) as r:
        await r.discovery.watches(1)
        # Resumes from the configured list's sequence number.
        assert r.discovery.targets == ["/v1/endpoints?watch=1&after=7"]
        r.discovery.change(dict(r.discovery.hosts[0], health="draining"))
        await r.until(lambda: r.node.engine.server_table.seq == 2)
        r.discovery.hosts[0]["health"] = "draining"
        r.discovery.writers[0].transport.abort()
        await r.discovery.watches(2)
        assert r.discovery.targets[1] == "/v1/endpoints?watch=1&after=2"
        assert (await r.ask(call("safe")))[0] == 200
        r.discovery.change(dict(r.discovery.hosts[1], health="removed"))
        await r.until(lambda: list(r.node.engine.server_table.by_name) == ["s0"])


def test_a_watch_that_ends_is_resumed() -> None:
    run(_watch_lost)


@pytest.mark.parametrize(
    "line",
    [
        b"no JSON",
        b"[]",
        b'{"seq": 9}',
        b'{"seq": 9, "hosts": [4]}',
        b'{"seq": "x", "hosts": []}',
        b'{"seq": 9, "hosts": [{"host": "s0", "dial": "nowhere", "health": "up"}]}',
        b'{"seq": 9, "hosts": [{"host": "s0", "dial": "127.0.0.1:9", "health": "odd"}]}',
        b'{"seq": 9, "hosts": [{"host": "s0", "dial": "some.name:9", "health": "up"}]}',
        b'{"seq": 9, "whole": true, "hosts": [{"host": "s0", "dial": "127.0.0.1:9", "born_ms": "now"}]}',
    ],
)
def test_a_bad_line_is_logged_and_the_old_list_stays(line: bytes, capfd: pytest.CaptureFixture[str]) -> None:
    async def bad() -> None:
        async with rig(serve_ok) as r:
            await r.discovery.watches(1)
            await r.until(lambda: r.node.engine.server_table.seq == 1)
            r.discovery.send(r.discovery.writers[0], line)
            await r.discovery.watches(2)
            assert "watch: " in capfd.readouterr().err
            assert list(r.node.engine.server_table.by_name) == ["s0"]
            assert (await r.ask(call("safe")))[0] == 200

    run(bad)


async def _on_demand() -> None:
    async with rig(serve_ok, registryMode="ask", rules={"mustAskInNs": 400_000_000}) as r:
        await r.discovery.watches(1)
        r.discovery.writers[0].transport.abort()
        await r.discovery.watches(2)  # the balancer subscribes again
        assert (await r.ask(call("safe")))[0] == 200


def test_in_on_demand_mode_the_balancer_subscribes() -> None:
    run(_on_demand)


async def _ready_waits() -> None:
    async with rig(serve_ok, known=False, watch=False) as r:
        assert (await r.ask(b"GET /ready HTTP/1.1\r\n\r\n"))[0] == 503
    async with rig(serve_ok, known=False) as r:
        await r.discovery.watches(1)
        await r.until(r.node.ready)
        assert (await r.ask(b"GET /ready HTTP/1.1\r\n\r\n"))[0] == 200


def test_ready_waits_for_a_list() -> None:
    run(_ready_waits)


async def _answers_all_before_sigkill() -> None:
    async def never(_seen: Seen) -> None:
        return None

    async with rig(never) as r:
        before, after = await r.caller(), await r.caller()
        before.writer.write(call("unsafe"))
        await r.until(lambda: len(r.sends) == 1)
        async with asyncio.timeout(5.5):  # the requests' own deadline is at 6 s
            r.node.drain()
            after.writer.write(call("unsafe"))
            for caller in (before, after):
                assert (await caller.answer())[0] == 502
            await r.node.finished.wait()


def test_shutdown_answers_all_requests_before_sigkill() -> None:
    run(_answers_all_before_sigkill)


async def _silent_watch() -> None:
    async with rig(serve_ok, serve_ok) as r:
        r.discovery.beats = False  # the open watch goes silent but does not end
        r.discovery.hosts = [dict(r.discovery.hosts[0], health="draining"), r.discovery.hosts[1]]
        r.discovery.seq += 1
        balancer = r.node.engine.balancer
        assert isinstance(balancer, Balancer)
        await r.until(lambda: len(balancer.servers) == 1)
        assert r.discovery.targets[-1] == "/v1/endpoints?watch=1&after=1"


def test_a_silent_watch_is_reopened() -> None:
    run(_silent_watch)
