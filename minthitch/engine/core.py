"""The host of one Balancer: request numbers, timers, the table of attempts, execution of its actions.

It makes no decisions. Events are queued, so that the Balancer is never reentered.
"""

from __future__ import annotations

import random
import traceback
from collections import deque
from collections.abc import Callable

from minthitch import interface as api
from minthitch import learned_state
from minthitch.engine.attempts import Attempt, Request, Requester
from minthitch.engine.calls import Answer, Call, Failed, Refused, Rejected, Served
from minthitch.engine.clock import Clock
from minthitch.engine.counts import Counts
from minthitch.engine.ports import Decider, Recorder, Source, Transport
from minthitch.engine.servers import Server, ServerTable
from minthitch.listing import Listing
from minthitch.policy import Balancer

HANDOVER_SHARE = 0.5  # part of the calls served by each process while one replaces the other
GRACE_DIVISOR = 2  # a drain may be learned half of its grace late; writes stop after the other half
RETRY_AFTER_RANGE = 0.04, 0.12  # retry-after over the limit of open requests, as part of the class's aim


def retry_after_when_full(settings: api.Settings, spec: api.RequestClass, rng: random.Random) -> int:
    """Random retry-after in ns when too many requests are open; at a fixed one all would retry together."""
    if not settings.retry_after:
        return 0
    return min(int(rng.uniform(*RETRY_AFTER_RANGE) * spec.aim), settings.max_retry_after)


