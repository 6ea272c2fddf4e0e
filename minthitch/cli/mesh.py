"""`mesh`: commands for settings files, data folders and running processes. cappa parses the arguments."""

from __future__ import annotations

import sys
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from http import HTTPStatus
from pathlib import Path
from typing import Annotated, ClassVar
from urllib.parse import quote

import cappa
from msgspec import json
from rich.console import Console

from minthitch.cli import ask, catalogue, change, data_folder, formatting, settings
from minthitch.config import ConfigError
from minthitch.mesh.configuration.settings import SettingsError, parse_settings
from minthitch.mesh.storage.store import Condition

Folder = Annotated[Path, cappa.Arg(value_name="DIR", help="Self.Datadir of a control node that is stopped")]
Address = Annotated[str, cappa.Arg(value_name="IP:PORT", help="Net.Bind.Ctl of any control node")]
Addresses = Annotated[
    list[str],
    cappa.Arg(value_name="IP:PORT", num_args=-1, required=True, help="Net.Bind.Ctl of each process"),
]
ConfigFile = Annotated[Path, cappa.Arg(value_name="FILE", help="a body of Config.Patch")]
AsJson = Annotated[bool, cappa.Arg(long="--json", help="print JSON")]


@dataclass
class Check:
    """Check a settings file: exit code 0, perhaps with warnings, or 2."""

    file: Annotated[Path, cappa.Arg(help="the file that MINTHITCH_BOOT names")]

    def run(self) -> int:
        """Run it; returns the exit code."""
        try:
            text = self.file.read_text(encoding="utf-8")
            found = parse_settings(text)
            settings.check(found)
        except SettingsError as err:
            raise ConfigError(f"{self.file}: {err}") from None
        except (OSError, ValueError) as err:
            raise ConfigError(f"{self.file}: can't be read: {err}") from None
        for line in settings.warnings(found, text):
            print(f"minthitch: {self.file}: warning: {line}", file=sys.stderr)
        own, seeds = found.own, ", ".join(found.net.seeds) or "none"
        print(
            f"{self.file}: good: {own.node} in {own.az} serves {', '.join(own.serves) or 'nobody'}, "
            f"lines at {own.ip}:{found.net.port_range[0]}, seeds {seeds}"
        )
        return 0


@dataclass
class Verify:
    """Print the condition of a data folder: exit code 0 if it is intact, else 1."""

    folder: Folder

    def run(self) -> int:
        """Run it; returns the exit code."""
        found = data_folder.inspect(self.folder)
        print(f"{self.folder}: {found.description()}")
        return 0 if found.condition is Condition.INTACT else 1


@dataclass
class Log:
    """Print a data folder's log, a line for each entry: index, term, kind, what it does.

    The last entries may not be committed: the next leader may replace them.
    """

    folder: Folder
    first: Annotated[int, cappa.Arg(long="--from", value_name="N", help="the first index to print")] = 0

    def run(self) -> int:
        """Run it; returns the exit code."""
        for line in data_folder.log_lines(data_folder.intact_folder(self.folder), self.first):
            print(line)
        return 0


@dataclass
class Items:
    """Print the configuration at the end of a data folder's log, as JSON."""

    folder: Folder

    def run(self) -> int:
        """Run it; returns the exit code."""
        print(
            json.format(
                data_folder.replayed_state(data_folder.intact_folder(self.folder)).items.fetch(), indent=2
            ).decode()
        )
        return 0


@dataclass
class _StatusCommand:
    """Base of the commands that fetch the status of running processes and print a table, or JSON."""

    addresses: Addresses
    as_json: AsJson = False
    table: ClassVar[Callable[[formatting.Statuses], list[str]]]

    def run(self) -> int:
        """Run it. Exit code 2 if a process did not answer; the others' status is printed first."""
        found, silent = ask.tables(self.addresses, "/Mesh.Status")
        if self.as_json and found:
            one = found[self.addresses[0]] if len(self.addresses) == 1 else found
            print(json.format(json.encode(one), indent=2).decode())
        elif found:
            print("\n".join(type(self).table(found)))
        for line in silent:
            print(f"minthitch: mesh: {line}", file=sys.stderr)
        return 2 if silent else 0


@dataclass
class Status(_StatusCommand):
    """Print the status of running control nodes and sidecars in one table; every field with --json."""

    table = formatting.status


@dataclass
class Keys(_StatusCommand):
    """Print the claims at control nodes, and the operations by state at sidecars."""

    table = formatting.keys


@dataclass
class Budget(_StatusCommand):
    """Print the retry budget spent and left at each sidecar for each service, largest spender first."""

    table = formatting.budget


@dataclass
class Trace:
    """Make sidecars record the steps of each request for `mesh explain`, which costs time and memory."""

    addresses: Addresses
    seconds: Annotated[
        int, cappa.Arg(long=True, value_name="N", help="duration in seconds; 0 stops it now")
    ] = 60

    def run(self) -> int:
        """Run it; returns the exit code."""
        for address in self.addresses:
            answer = ask.ask(address, "POST", f"/Mesh.Trace/{self.seconds}")
            if answer.status != HTTPStatus.OK:
                raise ConfigError(f"mesh trace {address}: answered {answer.error()}")
            print(
                f"{address}: tracing for {self.seconds} s" if self.seconds else f"{address}: tracing stopped"
            )
        return 0


