"""When claims may be dropped: after an amount of time that leaders measure and add up in the replicated log.

A leader appends entries that record the time on its monotonic clock since its previous such entry, or, for
its first, since it saw the first entry of its term committed. When they are applied, they are added up. Once
the sum that a leader has applied reaches the needed time, it appends a rotation, which sets the sum to 0. So
no leader has to stay in office, and none has to know when its predecessors rotated.

Why this never shortens the retention of a claim. Take a rotation r and the next one s, appended right after
their leaders read their clocks at the true times t(r) and t(s), with nothing appended between the reading
and the entry. The intervals that the entries between r and s have recorded

1. are no longer than true time: both ends are read from one machine's monotonic clock, the second one before
   its entry is appended. Time during which the process was suspended counts, and did pass.
2. do not overlap within a term: each begins at the reading at which the one before ended. An entry of a
   term is committed only together with all that its leader appended before it, so none between is lost and
   recorded again.
3. do not overlap between terms: a committed entry of an earlier term was in the later leader's log when
   that one was elected, so its interval had ended by then. The later leader's first interval begins
   afterwards. A leader that was suspended and replaced may resume and append an entry of its old term, which
   is never committed.
4. begin at t(r) or later: by 3 in later terms; in r's own term because its leader discards the time that it
   has not recorded before r (`on_rotated`).
5. end by t(s): s is appended by a leader that has applied them.

So their sum, which is what s needed, is at most t(s) - t(r). A rotation is appended only by a leader that has
applied all rotations before it: those of earlier terms with its first entry, its own because it waits for
them. A claim before r in the log was appended before t(r), and it is dropped at s at the earliest: it is kept
for at least the needed time. Time without a leader, and time recorded by an entry that was never committed,
is not counted: it lengthens the retention. So does dropping fractions of a millisecond.
"""

from __future__ import annotations

RECORD_INTERVAL_S = 2.0  # between two such entries; a leader leaves at most this much time unrecorded


class LeadershipClock:
    """What one member has recorded while it led. `now` is read from a monotonic clock right at the call."""

    def __init__(self) -> None:
        self.term = 0
        self.recorded_until = 0.0
        self.rotation_index = 0  # of the newest rotation that this member appended in this term

    def on_leadership(self, now: float, term: int) -> None:
        """This member leads in `term`, whose first entry is committed and applied."""
        if term != self.term:
            self.term = term
            self.recorded_until = now
            self.rotation_index = 0

    def unrecorded_ms(self, now: float) -> int:
        """Whole milliseconds of this leadership that no entry has recorded yet."""
        return max(int((now - self.recorded_until) * 1000), 0)

    def is_due(self, now: float, committed_ms: int, needed_ms: int) -> bool:
        """Whether to append an entry that records the time."""
        unrecorded = self.unrecorded_ms(now)
        completes = committed_ms < needed_ms <= committed_ms + unrecorded
        return unrecorded >= RECORD_INTERVAL_S * 1000 or completes

    def on_recorded(self, now: float) -> None:
        """All time up to `now` is recorded by this term's entries in this member's log, or discarded."""
        self.recorded_until = now

    def may_rotate(self, last_applied: int, committed_ms: int, needed_ms: int) -> bool:
        """Whether the needed time has passed, and no own rotation that would reset it is in flight."""
        return committed_ms >= needed_ms and self.rotation_index <= last_applied

    def on_rotated(self, now: float, index: int) -> None:
        """A rotation is in this member's log at `index`: time not recorded before it is discarded."""
        self.rotation_index = index
        self.on_recorded(now)
