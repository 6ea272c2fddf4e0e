"""The configuration as a replicated state machine, and its replicas in the sidecars.

Deterministic: the same calls at the same log indices give the same rows and verdicts on every node. Items
are stored as the bytes that were sent, so reading them back returns exactly those, with unknown fields and
sections. For each name the highest version wins, whether it sets or deletes the item. A deleted item leaves
a tombstone, and once that is pruned its version (`deleted_versions`); without them, an older change that is
sent again would restore the item.
"""

from __future__ import annotations

from collections.abc import Iterator

from msgspec import Struct, json, msgpack

from minthitch.mesh.configuration.call_parser import SINGLE_NAME, Row, parse_call, same_content
from minthitch.mesh.configuration.deleted_versions import DeletedVersions
from minthitch.mesh.configuration.errors import ErrorKind
from minthitch.mesh.configuration.schema import KNOWN_SECTIONS, ROUTE_DECODER, ROUTES, SERVICES
from minthitch.mesh.configuration.validation import (
    InvalidCallError,
    Key,
    RouteFacts,
    check_layout,
    check_routes,
    facts_of,
    label,
)

# Beyond this many deletions the oldest tombstones are pruned: a replica that has not seen them gets all rows
# in place of the changes. Of a pruned tombstone the state machine keeps the version.
MAX_TOMBSTONES = 16_384


class Verdict(Struct, frozen=True):
    """The outcome of a configuration call.

    If it was rejected (`kind` is set, `reason` is one line), no part of it was applied.
    """

    ok: bool
    reason: str = ""
    changed: bool = False
    kind: ErrorKind | None = None


class Delta(Struct, frozen=True, array_like=True):
    """The rows that changed after log index `after`, up to `index`; with `after` 0, all rows.

    `pruned_index` is the highest log index of any pruned tombstone.
    """

    after: int
    index: int
    pruned_index: int
    rows: list[Row]


class _Snapshot(Delta, frozen=True, array_like=True):
    """All rows, and the versions of pruned tombstones, as `DeletedVersions.pack` gives them.

    Without such versions a snapshot is a plain `Delta`, as earlier versions of this program read and wrote.
    """

    deleted_versions: bytes = b""


_DELTA_DECODER = msgpack.Decoder(Delta)
_SNAPSHOT_DECODER = msgpack.Decoder(_Snapshot)


class ItemSet:
    """The rows as of one log index; common base of the state machine and its replicas."""

    def __init__(self) -> None:
        self.index = 0
        self._pruned_index = 0  # the highest log index of any pruned tombstone
        self._rows: dict[Key, Row] = {}

    def live_items(self, section: str) -> Iterator[tuple[str, bytes]]:
        """Name and bytes of each item in a section that is not deleted."""
        for row in self._rows.values():
            if row.section == section and row.body is not None:
                yield row.name, row.body

    def fetch(self) -> bytes:
        """All items that are not deleted, as JSON in the layout of `Upsert`; each item's bytes as sent."""
        sections: dict[str, list[tuple[str, bytes]]] = {ROUTES: [], SERVICES: []}
        for row in self._rows.values():
            if row.body is not None:
                sections.setdefault(row.section, []).append((row.name, row.body))
        known = [name for name in KNOWN_SECTIONS if name in sections]
        ordered = known + sorted(set(sections) - set(KNOWN_SECTIONS))
        members = [json.encode(name) + b":" + _encode_section(sections[name]) for name in ordered]
        return b"{" + b",".join(members) + b"}"

    def since(self, index: int) -> bytes:
        """The changes that a replica at `index` lacks (a `Delta` in msgpack).

        Contains all rows if `index` is 0, or if tombstones that the replica has not seen were pruned here.
        """
        after = 0 if index < self._pruned_index else index
        rows = [row for row in self._rows.values() if row.index > after]
        return msgpack.encode(Delta(after, self.index, self._pruned_index, rows))

    def _prune_tombstones(self) -> list[Row]:
        """Remove the oldest tombstones beyond MAX_TOMBSTONES, and return them."""
        tombstones = [row for row in self._rows.values() if row.body is None]
        if len(tombstones) <= MAX_TOMBSTONES:
            return []
        tombstones.sort(key=lambda row: (row.version, row.index, row.section, row.name))
        pruned = tombstones[:-MAX_TOMBSTONES]
        for row in pruned:
            del self._rows[row.key]
            self._pruned_index = max(self._pruned_index, row.index)
        return pruned


