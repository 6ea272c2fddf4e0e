"""The transport-neutral host of one Balancer: requests, attempts, timers, lists and the end of life.

It knows an asker, a carrier of attempts and a source of lists by the protocols in `ports`, and no
parser, socket or file. Fronts and carriers stand beside each other on it.
"""

from minthitch.engine.attempts import Asker, Attempt, Carried, Request
from minthitch.engine.calls import (
    Answer, Call, Failed, Fields, Message, Refused, Rejected, Served)
from minthitch.engine.clock import Clock, LoopClock
from minthitch.engine.core import Engine
from minthitch.engine.fleet import Server
from minthitch.engine.ports import Carrier, Decider, Keeper, Source, StaticSource

__all__ = [
    "Answer", "Asker", "Attempt", "Call", "Carried", "Carrier", "Clock", "Decider", "Engine", "Failed",
    "Fields", "Keeper", "LoopClock", "Message", "Refused", "Rejected", "Request", "Served", "Server",
    "Source", "StaticSource",
]
