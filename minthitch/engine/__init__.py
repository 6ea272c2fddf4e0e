"""The transport-neutral host of one Balancer: requests, attempts, timers, lists and the end of life.

It knows an asker, a carrier of attempts and a source of lists by the protocols in `ports`, and no
parser, socket or file. Fronts and carriers stand beside each other on it.
"""

from typing import TYPE_CHECKING

from minthitch.engine.attempts import Asker, Attempt, Carried, Request
from minthitch.engine.calls import Answer, Call, Failed, Fields, Message, Refused, Rejected, Served
from minthitch.engine.clock import Clock, LoopClock
from minthitch.engine.fleet import Server

if TYPE_CHECKING:
    from minthitch.engine.core import Engine
    from minthitch.engine.ports import Carrier, Decider, Keeper, Source, StaticSource

__all__ = [
    "Answer",
    "Asker",
    "Attempt",
    "Call",
    "Carried",
    "Carrier",
    "Clock",
    "Decider",
    "Engine",
    "Failed",
    "Fields",
    "Keeper",
    "LoopClock",
    "Message",
    "Refused",
    "Rejected",
    "Request",
    "Served",
    "Server",
    "Source",
    "StaticSource",
]

_PORTS = ("Carrier", "Decider", "Keeper", "Source", "StaticSource")


def __getattr__(name: str) -> object:
    """The engine itself brings all decisions with it: programs that take only parts don't pay for them."""
    if name == "Engine":
        from minthitch.engine.core import Engine

        return Engine
    if name in _PORTS:
        from minthitch.engine import ports

        return getattr(ports, name)
    raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
