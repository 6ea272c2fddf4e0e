"""Seeded traces: calls of all classes, and what the servers do with each attempt of each. No I/O.

The fate of a call follows from its class and its script, whichever servers are chosen, so that two fronts
that obey the rules must come to the same outcomes.
"""

from __future__ import annotations

import random
from collections import deque
from dataclasses import dataclass

# What a server does with an attempt. "cut" breaks off within its answer; "unprocessed" never runs.
MAY_RUN = frozenset(("ok", "500", "reset", "silent", "cut"))
ALLOWED_FIRST, ALLOWED_MOST, EARNED = 2.0, 5.0, 0.12  # further attempts, as `_spaced` allows them
SERVED, REFUSED, FAILED, LEFT = "served", "refused", "failed", "left"


@dataclass(frozen=True, slots=True)
class Kind:
    """A sort of call: its script by attempt, the last for all further ones, and the outcome owed."""

    cls: str
    script: tuple[str, ...]
    timeout: float  # seconds
    outcome: str
    weight: float

    @property
    def further(self) -> float:
        """Attempts beyond the first that it takes, generously: a silent one is raced."""
        if self.script == ("ok",) or (self.cls == "unsafe" and self.script[0] != "unprocessed"):
            return 0.0
        return 1.5 if self.script[-1] == "ok" else 3.0


KINDS = (
    Kind("safe", ("ok",), 6.0, SERVED, 45.0),
    Kind("safe", ("500", "ok"), 6.0, SERVED, 1.2),
    Kind("safe", ("reset", "ok"), 6.0, SERVED, 1.2),
    Kind("safe", ("cut", "ok"), 6.0, SERVED, 0.8),
    Kind("safe", ("silent", "ok"), 6.0, SERVED, 1.0),
    Kind("safe", ("unprocessed", "ok"), 6.0, SERVED, 1.2),
    Kind("safe", ("500",), 6.0, REFUSED, 0.4),
    Kind("keyed", ("ok",), 6.0, SERVED, 20.0),
    Kind("keyed", ("500", "ok"), 6.0, SERVED, 1.0),
    Kind("keyed", ("reset", "ok"), 6.0, SERVED, 1.0),
    Kind("keyed", ("unprocessed", "ok"), 6.0, SERVED, 1.0),
    Kind("keyed", ("500",), 6.0, FAILED, 0.4),
    Kind("unsafe", ("ok",), 6.0, SERVED, 18.0),
    Kind("unsafe", ("500",), 6.0, FAILED, 1.2),
    Kind("unsafe", ("reset",), 6.0, FAILED, 1.2),
    Kind("unsafe", ("cut",), 6.0, FAILED, 0.8),
    Kind("unsafe", ("silent",), 0.8, FAILED, 0.8),
    Kind("unsafe", ("unprocessed", "ok"), 6.0, SERVED, 1.2),
    Kind("unsafe", ("unprocessed",), 0.6, REFUSED, 0.4),
    Kind("unsafe", ("silent",), 0.25, LEFT, 0.8),  # its caller leaves after that time
)


@dataclass(frozen=True, slots=True)
class Step:
    """One call of a trace. `at`: seconds after the trace's start."""

    identity: str
    kind: Kind
    at: float
    body: bytes

    @property
    def key(self) -> str:
        return f"key-{self.identity}" if self.kind.cls == "keyed" else ""

    def act(self, attempt: int) -> str:
        """What the server does with the attempt, counted from 0 over all servers."""
        return self.kind.script[min(attempt, len(self.kind.script) - 1)]


def _spaced(kinds: list[Kind]) -> list[Kind]:
    """The same kinds, those that want further attempts put off until the decisions have earned them.

    A retry is earned by answers (a fifth of one each), so that faults in a clump are rightly given up on, and
    which one it hits would turn on timing. The allowance here is tighter than the decisions' own.
    """
    spaced, waiting, allowance = list[Kind](), deque[Kind](), ALLOWED_FIRST
    good = {kind.cls: kind for kind in KINDS if kind.script == ("ok",)}
    for kind in kinds:
        if kind.script != ("ok",):
            waiting.append(kind)
        chosen = waiting.popleft() if waiting and allowance >= waiting[0].further else good[kind.cls]
        spaced.append(chosen)
        earned = EARNED if chosen.outcome == SERVED else 0.0
        allowance = min(ALLOWED_MOST, allowance - chosen.further + earned)
    return spaced


def make(seed: int, count: int, pace: float, calm: int = 20) -> tuple[Step, ...]:
    """`count` calls, `pace` seconds apart; the first `calm` without faults, then each kind at least once."""
    rng = random.Random(seed)
    good = [kind for kind in KINDS if kind.script == ("ok",)]
    kinds = rng.choices(good, [kind.weight for kind in good], k=calm)
    rest = rng.choices(KINDS, [kind.weight for kind in KINDS], k=count - calm - len(KINDS))
    for kind in KINDS:  # early enough that none is put off beyond the end
        rest.insert(rng.randrange(len(rest) // 2), kind)
    return tuple(
        Step(
            f"{seed:x}-{i:x}",
            kind,
            i * pace,
            b"" if kind.cls == "safe" else rng.randbytes(rng.randrange(1, 2_000)),
        )
        for i, kind in enumerate(_spaced(kinds + rest))
    )
