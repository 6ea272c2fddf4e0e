"""What a sidecar reports about itself and about the server beside it."""

from __future__ import annotations

from enum import StrEnum
from typing import Any, NamedTuple


class ServerState(StrEnum):
    """The state of a server, as sent between processes."""

    UP = "up"
    DRAINING = "draining"
    NONE = "none"  # its sidecar considers it lost


class SidecarRecord(NamedTuple):
    """One sidecar's report. The order of the fields is the wire format."""

    ip: str
    port: int
    epoch: int  # of this run of the sidecar: later runs have larger ones
    sequence: int  # number of the report within the epoch
    zone: str
    service: str
    server_id: str  # id of this run of the server; empty while none is known
    capacity: int  # requests that the server handles at a time
    state: str  # a ServerState
    slow_start_s: float  # for how long the server will still be slow, as of the report
    serving: bool  # whether the sidecar accepts requests for the server


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
