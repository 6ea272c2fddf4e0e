"""The follower's side of AppendEntries and InstallSnapshot (dissertation, 3.5 and 5.3)."""

from __future__ import annotations

from typing import NamedTuple

from minthitch.mesh.raft.actions import Restore
from minthitch.mesh.raft.errors import ConsensusViolationError
from minthitch.mesh.raft.log import Entry, Snapshot
from minthitch.mesh.raft.member import Member, Role
from minthitch.mesh.raft.messages import (
    AppendEntries,
    AppendEntriesResponse,
    InstallSnapshot,
    InstallSnapshotResponse,
)
from minthitch.mesh.raft.persistence import Persistence
from minthitch.mesh.raft.shutdown_state import ShutdownState
from minthitch.mesh.raft.snapshot_transfer import IncomingSnapshot, SnapshotId

QUORUM_CONTACT_VALID_S = 1.0  # how long a follower relies on its leader's report of contact with a quorum


class _LeaderMessage(NamedTuple):
    """Send time, by the leader's clock, and sequence number of the leader's newest message."""

    sent_at: float
    sequence: int


_NO_MESSAGE = _LeaderMessage(0.0, 0)


class Follower:
    """Stores entries and snapshots from the leader, and acknowledges what is durable."""

    def __init__(self, member: Member, persistence: Persistence, shutdown: ShutdownState, now: float) -> None:
        self._member = member
        self._persistence = persistence
        self._shutdown = shutdown
        # Before a restart this member may have rejected candidates because a leader was alive. The lease of
        # that leader may still rely on this, so the start counts as contact.
        self.last_contact = now  # with a leader
        self.quorum_contact_at = float("-inf")  # with a leader that was in contact with a quorum
        self.match_index = 0  # last index known to match the leader's log
        self.acknowledgement_due = False  # to be sent once the write is durable
        self.incoming_snapshot: IncomingSnapshot | None = None
        self._newest_message = _NO_MESSAGE
        member.step_down_listeners.append(self._reset)
        member.commit_listeners.append(self._discard_outdated_snapshot)

    def reset_match(self) -> None:
        """Forget how far the log matches: nothing is known about the log of a new term's leader."""
        self.match_index = 0
        self.acknowledgement_due = False

    def _reset(self, term_has_risen: bool) -> None:
        if term_has_risen:
            self.reset_match()
        self._newest_message = _NO_MESSAGE  # clock and sequence numbers differ between leaders

    def _discard_outdated_snapshot(self, commit_index: int) -> None:
        if self.incoming_snapshot is not None and self.incoming_snapshot.id.last_index <= commit_index:
            self.incoming_snapshot = None

    def in_contact_with_quorum(self, now: float) -> bool:
        """Whether the leader recently reported contact with a quorum."""
        return self._member.leader is not None and now - self.quorum_contact_at <= QUORUM_CONTACT_VALID_S

    def on_append_entries(self, now: float, source: str, message: AppendEntries) -> None:
        """Check that the preceding entry matches, store the new ones, advance the commit, acknowledge."""
        if not self._accept_leader(now, source, message):
            return
        log = self._member.log
        previous = message.prev_log_index
        if previous > log.base_index and log.term_at(previous) != message.prev_log_term:
            self._reject(source, message, self._conflict_hint(previous))
            return
        self._merge_entries(now, message.entries)
        self.match_index = max(self.match_index, previous + len(message.entries))
        commit_index = min(message.leader_commit, self.match_index)
        if commit_index > self._member.commit_index:
            self._member.advance_commit_index(commit_index)
        if not message.entries or self.match_index <= log.durable:
            self.acknowledge()
        self.acknowledgement_due = self.acknowledgement_due or self.match_index > log.durable

    def _accept_leader(self, now: float, source: str, message: AppendEntries | InstallSnapshot) -> bool:
        """Follow the sender; return False if its term is outdated."""
        member = self._member
        if message.term < member.term:
            self._reject(source, message, 0)
            return False
        if (
            message.term > member.term
            or member.role in (Role.CANDIDATE, Role.LEADER)
            or member.leader != source
        ):
            if member.is_leader and message.term == member.term:
                raise ConsensusViolationError(
                    f"two leaders in term {member.term}: {member.name} and {source}"
                )
            member.become_follower(now, message.term, source)
        self.last_contact = now
        member.election_timer.reset(now)
        if message.in_contact_with_quorum:
            self.quorum_contact_at = now
        if message.sequence > self._newest_message.sequence:
            self._newest_message = _LeaderMessage(message.sent_at, message.sequence)
        return True

    def _reject(self, source: str, message: AppendEntries | InstallSnapshot, hint: int) -> None:
        term = self._member.term
        self._member.send(source, AppendEntriesResponse(term, False, hint, message.sent_at, message.sequence))

    def _conflict_hint(self, previous: int) -> int:
        """Where the leader should continue: after this log, or at the start of the conflicting term."""
        log = self._member.log
        if previous > log.last_index:
            return log.last_index + 1
        index = previous
        term = log.term_at(previous)
        while index > self._member.commit_index + 1 and log.term_at(index - 1) == term:
            index -= 1
        return index

    def _merge_entries(self, now: float, entries: tuple[Entry, ...]) -> None:
        """Append the entries that are new. A conflicting entry and all entries after it are deleted."""
        log = self._member.log
        for entry in entries:
            if entry.index <= log.base_index or log.term_at(entry.index) == entry.term:
                continue
            if entry.index <= log.last_index:
                if entry.index <= self._member.commit_index:
                    raise ConsensusViolationError(
                        f"entry {entry.index} of term {entry.term} would replace a committed entry"
                    )
                log.truncate(entry.index)
                self._shutdown.limit_acknowledgement(entry.index - 1)
            log.append(entry)
        self._member.update_role(now)

    def acknowledge(self) -> None:
        """Acknowledge only what is durable. Postponed until the write if the current term is not durable."""
        member = self._member
        durable_term = self._persistence.durable.term
        self.acknowledgement_due = durable_term != member.term or self.match_index > member.log.durable
        if member.leader is None or durable_term != member.term:
            return
        index = self._shutdown.acknowledgeable(min(self.match_index, member.log.durable))
        response = AppendEntriesResponse(member.term, True, index, *self._newest_message)
        member.send(member.leader, response)

    def on_install_snapshot(self, now: float, source: str, message: InstallSnapshot) -> None:
        """Store a chunk, and install the snapshot once it is complete."""
        if not self._accept_leader(now, source, message):
            return
        if message.last_included_index <= self._member.commit_index:  # everything in it is known
            self.incoming_snapshot = None
            self.match_index = max(self.match_index, message.last_included_index)
            self.acknowledge()
            return
        incoming = self._incoming_snapshot_for(message)
        incoming.add_chunk(message.offset, message.chunk)
        if incoming.is_complete and not incoming.is_intact:
            incoming.data.clear()
        if incoming.is_complete:
            self._install(now, message, bytes(incoming.data))
            return
        response = InstallSnapshotResponse(
            message.term, message.last_included_index, len(incoming.data), message.sent_at, message.sequence
        )
        self._member.send(source, response)

    def _incoming_snapshot_for(self, message: InstallSnapshot) -> IncomingSnapshot:
        snapshot_id = SnapshotId(
            message.last_included_index, message.last_included_term, message.length, message.checksum
        )
        if self.incoming_snapshot is None or self.incoming_snapshot.id != snapshot_id:
            self.incoming_snapshot = IncomingSnapshot(snapshot_id)
        return self.incoming_snapshot

    def _install(self, now: float, message: InstallSnapshot, data: bytes) -> None:
        member = self._member
        snapshot = Snapshot(message.last_included_index, message.last_included_term, message.voters, data)
        self.incoming_snapshot = None
        member.log.install(snapshot, member.commit_index)
        self._shutdown.limit_acknowledgement(member.log.last_index)
        member.commit_index = member.last_applied = snapshot.index
        self.match_index = max(self.match_index, snapshot.index)
        self.acknowledgement_due = True
        member.actions.append(Restore(snapshot.index, snapshot.data))
        member.update_role(now)
