"""Regression tests, one for each failure found in simulation rounds; docs/rounds.md has the figures."""

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
    """Guards against taking chance for congestion, which refused a third at 0.6 of capacity (big-1)."""
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


def test_full_outcomes_lower_the_in_flight_limit() -> None:
    """Guards against filling servers until they slow down: in one overload all did within 6 s."""
    node = Node(settings())
    node.listed(4)
    node.queue(400, 14 * MS, 50 * MS)
    before = node.balancer.extra_limit
    assert before > 1.0
    for number in range(3):
        node.request(number, UNSAFE)
        node.end(number, 0, Status.FULL)
    assert node.balancer.extra_limit < before - 1.0


def test_waiting_calls_do_not_raise_the_in_flight_limit() -> None:
    """Guards against a limit bounded by the calls in flight, which a queue increases."""
    node = Node(settings())
    node.listed(4)
    for number in range(300):
        node.request(number, UNSAFE)
        node.balancer.mean_in_flight = 40.0  # as it would be with a queue
        node.wait(20 * MS)
        if node.records[number].sent:
            node.end(number, 0, Status.OK)
    assert node.balancer.extra_limit < 20


def test_after_a_failed_connect_a_node_keeps_to_its_open_connections() -> None:
    """Guards against waiting for connect timeouts at servers with full connection tables (i1f26b0, big-2)."""
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
    """Guards against a cross-zone price that leaves one zone late while the other is idle."""
    node = Node(settings(prices=Prices(cross_zone=0.04), tier=1))
    node.listed(8)
    for server, known in node.balancer.servers.items():  # the node's own zone is twice as slow
        for _ in range(20):
            known.evidence.note(node.now, 1.0 if server % 2 else 0.5, True, False)
    for number in range(20):
        node.request(number, UNSAFE)
        node.end(number, 0, Status.OK)
    sends = [s[0] for number in range(20) for s in node.records[number].sent]
    assert sum(s % 2 == 0 for s in sends) > 10


def test_on_calm_input_the_set_sent_to_is_the_cheapest_one(monkeypatch: pytest.MonkeyPatch) -> None:
    """At low load nothing but the set search decides: brute force finds no cheaper set."""
    candidates: list[Candidate] = []
    candidate = Balancer._candidate

    def recorded(balancer: Balancer, now: int, left: float, server: Server) -> Candidate:
        candidates.append(candidate(balancer, now, left, server))
        return candidates[-1]

    monkeypatch.setattr(Balancer, "_candidate", recorded)
    node = Node(settings(tier=1))
    node.listed(8)
    sizes = []
    for number in range(120):
        candidates.clear()
        node.balancer.extra_attempts = 10.0  # low load: enough extra attempts
        sends = [a.server for a in node.request(number, SAFE, 1500 * MS) if isinstance(a, Send)]
        chosen = [c for c in candidates if c[2].entry.server in sends]
        fit = [
            sum(c[0] for c in group)
            for size in (1, 2, 3)
            for group in combinations(candidates, size)
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
    """Guards against waiting until the deadline on a connection that fell silent (c46994f7)."""
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
    """Guards against clients that wait in vain until it is too late for a retry."""
    node = Node(settings(tier=1))
    node.feed(ListUpdate(ListKind.FULL, ()))
    node.request(1)
    answers = [node.records[1].answers]
    node.wait((node.records[1].due - node.now) // 2)
    assert answers + [node.records[1].answers] == [0, 1]
