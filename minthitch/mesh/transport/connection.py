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
from minthitch.mesh.transport.framing import FRAME_HEADER, Inbox, Outbox, OutgoingMessage, ProtocolError

WRITE_HIGH_WATER = 64 * 1024  # bytes in the transport's buffer above which the connection counts as clogged
HEARTBEAT_S = 0.5  # seconds without a message of its own after which an end sends a heartbeat
PEER_TIMEOUT_S = 2.0  # seconds without a message from the other end after which a connection is given up
IDLE_HEARTBEAT_S, IDLE_PEER_TIMEOUT_S = 10.0, 32.0  # the same for a quiet connection with nothing open
HEARTBEAT_FRAME = FRAME_HEADER.pack(2, 0, 1) + bytes(
    (0x91, ops.PING)
)  # a whole piece; no message has the number 0
PROBE_FRAME = FRAME_HEADER.pack(3, 0, 1) + bytes((0x92, ops.PING, 0xC3))  # the same, to be answered
OUTSTANDING_EXPIRY_S = 120.0  # seconds after which something open counts no more: its answer was forgotten
MAX_SILENCE_S = (
    IDLE_HEARTBEAT_S + PEER_TIMEOUT_S
)  # seconds without a word in one direction that no working connection between
# sidecars shows: one end was stopped, or cut off, and whoever waited for an answer has given it up by now
# Bytes that may wait to go out on one connection: a peer that does not read must not fill the memory.
MAX_QUEUED_BYTES = 96 * 1024 * 1024


class MessageReceiver(Protocol):
    """Receives the messages of a connection, and its end."""

    def on_message(self, connection: Connection, message: ops.Message) -> None: ...
    def on_connection_lost(self, connection: Connection) -> None: ...


