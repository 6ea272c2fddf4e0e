"""Counts what a process says and hears on the mesh's connections, and what it uses of the machine."""

from __future__ import annotations

import os
import resource
from collections.abc import Iterator
from typing import Any

from minthitch.mesh.transport.connection import HEARTBEAT_FRAME, Connection
from minthitch.mesh.transport.framing import FRAME_HEADER, MAX_FRAME_PAYLOAD, Inbox

SIDECAR, CONTROL = "sidecar", "control"  # who is at the other end, as a control process sees it
COUNTED = ("messages_in", "messages_out", "bytes_in", "bytes_out", "beats_in", "beats_out")
PAGE = os.sysconf("SC_PAGE_SIZE")


class Meter:
    """Counters by the other end's kind. `install` makes all connections of this process count."""

    def __init__(self) -> None:
        self.counts = {kind: dict.fromkeys(COUNTED, 0) for kind in (SIDECAR, CONTROL)}
        self.heard = 0  # messages of all connections

    def of(self, connection: Connection) -> dict[str, int]:
        """The counters for this connection."""
        return self.counts[SIDECAR if connection.kind == SIDECAR else CONTROL]

    def install(self) -> None:
        """Wraps the methods that every byte passes. Each wrapper costs some tenths of a microsecond."""
        self._count_incoming()
        self._count_outgoing()

    def _count_incoming(self) -> None:
        feed, received = Inbox.feed, Connection.data_received

        def counted_feed(inbox: Inbox, data: bytes) -> Iterator[bytes]:
            for whole in feed(inbox, data):
                self.heard += 1
                yield whole

        def counted_received(connection: Connection, data: bytes) -> None:
            before = self.heard
            received(connection, data)
            counts = self.of(connection)
            counts["bytes_in"] += len(data)
            counts["messages_in"] += self.heard - before
            counts["beats_in"] += data == HEARTBEAT_FRAME

        Inbox.feed = counted_feed  # type: ignore[method-assign, assignment]
        Connection.data_received = counted_received  # type: ignore[method-assign, assignment]

    def _count_outgoing(self) -> None:
        send, write = Connection.send_packed, Connection._write

        def counted_send(connection: Connection, data: bytes, rank: int = 1) -> Any:
            counts = self.of(connection)
            counts["messages_out"] += 1
            counts["bytes_out"] += len(data) + FRAME_HEADER.size * max(-(-len(data) // MAX_FRAME_PAYLOAD), 1)
            return send(connection, data, rank)

        def counted_write(connection: Connection, word: bytes) -> None:
            counts = self.of(connection)
            counts["beats_out"] += 1
            counts["bytes_out"] += len(word)
            write(connection, word)

        Connection.send_packed = counted_send  # type: ignore[method-assign, assignment]
        Connection._write = counted_write  # type: ignore[method-assign, assignment]

    def usage(self) -> dict[str, Any]:
        """Processor seconds of all threads, resident megabytes now, and the counters."""
        used = resource.getrusage(resource.RUSAGE_SELF)
        with open("/proc/self/statm", encoding="ascii") as file:
            resident = int(file.read().split()[1]) * PAGE
        return {
            "cpu": used.ru_utime + used.ru_stime,
            "rss_mb": resident / 1e6,
            **{kind: dict(counts) for kind, counts in self.counts.items()},
        }
