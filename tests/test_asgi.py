"""The ASGI middleware, alone and under Starlette and FastAPI; and the httpx transport."""

from __future__ import annotations

import asyncio
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import fastapi
import httpx
import pytest
from starlette.applications import Starlette
from starlette.middleware import Middleware
from starlette.requests import Request
from starlette.responses import PlainTextResponse, Response
from starlette.routing import Route as StarletteRoute

from minthitch import Client, ClientClosed, Served
from minthitch.asgi import App, BalancedRoutes, Message, Receive, Route, Scope, Send
from minthitch.httpx_transport import BalancedTransport
from rigs.asgi_host import Host, LifespanFailed, hosted
from rigs.caller import Caller
from rigs.servers import PATIENCE, Script, Seen, reply, serve_ok
from tests.embedded import Tier, tier
from tests.test_node import run

ROOT = Path(__file__).parent.parent
ROUTES = [
    Route("/search", "safe"),
    Route("/trips", "keyed"),
    Route("/trips", "safe"),
    Route("/tickets", "unsafe"),
    Route("/search/old", "safe", to="/api/v1"),
]


async def plain(scope: Scope, receive: Receive, send: Send) -> None:
    """An app without a lifespan."""
    assert scope["type"] == "http"
    await send({"type": "http.response.start", "status": 200, "headers": []})
    await send({"type": "http.response.body", "body": b"app", "more_body": True})
    await send({"type": "http.response.body", "body": b" itself"})


class Web:
    """A hosted app, its client and the scripted servers behind it."""

    def __init__(self, host: Host, servers: Tier, client: Client) -> None:
        self.host, self.tier, self.client = host, servers, client

    async def connect(self) -> Caller:
        return Caller(*await asyncio.open_connection("127.0.0.1", self.host.port))

    async def ask(self, method: str, target: str, body: bytes = b"", **fields: str) -> httpx.Response:
        async with httpx.AsyncClient(base_url=f"http://127.0.0.1:{self.host.port}", timeout=PATIENCE) as web:
            headers = {name.replace("_", "-"): value for name, value in fields.items()}
            return await web.request(method, target, content=body or None, headers=headers)


@asynccontextmanager
async def web(
    *scripts: Script, app: App = plain, close_within: float = 3.4, **parts: Any
) -> AsyncIterator[Web]:
    async with tier(*scripts) as servers:
        client = Client(servers.config(**parts), close_within=close_within)
        async with hosted(BalancedRoutes(app, client=client, routes=ROUTES)) as host:
            yield Web(host, servers, client)


async def _routes() -> None:
    async def script(seen: Seen) -> bytes:
        more = "Content-Type: text/x\r\nX-Kept: yes\r\nConnection: close\r\n"
        return reply(200, b"tier " + seen.body, more)

    async with web(script) as w:
        answer = await w.ask("GET", "/search/q?from=a%20b&x=1", x_trace="t1")
        assert (answer.status_code, answer.content) == (200, b"tier ")
        assert answer.headers["content-type"] == "text/x" and answer.headers["x-kept"] == "yes"
        seen = w.tier.sends[-1]
        assert seen.head.startswith(b"GET /search/q?from=a%20b&x=1 HTTP/1.1\r\n")
        assert seen.field("X-Service-Class") == "safe" and seen.field("X-Trace") == "t1"
        assert seen.field("X-Correlation-Id")
        assert (await w.ask("GET", "/search/old/a%2Fb")).status_code == 200
        assert w.tier.sends[-1].head.startswith(b"GET /api/v1/a%2Fb HTTP/1.1\r\n")  # the longest prefix wins
        assert (await w.ask("POST", "/tickets", b"one")).content == b"tier one"
        assert w.tier.sends[-1].field("X-Service-Class") == "unsafe"
        assert (await w.ask("POST", "/trips", b"two", idempotency_key="k")).content == b"tier two"
        assert w.tier.sends[-1].field("X-Service-Class") == "keyed"
        assert (await w.ask("GET", "/trips/1")).status_code == 200  # same prefix, chosen by the method
        assert w.tier.sends[-1].field("X-Service-Class") == "safe"
        count = len(w.tier.sends)
        for target in ("/", "/searching", "/other", "/tick"):
            assert (await w.ask("GET", target)).content == b"app itself"
        assert len(w.tier.sends) == count
        head = await w.ask("HEAD", "/search")
        assert head.status_code == 200 and head.content == b"" and head.headers["content-length"] == "5"


