"""Scripts of control plane calls for one day, and a function that runs and checks such a day."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any
from unittest import mock

from rigs.simulation import clients, order_checks
from rigs.simulation.clients import Clients, Operators, route
from rigs.simulation.control_client import ControlClient
from rigs.simulation.cuts import RefusingNetwork, restart
from rigs.simulation.history import History
from rigs.simulation.mesh import CONTROLS, Site
from rigs.simulation.play import Action, Day, Played, play
from rigs.simulation.schedule import Fault

FAULTS_FROM_S = 3.0  # time of the first fault
READ_INTERVAL_S = 0.12
ROUTE_COUNT = 5  # number of routes that are changed
CUT_S = 20.0
ORDERS_IN_FLIGHT = 8
Check = Callable[[History], list[str]]


class Script:
    """The calls of one day by time; the client is created with the first action."""

    def __init__(self, seed: int, lost: float = 0.1) -> None:
        self.draw = random.Random(seed)
        self.lost = lost
        self.actions: list[tuple[float, Action]] = []
        self.client: ControlClient | None = None
        self.versions = [0] * ROUTE_COUNT
        self.last_read = 0  # number of the node that was last asked for the configuration

    def at(self, when: float, act: Callable[[Site, ControlClient], None]) -> None:
        """Runs `act` at `when`, in seconds from the start of the day."""

        def action(site: Site, clients: Clients, operators: Operators) -> None:
            if self.client is None:
                self.client = ControlClient(site, self.lost)
            act(site, self.client)

        self.actions.append((round(when, 4), action))

    def order(self, when: float, call: dict[str, Any], sort: str = "proper", node: int | None = None) -> None:
        """Sends an order at that time, first to that node, or to any."""
        self.at(when, lambda site, client: client.order(call, sort, node))

    def restart(self, when: float, number: int) -> None:
        """Restarts a control node."""
        self.at(when, lambda site, client: restart(site, site.controls[number]))

    def read_from(self, when: float, until: float) -> None:
        """Reads the configuration repeatedly between these times."""
        self.at(when, lambda site, client: client.read_repeatedly(READ_INTERVAL_S, until))

    def next(self, name: int) -> int:
        """The next version of a route."""
        self.versions[name] += self.draw.choice((1, 1, 3))
        return self.versions[name]


def upsert(name: int, ver: int, timeout: float = 1.0) -> dict[str, Any]:
    """An order that sets one route."""
    return {"Upsert": {"Routes": [route(f"p{name}", ver, f"/p{name}/", "idempotent", "shop", timeout + ver)]}}


def drop(name: int, ver: int) -> dict[str, Any]:
    """An order that removes one route."""
    return {"Del": {"Routes": [{"Name": f"p{name}", "Ver": f"{ver:08x}"}]}}


def pair(name: int, ver: int, other: int, other_ver: int) -> dict[str, Any]:
    """An order that sets two routes."""
    routes = [upsert(n, v)["Upsert"]["Routes"][0] for n, v in ((name, ver), (other, other_ver))]
    return {"Upsert": {"Routes": routes}}


def play_script(
    seed: int,
    script: Script,
    seconds: float,
    faults: list[Fault],
    checks: tuple[Check, ...] = (),
    controls: tuple[str, ...] = CONTROLS,
) -> Played:
    """Runs a day whose main load are control plane calls; `checks` are run in addition to the usual ones."""
    day = Day(
        seconds=seconds,
        rate=0.2,
        every=1e6,
        quiet=5.2,
        failure_rate=0.0,
        actions=tuple(script.actions),
        controls=controls,
        make_network=RefusingNetwork,
    )
    with mock.patch.object(clients, "EARLY_HANG_UP_RATE", 0.0):
        played = play(seed, faults, day)
    more = [text for check in (order_checks.violations, *checks) for text in check(played.history)]
    return played._replace(broken=played.broken + more)
