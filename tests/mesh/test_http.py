"""HTTP at both ends: what a server's response proves, and which requests of clients are rejected."""

from __future__ import annotations

import asyncio
import time
import unittest

from minthitch.engine.calls import Message
from minthitch.mesh.http.listener import ClientConnection, Listener
from minthitch.mesh.http.upstream import NOT_RUN, RAN, UNKNOWN, Outcome, ServerPool, Upstream, UpstreamCall
from minthitch.net.callers import Incoming

SEAL = b"X-Server-Seal: s\r\n"
MIB = 1024 * 1024
THEN_CLOSE = b"cut:"  # prefix of a reply after which the server closes the connection
# None: close the connection; a pair: the second follows once the first was skipped.
Reply = bytes | tuple[bytes, bytes] | None


def answer(ident: bytes, body: bytes = b"ok", status: int = 200, more: bytes = SEAL) -> bytes:
    return b"HTTP/1.1 %d X\r\nX-Request-Id: %s\r\n%bContent-Length: %d\r\n\r\n%b" % (
        status,
        ident,
        more,
        len(body),
        body,
    )


class Server:
    """Sends the next of its replies to each request, on any connection."""

    def __init__(self, *replies: Reply) -> None:
        self.replies, self.requests, self.connections = list(replies), list[bytes](), 0
        self.pool: ServerPool | None = None

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        try:
            while True:
                self.requests.append(await reader.readuntil(b"\r\n\r\n"))
                reply = self.replies.pop(0)
                if reply is None:
                    break
                if isinstance(reply, tuple):
                    writer.write(reply[0])
                    while self.pool and not any(
                        vars(c).get("stray_responses") for c in self.pool.connections
                    ):
                        await asyncio.sleep(0)
                    reply = reply[1]
                writer.write(reply.removeprefix(THEN_CLOSE))
                if reply.startswith(THEN_CLOSE):
                    break
        except (asyncio.IncompleteReadError, ConnectionError, IndexError):
            pass
        writer.close()


