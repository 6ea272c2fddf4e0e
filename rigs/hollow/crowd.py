"""Many hollow sidecars in one process: `python -m rigs.hollow.crowd FILE`, driven by `rigs.hollow.site`.

A hollow sidecar is a whole `Front` (links, replica, registry views, routes, choice, budget) without its HTTP
listeners, and without a server: the beats of one are given to it directly. A thin one keeps no list of
servers either, so that many fit into a core: it is there for control's sake, its own figures count nowhere.
"""

from __future__ import annotations

import asyncio
import json
import os
import random
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import uvloop

from minthitch.mesh.configuration.settings import parse_settings
from minthitch.mesh.registry.merged_views import MergedViews
from minthitch.mesh.registry.registry import RegistryDelta
from minthitch.mesh.sidecar.sidecar import Sidecar
from rigs.hollow.channel import listen
from rigs.hollow.meter import Meter

LONGEST = 900.0  # seconds after which the process ends, whatever its measurer does
CLAIM_PATIENCE = 5.0  # seconds until a claim without an answer counts as lost
CLAIM_TICK = 0.01  # seconds between two handfuls of claims
CALLED, CALL_EVERY = 5, 0.1  # services that one sidecar calls; seconds between two calls to each
SLOTS = 6


class NoViews(MergedViews):
    """Takes every word and keeps no list: for thin sidecars, which are there to be told."""

    def update(self, now: float, source: str, delta: RegistryDelta) -> bool:
        return False


class HollowSidecar(Sidecar):
    """Notes when it knows what is waited for."""

    before_index = 0  # of the configuration, when the waiting began
    wanted_lives: frozenset[tuple[str, str]] = frozenset()  # (address, life) of servers
    knew_at: float | None = None  # when all of it was known, by the machine's steady clock
    waiting = False

    def expect(self, lives: frozenset[tuple[str, str]]) -> None:
        """Waits for these servers to be listed; for the next configuration where there are none."""
        self.wanted_lives, self.before_index = lives, self.controls.replica.index
        self.knew_at, self.waiting = None, True

    def on_update(self, config: bool, records: bool) -> None:
        super().on_update(config, records)
        if self.waiting and self._knows():
            self.knew_at, self.waiting = time.monotonic(), False

    def _knows(self) -> bool:
        if not self.wanted_lives:
            return self.controls.replica.index > self.before_index
        listed = self.controls.views.merged
        return all(ip in listed and listed[ip].server_id == life for ip, life in self.wanted_lives)

    def beat(self, life: str, seq: int) -> None:
        """What its server would tell it."""
        body = {
            "Addr": self.settings.own.upstream,
            "Summary": {"Svc": self.settings.own.svc, "Ver": "1", "Az": self.settings.own.az, "Cap": SLOTS},
            "Stat": {"State": "up", "Seq": seq},
        }
        self.server_lifecycle.on_heartbeat(life, json.dumps(body).encode(), lambda acknowledged: None)


