"""Decides the life of each recorded call: what is written, when a send may go, what its caller is told.

No I/O and no clock: events and times (monotonic ns) in, actions out. The rules:

- Nothing of a call goes to a server before its intent is durable; with `BEST_EFFORT`, before the store has
  had its time. A call whose identity has an outcome gets that outcome, one in doubt a failure; neither is
  sent.
- An answer waits for its outcome to be durable, but not beyond its time.
- What could not be written is kept, bounded, and written when the store is back.
- A node whose epoch was taken over sends nothing recorded any more; nor does one whose lease has run out.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from enum import Enum

from minthitch.interface import MILLISECOND, SECOND
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
    Write,
)

POLL = 50 * MILLISECOND  # between two looks at a call that another node holds
MARGIN = 20 * MILLISECOND  # before a deadline by which its caller is told
MOST_OPEN = 10_000  # calls in work
MOST_BACKLOG = 10_000  # outcomes kept while the store is away


class Need(Enum):
    """What a class asks of the store."""

    REQUIRED = "required"  # no send without a durable intent
    BEST_EFFORT = "best-effort"  # a send goes once the store has had its time; what is missed is counted


@dataclass(frozen=True, slots=True)
class Terms:
    """The operator's settings; times in ns."""

    node: str
    epoch: int
    lease: int = 10 * SECOND
    intent_within: int = 250 * MILLISECOND  # for an intent to be durable
    answer_within: int = 250 * MILLISECOND  # for an outcome to be durable before its caller is told
    retry_after: int = SECOND  # what a refusal for want of the store says
    keep_answer: int = 16 * 1024  # bytes of an answer that are kept

    def __post_init__(self) -> None:
        for name in ("epoch", "lease", "intent_within", "answer_within", "keep_answer"):
            if getattr(self, name) <= 0:
                raise ValueError(f"record: {name} {getattr(self, name)!r} is not above 0")


# Events -----------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class SendRequested:
    """The balancer decided a send; `number` is the request, new in this process."""

    number: int
    attempt: int
    server: str
    at: int  # Unix ms, for people


@dataclass(frozen=True, slots=True)
class Opened:
    """A request of a recorded class was taken."""

    number: int
    identity: str
    cls: str
    digest: bytes
    need: Need
    deadline: int


@dataclass(frozen=True, slots=True)
class AttemptOver:
    number: int
    attempt: int
    never_ran: bool


@dataclass(frozen=True, slots=True)
class Answered:
    """The balancer's final answer: `SERVED`, `FAILED` or `NEVER_RAN`, for a refusal."""

    number: int
    state: State
    at: int
    reason: str = ""
    digest: bytes = b""
    body: bytes = b""
    content_type: bytes = b""


@dataclass(frozen=True, slots=True)
class CallerGone:
    number: int
    at: int


@dataclass(frozen=True, slots=True)
class Came:
    """The result of the write with this ticket."""

    ticket: int
    result: Result


@dataclass(frozen=True, slots=True)
class StoreBack:
    """The store takes writes again."""


@dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed."""


Event = Opened | SendRequested | AttemptOver | Answered | CallerGone | Came | StoreBack | Tick


# Actions ----------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Put:
    """Give the write to the store; its result comes as `Came` with this ticket."""

    ticket: int
    write: Write


@dataclass(frozen=True, slots=True)
class Release:
    """The attempt may go to its server."""

    number: int
    attempt: int


@dataclass(frozen=True, slots=True)
class Conclude:
    """Answer the request though nothing of it was sent: by the record, or as refused or failed."""

    number: int
    state: State  # SERVED by the record; FAILED; NEVER_RAN: refused
    reason: str
    record: Record | None = None
    retry_after: int = 0


@dataclass(frozen=True, slots=True)
class Tell:
    """Give the caller the balancer's answer now."""

    number: int


Action = Put | Release | Conclude | Tell


class _Call:
    """One request in work."""

    __slots__ = (
        "opened",
        "durable",
        "claiming",
        "waiting",
        "wanted_at",
        "in_flight",
        "may_have_run",
        "answer",
        "told",
        "tell_by",
        "concluded",
        "joined",
        "look_at",
        "gone_at",
        "pending",
    )

    def __init__(self, opened: Opened) -> None:
        self.opened = opened
        self.durable = False  # its intent is on record, by this epoch
        self.claiming: set[int] = set()  # tickets of its claims and attempts that are not back
        self.waiting: dict[int, SendRequested] = {}  # attempts that wait for the store
        self.wanted_at = 0  # since when
        self.in_flight: set[int] = set()  # attempts that were released and are not over
        self.may_have_run = False
        self.answer: Answered | None = None
        self.told = self.concluded = False
        self.tell_by = 0
        self.joined: list[int] = []  # requests of the same identity that wait for this one's outcome
        self.look_at = 0  # when to look again at another node's record; 0 = it does not wait for one
        self.gone_at = 0
        self.pending = 0  # writes of it whose results are not back

    @property
    def is_over(self) -> bool:
        return self.answer is not None or self.concluded or bool(self.gone_at)


