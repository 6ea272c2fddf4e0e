"""The host of one Balancer: numbers, timers, the table of attempts, and carrying out its actions.

Decides nothing. Events wait in one queue, so that the Balancer is never entered while it is at work.
"""

from __future__ import annotations

import random
import traceback
from collections import deque
from collections.abc import Callable

from minthitch import interface as api
from minthitch import memory
from minthitch.engine.attempts import Asker, Attempt, Request
from minthitch.engine.calls import Answer, Call, Failed, Refused, Rejected, Served
from minthitch.engine.clock import Clock
from minthitch.engine.counts import Counts
from minthitch.engine.fleet import Fleet, Server
from minthitch.engine.ports import Carrier, Decider, Keeper, Source
from minthitch.listing import Listing
from minthitch.policy import Balancer

BESIDE = 0.5  # part of the calls that a process serves beside the one that it replaces
GRACE_PART = 2  # a drain may be heard half of its grace late: one in so many parts is left then
FULL_BACK = 0.04, 0.12  # one over the limit of open requests comes back after this part of its aim


def pause_when_full(settings: api.Settings, spec: api.RequestClass, rng: random.Random) -> int:
    """When one that is turned away for room may ask again, in ns; spread, or all would come together."""
    if not settings.retry_after:
        return 0
    return min(int(rng.uniform(*FULL_BACK) * spec.aim), settings.max_retry_after)