def test_matching_prefixes_go_to_the_tier_and_other_paths_to_the_app() -> None:
    run(_routes)


async def _class_is_the_routes() -> None:
    async with web(serve_ok) as w:
        answer = await w.ask("GET", "/search", x_service_class="unsafe")
        assert answer.status_code == 200
        assert w.tier.sends[0].field("X-Service-Class") == "safe"
        assert w.tier.sends[0].head.lower().count(b"x-service-class") == 1


def test_a_caller_does_not_choose_its_class() -> None:
    run(_class_is_the_routes)


async def _rejected() -> None:
    async with web(serve_ok) as w:
        wrong = await w.ask("POST", "/search", b"x")
        assert wrong.status_code == 405 and wrong.headers["allow"] == "GET, HEAD"
        assert (await w.ask("DELETE", "/trips")).headers["allow"] == "GET, HEAD, POST"
        assert (await w.ask("POST", "/trips", b"x")).status_code == 400  # a keyed class without its key
        assert (await w.ask("POST", "/tickets", b"x", idempotency_key="k")).status_code == 400
        assert (await w.ask("GET", "/search", x_time_left="soon")).status_code == 400
        long = await w.ask("POST", "/tickets", b"x" * 65_537)
        assert long.status_code == 413
        assert (await w.ask("POST", "/tickets", b"x" * 65_536)).status_code == 200
        assert len(w.tier.sends) == 1


def test_invalid_requests_are_rejected() -> None:
    run(_rejected)


async def _chunked() -> None:
    async with web(serve_ok) as w:
        caller = await w.connect()
        caller.writer.write(b"POST /tickets HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n")
        for part in (b"ab", b"cde"):
            caller.writer.write(b"%x\r\n%s\r\n" % (len(part), part))
            await caller.writer.drain()
            await asyncio.sleep(0.02)
        caller.writer.write(b"0\r\n\r\n")
        assert (await caller.answer())[0] == 200
        assert w.tier.sends[0].body == b"abcde" and w.tier.sends[0].field("Transfer-Encoding") is None
        caller.writer.write(b"POST /tickets HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n")
        for _ in range(17):
            caller.writer.write(b"1000\r\n" + b"x" * 4096 + b"\r\n")
        assert (await caller.answer())[0] == 413  # before the whole body has arrived
        assert len(w.tier.sends) == 1


def test_chunked_bodies_are_forwarded_and_those_over_the_limit_are_413() -> None:
    run(_chunked)


async def _outcomes() -> None:
    async def script(seen: Seen) -> bytes:
        return reply(500) if seen.body == b"fail" else reply(503, extra="X-Unprocessed: 1\r\n")

    async with web(script) as w:
        assert (await w.ask("POST", "/tickets", b"fail")).status_code == 502
        refused = await w.ask("POST", "/tickets", b"busy", x_time_left="500m")
        assert refused.status_code == 503 and int(refused.headers["retry-after"]) >= 1


def test_refused_is_503_and_failed_is_502() -> None:
    run(_outcomes)


async def _disconnect() -> None:
    async def never(_seen: Seen) -> None:
        return None

    async with web(never) as w:
        caller = await w.connect()
        caller.writer.write(b"POST /tickets HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\nx")
        await w.tier.servers[0].until(lambda: bool(w.tier.sends))
        caller.writer.close()
        await w.tier.servers[0].until(lambda: w.tier.servers[0].closed == 1)  # its attempt is cancelled
        async with asyncio.timeout(PATIENCE):
            while w.client.held:
                await asyncio.sleep(0.01)
        half = await w.connect()  # a client that disconnects within its body reaches no server
        half.writer.write(b"POST /tickets HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nx")
        await half.writer.drain()
        half.writer.close()
        await asyncio.sleep(0.05)
        assert len(w.tier.sends) == 1


