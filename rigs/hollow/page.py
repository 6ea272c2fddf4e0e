"""The tables of docs/CAPACITY.md, made from the figures in docs/capacity/*.json and from nothing else."""

from __future__ import annotations

import re
from collections.abc import Callable
from pathlib import Path

from rigs.hollow.figures import AGREE, CLAIMS, FULL, HOPS, SHAPES, SIZES, Row, load
from rigs.hollow.tables import (
    agree_table,
    calm_table,
    claim_slope_table,
    claim_table,
    event_table,
    full_table,
    hop_table,
    lost_table,
    profile_table,
    route_slope_table,
    run_table,
    shape_table,
    slope_table,
)
from rigs.hollow.target import over_list, target_table

MARK = re.compile(r"(<!-- begin: (\w+) -->\n).*?(<!-- end: \2 -->)", re.DOTALL)


def filled(text: str, figures: Path) -> str:
    """The page with all its tables made anew; a table without figures says that it was not run."""
    data = load(figures)

    def made(match: re.Match[str]) -> str:
        begin, name, end = match.groups()
        source, make = TABLES[name]
        body = make(data) if all(part in data for part in source) else "not run"
        return f"{begin}{body}\n{end}"

    return MARK.sub(made, text)


TABLES: dict[str, tuple[tuple[str, ...], Callable[[dict[str, Row]], str]]] = {
    "runs": ((), run_table),
    "over": ((SIZES,), over_list),
    "target": ((SIZES,), target_table),
    "calm": ((SIZES,), calm_table),
    "slopes": ((SIZES,), slope_table),
    "events": ((SIZES,), event_table),
    "claims": ((CLAIMS,), claim_table),
    "claim_slopes": ((CLAIMS,), claim_slope_table),
    "full": ((FULL,), full_table),
    "shapes": ((SHAPES,), shape_table),
    "route_slopes": ((SHAPES,), route_slope_table),
    "hops": ((HOPS,), hop_table),
    "profile": ((HOPS,), profile_table),
    "agree": ((AGREE,), agree_table),
    "lost": ((SIZES,), lost_table),
}
