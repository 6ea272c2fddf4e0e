"""Heartbeats and deregistrations of servers that came to a control node instead of to their own sidecar.

Only the sidecar beside a server opens and closes the gate to it, so an acknowledgement from here is true
only where that sidecar already says the same itself. Anything else is answered 503, and the server calls the
next node. That goes for `up` too: a server may keep to a node that acknowledged, and its sidecar, back from a
restart, would never hear of it.
"""

from __future__ import annotations

from collections.abc import Iterable

from minthitch.mesh.configuration.calls import Beat
from minthitch.mesh.registry.records import ServerState, SidecarRecord


def beat_holds(records: Iterable[SidecarRecord], life: str, beat: Beat) -> bool:
    """Whether the sidecar of this life of a server at its address is in the state that the beat tells."""
    address = beat.addr.rpartition(":")[0]
    return any(
        record.server_id == life and record.ip == address and record.state == beat.stat.state
        for record in records
    )


def has_left(records: Iterable[SidecarRecord], life: str) -> bool:
    """Whether the sidecar of this life of a server has heard that it leaves for good."""
    return any(record.server_id == life and record.state == ServerState.NONE for record in records)
