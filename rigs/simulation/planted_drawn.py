"""Planted faults that drawn days must find: `rigs.simulation.play`."""

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
from minthitch.mesh.sidecar.keys import IdempotencyKeys
from minthitch.mesh.sidecar.links import GRANTED, ControlLinks
from minthitch.mesh.transport import ops
from rigs.simulation import mesh
from rigs.simulation.disk import SimStore, SimWriter
from rigs.simulation.mesh import SLACK

Patch = Any  # a patch of unittest.mock


class Forgetful(RaftNode):
    """Votes for whoever asks, as often as it is asked."""

    def receive(self, now: float, source: str, message: Message) -> list[Action]:
        if isinstance(message, RequestVote) and message.term == self.term and not self.is_leader:
            self._member.voted_for = ""
        return super().receive(now, source, message)


class CountingLeader(Leader):
    """Counts itself before its own disk has the entry."""

    def update_commit_index(self, now: float) -> None:
        log = self._member.log
        durable, log.durable = log.durable, log.last_index
        try:
            super().update_commit_index(now)
        finally:
            log.durable = durable


class Counting(RaftNode):
    leader_type = CountingLeader


def _hasty(server: ControlServer, kind: int, data: bytes, done: Any) -> None:
    if kind == CONFIG and server.raft.is_leader:
        _PROPOSE(server, kind, data, lambda result: None)
        done((200, "", True))
    else:
        _PROPOSE(server, kind, data, done)


_PROPOSE = ControlServer.propose


def _unsynced(writer: SimWriter, persist: Any) -> None:
    _PUT(writer, persist)
    writer.loop.after(0.0, writer.machine, writer.done, persist.write_id)


_PUT = SimWriter.submit


def _same_name(store: SimStore, incarnation: str) -> None:
    """What lost its disk comes back as a founder that has voted for nobody."""
    _BEGIN(store, "0")


_BEGIN = SimStore.initialize


def _dump(state: StateMachine) -> bytes:
    """Without the changes of the last entries."""
    short = StateMachine()
    short.restore(_DUMP(state))
    rows = short.items._rows
    for key in [key for key, row in rows.items() if row.index > state.items.index - 5]:
        del rows[key]
    return _DUMP(short)


_DUMP = StateMachine.snapshot


def _rotate(server: ControlServer) -> None:
    """Whoever leads lets claims grow old, though it doesn't know when that was done last."""
    raft = server.raft
    if raft.has_committed_in_term and server.claim_expiry.clock.term != raft.term:
        server.propose(ROTATE, b"", lambda result: None)
    _ROTATE(server)


_ROTATE = ControlServer._expire_claims


def _unclaimed(controls: ControlLinks, body: tuple[Any, ...], deadline: float, done: Any) -> None:
    controls.loop.call_soon(done, GRANTED, body[1], body[2], body[3])


def _older(replica: Replica, delta: bytes) -> bool:
    new = _DELTA_DECODER.decode(delta)
    for row in new.rows:
        replica._rows[row.section, row.name] = row
    replica.index = new.index
    return True


def _any_life(admission: Admission, origin: Any, reply: Any, message: ops.Message) -> None:
    own, admission.server_id = admission.server_id, message[2]
    try:
        _CALL(admission, origin, reply, message)
    finally:
        admission.server_id = own


_CALL = Admission.call


def _undrained(admission: Admission, state: str) -> None:
    if state == "up":
        _BE(admission, state)


_BE = Admission._set_state


def _asked_free(keys: IdempotencyKeys, ident: int, claim: bytes, reply: Any) -> None:
    """What this life knows nothing of is said to be free."""
    if claim in keys.operations.by_claim_id:
        _ASKED(keys, ident, claim, reply)
    else:
        reply((ops.CLAIM_STATE, ident, "free", 0, (), b""))


_ASKED = IdempotencyKeys.on_query


PLANTED: dict[str, Callable[[], list[Patch]]] = {
    "configuration acknowledged before it is agreed": lambda: [
        mock.patch.object(ControlServer, "propose", _hasty)
    ],
    "agreed before it is synced": lambda: [mock.patch.object(SimWriter, "submit", _unsynced)],
    "a commit counted before its sync": lambda: [mock.patch.object(consensus_module, "RaftNode", Counting)],
    "an image without the last entries": lambda: [mock.patch.object(StateMachine, "snapshot", _dump)],
    "a version that goes back": lambda: [mock.patch.object(Items, "_wins", lambda *args: True)],
    "a wiped disk that keeps its vote": lambda: [mock.patch.object(SimStore, "initialize", _same_name)],
    "a new leader that rotates too soon": lambda: [
        mock.patch.object(ControlServer, "_expire_claims", _rotate)
    ],
    "a vote forgotten": lambda: [mock.patch.object(consensus_module, "RaftNode", Forgetful)],
    "a key freed that may have run": lambda: [
        mock.patch.object(OperationTable, "record_unknown", OperationTable.record_not_run)
    ],
    "a claim of a life before taken for free": lambda: [
        mock.patch.object(IdempotencyKeys, "on_query", _asked_free)
    ],
    "keys not claimed": lambda: [mock.patch.object(ControlLinks, "claim", _unclaimed)],
    "claims forgotten too soon": lambda: [
        mock.patch.object(mesh, "ROTATE_SLACK", 1.0 - mesh.KEY_WINDOW),
        mock.patch.object(StateMachine, "longest_route_timeout", lambda *_: -mesh.KEY_WINDOW),
    ],
    "a budget without bound": lambda: [
        mock.patch.object(Budget, "spend", lambda *args: Charge(0, True)),
        mock.patch.object(Budget, "remaining", lambda *args: 9),
    ],
    "a replica that takes older state": lambda: [mock.patch.object(Replica, "merge", _older)],
    "a gate that passes calls of another life": lambda: [mock.patch.object(Admission, "call", _any_life)],
    "a gate that is deaf to draining": lambda: [mock.patch.object(Admission, "_set_state", _undrained)],
    "slack without a lease": lambda: [mock.patch.object(LeaseClient, "amount", lambda *args: int(SLACK))],
}
