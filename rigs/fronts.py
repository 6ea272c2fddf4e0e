"""Fronts beside each other: the daemon as a process on sockets, and the library in this one.

A front is started on a tier, takes the calls of a trace, gives each outcome once, and is ended.
"""

from __future__ import annotations

import asyncio
import tempfile
import time
from collections.abc import Callable
from contextlib import ExitStack
from dataclasses import replace
from pathlib import Path
from typing import Any, Protocol

from minthitch import Client, Refused, Served
from minthitch.config import from_table
from minthitch.operatorfile import record_config
from rigs.postgres import Postgres
from rigs.process import NodeProcess
from rigs.servers import PATIENCE
from rigs.tier import Outcome, ScriptedTier
from rigs.trace import FAILED, LEFT, REFUSED, SERVED, Step


class Front(Protocol):
    """What the conformance suite needs of a front."""

    async def start(self, tier: ScriptedTier, settings: dict[str, Any]) -> None: ...
    async def call(self, step: Step) -> Outcome: ...
    async def stop(self) -> None: ...


def _table(tier: ScriptedTier, settings: dict[str, Any]) -> dict[str, Any]:
    """The platform's configuration, without `listen`."""
    return {
        "name": "front",
        "discovery": tier.where,
        "seed": "5eed",
        "limits": {"sockets": 1024},
        "settings": settings,
    }


class Embedded:
    """The library, called from this loop."""

    def __init__(self, resources: ExitStack | None = None, **more: Any) -> None:
        self.resources = resources or ExitStack()  # closed when the front is stopped
        self.more = more  # beside what every front is told

    async def start(self, tier: ScriptedTier, settings: dict[str, Any]) -> None:
        table = {**_table(tier, settings), "listen": "127.0.0.1:1"}
        config = from_table(table, {})
        self.client = Client(replace(config, record=record_config({**table, **self.more}, config.settings)))
        await self.client.start()
        await tier.discovery.watches(1)
        async with asyncio.timeout(PATIENCE):
            while not self.client.ready:
                await asyncio.sleep(0.01)

    async def call(self, step: Step) -> Outcome:
        kind = step.kind
        call = asyncio.ensure_future(
            self.client.call(
                kind.cls,
                "/api",
                body=step.body,
                key=step.key or None,
                identity=step.identity,
                timeout=6.0 if kind.outcome == LEFT else kind.timeout,
            )
        )
        if kind.outcome == LEFT:
            await asyncio.sleep(kind.timeout)
            call.cancel()
            await asyncio.gather(call, return_exceptions=True)
            return Outcome(LEFT, at=time.monotonic())
        async with asyncio.timeout(PATIENCE):
            answer = await call
        now = time.monotonic()
        if isinstance(answer, Served):
            return Outcome(SERVED, answer.body, now)
        return Outcome(REFUSED if isinstance(answer, Refused) else FAILED, at=now)

    async def stop(self) -> None:
        await self.client.aclose()
        self.resources.close()
        assert self.client.held == 0


class Daemon:
    """The node as it is run, over kept connections."""

    def __init__(self, resources: ExitStack | None = None, **more: Any) -> None:
        self.resources, self.more = resources or ExitStack(), more

    async def start(self, tier: ScriptedTier, settings: dict[str, Any]) -> None:
        self.node = NodeProcess({**_table(tier, settings), **self.more})
        await self.node.start()

    async def call(self, step: Step) -> Outcome:
        kind = step.kind
        left = 6.0 if kind.outcome == LEFT else kind.timeout
        key = f"Idempotency-Key: {step.key}\r\n" if step.key else ""
        method = "GET" if kind.cls == "safe" else "POST"
        length = "" if kind.cls == "safe" else f"Content-Length: {len(step.body)}\r\n"
        data = (
            f"{method} /api HTTP/1.1\r\nHost: app.svc\r\nX-Correlation-Id: {step.identity}\r\n"
            f"X-Service-Class: {kind.cls}\r\nX-Time-Left: {left * 1000:.0f}m\r\n{key}{length}\r\n"
        ).encode() + step.body
        if kind.outcome == LEFT:
            caller = await self.node.connect()
            caller.writer.write(data)
            await asyncio.sleep(kind.timeout)
            caller.writer.close()
            return Outcome(LEFT, at=time.monotonic())
        status, _, body = await self.node.ask(data)
        now = time.monotonic()
        word = {200: SERVED, 503: REFUSED, 429: REFUSED}.get(status, FAILED)
        return Outcome(word, body if word == SERVED else b"", now)

    async def stop(self) -> None:
        code = await self.node.stop()
        self.resources.close()
        assert code == 0


def _recorded(front: Callable[..., Front], postgres: bool = False) -> Front:
    """The same with a store of record; what may run once only needs it."""
    resources = ExitStack()
    path = Path(resources.enter_context(tempfile.TemporaryDirectory(prefix="minthitch-"))) / "record.db"
    store = str(path)
    if postgres:
        server = Postgres(path)
        resources.callback(server.close)
        store = server.url
    return front(
        resources,
        record={
            "store": store,
            "identity": "X-Correlation-Id",
            "required": ["unsafe"],
            "best_effort": ["keyed"],
            "intent_within": "2s",
            "answer_within": "2s",
        },
    )


FRONTS: dict[str, Callable[[], Front]] = {
    "daemon": Daemon,
    "embedded": Embedded,
    "daemon with a record": lambda: _recorded(Daemon),
    "embedded with a record": lambda: _recorded(Embedded),
    "daemon with PostgreSQL": lambda: _recorded(Daemon, postgres=True),
    "embedded with PostgreSQL": lambda: _recorded(Embedded, postgres=True),
}
