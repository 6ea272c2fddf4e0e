"""Learned state imported by another process: same decisions with other server numbers and another clock."""

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


def trained() -> Node:
    """A node that has learned its servers' latencies; the first one is slow."""
    node = Node(settings())
    node.listed(5)
    node.train(40, slow=SLOW)
    node.queue(60, 10 * MS, 20 * MS)
    return node


def exported(node: Node) -> dict[str, Any]:
    """The exported state, through JSON."""
    table: dict[str, Any] = json.loads(
        json.dumps(learned_state.export_state(node.balancer, node.now, NAMES, KINDS))
    )
    return table


def new_process() -> tuple[Balancer, int, dict[str, int]]:
    """A Balancer with another clock and other server numbers."""
    balancer, now = Balancer(settings(), 3), 10**15
    balancer.handle(now, ListUpdate(ListKind.FULL, entries(5)))
    return balancer, now, {f"s{n}": 6 - n for n in range(1, 6)}


def test_the_next_process_rates_servers_and_classes_as_the_last_one_did() -> None:
    node = trained()
    balancer, now, numbers = new_process()
    learned_state.restore_state(balancer, now, exported(node), numbers, {"k": 0}, 0.5)
    for number, name in NAMES.items():
        old = node.balancer._candidate(node.now, 5.0, node.balancer.servers[number])
        new = balancer._candidate(now, 5.0, balancer.servers[numbers[name]])
        assert new[:2] == pytest.approx(old[:2], rel=0.05)  # the first node has a call or two in flight
    assert balancer._base_latency(now, 0) == pytest.approx(node.balancer._base_latency(node.now, 0))
    assert balancer._load(now) == pytest.approx(node.balancer._load(node.now), rel=0.05)
    slow, other = (balancer._candidate(now, 5.0, balancer.servers[n])[0] for n in (5, 4))
    assert slow > 1.5 * other  # still slow under its other number


def test_limits_are_split_while_both_processes_run_and_whole_afterwards() -> None:
    node = trained()
    assert node.balancer.extra_limit > 0
    balancer, now, numbers = new_process()
    learned_state.restore_state(balancer, now, exported(node), numbers, {"k": 0}, 0.5)
    assert balancer.extra_limit == pytest.approx(node.balancer.extra_limit / 2)
    flow = balancer.flow.time * balancer.flow.fade(now)
    learned_state.merge_state(balancer, now, exported(node))
    assert balancer.extra_limit == pytest.approx(1.5 * node.balancer.extra_limit)
    assert balancer.flow.time == pytest.approx(3 * flow)


def test_unknown_servers_and_classes_are_skipped() -> None:
    table = exported(trained())
    table["servers"] = {"s9": table["servers"]["s1"]}
    del table["classes"][SAFE.name]
    balancer, now, numbers = new_process()
    before = balancer._base_latency(now, 0)
    learned_state.restore_state(balancer, now, table, numbers, {}, 0.5)
    assert balancer._base_latency(now, 0) == before
    assert all(not server.evidence.trials for server in balancer.servers.values())


def _corrupt(value: Any, rng: random.Random) -> Any:
    """Replaces one random value."""
    if isinstance(value, (dict, list)) and value and rng.random() < 0.85:
        key = rng.choice(list(value) if isinstance(value, dict) else range(len(value)))
        value[key] = _corrupt(value[key], rng)
        return value
    return rng.choice([None, -1, "x", True, [], {}, float("nan"), float("inf"), 1e300, [1, 2], [0.0] * 5])


def test_a_corrupt_table_is_rejected_and_the_decisions_continue() -> None:
    rejected, good = 0, exported(trained())
    for seed in range(400):
        node = Node(settings(), seed)
        node.listed(5)
        table = _corrupt(json.loads(json.dumps(good)), random.Random(seed))
        try:
            learned_state.restore_state(node.balancer, node.now, table, {"s1": 1, "s2": 2}, {"k": 0}, 0.5)
            learned_state.merge_state(node.balancer, node.now, table)
        except (ValueError, KeyError, TypeError, AttributeError):
            rejected += 1
        node.queue(20, 20 * MS, 50 * MS)  # the node checks the rules on each event
        assert not node.unanswered()
    assert rejected > 100
