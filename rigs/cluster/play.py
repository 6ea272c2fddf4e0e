"""Plays a schedule of faults over a cluster under load. Gives one history."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable, Mapping

from rigs.cluster.cluster import Cluster
from rigs.cluster.crowd import Crowd, Want
from rigs.cluster.history import Event, read_books, whole
from rigs.cluster.relay import BACK, BOTH, TO, Link
from rigs.cluster.schedule import Fault

MID = 20  # bytes that still pass where a message is cut in its middle
DELAY = 0.2  # seconds each way on a link that is slowed
CUTS = {"cut": BOTH, "cut-to": frozenset((TO,)), "cut-back": frozenset((BACK,))}


def _link(cluster: Cluster, fault: Fault) -> Link:
    node = cluster.nodes[fault.node]
    return {
        "client": node.front,
        "discovery": node.lookup,
        "server": cluster.servers[fault.server].links[fault.node],
    }[fault.end]


async def strike(cluster: Cluster, fault: Fault) -> None:
    """One fault, to its end: what it took away is back."""
    async with cluster.lock:
        await _begin(cluster, fault)
    await asyncio.sleep(fault.last)
    async with cluster.lock:
        await _end(cluster, fault)


async def _begin(cluster: Cluster, fault: Fault) -> None:
    if fault.what == "power":
        await cluster.power_lost()
    elif fault.what == "discovery":
        cluster.discovery_lost()
    elif fault.what == "kill-node":
        await cluster.kill_node(fault.node)
    elif fault.what == "stop-node":
        cluster.stop(fault.node)
    elif fault.what == "kill-server":
        await cluster.kill_server(fault.server)
        cluster.list_servers()
    else:
        _strike_link(cluster, fault)


def _strike_link(cluster: Cluster, fault: Fault) -> None:
    link = _link(cluster, fault)
    if fault.end == "client":
        cluster.note(cluster.nodes[fault.node], "away", "unlinked")
    if fault.what in CUTS:
        link.set_cut(CUTS[fault.what])
    elif fault.what == "delay":
        link.delay = DELAY
    elif fault.what == "mid-message":
        link.left = MID
    elif fault.what == "refuse":
        link.refuse()
    else:
        link.reset()


async def _end(cluster: Cluster, fault: Fault) -> None:
    if fault.what == "power":
        await cluster.power_back()
    elif fault.what == "discovery":
        await cluster.discovery_back()
    elif fault.what == "kill-node":
        await cluster.start_node(fault.node)
    elif fault.what == "stop-node":
        cluster.wake(fault.node)
    elif fault.what == "kill-server":
        await cluster.start_server(fault.server, cold=True)
        cluster.list_servers()
    else:
        await _heal_link(cluster, fault)


async def _heal_link(cluster: Cluster, fault: Fault) -> None:
    link, node = _link(cluster, fault), cluster.nodes[fault.node]
    link.delay, link.left = 0.0, None
    link.set_cut(frozenset())
    there = {
        "client": node.up,
        "discovery": node.listener is not None,
        "server": cluster.servers[fault.server].up,
    }[fault.end]
    if there:  # where nobody listens, connects go on to fail
        await link.open()
    if fault.end == "client":
        cluster.note(node, "back", "unlinked")


async def play(
    cluster: Cluster,
    wants: Mapping[Want, float],
    rate: float,
    seconds: float,
    faults: Iterable[Fault],
    seed: int,
    returns: int = 0,
    heedless: float = 0.0,
) -> list[Event]:
    """`rate` wants a second for so long, faults at their times; all that were struck are whole at the end."""
    crowd = Crowd([node.front for node in cluster.nodes], wants, seed, returns, heedless)

    async def later(fault: Fault) -> None:
        await asyncio.sleep(fault.at)
        await strike(cluster, fault)

    await asyncio.gather(crowd.run(rate, seconds), *(later(fault) for fault in faults))
    await crowd.end()
    return whole(crowd.events, cluster.events, read_books(cluster.place))
