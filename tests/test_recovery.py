"""Snapshots and recovery after a crash: decoding, trust, peers' reports, phases, and real processes."""

from __future__ import annotations

import asyncio
import errno
import os
import re
import subprocess
import sys
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import replace
from pathlib import Path
from typing import Any

import msgspec
import pytest
import tomli_w
from hypothesis import given
from hypothesis import strategies as st
from msgspec.structs import replace as change

from minthitch import ConfigError, operatorfile
from minthitch.interface import SECOND, ListKind, ServerEntry
from minthitch.recovery.frame import HEADER, VERSION, Fault, FrameError, decode, encode
from minthitch.recovery.learned import class_evidence, restore, warm_rate
from minthitch.recovery.model import EvidenceSums, HostRow, Snapshot, class_digest, cold_digest
from minthitch.recovery.peer_client import query_peers
from minthitch.recovery.peer_reports import PeerReport, merge_reports
from minthitch.recovery.phases import Observation, Phase, PhaseTracker
from minthitch.recovery.plot import render_page
from minthitch.recovery.progress import LINE_PREFIX, ProgressLine, ProgressLog, parse_log
from minthitch.recovery.store import Store, newest
from minthitch.recovery.trust import AgeLimits, NodeContext, Trusted, evaluate
from minthitch.recovery.write_schedule import MAX_BACKOFF, WriteSchedule
from rigs.cluster.cluster import Cluster
from rigs.cluster.play import play
from rigs.cluster.powerloss import MAKE, TABLE, WANTS
from rigs.process import free_port
from tests.rules import CLASSES, SAFE, settings
from tests.simulated_fleet import SimulatedFleet, SimulatedServer
from tests.test_cli import command
from tests.test_node import run
from tests.test_operatorfile import GOOD
from tests.test_powerloss import cold_crew

SETUP = settings(cold_share=0.25, cold_time=9 * SECOND, siblings=4)
HOUR = 3_600 * SECOND
THEN = 1_700_000_000 * SECOND
TIMES = EvidenceSums(40.0, 38.0, 38.0, 4.0)
STORED = Snapshot(
    "lahore",
    "n1",
    7,
    "boot-1",
    THEN,
    500 * SECOND,
    4,
    cold_digest(SETUP),
    {spec.name: (class_digest(spec), TIMES) for spec in CLASSES},
    {"k": TIMES},
    20.0,
    THEN,
    500 * SECOND,
    9,
    (HostRow("s1", "127.0.0.1", 9001, born_ms=3),),
)
DATA = encode(STORED)


def test_truncated_or_altered_snapshot_is_rejected() -> None:
    """Cut off at every byte, as a crash leaves it, and with each byte altered."""
    assert decode(DATA) == STORED
    for size in range(len(DATA)):
        with pytest.raises(FrameError) as err:
            decode(DATA[:size])
        assert err.value.fault is (Fault.EMPTY if not size else Fault.TORN)
    for place in range(len(DATA)):
        with pytest.raises(FrameError):
            decode(DATA[:place] + bytes([DATA[place] ^ 0x55]) + DATA[place + 1 :])


@pytest.mark.parametrize(
    ("data", "fault"),
    [
        (b"", Fault.EMPTY),
        (b"\0" * 400, Fault.EMPTY),
        (b"[operators]\n", Fault.FOREIGN),
        (DATA + b"x", Fault.LONGER),
        (DATA[:-1] + b"\xff", Fault.ALTERED),
        (DATA[:8] + (VERSION + 1).to_bytes(2, "big") + DATA[10:], Fault.NEWER),
    ],
)
def test_invalid_snapshot_names_its_fault(data: bytes, fault: Fault) -> None:
    with pytest.raises(FrameError) as err:
        decode(data)
    assert err.value.fault is fault


@given(st.binary(max_size=200))
def test_any_bytes_decode_or_raise_frame_error(data: bytes) -> None:
    for each in (data, DATA[: HEADER.size] + data):
        try:
            decode(each)
        except FrameError:
            continue
        assert each == DATA


