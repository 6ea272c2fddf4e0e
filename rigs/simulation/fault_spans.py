"""Periods in which each machine was affected by a fault, read from a history."""

from __future__ import annotations

from collections import defaultdict

from rigs.simulation.history import History

CONTACT_S = 3.0  # seconds without a fault after which a machine counts as in contact
PLANNED = ("leave-sidecar", "leave-control")  # kinds of faults that are planned maintenance


class FaultSpans:
    """The periods with an active fault, by machine address, or "core" for the control nodes.

    Kinds in `ignored` do not count.
    """

    def __init__(self, history: History, ignored: tuple[str, ...] = ()) -> None:
        self.spans: dict[str, list[tuple[float, float]]] = defaultdict(list)
        open_since: dict[tuple[str, str], list[float]] = defaultdict(list)
        for event in history.of("trouble", "well"):
            key = event.who, event.data["kind"]
            if event.data["kind"] in ignored:
                continue
            if event.what == "trouble":
                open_since[key].append(event.at)
            else:
                self.spans[event.who].append((open_since[key].pop(0), event.at))
        for (who, _), since in open_since.items():
            self.spans[who] += [(at, float("inf")) for at in since]

    def is_calm(self, who: str, since: float, until: float) -> bool:
        """Whether no fault was active at any time from `since` to `until`."""
        return all(end < since or start > until for start, end in self.spans.get(who, ()))

    def in_contact(self, who: str, at: float) -> bool:
        """Whether neither the machine nor the core had a fault within the last CONTACT_S."""
        return self.is_calm(who, at - CONTACT_S, at) and self.is_calm("core", at - CONTACT_S, at)
