"""When which machine was free of trouble, from a history."""

from __future__ import annotations

from collections import defaultdict

from rigs.simulation.history import History

CONTACT = 3.0  # seconds without trouble after which a machine is in touch
PLANNED = ("leave-sidecar", "leave-control")  # kinds of trouble that are planned work


class Calm:
    """When which machine and the core were free of trouble (`but`: of all except these kinds)."""

    def __init__(self, history: History, but: tuple[str, ...] = ()) -> None:
        self.spans: dict[str, list[tuple[float, float]]] = defaultdict(list)
        open_since: dict[tuple[str, str], list[float]] = defaultdict(list)
        for event in history.of("trouble", "well"):
            key = event.who, event.data["kind"]
            if event.data["kind"] in but:
                continue
            if event.what == "trouble":
                open_since[key].append(event.at)
            else:
                self.spans[event.who].append((open_since[key].pop(0), event.at))
        for (who, _), since in open_since.items():
            self.spans[who] += [(at, float("inf")) for at in since]

    def calm(self, who: str, since: float, until: float) -> bool:
        return all(end < since or start > until for start, end in self.spans.get(who, ()))

    def touch(self, who: str, at: float) -> bool:
        """In touch: it and the core have been calm for CONTACT."""
        return self.calm(who, at - CONTACT, at) and self.calm("core", at - CONTACT, at)
