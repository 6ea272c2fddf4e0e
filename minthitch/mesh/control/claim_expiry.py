"""The leader's part in letting claims grow old: it tells the time it has seen, and appends the rotation."""

from __future__ import annotations

from typing import Protocol

import msgpack

from minthitch.mesh.control.proposals import Proposals
from minthitch.mesh.control.state import ROTATE, TIME, State
from minthitch.mesh.idempotency.rotation import LeadershipClock
from minthitch.mesh.raft.node import RaftNode


class Host(Protocol):
    """The control node whose claims they are."""

    core: RaftNode
    state: State
    proposals: Proposals


class Aging:
    """`window` seconds is the time for which a key is kept (see minthitch.mesh.idempotency.rotation)."""

    def __init__(self, host: Host, window: float) -> None:
        self.host, self.window = host, window
        self.reign = LeadershipClock()

    def look(self, now: float, slack: float) -> None:
        """`now` was read from the steady clock right before; `slack` seconds are kept beyond the window."""
        core, reign, state = self.host.core, self.reign, self.host.state
        if not core.has_committed_in_term:
            return
        reign.on_leadership(now, core.term)
        if not state.claims.count():
            return
        needed = self._needed_ms(slack)
        if reign.may_rotate(core.last_applied, state.passed_ms, needed):
            placed = self.host.proposals.place(ROTATE, b"")
            if placed is not None:
                reign.on_rotated(now, placed[0])
        elif reign.is_due(now, state.passed_ms, needed):
            self._tell(now)

    def _needed_ms(self, slack: float) -> int:
        """Time between two rotations; all routes are only read where the rest is over."""
        least = int((self.window + slack) * 1000)
        if self.host.state.passed_ms < least:
            return least
        return max(least, int((self.window + self.host.state.patience()) * 1000))

    def _tell(self, now: float) -> None:
        body = bytes(msgpack.packb(self.reign.unrecorded_ms(now)))
        if self.host.proposals.place(TIME, body) is not None:
            self.reign.on_recorded(now)
