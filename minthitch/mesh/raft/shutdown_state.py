"""Whether this member's process is shutting down, and which entries it still acknowledges."""

from __future__ import annotations

SHUTDOWN_TIMEOUT_S = 0.8  # longest wait of a stopping process until other members have its entries


class ShutdownState:
    """State of a shutdown; separate from `GracefulShutdown`, as followers, candidates and leaders use it."""

    def __init__(self) -> None:
        self.started_at: float | None = None
        self.max_acknowledged = 0  # last index acknowledged once the shutdown has started

    def begin(self, now: float, last_index: int) -> None:
        """Start the shutdown. Entries after `last_index` are not acknowledged from now on."""
        self.started_at = now
        self.max_acknowledged = last_index

    def limit_acknowledgement(self, index: int) -> None:
        """Entries after `index` were replaced: the new ones are not acknowledged."""
        self.max_acknowledged = min(self.max_acknowledged, index)

    def acknowledgeable(self, index: int) -> int:
        """Return the last index to acknowledge when entries up to `index` are durable."""
        return index if self.started_at is None else min(index, self.max_acknowledged)
