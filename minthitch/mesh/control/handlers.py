"""What a control node answers at `Ctl`: the operator's calls, and beats of servers that found no sidecar."""

from __future__ import annotations

from typing import Any

from msgspec import DecodeError
from msgspec.json import encode

from minthitch.mesh.control.beats import beat_holds, has_left
from minthitch.mesh.control.server import MOST_PATCH, ControlServer
from minthitch.mesh.control.state import OK, Fetched, Patched
from minthitch.mesh.control.status import status
from minthitch.net.callers import Incoming
from minthitch.mesh.configuration.calls import find, methods, read_beat
from minthitch.mesh.configuration.errors import REPLIES, ErrorKind
from minthitch.mesh.events.events import Event, say
from minthitch.mesh.http.listener import ClientConnection

HEAD_BYTES = 16 * 1024
UNCLEAR = "unclear: send it again"  # it may have been taken: what was taken is acknowledged again
AT_SIDECARS = ("trace", "explain")  # calls that only sidecars answer
JSON = ((b"Content-Type", b"application/json"),)


class Desk:
    """One desk for the calls of the table."""

    def __init__(self, server: ControlServer) -> None:
        self.server = server
        self.leaving = False

    def gone(self, client: ClientConnection) -> None:
        pass

    def wanted(self) -> bool:
        return not self.leaving

    def header_bytes(self) -> int:
        return HEAD_BYTES

    def body_bytes(self) -> int:
        return MOST_PATCH

    def note(self, text: str) -> None:
        say(Event.VISITOR, text=text)

    def take(self, client: ClientConnection, item: Incoming) -> None:
        found = find(item.method, item.target)
        if found is None:
            kind = ErrorKind.METHOD if methods(item.target) else ErrorKind.UNKNOWN_CALL
            self._error(client, client.token, kind, "")
            return
        call, ident = found
        if call.handler in AT_SIDECARS:
            self._error(client, client.token, ErrorKind.UNKNOWN_CALL, "ask a sidecar")
            return
        token = client.token
        if self.leaving and call.handler != "status":
            self._error(client, token, ErrorKind.LEAVING, "this node is leaving: call another")
        elif call.handler == "patch":
            self.server.patch(item.body, lambda result: self._patched(client, token, result))
        elif call.handler == "fetch":
            self.server.fetch(lambda result: self._fetched(client, token, result))
        elif call.handler == "whole":
            self.server.fetch(lambda result: self._told_whole(client, token, result))
        elif call.handler == "ready":
            fresh = self.server.core.in_contact_with_quorum(self.server.loop.time())
            client.respond(token, 200 if fresh else 503, (), b"")
        elif call.handler == "status":
            client.respond(token, 200, JSON, encode(status(self.server)))
        else:
            self._beat(client, call.handler, ident, item.body)

    def _beat(self, client: ClientConnection, handler: str, life: str, body: bytes) -> None:
        """A server's word: acknowledged only where its sidecar acts on it already."""
        records = self.server.registry.records.values()
        if handler == "leave":
            holds = has_left(records, life)
        else:
            try:
                holds = beat_holds(records, life, read_beat(body))
            except DecodeError as err:
                self.note(f"beat of {life[:40]}: {err}")
                client.respond(client.token, REPLIES[ErrorKind.BAD_REQUEST].status, JSON, b"{}")
                return
        if holds:
            client.respond(client.token, 200, JSON, b"{}")
        else:
            self._error(client, client.token, ErrorKind.NO_SERVER, "its sidecar has not heard this")

    def _patched(self, client: ClientConnection, token: int, result: tuple[Any, ...] | None) -> None:
        if result is None:
            self._error(client, token, ErrorKind.NO_LEADER, UNCLEAR)
            return
        patched = Patched(*result)
        body = b"{}"
        if patched.status != OK:
            body = b'{"Err":"%s"}' % patched.why.replace('"', "'").encode()[:400]
        client.respond(token, patched.status, JSON, body)

    def _fetched(self, client: ClientConnection, token: int, result: tuple[Any, ...] | None) -> None:
        if result is None:
            self._error(client, token, ErrorKind.NO_LEADER, UNCLEAR)
        else:
            client.respond(token, 200, JSON, result[0])

    def _told_whole(self, client: ClientConnection, token: int, result: tuple[Any, ...] | None) -> None:
        """As a call that would bring it back, with the index of the log at which it stood."""
        if result is None or len(result) < 2:  # a leader of the version before says no index
            self._error(client, token, ErrorKind.NO_LEADER, UNCLEAR)
        else:
            fetched = Fetched(*result)
            client.respond(token, 200, JSON, b'{"Index":%d,"Upsert":%b}' % (fetched.as_of, fetched.body))

    def _error(self, client: ClientConnection, token: int, kind: ErrorKind, why: str) -> None:
        reply = REPLIES[kind]
        fields = list(JSON)
        if reply.retry_after is not None:
            fields.append((b"Retry-After", b"%.3f" % reply.retry_after))
        client.respond(token, reply.status, fields, b'{"Err":"%s"}' % (why or kind.value).encode())
