"""`recovery`: shows what a node restored from its snapshot at its start, and inspects snapshot files."""

from __future__ import annotations

import argparse
import http.client
import itertools
import json
import os
import time
from http import HTTPStatus
from pathlib import Path
from typing import Any

from minthitch.config import ConfigError
from minthitch.listing import ListError, parse_address

REQUEST_TIMEOUT_S = 5.0
MAX_ANSWER_BYTES = 1024 * 1024


def add_to(commands: Any) -> None:
    """Add the command's arguments."""
    recovery = commands.add_parser(
        "recovery", help="inspect the snapshots that nodes restore from after a crash (extra `recovery`)"
    )
    subcommands = recovery.add_subparsers(dest="subcommand", required=True)
    for command, what in (
        ("status", "print the state of a node's snapshots in one line"),
        ("explain", "print what a node restored at its start, what it discarded, and why"),
    ):
        asked = subcommands.add_parser(command, help=what)
        asked.add_argument("address", metavar="ADDRESS:PORT", help="the node's operator listener")
    plot = subcommands.add_parser("plot", help="write an HTML page of a recovery from the nodes' logs")
    plot.add_argument("logs", type=Path, nargs="+", metavar="LOG")
    plot.add_argument("--out", type=Path, required=True, metavar="PAGE")
    plot.add_argument(
        "--by-start", action="store_true", help="align the nodes by their starts instead of their clocks"
    )
    inspect = subcommands.add_parser(
        "inspect", help="check a snapshot file: exit code 0, or 2 with the fault"
    )
    inspect.add_argument("file", type=Path)
    inspect.add_argument("--json", action="store_true", help="print the whole content as JSON")
    forget = subcommands.add_parser(
        "forget", help="remove a node's snapshots, so that its next start is cold"
    )
    forget.add_argument("folder", type=Path)
    forget.add_argument("--node", required=True, help="the node's name")


def main(args: argparse.Namespace) -> int:
    """Run one of the subcommands. Raises ConfigError."""
    if args.subcommand == "inspect":
        return _inspect(args.file, args.json)
    if args.subcommand == "forget":
        return _forget(args.folder, args.node)
    if args.subcommand == "plot":
        return _plot(args.logs, args.out, args.by_start)
    page = _fetch_page(args.address)
    if args.subcommand == "status":
        ago = page["written_s_ago"]
        last = "none written yet" if ago is None else f"{ago:.1f} s ago"
        failing = f", {page['failures']} writes failed" if page["failures"] else ""
        up = f"up {page['up_s']:.0f} s, generation {page['generation']}"
        phase = f"{page['phase']} for {page['phase_s']:.1f} s"
        print(f"{page['node']}: {phase}, {up}, last {last}{failing}")
        return 0
    age = page["age_s"]
    print(
        f"{page['node']} of {page['cluster']}: "
        + ("nothing was taken" if age is None else f"a snapshot {age:.1f} s old at its start")
    )
    print(f"  {page['phase']} for {page['phase_s']:.1f} s: {page['phase_why']}")
    for verdict in page["verdicts"]:
        print(f"  {verdict['part']}: {'taken' if verdict['taken'] else 'not taken'}: {verdict['why']}")
    for line in page["said"]:
        print(f"  log: {line}")
    return 0


def _fetch_page(address: str) -> dict[str, Any]:
    try:
        host, port = parse_address(address)
        connection = http.client.HTTPConnection(host, port, timeout=REQUEST_TIMEOUT_S)
        connection.request("GET", "/recovery")
        answer = connection.getresponse()
        page = json.loads(answer.read(MAX_ANSWER_BYTES))
    except ListError as err:
        raise ConfigError(f"recovery {address!r}: {err}") from None
    except (OSError, http.client.HTTPException, ValueError) as err:
        raise ConfigError(f"recovery {address!r}: no readable answer ({err})") from None
    if answer.status != HTTPStatus.OK or not isinstance(page, dict):
        raise ConfigError(f"recovery {address!r}: {answer.status}: {page.get('error', page)}")
    return page


def _plot(logs: list[Path], out: Path, by_start: bool) -> int:
    from minthitch.recovery.plot import render_page
    from minthitch.recovery.progress import parse_log

    try:
        found = parse_log(
            itertools.chain.from_iterable(path.read_text(errors="replace").splitlines() for path in logs)
        )
        if not found:
            raise ConfigError(f"recovery plot {os.fspath(logs[0])!r}: no node's log contains a recovery")
        out.write_text(render_page(found, by_start))
    except OSError as err:
        raise ConfigError(f"recovery plot: {err}") from None
    print(f"{out}: {len(found)} nodes, {sum(map(len, found.values()))} seconds")
    return 0


def _inspect(path: Path, complete: bool) -> int:
    from minthitch.recovery.frame import MAX_BODY_BYTES, FrameError, decode

    try:
        with open(path, "rb") as file:
            snapshot = decode(file.read(MAX_BODY_BYTES + 64))
    except (OSError, FrameError) as err:
        raise ConfigError(f"{path}: {err}") from None
    if complete:
        import msgspec

        print(json.dumps(msgspec.to_builtins(snapshot), indent=2))
        return 0
    age = (time.time_ns() - snapshot.wall) / 1e9
    print(
        f"{path}: good: node {snapshot.node} of {snapshot.cluster}, generation {snapshot.generation}, "
        f"{age:.1f} s old by this clock, {len(snapshot.classes)} classes, {len(snapshot.kinds)} kinds, "
        f"{snapshot.rate:.2f} calls a second of a warm server, {len(snapshot.hosts)} servers in its list"
    )
    return 0


def _forget(folder: Path, node: str) -> int:
    from minthitch.recovery.store import Store

    if not folder.is_dir():
        raise ConfigError(f"recovery forget {os.fspath(folder)!r}: not a folder")
    try:
        print(f"{node}: {Store(folder, node).forget()} snapshots removed")
    except OSError as err:
        raise ConfigError(f"recovery forget {os.fspath(folder)!r}: {err}") from None
    return 0
