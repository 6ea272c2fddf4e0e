"""Expires old claims: the leader records elapsed time in the log and appends rotations."""

from __future__ import annotations

from typing import Protocol

import msgpack

from minthitch.mesh.control.proposals import Proposals
from minthitch.mesh.control.state_machine import ROTATE, TIME, StateMachine
from minthitch.mesh.idempotency.rotation import LeadershipClock
from minthitch.mesh.raft.node import RaftNode


class Host(Protocol):
    """The control node that owns the claims."""

    raft: RaftNode
    state: StateMachine
    proposals: Proposals


class ClaimExpiry:
    """Keeps each key for at least `window_s` seconds (see minthitch.mesh.idempotency.rotation)."""

    def __init__(self, host: Host, window_s: float) -> None:
        self.clock = LeadershipClock()
        self._host = host
        self._window_s = window_s

    def tick(self, now: float, margin_s: float) -> None:
        """As leader, append a rotation or a time record if one is due.

        Args:
            now: fresh monotonic time.
            margin_s: seconds for which claims are kept beyond the window.
        """
        raft, state = self._host.raft, self._host.state
        if not raft.has_committed_in_term:
            return
        self.clock.on_leadership(now, raft.term)
        if not state.claims.count():
            return
        needed_ms = self._needed_ms(margin_s)
        if self.clock.may_rotate(raft.last_applied, state.elapsed_ms, needed_ms):
            position = self._host.proposals.append(ROTATE, b"")
            if position is not None:
                self.clock.on_rotated(now, position.log_index)
        elif self.clock.is_due(now, state.elapsed_ms, needed_ms):
            self._record_time(now)

    def _needed_ms(self, margin_s: float) -> int:
        """Time between two rotations. Decodes all routes only once the minimum time has passed."""
        shortest = int((self._window_s + margin_s) * 1000)
        if self._host.state.elapsed_ms < shortest:
            return shortest
        return max(shortest, int((self._window_s + self._host.state.longest_route_timeout()) * 1000))

    def _record_time(self, now: float) -> None:
        body = bytes(msgpack.packb(self.clock.unrecorded_ms(now)))
        if self._host.proposals.append(TIME, body) is not None:
            self.clock.on_recorded(now)
