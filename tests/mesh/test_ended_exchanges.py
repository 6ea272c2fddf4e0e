"""The sidecar that a client calls holds no body of a request that has ended, in whichever way it ended.

A request's body is sent over a link to another sidecar. Guards against: what a lost connection had queued or
received in part stayed as long as anything referred to the connection, such as a call that runs on; and the
bodies of requests whose clients were answered or gone stayed until their last attempt ended.
"""

from __future__ import annotations

import asyncio
import math
import random
import socket
import unittest
from collections.abc import Awaitable, Callable
from types import SimpleNamespace
from typing import Any

from minthitch.mesh.configuration.routes import Route
from minthitch.mesh.idempotency.operations import OperationTable
from minthitch.mesh.sidecar.attempt_dispatcher import AttemptDispatcher
from minthitch.mesh.sidecar.exchange import Exchange
from minthitch.mesh.transport import ops
from minthitch.mesh.transport.connection import Connection
from minthitch.net.callers import Incoming
from tests.mesh.retained_memory import (
    BODY_BYTES,
    RETAINED_BYTES,
    ROUNDS,
    RetainedMemory,
    run_on_daemon_loop,
    settle,
    until,
)

OWN_IP, SERVER_IPS = "127.0.0.9", ("127.0.0.1", "127.0.0.2")
LONG_S, SHORT_S = 60.0, 0.1
NARROW_BYTES = 128 * 1024  # of a socket buffer: far less than a body
ANSWER_TAIL = (200, (), b"ok", 0, 0)
Act = Callable[[Connection, int], None]


def answer(connection: Connection, ident: int) -> None:
    """The server's answer."""
    connection.send((ops.ANSWER, ident, *ANSWER_TAIL))


def reject(connection: Connection, ident: int) -> None:
    """The call did not run."""
    connection.send((ops.REJECTED, ident, "full", False, 0, 0, 0.0))


def unknown(connection: Connection, ident: int) -> None:
    """The call may have run."""
    connection.send((ops.OUTCOME_UNKNOWN, ident, "reset", 0, 0))


def abort(connection: Connection, ident: int) -> None:
    """The connection is lost."""
    connection.close()


def grant(connection: Connection, ident: int) -> None:
    """The body may be sent."""
    connection.send((ops.GRANT, ident), 0)


def ignore(connection: Connection, ident: int) -> None:
    """No reply."""


class Receiver:
    """The sidecars that are called: they act on offers and calls by a script, and keep nothing of them."""

    def __init__(self) -> None:
        self.on_offer: Act = grant
        self.on_call: Act = answer
        self.connections: set[Connection] = set()
        self.calls: list[tuple[Connection, int]] = []

    def connect(self) -> Connection:
        """A connection that another sidecar opens."""
        return Connection(self, self.connections.add)

    def on_message(self, connection: Connection, message: ops.Message) -> None:
        """Act on a message."""
        if message[0] == ops.OFFER:
            self.on_offer(connection, message[1])
        elif message[0] == ops.CALL:
            self.calls.append((connection, message[1]))
            self.on_call(connection, message[1])

    def on_connection_lost(self, connection: Connection) -> None:
        """The other sidecar is gone."""
        self.connections.discard(connection)