def test_crash_during_a_write_leaves_the_previous_snapshot(tmp_path: Path) -> None:
    store = Store(tmp_path, "n1")
    assert newest(store.read()) is None
    for generation in (1, 2, 3):
        store.write(change(STORED, generation=generation))
    for size in range(0, len(DATA), 7):  # write 4 is cut off: in the temporary file or in the older slot
        for path in (tmp_path / "n1.a.new", store.paths[1 - store.newest_slot]):
            path.write_bytes(DATA[:size])
            best = newest(Store(tmp_path, "n1").read())
            assert best is not None and best.snapshot == change(STORED, generation=3)
    again = Store(tmp_path, "n1")
    again.read()
    again.write(change(STORED, generation=4))
    best = newest(again.read())
    assert best is not None and best.snapshot is not None and best.snapshot.generation == 4
    assert again.forget() == 2 and newest(again.read()) is None


WRITER = """
import sys
from minthitch.recovery.frame import decode
from minthitch.recovery.store import Store
from msgspec.structs import replace
kept, store = decode(sys.stdin.buffer.read()), Store(sys.argv[1], "n1")
store.read()
for generation in range(1, 100_000):
    store.write(replace(kept, generation=generation))
    print(generation, flush=True)
"""


def test_killed_writer_leaves_its_last_complete_snapshot(tmp_path: Path) -> None:
    """SIGKILL right after the nth snapshot was reported, while the next one is being written."""
    for count in (1, 2, 3, 8, 21):
        writer = subprocess.Popen(
            [sys.executable, "-c", WRITER, str(tmp_path)], stdin=subprocess.PIPE, stdout=subprocess.PIPE
        )
        assert writer.stdin is not None and writer.stdout is not None
        writer.stdin.write(DATA)
        writer.stdin.close()
        told = [int(writer.stdout.readline()) for _ in range(count)]
        writer.kill()
        writer.wait()
        last = max([*told, *map(int, writer.stdout.read().split())])
        writer.stdout.close()
        best = newest(Store(tmp_path, "n1").read())
        assert best is not None and best.snapshot is not None
        assert last <= best.snapshot.generation <= last + 1
        Store(tmp_path, "n1").forget()


