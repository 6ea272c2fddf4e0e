"""The life of a record, decided: what is written when, what may be sent, what callers are told."""

from __future__ import annotations

from typing import Any

import pytest

from minthitch.interface import MILLISECOND, SECOND
from minthitch.record.lifecycle import (
    MARGIN,
    MOST_BACKLOG,
    MOST_OPEN,
    POLL,
    Action,
    Answered,
    AttemptOver,
    CallerGone,
    Came,
    Conclude,
    Lifecycle,
    Need,
    Opened,
    Put,
    Release,
    SendRequested,
    StoreBack,
    Tell,
    Terms,
    Tick,
)
from minthitch.record.model import (
    Attempted,
    Claim,
    Done,
    Fenced,
    Held,
    Look,
    Lost,
    Missing,
    Record,
    Renew,
    Resolution,
    Result,
    Settle,
    State,
)

MS = MILLISECOND
TERMS = Terms("n1", 7)


class Node:
    """One life, its time, and the writes that wait for a result."""

    def __init__(self, lease: int = 10 * SECOND) -> None:
        self.now = 100 * SECOND
        self.life = Lifecycle(TERMS, self.now + lease)
        self.puts: list[Put] = []
        self.seen: list[Action] = []

    def feed(self, event: Any) -> list[Action]:
        actions = self.life.handle(self.now, event)
        self.puts += [action for action in actions if isinstance(action, Put)]
        self.seen += [action for action in actions if not isinstance(action, Put)]
        return actions

    def open(
        self, number: int = 1, need: Need = Need.REQUIRED, identity: str = "sale", digest: bytes = b"d"
    ) -> None:
        self.feed(Opened(number, identity, "buy", digest, need, self.now + 2 * SECOND))

    def want(self, number: int = 1, attempt: int = 0, server: str = "s1") -> list[Action]:
        return self.feed(SendRequested(number, attempt, server, 1))

    def come(self, result: Result) -> list[Action]:
        """The result of the oldest write that waits."""
        return self.feed(Came(self.puts.pop(0).ticket, result))

    def served(self, number: int = 1) -> list[Action]:
        return self.feed(Answered(number, State.SERVED, 2, "", b"h", b"ticket", b"a/b"))

    def wait(self, by: int) -> list[Action]:
        self.now += by
        return self.feed(Tick())

    @property
    def writes(self) -> list[Any]:
        return [put.write for put in self.puts]


def record(state: State, **more: Any) -> Record:
    return Record("sale", "buy", more.pop("digest", b"d"), "n2", 3, 1, state, **more)


def sent(need: Need = Need.REQUIRED) -> Node:
    """A node whose sale is on record and out at a server."""
    n = Node()
    n.open(need=need)
    n.want()
    n.come(Done())
    return n


def test_nothing_is_sent_before_the_intent_is_durable() -> None:
    n = Node()
    n.open()
    assert [type(a) for a in n.want()] == [Put]
    assert n.writes == [Claim("sale", "buy", b"d", "n1", 7, "s1", 1)]
    assert n.come(Done()) == [Release(1, 0)]


def test_a_served_answer_waits_for_its_outcome_to_be_durable() -> None:
    n = sent()
    assert [type(a) for a in n.served()] == [Put]
    assert n.writes == [Settle("sale", 7, State.SERVED, 2, "", b"h", b"ticket", b"a/b")]
    assert n.come(Done()) == [Tell(1)]
    assert not n.life.calls and not n.life.holders and not n.life.tickets


def test_a_slow_store_does_not_hold_the_answer_of_a_sale_that_ran_beyond_its_time() -> None:
    n = sent()
    n.served()
    assert n.wait(TERMS.answer_within - 1) == []
    assert n.wait(1) == [Tell(1)]
    n.come(Done())
    assert n.seen.count(Tell(1)) == 1 and not n.life.calls


def test_an_answer_near_its_deadline_is_not_held_beyond_it() -> None:
    n = sent()
    n.now += 2 * SECOND - MARGIN - 10 * MS
    n.served()
    assert n.wait(10 * MS) == [Tell(1)]


def test_a_further_attempt_is_on_record_before_it_goes() -> None:
    n = sent()
    n.feed(AttemptOver(1, 0, True))
    assert [type(a) for a in n.want(attempt=1, server="s2")] == [Put]
    assert n.writes == [Attempted("sale", 7, "s2", 1)]
    assert n.come(Done()) == [Release(1, 1)]


def test_copies_of_a_race_go_with_one_claim() -> None:
    n = Node()
    n.open()
    n.want(attempt=0)
    assert n.want(attempt=1) == []
    assert n.come(Done()) == [Release(1, 0), Release(1, 1)]


