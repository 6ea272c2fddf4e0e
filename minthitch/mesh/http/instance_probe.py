"""Asks the server beside a sidecar which of its runs is there, by its health check.

A server answers its health check with the id of its run, and every call that names another run with 421. Both
are used: the check names the run in question, so that a busy server can answer without a free slot.
"""

from __future__ import annotations

import asyncio
from enum import Enum

import httptools

PROBE_TIMEOUT_S = 0.5  # to a server on the same machine
MAX_ANSWER_BYTES = 16 * 1024
OK, MISDIRECTED = 200, 421
INSTANCE_ID = b"x-instance-id"


class ProbeVerdict(Enum):
    """What the server's answer proves."""

    IS_RUNNING = "is running"
    IS_NOT_RUNNING = "is not running"  # another run is
    UNKNOWN = "unknown"


class _AnswerHead:
    """Receives the head of the answer from the parser."""

    def __init__(self) -> None:
        self.instance_id = b""
        self.is_complete = False

    def on_header(self, name: bytes, value: bytes) -> None:
        if name.lower() == INSTANCE_ID:
            self.instance_id = value.strip()

    def on_headers_complete(self) -> None:
        self.is_complete = True


def classify_probe(status: int, instance_id: bytes, server_id: str) -> ProbeVerdict:
    """What an answer to a health check that names `server_id` proves.

    Args:
        status: of the answer; 0 if there was none.
        instance_id: its X-Instance-Id; empty if it has none.
        server_id: the run in question.
    """
    if status == MISDIRECTED:
        return ProbeVerdict.IS_NOT_RUNNING
    if status == OK and instance_id:
        is_same = instance_id == server_id.encode()
        return ProbeVerdict.IS_RUNNING if is_same else ProbeVerdict.IS_NOT_RUNNING
    return ProbeVerdict.UNKNOWN


async def probe_instance(address: str, path: str, server_id: str) -> ProbeVerdict:
    """Ask the server at `address` whether this run of it is there; UNKNOWN after PROBE_TIMEOUT_S."""
    host, _, port = address.rpartition(":")
    writer: asyncio.StreamWriter | None = None
    try:
        async with asyncio.timeout(PROBE_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(_request(address, path, server_id))
            status, instance_id = await _read_head(reader)
    except (OSError, TimeoutError, ValueError, httptools.HttpParserError, httptools.HttpParserUpgrade):
        return ProbeVerdict.UNKNOWN
    finally:
        if writer is not None:
            writer.transport.abort()
    return classify_probe(status, instance_id, server_id)


def _request(address: str, path: str, server_id: str) -> bytes:
    lines = (
        f"GET {path} HTTP/1.1",
        f"Host: {address}",
        f"X-Target-Instance: {server_id}",
        "Connection: close",
    )
    return "".join(f"{line}\r\n" for line in (*lines, "")).encode()


async def _read_head(reader: asyncio.StreamReader) -> tuple[int, bytes]:
    """Status and X-Instance-Id of the answer; status 0 where its head is not complete."""
    head = _AnswerHead()
    parser = httptools.HttpResponseParser(head)
    received = 0
    while not head.is_complete and received < MAX_ANSWER_BYTES:
        data = await reader.read(MAX_ANSWER_BYTES)
        if not data:
            break
        received += len(data)
        parser.feed_data(data)
    return (parser.get_status_code(), head.instance_id) if head.is_complete else (0, b"")
