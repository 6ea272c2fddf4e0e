"""Leases on the slack, between a forge's lines and what decides on them (minthitch.clamp.lease)."""

from __future__ import annotations

from minthitch.anvil.core import Core
from minthitch.clamp.lease import Lender, Report
from minthitch.press.boot import Bounds
from minthitch.pulley import ops
from minthitch.pulley.line import Line

FOUNDED = 2  # index of the first leader's first entry, right after that of the founders
SHARE_EVERY = 0.5  # seconds between two settlings of who is to hold how much, and
SHARE_A_LIFE = 0.0025  # for each vise at least, so that it stays a small part of a small core's time


class Leases:
    """Lends while this forge surely leads."""

    def __init__(self, bounds: Bounds, core: Core) -> None:
        self.core, self.lender = core, Lender(bounds.retry_slack, bounds.retry_win_s)
        self.shared = float("-inf")

    def heard(self, now: float, line: Line, message: ops.Message) -> None:
        """A vise says what it holds and wants. `now`: of a steady clock, read right then."""
        if not self.core.has_lease(now):
            return
        # A leader that lends has its first entry agreed: it is in the log of every later one, before its own.
        self.lender.lead(now, self.core.term, self.core.noop <= FOUNDED)
        ip, _, epoch = line.name.partition("/")
        self.lender.heard(now, ip, int(epoch), Report(*message[1:]))
        if now - self.shared >= max(SHARE_EVERY, SHARE_A_LIFE * len(self.lender.lives)):
            self.shared = now
            self.lender.share(now)
        lease = self.lender.lease(ip, int(epoch))
        if lease is not None and line.up:
            line.send((ops.LEASE, *lease), 0)
