"""Whether this control node's disk can be relied on now: it hangs, or it refused a write lately."""

from __future__ import annotations

from minthitch.mesh.events.events import Event, say

HUNG = 0.3  # seconds without an answer of the disk after which it counts as hung
FULL_FOR = 0.5  # seconds after its last complaint for which a disk counts as full
SAID_AGAIN = 1.0  # seconds between two lines on complaints


class DiskWatch:
    """`bad` is what is acted on."""

    def __init__(self) -> None:
        self.bad = False
        self.complaint = float("-inf")  # when a write was refused last

    def look(self, now: float, waits: float) -> bool:
        """Whether `bad` has changed; `waits` seconds are how long the write under way has been."""
        bad = waits > HUNG or self.refuses(now)
        if bad == self.bad:
            return False
        self.bad = bad
        if bad:
            say(Event.DISK_SLOW, since=waits)
        else:
            say(Event.DISK_WELL)
        return True

    def refused(self, now: float, why: str) -> None:
        if now - self.complaint > SAID_AGAIN:
            say(Event.DISK_FULL, why=why)
        self.complaint = now

    def refuses(self, now: float) -> bool:
        """It refused a write lately."""
        return now - self.complaint < FULL_FOR
