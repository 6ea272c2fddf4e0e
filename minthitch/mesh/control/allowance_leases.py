"""Grants leases on the retry allowance, as `minthitch.mesh.limits.lease` decides, while this node leads."""

from __future__ import annotations

from typing import Any, Protocol

from minthitch.mesh.configuration.settings import Bounds
from minthitch.mesh.limits.lease import Lease, LeaseGranter, Report
from minthitch.mesh.raft.node import RaftNode

FIRST_LEADER_INDEX = 2  # log index of the first leader's first entry, right after the founders' entry


class Subscriber(Protocol):
    """One run of a sidecar process."""

    ip: str
    epoch: int


class AllowanceLeases:
    """Grants leases while this node has the leader's lease; `now` must be fresh monotonic time."""

    def __init__(self, bounds: Bounds, raft: RaftNode) -> None:
        self.granter = LeaseGranter(bounds.retry_slack, bounds.retry_win_s)
        self._raft = raft

    def _may_grant(self, now: float) -> bool:
        if not self._raft.has_lease(now):
            return False
        # A leader grants only after its first entry is committed, so every later leader has that entry.
        is_first_leader = self._raft.leader_state.noop_index <= FIRST_LEADER_INDEX
        self.granter.on_leadership(now, self._raft.term, is_first_leader=is_first_leader)
        return True

    def on_report(self, now: float, subscriber: Subscriber, report: tuple[Any, ...]) -> None:
        """Handle a sidecar's report of what it uses and needs."""
        if self._may_grant(now):
            self.granter.on_report(now, subscriber.ip, subscriber.epoch, Report(*report))

    def distribute(self, now: float) -> None:
        """Recompute each sidecar's share."""
        if self._may_grant(now):
            self.granter.distribute(now)

    def grant(self, now: float, subscriber: Subscriber) -> Lease | None:
        """The lease to send to a sidecar; None if nothing has changed."""
        return self.granter.grant(subscriber.ip, subscriber.epoch) if self._may_grant(now) else None
