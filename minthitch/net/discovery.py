"""Service discovery over HTTP/1.1: fetches the server list and watches it, as the engine's source of lists.

Discovery either pushes every change (push mode) or sends lists only on request (on-demand mode, the setting
`ask_for_list`).
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Coroutine
from typing import Any, cast

import httptools

from minthitch.engine.core import Engine
from minthitch.interface import SECOND, ListKind
from minthitch.listing import ListError, Listing, decode, parse_address

RETRIES_PER_GRACE = 6  # in push mode, calls are started this often within a drain's grace period,
MIN_RETRY_S, MAX_RETRY_S = 0.05, 0.25  # but no closer together and no further apart than this
MAX_LINE_BYTES = 8 * 1024 * 1024
# Seconds without data after which a watch is dead; discovery sends an empty line every 2 s.
WATCH_SILENCE_S = 3.5
FETCH_TIMEOUT_S = 5.0  # time for fetching the list
HEAD_TIMEOUT_S = 2.0  # push mode: time for connecting and for the head of the response


class DiscoveryCall(asyncio.Protocol):
    """One GET to discovery: either a complete response, or a watch that delivers one line at a time."""

    def __init__(self, target: str, authority: str, on_line: Callable[[bytes], None] | None) -> None:
        self.request = f"GET {target} HTTP/1.1\r\nHost: {authority}\r\n\r\n".encode()
        self.on_line = on_line
        self.parser = httptools.HttpResponseParser(self)
        self.buffer = bytearray()
        self.last_data_at = asyncio.get_running_loop().time()
        self.head: asyncio.Future[int] = asyncio.get_running_loop().create_future()
        self.ended: asyncio.Future[bytes] = asyncio.get_running_loop().create_future()
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.transport.write(self.request)

    def data_received(self, data: bytes) -> None:
        self.last_data_at = asyncio.get_running_loop().time()
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError as err:
            cause = err.__context__ or err
            self._fail(cause if isinstance(cause, ListError) else ListError(f"malformed response: {err}"))

    def on_headers_complete(self) -> None:
        if not self.head.done():
            self.head.set_result(self.parser.get_status_code())

    def on_body(self, part: bytes) -> None:
        self.buffer += part
        if len(self.buffer) > MAX_LINE_BYTES:
            raise ListError("the list is too long")
        if self.on_line is None or self.parser.get_status_code() != 200:
            return
        *lines, rest = self.buffer.split(b"\n")
        self.buffer = rest
        for line in lines:
            if line.strip():
                self.on_line(bytes(line))

    def on_message_complete(self) -> None:
        if not self.ended.done():
            self.ended.set_result(bytes(self.buffer))

    def connection_lost(self, exc: Exception | None) -> None:
        self._fail(ListError(f"connection lost ({exc or 'closed'})"))

    def _fail(self, err: ListError) -> None:
        for future in (self.head, self.ended):
            if not future.done():
                future.set_exception(err)
                future.exception()  # marks it as retrieved: nobody may be waiting for it any more
        if self.transport is not None:
            self.transport.abort()


class Client:
    """Calls discovery at one address.

    A call without a response after `hedge_after_s` seconds gets a second one beside it, which is replaced
    each further `hedge_after_s` seconds; None: no second call.
    """

    def __init__(
        self, address: str, head_timeout: float = HEAD_TIMEOUT_S, hedge_after_s: float | None = None
    ) -> None:
        self.authority, self.head_timeout, self.hedge_after_s = address, head_timeout, hedge_after_s
        self.host, self.port = parse_address(address)
        self.call: DiscoveryCall | None = None  # the current or the last watch

    async def _open(self, target: str, on_line: Callable[[bytes], None] | None) -> DiscoveryCall:
        """Returns a call whose head has arrived with status 200. Raises ListError.

        A call sent while discovery was unresponsive may stay unanswered after it recovers, and changes count
        as announced from then on: hence the second call. The first call stays open in case discovery is only
        slow.
        """
        loop = asyncio.get_running_loop()
        calls = [loop.create_task(self._call(target, on_line))]
        try:
            while True:
                done, _ = await asyncio.wait(
                    calls, timeout=self.hedge_after_s, return_when=asyncio.FIRST_COMPLETED
                )
                if done:
                    first = done.pop()
                    calls.remove(first)
                    return first.result()
                if len(calls) > 1:
                    _discard(calls.pop())
                calls.append(loop.create_task(self._call(target, on_line)))
        finally:
            for task in calls:
                _discard(task)

    async def _call(self, target: str, on_line: Callable[[bytes], None] | None) -> DiscoveryCall:
        call = DiscoveryCall(target, self.authority, on_line)
        try:
            async with asyncio.timeout(self.head_timeout):
                await asyncio.get_running_loop().create_connection(lambda: call, self.host, self.port)
                status = await call.head
            if status != 200:
                raise ListError(f"answered {status}")
        except (OSError, TimeoutError) as err:
            call._fail(ListError("no response"))
            raise ListError(f"no response ({type(err).__name__})") from None
        except BaseException:
            call._fail(ListError("call cancelled"))
            raise
        return call

    async def fetch(self) -> Listing:
        """Fetches the complete list."""
        call = await self._open("/v1/endpoints", None)
        try:
            async with asyncio.timeout(FETCH_TIMEOUT_S):
                return decode(await call.ended)
        except TimeoutError:
            raise ListError("no response (TimeoutError)") from None
        finally:
            call._fail(ListError("done"))

    async def watch(self, after: int, on_listing: Callable[[Listing], None]) -> None:
        """Passes each change to `on_listing` until the watch ends.

        A silent connection is given up: it would not report a drain, and nothing else would end it.
        """
        call = await self._open(f"/v1/endpoints?watch=1&after={after}", lambda line: on_listing(decode(line)))
        self.call = call
        loop = asyncio.get_running_loop()
        try:
            while not call.ended.done():
                if (remaining := call.last_data_at + WATCH_SILENCE_S - loop.time()) <= 0:
                    raise ListError("the watch sent nothing for too long")
                await asyncio.wait([call.ended], timeout=remaining)
            await call.ended
        finally:
            call._fail(ListError("done"))


def _discard(task: asyncio.Task[DiscoveryCall]) -> None:
    """Cancels a call, or closes it if it was answered at the same moment and would stay open."""
    if not task.cancel() and not task.cancelled() and task.exception() is None:
        task.result()._fail(ListError("another call was answered first"))


class Discovery:
    """Keeps the engine's server list up to date. In on-demand mode the Balancer decides when to subscribe."""

    def __init__(self, address: str, engine: Engine, seed: int) -> None:
        self.engine, self.on_demand = engine, engine.settings.ask_for_list
        self.loop = asyncio.get_running_loop()
        self.random = random.Random(seed)
        grace = engine.settings.drain_grace / SECOND
        self.retry_interval_s = min(max(grace / RETRIES_PER_GRACE, MIN_RETRY_S), MAX_RETRY_S)  # in push mode
        self.client = self._client(address)
        # Sequence number of the last list or change received; 0 means that a full list is needed.
        self.seq = 0
        self.last_error = ""  # last logged failure of the watch, if no list has arrived since
        self.tasks: set[asyncio.Task[None]] = set()
        self.watch_task: asyncio.Task[None] | None = None

    def _client(self, address: str) -> Client:
        # On-demand discovery is one service for all nodes, with a queue, so calls are made one at a time.
        return (
            Client(address, FETCH_TIMEOUT_S)
            if self.on_demand
            else Client(address, hedge_after_s=self.retry_interval_s)
        )

    def start(self) -> None:
        """In push mode starts the watch at once; in on-demand mode waits for the Balancer to subscribe."""
        self.seq = self.engine.server_table.seq
        if not self.on_demand and self.watch_task is None:
            self._start_watch()

    def change_address(self, address: str) -> None:
        """Switches to another discovery address; the old list stays in use until the new one arrives."""
        self.client = self._client(address)
        self.seq = 0  # another discovery has its own numbering
        if self.watch_task is not None:
            self.watch_task.cancel()
        self._start_watch()

    @property
    def last_heard_at(self) -> float:
        """When the watch last received data, in the loop's seconds; 0 for never."""
        return self.client.call.last_data_at if self.seq and self.client.call is not None else 0.0

    def subscribe(self) -> None:
        if self.watch_task is None or self.watch_task.done():
            self._start_watch()

    def refresh(self) -> None:
        self._spawn(self._refresh())

    async def close(self) -> None:
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    def _start_watch(self) -> None:
        self.watch_task = self._spawn(self._watch_once() if self.on_demand else self._keep_watching())

    def _spawn(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        task = self.loop.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self._on_task_done)
        return task

    def _on_task_done(self, task: asyncio.Task[None]) -> None:
        self.tasks.discard(task)
        if not task.cancelled() and (err := task.exception()) is not None:
            self.engine.log_error("discovery task failed", err)

    async def _keep_watching(self) -> None:
        """Push mode: reopens the watch whenever it ends.

        A drain's grace period runs from when discovery knows of it, whether or not a watch is open. So the
        pause between attempts doesn't grow: it would use up the grace period.
        """
        while True:
            await self._watch()
            # Randomized, or all nodes would reconnect at once.
            await asyncio.sleep(self.retry_interval_s * self.random.uniform(0.5, 1.0))

    async def _watch(self) -> None:
        client = self.client
        try:
            if not self.seq:  # a full list: the first line of a watch may leave out removed servers
                self._on_listing(await client.fetch())
            await client.watch(self.seq, self._on_listing)
        except ListError as err:
            if str(err) != self.last_error:  # while discovery is down the same error would fill the log
                self.engine.log(f"watch: {err}")
            self.last_error = str(err)

    async def _watch_once(self) -> None:
        """On-demand mode: one watch; the Balancer decides when to subscribe again."""
        await self._watch()
        self.watch_task = None
        self.engine.list_failed()

    async def _refresh(self) -> None:
        try:
            self._on_listing(await self.client.fetch())
        except ListError as err:
            self.engine.log(f"list: {err}")
            if self.on_demand:
                self.engine.list_failed()

    def _on_listing(self, listing: Listing) -> None:
        self.seq, self.last_error = listing.seq, ""
        self.engine.listed(listing, ListKind.FULL if listing.whole else ListKind.CHANGES)
