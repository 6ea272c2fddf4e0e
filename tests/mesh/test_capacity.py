"""The capacity page and its figures, the lines fitted to them, and what the benchmark counts."""

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


class CapacityPage(unittest.TestCase):
    def test_tables_match_the_figures(self) -> None:
        text = PAGE.read_text()
        self.assertEqual(text, page.filled(text, FIGURES), "run python -m bench.capacity --page")

    def test_each_table_occurs_once(self) -> None:
        names = [match.group(2) for match in page.MARK.finditer(PAGE.read_text())]
        self.assertEqual(sorted(names), sorted(page.TABLES))

    def test_a_changed_figure_changes_the_page(self) -> None:
        data = load(FIGURES)
        before = target.target_table(data)
        for part in data["sizes"]["parts"]:
            calm = found(part, "calm")
            assert calm is not None
            calm["sidecar"]["cpu_s"] += 8.0
        after = target.target_table(data)
        self.assertNotEqual(before, after)

    def test_values_over_their_limit_are_bold(self) -> None:
        self.assertEqual(judged(4.0, 3.9, "%"), "**4 %**")
        self.assertEqual(judged(3.9, 3.9, "%"), "3.9 %")


class FittedLine(unittest.TestCase):
    def test_points_on_a_line(self) -> None:
        line = fitted([(30.0, 62.0), (100.0, 202.0), (300.0, 602.0)])
        self.assertAlmostEqual(line.base, 2.0)
        self.assertAlmostEqual(line.slope, 2.0)
        self.assertAlmostEqual(line.residual, 0.0)
        self.assertAlmostEqual(line.at(880.0), 1762.0)

    def test_residual_reveals_a_curve(self) -> None:
        self.assertGreater(fitted([(x, x * x) for x in (30.0, 100.0, 300.0, 880.0)]).residual, 0.05)

    def test_points_of_one_size_do_not_define_a_line(self) -> None:
        with self.assertRaises(ValueError):
            fitted([(30.0, 1.0), (30.0, 2.0)])


class Verdict(unittest.TestCase):
    def _part(self, cpu: float, update_s: float) -> dict[str, object]:
        used = dict.fromkeys(COUNTED, 0) | {"cpu_s": cpu, "rss_mb": 1.0}
        calm = {"scenario": "calm", "seconds": 10.0, "sidecar": used}
        order = {"scenario": "an order of one route", "seconds": 1.0, "sidecar": used, "all_s": update_s}
        return {"nodes": 30, "rows": [calm, order]}

    def test_within_the_limits(self) -> None:
        self.assertEqual(target.over_bound([self._part(CORE_PART * 9.9, 8.9)]), [])

    def test_too_much_cpu_time(self) -> None:
        self.assertEqual(len(target.over_bound([self._part(CORE_PART * 10.1, 8.9)])), 1)

    def test_late_updates(self) -> None:
        self.assertEqual(len(target.over_bound([self._part(0.0, 9.1)])), 1)


class Counting(unittest.TestCase):
    def test_rates_are_per_second(self) -> None:
        used = {"messages_in": 3, "messages_out": 7, "beats_in": 0, "beats_out": 4, "cpu_s": 1.0}
        row = {"seconds": 2.0, "leader": used | {"bytes_in": 500, "bytes_out": 1500}}
        self.assertEqual(rates(row, "leader"), {"messages": 5.0, "beats": 2.0, "kb": 1.0, "core": 0.5})

    def test_peer_kinds_and_heartbeat_size(self) -> None:
        self.assertNotEqual(SIDECAR, CONTROL)
        self.assertEqual(len(HEARTBEAT_FRAME), 11)  # the page states the size of a heartbeat

    def test_the_first_change_adds_the_services(self) -> None:
        first, second = routes(49, 196, 1)["Upsert"], routes(49, 196, 2)["Upsert"]
        self.assertEqual((len(first["Svcs"]), len(first["Routes"])), (49, 196))
        self.assertEqual(second["Svcs"], [])
        self.assertEqual({route["Svc"] for route in second["Routes"]}, {f"svc-{n}" for n in range(49)})


class ChildChannel(unittest.TestCase):
    """A child process must not outlive the measuring process."""

    def _exit_codes(self, requests: str, output: io.StringIO) -> list[int]:
        exit_codes: list[int] = []
        with (
            mock.patch.object(sys, "stdin", io.StringIO(requests)),
            mock.patch.object(sys, "stdout", output),
            mock.patch.object(os, "_exit", exit_codes.append),
            contextlib.suppress(BrokenPipeError),
        ):
            channel._serve(lambda request: request)
        return exit_codes

    def test_the_child_replies_and_exits_at_end_of_input(self) -> None:
        output = io.StringIO()
        self.assertEqual(self._exit_codes('{"do": 1}\n{"do": 2}\n', output), [channel.ORPHANED])
        self.assertEqual(output.getvalue(), '{"do": 1}\n{"do": 2}\n')

    def test_the_child_exits_when_its_replies_are_not_read(self) -> None:
        output = mock.Mock(write=mock.Mock(side_effect=BrokenPipeError))
        self.assertEqual(self._exit_codes('{"do": 1}\n', output), [channel.ORPHANED])


if __name__ == "__main__":
    unittest.main()
