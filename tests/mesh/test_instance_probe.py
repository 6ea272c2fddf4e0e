"""What a server's answer to a health check that names one of its runs proves."""

from __future__ import annotations

import asyncio
import unittest
from collections.abc import Callable

from minthitch.mesh.http.instance_probe import ProbeVerdict, classify_probe, probe_instance

RUNNING, NOT_RUNNING, UNKNOWN = ProbeVerdict.IS_RUNNING, ProbeVerdict.IS_NOT_RUNNING, ProbeVerdict.UNKNOWN
SELF_MADE_HEAD = b"HTTP/1.1 200 OK\r\nx-instance-ID: i-1\r\nContent-Length: 0\r\n\r\n"


class InstanceProbe(unittest.IsolatedAsyncioTestCase):
    def test_only_an_id_or_a_refusal_of_the_named_run_proves_something(self) -> None:
        for status, instance_id, verdict in (
            (200, b"i-1", RUNNING),
            (200, b"i-2", NOT_RUNNING),
            (200, b"", UNKNOWN),
            (421, b"", NOT_RUNNING),
            (503, b"i-1", UNKNOWN),
            (500, b"", UNKNOWN),
            (0, b"", UNKNOWN),
        ):
            with self.subTest(status=status, instance_id=instance_id):
                self.assertEqual(classify_probe(status, instance_id, "i-1"), verdict)

    async def ask(self, act: Callable[[asyncio.StreamWriter], None]) -> tuple[ProbeVerdict, bytes]:
        """The verdict on the run i-1 by a server that acts so, and the request that it got."""
        asked = list[bytes]()

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            asked.append(await reader.readuntil(b"\r\n\r\n"))
            act(writer)

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        verdict = await probe_instance(f"{host}:{port}", "/well", "i-1")
        server.close()
        return verdict, asked[0]

    async def test_the_request_names_the_run_and_the_path_of_the_service(self) -> None:
        verdict, asked = await self.ask(lambda writer: writer.write(SELF_MADE_HEAD))
        self.assertEqual(verdict, RUNNING)
        self.assertTrue(asked.startswith(b"GET /well HTTP/1.1\r\n"), asked)
        self.assertIn(b"X-Target-Instance: i-1\r\n", asked)

    async def test_a_server_that_cuts_garbles_floods_or_hangs_tells_nothing(self) -> None:
        def flood(writer: asyncio.StreamWriter) -> None:
            writer.write(b"HTTP/1.1 200 OK\r\n" + b"X-Instance: i-1\r\n" * 5_000)

        def cut(writer: asyncio.StreamWriter) -> None:
            writer.write(SELF_MADE_HEAD[:-2])
            writer.close()

        for act in (
            flood,
            cut,
            lambda writer: writer.transport.abort(),
            lambda writer: writer.write(b"no answer\r\n\r\n"),
            lambda writer: None,
        ):
            verdict, _ = await self.ask(act)
            self.assertEqual(verdict, UNKNOWN)

    async def test_where_nothing_listens_nothing_is_known(self) -> None:
        self.assertEqual(await probe_instance("127.0.0.1:9", "/", "i-1"), UNKNOWN)
        self.assertEqual(await probe_instance("nonsense", "/", "i-1"), UNKNOWN)


if __name__ == "__main__":
    unittest.main()
