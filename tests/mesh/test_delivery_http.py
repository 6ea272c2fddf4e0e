"""Requests to a server that answers late, twice, under other ids, in parts, or not at all.

A model of the server and of the wire stands behind the real connections and pool. A seed draws what
happens: how many bytes pass at a time each way, what the server says, when and how it ends.
Checked throughout: a request ends once; an answer that reaches its caller is the one that the server gave to
this very request, whole; and what is told to have not run never was begun and never is.
"""

from __future__ import annotations

import os
import random
import time
import unittest
from collections import Counter
from collections.abc import Callable
from typing import Any, cast
from unittest import mock

from minthitch.engine.calls import Message
from minthitch.mesh.http import upstream as upstream_module
from minthitch.mesh.http.upstream import (
    NOT_RUN,
    RAN,
    UNKNOWN,
    Outcome,
    ServerConnection,
    ServerPool,
    Upstream,
    UpstreamCall,
)
from rigs.simulation.loop import VirtualLoop

FAR = 3600 * 10**9  # nanoseconds until a deadline that is never reached
HISTORIES, STEPS = 3_000, 60
PLANTED_HISTORIES = 3_000  # in which a planted fault has to be found
MOST_WAITING = 3  # requests at once
HEAD_END = b"\r\n\r\n"
SEAL = b"X-Server-Seal: s\r\n"
NOT_EXECUTED = b"X-Not-Executed: 1\r\n"
CLOSE = b"Connection: close\r\n"


def answer(idents: tuple[bytes, ...], body: bytes, status: int, fields: bytes) -> bytes:
    """An answer that names these requests."""
    told = b"".join(b"X-Request-Id: %s\r\n" % ident for ident in idents)
    head = b"HTTP/1.1 %d X\r\n%b%bContent-Length: %d\r\n\r\n" % (status, told, fields, len(body))
    return head + body


class Wire:
    """Both directions of one connection, and the client's transport at it."""

    def __init__(self, world: World, room: int) -> None:
        self.world, self.room = world, room
        self.protocol: ServerConnection | None = None
        self.buffer = b""  # written by the client and still in its process
        self.sent = b""  # has left the client's process, not read by the server yet
        self.unread = b""  # said by the server, not read by the client yet
        self.closing = self.half_closed = self.paused = False
        self.partly_read = b""  # by the server: the head that comes
        self.body_left = 0
        self.received: list[bytes] = []  # requests whose head the server has, not begun
        self.running: list[bytes] = []
        self.said: list[bytes] = []  # whole answers

    # As the client's connection sees it

    def write(self, data: bytes) -> None:
        if self.closing:
            return
        now, self.buffer = data[: self.room], data[self.room :]
        self.sent += now
        if self.buffer:
            assert self.protocol is not None
            self.paused = True
            self.protocol.pause_writing()

    def get_write_buffer_size(self) -> int:
        return len(self.buffer)

    def set_write_buffer_limits(self, high: int) -> None:
        assert high == 0

    def get_extra_info(self, name: str) -> Any:
        raise AssertionError(name)

    def is_closing(self) -> bool:
        return self.closing

    def abort(self) -> None:
        if not self.closing:
            self.closing = True
            self.buffer = b""
            self.world.loop.call_soon(cast(ServerConnection, self.protocol).connection_lost, None)

    # What the world does to it

    def drain(self, size: int) -> None:
        self.sent, self.buffer = self.sent + self.buffer[:size], self.buffer[size:]
        if self.paused and not self.buffer:
            self.paused = False
            assert self.protocol is not None
            self.protocol.resume_writing()

    def server_reads(self, size: int) -> None:
        data, self.sent = self.sent[:size], self.sent[size:]
        for at in range(len(data)):
            if self.body_left:
                self.body_left -= 1
                continue
            self.partly_read += data[at : at + 1]
            if self.partly_read.endswith(HEAD_END):
                self._head()

    def _head(self) -> None:
        """A server may act as soon as it has the head."""
        fields = dict(line.split(b": ", 1) for line in self.partly_read[:-4].split(b"\r\n")[1:])
        self.received.append(fields[b"X-Request-Id"])
        self.body_left = int(fields.get(b"Content-Length", b"0"))
        self.partly_read = b""

    def says(self, data: bytes, times: int) -> None:
        self.said.append(data)
        self.unread += data * times

    def deliver(self, size: int) -> None:
        data, self.unread = self.unread[:size], self.unread[size:]
        if data and not self.closing:
            assert self.protocol is not None
            self.protocol.data_received(data)
        if self.half_closed and not self.unread and not self.closing:
            assert self.protocol is not None
            self.protocol.eof_received()
            self.abort()  # as asyncio's transports do, where nothing else is said

    def reset(self) -> None:
        self.unread, self.half_closed = b"", False
        if not self.closing:
            self.closing, self.buffer = True, b""
            assert self.protocol is not None
            self.protocol.connection_lost(ConnectionResetError())


