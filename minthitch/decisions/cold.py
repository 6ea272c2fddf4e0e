"""Cold servers: what each may get before it can do its whole work."""

from __future__ import annotations

import math

from minthitch import interface as api
from minthitch.decisions.evidence import CLASS_HALF_LIFE, HALF_LIFE, LOAD_HALF_LIFE
from minthitch.decisions.gamma import REFERENCE
from minthitch.decisions.known import Known
from minthitch.decisions.servers import Server

COLD_PART = 0.5  # part of a cold server's budget that is used: one node's guess at warm rates is rough
KEPT_PART = 0.4  # the same where none is warm, and what warm ones answer is told from before or by others
COLD_EARNS = 1.5  # calls that a cold server's answer in the usual time earns it: half of the usual multiple
COLD_MOST = 0.4  # part of its budget, by what warm ones answer, up to which its own answers earn it calls
COLD_FIRST = 0.17  # part of a cold server's budget that time gives where no warm server tells what one can do
COLD_HOLDS = 0.75  # the same over that: what it has shown it can do fades by and by, and is not cut off
COLD_KEEPS = 2.0  # calls that a cold server may have in hand at one node; over one, they fade in its window


class Cold(Known):
    """Credit of cold servers: what time and their own answers give them."""

    def _eligible(self, now: int) -> list[Server]:
        """The servers that may take a call: warm ones, and cold ones with room in this node's part.

        Guards against pushing over a cold server: each node gives it a part of the rate at which warm ones
        answer that node, so that the sum keeps the budget. Fresh credit is random, or all would send at once.
        """
        warmths = [(s, s.warmth(now, self.settings)) for s in self.servers.values()]
        cold = [(s, warmth) for s, warmth in warmths if warmth < 1.0]
        warm = max(len(warmths) - len(cold), 1) * HALF_LIFE / math.log(2)
        # What a warm server answers in a nanosecond. Guards against starving cold ones while the warm ones
        # are crowded: as much as they answered at best they can do, and so can a cold one in time.
        each = max(
            self.warm.ends * self.warm.fade(now) / warm,
            self.peak_rate * math.exp2((self.peak_rate_at - now) / CLASS_HALF_LIFE),
        )
        self.peak_rate, self.peak_rate_at = each, now
        least = self._min_rate(now, min(warmth for _, warmth in cold)) if cold else 0.0
        self._credit(now, cold, each, least)
        return [s for s, warmth in warmths if warmth >= 1.0 or s.credit >= 1.0]

    def _credit(self, now: int, cold: list[tuple[Server, float]], each: float, least: float) -> None:
        """What time has given cold servers since they were last looked at."""
        used = COLD_PART if now >= self.warm_from else KEPT_PART
        for s, warmth in cold:
            part = max(min(1.0, used * self.settings.cold_multiple * warmth) * each, least)
            since, s.credit_at = now - s.credit_at, now
            if s.credit > 1.0:  # guards against calls earned by all nodes at a time and sent at another
                s.credit = 1.0 + (s.credit - 1.0) * math.exp2(-since / self.settings.cold_window)
            else:
                gain = part * since
                s.credit, s.paid = min(1.0, s.credit + max(gain - s.paid, 0.0)), max(s.paid - gain, 0.0)

    def _min_rate(self, now: int, warmth: float) -> float:
        """What time gives any cold server, in calls a nanosecond, though no warm one answers.

        Guards against a fleet that is cold as a whole, and would stay dark. By Little's law a server that
        answers within some time does at least one call in that time. Before any answer that is what a call
        usually takes, longer by its coldness. Of that all nodes together use their part of the budget.
        """
        usual = sum(self._base_latency(now, i) for i in range(len(self.classes))) / len(self.classes)
        most = min(1.0, COLD_FIRST * self.settings.cold_multiple) / self.settings.siblings
        return most / (self.cold.mean(now, usual / api.SECOND / warmth) * api.SECOND)

    def _earned(self, now: int, server: Server, waited: float) -> None:
        """A cold server answered in the usual time: what it answers it can do.

        Guards against starving cold servers, and crowding the few warm ones, where warm rates tell too
        little. All nodes' calls stay below the multiple of its answers, and below its part of what warm ones
        answer.
        """
        multiple, warm = self.settings.cold_multiple, self._warm_count(now)
        # Where all are cold, what is usual for a cold one: theirs are the only answers there are.
        if waited > (1.0 if warm else max(REFERENCE, 1.0 / server.warmth(now, self.settings))):
            return
        part = min(1.0, COLD_MOST * multiple * server.warmth(now, self.settings))
        # As they are now, and as they were: where they are crowded they answer less by the second.
        lately = self.warm_lately.ends * self.warm_lately.fade(now) / LOAD_HALF_LIFE
        each = max(lately, self.warm.ends * self.warm.fade(now) / HALF_LIFE) / max(warm, 1)
        sent = server.lately.ends * server.lately.fade(now) - 1.0  # of many nodes each has sent one at least
        below = not warm or sent <= part * each * server.lately.half_life
        earned = min(COLD_EARNS if below else COLD_HOLDS, multiple / 2)
        server.credit, server.paid = min(COLD_KEEPS, server.credit + earned), earned
