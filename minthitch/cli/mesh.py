"""`mesh`: what its operator asks of settings, folders and running processes. Arguments by cappa."""

from __future__ import annotations

import http.client
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa
from msgspec import json

from minthitch.chest.store import Kind
from minthitch.cli import catalogue, folder
from minthitch.config import ConfigError
from minthitch.press import boot

TIMEOUT = 5.0  # seconds for a running process to say what it knows
NEEDS = {  # what a process cannot do without, by what it serves
    "sidecar": ("Self.Upstream", "Self.Svc", "Net.Bind.Out", "Net.Bind.Readyz", "Net.Bind.Ctl"),
    "ctl": ("Self.Datadir", "Net.Bind.Ctl"),
}
Folder = Annotated[Path, cappa.Arg(value_name="DIR", help="Self.Datadir of a forge that is stopped")]


@dataclass
class Check:
    """Judge a settings file: exit code 0, or 2 with key and value."""

    file: Annotated[Path, cappa.Arg(help="as MINTHITCH_BOOT names it")]

    def run(self) -> int:
        try:
            found = boot.read(self.file.read_text(encoding="utf-8"))
            _check_needs(found)
        except boot.BadSettings as err:
            raise ConfigError(f"{self.file}: {err}") from None
        except (OSError, ValueError) as err:
            raise ConfigError(f"{self.file}: can't be read: {err}") from None
        own, seeds = found.own, ", ".join(found.net.seeds) or "none"
        print(f"{self.file}: good: {own.node} in {own.az} serves {', '.join(own.serves) or 'nobody'}, "
              f"lines at {own.ip}:{found.net.port_range[0]}, seeds {seeds}")
        return 0


@dataclass
class Verify:
    """Say what a data folder is: exit code 0 if it is whole, else 1."""

    folder: Folder

    def run(self) -> int:
        found = folder.look(self.folder)
        print(f"{self.folder}: {found.told()}")
        return 0 if found.kind is Kind.WHOLE else 1


@dataclass
class Log:
    """Print a data folder's log, a line for each entry: index, term, kind, what it does.

    The last entries may not be agreed: the next leader may put others in their place.
    """

    folder: Folder
    first: Annotated[int, cappa.Arg(long="--from", value_name="N", help="the first index to print")] = 0

    def run(self) -> int:
        for line in folder.log_lines(folder.whole(self.folder), self.first):
            print(line)
        return 0


@dataclass
class Items:
    """Print the configuration at the end of a data folder's log, as JSON."""

    folder: Folder

    def run(self) -> int:
        print(json.format(folder.replayed(folder.whole(self.folder)).items.fetch(), indent=2).decode())
        return 0


@dataclass
class Status:
    """Ask a running forge or vise what it knows: who leads, what is in force, servers, keys, budgets."""

    address: Annotated[str, cappa.Arg(value_name="IP:PORT", help="its Net.Bind.Ctl")]

    def run(self) -> int:
        try:
            ip, port = boot.address(self.address)
            line = http.client.HTTPConnection(ip, port, timeout=TIMEOUT)
            line.request("GET", "/Mesh.Status")
            answer = line.getresponse()
            text = answer.read()
            line.close()
        except ValueError as err:
            raise ConfigError(f"mesh status {self.address}: {err}") from None
        except (OSError, http.client.HTTPException) as err:
            raise ConfigError(f"mesh status {self.address}: {type(err).__name__}: {err}") from None
        if answer.status != 200:
            raise ConfigError(f"mesh status {self.address}: answered {answer.status}")
        print(json.format(text, indent=2).decode())
        return 0


@dataclass
class Events:
    """Print an event's entry in the catalogue, or all of them in a line each."""

    number: Annotated[str, cappa.Arg(help="as in the log: E303, or 303")] = ""

    def run(self) -> int:
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
    """Settings files and data folders of the mesh, read and never changed; the catalogue of its events."""

    word: cappa.Subcommands[Check | Status | Verify | Log | Items | Events]


def _check_needs(found: boot.Boot) -> None:
    own, bind = found.own, found.net.bind
    values = {"Self.Upstream": own.upstream, "Self.Svc": own.svc, "Self.Datadir": own.datadir,
              "Net.Bind.Out": bind.out, "Net.Bind.Readyz": bind.readyz, "Net.Bind.Ctl": bind.ctl}
    for part in own.serves:
        for key in NEEDS.get(part, ()):
            if not values[key]:
                raise boot.BadSettings(key, "", f"is missing, and what serves {part} needs it")


def main(argv: Sequence[str]) -> int:
    """Exit code 2 for words that can't be understood. Raises ConfigError."""
    output = cappa.Output(error_format="minthitch: {message}")
    try:
        mesh = cappa.parse(Mesh, argv=list(argv), output=output, completion=False)
    except cappa.Exit as end:
        return int(end.code or 0)
    try:
        return mesh.word.run()
    except BrokenPipeError:
        return 0
