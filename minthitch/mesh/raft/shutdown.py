"""Stopping a member's process without losing data that only this member has."""

from __future__ import annotations

from minthitch.mesh.raft.leader import Leader
from minthitch.mesh.raft.leadership_transfer import LeadershipTransfer
from minthitch.mesh.raft.log import NOOP
from minthitch.mesh.raft.member import Member, Role
from minthitch.mesh.raft.messages import ShutdownNotice
from minthitch.mesh.raft.shutdown_state import SHUTDOWN_TIMEOUT_S, ShutdownState


class GracefulShutdown:
    """Transfers leadership, acknowledges no new entries, and waits until the others have everything."""

    def __init__(
        self, member: Member, leader: Leader, transfer: LeadershipTransfer, state: ShutdownState, now: float
    ) -> None:
        self._member = member
        self._leader = leader
        self._transfer = transfer
        self._state = state
        self._next_notice_at = now

    def begin(self, now: float) -> None:
        """Stop leading and campaigning, and acknowledge no entries beyond those that this member has.

        A leader rejects proposals, lets the best voter catch up, and tells it to start an election.
        """
        if self._state.started_at is not None:
            return
        member = self._member
        self._state.begin(now, member.log.last_index if member.is_leader else member.log.durable)
        if member.is_leader:
            self._transfer.start(now)
        elif member.role is Role.CANDIDATE:
            member.become_follower(now, member.term, None)
        if not member.is_leader:
            self._send_notice(now)

    def may_end(self, now: float) -> bool:
        """Whether the process may exit: it does not lead, and other members have what it acknowledged.

        That holds once an entry after those that it acknowledges is committed. It never happens while the
        other members are down, so SHUTDOWN_TIMEOUT_S bounds the wait.
        """
        member, started_at = self._member, self._state.started_at
        if started_at is None:
            return False
        if now - started_at >= SHUTDOWN_TIMEOUT_S or not member.is_voter:
            return True
        if member.log.voters == (member.name,):
            return member.log.durable == member.log.last_index
        return not member.is_leader and member.commit_index > self._state.max_acknowledged

    def tick_follower(self, now: float) -> None:
        """Repeat the notice at every heartbeat interval, as messages may be lost and leaders may change."""
        if self._state.started_at is not None and now >= self._next_notice_at:
            self._send_notice(now)

    def _send_notice(self, now: float) -> None:
        member = self._member
        self._next_notice_at = now + member.timing.heartbeat
        if member.leader is not None and member.role is Role.FOLLOWER:
            member.send(member.leader, ShutdownNotice(member.term, self._state.max_acknowledged))

    def on_notice(self, now: float, source: str, message: ShutdownNotice) -> None:
        """As leader: commit an entry that the sender does not acknowledge, so that it may exit."""
        member = self._member
        progress = self._leader.peers.get(source)
        if not member.is_leader or message.term != member.term or progress is None:
            return
        progress.shutdown_notice_at = now
        needs_entry = member.log.last_index <= message.max_acknowledged
        if needs_entry and self._transfer.started_at is None and source in member.log.voters:
            member.append(NOOP, b"")
            self._leader.replicate_to_all(now)
