"""What a vise answers at `Readyz` and `Ctl`: the platform's look, and the beats of its own server."""

from __future__ import annotations

from msgspec.json import encode

from minthitch.net.callers import Incoming
from minthitch.press.calls import find, methods
from minthitch.press.errors import REPLIES, ErrorKind
from minthitch.scribe.events import Event, say
from minthitch.spool.visitors import Visitor
from minthitch.vise.front import Front

HEAD_BYTES, BODY_BYTES = 16 * 1024, 64 * 1024  # of a beat
JSON = ((b"Content-Type", b"application/json"),)


class Counter:
    """One desk for the calls of the table."""

    def __init__(self, front: Front) -> None:
        self.front = front

    def gone(self, visitor: Visitor) -> None:
        pass

    def wanted(self) -> bool:
        return True

    def header_bytes(self) -> int:
        return HEAD_BYTES

    def body_bytes(self) -> int:
        return BODY_BYTES

    def note(self, text: str) -> None:
        say(Event.VISITOR, text=text)

    def take(self, visitor: Visitor, item: Incoming) -> None:
        found = find(item.method, item.target)
        if found is None:
            kind = ErrorKind.METHOD if methods(item.target) else ErrorKind.UNKNOWN_CALL
            visitor.respond(visitor.token, REPLIES[kind].status, (), b"")
            return
        call, ident = found
        if call.handler == "status":
            visitor.respond(visitor.token, 200, JSON, encode(self.front.status()))
            return
        status = 404
        if call.handler == "ready":
            status = 200 if self.front.ready() else 503
        elif call.handler == "beat":
            status = self._beat(ident, item.body)
        elif call.handler == "leave":
            self.front.gatehouse.leave(ident)
            status = 200
        visitor.respond(visitor.token, status, JSON, b"{}" if status == 200 else b"")

    def _beat(self, ident: str, body: bytes) -> int:
        try:
            self.front.gatehouse.beat(ident, body)
        except ValueError as err:
            self.note(str(err))
            return 400
        return 200
