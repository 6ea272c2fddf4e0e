"""A control node that is told to end hands over leadership first, so that nobody waits out an election.

It retires once it doesn't lead, knows who leads instead, has answered the calls that it had taken, and the
others can do without what its disk holds.
"""

from __future__ import annotations

from typing import Protocol

from minthitch.mesh.raft.actions import Action

MOST_S = 1.0  # seconds for handing over: callers give up after a second, and the platform kills before long


class Agreement(Protocol):
    """What is asked of the core."""

    @property
    def is_leader(self) -> bool: ...
    @property
    def name(self) -> str: ...
    @property
    def leader(self) -> str | None: ...

    def begin_shutdown(self, now: float) -> list[Action]: ...
    def may_end(self, now: float) -> bool: ...


class Retirement:
    """Once begun it is never taken back."""

    def __init__(self, core: Agreement) -> None:
        self.core = core
        self.begun: float | None = None

    def begin(self, now: float) -> list[Action]:
        """No new proposals; leadership goes to the best voter. This node stands for none itself."""
        if self.begun is not None:
            return []
        self.begun = now
        return self.core.begin_shutdown(now)

    def over(self, now: float, open_orders: int) -> bool:
        """Whether the process may end."""
        if self.begun is None:
            return False
        core = self.core
        handed_over = not core.is_leader and core.leader not in (None, core.name) and core.may_end(now)
        return (handed_over and not open_orders) or now - self.begun >= MOST_S
