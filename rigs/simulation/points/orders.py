"""Orders with the same version while leaders change: races, repeats, and orders through a follower."""

from __future__ import annotations

import random

from rigs.simulation.control_client import ControlClient
from rigs.simulation.cuts import restart
from rigs.simulation.mesh import Site
from rigs.simulation.play import Played
from rigs.simulation.points.script import (
    FAULTS_FROM_S,
    ORDERS_IN_FLIGHT,
    ROUTE_COUNT,
    Script,
    drop,
    pair,
    play_script,
    upsert,
)
from rigs.simulation.schedule import Fault


def two_operators(script: Script, at: float) -> None:
    """Sends different content with one version to two nodes at nearly the same time."""
    draw, name = script.draw, script.draw.randrange(ROUTE_COUNT)
    ver = script.next(name)
    for number, timeout in enumerate((1.25, 1.75)):
        later = draw.choice((0.0, 0.0, 0.001, 0.02)) * number
        node = draw.randrange(3) + number
        call = upsert(name, ver, timeout)
        script.order(at + later, call, "race", node)


def drop_and_upsert(script: Script, at: float) -> None:
    """Sends a deletion and a change with one version."""
    name = script.draw.randrange(ROUTE_COUNT)
    ver = script.next(name)
    for number, call in enumerate((upsert(name, ver), drop(name, ver))):
        node = script.draw.randrange(3) + number
        script.order(at, call, "race", node)


def one_order_everywhere(script: Script, at: float) -> None:
    """Sends the same order to all nodes."""
    name = script.draw.randrange(ROUTE_COUNT)
    call = upsert(name, script.next(name))
    for node in range(3):
        script.order(at, call, "proper", node)


def repeated(script: Script, at: float) -> None:
    """Sends an order and repeats it later at other nodes, after restarts, snapshots and newer changes."""
    draw, name = script.draw, script.draw.randrange(ROUTE_COUNT)
    other = (name + 1) % ROUTE_COUNT
    if draw.random() < 0.3:
        call = pair(name, script.next(name), other, script.next(other))
    elif draw.random() < 0.3:
        call = drop(name, script.next(name))
    else:
        call = upsert(name, script.next(name))
    script.order(at, call)
    for _ in range(3):
        script.order(at + draw.choice((0.01, 0.05, 0.3, 1.0, 3.0, 6.0)), call)
    if draw.random() < 0.4:
        newer = upsert(name, script.next(name))
        script.order(at + draw.uniform(0.0, 2.0), newer)


def eight_at_once(script: Script, at: float) -> None:
    """Sends ORDERS_IN_FLIGHT orders at once, spread over nodes and routes."""
    for number in range(ORDERS_IN_FLIGHT):
        name = number % ROUTE_COUNT
        call = upsert(name, script.next(name))
        script.order(at, call, "proper", number)


def through_a_follower(script: Script, at: float) -> None:
    """Sends an order through a follower, and restarts the leader meanwhile."""
    name = script.draw.randrange(ROUTE_COUNT)
    call = upsert(name, script.next(name))
    lead = script.draw.uniform(0.0, 0.03)

    def send(site: Site, client: ControlClient) -> None:
        followers = [n for n, control in enumerate(site.controls) if not control.leads]
        client.order(call, "proper", script.draw.choice(followers))

    script.at(at, send)
    script.at(at + lead, lambda site, client: restart(site, site.leader()))


ORDER_ACTIONS = (
    two_operators,
    drop_and_upsert,
    one_order_everywhere,
    repeated,
    eight_at_once,
    through_a_follower,
)
ORDER_FAULTS = (
    "kill-control",
    "freeze-control",
    "cut-control",
    "deaf-control",
    "mute-control",
    "reset-control",
    "power-control",
    "hang-disk",
)


def orders_day(seed: int) -> Played:
    """Sends orders with the same version while leaders change."""
    draw = random.Random(seed ^ 0x0DDE)
    script = Script(seed, lost=draw.choice((0.0, 0.1, 0.3)))
    script.read_from(1.5, 15.0)
    faults, at = list[Fault](), FAULTS_FROM_S
    while at < 11.0:
        draw.choice(ORDER_ACTIONS)(script, at)
        if draw.random() < 0.35:
            duration = draw.choice((0.1, 0.4, 1.0))
            strikes = at + draw.choice((-0.01, 0.001, 0.004, 0.01, 0.02, 0.05))
            faults.append(
                Fault(round(strikes, 4), draw.choice(ORDER_FAULTS), draw.choice((-1, -1, 0, 1, 2)), duration)
            )
            at += duration
        at += draw.uniform(0.1, 0.7)
    return play_script(seed, script, 13.0, faults)
