"""Compatibility with stored data and frames of commit a6e14cd (see tests/golden)."""

from __future__ import annotations

import logging
import shutil
import tempfile
import unittest
from pathlib import Path
from typing import Any

import msgpack

from minthitch.mesh.configuration.items import Replica
from minthitch.mesh.configuration.settings import parse_settings
from minthitch.mesh.control.state_machine import StateMachine
from minthitch.mesh.events.events import Event
from minthitch.mesh.raft.log import DATA, NOOP, Entry
from minthitch.mesh.storage.store import Condition, Store
from minthitch.mesh.transport.framing import Inbox, Outbox

GOLDEN = Path(__file__).parents[1] / "golden"
VOTERS = ("10.1.0.14#0", "10.2.0.10#0", "10.3.0.12#a1b2c3d4e5f6")
CONFIGURATION = (
    b'{"Routes":[{"Name":"search","Ver":"00000002","Host":"api.example","Pfx":"/search/","Kind":"idempotent",'
    b'"TmoS":2.5,"Prio":1,"Tries":2,"Svc":"timetable"}],'
    b'"Svcs":[{"Name":"timetable","Ver":"00000001","Hc":"/health","Maxconn":64,"Dedup":false}]}'
)


def frames() -> dict[str, bytes]:
    """The bytes of each frame, by name."""
    lines = (GOLDEN / "frames.txt").read_text().splitlines()
    return {name: bytes.fromhex(data) for name, data in (line.split() for line in lines)}


def message_in(frame: bytes) -> tuple[Any, ...]:
    """Decode the single message in a frame."""
    (packed,) = Inbox().feed(frame)
    message: tuple[Any, ...] = msgpack.unpackb(packed, use_list=False)
    return message


class StoredData(unittest.TestCase):
    def test_a_data_folder_is_loaded_with_hard_state_snapshot_and_log(self) -> None:
        with tempfile.TemporaryDirectory() as scratch:
            folder = shutil.copytree(GOLDEN / "control-data", Path(scratch) / "data")
            store = Store(str(folder), 256 * 1024)
            self.addCleanup(store.close)
            self.assertIs(store.condition, Condition.INTACT)
            self.assertEqual(store.incarnation, "a1b2c3d4e5f6")
            saved = store.load()
        assert saved is not None
        self.assertEqual((saved.term, saved.voted_for, saved.snapshot.voters), (5, "10.2.0.10#0", VOTERS))
        self.assertEqual((saved.snapshot.index, saved.snapshot.term), (7, 4))
        self.assertEqual(saved.snapshot.data, (GOLDEN / "state.snapshot").read_bytes())
        self.assertEqual([(e.index, e.term, e.kind) for e in saved.entries], [(8, 5, NOOP), (9, 5, DATA)])
        self.assertIsInstance(saved.entries[0], Entry)

    def test_a_snapshot_of_the_state_is_restored_and_written_again_as_the_same_bytes(self) -> None:
        data = (GOLDEN / "state.snapshot").read_bytes()
        state = StateMachine()
        state.restore(data)
        self.assertEqual(state.items.fetch(), CONFIGURATION)
        self.assertEqual((state.rotation_index, state.elapsed_ms), (5, 2000))
        newest, older = state.claims.generations
        self.assertEqual(tuple(newest[b"newer-key"]), ("10.1.0.9/8", b"claim-2", b"digest-2"))
        self.assertEqual(tuple(older[b"older-key"]), ("10.1.0.8/7", b"claim-1", b"digest-1"))
        self.assertEqual(state.snapshot(), data)

    def test_a_delta_of_the_configuration_is_merged_and_sent_as_the_same_bytes(self) -> None:
        data = (GOLDEN / "configuration.delta").read_bytes()
        replica = Replica()
        self.assertTrue(replica.merge(data))
        self.assertEqual(replica.fetch(), CONFIGURATION)
        self.assertEqual(replica.since(0), data)

    def test_a_settings_file_is_read_with_fields_that_are_not_known(self) -> None:
        boot = parse_settings((GOLDEN / "node.conf").read_text())
        self.assertEqual(
            (boot.own.node, boot.own.svc, boot.own.upstream), ("sidecar-north-3", "fares", "10.9.0.3:9100")
        )
        self.assertEqual(boot.net.azs, {"north": "upland", "south.west": "upland"})
        self.assertEqual((boot.net.port_range, len(boot.net.seeds)), ((7000, 7010), 2))
        bounds = boot.terms.bounds
        self.assertEqual(
            (bounds.drain_s, bounds.retry_ratio, bounds.retry_slack, bounds.key_win_s), (3.0, 0.1, 0.0, 90.0)
        )


class Frames(unittest.TestCase):
    def test_each_frame_holds_one_message_and_is_framed_again_as_the_same_bytes(self) -> None:
        for name, frame in frames().items():
            outbox = Outbox()
            outbox.put(msgpack.packb(message_in(frame)), 0)
            self.assertEqual(outbox.next_frame(), frame, name)


class Events(unittest.TestCase):
    def test_numbers_and_levels_of_events_stay(self) -> None:
        rows = [line.split() for line in (GOLDEN / "events.txt").read_text().splitlines()]
        present = {number: level for number, level, _ in (event.value for event in Event)}
        for number, level in rows:
            self.assertEqual(present.get(int(number)), int(level), logging.getLevelName(int(level)))
