"""Writes to the disk, one at a time, and the votes that wait for them.

A vote or an acknowledgement must not be sent before the state that it asserts is durable (dissertation,
3.8).
"""

from __future__ import annotations

from typing import NamedTuple

from minthitch.mesh.raft.actions import Persist, Send
from minthitch.mesh.raft.member import Member
from minthitch.mesh.raft.messages import RequestVoteResponse


class HardState(NamedTuple):
    """What a member must remember besides its log: its term and its vote in that term (empty: none)."""

    term: int
    voted_for: str


class Persistence:
    """Requests writes of state not yet on the disk. Changes during a write go into the next one."""

    def __init__(self, member: Member) -> None:
        self._member = member
        self.durable = HardState(member.term, member.voted_for)
        self.write_id = 0  # of the newest write
        self.writing = False
        self._submitted = self.durable
        # Write id, recipient and vote: the vote is sent once that write is durable.
        self._waiting: list[tuple[int, str, RequestVoteResponse]] = []

    @property
    def _hard_state(self) -> HardState:
        return HardState(self._member.term, self._member.voted_for)

    @property
    def _has_unpersisted(self) -> bool:
        return self._member.log.has_unpersisted or self._submitted != self._hard_state

    def send_when_durable(self, to: str, vote: RequestVoteResponse) -> None:
        """Send a vote once all of this member's current state is durable."""
        if self._has_unpersisted:
            self._waiting.append((self.write_id + 1, to, vote))
        elif self.writing:
            self._waiting.append((self.write_id, to, vote))
        else:
            self._member.send(to, vote)

    def flush(self) -> None:
        """Request a write of all state not yet passed to the disk, unless a write is in progress."""
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
        """Record that a write is durable. Return False if it is not the write in progress."""
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
            if vote.term == self._member.term:  # a vote for an earlier term is useless
                self._member.actions.append(Send(to, vote))
