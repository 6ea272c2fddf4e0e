"""Discovery over HTTP/1.1: the list of servers and its watch, as the engine's source of lists."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Coroutine
from typing import Any, cast

import httptools

from minthitch.engine.core import Engine
from minthitch.interface import SECOND, ListKind
from minthitch.listing import ListError, Listing, decode, parse_address

BLIND_PART = 6  # where lists are pushed, calls begin so often within the grace of a drain,
BLIND_LEAST, BLIND_MOST = 0.05, 0.25  # but at least and at most so many seconds apart
MOST_LINE = 8 * 1024 * 1024
SILENCE = 3.5  # seconds after which a watch is dead: an empty line is due every 2 s
CALL_TIMEOUT = 5.0  # a call for the list takes no longer
HEAD_TIMEOUT = 2.0  # nor do a connection to discovery and the head of an answer where lists are pushed


class Call(asyncio.Protocol):
    """One GET to discovery: a whole answer, or a watch that gives a line at a time."""

    def __init__(self, target: str, authority: str, on_line: Callable[[bytes], None] | None) -> None:
        self.request = f"GET {target} HTTP/1.1\r\nHost: {authority}\r\n\r\n".encode()
        self.on_line = on_line
        self.parser = httptools.HttpResponseParser(self)
        self.buffer = bytearray()
        self.heard = asyncio.get_running_loop().time()
        self.headed: asyncio.Future[int] = asyncio.get_running_loop().create_future()
        self.ended: asyncio.Future[bytes] = asyncio.get_running_loop().create_future()
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.transport.write(self.request)

    def data_received(self, data: bytes) -> None:
        self.heard = asyncio.get_running_loop().time()
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError as err:
            cause = err.__context__ or err
            self._fail(cause if isinstance(cause, ListError) else ListError(f"bad answer: {err}"))

    def on_headers_complete(self) -> None:
        if not self.headed.done():
            self.headed.set_result(self.parser.get_status_code())

    def on_body(self, part: bytes) -> None:
        self.buffer += part
        if len(self.buffer) > MOST_LINE:
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
        self._fail(ListError(f"the connection ended ({exc or 'closed'})"))

    def _fail(self, err: ListError) -> None:
        for future in (self.headed, self.ended):
            if not future.done():
                future.set_exception(err)
                future.exception()  # read here: nobody may be waiting for it any more
        if self.transport is not None:
            self.transport.abort()


class Client:
    """Calls discovery at one address.

    A call without an answer after `again` seconds gets others beside it, one at a time; None: none.
    """

    def __init__(self, address: str, head_timeout: float = HEAD_TIMEOUT, again: float | None = None) -> None:
        self.authority, self.head_timeout, self.again = address, head_timeout, again
        self.host, self.port = parse_address(address)
        self.call: Call | None = None  # the watch that is open, or was last

    async def _open(self, target: str, on_line: Callable[[bytes], None] | None) -> Call:
        """A call that is answered with 200; its head has come. Raises ListError.

        Danger: a call that meets silence may stay unanswered when discovery speaks again, and what it tells
        from then on counts. The first is waited for all the same, for a discovery that is slow.
        """
        loop = asyncio.get_running_loop()
        begun = [loop.create_task(self._call(target, on_line))]
        try:
            while True:
                done, _ = await asyncio.wait(begun, timeout=self.again, return_when=asyncio.FIRST_COMPLETED)
                if done:
                    answered = done.pop()
                    begun.remove(answered)
                    return answered.result()
                if len(begun) > 1:
                    _let_go(begun.pop())
                begun.append(loop.create_task(self._call(target, on_line)))
        finally:
            for task in begun:
                _let_go(task)

    async def _call(self, target: str, on_line: Callable[[bytes], None] | None) -> Call:
        call = Call(target, self.authority, on_line)
        try:
            async with asyncio.timeout(self.head_timeout):
                await asyncio.get_running_loop().create_connection(lambda: call, self.host, self.port)
                status = await call.headed
            if status != 200:
                raise ListError(f"answered {status}")
        except (OSError, TimeoutError) as err:
            call._fail(ListError("no answer"))
            raise ListError(f"no answer ({type(err).__name__})") from None
        except BaseException:
            call._fail(ListError("given up"))
            raise
        return call

    async def fetch(self) -> Listing:
        """The whole list."""
        call = await self._open("/v1/endpoints", None)
        try:
            async with asyncio.timeout(CALL_TIMEOUT):
                return decode(await call.ended)
        except TimeoutError:
            raise ListError("no answer (TimeoutError)") from None
        finally:
            call._fail(ListError("done"))

    async def watch(self, after: int, on_listing: Callable[[Listing], None]) -> None:
        """Gives each change to `on_listing` until the watch ends.

        Danger: a connection that has fallen silent tells of no drain, and nothing else ends it.
        """
        call = await self._open(f"/v1/endpoints?watch=1&after={after}", lambda line: on_listing(decode(line)))
        self.call = call
        loop = asyncio.get_running_loop()
        try:
            while not call.ended.done():
                if (left := call.heard + SILENCE - loop.time()) <= 0:
                    raise ListError("the watch fell silent")
                await asyncio.wait([call.ended], timeout=left)
            await call.ended
        finally:
            call._fail(ListError("done"))


def _let_go(task: asyncio.Task[Call]) -> None:
    """Danger: one that was answered in the same moment would stay open."""
    if not task.cancel() and not task.cancelled() and task.exception() is None:
        task.result()._fail(ListError("another was answered first"))


class Discovery:
    """Keeps an engine's list by a watch; where lists are asked for, the Balancer says when."""

    def __init__(self, address: str, engine: Engine, seed: int) -> None:
        self.engine, self.asked = engine, engine.settings.ask_for_list
        self.loop = asyncio.get_running_loop()
        self.random = random.Random(seed)
        grace = engine.settings.drain_grace / SECOND
        self.blind = min(max(grace / BLIND_PART, BLIND_LEAST), BLIND_MOST)  # seconds; where lists are pushed
        self.client = self._client(address)
        self.seq = 0  # of the last list or change heard
        self.trouble = ""  # what was said last of a watch that failed, and no list has come since
        self.tasks: set[asyncio.Task[None]] = set()
        self.watching: asyncio.Task[None] | None = None

    def _client(self, address: str) -> Client:
        # Where lists are asked for, it is one service for all nodes, with a queue: one call at a time.
        return Client(address, CALL_TIMEOUT) if self.asked else Client(address, again=self.blind)

    def start(self) -> None:
        """Pushed lists are watched from the start; else the Balancer subscribes."""
        self.seq = self.engine.server_table.seq
        if not self.asked and self.watching is None:
            self._watch_anew()

    def move(self, address: str) -> None:
        """Takes another discovery; the old list stays until the new one comes."""
        self.client = self._client(address)
        self.seq = 0  # danger: another discovery counts for itself
        if self.watching is not None:
            self.watching.cancel()
        self._watch_anew()

    @property
    def heard(self) -> float:
        """When the watch last said something, in the loop's seconds; 0 for never."""
        return self.client.call.heard if self.seq and self.client.call is not None else 0.0

    def subscribe(self) -> None:
        if self.watching is None or self.watching.done():
            self._watch_anew()

    def refresh(self) -> None:
        self._spawn(self._refresh())

    async def close(self) -> None:
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    def _watch_anew(self) -> None:
        self.watching = self._spawn(self._watch_once() if self.asked else self._keep_watching())

    def _spawn(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        task = self.loop.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self._reap)
        return task

    def _reap(self, task: asyncio.Task[None]) -> None:
        self.tasks.discard(task)
        if not task.cancelled() and (err := task.exception()) is not None:
            self.engine.log_error("a task failed", err)

    async def _keep_watching(self) -> None:
        """Push: the list comes unasked, over a watch that is opened again whenever it ends.

        Danger: what discovery has counts as told whether or not a watch is open: a pause that grows is taken
        from the grace of a drain.
        """
        while True:
            await self._watch()
            await asyncio.sleep(self.blind * self.random.uniform(0.5, 1.0))  # or all nodes would come at once

    async def _watch(self) -> None:
        client = self.client
        try:
            if not self.seq:  # in full: what a watch tells first may leave out what is gone
                self._heard(await client.fetch())
            await client.watch(self.seq, self._heard)
        except ListError as err:
            if str(err) != self.trouble:  # danger: while discovery is down the same would fill the log
                self.engine.log(f"watch: {err}")
            self.trouble = str(err)

    async def _watch_once(self) -> None:
        """Ask: the Balancer decides when to subscribe again."""
        await self._watch()
        self.watching = None
        self.engine.list_failed()

    async def _refresh(self) -> None:
        try:
            self._heard(await self.client.fetch())
        except ListError as err:
            self.engine.log(f"list: {err}")
            if self.asked:
                self.engine.list_failed()

    def _heard(self, listing: Listing) -> None:
        self.seq, self.trouble = listing.seq, ""
        self.engine.listed(listing, ListKind.FULL if listing.whole else ListKind.CHANGES)
