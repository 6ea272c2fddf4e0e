"""Virtual time: the engine's clock, and a heap of what happens in it. Pure; same calls, same events."""

from __future__ import annotations

import heapq
from collections.abc import Callable

from minthitch.interface import SECOND

EPOCH = 1_800_000_000 * SECOND  # Unix ns at which every run's wall clock starts
START = 1_000 * SECOND  # monotonic ns at which every run starts: 0 would mean "never" to some
COMPACT_FROM = 10_000  # entries from which cancelled ones are thrown out once they are more than half
MOST_AT_ONCE = 1_000_000  # events at one instant


class TimeStands(Exception):
    """Events at one instant bring ever more of them."""


class Timer:
    """What can be cancelled; it then holds nothing."""

    __slots__ = ("heap", "call")

    def __init__(self, heap: Heap, call: Callable[[], object]) -> None:
        self.heap = heap
        self.call: Callable[[], object] | None = call

    def cancel(self) -> None:
        if self.call is not None:
            self.call = None
            self.heap.cancelled += 1
            self.heap.compact()


class Heap:
    """Events by time, and by the order in which they were set where the time is the same."""

    __slots__ = ("time", "entries", "count", "done", "cancelled", "instant")

    def __init__(self) -> None:
        self.time = START
        self.entries: list[tuple[int, int, Timer | Callable[[], object]]] = []
        self.count = self.done = self.cancelled = 0  # set, done, cancelled and still held
        self.instant = 0  # events done at this instant

    def now(self) -> int:
        return self.time

    def wall(self) -> int:
        return EPOCH + self.time

    def at(self, when: int, call: Callable[[], object]) -> Timer:
        """A timer that can be cancelled; one for the past comes next."""
        timer = Timer(self, call)
        self.count += 1
        heapq.heappush(self.entries, (when if when > self.time else self.time, self.count, timer))
        return timer

    def post(self, delay: int, call: Callable[[], object]) -> None:
        """The same without the means to cancel it, for less; `delay` in ns."""
        self.count += 1
        heapq.heappush(self.entries, (self.time + delay if delay > 0 else self.time, self.count, call))

    def run(self, until: int) -> None:
        """Does all that is due by then, and leaves the time there. Raises TimeStands."""
        entries, pop = self.entries, heapq.heappop
        while entries and entries[0][0] <= until:
            when, _, item = pop(entries)
            if when > self.time:
                self.time, self.instant = when, 0
            self.instant += 1
            if self.instant > MOST_AT_ONCE:  # danger: a loop without delay would never end
                raise TimeStands(f"over {MOST_AT_ONCE} events at one instant")
            if type(item) is Timer:
                call, item.call = item.call, None
                if call is None:
                    self.cancelled -= 1
                    continue
                call()
            else:
                item()  # type: ignore[operator]
            self.done += 1
            entries = self.entries
        self.time = max(self.time, until)

    def compact(self) -> None:
        """Danger: a run sets millions of timers that never come due."""
        if len(self.entries) >= COMPACT_FROM and 2 * self.cancelled > len(self.entries):
            self.entries = [
                entry for entry in self.entries if type(entry[2]) is not Timer or entry[2].call is not None
            ]
            heapq.heapify(self.entries)
            self.cancelled = 0
