"""Nodes with a store of record, as processes: killed during a call, restarted, queried and resolved."""

from __future__ import annotations

import asyncio
import json
import signal
from pathlib import Path
from typing import Any

import pytest

from minthitch import Client, ConfigError, Failed, Served, operatorfile
from minthitch.interface import MILLISECOND, SECOND
from minthitch.record.model import Record, State
from minthitch.record.serialization import as_json
from rigs.process import NodeProcess
from rigs.servers import OK, Seen, serve_ok
from tests.embedded import tier
from tests.net import SETTINGS
from tests.test_cli import command
from tests.test_node import run
from tests.test_operatorfile import GOOD

RECORD = {"store": "r.db", "identity": "X-Sale-Id", "required": ["search"]}


def http_request(identity: str, number: int, body: bytes = b"one") -> bytes:
    return (
        f"POST /api HTTP/1.1\r\nHost: a\r\nX-Correlation-Id: c{number}\r\nX-Service-Class: unsafe\r\n"
        f"X-Sale-Id: {identity}\r\nContent-Length: {len(body)}\r\n\r\n"
    ).encode() + body


def test_the_operator_file_names_the_store_and_its_classes() -> None:
    config = operatorfile.from_table(
        {**GOOD, "record": {**RECORD, "intent_within": "100ms", "keep_for": "2d", "keep_most": 5}}
    )
    assert config.record is not None
    assert (config.record.store, config.record.identity) == ("r.db", "X-Sale-Id")
    assert config.record.required == {"search"} and not config.record.best_effort
    assert config.record.intent_within == 100 * MILLISECOND
    assert config.record.keep_for == 2 * 86_400 * SECOND
    assert operatorfile.from_table(GOOD).record is None


@pytest.mark.parametrize(
    ("change", "message"),
    [
        ({"store": ""}, "record.store = ''"),
        ({"store": "redis://x"}, "record.store = 'redis://x'"),
        ({"identity": "X Sale"}, "record.identity = 'X Sale'"),
        ({"required": ["none"]}, "class 'none' is unknown; known are search"),
        ({"required": "search"}, "record.required = 'search'"),
        ({"required": []}, "one class at least"),
        ({"best_effort": ["search"]}, "each class in one of"),
        ({"lease": "0s"}, "record.lease = '0s' is not above 0"),
        ({"keep_most": -1}, "record.keep_most = -1"),
        ({"other": 1}, "record.other = 1 is unknown"),
    ],
)
def test_an_invalid_record_section_is_one_line_with_key_and_value(
    change: dict[str, Any], message: str
) -> None:
    with pytest.raises(ConfigError) as caught:
        operatorfile.from_table({**GOOD, "record": {**RECORD, **change}})
    assert message in str(caught.value)


def test_a_store_that_cannot_be_opened_ends_the_start_with_exit_code_2(tmp_path: Path) -> None:
    path = tmp_path / "node.json"
    path.write_text(
        json.dumps(
            {
                "name": "n1",
                "listen": "127.0.0.1:1",
                "servers": ["127.0.0.1:2"],
                "settings": SETTINGS,
                "record": {"store": str(tmp_path / "none" / "r.db"), "required": ["unsafe"]},
            }
        )
    )
    done = command("serve", str(path))
    assert done.returncode == 2 and len(done.stderr.splitlines()) == 1
    assert "record.store = " in done.stderr and "unable to open" in done.stderr


def test_a_node_without_a_record_does_not_import_the_package() -> None:
    from tests.test_layout import _modules

    loaded = _modules("import minthitch.__main__, minthitch.net.node, minthitch.embedded.worker")
    assert not {name for name in loaded if name.startswith("minthitch.record") or name == "sqlite3"}


class RecordingNode:
    """A node process with a store of record in front of a tier, and the operator's commands."""

    def __init__(self, addresses: list[str], store: Path) -> None:
        self.store = store
        self.node = NodeProcess(
            {
                "name": "n1",
                "servers": addresses,
                "seed": "1",
                "settings": SETTINGS,
                "record": {"store": str(store), "identity": "X-Sale-Id", "required": ["unsafe"]},
            }
        )

    async def operator(self, *arguments: str) -> Any:
        return await asyncio.to_thread(command, "record", "--store", str(self.store), *arguments)

    async def shown(self, identity: str) -> Any:
        return json.loads((await self.operator("show", identity)).stdout)

    async def kill(self) -> None:
        self.node.process.send_signal(signal.SIGKILL)
        await self.node.process.wait()
        self.node.idle.clear()


