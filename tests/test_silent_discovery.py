"""Discovery falls silent and comes back with a drain, in virtual time: the node hears it within the grace."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from types import SimpleNamespace
from typing import Any, cast

import pytest

from minthitch.engine import Engine
from minthitch.engine.attempts import Request
from minthitch.engine.clock import Timer
from minthitch.interface import SECOND
from minthitch.net.discovery import Discovery
from minthitch.settings import from_object
from rigs.discovery import entry
from rigs.settings import settings_with
from rigs.simulation.loop import Machine, VirtualLoop
from rigs.simulation.network import Network

GRACE = 0.5  # seconds, as in the settings
NODE, AGENT, PORT = "10.0.0.1", "10.0.0.2", 8500
BEAT = 2.0  # seconds between two empty lines of a watch


class Agent:
    """Discovery on its machine. What comes while it is silent is never answered; older watches are dead."""

    def __init__(self, loop: VirtualLoop, network: Network, delay: float = 0.0) -> None:
        self.loop, self.network, self.delay = loop, network, delay
        self.machine, self.silent, self.health, self.seq = Machine(AGENT), False, "up", 1
        self.open, self.most, self.watches = 0, 0, list[_Asked]()
        network.add(AGENT, "z", self.machine)
        self.listen()

    def listen(self) -> None:
        self.listener = self.network.listen(self.machine, lambda: _Asked(self), AGENT, PORT)

    def line(self) -> bytes:
        return json.dumps(
            {"seq": self.seq, "whole": True, "hosts": [entry("s0", "10.0.0.3:1", self.health)]}
        ).encode()

    def fall_silent(self) -> None:
        self.silent, self.watches = True, []

    def speak(self) -> None:
        """It comes back, and what it has says that the server drains."""
        self.silent, self.health, self.seq = False, "draining", self.seq + 1


class _Asked(asyncio.Protocol):
    def __init__(self, agent: Agent) -> None:
        self.agent = agent

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.agent.open += 1
        self.agent.most = max(self.agent.most, self.agent.open)

    def connection_lost(self, exc: Exception | None) -> None:
        self.agent.open -= 1

    def data_received(self, data: bytes) -> None:
        if not self.agent.silent:
            self.agent.loop.call_later(self.agent.delay, self.answer, b"watch=1" in data)

    def answer(self, watch: bool) -> None:
        line = self.agent.line()
        if not watch:
            self.transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(line), line))
            return
        self.transport.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        self.agent.watches.append(self)
        self.write(line)

    def write(self, line: bytes) -> None:
        if self in self.agent.watches and not self.transport.is_closing():
            self.transport.write(b"%x\r\n%s\n\r\n" % (len(line) + 1, line))
            self.agent.loop.call_later(BEAT, self.write, b"")


class _Clock:
    def __init__(self, loop: VirtualLoop) -> None:
        self.loop = loop

    def now(self) -> int:
        return int(self.loop.now * SECOND) + 1

    wall = now

    def at(self, when: int, call: Callable[[], None]) -> Timer:
        return self.loop.call_later((when - self.now()) / SECOND, call)


class Play:
    """One node's discovery before an agent that is silent from `silent` to `back`, in seconds."""

    def __init__(self, seed: int, **parts: Any) -> None:
        self.loop = VirtualLoop(seed)
        self.network = Network(self.loop)
        self.agent = Agent(self.loop, self.network)
        self.node = Machine(NODE)
        self.network.add(NODE, "z", self.node)
        self.lines, self.writes = list[str](), list[bool]()
        self.engine = Engine(from_object(settings_with(**parts)), seed, _Clock(self.loop), self.lines.append)
        self.seed = seed

    def at(self, when: float, call: Callable[[], None], machine: Machine | None = None) -> None:
        self.loop.after(when, machine or self.loop.world, call)

    def start(self) -> None:
        self.source = self.engine.source = Discovery(f"{AGENT}:{PORT}", self.engine, self.seed)
        self.source.start()

    @property
    def told(self) -> float:
        """When the node heard that the server drains, in seconds; 0 for never."""
        server = self.engine.server_table.by_name.get("s0")
        return server.withdrawn_at / SECOND if server is not None else 0.0

    def look(self) -> None:
        """Notes whether an attempt that was decided before, and connects still, might be written now."""
        request = cast(Request, SimpleNamespace(closed=False, deadline=60 * SECOND))
        server = self.engine.server_table.by_name.get("s0")
        self.writes.append(server is not None and self.engine.may_write(request, server))


SEEDS = range(20)


def back(seed: int) -> float:
    return 10.0 + seed * 0.137  # so that it falls on all parts of the node's calls


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("start", [0.0, 5.0], ids=["watched", "started in the silence"])
def test_a_drain_that_is_told_as_silence_ends_is_heard_within_half_its_grace(seed: int, start: float) -> None:
    """A call that met the silence hung for 2 s of the drain's grace of 0.5 s (herd+mass, seed 525645978087:
    all 58 nodes, 159 sends 0.57 s after).
    """
    play = Play(seed)
    play.at(start, play.start, play.node)
    play.at(2.0, play.agent.fall_silent)
    play.at(back(seed), play.agent.speak)
    play.at(back(seed) - 0.1, play.look)
    play.at(back(seed) + GRACE, play.look)
    play.loop.run_until(20.0)
    assert back(seed) < play.told < back(seed) + GRACE / 2
    assert play.writes == [start < 2.0, False], "what connects past the grace is not written"
    assert play.agent.most <= 3, "the old watch, a call, and one beside it"
    assert len(play.lines) <= 2


@pytest.mark.parametrize("seed", SEEDS)
def test_a_drain_that_is_told_by_discovery_that_refused_is_heard_within_half_its_grace(seed: int) -> None:
    """The pause between two calls grew to 0.75 s."""
    play = Play(seed)
    play.at(0.0, play.start, play.node)

    def end() -> None:
        play.agent.listener.close()
        play.agent.fall_silent()
        play.network.reset(play.agent.machine)

    def again() -> None:
        play.agent.listen()
        play.agent.speak()

    play.at(2.0, end)
    play.at(back(seed), again)
    play.loop.run_until(20.0)
    assert back(seed) < play.told < back(seed) + GRACE / 2


def test_discovery_that_answers_later_than_its_callers_ask_again_is_heard() -> None:
    play = Play(1)
    play.agent.delay, play.agent.health = 1.5, "draining"
    play.at(0.0, play.start, play.node)
    play.loop.run_until(10.0)
    assert 0 < play.told < 2.0
    assert play.agent.open == 1, "those beside it are closed"


def test_discovery_that_is_asked_gets_one_call_at_a_time() -> None:
    """It is one service for all nodes, with a queue: what is asked beside lengthens it."""
    play = Play(1, registryMode="ask")
    play.agent.silent = True
    play.at(0.0, play.start, play.node)
    play.at(0.0, lambda: play.source.subscribe(), play.node)
    play.loop.run_until(60.0)
    assert play.agent.most == 1
