"""Checks, compares, sends and fetches configuration files for the control nodes."""

from __future__ import annotations

import os
import re
import tempfile
from collections.abc import Iterator
from http import HTTPStatus
from pathlib import Path
from typing import Any, NamedTuple

from msgspec import DecodeError, json

from minthitch.cli.ask import Answer, NoAnswerError, ask
from minthitch.config import ConfigError
from minthitch.mesh.configuration.items import Items, Verdict
from minthitch.mesh.configuration.schema import ROUTES, SERVICES

COMMITTED, REJECTED, UNCLEAR = 0, 1, 3  # exit codes of `mesh patch`
MIN_RETRY_DELAY_S = 0.25  # before a change is sent again, unless Retry-After is longer
PATH_PATTERN = re.compile(r"(?P<why>.*) - at `\$\.?(?P<key>.*)`$")
KEY_PATTERN = re.compile(r"(?P<key>[A-Z]\w*): (?P<why>.*)$")
Item = dict[str, Any]


class ItemChange(NamedTuple):
    """An item that a configuration file changes, or deletes if `deletes` is set."""

    section: str
    name: str
    item: Item
    deletes: bool
    is_list_item: bool

    @property
    def label(self) -> str:
        """Section and name, with a minus in front of a deleted item."""
        return f"{'-' if self.deletes else ''}{self.section} {self.name}".rstrip()

    def call(self) -> Item:
        """A Config.Patch body with this item alone."""
        return {
            "Del" if self.deletes else "Upsert": {
                self.section: [self.item] if self.is_list_item else self.item
            }
        }


def read(path: Path) -> bytes:
    """Read a configuration file.

    Raises:
        ConfigError: it can't be read, or is not a body of Config.Patch.
    """
    try:
        body = path.read_bytes()
    except OSError as err:
        raise ConfigError(f"{path}: can't be read: {err}") from None
    verdict = Items().validate(body)
    if not verdict.ok and verdict.reason.startswith("call:"):
        raise ConfigError(f"{path}: {verdict.reason}")
    return body


def item_changes(body: bytes) -> list[ItemChange]:
    """The items of a call; malformed parts are skipped, as the checks report them."""
    call = json.decode(body)
    found = []
    for key, deletes in (("Upsert", False), ("Del", True)):
        for section, present in call.get(key, {}).items():
            for item in present if isinstance(present, list) else [present]:
                if isinstance(item, dict):
                    name = str(item.get("Name", "")) if isinstance(present, list) else ""
                    found.append(ItemChange(section, name, item, deletes, isinstance(present, list)))
    return found


def problems(body: bytes) -> list[str]:
    """A line with key and value for each error that does not depend on the control nodes' state."""
    found = item_changes(body)
    lines = [line for change in found if (line := _problem(change))]
    if lines:
        return lines
    verdict = _judge(body, found)
    return [] if verdict.ok else [verdict.reason]


def _judge(body: bytes, changes: list[ItemChange]) -> Verdict:
    """The verdict, assuming that services which are named in routes but missing in the call exist."""
    own = {change.name for change in changes if change.section == SERVICES}
    named = {
        name
        for change in changes
        if change.section == ROUTES and not change.deletes
        for name in _services(change.item)
    } - own
    items = Items()
    if named:
        stubs = [{"Name": name, "Ver": "00000000"} for name in sorted(named)]
        items.apply(json.encode({"Upsert": {SERVICES: stubs}}), 1)
    return items.validate(body)


def _services(item: Item) -> Iterator[str]:
    weighted = item.get("Split")
    for present in [item, *(weighted if isinstance(weighted, list) else [])]:
        name = present.get("Svc") if isinstance(present, dict) else None
        if name and isinstance(name, str):
            yield name


def _problem(change: ItemChange) -> str:
    verdict = _judge(json.encode(change.call()), [change])
    if verdict.ok:
        return ""
    why = verdict.reason.removeprefix(f"{change.section} {change.name[:80]!r}: ").removeprefix(
        f"{change.section}: "
    )
    found = PATH_PATTERN.match(why) or KEY_PATTERN.match(why)
    if found is None:
        return f"{change.label}: {why}"
    key = found["key"].partition("[")[0].partition(".")[0]
    value = json.encode(change.item[key]).decode() if key in change.item else ""
    return f"{change.label}: {found['key']}={value[:80]}: {found['why']}"


