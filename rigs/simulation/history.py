"""What happened, in the order in which it did: the only thing that the checks read."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import Any, NamedTuple


class Event(NamedTuple):
    """One thing that happened, at whom, with its values by name."""

    at: float
    what: str
    who: str
    data: dict[str, Any]


class History:
    """Events in their order. Listeners are called with each as it comes: faults that strike just then."""

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
        """A line for each event that has this word in it."""
        return "\n".join(
            f"{e.at:9.4f} {e.what:10s} {e.who:12s} {e.data}"
            for e in self.events
            if word in e.what or word in e.who or word in str(e.data)
        )


def asked_requests(history: History) -> dict[str, Event]:
    """What clients asked, by request id."""
    return {e.data["id"]: e for e in history.of("asked")}