def test_a_disconnect_abandons_the_call() -> None:
    run(_disconnect)


async def _ready() -> None:
    async with tier(serve_ok) as servers:
        client = Client(servers.config(watch=True))
        servers.discovery.hosts = []
        host = Host(BalancedRoutes(plain, client=client, routes=ROUTES))
        assert not client.ready
        await host.start()
        w = Web(host, servers, client)
        await servers.discovery.watches(1)
        async with asyncio.timeout(PATIENCE):
            while (await w.ask("GET", "/ready")).status_code != 200:
                await asyncio.sleep(0.01)
        await host.stop()
        assert not client.ready


def test_ready_is_200_once_the_client_has_servers() -> None:
    run(_ready)


# Lifespan ---------------------------------------------------------------------------------------


class LifespanApp:
    """An app that calls the tier at its startup and shutdown; its startup may fail."""

    def __init__(self, client: Client, fails: str = "") -> None:
        self.client, self.fails = client, fails
        self.answers: list[object] = []

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        if scope["type"] != "lifespan":
            return
        assert (await receive())["type"] == "lifespan.startup"
        self.answers.append(await self.client.call("safe"))
        if self.fails == "startup":
            await send({"type": "lifespan.startup.failed", "message": "no licence"})
            return
        await send({"type": "lifespan.startup.complete"})
        assert (await receive())["type"] == "lifespan.shutdown"
        self.answers.append(await self.client.call("safe"))
        await send({"type": "lifespan.shutdown.complete"})


async def _lifespan() -> None:
    async with tier(serve_ok) as servers:
        client = Client(servers.config())
        app = LifespanApp(client)
        async with hosted(BalancedRoutes(app, client=client, routes=ROUTES)):
            assert client.ready
        # One at the app's startup, one at its shutdown.
        assert [type(answer) for answer in app.answers] == [Served, Served]
        with pytest.raises(ClientClosed):
            await client.call("safe")


def test_clients_are_started_before_the_app_and_closed_after_it() -> None:
    run(_lifespan)


async def _startup_fails() -> None:
    async with tier(serve_ok) as servers:
        client = Client(servers.config())
        host = Host(BalancedRoutes(LifespanApp(client, "startup"), client=client, routes=ROUTES))
        with pytest.raises(LifespanFailed, match="no licence"):
            await host.start()
        with pytest.raises(ClientClosed, match="closed"):
            await client.call("safe")
        second = Host(BalancedRoutes(plain, client=client, routes=ROUTES))
        lifespan = second.lifespan
        async with asyncio.timeout(PATIENCE):
            await lifespan.step("startup")  # a client that was closed before is not started again
            await lifespan.step("shutdown")


def test_a_failed_startup_closes_the_clients() -> None:
    run(_startup_fails)


async def _shutdown_with_held() -> None:
    async def never(_seen: Seen) -> None:
        return None

    async with tier(never) as servers:
        client = Client(servers.config(), close_within=0.5)
        host = Host(BalancedRoutes(plain, client=client, routes=ROUTES))
        await host.start()
        w = Web(host, servers, client)
        asks = [asyncio.ensure_future(w.ask("POST", "/tickets", b"x")) for _ in range(3)]
        await servers.servers[0].until(lambda: len(servers.sends) == 3)
        began = time.monotonic()
        await host.lifespan.step("shutdown")
        assert client.held == 0 and time.monotonic() - began < 0.5 + PATIENCE / 4
        answers = await asyncio.gather(*asks)
        # Each got a response before the host ended.
        assert [answer.status_code for answer in answers] == [502] * 3
        assert (await w.ask("POST", "/tickets", b"x")).status_code == 503  # later requests are refused
        await host.stop_listening()


def test_a_lifespan_shutdown_settles_held_calls() -> None:
    run(_shutdown_with_held)


# Frameworks -------------------------------------------------------------------------------------


