"""A node with a record and a fault at a point: `python -m rigs.doomed CONFIG POINT NTH FATE [MUTANT]`.

FATE is `kill`, SIGKILL, as a crash is: nothing is closed, flushed or told; or the port of a control on
loopback, which is asked for its fault of the store and answers once it is in force. A mutant leaves one rule
of the record out, so that a run can show that it would see the breach.
"""

from __future__ import annotations

import os
import signal
import socket
import sys
from collections.abc import Callable, Sequence
from typing import Any

from minthitch.cli.commands import read
from minthitch.engine import Engine
from minthitch.net.pool import Connection, Pool
from minthitch.program import run
from minthitch.record import attach
from minthitch.record.keeper import RecordKeeper
from minthitch.record.lifecycle import Lifecycle, Release, SendRequested
from minthitch.record.model import Claim, Record, Settle, State, Write
from minthitch.record.sql import SqlStore

POINTS = (
    "before-intent",
    "after-intent",
    "before-send",
    "after-send",
    "after-answer",
    "before-outcome",
    "after-outcome",
    "after-tell",
)
CONTROL_WITHIN = 10.0  # seconds


class Doom:
    """Counts how often the point was passed, and strikes at the nth."""

    def __init__(self, point: str, nth: int, fate: str) -> None:
        self.point, self.left, self.fate = point, nth, fate

    def at(self, point: str) -> None:
        if point == self.point:
            self.left -= 1
            if self.left == 0:
                self._strike()

    def _strike(self) -> None:
        if self.fate == "kill":
            os.kill(os.getpid(), signal.SIGKILL)
        with socket.create_connection(("127.0.0.1", int(self.fate)), timeout=CONTROL_WITHIN) as control:
            control.recv(1)  # blocks on purpose: the fault is in force exactly here


def _around(
    owner: type, name: str, before: Callable[..., None] | None, after: Callable[..., None] | None
) -> None:
    inner = getattr(owner, name)

    def outer(self: Any, *args: Any, **more: Any) -> Any:
        if before is not None:
            before(self, *args)
        result = inner(self, *args, **more)
        if after is not None:
            after(self, *args)
        return result

    setattr(owner, name, outer)


def doom(point: str, nth: int, how: str) -> None:
    """Puts the fault in its place."""
    fate = Doom(point, nth, how)

    def batch(when: str) -> Callable[..., None]:
        def look(store: Any, token: str, writes: Sequence[Write]) -> None:
            for write in writes:
                if isinstance(write, Claim):
                    fate.at(f"{when}-intent")
                elif isinstance(write, Settle):
                    fate.at(f"{when}-outcome")

        return look

    _around(SqlStore, "apply", batch("before"), batch("after"))
    _around(Pool, "start", lambda pool, attempt: fate.at("before-send"), None)
    _around(Connection, "send", None, lambda connection, attempt: fate.at("after-send"))
    _around(RecordKeeper, "may_answer", lambda keeper, request, answer: fate.at("after-answer"), None)
    _around(Engine, "release_answer", None, lambda engine, number: fate.at("after-tell"))


class IntentAfterSend(Lifecycle):
    """The send does not wait for its intent."""

    def _on_send_requested(self, now: int, call: Any, event: SendRequested) -> None:
        super()._on_send_requested(now, call, event)
        for attempt in call.waiting if not call.is_over else ():
            call.in_flight.add(attempt)
            self.actions.append(Release(call.opened.number, attempt))
        call.waiting = {}


class DoubtIsNothing(Lifecycle):
    """What is in doubt is begun anew."""

    def _on_existing(self, now: int, call: Any, record: Record) -> None:
        if record.state is State.DOUBT and not call.is_over and not call.in_flight:
            self._release_if_leased(now, call)
        else:
            super()._on_existing(now, call, record)


def no_fence(store: Any, epoch: int, reason: str) -> list[Record]:
    """A start forgets the open intents of its older epochs: the fence is left out."""
    store._count_changed("DELETE FROM records WHERE epoch = ? AND state = 'intent'", epoch)
    return []


MUTANTS = ("intent-after-send", "doubt-is-nothing", "no-fence")


def mutate(name: str) -> None:
    if name == "no-fence":
        setattr(SqlStore, "_fence", no_fence)  # noqa: B010
    else:
        lives = {"intent-after-send": IntentAfterSend, "doubt-is-nothing": DoubtIsNothing}
        setattr(attach, "Lifecycle", lives[name])  # noqa: B010


def main() -> int:
    path, point, nth, fate = sys.argv[1], sys.argv[2], int(sys.argv[3]), sys.argv[4]
    if point != "never":
        doom(point, nth, fate)
    if len(sys.argv) > 5:
        mutate(sys.argv[5])
    return run(read(path), lambda: read(path))


if __name__ == "__main__":
    sys.exit(main())