@pytest.mark.parametrize(
    ("held", "state", "words"),
    [
        (record(State.SERVED, answer=b"x"), State.SERVED, "on record"),
        (record(State.FAILED), State.FAILED, "may have run: failed"),
        (
            record(State.DOUBT, reason="its node fell silent"),
            State.FAILED,
            "may have run: its node fell silent",
        ),
        (
            record(State.DOUBT, word=Resolution.RAN, why="ledger"),
            State.FAILED,
            "it ran, as was found later: ledger",
        ),
        (record(State.SERVED, digest=b"other"), State.FAILED, "another request has this identity"),
    ],
)
def test_an_identity_that_is_on_record_gets_its_outcome_and_is_never_sent(
    held: Record, state: State, words: str
) -> None:
    n = Node()
    n.open()
    n.want()
    (concluded,) = n.come(Held(held))
    assert isinstance(concluded, Conclude) and concluded.state is state and words in concluded.reason
    assert concluded.record == held and not n.life.calls and not n.puts


def test_what_never_ran_elsewhere_is_begun_again() -> None:
    n = Node()
    n.open()
    n.want()
    n.come(Held(record(State.NEVER_RAN)))
    assert [type(w) for w in n.writes] == [Claim]
    assert n.come(Done()) == [Release(1, 0)]


def test_a_retry_at_another_node_waits_for_the_firsts_outcome() -> None:
    n = Node()
    n.open()
    n.want()
    assert n.come(Held(record(State.INTENT))) == []
    assert n.wait(POLL - 1) == [] and n.writes == []
    n.wait(1)
    assert n.writes == [Look("sale")]
    n.come(Held(record(State.INTENT)))
    n.wait(POLL)
    (concluded,) = n.come(Held(record(State.SERVED, answer=b"x")))
    assert isinstance(concluded, Conclude) and concluded.state is State.SERVED


def test_a_retry_that_waits_for_another_node_fails_in_time() -> None:
    n = Node()
    n.open()
    n.want()
    n.come(Held(record(State.INTENT)))
    (concluded,) = n.wait(2 * SECOND - MARGIN)
    assert concluded == Conclude(1, State.FAILED, "it is held elsewhere, and may run")


def test_a_repeat_at_the_same_node_gets_the_firsts_answer() -> None:
    n = sent()
    n.open(2)
    assert n.want(2) == []
    n.served()
    told = n.come(Done())
    assert told[0] == Tell(1)
    assert isinstance(told[1], Conclude) and told[1].number == 2 and told[1].state is State.SERVED
    assert told[1].record is not None and told[1].record.answer == b"ticket"
    assert not n.life.calls


def test_one_identity_with_two_requests_fails_the_second() -> None:
    n = sent()
    n.open(2, digest=b"other")
    (concluded,) = n.want(2)
    assert isinstance(concluded, Conclude) and concluded.state is State.FAILED


def test_required_is_refused_at_once_when_the_store_is_away() -> None:
    n = Node()
    n.open()
    n.want()
    (concluded,) = n.come(Lost("gone"))
    assert concluded == Conclude(
        1, State.NEVER_RAN, "the store of record is away: gone", retry_after=TERMS.retry_after
    )
    assert not n.life.calls


def test_required_is_refused_when_the_store_is_slow_and_a_late_intent_is_taken_back() -> None:
    n = Node()
    n.open()
    n.want()
    assert n.wait(TERMS.intent_within - 1) == []
    (concluded,) = n.wait(1)
    assert isinstance(concluded, Conclude) and concluded.state is State.NEVER_RAN
    n.come(Done())  # it was written after all: nothing was sent, and it says so
    (settle,) = n.writes
    assert isinstance(settle, Settle) and settle.state is State.NEVER_RAN
    n.come(Done())
    assert not n.life.calls and not any(isinstance(a, Release) for a in n.seen)


def test_best_effort_goes_on_and_is_counted() -> None:
    n = Node()
    n.open(need=Need.BEST_EFFORT)
    n.want()
    assert n.come(Lost("gone")) == [Release(1, 0)]
    assert n.life.counts["unrecorded"] == 1
    assert n.served() == [Tell(1)] and not n.life.calls


def test_best_effort_goes_after_the_stores_time_and_is_recorded_late() -> None:
    n = Node()
    n.open(need=Need.BEST_EFFORT)
    n.want()
    assert n.wait(TERMS.intent_within) == [Release(1, 0)]
    n.come(Done())
    n.served()
    assert [type(w) for w in n.writes] == [Settle]


def test_an_outcome_that_could_not_be_written_is_kept_and_written_when_the_store_is_back() -> None:
    n = sent()
    n.served()
    assert n.come(Lost("gone")) == [Tell(1)]
    assert len(n.life.backlog) == 1
    n.feed(StoreBack())
    assert [type(w) for w in n.writes] == [Settle] and not n.life.backlog
    n.come(Lost("again"))
    assert len(n.life.backlog) == 1


