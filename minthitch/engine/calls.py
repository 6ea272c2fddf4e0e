"""Calls and answers as values, independent of any transport."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from minthitch.engine.stream import Stream
from minthitch.interface import SECOND

Fields = tuple[tuple[bytes, bytes], ...]  # (name, value); names in lower case or as received


class Rejected(Exception):
    """A call that is not admitted: an HTTP status and a text for the log. Nothing was sent."""

    def __init__(self, status: int, text: str, retry_after: int = 0) -> None:
        super().__init__(text)
        self.status = status
        self.retry_after = retry_after  # ns after which to retry; 0 = not stated

    @property
    def is_refusal(self) -> bool:
        """Whether the status tells the sender that a retry is safe."""
        return self.status in (429, 503)


class Message:
    """A request as forwarded to a server, without the header for the remaining time."""

    __slots__ = ("method", "target", "fields", "body")

    def __init__(
        self, method: bytes, target: bytes, fields: Iterable[tuple[bytes, bytes]] = (), body: bytes = b""
    ) -> None:
        self.method, self.target, self.body = method, target, body
        self.fields: Fields = tuple(fields)


class Call:
    """A call to the engine: its ID, what the decisions need to know about it, and its message."""

    __slots__ = (
        "identity",
        "cls",
        "message",
        "time_left",
        "received_at",
        "tenant",
        "key",
        "cost",
        "repeat",
        "accepts_stream",
    )

    def __init__(
        self,
        identity: bytes,
        cls: int,
        message: Message,
        *,
        time_left: int | None = None,
        received_at: int = 0,
        tenant: int = 0,
        key: int = 0,
        cost: int = 0,
        repeat: bool = False,
    ) -> None:
        self.identity, self.cls, self.message = identity, cls, message
        self.time_left = time_left  # ns from `received_at` to the deadline; None = that of the class
        self.received_at = received_at  # when its last byte arrived, monotonic ns; 0 = now
        self.tenant, self.key, self.cost, self.repeat = tenant, key, cost, repeat
        self.accepts_stream = False  # whether the requester accepts a streamed answer


@dataclass(frozen=True, slots=True)
class Served:
    """A server's successful answer, unchanged. With `rest`, `body` is only the first part."""

    body: bytes = b""
    fields: Fields = ()
    rest: Stream | None = None

    @property
    def content_type(self) -> bytes:
        return next((value for name, value in self.fields if name == b"content-type"), b"")


@dataclass(frozen=True, slots=True)
class Refused:
    """The request was not executed; a retry is safe."""

    retry_after_ns: int = 0
    reason: str = ""

    @property
    def retry_after(self) -> float:
        """Seconds after which to retry; 0.0 = not stated."""
        return self.retry_after_ns / SECOND


@dataclass(frozen=True, slots=True)
class Failed:
    """Failed; the request may have been executed."""

    reason: str = ""


Answer = Served | Refused | Failed
