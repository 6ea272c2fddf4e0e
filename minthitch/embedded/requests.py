"""A host's call to the engine's values. No I/O; the time is given in."""

from __future__ import annotations

import re
import uuid
from collections.abc import Iterable, Mapping

from minthitch import interface as api
from minthitch.embedded.errors import BadCall
from minthitch.engine import Call, Message, Rejected
from minthitch.engine.fields import MOST_BODY, NOT_FORWARDED, Reader

MOST_HEAD = 32 * 1024  # bytes of a request in front of its body, as at the daemon
TOKEN = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+")
VALUE = re.compile(rb"[\t\x20-\x7e\x80-\xff]*")
TARGET = re.compile(rb"/[\x21-\x7e]*")
ONCE = frozenset((b"x-correlation-id", b"x-service-class", b"x-account", b"x-session-key", b"x-repeat",
                  b"x-weight-hint", b"x-time-left", b"idempotency-key"))
Headers = Mapping[str, str] | Iterable[tuple[str, str]]


def raw_headers(headers: Headers) -> list[tuple[bytes, bytes]]:
    """Headers as bytes. Raises BadCall."""
    pairs = headers.items() if isinstance(headers, Mapping) else headers
    try:
        return [(name.encode("ascii"), value.encode("latin-1")) for name, value in pairs]
    except (UnicodeEncodeError, AttributeError, TypeError, ValueError) as err:
        raise BadCall(f"headers: {err}") from None


def new_identity() -> str:
    return uuid.uuid4().hex


def method_for(effect: api.Effect) -> bytes:
    return b"GET" if effect is api.Effect.SAFE else b"POST"


class Maker:
    """Makes calls by the settings of one client."""

    def __init__(self, settings: api.Settings, authority: str) -> None:
        self.settings, self.reader = settings, Reader(settings)
        self.by_name = {spec.name: spec for spec in settings.classes}
        self.authority = authority.encode()

    def fields(self, service_class: str, key: str | None, tenant: str, session: str, cost: float,
               repeat: bool, identity: str | None) -> list[tuple[bytes, bytes]]:
        """The fields that name a call. Raises BadCall."""
        named = [("X-Correlation-Id", identity or new_identity()), ("X-Service-Class", service_class)]
        named += [(name, value) for name, value in (
            ("X-Account", tenant), ("X-Session-Key", session), ("Idempotency-Key", key or "")) if value]
        if repeat:
            named.append(("X-Repeat", "1"))
        if cost:
            if not 0 < cost < 1e6:
                raise BadCall(f"cost {cost!r} is not a number of seconds")
            named.append(("X-Weight-Hint", f"{cost * 1e6:.3f}"))
        return raw_headers(named)

    def spec(self, service_class: str) -> api.RequestClass:
        """Raises BadCall for a class that the settings do not know."""
        spec = self.by_name.get(service_class)
        if spec is None:
            raise BadCall(f"unknown class {service_class!r}; known are {', '.join(self.by_name)}")
        return spec

    def call(self, method: bytes, target: bytes, fields: Iterable[tuple[bytes, bytes]], body: bytes,
             timeout: float | None, heard: int) -> Call:
        """A call that the engine can take, made at `heard` (monotonic ns). Raises BadCall."""
        if len(body) > MOST_BODY:
            raise BadCall(f"the body holds {len(body)} bytes, over {MOST_BODY}", 413)
        if not TARGET.fullmatch(target):  # danger: a space or line end would begin another request
            raise BadCall(f"bad target {target[:60]!r}")
        table, head = self._head(fields)
        if timeout is not None:
            if not 0 < timeout < 1e6:
                raise BadCall(f"timeout {timeout!r} is not a number of seconds above 0")
            table[b"x-time-left"] = f"{timeout * 1e6:.0f}u".encode()
        try:
            self.reader.check(method, table)
            if method not in (b"GET", b"POST"):
                raise Rejected(405, f"method {method[:20]!r}")
            return self.reader.call(Message(method, target, head, body), table, heard)
        except Rejected as err:
            raise BadCall(str(err), err.status) from None

    def _head(self, fields: Iterable[tuple[bytes, bytes]]) -> tuple[
            dict[bytes, bytes], list[tuple[bytes, bytes]]]:
        table: dict[bytes, bytes] = {}
        head: list[tuple[bytes, bytes]] = []
        size = 0
        for name, value in fields:
            size += len(name) + len(value) + 4
            if not TOKEN.fullmatch(name) or not VALUE.fullmatch(value) or size > MOST_HEAD:
                status = 431 if size > MOST_HEAD else 400
                raise BadCall(f"bad or too long header field {name[:40]!r}", status)
            lower = name.lower()
            if lower in table and lower in ONCE:
                raise BadCall(f"header field {lower.decode()} is given twice")
            table[lower] = value
            if lower not in NOT_FORWARDED:
                head.append((name, value))
        if b"host" not in table:
            head.insert(0, (b"Host", self.authority))
        return table, head
