"""Graceful shutdown of a control node: it hands leadership over first, so that nobody waits for an election.

It may end once it does not lead, knows who leads instead, has answered the calls that it had accepted, and
the others have what its disk has.
"""

from __future__ import annotations

from typing import Protocol

from minthitch.mesh.raft.actions import Action

SHUTDOWN_TIMEOUT_S = 1.0  # callers give up after a second, and the platform kills not much later


class Consensus(Protocol):
    """What is asked of the consensus core."""

    @property
    def is_leader(self) -> bool:
        """Whether it leads."""

    @property
    def name(self) -> str:
        """This member's name."""

    @property
    def leader(self) -> str | None:
        """The leader's name, as far as known."""

    def begin_shutdown(self, now: float) -> list[Action]:
        """Hand leadership over."""

    def may_end(self, now: float) -> bool:
        """Whether the others have what this member has."""


class GracefulShutdown:
    """Once begun it is never taken back."""

    def __init__(self, raft: Consensus) -> None:
        self._raft = raft
        self._started_at: float | None = None

    @property
    def has_begun(self) -> bool:
        """`begin` was called."""
        return self._started_at is not None

    def begin(self, now: float) -> list[Action]:
        """Take no new proposals, hand leadership to the best voter, do not campaign."""
        if self._started_at is not None:
            return []
        self._started_at = now
        return self._raft.begin_shutdown(now)

    def is_finished(self, now: float, open_calls: int) -> bool:
        """Whether the process may end."""
        if self._started_at is None:
            return False
        raft = self._raft
        another_leads = not raft.is_leader and raft.leader not in (None, raft.name)
        if another_leads and raft.may_end(now) and not open_calls:
            return True
        return now - self._started_at >= SHUTDOWN_TIMEOUT_S
