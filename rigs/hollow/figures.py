"""The figures in docs/capacity/*.json: how they are read, and the target that they are held against."""

from __future__ import annotations

import json
from collections.abc import Iterable
from pathlib import Path
from typing import Any

from rigs.hollow.fit import Line, fitted

NODES, CONTROLS, MACHINES = 880, 5, 885
CALLS = 48_000.0  # a second, of the whole site
CORE_PART, MEMORY_MB, KB_A_SECOND, IN_FORCE_S, ADDED_MS = 0.039, 64.0, 12.0, 9.0, 0.42
ORDERS, RESTARTS, FAILED = 850, 190, 2  # a day
ZONES_LOST, RACKS_LOST = 6, 9  # a year
KEYED = (0.01, 0.1)  # parts of the calls that may carry a key: the operators name none
CLAIMS_HELD, GENERATIONS, GENERATION_S = 150_000, 2, 75.0  # of the code: Claims.MOST, key window + slack
DAY, YEAR = 86_400.0, 365
SIZES, CLAIMS, FULL, SHAPES, HOPS, AGREE = "sizes", "claims", "full", "shapes", "hops", "agree"
EVENTS = (
    "start of all",
    "restarts one by one",
    "20 restarts at once",
    "a zone lost",
    "a zone back at once",
    "an order of 49 services' routes",
    "an order of one route",
)
ROLES = ("leader", "follower", "sidecar")
Row = dict[str, Any]
Parts = list[Row]


def load(figures: Path) -> dict[str, Row]:
    """Each file's content by its name."""
    return {file.stem: json.loads(file.read_text()) for file in sorted(figures.glob("*.json"))}


def found(part: Row, scenario: str) -> Row | None:
    return next((row for row in part["rows"] if row["scenario"] == scenario), None)


def rates(row: Row, role: str) -> Row:
    """Of a scenario that lasts: a second's messages, beats, kilobytes and part of a core."""
    used, seconds = row[role], row["seconds"]
    return {
        "messages": (used["messages_in"] + used["messages_out"]) / seconds,
        "beats": (used["beats_in"] + used["beats_out"]) / seconds,
        "kb": (used["bytes_in"] + used["bytes_out"]) / 1000 / seconds,
        "core": used["cpu_s"] / seconds,
    }


def beyond_calm(part: Row, row: Row, role: str) -> Row:
    """Of an event: what it cost beyond a calm time as long."""
    calm = found(part, "calm")
    assert calm is not None
    event, rest = rates(row, role), rates(calm, role)
    seconds = row["seconds"]
    return {
        "messages": (event["messages"] - rest["messages"]) * seconds,
        "kb": (event["kb"] - rest["kb"]) * seconds,
        "cpu_ms": (event["core"] - rest["core"]) * seconds * 1000,
    }


def of_sizes(data: dict[str, Row], controls: int) -> Parts:
    return [part for part in data[SIZES]["parts"] if part["controls"] == controls and found(part, "calm")]


def line_of(data: dict[str, Row], controls: int, scenario: str, role: str, what: str) -> Line | None:
    """A lasting scenario's figure against the number of sidecars."""
    points = []
    for part in of_sizes(data, controls):
        row = found(part, scenario)
        if row is not None and role in row:
            points.append((float(part["nodes"]), rates(row, role)[what]))
    return fitted(points) if len(points) > 1 else None


def point(data: dict[str, Row], controls: int, scenario: str, nodes: int = NODES) -> tuple[Row, Row] | None:
    """The part and row that were measured at this size."""
    for part in of_sizes(data, controls):
        row = found(part, scenario)
        if part["nodes"] == nodes and row is not None:
            return part, row
    return None


def claim_line(part: Row, role: str, what: str) -> Line:
    points = [(row["rate"], rates(row, role)[what]) for row in part["rows"] if row["scenario"] == "claims"]
    return fitted(points)


def claim_memory(part: Row, role: str) -> float:
    """Bytes that each claim of the highest rate added to the process, log's entries in memory included."""
    rows = [row for row in part["rows"] if row["scenario"] == "claims"]
    grown = (rows[-1][role]["rss_mb"] - rows[-2][role]["rss_mb"]) * 1e6
    return float(grown / rows[-1]["granted"])


def table(head: Iterable[str], rows: Iterable[Iterable[str]]) -> str:
    names = list(head)
    lines = [names, ["---"] * len(names), *[list(row) for row in rows]]
    return "\n".join("| " + " | ".join(line) + " |" for line in lines)


def number(value: float) -> str:
    """Three digits are as good as these figures are."""
    if abs(value) >= 100:
        return f"{value:,.0f}"
    return f"{value:.3g}"


def judged(value: float, bound: float, unit: str) -> str:
    text = f"{number(value)} {unit}"
    return f"**{text}**" if value > bound else text
