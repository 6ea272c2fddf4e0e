"""What waits to be agreed at one control node: own proposals while it leads, and those forwarded to the
leader."""

from __future__ import annotations

from typing import Any, Protocol

from minthitch.mesh.raft.node import RaftNode
from minthitch.mesh.raft.actions import Action
from minthitch.mesh.raft.log import Entry
from minthitch.mesh.control.orders import Result
from minthitch.mesh.control.state import CONFIG, State, command
from minthitch.mesh.transport import ops
from minthitch.mesh.transport.connection import Connection
from minthitch.mesh.transport.link import Link

UNCLEAR = 3.0  # seconds after which a proposal is forgotten: those who ask for claims ask again
MOST_PROPOSED = 20_000  # proposals that wait for their result


class Host(Protocol):
    """The control node that they wait at."""

    core: RaftNode
    state: State
    links: dict[str, Link]

    @property
    def bad(self) -> bool: ...  # its disk
    def act(self, actions: list[Action]) -> None: ...
    def propose(self, kind: int, data: bytes, done: Result) -> None: ...
    def time(self) -> float: ...


class Waiting:
    """Those who wait for one entry of the own log."""

    __slots__ = ("term", "callers", "since")

    def __init__(self, term: int, since: float) -> None:
        self.term, self.since = term, since
        self.callers: list[Result] = []

    def tell(self, result: tuple[Any, ...] | None) -> None:
        for done in self.callers:
            done(result)


class Proposals:
    """Each is told its result once, or None where that is unclear."""

    def __init__(self, host: Host) -> None:
        self.host = host
        self.waiting: dict[int, Waiting] = {}  # by index
        self.forwarded: dict[int, tuple[Result, float]] = {}
        self.unapplied: dict[bytes, tuple[int, int]] = {}  # orders in the own log: body -> index, term
        self.next = 1

    def propose(self, kind: int, data: bytes, done: Result) -> None:
        """`done` is told the result once it is agreed, or None where that is unclear or nobody leads."""
        if self.host.core.role != "leader":
            self.forward(ops.FORWARD, (kind, data), done)
            return
        placed = self._repeated(data) if kind == CONFIG else None
        if placed is None:
            placed = self.place(kind, data)
        if placed is None:
            done(None)
            return
        index, term = placed
        before = self.waiting.get(index)
        if before is not None and before.term != term:
            before.tell(None)  # its entry was cut off by another leader's: it will never be applied
            before = None
        if before is None:
            before = self.waiting[index] = Waiting(term, self.host.time())
        before.callers.append(done)
        if kind == CONFIG:
            self.unapplied[data] = placed

    def place(self, kind: int, data: bytes) -> tuple[int, int] | None:
        """Appends to the own log; index and term, or None where this node can't lead now."""
        host, placed = self.host, None
        if len(self.waiting) < MOST_PROPOSED and not host.bad:
            placed = host.core.propose(host.time(), command(kind, data))
        host.act(host.core.drain())
        return placed

    def _repeated(self, body: bytes) -> tuple[int, int] | None:
        """Where the same order stands in the own log and isn't applied yet.

        Danger: over a thin link a long order takes longer than its callers wait. Appended once more with each
        repeat, it would never come through.
        """
        placed, core = self.unapplied.get(body), self.host.core
        return (
            placed
            if placed is not None and placed[1] == core.term and placed[0] > core.last_applied
            else None
        )

    def applied(self, entry: Entry, result: tuple[Any, ...]) -> None:
        """Tells whoever waits at that index; another term's entry there is not what was asked for."""
        waiting = self.waiting.pop(entry.index, None)
        if waiting is not None:
            waiting.tell(result if waiting.term == entry.term else None)
        for body in [body for body, (index, _) in self.unapplied.items() if index <= entry.index]:
            del self.unapplied[body]

    def forward(self, op: int, rest: tuple[Any, ...], done: Result) -> None:
        """Asks the leader."""
        host = self.host
        leader = (host.core.leader or "").partition("#")[0]
        link = host.links.get(leader)
        if link is None or not link.up or len(self.forwarded) >= MOST_PROPOSED:
            done(None)
            return
        ident, self.next = self.next, self.next + 1
        self.forwarded[ident] = done, host.time()
        link.send((op, ident, *rest), 0)

    def heard(self, message: ops.Message) -> None:
        """The leader's answer to one that was forwarded."""
        waiting = self.forwarded.pop(message[1], None)
        if waiting is not None:
            waiting[0](message[3] if message[2] else None)

    def for_other(self, connection: Connection, message: ops.Message) -> None:
        """Another control node takes this one for the leader."""
        _, ident, kind, data = message
        if self.host.core.role == "leader":
            self.host.propose(kind, data, lambda result: answer(connection, ident, result))
        else:  # danger: forwarding it once more could go in a circle
            answer(connection, ident, None)

    def resend(self) -> None:
        """Nobody knows any more what became of these: who asked asks again, which does no harm."""
        lost, self.forwarded = self.forwarded, {}
        self.unapplied.clear()
        for done, _ in lost.values():
            done(None)

    def expire(self, now: float) -> None:
        for index in [i for i, waiting in self.waiting.items() if waiting.since < now - UNCLEAR]:
            self.waiting.pop(index).tell(None)
        for ident in [i for i, (_, since) in self.forwarded.items() if since < now - UNCLEAR]:
            self.forwarded.pop(ident)[0](None)

    def count(self) -> int:
        return len(self.waiting) + len(self.forwarded)


def answer(connection: Connection, ident: int, result: tuple[Any, ...] | None) -> None:
    if connection.up:
        connection.send((ops.RESULT, ident, result is not None, result), 0)
