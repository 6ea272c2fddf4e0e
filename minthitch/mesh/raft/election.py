"""Elections: pre-vote, candidacy, and the answers to candidates (dissertation, 3.4 and 9.6)."""

from __future__ import annotations

from enum import Enum

from minthitch.mesh.raft.follower import Follower
from minthitch.mesh.raft.leader import Leader
from minthitch.mesh.raft.member import Member, Role
from minthitch.mesh.raft.messages import (
    ForwardedJoin,
    PreVote,
    PreVoteResponse,
    RequestVote,
    RequestVoteResponse,
    TimeoutNow,
)
from minthitch.mesh.raft.persistence import HardState, Persistence
from minthitch.mesh.raft.reconfiguration import Reconfiguration
from minthitch.mesh.raft.shutdown_state import ShutdownState


class Phase(Enum):
    """How far a candidate is."""

    NONE = "no candidate"
    PRE_VOTE = "asking whether an election could be won"
    PERSISTING = "the vote for itself is not durable yet"
    VOTE = "asking for votes"


class Election:
    """What a member does that does not lead, once it does not hear from a leader."""

    def __init__(
        self,
        member: Member,
        persistence: Persistence,
        follower: Follower,
        leader: Leader,
        reconfiguration: Reconfiguration,
        shutdown: ShutdownState,
    ) -> None:
        self._member = member
        self._persistence = persistence
        self._follower = follower
        self._leader = leader
        self._reconfiguration = reconfiguration
        self._shutdown = shutdown
        self.phase = Phase.NONE
        self._votes: set[str] = set()
        self._vote_write_id = 0  # of the write with the vote for itself
        self._leadership_transfer = False  # asked to campaign by the leader: voters ignore its lease
        self._next_request_at = 0.0
        member.step_down_listeners.append(self._reset)

    def _reset(self, _term_has_risen: bool) -> None:
        self.phase = Phase.NONE

    def hears_live_leader(self, now: float) -> bool:
        """A leader was heard within the last election timeout: vote for no other (check-quorum).

        The leader's lease rests on this: so many voters reject candidates until the timeout has passed.
        """
        timeout = self._member.timing.election_timeout
        if self._member.is_leader:
            return now - self._leader.quorum_last_response_at(now) <= timeout
        return now - self._follower.last_contact < timeout

    def tick(self, now: float) -> None:
        """Campaign once the election timeout is over; repeat requests for votes, as messages are lost."""
        member = self._member
        if not member.election_timer.expired(now):
            if member.role is Role.CANDIDATE and now >= self._next_request_at:
                self._request_votes(now)
            return
        member.leader = None
        if self._may_campaign():
            self._start_pre_vote(now)
        else:
            member.election_timer.reset(now)

    def _may_campaign(self) -> bool:
        # A member that can't store its vote must neither delay the others nor raise its term again and again.
        member = self._member
        return (
            member.role is not Role.LEARNER
            and member.disk_healthy
            and self._shutdown.started_at is None
            and self.phase is not Phase.PERSISTING
        )

    def _start_pre_vote(self, now: float) -> None:
        """Ask whether an election could be won. The term is raised only if so."""
        member = self._member
        member.role = Role.CANDIDATE
        self.phase = Phase.PRE_VOTE
        self._votes = {member.name}
        member.election_timer.reset(now)
        self._request_votes(now)
        self._count_votes(now)

    def _start_candidacy(self, now: float, *, leadership_transfer: bool) -> None:
        """Vote for itself in a new term. No other member learns of it before that is durable.

        Otherwise a restart could forget the vote, with a shorter log, and take the votes given to the
        longer one.
        """
        member = self._member
        member.role = Role.CANDIDATE
        member.term += 1
        member.voted_for = member.name
        member.leader = None
        self.phase = Phase.PERSISTING
        self._votes = set()
        self._follower.reset_match()
        self._leadership_transfer = leadership_transfer
        member.election_timer.reset(now)
        self._vote_write_id = self._persistence.write_id + 1
        self._persistence.flush()

    def on_write_finished(self, now: float, write_id: int) -> None:
        """Ask the others for votes once the vote for itself is durable."""
        own_vote = HardState(self._member.term, self._member.name)
        vote_is_durable = write_id >= self._vote_write_id and self._persistence.durable == own_vote
        if self.phase is Phase.PERSISTING and vote_is_durable:
            self.phase = Phase.VOTE
            self._votes = {self._member.name}
            self._request_votes(now)
            self._count_votes(now)

    def _request_votes(self, now: float) -> None:
        """Ask the voters that have not agreed yet."""
        member = self._member
        self._next_request_at = now + member.timing.heartbeat
        last_index, last_term = member.log.last_index, member.log.last_term
        for voter in member.log.voters:
            if voter in self._votes:
                continue
            if self.phase is Phase.PRE_VOTE:
                member.send(voter, PreVote(member.term + 1, last_index, last_term))
            elif self.phase is Phase.VOTE:
                request = RequestVote(member.term, last_index, last_term, self._leadership_transfer)
                member.send(voter, request)

    def _count_votes(self, now: float) -> None:
        voters = self._member.log.voters
        if 2 * sum(voter in self._votes for voter in voters) <= len(voters):
            return
        if self.phase is Phase.PRE_VOTE:
            self._start_candidacy(now, leadership_transfer=False)
        elif self.phase is Phase.VOTE:
            self.phase = Phase.NONE
            self._leader.start(now)

    # Messages -------------------------------------------------------------------------------------

    def on_pre_vote(self, now: float, source: str, message: PreVote) -> None:
        """Agree where the sender could win and no leader is alive."""
        member = self._member
        source_votes = source in member.log.voters
        if member.is_leader and not source_votes:
            # The sender was replaced while it was away: the log will show it that.
            self._reconfiguration.add_learner(now, source)
            return
        leader_is_alive = self.hears_live_leader(now)
        if leader_is_alive and member.leader is not None and not source_votes:
            # The sender's voters may not include the leader.
            member.send(member.leader, ForwardedJoin(source))
        granted = (
            message.term > member.term
            and not leader_is_alive
            and member.is_up_to_date(message.last_log_index, message.last_log_term)
        )
        member.send(source, PreVoteResponse(message.term, granted, member.term))

    def on_pre_vote_response(self, now: float, source: str, message: PreVoteResponse) -> None:
        """Count the answer."""
        member = self._member
        if not message.granted and message.current_term > member.term and not member.is_leader:
            member.become_follower(now, message.current_term, None)
        elif message.granted and self.phase is Phase.PRE_VOTE and message.term == member.term + 1:
            self._votes.add(source)
            self._count_votes(now)

    def on_request_vote(self, now: float, source: str, message: RequestVote) -> None:
        """Vote for the sender, unless this member voted for another in that term. Sent once durable."""
        member = self._member
        lease_may_be_valid = not message.leadership_transfer and self.hears_live_leader(now)
        if message.term < member.term or lease_may_be_valid:
            member.send(source, RequestVoteResponse(member.term, False))
            return
        if message.term > member.term:
            member.become_follower(now, message.term, None)
        may_vote = member.voted_for in ("", source) and member.role in (Role.FOLLOWER, Role.LEARNER)
        if may_vote and member.is_up_to_date(message.last_log_index, message.last_log_term):
            member.voted_for = source
            member.election_timer.reset(now)
            self._persistence.send_when_durable(source, RequestVoteResponse(message.term, True))
        else:
            member.send(source, RequestVoteResponse(member.term, False))

    def on_request_vote_response(self, now: float, source: str, message: RequestVoteResponse) -> None:
        """Count the vote."""
        member = self._member
        if message.term > member.term:
            member.become_follower(now, message.term, None)
        elif message.granted and self.phase is Phase.VOTE and message.term == member.term:
            self._votes.add(source)
            self._count_votes(now)

    def on_timeout_now(self, now: float, source: str, message: TimeoutNow) -> None:
        """Campaign at once, as the leader hands over."""
        member = self._member
        able = member.role is Role.FOLLOWER and member.disk_healthy and self._shutdown.started_at is None
        if able and message.term == member.term and source == member.leader:
            self._start_candidacy(now, leadership_transfer=True)
