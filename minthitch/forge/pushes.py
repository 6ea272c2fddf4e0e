"""What one forge tells the vises that have a line to it."""

from __future__ import annotations

from typing import Protocol

from minthitch.anvil.core import Core
from minthitch.forge.state import State
from minthitch.pulley import ops
from minthitch.pulley.line import Line
from minthitch.rack.table import Rack, Record


class Host(Protocol):
    """The forge whose knowledge is pushed."""

    core: Core
    state: State

    def knows_newest(self, now: float) -> bool: ...
    def time(self) -> float: ...


class Watcher:
    """A vise's line, and what it has been told."""

    __slots__ = ("index", "version", "ip")

    def __init__(self) -> None:
        self.index, self.version, self.ip = -1, 0, ""


class Pushes:
    """The vises' lines; `dirty`: something was applied that they have not been told."""

    def __init__(self, host: Host, rack: Rack) -> None:
        self.host, self.rack = host, rack
        self.watchers: dict[Line, Watcher] = {}
        self.dirty = False

    def report(self, line: Line, message: ops.Message) -> None:
        """What a vise says of itself."""
        record = Record(*message[2:])
        watcher = self.watchers.get(line)
        if watcher is None:
            watcher = self.watchers[line] = Watcher()
            watcher.ip = record.ip
        if watcher.index < 0 or message[1] < watcher.index:
            watcher.index = message[1]
            self._push(line, watcher)
        if self.rack.note(self.host.time(), record):
            self.push(False)

    def fell(self, line: Line) -> None:
        self.watchers.pop(line, None)

    def flush(self) -> None:
        if self.dirty:
            self.dirty = False
            self.push(False)

    def push(self, always: bool) -> None:
        """Tells each vise what it has not been told; `always`: that this one is still there, too."""
        for line, watcher in list(self.watchers.items()):
            if always or watcher.version < self.rack.version or watcher.index < self.host.state.items.index:
                self._push(line, watcher)

    def _push(self, line: Line, watcher: Watcher) -> None:
        core, items = self.host.core, self.host.state.items
        fresh = self.host.knows_newest(self.host.time())
        delta = None
        if fresh and items.index > watcher.index >= 0:
            delta = items.since(watcher.index)
            watcher.index = items.index
        whole, changed, dropped = self.rack.since(watcher.version)
        watcher.version = self.rack.version
        leader = (core.leader or "").partition("#")[0]
        forges = tuple(member.partition("#")[0] for member in core.voters)
        line.send((ops.STATE, fresh, core.term, leader, forges, delta, whole and bool(changed),
                   changed, dropped), 0)
