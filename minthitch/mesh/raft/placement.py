"""Placement of voters in zones and regions: which losses a group tolerates, and which swap improves that.

Pure functions. A group of n voters tolerates the loss of any z zones if the z zones with the most voters
have fewer than half of them, so that the rest is a majority.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping
from typing import NamedTuple


class Location(NamedTuple):
    """The failure domains of a machine."""

    zone: str
    region: str


class Tolerated(NamedTuple):
    """Simultaneous losses to tolerate: this many machines, or zones, or regions."""

    machines: int = 1
    zones: int = 0
    regions: int = 0

    @property
    def depends_on_location(self) -> bool:
        """Whether the loss of zones or regions has to be tolerated."""
        return self.zones > 0 or self.regions > 0


def target_group_size(tolerated: Tolerated) -> int:
    """Smallest group that tolerates it: of 2x + 1 voters in separate domains, x losses leave a majority."""
    return 2 * max(1, *tolerated) + 1


def shortfall(
    voters: Iterable[str], locations: Mapping[str, Location], tolerated: Tolerated
) -> tuple[int, int]:
    """Voters missing for a majority after the worst loss of regions, and of zones; (0, 0): tolerated.

    A voter whose location is unknown counts as lost with every zone and every region.
    """
    found = [locations.get(voter.partition("#")[0]) for voter in voters]
    known = [location for location in found if location is not None]
    unknown = len(found) - len(known)
    regions = [location.region for location in known]
    zones = [
        f"{location.region}/{location.zone}" for location in known
    ]  # two regions may use the same zone name
    return (
        _missing_voters(regions, unknown, tolerated.regions),
        _missing_voters(zones, unknown, tolerated.zones),
    )


def _missing_voters(domains: list[str], unknown: int, losses: int) -> int:
    """Voters missing for a majority after the loss of the `losses` domains with the most voters."""
    if losses <= 0:
        return 0
    count = len(domains) + unknown
    lost = unknown + sum(number for _, number in Counter(domains).most_common(losses))
    return max(0, count // 2 + 1 - (count - lost))


def tolerates(voters: Iterable[str], locations: Mapping[str, Location], tolerated: Tolerated) -> bool:
    """Whether the group keeps a majority after each loss that has to be tolerated."""
    voters = tuple(voters)
    enough = len(voters) >= 2 * tolerated.machines + 1
    return enough and shortfall(voters, locations, tolerated) == (0, 0)


def improves(
    voters: tuple[str, ...],
    learner: str,
    leader: str,
    locations: Mapping[str, Location],
    tolerated: Tolerated,
) -> bool:
    """Whether swapping a voter other than the leader for `learner` lowers the shortfall.

    False unless all locations are known.
    """
    all_known = all(name.partition("#")[0] in locations for name in (*voters, learner))
    if not tolerated.depends_on_location or not all_known:
        return False
    present_shortfall = shortfall(voters, locations, tolerated)
    if present_shortfall == (0, 0):
        return False
    enlarged = (*voters, learner)
    removed = least_useful(enlarged, leader, locations, tolerated)
    swapped = tuple(name for name in enlarged if name != removed)
    return removed != learner and shortfall(swapped, locations, tolerated) < present_shortfall


def least_useful(
    voters: tuple[str, ...], leader: str, locations: Mapping[str, Location], tolerated: Tolerated
) -> str:
    """The first voter other than the leader whose removal leaves the least shortfall; empty: none."""

    def shortfall_without(name: str) -> tuple[int, int]:
        return shortfall([voter for voter in voters if voter != name], locations, tolerated)

    return min((name for name in voters if name != leader), key=shortfall_without, default="")