def test_full_disk_leaves_the_previous_snapshot(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    store = Store(tmp_path, "n1")
    store.write(STORED)

    def full(_descriptor: int) -> None:
        raise OSError(errno.ENOSPC, "No space left on device")

    monkeypatch.setattr(os, "fsync", full)
    for _ in range(3):
        with pytest.raises(OSError, match="No space"):
            store.write(change(STORED, generation=8))
    best = newest(store.read())
    assert best is not None and best.snapshot == STORED and not list(tmp_path.glob("*.new"))


def test_failing_disk_is_logged_once_and_backed_off() -> None:
    schedule, now, tries, said = WriteSchedule(5, 3, 0), 0, list[int](), list[str]()
    while now < 400:
        action = schedule.tick(now)
        if action is not None:
            tries.append(now)
            line = schedule.failed(now, "disk full") if now < 300 else schedule.written(now)
            said += [line.text] if line is not None else []
        now += 1
    pauses = [b - a for a, b in zip(tries, tries[1:], strict=False)]
    assert pauses[:3] == [10, 20, 40] and max(pauses) == 5 * MAX_BACKOFF and pauses[-1] == 5
    assert len(said) == 2 and "disk full" in said[0] and "again" in said[1]
    assert schedule.tick(401) or schedule.end()


AGES: list[tuple[str, Callable[[Snapshot, NodeContext], tuple[Snapshot, NodeContext]], set[str]]] = [
    (
        "at once, on the same boot",
        lambda s, n: (s, replace(n, boot="boot-1", up=s.up + SECOND // 4)),
        {"classes", "rate", "list"},
    ),
    (
        "at once, another boot",
        lambda s, n: (s, replace(n, wall=THEN + SECOND // 4)),
        {"classes", "rate", "list"},
    ),
    ("a minute later", lambda s, n: (s, replace(n, wall=THEN + 60 * SECOND)), {"classes", "rate"}),
    ("two days later", lambda s, n: (s, replace(n, wall=THEN + 48 * HOUR)), set()),
    (
        "the clock was set forward an hour",
        lambda s, n: (s, replace(n, wall=THEN + HOUR)),
        {"classes", "rate"},
    ),
    ("the clock was set back an hour", lambda s, n: (s, replace(n, wall=THEN - HOUR)), set()),
    ("the same boot, yet earlier", lambda s, n: (s, replace(n, boot="boot-1", up=s.up - 1)), set()),
    ("another cluster", lambda s, n: (change(s, cluster="karachi"), n), set()),
    ("other cold-start settings", lambda s, n: (change(s, cold="x"), n), {"classes", "list"}),
    ("other classes", lambda s, n: (change(s, classes={"read": ("x", TIMES)}), n), {"rate", "list"}),
    ("no list was held", lambda s, n: (change(s, listed_wall=0), n), {"classes", "rate"}),
    (
        "the list was old when it was stored",
        lambda s, n: (change(s, listed_wall=THEN - 600 * SECOND), n),
        {"classes", "rate"},
    ),
]


@pytest.mark.parametrize(("name", "turn", "taken"), AGES, ids=[name for name, _, _ in AGES])
def test_which_parts_are_trusted(
    name: str, turn: Callable[[Snapshot, NodeContext], tuple[Snapshot, NodeContext]], taken: set[str]
) -> None:
    kept, now = turn(STORED, NodeContext("lahore", "boot-2", THEN + SECOND // 10, 5 * SECOND))
    found = evaluate(kept, now, SETUP, AgeLimits())
    assert {verdict.part for verdict in found.verdicts if verdict.taken} == taken
    assert (found.hosts is not None) == ("list" in taken) and (found.rate > 0) == ("rate" in taken)
    assert all(verdict.why for verdict in found.verdicts)


def test_old_lists_are_used_only_within_lists_for() -> None:
    now = NodeContext("lahore", "boot-2", THEN + 600 * SECOND, 5 * SECOND)
    for lists_for, used in ((0, False), (599 * SECOND, False), (601 * SECOND, True)):
        found = evaluate(STORED, now, SETUP, AgeLimits(lists_for=lists_for))
        assert (found.hosts is not None) == used


def test_restored_rate_scales_with_siblings_and_decays() -> None:
    now = NodeContext("lahore", "boot-2", THEN, 0)
    assert evaluate(STORED, now, SETUP, AgeLimits()).rate == pytest.approx(20.0)
    assert evaluate(STORED, now, replace(SETUP, siblings=8), AgeLimits()).rate == pytest.approx(10.0)
    assert evaluate(STORED, now, replace(SETUP, siblings=2), AgeLimits()).rate == pytest.approx(20.0)
    assert evaluate(STORED, replace(now, wall=THEN + 12 * HOUR), SETUP, AgeLimits()).rate < 7.0


@given(
    st.floats(0, 1e6),
    st.floats(0, 1e12),
    st.floats(0, 1e12),
    st.integers(0, 1 << 62),
    st.integers(1, 1 << 20),
)
def test_any_snapshot_is_evaluated_and_restored_within_bounds(
    per_second: float, trials: float, time: float, wall: int, siblings: int
) -> None:
    kept = change(
        STORED,
        rate=per_second,
        wall=wall,
        siblings=siblings,
        kinds={"k": EvidenceSums(trials, 1e12, trials, time)},
    )
    found = evaluate(kept, NodeContext("lahore", "", THEN, 0), SETUP, AgeLimits())
    node = SimulatedFleet(SETUP, 1, {}, 1).nodes[0]
    restore(node.balancer, node.now, found, lambda name: 0)
    assert 0 <= warm_rate(node.balancer, node.now) <= 1e6
    assert all(t.trials <= 4.0 + 1e-6 and t.hits <= t.trials for t in found.kinds.values())


def recovered_crew(seed: int, factor: float | None) -> SimulatedFleet:
    """A cold fleet after 2 s, whose nodes restored `factor` times their learned rate; None: nothing."""
    servers = {n: SimulatedServer(20.0) for n in range(1, 13)}
    before = SimulatedFleet(settings(siblings=6, idle_close=30 * SECOND), 6, servers, seed)
    before.deliver_list(ListKind.FULL, tuple(ServerEntry(n, cell=n % 4) for n in before.servers))
    before.run(6 * SECOND, 0.6 * 20.0 * 12)
    fleet = cold_crew(seed, 6, 12, 6)
    for node, old in zip(fleet.nodes, before.nodes, strict=True):
        if factor is not None:
            times = {name: times for name, (_, times) in class_evidence(old.balancer, old.setup).items()}
            restore(
                node.balancer,
                node.now,
                Trusted(rate=factor * warm_rate(old.balancer, old.now), classes=times),
                lambda name: 0,
            )
    fleet.run(2 * SECOND, 0.6 * 20.0 * 12, (SAFE,))
    return fleet


def test_restored_rate_serves_more_first_calls_and_overloads_no_server() -> None:
    """Also if the restored rate is twice what the servers can do."""
    served = dict.fromkeys((None, 1.0, 2.0), 0)
    for factor in served:
        for seed in range(1, 5):
            fleet = recovered_crew(seed, factor)
            served[factor] += fleet.served
            fleet.run(6 * SECOND, 3 * 20.0 * 12, (SAFE,))
            assert not any(fleet.cold_overloads(n) for n in fleet.servers), (factor, seed)
    assert served[1.0] > 1.1 * served[None], served


# Peers' reports --------------------------------------------------------------------------------

COLD = cold_digest(SETUP)


def report(node: str, said: float, age: int = 0, **changes: Any) -> PeerReport:
    return change(PeerReport("lahore", node, COLD, 4, said, age), **changes)


@pytest.mark.parametrize(
    ("reports", "own", "expected"),
    [
        ([], None, 0.0),
        ([], (9.0, 0), 9.0),
        ([report("a", 9.0)], None, 0.0),  # a single report
        ([report("a", 0.0), report("b", 0.0)], None, 0.0),  # rate unknown
        ([report("a", 9.0), report("b", 11.0)], None, 9.0),
        ([report("a", 9.0), report("b", 9000.0)], None, 9.0),  # a thousand times too high
        ([report("a", 9.0), report("b", 9000.0), report("c", 10.0)], None, 10.0),
        ([report("a", 9.0), report("b", 0.001), report("c", 10.0)], None, 9.0),
        ([report("a", 9.0), report("a", 9000.0)], None, 0.0),  # repeated by one node
        ([report("a", 9.0), report("b", 9.0, cluster="other")], None, 0.0),
        ([report("a", 9.0), report("b", 9.0, cold="other")], None, 0.0),
        ([report("a", 9.0), report("b", 9.0, 48 * HOUR)], None, 0.0),
        (
            [report("a", 9.0, 23 * HOUR), report("b", 5.0, 23 * HOUR), report("c", 7.0)],
            None,
            7.0,  # the fresh one decides
        ),
        ([report("a", 9000.0)], (9.0, 0), 9.0),
        (
            [report("a", 8.0, siblings=2), report("b", 8.0, siblings=2)],
            None,
            4.0,  # fewer nodes shared the servers then
        ),
    ],
)
def test_merged_rate_of_reports(
    reports: list[PeerReport], own: tuple[float, int] | None, expected: float
) -> None:
    estimate = merge_reports(reports, own, 8, 8, SETUP, "lahore", AgeLimits())
    assert estimate.rate == pytest.approx(expected)
    assert estimate.siblings >= SETUP.siblings and all(verdict.why for verdict in estimate.verdicts)


@given(
    st.floats(0.1, 1e6),
    st.lists(st.tuples(st.sampled_from("abcdefg"), st.floats(0, 1e6), st.integers(0, 1 << 62)), max_size=9),
)
def test_one_wrong_report_does_not_decide(lie: float, said: list[tuple[str, float, int]]) -> None:
    """Three honest nodes that agree prevail, whatever a fourth reports; and any reports are accepted."""
    honest = [report(name, 10.0) for name in ("x", "y", "z")]
    assert (
        merge_reports([*honest, report("liar", lie)], None, 4, 4, SETUP, "lahore", AgeLimits()).rate == 10.0
    )
    estimate = merge_reports([report(*each) for each in said], None, 9, 9, SETUP, "lahore", AgeLimits())
    assert 0 <= estimate.rate <= max([rate for _, rate, _ in said], default=0.0)


@pytest.mark.parametrize(
    ("live", "asked", "peers", "count"),
    [(3, 3, 3, 4), (7, 7, 7, 8), (1, 7, 7, 4), (0, 7, 7, 4), (0, 0, 0, 4), (8, 8, 16, 16), (32, 32, 199, 16)],
)
def test_answering_peers_only_raise_siblings(live: int, asked: int, peers: int, count: int) -> None:
    """`siblings` is set to 4. A node that hears few peers may be cut off; the others go on sending."""
    reports = [report(f"n{i}", 1.0) for i in range(live)]
    assert merge_reports(reports, None, asked, peers, SETUP, "lahore", AgeLimits()).siblings == count


GOOD_REPORT = msgspec.json.encode(report("good", 5.0))
FAULTY_PEERS: dict[str, Callable[[asyncio.StreamWriter], Awaitable[object]]] = {}


def faulty_peer(call: Callable[[asyncio.StreamWriter], Awaitable[object]]) -> None:
    FAULTY_PEERS[call.__name__] = call


@faulty_peer
async def good(writer: asyncio.StreamWriter) -> None:
    writer.write(b"HTTP/1.1 200 OK\r\n\r\n" + GOOD_REPORT)


@faulty_peer
async def never(_writer: asyncio.StreamWriter) -> None:
    await asyncio.sleep(60)


@faulty_peer
async def slowly(writer: asyncio.StreamWriter) -> None:
    for byte in b"HTTP/1.1 200 OK\r\n\r\n" + GOOD_REPORT:
        writer.write(bytes([byte]))
        await asyncio.sleep(0.05)


@faulty_peer
async def without_end(writer: asyncio.StreamWriter) -> None:
    while True:
        writer.write(b"HTTP/1.1 200 OK\r\n\r\n" + b" " * 4096)
        await writer.drain()


@faulty_peer
async def nonsense(writer: asyncio.StreamWriter) -> None:
    writer.write(b"\xff\x00" * 50)


@faulty_peer
async def deep(writer: asyncio.StreamWriter) -> None:
    writer.write(b"HTTP/1.1 200 OK\r\n\r\n" + b"[" * 10_000)


@faulty_peer
async def refusing(writer: asyncio.StreamWriter) -> None:
    writer.write(b"HTTP/1.1 503 no\r\n\r\n" + GOOD_REPORT)


@faulty_peer
async def below_zero(writer: asyncio.StreamWriter) -> None:
    writer.write(b"HTTP/1.1 200 OK\r\n\r\n" + GOOD_REPORT.replace(b"5.0", b"-5.0"))


async def _query_faulty_peers() -> None:
    tasks = set[asyncio.Task[object]]()

    def serving(call: Callable[[asyncio.StreamWriter], Awaitable[object]]) -> Any:
        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            task = asyncio.current_task()
            assert task is not None
            tasks.add(task)
            with suppress(OSError, asyncio.CancelledError):
                await reader.readuntil(b"\r\n\r\n")
                await call(writer)
            writer.close()

        return serve

    servers = [await asyncio.start_server(serving(call), "127.0.0.1", 0) for call in FAULTY_PEERS.values()]
    peers = [("127.0.0.1", int(server.sockets[0].getsockname()[1])) for server in servers]
    reports = await query_peers([*peers, ("127.0.0.1", free_port())], 1.0)
    assert reports == [msgspec.json.decode(GOOD_REPORT, type=PeerReport)]
    for task in tasks:
        task.cancel()
    for server in servers:
        server.close()


def test_faulty_peers_are_left_out() -> None:
    run(_query_faulty_peers)


# Real processes ---------------------------------------------------------------------------------

DAMAGE: list[tuple[str, Callable[[Path, Path], object], str]] = [
    ("whole", lambda young, old: None, "classes taken"),
    ("the younger is torn", lambda young, old: young.write_bytes(young.read_bytes()[:100]), "torn"),
    (
        "both are torn",
        lambda young, old: [p.write_bytes(p.read_bytes()[:50]) for p in (young, old)],
        "no usable snapshot",
    ),
    (
        "both are gone",
        lambda young, old: [p.rename(p.with_suffix(".away")) for p in (young, old)],
        "no usable snapshot",
    ),
    (
        "empty and of another program",
        lambda young, old: (young.write_bytes(b""), old.write_bytes(b"GIF89a")),
        "not a snapshot",
    ),
    (
        "of another cluster",
        lambda young, old: [
            p.write_bytes(encode(change(decode(p.read_bytes()), cluster="other"))) for p in (young, old)
        ],
        "it belongs to cluster 'other'",
    ),
]


async def _restart_with_damage() -> list[str]:
    async with Cluster(len(DAMAGE), 2, TABLE, MAKE, keeps=True) as cluster:
        await cluster.all_ready()
        kept = cluster.place / "kept"
        async with asyncio.timeout(20):
            while len(list(kept.glob("*.snapshot"))) < 2 * len(DAMAGE):
                await asyncio.sleep(0.05)
        await cluster.power_lost()
        marks = []
        for n, (_, damage, _) in enumerate(DAMAGE):
            a, b = sorted(kept.glob(f"n{n}.?.snapshot"), key=lambda p: -decode(p.read_bytes()).generation)
            damage(a, b)
            marks.append((cluster.place / f"n{n}.log").stat().st_size)
        await cluster.power_back()
        await cluster.all_ready()
        return [(cluster.place / f"n{n}.log").read_text()[mark:] for n, mark in enumerate(marks)]


def test_nodes_start_with_damaged_snapshots() -> None:
    logs: list[list[str]] = []

    async def day() -> None:
        logs.append(await _restart_with_damage())

    run(day)
    for (name, _, line), log in zip(DAMAGE, logs[0], strict=True):
        if line != "classes taken":  # no calls were made, so that no class has evidence
            assert line in log, (name, log)
        assert "recovery: " in log and "Traceback" not in log, (name, log)


@pytest.mark.parametrize(
    ("text", "what"),
    [
        ('folder = "/nowhere"\ncluster = "c"', r"recovery.folder = '/nowhere' is not a folder"),
        ('folder = "."', "recovery.cluster = None"),
        ('folder = "."\ncluster = "c"\nevery = "1ms"', "recovery.every = '1ms' is under 100ms"),
        ('folder = "."\ncluster = "c"\nkeep_for = 3', "recovery.keep_for = 3"),
        ('folder = "."\ncluster = "c"\nkeep_for = "0s"', "recovery.keep_for = '0s' is not above 0"),
        ('folder = "."\ncluster = "c"\npeers = 3', "recovery.peers = 3 is not a list"),
        ('folder = "."\ncluster = "c"\npeers = ["x"]', r"recovery.peers\[0\] = 'x'"),
        ('folder = "."\ncluster = "c"\nask_within = "0s"', "recovery.ask_within = '0s' is not above 0"),
        ('folder = "."\ncluster = "c"\nask = []', r"recovery.ask = \[\] is unknown"),
    ],
)
def test_bad_recovery_table_names_key_and_value(text: str, what: str, tmp_path: Path) -> None:
    path = tmp_path / "node.toml"
    path.write_text(tomli_w.dumps(GOOD) + f"\n[recovery]\n{text}\n")
    with pytest.raises(ConfigError) as err:
        operatorfile.read(path)
    assert re.search(what, str(err.value)) and "\n" not in str(err.value)
    assert os.path.exists(path)


async def _status_after_start(port: int) -> subprocess.CompletedProcess[str]:
    """The status once the node has observed its phase: it is ready up to POLL_INTERVAL_S before that."""
    async with asyncio.timeout(20):
        while True:
            status = await asyncio.to_thread(command, "recovery", "status", f"127.0.0.1:{port}")
            if "n0: dark for" not in status.stdout:
                return status


async def _operator_output(tmp_path: Path) -> tuple[str, int]:
    """Runs the operators' commands against one node that was killed and restarted."""
    async with Cluster(1, 1, TABLE, MAKE, keeps=True) as cluster:
        port = cluster.nodes[0].desk
        await cluster.all_ready()
        kept = cluster.place / "kept"
        async with asyncio.timeout(20):
            while not list(kept.glob("*.snapshot")):
                await asyncio.sleep(0.05)
        await cluster.kill_node(0)
        await cluster.start_node(0)
        await cluster.all_ready()
        ask = asyncio.to_thread
        said = [
            await _status_after_start(port),
            await ask(command, "recovery", "explain", f"127.0.0.1:{port}"),
        ]
        file = next(kept.glob("*.snapshot"))
        said.append(await ask(command, "recovery", "inspect", str(file)))
        said.append(await ask(command, "recovery", "inspect", str(file), "--json"))
        log = cluster.place / "n0.log"
        async with asyncio.timeout(20):
            while LINE_PREFIX not in log.read_text():
                await asyncio.sleep(0.1)
        said.append(await ask(command, "recovery", "plot", str(log), "--out", str(tmp_path / "page")))
        assert "has a list" in (tmp_path / "page").read_text()
        bad = tmp_path / "bad"
        bad.write_bytes(file.read_bytes()[:-1])
        wrong = [
            await ask(command, "recovery", *words)
            for words in (
                ("inspect", str(bad)),
                ("plot", str(bad), "--out", str(bad)),
                ("status", "nowhere"),
                ("explain", f"127.0.0.1:{free_port()}"),
                ("forget", str(bad), "--node", "n0"),
            )
        ]
        await cluster.kill_node(0)
        said.append(await ask(command, "recovery", "forget", str(kept), "--node", "n0"))
    assert all(done.returncode == 0 for done in said), said
    faults = ("torn", "no node's log", "'nowhere'", "no readable answer", "not a folder")
    for done, what in zip(wrong, faults, strict=True):
        assert done.returncode == 2 and what in done.stderr and len(done.stderr.splitlines()) == 1
    return "\n".join(done.stdout for done in said), len(list(tmp_path.iterdir()))


def test_operator_commands_show_verdicts(tmp_path: Path) -> None:
    found: list[str] = []

    async def day() -> None:
        found.append((await _operator_output(tmp_path))[0])

    run(day)
    for what in (
        "n0: has a list for",
        "1 nodes, ",
        "n0 of rig: a snapshot",
        "list ",
        "good: node n0 of rig",
        '"cluster": "rig"',
        "snapshots removed",
    ):
        assert what in found[0], found[0]


async def _lose_two_disks() -> str:
    """All four nodes lose power; two of them lose their disks too."""
    async with Cluster(4, 4, TABLE, MAKE, keeps=True) as cluster:
        await cluster.all_ready()
        load = play(cluster, WANTS, 60.0, 5.0, (), 1)
        await load
        cluster.forgetful = range(2)
        await cluster.power_lost()
        mark = (cluster.place / "n0.log").stat().st_size
        await cluster.power_back()
        await cluster.all_ready()
        async with asyncio.timeout(20):
            while "peers' rate taken" not in (log := (cluster.place / "n0.log").read_text()[mark:]):
                await asyncio.sleep(0.05)
        return log


def test_node_without_snapshot_uses_peer_reports() -> None:
    logs: list[str] = []

    async def day() -> None:
        logs.append(await _lose_two_disks())

    run(day)
    assert "no usable snapshot found" in logs[0] and "by 2 of 4 nodes, 3 of 3 asked" in logs[0]


# Phases -----------------------------------------------------------------------------------------

PHASE_COURSES: dict[str, tuple[tuple[Observation, Phase | None], ...]] = {
    "a cold fleet, step by step": (
        (Observation(1, 0, 0, 0, 0, 0), None),
        (Observation(2, 6, 0, 0, 0, 0), Phase.LISTED),
        (Observation(3, 6, 0, 1, 0, 4), Phase.FIRST),
        (Observation(4, 6, 0, 2, 1, 9), Phase.WORTH),
        (Observation(SECOND, 6, 2, 9, 5, 10), None),
        (Observation(2 * SECOND, 6, 3, 20, 15, 10), Phase.WHOLE),
    ),
    "warm servers, no list before": (
        (Observation(1, 6, 6, 3, 2, 0), Phase.WORTH),
        (Observation(SECOND, 6, 6, 5, 5, 0), Phase.WHOLE),
    ),
    "refused though warm, for a minute": (
        (Observation(1, 6, 6, 3, 2, 1), Phase.WORTH),
        (Observation(59 * SECOND, 6, 6, 9, 9, 2), None),
        (Observation(61 * SECOND, 6, 6, 9, 9, 3), Phase.WHOLE),
    ),
    "the servers' power is lost, the node's is not": (
        (Observation(1, 6, 6, 3, 2, 0), Phase.WORTH),
        (Observation(SECOND, 6, 6, 5, 5, 0), Phase.WHOLE),
        (Observation(2 * SECOND, 0, 0, 5, 5, 0), Phase.DARK),
        (Observation(3 * SECOND, 6, 0, 5, 5, 8), Phase.LISTED),
        (Observation(4 * SECOND, 6, 0, 6, 5, 8), Phase.FIRST),
        (Observation(5 * SECOND, 6, 0, 6, 6, 8), Phase.WORTH),
    ),
    "all are replaced at once": (
        (Observation(1, 6, 6, 3, 2, 0), Phase.WORTH),
        (Observation(SECOND, 6, 6, 5, 5, 0), Phase.WHOLE),
        (Observation(2 * SECOND, 6, 0, 5, 5, 0), Phase.LISTED),
        (Observation(3 * SECOND, 6, 0, 6, 6, 0), Phase.WORTH),
    ),
}


@pytest.mark.parametrize("name", list(PHASE_COURSES))
def test_phase_transitions(name: str) -> None:
    phases = PhaseTracker(0)
    for seen, expected in PHASE_COURSES[name]:
        step = phases.observe(seen)
        assert (step.phase if step else None) == expected, seen


def test_late_phase_is_reported_once() -> None:
    phases = PhaseTracker(0)
    steps = [phases.observe(Observation(n * SECOND, 0, 0, 0, 0, 0)) for n in range(1, 60)]
    said = [(step.late, step.why) for step in steps if step]
    assert said == [(True, "still waiting for a list with at least one server")]


SEEN = st.builds(Observation, st.integers(0, 1 << 50), *[st.integers(0, 9)] * 5, st.booleans())


@given(st.lists(SEEN, max_size=40))
def test_any_observations_never_reach_whole_without_warm_servers(looks: list[Observation]) -> None:
    phases = PhaseTracker(0)
    for seen in sorted(looks, key=lambda seen: seen.now):
        step = phases.observe(seen)
        assert step is None or step.late or step.phase is phases.phase
        assert phases.phase is not Phase.WHOLE or (seen.listed and seen.warm)
        assert (phases.phase is Phase.DARK) == (not seen.listed)
        assert not (phases.is_servable(seen.now, SECOND) and phases.phase is Phase.DARK)


@pytest.mark.parametrize(
    ("looks", "now", "servable"),
    [
        ((), SECOND, False),
        ((Observation(1, 6, 0, 0, 0, 0),), SECOND, False),
        ((Observation(1, 6, 0, 0, 0, 0),), 5 * SECOND + 1, True),  # the wait is limited
        ((Observation(1, 6, 0, 0, 0, 0, True),), 2, True),
        ((Observation(1, 6, 0, 1, 0, 0),), 2, True),
        ((Observation(1, 6, 0, 0, 0, 0, True), Observation(2, 0, 0, 0, 0, 0, True)), 3, False),
    ],
)
def test_node_is_servable_once_a_server_is_reached(
    looks: tuple[Observation, ...], now: int, servable: bool
) -> None:
    phases = PhaseTracker(0)
    for seen in looks:
        phases.observe(seen)
    assert phases.is_servable(now, 5 * SECOND) == servable


async def _ready_only_when_reached() -> None:
    cluster = Cluster(1, 1, TABLE, MAKE, keeps=True)
    cluster.table["recovery"]["ready_within"] = "60s"
    async with cluster:
        await cluster.all_ready()
        await cluster.kill_node(0)
        link, log = cluster.servers[0].links[0], cluster.place / "n0.log"
        link.refuse()
        mark = log.stat().st_size
        await cluster.start_node(0)
        async with asyncio.timeout(20):
            while "has a list" not in log.read_text()[mark:]:
                await asyncio.sleep(0.05)
        assert not await cluster.ready(0)
        await link.open()
        await cluster.all_ready()
        link.refuse()  # again after an empty list: the server that was reached may be gone
        mark = log.stat().st_size
        cluster.nodes[0].discovery.replace()
        async with asyncio.timeout(20):
            while "no server is listed" not in log.read_text()[mark:]:
                await asyncio.sleep(0.05)
            cluster.list_servers()
            while "has a list" not in log.read_text()[mark:]:
                await asyncio.sleep(0.05)
        assert not await cluster.ready(0)
        await link.open()
        await cluster.all_ready()


def test_node_beside_a_server_waits_for_the_tier_below() -> None:
    run(_ready_only_when_reached)


def test_progress_lines_end_after_whole_and_parse_back() -> None:
    seconds = ProgressLog(["a", "b"], 0)
    lines = [
        seconds.next_line(n * SECOND, THEN, Phase.WORTH if n < 5 else Phase.WHOLE, [(n, 0, 0), (0, 2 * n, n)])
        for n in range(1, 30)
    ]
    told = [line for line in lines if line]
    assert (
        len(told) == 4 + 5 and seconds.next_line(29 * SECOND + 1, THEN, Phase.WHOLE, [(0, 0, 0)] * 2) is None
    )
    found = parse_log(
        ["n1: " + line for line in told] + ["n1: " + told[0][:30], "n2: other", "x" + LINE_PREFIX]
    )
    assert list(found) == ["n1"] and found["n1"][3].classes == {"a": (1, 0, 0), "b": (0, 2, 1)}
    seconds.restart()
    again = [bool(seconds.next_line(n * SECOND, THEN, Phase.DARK, [(0, 0, 0)] * 2)) for n in range(30, 999)]
    assert sum(again) == 120


@given(
    st.dictionaries(
        st.text(max_size=9),
        st.lists(
            st.builds(
                ProgressLine,
                st.integers(),
                st.integers(),
                st.text(max_size=9),
                st.dictionaries(st.text(max_size=9), st.tuples(*[st.integers(0, 9)] * 3), max_size=2),
            ),
            max_size=3,
        ),
        max_size=3,
    )
)
def test_any_progress_lines_render_a_page(logs: dict[str, list[ProgressLine]]) -> None:
    for by_start in (False, True):
        text = render_page(logs, by_start)
        assert text.startswith("<!doctype html>") and "<script" not in text
