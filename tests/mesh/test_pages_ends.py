"""Before a process ends, the operating system must have taken the last byte of each response."""

from __future__ import annotations

import asyncio
import unittest
from typing import Any

from minthitch.mesh.http.listener import ClientConnection, Listener

RESPONSE_BYTES = 8_000_000  # more than fits into the sockets' buffers


class Handler:
    """Responds to each request at once, with a large body."""

    def handle(self, client: ClientConnection, request: Any) -> None:
        client.respond(client.token, 200, (), b"x" * RESPONSE_BYTES)

    def on_client_lost(self, client: ClientConnection) -> None:
        pass

    def accepts_requests(self) -> bool:
        return True

    def max_header_bytes(self) -> int:
        return 16 * 1024

    def max_body_bytes(self) -> int:
        return 1024 * 1024

    def log_client_error(self, text: str) -> None:
        pass


class Shutdown(unittest.IsolatedAsyncioTestCase):
    async def test_a_response_counts_as_unsent_until_its_last_byte_is_written(self) -> None:
        listener = Listener(Handler(), 10, 0)
        await listener.open("127.0.0.1:0")
        assert listener.server is not None
        address = listener.server.sockets[0].getsockname()
        reader, writer = await asyncio.open_connection(*address)
        writer.write(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
        head = await reader.readuntil(b"\r\n\r\n")
        self.assertIn(b"200", head)
        self.assertEqual(listener.pending_requests(), 0, "the request is answered")
        self.assertGreater(listener.unsent_bytes(), 0, "but its response is not sent completely")
        await reader.readexactly(RESPONSE_BYTES)
        self.assertEqual(listener.unsent_bytes(), 0)
        writer.close()
        listener.close()


if __name__ == "__main__":
    unittest.main()
