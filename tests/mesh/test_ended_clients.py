"""A sidecar holds no body of a client that is gone, in whichever way its connection or request ended.

Guards against: bodies of uploads that were broken off stayed until a full run of the garbage collector, and
the sidecar that the clients called went over its memory limit (docs/incidents/20-bodies-of-lost-clients.md).
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
import unittest
from collections.abc import Awaitable, Callable

from minthitch.mesh.http.listener import ClientConnection, Listener
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

MAX_CLIENT_BODY_BYTES = 2 * BODY_BYTES
BODY = bytes(BODY_BYTES)
LONG_BODY_HEAD = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n" % MAX_CLIENT_BODY_BYTES
HEAD = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n" % BODY_BYTES
CHUNKED_HEAD = b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
CHUNK = b"%x\r\n%b\r\n" % (BODY_BYTES, BODY)
LATER_S = 1000.0  # after any timeout of a connection
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER: on, for no time


class Handler:
    """Answers requests at once, or keeps their clients for later."""

    def __init__(self) -> None:
        self.answers_at_once = True
        self.answer = b""
        self.waiting: list[ClientConnection] = []
        self.handled = 0

    def handle(self, client: ClientConnection, request: Incoming) -> None:
        self.handled += 1
        if self.answers_at_once:
            client.respond(client.token, 200, (), self.answer)
        else:
            self.waiting.append(client)

    def on_client_lost(self, client: ClientConnection) -> None:
        pass

    def accepts_requests(self) -> bool:
        return True

    def max_header_bytes(self) -> int:
        return 2_000

    def max_body_bytes(self) -> int:
        return MAX_CLIENT_BODY_BYTES

    def log_client_error(self, text: str) -> None:
        pass


class EndedClients(unittest.TestCase):
    """Each test ends connections or requests in one way, and measures what is left."""

    def play(self, way: Callable[[], Awaitable[None]]) -> None:
        async def main() -> None:
            await self._start()
            await way()  # whatever is made once is made now
            with RetainedMemory() as retained:
                for _ in range(ROUNDS):
                    await way()
                size, cyclic = retained.size, retained.cyclic_types()
            self.listener.close()
            self.assertLess(size, RETAINED_BYTES)
            self.assertEqual(cyclic, set())

        run_on_daemon_loop(main)

    async def _start(self) -> None:
        self.handler = Handler()
        self.listener = Listener(self.handler, 16, 64 * BODY_BYTES)
        await self.listener.open("127.0.0.1:0")
        assert self.listener.server is not None
        self.port = self.listener.server.sockets[0].getsockname()[1]

    async def connect(self) -> socket.socket:
        """A client's connection; what it sends is read by the listener only as the loop runs."""
        client = socket.socket()
        client.setblocking(False)
        await asyncio.get_running_loop().sock_connect(client, ("127.0.0.1", self.port))
        return client

    async def send(self, client: socket.socket, *parts: bytes) -> None:
        for part in parts:
            await asyncio.get_running_loop().sock_sendall(client, part)

    async def arrived(self, size: int = BODY_BYTES) -> None:
        """A partial body of this size is there."""
        await until(lambda: self.listener.body_bytes() >= size, "the body has arrived")

    async def gone(self) -> None:
        """The listener has lost all its connections."""
        await until(lambda: not self.listener.callers.all, "all connections are gone")

    @property
    def connection(self) -> ClientConnection:
        """The listener's one connection."""
        (connection,) = self.listener.callers.all
        assert isinstance(connection, ClientConnection)
        return connection

    def test_closed_within_the_body(self) -> None:
        async def way() -> None:
            client = await self.connect()
            await self.send(client, LONG_BODY_HEAD, BODY)
            await self.arrived()
            client.close()
            await self.gone()

        self.play(way)

    def test_reset_within_the_body(self) -> None:
        async def way() -> None:
            client = await self.connect()
            await self.send(client, LONG_BODY_HEAD, BODY)
            await self.arrived()
            client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            client.close()
            await self.gone()

        self.play(way)

    def test_closed_within_a_chunked_body(self) -> None:
        async def way() -> None:
            client = await self.connect()
            await self.send(client, CHUNKED_HEAD, CHUNK)
            await self.arrived()
            client.close()
            await self.gone()

        self.play(way)

    def test_answered_on_a_kept_connection(self) -> None:
        async def way() -> None:
            client = await self.connect()
            handled = self.handler.handled
            for number in range(2):
                await self.send(client, HEAD, BODY)
                wanted = handled + number + 1
                await until(lambda wanted=wanted: self.handler.handled >= wanted, "handled")  # type: ignore[misc]
            client.close()
            await self.gone()

        self.play(way)

    def test_answered_and_the_connection_stays_open(self) -> None:
        async def main() -> None:
            await self._start()
            client = await self.connect()
            with RetainedMemory() as retained:
                await self.send(client, HEAD, BODY)
                await until(lambda: self.handler.handled, "handled")
                self.assertLess(retained.size, RETAINED_BYTES)
            client.close()
            self.listener.close()

        run_on_daemon_loop(main)

    def test_rejected_within_the_body_while_the_connection_is_still_open(self) -> None:
        async def main() -> None:
            await self._start()
            client = await self.connect()
            with RetainedMemory() as retained:
                await self.send(client, CHUNKED_HEAD, CHUNK)
                await self.arrived()
                self.connection.transport.pause_reading()  # type: ignore[union-attr]
                self.connection.data_received(b"no chunk\r\n")
                self.assertTrue(self.connection.broken)
                self.assertEqual(self.listener.callers.body_memory.used, 0)
                self.assertLess(retained.size, RETAINED_BYTES)
            client.close()
            self.listener.close()

        run_on_daemon_loop(main)

    def test_rejected_for_a_malformed_chunk(self) -> None:
        async def way() -> None:
            client = await self.connect()
            await self.send(client, CHUNKED_HEAD, CHUNK)
            await self.arrived()
            await self.send(client, b"no chunk\r\n")
            await self.gone()
            client.close()

        self.play(way)

    def test_rejected_for_its_length(self) -> None:
        async def way() -> None:
            client = await self.connect()
            await self.send(client, CHUNKED_HEAD, CHUNK)
            await self.arrived()
            for _ in range(MAX_CLIENT_BODY_BYTES // BODY_BYTES):
                with contextlib.suppress(ConnectionError):
                    await self.send(client, CHUNK)
            await self.gone()
            client.close()

        self.play(way)

    def test_silent_within_the_body(self) -> None:
        async def way() -> None:
            client = await self.connect()
            await self.send(client, LONG_BODY_HEAD, BODY)
            await self.arrived()
            connection = self.connection
            connection.check_timeouts(asyncio.get_running_loop().time() + LATER_S, False)
            self.assertTrue(connection.broken)
            del connection
            await self.gone()
            client.close()

        self.play(way)

    def test_no_memory_for_the_body(self) -> None:
        async def way() -> None:
            client = await self.connect()
            await self.send(client, CHUNKED_HEAD, CHUNK)
            await self.arrived()
            self.connection.on_memory_denied()
            await self.gone()
            client.close()

        self.play(way)

    def test_left_while_it_waits_for_memory(self) -> None:
        async def way() -> None:
            client = await self.connect()
            await self.send(client, CHUNKED_HEAD, CHUNK)
            await self.arrived()
            self.connection.awaits_memory = True
            self.connection.unparsed = bytes(BODY_BYTES)
            client.close()
            await settle()
            await self.gone()

        self.play(way)

    def test_left_while_its_request_runs(self) -> None:
        async def way() -> None:
            self.handler.answers_at_once = False
            client = await self.connect()
            await self.send(client, HEAD, BODY)
            await until(lambda: self.handler.waiting, "the request runs")
            client.close()
            await self.gone()
            for connection in self.handler.waiting:
                connection.respond(connection.token, 200, (), b"")
            self.handler.waiting.clear()

        self.play(way)

    def test_a_client_that_left_holds_nothing_while_its_request_runs_on(self) -> None:
        async def main() -> None:
            await self._start()
            self.handler.answers_at_once = False
            with RetainedMemory() as retained:
                for number in range(1, ROUNDS + 1):
                    client = await self.connect()
                    await self.send(client, HEAD, BODY, LONG_BODY_HEAD, BODY)
                    await until(lambda number=number: len(self.handler.waiting) == number, "it runs")  # type: ignore[misc]
                    self.connection.transport.abort()  # type: ignore[union-attr]
                    await self.gone()
                    client.close()
                self.assertLess(retained.size, RETAINED_BYTES)
            self.listener.close()

        run_on_daemon_loop(main)

    def test_left_with_a_further_complete_request_waiting(self) -> None:
        async def way() -> None:
            self.handler.answers_at_once = False
            client = await self.connect()
            await self.send(client, HEAD, BODY, HEAD, BODY)
            await until(lambda: self.handler.waiting, "the first request runs")
            client.close()
            await settle()
            for connection in self.handler.waiting:
                connection.respond(connection.token, 200, (), b"")
            self.handler.waiting.clear()
            await self.gone()

        self.play(way)

    def test_left_without_reading_its_answer(self) -> None:
        async def way() -> None:
            self.handler.answer = bytes(8 * BODY_BYTES)
            handled = self.handler.handled
            client = await self.connect()
            await self.send(client, b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
            await until(lambda: self.handler.handled > handled, "answered")
            self.handler.answer = b""
            client.close()
            await self.gone()

        self.play(way)

    def test_answer_never_read(self) -> None:
        async def way() -> None:
            self.handler.answer = bytes(8 * BODY_BYTES)
            handled = self.handler.handled
            client = await self.connect()
            await self.send(client, b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
            await until(lambda: self.handler.handled > handled, "answered")
            self.handler.answer = b""
            for later in (1, 2):
                self.connection.check_timeouts(asyncio.get_running_loop().time() + later * LATER_S, False)
            await self.gone()
            client.close()

        self.play(way)

    def test_shutdown_within_the_body(self) -> None:
        async def way() -> None:
            client = await self.connect()
            await self.send(client, LONG_BODY_HEAD, BODY)
            await self.arrived()
            self.listener.callers.close()
            await self.gone()
            client.close()

        self.play(way)


if __name__ == "__main__":
    unittest.main()
