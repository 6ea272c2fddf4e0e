"""Simulated TCP streams between machines: ordered, delayed, with silent partitions in one or both directions.

A connection reset delivers an arbitrary prefix of the bytes in flight, drawn for each end separately: none,
all, or up to a byte in the middle of a write. No byte is delivered twice, and none after the reset.
"""

from __future__ import annotations

import asyncio
import random
from collections import deque
from collections.abc import Callable, Iterable
from itertools import takewhile
from typing import Any

from rigs.simulation.loop import Machine, VirtualLoop

KERNEL_BUFFER_BYTES = 256 * 1024  # in the kernels of both ends, beyond the transport's own buffer
RETRANSMIT_DELAY_S = 0.05, 0.4  # from the end of a partition until lost data is sent again
USER_TIMEOUT_S = 2.0  # a kernel retries for this long; the programs set TCP_USER_TIMEOUT
LATE_DATA_PROBABILITY = 0.5  # that data written before a close still arrives after a partition
# Cumulative probabilities that a reset delivers none or all of the data in flight; otherwise a random prefix.
NO_DATA_PROBABILITY, ALL_DATA_PROBABILITY = 0.25, 0.5
# Ranges of the one-way delay within a zone and between zones.
SAME_ZONE_DELAY_S, CROSS_ZONE_DELAY_S = (0.0002, 0.0008), (0.003, 0.012)


class _Socket:
    def setsockopt(self, *args: Any) -> None:
        pass


class End(asyncio.Transport):
    """One end of a connection."""

    def __init__(self, network: Network, machine: Machine, ip: str) -> None:
        super().__init__()
        self.network, self.machine, self.ip = network, machine, ip
        self.life = machine.life
        self.protocol: Any = None
        self.peer: End = self
        self.closed = False
        self.high_water, self.paused = 64 * 1024, False
        self.pending = 0  # bytes written that the other end has not received
        self.queue: deque[Any] = deque()  # in flight to the other end
        self.earliest_arrival = 0.0  # no item arrives earlier, to keep order
        self.stuck = False  # delivery waits for the end of a partition
        self.stuck_at = 0.0  # when that began

    # Transport interface for the protocol

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        return _Socket() if name == "socket" else default

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        self.high_water = 64 * 1024 if high is None else high

    def get_write_buffer_size(self) -> int:
        return max(self.pending - KERNEL_BUFFER_BYTES, 0)

    def is_closing(self) -> bool:
        return self.closed

    def write(self, data: bytes | bytearray | memoryview) -> None:
        if self.closed:
            return
        self.pending += len(data)
        self.network.send(self, bytes(data))
        if not self.paused and self.pending > self.high_water + KERNEL_BUFFER_BYTES:
            self.paused = True
            self.protocol.pause_writing()

    def close(self) -> None:
        self.abort()

    def abort(self) -> None:
        if self.closed:
            return
        self.closed = True
        network = self.network
        if self.stuck and network.loop.random.random() > LATE_DATA_PROBABILITY:
            self.queue.clear()
        network.send(self, None)
        if self.protocol is not None:
            network.loop.after(0.0, self.machine, self.protocol.connection_lost, None)

    # Interface for the network

    @property
    def alive(self) -> bool:
        return not self.closed and self.machine.life == self.life

    def reset(self) -> None:
        if not self.alive:
            return
        self.closed = True
        if self.protocol is not None:
            self.protocol.connection_lost(ConnectionResetError())

    def receive(self, data: bytes) -> None:
        if self.alive and self.protocol is not None:
            self.peer.on_received(len(data))
            self.protocol.data_received(data)

    def bytes_in_flight(self) -> bytes:
        """The bytes in flight to this end, up to the end of the stream; empty if they cannot arrive."""
        if self.protocol is None or self.peer.stuck or self.network.blocked(self.peer.ip, self.ip):
            return b""
        return b"".join(takewhile(lambda item: isinstance(item, bytes), self.peer.queue))

    def on_received(self, size: int) -> None:
        self.pending -= size
        if self.paused and self.pending <= self.high_water // 4 + KERNEL_BUFFER_BYTES and self.alive:
            self.paused = False
            self.network.loop.after(0.0, self.machine, self._resume)

    def _resume(self) -> None:
        if self.alive:
            self.protocol.resume_writing()


