"""The process of a control node: settings, disk, listeners, SIGTERM."""

from __future__ import annotations

import asyncio
import signal

from minthitch.mesh.configuration.settings import NodeSettings
from minthitch.mesh.control.handlers import ControlHandlers
from minthitch.mesh.control.server import ControlServer
from minthitch.mesh.events.events import Event, log_event
from minthitch.mesh.http.listener import Listener
from minthitch.mesh.http.runtime import load_seeds, run
from minthitch.mesh.storage.errors import StoreError
from minthitch.mesh.transport.connection import Connection

MAX_CLIENTS = 512
MAX_BUFFERED_BODY_BYTES = 16 * 1024 * 1024  # of long bodies at the same time
BACKLOG = 512  # connections that wait to be accepted
FINAL_ANSWERS_S = 0.3  # in which answers in flight are still sent
EXIT_OK, EXIT_ADDRESS, EXIT_DISK = 0, 1, 3


def required_settings(boot: NodeSettings) -> tuple[tuple[str, str], ...]:
    """Key and value of each setting that a control node needs."""
    return (("Self.Datadir", boot.own.datadir), ("Net.Bind.Ctl", boot.net.bind.ctl))


async def serve(boot: NodeSettings) -> int:
    """Serve until SIGTERM. Returns the exit code."""
    loop = asyncio.get_running_loop()
    try:
        server = ControlServer(boot)
    except (StoreError, OSError) as error:
        log_event(Event.DISK_USELESS, why=error)
        return EXIT_DISK
    handlers = ControlHandlers(server)
    listener = Listener(handlers, MAX_CLIENTS, MAX_BUFFERED_BODY_BYTES)
    try:
        peers = await loop.create_server(
            lambda: Connection(server), boot.own.ip, server.port, backlog=BACKLOG
        )
        await listener.open(boot.net.bind.ctl)
    except OSError as error:
        log_event(Event.BIND, address=boot.net.bind.ctl, why=error)
        return EXIT_ADDRESS
    _handle_signals(loop, server)
    log_event(Event.STARTED, program="control", node=boot.own.node, zone=boot.own.az)
    await server.finished.wait()
    if server.failure is not None:
        log_event(Event.FAULT, what=repr(server.failure))
        return EXIT_DISK
    if not await _shut_down(loop, server, handlers):
        return EXIT_DISK
    peers.close()
    listener.close()
    server.close()
    return EXIT_OK


def _handle_signals(loop: asyncio.AbstractEventLoop, server: ControlServer) -> None:
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, server.finished.set)
    loop.add_signal_handler(signal.SIGHUP, lambda: server.peer_links.connect_to(load_seeds()))


async def _shut_down(
    loop: asyncio.AbstractEventLoop, server: ControlServer, handlers: ControlHandlers
) -> bool:
    """Hand over and answer what is open. False where the disk failed meanwhile.

    What was acknowledged may be missing then, so nothing more is answered.
    """
    log_event(Event.SIGTERM, open=len(server.calls.open_calls))
    started_at = loop.time()
    handlers.shutting_down = True
    server.begin_shutdown()
    await server.may_end.wait()
    if server.failure is not None:
        log_event(Event.FAULT, what=repr(server.failure))
        return False
    await asyncio.sleep(FINAL_ANSWERS_S)
    log_event(Event.ENDED, after=loop.time() - started_at, open=len(server.calls.open_calls))
    return True


def main() -> int:
    """Run the process.

    Returns:
        0 after SIGTERM, 1 for an address that can't be bound, 2 for settings, 3 for a disk that can't be
        used.
    """
    return run(serve, required_settings)
