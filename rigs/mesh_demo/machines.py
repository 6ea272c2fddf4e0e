"""Machines of the demo: an address each, a settings file, a process of the program, its log."""

from __future__ import annotations

import asyncio
import os
import shutil
import signal
import sys
from collections.abc import Callable, Sequence
from pathlib import Path

ROOT = Path(__file__).parents[2]
PORTS = {"server": 8301, "readyz": 8302, "out": 8304, "ctl": 8306, "lines": 7620}
ZONES = ("hall-a", "hall-b", "hall-c")
GRACE = 4.0  # seconds from SIGTERM to the end, at most
PATIENCE = 15.0  # seconds: a limit for a machine that is busy, never a measure
SETTINGS = """\
Self.Node={name}
Self.Role={program}
Self.Mclass={mclass}
Self.Serves={serves}
Self.Ip={ip}
Self.Az={zone}
Self.Region=home
Self.Quorum={quorum}
Self.Init={init}
Self.Limits.Cpu=1.0
Self.Limits.MemMb=300
Self.Limits.Nofile=1024
Net.Bind.Ctl={ip}:{ctl}
Net.PortRange={lines},{lines}
Net.Seeds={seeds}
Infra.HbS=0.5
Terms.Slo=base,drain,config,retry,recover,keys
Terms.Tolerate.Hw=1
Terms.Bnd.GraceS={grace}
Terms.Bnd.RetryRatio=0.2
Terms.Bnd.RetrySlack=50
"""
SIDECAR = """\
Self.Upstream={ip}:{server}
Self.Svc={service}
Net.Bind.Out={ip}:{out}
Net.Bind.Readyz={ip}:{readyz}
"""
CONTROL = """\
Self.Datadir={folder}
Self.Limits.DiskMb=256
"""


class Machine:
    """A process of `minthitch.mesh.sidecar` or `.control`. It is signalled by its own pid only."""

    def __init__(self, name: str, program: str, ip: str, zone: str, settings: Path) -> None:
        self.name, self.program, self.ip, self.zone, self.settings = name, program, ip, zone, settings
        self.process: asyncio.subprocess.Process | None = None
        self.reader: asyncio.Task[None] | None = None
        self.root = ROOT  # the checkout that it runs; another one tries a rolling upgrade
        self.lines: list[tuple[float, str]] = []  # when each came, seconds of the loop

    async def start(self) -> None:
        environ = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            f"minthitch.mesh.{self.program}",
            cwd=self.root,
            stderr=asyncio.subprocess.PIPE,
            env=environ | {"MINTHITCH_BOOT": str(self.settings)},
        )
        self.reader = asyncio.get_running_loop().create_task(self._read(self.process))

    async def _read(self, process: asyncio.subprocess.Process) -> None:
        assert process.stderr is not None
        while line := await process.stderr.readline():
            self.lines.append((asyncio.get_running_loop().time(), line.decode(errors="replace").rstrip()))

    @property
    def pid(self) -> int:
        assert self.process is not None
        return self.process.pid

    def runs(self) -> bool:
        return self.process is not None and self.process.returncode is None

    async def kill(self) -> None:
        assert self.process is not None and self.reader is not None
        self.process.kill()
        await self.process.wait()
        await self.reader

    async def stop(self) -> int:
        """SIGTERM, then SIGKILL for what does not end. Gives the exit code."""
        if self.process is None or self.reader is None:
            return 0
        if self.runs():
            self.process.send_signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(GRACE + 2):
                code = await self.process.wait()
        except TimeoutError:
            self.process.kill()
            code = await self.process.wait()
        await self.reader
        return code

    def said(self, event: str, since: float = 0.0) -> float | None:
        """When it first said this event from `since` on."""
        return next((at for at, line in self.lines if at >= since and line.startswith(event)), None)

    def last(self, events: tuple[str, ...]) -> str:
        """Its newest line of these events."""
        return next((line for _, line in reversed(self.lines) if line.startswith(events)), "")


def deployment(net: str, folder: Path, services: Sequence[str]) -> tuple[list[Machine], list[Machine]]:
    """Three control nodes, and a sidecar for each of `services`, on addresses that begin with `net`."""
    seeds = ",".join(f"{net}.10.{number}:{PORTS['ctl']}" for number in (1, 2, 3))
    controls = [control(number, net, folder, seeds) for number in (1, 2, 3)]
    sidecars = [sidecar(number, net, folder, seeds, service) for number, service in enumerate(services, 1)]
    return controls, sidecars


def control(number: int, net: str, folder: Path, seeds: str) -> Machine:
    ip, zone = f"{net}.10.{number}", ZONES[(number - 1) % 3]
    data = folder / f"control-{number}"
    data.mkdir()
    text = (SETTINGS + CONTROL).format(
        name=f"control-{number}",
        program="control",
        mclass="core",
        serves="ctl",
        ip=ip,
        zone=zone,
        quorum="true",
        init="true",
        seeds=seeds,
        folder=data,
        grace=GRACE,
        **PORTS,
    )
    return _machine(f"control-{number}", "control", ip, zone, folder, text)


def sidecar(number: int, net: str, folder: Path, seeds: str, service: str) -> Machine:
    ip, zone = f"{net}.20.{number}", ZONES[(number - 1) % 2]
    text = (SETTINGS + SIDECAR).format(
        name=f"sidecar-{number}",
        program="sidecar",
        mclass="sidecar",
        serves="sidecar",
        ip=ip,
        zone=zone,
        quorum="false",
        init="true",
        seeds=seeds,
        service=service,
        grace=GRACE,
        **PORTS,
    )
    return _machine(f"sidecar-{number}", "sidecar", ip, zone, folder, text)


def _machine(name: str, program: str, ip: str, zone: str, folder: Path, text: str) -> Machine:
    settings = folder / f"{name}.conf"
    settings.write_text(text)
    return Machine(name, program, ip, zone, settings)


def not_first(machine: Machine) -> None:
    """Its settings as they stand at any later start."""
    machine.settings.write_text(machine.settings.read_text().replace("Self.Init=true", "Self.Init=false"))


def wipe(machine: Machine) -> None:
    """A control node that is stopped loses its disk."""
    shutil.rmtree(machine.settings.with_suffix(""))


async def until(met: Callable[[], bool], what: str, machines: list[Machine]) -> None:
    """Raises RuntimeError where `met` does not come true, or a process ends meanwhile."""
    try:
        async with asyncio.timeout(PATIENCE):
            while not met():
                for machine in machines:
                    if not machine.runs():
                        raise RuntimeError(f"{machine.name} ended: {machine.last(('E',))}")
                await asyncio.sleep(0.005)
    except TimeoutError:
        raise RuntimeError(f"in {PATIENCE:.0f} s: not {what}") from None
