"""Leases on the retry allowance: the decisions of `minthitch.mesh.limits.lease`, under a leader's lease."""

from __future__ import annotations

from typing import Any, Protocol

from minthitch.mesh.configuration.settings import Bounds
from minthitch.mesh.limits.lease import Lease, LeaseGranter, Report
from minthitch.mesh.raft.node import RaftNode

FIRST_LEADER_INDEX = 2  # of the first leader's first entry, right after that of the founders


class Subscriber(Protocol):
    """One run of a sidecar."""

    ip: str
    epoch: int


class AllowanceLeases:
    """Grants leases while this node surely leads. `now` is read from a steady clock right at the call."""

    def __init__(self, bounds: Bounds, raft: RaftNode) -> None:
        self.granter = LeaseGranter(bounds.retry_slack, bounds.retry_win_s)
        self._raft = raft

    def _may_grant(self, now: float) -> bool:
        if not self._raft.has_lease(now):
            return False
        # The first entry of a leader that grants is committed, so it is in the log of every later leader.
        is_first_leader = self._raft.leader_state.noop_index <= FIRST_LEADER_INDEX
        self.granter.on_leadership(now, self._raft.term, is_first_leader=is_first_leader)
        return True

    def on_report(self, now: float, subscriber: Subscriber, report: tuple[Any, ...]) -> None:
        """A sidecar reports what it uses and needs."""
        if self._may_grant(now):
            self.granter.on_report(now, subscriber.ip, subscriber.epoch, Report(*report))

    def distribute(self, now: float) -> None:
        """Decide anew how much each sidecar gets."""
        if self._may_grant(now):
            self.granter.distribute(now)

    def grant(self, now: float, subscriber: Subscriber) -> Lease | None:
        """The lease to send to a sidecar; None where there is nothing new."""
        return self.granter.grant(subscriber.ip, subscriber.epoch) if self._may_grant(now) else None
