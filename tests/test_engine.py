"""The engine with a manual clock, transport and requester: no sockets and no real time."""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable
from typing import Any

import pytest

from minthitch.engine import (
    Answer,
    Attempt,
    Call,
    Engine,
    Failed,
    Message,
    Refused,
    Rejected,
    Request,
    Served,
    Server,
    StaticSource,
)
from minthitch.engine.fields import CallParser
from minthitch.engine.servers import MAX_NAMES, ServerTable
from minthitch.interface import MILLISECOND, SECOND, Cancel, ListKind, Probe, Settings, Status
from minthitch.listing import Host, Listing, static_listing
from tests.rules import KEYED_CELL, SAFE, UNSAFE

MS = MILLISECOND
CLASSES = (SAFE, KEYED_CELL, UNSAFE)


class ManualClock:
    """A clock that advances only by `move`."""

    def __init__(self) -> None:
        self.time = 10 * SECOND
        self.timers: list[tuple[int, int, ManualTimer]] = []
        self.count = 0

    def now(self) -> int:
        return self.time

    def wall(self) -> int:
        return 1_800_000_000 * SECOND + self.time

    def at(self, when: int, call: Callable[[], None]) -> ManualTimer:
        timer = ManualTimer(call)
        self.count += 1
        heapq.heappush(self.timers, (when, self.count, timer))
        return timer

    def move(self, by: int) -> None:
        end = self.time + by
        while self.timers and self.timers[0][0] <= end:
            when, _, timer = heapq.heappop(self.timers)
            self.time = max(self.time, when)
            if not timer.cancelled:
                timer.call()
        self.time = end


class ManualTimer:
    def __init__(self, call: Callable[[], None]) -> None:
        self.call, self.cancelled = call, False

    def cancel(self) -> None:
        self.cancelled = True


class ManualTransport:
    """Keeps attempts until the test ends them."""

    def __init__(self) -> None:
        self.attempts: list[Attempt] = []
        self.hung_up: list[Server] = []
        self.dropped = 0

    def start(self, attempt: Attempt) -> None:
        attempt.handle = self
        self.attempts.append(attempt)

    def drop(self) -> None:
        self.dropped += 1

    def hang_up(self, server: Server) -> None:
        self.hung_up.append(server)

    def close(self) -> None:
        return None


class RecordingRequester:
    def __init__(self) -> None:
        self.answers: list[tuple[Call, Answer]] = []

    def answer(self, call: Call, answer: Answer) -> None:
        self.answers.append((call, answer))


class EngineHarness:
    def __init__(self, count: int = 3, **changes: Any) -> None:
        options = {
            "max_attempts": 4,
            "retry_after": True,
            "max_retry_after": 2 * SECOND,
            "tier": 1,
            "drain_grace": 500 * MS,
            "max_open": 50,
            **changes,
        }
        self.settings = Settings(classes=CLASSES, **options)
        self.clock, self.transport, self.requester, self.log = (
            ManualClock(),
            ManualTransport(),
            RecordingRequester(),
            list[str](),
        )
        self.idle = 0
        self.engine = Engine(self.settings, 1, self.clock, self.log.append, self._idle)
        self.engine.transport = self.transport
        self.hosts = [Host(f"s{i}", "127.0.0.1", i + 1, cell=i % 2) for i in range(count)]
        self.engine.listed(Listing(1, True, tuple(self.hosts)), ListKind.CACHED)
        self.numbers = iter(range(1, 1 << 30))

    def _idle(self) -> None:
        self.idle += 1

    def ask(self, cls: int = 2, left: int | None = None, **more: Any) -> Request:
        identity = more.pop("identity", b"%d" % next(self.numbers))
        call = Call(identity, cls, Message(b"POST", b"/api"), time_left=left, **more)
        return self.engine.admit(self.requester, call)

    def change(self, number: int, state: str = "up", **more: Any) -> None:
        host = self.hosts[number]
        given = Host(
            host.name,
            host.address,
            more.get("port", host.port),
            cell=host.cell,
            state=state,
            born_ms=more.get("born_ms", 0),
        )
        self.engine.listed(Listing(self.engine.server_table.seq + 1, False, (given,)), ListKind.CHANGES)

    @property
    def outcomes(self) -> list[str]:
        return [type(answer).__name__ for _, answer in self.requester.answers]


def test_a_successful_attempt_answers_once_and_frees_the_request() -> None:
    w = EngineHarness()
    request = w.ask()
    w.clock.move(20 * MS)
    w.transport.attempts[0].end(Status.OK, Served(b"x"))
    w.transport.attempts[0].end(Status.RESET)  # ignored: it has ended
    assert w.requester.answers == [(request.call, Served(b"x"))]
    assert not w.engine.requests and not w.engine.open and not w.engine.open_ids
    w.clock.move(60 * SECOND)
    assert len(w.requester.answers) == 1


