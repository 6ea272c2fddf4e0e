"""Messages cut into pieces and put together again, by priority, in turn. No I/O and no clock.

A frame is a header of 9 bytes (length, message number, whether last), up to MAX_FRAME_PAYLOAD bytes.
"""

from __future__ import annotations

import struct
from collections import deque
from collections.abc import Iterator

FRAME_HEADER = struct.Struct("!IIB")
MAX_FRAME_PAYLOAD = 16 * 1024  # bytes of a piece: a small message waits behind one of them at most
MAX_MESSAGE_BYTES = (
    80 * 1024 * 1024
)  # bytes of one message: the longest body that clients may send, and its head
MAX_PARTIAL_MESSAGES = 512  # messages of which parts have come: a peer that begins more means harm
PRIORITY_LEVELS = 3  # 0 goes first


class ProtocolError(ValueError):
    """Bytes that are no pieces of ours."""


class OutgoingMessage:
    """One message on its way out."""

    __slots__ = ("number", "data", "offset", "dropped")

    def __init__(self, number: int, data: bytes) -> None:
        self.number, self.data, self.offset = number, data, 0
        self.dropped = False

    @property
    def fully_sent(self) -> bool:
        """Whether its last piece has been handed on: from then on the other end may act on it."""
        return self.offset >= len(self.data)


class Outbox:
    """What waits to go out on one line: by priority, and within a priority each message a piece in turn."""

    def __init__(self) -> None:
        self.queues: tuple[deque[OutgoingMessage], ...] = tuple(deque() for _ in range(PRIORITY_LEVELS))
        self.next_number, self.size = 1, 0

    def put(self, data: bytes, priority: int) -> OutgoingMessage:
        """Raises ProtocolError where the message is too long to be taken at the other end."""
        if len(data) > MAX_MESSAGE_BYTES:
            raise ProtocolError(f"a message of {len(data)} bytes")
        outgoing = OutgoingMessage(self.next_number, data)
        self.next_number = self.next_number % 0xFFFFFFFF + 1
        self.queues[priority].append(outgoing)
        self.size += len(data)
        return outgoing

    def next_frame(self) -> bytes | None:
        """The next piece with its head; None where nothing waits."""
        for queue in self.queues:
            while queue:
                outgoing = queue.popleft()
                if (
                    outgoing.dropped and not outgoing.offset
                ):  # one that has begun is finished: its other end waits
                    self.size -= len(outgoing.data)
                    continue
                return self._cut_frame(queue, outgoing)
        return None

    def _cut_frame(self, queue: deque[OutgoingMessage], outgoing: OutgoingMessage) -> bytes:
        part = outgoing.data[outgoing.offset : outgoing.offset + MAX_FRAME_PAYLOAD]
        outgoing.offset += len(part)
        self.size -= len(part)
        if not outgoing.fully_sent:
            queue.append(outgoing)
        return FRAME_HEADER.pack(len(part), outgoing.number, outgoing.fully_sent) + part


class Inbox:
    """Pieces as they come, and the messages that they make."""

    def __init__(self) -> None:
        self.unparsed = b""
        self.partial: dict[int, list[bytes]] = {}
        self.partial_bytes = 0

    def feed(self, data: bytes) -> Iterator[bytes]:
        """Whole messages. Raises ProtocolError."""
        data = self.unparsed + data if self.unparsed else data
        at, end = 0, len(data)
        while end - at >= FRAME_HEADER.size:
            size, number, last = FRAME_HEADER.unpack_from(data, at)
            if size > MAX_FRAME_PAYLOAD or last > 1:
                raise ProtocolError("a head that is none of ours")
            if end - at - FRAME_HEADER.size < size:
                break
            at += FRAME_HEADER.size
            part = data[at : at + size]
            at += size
            if last and number not in self.partial:
                yield part
            else:
                yield from self._reassemble(number, part, bool(last))
        self.unparsed = data[at:]

    def _reassemble(self, number: int, part: bytes, last: bool) -> Iterator[bytes]:
        parts = self.partial.setdefault(number, [])
        parts.append(part)
        self.partial_bytes += len(part)
        if (
            self.partial_bytes > MAX_MESSAGE_BYTES or len(self.partial) > MAX_PARTIAL_MESSAGES
        ):  # danger: the memory would fill
            raise ProtocolError("more begun than may be")
        if last:
            del self.partial[number]
            whole = b"".join(parts)
            self.partial_bytes -= len(whole)
            yield whole