class UpstreamCalls(unittest.IsolatedAsyncioTestCase):
    async def ask(self, *replies: Reply, asked: int = 1) -> tuple[list[Outcome], Server]:
        """The outcomes of consecutive requests with the ids 1, 2, ..."""
        server = Server(*replies)
        listener = await asyncio.start_server(server.serve, "127.0.0.1", 0)
        port = listener.sockets[0].getsockname()[1]
        pool, upstream = ServerPool(8), Upstream(f"127.0.0.1:{port}")
        server.pool = pool
        outcomes = []
        for number in range(1, asked + 1):
            done: asyncio.Future[Outcome] = asyncio.get_running_loop().create_future()
            ident = b"%d" % number
            pool.run(
                UpstreamCall(
                    upstream,
                    Message(b"GET", b"/p", ((b"X-Request-Id", ident),)),
                    ident,
                    b"life",
                    b"svc",
                    time.monotonic_ns() + 5 * 10**9,
                    True,
                    done.set_result,
                )
            )
            outcomes.append(await asyncio.wait_for(done, 5))
        pool.close()
        listener.close()
        return outcomes, server

    async def kinds(self, *replies: Reply) -> str:
        return (await self.ask(*replies))[0][0].kind

    async def test_complete_sealed_responses_with_the_right_id_are_accepted(self) -> None:
        outcomes, server = await self.ask(answer(b"1"), answer(b"2", b"no", 500, b""), asked=2)
        self.assertEqual(
            [(o.kind, o.status, o.body) for o in outcomes], [(RAN, 200, b"ok"), (RAN, 500, b"no")]
        )
        self.assertEqual(server.connections, 1)
        self.assertIn(b"X-Target-Instance: life\r\n", server.requests[0])
        self.assertIn(b"X-Caller-Service: svc\r\n", server.requests[0])

    async def test_only_a_statement_of_the_server_proves_that_a_request_did_not_run(self) -> None:
        not_executed = b"X-Not-Executed: 1\r\n"
        for status in (503, 429, 400):
            self.assertEqual(await self.kinds(answer(b"1", b"", status, not_executed)), NOT_RUN)
        self.assertEqual(await self.kinds(answer(b"1", b"", 421, b"")), NOT_RUN)
        self.assertEqual(await self.kinds(answer(b"1", b"", 503, b"")), RAN)
        self.assertEqual(await self.kinds(None), UNKNOWN)

    async def test_a_truncated_response_is_unknown_and_a_close_after_a_complete_one_is_not(self) -> None:
        self.assertEqual(await self.kinds(THEN_CLOSE + answer(b"1")[:-1]), UNKNOWN)
        self.assertEqual(await self.kinds(THEN_CLOSE + answer(b"1")), RAN)
        closing = answer(b"1", more=SEAL + b"Connection: close\r\n")
        outcomes, server = await self.ask(closing, answer(b"2"), asked=2)
        self.assertEqual(([o.kind for o in outcomes], server.connections), ([RAN, RAN], 2))

    async def test_invalid_responses_are_unknown(self) -> None:
        for reply in (
            answer(b"1", more=b""),
            b"rubbish\r\n\r\n",
            answer(b"9", more=SEAL + b"Connection: close\r\n"),
            answer(b"1", more=SEAL + b"Content-Encoding: gzip\r\n"),
        ):
            self.assertEqual(await self.kinds(reply), UNKNOWN)

    async def test_a_statement_that_a_request_did_not_run_counts_only_with_its_id(self) -> None:
        not_executed, closing = b"X-Not-Executed: 1\r\n", b"Connection: close\r\n"
        for status in (503, 429, 400, 421):
            self.assertEqual(await self.kinds(answer(b"9", b"", status, not_executed + closing)), UNKNOWN)
            nameless = answer(b"1", b"", status, not_executed).replace(b"X-Request-Id: 1\r\n", b"")
            self.assertEqual(await self.kinds(nameless), UNKNOWN)
            two = answer(b"1", b"", status, not_executed + b"X-Request-Id: 9\r\n")
            self.assertEqual(await self.kinds(two), UNKNOWN)
        self.assertEqual(await self.kinds(answer(b"1", b"", 503, b"X-Unprocessed: 1\r\n")), RAN)

    async def test_a_protocol_switch_is_not_a_response(self) -> None:
        upgrade = SEAL + b"Connection: upgrade\r\nUpgrade: other\r\n"
        self.assertEqual(await self.kinds(answer(b"1", b"", 101, upgrade)), UNKNOWN)

    async def test_a_surplus_response_before_the_expected_one_is_skipped(self) -> None:
        parts = answer(b"1", b"again"), answer(b"2", b"mine")
        outcomes, server = await self.ask(answer(b"1"), parts, asked=2)
        self.assertEqual((outcomes[1].kind, outcomes[1].body, server.connections), (RAN, b"mine", 1))
        # If both arrive in one read, the second one can't be distinguished from unsolicited bytes.
        outcomes, _ = await self.ask(answer(b"1"), parts[0] + parts[1], asked=2)
        self.assertEqual(outcomes[1].kind, UNKNOWN)

    async def test_a_refused_connection_is_not_run_and_no_arrival(self) -> None:
        done: asyncio.Future[Outcome] = asyncio.get_running_loop().create_future()
        pool = ServerPool(8)
        pool.run(
            UpstreamCall(
                Upstream("127.0.0.1:9"),
                Message(b"GET", b"/"),
                b"1",
                b"l",
                b"s",
                time.monotonic_ns() + 10**9,
                True,
                done.set_result,
            )
        )
        outcome = await asyncio.wait_for(done, 5)
        pool.close()
        self.assertEqual((outcome.kind, outcome.arrived), (NOT_RUN, False))


class EchoHandler:
    """Responds to each request with its body."""

    def __init__(self) -> None:
        self.handled: list[Incoming] = []

    def handle(self, client: ClientConnection, request: Incoming) -> None:
        self.handled.append(request)
        client.respond(client.token, 200, (), request.body)

    def on_client_lost(self, client: ClientConnection) -> None:
        pass

    def accepts_requests(self) -> bool:
        return True

    def max_header_bytes(self) -> int:
        return 2_000

    def max_body_bytes(self) -> int:
        return 100_000

    def log_client_error(self, text: str) -> None:
        pass


