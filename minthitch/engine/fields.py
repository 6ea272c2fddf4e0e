"""Parses the header fields of requests, for all front ends that have them. No I/O."""

from __future__ import annotations

import re
from collections.abc import Mapping
from hashlib import blake2b

from minthitch import interface as api
from minthitch.engine.calls import Call, Message, Rejected

MAX_REQUEST_BODY_BYTES = 64 * 1024  # of a request
TIME_LEFT = re.compile(rb"(\d{1,12}(?:\.\d{1,9})?)([mu])")
DECIMAL = re.compile(rb"\d{1,12}(?:\.\d{1,9})?")
NOT_FORWARDED = frozenset(
    (  # hop-by-hop, or written anew
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
        b"x-time-left",
    )
)


def time_left(fields: Mapping[bytes, bytes]) -> int | None:
    """X-Time-Left in nanoseconds, None if absent. Raises Rejected."""
    value = fields.get(b"x-time-left")
    if value is None:
        return None
    if not (match := TIME_LEFT.fullmatch(value)):
        raise Rejected(400, "bad X-Time-Left")
    return int(float(match[1]) * (1_000_000 if match[2] == b"m" else 1_000))


def session_key(fields: Mapping[bytes, bytes]) -> int:
    """Hash of X-Session-Key, which may be any text; 0 if absent."""
    value = fields.get(b"x-session-key")
    return int.from_bytes(blake2b(value, digest_size=8).digest()) or 1 if value else 0


def cost(fields: Mapping[bytes, bytes]) -> int:
    """X-Weight-Hint in nanoseconds, 0 if absent. Raises Rejected."""
    value = fields.get(b"x-weight-hint")
    if value is None:
        return 0
    if not DECIMAL.fullmatch(value):
        raise Rejected(400, "bad X-Weight-Hint")
    return int(float(value) * 1_000)


class CallParser:
    """Builds calls from header fields, using the names of classes and tenants in the settings."""

    def __init__(self, settings: api.Settings) -> None:
        self.settings = settings
        self.classes = {spec.name.encode(): i for i, spec in enumerate(settings.classes)}
        self.tenants = {t.name.encode(): i for i, t in enumerate(settings.tenants)}

    def check(self, method: bytes, fields: Mapping[bytes, bytes]) -> None:
        """Checks the head of a request. Raises Rejected for one that no server could use."""
        cls = self.classes.get(fields.get(b"x-service-class", b""))
        if cls is None or not fields.get(b"x-correlation-id"):
            raise Rejected(400, "no X-Correlation-Id" if cls is not None else "unknown X-Service-Class")
        effect = self.settings.classes[cls].effect
        if (method == b"GET") != (effect is api.Effect.SAFE):
            raise Rejected(400, "the method does not fit the class")
        # Without its key no server could recognize a repeat of a keyed request.
        if bool(fields.get(b"idempotency-key")) != (effect is api.Effect.KEYED):
            raise Rejected(400, "Idempotency-Key does not fit the class")
        time_left(fields)
        cost(fields)

    def call(self, message: Message, fields: Mapping[bytes, bytes], received_at: int = 0) -> Call:
        """Builds the call of a checked request, received in full at `received_at` (monotonic ns)."""
        return Call(
            fields[b"x-correlation-id"],
            self.classes[fields[b"x-service-class"]],
            message,
            time_left=time_left(fields),
            received_at=received_at,
            tenant=self.tenants.get(fields.get(b"x-account", b""), len(self.tenants)),
            key=session_key(fields),
            cost=cost(fields),
            repeat=fields.get(b"x-repeat") == b"1",
        )
