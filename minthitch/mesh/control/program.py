"""The life of the control node's process: settings, disk, listeners, SIGTERM."""

from __future__ import annotations

import asyncio
import signal

from minthitch.mesh.storage.errors import StoreError
from minthitch.mesh.control.handlers import Desk
from minthitch.mesh.control.server import ControlServer
from minthitch.mesh.configuration.boot import Boot
from minthitch.mesh.transport.connection import Connection
from minthitch.mesh.events.events import Event, say
from minthitch.mesh.http.runtime import run, seeds
from minthitch.mesh.http.listener import Listener

MOST_CLIENTS = 512
BODIES = 16 * 1024 * 1024  # bytes of long bodies held at once
BACKLOG = 512
LAST_WORDS = 0.3  # seconds in which answers under way still go out


def needs(boot: Boot) -> tuple[tuple[str, str], ...]:
    """What a control node can't do without, by key."""
    return (("Self.Datadir", boot.own.datadir), ("Net.Bind.Ctl", boot.net.bind.ctl))


async def serve(boot: Boot) -> int:
    """Serves until SIGTERM. Gives the exit code."""
    loop = asyncio.get_running_loop()
    try:
        server = ControlServer(boot)
    except (StoreError, OSError) as err:
        say(Event.DISK_USELESS, why=err)
        return 3
    desk = Desk(server)
    listener = Listener(desk, MOST_CLIENTS, BODIES)
    try:
        lines = await loop.create_server(
            lambda: Connection(server), boot.own.ip, server.port, backlog=BACKLOG
        )
        await listener.open(boot.net.bind.ctl)
    except OSError as err:
        say(Event.BIND, address=boot.net.bind.ctl, why=err)
        return 1
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, server.finished.set)
    loop.add_signal_handler(signal.SIGHUP, lambda: server.others.know(seeds()))
    say(Event.STARTED, program="control", node=boot.own.node, zone=boot.own.az)
    await server.finished.wait()
    if server.failed is not None:
        say(Event.FAULT, what=repr(server.failed))
        return 3
    say(Event.TERM, open=len(server.orders.open))
    asked = loop.time()
    desk.leaving = True
    server.retire()
    await server.retired.wait()
    if server.failed is not None:  # danger: what it acknowledged may be missing: it says no more
        say(Event.FAULT, what=repr(server.failed))
        return 3
    await asyncio.sleep(LAST_WORDS)
    say(Event.ENDED, after=loop.time() - asked, open=len(server.orders.open))
    lines.close()
    listener.close()
    server.close()
    return 0


def main() -> int:
    """Exit codes: 0 after SIGTERM, 1 for an address, 2 for settings, 3 for a disk that can't be used."""
    return run(serve, needs)
