"""Pure functions that choose the next voter change from a leader's view of the group.

Each change adds or removes one voter, and the next begins only once it is committed (dissertation, 4.1).
Any majority before and any majority after a change then have a member in common.

A replacement is added *before* the unresponsive voter is removed. A voter that has not responded for a
second or two may only be restarting or frozen, and will return with its disk. So each step has to tolerate
the permanent loss of any k of 2k + 1 voters, whether the unresponsive one or another:

    voters          quorum   permanent losses tolerated
    {A, B, C}       2        any one
    {A, B, C, D}    3        any one, D too
    {A, B, D}       2        any one

Removing first would pass through {A, B}, which tolerates the loss of neither: if C is only restarting, a
disk lost at that moment stops the group for good, although C and the remaining voter have all the data.
Five voters tolerate any two losses in the same way, through {A, B, C, D, E, F}, replacing two voters one
after the other. The cost: with C failed and D just added, A, B and D are all needed for a quorum, where A
and B were enough before. This lasts for one commit, and starts only when D is caught up and responsive;
losing D as well is a second loss, which is more than three voters can tolerate.

A machine that lost its disk returns under a new name. Its old name is removed first, as it will certainly
never respond again. Both changes at once would not be safe: see `Reconfiguration.change_voters`.

Growth beyond the founders adds any learner that requests to join: an even group tolerates as many permanent
losses as the odd group before it. An even group with an unresponsive voter and without a learner removes
that voter, as the odd group tolerates as many losses and needs one voter less for a quorum.

If there is one voter more than the target, an unresponsive one is removed; if all respond again, the one
whose location helps least, or else the one that lags most. A swap that improves placement takes the same
two steps, and begins only while all voters respond.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

from minthitch.mesh.raft.placement import Location, Tolerated, improves, least_useful, shortfall

Voters = tuple[str, ...]


def address_of(name: str) -> str:
    """The IP address in a member's name, `address#incarnation`."""
    return name.partition("#")[0]


class VoterView(NamedTuple):
    """A leader's view of the voters.

    A voter may be neither `responsive` nor `unresponsive`: its response is late, but not late enough for it
    to count as failed.
    """

    leader: str
    voters: Voters  # ordered by replication progress, furthest behind first
    responsive: frozenset[str]  # voters that responded recently, including the leader
    unresponsive: Voters  # voters that count as failed, longest silent first
    target_size: int
    tolerated: Tolerated
    locations: Mapping[str, Location]  # by address; unknown ones are missing

    def without(self, name: str) -> Voters:
        """The voters except one."""
        return tuple(sorted(voter for voter in self.voters if voter != name))

    def with_added(self, name: str) -> Voters:
        """The voters plus one."""
        return tuple(sorted((*self.voters, name)))

    @property
    def all_responsive(self) -> bool:
        """Whether all voters have responded recently."""
        return self.responsive >= set(self.voters)


def can_commit(view: VoterView, voters: Voters, learner: str = "") -> bool:
    """Whether the responsive members of `voters` can commit the change. `learner` counts as responsive."""
    answering = sum(name in view.responsive or name == learner for name in voters)
    return 2 * answering > len(voters)


def voters_adding(view: VoterView, learner: str) -> Voters | None:
    """The voters after the next step towards adding a learner that is caught up; None: no step now."""
    voters = _next_voters(view, learner)
    return voters if voters is not None and can_commit(view, voters, learner) else None


def _next_voters(view: VoterView, learner: str) -> Voters | None:
    same_machine = (name for name in view.voters if address_of(name) == address_of(learner))
    old_name = next(same_machine, None)
    if old_name is not None:
        return None if old_name == view.leader else view.without(old_name)
    if len(view.voters) < view.target_size:
        return view.with_added(learner)
    if len(view.voters) > view.target_size:
        return None
    improves_placement = view.all_responsive and improves(
        view.voters, learner, view.leader, view.locations, view.tolerated
    )
    return view.with_added(learner) if view.unresponsive or improves_placement else None


def voters_without_surplus(view: VoterView) -> Voters | None:
    """The voters without the one that an added replacement made superfluous; None if there is none."""
    if len(view.voters) <= view.target_size:
        return None
    if view.unresponsive:
        superfluous = view.unresponsive[0]
    elif view.all_responsive:
        superfluous = least_useful(view.voters, view.leader, view.locations, view.tolerated)
    else:
        return None
    voters = view.without(superfluous)
    return voters if superfluous and can_commit(view, voters) else None


def voters_without_unresponsive(view: VoterView) -> Voters | None:
    """The voters of an even group without an unresponsive one, for use when there is no learner.

    The smaller group tolerates as many losses and needs one voter less for a quorum.
    """
    if not view.unresponsive or len(view.voters) % 2:
        return None
    voters = view.without(view.unresponsive[0])
    return voters if can_commit(view, voters) else None


def learner_preference(view: VoterView, learner: str) -> tuple[int, int]:
    """Sort key of learners; the lowest is preferred.

    Equal for all if no loss of a zone or region has to be tolerated.
    """
    remaining = view.without(view.unresponsive[0]) if view.unresponsive else view.voters
    return shortfall((*remaining, learner), view.locations, view.tolerated)
