"""The transport-neutral host of one Balancer: requests, attempts, timers, lists and the end of life.

It knows an asker, a carrier of attempts and a source of lists by the protocols in `ports`, and no
parser, socket or file. Fronts and carriers stand beside each other on it.
"""

from typing import TYPE_CHECKING

from minthitch.engine.attempts import Attempt, AttemptHandle, Request, Requester
from minthitch.engine.calls import Answer, Call, Failed, Fields, Message, Refused, Rejected, Served
from minthitch.engine.clock import Clock, LoopClock
from minthitch.engine.servers import Server

if TYPE_CHECKING:
    from minthitch.engine.core import Engine
    from minthitch.engine.ports import Decider, Recorder, Source, StaticSource, Transport

__all__ = [
    "Answer",
    "Attempt",
    "AttemptHandle",
    "Call",
    "Clock",
    "Decider",
    "Engine",
    "Failed",
    "Fields",
    "LoopClock",
    "Message",
    "Recorder",
    "Refused",
    "Rejected",
    "Request",
    "Requester",
    "Served",
    "Server",
    "Source",
    "StaticSource",
    "Transport",
]

_PORTS = ("Transport", "Decider", "Recorder", "Source", "StaticSource")


def __getattr__(name: str) -> object:
    """The engine itself brings all decisions with it: programs that take only parts don't pay for them."""
    if name == "Engine":
        from minthitch.engine.core import Engine

        return Engine
    if name in _PORTS:
        from minthitch.engine import ports

        return getattr(ports, name)
    raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
