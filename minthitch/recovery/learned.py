"""What a Balancer has learned, to and from a snapshot. No I/O; the times come in."""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping

from minthitch.interface import SECOND, Settings
from minthitch.learned_state import EVIDENCE_FIELDS
from minthitch.policy import CLASS_HALF_LIFE, Balancer, Evidence
from minthitch.recovery.model import MOST_RATE, MOST_ROWS, Times, class_digest
from minthitch.recovery.trust import Trusted


def _times(evidence: Evidence) -> Times:
    """As they were at the last outcome: how long ago that was is the snapshot's age, or more."""
    return Times(**{name: getattr(evidence, name) for name in EVIDENCE_FIELDS})


def class_times(balancer: Balancer, settings: Settings) -> dict[str, tuple[str, Times]]:
    return {
        spec.name: (class_digest(spec), _times(evidence))
        for spec, evidence in zip(settings.classes, balancer.classes, strict=True)
        if evidence.trials
    }


def kind_times(balancer: Balancer, names: Mapping[int, str]) -> dict[str, Times]:
    found = {
        names[number]: _times(evidence)
        for number, evidence in balancer.kinds.items()
        if number in names and evidence.trials
    }
    return dict(list(found.items())[:MOST_ROWS])


def rate(balancer: Balancer, now: int) -> float:
    """Answers a second of a warm server here, as the most of late."""
    kept = balancer.peak_rate * math.exp2((balancer.peak_rate_at - now) / CLASS_HALF_LIFE) * SECOND
    return min(kept, MOST_RATE)


def recollect(balancer: Balancer, now: int, trusted: Trusted, number_of: Callable[[str], int]) -> None:
    """Takes in what is trusted where the Balancer knows nothing of its own yet."""
    for spec, evidence in zip(balancer.settings.classes, balancer.classes, strict=True):
        if spec.name in trusted.classes:
            _take(evidence, trusted.classes[spec.name], now)
    for name, times in trusted.kinds.items():
        _take(balancer.kinds.setdefault(number_of(name), Evidence(CLASS_HALF_LIFE)), times, now)
    if trusted.rate > rate(balancer, now):
        balancer.peak_rate, balancer.peak_rate_at = trusted.rate / SECOND, now


def _take(evidence: Evidence, times: Times, now: int) -> None:
    if evidence.trials or evidence.ends:  # what it has seen itself is younger
        return
    for name in EVIDENCE_FIELDS:
        setattr(evidence, name, getattr(times, name))
    evidence.at = now
