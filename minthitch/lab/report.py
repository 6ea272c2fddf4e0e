"""One self-contained HTML page of runs: plotly's script is inside, nothing is fetched."""

from __future__ import annotations

import html
from collections.abc import Sequence
from pathlib import Path
from typing import Any

import plotly.graph_objects as go
from plotly.offline import get_plotlyjs
from plotly.subplots import make_subplots

SMOOTH = 3  # seconds that worth a second is averaged over


def _name(row: dict[str, Any]) -> str:
    changes = " ".join(row.get("changes", ()))
    return f"{row['chooser']} seed {row['seed']}{' ' + changes if changes else ''}"


def _share(row: dict[str, Any]) -> list[float | None]:
    """Worth served of what was wanted, by the second of asking."""
    seconds = row["seconds"]
    shares: list[float | None] = []
    for i in range(len(seconds)):
        part = seconds[max(0, i - SMOOTH + 1) : i + 1]
        wanted = sum(each[0] for each in part)
        shares.append(sum(each[1] for each in part) / wanted if wanted else None)
    return shares


def figure(rows: Sequence[dict[str, Any]]) -> go.Figure:
    """Worth over time, latencies by class, work by server, what clients heard."""
    page = make_subplots(
        rows=2,
        cols=2,
        subplot_titles=(
            "Worth served of what was wanted, by second of asking",
            "Latency by class, ms (99th percentile)",
            "Requests served by each server, first tier",
            "What each try of a client heard",
        ),
    )
    colours = ("#1f5fa8", "#c2571a", "#3a7d44", "#8a4fa3", "#7a7a2a", "#a83250", "#337f86", "#6b6b6b")
    for i, row in enumerate(rows):
        name, colour = _name(row), colours[i % len(colours)]
        common = {"name": name, "legendgroup": name, "marker": {"color": colour}}
        page.add_trace(
            go.Scatter(y=_share(row), mode="lines", line={"color": colour}, name=name, legendgroup=name), 1, 1
        )
        classes = row["classes"]
        page.add_trace(
            go.Bar(
                x=list(classes), y=[spec["p99_ms"] for spec in classes.values()], showlegend=False, **common
            ),
            1,
            2,
        )
        first = next(iter(row["by_server"].values()))
        page.add_trace(go.Scatter(y=sorted(first), mode="markers", showlegend=False, **common), 2, 1)
        page.add_trace(
            go.Bar(x=list(row["heard"]), y=list(row["heard"].values()), showlegend=False, **common), 2, 2
        )
    page.update_yaxes(range=[0, 1.05], row=1, col=1)
    page.update_layout(
        height=820,
        template="plotly_white",
        margin={"t": 50, "l": 50, "r": 20},
        legend={"orientation": "h", "y": -0.08},
    )
    return page


def _table(rows: Sequence[dict[str, Any]]) -> str:
    head = (
        "run",
        "worth served",
        "wants",
        "late",
        "unserved",
        "tries",
        "attempts",
        "turned away by servers",
        "cold servers pushed over",
        "rules broken",
    )
    body = []
    for row in rows:
        broken = "; ".join(f"{rule}: {count}" for rule, count in row["broken"].items() if count) or "none"
        cells = (
            _name(row),
            f"{row['worth']:.4f}",
            row["wants"],
            row["late"],
            row["unserved"],
            row["tries"],
            row["attempts"],
            row["turned_away"],
            row["falls"],
            broken,
        )
        body.append("<tr>" + "".join(f"<td>{html.escape(str(cell))}</td>" for cell in cells) + "</tr>")
    heads = "".join(f"<th>{text}</th>" for text in head)
    return f"<table><tr>{heads}</tr>{''.join(body)}</table>"


def page(title: str, about: str, expect: str, rows: Sequence[dict[str, Any]]) -> str:
    """The whole page as text."""
    made = rows[0].get("made_with", {}) if rows else {}
    foot = ", ".join(f"{key} {value}" for key, value in made.items() if value)
    drawn = figure(rows).to_html(full_html=False, include_plotlyjs=False)
    return f"""<!doctype html><html lang="en"><head><meta charset="utf-8"><title>{html.escape(title)}</title>
<style>body{{font:15px/1.45 system-ui,sans-serif;margin:2em auto;max-width:1300px;color:#222}}
table{{border-collapse:collapse;margin:1em 0}}
td,th{{border-bottom:1px solid #ccc;padding:.25em .7em;text-align:right}}
td:first-child,th:first-child{{text-align:left}}footer{{color:#666;font-size:13px}}</style>
<script>{get_plotlyjs()}</script></head><body><h1>{html.escape(title)}</h1>
<p>{html.escape(about)}</p><p><b>Expected:</b> {html.escape(expect)}</p>{_table(rows)}{drawn}
<footer>{html.escape(foot)}</footer></body></html>
"""


def write(path: Path, title: str, about: str, expect: str, rows: Sequence[dict[str, Any]]) -> None:
    path.write_text(page(title, about, expect, rows), encoding="utf-8")
