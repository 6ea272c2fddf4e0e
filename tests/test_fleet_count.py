"""Traces of nodes, and the counts over a fleet made from them."""

from __future__ import annotations

from pathlib import Path

import pytest

from minthitch.engine import trace
from minthitch.engine.servers import ServerTable
from minthitch.engine.trace import TracingBalancer
from minthitch.fleet.count import FleetCounts, count, parse
from minthitch.fleet.report import lines
from minthitch.interface import (
    SECOND,
    AttemptEnded,
    Event,
    ListKind,
    ListUpdate,
    RequestArrived,
    Send,
    Status,
)
from minthitch.listing import Host, Listing
from minthitch.policy import Balancer
from tests.rules import MS, entries, settings
from tests.test_cli import command

SAMPLE = {
    "n0": [
        "0.1 n0: a plain line",
        "# 1000 l FULL 0 s1/0:0:0:READY s2/0:0:0:READY",
        "# 1000 a 1 read 0 0 900",
        "# 1000 s 1 s1/0",
        "# 1200 e 1 0 s1/0 OK 200 1",
        "# 1300 a 2 read 1 0 900",
        "# 1300 r 2 strain=1.0",
        "# 2000 a 3 read 0 0 900",
        "# 2010 s 3 s2/0",
        "# 2020 e 3 0 s2/0 CONNECT_FAILED 10 0",
        "# 2020 s 3 s1/0",
        "# 2500 r 3 strain=1.0",
        "# 2500 c 3 1",
        "# 2500 e 3 1 s1/0 CANCELLED 480 1",
    ],
    "n1": [
        "# 1100 l CHANGES 0 s2/0:0:0:READY",
        "# 1400 a 1 read 0 0 900",
        "# 1900 r 1 strain=1.0",
        "# 2100 a 2 buy 0 0 900",
        "# 2100 s 2 s1/0",
        "# 2400 f 2 strain=1.0",
        "# 2400 e 2 0 s1/0 RESET 300 1",
        "# 2600 l CHANGES 0 s2/0:0:0:DRAINING",
        "# 2700 e 9 0 s1/0 NOSUCH 1 1",
        "# 2800 z",
    ],
}


def sample() -> FleetCounts:
    return count(dict(SAMPLE), 1.0)


def test_refusals_are_counted_by_the_phase_of_the_request() -> None:
    first, second = sample().windows["0", 0], sample().windows["0", 1]
    assert (first.refused_at_once, first.refused_after_wait, first.refused_after_send) == (1, 1, 0)
    assert (second.refused_at_once, second.refused_after_wait, second.refused_after_send) == (0, 0, 1)
    assert second.failed == 1


def test_sends_and_ends_are_counted_over_all_nodes() -> None:
    first, second = sample().windows["0", 0], sample().windows["0", 1]
    assert (first.arrivals, first.repeats, first.sends, first.resends) == (3, 1, 1, 0)
    assert (second.arrivals, second.sends, second.resends, second.cancels) == (2, 3, 1, 1)
    assert dict(second.ends) == {"CONNECT_FAILED": 1, "CANCELLED": 1, "RESET": 1}


def test_requests_in_flight_at_a_server_are_summed_over_all_nodes() -> None:
    server = sample().servers["0"]["s1/0"]
    assert (server.peak_in_flight[0], server.peak_in_flight[1], server.in_flight) == (1, 2, 0)


def test_times_at_which_nodes_learned_of_a_server() -> None:
    server = sample().servers["0"]["s2/0"]
    assert server.ready_at == {"n0": 1000, "n1": 1100}
    assert server.withdrawn_at == {"n1": 2600}
    assert server.first_sends == {1: 1}


def test_unreadable_lines_are_counted_and_skipped() -> None:
    fleet = sample()
    assert fleet.unreadable == 2
    assert list(lines(fleet, servers=True))[-1] == "2 lines could not be read"


