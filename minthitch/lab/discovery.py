"""The model of discovery for one tier: lists and changes, late, stale or silent. Pure, on virtual time."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Protocol

from minthitch.interface import MILLISECOND, ListKind
from minthitch.lab.heap import EPOCH, Heap
from minthitch.lab.scenario import Discovery as Terms
from minthitch.lab.scenario import span
from minthitch.lab.servers import ServerModel
from minthitch.lab.streams import Stream
from minthitch.listing import Host, Listing

PORT = 9_000


class Watcher(Protocol):
    def deliver(self, listing: Listing, kind: ListKind) -> None: ...
    def failed(self) -> None: ...


class Discovery:
    """What a tier's nodes are told of its servers."""

    def __init__(self, heap: Heap, terms: Terms, stream: Stream) -> None:
        self.heap, self.stream = heap, stream
        self.delay, self.jitter = span(terms.delay), span(terms.jitter)
        self.hosts: dict[str, Host] = {}
        self.shown: dict[str, Host] | None = None  # what is given out while it is stale
        self.silent = False
        self.seq = 1
        self.watchers: dict[int, Watcher] = {}  # by identity, in the order in which they came

    def host_of(self, model: ServerModel, state: str) -> Host:
        born = (EPOCH + model.born) // MILLISECOND if model.born else 0
        number = model.number
        return Host(
            model.name,
            f"10.{number >> 16 & 255}.{number >> 8 & 255}.{number & 255}",
            PORT,
            f"z{model.zone}",
            f"k{model.kind}",
            model.cell,
            state,
            1.0,
            born,
        )

    def fill(self, models: Iterable[ServerModel]) -> None:
        self.hosts = {model.name: self.host_of(model, "up") for model in models}

    def whole(self) -> Listing:
        return Listing(self.seq, True, tuple((self.shown if self.shown is not None else self.hosts).values()))

    def _wait(self) -> int:
        return self.delay + int(self.jitter * self.stream.exponential())

    def subscribe(self, watcher: Watcher) -> None:
        if self.silent:
            self.heap.post(self._wait(), watcher.failed)
            return
        self.watchers[id(watcher)] = watcher
        self.heap.post(self._wait(), lambda: watcher.deliver(self.whole(), ListKind.FULL))

    def leave(self, watcher: Watcher) -> None:
        self.watchers.pop(id(watcher), None)

    def change(self, model: ServerModel, state: str) -> None:
        """`up`, `draining` or `removed`, told to all who watch; each hears it after its own while."""
        host = self.host_of(model, state)
        if state == "removed":
            self.hosts.pop(model.name, None)
        else:
            self.hosts[model.name] = host
        self.seq += 1
        if self.shown is None and not self.silent:
            self._tell(Listing(self.seq, False, (host,)))

    def _tell(self, listing: Listing) -> None:
        kind = ListKind.FULL if listing.whole else ListKind.CHANGES
        for watcher in self.watchers.values():
            self.heap.post(self._wait(), lambda to=watcher: to.deliver(listing, kind))  # type: ignore[misc]

    def freeze(self) -> None:
        """Stale: what comes is not told, and who asks gets the list as it was."""
        self.shown = dict(self.hosts)

    def thaw(self) -> None:
        self.shown = None
        self._tell(self.whole())

    def fall_silent(self) -> None:
        """It answers nobody; those who watched hear that the watch broke."""
        self.silent = True
        watchers, self.watchers = list(self.watchers.values()), {}
        for watcher in watchers:
            self.heap.post(self._wait(), watcher.failed)

    def speak(self) -> None:
        self.silent = False
