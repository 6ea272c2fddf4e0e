"""A link keeps one connection up to a given address, and reconnects when it is lost."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from minthitch.mesh.transport import ops
from minthitch.mesh.transport.connection import Connection, MessageReceiver
from minthitch.mesh.transport.framing import OutgoingMessage

# Connect timeouts of successive attempts, in turn. An attempt that began while the other machine was
# unreachable waits for the retransmission of its lost first packet and would delay noticing that the machine
# is back, so most are short; a connection over a congested network needs the longer time.
CONNECT_TIMEOUTS_S = (0.25, 0.25, 1.0)
STALE_CONNECT_S = 0.1  # a connection attempt older than this is restarted once the peer is known to be alive
RETRY_DELAYS_S = (0.05, 0.1, 0.2, 0.25)  # between attempts: short, so that a restarted peer is noticed soon


class Link:
    """Keeps a connection up to one address, from `start` or the first message on.

    A message is given to at most one connection: what a connection has not sent is lost with it.
    """

    def __init__(self, receiver: MessageReceiver, address: tuple[str, int], hello: ops.Message) -> None:
        self.receiver, self.address, self.hello = receiver, address, hello
        self.loop = asyncio.get_running_loop()
        self.connection: Connection | None = None
        self.failures = 0  # consecutive
        self.connect_task: asyncio.Task[None] | None = None
        self.retry_timer: asyncio.TimerHandle | None = None
        self.on_up: Callable[[Link], None] | None = None
        self.on_down: Callable[[Link], None] | None = None
        self.closed = False
        self.connect_started = 0.0  # when the current connection attempt began

    @property
    def up(self) -> bool:
        return self.connection is not None and self.connection.up

    def start(self) -> None:
        """Connect, and reconnect whenever the connection is lost."""
        if self.connect_task is None and self.retry_timer is None and not self.up and not self.closed:
            self.connect_started = self.loop.time()
            self.connect_task = self.loop.create_task(self._connect())

    async def _connect(self) -> None:
        connection = Connection(self)
        try:
            async with asyncio.timeout(CONNECT_TIMEOUTS_S[self.failures % len(CONNECT_TIMEOUTS_S)]):
                await self.loop.create_connection(lambda: connection, *self.address)
        except (OSError, TimeoutError):
            self.connect_task = None
            connection.close()
            self._schedule_retry()
            return
        except asyncio.CancelledError:
            connection.close()  # it may be established already, and nothing else refers to it
            raise
        self.connect_task = None
        if self.closed:
            connection.close()
            return
        if not connection.up:  # it was lost before this task resumed
            self._schedule_retry()
            return
        self.connection, self.failures = connection, 0
        connection.between_sidecars = self.hello[1] == ops.PEER
        connection.send(self.hello, 0)
        if self.on_up is not None:
            self.on_up(self)

    def _schedule_retry(self) -> None:
        delay = RETRY_DELAYS_S[min(self.failures, len(RETRY_DELAYS_S) - 1)]
        self.failures += 1
        if not self.closed:
            self.retry_timer = self.loop.call_later(delay, self._retry)
        if self.on_down is not None:
            self.on_down(self)

    def reconnect_now(self) -> None:
        """The peer has connected to this process, so it is alive: connect without further delay."""
        self.failures = 0
        if self.connect_task is not None and self.loop.time() - self.connect_started > STALE_CONNECT_S:
            # Its first packet was probably lost; the operating system retransmits it only after a second.
            self.connect_task.cancel()
            self.connect_task = None
            self.start()
        if self.retry_timer is not None:
            self.retry_timer.cancel()
            self._retry()

    def _retry(self) -> None:
        self.retry_timer = None
        self.start()

    def send(self, message: ops.Message, priority: int = 1) -> OutgoingMessage | None:
        """Queue a message; None without a connection: it is not sent and never will be.

        Raises:
            ProtocolError: The message is too long.
        """
        if self.connection is None or not self.connection.up:
            self.start()
            return None
        return self.connection.send(message, priority)

    def on_message(self, connection: Connection, message: ops.Message) -> None:
        """Ignore messages of earlier connections: what was outstanding there has been reported as lost."""
        if connection is self.connection:
            self.receiver.on_message(connection, message)

    def on_connection_lost(self, connection: Connection) -> None:
        if connection is self.connection:
            self.connection = None
            self.receiver.on_connection_lost(connection)
            self._schedule_retry()

    def close(self) -> None:
        self.closed = True
        for handle in (self.retry_timer, self.connect_task):
            if handle is not None:
                handle.cancel()
        if self.connection is not None:
            self.connection.close()
