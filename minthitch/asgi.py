"""Plain ASGI middleware: named route prefixes go to a tier through the balancer, all else to the app.

Needs no framework. Starlette, FastAPI: `app.add_middleware(BalancedRoutes, client=client, routes=[...])`.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Iterable, MutableMapping, Sequence
from dataclasses import dataclass
from typing import Any
from urllib.parse import quote

from minthitch.embedded.client import Client
from minthitch.embedded.errors import BadCall, ClientClosed
from minthitch.embedded.requests import of_class, whole_seconds
from minthitch.engine.calls import Answer, Refused, Served
from minthitch.engine.fields import MAX_REQUEST_BODY_BYTES
from minthitch.interface import Effect

Scope = MutableMapping[str, Any]
Message = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[Message]]
Send = Callable[[Message], Awaitable[None]]
App = Callable[[Scope, Receive, Send], Awaitable[None]]
ALLOW = {Effect.SAFE: b"GET, HEAD", Effect.KEYED: b"POST", Effect.UNSAFE: b"POST"}


@dataclass(frozen=True, slots=True)
class Route:
    """Requests under `prefix` are of this class; `to` replaces the prefix on the way to the servers.

    Where several routes share a prefix, the first whose class fits the request's method and key is used.
    """

    prefix: str
    service_class: str
    client: Client | None = None  # of another tier than the middleware's own
    to: str | None = None

    def covers(self, path: str) -> bool:
        bare = self.prefix.rstrip("/")
        return path == bare or path.startswith(bare + "/")


class _TooLong(Exception):
    pass


class _Left(Exception):
    pass


class BalancedRoutes:
    """The middleware. It starts its clients at the lifespan's start, and closes them behind the app's end.

    A client that was started before stays its owner's to close. `ready`: the path that tells whether all
    clients have servers; None = the app's own. Raises ValueError for a route that can't work.
    """

    def __init__(
        self, app: App, *, client: Client, routes: Iterable[Route], ready: str | None = "/ready"
    ) -> None:
        self.app, self.ready = app, ready
        # The longest prefix is asked first; those of one length in the order given.
        self.routes: list[tuple[Route, Client, Effect]] = []
        for route in sorted(routes, key=lambda r: -len(r.prefix)):
            if not route.prefix.startswith("/"):
                raise ValueError(f"route prefix {route.prefix!r} does not begin with /")
            to = route.client or client
            classes = {spec.name: spec.effect for spec in to.settings.classes}
            if route.service_class not in classes:
                raise ValueError(
                    f"route {route.prefix!r}: class {route.service_class!r} is unknown; "
                    f"known are {', '.join(classes)}"
                )
            self.routes.append((route, to, classes[route.service_class]))
        self.clients: Sequence[Client] = list({id(c): c for _, c, _ in self.routes}.values()) or [client]
        self.started: list[Client] = []

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        if scope["type"] == "lifespan":
            await _Lifespan(self, scope, receive, send).run()
        elif scope["type"] == "http" and scope["path"] == self.ready:
            up = all(client.ready for client in self.clients)
            await _respond(send, 200 if up else 503)
        elif scope["type"] == "http" and (routes := self._routes(scope["path"])):
            await self._balanced(routes, scope, receive, send)
        else:
            await self.app(scope, receive, send)

    def _routes(self, path: str) -> list[tuple[Route, Client, Effect]]:
        found = [entry for entry in self.routes if entry[0].covers(path)]
        return [entry for entry in found if len(entry[0].prefix) == len(found[0][0].prefix)]

    async def _balanced(
        self, routes: list[tuple[Route, Client, Effect]], scope: Scope, receive: Receive, send: Send
    ) -> None:
        fields = dict(scope["headers"])
        method = scope["method"].encode()
        chosen = _fitting(routes, method, bool(fields.get(b"idempotency-key")))
        if chosen is None:
            allowed = sorted({ALLOW[effect] for _, _, effect in routes})
            await _respond(send, 405, (b"allow", b", ".join(allowed)))
            return
        route, client, effect = chosen
        try:
            body = await _body(receive, fields)
            answer = await _until_left(
                client.send(
                    b"GET" if effect is Effect.SAFE else b"POST",
                    _target(scope, route),
                    of_class(scope["headers"], route.service_class),
                    body,
                ),
                receive,
            )
        except _TooLong:
            await _respond(send, 413, (b"connection", b"close"))
        except _Left:
            return
        except BadCall as err:
            await _respond(send, err.status, body=str(err).encode("latin-1", "replace"))
        except ClientClosed:
            await _respond(send, 503)
        else:
            await _answer(send, answer, method == b"HEAD")


def _fitting(
    routes: list[tuple[Route, Client, Effect]], method: bytes, keyed: bool
) -> tuple[Route, Client, Effect] | None:
    if method in (b"GET", b"HEAD"):
        wanted: tuple[Effect, ...] = (Effect.SAFE,)
    elif method == b"POST":  # a key that does not fit is the engine's to turn away, with its reason
        wanted = (Effect.KEYED, Effect.UNSAFE) if keyed else (Effect.UNSAFE, Effect.KEYED)
    else:
        return None
    return next((entry for effect in wanted for entry in routes if entry[2] is effect), None)


def _target(scope: Scope, route: Route) -> bytes:
    """The path as it came, still quoted, with the prefix replaced where the route says so."""
    raw: bytes = scope.get("raw_path") or quote(scope["path"]).encode()
    raw = raw.split(b"?", 1)[0]
    bare = route.prefix.rstrip("/")
    if route.to is not None:
        quoted = quote(bare).encode()
        rest = raw[len(quoted) :] if raw.startswith(quoted) else quote(scope["path"][len(bare) :]).encode()
        raw = quote(route.to.rstrip("/")).encode() + rest or b"/"
    query: bytes = scope.get("query_string", b"")
    return raw + b"?" + query if query else raw


async def _body(receive: Receive, fields: dict[bytes, bytes]) -> bytes:
    """The whole body. Raises _TooLong before it fills the memory, _Left when the caller goes."""
    stated = fields.get(b"content-length", b"")
    if stated.isdigit() and (len(stated) > 9 or int(stated) > MAX_REQUEST_BODY_BYTES):
        raise _TooLong
    parts: list[bytes] = []
    size = 0
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            raise _Left
        parts.append(message.get("body", b""))
        size += len(parts[-1])
        if size > MAX_REQUEST_BODY_BYTES:
            raise _TooLong
        if not message.get("more_body", False):
            return b"".join(parts)


async def _until_left(call: Awaitable[Answer], receive: Receive) -> Answer:
    """The answer; a caller that leaves ends the call. Raises _Left."""
    answering = asyncio.ensure_future(call)
    leaving = asyncio.ensure_future(_left(receive))
    try:
        await asyncio.wait((answering, leaving), return_when=asyncio.FIRST_COMPLETED)
        if answering.done():
            return answering.result()
        raise _Left
    finally:
        for task in (answering, leaving):
            task.cancel()
        await asyncio.gather(answering, leaving, return_exceptions=True)


async def _left(receive: Receive) -> None:
    while (await receive())["type"] != "http.disconnect":
        pass


async def _answer(send: Send, answer: Answer, bare: bool) -> None:
    if isinstance(answer, Served):
        await _respond(send, 200, *answer.fields, body=answer.body, bare=bare)
    elif isinstance(answer, Refused):
        wait = ((b"retry-after", whole_seconds(answer)),) if answer.retry_after_ns else ()
        await _respond(send, 503, *wait)
    else:
        await _respond(send, 502)


async def _respond(
    send: Send, status: int, *fields: tuple[bytes, bytes], body: bytes = b"", bare: bool = False
) -> None:
    headers = [*fields, (b"content-length", b"%d" % len(body))]
    await send({"type": "http.response.start", "status": status, "headers": headers})
    await send({"type": "http.response.body", "body": b"" if bare else body})


class _Lifespan:
    """The app's lifespan with the clients' round it. An app without one has the clients' alone."""

    def __init__(self, owner: BalancedRoutes, scope: Scope, receive: Receive, send: Send) -> None:
        self.owner, self.scope, self.receive, self.send = owner, scope, receive, send
        self.first: Message | None = None
        self.said: set[str] = set()  # what the app has sent

    async def run(self) -> None:
        self.first = await self.receive()
        try:
            await self._start()
        except Exception as err:
            await self._close()
            await self.send({"type": "lifespan.startup.failed", "message": str(err)})
            return
        try:
            await self._with_app()
            if not self.said:
                await self._alone()
        finally:
            await self._close()

    async def _with_app(self) -> None:
        try:
            await self.owner.app(self.scope, self._received, self._sent)
        except Exception:
            if self.said:  # its own failure, which it has told or must tell; else it knows no lifespan
                raise

    async def _start(self) -> None:
        for client in self.owner.clients:
            if not client.started:
                await client.start()
                self.owner.started.append(client)

    async def _close(self) -> None:
        clients, self.owner.started = self.owner.started, []
        await asyncio.gather(*(client.aclose() for client in clients))

    async def _received(self) -> Message:
        first, self.first = self.first, None
        return first if first is not None else await self.receive()

    async def _sent(self, message: Message) -> None:
        self.said.add(message["type"])
        if message["type"] in (
            "lifespan.shutdown.complete",
            "lifespan.shutdown.failed",
            "lifespan.startup.failed",
        ):
            await self._close()  # behind the app's own end, which may still call
        await self.send(message)

    async def _alone(self) -> None:
        await self.send({"type": "lifespan.startup.complete"})
        while (await self.receive())["type"] != "lifespan.shutdown":
            pass
        await self._close()
        await self.send({"type": "lifespan.shutdown.complete"})
