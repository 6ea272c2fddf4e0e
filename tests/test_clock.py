"""LoopClock: timers in order and never early, faults isolated, memory bounded."""

from __future__ import annotations

import asyncio
import random
from typing import Any

import pytest
import uvloop

from minthitch.engine import LoopClock
from minthitch.engine.clock import MIN_COMPACT_SIZE
from minthitch.interface import MILLISECOND, SECOND
from rigs.servers import PATIENCE

LOOPS = [asyncio.new_event_loop, uvloop.new_event_loop]


def on(make: Any, test: Any) -> None:
    async def limited() -> None:
        async with asyncio.timeout(PATIENCE):
            await test(LoopClock(asyncio.get_running_loop()))

    with asyncio.Runner(loop_factory=make) as runner:
        runner.run(limited())


@pytest.mark.parametrize("make", LOOPS)
def test_timers_fire_in_order_and_never_early(make: Any) -> None:
    async def body(clock: LoopClock) -> None:
        rng, fired, done = random.Random(1), list[int](), asyncio.Event()
        base = clock.now()
        whens = [base + rng.randrange(30 * MILLISECOND) for _ in range(500)]

        def call(when: int) -> None:
            assert clock.now() >= when
            fired.append(when)
            if len(fired) == len(whens):
                done.set()

        for when in whens:
            clock.at(when, lambda when=when: call(when))  # type: ignore[misc]
        await done.wait()
        assert fired == sorted(whens) and not clock.heap and clock.handle is None

    on(make, body)


def test_an_earlier_timer_set_later_fires_first_even_if_set_by_a_timer() -> None:
    async def body(clock: LoopClock) -> None:
        fired, done, now = list[str](), asyncio.Event(), clock.now()

        def first() -> None:
            fired.append("first")
            clock.at(clock.now() + MILLISECOND, lambda: fired.append("second"))

        clock.at(now + 40 * MILLISECOND, done.set)
        clock.at(now + 5 * MILLISECOND, first)
        await done.wait()
        assert fired == ["first", "second"]

    on(uvloop.new_event_loop, body)


def test_a_cancelled_timer_does_not_fire_and_is_removed() -> None:
    async def body(clock: LoopClock) -> None:
        fired, done = list[int](), asyncio.Event()
        timer = clock.at(clock.now() + MILLISECOND, lambda: fired.append(1))
        clock.at(clock.now() + 10 * MILLISECOND, done.set)
        timer.cancel()
        timer.cancel()
        await done.wait()
        assert not fired and clock.cancelled == 0 and not clock.heap

    on(uvloop.new_event_loop, body)


def test_a_fault_in_one_timer_does_not_stop_the_others() -> None:
    async def body(clock: LoopClock) -> None:
        errors, done = list[str](), asyncio.Event()
        clock.loop.set_exception_handler(lambda _loop, context: errors.append(str(context["exception"])))
        now = clock.now()
        clock.at(now, lambda: [][1])
        clock.at(now, done.set)
        await done.wait()
        assert errors == ["list index out of range"]

    on(uvloop.new_event_loop, body)


def test_cancelled_timers_are_removed_before_they_are_due() -> None:
    async def body(clock: LoopClock) -> None:
        kept = [clock.at(clock.now() + 100 * SECOND, lambda: None) for _ in range(100)]
        for _ in range(20 * MIN_COMPACT_SIZE):
            clock.at(clock.now() + 60 * SECOND, lambda: None).cancel()
            assert len(clock.heap) <= MIN_COMPACT_SIZE + 1
        assert len(kept) <= len(clock.heap)
        clock.close()
        assert not clock.heap

    on(uvloop.new_event_loop, body)