class _Listener:
    def __init__(self, network: Network, key: tuple[str, int], machine: Machine, factory: Any) -> None:
        self.network, self.key, self.machine, self.factory = network, key, machine, factory
        self.life = machine.life

    def close(self) -> None:
        if self.network.listeners.get(self.key) is self:
            del self.network.listeners[self.key]


class Network:
    def __init__(self, loop: VirtualLoop) -> None:
        self.loop = loop
        loop.network = self
        self.machines: dict[str, Machine] = {}  # by address
        self.zones: dict[str, str] = {}
        self.listeners: dict[tuple[str, int], _Listener] = {}
        self.cuts: set[tuple[str, str]] = set()
        self.ends: list[End] = []
        self.extra_delay_s: dict[str, float] = {}  # additional delay of traffic from and to a machine
        # A separate generator, so that resets do not shift the other draws of the same seed.
        self.prefix_random = random.Random(repr(loop.random.getstate()))

    def add(self, ip: str, zone: str, machine: Machine) -> None:
        self.machines[ip], self.zones[ip] = machine, zone

    def delay(self, src: str, dst: str) -> float:
        low, high = SAME_ZONE_DELAY_S if self.zones[src] == self.zones[dst] else CROSS_ZONE_DELAY_S
        return (
            self.loop.random.uniform(low, high)
            + self.extra_delay_s.get(src, 0.0)
            + self.extra_delay_s.get(dst, 0.0)
        )

    def blocked(self, src: str, dst: str) -> bool:
        return (src, dst) in self.cuts or not self.machines[dst].powered

    # Connections

    def listen(self, machine: Machine, factory: Any, ip: str, port: int) -> _Listener:
        listener = self.listeners[ip, port] = _Listener(self, (ip, port), machine, factory)
        return listener

    async def connect(self, machine: Machine, factory: Any, ip: str, port: int) -> tuple[End, Any]:
        established: asyncio.Future[End] = self.loop.create_future()
        src = machine.name
        self.loop.after(
            self.delay(src, ip),
            self.loop.world,
            self._on_connect_request,
            machine,
            machine.life,
            ip,
            port,
            established,
        )
        try:
            end = await established
        except asyncio.CancelledError:
            if established.done() and not established.cancelled() and established.exception() is None:
                established.result().abort()
            raise
        protocol = end.protocol = factory()
        protocol.connection_made(end)
        return end, protocol

    def _on_connect_request(
        self, machine: Machine, life: int, ip: str, port: int, established: asyncio.Future[End]
    ) -> None:
        """The connection request has reached the other machine."""
        src = machine.name
        if self.blocked(src, ip) or machine.life != life:
            return
        listener = self.listeners.get((ip, port))
        there = listener is not None and listener.life == listener.machine.life and listener.machine.running
        self.loop.after(
            self.delay(ip, src),
            self.loop.world,
            self._on_connect_reply,
            machine,
            life,
            ip,
            listener if there else None,
            established,
        )

    def _on_connect_reply(
        self,
        machine: Machine,
        life: int,
        ip: str,
        listener: _Listener | None,
        established: asyncio.Future[End],
    ) -> None:
        """The reply to the connection request has arrived."""
        if self.blocked(ip, machine.name) or machine.life != life:
            return
        self.loop.after(0.0, machine, self._establish, machine, ip, listener, established)

    def _establish(
        self, machine: Machine, ip: str, listener: _Listener | None, established: asyncio.Future[End]
    ) -> None:
        if established.done():
            return
        if listener is None:
            established.set_exception(ConnectionRefusedError())
            return
        near, far = End(self, machine, machine.name), End(self, listener.machine, ip)
        far.life = listener.life
        near.peer, far.peer = far, near
        self.ends += (near, far)
        self.send(near, listener.factory)
        established.set_result(near)
        if len(self.ends) > 500:
            self.ends = [end for end in self.ends if not end.closed or not end.peer.closed]

    # Items in flight: bytes, a protocol factory (to be accepted), or None (closed)

    def send(self, end: End, item: Any) -> None:
        end.earliest_arrival = max(end.earliest_arrival, self.loop.now + self.delay(end.ip, end.peer.ip))
        end.queue.append(item)
        self.loop.after(end.earliest_arrival - self.loop.now, self.loop.world, self._arrive, end)

    def _arrive(self, end: End) -> None:
        if not end.queue or end.stuck:
            return
        if self.blocked(end.ip, end.peer.ip):
            end.stuck, end.stuck_at = True, self.loop.now
            return
        self._deliver(end, end.queue.popleft())

    def _deliver(self, end: End, item: Any) -> None:
        peer = end.peer
        if peer.machine.life != peer.life or not peer.machine.running:
            self._refuse(end)
        elif item is None:
            self.loop.after(0.0, peer.machine, peer.reset)
        elif isinstance(item, bytes):
            if peer.closed:
                self._refuse(end)
            else:
                self.loop.after(0.0, peer.machine, peer.receive, item)
        else:
            self.loop.after(0.0, peer.machine, self._accept, peer, item)

    def _accept(self, end: End, factory: Callable[[], Any]) -> None:
        end.protocol = factory()
        end.protocol.connection_made(end)

    def _refuse(self, end: End) -> None:
        """The other end no longer exists: its machine resets the connection, unless the reset cannot
        arrive.
        """
        if not self.blocked(end.peer.ip, end.ip) and end.peer.machine.powered and end.alive:
            delay = self.delay(end.peer.ip, end.ip)
            self.loop.after(delay, end.machine, end.reset)

    # Faults

    def cut(self, src: str, dst: str) -> None:
        self.cuts.add((src, dst))

    def partition(self, pairs: Iterable[tuple[str, str]]) -> list[tuple[str, str]]:
        """Cuts the pairs that are not cut yet, and returns them, so that healing them keeps earlier cuts."""
        new = [pair for pair in pairs if pair not in self.cuts]
        self.cuts.update(new)
        return new

    def heal(self, pairs: Iterable[tuple[str, str]]) -> None:
        self.cuts.difference_update(pairs)
        self.resume_stuck()

    def resume_stuck(self) -> None:
        """Resumes delivery on connections that are no longer cut.

        If the partition lasted longer than USER_TIMEOUT_S, they are reset instead.
        """
        for end in list(self.ends):
            if end.stuck and not self.blocked(end.ip, end.peer.ip):
                end.stuck = False
                pause = self.loop.random.uniform(*RETRANSMIT_DELAY_S)
                if self.loop.now - end.stuck_at > USER_TIMEOUT_S:
                    end.queue.clear()
                    self.loop.after(0.0, end.machine, end.reset)
                for _ in range(len(end.queue)):
                    end.earliest_arrival = max(end.earliest_arrival, self.loop.now + pause)
                    self.loop.after(end.earliest_arrival - self.loop.now, self.loop.world, self._arrive, end)

    def close_connections(self, machine: Machine) -> None:
        """Closes the connections of an ended process; a machine without power sends nothing."""
        for end in list(self.ends):
            if end.machine is machine and not end.closed:
                end.closed = True
                if machine.powered:
                    self.send(end, None)

    def reset(self, machine: Machine) -> None:
        """Resets all connections of a machine; each end first receives a prefix of the data in flight to
        it.
        """
        affected = [end for end in self.ends if machine in (end.machine, end.peer.machine) and not end.closed]
        arriving = [(end, self._prefix(end.bytes_in_flight())) for end in affected]
        for end, data in arriving:
            end.peer.queue.clear()
            if data:
                self.loop.after(0.0, end.machine, end.receive, data)
            self.loop.after(0.0, end.machine, end.reset)

    def _prefix(self, data: bytes) -> bytes:
        chance = self.prefix_random.random()
        if not data or chance < NO_DATA_PROBABILITY:
            return b""
        return data if chance < ALL_DATA_PROBABILITY else data[: self.prefix_random.randrange(len(data) + 1)]
