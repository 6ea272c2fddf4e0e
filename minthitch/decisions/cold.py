"""Slow start: how many calls a cold server gets before it has its full capacity."""

from __future__ import annotations

import math

from minthitch import interface as api
from minthitch.decisions.evidence import CLASS_HALF_LIFE, HALF_LIFE, LOAD_HALF_LIFE
from minthitch.decisions.gamma import REFERENCE
from minthitch.decisions.servers import Server
from minthitch.decisions.state import BalancerState

# Shares are of a cold server's budget, which is what all nodes together may send it. Credit is in calls.
COLD_SHARE = 0.5  # share granted over time: one node's estimate of the rate of warm servers is rough
ALL_COLD_SHARE = 0.4  # the same while no server is warm: that rate is then an old one, or told by other nodes
CREDIT_PER_ANSWER = 1.5  # earned by an answer within the expected time: half of the usual cold_multiple
EARNED_SHARE = 0.4  # share, relative to what warm servers answer, up to which answers earn full credit
MIN_SHARE = 0.17  # share granted over time where no warm server shows what one can serve
REDUCED_CREDIT = 0.75  # credit per answer above EARNED_SHARE: what a server has shown fades, with no cut-off
MAX_CREDIT = 2.0  # most credit a cold server holds at one node; what is over 1 decays with the cold window


class ColdServers(BalancerState):
    """Credit of cold servers, granted over time and earned by their answers."""

    def _eligible(self, now: int) -> list[Server]:
        """Servers that may take a call: warm ones, and cold ones with credit for one at this node.

        Each node grants a cold server part of the rate at which warm servers answer that node, so that all
        nodes together keep its budget. A new server's credit is random, or all nodes would send at once.
        """
        warmths = [(s, s.warmth(now, self.settings)) for s in self.servers.values()]
        cold = [(s, warmth) for s, warmth in warmths if warmth < 1.0]
        warm = max(len(warmths) - len(cold), 1) * HALF_LIFE / math.log(2)
        # Answers per ns of one warm server. The decaying peak counts too: congested servers answer less than
        # they could, and cold servers would starve by their present rate.
        each = max(
            self.warm.ends * self.warm.fade(now) / warm,
            self.peak_rate * math.exp2((self.peak_rate_at - now) / CLASS_HALF_LIFE),
        )
        self.peak_rate, self.peak_rate_at = each, now
        min_rate = self._min_rate(now, min(warmth for _, warmth in cold)) if cold else 0.0
        self._grant_credit(now, cold, each, min_rate)
        return [s for s, warmth in warmths if warmth >= 1.0 or s.credit >= 1.0]

    def _grant_credit(self, now: int, cold: list[tuple[Server, float]], each: float, min_rate: float) -> None:
        """Grant cold servers the credit for the time since the last update."""
        share = COLD_SHARE if now >= self.first_warm_at else ALL_COLD_SHARE
        for s, warmth in cold:
            rate = max(min(1.0, share * self.settings.cold_multiple * warmth) * each, min_rate)
            since, s.credit_at = now - s.credit_at, now
            if s.credit > 1.0:  # decays, or all nodes could earn credit at one time and spend it at another
                s.credit = 1.0 + (s.credit - 1.0) * math.exp2(-since / self.settings.cold_window)
            else:
                gain = rate * since
                s.credit, s.prepaid = (
                    min(1.0, s.credit + max(gain - s.prepaid, 0.0)),
                    max(s.prepaid - gain, 0.0),
                )

    def _min_rate(self, now: int, warmth: float) -> float:
        """Calls per ns granted to any cold server, even though no warm one answers.

        Without it a fleet that is cold as a whole would never be sent anything. By Little's law a server that
        answers within some time serves at least one call in that time; before any answer that time is the
        base latency over the warmth. All nodes together use their share of the budget of that rate.
        """
        base = sum(self._base_latency(now, i) for i in range(len(self.classes))) / len(self.classes)
        share = min(1.0, MIN_SHARE * self.settings.cold_multiple) / self.settings.siblings
        return share / (self.cold.mean(now, base / api.SECOND / warmth) * api.SECOND)

    def _earn_credit(self, now: int, server: Server, elapsed: float) -> None:
        """A cold server that answers within the expected time earns credit for more calls.

        Where the rate of warm servers is a poor guide, cold servers would starve and the few warm ones be
        congested. The calls of all nodes stay below cold_multiple times its answers, and below its share of
        what warm servers answer.
        """
        multiple, warm = self.settings.cold_multiple, self._warm_count(now)
        # While all servers are cold, the limit is what a cold server needs: no other answers exist.
        if elapsed > (1.0 if warm else max(REFERENCE, 1.0 / server.warmth(now, self.settings))):
            return
        share = min(1.0, EARNED_SHARE * multiple * server.warmth(now, self.settings))
        # The higher of the recent and the longer-term rate: congested servers answer less every second.
        recent = self.warm_recent.ends * self.warm_recent.fade(now) / LOAD_HALF_LIFE
        each = max(recent, self.warm.ends * self.warm.fade(now) / HALF_LIFE) / max(warm, 1)
        # One send is not counted: with many nodes each of them has sent at least one.
        sent = server.recent_sends.ends * server.recent_sends.fade(now) - 1.0
        below = not warm or sent <= share * each * server.recent_sends.half_life
        earned = min(CREDIT_PER_ANSWER if below else REDUCED_CREDIT, multiple / 2)
        server.credit, server.prepaid = min(MAX_CREDIT, server.credit + earned), earned
