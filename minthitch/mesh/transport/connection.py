"""One TCP connection between two processes of the mesh: messages, heartbeats, and timeouts.

A network partition closes no connection, so both ends send heartbeats. Each pair of sidecars may have a
connection of its own, N x N in all: on these, heartbeats are frequent only while a call or a long message is
outstanding.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from typing import Any, Protocol, cast

import msgpack

from minthitch.mesh.transport import ops
from minthitch.mesh.transport.framing import FRAME_HEADER, Inbox, Outbox, OutgoingMessage, ProtocolError

WRITE_HIGH_WATER = 64 * 1024  # bytes in the transport's buffer above which writing pauses
HEARTBEAT_S = 0.5  # an end that has sent nothing for this long sends a heartbeat
PEER_TIMEOUT_S = 2.0  # a connection on which nothing was received for this long is closed
# The same for a connection between sidecars with nothing outstanding.
IDLE_HEARTBEAT_S, IDLE_PEER_TIMEOUT_S = 10.0, 32.0
# Complete frames; no queued message has the number 0.
HEARTBEAT_FRAME = FRAME_HEADER.pack(2, 0, 1) + bytes((0x91, ops.PING))
PROBE_FRAME = FRAME_HEADER.pack(3, 0, 1) + bytes((0x92, ops.PING, 0xC3))  # a heartbeat that is to be answered
OUTSTANDING_EXPIRY_S = 120.0  # after which a request counts as outstanding no more: its reply was forgotten
# On a working connection between sidecars neither direction is silent for this long. After it, one end was
# suspended or cut off, and whoever waited for a reply has given up by now.
MAX_SILENCE_S = IDLE_HEARTBEAT_S + PEER_TIMEOUT_S
# Bytes that may be queued on one connection: a peer that does not read must not exhaust the memory.
MAX_QUEUED_BYTES = 96 * 1024 * 1024


class MessageReceiver(Protocol):
    """Is told of each message of a connection, and of its end."""

    def on_message(self, connection: Connection, message: ops.Message) -> None: ...
    def on_connection_lost(self, connection: Connection) -> None: ...


class Connection(asyncio.Protocol):
    """Sends and receives messages. `kind` and `name` are the peer's, empty until its HELLO has arrived."""

    def __init__(self, receiver: MessageReceiver, on_up: Callable[[Connection], None] | None = None) -> None:
        self.receiver, self.on_up = receiver, on_up
        self.loop = asyncio.get_running_loop()
        self.transport: asyncio.Transport | None = None
        self.outbox, self.inbox = Outbox(), Inbox()
        self.write_paused = False
        self.name, self.kind = "", ""
        self.last_sent = self.last_received = self.loop.time()
        self.check_timer: asyncio.TimerHandle | None = None
        self.between_sidecars = False  # then heartbeats are frequent only while something is outstanding
        # When each request of either end that has no reply yet was sent or received, by its id.
        self.outstanding: dict[int, float] = {}
        self.active_since = 0.0  # since when something is outstanding
        self.receiving_partial = False  # whether a part of a long message has arrived
        self.on_reply: Callable[[], None] | None = None  # called once, when the next bytes arrive
        # Ids of calls whose CANCEL arrived while messages were incomplete, their own CALL perhaps among them.
        self.cancelled: set[int] = set()

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
        # A call that runs on refers to the connection over which its answer would go.
        self.outbox, self.inbox = Outbox(), Inbox()

    def send(self, message: ops.Message, priority: int = 1) -> OutgoingMessage:
        """Queue a message. Raises ProtocolError if it is too long."""
        if self.between_sidecars:
            self._track(message)
        return self.send_packed(cast(bytes, msgpack.packb(message)), priority)

    def send_packed(self, data: bytes, priority: int = 1) -> OutgoingMessage:
        """Queue a message that is packed already: one for many receivers is packed once."""
        outgoing = self.outbox.put(data, priority)
        self._flush()
        return outgoing

    def _flush(self) -> None:
        transport = self.transport
        if transport is None or transport.is_closing():
            return
        if self._was_suspended():  # what is queued here is as old
            self.close()
            return
        while not self.write_paused and (frame := self.outbox.next_frame()) is not None:
            transport.write(frame)
            self.last_sent = self.loop.time()
        if self.outbox.size > MAX_QUEUED_BYTES:
            self.close()

    def unsent_bytes(self) -> int:
        """Bytes that the operating system has not taken yet: they would be lost if this process ended now."""
        return self.outbox.size + self.transport.get_write_buffer_size() if self.transport is not None else 0

    def pause_writing(self) -> None:
        self.write_paused = True

    def resume_writing(self) -> None:
        self.write_paused = False
        self._flush()

    def _track(self, message: ops.Message) -> None:
        """Record which requests are outstanding, of this end or of the peer."""
        op = message[0]
        if op in ops.REQUEST_OPS:
            if not self.outstanding and self.up:
                self.active_since = self.loop.time()
                self._schedule_check(HEARTBEAT_S)
            self.outstanding[message[1] if op != ops.PEER_FETCH else 0] = self.loop.time()
        elif op in ops.COMPLETION_OPS:
            self.outstanding.pop(message[1] if op != ops.PEER_STATE else 0, None)

    def probe(self, on_reply: Callable[[], None]) -> None:
        """Ask the peer for a sign of life: `on_reply` is called once anything arrives from it."""
        self.on_reply = on_reply
        self._write(PROBE_FRAME)

    def _write(self, frame: bytes) -> None:
        """Write a heartbeat directly: it goes out between the frames that are queued in the outbox."""
        if self.transport is not None and not self.write_paused:
            self.last_sent = self.loop.time()
            self.transport.write(frame)

    def _was_suspended(self) -> bool:
        """Whether this process has not run for so long that its queued messages are out of date."""
        return (
            self.between_sidecars
            and not self.write_paused
            and self.loop.time() - self.last_sent > MAX_SILENCE_S
        )

    def _was_cancelled(self, message: ops.Message) -> bool:
        """Whether this is a CALL that was cancelled before it had arrived completely.

        A CANCEL has priority 0 and overtakes the frames of its own CALL. Without this check the call would
        run although nobody waits for it.
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
            on_reply, self.on_reply = self.on_reply, None
            on_reply()
        if data == HEARTBEAT_FRAME and not self.inbox.unparsed and not stale:
            return
        try:
            for packed in self.inbox.feed(data):
                message: Any = msgpack.unpackb(packed, use_list=False, strict_map_key=False)
                if type(message) is not tuple or not message:
                    raise ProtocolError("message is not a non-empty array")
                if message[0] == ops.HELLO:
                    self.kind, self.name = str(message[1]), str(message[2])
                    self.between_sidecars = self.kind == ops.PEER
                if message[0] == ops.PING and len(message) > 1:
                    self._write(HEARTBEAT_FRAME)
                    stale = False  # a peer that sends a probe sends nothing else before the reply
                if stale and message[0] in (ops.CALL, ops.PING):
                    # This message and those behind it were sent long ago. The sender of a call has given it
                    # up, and another sidecar may own its idempotency key by now.
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
            self.close()  # after invalid bytes the beginning of the next frame can't be found
            return
        if self.between_sidecars and self.inbox.partial and not self.receiving_partial:
            self._schedule_check(HEARTBEAT_S)  # the sender of a long message expects frequent heartbeats
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
        heartbeat, timeout = (
            (IDLE_HEARTBEAT_S, IDLE_PEER_TIMEOUT_S) if idle else (HEARTBEAT_S, PEER_TIMEOUT_S)
        )
        # An idle connection is checked again when its next heartbeat is due, so that it is never silent for
        # two intervals.
        self._schedule_check(
            max(self.last_sent + heartbeat - now, HEARTBEAT_S)
            if idle and now - self.last_sent < heartbeat
            else heartbeat
        )
        if now - max(self.last_received, self.active_since) > timeout or self._was_suspended():
            self.close()
        elif self.between_sidecars and self.outstanding and now - self.last_received >= heartbeat:
            # The peer does not know of a call before all of it has arrived, so it sends no frequent
            # heartbeats.
            self._write(PROBE_FRAME)
        elif now - self.last_sent >= heartbeat:
            self._write(HEARTBEAT_FRAME)

    def close(self) -> None:
        if self.transport is not None:
            self.transport.abort()
