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
MAX_BUFFERED_BODY_BYTES = 16 * 1024 * 1024  # total size of long bodies that are received at the same time
BACKLOG = 512  # connections waiting to be accepted
FLUSH_DELAY_S = 0.3  # for sending the last answers before the connections are closed
EXIT_OK, EXIT_ADDRESS, EXIT_DISK = 0, 1, 3


def required_settings(settings: NodeSettings) -> tuple[tuple[str, str], ...]:
    """Key and value of each setting that a control node requires."""
    return (("Self.Datadir", settings.own.datadir), ("Net.Bind.Ctl", settings.net.bind.ctl))


async def serve(settings: NodeSettings) -> int:
    """Serve until SIGTERM. Returns the exit code."""
    loop = asyncio.get_running_loop()
    try:
        server = ControlServer(settings)
    except (StoreError, OSError) as error:
        log_event(Event.DISK_USELESS, why=error)
        return EXIT_DISK
    handlers = ControlHandlers(server)
    listener = Listener(handlers, MAX_CLIENTS, MAX_BUFFERED_BODY_BYTES)
    try:
        peers = await loop.create_server(
            lambda: Connection(server), settings.own.ip, server.port, backlog=BACKLOG
        )
        await listener.open(settings.net.bind.ctl)
    except OSError as error:
        log_event(Event.BIND, address=settings.net.bind.ctl, why=error)
        return EXIT_ADDRESS
    _handle_signals(loop, server)
    log_event(Event.STARTED, program="control", node=settings.own.node, zone=settings.own.az)
    await server.stop_requested.wait()
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
        loop.add_signal_handler(number, server.stop_requested.set)
    loop.add_signal_handler(signal.SIGHUP, lambda: server.peer_links.connect_to(load_seeds()))


async def _shut_down(
    loop: asyncio.AbstractEventLoop, server: ControlServer, handlers: ControlHandlers
) -> bool:
    """Hand over leadership and answer open calls. False if the disk failed meanwhile.

    Acknowledged data may be missing after a disk failure, so nothing more is answered.
    """
    log_event(Event.SIGTERM, open=len(server.calls.open_calls))
    started_at = loop.time()
    handlers.shutting_down = True
    server.begin_shutdown()
    await server.may_end.wait()
    if server.failure is not None:
        log_event(Event.FAULT, what=repr(server.failure))
        return False
    await asyncio.sleep(FLUSH_DELAY_S)
    log_event(Event.ENDED, after=loop.time() - started_at, open=len(server.calls.open_calls))
    return True


def main() -> int:
    """Run the process.

    Returns:
        0 after SIGTERM, 1 for an address that can't be bound, 2 for invalid settings, 3 for an unusable
        disk or an internal failure.
    """
    return run(serve, required_settings)