class Lifecycle:
    """The recorded calls of one node's one start. Feed events in order; carry out the actions in order."""

    def __init__(self, terms: Terms, lease_until: int) -> None:
        self.terms, self.lease_until = terms, lease_until
        self.calls: dict[int, _Call] = {}
        self.holders: dict[str, int] = {}  # identity: the request that holds it here
        self.tickets: dict[int, tuple[Write, int, int]] = {}  # write, request (0: none), when
        self.next_ticket = 1
        self.backlog: deque[Settle] = deque()
        self.fenced = False
        self.renewing = 0  # the ticket of a renewal that is not back
        self.counts = {
            "recorded": 0,
            "unrecorded": 0,
            "from record": 0,
            "conflicts": 0,
            "refused": 0,
            "dropped outcomes": 0,
            "told before durable": 0,
        }
        self.actions: list[Action] = []

    def handle(self, now: int, event: Event) -> list[Action]:
        self.actions = []
        if isinstance(event, Opened):
            self._opened(event)
        elif isinstance(event, Came):
            self._came(now, event)
        elif isinstance(event, StoreBack):
            self._back(now)
        elif isinstance(event, Tick):
            self._tick(now)
        elif (call := self.calls.get(event.number)) is not None:
            if isinstance(event, SendRequested):
                self._on_send_requested(now, call, event)
            elif isinstance(event, AttemptOver):
                self._attempt_over(call, event)
            elif isinstance(event, Answered):
                self._answered(now, call, event)
            else:
                self._gone(now, call, event)
        return self.actions

    # Sends --------------------------------------------------------------------------------------

    def _opened(self, event: Opened) -> None:
        call = self.calls[event.number] = _Call(event)
        if len(self.calls) > MOST_OPEN:  # danger: a flood would fill the memory
            self._refuse(call, "too many recorded calls are open")

    def _on_send_requested(self, now: int, call: _Call, event: SendRequested) -> None:
        if call.is_over:
            return
        if self.fenced:
            self._refuse(call, "this node was taken over")
            return
        holder = self.holders.setdefault(call.opened.identity, event.number)
        if holder != event.number:
            self._join(call, self.calls[holder])
            return
        if not call.waiting:
            call.wanted_at = now
        call.waiting[event.attempt] = event
        if call.look_at:  # another node holds it: the look decides
            return
        write: Write
        if call.durable:
            write = Attempted(call.opened.identity, self.terms.epoch, event.server, event.at)
        elif call.claiming:
            return  # a second copy of a race goes with the first one's claim
        else:
            write = self._claim(call, event)
        call.claiming.add(self._put(now, write, event.number))

    def _claim(self, call: _Call, event: SendRequested) -> Claim:
        opened = call.opened
        return Claim(
            opened.identity,
            opened.cls,
            opened.digest,
            self.terms.node,
            self.terms.epoch,
            event.server,
            event.at,
        )

    def _join(self, call: _Call, holder: _Call) -> None:
        if holder.opened.digest != call.opened.digest:
            self._conclude(call, State.FAILED, "another request has this identity")
            return
        holder.joined.append(call.opened.number)
        call.look_at = -1  # waits, and not for the store

    def _release_if_leased(self, now: int, call: _Call) -> None:
        """Lets what waits go. Danger: behind a lease that ran out another may have taken this node over."""
        if now >= self.lease_until:
            self._renew(now)
        else:
            self._let_go(call)

    def _let_go(self, call: _Call) -> None:
        waiting, call.waiting = call.waiting, {}
        for attempt in waiting:
            call.in_flight.add(attempt)
            self.actions.append(Release(call.opened.number, attempt))

    def _renew(self, now: int) -> None:
        if not self.renewing and not self.fenced:
            self.renewing = self._put(now, Renew(self.terms.epoch, self.terms.lease // MILLISECOND), 0)

    def _attempt_over(self, call: _Call, event: AttemptOver) -> None:
        if event.attempt in call.in_flight:
            call.in_flight.discard(event.attempt)
            call.may_have_run = call.may_have_run or not event.never_ran
        call.waiting.pop(event.attempt, None)

    # Results ------------------------------------------------------------------------------------

    def _put(self, now: int, write: Write, number: int) -> int:
        ticket, self.next_ticket = self.next_ticket, self.next_ticket + 1
        self.tickets[ticket] = (write, number, now)
        if (call := self.calls.get(number)) is not None:
            call.pending += 1
        self.actions.append(Put(ticket, write))
        return ticket

    def _came(self, now: int, event: Came) -> None:
        known = self.tickets.pop(event.ticket, None)
        if known is None:  # told before
            return
        write, number, asked = known
        if (call := self.calls.get(number)) is not None:
            call.pending -= 1
        if isinstance(event.result, Fenced):
            self._fence()
        if isinstance(write, Renew):
            self._renewed(now, event.result, asked)
        elif isinstance(write, Settle):
            self._settled(write, event.result, number)
        elif call is not None:
            call.claiming.discard(event.ticket)
            self._intended(now, call, write, event.result)

    def _renewed(self, now: int, result: Result, asked: int) -> None:
        self.renewing = 0
        if not isinstance(result, Done):
            return
        self.lease_until = asked + self.terms.lease  # danger: counted from the answer, it would be too long
        for call in list(self.calls.values()):
            if call.durable and call.waiting and not call.claiming and not call.is_over:
                self._release_if_leased(now, call)

    def _intended(self, now: int, call: _Call, write: Write, result: Result) -> None:
        """What came of a claim, a further attempt or a look."""
        if isinstance(result, Done):
            call.durable = True
            self.counts["recorded"] += isinstance(write, Claim)
            if call.is_over:
                self._finish(now, call)
            else:
                self._release_if_leased(now, call)
        elif isinstance(result, Held):
            self._on_existing(now, call, result.record)
        elif isinstance(result, Missing):
            call.look_at = 0  # what another node held is gone: begin anew
            self._claim_again(now, call)
        elif isinstance(result, Lost) and not call.is_over:
            self._without_store(now, call, result.cause)
        self._forget(call)

    def _claim_again(self, now: int, call: _Call) -> None:
        if call.waiting and not call.is_over:
            first = next(iter(call.waiting.values()))
            call.claiming.add(self._put(now, self._claim(call, first), call.opened.number))

    def _on_existing(self, now: int, call: _Call, record: Record) -> None:
        if call.in_flight or call.may_have_run:  # best effort: it went out, and is on record elsewhere
            self.counts["conflicts"] += 1
            return
        if call.is_over:
            return
        if record.digest != call.opened.digest:
            self._conclude(call, State.FAILED, "another request has this identity", record)
        elif record.may_begin:
            call.look_at = 0
            self._claim_again(now, call)
        elif record.state is State.SERVED:
            self.counts["from record"] += 1
            self._conclude(call, State.SERVED, "on record", record)
        elif record.state is State.INTENT:
            call.look_at = now + POLL
        elif record.word is Resolution.RAN:
            self._conclude(call, State.FAILED, f"it ran, as was found later: {record.why}", record)
        else:
            why = record.reason or record.state.value
            self._conclude(call, State.FAILED, f"it may have run: {why}", record)

    def _without_store(self, now: int, call: _Call, cause: str) -> None:
        if call.opened.need is Need.REQUIRED:
            if call.may_have_run or call.in_flight:
                call.waiting.clear()  # what is out may still answer
            else:
                self._refuse(call, f"the store of record is away: {cause}")
            return
        if not call.waiting:
            return
        self.counts["unrecorded"] += 1
        self._let_go(call)

    def _fence(self) -> None:
        """Another process has this node's place: nothing recorded is sent any more."""
        self.fenced = True
        for call in list(self.calls.values()):
            if not call.is_over and not call.in_flight and not call.may_have_run:
                self._refuse(call, "this node was taken over")

    # Outcomes -----------------------------------------------------------------------------------

    def _refuse(self, call: _Call, reason: str) -> None:
        self.counts["refused"] += 1
        self._conclude(call, State.NEVER_RAN, reason, retry_after=self.terms.retry_after)

    def _conclude(
        self, call: _Call, state: State, reason: str, record: Record | None = None, retry_after: int = 0
    ) -> None:
        call.concluded, call.look_at = True, 0
        call.waiting.clear()
        self.actions.append(Conclude(call.opened.number, state, reason, record, retry_after))
        joined, call.joined = call.joined, []
        for number in joined:
            if (other := self.calls.get(number)) is not None and not other.is_over:
                self._conclude(other, state, reason, record, retry_after)
        self._forget(call)

    def _answered(self, now: int, call: _Call, event: Answered) -> None:
        if call.is_over:
            return
        call.answer = event
        call.waiting.clear()
        call.look_at = 0
        if event.state is not State.SERVED:  # an answer that promises nothing is never held back
            self._tell(call)
        else:
            call.tell_by = min(now + self.terms.answer_within, call.opened.deadline - MARGIN)
        self._finish(now, call)

    def _gone(self, now: int, call: _Call, event: CallerGone) -> None:
        if call.is_over:
            return
        call.gone_at, call.told = event.at or 1, True
        call.waiting.clear()
        call.look_at = 0
        # Its attempts are given up with it, and may have run.
        self._finish(now, call)

    def _finish(self, now: int, call: _Call) -> None:
        """Writes the outcome of what is on record by this epoch."""
        if call.claiming:
            return  # whether its intent is on record comes first
        if not call.durable:
            self._tell(call)
            self._pass_on(call)
            self._forget(call)
            return
        ran = call.may_have_run or bool(call.in_flight)
        answer = call.answer
        if answer is not None and answer.state is State.SERVED:
            kept = answer.body if len(answer.body) <= self.terms.keep_answer else None
            settle = Settle(
                call.opened.identity,
                self.terms.epoch,
                State.SERVED,
                answer.at,
                "",
                answer.digest,
                kept,
                answer.content_type,
            )
        else:
            left = "its caller left" if call.gone_at else "not sent"
            reason = answer.reason if answer is not None else left
            at = answer.at if answer is not None else call.gone_at
            settle = Settle(
                call.opened.identity, self.terms.epoch, State.FAILED if ran else State.NEVER_RAN, at, reason
            )
        self._put(now, settle, call.opened.number)

    def _settled(self, write: Settle, result: Result, number: int) -> None:
        if isinstance(result, Lost):
            self._keep(write)
        elif isinstance(result, Held):
            self.counts["conflicts"] += 1
        call = self.calls.get(number)
        if call is None:
            return
        if not isinstance(result, Done) and not call.told:
            self.counts["told before durable"] += 1
        self._tell(call)
        self._pass_on(call)
        call.durable = False  # it is done with
        self._forget(call)

    def _keep(self, write: Settle) -> None:
        if len(self.backlog) >= MOST_BACKLOG:  # the oldest stays an intent, and is in doubt after a crash
            self.backlog.popleft()
            self.counts["dropped outcomes"] += 1
        self.backlog.append(write)

    def _back(self, now: int) -> None:
        backlog, self.backlog = self.backlog, deque()
        for write in backlog:
            self._put(now, write, 0)

    def _tell(self, call: _Call) -> None:
        if call.answer is not None and not call.told:
            call.told = True
            self.actions.append(Tell(call.opened.number))

    def _pass_on(self, call: _Call) -> None:
        """The joined requests get the same outcome."""
        joined, call.joined = call.joined, []
        if not joined:
            return
        answer, opened = call.answer, call.opened
        for number in joined:
            other = self.calls.get(number)
            if other is None or other.is_over:
                continue
            if answer is not None and answer.state is State.SERVED:
                record = Record(
                    opened.identity,
                    opened.cls,
                    opened.digest,
                    self.terms.node,
                    self.terms.epoch,
                    1,
                    State.SERVED,
                    answer_digest=answer.digest,
                    answer=answer.body,
                    content_type=answer.content_type,
                )
                self._conclude(other, State.SERVED, "as the first", record)
            elif call.may_have_run or call.in_flight:
                self._conclude(other, State.FAILED, "it may have run: as the first")
            else:
                self._refuse(other, "as the first")

    def _forget(self, call: _Call) -> None:
        done = call.is_over and (call.told or call.concluded) and not call.pending
        if done and not call.durable:
            number, identity = call.opened.number, call.opened.identity
            self.calls.pop(number, None)
            if self.holders.get(identity) == number:
                del self.holders[identity]

    # Time ---------------------------------------------------------------------------------------

    def _tick(self, now: int) -> None:
        if now >= self.lease_until - self.terms.lease // 2:
            self._renew(now)
        for call in list(self.calls.values()):
            if call.answer is not None and not call.told and now >= call.tell_by:
                self.counts["told before durable"] += 1
                self._tell(call)
                self._pass_on(call)
            elif not call.is_over:
                self._overdue(now, call)

    def _overdue(self, now: int, call: _Call) -> None:
        if (
            now >= call.opened.deadline - MARGIN
            and not call.in_flight
            and not call.may_have_run
            and (call.look_at or call.waiting)
        ):
            if call.look_at:
                self._conclude(call, State.FAILED, "it is held elsewhere, and may run")
            else:
                self._refuse(call, "the store of record did not answer")
        elif call.look_at > 0 and now >= call.look_at and not call.claiming:
            call.look_at = now + POLL
            call.claiming.add(self._put(now, Look(call.opened.identity), call.opened.number))
        elif call.waiting and not call.look_at and now >= call.wanted_at + self.terms.intent_within:
            self._without_store(now, call, "it did not answer in time")
