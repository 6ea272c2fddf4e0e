"""`lab`: runs scenarios in virtual time. Defines arguments and output; `minthitch.lab` does the work."""

from __future__ import annotations

import argparse
import asyncio
import sys
from collections.abc import Callable, Iterable, Sequence
from pathlib import Path
from typing import Any

from minthitch.cli import lab_mesh_days
from minthitch.config import ConfigError

MAX_SEEDS = 10_000


def add_to(commands: Any) -> None:
    """Add the command's arguments."""
    lab = commands.add_parser("lab", help="run scenarios in virtual time, and load real nodes (extra `lab`)")
    subcommands = lab.add_subparsers(dest="subcommand", required=True)
    subcommands.add_parser("list", help="list the built-in scenarios and what each expects")
    run = subcommands.add_parser("run", help="run a scenario with one or more seeds")
    _add_run_arguments(run)
    run.add_argument("--chooser", default="minthitch", help="minthitch, or one of `lab rivals`")
    run.add_argument("--html", type=Path, metavar="FILE", help="write an HTML page of the runs")
    subcommands.add_parser("rivals", help="list the policies to compare with, and where each is described")
    sweep = subcommands.add_parser("sweep", help="run every combination of several values")
    _add_run_arguments(sweep)
    sweep.add_argument("--over", action="append", default=[], metavar="KEY=A,B,C", required=True)
    sweep.add_argument("--chooser", default="minthitch")
    compare = subcommands.add_parser("compare", help="compare two choosers over the same seeds")
    compare.add_argument("a")
    compare.add_argument("b")
    _add_run_arguments(compare, several=True)
    compare.add_argument("--html", type=Path, metavar="FILE", help="write an HTML page of both")
    bisect = subcommands.add_parser("bisect", help="find the rate at which worth falls below a target")
    _add_run_arguments(bisect)
    bisect.add_argument("--chooser", default="minthitch")
    bisect.add_argument("--low", type=float, required=True)
    bisect.add_argument("--high", type=float, required=True)
    bisect.add_argument("--aim", type=float, default=0.99)
    bisect.add_argument("--steps", type=int, default=6)
    replay = subcommands.add_parser("replay", help="print the events of one request and its retries")
    replay.add_argument("scenario")
    replay.add_argument("seed", type=int)
    replay.add_argument("--want", type=int, default=1, help="its number, in order of arrival (1)")
    replay.add_argument("--set", action="append", default=[], metavar="KEY=VALUE", dest="changes")
    replay.add_argument("--chooser", default="minthitch")
    hunt = subcommands.add_parser("hunt", help="search generated days for one that fails its check")
    hunt.add_argument("family", help="calm, roll, herd, zone, split, join; or all")
    hunt.add_argument("--seeds", type=int, default=20, metavar="N", help="days for each family (20)")
    hunt.add_argument(
        "--from", type=int, default=1, metavar="SEED", dest="first", help="seed of the first day (1)"
    )
    hunt.add_argument("--jobs", type=int, default=1, metavar="N", help="processes")
    hunt.add_argument(
        "--keep",
        type=Path,
        metavar="DIR",
        help="write the worst failing day there, reduced",
    )
    lab_mesh_days.add_to(subcommands)
    _add_load(subcommands)


def _add_load(subcommands: Any) -> None:
    load = subcommands.add_parser("load", help="load a real node (open loop) and check every answer")
    load.add_argument("url", help="http://ADDRESS:PORT of the node's listener")
    load.add_argument("scenario")
    load.add_argument("--set", action="append", default=[], metavar="KEY=VALUE", dest="changes")
    load.add_argument("--seed", type=int, default=1)
    load.add_argument(
        "--allow-host",
        action="append",
        default=[],
        metavar="ADDRESS",
        help="an address other than loopback that may be loaded",
    )


def _add_run_arguments(command: argparse.ArgumentParser, several: bool = False) -> None:
    command.add_argument(
        "scenario", nargs="+" if several else None, help="a .toml file, or a name from `lab list`"
    )
    command.add_argument(
        "--set",
        action="append",
        default=[],
        metavar="KEY=VALUE",
        dest="changes",
        help="override a key: load.rate=200, tiers.0.servers=40",
    )
    command.add_argument("--seeds", type=int, default=1, metavar="N", help="seeds 1 to N")
    command.add_argument("--jobs", type=int, default=1, metavar="N", help="processes")
    command.add_argument(
        "--out", type=Path, metavar="DIR", help="keep results there; runs with a result there are skipped"
    )


