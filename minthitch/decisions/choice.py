"""Which servers get a call: those that may, their curves, and the cheapest set of them."""

from __future__ import annotations

import math

from minthitch import interface as api
from minthitch.decisions.cold import Cold
from minthitch.decisions.evidence import CLASS_HALF_LIFE, SPARSE, Evidence
from minthitch.decisions.gamma import SHAPE_MAX, fit_curve, gammainc
from minthitch.decisions.requests import Request
from minthitch.decisions.servers import Server
from minthitch.decisions.sets import cheapest_set

FITS_MOST = 2_000  # curves kept; a day of one kind of servers needs some hundreds
SET_MOST = 3  # servers raced for one call (design)
TARGET = 0.95  # p_req: chance of an answer in the time left that a set must reach
CROSSING = 1.5  # price of a server in another zone, as a multiple, where crossings are charged for
MAX_CANDIDATES = 50  # servers looked at for one call, drawn at random: more cost time and are hardly better
LOOKERS = 20.0  # nodes that look at a server if all call at once: guards against all crowding the best
Candidate = tuple[float, float, Server]  # as in sets: price, chance to answer in time, server


class Choice(Cold):
    """The choice among servers for one call."""

    def _open_to(self, now: int, request: Request, pool: list[Server], out: bool) -> list[Server]:
        """Those of `pool` that the request may be sent to next, drawn at random where they are many."""
        spec, anchor, used = request.spec, request.anchor, [a.server for a in request.attempts]
        pool = [s for s in pool if s.may_take(spec)]
        pool = [s for s in pool if s not in used] or ([] if out else pool)  # one that failed comes last
        if anchor and spec.effect is api.Effect.KEYED:
            pool = [s for s in pool if self._same_group(spec, s, anchor.server)]
        scarce = any(now < s.refused + self.settings.idle_close for s in self.refusers)
        pool = [s for s in pool if self._can_connect(now, s, scarce)] or pool
        look = max(SET_MOST, math.ceil(LOOKERS * len(self.servers) / self.settings.siblings))
        return self.random.sample(pool, min(len(pool), look, MAX_CANDIDATES))

    def _choose(
        self, now: int, request: Request, pool: list[Server], most: int, usual: float
    ) -> list[Candidate]:
        """The cheapest set of at most `most`; `usual`: what the call is expected to take."""
        spec, left = request.spec, (request.deadline - now) / usual
        candidates = [self._candidate(now, left, s) for s in pool]
        chosen = cheapest_set(candidates, TARGET, most)
        if len(chosen) > 1 and not request.repeat_safe:  # a keyed race stays inside one group
            home = chosen[0][2]
            chosen = cheapest_set([c for c in candidates if self._same_group(spec, c[2], home)], TARGET, most)
        return chosen

    def _can_connect(self, now: int, server: Server, scarce: bool) -> bool:
        """Whether a connection to it is open and idle, or a new one may be counted on.

        Guards against dead servers, and against full tables, which refuse more to all the more is tried. That
        some refused and are gone says nothing of others: those that start in their place have none open yet.
        """
        if server.in_flight < server.connections and now < server.used + self.settings.idle_close:
            return True
        fresh = not scarce or server.refused or server.warmth(now, self.settings) < 1.0
        return bool(fresh) and now >= server.connect_after

    def _candidate(self, now: int, left: float, server: Server) -> Candidate:
        """The server's price and its chance to answer within `left` times the expected time.

        Its kind's outcomes stand in for PRIOR of its own: each node has few.
        """
        kind, own = self.kinds.setdefault(server.entry.kind, Evidence(CLASS_HALF_LIFE)), server.evidence
        # Guards against silent servers: a call that is out adds its age though nothing ended.
        waiting = max(0.0, now * server.open_rate - server.open_sent) / self._load(now)
        usual = kind.mean(now, 1.0)
        if server.warmth(now, self.settings) < 1.0:
            usual = min(usual, 1.0)  # guards against starving what has just started where others are slow
        mean = max(own.mean(now, usual, waiting), 1e-3)
        share, sparse = own.share(now, kind.share(now)), own.trials * own.fade(now) < SPARSE
        key = round(50 * math.log(mean)), min(round(200 * share), 199), sparse  # steps of 2% and 0.5%
        if key not in self.curves:
            if len(self.curves) >= FITS_MOST:  # guards against memory that grows with every odd server
                self.curves.clear()
            self.curves[key] = fit_curve(math.exp(key[0] / 50), key[1] / 200, 1 if sparse else SHAPE_MAX)
        shape, mean = self.curves[key]
        crosses = self.settings.prices.cross_zone > 0 and server.entry.zone != self.settings.zone
        price = (server.in_flight + 1) * mean * (CROSSING if crosses else 1.0)
        return price, float(gammainc(shape, shape * left / mean)), server

    @staticmethod
    def _same_group(spec: api.RequestClass, a: Server, b: Server) -> bool:
        if spec.group is api.Group.ZONE:
            return a.entry.zone == b.entry.zone
        return spec.group is api.Group.ALL or a.entry.cell == b.entry.cell
