"""State updates from a control node to sidecars: deltas, batched, each packed once for many sidecars."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
from typing import Protocol, cast

import msgpack

from minthitch.mesh.control.state_machine import StateMachine
from minthitch.mesh.raft.membership import address_of
from minthitch.mesh.raft.node import RaftNode
from minthitch.mesh.registry.registry import Registry
from minthitch.mesh.transport import ops
from minthitch.mesh.transport.compression import compress
from minthitch.mesh.transport.connection import Connection
from minthitch.mesh.transport.control_messages import SidecarReport

BATCH_INTERVAL_S = 0.04  # between two updates; a single one is sent at once
NO_CONFIGURATION = -1


class Host(Protocol):
    """The control node that sends the updates."""

    raft: RaftNode
    state: StateMachine
    loop: asyncio.AbstractEventLoop

    def is_up_to_date(self, now: float) -> bool:
        """Whether all entries known to be committed are applied."""


class Subscriber:
    """A connected sidecar, and the state that it was sent."""

    __slots__ = ("configuration_index", "registry_version", "ip", "epoch")

    def __init__(self, ip: str, epoch: int) -> None:
        self.ip = ip
        self.epoch = epoch
        self.configuration_index = NO_CONFIGURATION
        self.registry_version = 0


class SidecarUpdates:
    """Sends updates to the connected sidecars."""

    def __init__(self, host: Host, registry: Registry) -> None:
        self.subscribers: dict[Connection, Subscriber] = {}
        self._host = host
        self._registry = registry
        self._last_sent = float("-inf")
        self._timer: asyncio.TimerHandle | None = None

    def on_report(self, connection: Connection, report: SidecarReport) -> None:
        """Handle a sidecar's report of its own state and of the configuration that it has."""
        record = report.record
        subscriber = self.subscribers.get(connection)
        if subscriber is None:
            subscriber = self.subscribers[connection] = Subscriber(record.ip, record.epoch)
        index = subscriber.configuration_index
        is_behind = index < 0 or report.configuration_index < index
        if is_behind:
            subscriber.configuration_index = report.configuration_index
        if self._registry.update(self._host.loop.time(), record) or is_behind:
            self.schedule()

    def on_connection_lost(self, connection: Connection) -> None:
        """Handle the loss of a connection."""
        self.subscribers.pop(connection, None)

    def refresh_liveness(self) -> None:
        """Count sidecars with a live connection as alive; drop those without contact."""
        for connection, subscriber in self.subscribers.items():
            self._registry.refresh(subscriber.ip, subscriber.epoch, connection.last_received)
        if self._registry.expire(self._host.loop.time()):
            self.schedule()

    def schedule(self) -> None:
        """Schedule an update; all changes within BATCH_INTERVAL_S are sent in one message.

        With one message for each change, N sidecars that start together would cause N x N messages.
        """
        if self._timer is None:
            delay = self._last_sent + BATCH_INTERVAL_S - self._host.loop.time()
            self._timer = self._host.loop.call_later(max(delay, 0.0), self._send_scheduled)

    def _send_scheduled(self) -> None:
        self._timer = None
        self.send(to_all=False)

    def send(self, *, to_all: bool) -> None:
        """Send each sidecar what it lacks; with `to_all` also an update without changes, as a keep-alive."""
        version, index = self._registry.version, self._host.state.items.index
        due = [
            (connection, subscriber)
            for connection, subscriber in self.subscribers.items()
            if to_all or subscriber.registry_version < version or subscriber.configuration_index < index
        ]
        if due:
            self._last_sent = self._host.loop.time()
            self._send_to(due)

    def _send_to(self, due: Iterable[tuple[Connection, Subscriber]]) -> None:
        items = self._host.state.items
        up_to_date = self._host.is_up_to_date(self._host.loop.time())
        head = self._head(up_to_date)
        packed_messages: dict[tuple[int, int], bytes] = {}
        deltas: dict[int, bytes | None] = {NO_CONFIGURATION: None}
        for connection, subscriber in due:
            lacks_changes = items.index > subscriber.configuration_index >= 0
            after = subscriber.configuration_index if up_to_date and lacks_changes else NO_CONFIGURATION
            packed = packed_messages.get((subscriber.registry_version, after))
            if packed is None:
                if after not in deltas:
                    deltas[after] = compress(items.since(after))
                packed = self._pack(head, deltas[after], subscriber.registry_version)
                packed_messages[subscriber.registry_version, after] = packed
            subscriber.registry_version = self._registry.version
            if after >= 0:
                subscriber.configuration_index = items.index
            connection.send_packed(packed, 0)

    def _head(self, up_to_date: bool) -> ops.Message:
        raft = self._host.raft
        control_nodes = tuple(address_of(member) for member in raft.voters)
        return (ops.CONTROL_STATE, up_to_date, raft.term, address_of(raft.leader or ""), control_nodes)

    def _pack(self, head: ops.Message, configuration: bytes | None, registry_version: int) -> bytes:
        delta = self._registry.since(registry_version)
        is_complete = delta.complete and bool(delta.changed)
        message = (*head, configuration, is_complete, delta.changed, delta.dropped)
        return cast(bytes, msgpack.packb(message))

    def close(self) -> None:
        """Cancel the scheduled update."""
        if self._timer is not None:
            self._timer.cancel()
