"""Large fleets: behaviour that is harmless in one node but not in many nodes together."""

from __future__ import annotations

import math

import pytest

from minthitch.interface import SECOND, ListKind, ListUpdate, RequestArrived, ServerEntry, Status
from minthitch.policy import INITIAL_LIMIT, Attempt, Request
from tests.rules import MS, SAFE, UNSAFE, Node, entries, settings
from tests.simulated_fleet import SimulatedFleet, SimulatedServer

WARM = 20.0  # calls per second served by a warm server


def fleet_under_load(seed: int, count: int = 40, servers: int = 10, load: float = 0.5) -> SimulatedFleet:
    fleet = SimulatedFleet(
        settings(siblings=count, cold_share=0.3, cold_time=8 * SECOND),
        count,
        {number: SimulatedServer(WARM) for number in range(1, servers + 1)},
        seed,
    )
    fleet.deliver_list(ListKind.CACHED, entries(servers))
    fleet.run(8 * SECOND, load * WARM * servers)
    return fleet


@pytest.mark.parametrize("gone", [6, 10])  # some or none of the warm servers stay
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_forty_nodes_that_learn_of_cold_servers_at_once_keep_their_budget(seed: int, gone: int) -> None:
    fleet = fleet_under_load(seed)
    new = list(range(11, 11 + gone))
    fleet.replace(list(range(1, gone + 1)), new)
    fleet.run(8 * SECOND, 0.5 * WARM * 10)
    for number in new:
        assert len(fleet.servers[number].sent) > 20, "a cold server must fill up"
        assert not fleet.cold_overloads(number)


def sent_to_cold(answer: Status, latency: int) -> int:
    """Calls that a new server gets in ten rounds; before, warm servers answered one call per second."""
    node, sent = Node(settings(siblings=7, tier=1), 3), 0
    node.listed(4)
    for _ in range(10):
        node.train(1)
        node.wait(900 * MS)
    node.feed(ListUpdate(ListKind.CHANGES, (ServerEntry(9, started=node.now),)))
    for first in range(0, 80, 8):  # eight at a time, so that each eligible server gets one
        for number in range(first, first + 8):
            node.request(number, UNSAFE)
        at, cold = node.now, {n for n in range(first, first + 8) if node.records[n].sent[0][0] == 9}
        ends = [(at + (latency if n in cold else 100 * MS), n) for n in range(first, first + 8)]
        for due, number in sorted(ends):
            node.wait(due - node.now)
            node.end(number, 0, answer if number in cold else Status.OK)
        node.wait(at + SECOND - node.now)
        sent += len(cold)
    return sent


def test_a_cold_server_earns_calls_by_its_own_answers() -> None:
    """With limits from the answers of warm servers only, six new servers got 5 calls each in 2 s, while four
    old ones had 17 in flight, where 8 slow them down for long (join+vast, c585365e).
    """
    assert sent_to_cold(Status.OK, 50 * MS) >= 8
    assert sent_to_cold(Status.ERROR, 50 * MS) <= 4, "an error earns nothing"
    assert sent_to_cold(Status.OK, 900 * MS) <= 4, "nor does a late answer"


def test_a_cold_server_is_not_starved_while_the_warm_ones_are_congested() -> None:
    """Calls that a server had earned once counted against it for ever: new servers got 20 calls in 1.5 s,
    then only one, while the old ones had 27 in flight each (join+vast, seed 17, 7a29cb9f).
    """
    node, sent = Node(settings(siblings=7, tier=1), 3), []
    node.listed(4)
    for _ in range(10):
        node.train(1)
    node.feed(ListUpdate(ListKind.CHANGES, (ServerEntry(9, started=node.now),)))
    for number in range(240):
        node.request(number, UNSAFE)
        if node.records[number].sent[0][0] == 9:
            sent.append(number)
            node.wait(20 * MS)
            node.end(number, 0, Status.OK)
        if number >= 40 and number - 40 not in sent:
            node.end(number - 40, 0, Status.OK)
        node.wait(25 * MS)
    assert len([n for n in sent if n >= 120]) >= 20


