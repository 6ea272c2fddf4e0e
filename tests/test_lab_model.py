"""The lab's parts alone: time, random numbers, servers, network, lists, books, statistics."""

from __future__ import annotations

import random
from typing import Any

import pytest

from minthitch.interface import MILLISECOND, SECOND, ListKind, Status
from minthitch.lab import heap as heap_module
from minthitch.lab.discovery import Discovery
from minthitch.lab.heap import START, Heap, TimeStands
from minthitch.lab.ledger import AGAIN, ANSWERS, DRAINED, PUSHED, Ledger
from minthitch.lab.network import MOST_RESENDS, Network
from minthitch.lab.scenario import Cold, Tier
from minthitch.lab.scenario import Discovery as DiscoveryTerms
from minthitch.lab.scenario import Network as NetworkTerms
from minthitch.lab.servers import Job, ServerModel
from minthitch.lab.statistics import interval, paired
from minthitch.lab.streams import Stream, Streams
from minthitch.listing import Listing
from tests.rules import KEYED_CELL, KEYED_ZONE, SAFE, UNSAFE

MS = MILLISECOND

# Time -------------------------------------------------------------------------------------------


def test_events_come_by_time_and_those_of_one_instant_in_the_order_in_which_they_were_set() -> None:
    heap, seen = Heap(), list[int]()
    rng = random.Random(1)
    delays = [rng.randrange(5) * MS for _ in range(200)]
    for number, delay in enumerate(delays):
        if number % 2:
            heap.at(START + delay, lambda n=number: seen.append(n))  # type: ignore[misc]
        else:
            heap.post(delay, lambda n=number: seen.append(n))  # type: ignore[misc]
    heap.run(START + SECOND)
    assert seen == sorted(range(200), key=lambda number: (delays[number], number))
    assert heap.now() == START + SECOND and heap.done == 200


def test_timers_cancelled_by_the_million_hold_no_memory_and_are_never_called() -> None:
    heap, called = Heap(), list[int]()
    for number in range(1_000_000):
        timer = heap.at(START + SECOND + number, lambda: called.append(1))
        if number % 1_000:
            timer.cancel()
            timer.cancel()  # twice is once
    assert len(heap.entries) <= 2 * heap_module.COMPACT_FROM
    heap.run(START + 10 * SECOND)
    assert len(called) == 1_000 and not heap.entries and not heap.cancelled


