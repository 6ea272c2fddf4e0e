"""The leader's side of AppendEntries and InstallSnapshot: replication, quorum contact, commit."""

from __future__ import annotations

from collections.abc import Callable

from minthitch.mesh.raft.log import NOOP, Entry
from minthitch.mesh.raft.member import Member, Role
from minthitch.mesh.raft.messages import (
    AppendEntries,
    AppendEntriesResponse,
    InstallSnapshot,
    InstallSnapshotResponse,
)
from minthitch.mesh.raft.progress import MAX_INFLIGHT, Progress, reached_by_majority
from minthitch.mesh.raft.snapshot_transfer import OutgoingSnapshot

CHUNK_BYTES = 64 * 1024  # approximate limit on the entries or snapshot data in one message
ENTRY_OVERHEAD_BYTES = 16  # size of an entry on the wire besides its data
LEASE_FRACTION = 0.9  # of the election timeout: the monotonic clocks of two machines may differ in rate


class Leader:
    """The leader role. It has peers only while this member leads."""

    def __init__(self, member: Member, now: float) -> None:
        self._member = member
        self.peers: dict[str, Progress] = {}
        self.sequence = 0  # of the newest message sent
        self.noop_index = 0  # of the first entry in its term
        self.elected_at = now
        self.max_batch_bytes = CHUNK_BYTES
        # Called with the time and the previous commit index after the commit index has risen.
        self.commit_listener: Callable[[float, int], None] = lambda _now, _previous: None
        self._next_heartbeat_at = now
        member.step_down_listeners.append(self._reset)

    def _reset(self, _term_has_risen: bool) -> None:
        self.peers.clear()

    def start(self, now: float) -> None:
        """Take over leadership after winning an election."""
        member = self._member
        member.role = Role.LEADER
        member.leader = member.name
        self.elected_at = now
        next_index = member.log.last_index + 1
        self.peers = {
            name: Progress(name, next_index, now) for name in member.log.voters if name != member.name
        }
        # Entries of earlier terms are committed only together with one of the leader's own term
        # (dissertation, 3.6.2).
        self.noop_index = member.append(NOOP, b"").index
        self._send_heartbeats(now)

    def tick(self, now: float) -> None:
        """Send heartbeats when due."""
        if now >= self._next_heartbeat_at:
            self._send_heartbeats(now)

    def _send_heartbeats(self, now: float) -> None:
        self._next_heartbeat_at = now + self._member.timing.heartbeat
        for progress in self.peers.values():
            self.replicate(progress, now, heartbeat=True)

    # Quorum contact -------------------------------------------------------------------------------

    def quorum_last_response_at(self, now: float) -> float:
        """Latest time such that responses of a majority have arrived at that time or later."""
        return self._reached_by_quorum(now, lambda progress: progress.last_response_at)

    def quorum_acknowledged_sent_at(self, now: float) -> float:
        """Latest time such that a majority has answered a message sent at that time or later."""
        return self._reached_by_quorum(now, lambda progress: progress.acknowledged_sent_at)

    def _reached_by_quorum(self, now: float, value: Callable[[Progress], float]) -> float:
        member = self._member
        return reached_by_majority(
            [now if name == member.name else value(self.peers[name]) for name in member.log.voters]
        )

    def in_contact_with_quorum(self, now: float) -> bool:
        """Whether a majority has answered a message sent within the last election timeout."""
        return now - self.quorum_acknowledged_sent_at(now) <= self._member.timing.election_timeout

    def has_lease(self, now: float) -> bool:
        """Whether no other member can have been elected yet and every committed entry is known here."""
        lease_s = self._member.timing.election_timeout * LEASE_FRACTION
        return (
            self._member.commit_index >= self.noop_index
            and now - self.quorum_acknowledged_sent_at(now) < lease_s
        )

    def has_lost_quorum(self, now: float) -> bool:
        """Whether no majority responds. Responses to old messages, read after a freeze, do not count."""
        timeout = self._member.timing.election_timeout
        if now - self.quorum_last_response_at(now) > timeout:
            return True
        return now - max(self.quorum_acknowledged_sent_at(now), self.elected_at) > 2 * timeout

    # Replication ----------------------------------------------------------------------------------

    def replicate_to_all(self, now: float) -> None:
        """Send each peer the entries that it lacks."""
        for progress in self.peers.values():
            self.replicate(progress, now, heartbeat=False)

    def replicate(self, progress: Progress, now: float, *, heartbeat: bool) -> None:
        """Send what the peer lacks, up to the in-flight limit; with `heartbeat`, at least one message."""
        if progress.outgoing_snapshot is None and progress.next_index <= self._member.log.base_index:
            progress.outgoing_snapshot = OutgoingSnapshot(self._member.log.snapshot)
            progress.caught_up = False
            heartbeat = True
        if progress.outgoing_snapshot is not None:
            if heartbeat or progress.outgoing_snapshot.chunk_due:
                self._send_snapshot(progress, progress.outgoing_snapshot, now)
            return
        while progress.next_index <= self._member.log.last_index and len(progress.inflight) < MAX_INFLIGHT:
            self._send_entries(progress, now, self._next_batch(progress.next_index))
            heartbeat = False
        if heartbeat:
            self._send_entries(progress, now, ())

    def _next_batch(self, index: int) -> tuple[Entry, ...]:
        """As many entries from `index` on as fit into one message, but at least one."""
        log = self._member.log
        size = 0
        batch: list[Entry] = []
        while index <= log.last_index:
            entry = log.entry_at(index)
            if batch and size + len(entry.data) > self.max_batch_bytes:
                break
            size += len(entry.data) + ENTRY_OVERHEAD_BYTES
            batch.append(entry)
            index += 1
        return tuple(batch)

    def _send_entries(self, progress: Progress, now: float, batch: tuple[Entry, ...]) -> None:
        self.sequence += 1
        member = self._member
        previous = progress.next_index - 1
        message = AppendEntries(
            term=member.term,
            prev_log_index=previous,
            prev_log_term=member.log.term_at(previous),
            leader_commit=member.commit_index,
            sent_at=now,
            sequence=self.sequence,
            in_contact_with_quorum=self.in_contact_with_quorum(now),
            entries=batch,
        )
        member.send(progress.name, message)
        if batch:
            progress.next_index += len(batch)
            progress.inflight.append(progress.next_index - 1)

    def _send_snapshot(self, progress: Progress, outgoing: OutgoingSnapshot, now: float) -> None:
        """Send the next chunk, or an empty one, so that a member on a slow link hears from the leader."""
        self.sequence += 1
        chunk = outgoing.next_chunk(self.max_batch_bytes, self.sequence)
        message = InstallSnapshot(
            term=self._member.term,
            last_included_index=outgoing.id.last_index,
            last_included_term=outgoing.id.last_term,
            voters=outgoing.snapshot.voters,
            length=outgoing.id.length,
            checksum=outgoing.id.checksum,
            offset=outgoing.offset or 0,
            chunk=chunk,
            sent_at=now,
            sequence=self.sequence,
            in_contact_with_quorum=self.in_contact_with_quorum(now),
        )
        self._member.send(progress.name, message)

    # Responses ------------------------------------------------------------------------------------

    def on_append_response(self, now: float, source: str, message: AppendEntriesResponse) -> None:
        """Record what the peer has stored, commit what a majority has, and send the peer what it lacks."""
        progress = self._record_response(now, source, message.term, message.sent_at)
        if progress is None:
            return
        if message.success:
            progress.accepted(message.index)
            self.update_commit_index(now)
            progress.caught_up = progress.caught_up or progress.match_index >= self._member.commit_index
            self.replicate(progress, now, heartbeat=False)
        elif progress.rejected(message.index, message.sequence, self.sequence + 1):
            self.replicate(progress, now, heartbeat=False)

    def on_snapshot_response(self, now: float, source: str, message: InstallSnapshotResponse) -> None:
        """Record how much the peer has received, and send the next chunk."""
        progress = self._record_response(now, source, message.term, message.sent_at)
        outgoing = progress.outgoing_snapshot if progress is not None else None
        if progress is None or outgoing is None or outgoing.id.last_index != message.last_included_index:
            return
        outgoing.acknowledged(message.received, message.sequence)
        if outgoing.chunk_due:
            self.replicate(progress, now, heartbeat=False)

    def _record_response(self, now: float, source: str, term: int, sent_at: float) -> Progress | None:
        """Record a response and return its peer; None if it is not for this term. Adopts a higher term."""
        member = self._member
        if term > member.term:
            member.become_follower(now, term, None)
        progress = self.peers.get(source) if member.is_leader and term == member.term else None
        if progress is not None:
            progress.last_response_at = now
            progress.acknowledged_sent_at = max(progress.acknowledged_sent_at, sent_at)
        return progress

    def update_commit_index(self, now: float) -> None:
        """Commit what a majority has stored. This member counts only what its own disk has stored."""
        member = self._member
        stored = [
            member.log.durable if name == member.name else self.peers[name].match_index
            for name in member.log.voters
        ]
        index = int(reached_by_majority(list(stored)))
        if index > member.commit_index and member.log.term_at(index) == member.term:
            previous = member.commit_index
            member.advance_commit_index(index)
            self.commit_listener(now, previous)
