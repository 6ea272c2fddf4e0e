"""When a sidecar that shuts down stops accepting requests, answers those that are open, and ends. No I/O.

The platform kills the process `GraceS` after SIGTERM. A server that is still at work in the last sixth of
that time may be cut off, if its request came soon after SIGTERM; all else has to be answered.
"""

from __future__ import annotations

LINGER_S = 2.5  # after SIGTERM in which clients may still come: the platform looks once a second
ACCEPT_FRACTION = 0.58  # of GraceS in which requests are accepted: where most sidecars leave, clients stay
# The same in seconds. What comes 3 s after SIGTERM or later has to be answered by its server, however long
# that takes; the difference covers a signal that is noticed late, and a request's way to this process.
MAX_ACCEPT_S = 2.8
ANSWER_MARGIN_S = 0.8  # before the end of GraceS, by which every open request is answered
CUT_OFF_FRACTION = 5 / 6  # of GraceS, after which a server that is still at work may be cut off
CUT_OFF_MARGIN_S = 0.05  # after that moment, at the earliest, open requests are answered without their server
FLUSH_S = 0.2  # between the last answers and the end
KILL_MARGIN_S = 0.1  # before the end of GraceS, by which the process has ended in any case


class ShutdownSchedule:
    """The times of one shutdown, in seconds on the clock of `began_at`.

    Attributes:
        began_at: when SIGTERM came.
        linger_until: the process does not end before, unless the platform kills it sooner.
        reject_from: what comes from here on is rejected.
        answer_by: every request that is open then gets a final answer.
        end_by: the process ends, whatever is open.
    """

    __slots__ = ("began_at", "linger_until", "reject_from", "answer_by", "end_by")

    def __init__(self, began_at: float, grace_s: float) -> None:
        """`grace_s`: from SIGTERM until the platform kills the process."""
        last_s = grace_s - KILL_MARGIN_S
        answer_s = max(grace_s - ANSWER_MARGIN_S, CUT_OFF_FRACTION * grace_s + CUT_OFF_MARGIN_S)
        end_s = min(answer_s + FLUSH_S, last_s)
        self.began_at = began_at
        self.linger_until = began_at + min(LINGER_S, end_s)
        self.reject_from = began_at + min(ACCEPT_FRACTION * grace_s, MAX_ACCEPT_S)
        self.answer_by = began_at + min(answer_s, end_s)
        self.end_by = began_at + end_s

    def may_end(self, now: float, is_idle: bool) -> bool:
        """Whether the process may end; `is_idle`: nothing is open and all answers have left."""
        return now >= self.end_by or (is_idle and now >= self.linger_until)
