"""Clients at every sidecar: a bounded load of repeatable, keyed and long requests, tried again as
promised.
"""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from collections.abc import Callable
from typing import NamedTuple

from rigs.mesh_demo.servers import HOST
from rigs.mesh_demo.wire import Answer, Door, in_chunks, request

RATE = 22.0  # requests a second at each sidecar
DEADLINE = 2.5  # seconds a client waits
TRIES = 5
LEAST = 0.25  # seconds: with less left there is no further try
PROMISES = (408, 421, 429, 503)  # the request has not run and never will
ENDS = (400, 401, 404, 413, 431)
PHOTO, CHUNK = 200_000, 16_384  # bytes
AGAIN = 0.25  # part of the keyed requests that come again, at another sidecar
AGAIN_AFTER = 0.4  # seconds at most
KINDS = {"tiles": 55, "trips": 12, "pay": 25, "photos": 8}  # parts of the load
SERVED, REFUSED, FAILED = "served", "refused", "failed"

Pieces = Callable[[dict[str, str]], list[bytes]]  # a request by its fields, in the pieces to write


class Result(NamedTuple):
    """What became of one request; times are the loop's."""

    kind: str
    end: str
    tries: int
    began: float
    took: float


class Load:
    """Offers the load at the sidecars' `Out` addresses and keeps what came of it."""

    def __init__(self, doors: list[Door], seed: int) -> None:
        self.doors, self.random = doors, random.Random(seed)
        self.loop = asyncio.get_running_loop()
        self.results: list[Result] = []
        self.keys = 0
        self.again: Counter[str] = Counter()  # repeats of answered keys: same, other, none
        self.said: Counter[str] = Counter()  # answers and ends of single tries that were no 2xx
        self.number = 0
        self.tasks: set[asyncio.Task[None]] = set()

    async def run(self, seconds: float) -> None:
        """Ends when all that was begun has ended."""
        until = self.loop.time() + seconds
        names, parts = list(KINDS), list(KINDS.values())
        while self.loop.time() < until:
            await asyncio.sleep(self.random.expovariate(RATE * len(self.doors)))
            kind = self.random.choices(names, parts)[0]
            task = self.loop.create_task(self._one(kind, self.random.choice(self.doors)))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
        await asyncio.gather(*self.tasks)

    async def _one(self, kind: str, door: Door) -> None:
        if kind == "pay":
            await self._pay(door)
            return
        body = self.random.randbytes(PHOTO) if kind == "photos" else b""
        await self._request(kind, door, lambda fields: _pieces(kind, fields, body))

    async def _pay(self, door: Door) -> None:
        self.keys += 1
        key, body = f"order-{self.keys}", b'{"sum":%d}' % self.random.randrange(1, 10_000)

        def pieces(fields: dict[str, str]) -> list[bytes]:
            return request("POST", "/pay/order", fields | {"X-Idempotency-Key": key}, body)

        answer = await self._request("pay", door, pieces)
        if answer is None or answer.status >= 300 or self.random.random() >= AGAIN:
            return
        await asyncio.sleep(self.random.uniform(0.0, AGAIN_AFTER))
        other = self.random.choice([d for d in self.doors if d is not door])
        second = await self._request("again", other, pieces)
        self.again["none" if second is None else "same" if _of_one_run(answer, second) else "other"] += 1

    async def _request(self, kind: str, door: Door, pieces: Pieces) -> Answer | None:
        """Tries until there is an answer, a refusal or a failure that stands. Gives a 2xx, or None."""
        began = self.loop.time()
        until, end, answer, tries = began + DEADLINE, FAILED, None, 0
        while tries < TRIES and (left := until - self.loop.time()) > (LEAST if tries else 0.0):
            tries += 1
            answer = await self._try(kind, door, pieces, left, tries > 1)
            end = _end(answer)
            if end is SERVED or not _may_again(kind, answer):
                break
            await asyncio.sleep(_pause(answer, until - self.loop.time()))
        self.results.append(Result(kind, end, tries, began, self.loop.time() - began))
        return answer if end is SERVED else None

    async def _try(self, kind: str, door: Door, pieces: Pieces, left: float, anew: bool) -> Answer | None:
        self.number += 1
        fields = {"Host": HOST, "X-Request-Id": f"c{self.number}", "X-Deadline-Ms": str(int(left * 1000))}
        try:
            answer = await door.ask(pieces(fields), left, anew)
        except OSError as err:
            self.said[type(err).__name__] += 1
            return None
        if answer.status >= 300:
            self.said[str(answer.status)] += 1
        elif answer.fields.get(b"x-request-id") != fields["X-Request-Id"].encode():
            self.said["another's answer"] += 1
        return answer

    # What came of it ------------------------------------------------------------------------------

    def ends(self, since: float = 0.0, before: float = float("inf")) -> Counter[str]:
        return Counter(result.end for result in self.results if since <= result.began < before)

    def slowest(self, kinds: tuple[str, ...], since: float, before: float) -> float:
        """Seconds of the slowest of these that began between."""
        return max(
            (
                result.took
                for result in self.results
                if result.kind in kinds and since <= result.began < before
            ),
            default=0.0,
        )


def _pieces(kind: str, fields: dict[str, str], body: bytes) -> list[bytes]:
    if kind == "photos":
        return in_chunks("/photos/new", fields, body, CHUNK)
    return request("GET", f"/{kind}/x", fields)


def _of_one_run(one: Answer, other: Answer) -> bool:
    seals = one.fields.get(b"x-server-seal"), other.fields.get(b"x-server-seal")
    return (one.status, one.body) == (other.status, other.body) and seals[0] == seals[1] is not None


def _end(answer: Answer | None) -> str:
    if answer is None:
        return FAILED
    if 200 <= answer.status < 300:
        return SERVED if b"x-server-seal" in answer.fields else FAILED
    return REFUSED if answer.status in PROMISES + ENDS else FAILED


def _may_again(kind: str, answer: Answer | None) -> bool:
    """What may run once only is tried again after a promise only; a key may come again after anything."""
    if answer is None:
        return kind != "photos"
    if answer.status in ENDS:
        return False
    return kind != "photos" or answer.status in PROMISES


def _pause(answer: Answer | None, left: float) -> float:
    """As told by Retry-After, for at most a third of the time left."""
    told = float(answer.fields.get(b"retry-after", b"0.05")) if answer is not None else 0.05
    return max(min(told, left / 3), 0.0)