class Engine:
    """Runs one Balancer against its ports. Not thread-safe: it belongs to one event loop."""

    def __init__(
        self,
        settings: api.Settings,
        seed: int,
        clock: Clock,
        log: Callable[[str], None],
        on_idle: Callable[[], None] = lambda: None,
        decider: Decider | None = None,
    ) -> None:
        self.settings, self.clock, self.log, self.on_idle = settings, clock, log, on_idle
        self.balancer: Decider = decider or Balancer(settings, seed)
        self.random = random.Random(seed ^ 2)  # for retry-after times; the Balancer has its own
        self.server_table = ServerTable(settings)
        self.transport: Transport | None = None
        self.source: Source | None = None
        self.recorder: Recorder | None = None
        self.counts = Counts(len(settings.classes))
        self.events: deque[api.Event] = deque()
        self.is_dispatching = False
        self.requests: dict[int, Request] = {}
        self.open: dict[int, Request] = {}  # not answered yet
        self.held_answers: dict[int, tuple[Request, Answer]] = {}  # answers delayed by the recorder
        self.open_ids: set[bytes] = set()  # IDs of open requests
        self.next_request = 1
        self.have_list = False
        self.drain_deadline = 0  # while draining: all requests are answered by then; 0 = not draining

    # Events and actions -------------------------------------------------------------------------

    def post(self, event: api.Event) -> None:
        self.events.append(event)
        if self.is_dispatching:  # the Balancer is running and collects its actions in one list
            return
        self.is_dispatching = True
        try:
            while self.events:
                self._handle(self.events.popleft())
        finally:
            self.is_dispatching = False

    def _handle(self, event: api.Event) -> None:
        try:
            actions = self.balancer.handle(self.clock.now(), event)
        except Exception as err:  # a failing decision must not leave its requester unanswered
            self.log_error(f"the decisions failed on {type(event).__name__}", err)
            number = getattr(event, "request", None)
            if number is not None and (request := self.requests.get(number)):
                self._give_up(request, "no decision")
            return
        for action in actions:
            try:
                self._execute(action)
            except Exception as err:
                self.log_error(f"{type(action).__name__} failed", err)

    def _execute(self, action: api.Action) -> None:
        if isinstance(action, api.Send):
            self._send(action)
        elif isinstance(action, api.Cancel):
            self._cancel(action)
        elif isinstance(action, (api.Refuse, api.Fail)):
            self._refuse_or_fail(action)
        elif isinstance(action, api.SetTimer):
            self.clock.at(self.clock.now() + action.delay, lambda: self.post(api.TimerFired(action.token)))
        elif isinstance(action, api.Subscribe):
            if self.source is not None:
                self.source.subscribe()
        elif isinstance(action, api.Refresh):
            if self.source is not None:
                self.source.refresh()
        elif isinstance(action, api.HangUp):
            if self.transport is not None and (server := self.server_table.by_number.get(action.server)):
                self.transport.hang_up(server)
        elif isinstance(action, api.Log):
            self.log(action.text)
        else:
            self.log(f"not carried out: {type(action).__name__}")

    def log_error(self, what: str, err: BaseException) -> None:
        self.log(f"{what}: {''.join(traceback.format_exception(err)).strip()}")

    # Requests -----------------------------------------------------------------------------------

    def admit(self, requester: Requester, call: Call, *, full: bool = False) -> Request:
        """Admits a call; one answer follows by its deadline. Raises Rejected if it is refused at once."""
        try:
            return self._take(requester, call, full)
        except Rejected as err:
            self.counts.rejected(call.cls, err)
            raise

    def _take(self, requester: Requester, call: Call, full: bool) -> Request:
        now, spec = self.clock.now(), self.settings.classes[call.cls]
        if call.identity in self.open_ids:  # servers would take the two for one request
            raise Rejected(409, "the id of an open request")
        if full or 0 < self.settings.max_open <= len(self.open):
            pause = retry_after_when_full(self.settings, spec, self.random)
            raise Rejected(503, "too many requests are open", pause)
        # A pipelined request has waited since its last byte arrived.
        deadline = (call.received_at or now) + min(
            spec.deadline if call.time_left is None else call.time_left, spec.deadline
        )
        if self.drain_deadline:  # the decisions then end it in time, with a refusal if nothing ran
            deadline = min(deadline, self.drain_deadline)
        request = Request(self.next_request, requester, call, spec, deadline)
        self.next_request += 1
        self.requests[request.number] = self.open[request.number] = request
        self.open_ids.add(call.identity)
        if self.recorder is not None:
            self.recorder.opened(request)
        request.timer = self.clock.at(deadline, lambda: self._expire(request))
        self.post(
            api.RequestArrived(
                request.number, call.cls, deadline, call.tenant, call.key, call.cost, call.repeat
            )
        )
        return request

    def abandon(self, request: Request) -> None:
        """The requester has left: sends no further attempt and no answer."""
        if not request.closed:
            if self.recorder is not None:
                self.recorder.requester_left(request)
            self._close(request)
            self.post(api.RequestGone(request.number))

    def resolve(self, request: Request, answer: Answer) -> None:
        """Answers a request on behalf of the recorder; no attempt of it is in flight."""
        if not request.closed:
            self._close(request)
            self._deliver(request, answer)
            self.post(api.RequestGone(request.number))

    def _expire(self, request: Request) -> None:
        for attempt in request.attempts:
            if attempt is not None:
                attempt.end(api.Status.TIMEOUT)
        if not request.closed:  # a request still held by the Balancer would never be answered
            self._give_up(request, "out of time")
        self._forget(request)

    def _give_up(self, request: Request, reason: str) -> None:
        """Answers with a failure if there is no decision; the request may have run."""
        self._answer(request, Failed(reason))
        for attempt in request.attempts:
            if attempt is not None:
                attempt.end(api.Status.CANCELLED)
        self.post(api.RequestGone(request.number))

    def _refuse_or_fail(self, action: api.Refuse | api.Fail) -> None:
        request = self.requests.get(action.request)
        if request is None or request.closed:
            return
        if isinstance(action, api.Fail):
            self._answer(request, Failed("no good answer, and it may have run"))
            return
        pause = min(action.retry_after, self.settings.max_retry_after) if self.settings.retry_after else 0
        self._answer(request, Refused(pause, "not done"))

    def _answer(self, request: Request, answer: Answer) -> None:
        if request.closed:  # a second answer would be taken for that to the next request
            return
        if self.recorder is not None and not self.recorder.may_answer(request, answer):
            self.held_answers[request.number] = (request, answer)
            self._close(request)
            return
        self._close(request)
        self._deliver(request, answer)

    def release_answer(self, number: int) -> None:
        """Delivers an answer that the recorder delayed."""
        held = self.held_answers.pop(number, None)
        if held is not None:
            self._deliver(*held)
            self._check_idle()

    def _deliver(self, request: Request, answer: Answer) -> None:
        rest, cls = answer.rest if isinstance(answer, Served) else None, request.call.cls
        if rest is None:
            self.counts.answered(cls, answer)
        else:
            rest.on_end = lambda complete: self.counts.stream_ended(cls, complete)
        try:
            request.requester.answer(request.call, answer)
        except Exception as err:  # a fault in one front end must not stop other answers
            self.log_error("an answer was not taken", err)
            if rest is not None:
                rest.drop()

    def _close(self, request: Request) -> None:
        request.closed = True
        if self.open.pop(request.number, None) is not None:
            self.open_ids.discard(request.call.identity)
        self._forget(request)

    def _forget(self, request: Request) -> None:
        if request.closed and not request.in_flight and request.timer is not None:
            self.requests.pop(request.number, None)
            request.timer.cancel()
            request.attempts.clear()  # breaks a reference cycle, which would keep the body until a collection
        self._check_idle()

    def _check_idle(self) -> None:
        if self.drain_deadline and not self.open and not self.held_answers:
            self.on_idle()

    # Attempts -----------------------------------------------------------------------------------

    def _send(self, action: api.Send) -> None:
        request, server = self.requests.get(action.request), self.server_table.by_number.get(action.server)
        if request is None:
            self.log(f"send ignored: request {action.request} has ended")
            return
        index = len(request.attempts)
        cannot_start = index >= self.settings.max_attempts or self.transport is None
        if server is None or cannot_start or not self.may_write(request, server):
            request.attempts.append(None)
            self.post(
                api.AttemptEnded(request.number, index, action.server, api.Status.MOOT, 0, request.closed)
            )
            return
        attempt = Attempt(self, request, index, server)
        request.attempts.append(attempt)
        request.in_flight += 1
        if action.timeout > 0:
            attempt.timer = self.clock.at(
                attempt.started + action.timeout, lambda: attempt.end(api.Status.TIMEOUT)
            )
        if self.recorder is None or self.recorder.may_start(attempt):
            assert self.transport is not None
            self.transport.start(attempt)

    def release_attempt(self, attempt: Attempt) -> None:
        """Starts an attempt that the recorder delayed, if it may still be sent."""
        if attempt.status is not None:
            return
        if self.transport is not None and attempt.may_write():
            self.transport.start(attempt)
        else:
            attempt.end(api.Status.MOOT)

    def may_write(self, request: Request, server: Server) -> bool:
        """Whether bytes of the request may still go to the server, now.

        With pushed lists the grace of a drain starts when discovery learns of it, and the node may learn
        of it later. So attempts may use only a part of the grace as seen by the node.
        """
        now = self.clock.now()
        drained = (
            server.withdrawn_at and now >= server.withdrawn_at + self.settings.drain_grace // GRACE_DIVISOR
        )
        return not request.closed and now < request.deadline and not drained

    def attempt_written(self) -> None:
        """Called by `Attempt.wrote`."""
        self.counts.sends += 1

    def may_stream(self, request: Request) -> bool:
        """Whether an answer may be passed on before it is complete. Recorded answers may not."""
        return request.call.accepts_stream and self.recorder is None

    def attempt_ended(self, attempt: Attempt) -> None:
        """Called by `Attempt.end`."""
        assert attempt.status is not None
        request = attempt.request
        request.in_flight -= 1
        if self.recorder is not None:
            self.recorder.attempt_ended(attempt)
        if attempt.status is api.Status.OK and not request.closed:
            self._answer(request, attempt.answer or Served())
        elif attempt.answer is not None and attempt.answer.rest is not None:
            attempt.answer.rest.drop()
        attempt.answer = None  # frees the body; other attempts of the request may still run
        event = api.AttemptEnded(
            request.number,
            attempt.index,
            attempt.server.number,
            attempt.status,
            self.clock.now() - attempt.started,
            request.closed,
        )
        self._forget(request)
        self.post(event)

    def _cancel(self, action: api.Cancel) -> None:
        request = self.requests.get(action.request)
        if request is not None and action.attempt < len(request.attempts):
            attempt = request.attempts[action.attempt]
            if attempt is not None:
                attempt.end(api.Status.CANCELLED)

    def avoided(self) -> int:
        """Number of listed servers that get no or almost no requests now."""
        withdrawn = sum(1 for server in self.server_table.by_name.values() if server.withdrawn_at)
        balancer = self.balancer
        return withdrawn + (balancer.avoided(self.clock.now()) if isinstance(balancer, Balancer) else 0)

    def export_learned(self) -> learned_state.Table:
        """Exports what the decisions have learned for a replacing process; {} if unsupported."""
        if not isinstance(self.balancer, Balancer):
            return {}
        servers = {server.number: server.identity for server in self.server_table.by_name.values()}
        kinds = {number: name for name, number in self.server_table.kinds.items()}
        return learned_state.export_state(self.balancer, self.clock.now(), servers, kinds)

    def restore_learned(self, table: learned_state.Table, last: bool) -> None:
        """Imports what the replaced process has learned. `last`: it ends, and its calls come here."""
        if not isinstance(self.balancer, Balancer):
            return
        try:
            if last:
                learned_state.merge_state(self.balancer, self.clock.now(), table)
            else:
                servers = {server.identity: server.number for server in self.server_table.by_name.values()}
                learned_state.restore_state(
                    self.balancer, self.clock.now(), table, servers, self.server_table.kinds, HANDOVER_SHARE
                )
        except (ValueError, KeyError, TypeError, AttributeError) as err:
            self.log(f"learned state of the previous process can't be used: {type(err).__name__}: {err}")

    # Lists and draining --------------------------------------------------------------------------

    def listed(self, listing: Listing, kind: api.ListKind) -> None:
        """Applies a list: a full one, changes, or the one last known (CACHED)."""
        if listing.invalid:
            name, why = listing.invalid[0]
            self.log(
                f"list {listing.seq}: entries left out: {len(listing.invalid)}, first {name[:60]!r}: {why}"
            )
        entries, hang_up = self.server_table.apply(listing, kind, self.clock.now(), self.clock.wall())
        if self.transport is not None:
            for server in hang_up:
                self.transport.hang_up(server)
        self.have_list = self.have_list or kind is not api.ListKind.CACHED or bool(self.server_table.by_name)
        self.post(api.ListUpdate(kind, entries))

    def list_failed(self) -> None:
        self.post(api.ListUpdate(api.ListKind.FAILED))

    def drain(self, within: int) -> None:
        """Answers all requests, also new ones, within so many ns, then calls `on_idle`."""
        if not self.drain_deadline:
            self.drain_deadline = self.clock.now() + within
            self.clock.at(self.drain_deadline, self.answer_all)
            self._check_idle()

    def answer_all(self) -> None:
        """Answers all open requests, which would be lost when the process ends."""
        for request in list(self.open.values()):
            self._expire(request)
        for number in list(self.held_answers):
            self.release_answer(number)
