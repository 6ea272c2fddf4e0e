"""A request that is open here, and its attempts."""

from __future__ import annotations

from minthitch import interface as api
from minthitch.decisions.servers import Server


class Attempt:
    __slots__ = ("server", "sent", "base", "expected", "status")

    def __init__(self, server: Server, sent: int, base: float, expected: float) -> None:
        self.server, self.sent, self.base, self.expected = server, sent, base, expected
        self.status: api.Status | None = None  # None while it is out


class Request:
    __slots__ = (
        "id",
        "cls",
        "spec",
        "deadline",
        "half",
        "late",
        "repeat_safe",
        "attempts",
        "closed",
        "streaming",
        "held",
    )

    def __init__(self, now: int, event: api.RequestArrived, spec: api.RequestClass) -> None:
        self.id, self.cls, self.spec, self.deadline = event.request, event.cls, spec, event.deadline
        self.half = (now + event.deadline) // 2  # half of its time is gone
        self.late = event.deadline  # when what is out is overdue
        keyed_all = spec.effect is api.Effect.KEYED and spec.group is api.Group.ALL
        self.repeat_safe = spec.effect is api.Effect.SAFE or keyed_all  # a repeat at any server does nothing
        self.attempts: list[Attempt] = []
        self.closed = self.streaming = self.held = False  # held: no server may take it yet

    @property
    def anchor(self) -> Attempt | None:
        """The first attempt that may have run."""
        return next((a for a in self.attempts if a.status is None or not a.status.never_ran), None)
