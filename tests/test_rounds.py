"""One small test for each failure found in the rounds; docs/rounds.md has the figures."""

from __future__ import annotations

import random
from itertools import combinations
from math import prod

import pytest

from minthitch.interface import (
    SECOND,
    AttemptEnded,
    ListKind,
    ListUpdate,
    Prices,
    Refuse,
    Send,
    ServerEntry,
    Status,
)
from minthitch.policy import TARGET, Balancer, Candidate, Server
from tests.rules import MS, SAFE, UNSAFE, Node, settings


def test_a_node_with_few_heavy_tailed_answers_does_not_refuse_at_a_third_of_its_aims() -> None:
    """Guards against taking chance for crowding (kamloops big-1: a third refused at 0.6 of capacity)."""
    refused = 0
    for seed in range(6):
        rng = random.Random(seed)
        node = Node(settings(siblings=400), seed)
        node.listed(80)
        ends: list[tuple[int, int, int]] = []
        for number in range(150):
            refused += any(isinstance(a, Refuse) for a in node.request(number, UNSAFE))
            if node.records[number].sent:
                took = int(min(rng.lognormvariate(-1.1, 1.5) * 250, 2500)) * MS
                ends.append((node.now + took, number, 0))
            ends = node.serve(ends, node.now + 250 * MS)
        node.serve(ends, node.now + 5 * SECOND)
    assert refused < 0.02 * 900


def test_calls_turned_away_as_full_shrink_the_window() -> None:
    """Guards against filling servers until they turn slow (music overload: all choked within 6 s)."""
    node = Node(settings())
    node.listed(4)
    node.queue(400, 14 * MS, 50 * MS)
    grown = node.balancer.extra_limit
    assert grown > 1.0
    for number in range(3):
        node.request(number, UNSAFE)
        node.end(number, 0, Status.FULL)
    assert node.balancer.extra_limit < grown - 1.0


def test_calls_that_wait_do_not_widen_the_window() -> None:
    """Guards against growth bounded by the calls out, which a queue swells (lahore overload)."""
    node = Node(settings())
    node.listed(4)
    for number in range(300):
        node.request(number, UNSAFE)
        node.balancer.mean_in_flight = 40.0  # as a queue would have it
        node.wait(20 * MS)
        if node.records[number].sent:
            node.end(number, 0, Status.OK)
    assert node.balancer.extra_limit < 20


def test_after_a_failed_connect_a_node_keeps_to_its_open_connections() -> None:
    """Guards against waiting out connect time-outs where tables are full (i1f26b0, guayaquil big-2)."""
    node = Node(settings(siblings=50, idle_close=30 * SECOND, tier=1))
    node.listed(5)
    node.train(60)
    node.feed(ListUpdate(ListKind.CHANGES, tuple(ServerEntry(s) for s in range(6, 60))))
    node.request(1, UNSAFE)
    node.feed(AttemptEnded(1, 0, node.records[1].sent[0][0], Status.CONNECT_FAILED, 120 * MS))
    before = len(node.records)
    node.train(40)
    later = {s[0] for number, b in list(node.records.items())[before:] for s in b.sent}
    assert later <= {1, 2, 3, 4, 5}


def test_a_shift_to_one_zone_spills_over() -> None:
    """Guards against a price of crossing that leaves one zone late while the other idles (kamloops)."""
    node = Node(settings(prices=Prices(cross_zone=0.04), tier=1))
    node.listed(8)
    for server, known in node.balancer.servers.items():  # the node's own zone takes twice as long
        for _ in range(20):
            known.evidence.note(node.now, 1.0 if server % 2 else 0.5, True, False)
    for number in range(20):
        node.request(number, UNSAFE)
        node.end(number, 0, Status.OK)
    sends = [s[0] for number in range(20) for s in node.records[number].sent]
    assert sum(s % 2 == 0 for s in sends) > 10


def test_on_calm_input_the_set_sent_to_is_the_cheapest_one(monkeypatch: pytest.MonkeyPatch) -> None:
    """The mechanism decides the ordinary path: brute force over the candidates finds nothing cheaper."""
    judged: list[Candidate] = []
    judge = Balancer._candidate

    def recorded(balancer: Balancer, now: int, left: float, server: Server) -> Candidate:
        judged.append(judge(balancer, now, left, server))
        return judged[-1]

    monkeypatch.setattr(Balancer, "_candidate", recorded)
    node = Node(settings(tier=1))
    node.listed(8)
    sizes = []
    for number in range(120):
        judged.clear()
        node.balancer.extra_attempts = 10.0  # calm: copies are not short
        sends = [a.server for a in node.request(number, SAFE, 1500 * MS) if isinstance(a, Send)]
        chosen = [c for c in judged if c[2].entry.server in sends]
        fit = [
            sum(c[0] for c in group)
            for size in (1, 2, 3)
            for group in combinations(judged, size)
            if 1 - prod(1 - c[1] for c in group) >= TARGET
        ]
        if fit:
            sizes.append(len(sends))
            assert sum(c[0] for c in chosen) == pytest.approx(min(fit))
        node.wait((300 + 90 * (number % 11)) * MS)
        for index in range(len(sends)):
            node.end(number, index, Status.CANCELLED if index else Status.OK, True)
    assert 1 in sizes and max(sizes) > 1


def test_a_call_that_may_be_repeated_is_raced_once_it_is_overdue() -> None:
    """Guards against waiting out the deadline on a connection that fell silent (silent+leave, c46994f7)."""
    node = Node(settings(tier=1))
    node.listed(4)
    node.train(40)
    node.request(1)
    first = len(node.records[1].sent)
    node.wait(150 * MS)
    assert len(node.records[1].sent) == first
    node.wait(SECOND)
    assert len(node.records[1].sent) > first and not node.records[1].answers
    node.train(10, cls=UNSAFE)
    node.request(2, UNSAFE)
    node.wait(2 * SECOND)
    assert len(node.records[2].sent) == 1  # it may have run


def test_a_request_that_no_server_may_take_is_refused_before_half_its_time() -> None:
    """Guards against clients that wait for nothing until it is too late to ask again."""
    node = Node(settings(tier=1))
    node.feed(ListUpdate(ListKind.FULL, ()))
    node.request(1)
    answers = [node.records[1].answers]
    node.wait((node.records[1].due - node.now) // 2)
    assert answers + [node.records[1].answers] == [0, 1]
