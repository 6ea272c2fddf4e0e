"""What one control node tells the sidecars that have a line to it: differences, gathered, and packed once
for many."""

from __future__ import annotations

import asyncio
from typing import Protocol, cast

import msgpack

from minthitch.mesh.raft.node import RaftNode
from minthitch.mesh.control.state import State
from minthitch.mesh.transport import ops
from minthitch.mesh.transport.connection import Connection
from minthitch.mesh.transport.compression import squeezed
from minthitch.mesh.registry.records import SidecarRecord
from minthitch.mesh.registry.registry import Registry

GATHER = 0.04  # seconds between two pushes of news; one that comes alone goes at once


class Host(Protocol):
    """The control node whose knowledge is pushed."""

    core: RaftNode
    state: State
    loop: asyncio.AbstractEventLoop

    def knows_newest(self, now: float) -> bool: ...


class Watcher:
    """A sidecar's line, what it has been told, and whose it is."""

    __slots__ = ("index", "version", "ip", "epoch")

    def __init__(self, ip: str, epoch: int) -> None:
        self.index, self.version, self.ip, self.epoch = -1, 0, ip, epoch


class Pushes:
    """The sidecars' lines."""

    def __init__(self, host: Host, registry: Registry) -> None:
        self.host, self.registry = host, registry
        self.watchers: dict[Connection, Watcher] = {}
        self.pushed = float("-inf")  # when news last went out
        self.timer: asyncio.TimerHandle | None = None

    def report(self, connection: Connection, message: ops.Message) -> None:
        """What a sidecar says of itself."""
        record = SidecarRecord(*message[2:])
        watcher = self.watchers.get(connection)
        if watcher is None:
            watcher = self.watchers[connection] = Watcher(record.ip, record.epoch)
        lacks = watcher.index < 0 or message[1] < watcher.index
        if lacks:
            watcher.index = message[1]
        if self.registry.update(self.host.loop.time(), record) or lacks:
            self.news()

    def fell(self, connection: Connection) -> None:
        self.watchers.pop(connection, None)

    def beat(self) -> None:
        """Lines that are alive say that their sidecars are; what is silent too long is dropped."""
        for connection, watcher in self.watchers.items():
            self.registry.refresh(watcher.ip, watcher.epoch, connection.came)
        if self.registry.expire(self.host.loop.time()):
            self.news()

    def news(self) -> None:
        """Something that sidecars must hear: all of it that comes within GATHER goes in one word to each.

        Danger: a push for each report that is news to all is N x N words where N sidecars start at once.
        """
        if self.timer is None:
            wait = self.pushed + GATHER - self.host.loop.time()
            self.timer = self.host.loop.call_later(max(wait, 0.0), self._tell)

    def _tell(self) -> None:
        self.timer = None
        self.push(False)

    def push(self, always: bool) -> None:
        """Tells each sidecar what it has not been told; `always`: that this one is still there, too."""
        version, index = self.registry.version, self.host.state.items.index
        lack = [
            (connection, watcher)
            for connection, watcher in self.watchers.items()
            if always or watcher.version < version or watcher.index < index
        ]
        if lack:
            self.pushed = self.host.loop.time()
            self._push(lack)

    def _push(self, watchers: list[tuple[Connection, Watcher]]) -> None:
        core, items = self.host.core, self.host.state.items
        fresh = self.host.knows_newest(self.host.loop.time())
        controls = tuple(member.partition("#")[0] for member in core.voters)
        head = (ops.STATE, fresh, core.term, (core.leader or "").partition("#")[0], controls)
        packed: dict[tuple[int, int], bytes] = {}
        deltas: dict[int, bytes | None] = {-1: None}
        for connection, watcher in watchers:
            after = watcher.index if fresh and items.index > watcher.index >= 0 else -1
            word = packed.get((watcher.version, after))
            if word is None:
                if after not in deltas:
                    deltas[after] = squeezed(items.since(after))
                whole, changed, dropped = self.registry.since(watcher.version)
                word = packed[watcher.version, after] = cast(
                    bytes, msgpack.packb((*head, deltas[after], whole and bool(changed), changed, dropped))
                )
            watcher.version = self.registry.version
            if after >= 0:
                watcher.index = items.index
            connection.send_packed(word, 0)

    def close(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
