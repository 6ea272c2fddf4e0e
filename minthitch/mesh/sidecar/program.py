"""The sidecar's process: settings, listeners, shutdown on SIGTERM."""

from __future__ import annotations

import asyncio
import signal
import time
from typing import TYPE_CHECKING
from weakref import WeakSet

from minthitch.mesh.configuration.settings import NodeSettings
from minthitch.mesh.events.events import Event, log_event
from minthitch.mesh.http.listener import Listener
from minthitch.mesh.http.runtime import load_seeds, run
from minthitch.mesh.sidecar.body_memory import body_memory_bytes
from minthitch.mesh.sidecar.handlers import AdminHandler
from minthitch.mesh.sidecar.shutdown_schedule import ShutdownSchedule
from minthitch.mesh.sidecar.sidecar import Sidecar
from minthitch.mesh.transport.connection import Connection

if TYPE_CHECKING:
    from minthitch.mesh.sidecar.memory_usage import MemoryUsage

POLL_INTERVAL_S = 0.1  # between two checks for open requests in a shutdown
RESERVED_DESCRIPTORS = 200  # for files, mesh connections and listeners
BACKLOG = 256


def required_settings(settings: NodeSettings) -> tuple[tuple[str, str], ...]:
    """Settings that a sidecar needs, by key."""
    return (
        ("Self.Upstream", settings.own.upstream),
        ("Self.Svc", settings.own.svc),
        ("Net.Bind.Out", settings.net.bind.out),
        ("Net.Bind.Readyz", settings.net.bind.readyz),
        ("Net.Bind.Ctl", settings.net.bind.ctl),
    )


async def serve(settings: NodeSettings) -> int:
    """Serves until the shutdown that SIGTERM starts is over. Returns the exit code."""
    loop = asyncio.get_running_loop()
    sidecar = Sidecar(settings, int(time.time() * 1000))
    memory = body_memory_bytes(settings.own.limits.mem_mb)
    max_connections = max((settings.own.limits.nofile - RESERVED_DESCRIPTORS) * 2 // 3, 64)
    admin = AdminHandler(sidecar)
    clients = Listener(sidecar, max_connections, memory)
    listeners = (
        (settings.net.bind.out, clients),
        (settings.net.bind.readyz, Listener(admin, 64, 0)),
        (settings.net.bind.ctl, Listener(admin, 64, 0)),
    )
    for address, listener in listeners:
        if address:
            try:
                await listener.open(address)
            except OSError as err:
                log_event(Event.BIND, address=address, why=err)
                return 1
    inbound = WeakSet[Connection]()

    def accepted() -> Connection:
        connection = Connection(sidecar)
        inbound.add(connection)
        return connection

    def measure() -> MemoryUsage:
        from minthitch.mesh.sidecar.memory_usage import measure_memory  # loaded with the first Mesh.Status

        return measure_memory(sidecar, clients, inbound)

    admin.measure_memory = measure

    def unsent() -> int:
        return sum(listener.unsent_bytes() for _, listener in listeners) + sum(
            one.unsent_bytes() for one in inbound
        )

    peer_server = await loop.create_server(accepted, settings.own.ip, sidecar.port, backlog=BACKLOG)
    stop = asyncio.Event()
    loop.add_signal_handler(signal.SIGTERM, stop.set)
    loop.add_signal_handler(signal.SIGINT, stop.set)
    loop.add_signal_handler(signal.SIGHUP, lambda: sidecar.controls.connect_to(load_seeds()))
    log_event(Event.STARTED, program="sidecar", node=settings.own.node, zone=settings.own.az)
    await stop.wait()
    log_event(Event.SIGTERM, open=sidecar.open_count())
    schedule = ShutdownSchedule(loop.time(), settings.terms.bounds.grace_s)
    sidecar.begin_shutdown(schedule)
    # A response that is written may still be in a buffer, and would be lost with the process.
    while not schedule.may_end(loop.time(), is_idle=not sidecar.open_count() and not unsent()):
        await asyncio.sleep(POLL_INTERVAL_S)
    sidecar.log_unanswered()
    log_event(Event.ENDED, after=loop.time() - schedule.began_at, open=sidecar.open_count())
    peer_server.close()
    for _, listener in listeners:
        listener.close()
    sidecar.close()
    return 0


def main() -> int:
    """Exit codes: 0 after SIGTERM, 1 where an address can't be bound, 2 for unusable settings."""
    return run(serve, required_settings)
