"""Planted programming errors that the schedules of `rigs.simulation.points` must detect.

They override the public interface of the Raft core, not its internal steps: if a step were renamed, an
override of it would have no effect.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any
from unittest import mock

from msgspec import structs

from minthitch.mesh.configuration.items import Items
from minthitch.mesh.control import consensus as consensus_module
from minthitch.mesh.control.proposals import Proposals
from minthitch.mesh.control.server import ControlServer
from minthitch.mesh.raft.actions import Action
from minthitch.mesh.raft.messages import AppendEntriesResponse, Message, PreVote, RequestVote
from minthitch.mesh.raft.node import RaftNode
from minthitch.mesh.sidecar.attempt_dispatcher import AttemptDispatcher
from minthitch.mesh.sidecar.exchange import Attempt
from minthitch.mesh.sidecar.sidecar import Sidecar
from minthitch.mesh.transport import ops
from minthitch.mesh.transport.control_messages import ForwardedResult
from rigs.simulation.disk import SimStore
from rigs.simulation.planted_drawn import PLANTED, Patch


class EndlessLeaseNode(RaftNode):
    """A leader that considers all voters in contact at any time, so that its lease never ends."""

    def tick(self, now: float) -> list[Action]:
        for progress in self.leader_state.peers.values():
            progress.last_response_at = progress.acknowledged_sent_at = now
        return super().tick(now)

    def has_lease(self, now: float) -> bool:
        return self.is_leader


class SentIsHeldNode(RaftNode):
    """Counts entries that were sent to a voter as stored by it."""

    def persisted(self, now: float, write_id: int) -> list[Action]:
        for progress in self.leader_state.peers.values():
            progress.match_index = max(progress.match_index, progress.next_index - 1)
        return super().persisted(now, write_id)


class VoteForAnyLogNode(RaftNode):
    """Votes for the first candidate, even if its log is out of date."""

    def receive(self, now: float, source: str, message: Message) -> list[Action]:
        if isinstance(message, (PreVote, RequestVote)):
            message = structs.replace(message, last_log_index=1 << 40, last_log_term=1 << 40)
        return super().receive(now, source, message)


class KeepsLostVoterNode(RaftNode):
    """Never replaces a voter that is gone."""

    def __init__(self, *args: Any, **more: Any) -> None:
        super().__init__(*args, **more)
        assert self.reconfiguration.policy.unresponsive_after_s > 0.0
        self.reconfiguration.policy.unresponsive_after_s = float("inf")


class SilentVotersAgreeNode(RaftNode):
    """Does not wait for silent voters: entries that only it has stored are committed."""

    def persisted(self, now: float, write_id: int) -> list[Action]:
        self._count_silent_voters(now)
        return super().persisted(now, write_id)

    def tick(self, now: float) -> list[Action]:
        self._count_silent_voters(now)
        return super().tick(now)

    def _count_silent_voters(self, now: float) -> None:
        for progress in self.leader_state.peers.values():
            if now - progress.last_response_at > 0.5 * self.timing.election_timeout:
                progress.match_index = max(progress.match_index, self.log.durable)
                progress.acknowledged_sent_at = now


class SuccessCoversAllNode(RaftNode):
    """Takes any successful response of a voter as an acknowledgement of the leader's whole log."""

    def receive(self, now: float, source: str, message: Message) -> list[Action]:
        if isinstance(message, AppendEntriesResponse) and message.success:
            message = structs.replace(message, index=self.last_index)
        return super().receive(now, source, message)


def _fetch_anywhere(server: ControlServer, done: Any) -> None:
    """Every node answers reads from its own state."""
    done((server.state.items.fetch(), server.state.items.index))


def _ready_when_fed(front: Sidecar) -> bool:
    """A sidecar is ready with any configuration from any source."""
    return front.table is not None and not front.leaving


def _result_for_oldest(proposals: Proposals, message: ForwardedResult) -> None:
    """Assigns a result to the oldest waiting call."""
    oldest = next(iter(proposals.forwarded), message.request_id)
    _ON_RESULT(proposals, structs.replace(message, request_id=oldest))


_ON_RESULT = Proposals.on_forwarded_result


def _conflicts_with_itself(items: Items, row: Any) -> bool:
    """Refuses a repeated order as a conflict with itself."""
    held = items._rows.get((row.section, row.name))
    return held is not None and row.version == held.version


def _load_without_last(store: SimStore) -> Any:
    """A restart loses the last log entries."""
    saved = store.disk.saved
    return None if saved is None else structs.replace(saved, entries=saved.entries[:-3])


def _answer_for_oldest(copies: AttemptDispatcher, message: ops.Message) -> None:
    """Assigns a server's answer to the oldest outstanding call."""
    if message[0] == ops.ANSWER and copies.attempts:
        message = (message[0], next(iter(copies.attempts)), *message[2:])
    _ANSWER(copies, message)


_ANSWER = AttemptDispatcher.handle_reply


def _replace_raft_node(make: type[RaftNode]) -> Callable[[], list[Patch]]:
    return lambda: [mock.patch.object(consensus_module, "RaftNode", make)]


CUT_OFF, ONE_ORDER = "cut off for twenty seconds", "one number, one order"
SECOND_LOSS, MANY_CHANGES = "second loss after a repair", "hundreds of changes"
RIGHT_CALLER = "wrong caller, sent twice"

AT_POINTS: dict[str, dict[str, Callable[[], list[Patch]]]] = {
    CUT_OFF: {
        "a lease that never ends": _replace_raft_node(EndlessLeaseNode),
        "a majority counted without contact": _replace_raft_node(SentIsHeldNode),
        "a member that leads with old state": _replace_raft_node(VoteForAnyLogNode),
        "reads answered by any node": lambda: [mock.patch.object(ControlServer, "fetch", _fetch_anywhere)],
        "ready with what a peer fed it": lambda: [mock.patch.object(Sidecar, "ready", _ready_when_fed)],
    },
    ONE_ORDER: {
        "both orders confirmed": lambda: [mock.patch.object(Items, "_conflicts", lambda *args: False)],
        "a taken order refused": lambda: [mock.patch.object(Items, "_conflicts", _conflicts_with_itself)],
        "a result without its number checked": lambda: [
            mock.patch.object(Proposals, "on_forwarded_result", _result_for_oldest)
        ],
    },
    SECOND_LOSS: {
        "a seat kept too long": _replace_raft_node(KeepsLostVoterNode),
        "a sole copy let go": _replace_raft_node(SilentVotersAgreeNode),
        "copies counted that are not there": _replace_raft_node(SuccessCoversAllNode),
        "a wiped disk that keeps its vote at a second loss": PLANTED["a wiped disk that keeps its vote"],
    },
    MANY_CHANGES: {
        "a snapshot without its last entries": PLANTED["an image without the last entries"],
        "a restart that forgets its last entries": lambda: [
            mock.patch.object(SimStore, "load", _load_without_last)
        ],
    },
    RIGHT_CALLER: {
        "an answer without its number checked": lambda: [
            mock.patch.object(AttemptDispatcher, "handle_reply", _answer_for_oldest)
        ],
        "never left, claimed after a write": lambda: [mock.patch.object(Attempt, "fully_sent", False)],
        "a key freed that was sent": PLANTED["a key freed that may have run"],
    },
}
