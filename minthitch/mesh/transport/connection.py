"""One TCP connection between two processes of the mesh: messages, heartbeats, and when it is given up.

Cuts are silent, so both ends send heartbeats. Connections between sidecars are many (each pair may have one),
and so are quiet: their heartbeats are frequent only while a call or a long message is open.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from typing import Any, Protocol, cast

import msgpack

from minthitch.mesh.transport import ops
from minthitch.mesh.transport.framing import HEAD, Broken, Inbox, Outbox, OutgoingMessage

HIGH = 64 * 1024  # bytes in the transport's buffer above which the connection counts as clogged
BEAT = 0.5  # seconds without a message of its own after which an end sends a heartbeat
DEAD = 2.0  # seconds without a message from the other end after which a connection is given up
IDLE_BEAT, IDLE_DEAD = 10.0, 32.0  # the same for a quiet connection with nothing open
BEAT_WORD = HEAD.pack(2, 0, 1) + bytes((0x91, ops.PING))  # a whole piece; no message has the number 0
ASK_WORD = HEAD.pack(3, 0, 1) + bytes((0x92, ops.PING, 0xC3))  # the same, to be answered
OPEN_MOST = 120.0  # seconds after which something open counts no more: its answer was forgotten
SILENT_MOST = IDLE_BEAT + DEAD  # seconds without a word in one direction that no working connection between
# sidecars shows: one end was stopped, or cut off, and whoever waited for an answer has given it up by now
# Bytes that may wait to go out on one connection: a peer that does not read must not fill the memory.
MOST_HELD = 96 * 1024 * 1024


class Host(Protocol):
    """Receives the messages of a connection, and its end."""

    def on_message(self, connection: Connection, message: ops.Message) -> None: ...
    def on_connection_lost(self, connection: Connection) -> None: ...


class Connection(asyncio.Protocol):
    """Sends and hears messages. `name` is what the other end called itself; "" until it has."""

    def __init__(self, host: Host, on_up: Callable[[Connection], None] | None = None) -> None:
        self.host, self.on_up = host, on_up
        self.loop = asyncio.get_running_loop()
        self.transport: asyncio.Transport | None = None
        self.outbox, self.inbox = Outbox(), Inbox()
        self.clogged = False
        self.name, self.kind = "", ""
        self.said = self.came = self.loop.time()
        self.sweeper: asyncio.TimerHandle | None = None
        self.quiet = False  # beats often only while something is open: N sidecars have N x N lines
        self.open: dict[int, float] = {}  # since when; what one end has asked and the other not answered
        self.pressed = 0.0  # since when something is open
        self.coming = False  # whether a long message has come in part
        self.waits: Callable[[], None] | None = None  # called once, with the next word that comes
        self.cancelled: set[int] = set()  # calls of which the CANCEL came while messages were incomplete

    @property
    def up(self) -> bool:
        return self.transport is not None and not self.transport.is_closing()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.transport.set_write_buffer_limits(high=HIGH)
        sock = self.transport.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, int(DEAD * 1000))
        self.came = self.loop.time()
        self.sweeper = self.loop.call_later(BEAT, self._sweep)
        if self.on_up is not None:
            self.on_up(self)
        self._pump()

    def connection_lost(self, exc: Exception | None) -> None:
        if self.sweeper is not None:
            self.sweeper.cancel()
        self.transport = None
        self.host.on_connection_lost(self)

    def send(self, message: ops.Message, rank: int = 1) -> OutgoingMessage:
        """Queues a message. Raises Broken where it is too long."""
        if self.quiet:
            self._track(message)
        return self.send_packed(cast(bytes, msgpack.packb(message)), rank)

    def send_packed(self, data: bytes, rank: int = 1) -> OutgoingMessage:
        """The same for one that is packed already: what many are told is packed once."""
        parcel = self.outbox.put(data, rank)
        self._pump()
        return parcel

    def _pump(self) -> None:
        transport = self.transport
        if transport is None or transport.is_closing():
            return
        if self._was_stopped():  # what waits here is as old
            self.close()
            return
        while not self.clogged and (piece := self.outbox.take()) is not None:
            transport.write(piece)
            self.said = self.loop.time()
        if self.outbox.size > MOST_HELD:
            self.close()

    def unsent(self) -> int:
        """Bytes that wait here: the end of this process would lose them."""
        return self.outbox.size + self.transport.get_write_buffer_size() if self.transport is not None else 0

    def pause_writing(self) -> None:
        self.clogged = True

    def resume_writing(self) -> None:
        self.clogged = False
        self._pump()

    def _track(self, message: ops.Message) -> None:
        """What is open at either end."""
        op = message[0]
        if op in ops.OPENS:
            if not self.open and self.up:
                self.pressed = self.loop.time()
                self._sweep_in(BEAT)
            self.open[message[1] if op != ops.PEER_FETCH else 0] = self.loop.time()
        elif op in ops.CLOSES:
            self.open.pop(message[1] if op != ops.PEER_STATE else 0, None)

    def ask(self, waits: Callable[[], None]) -> None:
        """Whether the other end is there: `waits` is called once it says anything."""
        self.waits = waits
        self._write(ASK_WORD)

    def _write(self, word: bytes) -> None:
        """Past the outbox, and so between the pieces of what waits there."""
        if self.transport is not None and not self.clogged:
            self.said = self.loop.time()
            self.transport.write(word)

    def _was_stopped(self) -> bool:
        """Whether this process has not run for so long that what waits here to go out is over."""
        return self.quiet and not self.clogged and self.loop.time() - self.said > SILENT_MOST

    def _overtaken(self, message: ops.Message) -> bool:
        """Whether this is a CALL that was cancelled before it had come whole.

        A CANCEL has rank 0 and passes the pieces of its own CALL; without this the call would run unheard.
        """
        if message[0] == ops.CANCEL and self.inbox.open:
            self.cancelled.add(message[1])
        return message[0] == ops.CALL and message[1] in self.cancelled

    def data_received(self, data: bytes) -> None:
        now = self.loop.time()
        stale = self.quiet and not self.clogged and now - min(self.said, self.came) > SILENT_MOST
        self.came = now
        if self.waits is not None:
            waits, self.waits = self.waits, None
            waits()
        if data == BEAT_WORD and not self.inbox.rest and not stale:
            return
        try:
            for whole in self.inbox.feed(data):
                message: Any = msgpack.unpackb(whole, use_list=False, strict_map_key=False)
                if type(message) is not tuple or not message:
                    raise Broken("a message that is no array")
                if message[0] == ops.HELLO:
                    self.kind, self.name = str(message[1]), str(message[2])
                    self.quiet = self.kind == ops.PEER
                if message[0] == ops.PING and len(message) > 1:
                    self._write(BEAT_WORD)
                    stale = False  # whoever asks sends nothing before the answer
                if stale and message[0] in (ops.CALL, ops.PING):
                    # This was written long ago, and so is what follows. The sender of a call has given it up,
                    # and the claim on its key may have passed to another.
                    self.close()
                    return
                if message[0] == ops.PING:
                    continue
                if self.quiet:
                    if self._overtaken(message):
                        continue
                    self._track(message)
                self.host.on_message(self, message)
        except (Broken, ValueError, msgpack.UnpackException):
            self.close()  # after bytes that are no frame the next frame can't be found
            return
        if self.quiet and self.inbox.open and not self.coming:
            self._sweep_in(BEAT)  # while a long message comes, its sender expects frequent heartbeats
        self.coming = bool(self.inbox.open)
        if not self.coming:
            self.cancelled.clear()

    def _sweep_in(self, seconds: float) -> None:
        if self.sweeper is not None:
            self.sweeper.cancel()
        self.sweeper = self.loop.call_later(seconds, self._sweep)

    def _sweep(self) -> None:
        now = self.loop.time()
        if self.open:
            self.open = {ident: at for ident, at in self.open.items() if at > now - OPEN_MOST}
        idle = self.quiet and not self.open and not self.inbox.open
        beat, dead = (IDLE_BEAT, IDLE_DEAD) if idle else (BEAT, DEAD)
        # Idle ones look again when the next beat is due, so that none is silent for two of them.
        self._sweep_in(max(self.said + beat - now, BEAT) if idle and now - self.said < beat else beat)
        if now - max(self.came, self.pressed) > dead or self._was_stopped():
            self.close()
        elif self.quiet and self.open and now - self.came >= beat:
            # The other end does not know of a call before it has all of it, and sends no frequent heartbeats.
            self._write(ASK_WORD)
        elif now - self.said >= beat:
            self._write(BEAT_WORD)

    def close(self) -> None:
        if self.transport is not None:
            self.transport.abort()
