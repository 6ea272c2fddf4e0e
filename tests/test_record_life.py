"""The state machine of recorded calls: what is written when, what is sent, what callers are answered."""

from __future__ import annotations

from typing import Any

import pytest

from minthitch.interface import MILLISECOND, SECOND
from minthitch.record.lifecycle import (
    DEADLINE_MARGIN,
    MAX_BACKLOG,
    MAX_OPEN_CALLS,
    POLL_INTERVAL,
    Action,
    Answered,
    AttemptFinished,
    CallerGone,
    Conclude,
    DeliverAnswer,
    Lifecycle,
    Opened,
    RecordingMode,
    RecordSettings,
    Release,
    SendRequested,
    StoreAvailable,
    SubmitWrite,
    Tick,
    WriteFinished,
)
from minthitch.record.model import (
    AddAttempt,
    Claim,
    Done,
    Existing,
    Fenced,
    Lookup,
    Missing,
    NotWritten,
    Record,
    Renew,
    Resolution,
    Result,
    Settle,
    State,
)

MS = MILLISECOND
SETTINGS = RecordSettings("n1", 7)


class Node:
    """A Lifecycle with a manual clock, and its writes without a result."""

    def __init__(self, lease: int = 10 * SECOND) -> None:
        self.now = 100 * SECOND
        self.lifecycle = Lifecycle(SETTINGS, self.now + lease)
        self.pending_writes: list[SubmitWrite] = []
        self.other_actions: list[Action] = []

    def feed(self, event: Any) -> list[Action]:
        actions = self.lifecycle.handle(self.now, event)
        self.pending_writes += [action for action in actions if isinstance(action, SubmitWrite)]
        self.other_actions += [action for action in actions if not isinstance(action, SubmitWrite)]
        return actions

    def open(
        self,
        number: int = 1,
        mode: RecordingMode = RecordingMode.REQUIRED,
        identity: str = "sale",
        digest: bytes = b"d",
    ) -> None:
        self.feed(Opened(number, identity, "buy", digest, mode, self.now + 2 * SECOND))

    def request_send(self, number: int = 1, attempt: int = 0, server: str = "s1") -> list[Action]:
        return self.feed(SendRequested(number, attempt, server, 1))

    def finish_write(self, result: Result) -> list[Action]:
        """Passes the result of the oldest unfinished write."""
        return self.feed(WriteFinished(self.pending_writes.pop(0).ticket, result))

    def served(self, number: int = 1) -> list[Action]:
        return self.feed(Answered(number, State.SERVED, 2, "", b"h", b"ticket", b"a/b"))

    def advance(self, by: int) -> list[Action]:
        self.now += by
        return self.feed(Tick())

    @property
    def writes(self) -> list[Any]:
        return [put.write for put in self.pending_writes]


def record(state: State, **more: Any) -> Record:
    return Record("sale", "buy", more.pop("digest", b"d"), "n2", 3, 1, state, **more)


def sent(mode: RecordingMode = RecordingMode.REQUIRED) -> Node:
    """A node with one recorded call in flight."""
    n = Node()
    n.open(mode=mode)
    n.request_send()
    n.finish_write(Done())
    return n


def test_nothing_is_sent_before_the_intent_is_durable() -> None:
    n = Node()
    n.open()
    assert [type(a) for a in n.request_send()] == [SubmitWrite]
    assert n.writes == [Claim("sale", "buy", b"d", "n1", 7, "s1", 1)]
    assert n.finish_write(Done()) == [Release(1, 0)]


def test_a_served_answer_waits_for_its_outcome_to_be_durable() -> None:
    n = sent()
    assert [type(a) for a in n.served()] == [SubmitWrite]
    assert n.writes == [Settle("sale", 7, State.SERVED, 2, "", b"h", b"ticket", b"a/b")]
    assert n.finish_write(Done()) == [DeliverAnswer(1)]
    assert not n.lifecycle.calls and not n.lifecycle.holders and not n.lifecycle.tickets


