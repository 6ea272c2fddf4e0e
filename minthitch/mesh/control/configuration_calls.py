"""Configuration calls at the control node that received them; each is answered once, within a time limit.

Callers of `Ctl` turn to another node after one second without an answer. A call without a result after
RESULT_TIMEOUT_S is therefore answered as unclear: it is not rejected, because it may have been committed,
and the caller can safely repeat it.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any, Protocol

from minthitch.mesh.control.state_machine import CONFIG, FetchResult, StateMachine
from minthitch.mesh.raft.node import RaftNode
from minthitch.mesh.transport import ops

RESULT_TIMEOUT_S = 0.7  # from arrival to answer; the rest of the caller's second is for the network
BODY_BYTES_PER_S = 4 * 1024 * 1024  # callers wait one more second for this many bytes of body
OnResult = Callable[[tuple[Any, ...] | None], None]  # called with the result, or None if it is unclear


class Forwarder(Protocol):
    """Forwards messages to the leader."""

    def forward(self, op: int, fields: tuple[Any, ...], on_result: OnResult) -> None:
        """Send a message to the leader; `on_result` receives its answer."""


class Host(Protocol):
    """The control node that received the calls."""

    raft: RaftNode
    state: StateMachine
    loop: asyncio.AbstractEventLoop
    clock: Callable[[], float]

    @property
    def proposals(self) -> Forwarder:
        """Forwards to the leader."""

    @property
    def disk_healthy(self) -> bool:
        """Whether its disk is healthy."""

    def propose(self, kind: int, data: bytes, on_result: OnResult) -> None:
        """Propose a command to the replicated log."""


def call_timeout(body_bytes: int) -> float:
    """Seconds within which a call with a body of this size is answered."""
    return RESULT_TIMEOUT_S + body_bytes / BODY_BYTES_PER_S


class PendingCall:
    """One open call, which is invoked with its result, or with None if the outcome is unclear."""

    __slots__ = ("_open_calls", "_on_result", "_timer")

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        open_calls: set[PendingCall],
        timeout_s: float,
        on_result: OnResult,
    ) -> None:
        self._open_calls = open_calls
        self._on_result = on_result
        self._timer = loop.call_later(timeout_s, self, None)
        open_calls.add(self)

    def __call__(self, result: tuple[Any, ...] | None) -> None:
        """Answer the caller; a result that arrives after the answer is dropped."""
        if self not in self._open_calls:
            return
        self._open_calls.discard(self)
        self._timer.cancel()
        self._on_result(result)


class ConfigurationCalls:
    """The open configuration calls at this node."""

    def __init__(self, host: Host) -> None:
        self.open_calls: set[PendingCall] = set()
        self._host = host

    def patch(self, body: bytes, on_result: OnResult) -> None:
        """Change the configuration.

        Args:
            body: the call's body as sent.
            on_result: receives a ConfigurationResult; None at once if no majority can be reached, or after
                the timeout if the outcome is unclear.
        """
        if self._reaches_quorum():
            self._host.propose(CONFIG, body, self._pending(on_result, len(body)))
        else:
            on_result(None)

    def fetch(self, on_result: OnResult) -> None:
        """Read the leader's configuration, which is current while it has its lease.

        Args:
            on_result: receives a FetchResult; None as for `patch`.
        """
        if self._host.raft.is_leader:
            self.fetch_locally(on_result)
        elif self._reaches_quorum():
            self._host.proposals.forward(ops.FETCH, (), self._pending(on_result, 0))
        else:
            on_result(None)

    def fetch_locally(self, on_result: OnResult) -> None:
        """Read this node's configuration, if it has the leader's lease."""
        host = self._host
        if host.raft.has_lease(self._now()) and host.disk_healthy:
            on_result(FetchResult(host.state.items.fetch(), host.state.items.index))
        else:
            on_result(None)

    def _pending(self, on_result: OnResult, body_bytes: int) -> PendingCall:
        return PendingCall(self._host.loop, self.open_calls, call_timeout(body_bytes), on_result)

    def _reaches_quorum(self) -> bool:
        """Whether this node reaches a majority, or became leader too recently to have heard from one."""
        raft, now = self._host.raft, self._now()
        if raft.is_leader and now - raft.leader_state.elected_at <= raft.timing.election_timeout:
            return True
        return raft.in_contact_with_quorum(now)

    def _now(self) -> float:
        """The current time: the loop's time may be outdated if the process was frozen since its last turn."""
        return max(self._host.loop.time(), self._host.clock())
