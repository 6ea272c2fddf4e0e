"""Validates the host's calls and converts them to engine calls. No I/O; the current time is an argument."""

from __future__ import annotations

import itertools
import math
import os
import re
import secrets
from collections.abc import Iterable, Mapping

from minthitch import interface as api
from minthitch.embedded.errors import BadCall
from minthitch.engine import Call, Message, Refused, Rejected
from minthitch.engine.fields import MAX_REQUEST_BODY_BYTES, NOT_FORWARDED, CallParser, session_key

MAX_SECONDS = 1e6
MAX_HEADER_BYTES = 32 * 1024  # of all header fields of a request, as in the daemon
TOKEN = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+")
VALUE = re.compile(rb"[\t\x20-\x7e\x80-\xff]*")
TARGET = re.compile(rb"/[\x21-\x7e]*")
REPLACED_FIELDS = frozenset((b"x-service-class", b"content-length", b"transfer-encoding"))
SINGLE_FIELDS = frozenset(
    (
        b"x-correlation-id",
        b"x-service-class",
        b"x-account",
        b"x-session-key",
        b"x-repeat",
        b"x-weight-hint",
        b"x-time-left",
        b"idempotency-key",
    )
)
Headers = Mapping[str, str] | Iterable[tuple[str, str]]


def raw_headers(headers: Headers) -> list[tuple[bytes, bytes]]:
    """Encode headers as bytes. Raises BadCall."""
    pairs = headers.items() if isinstance(headers, Mapping) else headers
    try:
        return [(name.encode("ascii"), value.encode("latin-1")) for name, value in pairs]
    except (UnicodeEncodeError, AttributeError, TypeError, ValueError) as err:
        raise BadCall(f"headers: {err}") from None


_PREFIX = [""]  # of identities; renewed after a fork, which would otherwise repeat the parent's
_numbers = itertools.count(1)


def _new_prefix() -> None:
    _PREFIX[0] = secrets.token_hex(8)


_new_prefix()
os.register_at_fork(after_in_child=_new_prefix)


def new_identity() -> str:
    """A unique call id: 64 random bits for this process, and a sequence number."""
    return f"{_PREFIX[0]}{next(_numbers):x}"


def with_service_class(
    fields: Iterable[tuple[bytes, bytes]], service_class: str
) -> list[tuple[bytes, bytes]]:
    """The header fields of an incoming request, with the given service class.

    A caller's own X-Service-Class is dropped, as a caller must not choose its class.
    """
    kept = [(name, value) for name, value in fields if name.lower() not in REPLACED_FIELDS]
    kept.append((b"X-Service-Class", service_class.encode()))
    if not any(name.lower() == b"x-correlation-id" for name, _ in kept):
        kept.append((b"X-Correlation-Id", new_identity().encode()))
    return kept


def retry_after_seconds(answer: Refused) -> bytes:
    """The Retry-After value, rounded up to whole seconds as HTTP requires."""
    return b"%d" % math.ceil(answer.retry_after)


