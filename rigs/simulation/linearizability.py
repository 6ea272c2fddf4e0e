"""Checks linearizability of configuration changes (orders) and reads, on a history alone.

An item is a register whose version only rises: a higher version replaces the item, an equal version with
equal content is acknowledged again, an equal version with other content is refused, and a lower one changes
nothing. Versions thus order all writes to an item, so that the checks need no search. Each attempt of an
order is an operation of its own; one without a definite answer (`status` is None) may take effect at any
later time.

Events read: `order` (an attempt's end: `begin`, `call`, `status`) and `read` (`begin`, `body`).
"""

from __future__ import annotations

import json
from bisect import bisect_left
from collections import defaultdict
from collections.abc import Iterable, Iterator
from typing import Any, NamedTuple

from rigs.simulation.history import History

Key = tuple[str, str]  # section, name
DROPPED = "dropped"
OK, CONFLICT = 200, 409


class Row(NamedTuple):
    """One item of a call; `content` is canonical JSON, or DROPPED."""

    key: Key
    ver: int
    content: str


class Order(NamedTuple):
    """One attempt to make a change. `status` is None if no definite answer came in time."""

    begin: float
    end: float
    rows: tuple[Row, ...]
    status: int | None
    node: str = ""


class Read(NamedTuple):
    """The whole configuration as returned by one node."""

    begin: float
    end: float
    items: dict[Key, Row]
    node: str = ""


class _Floor(NamedTuple):
    """A lower bound: every read that begins after `at` must show this version or a higher one."""

    at: float
    ver: int
    why: str


def rows_of(call: dict[str, Any]) -> tuple[Row, ...]:
    """All items of a call or of an answer to a read (laid out as under `Upsert`)."""
    rows = [
        Row((section, item["Name"]), int(item["Ver"], 16), json.dumps(item, sort_keys=True))
        for section, items in call.get("Upsert", {}).items()
        if isinstance(items, list)
        for item in items
    ]
    rows += [
        Row((section, item["Name"]), int(item["Ver"], 16), DROPPED)
        for section, items in call.get("Del", {}).items()
        if isinstance(items, list)
        for item in items
    ]
    return tuple(rows)


def operations(history: History) -> tuple[list[Order], list[Read]]:
    """The operations in a history. Orders whose attempts were not recorded one by one may take effect at any
    time after they were sent.
    """
    orders = [
        Order(event.at, float("inf"), rows_of(event.data["call"]), None, event.who)
        for event in history.of("sent")
        if "order" not in event.data and event.data["sort"] != "invalid"
    ]
    reads = []
    for event in history.of("order", "read"):
        begin = event.data["begin"]
        if event.what == "order":
            rows, status = rows_of(event.data["call"]), event.data["status"]
            orders.append(Order(begin, event.at, rows, status, event.who))
        else:
            shown = {row.key: row for row in rows_of({"Upsert": event.data["body"]})}
            reads.append(Read(begin, event.at, shown, event.who))
    return orders, reads


def violations(orders: Iterable[Order], reads: Iterable[Read]) -> list[str]:
    """Every violation of linearizability, each as one line that starts with its kind."""
    return _Checker(list(orders), sorted(reads, key=lambda read: read.begin)).run()


def check(history: History) -> list[str]:
    """Every violation of linearizability in the history of a simulated day."""
    return violations(*operations(history))


