"""The demo's course: start, first configuration, load, a change, control nodes killed and started again,
the end.
"""

from __future__ import annotations

import asyncio
import os
import tempfile
from collections import Counter
from collections.abc import Mapping
from pathlib import Path

from rigs.mesh_demo import load, machines, operator
from rigs.mesh_demo.machines import PORTS, Machine
from rigs.mesh_demo.servers import HOST, Server
from rigs.mesh_demo.wire import Door, request

SECONDS = 8.5  # of load
CHANGE_AT, KILL_AT, AWAY = 1.5, 3.5, 2.0  # seconds of the load; how long the killed control node is gone
AROUND = 2.0  # seconds after the kill that are told apart
DRAIN = 0.3  # seconds a server serves on once it drains
LOOK = 0.003  # seconds between two looks at which configuration is in force
SERVICES = ("maps", "desk", "desk", "maps")  # beside sidecars 1 to 4
SLOTS = 6
LEADS, FOLLOWS, DISK = "E301", "E302", "E401"
ROLES = (LEADS, FOLLOWS, "E303")
DRILLS = ("leader", "follower", "wiped", "power")


class Demo:
    """The mesh and what was found out of it. `wrong` holds what broke a promise."""

    def __init__(self, folder: Path, drill: str) -> None:
        self.drill, self.loop = drill, asyncio.get_running_loop()
        net = f"127.{1 + os.getpid() % 250}"  # two demos at a time do not meet
        self.controls, self.sidecars = machines.deployment(net, folder, SERVICES)
        self.servers = [
            Server(service, number, sidecar.zone, sidecar.ip, PORTS, SLOTS)
            for number, (sidecar, service) in enumerate(zip(self.sidecars, SERVICES, strict=True), 1)
        ]
        self.operator = operator.Operator([control.ip for control in self.controls], PORTS["ctl"])
        self.doors = [Door(sidecar.ip, PORTS["out"]) for sidecar in self.sidecars]
        self.load = load.Load(self.doors, seed=os.getpid())
        self.wrong: list[str] = []

    @property
    def all(self) -> list[Machine]:
        return self.controls + self.sidecars

    async def play(self) -> None:
        await self._start()
        load_task = self.loop.create_task(self.load.run(SECONDS))
        try:
            began = self.loop.time()
            await asyncio.sleep(CHANGE_AT)
            await self._change()
            await asyncio.sleep(max(began + KILL_AT - self.loop.time(), 0.0))
            await self._kill()
            await load_task
        finally:
            load_task.cancel()
        self._tell_load()
        self._tell_keys()
        await self._read_back()

    # Start ----------------------------------------------------------------------------------------

    async def _start(self) -> None:
        began = self.loop.time()
        for machine in self.all:
            await machine.start()
        await machines.until(lambda: self.leader() is not None, "a control node that leads", self.all)
        for server in self.servers:
            await server.start()
        sent = self.loop.time()
        if not await self.operator.patch(operator.first()):
            raise RuntimeError(f"the first configuration is not taken: {self.operator.refused}")
        taken = self.loop.time()
        for sidecar in self.sidecars:
            await self._ready(sidecar)
        print(
            f"{len(self.controls)} control nodes, {len(self.sidecars)} sidecars, {len(self.servers)} "
            f"servers: "
            f"ready after {self.loop.time() - began:.1f} s"
        )
        print(f"first configuration: acknowledged after {(taken - sent) * 1000:.0f} ms")

    async def _ready(self, sidecar: Machine) -> None:
        door = Door(sidecar.ip, PORTS["readyz"])
        async with asyncio.timeout(machines.PATIENCE):
            while await _status(door, "/ready", "ready") != 200:
                await asyncio.sleep(0.02)
        door.close()

    def leader(self) -> Machine | None:
        """Who said so last, of those that run."""
        leading = (control for control in self.controls if control.runs())
        return next((control for control in leading if control.last(ROLES).startswith(LEADS)), None)

    # A change -------------------------------------------------------------------------------------

    async def _change(self) -> None:
        sent = self.loop.time()
        task = self.loop.create_task(self.operator.patch(operator.change()))
        seen = await asyncio.gather(*(self._in_force(door, sent) for door in self.doors))
        if not await task:
            self.wrong.append(f"the change is not taken: {self.operator.refused}")
        ms = ", ".join(f"{after * 1000:.0f}" for after in seen)
        print(f"change: in force at the {len(seen)} sidecars {ms} ms after it was sent")

    async def _in_force(self, door: Door, sent: float) -> float:
        async with asyncio.timeout(machines.PATIENCE):
            while await _status(door, "/news/now", f"look-{id(door)}-{self.loop.time()}") == 404:
                await asyncio.sleep(LOOK)
        return self.loop.time() - sent

    # Control nodes killed --------------------------------------------------------------------------------

    def _victims(self, lead: Machine) -> list[Machine]:
        if self.drill == "power":
            return self.controls
        if self.drill == "follower":
            return [control for control in self.controls if control is not lead][:1]
        return [lead]

    async def _kill(self) -> None:
        lead = self.leader()
        if lead is None:
            raise RuntimeError("no control node leads before the kill")
        lost, at = self._victims(lead), self.loop.time()
        print(
            f"SIGKILL to {', '.join(f'{control.name} (pid {control.pid})' for control in lost)}; "
            f"{lead.name} led"
        )
        for control in lost:
            await control.kill()
        if self.drill != "power":
            await self._agrees(at, lost)
        await asyncio.sleep(max(at + AWAY - self.loop.time(), 0.0))
        await self._again(lost)
        if self.drill == "power":
            await self._agrees(at, [])
        await asyncio.sleep(max(at + AROUND - self.loop.time(), 0.0))
        self._tell_around(at)

    async def _agrees(self, at: float, lost: list[Machine]) -> None:
        left = [machine for machine in self.all if machine not in lost]
        await machines.until(lambda: self.leader() is not None, "a control node that leads", left)
        lead = self.leader()
        when = lead.said(LEADS, at) if lead is not None else None
        if lead is not None and when is not None:
            print(f"  {lead.name} leads {(when - at) * 1000:.0f} ms after the kill")

    async def _again(self, lost: list[Machine]) -> None:
        again = self.loop.time()
        for control in lost:
            machines.not_first(control)
            if self.drill == "wiped":
                machines.wipe(control)
            await control.start()
        for control in lost:
            await machines.until(
                lambda control=control: _in(control, again) is not None,  # type: ignore[misc]
                f"{control.name} back",
                self.all,
            )
            after = (_in(control, again) or again) - again
            print(
                f"  {control.name} started again: {control.last((DISK,)).partition(' ')[2]}; "
                f"{'leads' if control is self.leader() else 'follows'} after {after * 1000:.0f} ms"
            )

    def _tell_around(self, at: float) -> None:
        before = at + AROUND
        ends, slowest = self.load.ends(at, before), self.load.slowest
        tries = sum(result.tries > 1 for result in self.load.results if at <= result.began < before)
        print(
            f"  begun in the {AROUND:.0f} s after the kill: {_told(ends)}; {tries} tried again; slowest "
            f"with a key {slowest(('pay',), at, before) * 1000:.0f} ms, "
            f"without {slowest(('tiles', 'trips'), at, before) * 1000:.0f} ms"
        )

    # What came of it ------------------------------------------------------------------------------

    def _tell_load(self) -> None:
        ends = self.load.ends()
        photos = sum(r.kind == "photos" and r.end == load.SERVED for r in self.load.results)
        nested = sum(server.nested for server in self.servers)
        print(f"all requests: {_told(ends)}; {photos} uploads in chunks, {nested} calls by servers")
        if self.load.said:
            print(
                "  single tries that were not served: "
                + ", ".join(f"{count} x {what}" for what, count in sorted(self.load.said.items()))
            )
        if not ends[load.SERVED] or ends[load.FAILED]:
            self.wrong.append(f"{ends[load.SERVED]} requests served, {ends[load.FAILED]} failed")
        if self.load.said["another's answer"]:
            self.wrong.append("a client got another's answer")
        if strangers := sum(server.strangers for server in self.servers):
            self.wrong.append(f"{strangers} runs without the name of their caller's service")

    def _tell_keys(self) -> None:
        runs: Counter[bytes] = Counter()
        for server in self.servers:
            runs.update(server.keys)
        twice, again = sum(count > 1 for count in runs.values()), self.load.again
        once = sum(count == 1 for count in runs.values())
        print(
            f"keys: {self.load.keys} used, {once} run once, {twice} more often; {sum(again.values())} sent "
            f"again through another sidecar: {again['same']} got the first one's answer"
        )
        if twice:
            self.wrong.append(f"{twice} keys ran more than once")
        if again["other"]:
            self.wrong.append(f"{again['other']} repeats got another answer")

    async def _read_back(self) -> None:
        calls = [operator.first(), operator.change()]
        good = [operator.same(found, calls) for found in await self.operator.read_back()]
        print(f"read back: {sum(good)} of {len(good)} control nodes give what was sent")
        if not all(good):
            self.wrong.append("what was read back is not what was sent")

    async def end(self) -> None:
        """Ends what was started, and nothing else."""
        await asyncio.gather(*(server.leave(DRAIN) for server in self.servers if server.listener is not None))
        for server in self.servers:
            await server.stop()
        codes = [
            code
            for part in (self.sidecars, self.controls)
            for code in await asyncio.gather(*(machine.stop() for machine in part))
        ]
        for door in self.doors:
            door.close()
        self.operator.close()
        for machine, code in zip(self.sidecars + self.controls, codes, strict=True):
            if code:
                self.wrong.append(f"{machine.name} ended with {code}: {machine.last(('E', 'T'))}")