def test_open_requests_of_a_node_are_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("minthitch.fleet.count.MAX_OPEN_REQUESTS", 10)
    fleet = count({"n": [f"# 1 a {n} read 0 0 900" for n in range(50)]}, 1.0)
    assert len(fleet.nodes["n"].open) == 10
    assert fleet.windows["?", 0].arrivals == 50


@pytest.mark.parametrize("line", ["", "# ", "# x a 1", "0.1 n0: refusing: load 1.5", "# 12"])
def test_other_lines_are_ignored(line: str) -> None:
    assert parse(line) is None


def test_tracing_does_not_change_decisions_and_its_lines_are_counted() -> None:
    written: list[str] = []
    traced, plain = TracingBalancer(settings(), 3, written.append), Balancer(settings(), 3)
    traced.server_table = ServerTable(settings())
    traced.server_table.apply(
        Listing(1, True, (Host("a", "127.0.0.1", 1), Host("b", "127.0.0.1", 2))), ListKind.FULL, SECOND, 0
    )
    now = 10 * SECOND
    for number in range(40):
        events: list[Event] = [] if number else [ListUpdate(ListKind.CACHED, entries(2))]
        for event in [*events, RequestArrived(number, 0, now + SECOND)]:
            actions = traced.handle(now, event)
            assert actions == plain.handle(now, event)
        for index, action in enumerate(a for a in actions if isinstance(a, Send)):
            end = AttemptEnded(number, index, action.server, Status.OK, 100 * MS, True)
            assert traced.handle(now + 100 * MS, end) == plain.handle(now + 100 * MS, end)
        now += SECOND
    traced.flush()
    fleet = count({"n": "".join(written).splitlines()}, 1_000.0)
    total = fleet.windows["0", 0]
    assert total.arrivals == 40 and total.ends["OK"] == total.sends and fleet.unreadable == 0
    assert set(fleet.servers["0"]) == {"a/0", "b/0"}


def test_a_removed_server_is_still_traced_by_name(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(trace, "MAX_NAMES", 3)
    traced = TracingBalancer(settings(), 3, lambda text: None)
    traced.server_table = ServerTable(settings())
    for number in range(1, 6):
        listing = Listing(number, True, (Host(f"h{number}", "127.0.0.1", 1),))
        traced.server_table.apply(listing, ListKind.FULL, SECOND, 0)
        assert traced._name(number) == f"h{number}/0"
    assert traced._name(4) == "h4/0", "no longer in any list"
    assert (traced._name(1), len(traced.names)) == ("?1", 3)


def test_the_write_buffer_is_bounded() -> None:
    written: list[str] = []
    traced = TracingBalancer(settings(), 3, written.append)
    for number in range(1_000):
        traced.handle(number, RequestArrived(number, 0, SECOND))
        assert traced.buffered_chars <= trace.MAX_BUFFERED_CHARS
    assert written


def test_the_command_counts_a_folder(tmp_path: Path) -> None:
    for name, rows in SAMPLE.items():
        (tmp_path / f"{name}.log").write_text("\n".join(rows))
    ran = command("fleet", "count", str(tmp_path), "--servers")
    assert ran.returncode == 0
    assert ran.stdout.startswith("tier 0: 2 nodes, 2 servers\n     0.0 s  arrivals 3 (again 1)  sends 1")
    assert "s2/0: named to 2 nodes within 100 ms, withdrawn by 1" in ran.stdout


@pytest.mark.parametrize(
    ("arguments", "message"),
    [
        (("nosuch",), "folder nosuch: no log of a node that ran `traced`"),
        (("nosuch", "--window", "0"), "--window 0.0 is not from 0.1 to 3600.0"),
    ],
)
def test_an_invalid_folder_or_window_is_reported_on_one_line(
    arguments: tuple[str, ...], message: str
) -> None:
    ran = command("fleet", "count", *arguments)
    assert (ran.returncode, ran.stderr) == (2, f"minthitch: {message}\n")
