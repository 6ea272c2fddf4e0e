"""The engine's keeper: passes events to `Lifecycle`, and carries out its actions in engine and writer."""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping
from hashlib import blake2b

from minthitch.engine import Answer, Attempt, Engine, Failed, Refused, Request, Served
from minthitch.interface import MILLISECOND
from minthitch.record.lifecycle import (
    Action,
    Answered,
    AttemptFinished,
    CallerGone,
    Conclude,
    DeliverAnswer,
    Event,
    Lifecycle,
    Opened,
    RecordingMode,
    Release,
    SendRequested,
    StoreAvailable,
    SubmitWrite,
    Tick,
    WriteFinished,
)
from minthitch.record.model import State
from minthitch.record.writer import Results, Writer

TICK_INTERVAL = 10 * MILLISECOND  # between two checks for expired timeouts


def digest(*parts: bytes) -> bytes:
    """A digest of the parts; the length prefixes keep different splits of the same bytes apart."""
    hasher = blake2b(digest_size=16)
    for part in parts:
        hasher.update(len(part).to_bytes(8) + part)
    return hasher.digest()


class RecordKeeper:
    """Runs on the engine's event loop. `modes`: the mode of each recorded class, by class number."""

    def __init__(
        self,
        engine: Engine,
        lifecycle: Lifecycle,
        writer: Writer,
        modes: Mapping[int, RecordingMode],
        identity_field: bytes = b"idempotency-key",
    ) -> None:
        self.engine, self.lifecycle, self.writer, self.modes = engine, lifecycle, writer, dict(modes)
        self.identity_field = identity_field.lower()
        self.requests: dict[int, Request] = {}
        self.events: deque[Event] = deque()
        self.processing = False
        self.deliverable: set[int] = set()  # requests that `may_tell`, now running, may answer at once
        self.closed = False
        self._tick()

    def identity(self, request: Request) -> str:
        """The header that the operator configured, else the request's own id."""
        for name, value in request.call.message.fields:
            if name.lower() == self.identity_field:
                return value.decode("latin-1")
        return request.call.identity.decode("latin-1")

    # Calls from the engine ----------------------------------------------------------------------

    def opened(self, request: Request) -> None:
        mode = self.modes.get(request.call.cls)
        if mode is None:  # unrecorded classes must have no overhead
            return
        message = request.call.message
        self.requests[request.number] = request
        self.feed(
            Opened(
                request.number,
                self.identity(request),
                request.spec.name,
                digest(message.method, message.target, message.body),
                mode,
                request.deadline,
            )
        )

    def may_start(self, attempt: Attempt) -> bool:
        if attempt.request.number not in self.requests:
            return True
        self.feed(SendRequested(attempt.request.number, attempt.index, attempt.server.name, self._wall_ms()))
        return False  # released once the store has accepted the intent

    def attempt_ended(self, attempt: Attempt) -> None:
        if attempt.request.number in self.requests and attempt.status is not None:
            self.feed(AttemptFinished(attempt.request.number, attempt.index, attempt.status.never_ran))

    def may_answer(self, request: Request, answer: Answer) -> bool:
        number = request.number
        if number not in self.requests:
            return True
        if isinstance(answer, Served):
            event = Answered(
                number,
                State.SERVED,
                self._wall_ms(),
                "",
                digest(answer.body),
                answer.body,
                answer.content_type,
            )
        else:
            state = State.NEVER_RAN if isinstance(answer, Refused) else State.FAILED
            event = Answered(number, state, self._wall_ms(), answer.reason)
        self.feed(event)
        may_answer = number in self.deliverable
        self.deliverable.discard(number)
        if may_answer:
            self.requests.pop(number, None)
        return may_answer

    def requester_left(self, request: Request) -> None:
        if self.requests.pop(request.number, None) is not None:
            self.feed(CallerGone(request.number, self._wall_ms()))

    def _wall_ms(self) -> int:
        return self.engine.clock.wall() // MILLISECOND

    # Calls from the writer, on the engine's loop ------------------------------------------------

    def on_results(self, results: Results) -> None:
        """The results of finished writes."""
        for ticket, result in results:
            self.feed(WriteFinished(ticket, result))

    def on_store_available(self) -> None:
        self.feed(StoreAvailable())

    def close(self) -> None:
        self.closed = True

    # Events and actions -------------------------------------------------------------------------

    def feed(self, event: Event) -> None:
        self.events.append(event)
        if self.processing:  # reentrant call: `Lifecycle` collects its actions in one list
            return
        self.processing = True
        try:
            while self.events:
                for action in self.lifecycle.handle(self.engine.clock.now(), self.events.popleft()):
                    self._carry_out(action)
        finally:
            self.processing = False

    def _carry_out(self, action: Action) -> None:
        if isinstance(action, SubmitWrite):
            self.writer.put(action.ticket, action.write)
        elif isinstance(action, DeliverAnswer):
            if action.number in self.engine.held_answers:
                self.requests.pop(action.number, None)
                self.engine.release_answer(action.number)
            else:
                self.deliverable.add(action.number)
        elif (request := self.requests.get(action.number)) is None:
            return
        elif isinstance(action, Release):
            attempt = request.attempts[action.attempt]
            if attempt is not None:
                self.engine.release_attempt(attempt)
        else:
            del self.requests[action.number]
            self.engine.resolve(request, _to_answer(action))

    def _tick(self) -> None:
        if not self.closed:
            self.feed(Tick())
            self.engine.clock.at(self.engine.clock.now() + TICK_INTERVAL, self._tick)


def _to_answer(action: Conclude) -> Answer:
    if action.state is State.NEVER_RAN:
        return Refused(action.retry_after, action.reason)
    record = action.record
    if action.state is not State.SERVED or record is None:
        return Failed(action.reason)
    if record.answer is None:  # must not report an answer that no server gave
        return Failed("the call was served, but its answer was not kept")
    fields = ((b"content-type", record.content_type),) if record.content_type else ()
    return Served(record.answer, fields)
