"""What happens in a scenario: servers and nodes die, come back, slow down; lists grow stale; cuts. Pure."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

from minthitch.interface import SECOND
from minthitch.lab.heap import START, Heap
from minthitch.lab.network import Network
from minthitch.lab.nodes import LabNode
from minthitch.lab.scenario import Deed, Scenario, span
from minthitch.lab.servers import ServerModel
from minthitch.lab.streams import Stream
from minthitch.lab.tiers import TierAtWork
from minthitch.listing import Listing

LEARNS_LATE = 2  # a death is in the list after so many of discovery's delays
TERM = 4 * SECOND  # behind its SIGTERM a node's process has ended
TURN = SECOND // 2  # until the next one is ready
GONE_BEHIND = 3 * SECOND  # a drained server's process ends so long after its word


class Deeds:
    """Carries a scenario's deeds out at their times."""

    def __init__(
        self, heap: Heap, scenario: Scenario, tiers: list[TierAtWork], network: Network, stream: Stream
    ) -> None:
        self.heap, self.scenario, self.tiers = heap, scenario, tiers
        self.network, self.stream = network, stream
        self.notices = span(scenario.front.notices)
        self.delay = span(scenario.discovery.delay)
        self.known: dict[LabNode, Listing] = {}  # nodes that are down with their servers: the list they held

    def start(self) -> None:
        """Those who are struck are drawn now, so that one deed's draw does not shift another's."""
        joining = [deed for deed in self.scenario.deeds if deed.do == "join"]
        taken = [self._struck(deed) for deed in self.scenario.deeds]
        for deed in joining:  # they are there from the start, and not up
            for model in taken[self.scenario.deeds.index(deed)]:
                self._stop(self._tier(deed), model)
                self._tier(deed).discovery.hosts.pop(model.name, None)
        for deed, models in zip(self.scenario.deeds, taken, strict=True):
            self._schedule(deed, models)

    def _tier(self, deed: Deed) -> TierAtWork:
        names = [tier.name for tier in self.scenario.tiers]
        return self.tiers[names.index(deed.tier) if deed.tier else 0]

    def _many(self, deed: Deed, of: int) -> int:
        """A count from 1 on is a number, below it a part; one at least."""
        return min(int(deed.count) if deed.count >= 1 else max(round(deed.count * of), 1), of)

    def _struck(self, deed: Deed) -> list[ServerModel]:
        models = [model for model in self._tier(deed).models if deed.zone in (-1, model.zone)]
        if deed.do == "join":
            return models[len(models) - self._many(deed, len(models)) :]
        return [models[i] for i in self.stream.sample(len(models), self._many(deed, len(models)))]

    def _schedule(self, deed: Deed, models: list[ServerModel]) -> None:
        at, last = START + int(deed.at * SECOND), int(deed.last * SECOND)
        whole = {
            "nodes-die": self._nodes_die,
            "stale-list": self._stale,
            "silent-list": self._silent_list,
            "partition": self._partition,
            "nodes-turn": self._nodes_turn,
            "power-lost": self._power_lost,
        }
        if deed.do in whole:
            self.heap.at(at, lambda: whole[deed.do](deed, last))
            return
        step = int(deed.spread * SECOND) // max(len(models), 1)
        for i, model in enumerate(models):
            self.heap.at(at + i * step, partial(self._strike, deed, model, last))

    def _later(self, last: int, call: Callable[[], object]) -> None:
        if last:
            self.heap.post(last, call)

    # Servers ------------------------------------------------------------------------------------

    def _strike(self, deed: Deed, model: ServerModel, last: int) -> None:
        tier = self._tier(deed)
        if deed.do == "silence":
            model.silent = True
            self._later(last, lambda: self._speaks(model))
        elif deed.do == "slow":
            model.factor = deed.by
            self._later(last, lambda: setattr(model, "factor", 1.0))
        elif deed.do == "errors":
            model.errors = deed.by
            self._later(last, lambda: setattr(model, "errors", 0.0))
        elif deed.do == "join":
            self._up(tier, model)
        elif deed.do == "crash":
            self._crash(tier, model, last)
        else:  # drain; restart: a drain, and a new process behind it
            tier.discovery.change(model, "draining")
            self.heap.post(GONE_BEHIND, lambda: self._drained(tier, model, last))

    def _speaks(self, model: ServerModel) -> None:
        """What it held while it was silent is never answered."""
        model.silent = False
        model.held = model.busy = 0
        model.queue.clear()
        model.epoch += 1

    def _below(self, tier: TierAtWork, model: ServerModel) -> LabNode | None:
        """The node that stands beside the server, if one does."""
        number = self.tiers.index(tier) + 1
        beside = number < len(self.tiers) and self.scenario.tiers[number].beside
        return self.tiers[number].nodes[model.number] if beside else None

    def _stop(self, tier: TierAtWork, model: ServerModel) -> None:
        model.stop()
        node = self._below(tier, model)
        if node is not None and node.up:
            self.known[node] = node.die()

    def _crash(self, tier: TierAtWork, model: ServerModel, last: int) -> None:
        self._stop(tier, model)
        epoch = model.epoch

        def learn() -> None:
            if model.epoch == epoch:
                tier.discovery.change(model, "removed")

        self.heap.post(LEARNS_LATE * self.delay, learn)
        self._later(last, lambda: self._up(tier, model))

    def _drained(self, tier: TierAtWork, model: ServerModel, last: int) -> None:
        self._stop(tier, model)
        tier.discovery.change(model, "removed")
        self._later(last, lambda: self._up(tier, model))

    def _up(self, tier: TierAtWork, model: ServerModel) -> None:
        if not model.up:
            model.start()
            node = self._below(tier, model)
            if node is not None and not node.up:
                node.start(self.known.pop(node))
            tier.discovery.change(model, "up")

    def fall(self, number: int, model: ServerModel, restart: int) -> None:
        """A cold server was pushed over."""
        self._crash(self.tiers[number], model, restart)

    # Nodes, lists, cuts -------------------------------------------------------------------------

    def _nodes_die(self, deed: Deed, last: int) -> None:
        tier = self._tier(deed)
        for number in self.stream.sample(len(tier.nodes), self._many(deed, len(tier.nodes))):
            node = tier.nodes[number]
            if not node.up:
                continue
            held = node.die()
            self.heap.post(self.notices, partial(self._notice, tier, number))
            if last:
                self.heap.post(last, partial(self._node_back, tier, number, held))

    def _nodes_turn(self, deed: Deed, last: int) -> None:
        """All nodes are restarted one after another over `spread`, each by SIGTERM: the front leaves it at
        once, it answers what it has, ends, and comes back with the list that it held.
        """
        tier = self._tier(deed)
        step = int(deed.spread * SECOND) // max(len(tier.nodes), 1)
        for number in range(len(tier.nodes)):
            self.heap.post(number * step, partial(self._notice_gone, tier, number))
            self.heap.post(number * step + TERM, partial(self._turned, tier, number))

    @staticmethod
    def _notice_gone(tier: TierAtWork, number: int) -> None:
        if len(tier.front.seen) > 1:  # the last one left is led to until it is gone
            tier.front.notice(number, False)

    def _turned(self, tier: TierAtWork, number: int) -> None:
        node = tier.nodes[number]
        if node.up:
            held = node.die()
            self.heap.post(TURN, partial(self._node_back, tier, number, held))

    def _power_lost(self, deed: Deed, last: int) -> None:
        """All nodes, servers and discoveries of every tier are gone in one instant, and back in another."""
        for tier in self.tiers:
            tier.front.seen.clear()
            for node in tier.nodes:
                if node.up:
                    node.die()
            for model in tier.models:
                model.stop()
        self._later(last, self._power_back)

    def _power_back(self) -> None:
        """Discovery knows at once of all that start; the nodes know nothing, not even a list."""
        for tier in self.tiers:
            for model in tier.models:
                model.start()
                tier.discovery.change(model, "up")
            for number, node in enumerate(tier.nodes):
                node.start(Listing(0, True, ()))
                tier.front.notice(number, True)

    @staticmethod
    def _notice(tier: TierAtWork, number: int) -> None:
        tier.front.notice(number, tier.nodes[number].up)

    def _node_back(self, tier: TierAtWork, number: int, known: Listing) -> None:
        tier.nodes[number].start(known)
        self.heap.post(self.notices, partial(self._notice, tier, number))

    def _stale(self, deed: Deed, last: int) -> None:
        discovery = self._tier(deed).discovery
        discovery.freeze()
        self._later(last, discovery.thaw)

    def _silent_list(self, deed: Deed, last: int) -> None:
        discovery = self._tier(deed).discovery
        discovery.fall_silent()
        self._later(last, discovery.speak)

    def _partition(self, deed: Deed, last: int) -> None:
        zone = max(deed.zone, 0)
        self.network.cut.add(zone)
        self._later(last, lambda: self.network.cut.discard(zone))
