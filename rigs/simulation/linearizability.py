"""Linearizability of configuration items: real-time order of orders and reads, judged from a history alone.

An item is a register that only rises: a call that brings a higher version replaces what stands, an equal one
is acknowledged again, an equal version with other content is refused, a lower one changes nothing. Versions
thus order all writes to one item, so that the checks below need no search. Each attempt of an order is an
operation of its own; one without a clear answer (`status` is None) may take effect at any later time.

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
    """One attempt to make a change. `status` is None where no clear answer came in time."""

    begin: float
    end: float
    rows: tuple[Row, ...]
    status: int | None
    node: str = ""


class Read(NamedTuple):
    """The whole configuration as one node gave it out."""

    begin: float
    end: float
    items: dict[Key, Row]
    node: str = ""


class _Floor(NamedTuple):
    """A version that every read that begins after `at` must show, or a higher one."""

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
    """What the callers of a simulated day did. Orders of callers whose attempts are not noted one by one may
    take effect at any time after they were sent.
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
    """Every breach of linearizability, each as one line that starts with its kind."""
    return _Checker(list(orders), sorted(reads, key=lambda read: read.begin)).run()


def check(history: History) -> list[str]:
    """The same for a simulated day."""
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
        self.floors: dict[Key, list[_Floor]] = defaultdict(list)  # each higher than the one before
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
            if answered:  # a conflict says that this version is taken
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
        """A higher version may have stood when it was judged: then it changes nothing, and that is said.

        Told apart only where the other content was taken before.
        """
        return any(
            other.begin <= order.end and other.status in (OK, None)
            for ver, rows in self.versions[row.key].items()
            if ver > row.ver
            for higher in rows
            for other in self.attempts[higher]
        )

    def _refused_again(self) -> Iterator[str]:
        """An order that was taken is refused when it is sent again."""
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
        """When it was first acknowledged, or could first be read in full."""
        acked = [o.end for o in self.attempts[rows[0]] if o.status == OK and o.rows == rows]
        shown = [r.end for r in self.reads if all(r.items.get(row.key) == row for row in rows)]
        return min(acked + shown, default=float("inf"))

    def _refused_without_rival(self) -> Iterator[str]:
        """A conflict is claimed where nobody sent other content under any of these versions."""
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
        """What is read was sent before."""
        for read in self.reads:
            for row in read.items.values():
                if not any(order.begin <= read.end for order in self.attempts.get(row, ())):
                    yield f"PHANTOM: {_label(row.key, row.ver)} read at {read.end:.3f}, never sent before"

    def _refused_in_force(self) -> Iterator[str]:
        """What is read may have been taken: at least one attempt to send it was not refused."""
        for read in self.reads:
            for row in read.items.values():
                sent = [order for order in self.attempts.get(row, ()) if order.begin <= read.end]
                if sent and all(order.status not in (OK, None) for order in sent):
                    yield f"REVIVED: {_label(row.key, row.ver)} read at {read.end:.3f}, was refused"

    def _unacknowledged_rival(self) -> Iterator[str]:
        """Of several contents under one version all are refused, and each refusal says that one stands."""
        for key, versions in self.versions.items():
            for ver, rows in versions.items():
                attempts = [order for row in rows for order in self.attempts[row]]
                single = all(len(order.rows) == 1 for order in attempts)
                if len(rows) > 1 and single and all(order.status == CONFLICT for order in attempts):
                    yield f"NEITHER: {_label(key, ver)}: {len(rows)} contents sent, each refused for another"

    def _stale(self) -> Iterator[str]:
        """A read shows at least all that had ended before it began; a node in turn never goes back."""
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
        """A call takes effect in full or not at all."""
        for read in self.reads:
            for rows in self._calls_shown(read):
                for row in rows:
                    held = read.items.get(row.key)
                    gone = held is None and not self._may_be_dropped(row.key, row.ver, read.end)
                    if gone or (held is not None and held.ver < row.ver):
                        yield f"TORN: {_labels(rows)}: without {row.key[1]} in {_named(read)}"

    def _calls_shown(self, read: Read) -> set[tuple[Row, ...]]:
        """Calls with several items, one of which is shown and came with no other call."""
        shown = set()
        for row in read.items.values():
            calls = {order.rows for order in self.attempts.get(row, ())}
            if len(calls) == 1:
                shown |= calls
        return {rows for rows in shown if len(rows) > 1}

    def _crossed(self) -> Iterator[str]:
        """Of two reads one is the newer in all items: each shows one moment."""
        for place, one in enumerate(self.reads):
            for other in self.reads[place + 1 :]:
                if other.begin > one.end:  # that one follows it: `_stale` compares them
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
