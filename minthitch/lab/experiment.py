"""Experiments: many runs over seeds, choosers and changes, by processes; results as JSON lines, resumable."""

from __future__ import annotations

import json
import multiprocessing
import os
import platform
import subprocess
from collections.abc import Callable, Iterable, Iterator, Sequence
from dataclasses import dataclass
from hashlib import blake2b
from importlib import metadata
from pathlib import Path
from typing import Any

import numpy as np

import minthitch
from minthitch.config import ConfigError
from minthitch.lab import scenario as scenarios
from minthitch.lab.run import Run

MOST_JOBS = 64
MOST_RUNS = 100_000
RESULTS = "results.jsonl"
LOCK = "lock"


@dataclass(frozen=True, slots=True)
class Work:
    """One run, as a process is told of it."""

    scenario: str
    changes: tuple[str, ...]
    chooser: str
    seed: int

    def key(self, digest: str) -> str:
        """The same for the same run of the same scenario text."""
        text = json.dumps([self.scenario, digest, self.changes, self.chooser, self.seed])
        return blake2b(text.encode(), digest_size=12).hexdigest()


def digest_of(name: str) -> str:
    """Of a scenario's text. Raises ConfigError."""
    return blake2b(json.dumps(scenarios.read_table(name), sort_keys=True).encode(), digest_size=8).hexdigest()


def metadata_version() -> str:
    """Of the installed package; empty in a checkout."""
    try:
        return metadata.version("minthitch")
    except metadata.PackageNotFoundError:
        return ""


def versions() -> dict[str, str]:
    """What a figure was made with."""
    root = Path(minthitch.__file__).parent.parent
    commit = ""
    if (root / ".git").exists():
        done = subprocess.run(
            ["git", "describe", "--always", "--dirty"], cwd=root, capture_output=True, text=True
        )
        commit = done.stdout.strip()
    return {
        "minthitch": metadata_version(),
        "commit": commit,
        "numpy": np.__version__,
        "python": platform.python_version(),
    }


def carry_out(work: Work) -> dict[str, Any]:
    """Plays one run. Raises ConfigError."""
    scenario = scenarios.read(work.scenario, work.changes)
    return Run(scenario, work.seed, work.chooser).play().result()


def _carry_out(work: Work) -> tuple[Work, dict[str, Any]]:
    return work, carry_out(work)


class Folder:
    """Results of a folder, one line a run. One process at a time writes there."""

    def __init__(self, path: Path) -> None:
        """Raises ConfigError where another run writes there."""
        self.path = path
        path.mkdir(parents=True, exist_ok=True)
        self.lock = path / LOCK
        self._take()
        self.rows: dict[str, dict[str, Any]] = {row["key"]: row for row in read_rows(path)}
        self.file = open(path / RESULTS, "a", encoding="utf-8")  # noqa: SIM115  (open as long as this is)

    def _take(self) -> None:
        """Danger: two runs into one folder would mix their lines."""
        for _ in range(2):
            try:
                handle = os.open(self.lock, os.O_CREAT | os.O_EXCL | os.O_WRONLY)
            except FileExistsError:
                holder = self.lock.read_text().strip()
                if holder.isdigit() and Path(f"/proc/{holder}").exists():
                    raise ConfigError(f"--out {str(self.path)!r}: process {holder} writes there") from None
                self.lock.unlink(missing_ok=True)  # it was cut off
            else:
                os.write(handle, str(os.getpid()).encode())
                os.close(handle)
                return
        raise ConfigError(f"--out {str(self.path)!r}: another run writes there")

    def add(self, row: dict[str, Any]) -> None:
        self.rows[row["key"]] = row
        self.file.write(json.dumps(row, sort_keys=True) + "\n")
        self.file.flush()

    def close(self) -> None:
        self.file.close()
        self.lock.unlink(missing_ok=True)


