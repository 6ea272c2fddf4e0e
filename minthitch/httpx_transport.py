"""A transport for httpx: `httpx.AsyncClient(transport=BalancedTransport(client, "search"))`.

Needs the extra `httpx`. Refused and failed calls become responses 503 and 502, as from the daemon; the
transport resends nothing.
"""

from __future__ import annotations

from collections.abc import Mapping
from types import TracebackType
from typing import Self

import httpx

from minthitch.embedded.client import Client
from minthitch.embedded.errors import BadCall, ClientClosed
from minthitch.embedded.requests import retry_after_seconds, with_service_class
from minthitch.engine.calls import Refused, Served


class BalancedTransport(httpx.AsyncBaseTransport):
    """Sends the requests of an httpx client through `client`; the host in the URL does not choose the server.

    `service_class`: the class of all requests, or one for each method. `extensions={"service_class": NAME}`
    sets it for one request. httpx's read timeout is the timeout of the call. The client is started and
    closed with the transport unless it was started before.
    """

    def __init__(self, client: Client, service_class: str | Mapping[str, str]) -> None:
        names = [service_class] if isinstance(service_class, str) else list(service_class.values())
        known = [spec.name for spec in client.settings.classes]
        for name in names:
            if name not in known:
                raise ValueError(f"class {name!r} is unknown; known are {', '.join(known)}")
        self.client, self.service_class = client, service_class
        self._owned = False

    async def __aenter__(self) -> Self:
        await self._start()
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None = None,
        err: BaseException | None = None,
        trace: TracebackType | None = None,
    ) -> None:
        await self.aclose()

    async def _start(self) -> None:
        if not self.client.started:
            await self.client.start()
            self._owned = True

    async def aclose(self) -> None:
        if self._owned:
            await self.client.aclose()

    def _class(self, request: httpx.Request) -> str:
        named = request.extensions.get("service_class")
        if named is not None:
            return str(named)
        if isinstance(self.service_class, str):
            return self.service_class
        if request.method not in self.service_class:
            raise httpx.UnsupportedProtocol(f"no class for {request.method}", request=request)
        return self.service_class[request.method]

    async def handle_async_request(self, request: httpx.Request) -> httpx.Response:
        """Raises httpx.LocalProtocolError for an invalid call, ConnectError when the client is closed."""
        await self._start()
        fields = with_service_class(request.headers.raw, self._class(request))
        timeout = request.extensions.get("timeout", {}).get("read")
        try:
            answer = await self.client.send(
                request.method.encode(), request.url.raw_path, fields, await request.aread(), timeout
            )
        except BadCall as err:
            raise httpx.LocalProtocolError(str(err), request=request) from err
        except ClientClosed as err:
            raise httpx.ConnectError(str(err), request=request) from err
        if isinstance(answer, Served):
            return httpx.Response(200, headers=list(answer.fields), content=answer.body, request=request)
        if isinstance(answer, Refused):
            wait = {b"Retry-After": retry_after_seconds(answer)} if answer.retry_after_ns else {}
            return httpx.Response(503, headers=wait, request=request)
        return httpx.Response(502, request=request)
