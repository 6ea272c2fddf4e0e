"""Whole runs: the same from the same seed, each rule judged, rivals, experiments, and the command line."""

from __future__ import annotations

import json
import os
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest

from minthitch import interface as api
from minthitch.config import ConfigError
from minthitch.engine import Answer, Engine, Request, Server
from minthitch.lab import experiment, scenario
from minthitch.lab.experiment import RESULTS, Folder, Work, bisect, grid, perform
from minthitch.lab.ledger import AGAIN, ANSWERS, DRAINED, PUSHED, RULES
from minthitch.lab.replay import story
from minthitch.lab.rivals.base import Ask, World
from minthitch.lab.rivals.choosers import RIVALS, RoundRobin
from minthitch.lab.rivals.oracles import ORACLES
from minthitch.lab.run import CHOOSERS, OURS, Run
from tests.test_cli import ROOT, command

SHORT = ("seconds=6", "settle=1", "load.rate=120", "tiers.0.servers=8", "tiers.0.nodes=2")
TIERS = ("seconds=5", "settle=1", "load.rate=60", "deeds=[]")
STRUCK = 'deeds=[{do="silence",at=2,count=2}]'


def play(name: str, *changes: str, seed: int = 1, chooser: str = OURS, make: Any = None) -> dict[str, Any]:
    return Run(scenario.read(name, (*SHORT, *changes)), seed, chooser, make).play().result()


# Repeatability ----------------------------------------------------------------------------------


def test_the_same_seed_gives_the_same_events_whatever_the_hash_seed_and_jobs(tmp_path: Path) -> None:
    code = (
        f"from tests.test_lab_run import *\nprint(play('calm', {STRUCK!r})['digest'], "
        f"Run(scenario.read('slow-tier-three', {TIERS!r}), 3).play().result()['digest'])"
    )
    digests = {
        subprocess.run(
            [sys.executable, "-c", code],
            cwd=ROOT,
            capture_output=True,
            text=True,
            check=True,
            env={**os.environ, "PYTHONHASHSEED": seed},
        ).stdout
        for seed in ("0", "1", "77")
    }
    assert len(digests) == 1 and len(digests.pop().split()) == 2
    works = [Work("calm", SHORT, chooser, seed) for seed in (1, 2) for chooser in (OURS, "least-request")]
    alone, together = perform(works, 1), perform(works, 3)
    assert alone == together and len({row["digest"] for row in alone}) == 4


def test_one_parameter_changed_leaves_the_other_streams_alone() -> None:
    def wants(*changes: str) -> list[tuple[int, int, int]]:
        seen: list[tuple[int, int, int]] = []
        run = Run(scenario.read("calm", (*SHORT, *changes)), 1)
        inner = run.crowd.watch
        assert inner is not None
        run.crowd.watch = lambda want, what: (
            seen.append((want.since, want.client, want.work)) if what == "asks" and want.tries == 1 else None
        )
        run.play()
        return seen

    assert wants() == wants("network.loss=0.01") == wants('discovery.delay="1s"') != wants("load.rate=130")


def test_a_request_that_outlives_its_run_is_answered_and_counted() -> None:
    result = play("calm", "seconds=3", 'deeds=[{do="silence",at=2.0,count=1.0}]', "tiers.0.servers=2")
    counted = sum(row["in_aim"] + row["late"] + row["unserved"] for row in result["classes"].values())
    assert counted == result["wants"] > 0 and result["unserved"] > 0
    assert sum(result["broken"].values()) == 0, result["breaches"]


# Rules and mutants ------------------------------------------------------------------------------


class TestLibrary:
    """A class of its own, so that it is played beside the rest."""

    @pytest.mark.parametrize("name", scenario.library())
    def test_every_scenario_can_be_played_and_breaks_no_rule(self, name: str) -> None:
        made = scenario.read(name, ("load.rate=60", "load.clients=200"))
        assert made.about.endswith(".") and made.expect.endswith(".")
        assert all(deed.at > made.settle for deed in made.deeds)  # nothing is struck before it has settled
        run = Run(made, 1)
        run.end = run.crowd.until = run.heap.time + 18 * api.SECOND  # its first deeds
        result = run.play().result()
        assert result["wants"] > 50 and sum(result["broken"].values()) == 0, result["breaches"]


class SendsAgain(RoundRobin):
    """A mutant: what may have run goes out again, whatever its class."""

    def _try(self, ask: Ask) -> bool:
        ask.may_have_run = None
        return super()._try(ask)


def _sends_again(settings: api.Settings, seed: int, world: World) -> SendsAgain:
    return SendsAgain(settings, seed, world)


def test_a_mutant_that_sends_again_is_caught() -> None:
    struck = 'deeds=[{do="errors",at=1.0,count=8,by=0.5}]'
    result = play("calm", struck, make=_sends_again)
    assert result["broken"][AGAIN] > 10
    assert play("calm", struck, chooser="round-robin")["broken"][AGAIN] == 0


