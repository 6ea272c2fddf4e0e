"""Whether this member's process is about to end, and what it acknowledges until then."""

from __future__ import annotations

SHUTDOWN_TIMEOUT_S = 0.8  # a process that ends waits so long at most for others to have what it has


class ShutdownState:
    """Kept apart from `GracefulShutdown`, as followers, candidates and leaders depend on it."""

    def __init__(self) -> None:
        self.started_at: float | None = None
        self.max_acknowledged = 0  # the last index that is acknowledged after the start

    def begin(self, now: float, last_index: int) -> None:
        """The process ends soon, and has entries up to `last_index`."""
        self.started_at = now
        self.max_acknowledged = last_index

    def limit_acknowledgement(self, index: int) -> None:
        """Entries after `index` were replaced: what comes in their stead is not acknowledged."""
        self.max_acknowledged = min(self.max_acknowledged, index)

    def acknowledgeable(self, index: int) -> int:
        """Up to where entries that are durable up to `index` may be acknowledged."""
        return index if self.started_at is None else min(index, self.max_acknowledged)
