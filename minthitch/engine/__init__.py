"""Transport-neutral host of one Balancer: requests, attempts, timers, server lists and draining.

It reaches requesters, transports and list sources through protocols only (see `ports`), and uses no parser,
socket or file. Several front ends and transports share it.
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
    """Imports the engine on first use: it loads all decisions, which users of other parts don't need."""
    if name == "Engine":
        from minthitch.engine.core import Engine

        return Engine
    if name in _PORTS:
        from minthitch.engine import ports

        return getattr(ports, name)
    raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
