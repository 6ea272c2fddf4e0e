"""Which change of the voters is due: pure functions of what a leader sees.

One change adds or removes one voter, and the next begins once it is committed (dissertation, 4.1): any
majority before and any majority after a change then have a member in common.

A successor is added *before* the unresponsive voter is removed. That a voter has not answered for a second
or two proves little: its process may be restarting, or frozen, and will be back with its disk. So each step
has to tolerate the permanent loss of any k of 2k + 1 voters, of the unresponsive one or of another:

    voters          quorum   permanent losses tolerated
    {A, B, C}       2        any one
    {A, B, C, D}    3        any one, D too
    {A, B, D}       2        any one

Removal first would pass through {A, B}, which tolerates the loss of neither: if C is only restarting, one
disk lost at that moment stops the group for ever, although C and the other have everything. Five voters
tolerate any two in the same way, by {A, B, C, D, E, F}, with two replaced one after the other. The price:
with C failed and D just added, A, B and D are all needed, where A and B were enough before. That lasts for
one commit, and begins with a D that is caught up and answers; to lose D as well is a second loss, which is
more than three voters can tolerate.

A machine that lost its disk comes back under a new name. Its old name is removed first, as that one surely
never answers again; both changes at once would not be safe: see `Reconfiguration`.

Growth beyond the founders adds any learner that asks: an even group tolerates as many permanent losses as
the odd one before. An even group with an unresponsive voter and without a learner goes on without that
voter, as the odd group tolerates as many losses and needs one voter less for a quorum.

Where there is one voter more than the target, an unresponsive one is removed; if all answer again, the one
whose location helps least, or that lags most. A swap for the sake of placement takes the same two steps,
and begins only while all voters answer.
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
    """What a leader sees of the voters.

    A voter may be neither `responsive` nor `unresponsive`: it is late, and not late enough to count as
    failed.
    """

    leader: str
    voters: Voters  # those that lag most first
    responsive: frozenset[str]  # voters that answered lately, the leader among them
    unresponsive: Voters  # voters that count as failed, the longest first
    target_size: int
    tolerated: Tolerated
    locations: Mapping[str, Location]  # by address, as far as known

    def without(self, name: str) -> Voters:
        """The voters but for one."""
        return tuple(sorted(voter for voter in self.voters if voter != name))

    def with_added(self, name: str) -> Voters:
        """The voters and one more."""
        return tuple(sorted((*self.voters, name)))

    @property
    def all_responsive(self) -> bool:
        """All voters have answered lately."""
        return self.responsive >= set(self.voters)


def can_commit(view: VoterView, voters: Voters, learner: str = "") -> bool:
    """Those of `voters` that answer now can commit the change; `learner` counts where it is among them."""
    answering = sum(name in view.responsive or name == learner for name in voters)
    return 2 * answering > len(voters)


def voters_adding(view: VoterView, learner: str) -> Voters | None:
    """The voters after the next step toward adding a learner that is caught up; None: not now."""
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
    """The voters without the one that an added successor made superfluous; None where there is none."""
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
    """An even group without an unresponsive voter, where there is no learner.

    It tolerates as many losses and needs one voter less for a quorum.
    """
    if not view.unresponsive or len(view.voters) % 2:
        return None
    voters = view.without(view.unresponsive[0])
    return voters if can_commit(view, voters) else None


def learner_preference(view: VoterView, learner: str) -> tuple[int, int]:
    """Sort key of learners, the lowest first.

    Equal for all where no loss of a zone or region is tolerated.
    """
    remaining = view.without(view.unresponsive[0]) if view.unresponsive else view.voters
    return shortfall((*remaining, learner), view.locations, view.tolerated)
