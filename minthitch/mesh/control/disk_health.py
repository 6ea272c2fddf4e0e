"""Health of a control node's disk, which may hang or refuse writes."""

from __future__ import annotations

from minthitch.mesh.events.events import Event, log_event

HANG_TIMEOUT_S = 0.3  # a write that takes longer means that the disk hangs
REFUSAL_VALID_S = 0.5  # time after a refused write for which the disk counts as full
LOG_INTERVAL_S = 1.0  # between two log lines about refused writes


class DiskHealth:
    """Tracks hanging and refused writes; `healthy` is the resulting state."""

    def __init__(self) -> None:
        self.healthy = True
        self._last_refusal = float("-inf")

    def update(self, now: float, pending_s: float) -> bool:
        """Update `healthy`; True if it changed. `pending_s`: seconds since the current write started."""
        healthy = pending_s <= HANG_TIMEOUT_S and not self.refuses_writes(now)
        if healthy == self.healthy:
            return False
        self.healthy = healthy
        if healthy:
            log_event(Event.DISK_WELL)
        else:
            log_event(Event.DISK_SLOW, since=pending_s)
        return True

    def on_write_refused(self, now: float, reason: str) -> None:
        """Record a refused write."""
        if now - self._last_refusal > LOG_INTERVAL_S:
            log_event(Event.DISK_FULL, why=reason)
        self._last_refusal = now

    def refuses_writes(self, now: float) -> bool:
        """Whether a write was refused recently."""
        return now - self._last_refusal < REFUSAL_VALID_S