def test_an_unsafe_request_is_retried_only_if_it_never_ran() -> None:
    w = EngineHarness()
    w.ask()
    w.transport.attempts[0].end(Status.FULL)
    assert len(w.transport.attempts) == 2
    assert w.transport.attempts[1].server is not w.transport.attempts[0].server
    w.transport.attempts[1].end(Status.RESET)
    assert w.outcomes == ["Failed"] and len(w.transport.attempts) == 2


def test_a_request_without_a_server_is_refused_with_a_retry_after() -> None:
    w = EngineHarness(0)
    w.ask(left=SECOND)
    w.clock.move(SECOND)
    assert w.outcomes == ["Refused"]
    answer = w.requester.answers[0][1]
    assert isinstance(answer, Refused) and 0 < answer.retry_after <= 2.0


def test_the_deadline_ends_attempts_and_answers_once() -> None:
    w = EngineHarness()
    w.ask(left=SECOND)
    attempt = w.transport.attempts[0]
    w.clock.move(SECOND)
    assert w.outcomes == ["Failed"] and attempt.status is Status.CANCELLED and w.transport.dropped == 1
    assert not w.engine.requests


def test_the_deadline_counts_from_when_the_call_was_received() -> None:
    w = EngineHarness()
    received = w.clock.now() - 800 * MS  # it waited behind others, or the process was paused
    request = w.ask(left=SECOND, received_at=received)
    assert request.deadline == received + SECOND
    w.ask(left=SECOND, received_at=w.clock.now() - 2 * SECOND)  # expired on arrival: refused, not sent
    assert w.outcomes == ["Refused"] and len(w.transport.attempts) == 1


def test_a_requester_that_leaves_gets_no_answer_and_its_attempts_are_dropped() -> None:
    w = EngineHarness()
    request = w.ask()
    w.engine.abandon(request)
    w.engine.abandon(request)
    assert w.transport.dropped == 1 and not w.requester.answers and not w.engine.requests
    w.clock.move(10 * SECOND)
    assert not w.requester.answers


def test_an_attempt_is_not_written_past_half_the_grace_or_for_a_closed_request() -> None:
    w = EngineHarness(1)
    request = w.ask()
    attempt = w.transport.attempts[0]
    assert attempt.may_write()
    w.change(0, "draining")
    w.clock.move(249 * MS)  # half of the grace: discovery may have known that much earlier
    assert attempt.may_write()
    w.clock.move(1 * MS)
    assert not attempt.may_write()
    w.change(0)
    assert attempt.may_write()
    w.engine.abandon(request)
    assert not attempt.may_write()


def test_a_duplicate_id_and_a_full_table_are_rejected_and_leave_no_state() -> None:
    w = EngineHarness(max_open=2)
    w.ask(identity=b"a")
    with pytest.raises(Rejected) as caught:
        w.ask(identity=b"a")
    assert caught.value.status == 409
    w.ask(identity=b"b")
    with pytest.raises(Rejected) as caught:
        w.ask(identity=b"c")
    assert caught.value.status == 503 and 0 < caught.value.retry_after <= 2 * SECOND
    assert len(w.engine.open) == len(w.engine.open_ids) == 2


def test_a_full_table_states_no_retry_after_if_the_settings_forbid_it() -> None:
    w = EngineHarness(max_open=1, retry_after=False)
    w.ask()
    with pytest.raises(Rejected) as caught:
        w.ask()
    assert caught.value.retry_after == 0


def test_a_drain_answers_all_requests_in_time_and_reports_idle() -> None:
    w = EngineHarness()
    w.ask()
    w.ask(left=100 * MS)
    w.engine.drain(500 * MS)
    assert not w.idle
    late = w.ask()
    assert late.deadline <= w.clock.now() + 500 * MS
    w.clock.move(499 * MS)
    w.clock.move(1 * MS)
    assert len(w.requester.answers) == 3 and set(w.outcomes) <= {"Failed", "Refused"}
    assert w.idle and not w.engine.open
    w.engine.drain(SECOND)  # again: the first deadline stays


def test_a_drain_of_an_idle_engine_reports_idle_at_once() -> None:
    w = EngineHarness()
    w.engine.drain(SECOND)
    assert w.idle == 1


def test_a_failing_decision_leaves_no_requester_unanswered(monkeypatch: pytest.MonkeyPatch) -> None:
    w = EngineHarness()
    real = w.engine.balancer.handle

    def failing(now: int, event: Any) -> Any:
        if type(event).__name__ == "RequestArrived":
            raise IndexError("out of range")
        return real(now, event)

    monkeypatch.setattr(w.engine.balancer, "handle", failing)
    w.ask()
    assert w.outcomes == ["Failed"] and "IndexError" in w.log[0]


