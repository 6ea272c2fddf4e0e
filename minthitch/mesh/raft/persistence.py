"""What goes to the disk, one write at a time, and the messages that wait for it.

A vote or an acknowledgement must not leave before the disk has stored what it states (dissertation, 3.8).
"""

from __future__ import annotations

from typing import NamedTuple

from minthitch.mesh.raft.actions import Persist, Send
from minthitch.mesh.raft.member import Member
from minthitch.mesh.raft.messages import RequestVoteResponse


class HardState(NamedTuple):
    """What a member must not forget beside its log: its term, and for whom it voted in it (empty: nobody)."""

    term: int
    voted_for: str


class Persistence:
    """Asks for writes of what the disk lacks. What comes while one is under way goes with the next."""

    def __init__(self, member: Member) -> None:
        self._member = member
        self.durable = HardState(member.term, member.voted_for)
        self.write_id = 0  # of the newest write
        self.writing = False
        self._submitted = self.durable
        # Each waits until the write of that id is durable.
        self._waiting: list[tuple[int, str, RequestVoteResponse]] = []

    @property
    def _hard_state(self) -> HardState:
        return HardState(self._member.term, self._member.voted_for)

    @property
    def _has_unpersisted(self) -> bool:
        return self._member.log.has_unpersisted or self._submitted != self._hard_state

    def send_when_durable(self, to: str, vote: RequestVoteResponse) -> None:
        """Send a vote once everything that this member has decided so far is durable."""
        if self._has_unpersisted:
            self._waiting.append((self.write_id + 1, to, vote))
        elif self.writing:
            self._waiting.append((self.write_id, to, vote))
        else:
            self._member.send(to, vote)

    def flush(self) -> None:
        """Ask for a write of what the disk lacks, unless one is under way."""
        if self.writing or not self._has_unpersisted:
            return
        unpersisted = self._member.log.take_unpersisted()
        self.write_id += 1
        self.writing = True
        self._submitted = self._hard_state
        persist = Persist(
            write_id=self.write_id,
            term=self._submitted.term,
            voted_for=self._submitted.voted_for,
            truncate_from=unpersisted.truncate_from,
            entries=unpersisted.entries,
            snapshot=unpersisted.snapshot,
        )
        self._member.actions.append(persist)

    def write_finished(self, write_id: int) -> bool:
        """The write of that id is durable. False where that is no write under way."""
        if not self.writing or write_id != self.write_id:
            return False
        self.writing = False
        self.durable = self._submitted
        self._member.log.write_finished()
        self._send_durable_votes(write_id)
        return True

    def _send_durable_votes(self, write_id: int) -> None:
        due = [(to, vote) for needed, to, vote in self._waiting if needed <= write_id]
        self._waiting = [row for row in self._waiting if row[0] > write_id]
        for to, vote in due:
            if vote.term == self._member.term:  # a vote for an earlier term is of no use to anybody
                self._member.actions.append(Send(to, vote))
