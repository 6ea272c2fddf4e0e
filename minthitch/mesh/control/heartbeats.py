"""Heartbeats and deregistrations that servers sent to a control node instead of their own sidecar.

Only the sidecar next to a server admits requests to it, so a control node may acknowledge a state only if
that sidecar reports the same state. Otherwise the answer is 503, and the server calls the next node. This
applies to `up` as well: a server may keep calling a node that acknowledged, and its sidecar, if it was
restarted meanwhile, would never hear of the server.

A report is not enough where the server leaves: the sidecar could be restarted and forget it. So `draining`
and a deregistration are acknowledged only if the run is also recorded as left, which binds later processes
(`minthitch.mesh.idempotency.server_runs`).
"""

from __future__ import annotations

from collections.abc import Iterable

from minthitch.mesh.configuration.calls import Heartbeat
from minthitch.mesh.idempotency.claims import ClaimTable
from minthitch.mesh.idempotency.server_runs import RunRecord, RunState, run_key
from minthitch.mesh.registry.records import ServerState, SidecarRecord


def is_heartbeat_applied(
    records: Iterable[SidecarRecord], claims: ClaimTable, server_id: str, heartbeat: Heartbeat
) -> bool:
    """Whether the sidecar at the server's address reports the same state, and `draining` is recorded."""
    address = heartbeat.addr.rpartition(":")[0]
    is_reported = any(
        record.server_id == server_id and record.ip == address and record.state == heartbeat.stat.state
        for record in records
    )
    must_be_recorded = ServerState(heartbeat.stat.state) is ServerState.DRAINING
    return is_reported and (not must_be_recorded or has_left(claims, server_id))


def is_deregistered(records: Iterable[SidecarRecord], claims: ClaimTable, server_id: str) -> bool:
    """Whether the server's sidecar reports that the server has left, and that is recorded."""
    is_reported = any(
        record.server_id == server_id and record.state == ServerState.NONE for record in records
    )
    return is_reported and has_left(claims, server_id)


def has_left(claims: ClaimTable, server_id: str) -> bool:
    """Whether the run is recorded as left."""
    claim = claims.find(run_key(server_id))
    return claim is not None and RunRecord.unpack(claim.request_digest).state == RunState.LEFT
