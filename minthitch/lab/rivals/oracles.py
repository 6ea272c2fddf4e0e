"""Choosers that see what no node can: the true state of all servers, at once or late. Pure.

They show how far a day can be served, and what a gate may ask; they are no rivals.
"""

from __future__ import annotations

from collections.abc import Sequence

from minthitch import interface as api
from minthitch.lab.rivals.base import Ask, Rival, Sight, Upstream, World

LATE = api.SECOND  # age at which a late-seeing oracle looks again


class Oracle(Rival):
    """The server with the least work ahead that does not turn slow, and does not fall over, by one call more.

    Where there is none it refuses: its node asks for less than the servers would bear, never for more.
    """

    name = "oracle"
    source = "the lab's own model"
    late = 0  # ns

    def __init__(self, settings: api.Settings, seed: int, world: World) -> None:
        super().__init__(settings, seed, world)
        self.sights: dict[int, tuple[int, Sight | None]] = {}  # by server: when, and what was seen

    def relisted(self) -> None:
        self.sights = {number: sight for number, sight in self.sights.items() if number in self.servers}

    def sight(self, upstream: Upstream) -> Sight | None:
        number = upstream.entry.server
        at, sight = self.sights.get(number, (-self.late - 1, None))
        if self.now > at + self.late or at < 0:
            sight = self.world.see(number)
            self.sights[number] = (self.now, sight)
        return sight

    def pool(self, ask: Ask) -> list[Upstream]:
        return [
            up
            for up in super().pool(ask)
            if (sight := self.sight(up)) is not None and sight.bears and sight.held + 1 <= sight.room
        ]

    def pick(self, ask: Ask, pool: Sequence[Upstream]) -> Upstream:
        def ahead(upstream: Upstream) -> float:
            sight = self.sight(upstream)
            return (sight.held + upstream.open * bool(self.late) + 1) / sight.speed if sight else 0.0

        return min(pool, key=ahead)


class LateOracle(Oracle):
    """The same, by a state up to a second old, with its own calls that are out counted on top."""

    name = "late-oracle"
    late = LATE


ORACLES: dict[str, type[Oracle]] = {oracle.name: oracle for oracle in (Oracle, LateOracle)}
