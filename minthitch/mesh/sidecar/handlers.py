"""HTTP handler for the addresses `Readyz` and `Ctl`: readiness, heartbeats of the own server, operators'
calls.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from msgspec.json import encode

from minthitch.mesh.configuration.calls import find_call, known_methods
from minthitch.mesh.configuration.errors import REPLIES, ErrorKind
from minthitch.mesh.events.events import Event, log_event
from minthitch.mesh.http.listener import ClientConnection
from minthitch.mesh.idempotency.operations import MAX_ANSWER_BYTES, MAX_OPERATIONS
from minthitch.mesh.sidecar.server_lifecycle import OnAcknowledged
from minthitch.mesh.sidecar.sidecar import Sidecar
from minthitch.net.callers import Incoming

if TYPE_CHECKING:
    from minthitch.mesh.sidecar.memory_usage import MemoryUsage
    from minthitch.mesh.sidecar.tracing import Tracer

MAX_HEADER_BYTES, MAX_BODY_BYTES = 16 * 1024, 64 * 1024  # of a heartbeat
JSON = ((b"Content-Type", b"application/json"),)


class AdminHandler:
    """Answers the calls of the call table (minthitch.mesh.configuration.calls)."""

    def __init__(self, sidecar: Sidecar) -> None:
        self.sidecar = sidecar
        self.tracer: Tracer | None = None  # made when tracing is first switched on
        # Set by the program, which has the listeners and connections.
        self.measure_memory: Callable[[], MemoryUsage] | None = None

    def on_client_lost(self, client: ClientConnection) -> None:
        pass

    def accepts_requests(self) -> bool:
        return True

    def max_header_bytes(self) -> int:
        return MAX_HEADER_BYTES

    def max_body_bytes(self) -> int:
        return MAX_BODY_BYTES

    def log_client_error(self, text: str) -> None:
        log_event(Event.CLIENT_ERROR, text=text)

    def handle(self, client: ClientConnection, request: Incoming) -> None:
        found = find_call(request.method, request.target)
        if found is None:
            kind = ErrorKind.METHOD if known_methods(request.target) else ErrorKind.UNKNOWN_CALL
            client.respond(client.token, REPLIES[kind].status, (), b"")
            return
        call, ident = found
        if call.handler in ("status", "trace", "explain"):
            status, answer = self._operator_call(call.handler, ident)
            client.respond(client.token, status, JSON, encode(answer))
            return
        if call.handler == "beat":
            self._heartbeat(client, ident, request.body)
        elif call.handler == "leave":
            self.sidecar.server_lifecycle.on_deregister(ident, _acknowledgement(client))
        else:
            status = 404
            if call.handler == "ready":
                status = 200 if self.sidecar.ready() else 503
            _respond(client, client.token, status)

    def _operator_call(self, handler: str, ident: str) -> tuple[int, dict[str, Any]]:
        """Status code and body for a call of an operator."""
        if handler == "status":
            return 200, self._status()
        if handler == "trace":
            if self.tracer is None:
                from minthitch.mesh.sidecar.tracing import Tracer  # saves its memory where it is not used

                self.tracer = Tracer(self.sidecar)
            if not self.tracer.switch(ident):
                return 400, {"Err": f"{ident[:40]}: not a number of seconds up to an hour"}
            return 200, self.tracer.status()
        if self.tracer is None:
            return 404, {"Err": "requests were never traced here"}
        from minthitch.mesh.sidecar.tracing import unescaped

        try:
            found = self.tracer.explain(unescaped(ident))
        except ValueError as err:
            return 400, {"Err": f"id: {err}"}
        return (200, found) if found is not None else (404, {"Err": "no such request was traced here"})

    def _status(self) -> dict[str, Any]:
        """The sidecar's status with its budgets, keys and tracing."""
        sidecar, answer = self.sidecar, self.sidecar.status()
        operations = sidecar.keys.operations
        answer["budgets"] = {
            name: {**sidecar.retry_budget.status(name), "window_s": sidecar.settings.terms.bounds.retry_win_s}
            for name in list(sidecar.retry_budget.budgets)
        }
        answer["book"] = {
            "held": len(operations.by_claim_id),
            "most": MAX_OPERATIONS,
            "bytes": operations.answer_bytes,
            "most_bytes": MAX_ANSWER_BYTES,
            "keep_s": round(operations.retention_s, 1),
        }
        if self.measure_memory is not None:
            answer["memory_bytes"] = self.measure_memory()
        answer["traced"] = self.tracer.status() if self.tracer is not None else {}
        return answer

    def _heartbeat(self, client: ClientConnection, ident: str, body: bytes) -> None:
        try:
            self.sidecar.server_lifecycle.on_heartbeat(ident, body, _acknowledgement(client))
        except ValueError as err:
            self.log_client_error(str(err))
            _respond(client, client.token, 400)


def _acknowledgement(client: ClientConnection) -> OnAcknowledged:
    """Answers the client's present call; without an acknowledgement a server calls the next node."""
    token = client.token
    return lambda acknowledged: _respond(client, token, 200 if acknowledged else 503)


def _respond(client: ClientConnection, token: int, status: int) -> None:
    client.respond(token, status, JSON, b"{}" if status == 200 else b"")