async def _status(door: Door, path: str, ident: str) -> int:
    """The status of one GET; 0 where there is none."""
    fields = {"Host": HOST, "X-Request-Id": ident, "X-Deadline-Ms": "900"}
    try:
        return (await door.ask(request("GET", path, fields), 1.0)).status
    except OSError:
        return 0


def _told(ends: Counter[str]) -> str:
    return ", ".join(f"{ends[end]} {end}" for end in (load.SERVED, load.REFUSED, load.FAILED))


def _in(control: Machine, since: float) -> float | None:
    """When it first said that it takes part again."""
    times = [at for event in (LEADS, FOLLOWS) if (at := control.said(event, since)) is not None]
    return min(times, default=None)


async def main(drill: str, logs: bool, others: Mapping[str, Path] | None = None) -> int:
    """Plays the demo. Exit code 1 where a promise was broken.

    Args:
        drill: which control nodes are killed.
        logs: whether to print the processes' logs at the end.
        others: by the names of machines, the checkout that they run in place of this one.
    """
    with tempfile.TemporaryDirectory(prefix="meshdemo-") as folder:
        demo = Demo(Path(folder), drill)
        for machine in demo.all:
            machine.root = (others or {}).get(machine.name, machine.root)
        try:
            await demo.play()
        except RuntimeError as err:
            demo.wrong.append(str(err))
        finally:
            await demo.end()
        if logs:
            for machine in demo.all:
                print(f"--- {machine.name}", *(f"{at:.3f} {line}" for at, line in machine.lines), sep="\n")
    print("all processes have ended; " + ("; ".join(demo.wrong) if demo.wrong else "every promise was kept"))
    return 1 if demo.wrong else 0
