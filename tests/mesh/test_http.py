"""HTTP at both ends: what a server's bytes prove, and which heads of clients are turned away."""

from __future__ import annotations

import asyncio
import time
import unittest

from minthitch.engine.calls import Message
from minthitch.mesh.http.listener import ClientConnection, Listener
from minthitch.mesh.http.upstream import NOT_RUN, RAN, UNKNOWN, Outcome, ServerPool, Upstream, UpstreamCall
from minthitch.net.callers import Incoming

SEAL = b"X-Server-Seal: s\r\n"
CUT = b"cut:"  # in front of a reply after which the connection ends
Reply = bytes | tuple[bytes, bytes] | None  # None: closes; two: the second when the first is passed


def answer(ident: bytes, body: bytes = b"ok", status: int = 200, more: bytes = SEAL) -> bytes:
    return b"HTTP/1.1 %d X\r\nX-Request-Id: %s\r\n%bContent-Length: %d\r\n\r\n%b" % (
        status,
        ident,
        more,
        len(body),
        body,
    )


class Server:
    """Answers each request that comes, on whichever connection, with the next of its replies."""

    def __init__(self, *replies: Reply) -> None:
        self.replies, self.heard, self.lines = list(replies), list[bytes](), 0
        self.shelf: ServerPool | None = None

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.lines += 1
        try:
            while True:
                self.heard.append(await reader.readuntil(b"\r\n\r\n"))
                reply = self.replies.pop(0)
                if reply is None:
                    break
                if isinstance(reply, tuple):
                    writer.write(reply[0])
                    while self.shelf and not any(vars(c).get("strays") for c in self.shelf.connections):
                        await asyncio.sleep(0)
                    reply = reply[1]
                writer.write(reply.removeprefix(CUT))
                if reply.startswith(CUT):
                    break
        except (asyncio.IncompleteReadError, ConnectionError, IndexError):
            pass
        writer.close()


