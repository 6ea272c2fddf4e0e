"""Plain ASGI middleware: requests under given path prefixes go to a tier of servers, all others to the app.

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
from minthitch.embedded.requests import retry_after_seconds, with_service_class
from minthitch.engine.calls import Answer, Refused, Served
from minthitch.engine.fields import MAX_REQUEST_BODY_BYTES
from minthitch.interface import Effect

Scope = MutableMapping[str, Any]
Message = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[Message]]
Send = Callable[[Message], Awaitable[None]]
App = Callable[[Scope, Receive, Send], Awaitable[None]]
ALLOWED_METHODS = {Effect.SAFE: b"GET, HEAD", Effect.KEYED: b"POST", Effect.UNSAFE: b"POST"}


@dataclass(frozen=True, slots=True)
class Route:
    """Maps requests under `prefix` to a service class; `to` replaces the prefix in the forwarded path.

    If several routes share a prefix, the first whose class fits the request's method and key is used.
    """

    prefix: str
    service_class: str
    client: Client | None = None  # for another tier than the middleware's default
    to: str | None = None

    def covers(self, path: str) -> bool:
        prefix = self.prefix.rstrip("/")
        return path == prefix or path.startswith(prefix + "/")


class _BodyTooLarge(Exception):
    pass


class _Disconnected(Exception):
    pass


class BalancedRoutes:
    """The middleware. It starts its clients at lifespan startup, and closes them after the app's shutdown.

    A client that was already started is left for its owner to close. `ready`: the readiness path, 200 when
    all clients have servers; None = left to the app. Raises ValueError for an invalid route.
    """

    def __init__(
        self, app: App, *, client: Client, routes: Iterable[Route], ready: str | None = "/ready"
    ) -> None:
        self.app, self.ready = app, ready
        # The longest prefix is matched first; those of equal length in the order given.
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
            await _send_response(send, 200 if up else 503)
        elif scope["type"] == "http" and (routes := self._matching_routes(scope["path"])):
            await self._forward(routes, scope, receive, send)
        else:
            await self.app(scope, receive, send)

    def _matching_routes(self, path: str) -> list[tuple[Route, Client, Effect]]:
        found = [entry for entry in self.routes if entry[0].covers(path)]
        return [entry for entry in found if len(entry[0].prefix) == len(found[0][0].prefix)]

    async def _forward(
        self, routes: list[tuple[Route, Client, Effect]], scope: Scope, receive: Receive, send: Send
    ) -> None:
        fields = dict(scope["headers"])
        method = scope["method"].encode()
        chosen = _select_route(routes, method, bool(fields.get(b"idempotency-key")))
        if chosen is None:
            allowed = sorted({ALLOWED_METHODS[effect] for _, _, effect in routes})
            await _send_response(send, 405, (b"allow", b", ".join(allowed)))
            return
        route, client, effect = chosen
        try:
            body = await _read_body(receive, fields)
            answer = await _answer_or_disconnect(
                client.send(
                    b"GET" if effect is Effect.SAFE else b"POST",
                    _forwarded_target(scope, route),
                    with_service_class(scope["headers"], route.service_class),
                    body,
                ),
                receive,
            )
        except _BodyTooLarge:
            await _send_response(send, 413, (b"connection", b"close"))
        except _Disconnected:
            return
        except BadCall as err:
            await _send_response(send, err.status, body=str(err).encode("latin-1", "replace"))
        except ClientClosed:
            await _send_response(send, 503)
        else:
            await _send_answer(send, answer, method == b"HEAD")


def _select_route(
    routes: list[tuple[Route, Client, Effect]], method: bytes, keyed: bool
) -> tuple[Route, Client, Effect] | None:
    if method in (b"GET", b"HEAD"):
        wanted: tuple[Effect, ...] = (Effect.SAFE,)
    elif method == b"POST":  # the engine rejects a missing or unexpected key, with the reason
        wanted = (Effect.KEYED, Effect.UNSAFE) if keyed else (Effect.UNSAFE, Effect.KEYED)
    else:
        return None
    return next((entry for effect in wanted for entry in routes if entry[2] is effect), None)


def _forwarded_target(scope: Scope, route: Route) -> bytes:
    """The path as received, still percent-encoded, with the prefix replaced if the route has `to`."""
    raw: bytes = scope.get("raw_path") or quote(scope["path"]).encode()
    raw = raw.split(b"?", 1)[0]
    prefix = route.prefix.rstrip("/")
    if route.to is not None:
        quoted = quote(prefix).encode()
        rest = raw[len(quoted) :] if raw.startswith(quoted) else quote(scope["path"][len(prefix) :]).encode()
        raw = quote(route.to.rstrip("/")).encode() + rest or b"/"
    query: bytes = scope.get("query_string", b"")
    return raw + b"?" + query if query else raw


async def _read_body(receive: Receive, fields: dict[bytes, bytes]) -> bytes:
    """The whole body. Raises _BodyTooLarge before it fills the memory, _Disconnected if the caller leaves."""
    stated = fields.get(b"content-length", b"")
    if stated.isdigit() and (len(stated) > 9 or int(stated) > MAX_REQUEST_BODY_BYTES):
        raise _BodyTooLarge
    parts: list[bytes] = []
    size = 0
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            raise _Disconnected
        parts.append(message.get("body", b""))
        size += len(parts[-1])
        if size > MAX_REQUEST_BODY_BYTES:
            raise _BodyTooLarge
        if not message.get("more_body", False):
            return b"".join(parts)


async def _answer_or_disconnect(call: Awaitable[Answer], receive: Receive) -> Answer:
    """The answer. Cancels the call and raises _Disconnected if the caller disconnects first."""
    call_task = asyncio.ensure_future(call)
    disconnect_task = asyncio.ensure_future(_wait_for_disconnect(receive))
    try:
        await asyncio.wait((call_task, disconnect_task), return_when=asyncio.FIRST_COMPLETED)
        if call_task.done():
            return call_task.result()
        raise _Disconnected
    finally:
        for task in (call_task, disconnect_task):
            task.cancel()
        await asyncio.gather(call_task, disconnect_task, return_exceptions=True)


async def _wait_for_disconnect(receive: Receive) -> None:
    while (await receive())["type"] != "http.disconnect":
        pass


async def _send_answer(send: Send, answer: Answer, head_only: bool) -> None:
    if isinstance(answer, Served):
        await _send_response(send, 200, *answer.fields, body=answer.body, head_only=head_only)
    elif isinstance(answer, Refused):
        wait = ((b"retry-after", retry_after_seconds(answer)),) if answer.retry_after_ns else ()
        await _send_response(send, 503, *wait)
    else:
        await _send_response(send, 502)


async def _send_response(
    send: Send, status: int, *fields: tuple[bytes, bytes], body: bytes = b"", head_only: bool = False
) -> None:
    headers = [*fields, (b"content-length", b"%d" % len(body))]
    await send({"type": "http.response.start", "status": status, "headers": headers})
    await send({"type": "http.response.body", "body": b"" if head_only else body})


class _Lifespan:
    """Runs the app's lifespan within the clients'; an app without lifespan support has the clients' alone."""

    def __init__(self, owner: BalancedRoutes, scope: Scope, receive: Receive, send: Send) -> None:
        self.owner, self.scope, self.receive, self.send = owner, scope, receive, send
        self.startup_message: Message | None = None
        self.sent_types: set[str] = set()  # types of the messages that the app has sent

    async def run(self) -> None:
        self.startup_message = await self.receive()
        try:
            await self._start()
        except Exception as err:
            await self._close()
            await self.send({"type": "lifespan.startup.failed", "message": str(err)})
            return
        try:
            await self._run_app()
            if not self.sent_types:
                await self._run_clients_only()
        finally:
            await self._close()

    async def _run_app(self) -> None:
        try:
            await self.owner.app(self.scope, self._receive_for_app, self._send_for_app)
        except Exception:
            if self.sent_types:  # a failure of the app; otherwise it does not support lifespan
                raise

    async def _start(self) -> None:
        for client in self.owner.clients:
            if not client.started:
                await client.start()
                self.owner.started.append(client)

    async def _close(self) -> None:
        clients, self.owner.started = self.owner.started, []
        await asyncio.gather(*(client.aclose() for client in clients))

    async def _receive_for_app(self) -> Message:
        first, self.startup_message = self.startup_message, None
        return first if first is not None else await self.receive()

    async def _send_for_app(self, message: Message) -> None:
        self.sent_types.add(message["type"])
        if message["type"] in (
            "lifespan.shutdown.complete",
            "lifespan.shutdown.failed",
            "lifespan.startup.failed",
        ):
            await self._close()  # after the app's own shutdown, which may still make calls
        await self.send(message)

    async def _run_clients_only(self) -> None:
        await self.send({"type": "lifespan.startup.complete"})
        while (await self.receive())["type"] != "lifespan.shutdown":
            pass
        await self._close()
        await self.send({"type": "lifespan.shutdown.complete"})
