"""Which connection without a request goes when there are too many. No I/O; times are given in, in seconds."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Protocol, TypeVar

FIRST_REQUEST_GRACE_S = 0.5  # seconds in which a new connection's first request is still to be expected
REUSE_GRACE_S = 1.0  # seconds after which one that has asked once is not about to ask again


class IdleConnection(Protocol):
    since: float  # when it connected, or became idle


ConnectionT = TypeVar("ConnectionT", bound=IdleConnection)


def select_victim(
    never: Iterable[ConnectionT], once: Iterable[ConnectionT], often: Iterable[ConnectionT], now: float
) -> ConnectionT | None:
    """The one to close; None if all are in use. Each group has asked so often, the longest idle first.

    Danger: by age alone hundreds that say nothing push out the usual clients; new ones first, in a crowd
    each new client would be closed by the next one, before its request has come.
    """
    silent = next(iter(never), None)
    if silent is not None and now - silent.since > FIRST_REQUEST_GRACE_S:
        return silent
    reused = next(iter(once), None)
    if reused is not None and now - reused.since > REUSE_GRACE_S:
        return reused
    return next((connection for group in (never, once, often) for connection in group), None)
