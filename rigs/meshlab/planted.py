"""Faults of programming put into the real code, each of which the model must find."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import ExitStack, contextmanager
from typing import Any
from unittest import mock

from minthitch.anvil.core import Core
from minthitch.clamp.budget import Budget, Charge
from minthitch.clamp.lease import Holder
from minthitch.forge import hall as hall_module
from minthitch.forge.hall import Hall
from minthitch.forge.state import CONFIG
from minthitch.press.items import Replica, _DELTA
from minthitch.pulley import ops
from minthitch.stamp.book import Book
from minthitch.vise.gatehouse import Gatehouse
from minthitch.vise.keys import Keys
from minthitch.vise.links import GRANTED, Forges
from rigs.meshlab.disk import SimWriter
from rigs.meshlab.mesh import KEY_WINDOW, SLACK

Patch = Any  # a patch of unittest.mock


class Forgetful(Core):
    """Votes for whoever asks, as often as it is asked."""

    def receive(self, now: float, src: str, message: tuple[Any, ...]) -> list[Any]:
        if message[0] == "vote" and message[1] == self.term and self.role != "leader":
            self.vote = ""
        return super().receive(now, src, message)


def _hasty(hall: Hall, kind: int, data: bytes, done: Any) -> None:
    if kind == CONFIG and hall.core.role == "leader":
        _PROPOSE(hall, kind, data, lambda result: None)
        done((200, "", True))
    else:
        _PROPOSE(hall, kind, data, done)


_PROPOSE = Hall.propose


def _unsynced(writer: SimWriter, persist: Any) -> None:
    _PUT(writer, persist)
    writer.loop.after(0.0, writer.machine, writer.done, persist.ticket)


_PUT = SimWriter.put


def _unclaimed(forges: Forges, body: tuple[Any, ...], deadline: float, done: Any) -> None:
    forges.loop.call_soon(done, GRANTED, body[1], body[2], body[3])


def _older(replica: Replica, delta: bytes) -> bool:
    new = _DELTA.decode(delta)
    for row in new.rows:
        replica._rows[row.section, row.name] = row
    replica.index = new.index
    return True


def _any_life(gatehouse: Gatehouse, origin: Any, reply: Any, message: ops.Message) -> None:
    own, gatehouse.life = gatehouse.life, message[2]
    try:
        _CALL(gatehouse, origin, reply, message)
    finally:
        gatehouse.life = own


_CALL = Gatehouse.call


def _undrained(gatehouse: Gatehouse, state: str) -> None:
    if state == "up":
        _BE(gatehouse, state)


_BE = Gatehouse._be


def _asked_free(keys: Keys, ident: int, claim: bytes, reply: Any) -> None:
    """What this life knows nothing of is said to be free."""
    if claim in keys.book.held:
        _ASKED(keys, ident, claim, reply)
    else:
        reply((ops.TOLD, ident, "free", 0, (), b""))


_ASKED = Keys.asked


PLANTED: dict[str, Callable[[], list[Patch]]] = {
    "configuration acknowledged before it is agreed": lambda: [mock.patch.object(Hall, "propose", _hasty)],
    "agreed before it is synced": lambda: [mock.patch.object(SimWriter, "put", _unsynced)],
    "a vote forgotten": lambda: [mock.patch.object(hall_module, "Core", Forgetful)],
    "a key freed that may have run": lambda: [mock.patch.object(Book, "lost", Book.freed)],
    "a claim of a life before taken for free": lambda: [mock.patch.object(Keys, "asked", _asked_free)],
    "keys not claimed": lambda: [mock.patch.object(Forges, "claim", _unclaimed)],
    "claims forgotten too soon": lambda: [mock.patch.object(hall_module, "ROTATE_SLACK", 1.0 - KEY_WINDOW)],
    "a budget without bound": lambda: [mock.patch.object(Budget, "spend", lambda *args: Charge(0, True)),
                                       mock.patch.object(Budget, "left", lambda *args: 9)],
    "a replica that takes older state": lambda: [mock.patch.object(Replica, "merge", _older)],
    "a gate that passes calls of another life": lambda: [mock.patch.object(Gatehouse, "call", _any_life)],
    "a gate that is deaf to draining": lambda: [mock.patch.object(Gatehouse, "_be", _undrained)],
    "slack without a lease": lambda: [mock.patch.object(Holder, "part", lambda *args: int(SLACK))],
}


@contextmanager
def planted(name: str) -> Iterator[None]:
    with ExitStack() as stack:
        for patch in PLANTED[name]():
            stack.enter_context(patch)
        yield
