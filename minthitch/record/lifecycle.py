"""State machine of recorded calls: what is written, when an attempt is sent, what the caller is answered.

No I/O and no clock: takes events and times (monotonic ns) and returns actions. The rules:

- No attempt is sent before the intent is durable; with `BEST_EFFORT`, it is sent without it after
  `intent_within`. If the identity already has an outcome, the caller gets that outcome; if it is in doubt, a
  failure. Neither is sent.
- An answer is held until its outcome is durable, but at most for `answer_within`.
- Outcomes that could not be written are kept in a bounded backlog and written when the store is available.
- A node whose epoch is fenced, or whose lease has expired, sends no recorded call.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from enum import Enum

from minthitch.interface import MILLISECOND, SECOND
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
    Write,
)

POLL_INTERVAL = 50 * MILLISECOND  # between two lookups of a call that another node holds
DEADLINE_MARGIN = 20 * MILLISECOND  # a caller is answered this long before its deadline
MAX_OPEN_CALLS = 10_000  # recorded calls at once; further ones are refused
MAX_BACKLOG = 10_000  # outcomes kept while the store is unavailable


class RecordingMode(Enum):
    """How strictly the calls of a class are recorded."""

    REQUIRED = "required"  # no send without a durable intent
    BEST_EFFORT = "best-effort"  # sent unrecorded if the store fails or is slow; such calls are counted


@dataclass(frozen=True, slots=True)
class RecordSettings:
    """The operator's settings, with the node and its epoch; times in ns."""

    node: str
    epoch: int
    lease: int = 10 * SECOND
    intent_within: int = 250 * MILLISECOND  # how long a send waits for its intent
    answer_within: int = 250 * MILLISECOND  # how long an answer waits for its outcome to be durable
    retry_after: int = SECOND  # in refusals while the store is unavailable
    keep_answer: int = 16 * 1024  # bytes; a longer answer is recorded by its digest only

    def __post_init__(self) -> None:
        for name in ("epoch", "lease", "intent_within", "answer_within", "keep_answer"):
            if getattr(self, name) <= 0:
                raise ValueError(f"record: {name} {getattr(self, name)!r} is not above 0")


# Events -----------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class SendRequested:
    """The balancer decided to send an attempt. `number`: of the request, unique in this process."""

    number: int
    attempt: int
    server: str
    at: int  # Unix ms, for display only


@dataclass(frozen=True, slots=True)
class Opened:
    """A request of a recorded class was accepted."""

    number: int
    identity: str
    cls: str
    digest: bytes
    mode: RecordingMode
    deadline: int


@dataclass(frozen=True, slots=True)
class AttemptFinished:
    number: int
    attempt: int
    never_ran: bool


@dataclass(frozen=True, slots=True)
class Answered:
    """The balancer's final answer: `SERVED`, `FAILED`, or `NEVER_RAN` for a refusal."""

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
class WriteFinished:
    """The result of the write with this ticket arrived."""

    ticket: int
    result: Result


@dataclass(frozen=True, slots=True)
class StoreAvailable:
    """The store accepts writes again."""


@dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed."""


Event = (
    Opened | SendRequested | AttemptFinished | Answered | CallerGone | WriteFinished | StoreAvailable | Tick
)


# Actions ----------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class SubmitWrite:
    """Pass the write to the store; its result comes as `WriteFinished` with this ticket."""

    ticket: int
    write: Write


@dataclass(frozen=True, slots=True)
class Release:
    """Send the attempt to its server now."""

    number: int
    attempt: int


@dataclass(frozen=True, slots=True)
class Conclude:
    """Answer a request without sending it: from the record, or as refused or failed."""

    number: int
    state: State  # SERVED: from the record; FAILED; NEVER_RAN: refused
    reason: str
    record: Record | None = None
    retry_after: int = 0


@dataclass(frozen=True, slots=True)
class DeliverAnswer:
    """Deliver the balancer's answer, held until now, to the caller."""

    number: int


