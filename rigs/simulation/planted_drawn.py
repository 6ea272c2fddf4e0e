"""Planted programming errors that the drawn days of `rigs.simulation.play` must detect."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any
from unittest import mock

from minthitch.mesh.configuration.items import _DELTA_DECODER, Items, Replica
from minthitch.mesh.control import consensus as consensus_module
from minthitch.mesh.control.server import ControlServer
from minthitch.mesh.control.state_machine import CONFIG, ROTATE, StateMachine
from minthitch.mesh.idempotency.operations import OperationTable
from minthitch.mesh.limits.budget import Budget, Charge
from minthitch.mesh.limits.lease import LeaseClient
from minthitch.mesh.raft.actions import Action
from minthitch.mesh.raft.leader import Leader
from minthitch.mesh.raft.messages import Message, RequestVote
from minthitch.mesh.raft.node import RaftNode
from minthitch.mesh.sidecar.admission import Admission
from minthitch.mesh.sidecar.control_links import GRANTED, ControlLinks
from minthitch.mesh.sidecar.keys import IdempotencyKeys
from minthitch.mesh.transport import ops
from rigs.simulation import mesh
from rigs.simulation.disk import SimStore, SimWriter
from rigs.simulation.mesh import RETRY_SLACK

Patch = Any  # a patch of unittest.mock


class RevotingNode(RaftNode):
    """Forgets its vote: votes for every candidate of a term."""

    def receive(self, now: float, source: str, message: Message) -> list[Action]:
        if isinstance(message, RequestVote) and message.term == self.term and not self.is_leader:
            self._member.voted_for = ""
        return super().receive(now, source, message)


class UnsyncedCountingLeader(Leader):
    """Counts its own entries for the commit before its disk has them."""

    def update_commit_index(self, now: float) -> None:
        log = self._member.log
        durable, log.durable = log.durable, log.last_index
        try:
            super().update_commit_index(now)
        finally:
            log.durable = durable


class UnsyncedCountingNode(RaftNode):
    leader_type = UnsyncedCountingLeader


def _acknowledge_before_commit(server: ControlServer, kind: int, data: bytes, done: Any) -> None:
    if kind == CONFIG and server.raft.is_leader:
        _PROPOSE(server, kind, data, lambda result: None)
        done((200, "", True))
    else:
        _PROPOSE(server, kind, data, done)


_PROPOSE = ControlServer.propose


def _report_synced_at_once(writer: SimWriter, persist: Any) -> None:
    _SUBMIT(writer, persist)
    writer.loop.after(0.0, writer.machine, writer.done, persist.write_id)


_SUBMIT = SimWriter.submit


def _initialize_as_founder(store: SimStore, incarnation: str) -> None:
    """A node that lost its disk returns as an initial member that has not voted."""
    _INITIALIZE(store, "0")


_INITIALIZE = SimStore.initialize


def _snapshot_without_last(state: StateMachine) -> bytes:
    """Omits the changes of the last entries from the snapshot."""
    short = StateMachine()
    short.restore(_SNAPSHOT(state))
    rows = short.items._rows
    for key in [key for key, row in rows.items() if row.index > state.items.index - 5]:
        del rows[key]
    return _SNAPSHOT(short)


_SNAPSHOT = StateMachine.snapshot


def _expire_too_soon(server: ControlServer) -> None:
    """Every leader expires claims at once, though it does not know when that was done last."""
    raft = server.raft
    if raft.has_committed_in_term and server.claim_expiry.clock.term != raft.term:
        server.propose(ROTATE, b"", lambda result: None)
    _EXPIRE_CLAIMS(server)


_EXPIRE_CLAIMS = ControlServer._expire_claims


def _grant_locally(controls: ControlLinks, body: tuple[Any, ...], deadline: float, done: Any) -> None:
    controls.loop.call_soon(done, GRANTED, body[1], body[2], body[3])


def _merge_any_version(replica: Replica, delta: bytes) -> bool:
    new = _DELTA_DECODER.decode(delta)
    for row in new.rows:
        replica._rows[row.section, row.name] = row
    replica.index = new.index
    return True


def _call_any_incarnation(admission: Admission, origin: Any, reply: Any, message: ops.Message) -> None:
    own, admission.server_id = admission.server_id, message[2]
    try:
        _CALL(admission, origin, reply, message)
    finally:
        admission.server_id = own


_CALL = Admission.call


def _ignore_draining(admission: Admission, state: str) -> None:
    if state == "up":
        _SET_STATE(admission, state)


_SET_STATE = Admission._set_state


def _unknown_is_free(keys: IdempotencyKeys, ident: int, claim: bytes, reply: Any) -> None:
    """Reports claims that this incarnation does not know as free."""
    if claim in keys.operations.by_claim_id:
        _ON_QUERY(keys, ident, claim, reply)
    else:
        reply((ops.CLAIM_STATE, ident, "free", 0, (), b""))


_ON_QUERY = IdempotencyKeys.on_query


PLANTED: dict[str, Callable[[], list[Patch]]] = {
    "configuration acknowledged before it is agreed": lambda: [
        mock.patch.object(ControlServer, "propose", _acknowledge_before_commit)
    ],
    "agreed before it is synced": lambda: [mock.patch.object(SimWriter, "submit", _report_synced_at_once)],
    "a commit counted before its sync": lambda: [
        mock.patch.object(consensus_module, "RaftNode", UnsyncedCountingNode)
    ],
    "an image without the last entries": lambda: [
        mock.patch.object(StateMachine, "snapshot", _snapshot_without_last)
    ],
    "a version that goes back": lambda: [mock.patch.object(Items, "_wins", lambda *args: True)],
    "a wiped disk that keeps its vote": lambda: [
        mock.patch.object(SimStore, "initialize", _initialize_as_founder)
    ],
    "a new leader that rotates too soon": lambda: [
        mock.patch.object(ControlServer, "_expire_claims", _expire_too_soon)
    ],
    "a vote forgotten": lambda: [mock.patch.object(consensus_module, "RaftNode", RevotingNode)],
    "a key freed that may have run": lambda: [
        mock.patch.object(OperationTable, "record_unknown", OperationTable.record_not_run)
    ],
    "a claim of a life before taken for free": lambda: [
        mock.patch.object(IdempotencyKeys, "on_query", _unknown_is_free)
    ],
    "keys not claimed": lambda: [mock.patch.object(ControlLinks, "claim", _grant_locally)],
    "claims forgotten too soon": lambda: [
        mock.patch.object(mesh, "CLAIM_MARGIN_S", 1.0 - mesh.KEY_WINDOW_S),
        mock.patch.object(StateMachine, "longest_route_timeout", lambda *_: -mesh.KEY_WINDOW_S),
    ],
    "a budget without bound": lambda: [
        mock.patch.object(Budget, "spend", lambda *args: Charge(0, True)),
        mock.patch.object(Budget, "remaining", lambda *args: 9),
    ],
    "a replica that takes older state": lambda: [mock.patch.object(Replica, "merge", _merge_any_version)],
    "a gate that passes calls of another life": lambda: [
        mock.patch.object(Admission, "call", _call_any_incarnation)
    ],
    "a gate that is deaf to draining": lambda: [mock.patch.object(Admission, "_set_state", _ignore_draining)],
    "slack without a lease": lambda: [
        mock.patch.object(LeaseClient, "amount", lambda *args: int(RETRY_SLACK))
    ],
}