def test_a_slow_store_holds_an_answer_at_most_for_answer_within() -> None:
    n = sent()
    n.served()
    assert n.advance(SETTINGS.answer_within - 1) == []
    assert n.advance(1) == [DeliverAnswer(1)]
    n.finish_write(Done())
    assert n.other_actions.count(DeliverAnswer(1)) == 1 and not n.lifecycle.calls


def test_an_answer_is_not_held_beyond_its_deadline() -> None:
    n = sent()
    n.now += 2 * SECOND - DEADLINE_MARGIN - 10 * MS
    n.served()
    assert n.advance(10 * MS) == [DeliverAnswer(1)]


def test_a_further_attempt_is_recorded_before_it_is_sent() -> None:
    n = sent()
    n.feed(AttemptFinished(1, 0, True))
    assert [type(a) for a in n.request_send(attempt=1, server="s2")] == [SubmitWrite]
    assert n.writes == [AddAttempt("sale", 7, "s2", 1)]
    assert n.finish_write(Done()) == [Release(1, 1)]


def test_parallel_attempts_are_released_by_one_claim() -> None:
    n = Node()
    n.open()
    n.request_send(attempt=0)
    assert n.request_send(attempt=1) == []
    assert n.finish_write(Done()) == [Release(1, 0), Release(1, 1)]


@pytest.mark.parametrize(
    ("held", "state", "reason"),
    [
        (record(State.SERVED, answer=b"x"), State.SERVED, "answered from the record"),
        (record(State.FAILED), State.FAILED, "may have run: failed"),
        (
            record(State.DOUBT, reason="its node fell silent"),
            State.FAILED,
            "may have run: its node fell silent",
        ),
        (
            record(State.DOUBT, word=Resolution.RAN, why="ledger"),
            State.FAILED,
            "it ran, as was found out later: ledger",
        ),
        (record(State.SERVED, digest=b"other"), State.FAILED, "the identity belongs to a different request"),
    ],
)
def test_a_recorded_identity_gets_its_outcome_and_is_never_sent(
    held: Record, state: State, reason: str
) -> None:
    n = Node()
    n.open()
    n.request_send()
    (concluded,) = n.finish_write(Existing(held))
    assert isinstance(concluded, Conclude) and concluded.state is state and reason in concluded.reason
    assert concluded.record == held and not n.lifecycle.calls and not n.pending_writes


def test_a_call_that_never_ran_elsewhere_is_claimed_again() -> None:
    n = Node()
    n.open()
    n.request_send()
    n.finish_write(Existing(record(State.NEVER_RAN)))
    assert [type(w) for w in n.writes] == [Claim]
    assert n.finish_write(Done()) == [Release(1, 0)]


def test_a_retry_at_another_node_waits_for_the_outcome_of_the_first_request() -> None:
    n = Node()
    n.open()
    n.request_send()
    assert n.finish_write(Existing(record(State.INTENT))) == []
    assert n.advance(POLL_INTERVAL - 1) == [] and n.writes == []
    n.advance(1)
    assert n.writes == [Lookup("sale")]
    n.finish_write(Existing(record(State.INTENT)))
    n.advance(POLL_INTERVAL)
    (concluded,) = n.finish_write(Existing(record(State.SERVED, answer=b"x")))
    assert isinstance(concluded, Conclude) and concluded.state is State.SERVED


def test_a_retry_that_waits_for_another_node_fails_in_time() -> None:
    n = Node()
    n.open()
    n.request_send()
    n.finish_write(Existing(record(State.INTENT)))
    (concluded,) = n.advance(2 * SECOND - DEADLINE_MARGIN)
    assert concluded == Conclude(1, State.FAILED, "another node holds the call and may run it")


def test_a_repeat_at_the_same_node_gets_the_answer_of_the_first_request() -> None:
    n = sent()
    n.open(2)
    assert n.request_send(2) == []
    n.served()
    actions = n.finish_write(Done())
    assert actions[0] == DeliverAnswer(1)
    assert isinstance(actions[1], Conclude) and actions[1].number == 2 and actions[1].state is State.SERVED
    assert actions[1].record is not None and actions[1].record.answer == b"ticket"
    assert not n.lifecycle.calls


