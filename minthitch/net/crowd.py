"""Which connection without a request goes when there are too many. No I/O; times are given in, in seconds."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Protocol, TypeVar

FRESH = 0.5  # seconds in which a new connection's first request is still to be expected
STAYED = 1.0  # seconds after which one that has asked once is not about to ask again


class Idler(Protocol):
    since: float  # when it connected, or became idle


Some = TypeVar("Some", bound=Idler)


def victim(never: Iterable[Some], once: Iterable[Some], often: Iterable[Some], now: float) -> Some | None:
    """The one to close; None if all are in use. Each group has asked so often, the longest idle first.

    Danger: by age alone hundreds that say nothing push out the usual clients; new ones first, in a crowd
    each new client would be closed by the next one, before its request has come.
    """
    silent = next(iter(never), None)
    if silent is not None and now - silent.since > FRESH:
        return silent
    stayed = next(iter(once), None)
    if stayed is not None and now - stayed.since > STAYED:
        return stayed
    return next((idler for group in (never, once, often) for idler in group), None)
