"""What one process has learned, taken in by the next: the same judgement, other numbers, another clock."""

from __future__ import annotations

import json
import random
from typing import Any

import pytest

from minthitch import learned_state
from minthitch.interface import ListKind, ListUpdate
from minthitch.policy import Balancer
from tests.rules import MS, SAFE, Node, entries, settings

SLOW = {1: 900 * MS}
NAMES = {n: f"s{n}" for n in range(1, 6)}
KINDS = {0: "k"}


def taught() -> Node:
    """A node that knows its servers, the first of them as slow."""
    node = Node(settings())
    node.listed(5)
    node.train(40, slow=SLOW)
    node.queue(60, 10 * MS, 20 * MS)
    return node


def told(node: Node) -> dict[str, Any]:
    """Over the wire and back."""
    table: dict[str, Any] = json.loads(
        json.dumps(learned_state.export_state(node.balancer, node.now, NAMES, KINDS))
    )
    return table


def fresh() -> tuple[Balancer, int, dict[str, int]]:
    """A process with its own clock and its servers in another order."""
    balancer, now = Balancer(settings(), 3), 10**15
    balancer.handle(now, ListUpdate(ListKind.FULL, entries(5)))
    return balancer, now, {f"s{n}": 6 - n for n in range(1, 6)}


def test_the_next_process_judges_servers_and_classes_as_the_last_one_did() -> None:
    node = taught()
    balancer, now, numbers = fresh()
    learned_state.restore_state(balancer, now, told(node), numbers, {"k": 0}, 0.5)
    for number, name in NAMES.items():
        old = node.balancer._candidate(node.now, 5.0, node.balancer.servers[number])
        new = balancer._candidate(now, 5.0, balancer.servers[numbers[name]])
        assert new[:2] == pytest.approx(old[:2], rel=0.05)  # a call or two are still out there
    assert balancer._base_latency(now, 0) == pytest.approx(node.balancer._base_latency(node.now, 0))
    assert balancer._load(now) == pytest.approx(node.balancer._load(node.now), rel=0.05)
    slow, other = (balancer._candidate(now, 5.0, balancer.servers[n])[0] for n in (5, 4))
    assert slow > 1.5 * other  # it is slow by another number too


def test_it_serves_a_part_beside_the_last_one_and_all_once_that_ends() -> None:
    node = taught()
    assert node.balancer.extra_limit > 0
    balancer, now, numbers = fresh()
    learned_state.restore_state(balancer, now, told(node), numbers, {"k": 0}, 0.5)
    assert balancer.extra_limit == pytest.approx(node.balancer.extra_limit / 2)
    flow = balancer.flow.time * balancer.flow.fade(now)
    learned_state.merge_state(balancer, now, told(node))
    assert balancer.extra_limit == pytest.approx(1.5 * node.balancer.extra_limit)
    assert balancer.flow.time == pytest.approx(3 * flow)


def test_servers_and_classes_that_are_not_known_are_left_out() -> None:
    table = told(taught())
    table["servers"] = {"s9": table["servers"]["s1"]}
    del table["classes"][SAFE.name]
    balancer, now, numbers = fresh()
    before = balancer._base_latency(now, 0)
    learned_state.restore_state(balancer, now, table, numbers, {}, 0.5)
    assert balancer._base_latency(now, 0) == before
    assert all(not server.evidence.trials for server in balancer.servers.values())


def _spoil(value: Any, rng: random.Random) -> Any:
    """The same with one thing in it changed."""
    if isinstance(value, (dict, list)) and value and rng.random() < 0.85:
        key = rng.choice(list(value) if isinstance(value, dict) else range(len(value)))
        value[key] = _spoil(value[key], rng)
        return value
    return rng.choice([None, -1, "x", True, [], {}, float("nan"), float("inf"), 1e300, [1, 2], [0.0] * 5])


def test_a_spoilt_table_is_turned_down_and_the_decisions_go_on() -> None:
    turned_down, good = 0, told(taught())
    for seed in range(400):
        node = Node(settings(), seed)
        node.listed(5)
        table = _spoil(json.loads(json.dumps(good)), random.Random(seed))
        try:
            learned_state.restore_state(node.balancer, node.now, table, {"s1": 1, "s2": 2}, {"k": 0}, 0.5)
            learned_state.merge_state(node.balancer, node.now, table)
        except (ValueError, KeyError, TypeError, AttributeError):
            turned_down += 1
        node.queue(20, 20 * MS, 50 * MS)  # its referee sees to the rules
        assert not node.unanswered()
    assert turned_down > 100