class ModelConnection(ServerConnection):
    @property
    def is_quiet(self) -> bool:
        wire = cast(Wire, self.transport)
        return not wire.closing and not wire.unread and not wire.half_closed


class ModelPool(ServerPool):
    """Opens its connections to the model."""

    def __init__(self, world: World) -> None:
        super().__init__(8)
        self.world = world

    async def _open(self, server: Any) -> Any:
        wire = Wire(self.world, self.world.room)
        connection = wire.protocol = ModelConnection(self, server)
        connection.connection_made(cast(Any, wire))
        self.world.wires.append(wire)
        return connection


class World:
    """One pool, its connections, and all requests by id."""

    def __init__(self) -> None:
        self.loop = VirtualLoop(1)
        self.failures: list[str] = []
        self.loop.failures = lambda who, what: self.failures.append(what)
        self.wires: list[Wire] = []
        self.room = 1 << 20
        self.calls: dict[bytes, UpstreamCall] = {}
        self.outcomes: dict[bytes, Outcome] = {}
        self.begun: dict[bytes, int] = {}
        self.bodies: dict[bytes, bytes] = {}  # the server's answer to each request that it ran
        self.upstream = Upstream("10.0.0.1:80")
        self.do(self._open)

    def _open(self) -> None:
        self.pool = ModelPool(self)

    def do(self, action: Callable[..., None], *args: Any) -> None:
        """As the loop would, with all that follows at once."""
        self.loop.call_soon(action, *args)
        self.loop.run_until(self.loop.now)
        assert not self.failures, self.failures[0]  # the loop keeps what its callbacks raise

    def ask(self, body: int, once: bool) -> None:
        ident = b"r%d" % len(self.calls)
        call = self.calls[ident] = UpstreamCall(
            self.upstream,
            Message(b"POST", b"/p", ((b"X-Request-Id", ident),), b"b" * body),
            ident,
            b"life",
            b"svc",
            time.monotonic_ns() + FAR,
            once,
            lambda outcome: self._ended(ident, outcome),
        )
        self.pool.run(call)

    def _ended(self, ident: bytes, outcome: Outcome) -> None:
        assert ident not in self.outcomes, f"{ident!r} ended twice"
        self.outcomes[ident] = outcome
        if outcome.kind == NOT_RUN:
            assert ident not in self.begun, f"{ident!r} is told to have not run, and did"
        elif outcome.kind == RAN:
            assert ident in self.begun, f"an answer to {ident!r}, which was not begun"
            assert outcome.body == self.bodies.get(ident), f"{ident!r} got the answer {outcome.body!r}"

    def begin(self, wire: Wire) -> None:
        ident = wire.received.pop(0)
        self.begun[ident] = self.begun.get(ident, 0) + 1
        assert self.begun[ident] == 1, f"{ident!r} began twice"
        told = self.outcomes.get(ident)
        assert told is None or told.kind != NOT_RUN, f"{ident!r} begins after it was told that it never will"
        wire.running.append(ident)


