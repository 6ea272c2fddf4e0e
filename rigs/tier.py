"""A tier of scripted servers with a ledger of all they saw, and the rules checked on it."""

from __future__ import annotations

import asyncio
import time
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

from rigs.discovery import Discovery, entry
from rigs.servers import Seen, Server, address_of, reply, reset
from rigs.trace import FAILED, LEFT, MAY_RUN, REFUSED, SERVED, Step

# Seconds that an answer takes. Danger: where calls take a millisecond, a hiccup of the machine makes many
# overdue at once; their copies use up the further attempts that the trace's faults are owed.
ANSWERS_AFTER = 0.1
SLACK = 1.0  # seconds that a busy machine may add between a send and its place in the ledger


@dataclass(frozen=True, slots=True)
class Entry:
    """One attempt as a server saw it whole."""

    at: float  # monotonic seconds
    server: int
    identity: str
    act: str
    key: str


@dataclass
class Outcome:
    """What a front gave for one call."""

    word: str
    body: bytes = b""
    at: float = 0.0


def answer_for(identity: str, body: bytes) -> bytes:
    return b"made for " + identity.encode() + b": " + body[::-1]


@dataclass
class ScriptedTier:
    """Servers `s0`, `s1` ... (cell: number % 2) and discovery, obeying a trace."""

    steps: dict[str, Step]
    count: int = 6
    ledger: list[Entry] = field(default_factory=list)
    tries: dict[str, int] = field(default_factory=lambda: defaultdict(int))
    told: dict[int, float] = field(default_factory=dict)  # when discovery said: drains, or gone
    back: dict[int, float] = field(default_factory=dict)  # when it said that it is up again
    started: dict[int, float] = field(default_factory=dict)  # when a cold one was listed
    hosts: list[dict[str, Any]] = field(default_factory=list)
    unknown: int = 0  # attempts of a call that no front was given

    async def start(self, listed: int) -> None:
        self.servers = [Server(self._script_of(i)) for i in range(self.count)]
        self.listeners = [await asyncio.start_server(s, "127.0.0.1", 0) for s in self.servers]
        self.discovery = Discovery()
        self.lookup = await asyncio.start_server(self.discovery, "127.0.0.1", 0)
        self.where = address_of(self.lookup)
        self.hosts = [
            entry(f"s{i}", address_of(listener), block=i % 2) for i, listener in enumerate(self.listeners)
        ]
        self.discovery.hosts = self.hosts[:listed]

    async def stop(self) -> None:
        for listener in (*self.listeners, self.lookup):
            listener.close()

    def _script_of(self, number: int) -> Any:
        async def script(seen: Seen) -> bytes | None:
            return await self._serve(number, seen)

        return script

    async def _serve(self, number: int, seen: Seen) -> bytes | None:
        identity = seen.field("X-Correlation-Id") or ""
        step = self.steps.get(identity)
        if step is None:
            self.unknown += 1
            return reply(400)
        act = step.act(self.tries[identity])
        self.tries[identity] += 1
        key = seen.field("Idempotency-Key") or ""
        self.ledger.append(Entry(time.monotonic(), number, identity, act, key))
        if act == "ok":
            await asyncio.sleep(ANSWERS_AFTER)
            return reply(200, answer_for(identity, seen.body))
        if act == "500":
            return reply(500)
        if act == "unprocessed":
            return reply(503, extra="X-Unprocessed: 1\r\n")
        if act == "cut":
            seen.writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\ncut")
            await seen.writer.drain()
        if act in ("reset", "cut"):
            reset(seen.writer)
        return None

    # What discovery says ------------------------------------------------------------------------

    def drain(self, number: int, health: str = "draining") -> None:
        self.discovery.change({**self.hosts[number], "health": health})
        self.told[number] = time.monotonic()
        self.back.pop(number, None)

    def restore(self, number: int) -> None:
        self.discovery.change(self.hosts[number])
        self.back[number] = time.monotonic()

    def add_cold(self, number: int) -> None:
        born = time.time_ns() // 1_000_000
        self.discovery.change({**self.hosts[number], "born_ms": born})
        self.started[number] = time.monotonic()


def violations(
    tier: ScriptedTier, outcomes: dict[str, Outcome], grace: float, cold_most: float, cold_window: float
) -> list[str]:
    """Each rule that the servers' ledger and the outcomes break, as a line."""
    by_call: dict[str, list[Entry]] = defaultdict(list)
    for seen in tier.ledger:
        by_call[seen.identity].append(seen)
    found = [f"{tier.unknown} attempts of calls that nobody made"] if tier.unknown else []
    for identity, step in tier.steps.items():
        if identity not in outcomes:
            found.append(f"{identity}: no outcome")
        else:
            found += _of_call(step, outcomes[identity], by_call.get(identity, []))
    found += _drains(tier, grace)
    found += _cold(tier, cold_most, cold_window)
    return found


def _of_call(step: Step, outcome: Outcome, seen: list[Entry]) -> Iterable[str]:
    """One answer, that a server made, in time, nothing behind it, and no effect twice."""
    name = f"{step.identity} ({step.kind.cls}, {'/'.join(step.kind.script)})"
    if outcome.word == SERVED and outcome.body != answer_for(step.identity, step.body):
        yield f"{name}: served with what no server made for it"
    if outcome.word == SERVED and not any(e.act == "ok" for e in seen):
        yield f"{name}: served, but no server did"
    if outcome.word not in (SERVED, REFUSED, FAILED, LEFT):
        yield f"{name}: {outcome.word} is no outcome"
    if any(e.at > outcome.at + SLACK for e in seen):
        yield f"{name}: sent after its outcome"
    ran = [i for i, e in enumerate(seen) if e.act in MAY_RUN]
    if outcome.word == REFUSED and ran and step.kind.cls != "safe":
        yield f"{name}: refused, but it may have run"
    if ran and step.kind.cls == "unsafe" and len(seen) > ran[0] + 1:
        yield f"{name}: sent again after it may have run"
    if ran and step.kind.cls == "keyed":
        cell = seen[ran[0]].server % 2
        if any(e.server % 2 != cell for e in seen[ran[0] :]):
            yield f"{name}: sent to servers that do not drop its repeat"
    if any(e.key != step.key for e in seen):
        yield f"{name}: its key was changed"


def _drains(tier: ScriptedTier, grace: float) -> Iterable[str]:
    for number, told in tier.told.items():
        until = tier.back.get(number, float("inf"))
        late = [e for e in tier.ledger if e.server == number and told + grace + SLACK < e.at < until]
        if late:
            yield f"s{number}: {len(late)} sends after it was told to drain"


def _cold(tier: ScriptedTier, most: float, window: float) -> Iterable[str]:
    for number, began in tier.started.items():
        times = [e.at for e in tier.ledger if e.server == number and e.at >= began]
        for i, first in enumerate(times):
            count = sum(first <= t < first + window for t in times[i:])
            if first < began + window and count > most:
                yield f"s{number}: {count} sends within {window} s of a cold start, over {most}"
                break
