"""Leases on the slack, between a control node's lines and what decides on them
(minthitch.mesh.limits.lease)."""

from __future__ import annotations

from typing import Any, Protocol

from minthitch.mesh.raft.node import RaftNode
from minthitch.mesh.limits.lease import Lender, Report
from minthitch.mesh.configuration.boot import Bounds

FOUNDED = 2  # index of the first leader's first entry, right after that of the founders


class Life(Protocol):
    """One life of a sidecar."""

    ip: str
    epoch: int


class Leases:
    """Lends while this control node surely leads. `now` is read from a steady clock right then."""

    def __init__(self, bounds: Bounds, core: RaftNode) -> None:
        self.core, self.lender = core, Lender(bounds.retry_slack, bounds.retry_win_s)

    def _leads(self, now: float) -> bool:
        if not self.core.has_lease(now):
            return False
        # A leader that lends has its first entry agreed: it is in the log of every later one, before its own.
        self.lender.lead(now, self.core.term, self.core.leader_state.noop_index <= FOUNDED)
        return True

    def heard(self, now: float, life: Life, report: tuple[Any, ...]) -> None:
        if self._leads(now):
            self.lender.heard(now, life.ip, life.epoch, Report(*report))

    def share(self, now: float) -> None:
        if self._leads(now):
            self.lender.share(now)

    def lease(self, now: float, life: Life) -> tuple[Any, ...] | None:
        lease = self.lender.lease(life.ip, life.epoch) if self._leads(now) else None
        return None if lease is None else tuple(lease)
