"""What a control node knows now, for its operators (`GET /Mesh.Status`)."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from minthitch.mesh.idempotency.claims import MAX_CLAIMS
from minthitch.mesh.registry.records import SidecarRecord

if TYPE_CHECKING:
    from minthitch.mesh.control.server import ControlServer


def status(server: ControlServer) -> dict[str, Any]:
    """One table, as it is encoded."""
    core, now = server.core, server.time()
    return {
        "control": core.name,
        "role": core.role,
        "term": core.term,
        "leader": core.leader or "",
        "voters": list(core.voters),
        "knows_newest": server.knows_newest(now),
        "log": {"last": core.last_index, "agreed": core.commit_index, "applied": core.last_applied},
        "disk": {"bad": server.bad, "waits_s": round(server.disk_waits(), 3)},
        "configuration": {"index": server.state.items.index},
        "keys": _keys(server),
        "slack": server.leases.lender.status(),
        "waiting": server.proposals.count(),
        "sidecars": [_sidecar(record) for record in server.registry.records.values()],
    }


def _keys(server: ControlServer) -> dict[str, Any]:
    claims = server.state.claims
    newest, *older = (len(held) for held in claims.generations)
    return {
        "claimed": claims.count(),
        "rotated_at": server.state.rotated,
        "newest": newest,
        "older": sum(older),
        "most": MAX_CLAIMS,
        "window_s": server.boot.terms.bounds.key_win_s,
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
