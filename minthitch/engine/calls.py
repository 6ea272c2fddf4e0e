"""What is asked and what is answered, as values that belong to no transport."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from minthitch.engine.stream import Stream
from minthitch.interface import SECOND

Fields = tuple[tuple[bytes, bytes], ...]  # names in lower case or as they came, values


class Rejected(Exception):
    """A call that is not taken: `status` in HTTP's terms, and what the log says. Nothing of it was sent."""

    def __init__(self, status: int, text: str, retry_after: int = 0) -> None:
        super().__init__(text)
        self.status = status
        self.retry_after = retry_after  # ns after which asking again makes sense; 0 = not stated

    @property
    def is_refusal(self) -> bool:
        """Whether it tells its sender that trying again is harmless."""
        return self.status in (429, 503)


class Message:
    """A request as it goes on to a server, without the time that is left."""

    __slots__ = ("method", "target", "fields", "body")

    def __init__(
        self, method: bytes, target: bytes, fields: Iterable[tuple[bytes, bytes]] = (), body: bytes = b""
    ) -> None:
        self.method, self.target, self.body = method, target, body
        self.fields: Fields = tuple(fields)


class Call:
    """A call to the engine: who it is, what the decisions need to know of it, and its message."""

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
        self.time_left = (
            time_left  # ns that the asker waits, counted from `heard`; None = the class's deadline
        )
        self.received_at = received_at  # when its last byte came, on the monotonic clock; 0 = now
        self.tenant, self.key, self.cost, self.repeat = tenant, key, cost, repeat
        self.accepts_stream = False  # whether its asker takes a long answer in parts, as they come


@dataclass(frozen=True, slots=True)
class Served:
    """A server's good answer, unchanged. Where there is a `rest`, `body` is the first part."""

    body: bytes = b""
    fields: Fields = ()
    rest: Stream | None = None

    @property
    def content_type(self) -> bytes:
        return next((value for name, value in self.fields if name == b"content-type"), b"")


@dataclass(frozen=True, slots=True)
class Refused:
    """Not done, and trying again is harmless."""

    retry_after_ns: int = 0
    reason: str = ""

    @property
    def retry_after(self) -> float:
        """Seconds after which asking again makes sense; 0.0 = not stated."""
        return self.retry_after_ns / SECOND


@dataclass(frozen=True, slots=True)
class Failed:
    """Nothing is promised about the effect: it may have run."""

    reason: str = ""


Answer = Served | Refused | Failed
