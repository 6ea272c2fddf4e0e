"""Faults of programming put into the real code, each of which the model must find."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import ExitStack, contextmanager
from typing import Any
from unittest import mock

from msgspec import structs

from minthitch.mesh.configuration.items import _DELTA_DECODER, Items, Replica
from minthitch.mesh.control import consensus as consensus_module
from minthitch.mesh.control.proposals import Proposals
from minthitch.mesh.control.server import ControlServer
from minthitch.mesh.control.state_machine import CONFIG, ROTATE, StateMachine
from minthitch.mesh.idempotency.operations import OperationTable
from minthitch.mesh.limits.budget import Budget, Charge
from minthitch.mesh.limits.lease import LeaseClient
from minthitch.mesh.raft.actions import Action
from minthitch.mesh.raft.leader import Leader
from minthitch.mesh.raft.messages import AppendEntriesResponse, Message, PreVote, RequestVote
from minthitch.mesh.raft.node import RaftNode
from minthitch.mesh.sidecar import shutdown_schedule
from minthitch.mesh.sidecar.admission import Admission
from minthitch.mesh.sidecar.copies import Copies
from minthitch.mesh.sidecar.front import Front
from minthitch.mesh.sidecar.keys import Keys
from minthitch.mesh.sidecar.links import GRANTED, ControlLinks
from minthitch.mesh.sidecar.trip import Attempt, Trip
from minthitch.mesh.transport import ops
from minthitch.mesh.transport.control_messages import ForwardedResult
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
    own, admission.life = admission.life, message[2]
    try:
        _CALL(admission, origin, reply, message)
    finally:
        admission.life = own


_CALL = Admission.call


def _undrained(admission: Admission, state: str) -> None:
    if state == "up":
        _BE(admission, state)


_BE = Admission._be


def _asked_free(keys: Keys, ident: int, claim: bytes, reply: Any) -> None:
    """What this life knows nothing of is said to be free."""
    if claim in keys.operations.by_claim_id:
        _ASKED(keys, ident, claim, reply)
    else:
        reply((ops.TOLD, ident, "free", 0, (), b""))


_ASKED = Keys.asked


def _without_limit(shut_down: object, latest: float) -> None:
    """What was accepted before SIGTERM keeps its own deadline."""


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
    "a claim of a life before taken for free": lambda: [mock.patch.object(Keys, "asked", _asked_free)],
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
    "a gate that is deaf to draining": lambda: [mock.patch.object(Admission, "_be", _undrained)],
    "slack without a lease": lambda: [mock.patch.object(LeaseClient, "amount", lambda *args: int(SLACK))],
}


# Found by the schedules of `rigs.simulation.points` ---------------------------------------------------


# These stand on what the core shows to its shell, not on the names of its steps: a step that is renamed
# would leave a planted fault without effect.


class Unleased(RaftNode):
    """A leader that takes all voters to be in touch for ever, and so its lease to last."""

    def tick(self, now: float) -> list[Action]:
        for progress in self.leader_state.peers.values():
            progress.last_response_at = progress.acknowledged_sent_at = now
        return super().tick(now)

    def has_lease(self, now: float) -> bool:
        return self.is_leader


class Presuming(RaftNode):
    """Counts what was sent to a voter as held by it."""

    def persisted(self, now: float, write_id: int) -> list[Action]:
        for progress in self.leader_state.peers.values():
            progress.match_index = max(progress.match_index, progress.next_index - 1)
        return super().persisted(now, write_id)


class Credulous(RaftNode):
    """Votes for whoever asks first, however short its log."""

    def receive(self, now: float, source: str, message: Message) -> list[Action]:
        if isinstance(message, (PreVote, RequestVote)):
            message = structs.replace(message, last_log_index=1 << 40, last_log_term=1 << 40)
        return super().receive(now, source, message)


class Clinging(RaftNode):
    """Never gives the seat of a voter that is gone to another machine."""

    def __init__(self, *args: Any, **more: Any) -> None:
        super().__init__(*args, **more)
        assert self.reconfiguration.policy.unresponsive_after_s > 0.0
        self.reconfiguration.policy.unresponsive_after_s = float("inf")


class Impatient(RaftNode):
    """Does not wait for voters that are silent: what it holds alone counts as agreed."""

    def persisted(self, now: float, write_id: int) -> list[Action]:
        self._wave_through(now)
        return super().persisted(now, write_id)

    def tick(self, now: float) -> list[Action]:
        self._wave_through(now)
        return super().tick(now)

    def _wave_through(self, now: float) -> None:
        for progress in self.leader_state.peers.values():
            if now - progress.last_response_at > 0.5 * self.timing.election_timeout:
                progress.match_index = max(progress.match_index, self.log.durable)
                progress.acknowledged_sent_at = now


class Trusting(RaftNode):
    """Takes any good answer of a voter for one to all that the leader holds."""

    def receive(self, now: float, source: str, message: Message) -> list[Action]:
        if isinstance(message, AppendEntriesResponse) and message.success:
            message = structs.replace(message, index=self.last_index)
        return super().receive(now, source, message)


def _fetch_anywhere(server: ControlServer, done: Any) -> None:
    """Every node answers reads from what it holds itself."""
    done((server.state.items.fetch(), server.state.items.index))


def _ready_when_fed(front: Front) -> bool:
    """With whatever configuration it has, from whomever."""
    return front.table is not None and not front.leaving


def _any_result(proposals: Proposals, message: ForwardedResult) -> None:
    """Takes the answer for the oldest that waits."""
    oldest = next(iter(proposals.forwarded), message.request_id)
    _ON_RESULT(proposals, structs.replace(message, request_id=oldest))


_ON_RESULT = Proposals.on_forwarded_result


def _refuses_equal(items: Items, row: Any) -> bool:
    """Takes the same order for a rival of itself."""
    held = items._rows.get((row.section, row.name))
    return held is not None and row.version == held.version


def _short_log(store: SimStore) -> Any:
    """What a start finds lacks its last entries."""
    saved = store.disk.saved
    return None if saved is None else structs.replace(saved, entries=saved.entries[:-3])


def _any_answer(copies: Copies, message: ops.Message) -> None:
    """Takes a server's answer for that of the oldest call that is out."""
    if message[0] == ops.ANSWER and copies.attempts:
        message = (message[0], next(iter(copies.attempts)), *message[2:])
    _ANSWER(copies, message)


