"""Numbered log events of the mesh's programs, documented in docs/events.md; a test compares the two.

An event's number never changes. 1xx: any program, 2xx: sidecar, 3xx: control node, 4xx: disk.
"""

from __future__ import annotations

import logging
import sys
from enum import Enum

from minthitch.log import LineLog

LOG = logging.getLogger("minthitch")


class Event(Enum):
    """An event's number, log level and message template."""

    SETTINGS = 101, logging.ERROR, "settings can't be used: {key}={value}: {why}"
    STARTED = 102, logging.INFO, "{program} {node} started in zone {zone}"
    SIGTERM = 103, logging.INFO, "SIGTERM: shutting down, {open} requests in flight"
    ENDED = 104, logging.INFO, "ended {after:.1f} s after SIGTERM, {open} requests in flight"
    FAULT = 105, logging.ERROR, "internal error: {what}"
    BIND = 106, logging.ERROR, "cannot listen on {address}: {why}"
    CLIENT_ERROR = 107, logging.WARNING, "{text}"
    CONTROL_UP = 201, logging.INFO, "connected to control node {ip}"
    CONTROL_DOWN = 202, logging.WARNING, "connection to control node {ip} lost"
    CONFIG = 203, logging.INFO, "configuration {index} active, {routes} routes"
    SERVER = 204, logging.INFO, "server {server_id} of {service}: {state} (heartbeat {sequence})"
    READY = 205, logging.INFO, "ready"
    NO_CONTROL = 206, logging.WARNING, "no control node reachable: serving with the last known configuration"
    PEER_DOWN = 207, logging.WARNING, "connection to {ip} lost, {open} requests in flight"
    REFUSED = 208, logging.WARNING, "local replies in the last second: {kinds}"
    TRACED = 209, logging.INFO, "requests are traced {state}"
    UNANSWERED = (
        210,
        logging.WARNING,
        "request {request} on {route} open for {age:.1f} s at the end: {state}",
    )
    ABANDONED = 211, logging.WARNING, "call on {route} abandoned by {caller} after {age:.1f} s: {state}"
    SERVER_PENDING = (
        212,
        logging.WARNING,
        "server {server_id} gets no requests: for {after:.1f} s no control node has recorded it",
    )
    LATE_HEARTBEAT = 213, logging.INFO, "server {server_id} has ended: heartbeat {sequence} is late"
    LEADS = 301, logging.INFO, "became leader in term {term}"
    FOLLOWS = 302, logging.INFO, "following {leader} in term {term}"
    NO_LEADER = 303, logging.WARNING, "no leader in term {term}"
    MEMBERS = 304, logging.INFO, "voters: {voters}"
    PATCHED = 305, logging.INFO, "configuration {index}: {verdict}"
    JOIN_REQUESTED = 306, logging.INFO, "asking to join the group as {member}"
    SNAPSHOT = 307, logging.INFO, "snapshot at index {index}: {size} bytes"
    DISK_LOADED = 401, logging.INFO, "data folder {state}, last index {last_index}, term {term}"
    DISK_SLOW = 402, logging.WARNING, "disk has not responded for {since:.1f} s"
    DISK_FULL = 403, logging.WARNING, "disk refuses writes: {why}"
    DISK_WELL = 404, logging.INFO, "disk responds again"
    DISK_USELESS = 405, logging.ERROR, "cannot use the data folder: {why}"

    @property
    def number(self) -> int:
        """The number shown in the log line; it never changes."""
        return int(self.value[0])


class _StderrHandler(logging.Handler):
    """Writes log lines to standard error, limited in lines per second.

    A line that can't be written is dropped: an exception here would end what its caller is in the middle of.
    """

    def __init__(self) -> None:
        super().__init__()
        self.lines = LineLog(self._write)
        self.lost_lines = 0

    def emit(self, record: logging.LogRecord) -> None:
        self.lines(record.getMessage())

    def _write(self, text: str) -> None:
        try:
            print(text, file=sys.stderr, flush=True)
        except (OSError, ValueError):  # ValueError: standard error is closed
            self.lost_lines += 1


def open_log(level: int = logging.INFO) -> None:
    """Start sending log lines to standard error."""
    LOG.setLevel(level)
    LOG.propagate = False
    if not LOG.handlers:
        LOG.addHandler(_StderrHandler())


def lost_line_count() -> int:
    """How many log lines of this process could not be written."""
    return sum(handler.lost_lines for handler in LOG.handlers if isinstance(handler, _StderrHandler))


def log_event(event: Event, **values: object) -> None:
    """Log one event; `values` are the fields of its message template."""
    number, level, text = event.value
    if LOG.isEnabledFor(level):
        LOG.log(level, "%s", f"E{number} {text.format(**values)}")
