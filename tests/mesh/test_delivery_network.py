"""Resets in the simulated network: each end receives a prefix of the bytes in flight, and nothing more."""

from __future__ import annotations

import asyncio
import unittest
from typing import Any

from rigs.simulation.loop import Machine, VirtualLoop
from rigs.simulation.network import End, Network

PORT = 9000
CHUNKS = (b"first;", b"second;", b"third;")
SENT = b"".join(CHUNKS)
SEEDS = 60


class RecordingProtocol(asyncio.Protocol):
    """Records the bytes that arrive, and the end of the connection."""

    def __init__(self) -> None:
        self.received: list[bytes] = []
        self.lost = 0
        self.transport: Any = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        assert not self.lost, "bytes after the reset"
        self.received.append(data)

    def connection_lost(self, exc: Exception | None) -> None:
        self.lost += 1


class Pair:
    """Two machines with one connection between them."""

    def __init__(self, seed: int) -> None:
        self.loop = VirtualLoop(seed)
        self.network = Network(self.loop)
        self.near, self.far = Machine("10.0.0.1"), Machine("10.0.0.2")
        for machine in (self.near, self.far):
            self.network.add(machine.name, "a", machine)
        self.client, self.server = RecordingProtocol(), RecordingProtocol()
        self.network.listen(self.far, lambda: self.server, self.far.name, PORT)
        self.loop.on(self.near, self.loop.create_task, self._connect())
        self.loop.run_until(0.1)

    async def _connect(self) -> None:
        await self.loop.create_connection(lambda: self.client, self.far.name, PORT)

    def write_and_reset(self) -> tuple[bytes, bytes]:
        """What the server and the client received of the other's three writes before the reset."""
        for ear in (self.client, self.server):
            for chunk in CHUNKS:
                ear.transport.write(chunk)
        self.network.reset(self.far)
        self.loop.run_until(1.0)
        return b"".join(self.server.received), b"".join(self.client.received)


class ConnectionResets(unittest.TestCase):
    def test_exactly_a_prefix_of_what_was_sent_arrives_before_the_reset(self) -> None:
        seen = set()
        for seed in range(SEEDS):
            pair = Pair(seed)
            for received in pair.write_and_reset():
                self.assertTrue(SENT.startswith(received), received)
                seen.add(len(received))
            self.assertEqual((pair.client.lost, pair.server.lost), (1, 1))
        self.assertLess({0, len(CHUNKS[0]), len(SENT)}, seen, "nothing, one complete write, and everything")
        self.assertGreater(len(seen), len(SENT) // 2, "and parts of writes, too")

    def test_the_prefixes_of_both_ends_are_independent_and_reproducible_by_seed(self) -> None:
        received = [Pair(seed).write_and_reset() for seed in range(SEEDS)]
        self.assertEqual(received, [Pair(seed).write_and_reset() for seed in range(SEEDS)])
        self.assertTrue(any(len(server) > len(client) for server, client in received))
        self.assertTrue(any(len(server) < len(client) for server, client in received))

    def test_bytes_delayed_by_a_partition_never_arrive_after_a_reset(self) -> None:
        for seed in range(SEEDS):
            pair = Pair(seed)
            pair.network.cut(pair.near.name, pair.far.name)
            server, _ = pair.write_and_reset()
            pair.network.heal([(pair.near.name, pair.far.name)])
            pair.loop.run_until(2.0)
            self.assertEqual((server, pair.server.received), (b"", []))

    def test_a_reset_does_not_consume_random_numbers_of_the_loop(self) -> None:
        pair = Pair(1)
        before = pair.loop.random.getstate()
        pair.network.reset(pair.far)
        self.assertEqual(pair.loop.random.getstate(), before)

    def test_a_connection_that_is_not_accepted_yet_has_no_bytes_in_flight(self) -> None:
        pair = Pair(1)
        end = End(pair.network, pair.near, pair.near.name)
        self.assertEqual(end.bytes_in_flight(), b"")


if __name__ == "__main__":
    unittest.main()
