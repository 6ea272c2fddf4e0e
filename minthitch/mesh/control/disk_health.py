"""Whether this control node's disk can be relied on: it may hang, or refuse writes."""

from __future__ import annotations

from minthitch.mesh.events.events import Event, log_event

HANG_TIMEOUT_S = 0.3  # without an answer of the disk after which it counts as hanging
REFUSAL_VALID_S = 0.5  # after its last refusal for which a disk counts as full
LOG_INTERVAL_S = 1.0  # between two log lines on refusals


class DiskHealth:
    """`healthy` is what is acted on."""

    def __init__(self) -> None:
        self.healthy = True
        self._last_refusal = float("-inf")

    def update(self, now: float, pending_s: float) -> bool:
        """Whether `healthy` has changed; `pending_s` is how long the write under way takes already."""
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
        """A write was refused."""
        if now - self._last_refusal > LOG_INTERVAL_S:
            log_event(Event.DISK_FULL, why=reason)
        self._last_refusal = now

    def refuses_writes(self, now: float) -> bool:
        """A write was refused lately."""
        return now - self._last_refusal < REFUSAL_VALID_S
