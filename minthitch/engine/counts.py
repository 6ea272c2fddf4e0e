"""Outcomes of requests by class since the process started. Each is counted once, when it ends. No I/O."""

from __future__ import annotations

from dataclasses import dataclass

from minthitch.engine.calls import Answer, Failed, Refused, Rejected


class Counts:
    """`served`, `refused` and `failed` by class; `sends` counts attempts fully written to a server."""

    __slots__ = ("served", "refused", "failed", "sends")

    def __init__(self, classes: int) -> None:
        self.served, self.refused, self.failed = [0] * classes, [0] * classes, [0] * classes
        self.sends = 0

    def answered(self, cls: int, answer: Answer) -> None:
        table = (
            self.refused
            if isinstance(answer, Refused)
            else (self.failed if isinstance(answer, Failed) else self.served)
        )
        table[cls] += 1

    def rejected(self, cls: int, err: Rejected) -> None:
        (self.refused if err.is_refusal else self.failed)[cls] += 1

    def stream_ended(self, cls: int, complete: bool) -> None:
        """Counts a streamed answer when its stream ends."""
        (self.served if complete else self.failed)[cls] += 1


@dataclass(frozen=True, slots=True)
class NodeMetrics:
    """Snapshot of a node's metrics."""

    classes: tuple[str, ...]
    counts: Counts
    inflight: int  # admitted requests that have not ended
    listed: int  # servers in the list
    down: int  # of these, the ones avoided now
