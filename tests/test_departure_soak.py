"""A short soak of departures on real processes. Many seeds by hand: `rigs.mesh_demo.departure_soak`."""

from __future__ import annotations

import asyncio

from rigs.mesh_demo.departure_soak import soak

SEED = 1


def test_no_request_reaches_a_server_after_its_departure_was_acknowledged() -> None:
    # Guards against: a restarted sidecar took a late heartbeat of a server that had left for a new one.
    broken, figures = asyncio.run(soak(SEED))
    assert not broken, f"{broken} ({figures})"
