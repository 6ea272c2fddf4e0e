"""Files written by commit a6e14cd are still read with the same content (see tests/golden)."""

from __future__ import annotations

import shutil
from pathlib import Path

from minthitch.record.model import State
from minthitch.record.sqlite import SqliteStore
from minthitch.recovery.frame import decode, encode

GOLDEN = Path(__file__).parent / "golden"


def test_a_snapshot_of_what_was_learned_is_read_and_written_as_the_same_bytes() -> None:
    data = (GOLDEN / "recovery.snapshot").read_bytes()
    snapshot = decode(data)
    assert (snapshot.cluster, snapshot.node, snapshot.generation) == ("lahore", "n1", 7)
    assert [host.name for host in snapshot.hosts] == ["s1"]
    assert encode(snapshot) == data


def test_a_record_is_opened_with_what_it_held(tmp_path: Path) -> None:
    store = SqliteStore(shutil.copy(GOLDEN / "record.db", tmp_path / "record.db"))
    store.open()
    records = {record.identity: record for record in store.export()}
    store.close()
    assert {identity: record.state for identity, record in records.items()} == {
        "id-1": State.SERVED,
        "id-2": State.FAILED,
        "id-3": State.INTENT,
    }
    assert (records["id-1"].answer, records["id-1"].content_type) == (b"answer", b"text/plain")
    assert (records["id-2"].reason, records["id-3"].server) == ("reset", "s2")
