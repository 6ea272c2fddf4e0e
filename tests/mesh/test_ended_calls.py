"""The sidecar beside a server holds no body of a call that has ended, in whichever way it ended.

Guards against: bodies of ended uploads stayed until a full run of the garbage collector, and the sidecar went
over its memory limit (docs/incidents/19-bodies-of-ended-uploads.md).
"""

from __future__ import annotations

import asyncio
import unittest
from collections.abc import Awaitable, Callable
from typing import cast

from minthitch.mesh.http.upstream import ServerPool
from minthitch.mesh.sidecar.admission import AT_MOST_ONCE, Admission
from minthitch.mesh.transport import ops
from tests.mesh.retained_memory import (
    BODY_BYTES,
    RETAINED_BYTES,
    ROUNDS,
    RetainedMemory,
    run_on_daemon_loop,
    until,
)
from tests.mesh.test_admission import heartbeat

IDENT = b"request"
LONG_S, SHORT_S = 60.0, 0.05  # until a call's deadline
HEAD = b"HTTP/1.1 %b\r\nX-Request-Id: request\r\nX-Server-Seal: s\r\n"
ANSWER = HEAD % b"200 OK" + b"Content-Length: 2\r\n\r\nok"
ANSWER_AND_CLOSE = HEAD % b"200 OK" + b"Connection: close\r\nContent-Length: 2\r\n\r\nok"
FAILURE = HEAD % b"500 Failed" + b"Content-Length: 0\r\n\r\n"
REJECTION = HEAD % b"503 Full" + b"X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
PART = HEAD % b"200 OK" + b"Content-Length: 9\r\n\r\nok"
NO_HTTP = b"no answer at all\r\n\r\n"


class Server(asyncio.Protocol):
    """One connection to the server: it counts what arrives and keeps nothing."""

    def __init__(self, script: ServerScript) -> None:
        self.script, self.received = script, 0
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.script.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self.script.connections.discard(self)
        self.transport = None

    def data_received(self, data: bytes) -> None:
        self.received += len(data)
        assert self.transport is not None
        if self.script.reads == 0:
            self.transport.pause_reading()
        if self.received >= self.script.reads:
            self.received = 0 if self.script.reads else self.received
            self.script.requests += 1
            self.script.act(self.transport)


class ServerScript:
    """What the server does with each request, once `reads` bytes of it have arrived."""

    def __init__(self) -> None:
        self.connections: set[Server] = set()
        self.requests = 0
        self.reads = BODY_BYTES
        self.act: Callable[[asyncio.Transport], None] = lambda transport: None