class Items(ItemSet):
    """The replicated state machine. Every control node applies the same calls in the same order."""

    def __init__(self) -> None:
        super().__init__()
        self._route_facts: dict[str, RouteFacts] = {}  # by name; a check decodes only the call's items
        self._deleted_versions = DeletedVersions()  # of pruned tombstones

    def apply(self, body: bytes, index: int) -> Verdict:
        """Apply the call at log index `index`, completely or not at all."""
        verdict, rows = self._check(body, index)
        self._store(rows)
        self.index = max(self.index, index)
        return verdict

    def validate(self, body: bytes) -> Verdict:
        """The verdict that `apply` would give now; a call rejected here need not enter the log."""
        return self._check(body, self.index)[0]

    def snapshot(self) -> bytes:
        """All rows, with tombstones, indices and the versions of pruned tombstones, in msgpack."""
        rows, deleted = list(self._rows.values()), self._deleted_versions.pack()
        if not deleted:
            return msgpack.encode(Delta(0, self.index, self._pruned_index, rows))
        return msgpack.encode(_Snapshot(0, self.index, self._pruned_index, rows, deleted))

    def restore(self, snapshot: bytes) -> None:
        """Replace the contents by those of `snapshot`.

        Raises:
            msgspec.DecodeError: not a snapshot; this object is unchanged.
        """
        state = _SNAPSHOT_DECODER.decode(snapshot)
        self.index = state.index
        self._pruned_index = state.pruned_index
        self._rows = {}
        self._route_facts = {}
        self._deleted_versions = DeletedVersions(state.deleted_versions)
        self._store(state.rows)

    def _check(self, body: bytes, index: int) -> tuple[Verdict, list[Row]]:
        """The verdict on a call, and the rows that it would change."""
        try:
            sent = parse_call(body, index)
            rows = [row for row in sent if self._wins(row)]
            conflict = next((row for row in sent if self._conflicts(row)), None)
            if conflict is None:
                self._check_result(rows)
        except InvalidCallError as error:
            return Verdict(False, str(error), kind=ErrorKind.BAD_CONFIG), []
        if conflict is not None:
            reason = f"{label(*conflict.key)}: Ver: {conflict.version:08x} is taken by other content"
            return Verdict(False, reason, kind=ErrorKind.CONFIG_CONFLICT), []
        return Verdict(True, changed=bool(rows)), rows

    def _present(self, key: Key) -> Row | None:
        """The row of a name, or its tombstone even if that was pruned; None if it was never known."""
        row = self._rows.get(key)
        if row is not None:
            return row
        version = self._deleted_versions.find(key)
        return None if version is None else Row(*key, version, self._pruned_index, None)

    def _wins(self, row: Row) -> bool:
        present = self._present(row.key)
        return present is None or row.version > present.version

    def _conflicts(self, row: Row) -> bool:
        present = self._present(row.key)
        return (
            present is not None
            and row.version == present.version
            and not same_content(row.body, present.body)
        )

    def _check_result(self, rows: list[Row]) -> None:
        """Validate the resulting configuration. It was valid before, so any problem is caused by `rows`."""
        if not rows:
            return
        bodies = {key: row.body for key, row in self._rows.items()}
        route_facts = dict(self._route_facts)
        for row in rows:
            bodies[row.key] = row.body
            _update_facts(route_facts, row)
        present = [key for key, body in bodies.items() if body is not None]
        check_routes(route_facts, {name for section, name in present if section == SERVICES})
        check_layout(present, SINGLE_NAME)

    def _store(self, rows: list[Row]) -> None:
        for row in rows:
            self._rows[row.key] = row
            _update_facts(self._route_facts, row)
        if any(row.body is None for row in rows):
            for row in self._prune_tombstones():
                self._deleted_versions.add(row.key, row.version)


class Replica(ItemSet):
    """A sidecar's replica: always the committed state as of `index`, which never decreases."""

    def merge(self, delta: bytes) -> bool:
        """Merge a delta from `since` of any node.

        Returns:
            False if the delta starts after this replica's index, so that changes in between would be
            missed: request a delta from `index` again.

        Raises:
            msgspec.DecodeError: not a delta; this replica is unchanged.
        """
        new = _DELTA_DECODER.decode(delta)
        if new.after > self.index:
            return False
        if new.index <= self.index:  # late, or from a node that lags behind
            return True
        before = self._rows
        # The sender pruned tombstones that this replica has not seen, so it sent all rows: a row that is
        # missing was deleted.
        self._rows = {} if self.index < new.pruned_index else dict(before)
        for row in new.rows:
            present = before.get(row.key)
            # Within one run of the process a version must never go back, whatever the sender has.
            is_older = present is not None and present.version > row.version
            self._rows[row.key] = present if present is not None and is_older else row
        self.index = new.index
        self._pruned_index = max(self._pruned_index, new.pruned_index)
        self._prune_tombstones()
        return True


def _update_facts(route_facts: dict[str, RouteFacts], row: Row) -> None:
    if row.section != ROUTES:
        return
    if row.body is None:
        route_facts.pop(row.name, None)
    else:
        route_facts[row.name] = facts_of(ROUTE_DECODER.decode(row.body))


def _encode_section(items: list[tuple[str, bytes]]) -> bytes:
    if items and items[0][0] == SINGLE_NAME:
        return items[0][1]
    return b"[" + b",".join(body for _, body in sorted(items)) + b"]"
