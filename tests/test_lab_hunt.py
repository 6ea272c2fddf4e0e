"""The hunt for the day that fails: its gate, draws and oracles; and the failure that it was written for."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import pytest

from bench.hunt import Deaf, maker
from minthitch.interface import SECOND, Status
from minthitch.lab import scenario
from minthitch.lab.drawn import FAMILIES, GENES, day, plain
from minthitch.lab.heap import START
from minthitch.lab.hunt import SLACK, Hunt, Verdict, judge, shrink
from minthitch.lab.ledger import RULES
from minthitch.lab.run import Run
from minthitch.lab.trial import verdict
from minthitch.policy import Balancer
from tests.test_cli import command

CALM = dict.fromkeys(GENES, 0.3)


def result(worth: float, **broken: int) -> dict[str, Any]:
    return {"worth": worth, "broken": {**dict.fromkeys(RULES, 0), **broken}}


@pytest.mark.parametrize(
    ("ours", "late", "passes"),
    [
        (result(0.9), result(0.9), True),
        (result(0.9), result(0.9 + SLACK / 2), True),
        (result(0.9), result(0.9 + 2 * SLACK), False),
        (result(1.0, **{RULES[0]: 1}), result(0.1), False),  # no worth makes up for a rule
    ],
)
def test_the_gate_wants_all_rules_and_the_worth_of_a_late_seeing_oracle(
    ours: dict[str, Any], late: dict[str, Any], passes: bool
) -> None:
    found = judge(ours, late)
    assert found.passed is passes and (found.margin >= 0.0) is passes


@pytest.mark.parametrize("family", FAMILIES)
def test_every_drawn_day_can_be_played_at_both_ends_of_each_gene(family: str) -> None:
    ends = dict.fromkeys(GENES, 0.0), dict.fromkeys(GENES, 0.999)
    for genes in (plain(family, 1), plain(family, 2), *ends):
        assert scenario.from_table(day(family, genes)).seconds > 0
    assert plain(family, 1) == plain(family, 1) != plain(family, 2)


def _played(family: str, backwards: bool) -> Hunt:
    """A hunt whose days fail the more, the higher the load: told in order, or backwards."""
    hunt = Hunt(family, 40)
    while drawn := hunt.round():
        for play in sorted(drawn, key=lambda play: play.number, reverse=backwards):
            margin = 0.5 - play.genes["load"]
            hunt.told(play.number, Verdict(() if margin > 0 else ("worth",), margin))
    return hunt


def test_a_hunt_goes_on_from_the_worst_and_does_not_turn_on_the_order_of_its_plays() -> None:
    hunt, same = _played("zone", False), _played("zone", True)
    assert [play.genes for play in hunt.plays] == [play.genes for play in same.plays]
    assert len(hunt.plays) == 40 and hunt.round() == []
    mutants = [play for play in hunt.plays if play.parent >= 0]
    assert len(mutants) == 16
    assert sum(not p.verdict.passed for p in mutants if p.verdict) > 12, "mutants of failing days fail"
    assert hunt.worst()[0].verdict == min(
        (p.verdict for p in hunt.plays if p.verdict), key=lambda v: v.margin
    )


def test_a_failing_day_is_cut_down_to_what_matters() -> None:
    table = day("zone", CALM)
    plays = 0

    def fails(less: dict[str, Any]) -> bool:
        nonlocal plays
        plays += 1
        return any(deed["do"] == "slow" for deed in less["deeds"])

    small = shrink(table, fails)
    assert [deed["do"] for deed in small["deeds"]] == ["slow"]
    assert len(small["tiers"]) == 1 and plays <= 60
    assert shrink(table, lambda less: False) == table


def test_oracles_break_no_rule_and_serve_what_can_be_served() -> None:
    made = scenario.from_table(day("zone", plain("zone", 1)))
    run = Run(made, 1, "oracle").play().result()
    assert not any(run["broken"].values()) and run["worth"] > 0.9


def test_an_oracle_does_not_see_over_a_cut_or_into_silence() -> None:
    run = Run(scenario.from_table(day("calm", CALM)), 1, "oracle")
    run.heap.run(2 * SECOND)
    node, tier = run.tiers[0].nodes[0], run.tiers[0]
    numbers = {known.name: number for number, known in node.engine.server_table.by_number.items()}
    there = [tier.by_name[name] for name in numbers if tier.by_name[name].zone == node.zone]
    away = next(model for model in tier.models if model.zone != node.zone)
    there[0].silent = True
    there[1].stop()
    run.network.cut.add(away.zone)
    assert [node.see(numbers[m.name]) for m in (there[0], there[1], away)] == [None] * 3
    assert node.see(numbers[there[2].name]) is not None and node.see(9_999) is None


class Shy(Balancer):
    """The fault that was found: after any refused connect nothing but open connections for 30 s."""

    def _record_outcome(self, now: int, request: Any, attempt: Any, latency: int) -> None:
        super()._record_outcome(now, request, attempt, latency)
        if attempt.status is Status.CONNECT_FAILED:
            self.shy = now + 30 * SECOND

    shy = 0

    def _can_connect(self, now: int, server: Any, scarce: bool) -> bool:
        return (
            server.in_flight < server.connections
            if now < self.shy
            else super()._can_connect(now, server, scarce)
        )


def back(run: Run, first: int, last: int) -> float:
    """The part of the worth wanted in these seconds that was served in time."""
    rows = run.tally.each_second[first:last]
    return sum(row[1] for row in rows) / sum(row[0] for row in rows)


@pytest.mark.parametrize("seed", [1, 2])
def test_the_trigger_goes_and_the_state_goes_with_it(seed: int) -> None:
    """A zone of three tiers is lost for 5 s and returns cold: 5 s on, at least 90% of an oracle's share."""
    made = scenario.read(
        "zone-lost",
        (
            "load.rate=120",
            "seconds=24",
            "tiers.0.servers=12",
            "tiers.0.nodes=5",
            "tiers.1.nodes=12",
            "tiers.1.servers=17",
            "tiers.2.nodes=17",
            "tiers.2.servers=19",
        ),
    )
    ours, oracle = Run(made, seed).play(), Run(made, seed, "oracle").play()
    assert back(ours, 18, 23) >= 0.9 * back(oracle, 18, 23)
    without = returned(Run(made, seed, make=maker(Shy)))
    assert without < 0.6 * returned(Run(made, seed)), "without the mend it is not"


