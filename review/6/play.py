"""Uploads one after the other: does the sidecar beside the server stay below its memory limit?"""

from __future__ import annotations

import asyncio
import contextlib
import random
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib2"))
import stand  # noqa: E402

MEM_MB = 300  # of a sidecar: its Self.Limits.MemMb
SERVICES = ["desk", "desk", "desk", "photos", "scans"]
UPLOADS = ("photos", "scans")  # one machine each
USERS = 1  # that uploads to each of the two services, one body after the other
LARGE_BYTES = 10 * 1024 * 1024  # under a sixth of the Limits' BodyBytes
SMALL_BYTES = 512 * 1024  # without the disruption
PLAY_S = 50.0
CAP = 9
WORK_S = 0.1
DEADLINE_MS = 11_780
ENDS = 3  # of one machine, on MACHINES of them: the day counts 0
MACHINES = 2
PAUSE_S = 0.3  # of a user after an answer that was no success


class Users:
    """Upload to one service, one body after the other, from the machines of `desk`."""

    def __init__(self, mesh: stand.Deployment, record: stand.Record, service: str, size: int) -> None:
        self.mesh, self.record, self.service = mesh, record, service
        self.body = random.randbytes(size)
        self.number = 0
        self.results: dict[str, int] = {}

    async def upload(self) -> None:
        """One user's uploads."""
        while True:
            self.number += 1
            ident = f"{self.service}-{self.number}"
            node = self.mesh.sidecars[self.number % SERVICES.index(UPLOADS[0])]
            fields = {"Host": stand.HOST, "X-Request-Id": ident, "X-Deadline-Ms": str(DEADLINE_MS)}
            target = f"/{self.service}/{ident}"
            self.record.line(f"client sends {ident} ({len(self.body)} bytes) to {node.name}")
            answer = await stand.ask(
                node.ip, self.mesh.ports["out"], "POST", target, fields, self.body, DEADLINE_MS / 1000 + 1
            )
            result = answer if isinstance(answer, str) else str(answer.status)
            self.results[result] = self.results.get(result, 0) + 1
            self.record.line(f"client gets {result} for {ident}")
            if not (isinstance(answer, stand.Answer) and answer.good):
                await asyncio.sleep(PAUSE_S)


async def play(record: stand.Record, trouble: bool) -> int:
    """Upload until two machines have ended three times each, or PLAY_S have passed."""
    mesh = stand.Deployment(record, SERVICES, MEM_MB)
    servers: list[stand.Server] = []
    tasks: list[asyncio.Task[None]] = []
    try:
        await mesh.start()
        routes = [
            stand.route(f"r-{name}", f"/{name}/", "upload", name, 1, TmoS=12, GoalS=1.8) for name in UPLOADS
        ]
        await mesh.patch(stand.first_call(routes, sorted(set(SERVICES))))
        mesh.later()
        for node, service in zip(mesh.sidecars, SERVICES, strict=True):
            servers.append(stand.Server(record, service, node, CAP, lambda _asked: WORK_S))
            await servers[-1].start()
        await mesh.until(mesh.all_ready, "ready")
        await asyncio.sleep(1.0)
        size = LARGE_BYTES if trouble else SMALL_BYTES
        record.say(f"{USERS} user uploads to each of {', '.join(UPLOADS)}: {size} bytes, one after the other")
        platform = stand.Platform(mesh, record, MEM_MB)
        tasks.append(asyncio.create_task(platform.watch()))
        groups = [Users(mesh, record, name, size) for name in UPLOADS]
        tasks += [asyncio.create_task(group.upload()) for group in groups for _ in range(USERS)]
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(PLAY_S):
                while len(platform.ended(ENDS)) < MACHINES:
                    await platform.next_end()
        for group in groups:
            record.say(f"uploads to {group.service}: {group.results}")
        peaks = ", ".join(f"{name} {peak:.0f} MB" for name, peak in platform.peaks.items())
        record.say(f"largest: {peaks}; ends over the limit: {platform.ends}")
        often = platform.ended(ENDS)
        record.say(f"Fault: ended {ENDS} times for want of memory: {', '.join(often) or 'none'}")
        return stand.BROKEN if len(often) >= MACHINES else stand.HELD
    finally:
        for task in tasks:
            task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await task
        for server in servers:
            server.stop()
        await mesh.stop()


if __name__ == "__main__":
    stand.main(FOLDER, play)
