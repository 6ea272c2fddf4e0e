"""Days drawn at random from families of trouble, as scenario tables. Pure.

A day is a vector of genes in [0, 1): plain draws and a guided search write the same days.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Mapping
from typing import Any

GENES = (
    "size",
    "load",
    "speeds",
    "choke",
    "cold",
    "delay",
    "jitter",
    "loss",
    "list",
    "when",
    "last",
    "bad",
    "heed",
    "tries",
    "burst",
    "hot",
    "place",
)
Genes = Mapping[str, float]
Table = dict[str, Any]
SECONDS, SETTLE, WORK = 16.0, 2.0, 0.06  # of a day; not counted; of a call at each tier, before speeds
CLASSES: tuple[Table, ...] = (
    {
        "name": "route-search",
        "effect": "safe",
        "aim": "1500ms",
        "deadline": "4s",
        "worth": 5,
        "late_worth": 0.3,
    },
    {
        "name": "save-trip",
        "effect": "keyed",
        "group": "cell",
        "window": "10s",
        "aim": "2500ms",
        "deadline": "6s",
        "worth": 3,
        "late_worth": 0.2,
    },
    {
        "name": "buy-ticket",
        "effect": "unsafe",
        "aim": "2500ms",
        "deadline": "6s",
        "worth": 8,
        "late_worth": 0.5,
    },
)
MIX = (
    {"name": "route-search", "share": 6},
    {"name": "save-trip", "share": 2},
    {"name": "buy-ticket", "share": 1, "work": 1.4},
)


def plain(family: str, seed: int) -> dict[str, float]:
    """The genes of one plain draw."""
    stream = random.Random(f"{family} {seed}")
    return {name: stream.random() for name in GENES}


def _between(gene: float, low: float, high: float) -> float:
    return round(low + (high - low) * gene, 4)


def _tiers(genes: Genes) -> list[Table]:
    first = 9 + int(6 * genes["size"])
    kinds = [_between(genes["speeds"], 1.2, 2.0), 1.2, _between(genes["speeds"], 1.2, 0.8)]
    tiers: list[Table] = []
    for name, count, calls in (
        ("gateway", first, 1),
        ("planner", first * 4 // 3, 1),
        ("fares", first * 5 // 3, 0),
    ):
        tiers.append(
            {
                "name": name,
                "servers": count,
                "cores": 1,
                "slots": 30,
                "work": f"{int(1_000 * WORK)}ms",
                "cells": 3,
                "zones": 3,
                "kinds": kinds,
                "calls": calls,
                "nodes": tiers[-1]["servers"] if tiers else max(first // 3, 3),
                "beside": bool(tiers),
                "cold": {"share": _between(genes["cold"], 0.3, 0.6), "time": "5s"},
                "choke": {"at": _between(genes["choke"], 5.0, 8.0), "most": "15s"},
            }
        )
    return tiers


def _each_tier(deed: Table) -> list[Table]:
    return [{**deed, "tier": name} for name in ("gateway", "planner", "fares")]


def _calm(genes: Genes) -> list[Table]:
    return []


def _roll(genes: Genes) -> list[Table]:
    at = _between(genes["when"], 3, 5)
    servers = _each_tier({"do": "restart", "at": at, "count": 0.5, "spread": 7, "last": 1})
    return [
        *servers,
        {"do": "nodes-turn", "at": at, "spread": _between(genes["last"], 3, 7)},
        {"do": "stale-list", "at": at, "last": _between(genes["list"], 0.1, 2)},
    ]


def _herd(genes: Genes) -> list[Table]:
    at = _between(genes["when"], 4, 7)
    return [
        {"do": "restart", "at": 3, "count": 0.3, "spread": 3, "last": 1},
        {"do": "nodes-die", "at": at, "count": 0.7, "last": _between(genes["last"], 0.5, 3)},
        {"do": "errors", "at": 2, "count": 0.125, "by": _between(genes["bad"], 0.2, 1)},
    ]


def _zone(genes: Genes) -> list[Table]:
    at, zone = _between(genes["when"], 4, 6), int(3 * genes["place"])
    lost = _each_tier(
        {"do": "crash", "at": at, "zone": zone, "count": 1_000, "last": _between(genes["last"], 3, 5)}
    )
    bad = {"do": "slow", "at": 2, "count": 0.125, "by": _between(genes["bad"], 0.2, 0.7)}
    return [*lost, bad, {"do": "partition", "at": at + 6, "zone": (zone + 1) % 3, "last": 1.5}]


def _split(genes: Genes) -> list[Table]:
    at = _between(genes["when"], 3, 5)
    if genes["place"] < 0.5:
        cut = [{"do": "partition", "at": at, "zone": int(6 * genes["place"]), "last": 5}]
    else:
        cut = _each_tier({"do": "silence", "at": at, "count": 0.2, "last": 5})
    return [
        *cut,
        *_each_tier({"do": "stale-list", "at": at, "last": _between(genes["list"], 1, 6)}),
        {"do": "errors", "at": 2, "count": 0.2, "by": _between(genes["bad"], 0.05, 0.4)},
    ]


def _join(genes: Genes) -> list[Table]:
    return [
        *_each_tier(
            {
                "do": "restart",
                "at": _between(genes["when"], 3, 5),
                "count": 0.6,
                "spread": 7,
                "last": _between(genes["last"], 0.2, 2),
            }
        ),
        {"do": "errors", "at": 2, "count": 1, "by": _between(genes["bad"], 0.2, 1)},
    ]


FAMILIES: dict[str, Callable[[Genes], list[Table]]] = {
    "calm": _calm,
    "roll": _roll,
    "herd": _herd,
    "zone": _zone,
    "split": _split,
    "join": _join,
}


def day(family: str, genes: Genes) -> Table:
    """The day of these genes, as the table that a scenario's file holds."""
    tiers = _tiers(genes)
    kinds = tiers[0]["kinds"]
    bears = tiers[0]["servers"] * sum(kinds) / len(kinds) / WORK  # calls a second
    rate = _between(genes["load"], 0.35, 0.55) * bears
    burst = _between(genes["burst"], 1.0, 1.5 if family == "calm" else 1.2)
    impatient = family == "join"
    return {
        "about": f"a drawn day of the family {family}",
        "expect": "the gate of `lab hunt`",
        "seconds": SECONDS,
        "settle": SETTLE,
        "classes": [dict(row) for row in CLASSES],
        "load": {
            "rate": round(rate, 2),
            "mix": [dict(row) for row in MIX],
            "backoff": "300ms",
            "heed": _between(genes["heed"], 0.2 if impatient else 0.7, 1.0),
            "tries": 2 + int(genes["tries"] * (3 if impatient else 2)),
            "profile": [[0.0, 0.4], [SETTLE, 1.0], [8.0, 1.0], [9.0, burst], [11.0, burst], [12.0, 1.0]],
        },
        "network": {
            "delay": f"{_between(genes['delay'], 0.1, 1.0)}ms",
            "jitter": f"{_between(genes['jitter'], 0.01, 0.3)}ms",
            "loss": round(0.004 * max(genes["loss"] - 0.5, 0.0), 5),
        },
        "discovery": {"delay": f"{50 + int(1_500 * genes['list'])}ms", "jitter": "100ms"},
        "front": {
            "turns": "random" if genes["hot"] < 0.5 else "round-robin",
            "notices": f"{500 + int(2_000 * genes['hot'])}ms",
        },
        "limits": {"max_attempts": 4, "connect_timeout": "200ms"},
        "tiers": tiers,
        "deeds": FAMILIES[family](genes),
    }
