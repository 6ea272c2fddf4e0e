"""Whether hollow sidecars cost what real ones cost: 30 of each, the same scenarios, one after the other."""

from __future__ import annotations

import time
from typing import Any

from rigs.hollow.scenarios import Row, UsageWindow, routes
from rigs.hollow.site import Child, Site

NODES, SERVICES, ROUTES = 30, 49, 196
SETTLE, CALM, ORDER = 5.0, 10.0, 6.0  # seconds; whole numbers of the 2 s after which all is said again


def measured() -> list[dict[str, Any]]:
    """One part for each kind."""
    return [_played("real"), _played("hollow")]


def _played(kind: str) -> dict[str, Any]:
    with Site(3, NODES, SERVICES) as site:
        site.start_controls()
        site.patch(routes(SERVICES, ROUTES, 1))
        base = _start_real(site) if kind == "real" else _start_hollow(site)
        time.sleep(SETTLE)
        calm = _window(site, "calm", CALM)
        window = UsageWindow(site)
        site.patch(routes(SERVICES, ROUTES, 2))
        time.sleep(ORDER)
        return {"kind": kind, "nodes": NODES, "base_mb": base, "calm": calm, "order": window.row("order")}


def _window(site: Site, name: str, seconds: float) -> Row:
    window = UsageWindow(site)
    time.sleep(seconds)
    return window.row(name)


def _start_hollow(site: Site) -> float:
    site.start_crowds()
    base = site.usage()["crowds"][0]["rss_mb"] / NODES
    site.start(list(range(NODES)), 0.3)
    return float(base)


def _start_real(site: Site) -> float:
    """A process each, and one stub that says the beats of all their servers."""
    places = []
    for number in range(NODES):
        settings = site.path / f"node-{number}.conf"
        settings.write_text(site.node_settings(number))
        log = site.path / f"node-{number}.log"
        site.crowds.append(Child("rigs.hollow.program", "sidecar", settings, log))
        places.append(f"{site.node_ip(number)}=svc-{number % SERVICES}")
    site.helpers.append(
        Child("rigs.hollow.stub", ",".join(["server", *places]), None, site.path / "stub.log")
    )
    return 0.0
