"""Graceful shutdown of a control node: it hands over leadership first, to avoid waiting for an election.

The process may exit once it does not lead, knows the new leader, has answered all accepted calls, and the
other members have the entries on its disk.
"""

from __future__ import annotations

from typing import Protocol

from minthitch.mesh.raft.actions import Action

SHUTDOWN_TIMEOUT_S = 1.0  # callers give up after a second, and the platform kills the process soon after


class Consensus(Protocol):
    """The part of the consensus core that a shutdown uses."""

    @property
    def is_leader(self) -> bool:
        """Whether this member leads."""

    @property
    def name(self) -> str:
        """This member's name."""

    @property
    def leader(self) -> str | None:
        """The leader's name; None if unknown."""

    def begin_shutdown(self, now: float) -> list[Action]:
        """Start handing over leadership."""

    def may_end(self, now: float) -> bool:
        """Whether the other members have the entries that this member has."""


class GracefulShutdown:
    """Tracks a graceful shutdown, which can't be cancelled."""

    def __init__(self, raft: Consensus) -> None:
        self._raft = raft
        self._started_at: float | None = None

    @property
    def has_begun(self) -> bool:
        """Whether `begin` was called."""
        return self._started_at is not None

    def begin(self, now: float) -> list[Action]:
        """Accept no new proposals, hand leadership to the best voter, start no election."""
        if self._started_at is not None:
            return []
        self._started_at = now
        return self._raft.begin_shutdown(now)

    def is_finished(self, now: float, open_calls: int) -> bool:
        """Whether the process may exit."""
        if self._started_at is None:
            return False
        raft = self._raft
        another_leads = not raft.is_leader and raft.leader not in (None, raft.name)
        if another_leads and raft.may_end(now) and not open_calls:
            return True
        return now - self._started_at >= SHUTDOWN_TIMEOUT_S