def test_a_requester_that_raises_does_not_affect_others() -> None:
    w = EngineHarness()

    class Bad:
        def answer(self, call: Call, answer: Answer) -> None:
            raise RuntimeError("a front's fault")

    w.engine.admit(Bad(), Call(b"bad", 2, Message(b"POST", b"/")))
    w.ask()
    for attempt in list(w.transport.attempts):
        attempt.end(Status.OK, Served())
    assert w.outcomes == ["Served"] and "a front's fault" in w.log[0]


def test_actions_that_do_not_apply_are_logged_and_harmless() -> None:
    w = EngineHarness()
    w.engine._execute(Probe(1))
    w.engine._execute(Cancel(99, 0))
    assert w.log == ["not carried out: Probe"]


def test_a_restart_or_a_new_address_replaces_the_server_and_closes_its_connections() -> None:
    w = EngineHarness()
    old = w.engine.server_table.by_name["s0"]
    w.change(0, port=99)
    new = w.engine.server_table.by_name["s0"]
    assert new is not old and old.replaced and not old.is_usable and new.number == old.number
    assert w.transport.hung_up == [old] and w.engine.server_table.by_number[new.number] is new
    w.change(0, "removed")
    assert "s0" not in w.engine.server_table.by_name and not new.is_usable
    w.change(0, "removed")  # again: it is already unknown


def test_zones_and_kinds_are_bounded() -> None:
    fleet = ServerTable(Settings(classes=CLASSES, zones=("z",)))
    for i in range(MAX_NAMES + 500):
        host = Host("s", "127.0.0.1", 1, zone=f"zone{i}", kind=f"kind{i}")
        entries, _ = fleet.apply(Listing(i, False, (host,)), ListKind.CHANGES, 1, 1)
        assert entries[0].zone <= MAX_NAMES and entries[0].kind <= MAX_NAMES
    assert len(fleet.zones) == len(fleet.kinds) == MAX_NAMES


def test_a_static_source_delivers_its_list_on_each_request() -> None:
    received: list[tuple[Listing, ListKind]] = []
    listing = static_listing(["127.0.0.1:1"])
    source = StaticSource(listing, lambda *given: received.append(given))
    source.subscribe()
    source.refresh()
    assert received == [(listing, ListKind.FULL)] * 2


def test_tenant_key_cost_and_repeat_are_parsed_from_fields() -> None:
    reader = CallParser(Settings(classes=CLASSES))
    fields = {
        b"x-correlation-id": b"1",
        b"x-service-class": b"buy",
        b"x-time-left": b"480m",
        b"x-session-key": b"u",
        b"x-weight-hint": b"12.5",
        b"x-repeat": b"1",
        b"x-account": b"none",
    }
    reader.check(b"POST", fields)
    call = reader.call(Message(b"POST", b"/"), fields)
    assert (call.time_left, call.cost, call.repeat, call.tenant) == (480 * MS, 12_500, True, 0)
    assert call.key and call.key == reader.call(Message(b"POST", b"/"), fields).key


@pytest.mark.parametrize("seed", range(8))
def test_any_order_of_events_gives_each_request_one_answer(seed: int) -> None:
    """Random arrivals, outcomes, departures, list changes and time: one answer each, and no state remains."""
    rng, w = random.Random(seed), EngineHarness(4)
    requesters: list[RecordingRequester] = []
    left: set[int] = set()
    requests: list[Request] = []
    for step in range(400):
        roll = rng.random()
        if roll < 0.35:
            requester = RecordingRequester()
            try:
                requests.append(
                    w.engine.admit(
                        requester,
                        Call(
                            b"%d" % step,
                            rng.randrange(3),
                            Message(b"POST", b"/"),
                            time_left=rng.choice([None, 0, 30 * MS, SECOND]),
                        ),
                    )
                )
                requesters.append(requester)
            except Rejected:
                assert len(w.engine.open) == w.settings.max_open
        elif roll < 0.75 and w.transport.attempts:
            attempt = rng.choice(w.transport.attempts)
            status = rng.choice(list(Status))
            attempt.end(status, Served(b"x") if status is Status.OK else None)
        elif roll < 0.8 and requests:
            index = rng.randrange(len(requests))
            if not requests[index].closed:
                left.add(index)
            w.engine.abandon(requests[index])
        elif roll < 0.88:
            w.change(
                rng.randrange(4),
                rng.choice(["up", "draining", "removed"]),
                born_ms=rng.choice([0, 1_800_000_000_000]),
            )
        else:
            w.clock.move(rng.choice([0, MS, 50 * MS, 700 * MS]))
    w.clock.move(10 * SECOND)
    for index, requester in enumerate(requesters):
        assert len(requester.answers) == (index not in left), f"seed {seed}, request {index}"
        assert all(isinstance(answer, (Served, Refused, Failed)) for _, answer in requester.answers)
    assert not w.engine.open and not w.engine.open_ids and not w.engine.requests
