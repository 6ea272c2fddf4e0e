"""The program without one part of its recovery: `python -m rigs.cluster.without PART serve FILE`.

`Dark` and `Eager` are such decisions for a search over them alone.
"""

from __future__ import annotations

import sys
from collections.abc import Callable
from typing import Any

from minthitch.policy import Balancer, Server


class Dark(Balancer):
    """Cold servers get what warm ones tell, and where none is warm nothing, as before."""

    def _min_rate(self, now: int, warmth: float) -> float:
        return 0.0


class Eager(Balancer):
    """Takes a cold server for a warm one."""

    def _eligible(self, now: int) -> list[Server]:
        return list(self.servers.values())


def _nothing_from_time() -> None:
    setattr(Balancer, "_min_rate", Dark._min_rate)  # noqa: B010


def _no_order() -> None:
    """What waits goes as it comes, and all classes are refused alike."""
    admits: Any = Balancer._admits_cold
    setattr(Balancer, "_dispatch_held", lambda self, now, cls=-1: None)  # noqa: B010
    without = lambda self, now, cls, worth: admits(self, now, cls, 0.0)  # noqa: E731
    setattr(Balancer, "_admits_cold", without)  # noqa: B010


def _no_cold_budget() -> None:
    """A planted fault: a cold server is taken for a warm one, and all that comes is tried.

    Either alone pushes nobody over here: the window of calls out holds each server at two or three.
    """
    setattr(Balancer, "_admit", lambda self, now, event: True)  # noqa: B010
    setattr(Server, "warmth", lambda self, now, settings: 1.0)  # noqa: B010


PARTS: dict[str, Callable[[], None]] = {
    "first calls": _nothing_from_time,
    "the order": _no_order,
    "the cold budget": _no_cold_budget,
}


def main() -> int:
    from minthitch.__main__ import main as program

    PARTS[sys.argv.pop(1)]()
    return program()


if __name__ == "__main__":
    sys.exit(main())