class EndedExchanges(unittest.TestCase):
    """Each test ends requests in one way, and measures what is left."""

    def play(self, way: Callable[[], Awaitable[None]]) -> None:
        async def main() -> None:
            await self._start()
            await way()  # whatever is made once is made now
            with RetainedMemory() as retained:
                for _ in range(ROUNDS):
                    await way()
                size, cyclic = retained.size, retained.cyclic_types()
            await self._stop()
            self.assertLess(size, RETAINED_BYTES)
            self.assertEqual(cyclic, set())

        run_on_daemon_loop(main)

    def play_running(self, begin: Callable[[], Awaitable[None]]) -> None:
        """Measures while what was begun runs on."""

        async def main() -> None:
            await self._start()
            await begin()
            with RetainedMemory() as retained:
                for _ in range(ROUNDS):
                    await begin()
                size = retained.size
            await self._stop()
            self.assertLess(size, RETAINED_BYTES)

        run_on_daemon_loop(main)

    async def _start(self) -> None:
        loop = asyncio.get_running_loop()
        self.receiver, self.statuses, self.exchanges = Receiver(), list[int](), set[Exchange]()
        first = await loop.create_server(self.receiver.connect, SERVER_IPS[0], 0)
        port = first.sockets[0].getsockname()[1]
        second = await loop.create_server(self.receiver.connect, SERVER_IPS[1], port)
        self.servers = [first, second]
        self.endpoints = [SimpleNamespace(ip=ip, server_id=f"on {ip}", in_flight=0) for ip in SERVER_IPS]
        self.endpoint_count, self.hedge_delay = 1, LONG_S
        budget = SimpleNamespace(
            remaining=lambda now: 9, spend=lambda now: object(), refund=lambda charge: None
        )
        load_balancer = SimpleNamespace(
            pick=lambda *arguments: [
                endpoint
                for endpoint in self.endpoints[: self.endpoint_count]
                if endpoint.server_id not in arguments[-1]
            ][:1],
            hedge_delay=lambda route, target: self.hedge_delay,
            endpoints={"s": {endpoint.server_id: endpoint for endpoint in self.endpoints}},
            on_sent=lambda endpoint: None,
            on_ended=lambda *arguments, **named: None,
            on_load_report=lambda *arguments: None,
            avoid=lambda *arguments: None,
        )
        sidecar: Any = SimpleNamespace(
            loop=loop,
            settings=SimpleNamespace(own=SimpleNamespace(ip=OWN_IP)),
            name="caller/1",
            port=port,
            caller=b"svc",
            answer_by=math.inf,
            random=random.Random(1),
            controls=SimpleNamespace(views=SimpleNamespace(merged={})),
            peer_queries=SimpleNamespace(on_peer_lost=lambda peer: None),
            load_balancer=load_balancer,
            retry_budget=SimpleNamespace(budget_for=lambda service: budget),
            keys=SimpleNamespace(operations=OperationTable(LONG_S)),
            count_error=lambda kind, route: None,
            on_exchange_closed=self.exchanges.discard,
        )
        self.sidecar = sidecar
        self.dispatcher = sidecar.dispatcher = AttemptDispatcher(sidecar)

    async def _stop(self) -> None:
        self.dispatcher.close()
        for server in self.servers:
            server.close()
        await settle()

    def request(self, kind: str = "upload", time_left: float = LONG_S) -> Exchange:
        """A client's request with a large body arrives."""
        item = Incoming()
        item.method, item.target, item.body = b"POST", b"/", bytes(BODY_BYTES)
        item.fields = {b"x-request-id": b"1"}
        client: Any = SimpleNamespace(
            token=1, respond=lambda token, status, fields, body: self.statuses.append(status)
        )
        route = Route("r", kind, LONG_S, LONG_S, 1, 3, ())
        exchange = Exchange(
            self.sidecar, client, item, route, "s", self.sidecar.loop.time(), time_left, False
        )
        self.exchanges.add(exchange)
        exchange.start()
        return exchange

    async def ended(self) -> None:
        """All requests have ended."""
        await until(lambda: not self.exchanges and not self.dispatcher.attempts, "all requests have ended")
        self.receiver.calls.clear()

    async def called(self) -> None:
        """One more call has arrived."""
        await until(lambda: self.receiver.calls, "the call has arrived")
        self.receiver.calls.clear()

    def ended_by(self, on_call: Act, on_offer: Act = grant, kind: str = "upload") -> None:
        async def way() -> None:
            self.receiver.on_call, self.receiver.on_offer = on_call, on_offer
            self.request(kind)
            await self.ended()

        self.play(way)

    def test_answered(self) -> None:
        self.ended_by(answer)

    def test_rejected(self) -> None:
        self.ended_by(reject)

    def test_rejected_before_its_body_is_sent(self) -> None:
        self.ended_by(answer, on_offer=reject)

    def test_outcome_unknown(self) -> None:
        self.ended_by(unknown)

    def test_connection_lost_while_it_runs(self) -> None:
        self.ended_by(abort)

    def test_connection_lost_before_its_body_is_sent(self) -> None:
        self.ended_by(answer, on_offer=abort)

    def test_connection_lost_while_its_body_is_sent(self) -> None:
        async def way() -> None:
            self.receiver.on_offer = self._grant_and_stop_reading
            await self._connect_narrowly()
            self.request()
            await until(lambda: self._is_sending(), "its body is sent")
            for connection in list(self.receiver.connections):
                connection.close()
            await self.ended()

        self.play(way)

    @staticmethod
    def _grant_and_stop_reading(connection: Connection, ident: int) -> None:
        grant(connection, ident)
        assert connection.transport is not None
        connection.transport.pause_reading()

    def _is_sending(self) -> bool:
        return any(
            attempt.outgoing is not None and attempt.outgoing.offset
            for attempt in self.dispatcher.attempts.values()
        )

    def test_no_connection_can_be_made(self) -> None:
        async def way() -> None:
            for server in self.servers:
                server.close()
            for connection in list(self.receiver.connections):
                connection.close()
            await settle()
            self.request()
            await self.ended()

        self.play(way)

    def test_deadline_before_its_body_is_sent(self) -> None:
        async def way() -> None:
            self.receiver.on_offer = ignore
            self.request(time_left=SHORT_S)
            await self.ended()

        self.play(way)

    def test_deadline_of_an_idempotent_request_while_it_runs(self) -> None:
        async def way() -> None:
            self.receiver.on_call = ignore
            self.request("idempotent", time_left=SHORT_S)
            await self.ended()

        self.play(way)

    def test_deadline_while_its_body_is_sent(self) -> None:
        async def way() -> None:
            self.receiver.on_offer = self._grant_and_stop_reading
            await self._connect_narrowly()
            self.request(time_left=SHORT_S)
            await until(lambda: self._is_sending(), "its body is sent")
            await self.ended()
            self.assertGreater(self._unsent(), 0)
            for connection in self.receiver.connections:
                assert connection.transport is not None
                connection.transport.resume_reading()
            await until(lambda: not self._unsent(), "what was begun is sent to its end")

        self.play(way)

    async def _connect_narrowly(self) -> None:
        """Connect with socket buffers that hold far less than a body."""
        peer = self.dispatcher.peer(SERVER_IPS[0])
        peer.link.start()
        await until(lambda: peer.link.up and self.receiver.connections, "connected")
        assert peer.link.connection is not None
        for connection in (peer.link.connection, *self.receiver.connections):
            assert connection.transport is not None
            sock = connection.transport.get_extra_info("socket")
            for option in (socket.SO_SNDBUF, socket.SO_RCVBUF):
                sock.setsockopt(socket.SOL_SOCKET, option, NARROW_BYTES)

    def _unsent(self) -> int:
        return sum(
            peer.link.connection.unsent_bytes()
            for peer in self.dispatcher.peers.values()
            if peer.link.connection is not None
        )

    def test_shutdown_before_its_body_is_sent(self) -> None:
        async def way() -> None:
            self.receiver.on_offer = ignore
            self.request().limit_deadline(self.sidecar.loop.time())
            await self.ended()

        self.play(way)

    def test_client_of_an_idempotent_request_left(self) -> None:
        async def way() -> None:
            self.receiver.on_call = ignore
            exchange = self.request("idempotent")
            await self.called()
            exchange.on_client_gone()
            del exchange
            await self.ended()

        self.play(way)

    def test_client_left_before_the_body_is_sent(self) -> None:
        async def way() -> None:
            self.receiver.on_offer = ignore
            exchange = self.request("idempotent")
            await settle()
            exchange.on_client_gone()
            del exchange
            await self.ended()

        self.play(way)

    def test_a_faster_attempt_cancels_the_other(self) -> None:
        async def way() -> None:
            self.endpoint_count, self.hedge_delay = 2, SHORT_S / 2
            self.receiver.on_call = self._answer_the_second
            self.request("idempotent")
            await self.ended()

        self.play(way)

    def _answer_the_second(self, connection: Connection, ident: int) -> None:
        if len(self.receiver.calls) > 1:
            answer(connection, ident)

    def test_a_request_that_was_sent_holds_only_its_own_body_while_it_runs(self) -> None:
        async def begin() -> None:
            self.receiver.on_call = ignore
            exchange = self.request("idempotent")
            await self.called()
            exchange.request.body = b""  # the one body that a retry would need

        self.play_running(begin)

    def test_a_request_that_runs_on_after_its_client_left_holds_none(self) -> None:
        async def begin() -> None:
            self.receiver.on_call = ignore
            exchange = self.request()
            await self.called()
            exchange.on_client_gone()
            self.assertFalse(exchange.closed)

        self.play_running(begin)

    def test_a_request_that_runs_on_after_its_deadline_holds_none(self) -> None:
        async def begin() -> None:
            self.receiver.on_call = ignore
            answered = len(self.statuses)
            exchange = self.request(time_left=SHORT_S)
            await until(lambda: len(self.statuses) > answered, "it is answered at its deadline")
            self.assertFalse(exchange.closed)

        self.play_running(begin)

    def test_a_lost_connection_that_a_running_call_refers_to_holds_nothing(self) -> None:
        async def main() -> None:
            await self._start()
            with RetainedMemory() as retained:
                lost: list[Connection] = []
                for _ in range(ROUNDS):
                    self.receiver.on_offer = ignore
                    self.request()
                    await until(lambda: self.receiver.connections, "connected")
                    (connection,) = self.receiver.connections
                    lost.append(connection)
                    link = self.dispatcher.peers[SERVER_IPS[0]].link
                    message = (ops.CALL, 0, "", 0.0, 0.0, 1, 0, b"", b"", (), bytes(BODY_BYTES))
                    # To the receiver in part, and from it queued.
                    assert connection.transport is not None
                    assert link.connection is not None
                    link.connection.write_paused = True
                    link.connection.send(message, 1)
                    outbox = link.connection.outbox
                    for _frame in range(8):
                        assert link.connection.transport is not None
                        link.connection.transport.write(outbox.next_frame() or b"")
                    await until(lambda: connection.inbox.partial_bytes, "a part has arrived")  # noqa: B023
                    connection.write_paused = True
                    connection.send(message, 1)
                    connection.close()
                    link.connection.close()
                    del link, outbox, message
                    await self.ended()
                self.assertLess(retained.size, RETAINED_BYTES)
            await self._stop()

        run_on_daemon_loop(main)


if __name__ == "__main__":
    unittest.main()
