"""Plays a trace over a front while the list of servers changes under it."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from rigs.fronts import Front
from rigs.settings import MS, settings_with
from rigs.tier import Outcome, ScriptedTier
from rigs.trace import Step

GRACE = 0.5  # seconds
COLD_WINDOW = 2.0
COLD_MULTIPLE = 3.0
COLD_SHARE = 0.3
PACE = 0.01  # seconds between calls
LISTED = 5  # servers at first
SETTINGS = settings_with(
    policyLimits={"maxOpen": 400},
    rules={
        "drainGraceNs": int(GRACE * 1000) * MS,
        "coldFrom": COLD_SHARE,
        "coldNs": 9000 * MS,
        "overloadFactor": COLD_MULTIPLE,
        "overloadForNs": int(COLD_WINDOW) * 1000 * MS,
    },
)


def cold_most(rate: float = 1 / PACE) -> float:
    """Calls that a cold server bears within the window, where its usual part is one in LISTED."""
    return COLD_MULTIPLE * COLD_SHARE * rate / LISTED * COLD_WINDOW


async def play(front: Front, steps: tuple[Step, ...]) -> tuple[ScriptedTier, dict[str, Outcome]]:
    """Gives the tier with its ledger, and each call's outcome."""
    tier = ScriptedTier({step.identity: step for step in steps})
    await tier.start(LISTED)
    outcomes: dict[str, Outcome] = {}
    count = len(steps)
    changes: dict[int, Callable[[], None]] = {
        count // 6: lambda: tier.drain(0),
        count // 3: lambda: tier.add_cold(5),
        count * 2 // 3: lambda: tier.restore(0),
        count * 3 // 4: lambda: tier.drain(1, "removed"),
    }

    async def one(step: Step) -> None:
        assert step.identity not in outcomes
        outcomes[step.identity] = await front.call(step)

    try:
        await front.start(tier, SETTINGS)
        loop = asyncio.get_running_loop()
        began, tasks = loop.time(), []
        for number, step in enumerate(steps):
            if number in changes:
                changes[number]()
            await asyncio.sleep(max(began + step.at - loop.time(), 0))
            tasks.append(asyncio.ensure_future(one(step)))
        await asyncio.gather(*tasks)
        await front.stop()
    finally:
        await tier.stop()
    return tier, outcomes
