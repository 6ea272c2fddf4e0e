"""Requests to a server that responds late, twice, with wrong ids, partially, or not at all.

The real connections and pool run against a model of the server and of the network. A random seed decides what
happens: how many bytes pass at a time in each direction, what the server sends, when and how it closes.
Checked throughout: a request ends exactly once; a response that reaches its caller is the complete one that
the server gave to this request; a request reported as not run was never begun and never will be.
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

DISTANT_DEADLINE = 3600 * 10**9  # nanoseconds; never reached
HISTORIES, STEPS = 3_000, 60
INJECTED_FAULT_HISTORIES = 3_000  # in which an injected fault must be found
MAX_CONCURRENT = 3  # requests
HEAD_END = b"\r\n\r\n"
SEAL = b"X-Server-Seal: s\r\n"
NOT_EXECUTED = b"X-Not-Executed: 1\r\n"
CLOSE = b"Connection: close\r\n"


def answer(idents: tuple[bytes, ...], body: bytes, status: int, fields: bytes) -> bytes:
    """A response that carries these request ids."""
    ids = b"".join(b"X-Request-Id: %s\r\n" % ident for ident in idents)
    head = b"HTTP/1.1 %d X\r\n%b%bContent-Length: %d\r\n\r\n" % (status, ids, fields, len(body))
    return head + body


class Wire:
    """Both directions of one connection, and the client's transport at it."""

    def __init__(self, world: World, write_capacity: int) -> None:
        self.world, self.write_capacity = world, write_capacity
        self.protocol: ServerConnection | None = None
        self.buffer = b""  # written by the client, not yet taken by the operating system
        self.sent = b""  # taken by the operating system, not yet read by the server
        self.unread = b""  # sent by the server, not yet read by the client
        self.closing = self.half_closed = self.paused = False
        self.partly_read = b""  # by the server: an incomplete request head
        self.body_left = 0
        self.received: list[bytes] = []  # requests whose head has arrived, not begun
        self.running: list[bytes] = []
        self.responses: list[bytes] = []  # complete responses

    # The transport as the client's connection uses it

    def write(self, data: bytes) -> None:
        if self.closing:
            return
        now, self.buffer = data[: self.write_capacity], data[self.write_capacity :]
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

    # Events that the history triggers

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
                self._on_request_head()

    def _on_request_head(self) -> None:
        """A server may act as soon as it has the request head."""
        fields = dict(line.split(b": ", 1) for line in self.partly_read[:-4].split(b"\r\n")[1:])
        self.received.append(fields[b"X-Request-Id"])
        self.body_left = int(fields.get(b"Content-Length", b"0"))
        self.partly_read = b""

    def respond(self, data: bytes, times: int) -> None:
        self.responses.append(data)
        self.unread += data * times

    def deliver(self, size: int) -> None:
        data, self.unread = self.unread[:size], self.unread[size:]
        if data and not self.closing:
            assert self.protocol is not None
            self.protocol.data_received(data)
        if self.half_closed and not self.unread and not self.closing:
            assert self.protocol is not None
            self.protocol.eof_received()
            self.abort()  # as asyncio's transports do by default

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
    """Connects to the model of the server."""

    def __init__(self, world: World) -> None:
        super().__init__(8)
        self.world = world

    async def _open(self, server: Any) -> Any:
        wire = Wire(self.world, self.world.write_capacity)
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
        self.write_capacity = 1 << 20
        self.calls: dict[bytes, UpstreamCall] = {}
        self.outcomes: dict[bytes, Outcome] = {}
        self.begun: dict[bytes, int] = {}
        self.bodies: dict[bytes, bytes] = {}  # the server's response to each request that it ran
        self.upstream = Upstream("10.0.0.1:80")
        self.do(self._open)

    def _open(self) -> None:
        self.pool = ModelPool(self)

    def do(self, action: Callable[..., None], *args: Any) -> None:
        """Run `action` in the loop, and all callbacks that become due."""
        self.loop.call_soon(action, *args)
        self.loop.run_until(self.loop.now)
        assert not self.failures, self.failures[0]  # exceptions of callbacks are collected by the loop

    def ask(self, body: int, once: bool) -> None:
        ident = b"r%d" % len(self.calls)
        call = self.calls[ident] = UpstreamCall(
            self.upstream,
            Message(b"POST", b"/p", ((b"X-Request-Id", ident),), b"b" * body),
            ident,
            b"life",
            b"svc",
            time.monotonic_ns() + DISTANT_DEADLINE,
            once,
            lambda outcome: self._ended(ident, outcome),
        )
        self.pool.run(call)

    def _ended(self, ident: bytes, outcome: Outcome) -> None:
        assert ident not in self.outcomes, f"{ident!r} ended twice"
        self.outcomes[ident] = outcome
        if outcome.kind == NOT_RUN:
            assert ident not in self.begun, f"{ident!r} is reported to have not run, and did"
        elif outcome.kind == RAN:
            assert ident in self.begun, f"an answer to {ident!r}, which was not begun"
            assert outcome.body == self.bodies.get(ident), f"{ident!r} got the answer {outcome.body!r}"

    def begin(self, wire: Wire) -> None:
        ident = wire.received.pop(0)
        self.begun[ident] = self.begun.get(ident, 0) + 1
        assert self.begun[ident] == 1, f"{ident!r} began twice"
        outcome = self.outcomes.get(ident)
        assert outcome is None or outcome.kind != NOT_RUN, (
            f"{ident!r} begins after it was reported that it never will"
        )
        wire.running.append(ident)


