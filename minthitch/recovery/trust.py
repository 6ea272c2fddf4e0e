"""Decides which parts of a snapshot a node uses, and why. Pure: clock readings in, verdicts out.

Nothing of unknown age is used. A stored list is used only within the drain grace, as its servers may have
drained or gone since, unless the operator allows older lists (`lists_for`). Its servers then count as just
started, as the failure that stopped this node may have restarted them too.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from minthitch.interface import SECOND, Settings
from minthitch.recovery.model import EvidenceSums, HostRow, Snapshot, class_digest, cold_digest

CLOCK_SLACK = 2 * SECOND  # two readings of a wall clock may differ by this without a step
MIN_EVIDENCE_WEIGHT = 0.1  # share of its weight that evidence of age `keep_for` still has
MAX_RESTORED_OUTCOMES = 4.0  # weight of restored evidence, low so that new outcomes soon outweigh it


@dataclass(frozen=True, slots=True)
class NodeContext:
    """The node's cluster, the machine's boot id and readings of its clocks. `wall` and `up` in ns."""

    cluster: str
    boot: str
    wall: int
    up: int


@dataclass(frozen=True, slots=True)
class AgeLimits:
    """From the settings: for how many ns learned values and lists may be used."""

    keep_for: int = 86_400 * SECOND
    lists_for: int = 0  # 0: no longer than the drain grace


@dataclass(frozen=True, slots=True)
class Verdict:
    """Whether one part of a snapshot is used, and why; shown by `explain`."""

    part: str
    taken: bool
    why: str


@dataclass(slots=True)
class Trusted:
    """The parts that are used. Evidence is by name, `rate` in calls per second of a warm server."""

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
    """How many ns ago the snapshot or list was taken; None if unknown.

    Within one boot the monotonic clock decides. Across boots only the wall clock is left; if it reads earlier
    than the snapshot, it was set back by an unknown amount.
    """
    if boot and boot == now.boot:
        return now.up - up if now.up >= up else None
    age = now.wall - wall
    return max(age, 0) if age >= -CLOCK_SLACK else None


def _discounted(sums: EvidenceSums, weight: float) -> EvidenceSums:
    """Scales the sums to at most MAX_RESTORED_OUTCOMES outcomes, then by `weight`."""
    outcomes = max(sums.trials, sums.ends, 1.0)
    scale = weight * min(1.0, MAX_RESTORED_OUTCOMES / outcomes)
    return EvidenceSums(
        sums.trials * scale, min(sums.hits, sums.trials) * scale, sums.ends * scale, sums.time * scale
    )


def evaluate(snapshot: Snapshot, now: NodeContext, settings: Settings, limits: AgeLimits) -> Trusted:
    """Gives the parts of `snapshot` that may be used. Never raises, whatever the snapshot holds."""
    trusted = Trusted()
    if snapshot.cluster != now.cluster:
        trusted.add_verdict(
            "all", False, f"it belongs to cluster {snapshot.cluster!r}, not to {now.cluster!r}"
        )
        return trusted
    trusted.age = age_of(snapshot.boot, snapshot.wall, snapshot.up, now)
    if trusted.age is None:
        trusted.add_verdict("all", False, "its age is unknown: the clock has been set back since")
        return trusted
    if trusted.age > limits.keep_for:
        trusted.add_verdict(
            "all",
            False,
            f"it is {trusted.age / SECOND:.0f} s old, over the limit of {limits.keep_for / SECOND:.0f}",
        )
    else:
        _evaluate_learned(trusted, snapshot, settings, trusted.age, limits)
    _evaluate_list(trusted, snapshot, now, settings, limits)
    return trusted


def _evaluate_learned(
    trusted: Trusted, snapshot: Snapshot, settings: Settings, age: int, limits: AgeLimits
) -> None:
    weight = math.pow(MIN_EVIDENCE_WEIGHT, age / limits.keep_for) if limits.keep_for else 1.0
    known = {spec.name: class_digest(spec) for spec in settings.classes}
    for name, (digest, sums) in snapshot.classes.items():
        if known.get(name) == digest:
            trusted.classes[name] = _discounted(sums, weight)
    skipped = sorted(set(snapshot.classes) - set(trusted.classes))
    trusted.add_verdict(
        "classes",
        bool(trusted.classes),
        f"{len(trusted.classes)} of {len(snapshot.classes)}"
        + (f"; not {skipped[0][:60]!r}: the class was changed or removed" if skipped else ""),
    )
    if snapshot.cold != cold_digest(settings):
        trusted.add_verdict("rate", False, "the cold-start settings have changed since")
        return
    trusted.kinds = {name: _discounted(sums, weight) for name, sums in snapshot.kinds.items()}
    # Each node gets its share of a server's capacity, which shrinks as the number of nodes grows.
    trusted.rate = snapshot.rate * weight * min(1.0, snapshot.siblings / settings.siblings)
    trusted.add_verdict("rate", trusted.rate > 0, f"{trusted.rate:.2f} calls per second of a warm server")


def _evaluate_list(
    trusted: Trusted, snapshot: Snapshot, now: NodeContext, settings: Settings, limits: AgeLimits
) -> None:
    if not snapshot.listed_wall or not snapshot.hosts:
        trusted.add_verdict("list", False, "the snapshot has none")
        return
    age = age_of(snapshot.boot, snapshot.listed_wall, snapshot.listed_up, now)
    max_age = max(limits.lists_for, settings.drain_grace)
    if age is None or age > max_age:
        age_text = "an unknown time" if age is None else f"{age / SECOND:.1f} s"
        trusted.add_verdict(
            "list",
            False,
            f"discovery confirmed it {age_text} ago, over the limit of {max_age / SECOND:.1f}",
        )
        return
    trusted.hosts, trusted.seq = snapshot.hosts, snapshot.seq
    trusted.add_verdict(
        "list",
        True,
        f"{len(snapshot.hosts)} servers, confirmed {age / SECOND:.1f} s ago; treated as just started",
    )
