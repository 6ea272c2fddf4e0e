"""Partitions of one machine from all others: one-way or both, silent, with refusals or with resets."""

from __future__ import annotations

import asyncio
from typing import Any, NamedTuple

from rigs.simulation.loop import Machine, VirtualLoop
from rigs.simulation.mesh import ControlNode, Site
from rigs.simulation.network import End, Network

DIRECTIONS = ("in", "out", "both")  # of the traffic that is blocked, as seen from the machine
MODES = ("silent", "refuse", "reset")
RESET_INTERVAL_S = 0.5  # between two resets of the isolated machine's connections


class RefusingNetwork(Network):
    """A network that refuses new connections across some cuts at once instead of dropping them silently."""

    def __init__(self, loop: VirtualLoop) -> None:
        super().__init__(loop)
        self.refusing: set[str] = set()  # addresses of machines

    async def connect(self, machine: Machine, factory: Any, ip: str, port: int) -> tuple[End, Any]:
        if (machine.name in self.refusing or ip in self.refusing) and machine.name != ip:
            await asyncio.sleep(self.delay(machine.name, ip))
            raise ConnectionRefusedError
        return await super().connect(machine, factory, ip, port)


class Cut(NamedTuple):
    """A partition from `at` for `seconds`; its process restarts at each of `restarts`, counted from `at`."""

    at: float
    seconds: float
    direction: str = "both"
    mode: str = "silent"
    restarts: tuple[float, ...] = ()


def isolate(site: Site, control: ControlNode, cut: Cut) -> None:
    """Starts the partition now and schedules its end."""
    network, loop = site.network, site.loop
    others = [ip for ip in site.machines if ip != control.ip]
    pairs = [(ip, control.ip) for ip in others if cut.direction != "out"]
    pairs += [(control.ip, ip) for ip in others if cut.direction != "in"]
    kind = f"cut-{cut.direction}-{cut.mode}"
    site.record("struck", control.ip, kind=kind, state=control.state)
    site.record("trouble", "core", kind=kind)
    for pair in pairs:
        network.cut(*pair)
    if cut.mode == "refuse" and isinstance(network, RefusingNetwork):
        network.refusing.add(control.ip)
    if cut.mode != "silent":
        network.reset(control.machine)

    def healed() -> None:
        if isinstance(network, RefusingNetwork):
            network.refusing.discard(control.ip)
        network.heal(pairs)
        site.record("well", "core", kind=kind)

    def reset_again() -> None:
        if loop.now < until:
            network.reset(control.machine)
            loop.after(RESET_INTERVAL_S, loop.world, reset_again)

    until = loop.now + cut.seconds
    if cut.mode == "reset":
        loop.after(RESET_INTERVAL_S, loop.world, reset_again)
    for wait in cut.restarts:
        loop.after(wait, loop.world, restart, site, control)
    loop.after(cut.seconds, loop.world, healed)


def restart(site: Site, control: ControlNode, power: bool = False, downtime_s: float = 0.3) -> None:
    """Stops the node's process, and starts it again after `downtime_s`."""
    if not control.machine.running:
        return
    site.record("struck", control.ip, kind="restart", state=control.state)
    site.record("trouble", "core", kind="restart")
    control.stop(power=power)

    def back() -> None:
        if not control.machine.running:
            control.start()
        site.record("well", "core", kind="restart")

    site.loop.after(downtime_s, site.loop.world, back)