class _Checker:
    def __init__(self, orders: list[Order], reads: list[Read]) -> None:
        self.orders, self.reads = orders, reads
        self.attempts: dict[Row, list[Order]] = defaultdict(list)
        self.versions: dict[Key, dict[int, set[Row]]] = defaultdict(lambda: defaultdict(set))
        for order in orders:
            for row in order.rows:
                self.attempts[row].append(order)
                self.versions[row.key][row.ver].add(row)
        self.floors: dict[Key, list[_Floor]] = defaultdict(list)  # by item; rising in time and version
        self._raise_floors()

    def run(self) -> list[str]:
        checks = (
            self._conflicting_acks,
            self._refused_again,
            self._refused_without_rival,
            self._phantoms,
            self._refused_in_force,
            self._unacknowledged_rival,
            self._stale,
            self._torn,
            self._crossed,
        )
        return [text for found in checks for text in found()]

    def _raise_floors(self) -> None:
        for order in self.orders:
            answered = order.status == OK or (order.status == CONFLICT and len(order.rows) == 1)
            if answered:  # a conflict shows that this version exists
                word = "acknowledged" if order.status == OK else "said to be taken"
                for row in order.rows:
                    why = f"{word} at {order.end:.3f} by {order.node}"
                    self.floors[row.key].append(_Floor(order.end, row.ver, why))
        for read in self.reads:
            for row in read.items.values():
                why = f"read at {read.end:.3f} from {read.node}"
                self.floors[row.key].append(_Floor(read.end, row.ver, why))
        for key, floors in self.floors.items():
            highest = -1
            rising = []
            for floor in sorted(floors):
                if floor.ver > highest:
                    highest = floor.ver
                    rising.append(floor)
            self.floors[key] = rising

    def _conflicting_acks(self) -> Iterator[str]:
        """Two contents acknowledged or read under one item and version."""
        taken: dict[tuple[Key, int], dict[str, float]] = defaultdict(dict)
        for order in self.orders:
            if order.status == OK:
                for row in order.rows:
                    if not self._overtaken(row, order):
                        taken[row.key, row.ver].setdefault(row.content, order.end)
        for read in self.reads:
            for row in read.items.values():
                taken[row.key, row.ver].setdefault(row.content, read.end)
        for (key, ver), contents in taken.items():
            if len(contents) > 1:
                ends = ", ".join(f"{at:.3f}" for at in contents.values())
                yield f"CONFLICT: {_label(key, ver)} taken with {len(contents)} contents, at {ends}"

    def _overtaken(self, row: Row, order: Order) -> bool:
        """Whether a higher version may have been in force when the order was processed.

        Such an order is acknowledged without effect; this can be told only if the other content was in
        force before.
        """
        return any(
            other.begin <= order.end and other.status in (OK, None)
            for ver, rows in self.versions[row.key].items()
            if ver > row.ver
            for higher in rows
            for other in self.attempts[higher]
        )

    def _refused_again(self) -> Iterator[str]:
        """An order that had taken effect is refused when it is sent again."""
        for order in self.orders:
            if order.status in (OK, None) or not order.rows:
                continue
            since = self._taken_since(order.rows)
            if since < order.begin:
                yield (
                    f"REFUSED: {_labels(order.rows)} taken at {since:.3f}, refused with {order.status} "
                    f"at {order.end:.3f} by {order.node}"
                )

    def _taken_since(self, rows: tuple[Row, ...]) -> float:
        """When the rows were first acknowledged or first read in full."""
        acked = [o.end for o in self.attempts[rows[0]] if o.status == OK and o.rows == rows]
        shown = [r.end for r in self.reads if all(r.items.get(row.key) == row for row in rows)]
        return min(acked + shown, default=float("inf"))

    def _refused_without_rival(self) -> Iterator[str]:
        """A conflict is reported although no other content was sent under any of these versions."""
        for order in self.orders:
            if order.status != CONFLICT:
                continue
            rivals = [
                other
                for row in order.rows
                for rival in self.versions[row.key][row.ver] - {row}
                for other in self.attempts[rival]
                if other.begin <= order.end
            ]
            if not rivals:
                yield f"GROUNDLESS: {_labels(order.rows)} refused at {order.end:.3f}, nobody sent another"

    def _phantoms(self) -> Iterator[str]:
        """Everything that is read was sent before."""
        for read in self.reads:
            for row in read.items.values():
                if not any(order.begin <= read.end for order in self.attempts.get(row, ())):
                    yield f"PHANTOM: {_label(row.key, row.ver)} read at {read.end:.3f}, never sent before"

    def _refused_in_force(self) -> Iterator[str]:
        """For everything that is read, at least one attempt to send it was not refused."""
        for read in self.reads:
            for row in read.items.values():
                sent = [order for order in self.attempts.get(row, ()) if order.begin <= read.end]
                if sent and all(order.status not in (OK, None) for order in sent):
                    yield f"REVIVED: {_label(row.key, row.ver)} read at {read.end:.3f}, was refused"

    def _unacknowledged_rival(self) -> Iterator[str]:
        """All contents sent under one version are refused, although each refusal implies that another is in
        force.
        """
        for key, versions in self.versions.items():
            for ver, rows in versions.items():
                attempts = [order for row in rows for order in self.attempts[row]]
                single = all(len(order.rows) == 1 for order in attempts)
                if len(rows) > 1 and single and all(order.status == CONFLICT for order in attempts):
                    yield f"NEITHER: {_label(key, ver)}: {len(rows)} contents sent, each refused for another"

    def _stale(self) -> Iterator[str]:
        """A read shows at least everything that was acknowledged or read before it began."""
        for read in self.reads:
            for key, floors in self.floors.items():
                place = bisect_left(floors, read.begin, key=lambda floor: floor.at)
                if not place:
                    continue
                floor = floors[place - 1]
                row = read.items.get(key)
                if row is None and not self._may_be_dropped(key, floor.ver, read.end):
                    yield f"GONE: {_label(key, floor.ver)} {floor.why}, absent in {_named(read)}"
                elif row is not None and row.ver < floor.ver:
                    kind = "BACK" if floor.why.startswith("read") else "STALE"
                    yield f"{kind}: {_label(key, floor.ver)} {floor.why}, {row.ver:08x} in {_named(read)}"

    def _may_be_dropped(self, key: Key, ver: int, until: float) -> bool:
        return any(
            order.begin <= until and order.status in (OK, None)
            for at, rows in self.versions[key].items()
            if at >= ver
            for row in rows
            if row.content == DROPPED
            for order in self.attempts[row]
        )

    def _torn(self) -> Iterator[str]:
        """A call takes effect completely or not at all."""
        for read in self.reads:
            for rows in self._calls_shown(read):
                for row in rows:
                    held = read.items.get(row.key)
                    gone = held is None and not self._may_be_dropped(row.key, row.ver, read.end)
                    if gone or (held is not None and held.ver < row.ver):
                        yield f"TORN: {_labels(rows)}: without {row.key[1]} in {_named(read)}"

    def _calls_shown(self, read: Read) -> set[tuple[Row, ...]]:
        """Calls with several items that the read proves: it shows an item that only this call contains."""
        shown = set()
        for row in read.items.values():
            calls = {order.rows for order in self.attempts.get(row, ())}
            if len(calls) == 1:
                shown |= calls
        return {rows for rows in shown if len(rows) > 1}

    def _crossed(self) -> Iterator[str]:
        """Of two concurrent reads, one is at least as new in all items, since each is a consistent
        snapshot.
        """
        for place, one in enumerate(self.reads):
            for other in self.reads[place + 1 :]:
                if other.begin > one.end:  # not concurrent: `_stale` compares them
                    break
                keys = one.items.keys() & other.items.keys()
                shared = [(one.items[key].ver, other.items[key].ver) for key in keys]
                if any(a < b for a, b in shared) and any(a > b for a, b in shared):
                    yield f"CROSSED: {_named(one)} and {_named(other)}"


def _named(read: Read) -> str:
    return f"the read {read.begin:.3f} to {read.end:.3f} from {read.node}"


def _label(key: Key, ver: int) -> str:
    return f"{key[0]} {key[1]} {ver:08x}"


def _labels(rows: tuple[Row, ...]) -> str:
    return ", ".join(_label(row.key, row.ver) for row in rows)
