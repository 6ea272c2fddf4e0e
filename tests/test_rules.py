"""The balancer keeps its rules, under scripted and under adversarial random events."""

from __future__ import annotations

from collections.abc import Sequence

import pytest

from minthitch import policy
from minthitch.interface import (
    SECOND,
    Action,
    AttemptEnded,
    Cancel,
    Fail,
    HangUp,
    ListKind,
    ListUpdate,
    Log,
    Prices,
    Probe,
    Refuse,
    RequestArrived,
    RequestGone,
    Send,
    ServerEntry,
    Settings,
    State,
    Status,
    StreamStarted,
    Subscribe,
    Tell,
    Tenant,
    TimerFired,
)
from minthitch.policy import MAX_CANDIDATES, Balancer, Candidate, RetryBudget, Server
from tests.rules import (
    ALL_CLASSES,
    BOUND,
    BOUND_UNSAFE,
    CLASSES,
    KEYED_ALL,
    KEYED_CELL,
    KEYED_ZONE,
    MS,
    SAFE,
    UNSAFE,
    Node,
    entries,
    hostile_day,
    settings,
)

NEVER_RAN = [Status.FULL, Status.CONNECT_FAILED, Status.MOOT]
MAY_HAVE_RUN = [Status.ERROR, Status.TIMEOUT, Status.RESET, Status.CANCELLED]


def kinds(actions: Sequence[object], kind: type) -> list[object]:
    return [a for a in actions if isinstance(a, kind)]


@pytest.mark.parametrize("seed", range(120))
def test_hostile_orders_break_no_rule(seed: int) -> None:
    """All effects and groups, with and without placement and budget, list pushed or subscribed to."""
    setup = settings(
        may_duplicate=seed % 3 != 0,
        may_cancel=seed % 5 != 0,
        ask_for_list=seed % 2 == 0,
        classes=ALL_CLASSES,
        budget_share=None if seed % 4 == 0 else 0.05,
        budget_free=seed % 3,
        budget_window=(1 + seed % 5) * SECOND,
    )
    node = hostile_day(setup, seed)
    assert any(isinstance(a, Send) for a in node.log)
    assert any(isinstance(a, (Refuse, Fail)) for a in node.log)


@pytest.mark.parametrize(
    "setup",
    [
        settings(siblings=1, max_attempts=1),
        settings(may_cancel=False),
        settings(may_duplicate=False),
        settings(cold_time=0, cold_share=1.0),
        settings(tier=2, siblings=300),
        settings(ask_for_list=True),
        settings(
            tenants=(Tenant("a", 1.0), Tenant("b", 0.0)), worth_by_work=True, prices=Prices(cross_zone=0.03)
        ),
    ],
)
def test_hostile_orders_break_no_rule_under_other_settings(setup: Settings) -> None:
    for seed in range(5):
        hostile_day(setup, seed)


