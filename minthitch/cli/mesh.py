"""`mesh`: what operators ask of settings, folders and running processes, and send. Arguments by cappa."""

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

from minthitch.cli import ask, catalogue, change, folder, settings, shown
from minthitch.config import ConfigError
from minthitch.mesh.configuration.settings import SettingsError, parse_settings
from minthitch.mesh.storage.store import Condition

Folder = Annotated[Path, cappa.Arg(value_name="DIR", help="Self.Datadir of a control node that is stopped")]
Address = Annotated[str, cappa.Arg(value_name="IP:PORT", help="Net.Bind.Ctl of any control node")]
Addresses = Annotated[
    list[str], cappa.Arg(value_name="IP:PORT", num_args=-1, required=True, help="their Net.Bind.Ctl")
]
ConfigFile = Annotated[Path, cappa.Arg(value_name="FILE", help="a body of Config.Patch")]
AsJson = Annotated[bool, cappa.Arg(long="--json", help="for programs")]


@dataclass
class Check:
    """Judge a settings file by the program that will run it: exit code 0, with warnings, or 2."""

    file: Annotated[Path, cappa.Arg(help="as MINTHITCH_BOOT names it")]

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
    """Say what a data folder is: exit code 0 if it is intact, else 1."""

    folder: Folder

    def run(self) -> int:
        """Run it; returns the exit code."""
        found = folder.inspect(self.folder)
        print(f"{self.folder}: {found.description()}")
        return 0 if found.condition is Condition.INTACT else 1


@dataclass
class Log:
    """Print a data folder's log, a line for each entry: index, term, kind, what it does.

    The last entries may not be agreed: the next leader may put others in their place.
    """

    folder: Folder
    first: Annotated[int, cappa.Arg(long="--from", value_name="N", help="the first index to print")] = 0

    def run(self) -> int:
        """Run it; returns the exit code."""
        for line in folder.log_lines(folder.intact_folder(self.folder), self.first):
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
                folder.replayed_state(folder.intact_folder(self.folder)).items.fetch(), indent=2
            ).decode()
        )
        return 0


@dataclass
class _Calls:
    """What is asked of running processes' status, shown as a table or, for programs, as JSON."""

    addresses: Addresses
    as_json: AsJson = False
    table: ClassVar[Callable[[shown.Statuses], list[str]]]

    def run(self) -> int:
        """Run it. Exit code 2 where one of them did not answer, after what the others told."""
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
class Status(_Calls):
    """Ask running control nodes and sidecars what they know: one table; all there is with --json."""

    table = shown.status


@dataclass
class Keys(_Calls):
    """Claims at the control nodes, operations by state at the sidecars."""

    table = shown.keys


@dataclass
class Budget(_Calls):
    """Further arrivals: what each sidecar has spent and has left for each service, largest spender first."""

    table = shown.budget


@dataclass
class Trace:
    """Let sidecars keep the steps of each request for `mesh explain`, which costs time and memory."""

    addresses: Addresses
    seconds: Annotated[int, cappa.Arg(long=True, value_name="N", help="for so long; 0 ends it now")] = 60

    def run(self) -> int:
        """Run it; returns the exit code."""
        for address in self.addresses:
            answer = ask.ask(address, "POST", f"/Mesh.Trace/{self.seconds}")
            if answer.status != HTTPStatus.OK:
                raise ConfigError(f"mesh trace {address}: answered {answer.error()}")
            print(f"{address}: traces for {self.seconds} s" if self.seconds else f"{address}: traces no more")
        return 0


@dataclass
class Explain:
    """Tell the course of one request: why this set, this refusal, this claim. First `mesh trace`."""

    ident: Annotated[str, cappa.Arg(value_name="ID", help="its X-Request-Id")]
    addresses: Addresses
    as_json: AsJson = False

    def run(self) -> int:
        """Run it. Exit code 1 where none of the sidecars knows it."""
        path, known = f"/Mesh.Explain/{quote(self.ident, safe='')}", 0
        for address in self.addresses:
            answer = ask.ask(address, "GET", path)
            if answer.status == HTTPStatus.OK:
                known += 1
                print(
                    json.format(answer.body, indent=2).decode()
                    if self.as_json
                    else "\n".join(shown.request_lines(json.decode(answer.body)))
                )
            else:
                print(f"minthitch: mesh: {address}: {answer.error()}", file=sys.stderr)
        return 0 if known else 1


@dataclass
class Snapshot:
    """Write the whole configuration as the leader knows it, with its index: `mesh patch` takes the file."""

    address: Address
    file: Annotated[Path, cappa.Arg(value_name="FILE", help="is replaced whole, or left as it was")]

    def run(self) -> int:
        """Run it; returns the exit code."""
        index, body = change.fetch_with_index(self.address)
        change.write_atomically(self.file, json.format(body, indent=2) + b"\n")
        print(f"{self.file}: configuration {index}, {len(change.item_changes(body))} items")
        return 0


@dataclass
class Diff:
    """Say what a configuration file would change: + new, ~ changed, - taken away, = too old, ! refused."""

    file: ConfigFile
    address: Address

    def run(self) -> int:
        """Run it. Exit code 0 where it would change nothing, 1 where it would, 2 where it is invalid."""
        body = change.read(self.file)
        if _complain_of(self.file, body):
            return 2
        index, standing = change.fetch_with_index(self.address)
        lines = change.differences(body, standing)
        print("\n".join([f"against configuration {index}: {len(lines) or 'no'} differences", *lines]))
        return 1 if lines else 0


@dataclass
class Patch:
    """Send a configuration file, judged here first by the control nodes' own checks, and tell the verdict."""

    address: Address
    file: ConfigFile
    retry: Annotated[
        int,
        cappa.Arg(long=True, value_name="N", help="send it so many times more while its answer is unclear"),
    ] = 0

    def run(self) -> int:
        """Run it. Exit code 0 for agreed, 1 refused, 2 invalid and not sent, 3 unclear."""
        body = change.read(self.file)
        if _complain_of(self.file, body):
            return 2
        for left in range(max(self.retry, 0), -1, -1):
            answer = change.send(self.address, body)
            code, line = change.verdict(answer)
            print(line, file=sys.stdout if code == change.COMMITTED else sys.stderr)
            if code != change.UNCLEAR or not left:
                break
            time.sleep(change.retry_delay(answer))
        return code


def _complain_of(file: Path, body: bytes) -> bool:
    """Whether there is something to report_config_error of: one line each."""
    lines = change.problems(body)
    for line in lines:
        print(f"minthitch: {file}: {line}", file=sys.stderr)
    return bool(lines)


@dataclass
class Events:
    """Print an event's entry in the catalogue, or all of them in a line each."""

    number: Annotated[str, cappa.Arg(help="as in the log: E303, or 303")] = ""

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
    """The mesh's settings files, running processes, configuration and data folders; its events."""

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
    """Exit code 2 for words that can't be understood. Raises ConfigError."""
    one_line = Console(file=sys.stderr, soft_wrap=True)  # whatever the terminal's width
    output = cappa.Output(error_format="minthitch: {message}", error_console=one_line)
    try:
        mesh = cappa.parse(Mesh, argv=list(argv), output=output, completion=False)
    except cappa.Exit as end:
        return int(end.code or 0)
    try:
        return mesh.subcommand.run()
    except BrokenPipeError:
        return 0
