"""Formats a node's metrics as lines of text, under the operators' names. No I/O."""

from __future__ import annotations

from collections.abc import Iterator

from minthitch.engine.counts import NodeMetrics

PREFIX = "edge_balancer"


def _escaped(text: str) -> str:
    return text.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")


def lines(metrics: NodeMetrics) -> Iterator[str]:
    """Yields one metric per line; counts are labelled with their class."""
    counts = metrics.counts
    for name, table in (("success", counts.served), ("busy", counts.refused), ("failure", counts.failed)):
        for cls, count in zip(metrics.classes, table, strict=True):
            yield f'{PREFIX}_{name}{{tier="{_escaped(cls)}"}} {count}'
    yield f"{PREFIX}_backend_calls {counts.sends}"
    yield f"{PREFIX}_inflight {metrics.inflight}"
    yield f"{PREFIX}_hosts_listed {metrics.listed}"
    yield f"{PREFIX}_hosts_down {metrics.down}"
