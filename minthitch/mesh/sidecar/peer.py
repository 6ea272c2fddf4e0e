"""A sidecar's connection to another sidecar: opened with the first call, probed after silence."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any, Protocol, cast

from minthitch.mesh.transport import ops
from minthitch.mesh.transport.connection import Connection
from minthitch.mesh.transport.link import Link

PROBE_AFTER_S = 1.0  # of silence, after which a connection to another sidecar is probed before it is used
# The same for a request that must run at most once: what is written to a dead connection may have run, and is
# lost.
PROBE_AFTER_ONCE_S = 0.2
HOLD_S = 0.15  # for which a call waits for a connection or a probe's answer before it goes to another server
# The same in round trips of earlier probes, where that is longer: on a slow link the answer queues behind
# uploads.
HOLD_ROUND_TRIPS = 4.0
PROBE_TIMEOUT_S = 1.5  # after which a connection without open calls is given up
MAX_CALL_AGE_S = PROBE_TIMEOUT_S + 0.5  # a call waits for longer only where this process was stopped
ROUND_TRIP_DECAY = 0.7  # weight of the known round trip when a probe is faster; a slower one counts in full
HELD_OPS = (ops.CALL, ops.OFFER)  # go to another server when no connection takes them in time


class PeerHost(Protocol):
    """Receives what other sidecars answer."""

    def on_peer_message(self, peer: Peer, message: ops.Message) -> None: ...
    def on_peer_lost(self, peer: Peer) -> None: ...
    def on_unsent(self, idents: list[int]) -> None: ...


class _PendingMessage:
    """A message that waits for a connection."""

    __slots__ = ("message", "rank", "on_sent", "queued_at")

    def __init__(
        self, message: ops.Message, rank: int, on_sent: Callable[[Any], None], queued_at: float
    ) -> None:
        self.message, self.rank, self.on_sent, self.queued_at = message, rank, on_sent, queued_at

    @property
    def ident(self) -> int:
        return cast(int, self.message[1])

    @property
    def is_call(self) -> bool:
        return bool(self.message[0] in HELD_OPS)


class Peer:
    """The connection to one other sidecar, opened with the first call.

    What is still unsent when the connection is lost is reported with `on_peer_lost`.
    """

    def __init__(self, host: PeerHost, ip: str, port: int, name: str) -> None:
        self.host, self.ip = host, ip
        self.link = Link(self, (ip, port), (ops.HELLO, ops.PEER, name))
        self.link.on_up, self.link.on_down = self._on_connected, self._on_link_down
        self.loop = asyncio.get_running_loop()
        self.probe_timer: asyncio.TimerHandle | None = None  # set while the connection is probed
        self.hold_timer: asyncio.TimerHandle | None = None  # set while calls wait
        self.probed_at, self.round_trip = 0.0, 0.0  # time of the last probe; round trip in seconds
        self.pending: list[_PendingMessage] = []

    def send(
        self, message: ops.Message, rank: int, on_sent: Callable[[Any], None], at_most_once: bool = False
    ) -> None:
        """`on_sent` gets the queued message once a connection has it; before that it surely was not sent.

        `at_most_once`: it must not be sent again, so it would be lost with a connection that proves dead.
        """
        connection = self.link.connection if self.link.up else None
        max_silence = PROBE_AFTER_ONCE_S if at_most_once else PROBE_AFTER_S
        if (
            connection is not None
            and self.probe_timer is None
            and self.loop.time() - connection.last_received < max_silence
        ):
            on_sent(connection.send(message, rank))
            return
        self.pending.append(_PendingMessage(message, rank, on_sent, self.loop.time()))
        if message[0] in HELD_OPS and self.hold_timer is None:
            hold = min(max(HOLD_S, HOLD_ROUND_TRIPS * self.round_trip), PROBE_TIMEOUT_S)
            self.hold_timer = self.loop.call_later(hold, self._on_hold_timeout)
        if connection is None:
            self.link.start()
        elif self.probe_timer is None:
            self._probe(connection)

    def _on_connected(self, link: Link) -> None:
        """Sends nothing before the other process has answered a probe.

        The kernel accepts connections, and what is written to them, also for a process that is stopped.
        """
        if link.connection is not None:
            self._probe(link.connection)

    def _probe(self, connection: Connection) -> None:
        self.probe_timer, self.probed_at = (
            self.loop.call_later(PROBE_TIMEOUT_S, self._on_probe_timeout, connection),
            self.loop.time(),
        )
        connection.probe(self._on_probe_answer)

    def _on_probe_answer(self) -> None:
        took = self.loop.time() - self.probed_at
        self.round_trip = max(took, ROUND_TRIP_DECAY * self.round_trip + (1.0 - ROUND_TRIP_DECAY) * took)
        self._send_pending()

    def _on_hold_timeout(self) -> None:
        """Calls that no connection has taken go to another server; other messages go on waiting."""
        self.hold_timer = None
        calls = [row.ident for row in self.pending if row.is_call]
        self.pending = [row for row in self.pending if not row.is_call]
        if calls:
            self.host.on_unsent(calls)

    def withdraw(self, ident: int) -> None:
        """Drops a message that is not sent yet."""
        self.pending = [row for row in self.pending if row.ident != ident]

    def _on_probe_timeout(self, connection: Connection) -> None:
        self.probe_timer = None
        # An outstanding call may have run and still be answered: there the connection's own heartbeats
        # decide.
        if not connection.outstanding:
            connection.close()  # else the next call might wait as long behind the same cut

    def _cancel_timers(self) -> None:
        for timer in (self.probe_timer, self.hold_timer):
            if timer is not None:
                timer.cancel()
        self.probe_timer = self.hold_timer = None

    def _send_pending(self) -> None:
        self._cancel_timers()
        pending, self.pending = self.pending, []
        stale = []
        for row in pending:
            if row.is_call and self.loop.time() - row.queued_at > MAX_CALL_AGE_S:
                # This process was stopped: the time that the call states may be over, and the claim on its
                # key too.
                stale.append(row.ident)
            else:
                row.on_sent(self.link.send(row.message, row.rank))
        if stale:
            self.host.on_unsent(stale)

    def _on_link_down(self, link: Link) -> None:
        self._cancel_timers()
        self.pending.clear()  # what is lost with the link is reported as never sent, so it must not be sent
        self.host.on_peer_lost(self)
        if link.retry_timer is not None:  # the next message connects again
            link.retry_timer.cancel()
            link.retry_timer = None

    def on_message(self, connection: Connection, message: ops.Message) -> None:
        self.host.on_peer_message(self, message)

    def on_connection_lost(self, connection: Connection) -> None:
        pass  # `_on_link_down` follows

    def close(self) -> None:
        self._cancel_timers()
        self.link.close()
