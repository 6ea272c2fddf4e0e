"""Heartbeats and deregistrations that servers sent to a control node instead of their own sidecar.

Only the sidecar next to a server admits requests to it, so a control node may acknowledge a state only if
that sidecar reports the same state. Otherwise the answer is 503, and the server calls the next node. This
applies to `up` as well: a server may keep calling a node that acknowledged, and its sidecar, if it was
restarted meanwhile, would never hear of the server.
"""

from __future__ import annotations

from collections.abc import Iterable

from minthitch.mesh.configuration.calls import Heartbeat
from minthitch.mesh.registry.records import ServerState, SidecarRecord


def is_heartbeat_applied(records: Iterable[SidecarRecord], server_id: str, heartbeat: Heartbeat) -> bool:
    """Whether the sidecar at the server's address reports the same state as the heartbeat."""
    address = heartbeat.addr.rpartition(":")[0]
    return any(
        record.server_id == server_id and record.ip == address and record.state == heartbeat.stat.state
        for record in records
    )


def is_deregistered(records: Iterable[SidecarRecord], server_id: str) -> bool:
    """Whether the server's sidecar reports that the server has left."""
    return any(record.server_id == server_id and record.state == ServerState.NONE for record in records)
