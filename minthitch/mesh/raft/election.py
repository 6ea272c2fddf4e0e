"""Elections: pre-vote, candidacy, and responses to candidates (dissertation, 3.4 and 9.6)."""

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
    """Stage of a candidacy."""

    NONE = "no candidate"
    PRE_VOTE = "asking whether an election could be won"
    PERSISTING = "the vote for itself is not durable yet"
    VOTE = "asking for votes"


class Election:
    """Starts an election when no leader is heard from, and responds to candidates."""

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
        self._vote_write_id = 0  # of the write that contains the vote for itself
        self._leadership_transfer = False  # campaign requested by the leader: voters ignore its lease
        self._next_request_at = 0.0
        member.step_down_listeners.append(self._reset)

    def _reset(self, _term_has_risen: bool) -> None:
        self.phase = Phase.NONE

    def hears_live_leader(self, now: float) -> bool:
        """Whether a leader was heard from within the election timeout; if so, reject others (check-quorum).

        The leader's lease relies on this: voters that responded to it reject candidates until the timeout
        has passed.
        """
        timeout = self._member.timing.election_timeout
        if self._member.is_leader:
            return now - self._leader.quorum_last_response_at(now) <= timeout
        return now - self._follower.last_contact < timeout

    def tick(self, now: float) -> None:
        """Campaign once the election timeout expires; repeat vote requests, as messages may be lost."""
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
        # A member that cannot store its vote must neither delay the others nor raise its term repeatedly.
        member = self._member
        return (
            member.role is not Role.LEARNER
            and member.disk_healthy
            and self._shutdown.started_at is None
            and self.phase is not Phase.PERSISTING
        )

    def _start_pre_vote(self, now: float) -> None:
        """Start a pre-vote. The term is raised only if a majority grants it."""
        member = self._member
        member.role = Role.CANDIDATE
        self.phase = Phase.PRE_VOTE
        self._votes = {member.name}
        member.election_timer.reset(now)
        self._request_votes(now)
        self._count_votes(now)

    def _start_candidacy(self, now: float, *, leadership_transfer: bool) -> None:
        """Vote for itself in a new term. Other members learn of it only once the vote is durable.

        Otherwise the member could lose the vote and its newest entries in a restart, campaign in the same
        term again, and count votes that were granted to its longer log.
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
        """Request votes from the others once the vote for itself is durable."""
        own_vote = HardState(self._member.term, self._member.name)
        vote_is_durable = write_id >= self._vote_write_id and self._persistence.durable == own_vote
        if self.phase is Phase.PERSISTING and vote_is_durable:
            self.phase = Phase.VOTE
            self._votes = {self._member.name}
            self._request_votes(now)
            self._count_votes(now)

    def _request_votes(self, now: float) -> None:
        """Send requests to the voters that have not granted theirs yet."""
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
        """Grant the pre-vote if the sender could win and no leader is alive."""
        member = self._member
        source_votes = source in member.log.voters
        if member.is_leader and not source_votes:
            # The sender was replaced as a voter while it was unreachable; it learns that from the log.
            self._reconfiguration.add_learner(now, source)
            return
        leader_is_alive = self.hears_live_leader(now)
        if leader_is_alive and member.leader is not None and not source_votes:
            # The sender's outdated set of voters may not include the leader.
            member.send(member.leader, ForwardedJoin(source))
        granted = (
            message.term > member.term
            and not leader_is_alive
            and member.is_up_to_date(message.last_log_index, message.last_log_term)
        )
        member.send(source, PreVoteResponse(message.term, granted, member.term))

    def on_pre_vote_response(self, now: float, source: str, message: PreVoteResponse) -> None:
        """Count a granted pre-vote; adopt a higher term."""
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
        """Count a granted vote; adopt a higher term."""
        member = self._member
        if message.term > member.term:
            member.become_follower(now, message.term, None)
        elif message.granted and self.phase is Phase.VOTE and message.term == member.term:
            self._votes.add(source)
            self._count_votes(now)

    def on_timeout_now(self, now: float, source: str, message: TimeoutNow) -> None:
        """Campaign at once, as the leader is transferring leadership."""
        member = self._member
        able = member.role is Role.FOLLOWER and member.disk_healthy and self._shutdown.started_at is None
        if able and message.term == member.term and source == member.leader:
            self._start_candidacy(now, leadership_transfer=True)
