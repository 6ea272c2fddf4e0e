"""Operations on idempotency keys, as the sidecar that owns them knows them. Times are seconds, passed in."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from enum import StrEnum

# Of stored responses. Beyond it the oldest are dropped, and repeats of their requests fail.
MAX_ANSWER_BYTES = 24 * 1024 * 1024
MAX_OPERATIONS = 100_000
Fields = tuple[tuple[bytes, bytes], ...]


class OperationState(StrEnum):
    """What is known of an operation. The values are sent between sidecars."""

    IN_PROGRESS = "at work"
    ANSWERED = "answered"
    NOT_RUN = "free"  # it never ran and never will: another claim may replace this one
    UNKNOWN = "unknown"  # it may have run


class Operation:
    """One key's operation. `listeners` are called once with it when it is no longer in progress."""

    __slots__ = (
        "key",
        "claim_id",
        "request_digest",
        "state",
        "status",
        "fields",
        "body",
        "started_at",
        "listeners",
    )

    def __init__(self, key: bytes, claim_id: bytes, request_digest: bytes, now: float) -> None:
        self.key = key
        self.claim_id = claim_id
        self.request_digest = request_digest
        self.started_at = now
        self.state = OperationState.IN_PROGRESS
        self.status = 0  # of the response
        self.fields: Fields = ()
        self.body = b""
        self.listeners: list[Callable[[Operation], None]] = []


class OperationTable:
    """The operations that this process has claimed, for `retention_s` seconds at least."""

    def __init__(self, retention_s: float) -> None:
        self.retention_s = retention_s
        self.by_claim_id: OrderedDict[bytes, Operation] = OrderedDict()  # oldest first
        self.by_key: dict[bytes, Operation] = {}
        self.answer_bytes = 0

    def begin(self, key: bytes, claim_id: bytes, request_digest: bytes, now: float) -> Operation:
        """Add an operation in progress."""
        self._evict(now)
        operation = Operation(key, claim_id, request_digest, now)
        self.by_claim_id[claim_id] = self.by_key[key] = operation
        return operation

    def _evict(self, now: float) -> None:
        while self.by_claim_id:
            oldest = next(iter(self.by_claim_id.values()))
            if oldest.started_at > now - self.retention_s and len(self.by_claim_id) < MAX_OPERATIONS:
                break
            self._remove(oldest)

    def _remove(self, operation: Operation) -> None:
        self.by_claim_id.pop(operation.claim_id, None)
        if self.by_key.get(operation.key) is operation:
            del self.by_key[operation.key]
        self.answer_bytes -= len(operation.body)

    def record_answer(self, operation: Operation, status: int, fields: Fields, body: bytes) -> None:
        """The operation ran: repeated requests get this response."""
        operation.status = status
        operation.fields = fields
        operation.body = body
        self.answer_bytes += len(body)
        self._finish(operation, OperationState.ANSWERED)
        self._limit_answers(operation)

    def _limit_answers(self, newest: Operation) -> None:
        """Drop the oldest responses beyond MAX_ANSWER_BYTES; those operations become UNKNOWN."""
        for operation in self.by_claim_id.values():
            if self.answer_bytes <= MAX_ANSWER_BYTES:
                break
            if operation.state is OperationState.ANSWERED and operation is not newest:
                self.answer_bytes -= len(operation.body)
                operation.state = OperationState.UNKNOWN
                operation.body = b""
                operation.fields = ()

    def record_not_run(self, operation: Operation) -> None:
        """The operation never ran and never will under this claim. No effect on one that has ended."""
        if operation.state is not OperationState.IN_PROGRESS:
            return
        self._finish(operation, OperationState.NOT_RUN)
        if self.by_key.get(operation.key) is operation:
            del self.by_key[operation.key]

    def record_unknown(self, operation: Operation) -> None:
        """The operation ended without a response: it may have run, so it must not run again."""
        self._finish(operation, OperationState.UNKNOWN)

    def _finish(self, operation: Operation, state: OperationState) -> None:
        if operation.state is not OperationState.IN_PROGRESS:
            return
        operation.state = state
        listeners, operation.listeners = operation.listeners, []
        for listener in listeners:
            listener(operation)
