"""Checks of orders (configuration changes sent to control nodes) that must hold even during a fault.

Orders are acknowledged in time, stored by a majority and applied by sidecars in contact, and no call waits
too long for its answer.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable

from rigs.simulation import linearizability
from rigs.simulation.checks import APPLY_S, TableVersions, _acks
from rigs.simulation.fault_spans import CONTACT_S, FaultSpans
from rigs.simulation.history import Event, History
from rigs.simulation.mesh import SIDECARS

ACK_S = 4.0  # within one settled period a valid order is acknowledged in this time
MAX_WAIT_S = 0.95  # a node must answer in this time: callers give up after 1 s
MIN_COPIES = 2  # of an acknowledged order, whatever the set of voters: the loss of one machine is tolerated
CORE_STARTED_S = 2.0  # the core must have a leader from then on


class SettledPeriods:
    """Periods that start CONTACT_S after the last start or end of a fault of the core and last until the
    next.

    A minority that stays partitioned does not interrupt such a period.
    """

    def __init__(self, history: History) -> None:
        times = sorted(e.at for e in history.of("trouble", "well") if e.who == "core")
        ends = [*times, history.events[-1].at]
        begins = [CORE_STARTED_S, *(at + CONTACT_S for at in times)]
        self.periods = [(begin, end) for begin, end in zip(begins, ends, strict=True) if begin < end]

    def longest(self, since: float, until: float) -> float:
        """Seconds of the longest settled period between the two times."""
        return max((min(end, until) - max(begin, since) for begin, end in self.periods), default=0.0)

    def covers(self, since: float, until: float) -> bool:
        return any(begin <= since and until <= end for begin, end in self.periods)


def violations(history: History) -> list[str]:
    """All checks of this module except `waits`, and linearizability."""
    checks = (linearizability.check, acknowledged, kept_by_majority, in_force)
    return [text for check in checks for text in check(history)]


def acknowledged(history: History) -> list[str]:
    """An order gets a definite answer within ACK_S of one settled period."""
    settled = SettledPeriods(history)
    answered = {e.data["order"]: e.at for e in history.of("verdict") if "order" in e.data}
    end = history.events[-1].at
    found = []
    for sent in history.of("sent"):
        number = sent.data.get("order")
        if number is None:
            continue
        waited = settled.longest(sent.at, answered.get(number, end))
        if waited > ACK_S:
            found.append(
                f"ACKS: order {number}, sent at {sent.at:.3f}, not answered in {waited:.2f} settled s"
            )
    return found


def kept_by_majority(history: History) -> list[str]:
    """An acknowledged order is on the disks of a majority, unless a newer version has replaced it."""
    newest: dict[linearizability.Key, int] = defaultdict(int)  # highest version sent so far
    calls = {e.data["order"]: e.data["call"] for e in history.of("sent") if "order" in e.data}
    found = []
    for event in history.of("sent", "copies"):
        if event.what == "sent":
            for row in linearizability.rows_of(event.data["call"]):
                newest[row.key] = max(newest[row.key], row.ver)
            continue
        rows = linearizability.rows_of(calls[event.data["order"]])
        current = all(row.ver == newest[row.key] and row.content != linearizability.DROPPED for row in rows)
        if event.data["count"] < max(event.data["needed"], MIN_COPIES) and current:
            found.append(
                f"MINORITY: order {event.data['order']} acknowledged at {event.at:.3f} "
                f"with {event.data['count']} copies"
            )
    return found


def in_force(history: History) -> list[str]:
    """While the core is settled, even if partitioned, each sidecar without a fault has an order APPLY_S after
    its acknowledgement.
    """
    settled, spans, tables = SettledPeriods(history), FaultSpans(history), TableVersions(history)
    found = []
    for at, name, ver, _ in _acks(history):
        if not settled.covers(at, at + APPLY_S):
            continue
        late = [
            sidecar
            for sidecar in SIDECARS
            if spans.is_calm(sidecar, at - CONTACT_S, at + APPLY_S)
            and tables.since(sidecar, at + APPLY_S, name, ver) > at + APPLY_S
        ]
        if late:
            found.append(
                f"IN FORCE: {name} {ver:08x}, acknowledged at {at:.3f}, not at {late[0]} after {APPLY_S} s"
            )
    return found


def longest_wait(history: History) -> float:
    """The longest time in seconds that a call at a control node waited for any answer."""
    return max((e.data["seconds"] for e in history.of("waited")), default=0.0)


def waits(history: History) -> list[str]:
    """A node answers before its caller gives up, with a 503 if it has no other answer."""
    late = [e for e in history.of("waited") if e.data["seconds"] > MAX_WAIT_S]
    if not late:
        return []
    worst = max(late, key=lambda e: e.data["seconds"])
    return [f"WAIT: {len(late)} calls kept over {MAX_WAIT_S} s, {worst.data['seconds']:.2f} s by {worst.who}"]


def struck_states(events: Iterable[Event]) -> dict[str, int]:
    """How many faults hit a control node, by the state it was in."""
    states: dict[str, int] = defaultdict(int)
    for event in events:
        states[event.data["state"]] += 1
    return states
