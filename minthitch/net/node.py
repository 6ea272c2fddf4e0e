"""The host of one Balancer: numbers, timers, the table of attempts, and carrying out its actions.

Decides nothing. Events wait in one queue, so that the Balancer is never entered while it is at work.
"""

from __future__ import annotations

import asyncio
import random
import sys
import time
import traceback
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Any

from minthitch import interface as api
from minthitch.net import discovery
from minthitch.net.callers import BadRequest, Call, Caller, Callers
from minthitch.net.discovery import Listing
from minthitch.net.servers import Attempt, Pool, Server
from minthitch.policy import Balancer

RESERVE = 48  # descriptors for the listener, the watch, files and callers to be turned away
ACCEPT_ON = 0.6  # seconds after SIGTERM in which new connections may still come (0.4 stated)
LAST_ANSWER = 3.4  # seconds after SIGTERM by which all is answered: SIGKILL comes after 3.7 or more
PAUSE_LEAST, PAUSE_MOST = 0.1, 0.5  # seconds before a watch is opened again, before jitter
LOG_LINES = 20  # lines in a second at most: bad input must not fill the log
BACKLOG = 512


@dataclass(frozen=True, slots=True)
class Config:
    name: str
    listen: tuple[str, int]
    discovery: str
    seed: int
    sockets: int
    known: Listing
    settings: api.Settings


class Request:
    """A request that was taken, until it is answered and its last attempt has ended."""

    __slots__ = ("number", "caller", "call", "spec", "deadline", "attempts", "out", "over", "timer")

    def __init__(self, number: int, caller: Caller, call: Call, spec: api.RequestClass,
                 deadline: int) -> None:
        self.number, self.caller, self.call, self.spec, self.deadline = number, caller, call, spec, deadline
        self.attempts: list[Attempt | None] = []  # None: one that never left
        self.out = 0
        self.over = False  # answered, or its caller has gone
        self.timer: asyncio.TimerHandle | None = None


