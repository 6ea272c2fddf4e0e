"""The event catalogue has exactly one entry per event, with the same number, level and text."""

from __future__ import annotations

import ast
import io
import logging
import sys
import unittest
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from string import Formatter
from unittest import mock

from minthitch.cli.catalogue import FILE, read
from minthitch.mesh.events.events import LOG, Event, log_event, lost_line_count, open_log

SOURCES = Path(__file__).parents[2] / "minthitch"


class Catalogue(unittest.TestCase):
    def test_each_event_once_with_its_number_level_and_words(self) -> None:
        entries = read(FILE.read_text())
        rows = [(entry.number, entry.level, entry.says) for entry in entries]
        events = [
            (number, logging.getLevelName(level).lower(), text)
            for number, level, text in (event.value for event in Event)
        ]
        self.assertEqual(rows, sorted(events))
        self.assertEqual(len(rows), len({number for number, *_ in rows}))
        self.assertTrue(all(entry.when and entry.what_to_do for entry in entries))

    def test_events_are_not_aliases_of_each_other(self) -> None:
        # An Enum makes a second member of equal value an alias of the first, which hides it.
        self.assertEqual(len(Event.__members__), len(list(Event)))


class ClosedPipe(io.StringIO):
    """Standard error whose reader is gone."""

    def write(self, text: str) -> int:
        raise BrokenPipeError


@contextmanager
def unwritable_log() -> Iterator[None]:
    """Log events go to a standard error whose reader is gone."""
    with (
        mock.patch.object(sys, "stderr", ClosedPipe()),
        mock.patch.object(LOG, "handlers", []),
        mock.patch.object(LOG, "level", LOG.level),
        mock.patch.object(LOG, "propagate", False),
    ):
        open_log()
        yield


class Unwritable(unittest.TestCase):
    def test_a_line_that_cannot_be_written_is_dropped_and_counted(self) -> None:
        with unwritable_log():
            for _ in range(3):
                log_event(Event.READY)
            self.assertEqual(lost_line_count(), 3)


class Logged(unittest.TestCase):
    def test_each_event_is_logged_somewhere_with_the_values_that_its_text_names(self) -> None:
        logged: dict[str, set[str]] = {}
        for path in SOURCES.rglob("*.py"):
            for node in ast.walk(ast.parse(path.read_text())):
                if (
                    isinstance(node, ast.Call)
                    and isinstance(node.func, ast.Name)
                    and node.func.id == "log_event"
                ):
                    event = node.args[0]
                    assert isinstance(event, ast.Attribute)
                    values = {str(keyword.arg) for keyword in node.keywords}
                    self.assertEqual(logged.setdefault(event.attr, values), values, path)
        named = {
            event.name: {name for _, name, _, _ in Formatter().parse(event.value[2]) if name}
            for event in Event
        }
        self.assertEqual(logged, named)
