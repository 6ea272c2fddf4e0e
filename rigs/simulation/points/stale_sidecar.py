"""Restarts a sidecar that can reach only stale peers."""

from __future__ import annotations

import random

from minthitch.mesh.configuration.schema import ROUTES
from rigs.simulation import linearizability
from rigs.simulation.control_client import ControlClient
from rigs.simulation.history import History
from rigs.simulation.mesh import ControlNode, Site
from rigs.simulation.play import Played
from rigs.simulation.points.script import Script, play_script, upsert

PARTITION_AT_S, ISOLATION_AT_S, HEALED_AT_S = 3.0, 6.0, 10.0
STALE_PAIR = 0, 3  # the sidecar that restarts, and the one that sends it stale state


def stale_sidecar_day(seed: int) -> Played:
    """A sidecar restarts while it reaches only a control node that is isolated from the others, then none
    at all. It receives state from other sidecars, some of them as stale as that node.

    The event `ready` records the version with which it became ready, and the version acknowledged by then.
    """
    draw = random.Random(seed ^ 0xFED)
    script = Script(seed, lost=0.0)
    stale: list[ControlNode] = []

    def cut(site: Site, client: ControlClient) -> None:
        stale.append(site.leader() if seed % 2 else draw.choice([c for c in site.controls if not c.leads]))
        site.record("struck", stale[0].ip, kind="cut from controls", state=stale[0].state)
        others = [control.ip for control in site.controls if control is not stale[0]]
        sidecars = [site.sidecars[number].ip for number in STALE_PAIR]
        _partition_pairs(
            site, [stale[0].ip, *sidecars], others, HEALED_AT_S - PARTITION_AT_S, ["core", *sidecars]
        )

    def leave_alone(site: Site, client: ControlClient) -> None:
        alone = site.sidecars[STALE_PAIR[0]].ip
        others = [stale[0].ip]
        if seed % 4 < 2:  # only the stale sidecar can send it state
            others += [s.ip for n, s in enumerate(site.sidecars) if n not in STALE_PAIR]
        _partition_pairs(
            site, [alone], others, HEALED_AT_S - ISOLATION_AT_S + draw.choice((0.0, 1.0)), [alone]
        )

    def restart_sidecar(site: Site, client: ControlClient) -> None:
        sidecar = site.sidecars[STALE_PAIR[0]]
        site.record("trouble", sidecar.ip, kind="restart")
        sidecar.stop()
        site.loop.after(0.3, site.loop.world, sidecar.start)
        site.loop.after(0.4, site.loop.world, _poll_until_ready, site, sidecar.ip)
        site.loop.after(0.4, site.loop.world, lambda: site.record("well", sidecar.ip, kind="restart"))

    script.at(PARTITION_AT_S, cut)
    for when in (2.5, 4.2, 4.8, 7.0):
        script.order(when, upsert(0, script.next(0)))
    script.at(5.0, restart_sidecar)
    script.at(ISOLATION_AT_S, leave_alone)
    script.order(HEALED_AT_S + draw.uniform(-0.05, 0.05), upsert(0, script.next(0)))
    return play_script(seed, script, HEALED_AT_S + 3.0, [], (_check_ready_with_newest,))


def _partition_pairs(
    site: Site, ips: list[str], others: list[str], seconds: float, scopes: list[str]
) -> None:
    """Partitions each of `ips` from each of `others`, in both directions."""
    pairs = [pair for ip in ips for other in others for pair in ((ip, other), (other, ip))]
    new = site.network.partition(pairs)
    for scope in scopes:
        site.record("trouble", scope, kind="cut")

    def healed() -> None:
        site.network.heal(new)
        for scope in scopes:
            site.record("well", scope, kind="cut")

    site.loop.after(seconds, site.loop.world, healed)


def _poll_until_ready(site: Site, ip: str) -> None:
    """Records `fed` while updates arrive before the sidecar is ready, and `ready` once it is."""
    sidecar = next(one for one in site.sidecars if one.ip == ip)
    front = sidecar.front
    acked = [order for order in linearizability.operations(site.history)[0] if order.status == 200]
    newest = max((row.ver for order in acked for row in order.rows if row.key[1] == "p0"), default=0)
    row = front.controls.replica._rows.get((ROUTES, "p0")) if front is not None else None
    state = {"held": row.version if row is not None else 0, "acked": newest}
    if front is not None and front.table is not None and front.controls.replica.index and not front.ready():
        site.record("fed", ip, **state)
    if front is not None and front.ready():
        site.record("ready", ip, **state)
        return
    site.loop.after(0.02, site.loop.world, _poll_until_ready, site, ip)


def _check_ready_with_newest(history: History) -> list[str]:
    """A sidecar that is ready has the newest version that was acknowledged."""
    return [
        f"READY: {e.who} at {e.at:.3f} with {e.data['held']:08x}, acknowledged is {e.data['acked']:08x}"
        for e in history.of("ready")
        if e.data["held"] < e.data["acked"]
    ] + ([] if next(history.of("ready"), None) else ["READY: never"])
