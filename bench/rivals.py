"""This balancer against each rival over all scenarios: `python -m bench.rivals [--seeds N] [--jobs N]`.

Prints `docs/lab/rivals.md`. Long; not for CI. Paired by seed, with 95% bootstrap intervals.
"""

from __future__ import annotations

import argparse
import sys
from collections.abc import Sequence
from pathlib import Path
from typing import Any

from minthitch.lab import scenario
from minthitch.lab.experiment import Work, perform
from minthitch.lab.ledger import RULES
from minthitch.lab.rivals.choosers import RIVALS
from minthitch.lab.run import OURS
from minthitch.lab.statistics import Difference, paired

Rows = dict[tuple[str, str], list[dict[str, Any]]]  # by scenario and chooser, in the order of seeds


def mean(rows: Sequence[dict[str, Any]], name: str) -> float:
    return float(sum(row[name] for row in rows)) / len(rows)


def against(rows: Rows, name: str, rival: str) -> Difference:
    """Ours less the rival's."""
    return paired([row["worth"] for row in rows[name, rival]], [row["worth"] for row in rows[name, OURS]])


def worth_table(rows: Rows, names: Sequence[str]) -> list[str]:
    """A line a scenario; a rival's figure says where it is better by its interval."""
    lines = [
        "| scenario | minthitch | " + " | ".join(RIVALS) + " |",
        "| --- |" + " --- |" * (len(RIVALS) + 1),
    ]
    marks = {"better": "", "no difference": " =", "worse": " **wins**"}
    for name in names:
        cells = [
            f"{mean(rows[name, rival], 'worth'):.4f}{marks[against(rows, name, rival).word]}"
            for rival in RIVALS
        ]
        lines.append(f"| {name} | {mean(rows[name, OURS], 'worth'):.4f} | " + " | ".join(cells) + " |")
    return lines


def summary(rows: Rows, names: Sequence[str]) -> list[str]:
    """A line a chooser over all scenarios."""
    lines = [
        "| chooser | worth served | late share | attempts a request | cold pushed over | rules broken | "
        "ours better / no difference / worse |",
        "| --- | --- | --- | --- | --- | --- | --- |",
    ]
    for chooser in (OURS, *RIVALS):
        all_rows = [row for name in names for row in rows[name, chooser]]
        broken = sum(row["broken"][rule] for row in all_rows for rule in RULES)
        words = [against(rows, name, chooser).word for name in names] if chooser != OURS else []
        counts = " / ".join(str(words.count(word)) for word in ("better", "no difference", "worse"))
        lines.append(
            f"| {chooser} | {mean(all_rows, 'worth'):.4f} | {mean(all_rows, 'late_share'):.4f} | "
            f"{mean(all_rows, 'attempts_each_want'):.3f} | {sum(row['falls'] for row in all_rows)} | "
            f"{broken} | {counts if words else ''} |"
        )
    return lines


def losses(rows: Rows, names: Sequence[str]) -> list[str]:
    """Where a rival is better by its interval."""
    found = []
    for name in names:
        for rival in RIVALS:
            difference = against(rows, name, rival)
            if difference.word == "worse":
                found.append(
                    f"- {name}, {rival}: {difference.mean:+.4f} "
                    f"({difference.low:+.4f} to {difference.high:+.4f})."
                )
    return found or ["- Nowhere by these seeds."]


def document(rows: Rows, names: Sequence[str], seeds: int) -> str:
    each = [row["made_with"] for part in rows.values() for row in part]
    commits, numbers = (", ".join(sorted({made[key] for made in each})) for key in ("commit", "numpy"))
    sources = [f"- `{name}`: {rival.source}." for name, rival in RIVALS.items()]
    return "\n".join(
        [
            "# This balancer against its rivals",
            "",
            f"Made by `python -m bench.rivals --seeds {seeds}`; commit {commits}, numpy {numbers}.",
            "Each scenario is played with the same seeds by each chooser; the rest (engine, deadlines, drain",
            "guards, lists) is the same for all. Worth: of what clients wanted, what they got in time, by"
            " their",
            "first asking. With few seeds an interval is hardly more than their range.",
            "",
            *summary(rows, names),
            "",
            "## Worth served by scenario",
            "",
            "`=`: no difference by the paired 95% interval; **wins**: better than ours by it.",
            "",
            *worth_table(rows, names),
            "",
            "## Where it loses",
            "",
            *losses(rows, names),
            "",
            "## What the rivals are",
            "",
            *sources,
            "",
            "They retry as the classes allow, up to three attempts. Only `adaptive-concurrency` turns"
            " requests",
            "away by itself; as described, it does not say when to come back.",
        ]
    )


def main() -> int:
    arguments = argparse.ArgumentParser(description=__doc__)
    arguments.add_argument("--seeds", type=int, default=5)
    arguments.add_argument("--jobs", type=int, default=8)
    arguments.add_argument("--out", type=Path)
    args = arguments.parse_args()
    names = scenario.library()
    works = [
        Work(name, (), chooser, seed)
        for seed in range(1, args.seeds + 1)
        for name in names
        for chooser in (OURS, *RIVALS)
    ]
    rows: Rows = {}
    for work, row in zip(works, perform(works, args.jobs, args.out), strict=True):
        rows.setdefault((work.scenario, work.chooser), []).append(row)
    print(document(rows, names, args.seeds))
    return 0


if __name__ == "__main__":
    sys.exit(main())