class Node:
    def __init__(self, config: Config) -> None:
        self.config, self.settings = config, config.settings
        self.loop = asyncio.get_running_loop()
        self.balancer = Balancer(config.settings, config.seed)
        self.random = random.Random(config.seed ^ 1)  # for pauses; the Balancer has its own
        self.classes = {spec.name.encode(): i for i, spec in enumerate(config.settings.classes)}
        self.tenants = {t.name.encode(): i for i, t in enumerate(config.settings.tenants)}
        self.zones = {name: i for i, name in enumerate(config.settings.zones)}
        self.kinds = {name: i for i, name in enumerate(config.settings.kinds)}
        half = max((config.sockets - RESERVE) // 2, 1)
        self.pool = Pool(config.settings, half)
        self.callers = Callers(self, half, half + RESERVE // 2)
        self.client = self._client()
        self.events: deque[api.Event] = deque()
        self.pumping = False
        self.requests: dict[int, Request] = {}
        self.by_caller: dict[Caller, Request] = {}
        self.ids: set[bytes] = set()  # the ids of the requests that are open
        self.servers: dict[str, Server] = {}
        self.addresses: dict[int, Server] = {}
        self.next_request = self.next_server = 1
        self.seq, self.have_list, self.listening, self.draining = 0, False, False, False
        self.leaving = 0  # after SIGTERM: by when all is to be answered
        self.tasks: set[asyncio.Task[None]] = set()
        self.watching: asyncio.Task[None] | None = None
        self.listener: asyncio.Server | None = None
        self.finished = asyncio.Event()
        self.log_second, self.log_lines = 0, 0

    # Start and end ------------------------------------------------------------------------------

    async def start(self) -> None:
        self._listed(self.config.known, api.ListKind.CACHED)
        self.have_list = bool(self.servers)
        if not self.settings.ask_for_list:
            self._start_watch()
        host, port = self.config.listen
        self.listener = await self.loop.create_server(
            lambda: Caller(self.callers), host, port, backlog=BACKLOG)
        self.listening = True

    def reload(self, config: Config) -> None:
        """Takes the new discovery; all else of a configuration belongs to the process."""
        self.config = replace(self.config, discovery=config.discovery)
        self.log(f"configuration read again: discovery is {config.discovery}")
        self.client = self._client()
        self.seq = 0  # danger: another discovery counts for itself; the old list stays till the new one comes
        if self.watching is not None:
            self.watching.cancel()
        self._start_watch()

    def _client(self) -> discovery.Client:
        asked = self.settings.ask_for_list  # one service for all nodes then, with a queue
        return discovery.Client(self.config.discovery,
                                discovery.CALL_TIMEOUT if asked else discovery.HEAD_TIMEOUT)

    def _start_watch(self) -> None:
        self.watching = self._spawn(
            self._watch_once() if self.settings.ask_for_list else self._keep_watching())

    @property
    def port(self) -> int:
        assert self.listener is not None
        return int(self.listener.sockets[0].getsockname()[1])

    def drain(self) -> None:
        """SIGTERM: what has come, and still comes for a while, is answered; then the node ends."""
        if not self.leaving:
            self.leaving = time.monotonic_ns() + int(LAST_ANSWER * api.SECOND)
            self.draining = True
            self.loop.call_later(ACCEPT_ON, self._stop_accepting)
            self.loop.call_later(LAST_ANSWER, self._answer_all)

    def _answer_all(self) -> None:
        """Danger: SIGKILL would lose what is still open."""
        for request in list(self.by_caller.values()):
            self._out_of_time(request)

    def _stop_accepting(self) -> None:
        self.listening = False
        if self.listener is not None:
            self.listener.close()
        self.callers.stop_idle()
        self._check_finished()

    def _check_finished(self) -> None:
        if self.draining and not self.listening and not self.callers.all and not self.by_caller:
            self.finished.set()

    async def stop(self) -> None:
        if self.listener is not None:
            self.listener.close()
        self.callers.close()
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        self.pool.close()

    def _spawn(self, work: Any) -> asyncio.Task[None]:
        task: asyncio.Task[None] = self.loop.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self._reap)
        return task

    def _reap(self, task: asyncio.Task[None]) -> None:
        self.tasks.discard(task)
        if not task.cancelled() and (err := task.exception()) is not None:
            self.log_error("a task failed", err)

    def log(self, text: str) -> None:
        second = int(self.loop.time())
        if second != self.log_second:
            if self.log_lines > LOG_LINES:
                print(f"{self.config.name}: {self.log_lines - LOG_LINES} lines left out", file=sys.stderr)
            self.log_second, self.log_lines = second, 0
        self.log_lines += 1
        if self.log_lines <= LOG_LINES:
            print(f"{self.config.name}: {text}", file=sys.stderr, flush=True)

    def log_error(self, what: str, err: BaseException) -> None:
        self.log(f"{what}: {''.join(traceback.format_exception(err)).strip()}")

    # Events and actions -------------------------------------------------------------------------

    def post(self, event: api.Event) -> None:
        self.events.append(event)
        if self.pumping:  # danger: the Balancer is at work and keeps its actions in one list
            return
        self.pumping = True
        try:
            while self.events:
                self._handle(self.events.popleft())
        finally:
            self.pumping = False

    def _handle(self, event: api.Event) -> None:
        try:
            actions = self.balancer.handle(time.monotonic_ns(), event)
        except Exception as err:  # danger: one bad decision must not leave its caller unanswered
            self.log_error(f"the decisions failed on {type(event).__name__}", err)
            number = getattr(event, "request", None)
            if number is not None and (request := self.requests.get(number)):
                self._give_up(request)
            return
        for action in actions:
            try:
                self._act(action)
            except Exception as err:
                self.log_error(f"{type(action).__name__} failed", err)

    def _act(self, action: api.Action) -> None:
        if isinstance(action, api.Send):
            self._send(action)
        elif isinstance(action, api.Cancel):
            self._cancel(action)
        elif isinstance(action, (api.Refuse, api.Fail)):
            self._settle(action)
        elif isinstance(action, api.SetTimer):
            self._arm(time.monotonic_ns() + action.delay, lambda: self.post(api.TimerFired(action.token)))
        elif isinstance(action, api.Subscribe):
            if self.watching is None or self.watching.done():
                self._start_watch()
        elif isinstance(action, api.Refresh):
            self._spawn(self._refresh())
        elif isinstance(action, api.HangUp):
            if server := self.addresses.get(action.server):
                self.pool.hang_up(server)
        elif isinstance(action, api.Log):
            self.log(action.text)
        else:
            self.log(f"not carried out: {type(action).__name__}")

    def _arm(self, when: int, call: Callable[[], None]) -> asyncio.TimerHandle:
        """Calls at or after `when`."""
        delay = max(when - time.monotonic_ns(), 0) / api.SECOND
        return self.loop.call_later(delay, self._due, when, call)

    def _due(self, when: int, call: Callable[[], None]) -> None:
        # Danger: the loop rounds to milliseconds; a timer that comes early is ignored, and none follows.
        if time.monotonic_ns() < when:
            self.loop.call_later(0.001, self._due, when, call)
        else:
            call()

    # Requests -----------------------------------------------------------------------------------

    def left(self, caller: Caller) -> None:
        if (request := self.by_caller.get(caller)) is not None:
            self._over(request)
            self.post(api.RequestGone(request.number))
        self._check_finished()

    def ready(self) -> bool:
        return self.listening and self.have_list and not self.leaving

    def check(self, call: Call) -> None:
        """Turns away what no server could use, by its head."""
        cls = self.classes.get(call.fields.get(b"x-service-class", b""))
        if cls is None or not call.fields.get(b"x-correlation-id"):
            raise BadRequest(400, "no X-Correlation-Id" if cls is not None else "unknown X-Service-Class")
        effect = self.settings.classes[cls].effect
        if (call.method == b"GET") != (effect is api.Effect.SAFE):
            raise BadRequest(400, "the method does not fit the class")
        # Danger: a keyed request without its key could be repeated by no server.
        if bool(call.fields.get(b"idempotency-key")) != (effect is api.Effect.KEYED):
            raise BadRequest(400, "Idempotency-Key does not fit the class")
        call.time_left()
        call.cost()

    def take(self, caller: Caller, call: Call) -> None:
        now, identity = time.monotonic_ns(), call.fields[b"x-correlation-id"]
        if identity in self.ids:  # danger: servers would take the two for one
            raise BadRequest(409, "the id of an open request")
        cls = self.classes[call.fields[b"x-service-class"]]
        spec = self.settings.classes[cls]
        left, key, cost = call.time_left(), call.key(), call.cost()
        full = caller.surplus or 0 < self.settings.max_open <= len(self.by_caller)
        if full:
            raise BadRequest(503, "too many requests are open")
        # One that was pipelined has waited since its last byte came.
        deadline = (call.heard or now) + min(spec.deadline if left is None else left, spec.deadline)
        if self.leaving:  # the decisions then end it in time, by a refusal where that is harmless
            deadline = min(deadline, self.leaving)
        tenant = self.tenants.get(call.fields.get(b"x-account", b""), len(self.tenants))
        request = Request(self.next_request, caller, call, spec, deadline)
        self.next_request += 1
        self.requests[request.number] = self.by_caller[caller] = request
        self.ids.add(identity)
        request.timer = self._arm(deadline, lambda: self._out_of_time(request))
        self.post(api.RequestArrived(request.number, cls, deadline, tenant, key, cost,
                                     call.fields.get(b"x-repeat") == b"1"))

    def _out_of_time(self, request: Request) -> None:
        for attempt in request.attempts:
            if attempt is not None:
                attempt.end(api.Status.TIMEOUT)
        if not request.over:  # danger: a request that the Balancer still holds would never be answered
            self._give_up(request)
        self._forget(request)

    def _give_up(self, request: Request) -> None:
        """A failure, where no decision came: it promises nothing."""
        self._answer(request, 502)
        for attempt in request.attempts:
            if attempt is not None:
                attempt.end(api.Status.CANCELLED)
        self.post(api.RequestGone(request.number))

    def _settle(self, action: api.Refuse | api.Fail) -> None:
        request = self.requests.get(action.request)
        if request is None or request.over:
            return
        if isinstance(action, api.Fail):
            self._answer(request, 502)
            return
        pause = min(action.retry_after, self.settings.max_retry_after) if self.settings.retry_after else 0
        self._answer(request, 503, retry_after=pause)

    def _answer(self, request: Request, status: int, body: bytes = b"", content_type: bytes = b"",
                retry_after: int = 0) -> None:
        if request.over:  # danger: a second answer would pass for the next request's
            return
        self._over(request)
        if request.caller.current is request.call:  # danger: the answer must not meet another request
            request.caller.answer(status, body, content_type, retry_after)

    def _over(self, request: Request) -> None:
        request.over = True
        if self.by_caller.get(request.caller) is request:
            del self.by_caller[request.caller]
            self.ids.discard(request.call.fields[b"x-correlation-id"])
        self._forget(request)

    def _forget(self, request: Request) -> None:
        if request.over and not request.out and request.timer is not None:
            self.requests.pop(request.number, None)
            request.timer.cancel()

    # Attempts -----------------------------------------------------------------------------------

    def _send(self, action: api.Send) -> None:
        request, server = self.requests.get(action.request), self.addresses.get(action.server)
        if request is None:
            self.log(f"a send for request {action.request}, which is over")
            return
        index = len(request.attempts)
        if server is None or index >= self.settings.max_attempts or not self._may_write(request, server):
            request.attempts.append(None)
            self.post(api.AttemptEnded(request.number, index, action.server, api.Status.MOOT, 0,
                                       request.over))
            return
        attempt = Attempt(server, lambda: self._bytes(request), lambda: self._may_write(request, server),
                          lambda a: self._ended(request, index, a), request.spec.effect is api.Effect.UNSAFE)
        request.attempts.append(attempt)
        request.out += 1
        if action.timeout > 0:
            attempt.timer = self._arm(attempt.started + action.timeout,
                                      lambda: attempt.end(api.Status.TIMEOUT))
        self.pool.start(attempt)

    def _may_write(self, request: Request, server: Server) -> bool:
        """Whether bytes of the request may still go to the server, now."""
        now = time.monotonic_ns()
        drained = server.told and now >= server.told + self.settings.drain_grace
        return not request.over and now < request.deadline and not drained

    @staticmethod
    def _bytes(request: Request) -> bytes:
        call = request.call
        left = max(request.deadline - time.monotonic_ns(), 0) // 1_000
        head = b"%s %s HTTP/1.1\r\n%sX-Time-Left: %du\r\n" % (
            call.method, call.target, b"".join(call.head), left)
        if call.body or call.method != b"GET":
            head += b"Content-Length: %d\r\n" % len(call.body)
        return head + b"\r\n" + call.body

    def _ended(self, request: Request, index: int, attempt: Attempt) -> None:
        assert attempt.status is not None
        request.out -= 1
        if attempt.status is api.Status.OK and not request.over:
            self._answer(request, 200, attempt.body, attempt.content_type)
        event = api.AttemptEnded(request.number, index, attempt.server.number, attempt.status,
                                 time.monotonic_ns() - attempt.started, request.over)
        self._forget(request)
        self.post(event)

    def _cancel(self, action: api.Cancel) -> None:
        request = self.requests.get(action.request)
        if request is not None and action.attempt < len(request.attempts):
            attempt = request.attempts[action.attempt]
            if attempt is not None:
                attempt.end(api.Status.CANCELLED)

    # Discovery ----------------------------------------------------------------------------------

    async def _keep_watching(self) -> None:
        """Push: the list comes unasked, over a watch that is opened again whenever it ends."""
        pause = PAUSE_LEAST
        while True:
            before = self.seq
            await self._watch()
            pause = PAUSE_LEAST if self.seq != before else min(2 * pause, PAUSE_MOST)
            await asyncio.sleep(pause * self.random.uniform(0.5, 1.5))  # or all nodes would come at once

    async def _watch(self) -> None:
        client = self.client
        try:
            if not self.seq:  # in full: what a watch tells first may leave out what is gone
                self._heard(await client.fetch())
            await client.watch(self.seq, self._heard)
        except discovery.DiscoveryError as err:
            self.log(f"watch: {err}")

    async def _watch_once(self) -> None:
        """Ask: the Balancer decides when to subscribe again."""
        await self._watch()
        self.watching = None
        self.post(api.ListUpdate(api.ListKind.FAILED))

    async def _refresh(self) -> None:
        try:
            self._heard(await self.client.fetch())
        except discovery.DiscoveryError as err:
            self.log(f"list: {err}")
            if self.settings.ask_for_list:
                self.post(api.ListUpdate(api.ListKind.FAILED))

    def _heard(self, listing: Listing) -> None:
        self._listed(listing, api.ListKind.FULL if listing.whole else api.ListKind.CHANGES)
        self.have_list = True

    def _listed(self, listing: Listing, kind: api.ListKind) -> None:
        entries = [entry for host in listing.hosts if (entry := self._entry(host))]
        if kind is not api.ListKind.CHANGES:
            named = {host.name for host in listing.hosts}
            for name in [name for name in self.servers if name not in named]:
                self._gone(name)
        self.seq = listing.seq
        self.post(api.ListUpdate(kind, tuple(entries)))

    def _entry(self, host: discovery.Host) -> api.ServerEntry | None:
        if host.state == "removed":
            server = self._gone(host.name)
            return api.ServerEntry(server.number, api.State.GONE) if server else None
        known = self.servers.get(host.name)
        number, started = self._identity(known, host)
        entry = api.ServerEntry(
            number, api.State.DRAINING if host.state == "draining" else api.State.READY,
            self.zones.setdefault(host.zone, len(self.zones)), host.cell,
            self.kinds.setdefault(host.kind, len(self.kinds)), started, host.weight)
        now_at = (host.address, host.port, host.born_ms)
        if known is None or (known.host, known.port, known.born_ms) != now_at:
            if known is not None:  # danger: kept connections lead to a process that is no more
                known.retired = True
                self.pool.hang_up(known)
            known = Server(host.name, number, host.address, host.port, host.born_ms, entry)
            self.servers[host.name] = self.addresses[number] = known
        known.entry = entry
        if host.state == "draining":
            self._tell(known)
        else:
            known.told = 0
        return entry

    def _identity(self, known: Server | None, host: discovery.Host) -> tuple[int, int]:
        """Number and start on the module's clock, the same as long as the start is the same."""
        number = self.next_server if known is None else known.number
        self.next_server += known is None
        if not host.born_ms or (known is not None and known.born_ms == host.born_ms):
            return number, known.entry.started if known is not None and host.born_ms else 0
        started = time.monotonic_ns() - (time.time_ns() - host.born_ms * api.MILLISECOND)
        return number, started or 1  # 0 would mean long ago

    def _tell(self, server: Server) -> None:
        server.told = server.told or time.monotonic_ns()
        self.pool.hang_up(server)

    def _gone(self, name: str) -> Server | None:
        server = self.servers.pop(name, None)
        if server is not None:
            self._tell(server)
            self.addresses.pop(server.number, None)
        return server