def test_the_checks_detect_missing_placement(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(Server, "may_take", lambda *_: True)
    with pytest.raises(AssertionError, match="that the class may not use"):
        hostile_day(settings(classes=ALL_CLASSES), 1)


def test_the_checks_detect_a_missing_budget(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(RetryBudget, "remaining", lambda *_: 9.0)
    with pytest.raises(AssertionError, match="further attempts where"):
        for seed in range(5):
            hostile_day(settings(budget_share=0.01), seed)


def test_the_checks_detect_a_node_that_stops_subscribing_to_the_list(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(policy, "RESUBSCRIBE_PART", 1000.0)
    node = Node(settings(ask_for_list=True, ask_within=SECOND, tier=1))
    node.listed(4)
    node.feed(ListUpdate(ListKind.FAILED))
    node.train(10)
    node.wait(5 * SECOND)
    with pytest.raises(AssertionError, match="not been asked for"):
        node.request(1, UNSAFE)
        node.end(1, 0, Status.FULL)


@pytest.mark.parametrize("action", [Probe(1), Tell(b"hi"), Subscribe(), Cancel(1, 0), HangUp(99)])
def test_the_checks_reject_actions_that_the_settings_forbid(action: Action) -> None:
    node = Node(settings(may_cancel=False))
    node.listed(3)
    node.request(1, UNSAFE)
    with pytest.raises(AssertionError):
        node._check(action)


def test_a_peer_message_is_at_most_256_bytes() -> None:
    node = Node(settings(may_tell=True))
    node._check(Tell(bytes(256)))
    with pytest.raises(AssertionError):
        node._check(Tell(bytes(257)))


def test_ended_requests_are_removed() -> None:
    node = Node(settings())
    node.listed(4)
    node.queue(50, 20 * MS, 50 * MS)
    node.request(1, UNSAFE)
    node.wait(3 * SECOND)  # answered by the node; its attempt is still in flight
    assert list(node.balancer.requests) == [1]
    node.end(1, 0, Status.TIMEOUT, True)
    assert not node.balancer.requests and node.balancer.total_in_flight == 0


def test_a_bound_class_with_no_server_open_to_it_is_held_then_refused() -> None:
    node = Node(settings(classes=ALL_CLASSES))
    node.feed(ListUpdate(ListKind.FULL, tuple(ServerEntry(s, kind=0) for s in range(1, 6))))
    node.request(1, BOUND)
    node.wait(SECOND)
    assert not node.records[1].sent and not node.records[1].answers
    node.feed(ListUpdate(ListKind.CHANGES, (ServerEntry(9, kind=2),)))
    node.wait(SECOND)
    assert [s[0] for s in node.records[1].sent] == [9]
    node.request(2, BOUND_UNSAFE)
    node.wait(3 * SECOND)
    assert Refuse(2) in node.log


def test_the_budget_counts_refused_requests_as_taken_and_leaves_moot_attempts_out() -> None:
    budget = RetryBudget(settings(budget_share=0.5, budget_free=1.0, budget_window=SECOND))
    for when in (0, 1, 2, 3):
        budget.note(when, budget.arrived_at)
    assert budget.remaining(3) == 3.0
    budget.note(4, budget.extra_sent_at)
    budget.note(5, budget.extra_sent_at)
    assert budget.remaining(5) == 1.0
    budget.refund(5)
    assert budget.remaining(5) == 2.0
    assert budget.remaining(SECOND + 3) == 0.0  # the requests have left the window, the attempt at 4 has not
    assert budget.remaining(SECOND + 5) == 1.0


def test_a_set_is_cut_to_what_the_budget_leaves() -> None:
    def widest(share: float | None, free: float) -> int:
        node = Node(settings(tier=1, budget_share=share, budget_free=free))
        node.listed(8)
        node.train(40, latency=900 * MS)
        return max(len(b.sent) for b in node.records.values())

    assert widest(None, 0.0) > 1
    assert widest(0.0, 0.0) == 1


def test_one_server_serves_all_it_can() -> None:
    node = Node(settings())
    node.listed(1)
    assert node.queue(200, 100 * MS, 50 * MS) == 0


@pytest.mark.parametrize("cls", CLASSES)
def test_an_empty_list_ends_in_a_refusal_before_the_client_gives_up(cls: object) -> None:
    node = Node(settings())
    node.listed(0)
    node.request(1, cls)  # type: ignore[arg-type]
    node.wait(3 * SECOND - MS)
    assert node.records[1].answers == 1
    assert kinds(node.log, Refuse)
    assert not kinds(node.log, Send)


@pytest.mark.parametrize("left", [-SECOND, 0, MS])
def test_a_deadline_already_past_is_refused_at_once(left: int) -> None:
    node = Node(settings())
    node.listed(3)
    assert [type(a) for a in node.request(1, SAFE, left)] == [Refuse]


@pytest.mark.parametrize("cls", CLASSES)
def test_every_attempt_turned_away_ends_in_one_refusal(cls: object) -> None:
    node = Node(settings())
    node.listed(6)
    node.request(1, cls)  # type: ignore[arg-type]
    for _ in range(40):
        pending = [i for i, s in enumerate(node.records[1].sent) if s[2] is None]
        for index in pending:
            node.end(1, index, Status.FULL)
        node.wait(100 * MS)
    assert len(kinds(node.log, Refuse)) == 1
    assert not kinds(node.log, Fail)


@pytest.mark.parametrize("status", NEVER_RAN + MAY_HAVE_RUN)
def test_an_unsafe_request_goes_out_again_only_when_it_never_ran(status: Status) -> None:
    node = Node(settings())
    node.listed(6)
    node.request(1, UNSAFE)
    assert len(node.records[1].sent) == 1
    node.end(1, 0, status)
    node.wait(2990 * MS)
    assert (len(node.records[1].sent) > 1) == (status in NEVER_RAN)
    if status in MAY_HAVE_RUN:
        assert kinds(node.log, Fail)
        assert not kinds(node.log, Refuse)


@pytest.mark.parametrize("cls", [KEYED_ZONE, KEYED_CELL])
def test_a_keyed_repeat_stays_in_its_group_and_is_never_refused(cls: object) -> None:
    node = Node(settings())
    node.listed(8)
    node.request(1, cls)  # type: ignore[arg-type]
    node.end(1, 0, Status.ERROR)
    assert len(node.records[1].sent) >= 2  # the checks in Node include the group
    node.wait(4 * SECOND)
    assert kinds(node.log, Fail)
    assert not kinds(node.log, Refuse)


def test_a_keyed_request_is_not_sent_again_once_its_window_is_over() -> None:
    node = Node(settings())
    node.listed(8)
    node.request(1, KEYED_ALL)
    node.wait(2100 * MS)
    sent = len(node.records[1].sent)
    for index in range(sent):
        if node.records[1].sent[index][2] is None:
            node.end(1, index, Status.RESET)
    node.wait(SECOND)
    assert len(node.records[1].sent) == sent
    assert node.records[1].answers == 1


def test_a_keyed_request_that_never_ran_may_go_to_any_group() -> None:
    reached = set()
    for seed in range(30):
        node = Node(settings(), seed)
        node.listed(8)
        node.request(1, KEYED_CELL)
        node.end(1, 0, Status.CONNECT_FAILED)
        first = node.records[1].sent[0][0]
        reached |= {(s[0] - first) % 4 for s in node.records[1].sent[1:]}
    assert len(reached) > 1


def test_a_server_told_to_drain_or_gone_gets_nothing_new() -> None:
    for state in (State.DRAINING, State.GONE):
        node = Node(settings(drain_grace=0))
        node.listed(3)
        node.feed(ListUpdate(ListKind.CHANGES, (ServerEntry(2, state),)))
        node.train(30)
        assert not [a for a in node.log if isinstance(a, Send) and a.server == 2]
    node = Node(settings(drain_grace=0))
    node.listed(3)
    node.feed(ListUpdate(ListKind.FULL, entries(2)))
    node.train(30)
    assert not [a for a in node.log if isinstance(a, Send) and a.server == 3]


def test_the_first_answer_wins_and_the_losers_are_cancelled() -> None:
    node = Node(settings(tier=1))
    node.listed(8)
    node.train(40, latency=900 * MS)  # slow servers: one alone seldom reaches the target in 1 s
    node.request(1, SAFE, 1200 * MS)
    assert len(node.records[1].sent) > 1
    actions = node.end(1, 1, Status.OK)
    assert Cancel(1, 0) in actions
    assert Cancel(1, 1) not in actions


def test_no_copies_and_no_cancels_where_they_are_not_allowed() -> None:
    node = Node(settings(may_duplicate=False, tier=1))
    node.listed(8)
    node.train(40, latency=900 * MS)
    assert max(len(b.sent) for b in node.records.values()) == 1
    node = Node(settings(may_cancel=False, tier=1))
    node.listed(8)
    node.train(40, latency=900 * MS)
    assert not kinds(node.log, Cancel)


@pytest.mark.parametrize("new", [9, 3])  # a server that is new, and one that comes back
def test_a_cold_server_gets_its_part_and_all_nodes_together_keep_the_budget(new: int) -> None:
    """Twenty nodes and one server that just started: no cold window has more sends than its budget."""
    setup = settings(siblings=20, tier=1, cold_share=0.1, cold_multiple=1.0)
    sends: list[int] = []
    warm = 0
    for seed in range(20):
        node = Node(setup, seed)
        node.listed(4)
        node.wait(900 * SECOND)  # credit granted before the server started must not count
        node.train(60, latency=100 * MS)
        began = node.now
        node.feed(ListUpdate(ListKind.CHANGES, (ServerEntry(new, started=began),)))
        for first in range(0, 64, 8):  # eight at a time, so that every server that may take a call gets one
            for number in range(first, first + 8):
                node.request(number, UNSAFE)
            node.wait(800 * MS)
            for number in range(first, first + 8):
                node.end(number, 0, Status.OK)
        for number in range(64):
            for server, when, _ in node.records[number].sent:
                sends += [when - began] if server == new else []
                warm += server != new
    rate = warm / ((4 if new == 9 else 3) * 6.4)  # sends a second to a warm server, over all nodes
    assert sends, "a cold server must fill up"
    for at in sends:
        window = [t for t in sends if at <= t < at + setup.cold_window]
        can = setup.cold_share + (1 - setup.cold_share) * at / setup.cold_time
        assert len(window) <= setup.cold_multiple * can * rate * setup.cold_window / SECOND


def test_a_node_that_must_ask_subscribes_at_once_and_again_within_its_time() -> None:
    node = Node(settings(ask_for_list=True, ask_within=4 * SECOND))
    actions = node.feed(ListUpdate(ListKind.CACHED, entries(3)))
    assert Subscribe() in actions
    for _ in range(5):
        before = len(kinds(node.log, Subscribe))
        assert Subscribe() not in node.feed(ListUpdate(ListKind.FAILED))
        node.wait(4 * SECOND)
        assert len(kinds(node.log, Subscribe)) == before + 1


def test_nodes_do_not_ask_again_in_step() -> None:
    pauses = set()
    for seed in range(10):
        node = Node(settings(ask_for_list=True), seed)
        node.listed(3)
        node.feed(ListUpdate(ListKind.FAILED))
        pauses |= {t for t, token in node.timers if token == 0}
    assert len(pauses) == 10


def test_identical_events_give_identical_actions_and_seeds_differ() -> None:
    assert hostile_day(settings(), 5).log == hostile_day(settings(), 5).log

    def chosen(seed: int) -> list[int]:
        node = Node(settings(), seed)
        node.listed(8)
        node.train(20)
        return [a.server for a in node.log if isinstance(a, Send)]

    assert chosen(1) != chosen(2)


def test_events_for_what_is_no_longer_held_are_ignored() -> None:
    node = Node(settings())
    node.listed(3)
    node.request(1)
    node.end(1, 0, Status.OK)
    for event in (
        AttemptEnded(1, 0, 1, Status.OK, 5, True),
        AttemptEnded(1, 7, 1, Status.OK, 5, True),
        RequestGone(1),
        RequestGone(77),
        TimerFired(1 << 1 | 1),
        TimerFired(1 << 40),
    ):
        assert node.feed(event) == []


def test_a_cold_server_is_filled_by_what_warm_ones_answer_not_by_what_they_turn_away() -> None:
    """In overload most attempts end in FULL; counting them as answers overloaded cold servers (i2157a8)."""
    node = Node(settings(siblings=20, tier=1))
    node.listed(4)
    node.train(10)
    node.feed(ListUpdate(ListKind.CHANGES, (ServerEntry(9, started=node.now),)))
    sent = 0
    for number in range(200):
        node.request(number)
        for index, (server, _, status) in enumerate(node.records[number].sent):
            sent += server == 9
            if status is None:
                node.end(number, index, Status.FULL)
        node.wait(10 * MS)
    assert sent <= 5  # ten answers from four warm servers in 10 s: about one in 2 s for the cold one


def test_an_outcome_reported_twice_counts_once() -> None:
    node = Node(settings())
    node.listed(2)
    node.request(1, UNSAFE)
    ended = AttemptEnded(1, 0, node.records[1].sent[0][0], Status.FULL, MS)
    node.feed(ended)
    assert len(node.records[1].sent) == 2
    node.feed(ended)
    assert node.balancer.total_in_flight == 1


def test_nothing_is_sent_after_the_final_answer_even_if_the_host_does_not_say_closed() -> None:
    node = Node(settings())
    node.listed(4)
    node.request(1, UNSAFE)
    node.wait(3 * SECOND)
    assert node.records[1].answers == 1
    assert not kinds(node.end(1, 0, Status.FULL), Send)


def test_nothing_is_sent_once_the_answer_is_due() -> None:
    node = Node(settings())
    node.listed(4)
    node.request(1, UNSAFE)
    node.now = node.records[1].due - MS  # the request's timer comes later in the same batch
    assert kinds(node.end(1, 0, Status.FULL), Refuse)


def test_a_stream_that_began_is_the_answer() -> None:
    node = Node(settings())
    node.listed(4)
    node.request(1)
    node.feed(StreamStarted(1, 0, node.records[1].sent[0][0], MS))
    node.records[1].answers = 1
    node.wait(5 * SECOND)  # the checks would reject a refusal now
    assert not kinds(node.feed(AttemptEnded(1, 0, 1, Status.RESET, SECOND)), Send)


def test_copies_and_retries_end_when_nothing_is_answered() -> None:
    """Guards against a retry storm, as in the first three incidents: 8 to 19 attempts per request."""
    node = Node(settings())
    node.listed(8)
    sends = 0
    for number in range(300):
        node.request(number)
        for _ in range(4):
            for index, (_, _, status) in enumerate(node.records[number].sent):
                if status is None:
                    node.end(number, index, Status.FULL)
        node.wait(10 * MS)
        sends += len(node.records[number].sent)
    assert sends < 1.1 * 300


def share_of(node: Node, server: int) -> float:
    sends = [a.server for a in node.log if isinstance(a, Send)]
    return sends.count(server) / len(sends)


def test_a_server_that_fails_at_once_does_not_draw_the_calls() -> None:
    """It is always idle: priced by calls in flight alone, one got 45 times the mean load."""
    node = Node(settings())
    node.listed(5)
    node.train(20)
    node.log.clear()
    for number in range(200):
        node.request(number, UNSAFE)
        server = node.records[number].sent[0][0]
        node.wait(20 * MS)
        node.end(number, 0, Status.ERROR if server == 1 else Status.OK)
    assert share_of(node, 1) < 0.05


def test_a_slow_server_gets_less_and_a_silent_one_next_to_nothing() -> None:
    node = Node(settings())
    node.listed(5)
    node.train(150, latency=50 * MS, slow={1: 200 * MS})
    assert share_of(node, 1) < 0.12
    node = Node(settings())
    node.listed(5)
    node.train(20)
    node.log.clear()
    for number in range(150):
        node.request(number, UNSAFE)
        node.wait(30 * MS)
        if node.records[number].sent[0][0] != 1:
            node.end(number, 0, Status.OK)
    assert share_of(node, 1) < 0.05  # without any outcome, the age of the calls in flight must show it


def test_refusals_start_when_crowded_and_end_soon_after() -> None:
    """Guards against refusing for ever (98% in one overload): what was learned in it must not persist."""
    node = Node(settings())
    node.listed(4)
    assert node.queue(100, 40 * MS, 50 * MS) == 0  # a third of the capacity of four servers
    assert node.queue(600, 5 * MS, 50 * MS) > 200  # two and a half times that
    node.wait(5 * SECOND)
    assert node.queue(100, 40 * MS, 50 * MS) <= 2


def test_an_overload_from_the_start_is_refused_too() -> None:
    node = Node(settings())
    node.listed(4)
    assert node.queue(1000, 5 * MS, 50 * MS) > 300
    node.wait(5 * SECOND)
    assert node.queue(100, 40 * MS, 50 * MS) <= 2


def test_a_start_or_a_burst_does_not_crowd_the_servers_before_answers_can_tell() -> None:
    """Guards against a node that starts into a queue: one sent 71 calls before its first answer."""
    node = Node(settings(siblings=2))
    node.listed(10)
    for number in range(200):
        node.request(number)
    assert 10 <= len([a for a in node.log if isinstance(a, Send)]) <= 2.5 * 10 / 2 * 2 + 1
    node = Node(settings(siblings=2))
    node.listed(10)
    node.queue(200, 40 * MS, 100 * MS)  # two fifths of the capacity of ten servers, half of it this node's
    node.log.clear()
    for number in range(500):
        node.request(number)
    assert 10 <= len([a for a in node.log if isinstance(a, Send)]) <= 60


def test_the_in_flight_limit_shrinks_while_queues_grow() -> None:
    """Guards against a limit that grew at low load and keeps servers congested later (i3b50b5)."""
    node = Node(settings())
    node.listed(4)
    node.queue(400, 14 * MS, 50 * MS)  # nine tenths of the capacity of four servers
    before = node.balancer.extra_limit
    assert before > 0.0
    node.queue(600, 5 * MS, 50 * MS)
    assert node.balancer.extra_limit < before / 2


def test_servers_that_vanish_with_calls_out_stop_nothing() -> None:
    node = Node(settings())
    node.listed(4)
    for number in range(8):
        node.request(number)
    node.feed(ListUpdate(ListKind.FULL))
    node.request(100)
    node.wait(5 * SECOND)
    assert not node.unanswered()


def test_the_worthier_class_is_admitted_longer() -> None:
    turned = {}
    for first in (0, 1):
        node = Node(settings())
        node.listed(4)
        node.queue(100, 40 * MS, 50 * MS)
        node.log.clear()
        node.queue(600, 9 * MS, 50 * MS, (SAFE, UNSAFE))  # 1.4 times what they can do
        early = [a.request for a in node.log if isinstance(a, Refuse) and not node.records[a.request].sent]
        turned[first] = sum(
            node.records[r].arrived.cls == CLASSES.index((SAFE, UNSAFE)[first]) for r in early
        )
    assert turned[0] > 2 * turned[1]  # worth 2 and 5


def test_silent_servers_are_not_taken_for_a_common_load() -> None:
    """With a quarter of the fleet silent, as when a zone is lost, the node must not refuse."""
    node = Node(settings())
    node.listed(4)
    node.train(60)
    node.log.clear()
    for number in range(200):
        node.request(number)
        node.wait(20 * MS)
        for index, (server, _, status) in enumerate(node.records[number].sent):
            if server != 1 and status is None and not node.records[number].answers:
                node.end(number, index, Status.OK)
    assert not [a for a in node.log if isinstance(a, Refuse) and not node.records[a.request].sent]


def test_the_load_told_by_calls_that_are_out_is_no_more_than_their_age() -> None:
    """Guards against a load estimate that feeds back on itself: 150 waiting calls raised it to millions."""
    node = Node(settings(tier=1))
    node.listed(10)
    for number in range(150):
        node.request(number, UNSAFE)
        node.wait(2 * MS)
    # Calls, their age in ms, the base latency in ms, the weight of the prior.
    assert node.balancer._load(node.now) < 150 * 300 / 200 / 2 + 1


def test_a_large_fleet_costs_no_more_per_call_and_is_used_whole(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a CPU cost that grows with the fleet: beyond 200 servers it took all CPU (i8baef8)."""
    seen: list[Server] = []
    candidate = Balancer._candidate

    def counted(balancer: Balancer, now: int, left: float, server: Server) -> Candidate:
        seen.append(server)
        return candidate(balancer, now, left, server)

    monkeypatch.setattr(Balancer, "_candidate", counted)
    node = Node(settings(tier=1))
    node.listed(400)
    node.request(0)
    assert len(seen) == MAX_CANDIDATES
    node.train(1500)
    assert len({a.server for a in node.log if isinstance(a, Send)}) > 350


def lines(node: Node) -> list[str]:
    return [a.text for a in node.log if isinstance(a, Log)]


def test_refusing_is_logged_once_in_ten_seconds() -> None:
    node = Node(settings())
    node.listed(4)
    node.queue(100, 40 * MS, 50 * MS)
    assert not lines(node)
    node.queue(1800, 5 * MS, 50 * MS)
    assert 1 <= len(lines(node)) <= 2
    assert all(line.startswith("refusing: load ") for line in lines(node))


def test_a_failed_list_is_logged() -> None:
    node = Node(settings(ask_for_list=True))
    node.listed(4)
    node.feed(ListUpdate(ListKind.FAILED))
    assert lines(node) == ["list failed: going on with the 4 servers of the last one"]


def test_a_tenant_beyond_its_allowance_is_refused_first() -> None:
    """Guards against one tenant taking the capacity of the others (i3b50b5)."""
    node = Node(settings(tenants=(Tenant("calm", 100.0), Tenant("greedy", 20.0)), over_share_worth=0.1))
    node.listed(4)
    node.queue(100, 40 * MS, 50 * MS)
    ends: list[tuple[int, int, int]] = []
    for number in range(900):  # each tenant sends 55 a second; four servers can serve about 80
        node.feed(RequestArrived(number, 0, node.now + 3 * SECOND, tenant=number % 2))
        ends = node.serve(ends + node.started(number, 50 * MS), node.now + 9 * MS)
    refused = [a.request for a in node.log if isinstance(a, Refuse) and a.request < 900]
    greedy = sum(number % 2 for number in refused)
    assert greedy > 50 and greedy > 3 * (len(refused) - greedy)


def test_a_server_of_another_zone_is_taken_only_where_it_pays() -> None:
    def crossing(cost: float) -> float:
        node = Node(settings(prices=Prices(cross_zone=cost)))  # in zone 0; servers 1, 3, 5, 7 are there
        node.listed(8)
        node.queue(400, 20 * MS, 50 * MS)
        sends = [a.server for a in node.log if isinstance(a, Send)]
        return sum(s % 2 == 0 for s in sends) / len(sends)

    assert crossing(0.0) > 0.3
    assert crossing(0.03) < 0.2
    node = Node(settings(prices=Prices(cross_zone=0.03)))
    node.feed(ListUpdate(ListKind.FULL, tuple(e for e in entries(8) if e.zone == 1)))
    assert len(kinds(node.request(1), Send)) == 1
