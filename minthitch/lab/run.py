"""One run: a scenario, a seed and a chooser put together and played. The same every time. Pure."""

from __future__ import annotations

import struct
from collections.abc import Callable
from hashlib import blake2b
from typing import Any

from minthitch import interface as api
from minthitch.engine import Decider
from minthitch.interface import SECOND, Status
from minthitch.lab.crowd import Crowd, Front, Want
from minthitch.lab.deeds import Deeds
from minthitch.lab.discovery import Discovery
from minthitch.lab.heap import START, Heap
from minthitch.lab.ledger import RULES, Ledger
from minthitch.lab.network import Network
from minthitch.lab.nodes import LabNode, MakeDecider
from minthitch.lab.rivals.base import World
from minthitch.lab.rivals.choosers import RIVALS
from minthitch.lab.rivals.oracles import ORACLES
from minthitch.lab.scenario import Scenario, span
from minthitch.lab.servers import Below, Job, ServerModel
from minthitch.lab.streams import Streams
from minthitch.lab.tally import Tally
from minthitch.lab.tiers import TierAtWork

OURS = "minthitch"
CHOOSERS = (OURS, *RIVALS, *ORACLES)
SWEEP = 5 * SECOND  # between two looks for requests that were never answered
TAIL = 2 * SECOND  # behind the last deadline, for what is still on its way
LOG_LINES = 200  # of nodes, kept in a run


def decider_of(chooser: str) -> MakeDecider:
    """None for our own: the engine then makes its Balancer."""
    if chooser == OURS:
        return lambda settings, seed, world: None
    rival = {**RIVALS, **ORACLES}[chooser]

    def make(settings: api.Settings, seed: int, world: World) -> Decider:
        return rival(settings, seed, world)

    return make


class _Call:
    """A server's call to the next tier: the server hears the answer as any caller does."""

    __slots__ = ("number", "done", "network", "zone", "over")

    def __init__(self, number: int, network: Network, zone: int, done: Callable[[str], None]) -> None:
        self.number, self.network, self.zone, self.done = number, network, zone, done
        self.over = False

    def heard(self, word: str, retry_after: int) -> None:
        if not self.over:
            self.over = True
            self.network.send(self.zone, self.zone, lambda: self.done(word))