def test_one_identity_with_two_requests_fails_the_second() -> None:
    n = sent()
    n.open(2, digest=b"other")
    (concluded,) = n.request_send(2)
    assert isinstance(concluded, Conclude) and concluded.state is State.FAILED


def test_required_is_refused_at_once_when_the_store_is_unavailable() -> None:
    n = Node()
    n.open()
    n.request_send()
    (concluded,) = n.finish_write(NotWritten("gone"))
    assert concluded == Conclude(
        1, State.NEVER_RAN, "the store of record is unavailable: gone", retry_after=SETTINGS.retry_after
    )
    assert not n.lifecycle.calls


def test_required_is_refused_when_the_store_is_slow_and_a_late_intent_is_settled() -> None:
    n = Node()
    n.open()
    n.request_send()
    assert n.advance(SETTINGS.intent_within - 1) == []
    (concluded,) = n.advance(1)
    assert isinstance(concluded, Conclude) and concluded.state is State.NEVER_RAN
    n.finish_write(Done())  # the intent was written after all; nothing was sent, so it never ran
    (settle,) = n.writes
    assert isinstance(settle, Settle) and settle.state is State.NEVER_RAN
    n.finish_write(Done())
    assert not n.lifecycle.calls and not any(isinstance(a, Release) for a in n.other_actions)


def test_best_effort_is_sent_unrecorded_and_counted() -> None:
    n = Node()
    n.open(mode=RecordingMode.BEST_EFFORT)
    n.request_send()
    assert n.finish_write(NotWritten("gone")) == [Release(1, 0)]
    assert n.lifecycle.counts["unrecorded"] == 1
    assert n.served() == [DeliverAnswer(1)] and not n.lifecycle.calls


def test_best_effort_is_sent_after_intent_within_and_recorded_late() -> None:
    n = Node()
    n.open(mode=RecordingMode.BEST_EFFORT)
    n.request_send()
    assert n.advance(SETTINGS.intent_within) == [Release(1, 0)]
    n.finish_write(Done())
    n.served()
    assert [type(w) for w in n.writes] == [Settle]


def test_an_unwritten_outcome_is_kept_and_written_when_the_store_is_available() -> None:
    n = sent()
    n.served()
    assert n.finish_write(NotWritten("gone")) == [DeliverAnswer(1)]
    assert len(n.lifecycle.backlog) == 1
    n.feed(StoreAvailable())
    assert [type(w) for w in n.writes] == [Settle] and not n.lifecycle.backlog
    n.finish_write(NotWritten("again"))
    assert len(n.lifecycle.backlog) == 1


def test_the_backlog_and_the_open_calls_are_bounded() -> None:
    n = Node()
    for number in range(MAX_BACKLOG + 10):
        n.lifecycle._add_to_backlog(Settle(str(number), 7, State.SERVED, 1))
    assert len(n.lifecycle.backlog) == MAX_BACKLOG and n.lifecycle.counts["dropped outcomes"] == 10
    for number in range(MAX_OPEN_CALLS + 10):
        n.open(number, identity=str(number))
    assert len(n.lifecycle.calls) == MAX_OPEN_CALLS
    assert sum(isinstance(a, Conclude) and a.state is State.NEVER_RAN for a in n.other_actions) == 10


def test_refusals_and_failures_are_delivered_at_once() -> None:
    for state in (State.FAILED, State.NEVER_RAN):
        n = sent()
        n.feed(AttemptFinished(1, 0, state is State.NEVER_RAN))
        assert n.feed(Answered(1, state, 2, "why"))[0] == DeliverAnswer(1)
        assert n.writes[0] == Settle("sale", 7, state, 2, "why")


def test_a_refused_call_that_may_have_run_is_recorded_as_failed() -> None:
    n = sent()
    n.feed(AttemptFinished(1, 0, False))  # in a repeatable class the balancer may still refuse it
    n.feed(Answered(1, State.NEVER_RAN, 2))
    assert n.writes[0].state is State.FAILED