class ClaimLoad:
    """Claims at an even rate from all sidecars in turn, and how long each took."""

    def __init__(self, crowd: Crowd, rate: float, seconds: float) -> None:
        self.crowd, self.rate = crowd, rate
        self.loop = asyncio.get_running_loop()
        self.began = self.loop.time()
        self.until = self.began + seconds
        self.sent = 0
        self.took: list[float] = []
        self.verdicts: dict[str, int] = {}
        self._tick()

    def _tick(self) -> None:
        now = self.loop.time()
        if now < self.until:
            self.loop.call_later(CLAIM_TICK, self._tick)
        due = int((min(now, self.until) - self.began) * self.rate)
        while self.sent < due:
            self._claim(self.crowd.fronts[self.sent % len(self.crowd.fronts)])
            self.sent += 1

    def _claim(self, front: HollowSidecar | None) -> None:
        if front is None:
            return
        began = time.monotonic()

        def done(verdict: str, owner: str, claim: bytes, digest: bytes) -> None:
            self.verdicts[verdict] = self.verdicts.get(verdict, 0) + 1
            self.took.append(time.monotonic() - began)

        body = (os.urandom(16), front.name, os.urandom(12), os.urandom(8), b"")
        front.controls.claim(body, self.loop.time() + CLAIM_PATIENCE, done)

    def result(self) -> dict[str, Any]:
        """Of all that were answered until now."""
        took = sorted(self.took) or [0.0]
        return {
            "sent": self.sent,
            "verdicts": self.verdicts,
            "median_ms": took[len(took) // 2] * 1000,
            "p99_ms": took[int(len(took) * 0.99)] * 1000,
            "most_ms": took[-1] * 1000,
        }


class Crowd:
    """The sidecars of one process, by number; None for one that does not run."""

    def __init__(self, settings: list[str], thin: bool) -> None:
        self.loop, self.thin = asyncio.get_running_loop(), thin
        self.boots = [parse_settings(text) for text in settings]
        self.fronts: list[HollowSidecar | None] = [None] * len(settings)
        self.lives = [0] * len(settings)
        self.claims: ClaimLoad | None = None
        self.meter = Meter()
        self.meter.install()
        self.expected: frozenset[tuple[str, str]] = frozenset()

    def start(self, numbers: list[int], spread: float) -> None:
        """Each starts at a moment of its own within the spread."""
        for number in numbers:
            self.loop.call_later(random.uniform(0.0, spread), self._start, number)

    def _start(self, number: int) -> None:
        self.lives[number] += 1
        front = HollowSidecar(self.boots[number], int(time.time() * 1000))
        self.fronts[number] = front
        if self.thin:
            front.controls.views = NoViews()
        front.beat(self.life(number), 1)
        if self.expected:
            front.expect(self.expected)

    def life(self, number: int) -> str:
        return f"{self.boots[number].own.node}-{self.lives[number]}"

    def stop(self, numbers: list[int]) -> None:
        """Each ends as a process that is killed."""
        for number in numbers:
            front = self.fronts[number]
            if front is not None:
                front.close()
                self.fronts[number] = None

    def expect(self, lives: list[list[str]]) -> None:
        self.expected = frozenset((ip, life) for ip, life in lives)
        for front in self.fronts:
            if front is not None:
                front.expect(self.expected)

    def knew(self) -> list[float | None]:
        """When each knew what was waited for; None for those that don't yet. Thin ones know no servers."""
        if self.thin and self.expected:
            return []
        return [front.knew_at for front in self.fronts if front is not None]

    def status(self) -> dict[str, Any]:
        fronts = [front for front in self.fronts if front is not None]
        return {
            "running": len(fronts),
            "ready": sum(front.ready() for front in fronts),
            "lines": sum(link.up for front in fronts for link in front.controls.links.values()),
            "listed": [] if self.thin else sorted({len(front.controls.views.merged) for front in fronts}),
            "indexes": sorted({front.controls.replica.index for front in fronts}),
        }

    def load(self, rate: float, seconds: float) -> None:
        self.claims = ClaimLoad(self, rate, seconds)

    def call_services(self, services: list[str], seconds: float) -> None:
        """Each sidecar counts calls to its share of the services, so that it asks for leases on budgets."""
        until = self.loop.time() + seconds

        def tick() -> None:
            for number, front in enumerate(self.fronts):
                if front is not None:
                    for place in range(CALLED):
                        name = services[(number * CALLED + place) % len(services)]
                        front.retry_budget.record_request(name, False)
            if self.loop.time() < until:
                self.loop.call_later(CALL_EVERY, tick)

        tick()

    def claimed(self) -> dict[str, Any]:
        return self.claims.result() if self.claims is not None else {}


def _handlers(crowd: Crowd) -> dict[str, Callable[..., Any]]:
    return {
        "start": crowd.start,
        "stop": crowd.stop,
        "expect": crowd.expect,
        "knew": crowd.knew,
        "status": crowd.status,
        "usage": crowd.meter.usage,
        "load": crowd.load,
        "call": crowd.call_services,
        "claimed": crowd.claimed,
    }


async def _run(path: str) -> None:
    loop = asyncio.get_running_loop()
    plan = json.loads(Path(path).read_text())
    crowd = Crowd(plan["settings"], plan["thin"])
    handlers = _handlers(crowd)

    async def handled(request: dict[str, Any]) -> Any:
        return handlers[request.pop("do")](**request)

    listen(lambda request: asyncio.run_coroutine_threadsafe(handled(request), loop).result())
    await asyncio.sleep(LONGEST)


if __name__ == "__main__":
    uvloop.run(_run(sys.argv[1]))
    os._exit(0)
