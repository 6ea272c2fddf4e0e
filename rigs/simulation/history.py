"""What happened, in the order in which it did: the only thing that the checks read."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import Any, NamedTuple


class Event(NamedTuple):
    at: float
    what: str
    who: str
    data: dict[str, Any]


class History:
    """Events, and who wants to hear of them as they come (faults that strike just then)."""

    def __init__(self) -> None:
        self.events: list[Event] = []
        self.ears: list[Callable[[Event], None]] = []

    def add(self, at: float, what: str, who: str, **data: Any) -> None:
        event = Event(at, what, who, data)
        self.events.append(event)
        for ear in list(self.ears):
            ear(event)

    def of(self, *kinds: str) -> Iterator[Event]:
        return (event for event in self.events if event.what in kinds)

    def shown(self, word: str = "") -> str:
        return "\n".join(
            f"{e.at:9.4f} {e.what:10s} {e.who:12s} {e.data}"
            for e in self.events
            if word in e.what or word in e.who or word in str(e.data)
        )


def asked_requests(history: History) -> dict[str, Event]:
    """What clients asked, by request id."""
    return {e.data["id"]: e for e in history.of("asked")}
