"""A node in the lab: the real engine, with the real decisions or a rival's, between callers and model."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from minthitch.engine import Answer, Call, Decider, Engine, Message, Refused, Rejected, Request, Served
from minthitch.interface import ListKind, Settings
from minthitch.lab.carrier import LabCarrier, LabSource
from minthitch.lab.discovery import Discovery
from minthitch.lab.heap import Heap
from minthitch.lab.ledger import Ledger
from minthitch.lab.network import Network
from minthitch.lab.rivals.base import Sight, World
from minthitch.lab.servers import ServerModel
from minthitch.listing import Listing

GET = Message(b"GET", b"/")
MakeDecider = Callable[[Settings, int, World], Decider | None]


class Hears(Protocol):
    """Who asked a node, and hears its answer as it leaves the node: served, refused, failed or lost."""

    number: int

    def heard(self, word: str, retry_after: int) -> None: ...


class LabNode:
    """One node before one tier. It can die, and come back with the list that it last held."""

    def __init__(
        self,
        heap: Heap,
        network: Network,
        ledger: Ledger,
        discovery: Discovery,
        models: dict[str, ServerModel],
        settings: Settings,
        make: MakeDecider,
        seed: int,
        log: Callable[[str], None],
    ) -> None:
        self.heap, self.network, self.ledger, self.discovery = heap, network, ledger, discovery
        self.models, self.settings, self.make, self.seed, self.log = models, settings, make, seed, log
        self.zone = settings.zone
        self.up = False
        self.starts = 0
        self.works: dict[int, tuple[int, int]] = {}  # by the identity that its engine knows
        self.asking: dict[int, tuple[Hears, Request | None]] = {}
        self.next = 1
        self.admitted = self.refused = self.rejected = 0
        self.start(discovery.whole())

    def start(self, known: Listing) -> None:
        """A new process with an older list."""
        self.up = True
        self.starts += 1
        decider = self.make(self.settings, self.seed + self.starts, self)
        engine = self.engine = Engine(
            self.settings, self.seed + self.starts, self.heap, self.log, decider=decider
        )
        self.source = engine.source = LabSource(self.heap, self.discovery, engine)
        self.carrier = engine.transport = LabCarrier(
            self.heap,
            self.network,
            self.ledger,
            self.settings,
            self.zone,
            self.models,
            self.works,
            self.source,
        )
        self.source.deliver(known, ListKind.CACHED)
        self.source.subscribe()

    def die(self) -> Listing:
        """SIGKILL: all that it holds is gone. Gives the list that it held."""
        self.up = False
        self.source.alive = False
        self.discovery.leave(self.source)
        engine = self.engine
        for hears, _ in self.asking.values():
            self.ledger.lost(hears.number)
            hears.heard("lost", 0)
        self.asking.clear()
        for request in engine.requests.values():
            for attempt in request.attempts:
                if attempt is not None and attempt.status is None and attempt.handle is not None:
                    attempt.handle.drop()
            request.closed = True
        engine.transport = None
        self.works.clear()
        hosts = tuple(
            self.discovery.hosts[name] for name in engine.server_table.by_name if name in self.discovery.hosts
        )
        return Listing(engine.server_table.seq, True, hosts)

    # What callers ask ---------------------------------------------------------------------------

    def ask(self, hears: Hears, cls: int, work: int, left: int, key: int, repeat: bool) -> int:
        """A request has come whole. Gives the identity by which it can be left; 0 = it is over already."""
        identity, self.next = self.next, self.next + 1
        call = Call(
            b"%d" % identity, cls, GET, time_left=left, received_at=self.heap.time, key=key, repeat=repeat
        )
        self.works[identity] = (hears.number, work)
        self.asking[identity] = (hears, None)
        spec = self.settings.classes[cls]
        self.ledger.accepted(hears.number, cls, self.heap.time + min(left, spec.deadline))
        try:
            request = self.engine.admit(self, call)
        except Rejected as err:
            del self.asking[identity], self.works[identity]
            self.ledger.rejected(hears.number)
            self.rejected += 1
            hears.heard("refused" if err.status == 503 else "failed", err.retry_after)
            return 0
        self.admitted += 1
        if identity not in self.asking:
            return 0
        self.asking[identity] = (hears, request)
        return identity

    def leave(self, identity: int) -> None:
        """The caller is there no more."""
        entry = self.asking.pop(identity, None)
        if entry is not None and entry[1] is not None and self.up:
            self.ledger.left(self.heap.time, entry[0].number)
            self.engine.abandon(entry[1])
            self._forget(identity)

    def answer(self, call: Call, answer: Answer) -> None:
        """The engine's asker."""
        identity = int(call.identity)
        entry = self.asking.pop(identity, None)
        if entry is None or not self.up:
            return
        word, pause = "failed", 0
        if isinstance(answer, Served):
            word = "served"
        elif isinstance(answer, Refused):
            word, pause = "refused", answer.retry_after_ns
            self.refused += 1
        self.ledger.answered(self.heap.time, entry[0].number, word)
        entry[0].heard(word, pause)
        self._forget(identity)

    def _forget(self, identity: int) -> None:
        """Its attempts may still be out for a while, and are asked for their work."""
        self.heap.post(self.settings.classes[0].deadline * 2, lambda: self.works.pop(identity, None))

    # What oracles see, and rivals that probe ask ------------------------------------------------

    def see(self, server: int) -> Sight | None:
        """The server as it is; None where it can't be reached, or says nothing."""
        known = self.engine.server_table.by_number.get(server)
        model = self.models[known.name] if known is not None else None
        if model is None or not model.up or model.silent or self.network.apart(self.zone, model.zone):
            return None
        return model.sight()

    def probe(self, server: int, heard: Callable[[int], None]) -> None:
        """Requests in flight at the server, a round trip later; nothing from one that is down or silent."""
        known = self.engine.server_table.by_number.get(server)
        if known is None:
            return
        model = self.models[known.name]

        def there() -> None:
            if model.up and not model.silent:
                held = model.held
                self.network.send(model.zone, self.zone, lambda: heard(held))

        self.network.send(self.zone, model.zone, there)