async def _killed_in_call(path: Path) -> None:
    silent = True

    async def script(_seen: Seen) -> bytes | None:
        return None if silent else OK

    async with tier(script) as servers:
        recording = RecordingNode(servers.addresses, path)
        await recording.node.start()
        caller = await recording.node.connect()
        caller.writer.write(http_request("sale-1", 1))
        await servers.servers[0].until(lambda: len(servers.sends) == 1)
        assert (await recording.shown("sale-1"))["state"] == "intent"
        await recording.kill()
        silent = False
        await recording.node.start()
        status, _, _ = await recording.node.ask(http_request("sale-1", 2))  # the caller retries
        assert status == 502 and len(servers.sends) == 1  # it may have run, and is never sent again
        lines = (await recording.operator("doubtful")).stdout.splitlines()
        assert len(lines) == 1 and lines[0].startswith("sale-1  doubt  ")
        assert "its node started anew" in lines[0]
        done = await recording.operator("resolve", "sale-1", "never-ran", "--why", "the till has none")
        assert (done.returncode, done.stdout) == (0, "sale-1 is noted as never-ran\n")
        again = await recording.operator("resolve", "sale-1", "ran", "--why", "no")
        assert again.returncode == 2 and "'sale-1' is never-ran" in again.stderr
        status, _, body = await recording.node.ask(http_request("sale-1", 3))
        assert (status, body) == (200, b"done") and len(servers.sends) == 2
        status, _, body = await recording.node.ask(http_request("sale-1", 4))
        assert (status, body) == (200, b"done") and len(servers.sends) == 2  # from the record
        assert (await recording.operator("doubtful")).stdout == ""
        assert await recording.node.stop() == 0
        shown = await recording.shown("sale-1")
        assert (shown["state"], shown["turn"], shown["answer"]) == ("served", 2, "ZG9uZQ==")
        exported = (await recording.operator("export")).stdout.splitlines()
        assert [json.loads(line)["identity"] for line in exported] == ["sale-1"]


def test_a_node_killed_during_a_call_does_not_resend_it_and_the_operator_resolves_it(tmp_path: Path) -> None:
    run(_killed_in_call, tmp_path / "r.db")


async def _library(path: Path) -> None:
    async with tier(serve_ok) as servers:
        table = {
            "servers": servers.addresses,
            "classes": [{"name": "buy", "effect": "unsafe", "aim": "1s", "deadline": "4s"}],
            "record": {"store": str(path), "identity": "X-Sale-Id", "required": ["buy"]},
        }
        for _ in range(2):  # the second client finds the record of the first
            async with Client(operatorfile.from_table(table)) as client:
                answer = await client.call("buy", "/tickets", body=b"x", headers={"X-Sale-Id": "s1"})
                assert isinstance(answer, Served) and answer.body == b"done"
        assert len(servers.sends) == 1
        async with Client(operatorfile.from_table(table)) as client:
            other = await client.call("buy", "/tickets", body=b"other", headers={"X-Sale-Id": "s1"})
            assert isinstance(other, Failed) and len(servers.sends) == 1


def test_the_embedded_client_keeps_a_record(tmp_path: Path) -> None:
    run(_library, tmp_path / "r.db")


async def _planned_shutdown(path: Path) -> None:
    async with tier(serve_ok) as servers:
        recording = RecordingNode(servers.addresses, path)
        await recording.node.start()
        requests = [asyncio.ensure_future(recording.node.ask(http_request(f"s{i}", i))) for i in range(20)]
        answers = await asyncio.gather(*requests)
        assert [status for status, _, _ in answers] == [200] * 20
        assert await recording.node.stop() == 0
        done = await recording.operator("export")
        assert [json.loads(line)["state"] for line in done.stdout.splitlines()] == ["served"] * 20


def test_a_planned_shutdown_records_every_outcome(tmp_path: Path) -> None:
    run(_planned_shutdown, tmp_path / "r.db")


def test_a_missing_or_invalid_store_is_one_clear_error_for_the_operator(tmp_path: Path) -> None:
    done = command("record", "--store", str(tmp_path / "none.db"), "doubtful")
    assert done.returncode == 2 and "none.db': no such file" in done.stderr
    assert not (tmp_path / "none.db").exists()
    (tmp_path / "bad.db").write_bytes(b"x" * 5000)
    done = command("record", "--store", str(tmp_path / "bad.db"), "show", "a")
    assert done.returncode == 2 and "not a database" in done.stderr and len(done.stderr.splitlines()) == 1


def test_a_record_as_json_has_times_and_digests() -> None:
    shown = as_json(Record("a", "buy", b"\x01", "n", 1, 1, State.FAILED, made_at=1_700_000_000_123), ["c"])
    assert shown["made"] == "2023-11-14T22:13:20.123+00:00" and shown["ended"] is None
    assert shown["request_digest"] == "01" and shown["conflicts"] == ["c"] and shown["answer"] is None
