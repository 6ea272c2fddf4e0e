"""What a sidecar reports of itself and of the server beside it."""

from __future__ import annotations

from enum import StrEnum
from typing import Any, NamedTuple


class ServerState(StrEnum):
    """The state of a server, as sent between processes."""

    UP = "up"
    DRAINING = "draining"
    NONE = "none"  # its sidecar counts it as lost


class SidecarRecord(NamedTuple):
    """One sidecar's report. The order of its fields is that on the wire."""

    ip: str
    port: int
    epoch: int  # of this run of the sidecar: later ones are larger
    sequence: int  # of reports within the epoch
    zone: str
    service: str
    server_id: str  # id of this run of the server; empty while none is known
    capacity: int  # requests that the server takes at once
    state: str  # a ServerState
    slow_start_s: float  # seconds that the server is still slow, as of the report
    serving: bool  # whether the sidecar takes requests for it


def is_newer(record: SidecarRecord, other: SidecarRecord | None) -> bool:
    """Whether a record replaces another of the same address."""
    return other is None or (record.epoch, record.sequence) > (other.epoch, other.sequence)


def published_fields(record: SidecarRecord) -> tuple[Any, ...]:
    """The fields that others act on. A record that differs only in the rest need not be sent."""
    return (
        record.port,
        record.epoch,
        record.zone,
        record.service,
        record.server_id,
        record.capacity,
        record.state,
        record.serving,
    )