async def _starlette() -> None:
    ended: list[str] = []

    @asynccontextmanager
    async def lifespan(_app: Starlette) -> AsyncIterator[None]:
        yield
        ended.append("app")

    async def home(request: Request) -> Response:
        return PlainTextResponse(f"home {request.url.path}")

    async with tier(serve_ok) as servers:
        client = Client(servers.config())
        app = Starlette(
            routes=[StarletteRoute("/home", home)],
            lifespan=lifespan,
            middleware=[Middleware(BalancedRoutes, client=client, routes=ROUTES)],
        )
        async with hosted(app) as host:
            w = Web(host, servers, client)
            assert (await w.ask("GET", "/search")).content == b"done"
            assert (await w.ask("GET", "/home")).content == b"home /home"
            assert (await w.ask("GET", "/nowhere")).status_code == 404
        assert ended == ["app"]
        with pytest.raises(ClientClosed):
            await client.call("safe")


def test_under_starlette() -> None:
    run(_starlette)


async def _fastapi() -> None:
    async with tier(serve_ok) as servers:
        client = Client(servers.config())
        app = fastapi.FastAPI()
        app.add_middleware(BalancedRoutes, client=client, routes=ROUTES)

        @app.get("/home/{number}")
        async def home(number: int) -> dict[str, Any]:
            answer = await client.call("safe", f"/api/{number}")
            assert isinstance(answer, Served)
            return {"number": number, "tier": answer.body.decode()}

        async with hosted(app) as host:
            w = Web(host, servers, client)
            assert (await w.ask("GET", "/home/7")).json() == {"number": 7, "tier": "done"}
            assert (await w.ask("POST", "/tickets", b"x")).content == b"done"


def test_under_fastapi_with_calls_of_its_own() -> None:
    run(_fastapi)


async def _readme(folder: Path) -> None:
    text = (ROOT / "README.md").read_text()
    code = text.split("## Embed it")[1].split("```python\n")[1].split("```")[0]
    async with tier(serve_ok) as servers:
        example = (ROOT / "deploy" / "minthitch.toml").read_text()
        listed = 'servers = ["127.0.0.1:9001", "127.0.0.1:9002"]'
        path = folder / "minthitch.toml"
        path.write_text(example.replace(listed, f'servers = ["{servers.addresses[0]}"]'))
        names: dict[str, Any] = {}
        exec(code.replace("deploy/minthitch.toml", str(path)), names)
        async with hosted(names["app"]) as host:
            w = Web(host, servers, names["client"])
            assert (await w.ask("GET", "/search?from=Lahore")).content == b"done"
            assert (await w.ask("POST", "/tickets", b"one")).content == b"done"
            assert (await w.ask("GET", "/elsewhere")).status_code == 404
            assert (await w.ask("GET", "/ready")).status_code == 200


def test_the_readmes_lines_for_starlette_run(tmp_path: Path) -> None:
    run(_readme, tmp_path)


@pytest.mark.parametrize(
    ("route", "words"),
    [
        (Route("search", "safe"), "does not begin with /"),
        (Route("/search", "none"), "class 'none' is unknown; known are safe, keyed, unsafe"),
    ],
)
def test_an_invalid_route_is_rejected_with_the_reason(route: Route, words: str) -> None:
    async def bad() -> None:
        async with tier(serve_ok) as servers:
            with pytest.raises(ValueError, match=words):
                BalancedRoutes(plain, client=Client(servers.config()), routes=[route])

    run(bad)


async def _two_tiers() -> None:
    async with tier(serve_ok) as one, tier(serve_ok) as two:
        first, second = Client(one.config()), Client(two.config())
        app = BalancedRoutes(
            plain, client=first, routes=[Route("/a", "safe"), Route("/b", "safe", client=second)]
        )
        async with hosted(app) as host:
            w = Web(host, one, first)
            assert (await w.ask("GET", "/a")).status_code == (await w.ask("GET", "/b")).status_code == 200
            assert len(one.sends) == len(two.sends) == 1
        assert not first.ready and not second.ready


def test_routes_may_go_to_several_tiers() -> None:
    run(_two_tiers)


