"""The operators' listener: its pages, its bounds, and that its faults do not affect callers."""

from __future__ import annotations

import asyncio
import json
import os
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import pytest

from minthitch import Client, ConfigError, Served, operatorfile
from minthitch.operators import listener as listener_module
from minthitch.operators.listener import Listener, Page
from rigs.caller import Caller
from rigs.postgres import Postgres
from rigs.process import NodeProcess, free_port
from rigs.servers import PATIENCE, serve_ok
from tests.embedded import tier
from tests.net import SETTINGS
from tests.test_cli import command
from tests.test_node import run
from tests.test_operatorfile import GOOD
from tests.test_record_program import http_request


async def ask(port: int, data: bytes) -> tuple[int, Any]:
    async with asyncio.timeout(PATIENCE):
        caller = Caller(*await asyncio.open_connection("127.0.0.1", port))
        status, _, body = await caller.ask(data)
        caller.writer.close()
    return status, json.loads(body)


async def get(port: int, path: str) -> tuple[int, Any]:
    return await ask(port, f"GET {path} HTTP/1.1\r\nHost: a\r\n\r\n".encode())


async def with_pages(pages: dict[str, Page], check: Callable[[Listener], Awaitable[None]]) -> list[str]:
    lines: list[str] = []
    listener = Listener(pages, lines.append)
    await listener.start("127.0.0.1", 0)
    try:
        await check(listener)
    finally:
        await listener.close()
    return lines


async def echo(rest: str) -> tuple[int, object]:
    if rest == "fault":
        raise RuntimeError("by the test")
    if rest == "slow":
        await asyncio.sleep(PATIENCE)
    return 200, {"rest": rest}


