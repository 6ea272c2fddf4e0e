"""Leadership transfer (dissertation, 3.10): the leader tells another voter to start an election.

It is used when the leader's disk fails and when its process shuts down.
"""

from __future__ import annotations

from minthitch.mesh.raft.leader import Leader
from minthitch.mesh.raft.member import Member, Role
from minthitch.mesh.raft.messages import TimeoutNow
from minthitch.mesh.raft.progress import Progress
from minthitch.mesh.raft.shutdown_state import SHUTDOWN_TIMEOUT_S, ShutdownState

SHUTDOWN_CATCH_UP_S = 0.4  # how long a stopping leader waits for a successor that has every entry
DISK_FAULT_CATCH_UP_HEARTBEATS = 2  # the same for a leader with an unhealthy disk


class LeadershipTransfer:
    """State of a leadership transfer. While one is in progress, the leader rejects proposals."""

    def __init__(self, member: Member, leader: Leader, shutdown: ShutdownState) -> None:
        self._member = member
        self._leader = leader
        self._shutdown = shutdown
        self.started_at: float | None = None
        self.successor_notified = False  # from then on this leader has no lease in its term
        member.step_down_listeners.append(self._reset)

    def _reset(self, _term_has_risen: bool) -> None:
        self.started_at = None
        self.successor_notified = False

    def start(self, now: float) -> None:
        """Start a transfer."""
        self.started_at = now
        self.continue_transfer(now)

    def continue_transfer(self, now: float) -> bool:
        """Tell the best voter to start an election. Return True once the transfer has timed out."""
        if self.started_at is None:
            return False
        catch_up, timeout = self._timeouts()
        successor = self._best_successor(now)
        if successor is not None and self._may_take_over(successor, now - self.started_at, catch_up):
            self.successor_notified = True
            self._member.send(successor.name, TimeoutNow(self._member.term))
        return now - self.started_at > timeout

    def _timeouts(self) -> tuple[float, float]:
        """Timeouts in seconds: for a successor with every entry, and for the whole transfer."""
        timing = self._member.timing
        if self._shutdown.started_at is not None and self._member.disk_healthy:
            return SHUTDOWN_CATCH_UP_S, SHUTDOWN_TIMEOUT_S
        return DISK_FAULT_CATCH_UP_HEARTBEATS * timing.heartbeat, timing.election_timeout

    def _may_take_over(self, successor: Progress, elapsed: float, catch_up: float) -> bool:
        return successor.match_index == self._member.log.last_index or elapsed >= catch_up

    def _best_successor(self, now: float) -> Progress | None:
        """The responsive voter with the most entries, if possible one that is not shutting down itself."""
        timeout = self._member.timing.election_timeout
        voters = self._member.log.voters
        responsive = [
            peer
            for peer in self._leader.peers.values()
            if peer.name in voters and now - peer.last_response_at <= timeout
        ]
        staying = [peer for peer in responsive if now - peer.shutdown_notice_at > timeout]
        return max(
            staying or responsive, key=lambda peer: (peer.match_index, peer.last_response_at), default=None
        )

    def on_disk_health(self, now: float, healthy: bool) -> None:
        """When the disk fails, transfer leadership as leader, or give up as candidate."""
        member = self._member
        member.disk_healthy = healthy
        if member.is_leader:
            if not healthy and self.started_at is None:
                self.start(now)
            elif healthy:
                self.started_at = self._shutdown.started_at
        elif not healthy and member.role is Role.CANDIDATE:
            member.become_follower(now, member.term, None)
