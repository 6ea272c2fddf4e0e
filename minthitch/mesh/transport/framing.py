"""Splits messages into frames and reassembles them, so that many can share a connection. No I/O and no clock.

A frame is a header of 9 bytes (payload length, message number, whether it is the last frame of its message)
and a payload of up to MAX_FRAME_PAYLOAD bytes. Frames of a higher priority go first; messages of the same
priority take turns frame by frame.
"""

from __future__ import annotations

import struct
from collections import deque
from collections.abc import Iterator

FRAME_HEADER = struct.Struct("!IIB")
MAX_FRAME_PAYLOAD = 16 * 1024  # bytes; a small message waits for at most one frame of a larger one
MAX_MESSAGE_BYTES = 80 * 1024 * 1024  # the largest body that clients may send, plus its headers
MAX_PARTIAL_MESSAGES = 512  # incomplete messages from one peer; one that begins more is faulty or hostile
PRIORITY_LEVELS = 3  # 0 is the highest


class ProtocolError(ValueError):
    """Received bytes violate the protocol, or a message is too long for it."""


class OutgoingMessage:
    """A message that is being sent. `dropped` withdraws it, which works until its first frame is taken.

    Whoever sent it may refer to it until the reply, so it holds its data only until the last frame is taken.
    """

    __slots__ = ("number", "data", "size", "offset", "dropped")

    def __init__(self, number: int, data: bytes) -> None:
        self.number, self.data, self.size, self.offset = number, data, len(data), 0
        self.dropped = False

    @property
    def fully_sent(self) -> bool:
        """Whether its last frame has been handed on: from then on the peer may act on it."""
        return self.offset >= self.size


class Outbox:
    """Messages queued for one connection, by priority; messages of one priority take turns frame by frame."""

    def __init__(self) -> None:
        self.queues: tuple[deque[OutgoingMessage], ...] = tuple(deque() for _ in range(PRIORITY_LEVELS))
        self.next_number, self.size = 1, 0  # size: queued bytes of payload

    def put(self, data: bytes, priority: int) -> OutgoingMessage:
        """Queue a message. Raises ProtocolError if the peer would reject it as too long."""
        if len(data) > MAX_MESSAGE_BYTES:
            raise ProtocolError(f"message too long: {len(data)} bytes")
        outgoing = OutgoingMessage(self.next_number, data)
        self.next_number = self.next_number % 0xFFFFFFFF + 1
        self.queues[priority].append(outgoing)
        self.size += len(data)
        return outgoing

    def next_frame(self) -> bytes | None:
        """The next frame to send, with its header; None if the queue is empty."""
        lowest = self.queues[-1]
        for queue in self.queues:
            while queue:
                outgoing = queue.popleft()
                if outgoing.dropped and not outgoing.offset:
                    self.size -= outgoing.size
                elif outgoing.dropped and queue is not lowest:
                    # One that has begun is sent to its end, because the peer holds its first part. But the
                    # notice that withdraws it, of the highest priority, must leave before its last frame.
                    lowest.append(outgoing)
                else:
                    return self._cut_frame(queue, outgoing)
        return None

    def _cut_frame(self, queue: deque[OutgoingMessage], outgoing: OutgoingMessage) -> bytes:
        part = outgoing.data[outgoing.offset : outgoing.offset + MAX_FRAME_PAYLOAD]
        outgoing.offset += len(part)
        self.size -= len(part)
        if outgoing.fully_sent:
            outgoing.data = b""
        else:
            queue.append(outgoing)
        return FRAME_HEADER.pack(len(part), outgoing.number, outgoing.fully_sent) + part


class Inbox:
    """Reassembles the messages of one connection from the bytes that arrive."""

    def __init__(self) -> None:
        self.unparsed = b""  # the beginning of a frame whose end has not arrived
        self.partial: dict[int, list[bytes]] = {}  # payloads of incomplete messages, by message number
        self.partial_bytes = 0

    def feed(self, data: bytes) -> Iterator[bytes]:
        """Yield the messages that `data` completes. Raises ProtocolError."""
        data = self.unparsed + data if self.unparsed else data
        position, end = 0, len(data)
        while end - position >= FRAME_HEADER.size:
            size, number, last = FRAME_HEADER.unpack_from(data, position)
            if size > MAX_FRAME_PAYLOAD or last > 1:
                raise ProtocolError("invalid frame header")
            if end - position - FRAME_HEADER.size < size:
                break
            position += FRAME_HEADER.size
            part = data[position : position + size]
            position += size
            if last and number not in self.partial:
                yield part
            else:
                yield from self._reassemble(number, part, bool(last))
        self.unparsed = data[position:]

    def _reassemble(self, number: int, part: bytes, last: bool) -> Iterator[bytes]:
        parts = self.partial.setdefault(number, [])
        parts.append(part)
        self.partial_bytes += len(part)
        # Without these limits a peer could exhaust the memory.
        if self.partial_bytes > MAX_MESSAGE_BYTES or len(self.partial) > MAX_PARTIAL_MESSAGES:
            raise ProtocolError("too many incomplete messages, or too many bytes of them")
        if last:
            del self.partial[number]
            message = b"".join(parts)
            self.partial_bytes -= len(message)
            yield message
