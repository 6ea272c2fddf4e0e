"""What a leader knows about one peer that it replicates to."""

from __future__ import annotations

from minthitch.mesh.raft.snapshot_transfer import OutgoingSnapshot

MAX_INFLIGHT = 4  # unacknowledged messages with entries per peer; later entries wait and are batched
NEVER = float("-inf")


class Progress:
    """Replication state of one peer. Times are seconds of the leader's monotonic clock.

    `acknowledged_sent_at` is the send time of the newest message that the peer has answered.
    """

    __slots__ = (
        "name",
        "match_index",
        "next_index",
        "last_response_at",
        "acknowledged_sent_at",
        "inflight",
        "outgoing_snapshot",
        "asked_to_join_at",
        "caught_up",
        "shutdown_notice_at",
        "_ignore_rejections_before",
    )

    def __init__(self, name: str, next_index: int, now: float) -> None:
        self.name = name
        self.match_index = 0
        self.next_index = next_index
        self.last_response_at = now  # a new leader gives every peer time to respond
        self.acknowledged_sent_at = NEVER  # a lease requires responses to this leader's own messages
        self.inflight: list[int] = []  # last index of each unacknowledged message with entries
        self.outgoing_snapshot: OutgoingSnapshot | None = None  # completed even if a newer one exists
        self.asked_to_join_at = NEVER
        self.caught_up = False  # has had every committed entry at some point
        self.shutdown_notice_at = NEVER
        self._ignore_rejections_before = 0  # sequence number; earlier messages precede a reset of next_index

    def accepted(self, match_index: int) -> None:
        """Record that the peer has stored all entries up to `match_index`."""
        self.match_index = max(self.match_index, match_index)
        self.next_index = max(self.next_index, self.match_index + 1)
        self.inflight = [last for last in self.inflight if last > self.match_index]
        snapshot = self.outgoing_snapshot
        if snapshot is not None and self.match_index >= snapshot.id.last_index:
            self.outgoing_snapshot = None

    def rejected(self, hint: int, sequence: int, next_sequence: int) -> bool:
        """Handle a rejection: the peer lacks the entry before those sent; `hint` is where to continue.

        Return False for an outdated rejection.
        """
        if sequence < self._ignore_rejections_before or self.outgoing_snapshot is not None:
            return False
        self.next_index = max(self.match_index + 1, min(hint, self.next_index))
        self.inflight.clear()
        self._ignore_rejections_before = next_sequence
        return True


def reached_by_majority(values: list[float]) -> float:
    """Return the highest value that more than half of `values` reach or exceed."""
    return sorted(values, reverse=True)[len(values) // 2]
