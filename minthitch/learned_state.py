"""Exports and imports what a Balancer has learned, for the process that replaces its own. No I/O.

Without it a new process would admit few calls until it has seen answers. Values contain ages instead of
times and names instead of numbers, because both differ between processes.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from typing import Any

from minthitch.policy import CLASS_HALF_LIFE, Balancer, Evidence

Table = dict[str, Any]
EVIDENCE_FIELDS = ("trials", "hits", "ends", "time")
SHARED_EVIDENCE = "load", "warm", "flow"  # attributes of the Balancer: evidence over all servers
MAX_SUM = 1e12  # above any real sum: larger values would distort decisions for minutes


def _dump_evidence(evidence: Evidence, now: int) -> list[float]:
    return [*(getattr(evidence, field) for field in EVIDENCE_FIELDS), max(now - evidence.at, 0)]


def _load_evidence(evidence: Evidence, row: object, now: int, part: float = 1.0) -> None:
    """Replaces the contents of `evidence` by `part` of a row. Raises ValueError."""
    if not isinstance(row, list) or len(row) != len(EVIDENCE_FIELDS) + 1:
        raise ValueError(f"{row!r} is not a row of evidence")
    *sums, age = [_number(value) for value in row]
    for field, value in zip(EVIDENCE_FIELDS, sums, strict=True):
        setattr(evidence, field, value * part)
    evidence.at = now - int(age)


def _number(value: object) -> float:
    if isinstance(value, bool) or not isinstance(value, (int, float)) or not 0 <= value < MAX_SUM * 1e6:
        raise ValueError(f"{value!r} is not a number of 0 or more")
    return float(value)


def export_state(balancer: Balancer, now: int, servers: Mapping[int, str], kinds: Mapping[int, str]) -> Table:
    """Exports all but requests. `servers` and `kinds` map the numbers to export to names."""
    classes = zip(balancer.settings.classes, balancer.classes, strict=True)
    return {
        "classes": {spec.name: _dump_evidence(evidence, now) for spec, evidence in classes},
        "kinds": {kinds[k]: _dump_evidence(e, now) for k, e in balancer.kinds.items() if k in kinds},
        "servers": {
            servers[n]: _dump_evidence(s.evidence, now) for n, s in balancer.servers.items() if n in servers
        },
        "shared": {name: _dump_evidence(getattr(balancer, name), now) for name in SHARED_EVIDENCE},
        "grown": balancer.extra_limit,
        "spare": balancer.extra_attempts,
        "calm": balancer.baseline_load if math.isfinite(balancer.baseline_load) else 0.0,
        "calm_age": max(now - balancer.baseline_at, 0),
    }


def restore_state(
    balancer: Balancer,
    now: int,
    table: Table,
    servers: Mapping[str, int],
    kinds: Mapping[str, int],
    part: float,
) -> None:
    """Imports what another process has learned; this one serves `part` of the calls beside it.

    Unknown names are skipped. Raises ValueError, KeyError, TypeError or AttributeError for an invalid table;
    rows imported before the error stay, as each is valid by itself.
    """
    for spec, evidence in zip(balancer.settings.classes, balancer.classes, strict=True):
        if spec.name in table["classes"]:
            _load_evidence(evidence, table["classes"][spec.name], now)
    for name, row in table["kinds"].items():
        if name in kinds:
            _load_evidence(balancer.kinds.setdefault(kinds[name], Evidence(CLASS_HALF_LIFE)), row, now)
    for name, row in table["servers"].items():
        known = balancer.servers.get(servers.get(name, -1))
        if known is not None:
            _load_evidence(known.evidence, row, now)
    for name in SHARED_EVIDENCE:
        # Rates scale with the part of the calls served here; latencies ("load") do not.
        _load_evidence(getattr(balancer, name), table["shared"][name], now, 1.0 if name == "load" else part)
    balancer.extra_limit, balancer.extra_attempts = (
        part * _number(table["grown"]),
        part * _number(table["spare"]),
    )
    if calm := _number(table["calm"]):
        balancer.baseline_load, balancer.baseline_at = calm, now - int(_number(table["calm_age"]))


def merge_state(balancer: Balancer, now: int, table: Table) -> None:
    """Adds the other process's part when it ends and its calls come here.

    Raises ValueError, KeyError or TypeError.
    """
    balancer.extra_limit += _number(table["grown"])
    for name in ("warm", "flow"):
        mine, other = getattr(balancer, name), Evidence(getattr(balancer, name).half_life)
        _load_evidence(other, table["shared"][name], now)
        fade, faded = mine.fade(now), other.fade(now)
        for field in EVIDENCE_FIELDS:
            setattr(mine, field, getattr(mine, field) * fade + getattr(other, field) * faded)
        mine.at = now