class History:
    """One history: random events in random order, from a seed."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.world = World()
        self.steps: tuple[Callable[[Wire], None], ...] = (
            self.bytes_leave,
            self.server_reads_and_begins,
            self.server_reads_and_begins,
            self.server_answers,
            self.server_answers,
            self.server_rejects,
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
            if not waiting or (len(waiting) < MAX_CONCURRENT and rng.random() < 0.1):
                self.ask()
            elif rng.random() < 0.03:
                world.do(world.calls[rng.choice(waiting)].cancel)
            else:
                # Usually an open connection, sometimes any, closed ones included.
                busy = [wire for wire in world.wires if not wire.closing] or world.wires
                rng.choice(self.steps)(rng.choice(busy if rng.random() < 0.9 else world.wires))
        self.end()

    def _chance(self, chance: float) -> bool:
        return self.rng.random() < chance

    def _size(self) -> int:
        """Size of a chunk that passes: a few bytes, some, or everything."""
        return self.rng.choice((self.rng.randrange(1, 60), self.rng.randrange(60, 400), 10_000))

    def ask(self) -> None:
        self.world.write_capacity = self.rng.choice((40, 200, 1 << 20, 1 << 20))
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
        if form == "no id":  # from a failing server: it belongs to no request
            data = answer((), b"", 503, fields + NOT_EXECUTED)
        elif form == "failed":
            data = answer((ident,), body, 503, fields)
        elif form == "another protocol's word":
            data = answer((ident,), body, 503, fields + b"X-Unprocessed: 1\r\n")
        else:
            idents = (ident, b"r0x") if form == "two ids" else (ident,)
            data = answer(idents, body, 200, fields + (b"" if form == "no seal" else SEAL))
        wire.respond(data, 2 if self._chance(0.2) else 1)

    def server_rejects(self, wire: Wire) -> None:
        """Reject a request before beginning it."""
        wire.server_reads(self._size())
        if wire.received and not wire.running:
            fields = (CLOSE if self._chance(0.2) else b"") + NOT_EXECUTED
            status = self.rng.choice((503, 429, 421))
            wire.respond(answer((wire.received.pop(0),), b"", status, fields), 2 if self._chance(0.2) else 1)

    def server_repeats_an_earlier_answer(self, wire: Wire) -> None:
        if wire.responses:
            data = self.rng.choice(wire.responses)
            if self._chance(0.3) and CLOSE not in data:
                data = data.replace(b"Content-Length", CLOSE + b"Content-Length")
            wire.respond(data, 1)

    def client_reads(self, wire: Wire) -> None:
        """Deliver some bytes, or exactly the first response."""
        first = next((data for data in wire.responses if wire.unread.startswith(data)), b"")
        self.world.do(wire.deliver, len(first) if first and self._chance(0.5) else self._size())

    def reset_after_a_prefix(self, wire: Wire) -> None:
        if self._chance(0.3 if wire.unread else 0.05):
            self.world.do(wire.deliver, self.rng.randrange(len(wire.unread) + 1))
            self.world.do(wire.reset)

    def server_half_closes(self, wire: Wire) -> None:
        if self._chance(0.1):
            wire.half_closed = True

    def end(self) -> None:
        """The server begins every request that was sent; open requests are cancelled."""
        world = self.world
        for wire in world.wires:
            wire.server_reads(len(wire.sent))
            while wire.received:
                world.begin(wire)
        for call in world.calls.values():
            world.do(call.cancel)
        assert set(world.outcomes) == set(world.calls), "a request without an outcome"
        world.do(world.pool.close)


def run_histories(histories: int) -> Counter[str]:
    """Run that many histories and count their outcomes."""
    counts: Counter[str] = Counter()
    for seed in range(histories):
        history = History(seed)
        try:
            history.play()
        except AssertionError as err:
            raise AssertionError(f"history {seed}: {err}") from err
        counts.update(outcome.kind for outcome in history.world.outcomes.values())
    return counts


class RandomHistories(unittest.TestCase):
    def test_each_response_belongs_to_its_request_and_not_run_is_always_true(self) -> None:
        counts = run_histories(HISTORIES)
        self.assertGreater(min(counts[RAN], counts[NOT_RUN], counts[UNKNOWN]), HISTORIES // 5)


class InjectedFaults(unittest.TestCase):
    """Each fault that is injected into the code must be found."""

    def assert_found(self, words: str) -> None:
        with self.assertRaisesRegex(AssertionError, words) as caught:
            run_histories(INJECTED_FAULT_HISTORIES)
        if os.environ.get("SHOW_FOUND"):
            print(f"{self.id()}: {caught.exception}")

    def test_a_response_whose_id_is_not_checked(self) -> None:
        def faulty(call: UpstreamCall, status: int, not_executed: bool, fields: Any, body: bytes) -> Outcome:
            named = (
                *((n, v) for n, v in fields if n.lower() != b"x-request-id"),
                (b"X-Request-Id", call.request_id),
            )
            return classify_response(call, status, not_executed, named, body)

        classify_response = upstream_module.classify_response
        with (
            mock.patch.object(upstream_module, "classify_response", faulty),
            mock.patch.object(ServerConnection, "_is_stray", lambda self, call: False),
        ):
            self.assert_found("got the answer|not begun|have not run|never will")

    def test_not_run_taken_from_the_response_to_another_request(self) -> None:
        """A former bug: "not run" was accepted before the id was checked."""

        def faulty(call: UpstreamCall, status: int, not_executed: bool, fields: Any, body: bytes) -> Outcome:
            if status == 421 or (not_executed and status in (400, 429, 503)):
                return Outcome(NOT_RUN, status, reason="turned away")
            return classify_response(call, status, not_executed, fields, body)

        classify_response = upstream_module.classify_response
        with mock.patch.object(upstream_module, "classify_response", faulty):
            self.assert_found("have not run|never will")

    def test_not_run_reported_after_a_partial_write(self) -> None:
        """A former bug: a request counted as sent only with its last byte."""

        def send(connection: ServerConnection, attempt: Any) -> None:
            real(connection, attempt)
            attempt.written = connection.written

        real = ServerConnection.send
        with mock.patch.object(ServerConnection, "send", send):
            self.assert_found("have not run|never will")

    def test_not_run_taken_from_a_header_of_another_protocol(self) -> None:
        """A former bug: the header X-Unprocessed of the node's protocol counted here, too."""

        def on_header(connection: ServerConnection, name: bytes, value: bytes) -> None:
            real(connection, name, value)
            connection.not_executed = connection.not_executed or connection.unprocessed

        real = ServerConnection.on_header
        with mock.patch.object(ServerConnection, "on_header", on_header):
            self.assert_found("have not run")

    def test_a_truncated_response_taken_as_complete(self) -> None:
        """The end of the connection is taken as the end of the response."""

        def lost(connection: ServerConnection, exc: Exception | None) -> None:
            if connection.head_complete and not connection.complete and connection.attempt is not None:
                connection._freeze_answer()
                connection._on_answer_complete()
            real(connection, exc)

        real = ServerConnection.connection_lost
        with mock.patch.object(ServerConnection, "connection_lost", lost):
            self.assert_found("got the answer")


if __name__ == "__main__":
    unittest.main()
