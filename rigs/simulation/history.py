"""The recorded events of a run in order; checks read nothing else.

Kinds of events:

- Clients: `asked` (request sent), `told` (response received), `unheard` (connection lost), `gave up`.
- Servers: `arrival` (request received; `ran` tells whether it was executed), `served` (finished), `beaten`
  (heartbeat delivered), `server` (state changed), `server trouble` (fault injected).
- Configuration: `sent` (call sent), `verdict` (definite answer), `order`, `read`, `waited` (attempts of a
  control client), `copies` (disks that store an acknowledged order), `fetched` (final read), `table` (new
  routes of a sidecar).
- Nodes: `start`, `sigterm`, `left` (ended after SIGTERM), `claim` (answer to a key claim), `image` (snapshot
  restored), `rotated` (claims expired), `unsynced` (replicas not up to date).
- Faults: `trouble` and `well` (start and end), `struck` (a control node was hit in some state), `healed` (all
  faults ended), `fault` (a program failed by itself).
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import Any, NamedTuple


class Event(NamedTuple):
    """An event: its time, kind, the machine or program concerned, and its data by name."""

    at: float
    what: str
    who: str
    data: dict[str, Any]


class History:
    """Events in order. Listeners are called with each event as it is added, so that faults can be triggered
    by it.
    """

    def __init__(self) -> None:
        self.events: list[Event] = []
        self.listeners: list[Callable[[Event], None]] = []

    def add(self, at: float, what: str, who: str, **data: Any) -> None:
        """Appends an event."""
        event = Event(at, what, who, data)
        self.events.append(event)
        for listener in list(self.listeners):
            listener(event)

    def of(self, *kinds: str) -> Iterator[Event]:
        """All events of these kinds."""
        return (event for event in self.events if event.what in kinds)

    def shown(self, word: str = "") -> str:
        """One line for each event whose kind, machine or data contains `word`."""
        return "\n".join(
            f"{e.at:9.4f} {e.what:10s} {e.who:12s} {e.data}"
            for e in self.events
            if word in e.what or word in e.who or word in str(e.data)
        )


def asked_requests(history: History) -> dict[str, Event]:
    """The requests that clients sent, by request id."""
    return {e.data["id"]: e for e in history.of("asked")}