def _progress(rows: Iterable[Any], count: int) -> Iterable[Any]:
    """Show a progress bar if stderr is a terminal."""
    if count <= 1 or not sys.stderr.isatty():
        return rows
    from rich.console import Console
    from rich.progress import track

    return track(rows, description="runs", total=count, console=Console(stderr=True))


def _result_line(row: dict[str, Any]) -> str:
    broken = sum(row["broken"].values())
    changes = " ".join(row["changes"])
    name = f"{row['scenario']}  {row['chooser']}  seed {row['seed']}{'  ' + changes if changes else ''}"
    return (
        f"{name}: worth {row['worth']:.4f}, {row['wants']} wants, {row['late']} late, "
        f"{row['unserved']} unserved, "
        f"{row['attempts_each_want']:.3f} attempts a request, {row['falls']} falls, "
        f"{broken} breaches  [{row['digest'][:8]}]"
    )


def _check_seeds(args: argparse.Namespace) -> None:
    if not 1 <= args.seeds <= MAX_SEEDS:
        raise ConfigError(f"--seeds {args.seeds} is not from 1 to {MAX_SEEDS}")


def _work_items(
    args: argparse.Namespace, changes: Sequence[tuple[str, ...]], chooser: str, scenario: str = ""
) -> list[Any]:
    from minthitch.lab.experiment import Work
    from minthitch.lab.run import CHOOSERS

    _check_seeds(args)
    if chooser not in CHOOSERS:
        raise ConfigError(f"--chooser {chooser!r} is not one of {', '.join(CHOOSERS)}")
    return [
        Work(scenario or args.scenario, row, chooser, seed)
        for row in changes
        for seed in range(1, args.seeds + 1)
    ]


def _list(_args: argparse.Namespace) -> int:
    from minthitch.lab import scenario

    for name in scenario.library():
        made = scenario.read(name)
        print(f"{name}: {made.about}\n    expected: {made.expect}")
    return 0


def _rivals(_args: argparse.Namespace) -> int:
    from minthitch.lab.rivals.choosers import RIVALS

    for name, rival in RIVALS.items():
        print(f"{name}: {rival.source}")
    return 0


def _run(args: argparse.Namespace) -> int:
    from minthitch.lab import scenario
    from minthitch.lab.experiment import perform

    rows = perform(_work_items(args, [tuple(args.changes)], args.chooser), args.jobs, args.out, _progress)
    for row in rows:
        print(_result_line(row))
        for line in row["breaches"]:
            print(f"    {line}")
    if args.html is not None:
        from minthitch.lab import report

        made = scenario.read(args.scenario, args.changes)
        report.write(args.html, f"{args.scenario}: {args.chooser}", made.about, made.expect, rows)
    return 1 if any(sum(row["broken"].values()) for row in rows) else 0


def _sweep(args: argparse.Namespace) -> int:
    from minthitch.lab.experiment import grid, perform
    from minthitch.lab.statistics import interval

    rows = [(*args.changes, *row) for row in grid(args.over)]
    played = perform(_work_items(args, rows, args.chooser), args.jobs, args.out, _progress)
    for i, row in enumerate(rows):
        plays = played[i * args.seeds : (i + 1) * args.seeds]
        mean, low, high = interval([each["worth"] for each in plays])
        broken = sum(sum(each["broken"].values()) for each in plays)
        print(f"{' '.join(row)}: worth {mean:.4f} ({low:.4f} to {high:.4f}), {broken} breaches")
    return 0


