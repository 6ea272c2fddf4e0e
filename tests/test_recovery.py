"""What a node keeps for after a crash: bytes that are no snapshot, what is trusted, and real processes."""

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
from minthitch.recovery.asker import ask_all
from minthitch.recovery.cycle import SLOWEST, Cycle
from minthitch.recovery.frame import HEAD, VERSION, Fault, FrameError, decode, encode
from minthitch.recovery.hearsay import Word, believe
from minthitch.recovery.learned import class_times, rate, recollect
from minthitch.recovery.model import HostRow, Snapshot, Times, class_digest, cold_digest
from minthitch.recovery.phases import Phase, Phases, Seen
from minthitch.recovery.plot import page
from minthitch.recovery.seconds import MARK, Line, Seconds, read
from minthitch.recovery.store import Store, youngest
from minthitch.recovery.trust import Now, Terms, Trusted, judge
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
TIMES = Times(40.0, 38.0, 38.0, 4.0)
KEPT = Snapshot(
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
DATA = encode(KEPT)


def test_no_part_of_a_snapshot_passes_for_one() -> None:
    """As a crash leaves it, at every byte; and with every byte altered."""
    assert decode(DATA) == KEPT
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
def test_what_is_no_snapshot_is_told_apart(data: bytes, fault: Fault) -> None:
    with pytest.raises(FrameError) as err:
        decode(data)
    assert err.value.fault is fault


@given(st.binary(max_size=200))
def test_any_bytes_are_judged(data: bytes) -> None:
    for each in (data, DATA[: HEAD.size] + data):
        try:
            decode(each)
        except FrameError:
            continue
        assert each == DATA


def test_a_crash_while_one_is_written_leaves_the_one_before(tmp_path: Path) -> None:
    store = Store(tmp_path, "n1")
    assert youngest(store.read()) is None
    for generation in (1, 2, 3):
        store.write(change(KEPT, generation=generation))
    for size in range(0, len(DATA), 7):  # the fourth was on its way: beside the files, or over the older one
        for path in (tmp_path / "n1.a.new", store.paths[1 - store.last]):
            path.write_bytes(DATA[:size])
            best = youngest(Store(tmp_path, "n1").read())
            assert best is not None and best.snapshot == change(KEPT, generation=3)
    again = Store(tmp_path, "n1")
    again.read()
    again.write(change(KEPT, generation=4))
    best = youngest(again.read())
    assert best is not None and best.snapshot is not None and best.snapshot.generation == 4
    assert again.forget() == 2 and youngest(again.read()) is None


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


def test_a_process_killed_while_it_writes_leaves_what_it_had_written(tmp_path: Path) -> None:
    """SIGKILL right behind the nth line, while the next snapshot is on its way."""
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
        best = youngest(Store(tmp_path, "n1").read())
        assert best is not None and best.snapshot is not None
        assert last <= best.snapshot.generation <= last + 1
        Store(tmp_path, "n1").forget()


def test_a_full_disk_costs_the_snapshot_only(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    store = Store(tmp_path, "n1")
    store.write(KEPT)

    def full(_descriptor: int) -> None:
        raise OSError(errno.ENOSPC, "No space left on device")

    monkeypatch.setattr(os, "fsync", full)
    for _ in range(3):
        with pytest.raises(OSError, match="No space"):
            store.write(change(KEPT, generation=8))
    best = youngest(store.read())
    assert best is not None and best.snapshot == KEPT and not list(tmp_path.glob("*.new"))


def test_a_disk_that_fails_is_said_once_and_tried_less_and_less() -> None:
    cycle, now, tries, said = Cycle(5, 3, 0), 0, list[int](), list[str]()
    while now < 400:
        action = cycle.tick(now)
        if action is not None:
            tries.append(now)
            line = cycle.failed(now, "disk full") if now < 300 else cycle.written(now)
            said += [line.text] if line is not None else []
        now += 1
    pauses = [b - a for a, b in zip(tries, tries[1:], strict=False)]
    assert pauses[:3] == [10, 20, 40] and max(pauses) == 5 * SLOWEST and pauses[-1] == 5
    assert len(said) == 2 and "disk full" in said[0] and "again" in said[1]
    assert cycle.tick(401) or cycle.end()


AGES: list[tuple[str, Callable[[Snapshot, Now], tuple[Snapshot, Now]], set[str]]] = [
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
    ("the clock went forward an hour", lambda s, n: (s, replace(n, wall=THEN + HOUR)), {"classes", "rate"}),
    ("the clock went back an hour", lambda s, n: (s, replace(n, wall=THEN - HOUR)), set()),
    ("the same boot, yet earlier", lambda s, n: (s, replace(n, boot="boot-1", up=s.up - 1)), set()),
    ("another cluster", lambda s, n: (change(s, cluster="karachi"), n), set()),
    ("other cold rules", lambda s, n: (change(s, cold="x"), n), {"classes", "list"}),
    ("other classes", lambda s, n: (change(s, classes={"read": ("x", TIMES)}), n), {"rate", "list"}),
    ("no list was held", lambda s, n: (change(s, listed_wall=0), n), {"classes", "rate"}),
    (
        "the list was old when it was kept",
        lambda s, n: (change(s, listed_wall=THEN - 600 * SECOND), n),
        {"classes", "rate"},
    ),
]


@pytest.mark.parametrize(("name", "turn", "taken"), AGES, ids=[name for name, _, _ in AGES])
def test_what_is_trusted(
    name: str, turn: Callable[[Snapshot, Now], tuple[Snapshot, Now]], taken: set[str]
) -> None:
    kept, now = turn(KEPT, Now("lahore", "boot-2", THEN + SECOND // 10, 5 * SECOND))
    found = judge(kept, now, SETUP, Terms())
    assert {verdict.part for verdict in found.verdicts if verdict.taken} == taken
    assert (found.hosts is not None) == ("list" in taken) and (found.rate > 0) == ("rate" in taken)
    assert all(verdict.why for verdict in found.verdicts)


def test_old_lists_are_used_only_for_as_long_as_the_operator_says() -> None:
    now = Now("lahore", "boot-2", THEN + 600 * SECOND, 5 * SECOND)
    for lists_for, used in ((0, False), (599 * SECOND, False), (601 * SECOND, True)):
        found = judge(KEPT, now, SETUP, Terms(lists_for=lists_for))
        assert (found.hosts is not None) == used


def test_kept_rates_go_with_the_number_of_nodes_and_fade() -> None:
    now = Now("lahore", "boot-2", THEN, 0)
    assert judge(KEPT, now, SETUP, Terms()).rate == pytest.approx(20.0)
    assert judge(KEPT, now, replace(SETUP, siblings=8), Terms()).rate == pytest.approx(10.0)
    assert judge(KEPT, now, replace(SETUP, siblings=2), Terms()).rate == pytest.approx(20.0)
    assert judge(KEPT, replace(now, wall=THEN + 12 * HOUR), SETUP, Terms()).rate < 7.0


@given(
    st.floats(0, 1e6),
    st.floats(0, 1e12),
    st.floats(0, 1e12),
    st.integers(0, 1 << 62),
    st.integers(1, 1 << 20),
)
def test_any_snapshot_is_judged_and_taken_in(
    per_second: float, trials: float, time: float, wall: int, siblings: int
) -> None:
    kept = change(
        KEPT, rate=per_second, wall=wall, siblings=siblings, kinds={"k": Times(trials, 1e12, trials, time)}
    )
    found = judge(kept, Now("lahore", "", THEN, 0), SETUP, Terms())
    node = SimulatedFleet(SETUP, 1, {}, 1).nodes[0]
    recollect(node.balancer, node.now, found, lambda name: 0)
    assert 0 <= rate(node.balancer, node.now) <= 1e6
    assert all(t.trials <= 4.0 + 1e-6 and t.hits <= t.trials for t in found.kinds.values())


def after_a_loss(seed: int, off: float | None) -> SimulatedFleet:
    """Two seconds of a cold fleet whose nodes keep `off` times what they knew; None: they know nothing."""
    machines = {n: SimulatedServer(20.0) for n in range(1, 13)}
    before = SimulatedFleet(settings(siblings=6, idle_close=30 * SECOND), 6, machines, seed)
    before.deliver_list(ListKind.FULL, tuple(ServerEntry(n, cell=n % 4) for n in before.servers))
    before.run(6 * SECOND, 0.6 * 20.0 * 12)
    fleet = cold_crew(seed, 6, 12, 6)
    for node, old in zip(fleet.nodes, before.nodes, strict=True):
        if off is not None:
            times = {name: times for name, (_, times) in class_times(old.balancer, old.setup).items()}
            recollect(
                node.balancer,
                node.now,
                Trusted(rate=off * rate(old.balancer, old.now), classes=times),
                lambda name: 0,
            )
    fleet.run(2 * SECOND, 0.6 * 20.0 * 12, (SAFE,))
    return fleet


def test_what_is_kept_makes_first_calls_more_and_pushes_no_server_over() -> None:
    """Also where it says twice of what the servers can do."""
    served = dict.fromkeys((None, 1.0, 2.0), 0)
    for off in served:
        for seed in range(1, 5):
            fleet = after_a_loss(seed, off)
            served[off] += fleet.served
            fleet.run(6 * SECOND, 3 * 20.0 * 12, (SAFE,))
            assert not any(fleet.cold_overloads(n) for n in fleet.servers), (off, seed)
    assert served[1.0] > 1.1 * served[None], served


# What others say --------------------------------------------------------------------------------

COLD = cold_digest(SETUP)


def word(node: str, said: float, age: int = 0, **changes: Any) -> Word:
    return change(Word("lahore", node, COLD, 4, said, age), **changes)


@pytest.mark.parametrize(
    ("words", "own", "believed"),
    [
        ([], None, 0.0),
        ([], (9.0, 0), 9.0),
        ([word("a", 9.0)], None, 0.0),  # one alone
        ([word("a", 0.0), word("b", 0.0)], None, 0.0),  # who knows nothing says so
        ([word("a", 9.0), word("b", 11.0)], None, 9.0),
        ([word("a", 9.0), word("b", 9000.0)], None, 9.0),  # a thousand times too high
        ([word("a", 9.0), word("b", 9000.0), word("c", 10.0)], None, 10.0),
        ([word("a", 9.0), word("b", 0.001), word("c", 10.0)], None, 9.0),
        ([word("a", 9.0), word("a", 9000.0)], None, 0.0),  # one that speaks twice
        ([word("a", 9.0), word("b", 9.0, cluster="other")], None, 0.0),
        ([word("a", 9.0), word("b", 9.0, cold="other")], None, 0.0),
        ([word("a", 9.0), word("b", 9.0, 48 * HOUR)], None, 0.0),
        ([word("a", 9.0, 23 * HOUR), word("b", 5.0, 23 * HOUR), word("c", 7.0)], None, 7.0),  # the fresh one
        ([word("a", 9000.0)], (9.0, 0), 9.0),
        ([word("a", 8.0, siblings=2), word("b", 8.0, siblings=2)], None, 4.0),  # shared by more now
    ],
)
def test_what_is_believed_of_others(
    words: list[Word], own: tuple[float, int] | None, believed: float
) -> None:
    heard = believe(words, own, 8, 8, SETUP, "lahore", Terms())
    assert heard.rate == pytest.approx(believed)
    assert heard.siblings >= SETUP.siblings and all(verdict.why for verdict in heard.verdicts)


@given(
    st.floats(0.1, 1e6),
    st.lists(st.tuples(st.sampled_from("abcdefg"), st.floats(0, 1e6), st.integers(0, 1 << 62)), max_size=9),
)
def test_one_liar_decides_nothing(lie: float, said: list[tuple[str, float, int]]) -> None:
    """With three honest nodes that agree, whatever one other says; and any words are judged."""
    honest = [word(name, 10.0) for name in ("x", "y", "z")]
    assert believe([*honest, word("liar", lie)], None, 4, 4, SETUP, "lahore", Terms()).rate == 10.0
    heard = believe([word(*each) for each in said], None, 9, 9, SETUP, "lahore", Terms())
    assert 0 <= heard.rate <= max([rate for _, rate, _ in said], default=0.0)


@pytest.mark.parametrize(
    ("live", "asked", "peers", "count"),
    [(3, 3, 3, 4), (7, 7, 7, 8), (1, 7, 7, 4), (0, 7, 7, 4), (0, 0, 0, 4), (8, 8, 16, 16), (32, 32, 199, 16)],
)
def test_who_answers_only_raises_the_number_of_nodes(live: int, asked: int, peers: int, count: int) -> None:
    """`siblings` says 4. One that hears few may be cut off: the others go on sending."""
    words = [word(f"n{i}", 1.0) for i in range(live)]
    assert believe(words, None, asked, peers, SETUP, "lahore", Terms()).siblings == count


GOOD_WORD = msgspec.json.encode(word("good", 5.0))
SICK: dict[str, Callable[[asyncio.StreamWriter], Awaitable[object]]] = {}


def sick(call: Callable[[asyncio.StreamWriter], Awaitable[object]]) -> None:
    SICK[call.__name__] = call


@sick
async def good(writer: asyncio.StreamWriter) -> None:
    writer.write(b"HTTP/1.1 200 OK\r\n\r\n" + GOOD_WORD)


@sick
async def never(_writer: asyncio.StreamWriter) -> None:
    await asyncio.sleep(60)


@sick
async def slowly(writer: asyncio.StreamWriter) -> None:
    for byte in b"HTTP/1.1 200 OK\r\n\r\n" + GOOD_WORD:
        writer.write(bytes([byte]))
        await asyncio.sleep(0.05)


@sick
async def without_end(writer: asyncio.StreamWriter) -> None:
    while True:
        writer.write(b"HTTP/1.1 200 OK\r\n\r\n" + b" " * 4096)
        await writer.drain()


@sick
async def nonsense(writer: asyncio.StreamWriter) -> None:
    writer.write(b"\xff\x00" * 50)


@sick
async def deep(writer: asyncio.StreamWriter) -> None:
    writer.write(b"HTTP/1.1 200 OK\r\n\r\n" + b"[" * 10_000)


@sick
async def refusing(writer: asyncio.StreamWriter) -> None:
    writer.write(b"HTTP/1.1 503 no\r\n\r\n" + GOOD_WORD)


@sick
async def below_zero(writer: asyncio.StreamWriter) -> None:
    writer.write(b"HTTP/1.1 200 OK\r\n\r\n" + GOOD_WORD.replace(b"5.0", b"-5.0"))


async def _asked() -> None:
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

    servers = [await asyncio.start_server(serving(call), "127.0.0.1", 0) for call in SICK.values()]
    peers = [("127.0.0.1", int(server.sockets[0].getsockname()[1])) for server in servers]
    words = await ask_all([*peers, ("127.0.0.1", free_port())], 1.0)
    assert words == [msgspec.json.decode(GOOD_WORD, type=Word)]
    for task in tasks:
        task.cancel()
    for server in servers:
        server.close()


def test_peers_that_are_sick_are_left_out() -> None:
    run(_asked)


# Real processes ---------------------------------------------------------------------------------

HARM: list[tuple[str, Callable[[Path, Path], object], str]] = [
    ("whole", lambda young, old: None, "classes taken"),
    ("the younger is torn", lambda young, old: young.write_bytes(young.read_bytes()[:100]), "torn"),
    (
        "both are torn",
        lambda young, old: [p.write_bytes(p.read_bytes()[:50]) for p in (young, old)],
        "nothing is known",
    ),
    (
        "both are gone",
        lambda young, old: [p.rename(p.with_suffix(".away")) for p in (young, old)],
        "nothing is known",
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


async def _harmed() -> list[str]:
    async with Cluster(len(HARM), 2, TABLE, MAKE, keeps=True) as cluster:
        await cluster.all_ready()
        kept = cluster.place / "kept"
        async with asyncio.timeout(20):
            while len(list(kept.glob("*.snapshot"))) < 2 * len(HARM):
                await asyncio.sleep(0.05)
        await cluster.power_lost()
        marks = []
        for n, (_, harm, _) in enumerate(HARM):
            a, b = sorted(kept.glob(f"n{n}.?.snapshot"), key=lambda p: -decode(p.read_bytes()).generation)
            harm(a, b)
            marks.append((cluster.place / f"n{n}.log").stat().st_size)
        await cluster.power_back()
        await cluster.all_ready()
        return [(cluster.place / f"n{n}.log").read_text()[mark:] for n, mark in enumerate(marks)]


def test_nodes_start_whatever_became_of_their_snapshots() -> None:
    logs: list[list[str]] = []

    async def day() -> None:
        logs.append(await _harmed())

    run(day)
    for (name, _, line), log in zip(HARM, logs[0], strict=True):
        if line != "classes taken":  # nobody had called, so that no class had times
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
def test_a_bad_recovery_table_names_key_and_value(text: str, what: str, tmp_path: Path) -> None:
    path = tmp_path / "node.toml"
    path.write_text(tomli_w.dumps(GOOD) + f"\n[recovery]\n{text}\n")
    with pytest.raises(ConfigError) as err:
        operatorfile.read(path)
    assert re.search(what, str(err.value)) and "\n" not in str(err.value)
    assert os.path.exists(path)


async def _explained(tmp_path: Path) -> tuple[str, int]:
    """One node with snapshots and its operators' listener, killed and started again."""
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
        said = [await ask(command, "recovery", word, f"127.0.0.1:{port}") for word in ("status", "explain")]
        file = next(kept.glob("*.snapshot"))
        said.append(await ask(command, "recovery", "inspect", str(file)))
        said.append(await ask(command, "recovery", "inspect", str(file), "--json"))
        log = cluster.place / "n0.log"
        async with asyncio.timeout(20):
            while MARK not in log.read_text():
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
    faults = ("torn", "no node's log", "'nowhere'", "no answer", "not a folder")
    for done, what in zip(wrong, faults, strict=True):
        assert done.returncode == 2 and what in done.stderr and len(done.stderr.splitlines()) == 1
    return "\n".join(done.stdout for done in said), len(list(tmp_path.iterdir()))


def test_operators_see_what_was_trusted_and_why(tmp_path: Path) -> None:
    found: list[str] = []

    async def day() -> None:
        found.append((await _explained(tmp_path))[0])

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


async def _hearsay() -> str:
    """Two of four nodes have lost their disks with the power; the others have not."""
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


def test_a_node_that_lost_its_disk_hears_from_the_others() -> None:
    logs: list[str] = []

    async def day() -> None:
        logs.append(await _hearsay())

    run(day)
    assert "nothing is known from before" in logs[0] and "by 2 of 4 nodes, 3 of 3 asked" in logs[0]


# Phases -----------------------------------------------------------------------------------------

SECOND_BY_SECOND: dict[str, tuple[tuple[Seen, Phase | None], ...]] = {
    "a cold fleet, step by step": (
        (Seen(1, 0, 0, 0, 0, 0), None),
        (Seen(2, 6, 0, 0, 0, 0), Phase.LISTED),
        (Seen(3, 6, 0, 1, 0, 4), Phase.FIRST),
        (Seen(4, 6, 0, 2, 1, 9), Phase.WORTH),
        (Seen(SECOND, 6, 2, 9, 5, 10), None),
        (Seen(2 * SECOND, 6, 3, 20, 15, 10), Phase.WHOLE),
    ),
    "warm servers, no list before": (
        (Seen(1, 6, 6, 3, 2, 0), Phase.WORTH),
        (Seen(SECOND, 6, 6, 5, 5, 0), Phase.WHOLE),
    ),
    "refused though warm, for a minute": (
        (Seen(1, 6, 6, 3, 2, 1), Phase.WORTH),
        (Seen(59 * SECOND, 6, 6, 9, 9, 2), None),
        (Seen(61 * SECOND, 6, 6, 9, 9, 3), Phase.WHOLE),
    ),
    "the servers' power is lost, the node's is not": (
        (Seen(1, 6, 6, 3, 2, 0), Phase.WORTH),
        (Seen(SECOND, 6, 6, 5, 5, 0), Phase.WHOLE),
        (Seen(2 * SECOND, 0, 0, 5, 5, 0), Phase.DARK),
        (Seen(3 * SECOND, 6, 0, 5, 5, 8), Phase.LISTED),
        (Seen(4 * SECOND, 6, 0, 6, 5, 8), Phase.FIRST),
        (Seen(5 * SECOND, 6, 0, 6, 6, 8), Phase.WORTH),
    ),
    "all are replaced at once": (
        (Seen(1, 6, 6, 3, 2, 0), Phase.WORTH),
        (Seen(SECOND, 6, 6, 5, 5, 0), Phase.WHOLE),
        (Seen(2 * SECOND, 6, 0, 5, 5, 0), Phase.LISTED),
        (Seen(3 * SECOND, 6, 0, 6, 6, 0), Phase.WORTH),
    ),
}


@pytest.mark.parametrize("name", list(SECOND_BY_SECOND))
def test_each_phase_has_its_condition(name: str) -> None:
    phases = Phases(0)
    for seen, expected in SECOND_BY_SECOND[name]:
        step = phases.look(seen)
        assert (step.phase if step else None) == expected, seen


def test_a_phase_that_lasts_too_long_is_said_once() -> None:
    phases = Phases(0)
    steps = [phases.look(Seen(n * SECOND, 0, 0, 0, 0, 0)) for n in range(1, 60)]
    said = [(step.late, step.why) for step in steps if step]
    assert said == [(True, "still waits for a list with a server")]


SEEN = st.builds(Seen, st.integers(0, 1 << 50), *[st.integers(0, 9)] * 5, st.booleans())


@given(st.lists(SEEN, max_size=40))
def test_any_looks_are_taken_and_nothing_is_whole_without_warm_servers(looks: list[Seen]) -> None:
    phases = Phases(0)
    for seen in sorted(looks, key=lambda seen: seen.now):
        step = phases.look(seen)
        assert step is None or step.late or step.phase is phases.phase
        assert phases.phase is not Phase.WHOLE or (seen.listed and seen.warm)
        assert (phases.phase is Phase.DARK) == (not seen.listed)
        assert not (phases.servable(seen.now, SECOND) and phases.phase is Phase.DARK)


@pytest.mark.parametrize(
    ("looks", "now", "servable"),
    [
        ((), SECOND, False),
        ((Seen(1, 6, 0, 0, 0, 0),), SECOND, False),
        ((Seen(1, 6, 0, 0, 0, 0),), 5 * SECOND + 1, True),  # nobody waits for ever
        ((Seen(1, 6, 0, 0, 0, 0, True),), 2, True),
        ((Seen(1, 6, 0, 1, 0, 0),), 2, True),
        ((Seen(1, 6, 0, 0, 0, 0, True), Seen(2, 0, 0, 0, 0, 0, True)), 3, False),
    ],
)
def test_a_node_below_the_first_tier_is_ready_once_a_server_is_reached(
    looks: tuple[Seen, ...], now: int, servable: bool
) -> None:
    phases = Phases(0)
    for seen in looks:
        phases.look(seen)
    assert phases.servable(now, 5 * SECOND) == servable


async def _beside() -> None:
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
        link.refuse()  # and once more behind an empty list: what was reached then may be gone
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


def test_a_node_beside_a_server_is_not_ready_before_the_tier_below_takes_connections() -> None:
    run(_beside)


def test_seconds_are_told_until_it_is_whole_and_read_back() -> None:
    seconds = Seconds(["a", "b"], 0)
    lines = [
        seconds.look(n * SECOND, THEN, Phase.WORTH if n < 5 else Phase.WHOLE, [(n, 0, 0), (0, 2 * n, n)])
        for n in range(1, 30)
    ]
    told = [line for line in lines if line]
    assert len(told) == 4 + 5 and seconds.look(29 * SECOND + 1, THEN, Phase.WHOLE, [(0, 0, 0)] * 2) is None
    found = read(["n1: " + line for line in told] + ["n1: " + told[0][:30], "n2: other", "x" + MARK])
    assert list(found) == ["n1"] and found["n1"][3].classes == {"a": (1, 0, 0), "b": (0, 2, 1)}
    seconds.again()
    again = [bool(seconds.look(n * SECOND, THEN, Phase.DARK, [(0, 0, 0)] * 2)) for n in range(30, 999)]
    assert sum(again) == 120


@given(
    st.dictionaries(
        st.text(max_size=9),
        st.lists(
            st.builds(
                Line,
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
def test_any_lines_make_a_page(logs: dict[str, list[Line]]) -> None:
    for by_start in (False, True):
        text = page(logs, by_start)
        assert text.startswith("<!doctype html>") and "<script" not in text
