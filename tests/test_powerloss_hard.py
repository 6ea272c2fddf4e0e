"""A power loss combined with other faults: real processes in the rig."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable

import pytest
from msgspec.structs import replace as change

from minthitch.interface import SECOND
from minthitch.policy import Balancer
from minthitch.recovery.frame import decode, encode
from rigs.cluster.checks import breaches
from rigs.cluster.cluster import Cluster
from rigs.cluster.history import Event, came_back, want_of
from rigs.cluster.play import play
from rigs.cluster.powerloss import DEADLINES, MAKE, TABLE, UNSAFE_CLASSES, WANTS, WARM_RATE
from rigs.cluster.relay import BOTH
from rigs.cluster.schedule import Fault
from rigs.cluster.search import search
from rigs.cluster.without import Dark, Eager
from rigs.discovery import entry
from tests.test_node import run

Action = Callable[[Cluster], Awaitable[None]]
AWAY = 0.5  # seconds
POWER_LOSS = (Fault(0.5, "power", last=AWAY),)


async def _nothing(cluster: Cluster) -> None:
    pass


def run_power_loss(
    do: Action = _nothing,
    after: Action = _nothing,
    nodes: int = 3,
    servers: int = 6,
    load: float = 0.25,
    siblings: int = 0,
    returns: int = 0,
    heedless: float = 0.0,
    keeps: bool = False,
    seconds: float = 7.0,
) -> list[Event]:
    """Gives the history of a run in which all lose power. `do` runs before it, `after` alongside."""
    table = {**TABLE, "limits": {**TABLE["limits"], "siblings": siblings or nodes}}
    found: list[list[Event]] = []

    async def day() -> None:
        async with Cluster(nodes, servers, table, MAKE, keeps=keeps) as cluster:
            await cluster.all_ready()
            await do(cluster)
            going = asyncio.ensure_future(after(cluster))
            found.append(
                await play(
                    cluster, WANTS, load * servers * WARM_RATE, seconds, POWER_LOSS, 1, returns, heedless
                )
            )
            await going

    run(day)
    (history,) = found
    assert breaches(history, DEADLINES, UNSAFE_CLASSES) == []
    return history


def served(history: list[Event], since: float) -> float:
    """The share of the calls asked from `since` on that was served."""
    asked = {e.call for e in history if e.what == "asked" and e.at >= since}
    heard = {e.call for e in history if e.what == "heard" and e.word == "served"}
    assert asked
    return len(asked & heard) / len(asked)


# All short sequences ----------------------------------------------------------------------------


def test_all_two_step_sequences_keep_the_cold_budget_and_leave_no_node_dark() -> None:
    """Crashes, losses and splits at any step; two deliberately faulty variants are detected."""
    assert [found for found in search(Balancer, 2) if found[1]] == []
    assert {broken for _, broken in search(Dark, 1)} == {"node 0 stays dark"}
    assert "pushed over" in {broken for _, broken in search(Eager, 1)}


# Discovery -------------------------------------------------------------------------------------


async def _no_discovery(cluster: Cluster) -> None:
    async def back() -> None:
        pass

    cluster.discovery_back = back  # type: ignore[method-assign]


def test_without_discovery_nothing_is_sent_and_no_node_is_ready() -> None:
    history = run_power_loss(_no_discovery, seconds=4.0)
    away = min(e.at for e in history if e.what == "away")
    assert not [e for e in history if e.what == "took" and e.at > away + AWAY]
    assert not [e for e in history if e.what == "back"]


def wrong_lists(wrong: Callable[[Cluster], None]) -> tuple[Action, Action]:
    """After the loss discovery gives the list made by `wrong`, and about 2 s later the right one."""
    true: list[Callable[[], None]] = []

    async def do(cluster: Cluster) -> None:
        true.append(cluster.list_servers)
        cluster.list_servers = lambda: wrong(cluster)  # type: ignore[method-assign]

    async def after(cluster: Cluster) -> None:
        await asyncio.sleep(POWER_LOSS[0].at + AWAY + 2.5)
        true[0]()

    return do, after


def _empty(cluster: Cluster) -> None:
    for node in cluster.nodes:
        node.discovery.replace()


def _outdated(cluster: Cluster) -> None:
    """All servers as started ten minutes ago, half of them at addresses that are no longer theirs."""
    then = time.time_ns() // 1_000_000 - 600_000
    for n, node in enumerate(cluster.nodes):
        node.discovery.replace(
            *(
                entry(s.make.name, s.links[n].address if i % 2 else "127.0.0.1:9", "up", then, i % 2)
                for i, s in enumerate(cluster.servers)
            )
        )


@pytest.mark.parametrize("wrong", [_empty, _outdated])
def test_wrong_list_after_the_loss_overloads_no_server_and_is_recovered_from(
    wrong: Callable[[Cluster], None],
) -> None:
    do, after = wrong_lists(wrong)
    history = run_power_loss(do, after, seconds=8.0)
    start = min(e.at for e in history if e.what == "away") + AWAY
    if wrong is _empty:
        assert not [e for e in history if e.what == "took" and start < e.at < start + 1.0]
    assert served(history, start + 4.5) >= 0.5


# Snapshots and peers ----------------------------------------------------------------------------


def test_nodes_that_were_down_start_with_snapshots_of_another_time() -> None:
    """One snapshot is 23 hours old and counts for less; one is from a clock since set back and is ignored."""

    async def do(cluster: Cluster) -> None:
        await asyncio.sleep(1.0)
        for number, hours in ((0, -23), (1, 1)):
            await cluster.kill_node(number)
            for path in (cluster.place / "kept").glob(f"n{number}.*.snapshot"):
                kept = decode(path.read_bytes())
                kept = change(kept, wall=kept.wall + hours * 3_600 * SECOND, boot="another")
                path.write_bytes(encode(kept))

    history = run_power_loss(do, nodes=4, keeps=True)
    assert served(history, came_back(history) + 1.0) >= 0.5


@pytest.mark.parametrize("siblings", [4, 2, 8])
def test_fleet_split_during_recovery_keeps_the_cold_budget(siblings: int) -> None:
    """With `siblings` right, half and twice the number of nodes; the split heals 3 s later."""

    async def split(cluster: Cluster) -> None:
        across = [
            link
            for node in cluster.nodes
            for link in node.peers
            if (link.name[1] in "01") != (link.name.rpartition("n")[2] in "01")
        ]
        assert len(across) == 8
        for link in across:
            link.set_cut(BOTH)
        await asyncio.sleep(POWER_LOSS[0].at + AWAY + 3.0)
        for link in across:
            link.set_cut(frozenset())

    history = run_power_loss(after=split, nodes=4, load=1.2, siblings=siblings, keeps=True)
    since = came_back(history) + 1.0
    assert served(history, since) >= 0.1 and not [e for e in history if e.what == "pushed over"]


# Clients ----------------------------------------------------------------------------------------


@pytest.mark.parametrize("heedless", [0.1, 0.3, 1.0])
def test_clients_that_ignore_retry_after(heedless: float) -> None:
    """Each refused client retries up to eight times; those that ignore Retry-After do so after 20 ms."""
    history = run_power_loss(load=0.7, returns=8, heedless=heedless)
    since = came_back(history) + 1.0
    sales = {
        want_of(e.call) for e in history if e.what == "asked" and e.cls == "buy-ticket" and e.at >= since
    }
    sold = {want_of(e.call) for e in history if e.what == "heard" and e.word == "served"}
    assert len(sales & sold) >= 0.8 * len(sales)