def test_if_the_caller_leaves_the_outcome_depends_on_what_was_sent() -> None:
    n = sent()
    n.feed(CallerGone(1, 2))
    assert n.writes[0].state is State.FAILED
    other = Node()
    other.open()
    other.request_send()
    other.feed(CallerGone(1, 2))
    other.finish_write(Done())
    assert other.writes[0].state is State.NEVER_RAN
    other.finish_write(Done())
    assert not other.lifecycle.calls and not any(isinstance(a, Release) for a in other.other_actions)


def test_a_call_that_was_never_sent_leaves_no_record() -> None:
    n = Node()
    n.open()
    assert n.feed(Answered(1, State.NEVER_RAN, 2)) == [DeliverAnswer(1)]
    assert not n.lifecycle.calls and not n.pending_writes


def test_a_fenced_node_sends_no_recorded_call() -> None:
    n = Node()
    n.open()
    n.request_send()
    assert [type(a) for a in n.finish_write(Fenced())] == [Conclude]
    n.open(2, identity="other")
    (concluded,) = n.request_send(2)
    assert isinstance(concluded, Conclude) and concluded.state is State.NEVER_RAN and not n.pending_writes
    n.open(3, RecordingMode.BEST_EFFORT, identity="third")
    assert [type(a) for a in n.request_send(3)] == [Conclude]


def test_a_process_that_resumes_after_its_lease_expired_renews_it_before_it_sends() -> None:
    n = Node(lease=SECOND)
    n.open()
    n.request_send()
    n.now += 2 * SECOND - 100 * MS  # the process was suspended between the claim and its result
    assert not any(isinstance(a, Release) for a in n.finish_write(Done()))
    assert n.writes == [Renew(7, 10_000)]
    other = n
    assert [type(a) for a in other.finish_write(Fenced())] == [Conclude] or other.lifecycle.fenced
    assert not any(isinstance(a, Release) for a in other.other_actions)


def test_a_renewed_lease_releases_waiting_attempts_and_counts_from_the_submission() -> None:
    n = Node(lease=SECOND)
    n.open()
    n.request_send()
    n.now += 1500 * MS
    n.finish_write(Done())
    asked = n.now
    n.now += 100 * MS
    assert n.finish_write(Done()) == [Release(1, 0)]
    assert n.lifecycle.lease_until == asked + SETTINGS.lease


def test_the_lease_is_renewed_in_its_second_half_once_at_a_time() -> None:
    n = Node()
    assert n.advance(4 * SECOND) == []
    assert [type(a) for a in n.advance(SECOND)] == [SubmitWrite]
    assert n.advance(SECOND) == []
    n.finish_write(NotWritten("gone"))
    assert [type(a) for a in n.advance(SECOND)] == [SubmitWrite]


def test_a_second_outcome_is_counted_as_a_conflict() -> None:
    n = sent()
    n.served()
    assert n.finish_write(Existing(record(State.FAILED))) == [DeliverAnswer(1)]
    assert n.lifecycle.counts["conflicts"] == 1


def test_a_record_deleted_while_it_is_polled_is_claimed_again() -> None:
    n = Node()
    n.open()
    n.request_send()
    n.finish_write(Existing(record(State.INTENT)))
    n.advance(POLL_INTERVAL)
    n.finish_write(Missing())
    assert [type(w) for w in n.writes] == [Claim]


def test_long_answers_are_recorded_by_digest_only() -> None:
    n = sent()
    n.feed(Answered(1, State.SERVED, 2, "", b"h", b"x" * (SETTINGS.keep_answer + 1), b""))
    assert n.writes[0].answer is None and n.writes[0].answer_digest == b"h"


@pytest.mark.parametrize("name", ["epoch", "lease", "intent_within", "answer_within", "keep_answer"])
def test_invalid_settings_are_rejected_with_one_clear_error(name: str) -> None:
    with pytest.raises(ValueError, match=f"record: {name} 0 is not above 0"):
        RecordSettings(**{"node": "n", "epoch": 1, **{name: 0}})  # type: ignore[arg-type]
