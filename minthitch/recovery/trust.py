"""What a node takes of a snapshot, and why not the rest. Pure: the times come in, verdicts go out.

Nothing is taken whose age can't be told. A kept list never sends to a server that may have drained or gone
longer ago than the grace, unless the operator says for how long old lists may be used; and then its servers
count as just started, as the loss that stopped this node may have stopped them.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from minthitch.interface import SECOND, Settings
from minthitch.recovery.model import EvidenceSums, HostRow, Snapshot, class_digest, cold_digest

CLOCK_SLACK = 2 * SECOND  # by which two readings of a wall clock may disagree without a step
MIN_EVIDENCE_WEIGHT = 0.1  # part of its weight that what a class usually takes keeps at the end of `keep_for`
MAX_RESTORED_OUTCOMES = 4.0  # answers that kept times count for at most: fresh ones soon outweigh them


@dataclass(frozen=True, slots=True)
class NodeContext:
    """What the node knows of itself. `wall` and `up` in ns."""

    cluster: str
    boot: str
    wall: int
    up: int


@dataclass(frozen=True, slots=True)
class AgeLimits:
    """The operator's: how long what was learned, and how long a list, is good for, in ns."""

    keep_for: int = 86_400 * SECOND
    lists_for: int = 0  # 0: never beyond the grace


@dataclass(frozen=True, slots=True)
class Verdict:
    """One part of a snapshot: taken or not, and why; for `explain`."""

    part: str
    taken: bool
    why: str


@dataclass(slots=True)
class Trusted:
    """What is taken. Times by name; `rate` in calls a second of a warm server; hosts of a list, or None."""

    age: int | None = None
    classes: dict[str, EvidenceSums] = field(default_factory=dict)
    kinds: dict[str, EvidenceSums] = field(default_factory=dict)
    rate: float = 0.0
    hosts: tuple[HostRow, ...] | None = None
    seq: int = 0
    verdicts: list[Verdict] = field(default_factory=list)

    def add_verdict(self, part: str, taken: bool, why: str) -> None:
        self.verdicts.append(Verdict(part, taken, why))


def age_of(boot: str, wall: int, up: int, now: NodeContext) -> int | None:
    """How long ago, in ns; None where it can't be told.

    Within one boot the monotonic clock tells. Over a loss only the wall clock is left; one that is behind the
    snapshot has stepped back, and by how much nobody knows.
    """
    if boot and boot == now.boot:
        return now.up - up if now.up >= up else None
    age = now.wall - wall
    return max(age, 0) if age >= -CLOCK_SLACK else None


def _discounted(times: EvidenceSums, part: float) -> EvidenceSums:
    """At most MAX_RESTORED_OUTCOMES answers' worth, less by `part`."""
    least = max(times.trials, times.ends, 1.0)
    scale = part * min(1.0, MAX_RESTORED_OUTCOMES / least)
    return EvidenceSums(
        times.trials * scale, min(times.hits, times.trials) * scale, times.ends * scale, times.time * scale
    )


def evaluate(snapshot: Snapshot, now: NodeContext, settings: Settings, terms: AgeLimits) -> Trusted:
    """What is taken of it. Total over all snapshots."""
    found = Trusted()
    if snapshot.cluster != now.cluster:
        found.add_verdict("all", False, f"it belongs to cluster {snapshot.cluster!r}, not to {now.cluster!r}")
        return found
    found.age = age_of(snapshot.boot, snapshot.wall, snapshot.up, now)
    if found.age is None:
        found.add_verdict("all", False, "its age can't be told: the clock went back since")
        return found
    if found.age > terms.keep_for:
        found.add_verdict(
            "all", False, f"it is {found.age / SECOND:.0f} s old, over {terms.keep_for / SECOND:.0f}"
        )
    else:
        _evaluate_learned(found, snapshot, settings, found.age, terms)
    _evaluate_list(found, snapshot, now, settings, terms)
    return found


def _evaluate_learned(
    found: Trusted, snapshot: Snapshot, settings: Settings, age: int, terms: AgeLimits
) -> None:
    part = math.pow(MIN_EVIDENCE_WEIGHT, age / terms.keep_for) if terms.keep_for else 1.0
    known = {spec.name: class_digest(spec) for spec in settings.classes}
    for name, (digest, times) in snapshot.classes.items():
        if known.get(name) == digest:
            found.classes[name] = _discounted(times, part)
    left = sorted(set(snapshot.classes) - set(found.classes))
    found.add_verdict(
        "classes",
        bool(found.classes),
        f"{len(found.classes)} of {len(snapshot.classes)}"
        + (f"; not {left[0][:60]!r}: it is another class now" if left else ""),
    )
    if snapshot.cold != cold_digest(settings):
        found.add_verdict("rate", False, "the cold rules have changed since")
        return
    found.kinds = {name: _discounted(times, part) for name, times in snapshot.kinds.items()}
    # Each node gets its part of what a server answers: with another number of nodes, another part.
    found.rate = snapshot.rate * part * min(1.0, snapshot.siblings / settings.siblings)
    found.add_verdict("rate", found.rate > 0, f"{found.rate:.2f} calls a second of a warm server")


def _evaluate_list(
    found: Trusted, snapshot: Snapshot, now: NodeContext, settings: Settings, terms: AgeLimits
) -> None:
    if not snapshot.listed_wall or not snapshot.hosts:
        found.add_verdict("list", False, "none was held")
        return
    age = age_of(snapshot.boot, snapshot.listed_wall, snapshot.listed_up, now)
    most = max(terms.lists_for, settings.drain_grace)
    if age is None or age > most:
        told = "an unknown time" if age is None else f"{age / SECOND:.1f} s"
        found.add_verdict("list", False, f"discovery told of it {told} ago, over {most / SECOND:.1f}")
        return
    found.hosts, found.seq = snapshot.hosts, snapshot.seq
    found.add_verdict(
        "list", True, f"{len(snapshot.hosts)} servers, told {age / SECOND:.1f} s ago: as just started"
    )
