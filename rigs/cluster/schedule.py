"""Faults by their times: drawn from a seed or read from TOML, and cut down to the fewest that fail. Pure."""

from __future__ import annotations

import random
import tomllib
from collections.abc import Callable, Sequence
from dataclasses import dataclass

WHAT = (
    "kill-node",
    "stop-node",
    "kill-server",
    "power",
    "discovery",
    "cut",
    "cut-to",
    "cut-back",
    "delay",
    "reset",
    "mid-message",
    "refuse",
)  # these of a link
MOST_FAULTS, MOST_LAST = 100, 60.0


class ScheduleError(ValueError):
    """A schedule that can't be played; the text names key and value."""


@dataclass(frozen=True, slots=True)
class Fault:
    """Seconds from the start; `node` and `server` number who is struck. A link of a node leads to its clients
    (`end` = client), to discovery, or to the server.
    """

    at: float
    what: str
    node: int = 0
    server: int = 0
    end: str = "server"
    last: float = 1.0


def read(text: str, nodes: int, servers: int) -> tuple[Fault, ...]:
    """From TOML: a list `faults`. Raises ScheduleError."""
    try:
        rows = tomllib.loads(text).get("faults", [])
        faults = tuple(Fault(**row) for row in rows)
    except (tomllib.TOMLDecodeError, TypeError) as err:
        raise ScheduleError(str(err)) from None
    if len(faults) > MOST_FAULTS:
        raise ScheduleError(f"faults: {len(faults)} are over {MOST_FAULTS}")
    for i, fault in enumerate(faults):
        _check(fault, f"faults[{i}]", nodes, servers)
    return faults


def _check(fault: Fault, where: str, nodes: int, servers: int) -> None:
    for name, good in (
        ("what", fault.what in WHAT),
        ("at", 0 <= fault.at < 600),
        ("last", 0 <= fault.last <= MOST_LAST),
        ("node", 0 <= fault.node < nodes),
        ("server", 0 <= fault.server < servers),
        ("end", fault.end in ("client", "discovery", "server")),
    ):
        if not good:
            raise ScheduleError(f"{where}.{name} = {getattr(fault, name)!r} can't be played")


def draw(
    seed: int, nodes: int, servers: int, seconds: float, count: int, what: Sequence[str] = WHAT
) -> tuple[Fault, ...]:
    """`count` faults over the first part of so many seconds, so that what they do is seen to its end."""
    rng = random.Random(seed)
    faults = [
        Fault(
            round(rng.uniform(0, 0.6 * seconds), 2),
            rng.choice(list(what)),
            rng.randrange(nodes),
            rng.randrange(servers),
            rng.choice(("client", "discovery", "server", "server")),
            round(rng.uniform(0.2, 0.2 * seconds), 2),
        )
        for _ in range(count)
    ]
    return tuple(sorted(faults, key=lambda fault: fault.at))


def fewest(faults: Sequence[Fault], fails: Callable[[tuple[Fault, ...]], bool]) -> tuple[Fault, ...]:
    """A part of them that still fails and none of whose faults can be left out (Zeller's ddmin)."""
    kept, parts = list(faults), 2
    while len(kept) >= 2:
        size = -(-len(kept) // parts)
        chunks = [kept[i : i + size] for i in range(0, len(kept), size)]
        for i in range(len(chunks)):
            rest = [fault for j, chunk in enumerate(chunks) if j != i for fault in chunk]
            if rest and fails(tuple(rest)):
                kept, parts = rest, max(parts - 1, 2)
                break
        else:
            if parts >= len(kept):
                break
            parts = min(2 * parts, len(kept))
    return tuple(kept)