def test_a_mutant_that_loses_answers_or_gives_two_is_caught(monkeypatch: pytest.MonkeyPatch) -> None:
    inner = Engine._deliver

    def every_tenth(self: Engine, request: Request, answer: Answer) -> None:
        if request.number % 10:
            inner(self, request, answer)

    monkeypatch.setattr(Engine, "_deliver", every_tenth)
    lost = play("calm")
    assert lost["broken"][ANSWERS] > 10 and "has none" in lost["breaches"][0]


def test_a_mutant_that_writes_to_drained_servers_is_caught(monkeypatch: pytest.MonkeyPatch) -> None:
    def always(self: Engine, request: Request, server: Server) -> bool:
        return not request.closed

    struck = 'deeds=[{do="drain",at=1.5,count=4}]'

    class Deaf(RoundRobin):
        def _listed(self, event: api.ListUpdate) -> None:
            if not self.servers:  # the first list only
                super()._listed(event)

    monkeypatch.setattr(Engine, "may_write", always)
    result = play("calm", struck, 'rules={drain_grace="100ms"}', make=lambda s, n, w: Deaf(s, n, w))
    assert result["broken"][DRAINED] > 0
    monkeypatch.undo()
    assert play("calm", struck, 'rules={drain_grace="100ms"}')["broken"][DRAINED] == 0


def test_a_chooser_that_knows_no_cold_servers_pushes_them_over() -> None:
    struck = ('deeds=[{do="crash",at=1.5,count=4,last=1.0}]', "load.rate=300", "tiers.0.cold.share=0.05")
    naive = play("calm", *struck, "tiers.0.cold.multiple=1.2", chooser="round-robin")
    ours = play("calm", *struck, "tiers.0.cold.multiple=1.2")
    assert naive["broken"][PUSHED] > 0 and ours["broken"][PUSHED] == 0, ours["breaches"]


@pytest.mark.parametrize("chooser", CHOOSERS)
def test_each_chooser_serves_a_calm_day_whole_and_says_where_it_is_from(chooser: str) -> None:
    result = play("calm", chooser=chooser)
    assert result["worth"] > 0.99 and set(result["broken"]) == set(RULES)
    assert sum(result["broken"].values()) == 0 and result["attempts"] >= result["wants"]
    assert chooser == OURS or len({**RIVALS, **ORACLES}[chooser].source) > 10


# Scenarios --------------------------------------------------------------------------------------


@pytest.mark.parametrize(
    ("change", "words"),
    [
        ("loads.rate=1", "loads = {'rate': 1}: is unknown"),
        ("load.rat=1", "load.rat = 1: is unknown"),
        ("load.rate=-1", "load.rate = -1"),
        ('load.rate="many"', "load.rate = 'many': Expected `float`"),
        ("tiers.0.servers=0", "tiers[0].servers = 0 is not from 1"),
        ("tiers.0.servers=100000", "tiers[0].servers = 100000"),
        ('tiers.0.work="soon"', "tiers[0].work = 'soon' is not a time"),
        ('tiers.0.spread="odd"', "tiers[0].spread = 'odd' is not one of fixed"),
        ("tiers.0.calls=1", "tiers[0].calls = 1 lead to no tier"),
        ("tiers.1.servers=1", "there is no such place"),
        ("settle=100", "settle = 100.0 is not below"),
        ('load.loop="spiral"', "load.loop = 'spiral'"),
        ("load.heed=2", "load.heed = 2.0"),
        ("load.profile=[[5, 1.0], [1, 1.0]]", "load.profile"),
        ('load.mix=[{name="none"}]', "load.mix[0].name = 'none' is no class"),
        ("network.loss=1", "network.loss = 1.0"),
        ('deeds=[{do="dance",at=1}]', "deeds[0].do = 'dance' is not one of"),
        ('deeds=[{do="drain",at=900}]', "deeds[0].at = 900.0 is not within"),
        ('deeds=[{do="drain",at=1,tier="none"}]', "deeds[0].tier = 'none' is none of planner"),
        ('deeds=[{do="drain"}]', "missing required field `at`"),
        ('classes.0.aim="9s"', "classes[0].aim = '9s' is over its deadline"),
        ("rules.drain_grace=5", "rules.drain_grace = 5"),
        ("rate", "--set 'rate' is not key=value"),
    ],
)
def test_a_scenario_that_cannot_be_is_one_line_with_key_and_value(change: str, words: str) -> None:
    with pytest.raises(ConfigError) as caught:
        scenario.read("calm", (change,))
    assert words in str(caught.value) and "\n" not in str(caught.value)


def test_tiers_that_lead_into_themselves_are_turned_down() -> None:
    table = scenario.read_table("slow-tier-three")
    table["tiers"][2]["name"] = "gateway"
    with pytest.raises(ConfigError, match="name one tier twice: a loop"):
        scenario.from_table(table)


