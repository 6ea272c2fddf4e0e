"""What durability costs: `python -m bench.record_cost [--quick]`.

On this disk, in one run: sales a second and the time that a sale waits for its intent and its outcome, with
group commit and with a commit for each write; how many commits, each one sync, a sale costs at 1, 16 and 128
sales at once; and the writer's rate against a bare loop of inserts into the same table, a batch a commit.
"""

from __future__ import annotations

import argparse
import asyncio
import statistics
import sys
import tempfile
import threading
import time
from collections.abc import Callable
from contextlib import ExitStack
from dataclasses import dataclass
from pathlib import Path

import uvloop

from minthitch.record import writer as writer_module
from minthitch.record.backends import open_store
from minthitch.record.model import Claim, Done, Result, Settle, State, Write
from minthitch.record.sql import COLUMNS
from minthitch.record.sqlite import SqliteStore
from minthitch.record.store import Store
from minthitch.record.writer import Results, Writer
from rigs.postgres import Postgres

AT_ONCE = (1, 16, 128)
BATCH = 256
FEED = 1_000  # sales given to the writer at a time
MOST_RATIO = 2.0  # the bare loop's rate over the writer's
MOST_SYNCS = {1: 2.0, 16: 0.5, 128: 0.1}  # commits a sale


@dataclass
class Figures:
    rate: float  # sales a second
    median: float  # seconds that a sale waits for the store, both writes together
    most: float  # the 99th percentile
    commits: float  # a sale


def outcome(identity: str, epoch: int) -> Settle:
    return Settle(identity, epoch, State.SERVED, 2, "", b"h" * 16, b"x" * 200, b"text/plain")


class Sales:
    """Sales that are nothing but their two writes."""

    def __init__(self, make: Callable[[], Store]) -> None:
        self.loop = asyncio.get_running_loop()
        self.waiting: dict[int, asyncio.Future[Result]] = {}
        self.next = 0
        self.writer = Writer(
            make, lambda results: self.loop.call_soon_threadsafe(self._came, results), lambda: None
        )
        self.epoch = self.writer.start("bench", 600_000)

    def _came(self, results: Results) -> None:
        for ticket, result in results:
            self.waiting.pop(ticket).set_result(result)

    async def _put(self, write: Write) -> None:
        self.next += 1
        future = self.waiting[self.next] = self.loop.create_future()
        self.writer.put(self.next, write)
        if not isinstance(await future, Done):
            raise RuntimeError("a write of a calm run was not done")

    async def one(self, identity: str) -> float:
        began = time.perf_counter()
        await self._put(Claim(identity, "buy", b"d" * 16, "bench", self.epoch, "s1", 1))
        await self._put(outcome(identity, self.epoch))
        return time.perf_counter() - began

    async def many(self, name: str, count: int, at_once: int) -> Figures:
        numbers, times = iter(range(count)), list[float]()

        async def worker() -> None:
            for number in numbers:
                times.append(await self.one(f"{name}{number}"))

        batches, began = self.writer.batches, time.perf_counter()
        await asyncio.gather(*(worker() for _ in range(at_once)))
        took = time.perf_counter() - began
        cuts = statistics.quantiles(times, n=100)
        commits = (self.writer.batches - batches) / count
        return Figures(count / took, statistics.median(times), cuts[98], commits)


async def measure(make: Callable[[], Store], seconds: float, most_batch: int) -> dict[int, Figures]:
    """Figures by how many sales are at once; `most_batch` 1 is a commit for each write."""
    writer_module.MAX_BATCH = most_batch
    sales = Sales(make)
    found = {}
    for at_once in AT_ONCE:
        probe = await sales.many(f"p{at_once}-", 4 * at_once, at_once)
        count = max(int(probe.rate * seconds), 4 * at_once)
        found[at_once] = await sales.many(f"m{at_once}-", count, at_once)
    await asyncio.to_thread(sales.writer.close)
    return found


