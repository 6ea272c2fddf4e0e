"""What the operators' documentation says of configuration calls, tested on the state machine.

An acknowledged call that is sent again is acknowledged again and changes nothing, whatever came in between:
other calls, snapshots, two operators, eight pending calls at once.
"""

from __future__ import annotations

import random
import unittest
from typing import Any
from unittest import mock

from msgspec import json

from minthitch.mesh.configuration import items
from minthitch.mesh.configuration.call_parser import Row
from minthitch.mesh.configuration.deleted_versions import DeletedVersions
from minthitch.mesh.configuration.errors import ErrorKind
from minthitch.mesh.configuration.items import Items, Verdict

Item = dict[str, Any]
MAX_PENDING = 8  # calls that may be pending at once
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


def deletion(name: str, ver: int) -> Item:
    return {"Name": name, "Ver": f"{ver:08x}"}


def first_call() -> bytes:
    services = [{"Name": name, "Ver": "00000001"} for name in SERVICES]
    return json.encode({"Upsert": {"Routes": [], "Svcs": services}, "Del": {}})


def contents(body: bytes) -> dict[str, str]:
    """The content that a call has for each name."""
    sent = json.decode(body)
    sets = {one["Name"]: repr(one) for one in sent["Upsert"]["Routes"]}
    return sets | {one["Name"]: "dropped" for one in sent["Del"]["Routes"]}


class Day:
    """A random day: two operators who use the same version numbers, repeated calls, restarts."""

    def __init__(self, seed: int, names: int = 10) -> None:
        self.random, self.names = random.Random(seed), [f"r-{n}" for n in range(names)]
        self.state, self.index = Items(), 0
        self.acknowledged: list[bytes] = []
        self.broken: list[str] = []
        self.send(first_call())

    def send(self, body: bytes) -> Verdict:
        self.index += 1
        return self.state.apply(body, self.index)

    def call(self, number: int) -> bytes:
        chosen = self.random.sample(self.names, 3)
        split = self.random.randrange(4)
        sets = [route(name, number, self.random.choice(SERVICES)) for name in chosen[:split]]
        drops = [deletion(name, number) for name in chosen[split:]]
        return json.encode({"Upsert": {"Routes": sets}, "Del": {"Routes": drops}})

    def run(self, rounds: int) -> list[str]:
        for number in range(2, rounds + 2):
            pending = [self.call(number) for _ in range(self.random.randint(1, MAX_PENDING))]
            for body in pending:
                if self.send(body).ok:
                    self.acknowledged.append(body)
                    self.repeat(body)
            for body in self.random.sample(self.acknowledged, min(3, len(self.acknowledged))):
                self.repeat(body)
            if self.random.random() < 0.2:
                self.restart()
        return self.broken

    def repeat(self, body: bytes) -> None:
        before = self.state.fetch()
        verdict = self.send(body)
        if not verdict.ok:
            self.broken.append(f"refused: {verdict.reason}")
        elif verdict.changed or self.state.fetch() != before:
            self.broken.append("changed something")

    def restart(self) -> None:
        snapshot = self.state.snapshot()
        self.state = Items()
        self.state.restore(snapshot)


class Repeats(unittest.TestCase):
    def test_a_repeat_of_an_acknowledged_call_is_accepted_and_changes_nothing(self) -> None:
        acknowledged = 0
        for seed in range(60):
            with self.subTest(seed=seed):
                day = Day(seed)
                self.assertEqual(day.run(40), [])
                acknowledged += len(day.acknowledged)
        self.assertGreater(acknowledged, 60 * 40, "at least one call per version number wins")

    def test_of_two_calls_with_one_version_and_name_one_is_acknowledged(self) -> None:
        for seed in range(20):
            day = Day(seed, names=3)  # each call changes the same three names
            one, other = day.call(2), day.call(2)
            verdicts = day.send(one), day.send(other)
            same = contents(one) == contents(other)
            self.assertTrue(verdicts[0].ok)
            self.assertEqual(verdicts[1].ok, same)
            if not same:
                self.assertEqual(verdicts[1].kind, ErrorKind.CONFIG_CONFLICT)

    def test_planted_fault_an_equal_version_that_overwrites_is_found(self) -> None:
        def wins(state: Items, row: Row) -> bool:
            before = state._rows.get((row.section, row.name))
            return before is None or row.version >= before.version

        with mock.patch.object(Items, "_wins", wins):
            self.assertTrue(Day(1).run(5))

    def test_planted_fault_a_repeat_taken_for_other_content_is_found(self) -> None:
        with mock.patch.object(items, "same_content", lambda one, other: one is other):
            self.assertTrue(Day(1).run(5))

    def test_planted_fault_tombstones_pruned_too_early_is_found(self) -> None:
        with (
            mock.patch.object(items, "MAX_TOMBSTONES", 1),
            mock.patch.object(DeletedVersions, "find", lambda versions, key: None),
        ):
            self.assertTrue(Day(1).run(10))

    def test_a_repeat_changes_nothing_however_few_tombstones_are_kept(self) -> None:
        for seed in range(60):
            with self.subTest(seed=seed), mock.patch.object(items, "MAX_TOMBSTONES", seed % 4):
                self.assertEqual(Day(seed).run(40), [])


class LongDay(unittest.TestCase):
    """A day with the operators' target of 850 changes, each of which deletes many names."""

    CHANGES, NAMES = 850, 19

    def test_at_its_end_every_call_of_the_day_may_be_repeated(self) -> None:
        state = Items()
        state.apply(first_call(), 1)
        bodies = []
        for number in range(2, self.CHANGES + 2):
            names = [f"r-{number}-{n}" for n in range(self.NAMES)]
            body = json.encode({"Del": {"Routes": [deletion(name, number) for name in names]}})
            bodies += [json.encode({"Upsert": {"Routes": [route(names[0], number - 1, "s-0")]}}), body]
        for index, body in enumerate(bodies, 2):
            self.assertTrue(state.apply(body, index).ok)
        last = json.encode({"Del": {"Svcs": [deletion("s-0", self.CHANGES + 2)]}})
        self.assertTrue(state.apply(last, len(bodies) + 2).changed)
        before = state.fetch()
        for index, body in enumerate(bodies, len(bodies) + 3):
            self.assertEqual(state.apply(body, index), Verdict(True))
        self.assertEqual(state.fetch(), before)


if __name__ == "__main__":
    unittest.main()
