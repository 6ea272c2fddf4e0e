"""Sales while nodes and stores fail at named points: `python -m bench.record_kills [--quick]`.

Over SQLite and over PostgreSQL's stand-in, at each point of a sale: the node process is killed (SIGKILL), the
store is killed (its connections reset, new ones refused for a while; SQLite has no server) or stalled
(SQLite: another process holds the file's lock), under concurrent sales whose clients try again under one
identity. Then the servers' own ledger, the store and what clients heard are
joined: no sale ran twice, none that ran is unreported (served, failed or in doubt), none is reported served
that did not run. Runs with a rule left out must show violations.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import random
import sqlite3
import sys
import tempfile
import time
from collections import Counter
from contextlib import suppress
from pathlib import Path

import uvloop

from minthitch.record.backends import open_store
from minthitch.record.model import Record, State
from rigs.caller import Caller
from rigs.doomed import MUTANTS, POINTS
from rigs.postgres import Postgres
from rigs.process import ROOT, free_port
from rigs.servers import Seen, Server, address_of, reply, reset
from rigs.settings import MS, SETTINGS

SALES = 24  # in a run, a part of them at once
AT_ONCE = 8
TRIES = 12  # of one client
PATIENCE = 1.0  # seconds that a client waits for one answer
START_WITHIN = 20.0
RUN_WITHIN = 60.0
AT_A_TIME = 8  # runs, each with processes of its own
STORE_AWAY = (0.4, 2.6)  # seconds, by turns: below and beyond what the backends wait
BACKENDS = ("sqlite", "postgres")
FAILURES = (
    ("sqlite", "kill"),
    ("sqlite", "store-stall"),
    ("postgres", "kill"),
    ("postgres", "store-kill"),
    ("postgres", "store-stall"),
)
UNSAFE = [{**spec, "objectiveNs": 700 * MS, "deadlineNs": 900 * MS} for spec in SETTINGS["classes"]]


class Run:
    """One store, one node at a time; node or store fails once at a point, and comes back."""

    def __init__(
        self, point: str, seed: int, backend: str = "sqlite", fate: str = "kill", mutant: str = ""
    ) -> None:
        self.point, self.seed, self.backend, self.fate, self.mutant = point, seed, backend, fate, mutant
        self.random = random.Random(f"{point}{seed}")
        self.postgres: Postgres | None = None
        self.ran: Counter[str] = Counter()  # the servers' ledger
        self.heard: dict[str, set[str]] = {f"sale{i}": set() for i in range(SALES)}
        self.strikes = 0  # faults that came
        self.numbers = iter(range(1, 1 << 30))
        self.over = False

    async def _serve(self, seen: Seen) -> bytes | None:
        identity = seen.field("X-Sale-Id") or ""
        roll = self.random.random()
        if roll < 0.1:
            return reply(503, extra="X-Unprocessed: 1\r\n")
        await asyncio.sleep(self.random.random() * 0.02)
        self.ran[identity] += 1
        if roll < 0.15:
            return reply(500)
        if roll < 0.2:
            reset(seen.writer)
            return None
        return reply(200, b"ticket for " + identity.encode())

    async def _node(self, path: Path, doomed: bool) -> asyncio.subprocess.Process:
        nth = 1 + self.seed * 5 % (SALES // 2)
        words = [self.point, str(nth)] if doomed else ["never", "0"]
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "rigs.doomed",
            str(path),
            *words,
            "kill" if self.fate == "kill" else str(self.control),
            *([self.mutant] if self.mutant else []),
            cwd=ROOT,
            env={**os.environ, "PYTHONHASHSEED": "0"},
            stderr=asyncio.subprocess.DEVNULL,
        )
        async with asyncio.timeout(START_WITHIN):
            while process.returncode is None and not await self._ready():
                await asyncio.sleep(0.01)
        return process

    async def _ready(self) -> bool:
        try:
            caller = await self._connect()
            status, _, _ = await caller.ask(b"GET /ready HTTP/1.1\r\nConnection: close\r\n\r\n")
        except (OSError, asyncio.IncompleteReadError):
            return False
        return status == 200

    async def _connect(self) -> Caller:
        return Caller(*await asyncio.open_connection("127.0.0.1", self.port))

    async def _keep_up(self, path: Path) -> None:
        """Starts the node again when it dies; the first is doomed."""
        doomed = True
        while True:
            self.process = await self._node(path, doomed)
            self.up.set()
            await self.process.wait()
            self.up.clear()
            if self.over:
                return
            self.strikes += 1
            doomed = False

    async def _struck(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """The node is at the point: the store fails now, and is back after a while."""
        self.strikes += 1
        self.well.clear()
        turn = self.seed + POINTS.index(self.point)
        lasts = STORE_AWAY[turn % len(STORE_AWAY)]
        lock: sqlite3.Connection | None = None
        if self.postgres is None:
            lock = sqlite3.connect(self.store, isolation_level=None)
            with suppress(sqlite3.OperationalError):  # the node's own batch may hold it: it waits its turn
                lock.execute("BEGIN IMMEDIATE")
        elif self.fate == "store-kill":
            self.postgres.always = "refuse"
            self.postgres.kill_all()
        else:
            self.postgres.go.clear()
            self.postgres.always = ("stall", "deaf")[turn // 2 % 2]
        writer.write(b"!")
        await writer.drain()
        writer.close()
        await asyncio.sleep(lasts)
        if lock is not None:
            lock.close()
        if self.postgres is not None:
            self.postgres.always = ""
            self.postgres.go.set()
        self.well.set()

    async def _buy(self, identity: str) -> None:
        """One client: the same sale until it is served, or clear that it can't be known."""
        for _ in range(TRIES):
            await self.up.wait()
            data = (
                f"POST /api HTTP/1.1\r\nHost: a\r\nX-Correlation-Id: k{next(self.numbers):x}\r\n"
                f"X-Service-Class: unsafe\r\nX-Sale-Id: {identity}\r\n"
                "Content-Length: 3\r\n\r\none"
            ).encode()
            try:
                async with asyncio.timeout(PATIENCE):
                    caller = await self._connect()
                    status, _, _ = await caller.ask(data)
                    caller.writer.close()
            except (OSError, asyncio.IncompleteReadError, TimeoutError):
                self.heard[identity].add("nothing")
                await asyncio.sleep(0.02)
                continue
            word = {200: "served", 503: "refused"}.get(status, "failed")
            self.heard[identity].add(word)
            if word == "served":
                return
            await asyncio.sleep(0.02)

    async def play(self) -> list[str]:
        """What is wrong, as lines."""
        self.up, self.well = asyncio.Event(), asyncio.Event()
        self.well.set()
        servers = [await asyncio.start_server(Server(self._serve), "127.0.0.1", 0) for _ in range(3)]
        self.port = free_port()
        control = await asyncio.start_server(self._struck, "127.0.0.1", 0)
        self.control = int(control.sockets[0].getsockname()[1])
        with tempfile.TemporaryDirectory() as folder:
            self.store, path = Path(folder) / "record.db", Path(folder) / "node.json"
            self.postgres = Postgres(self.store) if self.backend == "postgres" else None
            where = self.postgres.url if self.postgres else str(self.store)
            path.write_text(
                json.dumps(
                    {
                        "name": "n1",
                        "listen": f"127.0.0.1:{self.port}",
                        "servers": [address_of(s) for s in servers],
                        "seed": "1",
                        "settings": {**SETTINGS, "classes": UNSAFE},
                        "record": {"store": where, "identity": "X-Sale-Id", "required": ["unsafe"]},
                    }
                )
            )
            keeping = asyncio.ensure_future(self._keep_up(path))
            gate = asyncio.Semaphore(AT_ONCE)

            async def one(identity: str) -> None:
                async with gate:
                    await self._buy(identity)

            async with asyncio.timeout(RUN_WITHIN):
                await asyncio.gather(*(one(identity) for identity in self.heard))
            await self.well.wait()  # what a store that was away was owed is written now
            self.over = True
            await self.up.wait()
            self.process.terminate()
            await asyncio.wait_for(keeping, START_WITHIN)
            for server in (*servers, control):
                server.close()
            found = self._judge(where)
            if self.postgres is not None:
                self.postgres.close()
            return found

    def _judge(self, where: str) -> list[str]:
        store = open_store(where)
        store.open()
        store.start_epoch("n1", 0)  # what the last process left open is in doubt now
        records: dict[str, Record] = {record.identity: record for record in store.export()}
        store.close()
        self.records, found = records, []
        for identity, words in self.heard.items():
            record = records.get(identity)
            reported = record is not None and record.state in (State.SERVED, State.FAILED, State.DOUBT)
            if self.ran[identity] > 1:
                found.append(f"{identity} ran {self.ran[identity]} times")
            if self.ran[identity] and not reported:
                says = record.state.value if record else "nothing"
                found.append(f"{identity} ran, and the record says {says}")
            if not self.ran[identity] and ("served" in words or (record and record.state is State.SERVED)):
                found.append(f"{identity} is reported served, and did not run")
        return found


