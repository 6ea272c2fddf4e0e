"""`fleet count`: counts over all nodes of a fleet, from their trace logs."""

from __future__ import annotations

import argparse
from pathlib import Path
from typing import Any

from minthitch.config import ConfigError
from minthitch.fleet.count import count
from minthitch.fleet.report import lines

MIN_WINDOW, MAX_WINDOW = 0.1, 3_600.0


def add_to(commands: Any) -> None:
    """Add the command's arguments."""
    subcommands = commands.add_parser("fleet", help="analyse the logs of many nodes").add_subparsers(
        dest="subcommand", required=True
    )
    counted = subcommands.add_parser(
        "count", help="count sends, ends and refusals over all nodes that ran `traced`"
    )
    counted.add_argument("folder", help="folder with one log for each node, NAME.log")
    counted.add_argument(
        "--window", type=float, default=1.0, metavar="S", help="seconds for each output line (1)"
    )
    counted.add_argument("--servers", action="store_true", help="also print the windows of each server")


def main(args: argparse.Namespace) -> int:
    """Run the command. Raises ConfigError where there is nothing to count."""
    if not MIN_WINDOW <= args.window <= MAX_WINDOW:
        raise ConfigError(f"--window {args.window} is not from {MIN_WINDOW} to {MAX_WINDOW}")
    try:
        logs = {
            path.stem: path.read_text(errors="replace").splitlines()
            for path in sorted(Path(args.folder).glob("*.log"))
        }
    except OSError as err:
        raise ConfigError(f"folder {args.folder}: {err.strerror}") from None
    fleet = count(logs, args.window)
    if not fleet.nodes:
        raise ConfigError(f"folder {args.folder}: no log of a node that ran `traced`")
    for line in lines(fleet, args.servers):
        print(line)
    return 0
