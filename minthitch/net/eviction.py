"""Which idle connection to close when there are too many. Pure logic: no I/O; times are in seconds."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Protocol, TypeVar

FIRST_REQUEST_GRACE_S = 0.5  # seconds for which the first request of a new connection is still expected
# Seconds after which a connection with one answered request is not expected to send another.
REUSE_GRACE_S = 1.0


class IdleConnection(Protocol):
    since: float  # when it connected, or became idle


ConnectionT = TypeVar("ConnectionT", bound=IdleConnection)


def select_victim(
    never: Iterable[ConnectionT], once: Iterable[ConnectionT], often: Iterable[ConnectionT], now: float
) -> ConnectionT | None:
    """Returns the connection to close, or None if all are in use.

    The groups hold the idle connections with no, one, and more requests answered, the longest idle first.
    Evicting by idle time alone would let hundreds of silent connections push out regular clients. Evicting
    new connections first would, under load, close each new client by the next one before its request has
    arrived.
    """
    silent = next(iter(never), None)
    if silent is not None and now - silent.since > FIRST_REQUEST_GRACE_S:
        return silent
    used_once = next(iter(once), None)
    if used_once is not None and now - used_once.since > REUSE_GRACE_S:
        return used_once
    return next((connection for group in (never, once, often) for connection in group), None)
