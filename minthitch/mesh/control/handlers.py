"""HTTP calls at `Net.Bind.Ctl`: calls of operators, and heartbeats that reached no sidecar."""

from __future__ import annotations

from typing import Any

from msgspec import DecodeError
from msgspec.json import encode

from minthitch.mesh.configuration.calls import decode_heartbeat, find_call, known_methods
from minthitch.mesh.configuration.errors import REPLIES, ErrorKind
from minthitch.mesh.control.heartbeats import is_deregistered, is_heartbeat_applied
from minthitch.mesh.control.server import ControlServer
from minthitch.mesh.control.state_machine import OK, ConfigurationResult, FetchResult
from minthitch.mesh.control.status import status
from minthitch.mesh.events.events import Event, log_event
from minthitch.mesh.http.listener import ClientConnection
from minthitch.net.callers import Incoming

MAX_HEADER_BYTES = 16 * 1024
MAX_BODY_BYTES = 4 * 1024 * 1024  # of one configuration call
MAX_REASON_BYTES = 400  # of the error text in an answer
UNCLEAR = "unclear: send it again"  # it may have been committed; repeating it is safe
SIDECAR_CALLS = ("trace", "explain")  # only sidecars answer these
JSON = ((b"Content-Type", b"application/json"),)


class ControlHandlers:
    """Handles the calls defined in `minthitch.mesh.configuration.calls`."""

    def __init__(self, server: ControlServer) -> None:
        self.shutting_down = False
        self._server = server

    # RequestHandler -------------------------------------------------------------------------------

    def on_client_lost(self, client: ClientConnection) -> None:
        """A client disconnected; its pending calls are still executed."""

    def accepts_requests(self) -> bool:
        """Whether connections stay open for further requests."""
        return not self.shutting_down

    def max_header_bytes(self) -> int:
        """The size limit of a request's head."""
        return MAX_HEADER_BYTES

    def max_body_bytes(self) -> int:
        """The size limit of a request's body."""
        return MAX_BODY_BYTES

    def log_client_error(self, text: str) -> None:
        """Log a client's protocol error."""
        log_event(Event.CLIENT_ERROR, text=text)

    def handle(self, client: ClientConnection, request: Incoming) -> None:
        """Handle a request; the answer may be sent later."""
        found = find_call(request.method, request.target)
        if found is None:
            kind = ErrorKind.METHOD if known_methods(request.target) else ErrorKind.UNKNOWN_CALL
            self._respond_error(client, client.token, kind, "")
            return
        call, ident = found
        if call.handler in SIDECAR_CALLS:
            self._respond_error(client, client.token, ErrorKind.UNKNOWN_CALL, "ask a sidecar")
        elif self.shutting_down and call.handler != "status":
            reason = "this node is leaving: call another"
            self._respond_error(client, client.token, ErrorKind.LEAVING, reason)
        else:
            self._handle_call(client, call.handler, ident, request.body)

    def _handle_call(self, client: ClientConnection, handler: str, ident: str, body: bytes) -> None:
        server, token = self._server, client.token
        if handler == "patch":
            server.patch(body, lambda result: self._respond_patched(client, token, result))
        elif handler == "fetch":
            server.fetch(lambda result: self._respond_fetched(client, token, result))
        elif handler == "whole":
            server.fetch(lambda result: self._respond_with_index(client, token, result))
        elif handler == "ready":
            in_contact = server.raft.in_contact_with_quorum(server.loop.time())
            client.respond(token, 200 if in_contact else 503, (), b"")
        elif handler == "status":
            client.respond(token, 200, JSON, encode(status(server)))
        else:
            self._handle_heartbeat(client, handler, ident, body)

    # Answers --------------------------------------------------------------------------------------

    def _handle_heartbeat(self, client: ClientConnection, handler: str, server_id: str, body: bytes) -> None:
        """Acknowledge a server's state only if its sidecar, and each later process of it, acts on it."""
        records, claims = self._server.registry.records.values(), self._server.state.claims
        if handler == "leave":
            is_applied = is_deregistered(records, claims, server_id)
        else:
            try:
                is_applied = is_heartbeat_applied(records, claims, server_id, decode_heartbeat(body))
            except DecodeError as error:
                self.log_client_error(f"beat of {server_id[:40]}: {error}")
                client.respond(client.token, REPLIES[ErrorKind.BAD_REQUEST].status, JSON, b"{}")
                return
        if is_applied:
            client.respond(client.token, 200, JSON, b"{}")
        else:
            reason = "its sidecar has not heard this"
            self._respond_error(client, client.token, ErrorKind.NO_SERVER, reason)

    def _respond_patched(self, client: ClientConnection, token: int, result: tuple[Any, ...] | None) -> None:
        if result is None:
            self._respond_error(client, token, ErrorKind.NO_LEADER, UNCLEAR)
            return
        outcome = ConfigurationResult(*result)
        body = b"{}"
        if outcome.status != OK:
            reason = outcome.reason.replace('"', "'").encode()[:MAX_REASON_BYTES]
            body = b'{"Err":"%s"}' % reason
        client.respond(token, outcome.status, JSON, body)

    def _respond_fetched(self, client: ClientConnection, token: int, result: tuple[Any, ...] | None) -> None:
        if result is None:
            self._respond_error(client, token, ErrorKind.NO_LEADER, UNCLEAR)
        else:
            client.respond(token, 200, JSON, result[0])

    def _respond_with_index(
        self, client: ClientConnection, token: int, result: tuple[Any, ...] | None
    ) -> None:
        """Answer with a call that would restore this configuration, and its log index."""
        if result is None or len(result) < len(FetchResult._fields):  # an older leader sends no index
            self._respond_error(client, token, ErrorKind.NO_LEADER, UNCLEAR)
        else:
            fetched = FetchResult(*result)
            client.respond(
                token, 200, JSON, b'{"Index":%d,"Upsert":%b}' % (fetched.as_of_index, fetched.body)
            )

    def _respond_error(self, client: ClientConnection, token: int, kind: ErrorKind, reason: str) -> None:
        reply = REPLIES[kind]
        fields = list(JSON)
        if reply.retry_after is not None:
            fields.append((b"Retry-After", b"%.3f" % reply.retry_after))
        client.respond(token, reply.status, fields, b'{"Err":"%s"}' % (reason or kind.value).encode())