@dataclass
class Explain:
    """Print the steps of one request: its servers, refusal or claim, and why. Needs `mesh trace` before."""

    ident: Annotated[str, cappa.Arg(value_name="ID", help="X-Request-Id of the request")]
    addresses: Addresses
    as_json: AsJson = False

    def run(self) -> int:
        """Run it. Exit code 1 if none of the sidecars knows the request."""
        path, known = f"/Mesh.Explain/{quote(self.ident, safe='')}", 0
        for address in self.addresses:
            answer = ask.ask(address, "GET", path)
            if answer.status == HTTPStatus.OK:
                known += 1
                print(
                    json.format(answer.body, indent=2).decode()
                    if self.as_json
                    else "\n".join(formatting.request_lines(json.decode(answer.body)))
                )
            else:
                print(f"minthitch: mesh: {address}: {answer.error()}", file=sys.stderr)
        return 0 if known else 1


@dataclass
class Snapshot:
    """Write the leader's whole configuration, with its index, to a file that `mesh patch` accepts."""

    address: Address
    file: Annotated[Path, cappa.Arg(value_name="FILE", help="file to write; it is replaced atomically")]

    def run(self) -> int:
        """Run it; returns the exit code."""
        index, body = change.fetch_with_index(self.address)
        change.write_atomically(self.file, json.format(body, indent=2) + b"\n")
        print(f"{self.file}: configuration {index}, {len(change.item_changes(body))} items")
        return 0


@dataclass
class Diff:
    """Print what a configuration file would change: + new, ~ changed, - deleted, = too old, ! refused."""

    file: ConfigFile
    address: Address

    def run(self) -> int:
        """Run it. Exit code 0 if the file would change nothing, 1 if it would, 2 if it is invalid."""
        body = change.read(self.file)
        if _print_problems(self.file, body):
            return 2
        index, present = change.fetch_with_index(self.address)
        lines = change.differences(body, present)
        print("\n".join([f"against configuration {index}: {len(lines) or 'no'} differences", *lines]))
        return 1 if lines else 0


@dataclass
class Patch:
    """Check a configuration file as the control nodes do, send it, and print the outcome."""

    address: Address
    file: ConfigFile
    retry: Annotated[
        int,
        cappa.Arg(long=True, value_name="N", help="send it up to N times more while the outcome is unclear"),
    ] = 0

    def run(self) -> int:
        """Run it. Exit code 0 for committed, 1 refused, 2 invalid and not sent, 3 unclear."""
        body = change.read(self.file)
        if _print_problems(self.file, body):
            return 2
        for left in range(max(self.retry, 0), -1, -1):
            answer = change.send(self.address, body)
            code, line = change.verdict(answer)
            print(line, file=sys.stdout if code == change.COMMITTED else sys.stderr)
            if code != change.UNCLEAR or not left:
                break
            time.sleep(change.retry_delay(answer))
        return code


def _print_problems(file: Path, body: bytes) -> bool:
    """Print each problem of the file on a line; returns whether there are any."""
    lines = change.problems(body)
    for line in lines:
        print(f"minthitch: {file}: {line}", file=sys.stderr)
    return bool(lines)


@dataclass
class Events:
    """Print an event's entry in the catalogue, or all events, one on a line."""

    number: Annotated[str, cappa.Arg(help="number as in the log: E303 or 303")] = ""

    def run(self) -> int:
        """Run it; returns the exit code."""
        try:
            entries = catalogue.read(catalogue.FILE.read_text(encoding="utf-8"))
        except OSError as err:
            raise ConfigError(f"mesh events: no catalogue beside this program: {err}") from None
        if not self.number:
            print("\n".join(f"E{entry.number} {entry.level}: {entry.says}" for entry in entries))
            return 0
        found = [entry for entry in entries if str(entry.number) == self.number.upper().removeprefix("E")]
        if not found:
            raise ConfigError(f"mesh events {self.number!r}: no such event")
        print(found[0].shown())
        return 0


@cappa.command(name="python -m minthitch mesh")
@dataclass
class Mesh:
    """Commands for the mesh's settings files, running processes, configuration, data folders and events."""

    subcommand: cappa.Subcommands[
        Check
        | Status
        | Keys
        | Budget
        | Trace
        | Explain
        | Snapshot
        | Diff
        | Patch
        | Verify
        | Log
        | Items
        | Events
    ]


def main(argv: Sequence[str]) -> int:
    """Run one command; exit code 2 for invalid arguments. Raises ConfigError."""
    one_line = Console(file=sys.stderr, soft_wrap=True)  # no wrapping at the terminal's width
    output = cappa.Output(error_format="minthitch: {message}", error_console=one_line)
    try:
        mesh = cappa.parse(Mesh, argv=list(argv), output=output, completion=False)
    except cappa.Exit as end:
        return int(end.code or 0)
    try:
        return mesh.subcommand.run()
    except BrokenPipeError:
        return 0
