"""One member of a Raft group: the interface of the consensus core."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, ClassVar

from minthitch.mesh.raft.actions import Action, PersistedState, Restore, Timing
from minthitch.mesh.raft.election import Election
from minthitch.mesh.raft.follower import Follower
from minthitch.mesh.raft.leader import Leader
from minthitch.mesh.raft.leadership_transfer import LeadershipTransfer
from minthitch.mesh.raft.log import DATA, Log, Snapshot
from minthitch.mesh.raft.member import Member, Role
from minthitch.mesh.raft.messages import (
    AppendEntries,
    AppendEntriesResponse,
    ForwardedJoin,
    InstallSnapshot,
    InstallSnapshotResponse,
    Message,
    PreVote,
    PreVoteResponse,
    RequestVote,
    RequestVoteResponse,
    ShutdownNotice,
    TimeoutNow,
)
from minthitch.mesh.raft.persistence import Persistence
from minthitch.mesh.raft.placement import Location
from minthitch.mesh.raft.reconfiguration import GroupPolicy, Reconfiguration
from minthitch.mesh.raft.shutdown import GracefulShutdown
from minthitch.mesh.raft.shutdown_state import ShutdownState

Handler = Callable[[float, str, Any], None]


class RaftNode:
    """A member of the group, with pre-vote, check-quorum, leader lease, learners and leadership transfer.

    It does no I/O and reads no clock. Time is passed in as seconds of a monotonic clock, randomness as a
    seed. Each method that handles an event returns the actions to carry out, in order. What a message
    asserts (a vote, a stored entry) is durable before the message is sent.
    """

    # Classes of the parts of the algorithm. Tests replace them to inject faults.
    follower_type: ClassVar[type[Follower]] = Follower
    leader_type: ClassVar[type[Leader]] = Leader
    election_type: ClassVar[type[Election]] = Election
    transfer_type: ClassVar[type[LeadershipTransfer]] = LeadershipTransfer
    shutdown_type: ClassVar[type[GracefulShutdown]] = GracefulShutdown
    reconfiguration_type: ClassVar[type[Reconfiguration]] = Reconfiguration

    def __init__(
        self,
        name: str,
        persisted: PersistedState | None,
        founders: tuple[str, ...],
        timing: Timing,
        seed: int,
        now: float,
        policy: GroupPolicy | None = None,
    ) -> None:
        """Start a member.

        Args:
            name: `address#incarnation`; a machine that lost its disk takes a new incarnation.
            persisted: the state read from its disk; None at the first start.
            founders: names of the initial voters at the first start of a group; otherwise empty.
            timing: heartbeat interval and election timeout.
            seed: random seed of the election timeouts.
            now: seconds of the monotonic clock.
            policy: group size, and when a voter is replaced.
        """
        self._member = Member(name, persisted, founders, timing, seed)
        self._shutdown_state = ShutdownState()
        self.persistence = Persistence(self._member)
        self.follower = self.follower_type(self._member, self.persistence, self._shutdown_state, now)
        self.leader_state = self.leader_type(self._member, now)
        self.transfer = self.transfer_type(self._member, self.leader_state, self._shutdown_state)
        self.reconfiguration = self.reconfiguration_type(
            self._member, self.leader_state, self.transfer, policy or GroupPolicy()
        )
        self.election = self.election_type(
            self._member,
            self.persistence,
            self.follower,
            self.leader_state,
            self.reconfiguration,
            self._shutdown_state,
        )
        self._shutdown = self.shutdown_type(
            self._member, self.leader_state, self.transfer, self._shutdown_state, now
        )
        self._handlers = self._message_handlers()
        self._member.election_timer.reset(now)
        self._member.update_role(now)
        if persisted is not None and persisted.snapshot.index:
            self._member.actions.append(Restore(persisted.snapshot.index, persisted.snapshot.data))

    def _message_handlers(self) -> dict[type[Message], Handler]:
        return {
            PreVote: self.election.on_pre_vote,
            PreVoteResponse: self.election.on_pre_vote_response,
            RequestVote: self.election.on_request_vote,
            RequestVoteResponse: self.election.on_request_vote_response,
            TimeoutNow: self.election.on_timeout_now,
            AppendEntries: self.follower.on_append_entries,
            InstallSnapshot: self.follower.on_install_snapshot,
            AppendEntriesResponse: self.leader_state.on_append_response,
            InstallSnapshotResponse: self.leader_state.on_snapshot_response,
            ForwardedJoin: self.reconfiguration.on_forwarded_join,
            ShutdownNotice: self._shutdown.on_notice,
        }

    # State ----------------------------------------------------------------------------------------

    @property
    def name(self) -> str:
        """This member's name, `address#incarnation`."""
        return self._member.name

    @property
    def timing(self) -> Timing:
        """Heartbeat interval and election timeout."""
        return self._member.timing

    @property
    def role(self) -> Role:
        """This member's current role."""
        return self._member.role

    @property
    def is_leader(self) -> bool:
        """Whether this member is the leader of its term. A later term may have another: see `has_lease`."""
        return self._member.is_leader

    @property
    def leader(self) -> str | None:
        """The leader's name; None: unknown."""
        return self._member.leader

    @property
    def term(self) -> int:
        """The current term."""
        return self._member.term

    @property
    def voted_for(self) -> str:
        """The member that got this member's vote in the current term; empty: none."""
        return self._member.voted_for

    @property
    def log(self) -> Log:
        """The replicated log."""
        return self._member.log

    @property
    def last_index(self) -> int:
        """The index of the last entry."""
        return self._member.log.last_index

    @property
    def voters(self) -> tuple[str, ...]:
        """The newest voters, committed or not."""
        return self._member.log.voters

    @property
    def commit_index(self) -> int:
        """Last index known to be committed."""
        return self._member.commit_index

    @property
    def last_applied(self) -> int:
        """Last index passed to the caller by `Apply` or `Restore`."""
        return self._member.last_applied

    @property
    def disk_healthy(self) -> bool:
        """Whether the disk works, as last reported by the caller."""
        return self._member.disk_healthy

    @property
    def locations(self) -> dict[str, Location]:
        """Zone and region of each address; the caller adds them as it learns them."""
        return self.reconfiguration.locations

    @property
    def has_committed_in_term(self) -> bool:
        """Whether this member leads and has committed in its term, so that it knows all committed entries."""
        return self.is_leader and self.commit_index >= self.leader_state.noop_index

    @property
    def is_shutting_down(self) -> bool:
        """Whether `begin_shutdown` was called."""
        return self._shutdown_state.started_at is not None

    def in_contact_with_quorum(self, now: float) -> bool:
        """Whether this member leads a responsive majority, or has recently heard from such a leader."""
        if self.is_leader:
            return self.leader_state.in_contact_with_quorum(now)
        return self.follower.in_contact_with_quorum(now)

    def has_lease(self, now: float) -> bool:
        """Whether this member is surely the only leader and may serve reads alone (dissertation, 6.4.1)."""
        return self.is_leader and not self.transfer.successor_notified and self.leader_state.has_lease(now)

    # Events ---------------------------------------------------------------------------------------

    def tick(self, now: float) -> list[Action]:
        """Handle timeouts. Call it about every 20 ms."""
        if self.is_leader:
            self._tick_leader(now)
        else:
            self._shutdown.tick_follower(now)
            self.election.tick(now)
        return self._finish()

    def _tick_leader(self, now: float) -> None:
        if self.leader_state.has_lost_quorum(now) or self.transfer.continue_transfer(now):
            self._member.become_follower(now, self.term, None)
            return
        self.leader_state.tick(now)
        self.reconfiguration.tick(now)

    def receive(self, now: float, source: str, message: Message) -> list[Action]:
        """Handle a message from `source`."""
        handler = self._handlers.get(type(message))
        if handler is not None and source != self.name:
            handler(now, source, message)
        return self._finish()

    def propose(self, now: float, data: bytes) -> tuple[int, int] | None:
        """Append a command as leader.

        The next `drain` returns its actions.

        Returns:
            Index and term of its entry, which is committed only if an entry of that term is applied at that
            index. None if this member does not lead or is transferring leadership.
        """
        if not self.is_leader or self.transfer.started_at is not None:
            return None
        entry = self._member.append(DATA, data)
        self.leader_state.replicate_to_all(now)
        self.persistence.flush()
        return entry.index, entry.term

    def drain(self) -> list[Action]:
        """Return the pending actions and clear them."""
        actions = self._member.actions
        self._member.actions = []
        return actions

    def persisted(self, now: float, write_id: int) -> list[Action]:
        """Handle completion of a write: its content is durable."""
        if self.persistence.write_finished(write_id):
            self.election.on_write_finished(now, write_id)
            if self.is_leader:
                self.leader_state.update_commit_index(now)
            elif self.follower.acknowledgement_due:
                self.follower.acknowledge()
        return self._finish()

    def set_disk_health(self, now: float, healthy: bool) -> list[Action]:
        """Handle a change of disk health: the disk hangs or refuses writes, or works again."""
        self.transfer.on_disk_health(now, healthy)
        return self._finish()

    def begin_shutdown(self, now: float) -> list[Action]:
        """Start a graceful shutdown. Keep passing in events until `may_end` returns True."""
        self._shutdown.begin(now)
        return self._finish()

    def may_end(self, now: float) -> bool:
        """Whether the process may exit after `begin_shutdown` without losing data only this member has."""
        return self._shutdown.may_end(now)

    def compact(self, index: int, data: bytes) -> list[Action]:
        """Replace the log up to the applied `index` with a snapshot of the state machine."""
        log = self._member.log
        if log.snapshot.index < index <= self.last_applied:
            log.compact(Snapshot(index, log.term_at(index), log.voters_at(index), data))
            self.persistence.flush()
        return self.drain()

    def add_learner(self, now: float, name: str) -> list[Action]:
        """`name` requests to join: as leader, replicate to it, and make it a voter once one is needed."""
        self.reconfiguration.add_learner(now, name)
        return self._finish()

    def _finish(self) -> list[Action]:
        self.persistence.flush()
        return self.drain()
