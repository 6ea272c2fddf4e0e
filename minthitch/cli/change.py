"""A configuration file on its way to the control nodes: judged offline, compared with what stands, sent,
fetched.
"""

from __future__ import annotations

import os
import re
import tempfile
from collections.abc import Iterator
from pathlib import Path
from typing import Any, NamedTuple

from msgspec import DecodeError, json

from minthitch.cli.ask import Silence, Told, ask
from minthitch.config import ConfigError
from minthitch.mesh.configuration.items import Items, Verdict
from minthitch.mesh.configuration.schema import ROUTES, SERVICES

AGREED, REFUSED, UNCLEAR = 0, 1, 3  # exit codes of a change
PAUSE = 0.25  # seconds before a change is sent again, unless its answer names more
PATH = re.compile(r"(?P<why>.*) - at `\$\.?(?P<key>.*)`$")
KEY = re.compile(r"(?P<key>[A-Z]\w*): (?P<why>.*)$")
Item = dict[str, Any]


class Part(NamedTuple):
    """One item of a file; `drops`: the file takes it away."""

    section: str
    name: str
    item: Item
    drops: bool
    listed: bool

    @property
    def label(self) -> str:
        return f"{'-' if self.drops else ''}{self.section} {self.name}".rstrip()

    def call(self) -> Item:
        return {"Del" if self.drops else "Upsert": {self.section: [self.item] if self.listed else self.item}}


def read(path: Path) -> bytes:
    """A file's bytes, where its form is that of a call. Raises ConfigError."""
    try:
        body = path.read_bytes()
    except OSError as err:
        raise ConfigError(f"{path}: can't be read: {err}") from None
    verdict = Items().judge(body)
    if not verdict.ok and verdict.why.startswith("call:"):
        raise ConfigError(f"{path}: {verdict.why}")
    return body


def parts(body: bytes) -> list[Part]:
    """The items that a call brings; what is no item is left to the checks."""
    call = json.decode(body)
    found = []
    for key, drops in (("Upsert", False), ("Del", True)):
        for section, held in call.get(key, {}).items():
            for item in held if isinstance(held, list) else [held]:
                if isinstance(item, dict):
                    name = str(item.get("Name", "")) if isinstance(held, list) else ""
                    found.append(Part(section, name, item, drops, isinstance(held, list)))
    return found


def faults(body: bytes) -> list[str]:
    """One line, with key and value, for each error that the control nodes would find, whatever stands there
    now.
    """
    found = parts(body)
    lines = [line for part in found if (line := _fault(part))]
    if lines:
        return lines
    verdict = _judge(body, found)
    return [] if verdict.ok else [verdict.why]


def _judge(body: bytes, brought: list[Part]) -> Verdict:
    """What the control nodes would say if the services that its routes name, and it does not bring, stood
    there.
    """
    own = {part.name for part in brought if part.section == SERVICES}
    named = {
        name for part in brought if part.section == ROUTES and not part.drops for name in _services(part.item)
    } - own
    items = Items()
    if named:
        stubs = [{"Name": name, "Ver": "00000000"} for name in sorted(named)]
        items.apply(json.encode({"Upsert": {SERVICES: stubs}}), 1)
    return items.judge(body)


def _services(item: Item) -> Iterator[str]:
    shares = item.get("Split")
    for held in [item, *(shares if isinstance(shares, list) else [])]:
        name = held.get("Svc") if isinstance(held, dict) else None
        if name and isinstance(name, str):
            yield name


def _fault(part: Part) -> str:
    verdict = _judge(json.encode(part.call()), [part])
    if verdict.ok:
        return ""
    why = verdict.why.removeprefix(f"{part.section} {part.name[:80]!r}: ").removeprefix(f"{part.section}: ")
    found = PATH.match(why) or KEY.match(why)
    if found is None:
        return f"{part.label}: {why}"
    key = found["key"].partition("[")[0].partition(".")[0]
    value = json.encode(part.item[key]).decode() if key in part.item else ""
    return f"{part.label}: {found['key']}={value[:80]}: {found['why']}"