class EndedCalls(unittest.TestCase):
    """Each test ends calls in one way, and measures what is left."""

    def play(self, way: Callable[[], Awaitable[None]]) -> None:
        async def main() -> None:
            await self._start()
            await way()  # whatever is made once is made now
            with RetainedMemory() as retained:
                for _ in range(ROUNDS):
                    await way()
                size, cyclic = retained.size, retained.cyclic_types()
            self.admission.close()
            self.listener.close()
            self.assertEqual(self.admission.jobs, {})
            self.assertLess(size, RETAINED_BYTES)
            self.assertEqual(cyclic, set())

        run_on_daemon_loop(main)

    async def _start(self) -> None:
        loop = asyncio.get_running_loop()
        self.script, self.replies = ServerScript(), list[int]()
        self.listener = await loop.create_server(lambda: Server(self.script), "127.0.0.1", 0)
        port = self.listener.sockets[0].getsockname()[1]
        self.admission = Admission(f"127.0.0.1:{port}", "s", ServerPool(16), lambda: None)
        self.incarnation = self.sequence = self.ident = 0
        self.restart()

    def restart(self, slots: int = 1) -> None:
        """The server starts again, under another id."""
        self.incarnation += 1
        self.heartbeat("up", slots)

    def heartbeat(self, state: str, slots: int = 1) -> None:
        self.sequence += 1
        self.admission.on_heartbeat(self.server_id, heartbeat(state, self.sequence, slots))  # type: ignore[arg-type]

    @property
    def server_id(self) -> str:
        return f"run-{self.incarnation}"

    def call(self, flags: int = AT_MOST_ONCE, time_left: float = LONG_S, origin: str = "caller") -> int:
        """A call with a large body arrives; its id."""
        self.ident += 1
        body = bytes(BODY_BYTES)
        message = (
            ops.CALL,
            self.ident,
            self.server_id,
            time_left,
            LONG_S,
            1,
            flags,
            b"POST",
            b"/",
            (),
            body,
            IDENT,
            b"svc",
            "r",
        )
        self.admission.call(origin, lambda reply: self.replies.append(reply[0]), message)
        return self.ident

    async def ended(self) -> None:
        """All calls have ended."""
        await until(lambda: not self.admission.jobs, "all calls have ended")

    async def arrived(self) -> None:
        """The server has got one more request."""
        await until(lambda: self.script.requests, "the server has the request")
        self.script.requests = 0

    def answered_with(self, data: bytes, then_close: bool = False, reads: int = BODY_BYTES) -> None:
        """Calls of which the server has `reads` bytes get these bytes, and perhaps the connection's end."""

        def act(transport: asyncio.Transport) -> None:
            transport.write(data)
            if then_close:
                transport.close()

        async def way() -> None:
            self.script.reads, self.script.act = reads, act
            self.call()
            await self.ended()

        self.play(way)

    def test_answered_on_a_kept_connection(self) -> None:
        self.answered_with(ANSWER)

    def test_answered_and_closed(self) -> None:
        self.answered_with(ANSWER_AND_CLOSE, then_close=True)

    def test_answered_before_the_body_has_arrived(self) -> None:
        self.answered_with(ANSWER, then_close=True, reads=0)

    def test_failed_by_the_server(self) -> None:
        self.answered_with(FAILURE)

    def test_rejected_by_the_server(self) -> None:
        self.answered_with(REJECTION)

    def test_rejected_by_the_server_and_closed_before_the_body_has_arrived(self) -> None:
        self.answered_with(REJECTION, then_close=True, reads=0)

    def test_answer_cut_off(self) -> None:
        self.answered_with(PART, then_close=True)

    def test_answer_malformed(self) -> None:
        self.answered_with(NO_HTTP)

    def test_closed_without_an_answer(self) -> None:
        self.answered_with(b"", then_close=True)

    def test_reset_within_the_body(self) -> None:
        async def way() -> None:
            self.script.reads, self.script.act = 0, lambda transport: transport.abort()
            self.call()
            await self.ended()

        self.play(way)

    def test_server_refuses_connections(self) -> None:
        async def way() -> None:
            self.listener.close()
            self.restart()  # without this a kept connection would be used
            self.call()
            await self.ended()

        self.play(way)

    def test_cancelled_while_it_runs(self) -> None:
        async def way() -> None:
            ident = self.call()
            await self.arrived()
            self.admission.cancel("caller", ident)
            await self.ended()

        self.play(way)

    def test_cancelled_while_its_body_is_sent(self) -> None:
        async def way() -> None:
            self.script.reads = 0
            ident = self.call()
            await self.arrived()
            self.admission.cancel("caller", ident)
            await self.ended()

        self.play(way)

    def test_cancelled_while_it_connects(self) -> None:
        async def way() -> None:
            ident = self.call()
            self.admission.cancel("caller", ident)
            await self.ended()

        self.play(way)

    def test_cancelled_in_the_queue(self) -> None:
        async def way() -> None:
            first, second = self.call(), self.call()
            self.admission.cancel("caller", second)
            self.admission.cancel("caller", first)
            await self.ended()

        self.play(way)

    def test_connection_of_the_caller_lost(self) -> None:
        async def way() -> None:
            self.restart(slots=2)
            self.call(flags=0)
            self.call(flags=0)
            self.call(flags=0)
            await self.arrived()
            self.admission.on_connection_lost("caller")
            await self.ended()

        self.play(way)

    def test_connection_of_the_caller_lost_and_the_call_answered_later(self) -> None:
        async def way() -> None:
            self.script.act = lambda transport: None
            self.call()
            await self.arrived()
            self.admission.on_connection_lost("caller")
            for connection in self.script.connections:
                assert connection.transport is not None
                connection.transport.write(ANSWER)
            await self.ended()

        self.play(way)

    def test_deadline_while_it_runs(self) -> None:
        async def way() -> None:
            self.call(time_left=SHORT_S)
            await self.ended()

        self.play(way)

    def test_deadline_while_its_body_is_sent(self) -> None:
        async def way() -> None:
            self.script.reads = 0
            self.call(time_left=SHORT_S)
            await self.ended()

        self.play(way)

    def test_deadline_in_the_queue(self) -> None:
        async def way() -> None:
            first = self.call()
            self.call(time_left=SHORT_S)
            await until(lambda: len(self.admission.jobs) == 1, "the queued call has ended")
            self.admission.cancel("caller", first)
            await self.ended()

        self.play(way)

    def test_late_when_a_slot_becomes_free(self) -> None:
        async def way() -> None:
            first, second = self.call(), self.call()
            for waiting in self.admission.gate.queue:
                waiting.deadline = 0.0
            self.admission.cancel("caller", first)
            self.assertNotIn(("caller", second), self.admission.jobs)
            await self.ended()

        self.play(way)

    def test_server_started_again(self) -> None:
        async def way() -> None:
            ident = self.call()
            self.call()
            await self.arrived()
            self.restart()
            self.admission.cancel("caller", ident)
            await self.ended()

        self.play(way)

    def test_server_draining(self) -> None:
        async def way() -> None:
            self.restart()
            ident = self.call()
            self.call()
            self.heartbeat("draining")
            self.admission.cancel("caller", ident)
            await self.ended()

        self.play(way)

    def test_server_deregistered(self) -> None:
        async def way() -> None:
            self.restart()
            ident = self.call()
            self.call()
            self.admission.deregister(self.server_id)
            self.admission.cancel("caller", ident)
            await self.ended()

        self.play(way)

    def test_rejected_on_arrival(self) -> None:
        async def way() -> None:
            self.admission.suspend()
            self.call()
            self.heartbeat("up")
            self.admission.may_run_retry = lambda: False
            self.call(flags=2)
            self.call(time_left=0.0)
            await self.ended()

        self.play(way)

    def test_a_running_call_whose_body_the_server_has_holds_none(self) -> None:
        async def main() -> None:
            await self._start()
            self.restart(slots=ROUNDS)
            with RetainedMemory() as retained:
                for _ in range(ROUNDS):
                    self.call()
                await until(lambda: self.script.requests == ROUNDS, "the server has all requests")
                self.assertEqual(len(self.admission.jobs), ROUNDS)
                self.assertLess(retained.size, RETAINED_BYTES)
            self.admission.close()
            self.listener.close()

        run_on_daemon_loop(main)

    def test_shutdown(self) -> None:
        async def way() -> None:
            ident = self.call()
            self.call()
            await self.arrived()
            self.admission.limit_deadlines(asyncio.get_running_loop().time())
            await until(lambda: len(self.admission.jobs) == 1, "the queued call has ended")
            self.call()
            self.admission.cancel("caller", ident)
            await self.ended()
            self.admission.end_by = float("inf")

        self.play(way)


if __name__ == "__main__":
    unittest.main()
