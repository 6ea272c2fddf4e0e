"""Days drawn for the mesh: all pairs meet, strengths stay within what sites use, places are the site's."""

from __future__ import annotations

import contextlib
import io
import tempfile
import tomllib
import unittest
from itertools import chain, combinations, islice
from pathlib import Path
from typing import Any

from minthitch.cli.commands import main
from minthitch.config import ConfigError
from minthitch.lab import meshdays

SITE = """
zones = [{ name = "east" }, { name = "west" }]
services = [{ name = "maps" }, { name = "tolls" }]
troubles = [{ kind = "grey", share = 0.1, for_s = 3.0, how = "slow" },
            { kind = "roll_term", share = 0.5, x = 1.0 }]

[[day]]
name = "calm"
faults = []
closing = { kind = "dark", down_s = 1.5 }

[[day]]
name = "rough"
closing = { kind = "torn", down_s = 0.5, how = "aimed" }
plan = [{ at = 2.0, kind = "config_change", how = "idle" },
        { at = 3.0, kind = "roll_term", share = 0.4, x = 3.0 }]
faults = [{ at = 11.0, kind = "grey", share = 0.3, for_s = 5.0 },
          { at = 14.0, kind = "cut", count = 1, service = "maps" }]
"""
OTHER = """
zones = [{ name = "far" }]
services = [{ name = "else" }]
troubles = [{ kind = "cut", count = 9 }, { kind = "lost", share = 0.2, service = "else", to_zone = "far" }]
"""
PAGE = "Words on the page.\n\ngrey: share (.2) how: slow bad (or so)\nlost: share\nnews: count (1)\n"
KINDS = 20


def pool(page: str | None = None) -> meshdays.Pool:
    kinds = None if page is None else meshdays.page(page)
    return meshdays.pool(tomllib.loads(SITE), [tomllib.loads(OTHER)], kinds)


def rows(made: list[dict[str, Any]], kind: str) -> list[dict[str, Any]]:
    return [row for day in made for row in (*day["plan"], *day["faults"]) if row["kind"] == kind]


class Design(unittest.TestCase):
    def test_all_pairs_meet_in_few_days_and_one_day_has_one_closing(self) -> None:
        kinds = [*map(str, range(KINDS)), *(meshdays.CLOSING + name for name in ("a", "b"))]
        wanted = {frozenset(pair) for pair in combinations(kinds, 2)} - {frozenset(kinds[KINDS:])}
        for seed in range(3):
            chosen = list(islice(meshdays.design(kinds, 4, seed), 60))  # 231 pairs, six a day: 39 at best
            met = {frozenset(pair) for day in chosen for pair in combinations(day, 2)}
            self.assertEqual(met, wanted)
            self.assertEqual({len(set(day)) for day in chosen}, {4})

    def test_alone_each_kind_has_its_day(self) -> None:
        chosen = list(islice(meshdays.design(["a", "b", "c"], 1, 5), 6))
        self.assertEqual([sorted(chain(*part)) for part in (chosen[:3], chosen[3:])], [["a", "b", "c"]] * 2)


class Drawn(unittest.TestCase):
    def test_strengths_times_and_places_stay_within_what_the_sites_use(self) -> None:
        made = meshdays.days(pool(), 7, 80, 3)
        grey, cut, roll = (rows(made, kind) for kind in ("grey", "cut", "roll_term"))
        self.assertTrue(all(0.1 <= row["share"] <= 0.3 and 3.0 <= row["for_s"] <= 5.0 for row in grey))
        self.assertGreater(len({row["share"] for row in grey}), 5)
        self.assertEqual({(row["x"], type(row["x"])) for row in roll}, {(x, float) for x in (1.0, 2.0, 3.0)})
        self.assertEqual({row["count"] for row in cut}, {1})  # as the site has it; the other has nine
        lost = rows(made, "lost")
        self.assertEqual({row["service"] for row in (*cut, *lost) if "service" in row}, {"maps", "tolls"})
        self.assertEqual({row["to_zone"] for row in lost}, {"east", "west"})
        self.assertTrue(all(11.0 <= row["at"] <= 14.0 for row in (*grey, *cut, *roll, *lost)))
        for day in made:
            self.assertEqual({row["kind"] for row in day["plan"]} - {"config_change", "roll_term"}, set())
            self.assertIn({"at": 2.0, "kind": "config_change", "how": "idle"}, day["plan"])
        self.assertEqual({day["closing"]["kind"] for day in made if "closing" in day}, {"dark", "torn"})

    def test_the_page_of_kinds_bounds_them_and_adds_variants(self) -> None:
        drawn = pool(PAGE)
        self.assertEqual(drawn.kinds, ("grey", "lost", "news", "closing/dark", "closing/torn"))
        made = meshdays.days(drawn, 1, 40, 1)
        self.assertEqual({row.get("how") for row in rows(made, "grey")}, {None, "slow", "bad"})
        self.assertTrue(rows(made, "news"))

    def test_a_file_that_is_no_site_and_figures_out_of_range_are_said(self) -> None:
        for text in ("", "day = 3", SITE.replace('kind = "grey"', "kind = 3")):
            self.assertRaises(ConfigError, meshdays.pool, tomllib.loads(text))
        for count, mix in ((0, 1), (meshdays.MOST_DAYS + 1, 1), (1, 0), (1, meshdays.MOST_MIX + 1)):
            self.assertRaises(ConfigError, meshdays.days, pool(), 1, count, mix)

    def test_the_command_writes_the_days_of_its_seed(self) -> None:
        with tempfile.TemporaryDirectory() as folder, contextlib.redirect_stdout(io.StringIO()) as out:
            site = Path(folder, "site.toml")
            site.write_text(SITE, encoding="utf-8")
            words = ["--seed", "3", "--count", "2", "--mix", "2", "--out"]
            self.assertEqual(main(["lab", "mesh-days", str(site), *words, f"{folder}/out"]), 0)
            written = sorted(Path(folder, "out").iterdir())
            read = [tomllib.loads(path.read_text(encoding="utf-8"))["day"] for path in written]
        drawn = meshdays.pool(tomllib.loads(SITE))
        self.assertEqual(read, [[day] for day in meshdays.days(drawn, 3, 2, 2)])
        self.assertEqual(len(out.getvalue().splitlines()), 2)
