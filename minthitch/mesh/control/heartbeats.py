"""Heartbeats and deregistrations of servers that came to a control node instead of to their own sidecar.

Only the sidecar beside a server admits requests to it, so an acknowledgement from here is true only where
that sidecar reports the same itself. Anything else is answered 503, and the server calls the next node.
That applies to `up` as well: a server may stay with a node that acknowledged, and its sidecar, restarted
meanwhile, would never learn of it.
"""

from __future__ import annotations

from collections.abc import Iterable

from minthitch.mesh.configuration.calls import Heartbeat
from minthitch.mesh.registry.records import ServerState, SidecarRecord


def is_heartbeat_applied(records: Iterable[SidecarRecord], server_id: str, heartbeat: Heartbeat) -> bool:
    """Whether the sidecar beside the server at that address reports the state of the heartbeat."""
    address = heartbeat.addr.rpartition(":")[0]
    return any(
        record.server_id == server_id and record.ip == address and record.state == heartbeat.stat.state
        for record in records
    )


def is_deregistered(records: Iterable[SidecarRecord], server_id: str) -> bool:
    """Whether the sidecar beside the server reports that it has left."""
    return any(record.server_id == server_id and record.state == ServerState.NONE for record in records)