Action = SubmitWrite | Release | Conclude | DeliverAnswer


class _Call:
    """A recorded request until it is answered and its writes are finished."""

    __slots__ = (
        "opened",
        "durable",
        "pending_intents",
        "waiting",
        "waiting_since",
        "in_flight",
        "may_have_run",
        "answer",
        "delivered",
        "deliver_by",
        "concluded",
        "joined",
        "lookup_at",
        "caller_gone_at",
        "pending_writes",
    )

    def __init__(self, opened: Opened) -> None:
        self.opened = opened
        self.durable = False  # this epoch holds a durable intent of the call
        self.pending_intents: set[int] = set()  # tickets of unfinished Claim, AddAttempt and Lookup writes
        self.waiting: dict[int, SendRequested] = {}  # attempts held until the store answers
        self.waiting_since = 0  # when the first of `waiting` was added
        self.in_flight: set[int] = set()  # attempts that were released and have not ended
        self.may_have_run = False
        self.answer: Answered | None = None
        self.delivered = self.concluded = False
        self.deliver_by = 0
        self.joined: list[int] = []  # numbers of requests with the same identity that get this one's outcome
        self.lookup_at = 0  # next lookup of a record that another node holds; 0 = none, -1 = joined
        self.caller_gone_at = 0
        self.pending_writes = 0  # unfinished writes of this call

    @property
    def is_over(self) -> bool:
        return self.answer is not None or self.concluded or bool(self.caller_gone_at)


