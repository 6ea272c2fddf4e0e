"""Renders a page that plots a recovery: requests by class and outcome, and the phases of each node. Pure."""

from __future__ import annotations

import html
from collections import Counter
from collections.abc import Mapping, Sequence

from minthitch.recovery.phases import Phase
from minthitch.recovery.progress import ProgressLine

WIDTH, HEIGHT, ROW, LEFT = 900, 160, 18, 150  # pixels
MAX_SECONDS = 600  # drawn at most; the page says how many are left out
COLOURS = {
    Phase.DARK: "#333",
    Phase.LISTED: "#b55",
    Phase.FIRST: "#d93",
    Phase.WORTH: "#cc5",
    Phase.WHOLE: "#5a5",
}
STYLE = "body{font:14px sans-serif;margin:2em}text{font:11px sans-serif}svg{display:block}"


def render_page(logs: Mapping[str, Sequence[ProgressLine]], by_start: bool = False) -> str:
    """Gives a self-contained HTML page. `by_start` aligns the nodes at their starts instead of by their
    clocks, which may disagree.
    """
    first = min((line.at - 1_000 for lines in logs.values() for line in lines), default=0)
    by_node = {
        name: [(max(line.up if by_start else line.at - first, 0) // 1_000, line) for line in lines]
        for name, lines in sorted(logs.items())
    }
    seconds = max((second + 1 for rows in by_node.values() for second, _ in rows), default=0)
    shown = min(seconds, MAX_SECONDS)
    classes = sorted({cls for rows in by_node.values() for _, line in rows for cls in line.classes})
    parts = [_phase_chart(by_node, shown), *(_class_chart(cls, by_node, shown) for cls in classes)]
    note = f"<p>{seconds - shown} more seconds are not drawn.</p>" if seconds > shown else ""
    clock = "seconds since each node's start" if by_start else "seconds by the nodes' clocks"
    return (
        f"<!doctype html><meta charset=utf-8><title>Recovery</title><style>{STYLE}</style>"
        f"<h1>Recovery of {len(by_node)} nodes</h1><p>{clock}</p>{note}{''.join(parts)}"
    )


def _phase_chart(by_node: Mapping[str, Sequence[tuple[int, ProgressLine]]], seconds: int) -> str:
    step = (WIDTH - LEFT) / max(seconds, 1)
    shapes = []
    for row, (name, lines) in enumerate(by_node.items()):
        shapes.append(f"<text x=0 y={row * ROW + 13}>{html.escape(name)}</text>")
        for second, line in lines:
            if second < seconds and line.phase in COLOURS:
                shapes.append(
                    f"<rect x={LEFT + second * step:.1f} y={row * ROW} width={step:.1f} "
                    f"height={ROW - 3} fill={COLOURS[Phase(line.phase)]}>"
                    f"<title>{line.phase}</title></rect>"
                )
    key = " ".join(f"<tspan fill={colour}>&#9632;</tspan> {phase}" for phase, colour in COLOURS.items())
    height = ROW * (len(by_node) + 1)
    return (
        f"<h2>Phases</h2><svg width={WIDTH} height={height}>{''.join(shapes)}"
        f"<text x=0 y={height - 4}>{key}</text></svg>"
    )


def _class_chart(cls: str, by_node: Mapping[str, Sequence[tuple[int, ProgressLine]]], seconds: int) -> str:
    """Answers of all nodes per second as stacked bars: served at the bottom, then failed, then refused."""
    sums = [Counter[int]() for _ in range(3)]
    for lines in by_node.values():
        for second, line in lines:
            for outcome, count in enumerate(line.classes.get(cls, (0, 0, 0))):
                sums[outcome][second] += count
    peak = max((sum(outcome[s] for outcome in sums) for s in range(seconds)), default=0)
    step, scale = (WIDTH - LEFT) / max(seconds, 1), (HEIGHT - 20) / max(peak, 1)
    shapes = []
    for second in range(seconds):
        top = float(HEIGHT - 20)
        for outcome, colour in ((0, "#5a5"), (2, "#b33"), (1, "#bbb")):
            if not sums[outcome][second]:
                continue
            height = sums[outcome][second] * scale
            top -= height
            shapes.append(
                f"<rect x={LEFT + second * step:.1f} y={top:.1f} width={step * 0.9:.1f} "
                f"height={height:.1f} fill={colour}/>"
            )
    total = [sum(outcome.values()) for outcome in sums]
    return (
        f"<h2>{html.escape(cls)}</h2><p>offered {sum(total)}: served {total[0]}, refused {total[1]}, "
        f"failed {total[2]}; at most {peak} per second</p>"
        f"<svg width={WIDTH} height={HEIGHT}>{''.join(shapes)}"
        f"<text x={LEFT} y={HEIGHT - 4}>0</text>"
        f"<text x={WIDTH - 30} y={HEIGHT - 4}>{seconds} s</text></svg>"
    )