# Experiments ------------------------------------------------------------------------------------


def test_an_interrupted_experiment_goes_on_where_it_was(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    works = [Work("calm", SHORT, "round-robin", seed) for seed in (1, 2, 3)]
    played: list[int] = []
    inner = experiment.carry_out

    def cut_off(work: Work) -> dict[str, Any]:
        if work.seed == 3 and len(played) == 2:
            raise KeyboardInterrupt
        played.append(work.seed)
        return inner(work)

    monkeypatch.setattr(experiment, "carry_out", cut_off)
    with pytest.raises(KeyboardInterrupt):
        perform(works, 1, tmp_path)
    with open(tmp_path / RESULTS, "a") as file:
        file.write('{"key": "half a li')  # as a kill leaves it
    played.append(0)
    rows = perform(works, 1, tmp_path)
    assert played == [1, 2, 0, 3] and rows == perform(works, 1)
    lines = (tmp_path / RESULTS).read_text().splitlines()
    assert [json.loads(line)["seed"] for line in lines] == [1, 2, 3]
    assert {"scenario", "seed", "text", "changes", "made_with", "digest"} <= set(rows[0])


def test_two_runs_into_one_folder_are_kept_apart(tmp_path: Path) -> None:
    first = Folder(tmp_path)
    with pytest.raises(ConfigError, match=f"process {os.getpid()} writes there"):
        Folder(tmp_path)
    first.close()
    (tmp_path / "lock").write_text("4194304999")  # of a process that was killed
    Folder(tmp_path).close()
    assert not (tmp_path / "lock").exists()


def test_grids_bisections_and_stories() -> None:
    assert grid(["a=1,2", "b=x"]) == [("a=1", "b=x"), ("a=2", "b=x")]
    with pytest.raises(ConfigError, match="--over 'a' is not"):
        grid(["a"])
    seen = bisect("calm", (*SHORT, "seconds=4"), "round-robin", [1], 50.0, 2_000.0, 0.9, 3, 1)
    good, bad = [r for r, share in seen if share >= 0.9], [r for r, share in seen if share < 0.9]
    assert len(seen) == 5 and max(good) < min(bad)
    lines = story("calm", SHORT, 1, OURS, 5)
    text = "\n".join(lines)
    for word in ("wants", "try 1 is request", "is accepted", "goes out to planner-", "taken up", "hears"):
        assert word in text
    assert lines == story("calm", SHORT, 1, OURS, 5) == sorted(lines)
    with pytest.raises(ConfigError, match="fewer were asked"):
        story("calm", SHORT, 1, OURS, 10**9)


# The command line -------------------------------------------------------------------------------


def test_the_commands_play_compare_and_draw(tmp_path: Path) -> None:
    sets = [word for change in (*SHORT, "seconds=3") for word in ("--set", change)]
    page = tmp_path / "page.html"
    done = command("lab", "run", "calm", *sets, "--seeds", "2", "--html", str(page), "--out", str(tmp_path))
    assert done.returncode == 0 and len(done.stdout.splitlines()) == 2, done.stderr
    text = page.read_text()
    assert text.startswith("<!doctype html>") and "minthitch seed 2" in text
    assert "<script src" not in text and "<link" not in text and "@import" not in text  # nothing is fetched
    done = command("lab", "compare", "round-robin", "round-robin", "calm", *sets, "--seeds", "2")
    assert "round-robin is no difference (+0.0000" in done.stdout
    done = command("lab", "sweep", "calm", *sets, "--over", "load.rate=40,80", "--chooser", "round-robin")
    assert done.returncode == 0 and len(done.stdout.splitlines()) == 2
    assert command("lab", "list").stdout.count("expected:") >= 20
    assert "NSDI 2024" in command("lab", "rivals").stdout


@pytest.mark.parametrize(
    ("words", "said"),
    [
        (("run", "none"), "none: no such scenario; there are calm"),
        (("run", "calm", "--set", "load.rate=0"), "load.rate = 0"),
        (("run", "calm", "--seeds", "0"), "--seeds 0"),
        (("run", "calm", "--jobs", "0"), "--jobs 0"),
        (("run", "calm", "--chooser", "x"), "--chooser 'x' is not one of minthitch"),
        (("load", "http://192.0.2.1:80", "calm"), "is not loopback"),
        (("load", "http://example.org:80", "calm"), "names are not looked up"),
        (("load", "127.0.0.1", "calm"), "is not http://ADDRESS:PORT"),
        (("replay", "calm", "1", "--want", "0"), "--want 0 is not 1 or more"),
    ],
)
def test_words_that_cannot_be_are_one_line_and_exit_code_2(words: tuple[str, ...], said: str) -> None:
    done = command("lab", *words)
    assert done.returncode == 2 and said in done.stderr and len(done.stderr.splitlines()) == 1, done.stderr