def _compare(args: argparse.Namespace) -> int:
    from minthitch.lab.experiment import perform
    from minthitch.lab.statistics import paired

    drawn: list[dict[str, Any]] = []
    for name in args.scenario:
        sides = [
            perform(_work_items(args, [tuple(args.changes)], chooser, name), args.jobs, args.out, _progress)
            for chooser in (args.a, args.b)
        ]
        comparison = paired(*([row["worth"] for row in rows] for rows in sides))
        means = [sum(row["worth"] for row in rows) / len(rows) for rows in sides]
        print(
            f"{name}: {args.a} {means[0]:.4f}, {args.b} {means[1]:.4f}: {args.b} is {comparison.word} "
            f"({comparison.mean:+.4f}, {comparison.low:+.4f} to {comparison.high:+.4f}, "
            f"{comparison.pairs} pairs)"
        )
        drawn += [rows[0] for rows in sides]
    if args.html is not None:
        from minthitch.lab import report, scenario

        made = scenario.read(args.scenario[0], args.changes)
        title = f"{args.a} and {args.b}: {', '.join(args.scenario)}"
        report.write(args.html, title, made.about, made.expect, drawn)
    return 0


def _bisect(args: argparse.Namespace) -> int:
    from minthitch.lab.experiment import bisect

    if not 0 < args.low < args.high:
        raise ConfigError(f"--low {args.low} --high {args.high} are not a range above 0")
    seeds = [work.seed for work in _work_items(args, [()], args.chooser)]
    seen = bisect(
        args.scenario,
        tuple(args.changes),
        args.chooser,
        seeds,
        args.low,
        args.high,
        args.aim,
        args.steps,
        args.jobs,
    )
    for rate, served_value in seen:
        print(f"rate {rate:.1f}: worth {served_value:.4f}")
    good = [rate for rate, served_value in seen if served_value >= args.aim]
    bad = [rate for rate, served_value in seen if served_value < args.aim]
    if not good or not bad:
        print(
            f"the aim {args.aim} is {'held up to' if good else 'missed from'} "
            f"{max(good) if good else min(bad):.1f}: give another range"
        )
        return 1
    print(f"the aim {args.aim} is missed between {max(good):.1f} and {min(bad):.1f}")
    return 0


def _replay(args: argparse.Namespace) -> int:
    from minthitch.lab.replay import story

    for line in story(args.scenario, args.changes, args.seed, args.chooser, args.want):
        print(line)
    return 0


def _load(args: argparse.Namespace) -> int:
    from minthitch.lab import scenario
    from minthitch.lab.load import drive

    made = scenario.read(args.scenario, args.changes)
    result = asyncio.run(drive(args.url, made, args.seed, args.allow_host))
    for line in result.lines():
        print(line)
    return 1 if result.wrong else 0


def _hunt(args: argparse.Namespace) -> int:
    from minthitch.lab.drawn import FAMILIES
    from minthitch.lab.trial import keep, search

    if args.family != "all" and args.family not in FAMILIES:
        raise ConfigError(f"hunt {args.family!r} is not one of all, {', '.join(FAMILIES)}")
    _check_seeds(args)
    failed = 0
    for family in FAMILIES if args.family == "all" else [args.family]:
        hunt = search(family, args.seeds, args.first, args.jobs)
        failed += len(hunt.failed())
        margins = sorted(play.verdict.margin for play in hunt.plays if play.verdict is not None)
        print(
            f"{family}: {len(hunt.plays)} days, {len(hunt.failed())} fail the gate, "
            f"{len(hunt.seen)} states of faults met; margin least {margins[0]:+.3f}, "
            f"median {margins[len(margins) // 2]:+.3f}"
        )
        for play in hunt.worst():
            if play.verdict is not None and not play.verdict.passed:
                print(f"    day {play.number} (seed {play.seed}): {'; '.join(play.verdict.reasons)}")
        if args.keep is not None and hunt.failed():
            print(f"    kept: {keep(hunt, args.keep)}")
    return 1 if failed else 0


HANDLERS: dict[str, Callable[[argparse.Namespace], int]] = {
    "list": _list,
    "rivals": _rivals,
    "run": _run,
    "sweep": _sweep,
    "compare": _compare,
    "bisect": _bisect,
    "replay": _replay,
    "load": _load,
    "hunt": _hunt,
    "mesh-days": lab_mesh_days.main,
}


def main(args: argparse.Namespace) -> int:
    """Run one of the subcommands.

    Raises:
        ConfigError: the arguments are invalid, or the extra `lab` is missing.
    """
    try:
        return HANDLERS[args.subcommand](args)
    except ModuleNotFoundError as err:
        raise ConfigError(
            f"`lab {args.subcommand}` needs the extra `lab`: {err.name} is not installed"
        ) from None
    except BrokenPipeError:
        return 0
