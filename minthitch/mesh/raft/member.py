"""The state of one member, shared by all parts of the algorithm."""

from __future__ import annotations

from collections.abc import Callable
from enum import StrEnum

from minthitch.mesh.raft.actions import Action, Apply, PersistedState, Send, Timing
from minthitch.mesh.raft.election_timer import ElectionTimer
from minthitch.mesh.raft.log import EMPTY_SNAPSHOT, MEMBERS, Entry, Log, pack_members
from minthitch.mesh.raft.messages import Message


class Role(StrEnum):
    """A member's role. A learner receives the log but does not vote."""

    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEADER = "leader"
    LEARNER = "learner"


class Member:
    """Term, vote, role, log and commit index of one member, and its pending actions."""

    def __init__(
        self,
        name: str,
        persisted: PersistedState | None,
        founders: tuple[str, ...],
        timing: Timing,
        seed: int,
    ) -> None:
        self.name = name
        self.timing = timing
        self.role = Role.FOLLOWER
        self.leader: str | None = None  # None: unknown
        self.term = persisted.term if persisted else 0
        self.voted_for = persisted.voted_for if persisted else ""  # in this term; empty: none
        self.log = _initial_log(persisted, founders)
        self.commit_index = self.last_applied = self.log.snapshot.index
        self.disk_healthy = True
        self.actions: list[Action] = []
        self.election_timer = ElectionTimer(seed, timing.election_timeout)
        # Called when the member becomes a follower or learner, with whether its term has risen: each part
        # of the algorithm resets the state of the previous role.
        self.step_down_listeners: list[Callable[[bool], None]] = []
        # Called when the commit index has risen, before the entries are applied.
        self.commit_listeners: list[Callable[[int], None]] = []

    @property
    def is_leader(self) -> bool:
        """Whether this member is the leader of its term."""
        return self.role is Role.LEADER

    @property
    def is_voter(self) -> bool:
        """Whether this member is among the newest voters."""
        return self.name in self.log.voters

    def send(self, to: str, message: Message) -> None:
        """Request that the caller send a message."""
        self.actions.append(Send(to, message))

    def append(self, kind: int, data: bytes) -> Entry:
        """Append an entry in this leader's term."""
        entry = Entry(self.log.last_index + 1, self.term, kind, data)
        self.log.append(entry)
        return entry

    def advance_commit_index(self, commit_index: int) -> None:
        """Raise the commit index and apply the entries up to it."""
        self.commit_index = commit_index
        for listener in self.commit_listeners:
            listener(commit_index)
        while self.last_applied < commit_index:
            self.last_applied += 1
            self.actions.append(Apply(self.log.entry_at(self.last_applied)))

    def become_follower(self, now: float, term: int, leader: str | None) -> None:
        """Become a follower of `leader` (None: not known yet) in `term`."""
        term_has_risen = term > self.term
        if term_has_risen:
            self.term = term
            self.voted_for = ""
        if self.role is not Role.LEARNER:
            self.role = Role.FOLLOWER
        self.leader = leader
        for listener in self.step_down_listeners:
            listener(term_has_risen)
        self.election_timer.reset(now)
        self.update_role(now)

    def update_role(self, now: float) -> None:
        """Become a voter or a learner according to the newest set of voters.

        A leader keeps its role until it steps down.
        """
        if self.role in (Role.FOLLOWER, Role.LEARNER):
            role = Role.FOLLOWER if self.is_voter else Role.LEARNER
            if role is not self.role:
                self.role = role
                self.election_timer.reset(now)
        elif self.role is Role.CANDIDATE and not self.is_voter:
            self.role = Role.LEARNER
            for listener in self.step_down_listeners:
                listener(False)

    def is_up_to_date(self, last_log_index: int, last_log_term: int) -> bool:
        """Whether a log with this end is at least as up to date as this member's (dissertation, 3.6.1)."""
        return (last_log_term, last_log_index) >= (self.log.last_term, self.log.last_index)


def _initial_log(persisted: PersistedState | None, founders: tuple[str, ...]) -> Log:
    if persisted is not None:
        return Log(persisted.snapshot, list(persisted.entries), on_disk=True)
    # All founders start with the same entry: it is committed from the start, and learners receive it too.
    first = [Entry(1, 0, MEMBERS, pack_members(tuple(sorted(founders))))] if founders else []
    return Log(EMPTY_SNAPSHOT, first, on_disk=False)
