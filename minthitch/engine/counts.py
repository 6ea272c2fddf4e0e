"""What became of requests, by class, since the process began. Counted once each, where they end. No I/O."""

from __future__ import annotations

from dataclasses import dataclass

from minthitch.engine.calls import Answer, Failed, Refused, Rejected


class Counts:
    """`served`, `refused` and `failed` by class; `sends` are attempts written whole to servers."""

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
        """An answer that was passed on in parts has come to its end."""
        (self.served if complete else self.failed)[cls] += 1


@dataclass(frozen=True, slots=True)
class NodeMetrics:
    """What a node knows of itself at one moment."""

    classes: tuple[str, ...]
    counts: Counts
    inflight: int  # requests taken and not ended
    listed: int  # servers in the list
    down: int  # of these, the ones that it now avoids