class Walk:
    """One history: what may happen, in an order drawn from a seed."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.world = World()
        self.steps: tuple[Callable[[Wire], None], ...] = (
            self.bytes_leave,
            self.server_reads_and_begins,
            self.server_reads_and_begins,
            self.server_answers,
            self.server_answers,
            self.server_turns_away,
            self.server_repeats_an_earlier_answer,
            self.client_reads,
            self.client_reads,
            self.reset_after_a_prefix,
            self.server_half_closes,
        )

    def play(self) -> None:
        world, rng = self.world, self.rng
        for _ in range(STEPS):
            waiting = [ident for ident in world.calls if ident not in world.outcomes]
            if not waiting or (len(waiting) < MOST_WAITING and rng.random() < 0.1):
                self.ask()
            elif rng.random() < 0.03:
                world.do(world.calls[rng.choice(waiting)].cancel)
            else:
                # One that carries a request as a rule, else one that is idle or over.
                busy = [wire for wire in world.wires if not wire.closing] or world.wires
                rng.choice(self.steps)(rng.choice(busy if rng.random() < 0.9 else world.wires))
        self.end()

    def _chance(self, chance: float) -> bool:
        return self.rng.random() < chance

    def _size(self) -> int:
        """Of a part that passes: a few bytes, some, or all there are."""
        return self.rng.choice((self.rng.randrange(1, 60), self.rng.randrange(60, 400), 10_000))

    def ask(self) -> None:
        self.world.room = self.rng.choice((40, 200, 1 << 20, 1 << 20))
        self.world.do(self.world.ask, self.rng.choice((0, 0, 30, 300)), self._chance(0.5))

    def bytes_leave(self, wire: Wire) -> None:
        if wire.buffer:
            self.world.do(wire.drain, self._size())

    def server_reads_and_begins(self, wire: Wire) -> None:
        wire.server_reads(self._size())
        if wire.received:
            self.world.begin(wire)

    def server_answers(self, wire: Wire) -> None:
        if not wire.running:
            return
        ident = wire.running.pop(0)
        body = self.world.bodies[ident] = b"answer to %s" % ident
        fields = CLOSE if self._chance(0.2) else b""
        form = self.rng.choice(
            ("ran",) * 5 + ("failed", "another protocol's word", "no id", "two ids", "no seal")
        )
        if form == "no id":  # bytes of a server in trouble: they belong to no request
            data = answer((), b"", 503, fields + NOT_EXECUTED)
        elif form == "failed":
            data = answer((ident,), body, 503, fields)
        elif form == "another protocol's word":
            data = answer((ident,), body, 503, fields + b"X-Unprocessed: 1\r\n")
        else:
            idents = (ident, b"r0x") if form == "two ids" else (ident,)
            data = answer(idents, body, 200, fields + (b"" if form == "no seal" else SEAL))
        wire.says(data, 2 if self._chance(0.2) else 1)

    def server_turns_away(self, wire: Wire) -> None:
        """Before it has begun it."""
        wire.server_reads(self._size())
        if wire.received and not wire.running:
            fields = (CLOSE if self._chance(0.2) else b"") + NOT_EXECUTED
            status = self.rng.choice((503, 429, 421))
            wire.says(answer((wire.received.pop(0),), b"", status, fields), 2 if self._chance(0.2) else 1)

    def server_repeats_an_earlier_answer(self, wire: Wire) -> None:
        if wire.said:
            data = self.rng.choice(wire.said)
            if self._chance(0.3) and CLOSE not in data:
                data = data.replace(b"Content-Length", CLOSE + b"Content-Length")
            wire.says(data, 1)

    def client_reads(self, wire: Wire) -> None:
        """Some bytes, or the first answer and nothing behind it."""
        first = next((data for data in wire.said if wire.unread.startswith(data)), b"")
        self.world.do(wire.deliver, len(first) if first and self._chance(0.5) else self._size())

    def reset_after_a_prefix(self, wire: Wire) -> None:
        if self._chance(0.3 if wire.unread else 0.05):
            self.world.do(wire.deliver, self.rng.randrange(len(wire.unread) + 1))
            self.world.do(wire.reset)

    def server_half_closes(self, wire: Wire) -> None:
        if self._chance(0.1):
            wire.half_closed = True

    def end(self) -> None:
        """The server begins all that has left; what is open is given up."""
        world = self.world
        for wire in world.wires:
            wire.server_reads(len(wire.sent))
            while wire.received:
                world.begin(wire)
        for call in world.calls.values():
            world.do(call.cancel)
        assert set(world.outcomes) == set(world.calls), "a request without an outcome"
        world.do(world.pool.close)


def walk(histories: int) -> Counter[str]:
    """Plays that many histories, and counts their outcomes."""
    counts: Counter[str] = Counter()
    for seed in range(histories):
        history = Walk(seed)
        try:
            history.play()
        except AssertionError as err:
            raise AssertionError(f"history {seed}: {err}") from err
        counts.update(outcome.kind for outcome in history.world.outcomes.values())
    return counts


class Drawn(unittest.TestCase):
    def test_every_answer_is_its_requests_own_and_what_did_not_run_never_did(self) -> None:
        counts = walk(HISTORIES)
        self.assertGreater(min(counts[RAN], counts[NOT_RUN], counts[UNKNOWN]), HISTORIES // 5)


class Planted(unittest.TestCase):
    """Each fault put into the code has to be found."""

    def found(self, words: str) -> None:
        with self.assertRaisesRegex(AssertionError, words) as caught:
            walk(PLANTED_HISTORIES)
        if os.environ.get("SHOW_FOUND"):
            print(f"{self.id()}: {caught.exception}")

    def test_an_answer_whose_id_is_not_looked_at(self) -> None:
        def careless(call: UpstreamCall, status: int, said: bool, fields: Any, body: bytes) -> Outcome:
            named = (
                *((n, v) for n, v in fields if n.lower() != b"x-request-id"),
                (b"X-Request-Id", call.identity),
            )
            return judge(call, status, said, named, body)

        judge = upstream_module.judge
        with (
            mock.patch.object(upstream_module, "judge", careless),
            mock.patch.object(ServerConnection, "_is_anothers", lambda self, call: False),
        ):
            self.found("got the answer|not begun|have not run|never will")

    def test_another_requests_word_that_it_did_not_run(self) -> None:
        """As the code was: "not run" was believed before the id was looked at."""

        def careless(call: UpstreamCall, status: int, said: bool, fields: Any, body: bytes) -> Outcome:
            if status == 421 or (said and status in (400, 429, 503)):
                return Outcome(NOT_RUN, status, why="turned away")
            return judge(call, status, said, fields, body)

        judge = upstream_module.judge
        with mock.patch.object(upstream_module, "judge", careless):
            self.found("have not run|never will")

    def test_never_left_claimed_after_a_partial_write(self) -> None:
        """As the code was: only the last byte counted as the request's leaving."""

        def send(connection: ServerConnection, attempt: Any) -> None:
            real(connection, attempt)
            attempt.written = connection.written

        real = ServerConnection.send
        with mock.patch.object(ServerConnection, "send", send):
            self.found("have not run|never will")

    def test_a_field_of_another_protocol_taken_for_the_servers_word(self) -> None:
        """As the code was: the node's own field counted here, too."""

        def on_header(connection: ServerConnection, name: bytes, value: bytes) -> None:
            real(connection, name, value)
            connection.not_executed = connection.not_executed or connection.unprocessed

        real = ServerConnection.on_header
        with mock.patch.object(ServerConnection, "on_header", on_header):
            self.found("have not run")

    def test_an_answer_in_parts_taken_for_whole(self) -> None:
        """A connection that ends inside an answer ends the answer."""

        def lost(connection: ServerConnection, exc: Exception | None) -> None:
            if connection.head_complete and not connection.complete and connection.attempt is not None:
                connection._freeze_answer()
                connection._on_answer_complete()
            real(connection, exc)

        real = ServerConnection.connection_lost
        with mock.patch.object(ServerConnection, "connection_lost", lost):
            self.found("got the answer")


if __name__ == "__main__":
    unittest.main()