@pytest.mark.parametrize(
    ("data", "status", "words"),
    [
        (b"GET /echo/a%20b%2Fc?x=1 HTTP/1.1\r\n\r\n", 200, "a b/c"),
        (b"GET /none HTTP/1.1\r\n\r\n", 404, "no page 'none'; there are echo"),
        (b"POST /echo/a HTTP/1.1\r\nContent-Length: 0\r\n\r\n", 405, "only GET"),
        (b"nonsense\r\n\r\n", 400, "not a request"),
        (b"GET /echo/fault HTTP/1.1\r\n\r\n", 500, "the log has it"),
        (b"GET /echo/slow HTTP/1.1\r\n\r\n", 504, "no answer within"),
        (b"GET /echo/a HTTP/1.1\r\nX: " + b"x" * 20_000 + b"\r\n\r\n", 431, "a head of over"),
    ],
)
def test_each_request_gets_one_answer(
    data: bytes, status: int, words: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(listener_module, "ANSWER_TIMEOUT_S", 0.1)

    async def check(listener: Listener) -> None:
        got, body = await ask(listener.port, data)
        assert got == status and words in json.dumps(body)

    async def scenario() -> None:
        lines = await with_pages({"echo": echo}, check)
        assert bool(lines) == (status == 500)

    run(scenario)


def test_connections_are_bounded_and_silent_ones_end(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(listener_module, "READ_TIMEOUT_S", 0.2)

    async def check(listener: Listener) -> None:
        silent = [
            await asyncio.open_connection("127.0.0.1", listener.port)
            for _ in range(listener_module.MAX_CONNECTIONS)
        ]
        async with asyncio.timeout(PATIENCE):
            while listener.connections < len(silent):
                await asyncio.sleep(0)
            status, _ = await get(listener.port, "/echo/a")
            assert status == 503
            for reader, writer in silent:
                assert await reader.read() == b""
                writer.close()
        assert (await get(listener.port, "/echo/a"))[0] == 200

    async def scenario() -> None:
        await with_pages({"echo": echo}, check)

    run(scenario)


async def _shown(folder: Path, postgres: bool) -> None:
    server = Postgres(folder / "pg.db") if postgres else None
    store, port = server.url if server else str(folder / "r.db"), free_port()
    async with tier(serve_ok) as servers:
        node = NodeProcess(
            {
                "name": "n1",
                "servers": servers.addresses,
                "seed": "1",
                "settings": SETTINGS,
                "operators": {"listen": f"127.0.0.1:{port}"},
                "record": {"store": store, "identity": "X-Sale-Id", "required": ["unsafe"]},
            }
        )
        await node.start()
        assert (await node.ask(http_request("sale 1/ø", 1)))[0] == 200
        status, shown = await get(port, "/record/sale%201/%C3%83%C2%B8")
        assert status == 200 and (shown["state"], shown["attempts"]) == ("served", 1)
        assert (await get(port, "/record/none"))[0] == 404
        assert (await get(port, "/record/"))[0] == 400
        if server is not None:
            server.always = "refuse"
            server.kill_all()
            assert (await get(port, "/record/none"))[0] == 503
            server.always = ""
            assert (await get(port, "/record/none"))[0] == 404  # it reconnects
        assert await node.stop() == 0
    if server is not None:
        server.close()


@pytest.mark.parametrize("postgres", [False, True])
def test_a_node_shows_a_record_from_either_store(tmp_path: Path, postgres: bool) -> None:
    run(_shown, tmp_path, postgres)


async def _library(folder: Path) -> None:
    port = free_port()
    async with tier(serve_ok) as servers:
        table = {
            "servers": servers.addresses,
            "operators": {"listen": f"127.0.0.1:{port}"},
            "classes": [{"name": "buy", "effect": "unsafe", "aim": "1s", "deadline": "4s"}],
            "record": {"store": str(folder / "r.db"), "identity": "X-Sale-Id", "required": ["buy"]},
        }
        async with Client(operatorfile.from_table(table)) as client:
            answer = await client.call("buy", "/tickets", body=b"x", headers={"X-Sale-Id": "s1"})
            assert isinstance(answer, Served)
            status, shown = await get(port, "/record/s1")
            assert status == 200 and shown["state"] == "served"
        with pytest.raises(ConnectionRefusedError):
            await get(port, "/record/s1")


def test_the_library_serves_records_and_closes_its_listener(tmp_path: Path) -> None:
    run(_library, tmp_path)


@pytest.mark.parametrize(
    ("table", "words"),
    [
        ({"listen": "here"}, "operators.listen = 'here'"),
        ({}, "operators = {} names neither"),
        ({"calls": "9901"}, "operators.calls = '9901'"),
        ({"handover": "/none/such"}, "operators.handover = '/none"),
        ({"handover": 7}, "operators.handover = 7 is not a folder"),
        ({"listen": "127.0.0.1:1", "tls": True}, "operators.tls = True is unknown"),
        ("127.0.0.1:1", "operators = '127.0.0.1:1' is not a table"),
    ],
)
def test_an_invalid_operators_table_is_reported_on_one_line(table: object, words: str) -> None:
    with pytest.raises(ConfigError) as caught:
        operatorfile.from_table({**GOOD, "operators": table})
    assert words in str(caught.value)


def test_an_address_in_use_ends_the_start_with_exit_code_2(tmp_path: Path) -> None:
    async def scenario() -> None:
        async def check(listener: Listener) -> None:
            path = tmp_path / "node.json"
            path.write_text(
                json.dumps(
                    {
                        "name": "n1",
                        "listen": f"127.0.0.1:{free_port()}",
                        "servers": ["127.0.0.1:2"],
                        "settings": SETTINGS,
                        "operators": {"listen": f"127.0.0.1:{listener.port}"},
                    }
                )
            )
            result = await asyncio.to_thread(command, "serve", str(path))
            assert result.returncode == 2 and f"operators.listen = 127.0.0.1:{listener.port}" in result.stderr
            assert len(result.stderr.splitlines()) == 1 and os.linesep in result.stderr

        await with_pages({}, check)

    run(scenario)
