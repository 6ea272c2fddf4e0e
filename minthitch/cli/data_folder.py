"""Reads the data folder of a stopped control node, without changing it: its condition, state and log."""

from __future__ import annotations

import shutil
import tempfile
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

import msgpack
from msgspec import DecodeError, json

from minthitch.config import ConfigError
from minthitch.mesh.control.state_machine import (
    ALREADY_CLAIMED,
    CLAIM,
    CONFIG,
    ROTATE,
    TIME,
    ClaimResult,
    ConfigurationResult,
    StateMachine,
)
from minthitch.mesh.idempotency.claims import ClaimCommand
from minthitch.mesh.raft.actions import PersistedState
from minthitch.mesh.raft.log import DATA, MEMBERS, Entry
from minthitch.mesh.storage.errors import StoreError
from minthitch.mesh.storage.records import Header
from minthitch.mesh.storage.store import FILE_NAME, Condition, Store

MIN_MAP_BYTES = 16 * 1024 * 1024
MEANINGS = {
    Condition.EMPTY: "nothing was ever written: a start treats it as a new disk",
    Condition.TORN: "acknowledged data may be missing: a start abandons it and rejoins under a new name",
    Condition.FOREIGN: "not a control node's file: a start moves it aside",
    Condition.NEWER: "written by a later version: this version leaves it unchanged and does not start",
}


class FolderContent:
    """The content of a folder. `saved` is None unless the folder is intact and has persisted state."""

    def __init__(self, condition: Condition, header: Header, saved: PersistedState | None) -> None:
        self.condition, self.header, self.saved = condition, header, saved
        self.entries = saved.entries if saved is not None else ()

    @property
    def members(self) -> tuple[str, ...]:
        """The voters in the log's last membership entry, else in the header."""
        tables = [entry for entry in self.entries if entry.kind == MEMBERS]
        return tuple(msgpack.unpackb(tables[-1].data)) if tables else self.header.voters

    def description(self) -> str:
        """Condition and content in one line."""
        if self.condition is not Condition.INTACT:
            return f"{self.condition.value}: {MEANINGS[self.condition]}"
        header = self.header
        snapshot = f"image up to {header.snapshot_index}, " if header.snapshot_index else ""
        return (
            f"{self.condition.value}: disk {header.incarnation!r}, term {header.term}, {snapshot}"
            f"{len(self.entries)} entries, last index {header.last_index}, "
            f"members {', '.join(self.members) or 'none'}"
        )


@contextmanager
def _copied(folder: Path) -> Iterator[str]:
    """Copy the folder. Opening a store retires a torn meta page, which would change the original."""
    if not folder.is_dir():
        raise ConfigError(f"{folder}: not a folder")
    with tempfile.TemporaryDirectory(prefix="minthitch-") as copy:
        if (folder / FILE_NAME).exists():
            shutil.copyfile(folder / FILE_NAME, Path(copy, FILE_NAME))
        yield copy


def inspect(folder: Path) -> FolderContent:
    """Read a folder. Raises ConfigError if it can't be read."""
    try:
        with _copied(folder) as copy:
            file = Path(copy, FILE_NAME)
            store = Store(copy, max(2 * file.stat().st_size if file.exists() else 0, MIN_MAP_BYTES))
            try:
                return FolderContent(store.condition, store.header, store.load())
            finally:
                store.close()
    except (OSError, StoreError) as err:
        raise ConfigError(f"{folder}: can't be read: {err}") from None


def intact_folder(folder: Path) -> FolderContent:
    """Read a folder. Raises ConfigError unless it is intact, as its content can't be trusted otherwise."""
    found = inspect(folder)
    if found.condition is not Condition.INTACT:
        raise ConfigError(f"{folder}: {found.description()}")
    return found


def snapshot_state(found: FolderContent) -> StateMachine:
    """The state at the snapshot, before the log entries."""
    state = StateMachine()
    if found.saved is not None:
        state.restore(found.saved.snapshot.data)
    return state


def replayed_state(found: FolderContent) -> StateMachine:
    """The state after the whole log; its last entries may not be committed yet."""
    state = snapshot_state(found)
    for entry in found.entries:
        if entry.kind == DATA:
            state.apply(entry.index, entry.data)
    return state


def log_lines(found: FolderContent, first: int) -> Iterator[str]:
    """A line for each entry from index `first` on: index, term, kind, effect."""
    state = snapshot_state(found)
    if found.header.snapshot_index >= max(first, 1):
        claims = state.claims.count()
        yield (
            f"image up to {found.header.snapshot_index}, term {found.header.snapshot_term}: "
            f"configuration {state.items.index}, {claims} claims"
        )
    for entry in found.entries:
        line = _describe(state, entry)
        if entry.index >= first:
            yield f"{entry.index} {entry.term} {line}"


def _describe(state: StateMachine, entry: Entry) -> str:
    if entry.kind == MEMBERS:
        return f"members {', '.join(msgpack.unpackb(entry.data))}"
    if entry.kind != DATA:
        return "noop"
    result = state.apply(entry.index, entry.data)
    kind, body = msgpack.unpackb(entry.data, use_list=False)
    if kind == CONFIG:
        assert isinstance(result, ConfigurationResult)
        return f"config {result.status} {result.reason or _items(body)}"
    if kind == CLAIM:
        assert isinstance(result, ClaimResult)
        return _claim(ClaimCommand.unpack(body), result)
    if kind == TIME:
        return f"time {msgpack.unpackb(body)} ms"
    return "rotate" if kind == ROTATE else f"kind {kind}"


def _claim(command: ClaimCommand, result: ClaimResult) -> str:
    instead = f" over {command.replaces.hex()[:8]}" if command.replaces else ""
    also = f", held by {result.owner}" if result.verdict == ALREADY_CLAIMED else ""
    claim = command.claim_id.hex()[:8]
    return f"claim {command.key.hex()} {claim}{instead} by {command.owner}: {result.verdict}{also}"


def _items(body: bytes) -> str:
    """The items that a call changes, with their versions; a deleted one has a minus in front."""
    try:
        call = json.decode(body)
    except DecodeError as err:
        return f"{len(body)} bytes: {err}"
    description = []
    for key, sign in (("Upsert", ""), ("Del", "-")):
        for section, items in call.get(key, {}).items():
            for item in items if isinstance(items, list) else [items]:
                description.append(
                    " ".join(filter(None, (f"{sign}{section}", item.get("Name"), item["Ver"])))
                )
    return ", ".join(description)
