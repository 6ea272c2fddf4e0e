"""The status report of a control node for operators (`GET /Mesh.Status`)."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from minthitch.mesh.events.events import lost_line_count
from minthitch.mesh.idempotency.claims import MAX_CLAIMS
from minthitch.mesh.registry.records import SidecarRecord

if TYPE_CHECKING:
    from minthitch.mesh.control.server import ControlServer


def status(server: ControlServer) -> dict[str, Any]:
    """The fields of the report."""
    raft, now = server.raft, server.time()
    return {
        "control": raft.name,
        "role": raft.role.value,
        "term": raft.term,
        "leader": raft.leader or "",
        "voters": list(raft.voters),
        "knows_newest": server.is_up_to_date(now),
        "log": {"last": raft.last_index, "agreed": raft.commit_index, "applied": raft.last_applied},
        "disk": {"bad": not server.disk_healthy, "waits_s": round(server.pending_write_s(), 3)},
        "configuration": {"index": server.state.items.index},
        "keys": _keys(server),
        "slack": server.leases.granter.status(),
        "waiting": server.proposals.count(),
        "lost_log_lines": lost_line_count(),
        "sidecars": [_sidecar(record) for record in server.registry.records.values()],
    }


def _keys(server: ControlServer) -> dict[str, Any]:
    claims = server.state.claims
    newest, *older = (len(generation) for generation in claims.generations)
    return {
        "claimed": claims.count(),
        "rotated_at": server.state.rotation_index,
        "newest": newest,
        "older": sum(older),
        "most": MAX_CLAIMS,
        "window_s": server.settings.terms.bounds.key_win_s,
    }


def _sidecar(record: SidecarRecord) -> dict[str, Any]:
    return {
        "ip": record.ip,
        "service": record.service,
        "zone": record.zone,
        "server": record.server_id,
        "state": record.state,
        "serving": record.serving,
    }
