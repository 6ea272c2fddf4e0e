"""A server leaves, its sidecar is killed and restarted, and a heartbeat from before comes late."""

from __future__ import annotations

import asyncio
import os
import sys
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parents[1] / "lib"))

from mesh import (
    BROKEN,
    HELD,
    Answer,
    Asked,
    Mesh,
    Record,
    Server,
    UnableError,
    configuration,
    main,
    route,
)

DRAIN_S, CONTACT_S = 2.0, 3.0  # Terms.Bnd
KILL_AFTER_S, RESTART_S = 0.3, 0.5  # after the acknowledgement; from the end of the process to its next start
LATE_S = 3.0  # how late the heartbeat comes, after the acknowledgement
SERVES_ON_S = 12.0  # from the acknowledgement to the end of the server
GAP_S, DEADLINE_S, WORK_S = 0.025, 2.0, 0.3  # between two requests; of a request; that a run takes
CLIENTS_AT = (2, 3)  # sidecars that the clients are at
# Both disruptions, or one of them alone: to see what it takes.
WITH_KILL = os.environ.get("KILL", "1") != "0"
WITH_LATE = os.environ.get("LATE", "1") != "0"


async def work(_server: Server, asked: Asked) -> tuple[int, bytes]:
    """Work on a sale."""
    await asyncio.sleep(WORK_S)
    return 200, asked.fields["x-request-id"].encode()


class Clients:
    """Send sales, at most once each, at two sidecars that nothing happens to."""

    def __init__(self, mesh: Mesh) -> None:
        self.mesh = mesh
        self.ends: dict[str, Answer | None] = {}
        self.tasks: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Until cancelled."""
        loop, number = asyncio.get_running_loop(), 0
        while True:
            number += 1
            task = loop.create_task(self._one(f"s{number}", CLIENTS_AT[number % len(CLIENTS_AT)]))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
            await asyncio.sleep(GAP_S)

    async def _one(self, ident: str, at: int) -> None:
        fields = {"X-Request-Id": ident}
        self.ends[ident] = await self.mesh.request(
            self.mesh.sidecars[at], "POST", "/sale/", fields, b"1", DEADLINE_S
        )


async def leave(mesh: Mesh, leaving: Server, *, trouble: bool) -> tuple[float, float]:
    """The server goes; when that was acknowledged, and from when on its sidecar is in touch again."""
    loop, record, sidecar = asyncio.get_running_loop(), mesh.record, mesh.sidecars[0]
    late = leaving.beat()  # made before the server says that it goes
    if not await leaving.deregister():
        raise UnableError("the server's Deregister was not acknowledged")
    acknowledged = in_touch = loop.time()
    record.say(f"{leaving.life} says that it is gone: acknowledged by {sidecar.name}")
    if trouble and WITH_KILL:
        await asyncio.sleep(KILL_AFTER_S)
        await sidecar.kill()
        await asyncio.sleep(RESTART_S)
        await sidecar.start()
        in_touch = loop.time() + CONTACT_S
        record.say(f"{sidecar.name} was killed, and is started again")
        await mesh.until(lambda: mesh.ready(sidecar), f"{sidecar.name} ready")
    await asyncio.sleep(max(acknowledged + LATE_S - loop.time(), 0.0))
    if trouble and WITH_LATE:
        taken = await leaving.deliver(late)
        record.say(f"a heartbeat from before comes {LATE_S:.0f} s late: {'200' if taken else 'not taken'}")
    return acknowledged, in_touch


async def play(record: Record, trouble: bool) -> int:
    """The case."""
    mesh = Mesh(record, ["desk", "desk", "board", "board"])
    loop = asyncio.get_running_loop()
    leaving = mesh.servers[0]
    reached: list[tuple[float, str]] = []  # requests that the leaving server ran, and when they came
    mesh.on_run = lambda server, asked: (
        reached.append((loop.time(), asked.fields["x-request-id"])) if server is leaving else None
    )
    clients, load = Clients(mesh), None
    for server in mesh.servers[:2]:
        server.work = work
    try:
        routes = [
            route("sale", "/sale/", "mutating", "desk"),
            route("board", "/board/", "idempotent", "board"),
        ]
        await mesh.start(configuration(["desk", "board"], routes))
        load = loop.create_task(clients.run())
        await asyncio.sleep(2.0)
        if not reached:
            raise UnableError("the server got no request before it left")
        acknowledged, in_touch = await leave(mesh, leaving, trouble=trouble)
        await asyncio.sleep(max(acknowledged + SERVES_ON_S - loop.time(), 0.0))
        running = leaving.running
        await leaving.stop()
        record.say(f"{leaving.life} ends, {SERVES_ON_S:.0f} s after the acknowledgement")
        await asyncio.sleep(DEADLINE_S + 0.5)
        after = [ident for at, ident in reached if at > acknowledged + DRAIN_S]
        counted = [ident for at, ident in reached if at > max(acknowledged + DRAIN_S, in_touch)]
        told = Counter(str(end.status) if (end := clients.ends.get(ident)) else "none" for ident in after)
        record.say(
            f"{len(after)} requests reached it over DrainS after the acknowledgement: told {dict(told)}"
        )
        record.say(f"{running} of them were at work when it ended")
        record.say(f"DRAIN {'broken' if counted else 'held'}: {len(counted)} with all machines in touch")
        return BROKEN if counted else HELD
    finally:
        if load is not None:
            load.cancel()
        await mesh.end()


main(play)