class Engine:
    """One Balancer and all it needs of the world, by ports. Not thread-safe: it lives on one loop."""

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
        self.random = random.Random(seed ^ 2)  # for pauses; the Balancer has its own
        self.fleet = Fleet(settings)
        self.carrier: Carrier | None = None
        self.source: Source | None = None
        self.keeper: Keeper | None = None
        self.counts = Counts(len(settings.classes))
        self.events: deque[api.Event] = deque()
        self.pumping = False
        self.requests: dict[int, Request] = {}
        self.open: dict[int, Request] = {}  # those that are not answered yet
        self.untold: dict[int, tuple[Request, Answer]] = {}  # answers that the keeper holds up
        self.ids: set[bytes] = set()  # the ids of the requests that are open
        self.next_request = 1
        self.have_list = False
        self.leaving = 0  # while it drains: by when all is to be answered

    # Events and actions -------------------------------------------------------------------------

    def post(self, event: api.Event) -> None:
        self.events.append(event)
        if self.pumping:  # danger: the Balancer is at work and keeps its actions in one list
            return
        self.pumping = True
        try:
            while self.events:
                self._handle(self.events.popleft())
        finally:
            self.pumping = False

    def _handle(self, event: api.Event) -> None:
        try:
            actions = self.balancer.handle(self.clock.now(), event)
        except Exception as err:  # danger: one bad decision must not leave its asker unanswered
            self.log_error(f"the decisions failed on {type(event).__name__}", err)
            number = getattr(event, "request", None)
            if number is not None and (request := self.requests.get(number)):
                self._give_up(request, "no decision")
            return
        for action in actions:
            try:
                self._act(action)
            except Exception as err:
                self.log_error(f"{type(action).__name__} failed", err)

    def _act(self, action: api.Action) -> None:
        if isinstance(action, api.Send):
            self._send(action)
        elif isinstance(action, api.Cancel):
            self._cancel(action)
        elif isinstance(action, (api.Refuse, api.Fail)):
            self._settle(action)
        elif isinstance(action, api.SetTimer):
            self.clock.at(self.clock.now() + action.delay, lambda: self.post(api.TimerFired(action.token)))
        elif isinstance(action, api.Subscribe):
            if self.source is not None:
                self.source.subscribe()
        elif isinstance(action, api.Refresh):
            if self.source is not None:
                self.source.refresh()
        elif isinstance(action, api.HangUp):
            if self.carrier is not None and (server := self.fleet.addresses.get(action.server)):
                self.carrier.hang_up(server)
        elif isinstance(action, api.Log):
            self.log(action.text)
        else:
            self.log(f"not carried out: {type(action).__name__}")

    def log_error(self, what: str, err: BaseException) -> None:
        self.log(f"{what}: {''.join(traceback.format_exception(err)).strip()}")

    # Requests -----------------------------------------------------------------------------------

    def admit(self, asker: Asker, call: Call, *, full: bool = False) -> Request:
        """Takes a call; its asker hears one answer by its deadline. Raises Rejected where it is not taken."""
        try:
            return self._take(asker, call, full)
        except Rejected as err:
            self.counts.rejected(call.cls, err)
            raise

    def _take(self, asker: Asker, call: Call, full: bool) -> Request:
        now, spec = self.clock.now(), self.settings.classes[call.cls]
        if call.identity in self.ids:  # danger: servers would take the two for one
            raise Rejected(409, "the id of an open request")
        if full or 0 < self.settings.max_open <= len(self.open):
            pause = pause_when_full(self.settings, spec, self.random)
            raise Rejected(503, "too many requests are open", pause)
        # One that was pipelined has waited since its last byte came.
        deadline = (call.heard or now) + min(spec.deadline if call.left is None else call.left, spec.deadline)
        if self.leaving:  # the decisions then end it in time, by a refusal where that is harmless
            deadline = min(deadline, self.leaving)
        request = Request(self.next_request, asker, call, spec, deadline)
        self.next_request += 1
        self.requests[request.number] = self.open[request.number] = request
        self.ids.add(call.identity)
        if self.keeper is not None:
            self.keeper.opened(request)
        request.timer = self.clock.at(deadline, lambda: self._out_of_time(request))
        self.post(
            api.RequestArrived(
                request.number, call.cls, deadline, call.tenant, call.key, call.cost, call.repeat
            )
        )
        return request

    def leave(self, request: Request) -> None:
        """The asker has gone: it hears nothing more, and nothing more is sent."""
        if not request.over:
            if self.keeper is not None:
                self.keeper.gone(request)
            self._over(request)
            self.post(api.RequestGone(request.number))

    def conclude(self, request: Request, answer: Answer) -> None:
        """The keeper's own answer, to a request of which nothing is out."""
        if not request.over:
            self._over(request)
            self._hand_over(request, answer)
            self.post(api.RequestGone(request.number))

    def _out_of_time(self, request: Request) -> None:
        for attempt in request.attempts:
            if attempt is not None:
                attempt.end(api.Status.TIMEOUT)
        if not request.over:  # danger: a request that the Balancer still holds would never be answered
            self._give_up(request, "out of time")
        self._forget(request)

    def _give_up(self, request: Request, reason: str) -> None:
        """A failure, where no decision came: it promises nothing."""
        self._answer(request, Failed(reason))
        for attempt in request.attempts:
            if attempt is not None:
                attempt.end(api.Status.CANCELLED)
        self.post(api.RequestGone(request.number))

    def _settle(self, action: api.Refuse | api.Fail) -> None:
        request = self.requests.get(action.request)
        if request is None or request.over:
            return
        if isinstance(action, api.Fail):
            self._answer(request, Failed("no good answer, and it may have run"))
            return
        pause = min(action.retry_after, self.settings.max_retry_after) if self.settings.retry_after else 0
        self._answer(request, Refused(pause, "not done"))

    def _answer(self, request: Request, answer: Answer) -> None:
        if request.over:  # danger: a second answer would pass for the next request's
            return
        if self.keeper is not None and not self.keeper.may_tell(request, answer):
            self.untold[request.number] = (request, answer)
            self._over(request)
            return
        self._over(request)
        self._hand_over(request, answer)

    def tell(self, number: int) -> None:
        """Gives the answer that the keeper held up."""
        held = self.untold.pop(number, None)
        if held is not None:
            self._hand_over(*held)
            self._look_idle()

    def _hand_over(self, request: Request, answer: Answer) -> None:
        rest, cls = answer.rest if isinstance(answer, Served) else None, request.call.cls
        if rest is None:
            self.counts.answered(cls, answer)
        else:
            rest.settled = lambda whole: self.counts.passed(cls, whole)
        try:
            request.asker.answer(request.call, answer)
        except Exception as err:  # danger: a front's fault must not stop the others' answers
            self.log_error("an answer was not taken", err)
            if rest is not None:
                rest.drop()

    def _over(self, request: Request) -> None:
        request.over = True
        if self.open.pop(request.number, None) is not None:
            self.ids.discard(request.call.identity)
        self._forget(request)

    def _forget(self, request: Request) -> None:
        if request.over and not request.out and request.timer is not None:
            self.requests.pop(request.number, None)
            request.timer.cancel()
            request.attempts.clear()  # danger: in a circle its body would stay until the collector comes by
        self._look_idle()

    def _look_idle(self) -> None:
        if self.leaving and not self.open and not self.untold:
            self.on_idle()

    # Attempts -----------------------------------------------------------------------------------

    def _send(self, action: api.Send) -> None:
        request, server = self.requests.get(action.request), self.fleet.addresses.get(action.server)
        if request is None:
            self.log(f"a send for request {action.request}, which is over")
            return
        index = len(request.attempts)
        barred = index >= self.settings.max_attempts or self.carrier is None
        if server is None or barred or not self.may_write(request, server):
            request.attempts.append(None)
            self.post(
                api.AttemptEnded(request.number, index, action.server, api.Status.MOOT, 0, request.over)
            )
            return
        attempt = Attempt(self, request, index, server)
        request.attempts.append(attempt)
        request.out += 1
        if action.timeout > 0:
            attempt.timer = self.clock.at(
                attempt.started + action.timeout, lambda: attempt.end(api.Status.TIMEOUT)
            )
        if self.keeper is None or self.keeper.may_start(attempt):
            assert self.carrier is not None
            self.carrier.start(attempt)

    def release(self, attempt: Attempt) -> None:
        """Lets a send go that the keeper held up, if it still may."""
        if attempt.status is not None:
            return
        if self.carrier is not None and attempt.may_write():
            self.carrier.start(attempt)
        else:
            attempt.end(api.Status.MOOT)

    def may_write(self, request: Request, server: Server) -> bool:
        """Whether bytes of the request may still go to the server, now.

        Danger: where lists are pushed, a drain counts from when discovery had it, and the node may have heard
        it later; what still connects may not use the whole grace from then on.
        """
        now = self.clock.now()
        drained = server.told and now >= server.told + self.settings.drain_grace // GRACE_PART
        return not request.over and now < request.deadline and not drained

    def sent(self) -> None:
        """What `Attempt.wrote` tells."""
        self.counts.sends += 1

    def may_stream(self, request: Request) -> bool:
        """Whether an answer may be passed on before it is whole; what is kept on record may not."""
        return request.call.streams and self.keeper is None

    def ended(self, attempt: Attempt) -> None:
        """What `Attempt.end` tells."""
        assert attempt.status is not None
        request = attempt.request
        request.out -= 1
        if self.keeper is not None:
            self.keeper.over(attempt)
        if attempt.status is api.Status.OK and not request.over:
            self._answer(request, attempt.answer or Served())
        elif attempt.answer is not None and attempt.answer.rest is not None:
            attempt.answer.rest.drop()
        attempt.answer = None  # danger: its body would stay until the last of a race has ended
        event = api.AttemptEnded(
            request.number,
            attempt.index,
            attempt.server.number,
            attempt.status,
            self.clock.now() - attempt.started,
            request.over,
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
        """Servers of the list that get nothing now, or as good as nothing."""
        told = sum(1 for server in self.fleet.servers.values() if server.told)
        balancer = self.balancer
        return told + (balancer.avoided(self.clock.now()) if isinstance(balancer, Balancer) else 0)

    def learned(self) -> memory.Table:
        """What the decisions have learned, for the process that replaces this one; {} if it can't be told."""
        if not isinstance(self.balancer, Balancer):
            return {}
        servers = {server.number: server.identity for server in self.fleet.servers.values()}
        kinds = {number: name for name, number in self.fleet.kinds.items()}
        return memory.learned(self.balancer, self.clock.now(), servers, kinds)

    def recall(self, table: memory.Table, last: bool) -> None:
        """What the process before has learned; `last`: it ends, and its calls come here."""
        if not isinstance(self.balancer, Balancer):
            return
        try:
            if last:
                memory.take_over(self.balancer, self.clock.now(), table)
            else:
                servers = {server.identity: server.number for server in self.fleet.servers.values()}
                memory.recall(self.balancer, self.clock.now(), table, servers, self.fleet.kinds, BESIDE)
        except (ValueError, KeyError, TypeError, AttributeError) as err:
            self.log(f"what the process before has learned can't be used: {type(err).__name__}: {err}")

    # Lists and the end --------------------------------------------------------------------------

    def listed(self, listing: Listing, kind: api.ListKind) -> None:
        """A list has come: the whole one, its changes, or the one last held (CACHED)."""
        if listing.odd:
            name, why = listing.odd[0]
            self.log(f"list {listing.seq}: entries left out: {len(listing.odd)}, first {name[:60]!r}: {why}")
        entries, hang_up = self.fleet.apply(listing, kind, self.clock.now(), self.clock.wall())
        if self.carrier is not None:
            for server in hang_up:
                self.carrier.hang_up(server)
        self.have_list = self.have_list or kind is not api.ListKind.CACHED or bool(self.fleet.servers)
        self.post(api.ListUpdate(kind, entries))

    def list_failed(self) -> None:
        self.post(api.ListUpdate(api.ListKind.FAILED))

    def drain(self, within: int) -> None:
        """All that is open or still comes is answered within so many ns; then `on_idle` is called."""
        if not self.leaving:
            self.leaving = self.clock.now() + within
            self.clock.at(self.leaving, self.answer_all)
            self._look_idle()

    def answer_all(self) -> None:
        """Danger: the end of the process would lose what is still open."""
        for request in list(self.open.values()):
            self._out_of_time(request)
        for number in list(self.untold):
            self.tell(number)