class CallBuilder:
    """Builds calls according to the settings of one client."""

    def __init__(self, settings: api.Settings, authority: str) -> None:
        self.settings, self.reader = settings, CallParser(settings)
        self.class_indexes = {spec.name: i for i, spec in enumerate(settings.classes)}
        self.class_names = [spec.name.encode() for spec in settings.classes]
        self.authority = authority.encode()

    def from_arguments(
        self,
        service_class: str,
        target: str,
        body: bytes,
        headers: Headers,
        timeout: float | None,
        key: str | None,
        tenant: str,
        session: str,
        cost: float,
        repeat: bool,
        identity: str | None,
        now: int,
    ) -> Call:
        """A call from plain arguments, received at `now` (monotonic ns). Raises BadCall."""
        if (cls := self.class_indexes.get(service_class)) is None:
            raise BadCall(f"unknown class {service_class!r}; known are {', '.join(self.class_indexes)}")
        effect = self.settings.classes[cls].effect
        if bool(key) != (effect is api.Effect.KEYED):
            raise BadCall(f"Idempotency-Key {key!r} does not fit the {effect.value} class {service_class!r}")
        if cost and not 0 < cost < MAX_SECONDS:
            raise BadCall(f"cost {cost!r} is not a number of seconds")
        raw = target.encode("latin-1", "replace")
        self._check(raw, body, timeout)
        name = identity or new_identity()
        named = [
            ("X-Correlation-Id", identity),
            ("X-Account", tenant),
            ("X-Session-Key", session),
            ("Idempotency-Key", key),
        ]
        fields = raw_headers([(field, value) for field, value in named if value])
        if not identity:
            fields.insert(0, (b"X-Correlation-Id", name.encode()))
        fields.append((b"X-Service-Class", self.class_names[cls]))
        if repeat:
            fields.append((b"X-Repeat", b"1"))
        if cost:
            fields.append((b"X-Weight-Hint", b"%.3f" % (cost * 1e6)))
        if headers:
            fields += raw_headers(headers)
        table, head = self._headers(fields)
        message = Message(b"GET" if effect is api.Effect.SAFE else b"POST", raw, head, body)
        return Call(
            name.encode(),
            cls,
            message,
            time_left=None if timeout is None else int(timeout * api.SECOND),
            received_at=now,
            tenant=self.reader.tenants.get(tenant.encode(), len(self.reader.tenants)),
            key=session_key(table),
            cost=int(cost * api.SECOND),
            repeat=repeat,
        )

    @staticmethod
    def _check(target: bytes, body: bytes, timeout: float | None) -> None:
        if timeout is not None and not 0 < timeout < MAX_SECONDS:
            raise BadCall(f"timeout {timeout!r} is not a number of seconds above 0")
        if len(body) > MAX_REQUEST_BODY_BYTES:
            raise BadCall(f"the body holds {len(body)} bytes, over {MAX_REQUEST_BODY_BYTES}", 413)
        if not TARGET.fullmatch(target):  # a space or line end would allow request smuggling
            raise BadCall(f"bad target {target[:60]!r}")

    def from_raw(
        self,
        method: bytes,
        target: bytes,
        fields: Iterable[tuple[bytes, bytes]],
        body: bytes,
        timeout: float | None,
        now: int,
    ) -> Call:
        """A call from the raw parts of a request, received at `now` (monotonic ns). Raises BadCall."""
        self._check(target, body, timeout)
        table, head = self._headers(fields)
        if timeout is not None:
            table[b"x-time-left"] = f"{timeout * 1e6:.0f}u".encode()
        try:
            self.reader.check(method, table)
            if method not in (b"GET", b"POST"):
                raise Rejected(405, f"method {method[:20]!r}")
            return self.reader.call(Message(method, target, head, body), table, now)
        except Rejected as err:
            raise BadCall(str(err), err.status) from None

    def _headers(
        self, fields: Iterable[tuple[bytes, bytes]]
    ) -> tuple[dict[bytes, bytes], list[tuple[bytes, bytes]]]:
        table: dict[bytes, bytes] = {}
        head: list[tuple[bytes, bytes]] = []
        size = 0
        for name, value in fields:
            size += len(name) + len(value) + 4
            if not TOKEN.fullmatch(name) or not VALUE.fullmatch(value) or size > MAX_HEADER_BYTES:
                status = 431 if size > MAX_HEADER_BYTES else 400
                raise BadCall(f"bad or too long header field {name[:40]!r}", status)
            lower = name.lower()
            if lower in table and lower in SINGLE_FIELDS:
                raise BadCall(f"header field {lower.decode()} is given twice")
            table[lower] = value
            if lower not in NOT_FORWARDED:
                head.append((name, value))
        if b"host" not in table:
            head.insert(0, (b"Host", self.authority))
        return table, head
