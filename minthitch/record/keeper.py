"""The engine's keeper with a store of record: events to `Life`, its actions to engine and writer."""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping
from hashlib import blake2b

from minthitch.engine import Answer, Attempt, Engine, Failed, Refused, Request, Served
from minthitch.interface import MILLISECOND
from minthitch.record.life import (
    Action,
    Answered,
    AttemptOver,
    CallerGone,
    Came,
    Conclude,
    Event,
    Life,
    Need,
    Opened,
    Put,
    Release,
    SendWanted,
    StoreBack,
    Tell,
    Tick,
)
from minthitch.record.model import State
from minthitch.record.writer import Results, Writer

TICK = 10 * MILLISECOND  # between two looks at what is overdue


def digest(*parts: bytes) -> bytes:
    """Equal for equal parts only."""
    made = blake2b(digest_size=16)
    for part in parts:
        made.update(len(part).to_bytes(8) + part)
    return made.digest()


class RecordKeeper:
    """Lives on the engine's loop. `needs`: what each recorded class asks of the store, by its number."""

    def __init__(
        self,
        engine: Engine,
        life: Life,
        writer: Writer,
        needs: Mapping[int, Need],
        identity_field: bytes = b"idempotency-key",
    ) -> None:
        self.engine, self.life, self.writer, self.needs = engine, life, writer, dict(needs)
        self.identity_field = identity_field.lower()
        self.requests: dict[int, Request] = {}
        self.events: deque[Event] = deque()
        self.pumping = False
        self.told: set[int] = set()  # requests that may be told, while `may_tell` asks
        self.closed = False
        self._tick()

    def identity(self, request: Request) -> str:
        """The field that the operator named, else the request's own id."""
        for name, value in request.call.message.fields:
            if name.lower() == self.identity_field:
                return value.decode("latin-1")
        return request.call.identity.decode("latin-1")

    # What the engine tells ----------------------------------------------------------------------

    def opened(self, request: Request) -> None:
        need = self.needs.get(request.call.cls)
        if need is None:  # danger: what is not recorded must pay nothing
            return
        message = request.call.message
        self.requests[request.number] = request
        self.feed(
            Opened(
                request.number,
                self.identity(request),
                request.spec.name,
                digest(message.method, message.target, message.body),
                need,
                request.deadline,
            )
        )

    def may_start(self, attempt: Attempt) -> bool:
        if attempt.request.number not in self.requests:
            return True
        self.feed(SendWanted(attempt.request.number, attempt.index, attempt.server.name, self._wall()))
        return False  # the store has the word

    def attempt_ended(self, attempt: Attempt) -> None:
        if attempt.request.number in self.requests and attempt.status is not None:
            self.feed(AttemptOver(attempt.request.number, attempt.index, attempt.status.never_ran))

    def may_answer(self, request: Request, answer: Answer) -> bool:
        number = request.number
        if number not in self.requests:
            return True
        if isinstance(answer, Served):
            event = Answered(
                number, State.SERVED, self._wall(), "", digest(answer.body), answer.body, answer.content_type
            )
        else:
            state = State.NEVER_RAN if isinstance(answer, Refused) else State.FAILED
            event = Answered(number, state, self._wall(), answer.reason)
        self.feed(event)
        may = number in self.told
        self.told.discard(number)
        if may:
            self.requests.pop(number, None)
        return may

    def requester_left(self, request: Request) -> None:
        if self.requests.pop(request.number, None) is not None:
            self.feed(CallerGone(request.number, self._wall()))

    def _wall(self) -> int:
        return self.engine.clock.wall() // MILLISECOND

    # What the store tells -----------------------------------------------------------------------

    def came(self, results: Results) -> None:
        """On the engine's loop."""
        for ticket, result in results:
            self.feed(Came(ticket, result))

    def back(self) -> None:
        self.feed(StoreBack())

    def close(self) -> None:
        self.closed = True

    # Events and actions -------------------------------------------------------------------------

    def feed(self, event: Event) -> None:
        self.events.append(event)
        if self.pumping:  # danger: `Life` keeps its actions in one list
            return
        self.pumping = True
        try:
            while self.events:
                for action in self.life.handle(self.engine.clock.now(), self.events.popleft()):
                    self._act(action)
        finally:
            self.pumping = False

    def _act(self, action: Action) -> None:
        if isinstance(action, Put):
            self.writer.put(action.ticket, action.write)
        elif isinstance(action, Tell):
            if action.number in self.engine.held_answers:
                self.requests.pop(action.number, None)
                self.engine.release_answer(action.number)
            else:
                self.told.add(action.number)
        elif (request := self.requests.get(action.number)) is None:
            return
        elif isinstance(action, Release):
            attempt = request.attempts[action.attempt]
            if attempt is not None:
                self.engine.release_attempt(attempt)
        else:
            del self.requests[action.number]
            self.engine.resolve(request, _answer(action))

    def _tick(self) -> None:
        if not self.closed:
            self.feed(Tick())
            self.engine.clock.at(self.engine.clock.now() + TICK, self._tick)


def _answer(action: Conclude) -> Answer:
    if action.state is State.NEVER_RAN:
        return Refused(action.retry_after, action.reason)
    record = action.record
    if action.state is not State.SERVED or record is None:
        return Failed(action.reason)
    if record.answer is None:  # danger: served with what no server made would break the first rule
        return Failed("it was served, and its answer is not kept")
    fields = ((b"content-type", record.content_type),) if record.content_type else ()
    return Served(record.answer, fields)
