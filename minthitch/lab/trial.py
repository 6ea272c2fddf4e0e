"""Plays the days that a hunt draws, in processes of its own, and keeps what fails as a scenario's file."""

from __future__ import annotations

from concurrent.futures import ProcessPoolExecutor
from multiprocessing import get_context
from pathlib import Path

import tomli_w

from minthitch.config import ConfigError
from minthitch.lab.drawn import Table
from minthitch.lab.experiment import MOST_JOBS
from minthitch.lab.hunt import Hunt, Play, Verdict, judge, shrink
from minthitch.lab.nodes import MakeDecider
from minthitch.lab.run import Run
from minthitch.lab.scenario import from_table


def verdict(table: Table, seed: int, make: MakeDecider | None = None) -> Verdict:
    """Plays a day with our decisions (or others of `make`) and with the late-seeing oracle's, and judges it.

    Raises ConfigError for a table that is no scenario.
    """
    scenario = from_table(table)
    ours = Run(scenario, seed, make=make).play().result()
    return judge(ours, Run(scenario, seed, "late-oracle").play().result())


def _play(play: Play) -> tuple[int, Verdict]:
    return play.number, verdict(play.table, play.seed)


def search(family: str, most: int, first: int = 1, jobs: int = 1) -> Hunt:
    """A whole hunt, the same for any number of processes. Raises ConfigError."""
    if not 1 <= jobs <= MOST_JOBS:
        raise ConfigError(f"--jobs {jobs} is not from 1 to {MOST_JOBS}")
    hunt = Hunt(family, most, first)
    with ProcessPoolExecutor(jobs, get_context("spawn")) as workers:
        while drawn := hunt.round():
            for number, found in workers.map(_play, drawn):
                hunt.told(number, found)
    return hunt


def keep(hunt: Hunt, folder: Path) -> Path:
    """Writes the worst day that failed, cut down while it fails. Raises ConfigError where it can't."""
    worst = next(play for play in hunt.worst() if play.verdict is not None and not play.verdict.passed)
    table = shrink(worst.table, lambda less: not verdict(less, worst.seed).passed)
    path = folder / f"{hunt.family}-{worst.seed}-{worst.number}.toml"
    try:
        folder.mkdir(parents=True, exist_ok=True)
        path.write_text(tomli_w.dumps(table), encoding="utf-8")
    except OSError as err:
        raise ConfigError(f"--keep {folder}: {err.strerror}") from None
    return path