def fetch_with_index(address: str) -> tuple[int, bytes]:
    """Fetch the leader's configuration: its index, and its items as a body of Config.Patch.

    Raises:
        ConfigError: no valid answer.
    """
    answer = ask(address, "GET", "/Mesh.Config")
    if answer.status == HTTPStatus.SERVICE_UNAVAILABLE:
        raise ConfigError(
            f"{address}: the control nodes can't confirm the configuration now: ask again, or another one"
        )
    if answer.status != HTTPStatus.OK:
        raise ConfigError(f"{address}: answered {answer.error()}; is it a control node?")
    try:
        index = json.decode(answer.body)["Index"]
        verdict = Items().validate(answer.body)
    except (DecodeError, KeyError, TypeError) as err:
        raise ConfigError(f"{address}: invalid configuration: {err}") from None
    if not verdict.ok or not isinstance(index, int):
        raise ConfigError(f"{address}: invalid configuration: {verdict.reason}")
    return index, answer.body


def write_atomically(path: Path, body: bytes) -> None:
    """Replace a file atomically: the old file stays until the new one is on disk."""
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
            os.fsync(folder)  # otherwise a power loss may undo the rename
        finally:
            os.close(folder)
    except OSError as err:
        raise ConfigError(f"{path}: can't be written: {err}") from None


def differences(body: bytes, present_call: bytes) -> list[str]:
    """A line for each item that the call would change, and one if the call would be rejected."""
    items = Items()
    items.apply(present_call, 1)
    present = {(change.section, change.name): change.item for change in item_changes(present_call)}
    lines = [
        line
        for change in item_changes(body)
        if (line := _difference(change, present.get((change.section, change.name))))
    ]
    verdict = items.validate(body)
    return lines if verdict.ok else [*lines, f"! refused: {verdict.reason}"]


def _difference(change: ItemChange, present: Item | None) -> str:
    if present is None:
        return "" if change.deletes else f"+ {change.label} {change.item['Ver']}"
    new, old = int(change.item["Ver"], 16), int(present["Ver"], 16)
    if new < old:
        return f"= {change.label} {change.item['Ver']}: {present['Ver']} is present, which is newer"
    if new == old:
        same = not change.deletes and json.encode(present, order="sorted") == json.encode(
            change.item, order="sorted"
        )
        return (
            "" if same else f"! {change.label} {change.item['Ver']}: that version exists with other content"
        )
    if change.deletes:
        return f"{change.label} {present['Ver']} -> {change.item['Ver']}"
    keys = sorted(k for k in {*present, *change.item} - {"Ver"} if present.get(k) != change.item.get(k))
    return f"~ {change.label} {present['Ver']} -> {change.item['Ver']}: {', '.join(keys) or 'nothing else'}"


def send(address: str, body: bytes) -> Answer | NoAnswerError:
    """Send the call once.

    Raises:
        ConfigError: `address` is not a valid address.
    """
    try:
        return ask(address, "POST", "/Config.Patch", body)
    except NoAnswerError as err:
        return err


def verdict(answer: Answer | NoAnswerError) -> tuple[int, str]:
    """The exit code and the message for the outcome of a change."""
    if isinstance(answer, NoAnswerError) or answer.status == HTTPStatus.SERVICE_UNAVAILABLE:
        why = str(answer) if isinstance(answer, NoAnswerError) else answer.error()
        return UNCLEAR, (
            f"unclear: {why}. It may be in force or not: send the same file again, to any control node"
        )
    if answer.status == HTTPStatus.OK:
        return COMMITTED, "200: agreed, on a majority of disks"
    return REJECTED, f"refused: {answer.error()}. Nothing of it is in force"


def retry_delay(answer: Answer | NoAnswerError) -> float:
    """Seconds to wait before the change is sent again."""
    return max(answer.retry_after, MIN_RETRY_DELAY_S) if isinstance(answer, Answer) else MIN_RETRY_DELAY_S
