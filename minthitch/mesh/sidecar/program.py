"""The life of the sidecar's process: settings, listeners, SIGTERM."""

from __future__ import annotations

import asyncio
import signal
import time
from weakref import WeakSet

from minthitch.mesh.configuration.settings import NodeSettings
from minthitch.mesh.events.events import Event, log_event
from minthitch.mesh.http.listener import Listener
from minthitch.mesh.http.runtime import load_seeds, run
from minthitch.mesh.sidecar.front import Front
from minthitch.mesh.sidecar.handlers import Counter
from minthitch.mesh.sidecar.shutdown_schedule import ShutdownSchedule
from minthitch.mesh.transport.connection import Connection

LOOK = 0.1  # seconds between two looks at what is open while it ends
RESERVE = 200  # descriptors for files, lines and listeners
RESIDENT_MB = 60.0  # megabytes that the process holds without long bodies
BACKLOG = 256


def needs(boot: NodeSettings) -> tuple[tuple[str, str], ...]:
    """What a sidecar can't do without, by key."""
    return (
        ("Self.Upstream", boot.own.upstream),
        ("Self.Svc", boot.own.svc),
        ("Net.Bind.Out", boot.net.bind.out),
        ("Net.Bind.Readyz", boot.net.bind.readyz),
        ("Net.Bind.Ctl", boot.net.bind.ctl),
    )


async def serve(boot: NodeSettings) -> int:
    """Serves until SIGTERM has been answered. Gives the exit code."""
    loop = asyncio.get_running_loop()
    front = Front(boot, int(time.time() * 1000))
    memory = int(max(boot.own.limits.mem_mb - RESIDENT_MB, 16.0) * 1024 * 1024) // 3
    most = max((boot.own.limits.nofile - RESERVE) * 2 // 3, 64)
    counter = Counter(front)
    doors = (
        (boot.net.bind.out, Listener(front, most, memory)),
        (boot.net.bind.readyz, Listener(counter, 64, 0)),
        (boot.net.bind.ctl, Listener(counter, 64, 0)),
    )
    for address, listener in doors:
        if address:
            try:
                await listener.open(address)
            except OSError as err:
                log_event(Event.BIND, address=address, why=err)
                return 1
    inbound = WeakSet[Connection]()

    def accepted() -> Connection:
        connection = Connection(front)
        inbound.add(connection)
        return connection

    def unsent() -> int:
        return sum(listener.unsent_bytes() for _, listener in doors) + sum(
            one.unsent_bytes() for one in inbound
        )

    lines = await loop.create_server(accepted, boot.own.ip, front.port, backlog=BACKLOG)
    ending = asyncio.Event()
    loop.add_signal_handler(signal.SIGTERM, ending.set)
    loop.add_signal_handler(signal.SIGINT, ending.set)
    loop.add_signal_handler(signal.SIGHUP, lambda: front.controls.know(load_seeds()))
    log_event(Event.STARTED, program="sidecar", node=boot.own.node, zone=boot.own.az)
    await ending.wait()
    log_event(Event.SIGTERM, open=front.open())
    schedule = ShutdownSchedule(loop.time(), boot.terms.bounds.grace_s)
    front.leave(schedule)
    # Danger: an answer that is written may not have left yet, and ends with the process.
    while not schedule.may_end(loop.time(), is_idle=not front.open() and not unsent()):
        await asyncio.sleep(LOOK)
    front.log_unanswered()
    log_event(Event.ENDED, after=loop.time() - schedule.began_at, open=front.open())
    lines.close()
    for _, listener in doors:
        listener.close()
    front.close()
    return 0


def main() -> int:
    """Exit codes: 0 after SIGTERM, 1 for an address that can't be had, 2 for settings that can't be used."""
    return run(serve, needs)
