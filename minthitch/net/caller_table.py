"""All connections of callers: their limit, the order in which idle ones are closed, the memory for bodies."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from minthitch.net.body_memory import BodyMemory
from minthitch.net.eviction import select_victim

if TYPE_CHECKING:
    from minthitch.net.callers import Caller, CallerHost

SWEEP_INTERVAL_S = 0.25  # seconds between two checks of all connections


class Callers:
    """All callers' connections up to a limit; tracks the idle ones in the order in which to close them."""

    def __init__(
        self, host: CallerHost, max_connections: int, hard_limit: int, body_memory: BodyMemory[Caller]
    ) -> None:
        self.host, self.max_connections, self.hard_limit, self.body_memory = (
            host,
            max_connections,
            hard_limit,
            body_memory,
        )
        self.loop = asyncio.get_running_loop()
        self.all: dict[Caller, None] = {}
        # Idle connections with no, one, and more requests answered; the longest idle first.
        self.idle: tuple[dict[Caller, None], ...] = ({}, {}, {})
        self.rejected_count, self.last_error, self.logged_at = 0, "", -1.0
        self.sweep_timer = self.loop.call_later(SWEEP_INTERVAL_S, self._sweep)

    def add(self, caller: Caller) -> None:
        self.all[caller] = None
        if len(self.all) > self.max_connections:
            closed = select_victim(self.idle[0], self.idle[1], self.idle[2], self.loop.time())
            if closed is not None:
                closed.close()
            caller.over_limit = closed is None
            if len(self.all) > self.hard_limit and caller.transport is not None:
                caller.transport.abort()  # out of descriptors, the node could not send for any caller
                return
        self.update_idle(caller)

    def update_idle(self, caller: Caller) -> None:
        """Adds the connection to the idle group that it belongs to, or removes it from all."""
        self._remove_idle(caller)
        if caller.current is not None or caller.has_pending or caller.closing or caller.broken:
            return
        if caller.answered_count:
            caller.since = self.loop.time()
        self.idle[min(caller.answered_count, 2)][caller] = None

    def _remove_idle(self, caller: Caller) -> None:
        for group in self.idle:
            group.pop(caller, None)

    def remove(self, caller: Caller) -> None:
        self._remove_idle(caller)
        self.all.pop(caller, None)
        self.release_memory(caller)
        self.host.on_caller_lost(caller)

    def release_memory(self, caller: Caller) -> None:
        """Releases the memory of its long bodies; others may continue."""
        self.body_memory.release(caller)
        self.grant_memory()

    def grant_memory(self) -> None:
        """Resumes the connections for whose bodies there is memory now."""
        if self.body_memory.waiting:
            granted = self.body_memory.grant_waiting(self.loop.time())
            for caller in granted:
                self.loop.call_soon(caller.on_memory_granted)
            if not granted and (stuck := self.body_memory.evict_stuck()) is not None:
                self.loop.call_soon(stuck.on_memory_denied)

    def pending_count(self) -> int:
        """Complete requests that have arrived and are not fully answered."""
        return sum((caller.current is not None) + len(caller.pipelined) for caller in self.all)

    def count_rejected(self, text: str) -> None:
        """Logs at most one line a second, so that bad clients can't flood the log."""
        self.rejected_count += 1
        self.last_error = text
        self._log_rejected()

    def _log_rejected(self) -> None:
        if self.rejected_count and self.loop.time() >= self.logged_at + 1.0:
            self.host.log(f"rejected {self.rejected_count} requests, the last with {self.last_error}")
            self.rejected_count, self.logged_at = 0, self.loop.time()

    def _check_all(self) -> None:
        now = self.loop.time()
        stopping = not self.host.keeps_idle()
        for caller in list(self.all):
            caller.check_timeouts(now, stopping)
        self.grant_memory()
        self._log_rejected()

    def _sweep(self) -> None:
        self.sweep_timer = self.loop.call_later(SWEEP_INTERVAL_S, self._sweep)
        self._check_all()

    def close(self) -> None:
        self.sweep_timer.cancel()
        for caller in list(self.all):
            if caller.transport is not None:
                caller.transport.abort()