def returned(run: Run) -> int:
    """Calls that the returned servers of the first tier have answered 4 s after their return."""
    zone = [model for model in run.tiers[0].models if model.zone == 1]
    marks: list[int] = []
    for second in (13, 17):
        run.heap.at(START + second * SECOND, lambda: marks.append(sum(model.served for model in zone)))
    run.play()
    return marks[1] - marks[0]


def test_a_planted_fault_fails_the_gate() -> None:
    found = verdict(day("join", plain("join", 1)), 1, maker(Deaf))
    assert not found.passed


@pytest.mark.parametrize(
    ("words", "key"),
    [
        ("nosuch", "hunt 'nosuch'"),
        ("calm --seeds 0", "--seeds 0"),
        ("calm --jobs 99", "--jobs 99"),
    ],
)
def test_a_hunt_that_can_not_be_is_one_line(words: str, key: str) -> None:
    done = command("lab", "hunt", *words.split())
    assert done.returncode == 2 and key in done.stderr and done.stderr.count("\n") == 1


def test_a_hunt_keeps_its_worst_day_as_a_scenario(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    from minthitch.lab import trial

    hunt = Hunt("herd", 1)
    hunt.told(hunt.round()[0].number, Verdict(("worth",), -0.5))
    monkeypatch.setattr(trial, "verdict", lambda table, seed: Verdict(("worth",), -0.5))
    path = trial.keep(hunt, tmp_path / "found")
    assert scenario.read(path).about.endswith("herd")