def whole(address: str) -> tuple[int, bytes]:
    """The index and the configuration as the leader knows it, as a call. Raises ConfigError."""
    told = ask(address, "GET", "/Mesh.Config")
    if told.status == 503:
        raise ConfigError(
            f"{address}: the control nodes can't agree now what stands: ask again, or another control node"
        )
    if told.status != 200:
        raise ConfigError(f"{address}: answered {told.error()}; is it a control node?")
    try:
        index = json.decode(told.body)["Index"]
        verdict = Items().judge(told.body)
    except (DecodeError, KeyError, TypeError) as err:
        raise ConfigError(f"{address}: no configuration: {err}") from None
    if not verdict.ok or not isinstance(index, int):
        raise ConfigError(f"{address}: no configuration: {verdict.why}")
    return index, told.body


def keep(path: Path, body: bytes) -> None:
    """Writes a file whole or not at all: what stood there before stays until the new one is on the disk."""
    try:
        handle, name = tempfile.mkstemp(dir=path.parent, prefix=f".{path.name}.")
        try:
            with os.fdopen(handle, "wb") as file:
                file.write(body)
                file.flush()
                os.fsync(file.fileno())
            os.replace(name, path)
        except BaseException:
            os.unlink(name)
            raise
        folder = os.open(path.parent, os.O_RDONLY)
        try:
            os.fsync(folder)  # danger: the new name may be lost with the power
        finally:
            os.close(folder)
    except OSError as err:
        raise ConfigError(f"{path}: can't be written: {err}") from None


def differences(body: bytes, standing: bytes) -> list[str]:
    """A line for each item with which the call would change what stands, or be refused; [] for none."""
    items = Items()
    items.apply(standing, 1)
    held = {(part.section, part.name): part.item for part in parts(standing)}
    lines = [line for part in parts(body) if (line := _difference(part, held.get((part.section, part.name))))]
    verdict = items.judge(body)
    return lines if verdict.ok else [*lines, f"! refused: {verdict.why}"]


def _difference(part: Part, held: Item | None) -> str:
    if held is None:
        return "" if part.drops else f"+ {part.label} {part.item['Ver']}"
    new, old = int(part.item["Ver"], 16), int(held["Ver"], 16)
    if new < old:
        return f"= {part.label} {part.item['Ver']}: {held['Ver']} stands, which prevails"
    if new == old:
        same = not part.drops and json.encode(held, order="sorted") == json.encode(part.item, order="sorted")
        return "" if same else f"! {part.label} {part.item['Ver']}: that version stands with other content"
    if part.drops:
        return f"{part.label} {held['Ver']} -> {part.item['Ver']}"
    keys = sorted(k for k in {*held, *part.item} - {"Ver"} if held.get(k) != part.item.get(k))
    return f"~ {part.label} {held['Ver']} -> {part.item['Ver']}: {', '.join(keys) or 'nothing else'}"


def send(address: str, body: bytes) -> Told | Silence:
    """One call, once. Raises ConfigError for what is no address."""
    try:
        return ask(address, "POST", "/Config.Patch", body)
    except Silence as err:
        return err


def verdict(told: Told | Silence) -> tuple[int, str]:
    """Exit code and line for what became of a change."""
    if isinstance(told, Silence) or told.status == 503:
        why = str(told) if isinstance(told, Silence) else told.error()
        return UNCLEAR, (
            f"unclear: {why}. It may be in force or not: send the same file again, to any control node"
        )
    if told.status == 200:
        return AGREED, "200: agreed, on a majority of disks"
    return REFUSED, f"refused: {told.error()}. Nothing of it is in force"


def pause(told: Told | Silence) -> float:
    """Seconds to wait before it is sent again."""
    return max(told.pause, PAUSE) if isinstance(told, Told) else PAUSE
