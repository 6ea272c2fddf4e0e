"""What stays in memory after a call or connection has ended, with the garbage collector switched off.

The collector frees objects that refer to each other, but its full runs are due by the number of objects and
not by their size: until then bodies would fill the memory.
"""

from __future__ import annotations

import asyncio
import gc
import time
import tracemalloc
from collections.abc import Callable
from types import TracebackType
from typing import Any, Self

import uvloop

BODY_BYTES = 1024 * 1024
ROUNDS = 4  # ends of each kind that are measured
RETAINED_BYTES = BODY_BYTES // 2  # allowed after all of them: less than one body
WAIT_S = 5.0
PRODUCT_MODULES = ("minthitch.", "httptools.")


class RetainedMemory:
    """Counts the bytes that Python objects take now and did not when the block was entered."""

    def __enter__(self) -> Self:
        """Stop the collector, and begin to count."""
        gc.collect()
        gc.disable()
        tracemalloc.start()
        self.before = tracemalloc.get_traced_memory()[0]
        return self

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        """Let the collector run again."""
        tracemalloc.stop()
        gc.enable()

    @property
    def size(self) -> int:
        """Bytes."""
        return tracemalloc.get_traced_memory()[0] - self.before

    def cyclic_types(self) -> set[str]:
        """Types of the product's objects, and of its parsers, that only the collector would free."""
        gc.set_debug(gc.DEBUG_SAVEALL)
        try:
            gc.collect()
            return {
                type(item).__name__
                for item in gc.garbage
                if type(item).__module__.startswith(PRODUCT_MODULES)
            }
        finally:
            gc.set_debug(0)
            gc.garbage.clear()
            gc.collect()


async def until(holds: Callable[[], Any], what: str) -> None:
    """Wait until the condition holds, and for what is due then. Raises AssertionError after WAIT_S."""
    latest = time.monotonic() + WAIT_S
    while not holds():
        assert time.monotonic() < latest, f"not within {WAIT_S} s: {what}"
        await asyncio.sleep(0.001)
    await settle()


async def settle() -> None:
    """Let the callbacks run that are due now, such as those of closed connections."""
    for _ in range(3):
        await asyncio.sleep(0.001)


def run_on_daemon_loop(main: Callable[[], Any]) -> None:
    """Run a coroutine on the event loop of the daemons."""
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(main())