def fed(folder: Path, seconds: float) -> float:
    """Writes a second of the writer when its queue is never empty: intents and outcomes by turns."""
    folder.mkdir()
    done, count = threading.Semaphore(0), 0

    def deliver(results: Results) -> None:
        nonlocal count
        count += sum(isinstance(result, Done) for _, result in results)
        for _ in results:
            done.release()

    writer = Writer(lambda: SqliteStore(folder / "record.db"), deliver, lambda: None)
    epoch, ticket, began = writer.start("bench", 600_000), 0, time.perf_counter()
    while time.perf_counter() < began + seconds:
        for _ in range(FEED):
            ticket += 2
            name = f"i{ticket}"
            writer.put(ticket, Claim(name, "buy", b"d" * 16, "bench", epoch, "s1", 1))
            writer.put(ticket + 1, outcome(name, epoch))
        while ticket - count > 4 * FEED:
            done.acquire()
    writer.close(30)
    return count / (time.perf_counter() - began)


def bare(folder: Path, seconds: float, batch: int) -> float:
    """Rows a second of a loop that only inserts: the same table and indexes, each batch one commit."""
    folder.mkdir()
    store = SqliteStore(folder / "record.db")
    store.open()
    connection = store.connection
    assert connection is not None
    places = ", ".join("?" * len(COLUMNS.split(",")))
    written, began = 0, time.perf_counter()
    while time.perf_counter() < began + seconds:
        connection.execute("BEGIN IMMEDIATE")
        for _ in range(batch):
            written += 1
            connection.execute(
                f"INSERT INTO records ({COLUMNS}) VALUES ({places})",
                (
                    f"i{written}",
                    "buy",
                    b"d" * 16,
                    "bench",
                    1,
                    1,
                    "served",
                    "s1",
                    1,
                    1,
                    2,
                    "",
                    b"h" * 16,
                    b"x" * 200,
                    b"text/plain",
                    None,
                    "",
                ),
            )
        connection.execute("COMMIT")
    store.close()
    return written / (time.perf_counter() - began)


def against_each(make: Callable[[str], Callable[[], Store]], seconds: float, where: str) -> list[str]:
    """Group commit against a commit for each write, over stores of one kind; what falls short."""
    short: list[str] = []
    group = uvloop.run(measure(make("group"), seconds, BATCH))
    each = uvloop.run(measure(make("each"), seconds, 1))
    writer_module.MAX_BATCH = BATCH
    for at_once in AT_ONCE:
        for what, figures in (("group commit", group[at_once]), ("a commit each", each[at_once])):
            print(
                f"{where}, {at_once} sales at once, {what}: {figures.rate:.0f} a second, waits "
                f"{1e3 * figures.median:.2f} ms (99%: {1e3 * figures.most:.2f}), "
                f"{figures.commits:.3f} commits a sale"
            )
        if group[at_once].commits > MOST_SYNCS[at_once]:
            short.append(f"{where}: {group[at_once].commits:.2f} commits a sale at {at_once} at once")
    ratio = group[128].rate / each[128].rate
    print(f"{where}, 128 at once: group commit sells {ratio:.1f} times as many as a commit each")
    if ratio <= 1.0:
        short.append(f"{where}: group commit sells no more than a commit each")
    return short


def main() -> int:
    arguments = argparse.ArgumentParser(description=__doc__)
    arguments.add_argument("--quick", action="store_true", help="within 50 s")
    seconds = 1.5 if arguments.parse_args().quick else 10.0
    with tempfile.TemporaryDirectory(dir=".") as name, ExitStack() as servers:  # on the disk, not in memory
        folder = Path(name)

        def postgres(which: str) -> Callable[[], Store]:
            server = Postgres(folder / f"{which}-postgres.db")
            servers.callback(server.close)
            return lambda: open_store(server.url)

        short = against_each(lambda which: lambda: SqliteStore(folder / f"{which}.db"), seconds, "SQLite")
        short += against_each(postgres, seconds, "PostgreSQL's stand-in")
        loop_rate, writes = bare(folder / "bare", seconds, BATCH), fed(folder / "fed", seconds)
        print(
            f"bare insert loop, {BATCH} a commit: {loop_rate:.0f} rows a second; the writer, never idle: "
            f"{writes:.0f} writes; ratio {loop_rate / writes:.2f}"
        )
        if loop_rate / writes > MOST_RATIO:
            short.append(f"a bare insert loop writes {loop_rate / writes:.2f} times as much")
    print(f"record_cost: short: {'; '.join(short)}" if short else "record_cost: ok")
    return 1 if short else 0


if __name__ == "__main__":
    sys.exit(main())
