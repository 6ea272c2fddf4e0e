"""What other nodes say they know, and what of it is believed. Pure: words and ages in, verdicts out.

A peer's word is hearsay. Rates are merged by a median weighted by age, so that neither the loudest nor the
lowest decides; one word alone is not believed, and of two alike in age the lower one. How many answer may
only raise the number of nodes that each reckons with: others that it can't hear may go on sending.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from typing import Annotated

import msgspec

from minthitch.interface import SECOND, Settings
from minthitch.recovery.model import MAX_RATE, Nanoseconds, Text, cold_digest
from minthitch.recovery.trust import MIN_EVIDENCE_WEIGHT, AgeLimits, Verdict

MAX_PEERS_ASKED = 32  # of them asked at once, drawn at random: 200 nodes that all ask all would be a storm
MIN_REPORTS = 2  # what a single node says is believed of nobody
ESTIMATE_TTL = 10 * SECOND  # how long a count of those who answered is news
MAX_SIBLINGS_FACTOR = 4  # times `siblings` up to which answers may raise it


class PeerReport(msgspec.Struct, frozen=True):
    """What one node says. Ages are spans of its own clock; the clocks of nodes are never compared."""

    cluster: Text
    node: Text
    cold: Text
    siblings: Annotated[int, msgspec.Meta(ge=1, le=1 << 20)]
    rate: Annotated[float, msgspec.Meta(ge=0.0, le=MAX_RATE)] = 0.0  # 0: it knows nothing
    age: Nanoseconds = 0


class PeerEstimate(msgspec.Struct, frozen=True):
    """What is believed: a rate (0 = nothing), and how many nodes to reckon with."""

    rate: float
    siblings: int
    verdicts: tuple[Verdict, ...]


def merge_reports(
    words: Sequence[PeerReport],
    own: tuple[float, int] | None,
    asked: int,
    peers: int,
    settings: Settings,
    cluster: str,
    terms: AgeLimits,
) -> PeerEstimate:
    """Of `words` from `asked` of all `peers`; `own` is this node's kept rate and its age. Total."""
    verdicts = list[Verdict]()
    named = {word.node: word for word in words if word.cluster == cluster}  # one word a node
    if strangers := len(words) - len(named):
        verdicts.append(Verdict("peers", False, f"{strangers} words of other clusters, or said twice"))
    told = [
        (word.rate * min(1.0, word.siblings / settings.siblings), word.age)
        for word in named.values()
        if word.rate > 0 and word.cold == cold_digest(settings) and word.age <= terms.keep_for
    ]
    if own is not None and own[0] > 0:
        told.append(own)
    rate = 0.0
    if len(told) >= MIN_REPORTS or (own is not None and own[0] > 0):
        rate = _median([(value, math.pow(MIN_EVIDENCE_WEIGHT, age / terms.keep_for)) for value, age in told])
    verdicts.append(
        Verdict(
            "peers' rate",
            rate > 0,
            f"{rate:.2f} calls a second, by {len(told)} of {len(named) + 1} nodes, {asked} of {peers} asked",
        )
    )
    return PeerEstimate(rate, _siblings(len(named), asked, peers, settings.siblings), tuple(verdicts))


def _median(weighted: list[tuple[float, float]]) -> float:
    """The lower weighted median: at least half of the weight says as much or more."""
    left = sum(weight for _, weight in weighted) / 2
    for value, weight in sorted(weighted):
        left -= weight
        if left <= 1e-12:
            return value
    return 0.0


def _siblings(live: int, asked: int, peers: int, told: int) -> int:
    """This node, and of all peers the part that answered; never fewer than the settings say."""
    count = 1 + (round(peers * live / asked) if asked else 0)
    return min(max(count, told), MAX_SIBLINGS_FACTOR * told)
