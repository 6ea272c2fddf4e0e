"""A soak of departures on real processes: `python -m rigs.mesh_demo.departure_soak FIRST COUNT [CHECKOUT]`.

Servers leave again and again, by `draining` or by a deregistration, serve on and end, and another run
takes their place. Heartbeats from before are delivered late and more than once. Meanwhile sidecars and
control nodes are killed, restarted by SIGTERM and stopped for a while, in series that overlap. Clients keep
their connections. Checked: no request reaches a server later than DRAIN_S after an acknowledgement that it
leaves.
"""

from __future__ import annotations

import asyncio
import itertools
import os
import random
import signal
import sys
import tempfile
from collections.abc import Awaitable, Callable
from pathlib import Path

from rigs.mesh_demo import load, machines, operator
from rigs.mesh_demo.machines import PORTS, Machine
from rigs.mesh_demo.servers import Asked, Server
from rigs.mesh_demo.wire import Door, request

SECONDS = 20.0  # of load
DRAIN_S = 2.0  # from an acknowledgement until no request may reach the server
SERVES_ON_S = 3.0, 5.0  # from the acknowledgement, or from the last try to get one, to the end of the server
PAUSE_S = 0.2, 1.5  # between two departures, and between two faults of one series
LATENESS_S = 0.2, 4.5  # of a heartbeat
AWAY_S = 0.1, 1.2  # that a killed process is gone or a stopped one stands still
TRIES = 4  # to have a departure acknowledged
SERVICES = ("maps", "desk", "maps", "desk")
SLOTS = 6
GONE = (BrokenPipeError, ConnectionError, OSError)

_numbers = itertools.count(1)


class LeavingServer(Server):
    """A server that records when its departure was acknowledged, and each request that comes later."""

    acknowledged_at = float("inf")
    acknowledged_through = ""  # the call that was acknowledged

    def __init__(self, service: str, machine: Machine) -> None:
        super().__init__(service, next(_numbers), machine.zone, machine.ip, PORTS, SLOTS)
        self.life += f"-{os.urandom(4).hex()}"  # no run of a server has the id of another
        self.machine = machine
        self.late_arrivals: list[float] = []  # seconds after the acknowledgement

    async def handle(self, asked: Asked) -> tuple[int, dict[bytes, bytes], bytes]:
        """Record a request that should not have come, and run it."""
        since = asyncio.get_running_loop().time() - self.acknowledged_at
        own = self.life.encode()
        if since > DRAIN_S and asked.fields.get(b"x-target-instance", own) == own:
            self.late_arrivals.append(since)
        return await super().handle(asked)

    async def deliver(self, body: bytes, lateness_s: float = 0.0) -> bool:
        """Send a heartbeat; whether it was acknowledged."""
        await asyncio.sleep(lateness_s)
        return await self._call(f"/Instances.Heartbeat/{self.life}", body)

    async def announce(self, drains: bool) -> None:
        """Say that it leaves, until that is acknowledged or the tries are used up."""
        loop = asyncio.get_running_loop()
        for _ in range(TRIES):
            if drains:
                taken = await self.tell("draining")
            else:
                taken = await self._call(f"/Instances.Deregister/{self.life}", b"{}")
            if taken:
                self.acknowledged_at = loop.time()
                self.acknowledged_through = "draining" if drains else "Deregister"
                return
            await asyncio.sleep(0.3)


