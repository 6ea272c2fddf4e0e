"""JSON form of a record. No I/O."""

from __future__ import annotations

import base64
from datetime import UTC, datetime
from typing import Any

from minthitch.record.model import Record


def as_json(record: Record, conflicts: list[str] | None = None) -> dict[str, Any]:
    """The record as JSON values: times in ISO 8601, digests in hex, the answer in base64."""

    def time(ms: int) -> str | None:
        return datetime.fromtimestamp(ms / 1000, UTC).isoformat(timespec="milliseconds") if ms else None

    shown: dict[str, Any] = {
        "identity": record.identity,
        "class": record.cls,
        "state": record.state.value,
        "word": record.word.value if record.word else None,
        "why": record.why or None,
        "reason": record.reason or None,
        "node": record.node,
        "epoch": record.epoch,
        "turn": record.turn,
        "server": record.server,
        "attempts": record.attempts,
        "made": time(record.made_at),
        "ended": time(record.ended_at),
        "request_digest": record.digest.hex(),
        "answer_digest": record.answer_digest.hex() or None,
        "answer": None if record.answer is None else base64.b64encode(record.answer).decode(),
        "content_type": record.content_type.decode("latin-1") or None,
    }
    if conflicts:
        shown["conflicts"] = conflicts
    return shown
