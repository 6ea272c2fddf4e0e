"""The engine's carrier and source in virtual time: the model's network, and lists from its discovery."""

from __future__ import annotations

from minthitch.engine import Attempt, Engine, Served, Server
from minthitch.interface import ListKind, Settings, Status
from minthitch.lab.discovery import Discovery
from minthitch.lab.heap import Heap
from minthitch.lab.ledger import Ledger
from minthitch.lab.network import Network
from minthitch.lab.servers import Job, ServerModel
from minthitch.listing import Listing

ANSWER = Served(b"", ())


class Flight:
    """One attempt between its node and its server."""

    __slots__ = ("carrier", "attempt", "model", "job", "epoch", "dropped")

    def __init__(self, carrier: LabCarrier, attempt: Attempt, model: ServerModel) -> None:
        self.carrier, self.attempt, self.model = carrier, attempt, model
        self.epoch = model.epoch
        self.job: Job | None = None
        self.dropped = False

    def drop(self) -> None:
        """The node has ended it: its connection closes, and the server hears of that a little later."""
        if not self.dropped:
            self.dropped = True
            if self.attempt.status is Status.OK:
                self.carrier.keep(self.model.name)
            elif self.job is not None:
                self.carrier.network.send(self.carrier.zone, self.model.zone, self._left)

    def _left(self) -> None:
        if self.job is not None:
            self.job.gone = True

    def write(self) -> None:
        """Its bytes leave the node, now."""
        attempt, carrier = self.attempt, self.carrier
        if attempt.status is not None:
            return
        if not attempt.may_write():
            attempt.end(Status.MOOT)
            return
        number = carrier.number_of(attempt)
        told = carrier.source.told(self.model.name)
        carrier.ledger.written(carrier.heap.time, number, self.model.name, told)
        work = carrier.work_of(attempt)
        self.job = Job(
            number, attempt.request.call.cls, carrier.heap.time + attempt.time_left, work, self._reply
        )
        carrier.network.send(carrier.zone, self.model.zone, self._arrived)

    def _arrived(self) -> None:
        assert self.job is not None
        if not self.model.up or self.model.epoch != self.epoch:
            self.carrier.network.send(self.model.zone, self.carrier.zone, self._reset)
        else:
            self.model.arrive(self.job)

    def _reset(self) -> None:
        if self.attempt.status is None:
            self.attempt.end(Status.RESET)

    def _reply(self, status: Status) -> None:
        if not self.dropped:
            self.carrier.network.send(self.model.zone, self.carrier.zone, lambda: self._heard(status))

    def _heard(self, status: Status) -> None:
        if self.attempt.status is None:
            self.attempt.end(status, ANSWER if status is Status.OK else None)


class LabCarrier:
    """A node's connections: idle ones are used again, a new one costs a round trip."""

    def __init__(
        self,
        heap: Heap,
        network: Network,
        ledger: Ledger,
        settings: Settings,
        zone: int,
        models: dict[str, ServerModel],
        works: dict[int, tuple[int, int]],
        source: LabSource,
    ) -> None:
        """`works`: for each open engine request the run's own number and its work in ns."""
        self.heap, self.network, self.ledger, self.settings = heap, network, ledger, settings
        self.zone, self.models, self.works, self.source = zone, models, works, source
        self.idle: dict[str, tuple[int, int]] = {}  # by server: its epoch, connections
        self.flights: set[Flight] = set()

    def number_of(self, attempt: Attempt) -> int:
        return self.works[int(attempt.request.call.identity)][0]

    def work_of(self, attempt: Attempt) -> int:
        return self.works[int(attempt.request.call.identity)][1]

    def keep(self, name: str) -> None:
        model = self.models[name]
        epoch, count = self.idle.get(name, (model.epoch, 0))
        self.idle[name] = (model.epoch, count + 1 if epoch == model.epoch else 1)

    def start(self, attempt: Attempt) -> None:
        model = self.models[attempt.server.name]
        flight = Flight(self, attempt, model)
        attempt.handle = flight
        epoch, count = self.idle.get(model.name, (0, 0))
        if count and epoch == model.epoch and model.up:  # a process that ended has closed its connections
            self.idle[model.name] = (epoch, count - 1)
            self.heap.post(0, flight.write)  # not before `start` has returned
        else:
            self._connect(flight)

    def _connect(self, flight: Flight) -> None:
        """A handshake: to a dead process it is refused, over a cut it is never answered."""
        model, attempt = flight.model, flight.attempt

        def back() -> None:
            if attempt.status is None:
                if not model.up:
                    attempt.end(Status.CONNECT_FAILED)
                else:
                    flight.epoch = model.epoch
                    flight.write()

        def timed_out() -> None:
            if attempt.status is None and flight.job is None:
                attempt.end(Status.CONNECT_FAILED)

        self.network.send(self.zone, model.zone, lambda: self.network.send(model.zone, self.zone, back))
        if self.settings.connect_timeout and (self.network.cut or self.network.loss):
            self.heap.post(self.settings.connect_timeout, timed_out)

    def hang_up(self, server: Server) -> None:
        self.idle.pop(server.name, None)

    def close(self) -> None:
        self.idle.clear()


class LabSource:
    """Where a node's lists come from; it notes when the node was told that a server drains."""

    def __init__(self, heap: Heap, discovery: Discovery, engine: Engine) -> None:
        self.heap, self.discovery, self.engine = heap, discovery, engine
        self.words: dict[str, int] = {}
        self.alive = True
        self.held: Listing | None = None  # the last whole list, for a start behind a crash

    def told(self, name: str) -> int:
        return self.words.get(name, 0)

    def subscribe(self) -> None:
        self.discovery.subscribe(self)

    def refresh(self) -> None:
        self.discovery.subscribe(self)

    def deliver(self, listing: Listing, kind: ListKind) -> None:
        if not self.alive:
            return
        if listing.whole:
            named = {host.name for host in listing.hosts}
            for name in self.engine.server_table.by_name:
                if name not in named:
                    self.words.setdefault(name, self.heap.time)
        for host in listing.hosts:
            if host.state == "up":
                self.words.pop(host.name, None)
            else:
                self.words.setdefault(host.name, self.heap.time)
        self.engine.listed(listing, kind)

    def failed(self) -> None:
        if self.alive:
            self.engine.list_failed()

    async def close(self) -> None:
        self.alive = False
