"""Where a node stands between its start and whole service. Pure: what was seen goes in, steps come out."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from minthitch.interface import SECOND

QUIET_PERIOD = SECOND  # without a refusal, while servers are warm: nothing is short any more
MIN_WARM_SHARE = 0.5  # of the servers listed, warm: from here on they tell what the others may get


class Phase(StrEnum):
    DARK = "dark"  # no list, or one without a server
    LISTED = "has a list"  # servers are known, and nothing was sent
    FIRST = "first calls"  # sent, and nothing was answered
    WORTH = "by worth"  # servers answer; the worthiest first, as there is less than is asked for
    WHOLE = "whole"


# How long a step is waited for before it is said on call; a node that waits longer goes on as it is, as no
# step can be made up. `WORTH` ends with this time also where some are still refused: that is load then.
MAX_WAIT = {
    Phase.DARK: 10 * SECOND,
    Phase.LISTED: 10 * SECOND,
    Phase.FIRST: 5 * SECOND,
    Phase.WORTH: 60 * SECOND,
}
WAITS_FOR = {
    Phase.DARK: "a list with a server",
    Phase.LISTED: "a first call, or a server that is reached",
    Phase.FIRST: "a server's answer",
    Phase.WORTH: "warm servers and a second without a refusal",
}


@dataclass(frozen=True, slots=True)
class Observation:
    """One look. Counts are those since the process began."""

    now: int
    listed: int  # servers that may be sent to
    warm: int  # of these
    sent: int
    served: int
    refused: int
    reached: bool = False  # a server has taken a connection


@dataclass(frozen=True, slots=True)
class Transition:
    """A new phase and what brought it; or, where `late`, what is still waited for."""

    phase: Phase
    why: str
    late: bool = False


class PhaseTracker:
    """The phase of one node. A step back is taken as soon as it shows, each step on by its condition."""

    def __init__(self, now: int) -> None:
        self.phase, self.since, self.why = Phase.DARK, now, "just started"
        self.late_reported = False
        self.sent_before = self.served_before = 0  # when the present list of cold servers came
        self.refused, self.refused_at = 0, now
        self.reached = False

    def observe(self, seen: Observation) -> Transition | None:
        """The step that was taken, if any. Of several that are due at once, the last."""
        if seen.refused != self.refused:
            self.refused, self.refused_at = seen.refused, seen.now
        self.reached = self.reached or seen.reached
        due = self._next_phase(seen)
        if due is not None:
            phase, why = due
            if self.phase is not Phase.DARK and phase in (Phase.DARK, Phase.LISTED):
                self.sent_before, self.served_before = seen.sent, seen.served
                self.reached = seen.reached
            self.phase, self.since, self.why, self.late_reported = phase, seen.now, why, False
            return self.observe(seen) or Transition(phase, why)
        most = MAX_WAIT.get(self.phase)
        if most is not None and not self.late_reported and seen.now - self.since >= most:
            self.late_reported = True
            return Transition(self.phase, f"still waits for {WAITS_FOR[self.phase]}", late=True)
        return None

    def _next_phase(self, seen: Observation) -> tuple[Phase, str] | None:
        if not seen.listed:  # danger: what was reached before may be gone, too
            return None if self.phase is Phase.DARK else (Phase.DARK, "no server is listed any more")
        if self.phase is Phase.DARK:
            return Phase.LISTED, f"{seen.listed} servers are listed, {seen.warm} of them warm"
        if self.phase is Phase.LISTED and seen.sent > self.sent_before:
            return Phase.FIRST, "the first call is sent"
        if self.phase is Phase.FIRST and seen.served > self.served_before:
            return Phase.WORTH, "a server has answered"
        if self.phase is Phase.WORTH:
            return self._check_whole(seen)
        if self.phase is Phase.WHOLE and not seen.warm:
            return Phase.LISTED, "no server is warm any more"
        return None

    def _check_whole(self, seen: Observation) -> tuple[Phase, str] | None:
        if seen.warm < MIN_WARM_SHARE * seen.listed:
            return None
        if seen.now - self.refused_at >= QUIET_PERIOD:
            return Phase.WHOLE, f"{seen.warm} of {seen.listed} servers are warm, and none is refused"
        if seen.now - self.since >= MAX_WAIT[Phase.WORTH]:
            return Phase.WHOLE, f"{seen.warm} of {seen.listed} servers are warm; what is refused is load"
        return None

    def is_servable(self, now: int, within: int) -> bool:
        """Whether what is sent here can be served: the tier below has taken a connection or answered.

        Waited for `within` ns from the list on. Danger: without an end, tiers that wait for each other stay
        dark.
        """
        if self.phase is Phase.DARK:
            return False
        return self.phase is not Phase.LISTED or self.reached or now - self.since >= within

    @property
    def has_learned(self) -> bool:
        """Whether what is known now is worth keeping; before, it would be written over what is better."""
        return self.phase in (Phase.WORTH, Phase.WHOLE)