_ANSWER = Copies.answer


def _core(make: type[RaftNode]) -> Callable[[], list[Patch]]:
    return lambda: [mock.patch.object(consensus_module, "RaftNode", make)]


CUT_OFF, ONE_ORDER = "cut off for twenty seconds", "one number, one order"
SECOND_LOSS, MANY_CHANGES = "second loss after a repair", "hundreds of changes"
RIGHT_CALLER = "wrong caller, sent twice"

AT_POINTS: dict[str, dict[str, Callable[[], list[Patch]]]] = {
    CUT_OFF: {
        "a lease that never ends": _core(Unleased),
        "a majority counted without contact": _core(Presuming),
        "a member that leads with old state": _core(Credulous),
        "reads answered by any node": lambda: [mock.patch.object(ControlServer, "fetch", _fetch_anywhere)],
        "ready with what a peer fed it": lambda: [mock.patch.object(Front, "ready", _ready_when_fed)],
    },
    ONE_ORDER: {
        "both orders confirmed": lambda: [mock.patch.object(Items, "_conflicts", lambda *args: False)],
        "a taken order refused": lambda: [mock.patch.object(Items, "_conflicts", _refuses_equal)],
        "a result without its number checked": lambda: [
            mock.patch.object(Proposals, "on_forwarded_result", _any_result)
        ],
    },
    SECOND_LOSS: {
        "a seat kept too long": _core(Clinging),
        "a sole copy let go": _core(Impatient),
        "copies counted that are not there": _core(Trusting),
        "a wiped disk that keeps its vote at a second loss": PLANTED["a wiped disk that keeps its vote"],
    },
    MANY_CHANGES: {
        "a snapshot without its last entries": PLANTED["an image without the last entries"],
        "a restart that forgets its last entries": lambda: [mock.patch.object(SimStore, "load", _short_log)],
    },
    RIGHT_CALLER: {
        "an answer without its number checked": lambda: [mock.patch.object(Copies, "answer", _any_answer)],
        "never left, claimed after a write": lambda: [mock.patch.object(Attempt, "left", False)],
        "a key freed that was sent": PLANTED["a key freed that may have run"],
    },
}


# Found by the days of `rigs.simulation.planned_work`.
IN_PLANNED_WORK: dict[str, Callable[[], list[Patch]]] = {
    "open requests keep their deadline in a shutdown": lambda: [
        mock.patch.object(Trip, "limit_deadline", _without_limit)
    ],
    "requests accepted until the end": lambda: [
        mock.patch.object(shutdown_schedule, "MAX_ACCEPT_S", mesh.GRACE),
        mock.patch.object(shutdown_schedule, "ACCEPT_FRACTION", 0.85),
    ],
    "open requests answered too soon": lambda: [
        mock.patch.object(shutdown_schedule, "ANSWER_MARGIN_S", mesh.GRACE),
        mock.patch.object(shutdown_schedule, "CUT_OFF_FRACTION", 0.5),
    ],
}


@contextmanager
def planted(name: str) -> Iterator[None]:
    known = PLANTED | IN_PLANNED_WORK
    for plants in AT_POINTS.values():
        known |= plants
    with ExitStack() as stack:
        for patch in known[name]():
            stack.enter_context(patch)
        yield
