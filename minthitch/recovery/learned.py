"""Copies what a Balancer has learned to and from a snapshot. No I/O; clock readings are arguments."""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping

from minthitch.interface import SECOND, Settings
from minthitch.learned_state import EVIDENCE_FIELDS
from minthitch.policy import CLASS_HALF_LIFE, Balancer, Evidence
from minthitch.recovery.model import MAX_RATE, MAX_ROWS, EvidenceSums, class_digest
from minthitch.recovery.trust import Trusted


def _sums(evidence: Evidence) -> EvidenceSums:
    """The sums as of the last outcome, which may be older than the snapshot: they are not decayed to now."""
    return EvidenceSums(**{name: getattr(evidence, name) for name in EVIDENCE_FIELDS})


def class_evidence(balancer: Balancer, settings: Settings) -> dict[str, tuple[str, EvidenceSums]]:
    return {
        spec.name: (class_digest(spec), _sums(evidence))
        for spec, evidence in zip(settings.classes, balancer.classes, strict=True)
        if evidence.trials
    }


def kind_evidence(balancer: Balancer, names: Mapping[int, str]) -> dict[str, EvidenceSums]:
    found = {
        names[number]: _sums(evidence)
        for number, evidence in balancer.kinds.items()
        if number in names and evidence.trials
    }
    return dict(list(found.items())[:MAX_ROWS])


def warm_rate(balancer: Balancer, now: int) -> float:
    """Answers per second that a warm server gives this node: the recent peak, decayed to `now`."""
    decayed = balancer.peak_rate * math.exp2((balancer.peak_rate_at - now) / CLASS_HALF_LIFE) * SECOND
    return min(decayed, MAX_RATE)


def restore(balancer: Balancer, now: int, trusted: Trusted, kind_number: Callable[[str], int]) -> None:
    """Restores what is trusted, where the Balancer has no outcomes of its own yet."""
    for spec, evidence in zip(balancer.settings.classes, balancer.classes, strict=True):
        if spec.name in trusted.classes:
            _restore_evidence(evidence, trusted.classes[spec.name], now)
    for name, sums in trusted.kinds.items():
        _restore_evidence(balancer.kinds.setdefault(kind_number(name), Evidence(CLASS_HALF_LIFE)), sums, now)
    if trusted.rate > warm_rate(balancer, now):
        balancer.peak_rate, balancer.peak_rate_at = trusted.rate / SECOND, now


def _restore_evidence(evidence: Evidence, sums: EvidenceSums, now: int) -> None:
    if evidence.trials or evidence.ends:  # its own outcomes are newer
        return
    for name in EVIDENCE_FIELDS:
        setattr(evidence, name, getattr(sums, name))
    evidence.at = now
