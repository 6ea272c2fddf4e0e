"""Servers that turn slow when crowded, and a fleet's release before them."""

from __future__ import annotations

from typing import Any

import pytest

from minthitch.config import ConfigError
from minthitch.interface import MILLISECOND, SECOND
from minthitch.lab import scenario
from minthitch.lab.choke import Choking
from minthitch.lab.heap import Heap
from minthitch.lab.ledger import Ledger
from minthitch.lab.run import OURS, Run
from minthitch.lab.scenario import Choke, Tier
from minthitch.lab.servers import Job, ServerModel
from minthitch.lab.streams import Stream
from tests.rules import SAFE

MS = MILLISECOND
TERMS = Choke(at=6, over="2s", slower=2.5, below=0.3, rest="3s", most="25s")


def test_a_short_crowd_is_borne_and_a_long_one_turns_the_server_slow() -> None:
    choking = Choking(TERMS, 1)
    choking.look(0, 10, 1)
    choking.look(SECOND, 10, 1)  # 10 for 1 s: 3.9 on average
    assert choking.factor == 1.0
    choking.look(3 * SECOND, 10, 1)
    assert choking.factor == 1 / 2.5 and choking.times == 1


def test_it_recovers_once_it_was_nearly_idle_and_not_before() -> None:
    choking = Choking(TERMS, 1)
    choking.look(0, 10, 1)
    choking.look(5 * SECOND, 4, 1)  # few calls, but its core is at work
    choking.look(10 * SECOND, 0, 0)
    assert choking.factor < 1.0
    choking.look(12 * SECOND, 0, 0)
    assert choking.factor < 1.0
    choking.look(14 * SECOND, 0, 0)
    assert choking.factor == 1.0


def test_it_recovers_in_any_case_after_its_longest_time() -> None:
    choking = Choking(TERMS, 1)
    for second in range(0, 36, 5):
        choking.look(second * SECOND, 10, 1)
        assert (choking.factor < 1.0) == (5 <= second < 30 or second == 35)
    assert choking.times == 2


def test_without_terms_no_crowd_turns_it_slow() -> None:
    choking = Choking(Choke(), 1)
    choking.look(0, 1_000, 1)
    choking.look(60 * SECOND, 1_000, 1)
    assert choking.factor == 1.0


def test_a_crowded_server_works_slower_and_a_new_process_does_not() -> None:
    heap, ends = Heap(), list[int]()
    tier = Tier("t", 1, cores=1, choke=TERMS)
    ledger = Ledger((SAFE,), 500 * MS, 20 * MS)
    model = ServerModel(heap, ledger, tier, 0, Stream(1, "s"), None, lambda model: None)

    def ask(number: int) -> None:
        model.arrive(Job(number, 0, heap.time + 100 * SECOND, SECOND, lambda status: ends.append(heap.time)))

    for number in range(10):
        ask(number)
    began = heap.time
    heap.run(began + 60 * SECOND)
    took = [(b - a) / SECOND for a, b in zip([began, *ends], ends, strict=False)]
    assert took[0] == 1.0 and 2.5 in took
    model.stop()
    model.start()
    assert model.choke.factor == 1.0


@pytest.mark.parametrize(
    ("change", "said"),
    [
        ("tiers.0.choke.slower=0.5", "tiers[0].choke.slower = 0.5 is below 1"),
        ("tiers.0.choke.below=0.0", "tiers[0].choke.below = 0.0 is not above 0 and up to 1"),
        ("tiers.0.choke.at=-1.0", "tiers[0].choke.at = -1.0 is below 0"),
        ('tiers.0.choke.rest="0s"', "tiers[0].choke.rest = '0s' is not above 0"),
    ],
)
def test_terms_that_can_not_be_played_are_one_line(change: str, said: str) -> None:
    with pytest.raises(ConfigError) as caught:
        scenario.read("fleet-release", (change,))
    assert str(caught.value) == said


def release(seed: int, chooser: str) -> dict[str, Any]:
    return Run(scenario.read("fleet-release", ("seconds=24",)), seed, chooser).play().result()


@pytest.mark.parametrize("seed", [1, 2])
def test_a_release_of_a_large_fleet_breaks_no_rule_and_beats_least_request(seed: int) -> None:
    ours, theirs = release(seed, OURS), release(seed, "least-request")
    assert not any(ours["broken"].values())
    assert ours["worth"] > theirs["worth"]
    assert ours["worth"] > 0.9
