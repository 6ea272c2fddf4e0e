"""Calls of the operator at the node that took them: each is answered once, before its caller gives up on it.

Callers of `Ctl` go to another node after a second of silence. A call that has no result after DEADLINE is
answered as unclear instead: it may have been taken, so it is never refused, and sending it again is safe.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING, Any, Protocol

from minthitch.mesh.control.state import CONFIG, Fetched, State
from minthitch.mesh.raft.node import RaftNode
from minthitch.mesh.transport import ops

if TYPE_CHECKING:
    from minthitch.mesh.control.proposals import Proposals

DEADLINE = 0.7  # seconds from a call's arrival to its answer: the rest of the second is for the way
BODY_RATE = 4 * 1024 * 1024  # bytes of a body for which a second is added: callers wait longer for these
Result = Callable[[tuple[Any, ...] | None], None]


class Host(Protocol):
    """The control node that took them."""

    core: RaftNode
    state: State
    proposals: Proposals
    loop: asyncio.AbstractEventLoop
    clock: Callable[[], float]

    @property
    def bad(self) -> bool: ...  # its disk
    def propose(self, kind: int, data: bytes, done: Result) -> None: ...


def patience(size: int) -> float:
    """Seconds within which a call with a body of `size` bytes is answered."""
    return DEADLINE + size / BODY_RATE


class Order:
    """One open call; call it with the result, or with None where that is unclear."""

    __slots__ = ("open", "done", "timer")

    def __init__(
        self, loop: asyncio.AbstractEventLoop, open_orders: set[Order], seconds: float, done: Result
    ) -> None:
        self.open, self.done = open_orders, done
        self.timer = loop.call_later(seconds, self, None)
        open_orders.add(self)

    def __call__(self, result: tuple[Any, ...] | None) -> None:
        """Answers the caller; a result that comes after the answer is dropped."""
        if self not in self.open:
            return
        self.open.discard(self)
        self.timer.cancel()
        self.done(result)


class Orders:
    """Those that are open."""

    def __init__(self, host: Host) -> None:
        self.host = host
        self.open: set[Order] = set()

    def patch(self, body: bytes, done: Result) -> None:
        """A change; `done` is told None at once where no majority is reached, or late where it is unclear."""
        if self._in_touch():
            self.host.propose(CONFIG, body, Order(self.host.loop, self.open, patience(len(body)), done))
        else:
            done(None)

    def fetch(self, done: Result) -> None:
        """The configuration as the leader knows it while it surely leads; `done` as for `patch`."""
        host = self.host
        if host.core.role == "leader":
            self.fetch_here(done)
        elif self._in_touch():
            host.proposals.forward(ops.FETCH, (), Order(host.loop, self.open, patience(0), done))
        else:
            done(None)

    def fetch_here(self, done: Result) -> None:
        """As this node knows it, if it surely leads."""
        host = self.host
        sure = host.core.has_lease(self._now()) and not host.bad
        done(Fetched(host.state.items.fetch(), host.state.items.index) if sure else None)

    def _in_touch(self) -> bool:
        """Whether this node reaches a majority, or has led too short a time to have heard from one."""
        core, now = self.host.core, self._now()
        young = core.role == "leader" and now - core.leader_state.elected_at <= core.timing.election_timeout
        return young or core.in_contact_with_quorum(now)

    def _now(self) -> float:
        """Danger: the loop's time is that of its last turn, and this machine may have been frozen since."""
        return max(self.host.loop.time(), self.host.clock())
