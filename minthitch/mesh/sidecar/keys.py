"""Keyed requests at the sidecar that takes them: claim before the first send, one answer for every repeat."""

from __future__ import annotations

import asyncio
import os
from collections.abc import Callable
from hashlib import blake2b
from typing import Protocol

from minthitch.mesh.configuration.errors import ErrorKind
from minthitch.mesh.idempotency.operations import Operation, OperationState, OperationTable
from minthitch.mesh.sidecar.links import GRANTED, HELD, ControlLinks
from minthitch.mesh.transport import ops

KEPT = 2.2  # windows for which an operation is kept here: longer than any repeat can come
TURNS = 3  # times a key may be free elsewhere and taken by others before this one gives up
ASK_AGAIN = 0.25  # seconds before an owner that could not be reached is asked once more


class Keyed(Protocol):
    """A trip on a keyed route."""

    deadline: float
    holder: str

    def go(self, operation: Operation) -> None: ...
    def settle(self, status: int, fields: tuple[tuple[bytes, bytes], ...], body: bytes) -> None: ...
    def fail(self, kind: ErrorKind) -> None: ...
    def give_up_at(self) -> float: ...


Ask = Callable[[str, bytes, float, Callable[[ops.Message | None], None]], None]


def hashed(text: bytes, size: int = 16) -> bytes:
    return blake2b(text, digest_size=size).digest()


class Keys:
    """Operations of this sidecar and the way to those of others. `ask(owner, claim, deadline, done)`."""

    def __init__(self, controls: ControlLinks, window: float, owner: str, ask: Ask) -> None:
        self.controls, self.owner, self.ask = controls, owner, ask
        self.loop = asyncio.get_running_loop()
        self.operations = OperationTable(window * KEPT)

    def open(self, trip: Keyed, key: bytes, digest: bytes, turns: int = TURNS) -> None:
        """Leads to one of the trip's `go`, `settle` and `fail`."""
        held = self.operations.by_key.get(key)
        if held is not None:
            self._join(trip, held, digest)
            return
        operation = self.operations.begin(key, os.urandom(12), digest, self.loop.time())
        self._claim(trip, operation, b"", turns)

    def _claim(self, trip: Keyed, operation: Operation, over: bytes, turns: int) -> None:
        body = (operation.key, self.owner, operation.claim_id, operation.request_digest, over)

        def done(verdict: str, owner: str, claim: bytes, digest: bytes) -> None:
            if verdict == GRANTED:
                trip.go(operation)
            elif verdict != HELD:
                self.operations.record_not_run(operation)
                trip.fail(ErrorKind.NO_LEADER)
            elif digest != operation.request_digest:
                self.operations.record_not_run(operation)
                trip.fail(ErrorKind.KEY_DIFFERS)
            else:
                self._elsewhere(trip, operation, owner, claim, turns)

        self.controls.claim(body, trip.give_up_at(), done)

    def _elsewhere(self, trip: Keyed, operation: Operation, owner: str, claim: bytes, turns: int) -> None:
        """Another has claimed it: its word decides."""
        trip.holder = owner

        def told(message: ops.Message | None) -> None:
            if message is None:  # its owner can't be reached: perhaps the next repeat can
                self.operations.record_not_run(operation)
                trip.fail(ErrorKind.KEY_UNKNOWN)
                return
            state = message[2]
            if state == OperationState.ANSWERED:
                self.operations.record_answer(operation, message[3], message[4], message[5])
                trip.settle(message[3], message[4], message[5])
            elif state == OperationState.NOT_RUN and turns > 0 and self.loop.time() < trip.deadline:
                self._claim(trip, operation, claim, turns - 1)
            elif state == OperationState.NOT_RUN:
                self.operations.record_not_run(operation)
                trip.fail(ErrorKind.BUSY)
            else:  # danger: it may have run, and must not run again
                self.operations.record_unknown(operation)
                trip.fail(ErrorKind.KEY_UNKNOWN)

        self.ask(owner, claim, trip.deadline, told)

    def _join(self, trip: Keyed, operation: Operation, digest: bytes) -> None:
        """It is this sidecar's own, at work or over."""
        if operation.request_digest != digest:
            trip.fail(ErrorKind.KEY_DIFFERS)
        elif operation.state is OperationState.IN_PROGRESS:
            operation.listeners.append(lambda op: self._joined(trip, op))
        else:
            self._joined(trip, operation)

    def _joined(self, trip: Keyed, operation: Operation) -> None:
        if operation.state is OperationState.ANSWERED:
            trip.settle(operation.status, operation.fields, operation.body)
        elif operation.state is OperationState.NOT_RUN:
            trip.fail(ErrorKind.BUSY)
        else:
            trip.fail(ErrorKind.KEY_UNKNOWN)

    def asked(self, ident: int, claim: bytes, reply: Callable[[ops.Message], None]) -> None:
        """Another sidecar asks what became of a claim of ours: answered when that is known."""
        operation = self.operations.by_claim_id.get(claim)

        def tell(op: Operation) -> None:
            reply((ops.CLAIM_STATE, ident, op.state, op.status, op.fields, op.body))

        if operation is None:  # danger: a claim of a life before this one may have run
            reply((ops.CLAIM_STATE, ident, OperationState.UNKNOWN, 0, (), b""))
        elif operation.state is OperationState.IN_PROGRESS:
            operation.listeners.append(tell)
        else:
            tell(operation)


def digest_of(method: bytes, target: bytes, body: bytes) -> bytes:
    """What was asked, in 8 bytes."""
    return hashed(method + b" " + target + b"\0" + body, 8)
