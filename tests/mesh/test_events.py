"""The catalogue of events: each has its entry, each entry its event, and both say the same."""

from __future__ import annotations

import logging
import unittest

from minthitch.cli.catalogue import FILE, read
from minthitch.scribe.events import Event


class Catalogue(unittest.TestCase):
    def test_each_event_once_with_its_number_level_and_words(self) -> None:
        entries = read(FILE.read_text())
        rows = [(entry.number, entry.level, entry.says) for entry in entries]
        events = [(number, logging.getLevelName(level).lower(), text)
                  for number, level, text in (event.value for event in Event)]
        self.assertEqual(rows, sorted(events))
        self.assertEqual(len(rows), len({number for number, *_ in rows}))
        self.assertTrue(all(entry.when and entry.what_to_do for entry in entries))

    def test_events_are_not_aliases_of_each_other(self) -> None:
        # An Enum takes a second member of equal value for another name of the first, and hides it.
        self.assertEqual(len(Event.__members__), len(list(Event)))
