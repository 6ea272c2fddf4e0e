"""Makes hundreds of changes to a large configuration, then restarts or replaces a control node or cuts all
power.
"""

from __future__ import annotations

import random
from typing import Any

from rigs.simulation.clients import route
from rigs.simulation.control_client import ControlClient
from rigs.simulation.cuts import restart
from rigs.simulation.history import History
from rigs.simulation.mesh import ControlNode, Site
from rigs.simulation.play import Played
from rigs.simulation.points.script import FAULTS_FROM_S, Script, play_script
from rigs.simulation.points.second_loss import is_voter, lose_disk
from rigs.simulation.schedule import SYNC_S

FINAL_FAULTS = ("restart", "wipe", "replace", "power")
CHANGES, CHANGE_INTERVAL_S = 120, 0.04
LIST_ROUTES = 40  # each change contains all of them


def many_changes_day(seed: int, changes: int = CHANGES, routes: int = LIST_ROUTES) -> Played:
    """Changes a large list of routes many times; then a member is restarted, wiped or replaced, or all
    power is lost. The event `caught up` records when a node has the newest state again.
    """
    draw = random.Random(seed ^ 0x4C0)
    script = Script(seed, lost=0.0)
    end, struck = FINAL_FAULTS[seed % len(FINAL_FAULTS)], FAULTS_FROM_S + changes * CHANGE_INTERVAL_S + 1.0
    for number in range(changes):
        script.order(FAULTS_FROM_S + number * CHANGE_INTERVAL_S, big_list(routes, number + 1))

    def strike(site: Site, client: ControlClient) -> None:
        if end == "power":
            targets = list(site.controls)
            _lose_all_power(site)
        else:
            target = site.leader() if draw.random() < 0.5 else draw.choice(site.controls)
            targets = [target]
            if end == "restart":
                restart(site, target, power=True)
            else:
                lose_disk(site, target, for_good=False)
        site.record("end of changes", "core", kind=end)
        for control in targets:
            site.loop.after(0.6, site.loop.world, _poll_until_serving, site, control, site.loop.now)

    script.at(struck, strike)
    script.read_from(1.5, struck + 6.0)
    script.order(struck + 1.0, big_list(routes, changes + 1))
    return play_script(seed, script, struck + 7.0, [], (_check_caught_up,))


def _lose_all_power(site: Site) -> None:
    site.record("trouble", "core", kind="power")
    for control in site.controls:
        site.record("struck", control.ip, kind="power", state=control.state)
        control.stop(power=True)
        site.loop.after(0.5, site.loop.world, control.start)
    site.loop.after(0.5, site.loop.world, lambda: site.record("well", "core", kind="power"))


def big_list(routes: int, ver: int) -> dict[str, Any]:
    """A call that sets all routes of the large list to this version."""
    items = [route(f"big-{n}", ver, f"/big-{n}/", "idempotent", "shop", 1.0 + ver) for n in range(routes)]
    return {"Upsert": {"Routes": items}}


def _check_caught_up(history: History) -> list[str]:
    """Each machine that had a fault votes and has the newest state within SYNC_S."""
    caught = {event.who: event.data["took"] for event in history.of("caught up")}
    struck = {event.who for event in history.of("struck")}
    return [
        f"CAUGHT UP: {who} after {caught.get(who, float('inf')):.2f} s"
        for who in sorted(struck)
        if caught.get(who, float("inf")) > SYNC_S
    ]


def _poll_until_serving(site: Site, control: ControlNode, since: float) -> None:
    """Records `caught up` once the node's state is up to date and it is a voter."""
    server = control.server
    if (
        server is not None
        and server.is_up_to_date(site.loop.now + control.machine.offset)
        and is_voter(control)
    ):
        site.record("caught up", control.ip, took=site.loop.now - since)
        return
    site.loop.after(0.02, site.loop.world, _poll_until_serving, site, control, since)
