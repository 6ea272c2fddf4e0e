"""The capacity page and its figures, the lines through them, and what the bench counts."""

from __future__ import annotations

import contextlib
import io
import os
import sys
import unittest
from unittest import mock

from bench.capacity import FIGURES, PAGE
from minthitch.mesh.transport.connection import HEARTBEAT_FRAME
from rigs.hollow import channel, page, target
from rigs.hollow.figures import CORE_PART, found, judged, load, rates
from rigs.hollow.fit import fitted
from rigs.hollow.meter import CONTROL, COUNTED, SIDECAR
from rigs.hollow.scenarios import routes


class ThePage(unittest.TestCase):
    def test_tables_are_those_of_the_figures(self) -> None:
        text = PAGE.read_text()
        self.assertEqual(text, page.filled(text, FIGURES), "run python -m bench.capacity --page")

    def test_it_has_every_table_once(self) -> None:
        names = [match.group(2) for match in page.MARK.finditer(PAGE.read_text())]
        self.assertEqual(sorted(names), sorted(page.TABLES))

    def test_another_figure_makes_another_page(self) -> None:
        data = load(FIGURES)
        before = target.target_table(data)
        for part in data["sizes"]["parts"]:
            calm = found(part, "calm")
            assert calm is not None
            calm["sidecar"]["cpu_s"] += 8.0
        after = target.target_table(data)
        self.assertNotEqual(before, after)

    def test_what_is_over_its_bound_is_bold(self) -> None:
        self.assertEqual(judged(4.0, 3.9, "%"), "**4 %**")
        self.assertEqual(judged(3.9, 3.9, "%"), "3.9 %")


class TheLine(unittest.TestCase):
    def test_points_on_a_line(self) -> None:
        line = fitted([(30.0, 62.0), (100.0, 202.0), (300.0, 602.0)])
        self.assertAlmostEqual(line.base, 2.0)
        self.assertAlmostEqual(line.slope, 2.0)
        self.assertAlmostEqual(line.residual, 0.0)
        self.assertAlmostEqual(line.at(880.0), 1762.0)

    def test_residual_tells_of_a_curve(self) -> None:
        self.assertGreater(fitted([(x, x * x) for x in (30.0, 100.0, 300.0, 880.0)]).residual, 0.05)

    def test_one_size_is_no_line(self) -> None:
        with self.assertRaises(ValueError):
            fitted([(30.0, 1.0), (30.0, 2.0)])


class TheVerdict(unittest.TestCase):
    def _part(self, cpu: float, told: float) -> dict[str, object]:
        used = dict.fromkeys(COUNTED, 0) | {"cpu_s": cpu, "rss_mb": 1.0}
        calm = {"scenario": "calm", "seconds": 10.0, "sidecar": used}
        order = {"scenario": "an order of one route", "seconds": 1.0, "sidecar": used, "all_s": told}
        return {"nodes": 30, "rows": [calm, order]}

    def test_within_the_bounds(self) -> None:
        self.assertEqual(target.over_bound([self._part(CORE_PART * 9.9, 8.9)]), [])

    def test_too_much_processor_time(self) -> None:
        self.assertEqual(len(target.over_bound([self._part(CORE_PART * 10.1, 8.9)])), 1)

    def test_news_that_comes_late(self) -> None:
        self.assertEqual(len(target.over_bound([self._part(0.0, 9.1)])), 1)


class TheCounting(unittest.TestCase):
    def test_rates_are_by_the_second(self) -> None:
        used = {"messages_in": 3, "messages_out": 7, "beats_in": 0, "beats_out": 4, "cpu_s": 1.0}
        row = {"seconds": 2.0, "leader": used | {"bytes_in": 500, "bytes_out": 1500}}
        self.assertEqual(rates(row, "leader"), {"messages": 5.0, "beats": 2.0, "kb": 1.0, "core": 0.5})

    def test_kinds_of_the_other_end(self) -> None:
        self.assertNotEqual(SIDECAR, CONTROL)
        self.assertEqual(len(HEARTBEAT_FRAME), 11)  # the page names the bytes of a beat

    def test_a_first_order_brings_the_services(self) -> None:
        first, second = routes(49, 196, 1)["Upsert"], routes(49, 196, 2)["Upsert"]
        self.assertEqual((len(first["Svcs"]), len(first["Routes"])), (49, 196))
        self.assertEqual(second["Svcs"], [])
        self.assertEqual({route["Svc"] for route in second["Routes"]}, {f"svc-{n}" for n in range(49)})


class TheChannel(unittest.TestCase):
    """A child must not outlive its measurer."""

    def _ends(self, requests: str, output: io.StringIO) -> list[int]:
        ended: list[int] = []
        with (
            mock.patch.object(sys, "stdin", io.StringIO(requests)),
            mock.patch.object(sys, "stdout", output),
            mock.patch.object(os, "_exit", ended.append),
            contextlib.suppress(BrokenPipeError),
        ):
            channel._serve(lambda request: request)
        return ended

    def test_it_answers_and_ends_with_its_input(self) -> None:
        output = io.StringIO()
        self.assertEqual(self._ends('{"do": 1}\n{"do": 2}\n', output), [channel.ORPHANED])
        self.assertEqual(output.getvalue(), '{"do": 1}\n{"do": 2}\n')

    def test_it_ends_when_nobody_reads_its_answers(self) -> None:
        output = mock.Mock(write=mock.Mock(side_effect=BrokenPipeError))
        self.assertEqual(self._ends('{"do": 1}\n', output), [channel.ORPHANED])


if __name__ == "__main__":
    unittest.main()
