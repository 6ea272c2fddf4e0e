"""The trace of one request, and a buffer of the latest traces that is bounded in bytes. No I/O and no clock.

Steps are small tuples while a request is open, and are packed into bytes at its end, so that the buffer knows
its size. Times are seconds and are passed in; a step states tenths of a millisecond since the request came.
"""

from __future__ import annotations

from collections import OrderedDict
from typing import Any

import msgpack

MAX_BYTES = 2 * 1024 * 1024  # of all traces in the buffer
ENTRY_OVERHEAD_BYTES = 300  # of memory per trace beside its id and steps: two objects and their dict entry
MAX_TRACE_BYTES = 16 * 1024  # of one trace with its id: a longer one is dropped
MAX_STEPS = 48  # of one request; its final reply is recorded beyond them
MAX_SELECTIONS = 6  # server selections of one request whose candidates are recorded
MAX_SHOWN = 8  # candidates of one selection: those that were sent to, then the cheapest
TICKS_PER_S = 10_000

TOOK, CLAIMS, GRANTED, SETTLED, NOT_HELD = "took", "claims", "granted", "settled", "not held"
LOOKED, SENT, ANSWERED, TURNED_AWAY, LOST = "looked", "sent", "answered", "turned away", "lost"
OVERDUE, GONE, CANCELLED, REFUSED, REPLIED = "overdue", "gone", "cancelled", "refused", "replied"
STEP_FIELDS: dict[str, tuple[str, ...]] = {  # names of the values of each step
    TOOK: ("route", "kind", "rank", "service", "aim_left_s", "deadline_left_s", "tries", "nodes"),
    CLAIMS: (),
    GRANTED: (),
    SETTLED: ("holder",),
    NOT_HELD: ("why", "holder"),
    LOOKED: ("wanted", "aim_left_s", "budget", "servers", "shown"),
    SENT: ("copy", "life", "ip", "repeat", "budget"),
    ANSWERED: ("copy", "status", "budget"),
    TURNED_AWAY: ("copy", "why", "arrived", "budget"),
    LOST: ("copy", "why", "budget"),
    CANCELLED: ("copy",),
    OVERDUE: (),
    GONE: (),
    REFUSED: ("why",),
    REPLIED: ("status",),
}
Candidates = list[tuple[float, float, Any]]  # price, chance, server


class Trace:
    """The steps of one request so far."""

    __slots__ = ("started_at", "steps")

    def __init__(self, started_at: float) -> None:
        self.started_at = started_at
        self.steps: list[tuple[Any, ...]] = []

    def add(self, now: float, kind: str, *values: Any) -> None:
        if len(self.steps) < MAX_STEPS or kind is REPLIED:
            self.steps.append((int((now - self.started_at) * TICKS_PER_S), kind, *values))

    def add_selection(
        self, now: float, wanted: int, time_left: float, budget: float, candidates: Candidates
    ) -> None:
        selections = sum(step[1] is LOOKED for step in self.steps)
        shown = candidates if selections < MAX_SELECTIONS else []
        self.add(now, LOOKED, wanted, time_left, budget, len(candidates), shown)

    def rows(self) -> list[tuple[Any, ...]]:
        """The steps, with few candidates of each selection: (server id, price, chance, whether it was sent
        to).
        """
        sent = {step[3] for step in self.steps if step[1] is SENT}
        return [
            (*step[:-1], _shown_candidates(step[-1], sent)) if step[1] is LOOKED else step
            for step in self.steps
        ]

    def packed(self) -> bytes:
        return bytes(msgpack.packb(self.rows(), use_single_float=True))


def _shown_candidates(candidates: Candidates, sent: set[str]) -> list[tuple[str, float, float, bool]]:
    order = sorted(candidates, key=lambda c: (c[2].server_id not in sent, c[0]))[:MAX_SHOWN]
    return [(server.server_id, price, chance, server.server_id in sent) for price, chance, server in order]


class TraceBuffer:
    """Packed traces by request id: the latest ones."""

    def __init__(self, max_bytes: int = MAX_BYTES) -> None:
        self.max_bytes = max_bytes
        self.traces: OrderedDict[bytes, bytes] = OrderedDict()
        self.size = 0
        self.left_out = 0  # traces that were too long

    def store(self, ident: bytes, packed: bytes) -> None:
        if len(ident) + len(packed) > MAX_TRACE_BYTES:
            self.left_out += 1
            return
        before = self.traces.pop(ident, None)
        if before is not None:
            self.size -= _entry_bytes(ident, before)
        self.traces[ident] = packed
        self.size += _entry_bytes(ident, packed)
        while self.size > self.max_bytes:  # bounds the memory
            self.size -= _entry_bytes(*self.traces.popitem(last=False))

    def find(self, ident: bytes) -> list[list[Any]] | None:
        """The steps of this request; None where it has no trace."""
        packed = self.traces.get(ident)
        return None if packed is None else msgpack.unpackb(packed)


def _entry_bytes(ident: bytes, packed: bytes) -> int:
    return len(ident) + len(packed) + ENTRY_OVERHEAD_BYTES


def steps_as_dicts(steps: list[Any]) -> list[dict[str, Any]]:
    """The steps with named values, for operators."""
    return [
        {"at_ms": at * 1000 / TICKS_PER_S, "what": kind, **dict(zip(STEP_FIELDS[kind], values, strict=True))}
        for at, kind, *values in steps
    ]
