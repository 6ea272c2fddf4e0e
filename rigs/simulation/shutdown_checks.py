"""The rules for the planned shutdown of sidecars, checked on a history alone."""

from __future__ import annotations

from collections import defaultdict

from rigs.simulation.fault_spans import CONTACT_S, PLANNED, FaultSpans
from rigs.simulation.history import Event, History, asked_requests
from rigs.simulation.mesh import GRACE_S, SERVICES, SIDECARS

LOST_S = 0.2  # a request read this shortly before the connection closes may still be lost
AFTER_GRACE_S = 1.0  # a shutdown is still considered this long after GRACE_S
EARLY_S = 3.0  # a request that arrived up to this long after SIGTERM may be cut off at the end,
CUT_OFF_FROM_S = 5 / 6 * GRACE_S  # if its server is still working on it this long after SIGTERM
DEADLINE_SLACK_S = 0.05  # a request may end without its server's answer this close to its deadline


def servers_of(service: str) -> list[str]:
    """The sidecars beside the servers of this service."""
    return [sidecar for n, sidecar in enumerate(SIDECARS) if SERVICES[n // 3] == service]


def _is_calm(spans: FaultSpans, ask: Event, answer: Event) -> bool:
    """Whether no unplanned fault was active around a request and its answer.

    Covers its sidecar, the core and the machines that it may have been sent to.
    """
    machines = ("core", answer.who, *servers_of(ask.data["service"]))
    return all(spans.is_calm(who, ask.at - CONTACT_S, answer.at) for who in machines)


def lost(history: History) -> list[str]:
    """A sidecar that shuts down answers all requests that it has read, unless an unplanned fault occurs."""
    asked, left = asked_requests(history), {(e.who, e.at) for e in history.of("left")}
    spans, found = FaultSpans(history, PLANNED), []
    for event in history.of("unheard"):
        ask = asked[event.data["id"]]
        if (event.who, event.at) in left and ask.at < event.at - LOST_S and _is_calm(spans, ask, event):
            found.append(f"LOST: {event.data['id']} at {event.who}, which left at {event.at:.3f}")
    return found


def broken_off(history: History) -> list[str]:
    """A sidecar that shuts down does not answer a request itself while a server is still working on it."""
    asked, spans = asked_requests(history), FaultSpans(history, PLANNED)
    answers: dict[str, list[Event]] = defaultdict(list)
    for event in history.of("told"):
        # Answers of servers have a body, those of the sidecar have none.
        if event.data["status"] >= 500 and not event.data["body"]:
            answers[event.who].append(event)
    mishaps = [event.at for event in history.of("server trouble")]
    work = Work(history)
    found = []
    for term in history.of("sigterm"):
        for event in answers[term.who]:
            ask = asked[event.data["id"]]
            if not term.at <= event.at <= term.at + GRACE_S + AFTER_GRACE_S:
                continue
            if event.at >= ask.at + ask.data["deadline"] - DEADLINE_SLACK_S or not work.goes_on(event):
                continue
            if ask.at <= term.at + EARLY_S and event.at >= term.at + CUT_OFF_FROM_S:
                continue
            if any(ask.at - CONTACT_S <= at <= event.at for at in mishaps):
                continue
            if _is_calm(spans, ask, event):
                found.append(
                    f"LOST: {event.data['id']} got {event.data['status']} at {event.who} at {event.at:.3f}, "
                    f"while its server was at work; SIGTERM at {term.at:.3f}"
                )
    return found


class Work:
    """The times at which servers started and finished work on each request."""

    def __init__(self, history: History) -> None:
        self.begun: dict[str, list[float]] = defaultdict(list)
        self.ended: dict[str, list[float]] = defaultdict(list)
        for event in history.of("arrival", "served"):
            if event.what == "served":
                self.ended[event.data["id"]].append(event.at)
            elif event.data["ran"]:
                self.begun[event.data["id"]].append(event.at)

    def goes_on(self, answer: Event) -> bool:
        """Whether a server is still working on the request when it is answered."""
        name = answer.data["id"]
        begun = sum(at <= answer.at for at in self.begun[name])
        return begun > sum(at <= answer.at for at in self.ended[name])