async def _websocket() -> None:
    seen: list[str] = []

    async def app(scope: Scope, receive: Receive, send: Send) -> None:
        seen.append(scope["type"])

    async with tier(serve_ok) as servers:

        async def receive() -> Message:
            return {"type": "websocket.connect"}

        async def send(_message: Message) -> None:
            return None

        middleware = BalancedRoutes(app, client=Client(servers.config()), routes=ROUTES)
        await middleware({"type": "websocket", "path": "/search"}, receive, send)
        assert seen == ["websocket"]


def test_websockets_go_to_the_app() -> None:
    run(_websocket)


# httpx ------------------------------------------------------------------------------------------


async def _transport() -> None:
    async def script(seen: Seen) -> bytes:
        if seen.body == b"fail":
            return reply(500)
        if seen.body == b"busy":
            return reply(503, extra="X-Unprocessed: 1\r\n")
        return reply(200, b'{"a": 1}', "Content-Type: application/json\r\n")

    async with tier(script) as servers:
        client = Client(servers.config())
        transport = BalancedTransport(client, {"GET": "safe", "POST": "unsafe"})
        async with httpx.AsyncClient(transport=transport, base_url="http://fares") as web_client:
            answer = await web_client.get("/fares", params={"from": "a b"})
            assert answer.json() == {"a": 1} and answer.headers["content-type"] == "application/json"
            seen = servers.sends[0]
            assert seen.head.startswith(b"GET /fares?from=a+b HTTP/1.1\r\n") and seen.field("Host") == "fares"
            assert (await web_client.post("/sale", content=b"x")).status_code == 200
            assert (await web_client.post("/sale", content=b"fail")).status_code == 502
            busy = await web_client.post("/sale", content=b"busy", timeout=0.5)
            assert busy.status_code == 503 and int(busy.headers["retry-after"]) >= 1
            keyed = await web_client.post(
                "/trip", content=b"x", headers={"Idempotency-Key": "k"}, extensions={"service_class": "keyed"}
            )
            assert keyed.status_code == 200
            with pytest.raises(httpx.LocalProtocolError, match="unknown X-Service-Class"):
                await web_client.get("/", extensions={"service_class": "none"})
            with pytest.raises(httpx.LocalProtocolError, match="65537 bytes"):
                await web_client.post("/sale", content=b"x" * 65_537)
            with pytest.raises(httpx.UnsupportedProtocol, match="no class for PUT"):
                await web_client.put("/sale", content=b"x")
        with pytest.raises(ClientClosed):
            await client.call("safe")  # the transport started and closed it


def test_the_transport_sends_httpx_requests_to_the_tier() -> None:
    run(_transport)


async def _owner() -> None:
    async with tier(serve_ok) as servers, Client(servers.config()) as client:
        async with httpx.AsyncClient(transport=BalancedTransport(client, "safe"), base_url="http://x") as own:
            assert (await own.get("/")).status_code == 200
        assert isinstance(await client.call("safe"), Served)  # left open for its owner
        await client.aclose()
        async with httpx.AsyncClient(transport=BalancedTransport(client, "safe"), base_url="http://x") as own:
            with pytest.raises(httpx.ConnectError, match="closed"):
                await own.get("/")


def test_the_transport_does_not_close_a_client_that_was_started_before() -> None:
    run(_owner)


async def _timeout() -> None:
    async def never(_seen: Seen) -> bytes | None:
        return None

    async with tier(never) as servers:
        transport = BalancedTransport(Client(servers.config()), "unsafe")
        async with httpx.AsyncClient(transport=transport, base_url="http://x", timeout=0.4) as web_client:
            assert (await web_client.post("/", content=b"x")).status_code == 502
        left = servers.sends[0].field("X-Time-Left")
        # httpx's read timeout is the timeout of the call.
        assert left is not None and int(left[:-1]) <= 400_000


def test_the_httpx_read_timeout_limits_the_call() -> None:
    run(_timeout)


def test_the_transport_rejects_an_unknown_class_when_created() -> None:
    async def bad() -> None:
        async with tier(serve_ok) as servers:
            with pytest.raises(ValueError, match="class 'none' is unknown"):
                BalancedTransport(Client(servers.config()), {"GET": "none"})

    run(bad)