async def play_all(runs: list[Run]) -> list[str]:
    """Plays them, AT_A_TIME at once; what is wrong, as lines."""
    gate = asyncio.Semaphore(AT_A_TIME)

    async def one(run: Run) -> list[str]:
        async with gate:
            return [
                f"{run.backend}, {run.fate} at {run.point}, seed {run.seed}: {line}"
                for line in await run.play()
            ]

    return [line for lines in await asyncio.gather(*(one(run) for run in runs)) for line in lines]


async def all_runs(seeds: int, mutant_seeds: int) -> list[str]:
    """What falls short."""
    short: list[str] = []
    for backend, fate in FAILURES:
        runs = [Run(point, seed, backend, fate) for point in POINTS for seed in range(1, seeds + 1)]
        wrong = await play_all(runs)
        strikes = Counter(run.point for run in runs for _ in range(run.strikes))
        unclear = sum(r.state is State.DOUBT for run in runs for r in run.records.values())
        print(
            f"{backend}, {fate}: {sum(strikes.values())} faults "
            f"({', '.join(f'{point} {strikes[point]}' for point in POINTS)}), {len(runs) * SALES} sales, "
            f"{unclear} in doubt, {len(wrong)} violations",
            flush=True,
        )
        short += wrong[:3]
        short += [f"{backend}, {fate}: no fault at {point}" for point in POINTS if strikes[point] < seeds]
    for mutant in MUTANTS:
        places = ("after-send", "after-answer", "before-outcome")
        runs = [
            Run(point, seed, backend, "kill", mutant)
            for point in places
            for seed, backend in enumerate(BACKENDS * mutant_seeds, 1)
        ]
        seen = len(await play_all(runs))
        print(f"with a rule left out ({mutant}): {seen} violations", flush=True)
        if not seen:
            short.append(f"a run without the rule ({mutant}) shows no violation")
    return short


def main() -> int:
    arguments = argparse.ArgumentParser(description=__doc__)
    arguments.add_argument("--quick", action="store_true", help="within 50 s")
    quick = arguments.parse_args().quick
    began = time.monotonic()
    short = uvloop.run(all_runs(1 if quick else 15, 1 if quick else 5))
    print(f"{time.monotonic() - began:.0f} s")
    print(f"record_kills: short: {'; '.join(short)}" if short else "record_kills: ok")
    return 1 if short else 0


if __name__ == "__main__":
    sys.exit(main())