class Soak:
    """One deployment, and what was found in it."""

    def __init__(self, folder: Path, seed: int) -> None:
        self.random = random.Random(seed)
        net = f"127.{20 + seed % 200}"
        self.controls, self.sidecars = machines.deployment(net, folder, SERVICES)
        self.servers = [
            LeavingServer(service, machine) for service, machine in zip(SERVICES, self.sidecars, strict=True)
        ]
        self.ended: list[LeavingServer] = []
        self.operator = operator.Operator([control.ip for control in self.controls], PORTS["ctl"])
        self.doors = [Door(sidecar.ip, PORTS["out"]) for sidecar in self.sidecars]
        self.load = load.Load(self.doors, seed=seed)
        self.tasks: set[asyncio.Task[object]] = set()
        self.faults = 0
        self.starting: set[Machine] = set()  # machines whose process is being started

    async def play(self) -> None:
        """Start, disturb for SECONDS, and let all departures come to their end."""
        await self._start()
        loop = asyncio.get_running_loop()
        until = loop.time() + SECONDS
        await asyncio.gather(
            self.load.run(SECONDS),
            self._departures(until, (0, 1)),
            self._departures(until, (2, 3)),
            self._series(until, self.sidecars),
            self._series(until, self.sidecars),
            self._series(until, self.controls),
        )
        while self.tasks:
            await asyncio.gather(*self.tasks, return_exceptions=True)

    async def _start(self) -> None:
        for machine in (*self.controls, *self.sidecars):
            await machine.start()
        for server in self.servers:
            await server.start()
        if not await self.operator.patch(operator.first()):
            raise RuntimeError("the first configuration is not acknowledged")
        async with asyncio.timeout(machines.PATIENCE):
            for sidecar in self.sidecars:
                while not await _is_ready(sidecar):
                    await asyncio.sleep(0.05)
        for machine in (*self.controls, *self.sidecars):
            machines.not_first(machine)

    def _spawn(self, call: Awaitable[object]) -> None:
        task = asyncio.ensure_future(call)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    # Departures -------------------------------------------------------------------------------------

    async def _departures(self, until: float, places: tuple[int, ...]) -> None:
        """Of the servers at these places one after the other leaves."""
        loop = asyncio.get_running_loop()
        for place in itertools.cycle(places):
            await asyncio.sleep(self.random.uniform(*PAUSE_S))
            if loop.time() > until - max(SERVES_ON_S):
                return
            await self._leave(place, self.servers[place])

    async def _leave(self, place: int, server: LeavingServer) -> None:
        before = [server.heartbeat("up") for _ in range(2)]
        if server.beating is not None:
            server.beating.cancel()
        await server.announce(drains=self.random.random() < 0.5)
        for body in self.random.choices(before, k=self.random.randrange(1, 4)):
            self._spawn(server.deliver(body, self.random.uniform(*LATENESS_S)))
        await asyncio.sleep(self.random.uniform(*SERVES_ON_S))
        await server.stop()
        self.ended.append(server)
        successor = self.servers[place] = LeavingServer(server.service, server.machine)
        await successor.start()

    # Faults -----------------------------------------------------------------------------------------

    async def _series(self, until: float, nodes: list[Machine]) -> None:
        """One fault after another at these machines; two series may meet at one machine."""
        loop = asyncio.get_running_loop()
        while loop.time() < until - max(AWAY_S):
            await asyncio.sleep(self.random.uniform(*PAUSE_S))
            node = self.random.choice(nodes)
            fault: Callable[[Machine], Awaitable[None]] = self.random.choice(
                (self._kill, self._kill, self._restart, self._suspend)
            )
            if node.runs():
                self.faults += 1
                await fault(node)

    async def _kill(self, node: Machine) -> None:
        _signal(node, signal.SIGKILL)
        await self._start_again(node)

    async def _restart(self, node: Machine) -> None:
        _signal(node, signal.SIGTERM)
        await self._start_again(node)

    async def _start_again(self, node: Machine) -> None:
        process = node.process
        if process is None:
            return
        await process.wait()
        await asyncio.sleep(self.random.uniform(*AWAY_S))
        # Both series may wait for its end; two processes would hold one address.
        if node.process is process and node not in self.starting:
            self.starting.add(node)
            await node.start()
            self.starting.discard(node)

    async def _suspend(self, node: Machine) -> None:
        _signal(node, signal.SIGSTOP)
        await asyncio.sleep(self.random.uniform(*AWAY_S))
        _signal(node, signal.SIGCONT)

    # The end ----------------------------------------------------------------------------------------

    def broken(self) -> list[str]:
        """What broke the rule."""
        return [
            f"DRAIN: {len(server.late_arrivals)} requests reached {server.life}, the first "
            f"{server.late_arrivals[0]:.2f} s after its {server.acknowledged_through} was acknowledged"
            for server in self.ended
            if server.late_arrivals
        ]

    def figures(self) -> str:
        """What the soak has covered."""
        ends = self.load.ends()
        taken = sum(server.acknowledged_at < float("inf") for server in self.ended)
        return (
            f"{len(self.ended)} departures, {taken} acknowledged, {self.faults} faults, "
            f"{ends[load.SERVED]} of {sum(ends.values())} requests served"
        )

    async def end(self) -> None:
        """End what was started, and nothing else."""
        for task in self.tasks:
            task.cancel()
        for server in self.servers:
            await server.stop()
        for machine in (*self.sidecars, *self.controls):
            _signal(machine, signal.SIGCONT)
            if machine.runs():
                await machine.kill()
        for door in self.doors:
            door.close()
        self.operator.close()


def _signal(machine: Machine, number: signal.Signals) -> None:
    """Signal the machine's own process, if it runs."""
    if machine.process is not None and machine.runs():
        machine.process.send_signal(number)


async def _is_ready(sidecar: Machine) -> bool:
    door = Door(sidecar.ip, PORTS["readyz"])
    try:
        return (await door.ask(request("GET", "/ready", {"Host": "ready"}), 1.0)).status == 200
    except GONE:
        return False
    finally:
        door.close()


async def soak(seed: int) -> tuple[list[str], str]:
    """Play one seed; what broke the rule, and the figures."""
    with tempfile.TemporaryDirectory(prefix="soak-") as folder:
        deployment = Soak(Path(folder), seed)
        try:
            await deployment.play()
        finally:
            await deployment.end()
        return deployment.broken(), deployment.figures()


def main(argv: list[str]) -> int:
    """Play COUNT seeds from FIRST, with the programs of another checkout if one is named.

    Returns 1 if a rule was broken.
    """
    first, count = int(argv[0]), int(argv[1])
    broken = 0
    if len(argv) > 2:
        machines.ROOT = Path(argv[2]).resolve()
    for seed in range(first, first + count):
        found, figures = asyncio.run(soak(seed))
        broken += bool(found)
        print(f"seed {seed}: {figures}", *found, sep="\n  ", flush=True)
    print(f"soak of departures: {broken} of {count} seeds broken")
    return bool(broken)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
