"""Pending proposals: appended to this node's log if it leads, otherwise forwarded to the leader."""

from __future__ import annotations

from typing import Any, NamedTuple, Protocol

from minthitch.mesh.control.configuration_calls import OnResult
from minthitch.mesh.control.peer_links import PeerLinks
from minthitch.mesh.control.state_machine import CONFIG, pack_command
from minthitch.mesh.raft.actions import Action
from minthitch.mesh.raft.log import Entry
from minthitch.mesh.raft.node import RaftNode
from minthitch.mesh.transport import ops
from minthitch.mesh.transport.connection import Connection
from minthitch.mesh.transport.control_messages import ForwardedProposal, ForwardedResult, encode_result

PROPOSAL_TIMEOUT_S = 3.0  # then the proposal is abandoned; sidecars repeat their claims
MAX_PROPOSALS = 20_000  # pending at the same time


class Host(Protocol):
    """The control node that holds the proposals."""

    raft: RaftNode
    peer_links: PeerLinks

    @property
    def disk_healthy(self) -> bool:
        """Whether its disk is healthy."""

    def carry_out(self, actions: list[Action]) -> None:
        """Execute the actions of the consensus core."""

    def propose(self, kind: int, data: bytes, on_result: OnResult) -> None:
        """Propose a command."""

    def time(self) -> float:
        """The loop's time in seconds."""


class LogPosition(NamedTuple):
    """The position of a proposal in this node's log."""

    log_index: int
    term: int


class PendingEntry:
    """The callers that wait for one entry of this node's log."""

    __slots__ = ("term", "callers", "since")

    def __init__(self, term: int, since: float) -> None:
        self.term = term
        self.since = since
        self.callers: list[OnResult] = []

    def finish(self, result: tuple[Any, ...] | None) -> None:
        """Pass the result to the callers."""
        for on_result in self.callers:
            on_result(result)


class PendingForward(NamedTuple):
    """The caller that waits for the leader's answer."""

    on_result: OnResult
    since: float


class Proposals:
    """Gives each caller its result exactly once, or None if the outcome is unknown."""

    def __init__(self, host: Host) -> None:
        self._host = host
        self._pending: dict[int, PendingEntry] = {}  # by index
        self._next_request_id = 1
        self.forwarded: dict[int, PendingForward] = {}  # by request id
        # Configuration changes in this node's log that are not applied yet, by body.
        self.unapplied: dict[bytes, LogPosition] = {}

    def propose(self, kind: int, data: bytes, on_result: OnResult) -> None:
        """Propose a command; `on_result` receives None if the outcome is unknown or there is no leader."""
        if not self._host.raft.is_leader:
            self.forward(ops.FORWARD, (kind, data), on_result)
            return
        position = self._unapplied_repeat(data) if kind == CONFIG else None
        if position is None:
            position = self.append(kind, data)
        if position is None:
            on_result(None)
            return
        self._wait_for(position, on_result)
        if kind == CONFIG:
            self.unapplied[data] = position

    def _wait_for(self, position: LogPosition, on_result: OnResult) -> None:
        pending = self._pending.get(position.log_index)
        if pending is not None and pending.term != position.term:
            pending.finish(None)  # another leader replaced its entry, which will never be applied
            pending = None
        if pending is None:
            pending = self._pending[position.log_index] = PendingEntry(position.term, self._host.time())
        pending.callers.append(on_result)

    def append(self, kind: int, data: bytes) -> LogPosition | None:
        """Append a command to this node's log; None if it can't accept one now."""
        host = self._host
        appended = None
        if len(self._pending) < MAX_PROPOSALS and host.disk_healthy:
            appended = host.raft.propose(host.time(), pack_command(kind, data))
        host.carry_out(host.raft.drain())
        return LogPosition(*appended) if appended is not None else None

    def _unapplied_repeat(self, body: bytes) -> LogPosition | None:
        """The position of an equal change that is in this node's log but not applied yet; None if none.

        On a slow link, committing a large change takes longer than callers wait. If each repeat were
        appended again, the change would never be committed.
        """
        position, raft = self.unapplied.get(body), self._host.raft
        if position is None or position.term != raft.term or position.log_index <= raft.last_applied:
            return None
        return position

    def on_applied(self, entry: Entry, result: tuple[Any, ...]) -> None:
        """Pass an entry's result to its callers; an entry of another term is not the one they proposed."""
        pending = self._pending.pop(entry.index, None)
        if pending is not None:
            pending.finish(result if pending.term == entry.term else None)
        applied = [body for body, position in self.unapplied.items() if position.log_index <= entry.index]
        for body in applied:
            del self.unapplied[body]

    def forward(self, op: int, fields: tuple[Any, ...], on_result: OnResult) -> None:
        """Forward a message to the leader."""
        link = self._host.peer_links.link_to_leader()
        if link is None or not link.up or len(self.forwarded) >= MAX_PROPOSALS:
            on_result(None)
            return
        request_id = self._next_request_id
        self._next_request_id += 1
        self.forwarded[request_id] = PendingForward(on_result, self._host.time())
        link.send((op, request_id, *fields), 0)

    def on_forwarded_result(self, message: ForwardedResult) -> None:
        """Handle the leader's answer."""
        pending = self.forwarded.pop(message.request_id, None)
        if pending is not None:
            pending.on_result(message.result)

    def on_forwarded_proposal(self, connection: Connection, message: ForwardedProposal) -> None:
        """Handle a proposal from another node. It is not forwarded again, which could form a loop."""
        if self._host.raft.is_leader:
            self._host.propose(
                message.kind,
                message.data,
                lambda result: send_result(connection, message.request_id, result),
            )
        else:
            send_result(connection, message.request_id, None)

    def on_leader_change(self) -> None:
        """End all forwarded proposals as unknown; callers may safely repeat them."""
        forwarded, self.forwarded = self.forwarded, {}
        self.unapplied.clear()
        for pending in forwarded.values():
            pending.on_result(None)

    def expire(self, now: float) -> None:
        """Abandon proposals that have waited for too long."""
        oldest = now - PROPOSAL_TIMEOUT_S
        for index in [index for index, entry in self._pending.items() if entry.since < oldest]:
            self._pending.pop(index).finish(None)
        for request_id in [number for number, row in self.forwarded.items() if row.since < oldest]:
            self.forwarded.pop(request_id).on_result(None)

    def count(self) -> int:
        """The number of pending proposals."""
        return len(self._pending) + len(self.forwarded)


def send_result(connection: Connection, request_id: int, result: tuple[Any, ...] | None) -> None:
    """Answer a forwarded proposal or fetch."""
    if connection.up:
        connection.send(encode_result(request_id, result), 0)
