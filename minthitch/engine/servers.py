"""Maps servers from their names in lists to the numbers used by the decisions. No I/O; takes times."""

from __future__ import annotations

from minthitch import interface as api
from minthitch.listing import Host, Listing

MAX_NAMES = 1_000  # distinct zones, and kinds; all further ones share one number


class Server:
    """One process of a server at one address. A restart or a new address makes a new Server."""

    __slots__ = ("name", "number", "host", "port", "born_ms", "entry", "withdrawn_at", "replaced")

    def __init__(
        self, name: str, number: int, host: str, port: int, born_ms: int, entry: api.ServerEntry
    ) -> None:
        self.name, self.number, self.host, self.port = name, number, host, port
        self.born_ms, self.entry = born_ms, entry
        self.withdrawn_at = 0  # when a list said that it drains or is gone; 0 = neither
        self.replaced = False  # restarted, or listed at another address

    @property
    def identity(self) -> str:
        """Equal in all nodes, for as long as the server process runs."""
        return f"{self.name} {self.born_ms}"

    @property
    def is_usable(self) -> bool:
        """Whether idle connections to it should be kept."""
        return not self.withdrawn_at and not self.replaced


class ServerTable:
    """Servers by name, and by the number that the decisions use."""

    def __init__(self, settings: api.Settings) -> None:
        self.zones = {name: i for i, name in enumerate(settings.zones)}
        self.kinds = {name: i for i, name in enumerate(settings.kinds)}
        self.by_name: dict[str, Server] = {}
        self.by_number: dict[int, Server] = {}
        self.next_server = 1
        self.seq = 0
        self._now = self._wall = 0
        self._to_hang_up: list[Server] = []

    def apply(
        self, listing: Listing, kind: api.ListKind, now: int, wall: int
    ) -> tuple[tuple[api.ServerEntry, ...], list[Server]]:
        """Applies a list at `now` (monotonic ns) and `wall` (Unix ns).

        Returns the entries for the decisions, and the servers whose idle connections must be closed.
        """
        self._now, self._wall, self._to_hang_up = now, wall, []
        entries = tuple(entry for host in listing.hosts if (entry := self._entry(host)))
        if kind is not api.ListKind.CHANGES:
            # An invalid entry in a full list must not remove its server, which may serve well.
            invalid = {name for name, _ in listing.invalid}
            entries += tuple(self.by_name[name].entry for name in sorted(invalid) if name in self.by_name)
            listed = {host.name for host in listing.hosts} | invalid
            for name in [name for name in self.by_name if name not in listed]:
                self._remove(name)
        self.seq = listing.seq
        return entries, self._to_hang_up

    def kind_number(self, name: str) -> int:
        """Returns the number of a kind, assigning one if no list has named it yet."""
        return self._number(self.kinds, name)

    @staticmethod
    def _number(table: dict[str, int], name: str) -> int:
        if name not in table and len(table) >= MAX_NAMES:  # bounds memory against bad lists
            return MAX_NAMES
        return table.setdefault(name, len(table))

    def _entry(self, host: Host) -> api.ServerEntry | None:
        if host.state == "removed":
            server = self._remove(host.name)
            return api.ServerEntry(server.number, api.State.GONE) if server else None
        known = self.by_name.get(host.name)
        number, started = self._identity(known, host)
        entry = api.ServerEntry(
            number,
            api.State.DRAINING if host.state == "draining" else api.State.READY,
            self._number(self.zones, host.zone),
            host.cell,
            self._number(self.kinds, host.kind),
            started,
            host.weight,
        )
        now_at = (host.address, host.port, host.born_ms)
        if known is None or (known.host, known.port, known.born_ms) != now_at:
            if known is not None:  # idle connections lead to the old process
                known.replaced = True
                self._to_hang_up.append(known)
            known = Server(host.name, number, host.address, host.port, host.born_ms, entry)
            self.by_name[host.name] = self.by_number[number] = known
        known.entry = entry
        if host.state == "draining":
            self._withdraw(known)
        else:
            known.withdrawn_at = 0
        return entry

    def _identity(self, known: Server | None, host: Host) -> tuple[int, int]:
        """Returns number and start time (monotonic ns); neither changes until the server restarts."""
        number = self.next_server if known is None else known.number
        self.next_server += known is None
        if not host.born_ms or (known is not None and known.born_ms == host.born_ms):
            return number, known.entry.started if known is not None and host.born_ms else 0
        started = self._now - (self._wall - host.born_ms * api.MILLISECOND)
        return number, started or 1  # 0 means long ago

    def _withdraw(self, server: Server) -> None:
        server.withdrawn_at = server.withdrawn_at or self._now
        self._to_hang_up.append(server)

    def _remove(self, name: str) -> Server | None:
        server = self.by_name.pop(name, None)
        if server is not None:
            self._withdraw(server)
            self.by_number.pop(server.number, None)
        return server