def test_the_backlog_and_the_open_calls_are_bounded() -> None:
    n = Node()
    for number in range(MOST_BACKLOG + 10):
        n.life._keep(Settle(str(number), 7, State.SERVED, 1))
    assert len(n.life.backlog) == MOST_BACKLOG and n.life.counts["dropped outcomes"] == 10
    for number in range(MOST_OPEN + 10):
        n.open(number, identity=str(number))
    assert len(n.life.calls) == MOST_OPEN
    assert sum(isinstance(a, Conclude) and a.state is State.NEVER_RAN for a in n.seen) == 10


def test_a_refusal_and_a_failure_are_told_at_once() -> None:
    for state in (State.FAILED, State.NEVER_RAN):
        n = sent()
        n.feed(AttemptOver(1, 0, state is State.NEVER_RAN))
        assert n.feed(Answered(1, state, 2, "why"))[0] == Tell(1)
        assert n.writes[0] == Settle("sale", 7, state, 2, "why")


def test_a_refusal_of_what_may_have_run_is_recorded_as_failed() -> None:
    n = sent()
    n.feed(AttemptOver(1, 0, False))  # of a class that may be repeated: the balancer may refuse it
    n.feed(Answered(1, State.NEVER_RAN, 2))
    assert n.writes[0].state is State.FAILED


def test_a_caller_that_leaves_is_recorded_by_what_was_sent() -> None:
    n = sent()
    n.feed(CallerGone(1, 2))
    assert n.writes[0].state is State.FAILED
    m = Node()
    m.open()
    m.want()
    m.feed(CallerGone(1, 2))
    m.come(Done())
    assert m.writes[0].state is State.NEVER_RAN
    m.come(Done())
    assert not m.life.calls and not any(isinstance(a, Release) for a in m.seen)


def test_a_call_that_was_never_sent_leaves_no_record() -> None:
    n = Node()
    n.open()
    assert n.feed(Answered(1, State.NEVER_RAN, 2)) == [Tell(1)]
    assert not n.life.calls and not n.puts


def test_a_fenced_node_sends_nothing_recorded_any_more() -> None:
    n = Node()
    n.open()
    n.want()
    assert [type(a) for a in n.come(Fenced())] == [Conclude]
    n.open(2, identity="other")
    (concluded,) = n.want(2)
    assert isinstance(concluded, Conclude) and concluded.state is State.NEVER_RAN and not n.puts
    n.open(3, Need.BEST_EFFORT, identity="third")
    assert [type(a) for a in n.want(3)] == [Conclude]


def test_a_process_that_wakes_behind_its_lease_sends_only_after_it_was_renewed() -> None:
    n = Node(lease=SECOND)
    n.open()
    n.want()
    n.now += 2 * SECOND - 100 * MS  # it was stopped between its claim and the answer
    assert not any(isinstance(a, Release) for a in n.come(Done()))
    assert n.writes == [Renew(7, 10_000)]
    m = n
    assert [type(a) for a in m.come(Fenced())] == [Conclude] or m.life.fenced
    assert not any(isinstance(a, Release) for a in m.seen)


def test_a_renewed_lease_lets_what_waits_go_and_counts_from_when_it_was_asked() -> None:
    n = Node(lease=SECOND)
    n.open()
    n.want()
    n.now += 1500 * MS
    n.come(Done())
    asked = n.now
    n.now += 100 * MS
    assert n.come(Done()) == [Release(1, 0)]
    assert n.life.lease_until == asked + TERMS.lease


def test_the_lease_is_renewed_in_its_second_half_once_at_a_time() -> None:
    n = Node()
    assert n.wait(4 * SECOND) == []
    assert [type(a) for a in n.wait(SECOND)] == [Put]
    assert n.wait(SECOND) == []
    n.come(Lost("gone"))
    assert [type(a) for a in n.wait(SECOND)] == [Put]


def test_a_second_outcome_is_counted_as_a_conflict() -> None:
    n = sent()
    n.served()
    assert n.come(Held(record(State.FAILED))) == [Tell(1)]
    assert n.life.counts["conflicts"] == 1


def test_a_record_that_vanished_while_it_was_waited_for_is_claimed_anew() -> None:
    n = Node()
    n.open()
    n.want()
    n.come(Held(record(State.INTENT)))
    n.wait(POLL)
    n.come(Missing())
    assert [type(w) for w in n.writes] == [Claim]


def test_long_answers_are_kept_by_their_digest_alone() -> None:
    n = sent()
    n.feed(Answered(1, State.SERVED, 2, "", b"h", b"x" * (TERMS.keep_answer + 1), b""))
    assert n.writes[0].answer is None and n.writes[0].answer_digest == b"h"


@pytest.mark.parametrize("name", ["epoch", "lease", "intent_within", "answer_within", "keep_answer"])
def test_terms_that_cannot_be_are_one_clear_error(name: str) -> None:
    with pytest.raises(ValueError, match=f"record: {name} 0 is not above 0"):
        Terms(**{"node": "n", "epoch": 1, **{name: 0}})  # type: ignore[arg-type]