class Run:
    """`play()` once; then `result()`."""

    def __init__(
        self, scenario: Scenario, seed: int, chooser: str = OURS, make: MakeDecider | None = None
    ) -> None:
        self.scenario, self.seed, self.chooser = scenario, seed, chooser
        self.make = make or decider_of(chooser)
        self.heap, self.streams = Heap(), Streams(seed)
        self.network = Network(self.heap, scenario.network, self.streams("network"))
        self.settings = scenario.settings()
        self.digest = blake2b(digest_size=16)
        self.number = 0
        self.log_lines: list[str] = []
        seconds = int(scenario.seconds)
        self.tally = Tally(self.settings.classes, seconds)
        self.tiers: list[TierAtWork] = []
        for i in reversed(range(len(scenario.tiers))):
            self.tiers.insert(0, self._tier(i))
        self.end = START + int(scenario.seconds * SECOND)
        first, works = scenario.tiers[0], self.streams("work")
        work = span(first.work)
        self.crowd = Crowd(
            self.heap,
            self.network,
            self.tiers[0].front,
            scenario.load,
            self.settings,
            lambda: int(work * works.spread(first.spread, first.width)),
            self.streams,
            self.tally,
            self.next_number,
            START + int(scenario.settle * SECOND),
            self.end,
        )
        self.crowd.watch = self._seen
        self.deeds = Deeds(self.heap, scenario, self.tiers, self.network, self.streams("deeds"))

    def next_number(self) -> int:
        self.number += 1
        return self.number

    def _log(self, text: str) -> None:
        if len(self.log_lines) < LOG_LINES:
            self.log_lines.append(f"{(self.heap.time - START) / SECOND:.3f} {text}")

    def _tier(self, number: int) -> TierAtWork:
        scenario, tier = self.scenario, self.scenario.tiers[number]
        settings = [scenario.settings_of(number, node) for node in range(tier.nodes)]
        ledger = Ledger(self.settings.classes, self.settings.drain_grace, self.settings.answer_slack)
        below = self.tiers[0] if tier.calls else None
        models: list[ServerModel] = []
        discovery = Discovery(self.heap, scenario.discovery, self.streams(f"discovery {tier.name}"))

        def fallen(model: ServerModel) -> None:
            self.deeds.fall(number, model, span(tier.cold.restart))

        for i in range(tier.servers):
            calls = self._below(number, tier.calls, below, i) if below is not None else None
            models.append(
                ServerModel(
                    self.heap, ledger, tier, i, self.streams(f"server {tier.name} {i}"), calls, fallen
                )
            )
        discovery.fill(models)
        by_name = {model.name: model for model in models}
        front = Front((), scenario.front.turns, self.streams(f"front {tier.name}"))
        made = TierAtWork(models, by_name, discovery, ledger, front)
        for i in range(tier.nodes):
            made.nodes.append(
                LabNode(
                    self.heap,
                    self.network,
                    ledger,
                    discovery,
                    by_name,
                    settings[i],
                    self.make,
                    self.streams.number(f"node {tier.name} {i}"),
                    self._log,
                )
            )
        front.nodes, front.seen = made.nodes, list(range(tier.nodes))
        return made

    def _below(self, number: int, calls: int, below: TierAtWork, server: int) -> Below:
        """What a server of this tier does for a job: so many calls to the next, one after another."""
        beside = self.scenario.tiers[number + 1].beside
        tier, works = self.scenario.tiers[number + 1], self.streams(f"work of tier {number + 1}")
        work = span(tier.work)

        def ask(job: Job, done: Callable[[Status], None], made: int) -> None:
            left = job.deadline - self.heap.time
            node = below.nodes[server] if beside else below.front.pick()
            if left <= 0 or node is None or not node.up:
                done(Status.ERROR)
                return

            def came(word: str) -> None:
                if word == "served":
                    if made + 1 < calls:
                        ask(job, done, made + 1)
                    else:
                        done(Status.OK)
                else:
                    done(Status.ERROR)

            call = _Call(self.next_number(), self.network, 0, came)
            node.ask(call, job.cls, int(work * works.spread(tier.spread, tier.width)), left, 0, False)

        def begin(job: Job, done: Callable[[Status], None]) -> None:
            ask(job, done, 0)

        return begin

    # Playing ------------------------------------------------------------------------------------

    def _seen(self, want: Want, what: str) -> None:
        """Every client's every step goes into the digest: two runs are the same if this is."""
        self.digest.update(struct.pack(">qqi", self.heap.time, want.client, want.tries) + what.encode())

    def play(self) -> Run:
        """Raises TimeStands."""
        longest = max(spec.deadline for spec in self.settings.classes)
        self.crowd.start()
        self.deeds.start()
        while self.heap.time < self.end:
            self.heap.run(min(self.heap.time + SWEEP, self.end))
            for tier in self.tiers:
                tier.ledger.sweep(self.heap.time)
        # A client may ask for the last time when its patience is nearly over, and wait as long again.
        self.heap.run(self.end + 2 * longest + TAIL)
        for tier in self.tiers:
            tier.ledger.finish(self.heap.time)
            for model in tier.models:
                self.digest.update(struct.pack(">qq", model.served, model.work_done))
        return self

    def result(self) -> dict[str, Any]:
        """Figures as plain values, the same for the same run."""
        tally, first = self.tally, self.tiers[0]
        broken = {rule: sum(tier.ledger.broken[rule] for tier in self.tiers) for rule in RULES}
        served = sum(tally.in_aim) + sum(tally.late)
        return {
            "seed": self.seed,
            "chooser": self.chooser,
            "worth": tally.share,
            "wants": sum(tally.wants),
            "served": served,
            "late": sum(tally.late),
            "unserved": sum(tally.unserved),
            "tries": tally.tries,
            "heard": dict(sorted(self.crowd.words.items())),
            "attempts": first.ledger.attempts,
            "turned_away": first.ledger.turned_away,
            "attempts_each_want": first.ledger.attempts / max(sum(node.admitted for node in first.nodes), 1),
            "late_share": sum(tally.late) / max(served, 1),
            "classes": tally.by_class(),
            "broken": broken,
            "falls": sum(model.falls for tier in self.tiers for model in tier.models),
            "breaches": [line for tier in self.tiers for line in tier.ledger.lines][:10],
            "seconds": [[round(value, 6) for value in row] for row in tally.each_second],
            "by_server": {
                tier.models[0].tier.name: [model.served for model in tier.models] for tier in self.tiers
            },
            "events": self.heap.done,
            "digest": self.digest.hexdigest(),
        }
