"""Rate limit for log lines, so that bad input can't fill the log."""

from __future__ import annotations

import time
from collections.abc import Callable

MAX_LINES_PER_SECOND = 20


class LineLog:
    """Passes at most MAX_LINES_PER_SECOND lines to `write`, then the number of dropped lines."""

    def __init__(self, write: Callable[[str], None]) -> None:
        self.write = write
        self.second, self.lines = 0, 0

    def __call__(self, text: str) -> None:
        second = int(time.monotonic())
        if second != self.second:
            if self.lines > MAX_LINES_PER_SECOND:
                self.write(f"{self.lines - MAX_LINES_PER_SECOND} lines left out")
            self.second, self.lines = second, 0
        self.lines += 1
        if self.lines <= MAX_LINES_PER_SECOND:
            self.write(text)
