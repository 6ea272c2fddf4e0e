"""When claims may be forgotten: after time that leaders have measured, added up in the replicated log.

A leader appends entries that record the steady seconds since its previous such entry, or, for its first,
since it saw the first entry of its term committed. Applied, they add up. Once the sum that a leader has
applied reaches what is needed, it appends a rotation, which sets the sum to 0. No leader has to last, and
none has to know when its predecessors rotated.

Why this never shortens the retention of a claim. Take a rotation r and the next one s, appended right after
their leaders read their clocks at the true times t(r) and t(s), with nothing appended between the reading
and the entry. The intervals that the entries between r and s have recorded

1. are no longer than true time: both ends are read from one machine's steady clock, the second one before
   its entry is appended. A freeze of the process counts, and is time indeed.
2. do not overlap within a term: each begins at the reading at which the one before ended. An entry of a
   term is committed only together with all that its leader appended before it, so none between is lost and
   recorded again.
3. do not overlap between terms: a committed entry of an earlier term was in the later leader's log when
   that one was elected, so its interval had ended by then. The later leader's first interval begins
   afterwards. A leader that was frozen and replaced wakes up to append an entry of its old term, which is
   never committed.
4. begin at t(r) or later: by 3 in later terms; in r's own term because its leader drops what it has not
   recorded before (`on_rotated`).
5. end by t(s): s is appended by one that has applied them.

So their sum, which is what s needed, is at most t(s) - t(r). A rotation is appended only by a leader that
has applied all rotations before it: those of earlier terms with its first entry, its own as it waits for
them. A claim before r in the log was appended before t(r), and it is forgotten at s at the earliest: it is
kept for the needed time at least. Time without a leader, or that an entry which was never committed would
have recorded, is not counted: it lengthens the retention. Fractions of a millisecond are dropped, which
does too.
"""

from __future__ import annotations

RECORD_INTERVAL_S = 2.0  # between two such entries; at most so much of a leader's time stays unrecorded


class LeadershipClock:
    """What one member has recorded while it led. `now` is read from a steady clock right at the call."""

    def __init__(self) -> None:
        self.term = 0
        self.recorded_until = 0.0
        self.rotation_index = 0  # of the newest rotation that it appended in this term

    def on_leadership(self, now: float, term: int) -> None:
        """It leads in `term`, whose first entry is committed and applied."""
        if term != self.term:
            self.term = term
            self.recorded_until = now
            self.rotation_index = 0

    def unrecorded_ms(self, now: float) -> int:
        """Complete milliseconds of this leadership that no entry has recorded yet."""
        return max(int((now - self.recorded_until) * 1000), 0)

    def is_due(self, now: float, committed_ms: int, needed_ms: int) -> bool:
        """Whether to append an entry that records the time."""
        unrecorded = self.unrecorded_ms(now)
        completes = committed_ms < needed_ms <= committed_ms + unrecorded
        return unrecorded >= RECORD_INTERVAL_S * 1000 or completes

    def on_recorded(self, now: float) -> None:
        """All time up to `now` is recorded by entries in this member's own log, in this term, or dropped."""
        self.recorded_until = now

    def may_rotate(self, last_applied: int, committed_ms: int, needed_ms: int) -> bool:
        """Whether the needed time is over, and no rotation of its own is in flight, which would reset it."""
        return committed_ms >= needed_ms and self.rotation_index <= last_applied

    def on_rotated(self, now: float, index: int) -> None:
        """A rotation is in its log at `index`: time not recorded before it is not counted after it."""
        self.rotation_index = index
        self.on_recorded(now)
