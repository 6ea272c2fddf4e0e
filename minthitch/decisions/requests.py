"""An open request and its attempts."""

from __future__ import annotations

from minthitch import interface as api
from minthitch.decisions.servers import Server


class Attempt:
    """One send of a request. Its expected latency is the base latency times the common load, in ns."""

    __slots__ = ("server", "sent_at", "base_latency", "expected", "status")

    def __init__(self, server: Server, sent_at: int, base_latency: float, expected: float) -> None:
        self.server, self.sent_at, self.base_latency, self.expected = server, sent_at, base_latency, expected
        self.status: api.Status | None = None  # None while in flight


class Request:
    """A request from its arrival until its last attempt has ended."""

    __slots__ = (
        "id",
        "cls",
        "spec",
        "deadline",
        "half_time",
        "overdue_at",
        "repeat_safe",
        "attempts",
        "closed",
        "streaming",
        "held",
    )

    def __init__(self, now: int, event: api.RequestArrived, spec: api.RequestClass) -> None:
        self.id, self.cls, self.spec, self.deadline = event.request, event.cls, spec, event.deadline
        self.half_time = (now + event.deadline) // 2  # when half of its time has passed
        self.overdue_at = event.deadline  # when the attempts in flight count as overdue
        keyed_all = spec.effect is api.Effect.KEYED and spec.group is api.Group.ALL
        self.repeat_safe = spec.effect is api.Effect.SAFE or keyed_all  # a repeat at any server has no effect
        self.attempts: list[Attempt] = []
        self.closed = self.streaming = self.held = False  # held: waits until a server may take it

    @property
    def may_have_run(self) -> Attempt | None:
        """The first attempt that is not proven to have had no effect; None if there is none."""
        return next((a for a in self.attempts if a.status is None or not a.status.never_ran), None)
