"""Keyed requests at the sidecar that accepts them.

A key is claimed at the control nodes before the first attempt is sent, and each repeat of the request gets
the same answer.
"""

from __future__ import annotations

import asyncio
import os
from collections.abc import Callable
from hashlib import blake2b
from typing import Protocol

from minthitch.mesh.configuration.errors import ErrorKind
from minthitch.mesh.idempotency.operations import Operation, OperationState, OperationTable
from minthitch.mesh.sidecar.control_links import GRANTED, HELD, ControlLinks
from minthitch.mesh.transport import ops

RETENTION_WINDOWS = 2.2  # key windows for which an operation is kept: longer than any repeat can come
MAX_TAKEOVERS = 3  # of claims that another sidecar gave up without a run, before this request gives up too


class KeyedExchange(Protocol):
    """A request on a keyed route."""

    deadline: float
    claim_owner: str

    def on_claim_granted(self, operation: Operation) -> None: ...
    def replay(self, status: int, fields: tuple[tuple[bytes, bytes], ...], body: bytes) -> None: ...
    def fail(self, kind: ErrorKind) -> None: ...
    def claim_deadline(self) -> float: ...


AskOwner = Callable[[str, bytes, float, Callable[[ops.Message | None], None]], None]


def hashed(text: bytes, size: int = 16) -> bytes:
    return blake2b(text, digest_size=size).digest()


class IdempotencyKeys:
    """The operations of this sidecar, and access to those of others by `ask_owner(owner, claim, deadline,
    done)`.
    """

    def __init__(self, controls: ControlLinks, window: float, owner: str, ask_owner: AskOwner) -> None:
        self.controls, self.owner, self.ask_owner = controls, owner, ask_owner
        self.loop = asyncio.get_running_loop()
        self.operations = OperationTable(window * RETENTION_WINDOWS)

    def open(
        self, exchange: KeyedExchange, key: bytes, digest: bytes, takeovers_left: int = MAX_TAKEOVERS
    ) -> None:
        """Ends in one call of the exchange's `on_claim_granted`, `replay` or `fail`."""
        held = self.operations.by_key.get(key)
        if held is not None:
            self._join_local(exchange, held, digest)
            return
        operation = self.operations.begin(key, os.urandom(12), digest, self.loop.time())
        self._claim(exchange, operation, b"", takeovers_left)

    def _claim(
        self, exchange: KeyedExchange, operation: Operation, replaces: bytes, takeovers_left: int
    ) -> None:
        body = (operation.key, self.owner, operation.claim_id, operation.request_digest, replaces)

        def done(verdict: str, owner: str, claim: bytes, digest: bytes) -> None:
            if verdict == GRANTED:
                exchange.on_claim_granted(operation)
            elif verdict != HELD:
                self.operations.record_not_run(operation)
                exchange.fail(ErrorKind.NO_LEADER)
            elif digest != operation.request_digest:
                self.operations.record_not_run(operation)
                exchange.fail(ErrorKind.KEY_DIFFERS)
            else:
                self._follow_owner(exchange, operation, owner, claim, takeovers_left)

        self.controls.claim(body, exchange.claim_deadline(), done)

    def _follow_owner(
        self, exchange: KeyedExchange, operation: Operation, owner: str, claim: bytes, takeovers_left: int
    ) -> None:
        """Another sidecar owns the key: its outcome decides."""
        exchange.claim_owner = owner

        def on_answer(message: ops.Message | None) -> None:
            if message is None:  # the owner can't be reached: a later repeat may reach it
                self.operations.record_not_run(operation)
                exchange.fail(ErrorKind.KEY_UNKNOWN)
                return
            state = message[2]
            if state == OperationState.ANSWERED:
                self.operations.record_answer(operation, message[3], message[4], message[5])
                exchange.replay(message[3], message[4], message[5])
            elif (
                state == OperationState.NOT_RUN
                and takeovers_left > 0
                and self.loop.time() < exchange.deadline
            ):
                self._claim(exchange, operation, claim, takeovers_left - 1)
            elif state == OperationState.NOT_RUN:
                self.operations.record_not_run(operation)
                exchange.fail(ErrorKind.BUSY)
            else:  # it may have run, and must not run again
                self.operations.record_unknown(operation)
                exchange.fail(ErrorKind.KEY_UNKNOWN)

        self.ask_owner(owner, claim, exchange.deadline, on_answer)

    def _join_local(self, exchange: KeyedExchange, operation: Operation, digest: bytes) -> None:
        """This sidecar owns the key: its operation is in progress or over."""
        if operation.request_digest != digest:
            exchange.fail(ErrorKind.KEY_DIFFERS)
        elif operation.state is OperationState.IN_PROGRESS:
            operation.listeners.append(lambda op: self._deliver(exchange, op))
        else:
            self._deliver(exchange, operation)

    def _deliver(self, exchange: KeyedExchange, operation: Operation) -> None:
        if operation.state is OperationState.ANSWERED:
            exchange.replay(operation.status, operation.fields, operation.body)
        elif operation.state is OperationState.NOT_RUN:
            exchange.fail(ErrorKind.BUSY)
        else:
            exchange.fail(ErrorKind.KEY_UNKNOWN)

    def on_query(self, ident: int, claim: bytes, reply: Callable[[ops.Message], None]) -> None:
        """Another sidecar asks for the outcome of a claim of this one: answered once that is known."""
        operation = self.operations.by_claim_id.get(claim)

        def tell(op: Operation) -> None:
            reply((ops.CLAIM_STATE, ident, op.state, op.status, op.fields, op.body))

        if operation is None:  # a claim of an earlier run of this process may have run
            reply((ops.CLAIM_STATE, ident, OperationState.UNKNOWN, 0, (), b""))
        elif operation.state is OperationState.IN_PROGRESS:
            operation.listeners.append(tell)
        else:
            tell(operation)


def digest_request(method: bytes, target: bytes, body: bytes) -> bytes:
    """Identifies the content of a request, in 8 bytes."""
    return hashed(method + b" " + target + b"\0" + body, 8)