def full(count: int, started: int = 0) -> ListUpdate:
    return ListUpdate(ListKind.FULL, entries(count, started))


def trained() -> Node:
    node = Node(settings(siblings=4))
    node.listed(8)
    node.queue(100, 60 * MS, 200 * MS)
    return node


def test_the_limit_shrinks_with_the_number_of_servers() -> None:
    """Calls that eight servers can take congest the remaining four before any answer shows it."""
    node = trained()
    node.request(1)
    before = node.balancer.extra_limit
    node.feed(full(4))
    node.request(2)
    assert before > 0
    assert node.balancer.extra_limit == pytest.approx(before / 2, rel=0.05)


def test_refusing_servers_do_not_count_as_capacity_before_the_list_drops_them() -> None:
    """Load of a lost third congested the rest for the 4 s until the list changed (zone+mass, seed 11)."""
    node = trained()
    node.request(1)
    before = node.balancer.capacity
    for server in list(node.balancer.servers.values())[:4]:
        attempt = Attempt(server, node.now, float(MS), float(MS))
        attempt.status = Status.CONNECT_FAILED
        request = Request(node.now, RequestArrived(9, 0, node.now + SECOND), SAFE)
        node.balancer._record_outcome(node.now, request, attempt, MS)
    node.wait(3 * SECOND)  # no outcome for so long
    node.request(2)
    assert before == 8 and node.balancer.capacity < 4, "the other four may refuse as often"
    node.feed(full(8, started=1))
    node.request(3)
    assert node.balancer.capacity == 8, "restarted processes have refused nothing"


@pytest.mark.parametrize(("strain", "less"), [(1.4, False), (1.6, True), (2.5, True)])
def test_the_limit_shrinks_as_queues_build_up(strain: float, less: bool) -> None:
    """Holding the limit while latency was 1.5 to 2 times the baseline kept servers slow to the end
    (zone+mass, seed 11).
    """
    node = trained()
    node.request(1)
    node.balancer.extra_limit, node.balancer.slowdown, node.balancer.smoothing = 0.5, strain, 1.0
    before = node.balancer.extra_limit
    node.end(1, 0, Status.OK)
    assert (node.balancer.extra_limit < before) is less


def test_cold_servers_count_with_their_cold_capacity() -> None:
    node = trained()
    node.feed(full(8, started=node.now))
    node.request(1)
    assert node.balancer.capacity == pytest.approx(8 * node.setup.cold_share, rel=0.05)
    assert INITIAL_LIMIT * node.balancer.capacity / node.setup.siblings < 8


def test_after_a_loss_of_servers_the_limit_grows_slowly_for_a_while() -> None:
    """At its usual pace it replaced the share of four lost servers of ten in 2 s (disco+vast, 9ed38163)."""
    lost, kept = trained(), trained()
    lost.feed(full(4))
    for node in (lost, kept):
        node.balancer.extra_limit = 0.5
        node.queue(30, 60 * MS, 50 * MS)
    assert lost.balancer.extra_limit < 0.5 + 0.3 * (kept.balancer.extra_limit - 0.5)
    lost.wait(15 * SECOND)
    before = lost.balancer.extra_limit
    lost.queue(30, 60 * MS, 50 * MS)
    assert lost.balancer.extra_limit > before + 0.5


def test_the_limit_is_bounded_by_the_measured_concurrency() -> None:
    """At twice that, bursts put 10 calls on servers that become slow at 8 and stay slow (d8d384f0)."""
    node = Node(settings(siblings=4))
    node.listed(8)
    node.queue(400, 25 * MS, 100 * MS)
    needed = node.balancer.flow.time * math.log(2) / (2 * SECOND)  # requests in flight at their usual latency
    assert 4.0 <= needed <= 5.0
    assert needed < node.balancer.extra_limit <= 1.6 * needed
