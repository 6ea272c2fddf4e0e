"""Tracks the phase of a node from its start to full service. Pure: observations in, transitions out."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from minthitch.interface import SECOND

QUIET_PERIOD = SECOND  # ns without a refusal, with enough servers warm: there is enough capacity
MIN_WARM_SHARE = 0.5  # of the listed servers; from here on the warm ones show how much the cold ones may get


class Phase(StrEnum):
    DARK = "dark"  # no list, or an empty one
    LISTED = "has a list"  # servers are known; nothing was sent yet
    FIRST = "first calls"  # calls were sent; none was answered yet
    WORTH = "by worth"  # servers answer; capacity is short, so classes of the highest worth go first
    WHOLE = "whole"  # full service


# How long a phase may last before the delay is logged. The node then goes on waiting, as no transition can be
# forced. Only `WORTH` ends after this time though requests are still refused: the cause then is load.
MAX_WAIT = {
    Phase.DARK: 10 * SECOND,
    Phase.LISTED: 10 * SECOND,
    Phase.FIRST: 5 * SECOND,
    Phase.WORTH: 60 * SECOND,
}
WAITS_FOR = {
    Phase.DARK: "a list with at least one server",
    Phase.LISTED: "a first call, or a server that accepts a connection",
    Phase.FIRST: "a server's answer",
    Phase.WORTH: "warm servers and a second without a refusal",
}


@dataclass(frozen=True, slots=True)
class Observation:
    """State at one moment. Counts are totals since the process started."""

    now: int
    listed: int  # servers that calls may be sent to
    warm: int  # of these
    sent: int
    served: int
    refused: int
    reached: bool = False  # a server has accepted a connection


@dataclass(frozen=True, slots=True)
class Transition:
    """A new phase and its cause; or, if `late`, what the current phase is still waiting for."""

    phase: Phase
    why: str
    late: bool = False


class PhaseTracker:
    """The phase of one node. It falls back as soon as servers are lost; each step on has its condition."""

    def __init__(self, now: int) -> None:
        self.phase, self.since, self.why = Phase.DARK, now, "just started"
        self.late_reported = False
        self.sent_before = self.served_before = 0  # counts when the node last fell back to DARK or LISTED
        self.refused, self.refused_at = 0, now
        self.reached = False

    def observe(self, current: Observation) -> Transition | None:
        """Gives the transition that was made, if any; the last one if several were due at once."""
        if current.refused != self.refused:
            self.refused, self.refused_at = current.refused, current.now
        self.reached = self.reached or current.reached
        transition = self._next_phase(current)
        if transition is not None:
            phase, why = transition
            if self.phase is not Phase.DARK and phase in (Phase.DARK, Phase.LISTED):
                self.sent_before, self.served_before = current.sent, current.served
                self.reached = current.reached
            self.phase, self.since, self.why, self.late_reported = phase, current.now, why, False
            return self.observe(current) or Transition(phase, why)
        max_wait = MAX_WAIT.get(self.phase)
        if max_wait is not None and not self.late_reported and current.now - self.since >= max_wait:
            self.late_reported = True
            return Transition(self.phase, f"still waiting for {WAITS_FOR[self.phase]}", late=True)
        return None

    def _next_phase(self, current: Observation) -> tuple[Phase, str] | None:
        if not current.listed:  # servers that were reached before may be gone, too
            return None if self.phase is Phase.DARK else (Phase.DARK, "no server is listed anymore")
        if self.phase is Phase.DARK:
            return Phase.LISTED, f"{current.listed} servers are listed, {current.warm} of them warm"
        if self.phase is Phase.LISTED and current.sent > self.sent_before:
            return Phase.FIRST, "the first call was sent"
        if self.phase is Phase.FIRST and current.served > self.served_before:
            return Phase.WORTH, "a server has answered"
        if self.phase is Phase.WORTH:
            return self._check_whole(current)
        if self.phase is Phase.WHOLE and not current.warm:
            return Phase.LISTED, "no server is warm anymore"
        return None

    def _check_whole(self, current: Observation) -> tuple[Phase, str] | None:
        if current.warm < MIN_WARM_SHARE * current.listed:
            return None
        if current.now - self.refused_at >= QUIET_PERIOD:
            return (
                Phase.WHOLE,
                f"{current.warm} of {current.listed} servers are warm, and no request is refused",
            )
        if current.now - self.since >= MAX_WAIT[Phase.WORTH]:
            return (
                Phase.WHOLE,
                f"{current.warm} of {current.listed} servers are warm; remaining refusals are due to load",
            )
        return None

    def is_servable(self, now: int, within: int) -> bool:
        """Whether requests can be served: the tier below has accepted a connection or answered.

        Also true once a list has been there for `within` ns: otherwise tiers that wait for each other would
        never become ready.
        """
        if self.phase is Phase.DARK:
            return False
        return self.phase is not Phase.LISTED or self.reached or now - self.since >= within

    @property
    def has_learned(self) -> bool:
        """Whether there is something to store; before, a snapshot would replace better ones."""
        return self.phase in (Phase.WORTH, Phase.WHOLE)
