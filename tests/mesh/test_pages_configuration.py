"""What the operators' pages say of orders, read as properties of the state machine that judges them.

An order that was acknowledged and is sent again is acknowledged again and changes nothing, whatever came
between: other orders, snapshots, two operators, eight orders under way at once.
"""

from __future__ import annotations

import random
import unittest
from typing import Any
from unittest import mock

from msgspec import json

from minthitch.mesh.configuration import items
from minthitch.mesh.configuration.call_parser import Row
from minthitch.mesh.configuration.errors import ErrorKind
from minthitch.mesh.configuration.items import Items, Verdict

Item = dict[str, Any]
UNDER_WAY = 8  # orders that may be under way at once
SERVICES = ("s-0", "s-1", "s-2")


def route(name: str, ver: int, service: str) -> Item:
    return {
        "Name": name,
        "Host": "a.example",
        "Pfx": f"/{name}/",
        "Kind": "keyed",
        "TmoS": 3,
        "GoalS": 0.5,
        "Prio": 2,
        "Svc": service,
        "Tries": 2,
        "Ver": f"{ver:08x}",
    }


def dropped(name: str, ver: int) -> Item:
    return {"Name": name, "Ver": f"{ver:08x}"}


def first_order() -> bytes:
    services = [{"Name": name, "Ver": "00000001"} for name in SERVICES]
    return json.encode({"Upsert": {"Routes": [], "Svcs": services}, "Del": {}})


def contents(order: bytes) -> dict[str, str]:
    """What an order says of each name."""
    sent = json.decode(order)
    sets = {one["Name"]: repr(one) for one in sent["Upsert"]["Routes"]}
    return sets | {one["Name"]: "dropped" for one in sent["Del"]["Routes"]}


class Day:
    """A drawn day: two operators who number their orders alike, orders that are sent again, restarts."""

    def __init__(self, seed: int, names: int = 10) -> None:
        self.random, self.names = random.Random(seed), [f"r-{n}" for n in range(names)]
        self.state, self.index = Items(), 0
        self.acknowledged: list[bytes] = []
        self.broken: list[str] = []
        self.send(first_order())

    def send(self, order: bytes) -> Verdict:
        self.index += 1
        return self.state.apply(order, self.index)

    def order(self, number: int) -> bytes:
        chosen = self.random.sample(self.names, 3)
        split = self.random.randrange(4)
        sets = [route(name, number, self.random.choice(SERVICES)) for name in chosen[:split]]
        drops = [dropped(name, number) for name in chosen[split:]]
        return json.encode({"Upsert": {"Routes": sets}, "Del": {"Routes": drops}})

    def play(self, rounds: int) -> list[str]:
        for number in range(2, rounds + 2):
            under_way = [self.order(number) for _ in range(self.random.randint(1, UNDER_WAY))]
            for order in under_way:
                if self.send(order).ok:
                    self.acknowledged.append(order)
                    self.repeat(order)
            for order in self.random.sample(self.acknowledged, min(3, len(self.acknowledged))):
                self.repeat(order)
            if self.random.random() < 0.2:
                self.restart()
        return self.broken

    def repeat(self, order: bytes) -> None:
        before = self.state.fetch()
        verdict = self.send(order)
        if not verdict.ok:
            self.broken.append(f"refused: {verdict.reason}")
        elif verdict.changed or self.state.fetch() != before:
            self.broken.append("changed something")

    def restart(self) -> None:
        snapshot = self.state.snapshot()
        self.state = Items()
        self.state.restore(snapshot)


class Repeats(unittest.TestCase):
    def test_an_order_that_was_acknowledged_is_never_refused_and_changes_nothing(self) -> None:
        acknowledged = 0
        for seed in range(60):
            with self.subTest(seed=seed):
                day = Day(seed)
                self.assertEqual(day.play(40), [])
                acknowledged += len(day.acknowledged)
        self.assertGreater(acknowledged, 60 * 40, "one of those with the same number stands, at least")

    def test_of_two_orders_with_one_number_and_name_one_is_acknowledged(self) -> None:
        for seed in range(20):
            day = Day(seed, names=3)  # each order is about the same three names
            one, other = day.order(2), day.order(2)
            verdicts = day.send(one), day.send(other)
            alike = contents(one) == contents(other)
            self.assertTrue(verdicts[0].ok)
            self.assertEqual(verdicts[1].ok, alike)
            if not alike:
                self.assertEqual(verdicts[1].kind, ErrorKind.CONFIG_CONFLICT)

    def test_planted_an_equal_version_taken_anew_is_found(self) -> None:
        def prevails(state: Items, row: Row) -> bool:
            before = state._rows.get((row.section, row.name))
            return before is None or row.version >= before.version

        with mock.patch.object(Items, "_wins", prevails):
            self.assertTrue(Day(1).play(5))

    def test_planted_a_repeat_taken_for_other_content_is_found(self) -> None:
        with mock.patch.object(items, "same_content", lambda one, other: one is other):
            self.assertTrue(Day(1).play(5))

    def test_planted_tombstones_forgotten_at_once_are_found(self) -> None:
        with mock.patch.object(items, "MAX_TOMBSTONES", 1):
            self.assertTrue(Day(1).play(10))


class LongDay(unittest.TestCase):
    """850 changes in a day are what the operators aim at; each may take out many names."""

    CHANGES, NAMES = 850, 19

    def test_at_its_end_every_order_of_the_day_may_come_again(self) -> None:
        state = Items()
        state.apply(first_order(), 1)
        orders = []
        for number in range(2, self.CHANGES + 2):
            names = [f"r-{number}-{n}" for n in range(self.NAMES)]
            order = json.encode({"Del": {"Routes": [dropped(name, number) for name in names]}})
            orders += [json.encode({"Upsert": {"Routes": [route(names[0], number - 1, "s-0")]}}), order]
        for index, order in enumerate(orders, 2):
            self.assertTrue(state.apply(order, index).ok)
        last = json.encode({"Del": {"Svcs": [dropped("s-0", self.CHANGES + 2)]}})
        self.assertTrue(state.apply(last, len(orders) + 2).changed)
        before = state.fetch()
        for index, order in enumerate(orders, len(orders) + 3):
            self.assertEqual(state.apply(order, index), Verdict(True))
        self.assertEqual(state.fetch(), before)


if __name__ == "__main__":
    unittest.main()