class Upstreams(unittest.IsolatedAsyncioTestCase):
    async def ask(self, *replies: Reply, asked: int = 1) -> tuple[list[Outcome], Server]:
        """The outcomes of requests with the ids 1, 2, ... one after the other."""
        server = Server(*replies)
        listener = await asyncio.start_server(server.serve, "127.0.0.1", 0)
        port = listener.sockets[0].getsockname()[1]
        shelf, upstream = ServerPool(8), Upstream(f"127.0.0.1:{port}")
        server.shelf = shelf
        outcomes = []
        for number in range(1, asked + 1):
            done: asyncio.Future[Outcome] = asyncio.get_running_loop().create_future()
            ident = b"%d" % number
            shelf.run(
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
        shelf.close()
        listener.close()
        return outcomes, server

    async def kinds(self, *replies: Reply) -> str:
        return (await self.ask(*replies))[0][0].kind

    async def test_a_whole_sealed_answer_with_the_own_id_counts(self) -> None:
        outcomes, server = await self.ask(answer(b"1"), answer(b"2", b"no", 500, b""), asked=2)
        self.assertEqual(
            [(o.kind, o.status, o.body) for o in outcomes], [(RAN, 200, b"ok"), (RAN, 500, b"no")]
        )
        self.assertEqual(server.lines, 1)
        self.assertIn(b"X-Target-Instance: life\r\n", server.heard[0])
        self.assertIn(b"X-Caller-Service: svc\r\n", server.heard[0])

    async def test_only_the_servers_own_word_proves_that_it_did_not_run(self) -> None:
        said = b"X-Not-Executed: 1\r\n"
        for status in (503, 429, 400):
            self.assertEqual(await self.kinds(answer(b"1", b"", status, said)), NOT_RUN)
        self.assertEqual(await self.kinds(answer(b"1", b"", 421, b"")), NOT_RUN)
        self.assertEqual(await self.kinds(answer(b"1", b"", 503, b"")), RAN)
        self.assertEqual(await self.kinds(None), UNKNOWN)

    async def test_an_answer_cut_short_never_counts_as_whole_and_a_close_after_a_whole_one_does(self) -> None:
        self.assertEqual(await self.kinds(CUT + answer(b"1")[:-1]), UNKNOWN)
        self.assertEqual(await self.kinds(CUT + answer(b"1")), RAN)
        closing = answer(b"1", more=SEAL + b"Connection: close\r\n")
        outcomes, server = await self.ask(closing, answer(b"2"), asked=2)
        self.assertEqual(([o.kind for o in outcomes], server.lines), ([RAN, RAN], 2))

    async def test_spoilt_answers_are_unknown(self) -> None:
        for reply in (
            answer(b"1", more=b""),
            b"rubbish\r\n\r\n",
            answer(b"9", more=SEAL + b"Connection: close\r\n"),
            answer(b"1", more=SEAL + b"Content-Encoding: gzip\r\n"),
        ):
            self.assertEqual(await self.kinds(reply), UNKNOWN)

    async def test_a_word_that_it_did_not_run_counts_only_under_the_id_of_its_request(self) -> None:
        said, closing = b"X-Not-Executed: 1\r\n", b"Connection: close\r\n"
        for status in (503, 429, 400, 421):
            self.assertEqual(await self.kinds(answer(b"9", b"", status, said + closing)), UNKNOWN)
            nameless = answer(b"1", b"", status, said).replace(b"X-Request-Id: 1\r\n", b"")
            self.assertEqual(await self.kinds(nameless), UNKNOWN)
            two = answer(b"1", b"", status, said + b"X-Request-Id: 9\r\n")
            self.assertEqual(await self.kinds(two), UNKNOWN)
        self.assertEqual(await self.kinds(answer(b"1", b"", 503, b"X-Unprocessed: 1\r\n")), RAN)

    async def test_a_change_of_protocol_is_no_answer(self) -> None:
        upgrade = SEAL + b"Connection: upgrade\r\nUpgrade: other\r\n"
        self.assertEqual(await self.kinds(answer(b"1", b"", 101, upgrade)), UNKNOWN)

    async def test_a_surplus_answer_before_the_one_that_is_due_is_passed_over(self) -> None:
        parts = answer(b"1", b"again"), answer(b"2", b"mine")
        outcomes, server = await self.ask(answer(b"1"), parts, asked=2)
        self.assertEqual((outcomes[1].kind, outcomes[1].body, server.lines), (RAN, b"mine", 1))
        # Where both come in one read, the second can't be told from bytes that nobody asked for.
        outcomes, _ = await self.ask(answer(b"1"), parts[0] + parts[1], asked=2)
        self.assertEqual(outcomes[1].kind, UNKNOWN)

    async def test_nobody_there_is_no_arrival(self) -> None:
        done: asyncio.Future[Outcome] = asyncio.get_running_loop().create_future()
        shelf = ServerPool(8)
        shelf.run(
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
        shelf.close()
        self.assertEqual((outcome.kind, outcome.arrived), (NOT_RUN, False))


class Taker:
    """A desk that serves all that reaches it."""

    def __init__(self) -> None:
        self.taken: list[Incoming] = []

    def handle(self, client: ClientConnection, request: Incoming) -> None:
        self.taken.append(request)
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


class Clients(unittest.IsolatedAsyncioTestCase):
    async def send(self, data: bytes) -> tuple[bytes, list[Incoming]]:
        desk = Taker()
        listener = Listener(desk, 16, 0)
        await listener.open("127.0.0.1:0")
        assert listener.listener is not None
        port = listener.listener.sockets[0].getsockname()[1]
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(data)
        head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 5)
        writer.close()
        listener.close()
        return head.split(b" ", 2)[1], desk.taken

    async def test_an_answer_of_a_request_that_is_over_is_written_to_no_other(self) -> None:
        class Late(Taker):
            def handle(self, client: ClientConnection, request: Incoming) -> None:
                self.taken.append(request)
                client.respond(client.token - 1, 200, (), b"another's")
                client.respond(client.token, 200, (), request.target)
                client.respond(client.token, 200, (), b"twice")

        listener = Listener(Late(), 16, 0)
        await listener.open("127.0.0.1:0")
        assert listener.listener is not None
        port = listener.listener.sockets[0].getsockname()[1]
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        for target in (b"/one", b"/two", b"/six"):
            writer.write(b"GET %b HTTP/1.1\r\nHost: a\r\n\r\n" % target)
            head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 5)
            self.assertIn(b"Content-Length: 4\r\n", head)
            self.assertEqual(await reader.readexactly(4), target)
        writer.close()
        listener.close()

    async def test_heads_that_two_readers_could_read_differently_are_turned_away(self) -> None:
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
            status, taken = await self.send(data)
            self.assertEqual((status, taken), (b"400", []), data)

    async def test_limits_have_answers_of_their_own(self) -> None:
        long = b"GET /a/ HTTP/1.1\r\nHost: a\r\nX: " + b"x" * 3_000 + b"\r\n\r\n"
        self.assertEqual((await self.send(long))[0], b"431")
        big = b"POST /a/ HTTP/1.1\r\nHost: a\r\nContent-Length: 100001\r\n\r\n"
        self.assertEqual((await self.send(big))[0], b"413")

    async def test_a_body_in_chunks_is_taken_whole(self) -> None:
        data = (
            b"POST /a/ HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
            + b"".join(b"%x\r\n%b\r\n" % (n, b"y" * n) for n in (1, 70, 9_000))
            + b"0\r\n\r\n"
        )
        status, taken = await self.send(data)
        self.assertEqual((status, len(taken[0].body)), (b"200", 9_071))


if __name__ == "__main__":
    unittest.main()
