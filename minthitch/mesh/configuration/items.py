"""The configuration as a replicated state machine, and its copies in the sidecars.

Pure: the same calls at the same indices give the same rows and the same verdicts on every node. Items are
kept as the bytes that were sent, so that what is read back is what was sent, unknown fields and sections
included. For each name the highest version wins, whether it sets or deletes; a deleted name leaves a
tombstone, without which an older change that arrives again would bring the item back.
"""

from __future__ import annotations

from collections.abc import Iterator

from msgspec import Struct, json, msgpack

from minthitch.mesh.configuration.call_parser import SINGLE_NAME, Row, parse_call, same_content
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

# After more deletions than this, the oldest may be undone by an old change that comes again, or a change
# that was acknowledged may be rejected when it is repeated. 850 changes a day that delete 19 names each
# stay within it for one day. Memory is used only as far as names are deleted.
MAX_TOMBSTONES = 16_384


class Verdict(Struct, frozen=True):
    """The outcome of a call.

    Where it is rejected (`kind` is set, `reason` one line), no part of it is in force.
    """

    ok: bool
    reason: str = ""
    changed: bool = False
    kind: ErrorKind | None = None


class Delta(Struct, frozen=True, array_like=True):
    """The rows that changed after `after`, up to `index`; with `after` below `pruned_index`, all rows.

    `pruned_index` is the highest index among the tombstones that are no longer kept.
    """

    after: int
    index: int
    pruned_index: int
    rows: list[Row]


_DELTA_DECODER = msgpack.Decoder(Delta)


class ItemSet:
    """Rows as of one index of the log: what the state machine and its copies have in common."""

    def __init__(self) -> None:
        self.index = 0
        self._pruned_index = 0  # the highest index among the tombstones that are no longer kept
        self._rows: dict[Key, Row] = {}

    def live_items(self, section: str) -> Iterator[tuple[str, bytes]]:
        """Names and bytes of a section's items that are not deleted."""
        for row in self._rows.values():
            if row.section == section and row.body is not None:
                yield row.name, row.body

    def fetch(self) -> bytes:
        """JSON of all items that are not deleted, laid out as under `Upsert`, each as it was sent."""
        sections: dict[str, list[tuple[str, bytes]]] = {ROUTES: [], SERVICES: []}
        for row in self._rows.values():
            if row.body is not None:
                sections.setdefault(row.section, []).append((row.name, row.body))
        known = [name for name in KNOWN_SECTIONS if name in sections]
        ordered = known + sorted(set(sections) - set(KNOWN_SECTIONS))
        members = [json.encode(name) + b":" + _lay_out(sections[name]) for name in ordered]
        return b"{" + b",".join(members) + b"}"

    def since(self, index: int) -> bytes:
        """What a copy at `index` lacks (msgpack of `Delta`).

        All rows for 0, and where deletions that the copy has not seen are forgotten here.
        """
        after = 0 if index < self._pruned_index else index
        rows = [row for row in self._rows.values() if row.index > after]
        return msgpack.encode(Delta(after, self.index, self._pruned_index, rows))

    def _prune_tombstones(self) -> None:
        tombstones = [row for row in self._rows.values() if row.body is None]
        if len(tombstones) <= MAX_TOMBSTONES:
            return
        tombstones.sort(key=lambda row: (row.version, row.index, row.section, row.name))
        for row in tombstones[:-MAX_TOMBSTONES]:
            del self._rows[row.key]
            self._pruned_index = max(self._pruned_index, row.index)


class Items(ItemSet):
    """The state machine. Every control node applies the same calls in the same order."""

    def __init__(self) -> None:
        super().__init__()
        self._route_facts: dict[str, RouteFacts] = {}  # by name: a check decodes only what a call brings

    def apply(self, body: bytes, index: int) -> Verdict:
        """Apply the call that is at `index` of the log, completely or not at all."""
        verdict, rows = self._check(body, index)
        self._store(rows)
        self.index = max(self.index, index)
        return verdict

    def validate(self, body: bytes) -> Verdict:
        """What `apply` would say now: a call that is rejected here need not enter the log."""
        return self._check(body, self.index)[0]

    def snapshot(self) -> bytes:
        """Everything, tombstones and indices included (msgpack)."""
        return msgpack.encode(Delta(0, self.index, self._pruned_index, list(self._rows.values())))

    def restore(self, snapshot: bytes) -> None:
        """Become what `snapshot` has.

        Raises:
            msgspec.DecodeError: it is no snapshot; this object stays as it was.
        """
        delta = _DELTA_DECODER.decode(snapshot)
        self.index = delta.index
        self._pruned_index = delta.pruned_index
        self._rows = {}
        self._route_facts = {}
        self._store(delta.rows)

    def _check(self, body: bytes, index: int) -> tuple[Verdict, list[Row]]:
        """The verdict on a call, and the rows that it changes."""
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

    def _wins(self, row: Row) -> bool:
        present = self._rows.get(row.key)
        return present is None or row.version > present.version

    def _conflicts(self, row: Row) -> bool:
        present = self._rows.get(row.key)
        return (
            present is not None
            and row.version == present.version
            and not same_content(row.body, present.body)
        )

    def _check_result(self, rows: list[Row]) -> None:
        """Check what the configuration would be. It was valid before, so any problem comes with `rows`."""
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
            self._prune_tombstones()


class Replica(ItemSet):
    """A sidecar's copy: always the committed state as of `index`, which only rises."""

    def merge(self, delta: bytes) -> bool:
        """Take what `since` gave on any node.

        Returns:
            False where it starts after this copy's index, so that changes between would be missed: ask
            again with `index`.

        Raises:
            msgspec.DecodeError: it is no delta; this copy stays as it was.
        """
        new = _DELTA_DECODER.decode(delta)
        if new.after > self.index:
            return False
        if new.index <= self.index:  # outdated, late or from a node that lags
            return True
        before = self._rows
        # With deletions forgotten there, what is missing from a complete set has been deleted.
        self._rows = {} if self.index < new.pruned_index else dict(before)
        for row in new.rows:
            present = before.get(row.key)
            # An older version must not come back during one run of the process, whatever the sender has.
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


def _lay_out(items: list[tuple[str, bytes]]) -> bytes:
    if items and items[0][0] == SINGLE_NAME:
        return items[0][1]
    return b"[" + b",".join(body for _, body in sorted(items)) + b"]"