class ClientRequests(unittest.IsolatedAsyncioTestCase):
    async def send(self, data: bytes) -> tuple[bytes, list[Incoming]]:
        handler = EchoHandler()
        listener = Listener(handler, 16, 0)
        await listener.open("127.0.0.1:0")
        assert listener.server is not None
        port = listener.server.sockets[0].getsockname()[1]
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(data)
        head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 5)
        writer.close()
        listener.close()
        return head.split(b" ", 2)[1], handler.handled

    async def test_late_and_duplicate_responses_do_not_reach_another_request(self) -> None:
        class DuplicatingHandler(EchoHandler):
            def handle(self, client: ClientConnection, request: Incoming) -> None:
                self.handled.append(request)
                client.respond(client.token - 1, 200, (), b"another's")
                client.respond(client.token, 200, (), request.target)
                client.respond(client.token, 200, (), b"twice")

        listener = Listener(DuplicatingHandler(), 16, 0)
        await listener.open("127.0.0.1:0")
        assert listener.server is not None
        port = listener.server.sockets[0].getsockname()[1]
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        for target in (b"/one", b"/two", b"/six"):
            writer.write(b"GET %b HTTP/1.1\r\nHost: a\r\n\r\n" % target)
            head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 5)
            self.assertIn(b"Content-Length: 4\r\n", head)
            self.assertEqual(await reader.readexactly(4), target)
        writer.close()
        listener.close()

    async def test_ambiguous_or_malformed_request_headers_are_rejected(self) -> None:
        bad = (
            b"GET /a/ HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n",
            b"GET /a/\r\n\r\n",
            b"GET /a/ HTTP/1.1\r\n\r\n",
            b"POST /a/ HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            b"POST /a/ HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
            b"GET /a/ HTTP/1.1\r\nHost: a\r\nX-Request-Id: 1\r\nX-Request-Id: 2\r\n\r\n",
            b"GET /a/ HTTP/1.1\r\nHost: a\r\nX: a\nY: b\r\nbad line\r\n\r\n",
        )
        for data in bad:
            status, handled = await self.send(data)
            self.assertEqual((status, handled), (b"400", []), data)

    async def test_exceeded_limits_have_their_own_status_codes(self) -> None:
        long = b"GET /a/ HTTP/1.1\r\nHost: a\r\nX: " + b"x" * 3_000 + b"\r\n\r\n"
        self.assertEqual((await self.send(long))[0], b"431")
        big = b"POST /a/ HTTP/1.1\r\nHost: a\r\nContent-Length: 100001\r\n\r\n"
        self.assertEqual((await self.send(big))[0], b"413")

    async def test_the_settings_alone_limit_a_body(self) -> None:
        # Guards against: 413 to a stated 40 MiB where the settings allow 64 MiB.
        class LargeBodies(EchoHandler):
            def handle(self, client: ClientConnection, request: Incoming) -> None:
                client.respond(client.token, 200, (), b"%d" % len(request.body))

            def max_body_bytes(self) -> int:
                return 64 * MIB

        listener = Listener(LargeBodies(), 16, 64 * MIB)
        await listener.open("127.0.0.1:0")
        assert listener.server is not None
        port = listener.server.sockets[0].getsockname()[1]
        for size, status in ((40 * MIB, b"200"), (64 * MIB + 1, b"413")):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(b"POST /a/ HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n" % size)
            if status == b"200":
                for _ in range(size // MIB):
                    writer.write(bytes(MIB))
                    await writer.drain()
            head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 20)
            self.assertEqual(head.split(b" ", 2)[1], status)
            writer.close()
        listener.close()

    async def test_a_chunked_body_is_received_completely(self) -> None:
        data = (
            b"POST /a/ HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
            + b"".join(b"%x\r\n%b\r\n" % (n, b"y" * n) for n in (1, 70, 9_000))
            + b"0\r\n\r\n"
        )
        status, handled = await self.send(data)
        self.assertEqual((status, len(handled[0].body)), (b"200", 9_071))


if __name__ == "__main__":
    unittest.main()
