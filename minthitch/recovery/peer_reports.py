"""Reports of peers about the rate of a warm server, and their merging into one estimate. Pure, no I/O.

A single report may be wrong. Rates are merged by a median that is weighted by age, so that no outlier, high
or low, decides. One report alone is ignored, and of two of the same age the lower one counts. The number of
peers that answer can only raise the assumed number of nodes: a node that is cut off from others must not take
their share, as they may go on sending.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from typing import Annotated

import msgspec

from minthitch.interface import SECOND, Settings
from minthitch.recovery.model import MAX_RATE, Nanoseconds, Text, cold_digest
from minthitch.recovery.trust import MIN_EVIDENCE_WEIGHT, AgeLimits, Verdict

MAX_PEERS_ASKED = 32  # chosen at random; 200 nodes that all query each other would overload the network
MIN_REPORTS = 2  # a rate that only a single peer reports is ignored
ESTIMATE_TTL = 10 * SECOND  # ns for which a count of the answering peers is used
MAX_SIBLINGS_FACTOR = 4  # answers raise `siblings` up to this multiple of its setting


class PeerReport(msgspec.Struct, frozen=True):
    """The report of one node, `rate` in calls per second. `age` is a span of that node's clock, as the clocks
    of two nodes are never compared.
    """

    cluster: Text
    node: Text
    cold: Text
    siblings: Annotated[int, msgspec.Meta(ge=1, le=1 << 20)]
    rate: Annotated[float, msgspec.Meta(ge=0.0, le=MAX_RATE)] = 0.0  # of a warm server; 0: unknown
    age: Nanoseconds = 0


class PeerEstimate(msgspec.Struct, frozen=True):
    """The merged rate (0 = unknown) and the number of nodes to share the servers with."""

    rate: float
    siblings: int
    verdicts: tuple[Verdict, ...]


def merge_reports(
    reports: Sequence[PeerReport],
    own: tuple[float, int] | None,
    asked: int,
    peers: int,
    settings: Settings,
    cluster: str,
    limits: AgeLimits,
) -> PeerEstimate:
    """Merges `reports` from `asked` of all `peers` with `own`, the rate and age of this node's snapshot.

    Accepts any reports; never raises.
    """
    verdicts = list[Verdict]()
    by_node = {report.node: report for report in reports if report.cluster == cluster}  # one report per node
    if ignored := len(reports) - len(by_node):
        verdicts.append(Verdict("peers", False, f"{ignored} reports ignored: other cluster, or repeated"))
    rates = [
        (report.rate * min(1.0, report.siblings / settings.siblings), report.age)
        for report in by_node.values()
        if report.rate > 0 and report.cold == cold_digest(settings) and report.age <= limits.keep_for
    ]
    if own is not None and own[0] > 0:
        rates.append(own)
    rate = 0.0
    if len(rates) >= MIN_REPORTS or (own is not None and own[0] > 0):
        rate = _median(
            [(value, math.pow(MIN_EVIDENCE_WEIGHT, age / limits.keep_for)) for value, age in rates]
        )
    verdicts.append(
        Verdict(
            "peers' rate",
            rate > 0,
            f"{rate:.2f} calls per second, by {len(rates)} of {len(by_node) + 1} nodes, "
            f"{asked} of {peers} asked",
        )
    )
    return PeerEstimate(rate, _siblings(len(by_node), asked, peers, settings.siblings), tuple(verdicts))


def _median(weighted: list[tuple[float, float]]) -> float:
    """The lower weighted median: the first value, in order, at which the sum of the weights reaches half."""
    remaining = sum(weight for _, weight in weighted) / 2
    for value, weight in sorted(weighted):
        remaining -= weight
        if remaining <= 1e-12:
            return value
    return 0.0


def _siblings(live: int, asked: int, peers: int, configured: int) -> int:
    """This node plus the answering peers, scaled from those asked to all; at least the setting, and at most
    MAX_SIBLINGS_FACTOR times it.
    """
    count = 1 + (round(peers * live / asked) if asked else 0)
    return min(max(count, configured), MAX_SIBLINGS_FACTOR * configured)