class Connection(asyncio.Protocol):
    """Sends and hears messages. `name` is what the other end called itself; "" until it has."""

    def __init__(self, host: MessageReceiver, on_up: Callable[[Connection], None] | None = None) -> None:
        self.receiver, self.on_up = host, on_up
        self.loop = asyncio.get_running_loop()
        self.transport: asyncio.Transport | None = None
        self.outbox, self.inbox = Outbox(), Inbox()
        self.write_paused = False
        self.name, self.kind = "", ""
        self.last_sent = self.last_received = self.loop.time()
        self.check_timer: asyncio.TimerHandle | None = None
        self.between_sidecars = False  # beats often only while something is open: N sidecars have N x N lines
        self.outstanding: dict[
            int, float
        ] = {}  # since when; what one end has asked and the other not answered
        self.active_since = 0.0  # since when something is open
        self.receiving_partial = False  # whether a long message has come in part
        self.on_reply: Callable[[], None] | None = None  # called once, with the next word that comes
        self.cancelled: set[int] = set()  # calls of which the CANCEL came while messages were incomplete

    @property
    def up(self) -> bool:
        return self.transport is not None and not self.transport.is_closing()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.transport.set_write_buffer_limits(high=WRITE_HIGH_WATER)
        sock = self.transport.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, int(PEER_TIMEOUT_S * 1000))
        self.last_received = self.loop.time()
        self.check_timer = self.loop.call_later(HEARTBEAT_S, self._check_liveness)
        if self.on_up is not None:
            self.on_up(self)
        self._flush()

    def connection_lost(self, exc: Exception | None) -> None:
        if self.check_timer is not None:
            self.check_timer.cancel()
        self.transport = None
        self.receiver.on_connection_lost(self)

    def send(self, message: ops.Message, priority: int = 1) -> OutgoingMessage:
        """Queues a message. Raises ProtocolError where it is too long."""
        if self.between_sidecars:
            self._track(message)
        return self.send_packed(cast(bytes, msgpack.packb(message)), priority)

    def send_packed(self, data: bytes, priority: int = 1) -> OutgoingMessage:
        """The same for one that is packed already: what many are told is packed once."""
        outgoing = self.outbox.put(data, priority)
        self._flush()
        return outgoing

    def _flush(self) -> None:
        transport = self.transport
        if transport is None or transport.is_closing():
            return
        if self._was_suspended():  # what waits here is as old
            self.close()
            return
        while not self.write_paused and (piece := self.outbox.next_frame()) is not None:
            transport.write(piece)
            self.last_sent = self.loop.time()
        if self.outbox.size > MAX_QUEUED_BYTES:
            self.close()

    def unsent_bytes(self) -> int:
        """Bytes that wait here: the end of this process would lose them."""
        return self.outbox.size + self.transport.get_write_buffer_size() if self.transport is not None else 0

    def pause_writing(self) -> None:
        self.write_paused = True

    def resume_writing(self) -> None:
        self.write_paused = False
        self._flush()

    def _track(self, message: ops.Message) -> None:
        """What is open at either end."""
        op = message[0]
        if op in ops.REQUEST_OPS:
            if not self.outstanding and self.up:
                self.active_since = self.loop.time()
                self._schedule_check(HEARTBEAT_S)
            self.outstanding[message[1] if op != ops.PEER_FETCH else 0] = self.loop.time()
        elif op in ops.COMPLETION_OPS:
            self.outstanding.pop(message[1] if op != ops.PEER_STATE else 0, None)

    def probe(self, waits: Callable[[], None]) -> None:
        """Whether the other end is there: `waits` is called once it says anything."""
        self.on_reply = waits
        self._write(PROBE_FRAME)

    def _write(self, word: bytes) -> None:
        """Past the outbox, and so between the pieces of what waits there."""
        if self.transport is not None and not self.write_paused:
            self.last_sent = self.loop.time()
            self.transport.write(word)

    def _was_suspended(self) -> bool:
        """Whether this process has not run for so long that what waits here to go out is over."""
        return (
            self.between_sidecars
            and not self.write_paused
            and self.loop.time() - self.last_sent > MAX_SILENCE_S
        )

    def _was_cancelled(self, message: ops.Message) -> bool:
        """Whether this is a CALL that was cancelled before it had come whole.

        A CANCEL has priority 0 and passes the frames of its CALL; without this the call would run unheard.
        """
        if message[0] == ops.CANCEL and self.inbox.partial:
            self.cancelled.add(message[1])
        return message[0] == ops.CALL and message[1] in self.cancelled

    def data_received(self, data: bytes) -> None:
        now = self.loop.time()
        stale = (
            self.between_sidecars
            and not self.write_paused
            and now - min(self.last_sent, self.last_received) > MAX_SILENCE_S
        )
        self.last_received = now
        if self.on_reply is not None:
            waits, self.on_reply = self.on_reply, None
            waits()
        if data == HEARTBEAT_FRAME and not self.inbox.unparsed and not stale:
            return
        try:
            for whole in self.inbox.feed(data):
                message: Any = msgpack.unpackb(whole, use_list=False, strict_map_key=False)
                if type(message) is not tuple or not message:
                    raise ProtocolError("a message that is no array")
                if message[0] == ops.HELLO:
                    self.kind, self.name = str(message[1]), str(message[2])
                    self.between_sidecars = self.kind == ops.PEER
                if message[0] == ops.PING and len(message) > 1:
                    self._write(HEARTBEAT_FRAME)
                    stale = False  # whoever asks sends nothing before the answer
                if stale and message[0] in (ops.CALL, ops.PING):
                    # This was written long ago, and so is what follows. The sender of a call has given it up,
                    # and the claim on its key may have passed to another.
                    self.close()
                    return
                if message[0] == ops.PING:
                    continue
                if self.between_sidecars:
                    if self._was_cancelled(message):
                        continue
                    self._track(message)
                self.receiver.on_message(self, message)
        except (ProtocolError, ValueError, msgpack.UnpackException):
            self.close()  # after bytes that are no frame the next frame can't be found
            return
        if self.between_sidecars and self.inbox.partial and not self.receiving_partial:
            self._schedule_check(
                HEARTBEAT_S
            )  # while a long message comes, its sender expects frequent heartbeats
        self.receiving_partial = bool(self.inbox.partial)
        if not self.receiving_partial:
            self.cancelled.clear()

    def _schedule_check(self, seconds: float) -> None:
        if self.check_timer is not None:
            self.check_timer.cancel()
        self.check_timer = self.loop.call_later(seconds, self._check_liveness)

    def _check_liveness(self) -> None:
        now = self.loop.time()
        if self.outstanding:
            self.outstanding = {
                ident: at for ident, at in self.outstanding.items() if at > now - OUTSTANDING_EXPIRY_S
            }
        idle = self.between_sidecars and not self.outstanding and not self.inbox.partial
        beat, dead = (IDLE_HEARTBEAT_S, IDLE_PEER_TIMEOUT_S) if idle else (HEARTBEAT_S, PEER_TIMEOUT_S)
        # Idle ones look again when the next beat is due, so that none is silent for two of them.
        self._schedule_check(
            max(self.last_sent + beat - now, HEARTBEAT_S) if idle and now - self.last_sent < beat else beat
        )
        if now - max(self.last_received, self.active_since) > dead or self._was_suspended():
            self.close()
        elif self.between_sidecars and self.outstanding and now - self.last_received >= beat:
            # The other end does not know of a call before it has all of it, and sends no frequent heartbeats.
            self._write(PROBE_FRAME)
        elif now - self.last_sent >= beat:
            self._write(HEARTBEAT_FRAME)

    def close(self) -> None:
        if self.transport is not None:
            self.transport.abort()