def read_rows(path: Path) -> Iterator[dict[str, Any]]:
    """Rows of a folder; a last line that was cut off is taken out, so that the next one is whole."""
    file = path / RESULTS
    if not file.exists():
        return
    text = file.read_text(encoding="utf-8")
    if text and not text.endswith("\n"):
        text = text[: text.rfind("\n") + 1]
        file.write_text(text, encoding="utf-8")
    for number, line in enumerate(text.splitlines(), 1):
        try:
            yield json.loads(line)
        except ValueError:
            raise ConfigError(f"{file}: line {number} = {line[:60]!r} is no result") from None


def perform(
    works: Sequence[Work],
    jobs: int,
    out: Path | None = None,
    progress: Callable[[Iterable[Any], int], Iterable[Any]] = lambda rows, count: rows,
) -> list[dict[str, Any]]:
    """Plays what is not in the folder yet; gives every row in the order of `works`. Raises ConfigError."""
    if not 1 <= jobs <= MOST_JOBS:
        raise ConfigError(f"--jobs {jobs} is not from 1 to {MOST_JOBS}")
    if len(works) > MOST_RUNS:
        raise ConfigError(f"{len(works)} runs are over {MOST_RUNS}")
    digests = {name: digest_of(name) for name in {work.scenario for work in works}}
    for work in {(work.scenario, work.changes): work for work in works}.values():
        scenarios.read(work.scenario, work.changes)  # a bad change is one line before anything is played
    folder = Folder(out) if out is not None else None
    rows: dict[str, dict[str, Any]] = dict(folder.rows) if folder is not None else {}
    made = versions()
    try:
        todo = [work for work in works if work.key(digests[work.scenario]) not in rows]
        for work, result in progress(_play(todo, jobs), len(todo)):
            key = work.key(digests[work.scenario])
            row = {
                "key": key,
                "scenario": work.scenario,
                "text": digests[work.scenario],
                "changes": list(work.changes),
                **result,
                "made_with": made,
            }
            rows[key] = row
            if folder is not None:
                folder.add(row)
    finally:
        if folder is not None:
            folder.close()
    return [rows[work.key(digests[work.scenario])] for work in works]


def _play(works: list[Work], jobs: int) -> Iterator[tuple[Work, dict[str, Any]]]:
    if jobs == 1 or len(works) < 2:
        yield from map(_carry_out, works)
        return
    # Spawned, not forked: a run must not depend on what its parent had done before.
    with multiprocessing.get_context("spawn").Pool(min(jobs, len(works)), maxtasksperchild=50) as pool:
        yield from pool.imap_unordered(_carry_out, works)


def grid(changes: Sequence[str]) -> list[tuple[str, ...]]:
    """`key=a,b,c` of each into every combination, in order. Raises ConfigError."""
    found: list[tuple[str, ...]] = [()]
    for text in changes:
        key, equals, words = text.partition("=")
        if not equals or not words:
            raise ConfigError(f"--over {text!r} is not key=value,value")
        found = [(*row, f"{key}={word}") for row in found for word in words.split(",")]
    return found


def bisect(
    name: str,
    changes: tuple[str, ...],
    chooser: str,
    seeds: Sequence[int],
    low: float,
    high: float,
    aim: float,
    steps: int,
    jobs: int,
) -> list[tuple[float, float]]:
    """Rates and shares of worth served, as it closes in on where the share falls below `aim`."""
    seen: list[tuple[float, float]] = []

    def share(rate: float) -> float:
        works = [Work(name, (*changes, f"load.rate={rate}"), chooser, seed) for seed in seeds]
        rows = perform(works, jobs)
        seen.append((rate, sum(row["worth"] for row in rows) / len(rows)))
        return seen[-1][1]

    if share(low) < aim or share(high) >= aim:
        return seen
    for _ in range(steps):
        middle = (low + high) / 2
        low, high = (middle, high) if share(middle) >= aim else (low, middle)
    return seen