def test_a_loop_without_delay_ends_with_an_error(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(heap_module, "MOST_AT_ONCE", 1_000)
    heap = Heap()

    def again() -> None:
        heap.post(0, again)

    again()
    with pytest.raises(TimeStands, match="1000 events"):
        heap.run(START + SECOND)


def test_what_is_set_for_the_past_comes_next_and_time_never_goes_back() -> None:
    heap, seen = Heap(), list[int]()
    heap.post(SECOND, lambda: heap.at(START, lambda: seen.append(heap.now())))
    heap.run(START + 2 * SECOND)
    assert seen == [START + SECOND]


# Random numbers ---------------------------------------------------------------------------------


def test_streams_are_the_same_by_seed_and_name_whatever_else_is_drawn() -> None:
    one, two = Streams(7), Streams(7)
    for _ in range(1_000):
        two("noise").uniform()
    assert [one("a").uniform() for _ in range(600)] == [two("a").uniform() for _ in range(600)]
    assert one("a").uniform() != one("b").uniform() != Streams(8)("b").uniform()
    assert one.number("x") == two.number("x") != Streams(8).number("x")


@pytest.mark.parametrize(
    ("kind", "width"), [("fixed", 1.0), ("exponential", 1.0), ("lognormal", 0.5), ("pareto", 3.0)]
)
def test_work_has_mean_one_whatever_its_spread(kind: str, width: float) -> None:
    stream = Stream(3, kind)
    values = [stream.spread(kind, width) for _ in range(40_000)]
    assert abs(sum(values) / len(values) - 1.0) < 0.03 and min(values) > 0


def test_picks_and_samples_keep_to_their_weights_and_never_repeat() -> None:
    stream = Stream(1, "p")
    picks = [stream.pick([0.2, 0.5, 1.0]) for _ in range(10_000)]
    for place, share in enumerate((0.2, 0.3, 0.5)):
        assert abs(picks.count(place) / 10_000 - share) < 0.02
    assert sorted(stream.sample(5, 9)) == [0, 1, 2, 3, 4]


# Servers ----------------------------------------------------------------------------------------


class Bench:
    """One server, and what it answers."""

    def __init__(self, **terms: Any) -> None:
        self.heap = Heap()
        self.ledger = Ledger((SAFE, KEYED_CELL, UNSAFE), 500 * MS, 20 * MS)
        self.fallen: list[ServerModel] = []
        tier = Tier("t", 1, **{"cores": 2, "slots": 4, **terms})
        self.model = ServerModel(self.heap, self.ledger, tier, 0, Stream(1, "s"), None, self.fallen.append)
        self.heard: list[tuple[int, int, Status]] = []

    def ask(self, number: int, work: int = 10 * MS) -> Job:
        job = Job(
            number,
            0,
            0,
            work,
            lambda status: self.heard.append((number, (self.heap.time - START) // MS, status)),
        )
        self.model.arrive(job)
        return job

    def run(self, ms: int) -> None:
        self.heap.run(START + ms * MS)


def test_a_server_works_on_its_cores_queues_the_rest_and_turns_away_beyond_its_slots() -> None:
    bench = Bench()
    for number in range(6):
        bench.ask(number)
    assert [(number, status) for number, _, status in bench.heard] == [(4, Status.FULL), (5, Status.FULL)]
    bench.run(100)
    assert [(number, ms) for number, ms, _ in bench.heard[2:]] == [(0, 10), (1, 10), (2, 20), (3, 20)]
    assert {status for *_, status in bench.heard[2:]} == {Status.OK}
    assert bench.model.held == bench.model.busy == 0 and bench.ledger.turned_away == 2


def test_what_was_given_up_in_the_queue_is_not_worked_on() -> None:
    bench = Bench(cores=1)
    bench.ask(0)
    bench.ask(1).gone = True
    bench.ask(2)
    bench.run(100)
    assert [number for number, _, _ in bench.heard] == [0, 2] and bench.model.held == 0


def test_a_silent_server_takes_and_answers_nothing_and_a_dead_ones_work_is_void() -> None:
    bench = Bench()
    bench.model.silent = True
    bench.ask(0)
    bench.run(100)
    assert not bench.heard and bench.model.held == 1
    bench.model.start()
    bench.ask(1)
    bench.model.stop()
    bench.model.start()
    bench.run(200)
    assert not bench.heard and bench.model.held == 0


def test_a_cold_server_is_slow_warms_up_and_falls_over_when_it_is_pushed() -> None:
    cold = Cold(share=0.25, time="10s", multiple=2.0, window="1s")
    bench = Bench(cold=cold, cores=1, slots=500)
    bench.model.start()
    bench.ask(0)
    bench.run(100)
    assert bench.heard == [(0, 40, Status.OK)]
    assert bench.model.warmth(START + 5 * SECOND) == 0.625 and bench.model.warmth(START + 10 * SECOND) == 1.0
    for number in range(1, 52):  # 2 x 0.25 s of work a second is what it bears; 51 x 10 ms is more
        bench.ask(number)
    assert bench.fallen == [bench.model] and bench.ledger.broken[PUSHED] == 1
    warm = Bench(cold=cold, cores=1, slots=500)
    for number in range(400):
        warm.ask(number)
    assert not warm.fallen  # one that is warm only queues


# Network and lists ------------------------------------------------------------------------------


def test_messages_take_their_time_lost_ones_longer_and_none_crosses_a_cut() -> None:
    heap, came = Heap(), list[int]()
    network = Network(heap, NetworkTerms(delay="1ms", jitter="0s", loss=0.5, resend="10ms"), Stream(1, "n"))
    for _ in range(2_000):
        network.send(0, 1, lambda: came.append((heap.time - START) // MS))
    heap.run(START + 100 * SECOND)
    assert set(came) >= {1, 11, 31, 71} and abs(came.count(1) / 2_000 - 0.5) < 0.05
    assert 2_000 - len(came) <= 2_000 * 0.5**MOST_RESENDS * 4  # TCP gives up in the end
    network.loss = 0.0
    network.cut.add(1)
    before = len(came)
    network.send(0, 1, lambda: came.append(0))
    network.send(1, 0, lambda: came.append(0))
    network.send(1, 1, lambda: came.append(0))
    heap.run(START + 200 * SECOND)
    assert len(came) == before + 1


class Watching:
    def __init__(self) -> None:
        self.heard: list[tuple[ListKind, list[tuple[str, str]]]] = []

    def deliver(self, listing: Listing, kind: ListKind) -> None:
        self.heard.append((kind, [(host.name, host.state) for host in listing.hosts]))

    def failed(self) -> None:
        self.heard.append((ListKind.FAILED, []))


def test_lists_come_late_grow_stale_and_fail() -> None:
    bench, watcher = Bench(), Watching()
    discovery = Discovery(bench.heap, DiscoveryTerms(delay="100ms", jitter="0s"), Stream(1, "d"))
    discovery.fill([bench.model])
    discovery.subscribe(watcher)
    bench.run(99)
    assert not watcher.heard
    discovery.change(bench.model, "draining")
    bench.run(300)
    draining = [("t-0", "draining")]
    assert watcher.heard == [(ListKind.FULL, draining), (ListKind.CHANGES, draining)]
    discovery.freeze()
    discovery.change(bench.model, "removed")
    discovery.subscribe(watcher)
    bench.run(500)
    assert watcher.heard[2:] == [(ListKind.FULL, draining)]
    discovery.thaw()
    discovery.fall_silent()
    bench.run(700)
    assert watcher.heard[3:] == [(ListKind.FULL, []), (ListKind.FAILED, [])]
    discovery.subscribe(watcher)
    discovery.speak()
    discovery.subscribe(watcher)
    bench.run(900)
    assert [kind for kind, _ in watcher.heard[5:]] == [ListKind.FAILED, ListKind.FULL]


# The referee: each rule's breach is seen, and what is allowed is not -----------------------------

DUE = START + 3 * SECOND


@pytest.mark.parametrize(
    ("cls", "steps", "rule"),
    [
        (0, [("took", 1, 0, 0), ("answered", 2, "served")], ""),
        (0, [("took", 1, 0, 0), ("took", 1, 3, 1), ("answered", 2, "refused")], ""),
        (0, [("took", 1, 0, 0), ("answered", 2, "served"), ("answered", 2, "failed")], ANSWERS),
        (0, [("took", 1, 0, 0), ("answered", 4, "served")], ANSWERS),
        (0, [("answered", 2, "served")], ANSWERS),
        (0, [("took", 1, 0, 0)], ANSWERS),
        (0, [("took", 1, 0, 0), ("lost",)], ""),
        (0, [("left", 2)], ""),
        (0, [("left", 4)], ANSWERS),
        (0, [("rejected",)], ""),
        (0, [("took", 1, 0, 0), ("answered", 1, "served"), ("written", 2, 0)], ANSWERS),
        (0, [("written", 2, 1), ("answered", 2, "refused")], DRAINED),
        (0, [("written", 1.4, 1), ("took", 1, 0, 0), ("answered", 2, "served")], ""),
        (1, [("took", 1, 0, 0), ("took", 2, 0, 1), ("answered", 2, "served")], ""),
        (
            1,
            [("took", 0, 0, 0), ("took", 2.9, 0, 0), ("answered", 2.9, "served")],
            AGAIN,
        ),  # behind its window
        (1, [("took", 1, 0, 0), ("took", 2, 1, 0), ("answered", 2, "served")], AGAIN),
        (1, [("took", 1, 0, 0), ("answered", 2, "refused")], AGAIN),
        (2, [("took", 1, 0, 0), ("took", 2, 0, 1), ("answered", 2, "served")], AGAIN),  # another zone
        (3, [("took", 1, 0, 0), ("answered", 2, "failed")], ""),
        (3, [("took", 1, 0, 0), ("took", 1, 0, 0), ("answered", 2, "served")], AGAIN),
        (3, [("took", 1, 0, 0), ("answered", 2, "refused")], AGAIN),
    ],
)
def test_the_referee_sees_each_breach(cls: int, steps: list[tuple[Any, ...]], rule: str) -> None:
    ledger = Ledger((SAFE, KEYED_CELL, KEYED_ZONE, UNSAFE), 500 * MS, 20 * MS)
    ledger.accepted(1, cls, DUE)
    for word, *rest in steps:
        at = [START + int(rest[0] * SECOND)] if rest else []
        if word == "written":
            ledger.written(at[0], 1, "s", START + rest[1] * SECOND if rest[1] else 0)
        elif word in ("lost", "rejected"):
            getattr(ledger, word)(1)
        else:
            getattr(ledger, word)(at[0], 1, *rest[1:])
    ledger.sweep(DUE + 100 * SECOND)
    ledger.finish(DUE + 100 * SECOND)
    assert +ledger.broken == ({rule: 1} if rule else {}), ledger.lines
    assert not ledger.cases


# Statistics -------------------------------------------------------------------------------------


def test_a_comparison_says_no_difference_where_there_is_none() -> None:
    rng = random.Random(5)
    a = [rng.random() for _ in range(20)]
    assert paired(a, list(a)).word == "no difference"
    noise = [value + rng.gauss(0, 0.05) for value in a]
    assert paired(a, [value + 0.2 for value in noise]).word == "better"
    assert paired(a, [value - 0.2 for value in noise]).word == "worse"
    assert paired(a[:1], [1.0]).word == "no difference"  # one pair tells nothing
    with pytest.raises(ValueError, match="not pairs"):
        paired(a, a[1:])
    mean, low, high = interval(a)
    assert low < mean < high and interval(a) == (mean, low, high) and interval([]) == (0.0, 0.0, 0.0)