class Lifecycle:
    """The recorded calls of one epoch. Pass events in order; carry out the returned actions in order."""

    def __init__(self, settings: RecordSettings, lease_until: int) -> None:
        self.settings, self.lease_until = settings, lease_until
        self.calls: dict[int, _Call] = {}
        self.holders: dict[str, int] = {}  # identity -> number of the request that holds it on this node
        # Unfinished writes: ticket -> write, request number (0 = none), time of submission.
        self.tickets: dict[int, tuple[Write, int, int]] = {}
        self.next_ticket = 1
        self.backlog: deque[Settle] = deque()
        self.fenced = False
        self.renewal_ticket = 0  # ticket of the unfinished lease renewal; 0 = none
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
            self._on_opened(event)
        elif isinstance(event, WriteFinished):
            self._on_write_finished(now, event)
        elif isinstance(event, StoreAvailable):
            self._on_store_available(now)
        elif isinstance(event, Tick):
            self._on_tick(now)
        elif (call := self.calls.get(event.number)) is not None:
            if isinstance(event, SendRequested):
                self._on_send_requested(now, call, event)
            elif isinstance(event, AttemptFinished):
                self._on_attempt_finished(call, event)
            elif isinstance(event, Answered):
                self._on_answered(now, call, event)
            else:
                self._on_caller_gone(now, call, event)
        return self.actions

    # Sends --------------------------------------------------------------------------------------

    def _on_opened(self, event: Opened) -> None:
        call = self.calls[event.number] = _Call(event)
        if len(self.calls) > MAX_OPEN_CALLS:  # bounds the memory
            self._refuse(call, "too many recorded calls are open")

    def _on_send_requested(self, now: int, call: _Call, event: SendRequested) -> None:
        if call.is_over:
            return
        if self.fenced:
            self._refuse(call, "another process has taken over from this node")
            return
        holder = self.holders.setdefault(call.opened.identity, event.number)
        if holder != event.number:
            self._join(call, self.calls[holder])
            return
        if not call.waiting:
            call.waiting_since = now
        call.waiting[event.attempt] = event
        if call.lookup_at:  # another node holds the call: the lookup decides
            return
        write: Write
        if call.durable:
            write = AddAttempt(call.opened.identity, self.settings.epoch, event.server, event.at)
        elif call.pending_intents:
            return  # a parallel attempt is released with the claim of the first
        else:
            write = self._claim(call, event)
        call.pending_intents.add(self._submit(now, write, event.number))

    def _claim(self, call: _Call, event: SendRequested) -> Claim:
        opened = call.opened
        return Claim(
            opened.identity,
            opened.cls,
            opened.digest,
            self.settings.node,
            self.settings.epoch,
            event.server,
            event.at,
        )

    def _join(self, call: _Call, holder: _Call) -> None:
        if holder.opened.digest != call.opened.digest:
            self._conclude(call, State.FAILED, "the identity belongs to a different request")
            return
        holder.joined.append(call.opened.number)
        call.lookup_at = -1  # waits for the other request, not for the store

    def _release_if_leased(self, now: int, call: _Call) -> None:
        """Releases the waiting attempts; renews an expired lease first, as the epoch may be fenced."""
        if now >= self.lease_until:
            self._renew_lease(now)
        else:
            self._release_waiting(call)

    def _release_waiting(self, call: _Call) -> None:
        waiting, call.waiting = call.waiting, {}
        for attempt in waiting:
            call.in_flight.add(attempt)
            self.actions.append(Release(call.opened.number, attempt))

    def _renew_lease(self, now: int) -> None:
        if not self.renewal_ticket and not self.fenced:
            self.renewal_ticket = self._submit(
                now, Renew(self.settings.epoch, self.settings.lease // MILLISECOND), 0
            )

    def _on_attempt_finished(self, call: _Call, event: AttemptFinished) -> None:
        if event.attempt in call.in_flight:
            call.in_flight.discard(event.attempt)
            call.may_have_run = call.may_have_run or not event.never_ran
        call.waiting.pop(event.attempt, None)

    # Results ------------------------------------------------------------------------------------

    def _submit(self, now: int, write: Write, number: int) -> int:
        ticket, self.next_ticket = self.next_ticket, self.next_ticket + 1
        self.tickets[ticket] = (write, number, now)
        if (call := self.calls.get(number)) is not None:
            call.pending_writes += 1
        self.actions.append(SubmitWrite(ticket, write))
        return ticket

    def _on_write_finished(self, now: int, event: WriteFinished) -> None:
        entry = self.tickets.pop(event.ticket, None)
        if entry is None:  # the result was handled before
            return
        write, number, submitted_at = entry
        if (call := self.calls.get(number)) is not None:
            call.pending_writes -= 1
        if isinstance(event.result, Fenced):
            self._on_fenced()
        if isinstance(write, Renew):
            self._on_lease_renewed(now, event.result, submitted_at)
        elif isinstance(write, Settle):
            self._on_outcome_result(write, event.result, number)
        elif call is not None:
            call.pending_intents.discard(event.ticket)
            self._on_intent_result(now, call, write, event.result)

    def _on_lease_renewed(self, now: int, result: Result, submitted_at: int) -> None:
        self.renewal_ticket = 0
        if not isinstance(result, Done):
            return
        # Counted from the submission: counted from the result, it would end later than the store's lease.
        self.lease_until = submitted_at + self.settings.lease
        for call in list(self.calls.values()):
            if call.durable and call.waiting and not call.pending_intents and not call.is_over:
                self._release_if_leased(now, call)

    def _on_intent_result(self, now: int, call: _Call, write: Write, result: Result) -> None:
        """Handles the result of a Claim, an AddAttempt or a Lookup."""
        if isinstance(result, Done):
            call.durable = True
            self.counts["recorded"] += isinstance(write, Claim)
            if call.is_over:
                self._write_outcome(now, call)
            else:
                self._release_if_leased(now, call)
        elif isinstance(result, Existing):
            self._on_existing(now, call, result.record)
        elif isinstance(result, Missing):
            call.lookup_at = 0  # the record of the other node is gone: claim it
            self._claim_again(now, call)
        elif isinstance(result, NotWritten) and not call.is_over:
            self._on_store_failure(now, call, result.cause)
        self._forget_if_done(call)

    def _claim_again(self, now: int, call: _Call) -> None:
        if call.waiting and not call.is_over:
            first = next(iter(call.waiting.values()))
            call.pending_intents.add(self._submit(now, self._claim(call, first), call.opened.number))

    def _on_existing(self, now: int, call: _Call, record: Record) -> None:
        if call.in_flight or call.may_have_run:  # best effort: sent unrecorded, and recorded elsewhere
            self.counts["conflicts"] += 1
            return
        if call.is_over:
            return
        if record.digest != call.opened.digest:
            self._conclude(call, State.FAILED, "the identity belongs to a different request", record)
        elif record.may_be_resent:
            call.lookup_at = 0
            self._claim_again(now, call)
        elif record.state is State.SERVED:
            self.counts["from record"] += 1
            self._conclude(call, State.SERVED, "answered from the record", record)
        elif record.state is State.INTENT:
            call.lookup_at = now + POLL_INTERVAL
        elif record.word is Resolution.RAN:
            self._conclude(call, State.FAILED, f"it ran, as was found out later: {record.why}", record)
        else:
            why = record.reason or record.state.value
            self._conclude(call, State.FAILED, f"it may have run: {why}", record)

    def _on_store_failure(self, now: int, call: _Call, cause: str) -> None:
        if call.opened.mode is RecordingMode.REQUIRED:
            if call.may_have_run or call.in_flight:
                call.waiting.clear()  # attempts in flight may still answer
            else:
                self._refuse(call, f"the store of record is unavailable: {cause}")
            return
        if not call.waiting:
            return
        self.counts["unrecorded"] += 1
        self._release_waiting(call)

    def _on_fenced(self) -> None:
        """Another process took over from this one: no recorded call is sent any more."""
        self.fenced = True
        for call in list(self.calls.values()):
            if not call.is_over and not call.in_flight and not call.may_have_run:
                self._refuse(call, "another process has taken over from this node")

    # Outcomes -----------------------------------------------------------------------------------

    def _refuse(self, call: _Call, reason: str) -> None:
        self.counts["refused"] += 1
        self._conclude(call, State.NEVER_RAN, reason, retry_after=self.settings.retry_after)

    def _conclude(
        self, call: _Call, state: State, reason: str, record: Record | None = None, retry_after: int = 0
    ) -> None:
        call.concluded, call.lookup_at = True, 0
        call.waiting.clear()
        self.actions.append(Conclude(call.opened.number, state, reason, record, retry_after))
        joined, call.joined = call.joined, []
        for number in joined:
            if (other := self.calls.get(number)) is not None and not other.is_over:
                self._conclude(other, state, reason, record, retry_after)
        self._forget_if_done(call)

    def _on_answered(self, now: int, call: _Call, event: Answered) -> None:
        if call.is_over:
            return
        call.answer = event
        call.waiting.clear()
        call.lookup_at = 0
        if event.state is not State.SERVED:  # refusals and failures need no durable outcome
            self._deliver_answer(call)
        else:
            call.deliver_by = min(now + self.settings.answer_within, call.opened.deadline - DEADLINE_MARGIN)
        self._write_outcome(now, call)

    def _on_caller_gone(self, now: int, call: _Call, event: CallerGone) -> None:
        if call.is_over:
            return
        call.caller_gone_at, call.delivered = event.at or 1, True
        call.waiting.clear()
        call.lookup_at = 0
        # Its attempts are cancelled with it, but may have run.
        self._write_outcome(now, call)

    def _write_outcome(self, now: int, call: _Call) -> None:
        """Writes the outcome if this epoch holds a durable intent; otherwise answers at once."""
        if call.pending_intents:
            return  # continues once it is known whether the intent is durable
        if not call.durable:
            self._deliver_answer(call)
            self._answer_joined(call)
            self._forget_if_done(call)
            return
        ran = call.may_have_run or bool(call.in_flight)
        answer = call.answer
        if answer is not None and answer.state is State.SERVED:
            kept = answer.body if len(answer.body) <= self.settings.keep_answer else None
            settle = Settle(
                call.opened.identity,
                self.settings.epoch,
                State.SERVED,
                answer.at,
                "",
                answer.digest,
                kept,
                answer.content_type,
            )
        else:
            default_reason = "its caller left" if call.caller_gone_at else "not sent"
            reason = answer.reason if answer is not None else default_reason
            at = answer.at if answer is not None else call.caller_gone_at
            settle = Settle(
                call.opened.identity,
                self.settings.epoch,
                State.FAILED if ran else State.NEVER_RAN,
                at,
                reason,
            )
        self._submit(now, settle, call.opened.number)

    def _on_outcome_result(self, write: Settle, result: Result, number: int) -> None:
        if isinstance(result, NotWritten):
            self._add_to_backlog(write)
        elif isinstance(result, Existing):
            self.counts["conflicts"] += 1
        call = self.calls.get(number)
        if call is None:
            return
        if not isinstance(result, Done) and not call.delivered:
            self.counts["told before durable"] += 1
        self._deliver_answer(call)
        self._answer_joined(call)
        call.durable = False  # the outcome is written or in the backlog
        self._forget_if_done(call)

    def _add_to_backlog(self, write: Settle) -> None:
        if len(self.backlog) >= MAX_BACKLOG:  # the oldest stays an intent, in doubt once its epoch is fenced
            self.backlog.popleft()
            self.counts["dropped outcomes"] += 1
        self.backlog.append(write)

    def _on_store_available(self, now: int) -> None:
        backlog, self.backlog = self.backlog, deque()
        for write in backlog:
            self._submit(now, write, 0)

    def _deliver_answer(self, call: _Call) -> None:
        if call.answer is not None and not call.delivered:
            call.delivered = True
            self.actions.append(DeliverAnswer(call.opened.number))

    def _answer_joined(self, call: _Call) -> None:
        """Answers the joined requests with the same outcome."""
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
                    self.settings.node,
                    self.settings.epoch,
                    1,
                    State.SERVED,
                    answer_digest=answer.digest,
                    answer=answer.body,
                    content_type=answer.content_type,
                )
                self._conclude(
                    other, State.SERVED, "same outcome as the first request with this identity", record
                )
            elif call.may_have_run or call.in_flight:
                self._conclude(
                    other,
                    State.FAILED,
                    "it may have run: same outcome as the first request with this identity",
                )
            else:
                self._refuse(other, "same outcome as the first request with this identity")

    def _forget_if_done(self, call: _Call) -> None:
        done = call.is_over and (call.delivered or call.concluded) and not call.pending_writes
        if done and not call.durable:
            number, identity = call.opened.number, call.opened.identity
            self.calls.pop(number, None)
            if self.holders.get(identity) == number:
                del self.holders[identity]

    # Time ---------------------------------------------------------------------------------------

    def _on_tick(self, now: int) -> None:
        if now >= self.lease_until - self.settings.lease // 2:
            self._renew_lease(now)
        for call in list(self.calls.values()):
            if call.answer is not None and not call.delivered and now >= call.deliver_by:
                self.counts["told before durable"] += 1
                self._deliver_answer(call)
                self._answer_joined(call)
            elif not call.is_over:
                self._check_overdue(now, call)

    def _check_overdue(self, now: int, call: _Call) -> None:
        if (
            now >= call.opened.deadline - DEADLINE_MARGIN
            and not call.in_flight
            and not call.may_have_run
            and (call.lookup_at or call.waiting)
        ):
            if call.lookup_at:
                self._conclude(call, State.FAILED, "another node holds the call and may run it")
            else:
                self._refuse(call, "the store of record did not answer")
        elif call.lookup_at > 0 and now >= call.lookup_at and not call.pending_intents:
            call.lookup_at = now + POLL_INTERVAL
            call.pending_intents.add(self._submit(now, Lookup(call.opened.identity), call.opened.number))
        elif call.waiting and not call.lookup_at and now >= call.waiting_since + self.settings.intent_within:
            self._on_store_failure(now, call, "it did not answer in time")
