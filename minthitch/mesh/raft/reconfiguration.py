"""Voter changes by a leader, one at a time. `membership` chooses the next change."""

from __future__ import annotations

from msgspec import Struct

from minthitch.mesh.raft.leader import Leader
from minthitch.mesh.raft.leadership_transfer import LeadershipTransfer
from minthitch.mesh.raft.log import MEMBERS, pack_members
from minthitch.mesh.raft.member import Member
from minthitch.mesh.raft.membership import (
    Voters,
    VoterView,
    learner_preference,
    voters_adding,
    voters_without_surplus,
    voters_without_unresponsive,
)
from minthitch.mesh.raft.messages import ForwardedJoin
from minthitch.mesh.raft.placement import Location, Tolerated
from minthitch.mesh.raft.progress import Progress

UNRESPONSIVE_AFTER_S = 1.5  # a voter that has not responded for longer may be replaced by a learner
LEARNER_TIMEOUT_S = 5.0  # a learner that neither requests to join nor responds is dropped
RESPONSIVE_WITHIN_S = 1.0  # a member that responded within this counts as available in a voter change


class GroupPolicy(Struct):
    """Target group size, time until a voter counts as failed, and losses to tolerate."""

    target_size: int = 3
    unresponsive_after_s: float = UNRESPONSIVE_AFTER_S
    tolerated: Tolerated = Tolerated()


class Reconfiguration:
    """Adds learners that request to join, and replaces voters that have failed or are badly placed."""

    def __init__(
        self, member: Member, leader: Leader, transfer: LeadershipTransfer, policy: GroupPolicy
    ) -> None:
        self._member = member
        self._leader = leader
        self._transfer = transfer
        self.policy = policy
        self.locations: dict[str, Location] = {}  # by address; the caller adds them as it learns them
        leader.commit_listener = self._on_commit

    def tick(self, now: float) -> None:
        """As leader: drop learners that are gone, and start the next voter change if one is due."""
        self._drop_learners(now)
        self.change_voters(now)

    def _on_commit(self, now: float, previous: int) -> None:
        """Once a voter change is committed, start the next one at once; other changes wait for the tick."""
        if previous < self._member.log.voters_index <= self._member.commit_index:
            self.change_voters(now)

    def _drop_learners(self, now: float) -> None:
        peers = self._leader.peers
        for progress in list(peers.values()):
            last_seen_at = max(progress.asked_to_join_at, progress.last_response_at)
            if progress.name not in self._member.log.voters and now - last_seen_at > LEARNER_TIMEOUT_S:
                del peers[progress.name]

    def add_learner(self, now: float, name: str) -> None:
        """`name` requests to join: as leader, replicate to it."""
        member = self._member
        if not member.is_leader or name == member.name:
            return
        progress = self._leader.peers.get(name)
        if progress is None:
            progress = self._leader.peers[name] = Progress(name, member.log.last_index + 1, now)
            self._leader.replicate(progress, now, heartbeat=True)
        progress.asked_to_join_at = now

    def on_forwarded_join(self, now: float, source: str, message: ForwardedJoin) -> None:
        """Handle a report that a member which is no longer a voter requested a pre-vote."""
        voters = self._member.log.voters
        if source in voters and message.member not in voters:
            self.add_learner(now, message.member)

    def change_voters(self, now: float) -> None:
        """Add or remove one voter, if `membership` finds a step that is due.

        A machine that lost its disk returns under a new name. Its old name is removed, and the new one is
        added only once that is committed. Both in one step would not be safe. Example with {A, B, C0}: C0
        votes for A in a newer term and then loses its disk. B, a leader that has not heard of this term,
        swaps C0 for C1 and commits with C1 alone. A, elected by {A, C0}, does not learn of it, as the two
        majorities have no member in common. In groups that differ by one voter, any two majorities have
        one. The step through {A, B} costs nothing: with C0 gone, both are needed anyway.
        """
        if not self._may_change_voters():
            return
        learners = [progress for progress in self._leader.peers.values() if self._may_be_added(progress, now)]
        size = len(self._member.log.voters)
        if not learners and size % 2 and size <= self.policy.target_size:
            return
        voters = self._next_change(now, learners)
        if voters is not None:
            self._append_voters(now, voters)

    def _may_change_voters(self) -> bool:
        """Whether no change is in progress. An earlier leader's may be, until an own entry is committed."""
        member = self._member
        return (
            member.is_leader
            and self._transfer.started_at is None
            and member.commit_index >= self._leader.noop_index
            and member.log.voters_index <= member.commit_index
        )

    def _next_change(self, now: float, learners: list[Progress]) -> Voters | None:
        view = self._view(now)
        voters = voters_without_surplus(view)
        if voters is not None:
            return voters
        learners.sort(key=lambda progress: (progress.match_index, progress.name), reverse=True)
        learners.sort(key=lambda progress: learner_preference(view, progress.name))
        for learner in learners:
            voters = self.voters_adding(view, learner.name)
            if voters is not None:
                return voters
        return voters_without_unresponsive(view)

    def voters_adding(self, view: VoterView, learner: str) -> Voters | None:
        """See `membership.voters_adding`."""
        return voters_adding(view, learner)

    def _may_be_added(self, progress: Progress, now: float) -> bool:
        """Whether a learner has every committed entry, responds, and requests to join."""
        return (
            progress.caught_up
            and progress.outgoing_snapshot is None
            and progress.name not in self._member.log.voters
            and now - progress.last_response_at <= RESPONSIVE_WITHIN_S
            and now - progress.asked_to_join_at <= LEARNER_TIMEOUT_S
        )

    def _view(self, now: float) -> VoterView:
        name, peers = self._member.name, self._leader.peers
        voters = tuple(sorted(self._member.log.voters, key=self._match_index))
        last_response = {voter: now if voter == name else peers[voter].last_response_at for voter in voters}
        unresponsive = [
            voter for voter in voters if now - last_response[voter] > self.policy.unresponsive_after_s
        ]
        # Requires responses to this leader's own messages: `last_response_at` starts at the time of election.
        responsive = frozenset(
            voter
            for voter in voters
            if voter == name or now - peers[voter].acknowledged_sent_at <= RESPONSIVE_WITHIN_S
        )
        return VoterView(
            leader=name,
            voters=voters,
            responsive=responsive,
            unresponsive=tuple(sorted(unresponsive, key=last_response.__getitem__)),
            target_size=self.policy.target_size,
            tolerated=self.policy.tolerated,
            locations=self.locations,
        )

    def _match_index(self, voter: str) -> int:
        if voter == self._member.name:
            return self._member.log.last_index
        return self._leader.peers[voter].match_index

    def _append_voters(self, now: float, voters: Voters) -> None:
        removed = set(self._member.log.voters) - set(voters)
        self._member.append(MEMBERS, pack_members(voters))
        for name in removed:
            del self._leader.peers[name]
        self._leader.replicate_to_all(now)
        self._leader.update_commit_index(now)
