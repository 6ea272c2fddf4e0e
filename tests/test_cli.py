"""The command line, run as processes: check, serve, demo and recovery."""

from __future__ import annotations

import asyncio
import io
import json
import os
import re
import signal
import subprocess
import sys
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

import pytest

from rigs.caller import Caller, call
from rigs.process import free_port
from rigs.servers import PATIENCE, serve_ok
from tests.embedded import tier
from tests.net import SETTINGS
from tests.test_node import run
from tests.test_service import ready

ROOT = Path(__file__).parent.parent
CLASSES = """
[[classes]]
name = "safe"
effect = "safe"
aim = "2s"
deadline = "6s"
"""


def command(*words: str, timeout: float = 60.0) -> subprocess.CompletedProcess[str]:
    environ = {name: value for name, value in os.environ.items() if not name.startswith("BALANCER_")}
    return subprocess.run(
        [sys.executable, "-m", "minthitch", *words],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=timeout,
        env=environ,
    )


def test_check_summarises_a_valid_configuration(tmp_path: Path) -> None:
    done = command("check", "deploy/minthitch.toml")
    assert done.returncode == 0 and not done.stderr
    described = json.loads(done.stdout.split(": good ", 1)[1])
    assert described["classes"] == {"route-search": "safe", "save-trip": "keyed", "buy-ticket": "unsafe"}
    assert described["servers"] == ["127.0.0.1:9001", "127.0.0.1:9002"]
    path = tmp_path / "platform.json"
    path.write_text(
        json.dumps({"name": "n", "listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "settings": SETTINGS})
    )
    assert command("check", str(path)).returncode == 0


@pytest.mark.parametrize(
    ("name", "text", "words"),
    [
        (
            "a.toml",
            'servers = ["127.0.0.1:1"]' + CLASSES.replace('"2s"', '"soon"'),
            "classes[0].aim = 'soon'",
        ),
        ("a.toml", 'server = ["127.0.0.1:1"]' + CLASSES, "server = ['127.0.0.1:1'] is unknown"),
        ("a.json", "{", "a.json"),
        ("a.json", '{"name": "n"}', "discovery is missing"),
    ],
)
def test_check_names_key_and_value_and_exits_with_2(tmp_path: Path, name: str, text: str, words: str) -> None:
    path = tmp_path / name
    path.write_text(text)
    done = command("check", str(path))
    assert done.returncode == 2 and not done.stdout
    assert words in done.stderr and len(done.stderr.splitlines()) == 1


@pytest.mark.parametrize(
    ("words", "text"),
    [
        (("serve",), "serve needs a configuration"),
        (("serve", "deploy/none.toml", "--listen", "127.0.0.1:1"), "none.toml"),
        (("serve", "deploy/minthitch.toml", "--listen", "here"), "bad address 'here'"),
        (("serve", "deploy/minthitch.toml", "--server", "box:1"), "bad address 'box:1'"),
        (
            ("serve", "deploy/minthitch.toml", "--server", "127.0.0.1:1", "--discovery", "127.0.0.1:2"),
            "either",
        ),
        (("serve", "deploy/minthitch.toml", "--sockets", "9"), "--sockets 9"),
        (("demo", "--seconds", "0"), "--seconds 0.0"),
        (("frobnicate",), "invalid choice"),
        (("check",), "config"),
    ],
)
def test_bad_arguments_are_one_clear_error_and_exit_code_2(words: tuple[str, ...], text: str) -> None:
    done = command(*words)
    assert done.returncode == 2 and text in done.stderr.splitlines()[-1]


def test_serve_without_a_listen_address_is_an_error(tmp_path: Path) -> None:
    path = tmp_path / "a.toml"
    path.write_text('servers = ["127.0.0.1:1"]' + CLASSES)
    done = command("serve", str(path))
    assert done.returncode == 2 and "listen is missing" in done.stderr


@asynccontextmanager
async def serving(*words: str) -> AsyncIterator[tuple[asyncio.subprocess.Process, int]]:
    port = free_port()
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "minthitch",
        "serve",
        *words,
        "--listen",
        f"127.0.0.1:{port}",
        cwd=ROOT,
        stderr=asyncio.subprocess.PIPE,
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


async def _static(path: Path) -> None:
    async with tier(serve_ok) as one, tier(serve_ok) as two:
        path.write_text(f'servers = ["{one.addresses[0]}"]' + CLASSES)
        async with serving(str(path)) as (process, port):
            caller = Caller(*await asyncio.open_connection("127.0.0.1", port))
            assert (await caller.ask(call("safe")))[0] == 200 and len(one.sends) == 1
            path.write_text(f'servers = ["{two.addresses[0]}"]' + CLASSES)
            process.send_signal(signal.SIGHUP)  # reloads the static list
            assert process.stderr is not None
            async with asyncio.timeout(PATIENCE):
                assert b"1 servers" in await process.stderr.readline()
            assert (await caller.ask(call("safe")))[0] == 200 and len(two.sends) == 1
            path.write_text("servers = 7")
            process.send_signal(signal.SIGHUP)
            async with asyncio.timeout(PATIENCE):
                assert b"servers = 7" in await process.stderr.readline()
            # The last valid list stays in use.
            assert (await caller.ask(call("safe")))[0] == 200 and len(two.sends) == 2
            process.send_signal(signal.SIGTERM)
            async with asyncio.timeout(PATIENCE):
                assert await process.wait() == 0


def test_serve_with_a_static_list_needs_no_discovery(tmp_path: Path) -> None:
    run(_static, tmp_path / "a.toml")


async def _flags() -> None:
    async with tier(serve_ok) as servers:
        async with serving("deploy/minthitch.toml", "--server", servers.addresses[0]) as (_, port):
            caller = Caller(*await asyncio.open_connection("127.0.0.1", port))
            assert (
                await caller.ask(
                    b"GET /api HTTP/1.1\r\nX-Correlation-Id: 1\r\nX-Service-Class: route-search\r\n\r\n"
                )
            )[0] == 200
        flags = ("--discovery", servers.discovery_address, "--name", "n9")
        async with serving("deploy/minthitch.toml", *flags):
            await servers.discovery.watches(1)


def test_flags_override_the_file() -> None:
    run(_flags)


def test_the_demo_ends_and_no_sale_runs_twice() -> None:
    began = time.monotonic()
    done = command("demo", "--seconds", "3", "--plain")
    assert done.returncode == 0, done.stderr
    lines = done.stdout.splitlines()
    assert any("s1 takes requests and answers none" in line for line in lines)
    assert any("s5 starts cold" in line for line in lines)
    served = {m[1]: int(m[2]) for m in re.finditer(r"^(\S+) +served +(\d+)", done.stdout, re.M)}
    assert set(served) == {"route-search", "departures", "save-trip", "buy-ticket"}
    assert all(count > 0 for count in served.values())
    assert lines[-1] == "sales that ran twice: 0"
    assert time.monotonic() - began < 60


def test_the_demo_draws_its_table() -> None:
    from rich.console import Console

    from minthitch.cli import demo

    running = demo.Demo(10.0)
    running.board.outcomes["buy-ticket"].update(["served", "failed"])
    running.board.times["buy-ticket"].extend([0.010] * 20)
    console = Console(width=100, record=True, file=io.StringIO())
    console.print(demo._table(running.board, 3.0, 10.0))
    text = console.export_text()
    assert "3 of 10 s" in text and re.search(r"buy-ticket\W+1\W+0\W+1\W+10\W+10", text) and "s5" in text


@pytest.mark.parametrize(
    ("subcommand", "arguments", "fault"),
    [
        ("plot", ("README.md", "--out", "unused"), "no node's log"),
        ("inspect", ("README.md",), "README.md: "),
        ("forget", ("README.md", "--node", "n0"), "not a folder"),
        ("status", ("nowhere",), "'nowhere'"),
        ("explain", ("nowhere",), "'nowhere'"),
    ],
)
def test_each_recovery_subcommand_reports_its_fault_in_one_line(
    subcommand: str, arguments: tuple[str, ...], fault: str
) -> None:
    done = command("recovery", subcommand, *arguments)
    assert done.returncode == 2
    assert fault in done.stderr
    assert done.stderr.count("\n") == 1
