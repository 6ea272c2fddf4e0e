"""Mesh.Status states which bodies a sidecar holds, so that bodies of ended calls stand out as the rest."""

from __future__ import annotations

import asyncio
import unittest
from types import SimpleNamespace
from typing import Any

from minthitch.mesh.http.listener import Listener
from minthitch.mesh.sidecar.admission import Admission
from minthitch.mesh.sidecar.memory_usage import measure_memory
from minthitch.mesh.transport import ops
from minthitch.mesh.transport.connection import Connection
from minthitch.mesh.transport.framing import MAX_FRAME_PAYLOAD, Outbox
from tests.mesh.test_admission import ServerPool, heartbeat
from tests.mesh.test_http import EchoHandler

BODY_BYTES = 50_000


class MemoryUsageTest(unittest.IsolatedAsyncioTestCase):
    async def test_each_body_counts_where_it_is(self) -> None:
        admission = Admission("127.0.0.1:9", "s", ServerPool(), lambda: None)  # type: ignore[arg-type]
        admission.on_heartbeat("life", heartbeat("up", 1))
        for ident in range(2):
            body = b"x" * BODY_BYTES
            call = (ops.CALL, ident, "life", 60.0, 60.0, 1, 1, b"POST", b"/", (), body, b"id", b"svc", "r")
            admission.call("line", lambda reply: None, call)
        listener = Listener(EchoHandler(), 16, 0)
        await listener.open("127.0.0.1:0")
        assert listener.server is not None
        port = listener.server.sockets[0].getsockname()[1]
        _, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 90000\r\n\r\n" + b"x" * BODY_BYTES)
        while listener.body_bytes() < BODY_BYTES:
            await asyncio.sleep(0.001)
        connection = Connection(SimpleNamespace())
        outbox = Outbox()
        outbox.put(b"y" * BODY_BYTES, 1)
        list(connection.inbox.feed(outbox.next_frame() or b""))
        request = SimpleNamespace(body=b"x" * BODY_BYTES)
        sidecar: Any = SimpleNamespace(
            admission=admission,
            exchanges=[SimpleNamespace(request=request)],
            dispatcher=SimpleNamespace(peers={}),
            keys=SimpleNamespace(operations=SimpleNamespace(answer_bytes=7)),
        )
        usage = measure_memory(sidecar, listener, [connection])
        self.assertEqual(
            (usage.client_bodies, usage.open_requests, usage.queued_calls, usage.running_calls),
            (BODY_BYTES, BODY_BYTES, BODY_BYTES, BODY_BYTES),
        )
        self.assertEqual((usage.incomplete, usage.stored_answers), (MAX_FRAME_PAYLOAD, 7))
        self.assertGreater(usage.resident, 10 * 1024 * 1024)
        writer.close()
        listener.close()


if __name__ == "__main__":
    unittest.main()
