"""Load on real sockets: answers checked, times counted from when they were due."""

from __future__ import annotations

import asyncio

import pytest

from minthitch.config import ConfigError
from minthitch.lab import load, scenario
from minthitch.lab.load import Heard, drive
from minthitch.lab.scenario import Scenario
from rigs.servers import Seen, Server, address_of, reply
from rigs.worktier import WorkTier
from tests.test_node import run

CROWD = ("seconds=1.5", "settle=0", "load.rate=80", "tiers.0.servers=2", 'tiers.0.work="5ms"')


def crowd(*changes: str) -> Scenario:
    return scenario.read("calm", (*CROWD, *changes))


async def against(script: object, made: Scenario) -> Heard:
    listener = await asyncio.start_server(Server(script), "127.0.0.1", 0)  # type: ignore[arg-type]
    try:
        return await drive(f"http://{address_of(listener)}", made, 1)
    finally:
        listener.close()


def test_each_answer_is_counted_once_by_its_word() -> None:
    async def script(seen: Seen) -> bytes:
        number = int((seen.field("X-Correlation-Id") or "").removeprefix("lab-"))
        identity = f"lab-{number}".encode()
        return (reply(200, identity), reply(503), reply(502))[number % 3]

    async def day() -> None:
        heard = await against(script, crowd())
        assert not heard.wrong and heard.sent == sum(heard.words.values()) > 60
        assert set(heard.words) == {"served", "refused", "failed"}
        assert sum(h.get_total_count() for h in heard.histograms) == heard.words["served"]
        assert heard.lines()[0].startswith(f"{heard.sent} sent: failed")

    run(day)


def test_another_requests_answer_and_none_at_all_are_called_wrong(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(load, "BEYOND", 0.1)

    async def mixed(seen: Seen) -> bytes | None:
        number = int((seen.field("X-Correlation-Id") or "").removeprefix("lab-"))
        return reply(200, b"lab-0") if number % 2 else None

    async def day() -> None:
        short = ('classes.0.deadline="500ms"', 'classes.1.deadline="600ms"', 'classes.2.deadline="600ms"')
        heard = await against(mixed, crowd(*short))
        texts = " ".join(heard.wrong)
        assert "got another's answer" in texts and "had no answer" in texts
        assert heard.words["nothing"] > 10 and heard.words["nothing"] + heard.words["served"] == heard.sent

    run(day)


def test_a_stall_counts_from_when_each_request_was_due() -> None:
    """A closed loop would measure one slow answer; the open one sees all that fell due behind it."""
    began: list[float] = []

    async def stalls(seen: Seen) -> bytes:
        now = asyncio.get_running_loop().time()
        began.append(now)
        await asyncio.sleep(max(began[0] + 1.0 - now, 0))
        return reply(200, (seen.field("X-Correlation-Id") or "").encode())

    async def day() -> None:
        heard = await against(stalls, crowd())
        slow = sum(h.get_total_count() - h.get_count_at_value(0) for h in heard.histograms)
        late = heard.words["served"] - heard.in_aim
        assert slow == heard.words["served"] and late > 0.15 * heard.sent

    run(day)


def test_a_peer_that_is_not_there_loses_all_and_ends() -> None:
    async def day() -> None:
        listener = await asyncio.start_server(Server(), "127.0.0.1", 0)
        where = address_of(listener)
        listener.close()
        await listener.wait_closed()
        heard = await drive(f"http://{where}", crowd(), 1)
        assert heard.words["lost"] == heard.sent > 0

    run(day)


def test_a_rate_that_sockets_cannot_carry_is_one_line() -> None:
    async def day() -> None:
        with pytest.raises(ConfigError, match="load.rate = 50000"):
            await drive("http://127.0.0.1:1", crowd("load.rate=50000"), 1)

    run(day)


def test_real_servers_of_the_rig_keep_to_cores_and_slots() -> None:
    async def day() -> None:
        made = crowd("tiers.0.servers=1", "tiers.0.slots=1", 'tiers.0.work="50ms"')
        async with WorkTier(made.tiers[0], 1) as tier:
            heard = await drive(f"http://{tier.addresses[0]}", made, 1)
        assert heard.words["refused"] > 0 and heard.words["served"] == tier.servers[0].served > 0

    run(day)
