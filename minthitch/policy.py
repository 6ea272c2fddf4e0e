"""Every decision of the balancer. Settings, events and actions: minthitch/interface.py.

Request Replication (docs/design): per server a latency curve fitted to this node's own outcomes; per call
the cheapest set of servers whose joint chance to answer in time reaches the target, raced; losers cancelled.
"""

from __future__ import annotations

import math
import random
from collections import deque
from collections.abc import Sequence
from itertools import combinations

from minthitch import interface as api

SHAPE_MAX = 64  # largest Gamma shape k; beyond it a curve is as good as a step at its mean
GAMMA_ERROR = 1e-12  # relative error at which a gamma series ends
GAMMA_TAIL = -40.0  # log of the density above the mean below which the rest is nothing
FITS_MOST = 2_000  # curves kept; a day of one kind of servers needs some hundreds
HALF_LIFE = 10 * api.SECOND  # age at which an outcome counts half: servers change within tens of seconds
LOAD_HALF_LIFE = 2 * api.SECOND  # the same for the common load, which all calls tell and which moves faster
CLASS_HALF_LIFE = 60 * api.SECOND  # the same for how long a class takes beside others: it hardly moves
SPARSE = 5.0  # outcomes below which a curve is exponential: two figures need more than a few calls
PRIOR = 2.0  # outcomes that the kind's (or all servers') evidence counts for in a server's own
REFERENCE = 2.0  # reference time r, as a multiple of what the call is expected to take
FIRST_MEAN = 0.2  # expected time of a class before any outcome, in aims: leaves most of the aim as slack
FIRST_SHARE = 0.9  # share of calls within the reference time before any outcome: about the exponential's
SET_MOST = 3  # servers raced for one call (design)
TARGET = 0.95  # p_req: chance of an answer in the time left that a set must reach
CROWD_LEAST = 2.0  # load over the calm load above which the least worthy call is refused,
CROWD_MOST = 3.0  # and the worthiest: by then the servers' cores are busy and more only waits
NOISE = 0.5  # spread of calls' times around their mean, in means, that is put down to chance
CALM_DOUBLES = 120 * api.SECOND  # the calm load is the lowest seen, doubled in this time: fleets change
SPARE_SHARE = 0.2  # further attempts allowed per answer got: bounds what the tiers multiply to about 1.2 each
SPARE_MOST = 10.0  # further attempts saved up at most: enough for a server that dies with calls in flight
LOAD_KEEPS = 10.0  # answers at least that the common load is judged by, up to HALF_LIFE: many nodes have few
CROSSING = 1.5  # price of a server in another zone, as a multiple, where crossings are charged for
COLD_PART = 0.5  # part of a cold server's budget that is used: one node's guess at warm rates is rough
KEPT_PART = 0.4  # the same where none is warm, and what warm ones answer is told from before or by others
COLD_EARNS = 1.5  # calls that a cold server's answer in the usual time earns it: half of the usual multiple
COLD_MOST = 0.4  # part of its budget, by what warm ones answer, up to which its own answers earn it calls
COLD_FIRST = 0.17  # part of a cold server's budget that time gives where no warm server tells what one can do
COLD_HOLDS = 0.75  # the same over that: what it has shown it can do fades by and by, and is not cut off
COLD_KEEPS = 2.0  # calls that a cold server may have in hand at one node; over one, they fade in its window
FIRST_CALLS = 2.5  # calls out a server, over all nodes, that any bears: so many before answers tell more,
GROWTH = 0.25  # and further calls for each answer while queues do not build; as many fewer over CROWD_LEAST
LOSS = 0.05  # part of the servers' room whose loss at once slows growth for HALF_LIFE, and
REGROWTH = 0.1  # the part of growth that is left then: queues tell of crowding only when servers are slow
STEADY = 5.0  # window below which calls out are averaged, over STEADY / window arrivals: few swing by chance
AIM_PART = 0.8  # part of its aim that a class's calls take on average when the least worthy is refused
FULL_SHRINKS = 12.0  # answers' growth that one call turned away as full undoes: one in twelve is many
ROOM = 1.5  # calls out that may be, as a multiple of what the answers got would need at their usual times
GROWTH_MOST = 1.5  # load over the calm one up to which queues do not build; over it fewer may be out
POOL_MOST = 50  # servers looked at for one call, drawn at random: more cost time and are hardly better
LOOKERS = 20.0  # nodes that look at a server if all call at once: guards against all crowding the best
SAY_EVERY = 10 * api.SECOND  # between two log lines that begin alike
OVERDUE = 3.0  # a call still out after this multiple of what it should take is raced by one more copy
AVOIDED_SHARE = 0.5  # share of calls answered within the reference time below which a server is shown as down
SHUT = LOAD_HALF_LIFE  # so long a server that refused a connection is not asked for another; then twice that
WAIT_PART = 0.25  # of its aim that a request may wait where all servers are cold, by what went out lately
HOLD = api.SECOND // 10  # a request that no server may take now is tried again after this
BACK_PART = 0.04, 0.12  # a refused client comes back after this part of its aim: it may still be in time
ASK_PART = 0.25  # list calls are repeated within this part of the time after which the node counts as told


def gammainc(a: float, x: float) -> float:
    """The regularized lower incomplete gamma function P(a, x), for a >= 1 and x >= 0.

    Series below a + 1, continued fraction (modified Lentz) above. Own code, as scipy.special takes 0.2 s of
    CPU and 33 MB at each start for this one function.
    """
    if x <= 0.0:
        return 0.0
    if a == 1.0:
        return -math.expm1(-x)
    front = a * math.log(x) - x - math.lgamma(a)
    if x < a + 1.0:
        total = term = 1.0 / a
        n = a
        while term > total * GAMMA_ERROR:
            n += 1.0
            term *= x / n
            total += term
        return min(1.0, total * math.exp(front))
    if front < GAMMA_TAIL:  # the upper part is below any error that counts
        return 1.0
    b = x + 1.0 - a
    c, d = math.inf, 1.0 / b
    h, n, step = d, 0.0, 2.0
    while abs(step - 1.0) > GAMMA_ERROR:
        n += 1.0
        weight = n * (a - n)
        b += 2.0
        d = 1.0 / (weight * d + b)
        c = b + weight / c
        step = c * d
        h *= step
    return 1.0 - math.exp(front) * h


def fit_shape(ratio: float, share: float, shape_max: int = SHAPE_MAX) -> float | None:
    """The least k >= 1 with P(k, k * ratio) = share, ratio = r / m; None if there is none."""
    f = [gammainc(float(k), k * ratio) - share for k in range(1, shape_max + 1)]
    if f[0] == 0.0:
        return 1.0
    low = next((float(k) for k in range(1, shape_max) if f[k - 1] * f[k] <= 0.0), 0.0)
    if not low:
        return float(shape_max) if f[0] < 0.0 < f[-1] - f[0] else None
    high, rising = low + 1.0, f[int(low) - 1] < 0.0
    while high - low > 1e-6:
        middle = (low + high) / 2
        if (gammainc(middle, middle * ratio) < share) == rising:
            low = middle
        else:
            high = middle
    return (low + high) / 2


def fit_curve(mean: float, share: float, shape_max: int = SHAPE_MAX) -> tuple[float, float]:
    """(shape, mean) of the Gamma with this mean and P(R <= REFERENCE) = share.

    Without a root upward from k = 1: the exponential through the share alone (the paper's fit to
    one figure) where it is below the exponential's: calls that miss; else the exponential of the mean.
    """
    share = min(max(share, 1e-3), 1 - 1e-6)
    shape = fit_shape(REFERENCE / mean, share, shape_max)
    if shape is not None:
        return shape, mean
    return 1.0, max(mean, -REFERENCE / math.log1p(-share))


Candidate = tuple[float, float, "Server"]  # price, chance to answer in time, server


def cheapest_set(candidates: Sequence[Candidate], target: float, most: int) -> list[Candidate]:
    """The cheapest set of at most `most` whose joint chance reaches the target, else the best server."""
    best: tuple[Candidate, ...] = ()
    cost, kept = math.inf, list[Candidate]()
    for c in sorted(candidates, key=lambda c: c[0]):
        if c[1] >= target and c[0] < cost:
            best, cost = (c,), c[0]
        if sum(k[1] >= c[1] for k in kept) < most:
            kept.append(c)
    for size in range(2, most + 1):
        if len(kept) < size or kept[0][0] * size >= cost:
            break
        for group in combinations([c for c in kept if c[0] < cost], size):
            price = sum(c[0] for c in group)
            if price < cost and 1.0 - math.prod(1.0 - c[1] for c in group) >= target:
                best, cost = group, price
    return list(best) or [max(candidates, key=lambda c: c[1])]


class Evidence:
    """Fading sums over outcomes; times are multiples of what each call was expected to take."""

    __slots__ = ("half_life", "least", "trials", "hits", "ends", "time", "at")

    def __init__(self, half_life: int, keeps: float = 1.0) -> None:
        self.half_life, self.least = half_life, 1.0 - 1.0 / keeps  # what an outcome fades others to
        self.trials = self.hits = 0.0  # outcomes judged against the reference time; within it
        self.ends = self.time = 0.0  # answers; time waited for them and for misses
        self.at = 0

    def fade(self, now: int) -> float:
        return math.exp2((self.at - now) / self.half_life)

    def note(self, now: int, waited: float, ok: bool, lost: bool) -> None:
        fade = max(self.fade(now), min(self.least, math.exp2((self.at - now) / HALF_LIFE)))
        self.at = now
        self.time = self.time * fade + waited
        self.ends = self.ends * fade + ok
        judged = ok or lost or waited > REFERENCE  # cancelled sooner, it might have made it
        self.trials = self.trials * fade + judged
        self.hits = self.hits * fade + (ok and waited <= REFERENCE)

    def mean(self, now: int, prior: float, waiting: float = 0.0) -> float:
        """Time waited over answers: a miss adds its time and no answer, so it never lowers the mean."""
        fade = self.fade(now)
        return (self.time * fade + waiting + PRIOR * prior) / (self.ends * fade + PRIOR)

    def share(self, now: int, prior: float = FIRST_SHARE) -> float:
        fade = self.fade(now)
        return (self.hits * fade + PRIOR * prior) / (self.trials * fade + PRIOR)


class Server:
    """One server as this node sees it."""

    __slots__ = ("entry", "own", "open", "open_rate", "open_sent", "credit", "credit_at", "links", "used",
                 "lately", "paid", "shut", "rest", "refused")

    def __init__(self, entry: api.ServerEntry, now: int, credit: float, window: int) -> None:
        self.entry, self.own = entry, Evidence(HALF_LIFE)
        self.paid = 0.0  # calls that its answers earned it, which time does not give it once more
        self.lately = Evidence(window // 4)  # calls sent while it is cold
        self.open = 0  # this node's attempts that are out; below, sums over them
        self.open_rate = self.open_sent = 0.0  # 1 / usual time; send time / usual time
        self.credit, self.credit_at = credit, now  # calls a cold server may still get
        self.links, self.used = 0, 0  # connections that answered; when one of them last did
        self.refused = 0  # when it last refused one; 0 = it has answered since
        self.shut, self.rest = now, SHUT // 2  # until when it is not asked for a new one; how long that was

    def may_take(self, spec: api.RequestClass) -> bool:
        """Placement: whether the class is open to this server's zone and kind, at every attempt."""
        return (spec.zones is None or self.entry.zone in spec.zones) and (
            spec.kinds is None or self.entry.kind in spec.kinds)

    def warm_from(self, settings: api.Settings) -> int:
        return self.entry.started and self.entry.started + settings.cold_time

    def warmth(self, now: int, settings: api.Settings) -> float:
        """The share of its work that it can do at least; 1 when warm."""
        if not self.entry.started or (age := now - self.entry.started) >= settings.cold_time:
            return 1.0
        return settings.cold_share + (1 - settings.cold_share) * max(age, 0) / settings.cold_time


class ResendBudget:
    """The stated budget of attempts beyond each request's first, over a sliding window."""

    def __init__(self, settings: api.Settings) -> None:
        self.share, self.free = settings.budget_share, settings.budget_free
        self.window = settings.budget_window
        self.taken = deque[int]()  # when requests came in, refused ones too
        self.sent = deque[int]()  # when further attempts went out

    def left(self, now: int) -> float:
        """Further attempts that may go out now. At the window's very edge a request no longer counts."""
        if self.share is None:
            return math.inf
        while self.taken and self.taken[0] <= now - self.window:
            self.taken.popleft()
        while self.sent and self.sent[0] < now - self.window:
            self.sent.popleft()
        return self.free + self.share * len(self.taken) - len(self.sent)

    def note(self, now: int, events: deque[int]) -> None:
        if self.share is not None:
            self.left(now)  # forgets what has left the window
            events.append(now)

    def moot(self, sent: int) -> None:
        """An attempt that never left the node does not count."""
        if sent in self.sent:
            self.sent.remove(sent)


class Attempt:
    __slots__ = ("server", "sent", "base", "expected", "status")

    def __init__(self, server: Server, sent: int, base: float, expected: float) -> None:
        self.server, self.sent, self.base, self.expected = server, sent, base, expected
        self.status: api.Status | None = None  # None while it is out


class Request:
    __slots__ = ("id", "cls", "spec", "deadline", "half", "late", "harmless", "attempts", "closed",
                 "streaming", "held")

    def __init__(self, now: int, event: api.RequestArrived, spec: api.RequestClass) -> None:
        self.id, self.cls, self.spec, self.deadline = event.request, event.cls, spec, event.deadline
        self.half = (now + event.deadline) // 2  # half of its time is gone
        self.late = event.deadline  # when what is out is overdue
        keyed_all = spec.effect is api.Effect.KEYED and spec.group is api.Group.ALL
        self.harmless = spec.effect is api.Effect.SAFE or keyed_all  # a repeat at any server does nothing
        self.attempts: list[Attempt] = []
        self.closed = self.streaming = self.held = False  # held: no server may take it yet

    @property
    def anchor(self) -> Attempt | None:
        """The first attempt that may have run."""
        return next((a for a in self.attempts if a.status is None or not a.status.never_ran), None)


class Balancer:
    """One node's decisions. Feed events in order; carry out the actions in order."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.settings = settings
        self.random = random.Random(seed)
        self.servers: dict[int, Server] = {}  # ready ones only: what may be sent to
        self.requests: dict[int, Request] = {}
        self.fits: dict[tuple[int, int, bool], tuple[float, float]] = {}  # curves worked out before
        self.kinds: dict[int, Evidence] = {}  # all servers of one kind together
        self.classes = [Evidence(CLASS_HALF_LIFE) for _ in settings.classes]  # times in aims
        self.load = Evidence(LOAD_HALF_LIFE, LOAD_KEEPS)  # all calls, times in what their class usually takes
        self.calm, self.calm_at = math.inf, 0  # the lowest load lately, and when it was judged
        self.shares = [(0.0, 0)] * len(settings.tenants)  # requests in a tenant's share; when counted
        self.out, self.busy = 0, 0.0  # attempts that are out; on average over the last arrivals
        # Those that wait until a server may take them, by class, as they came.
        self.held: list[dict[int, Request]] = [{} for _ in settings.classes]
        self.warm_from: float = math.inf  # when the first listed server is warm; before, all are cold
        self.crowd = self.grown = 0.0  # how crowded it is; how many may be out beyond the first few
        self.room, self.lost = 0.0, -HALF_LIFE  # servers by their warmth, as last counted; when it last fell
        self.arrivals, self.pace = 0, 1.0  # requests so far; weight of the next one in averages
        self.strain = 1.0  # how much longer calls take than they should, as judged at the last arrival
        self.load_now, self.load_at = 1.0, -1  # the common load and when it was worked out
        self.warm = Evidence(HALF_LIFE)  # answers of warm servers
        self.cold = Evidence(LOAD_HALF_LIFE, LOAD_KEEPS)  # answers of cold ones, times in seconds
        self.warm_lately = Evidence(LOAD_HALF_LIFE)  # the same, as they are now
        self.most, self.most_at = 0.0, 0  # the most that a warm server answered in a nanosecond, and when
        self.flow = Evidence(LOAD_HALF_LIFE)  # answers, with the times that they usually take
        self.spare = SPARE_MOST / 2  # further attempts (copies and retries) that answers have earned
        self.budget = ResendBudget(settings)
        self.refusers = set[Server]()  # listed ones that refused: new connections are not to be counted on
        self.asking = False
        self.said: dict[str, int] = {}  # when such a line for the one on call may be said again
        self.actions: list[api.Action] = []

    def handle(self, now: int, event: api.Event) -> list[api.Action]:
        self.actions = []
        if isinstance(event, api.AttemptEnded):
            self._ended(now, event)
        elif isinstance(event, api.RequestArrived):
            self._arrived(now, event)
        elif isinstance(event, api.TimerFired):
            self._fired(now, event.token)
        elif isinstance(event, api.ListUpdate):
            self._listed(now, event)
        elif isinstance(event, api.RequestGone) and (gone := self.requests.get(event.request)):
            self._cancel_others(gone, -1)  # guards against work, in every tier below, that nobody waits for
            self._close(gone)
        elif isinstance(event, api.StreamStarted) and (request := self.requests.get(event.request)):
            request.streaming = True
            self._cancel_others(request, event.attempt)
        return self.actions

    def _say(self, now: int, text: str) -> None:
        """A line for the one on call; of those that begin alike, one in SAY_EVERY."""
        if now >= self.said.get(text[:4], 0):
            self.said[text[:4]] = now + SAY_EVERY
            self.actions.append(api.Log(text))

    def _listed(self, now: int, event: api.ListUpdate) -> None:
        if self.settings.ask_for_list and event.kind is api.ListKind.CACHED:
            self.actions.append(api.Subscribe())
        elif self.settings.ask_for_list and event.kind is api.ListKind.FAILED and not self.asking:
            self._say(now, f"list failed: going on with the {len(self.servers)} servers of the last one")
            self.asking = True  # anew after a jittered pause: when the list fails, all nodes fail together
            pause = self.random.uniform(ASK_PART / 4, ASK_PART) * self.settings.ask_within
            self.actions.append(api.SetTimer(0, int(pause)))
        if event.kind in (api.ListKind.FULL, api.ListKind.CACHED):
            named = {e.server for e in event.entries}
            self.servers = {s: v for s, v in self.servers.items() if s in named}
        new = list[Server]()
        for entry in event.entries:
            known = self.servers.get(entry.server)
            if entry.state is not api.State.READY:
                self.servers.pop(entry.server, None)
            elif known is None or known.entry.started != entry.started:
                credit = self.random.random()  # or all nodes would send at once
                self.servers[entry.server] = Server(entry, now, credit, self.settings.cold_window)
                new.append(self.servers[entry.server])
            else:
                known.entry = entry
        self.warm_from = min((s.warm_from(self.settings) for s in self.servers.values()), default=math.inf)
        if new and now < self.warm_from:
            # Guards against seconds in the dark: of all nodes' first calls a half goes out at once, and the
            # others evenly over time, at each node and at each server.
            places = self.random.sample(range(len(new)), len(new))
            for server, place in zip(new, places, strict=True):
                part = self._least(now, server.warmth(now, self.settings))
                at_once = min(part * self.settings.cold_window, COLD_PART / self.settings.siblings)
                server.credit = (place + server.credit) / len(new) + at_once
        self.refusers = {s for s in self.refusers if self.servers.get(s.entry.server) is s}

    def _arrived(self, now: int, event: api.RequestArrived) -> None:
        request = Request(now, event, self.settings.classes[event.cls])
        self.requests[request.id] = request
        self.budget.note(now, self.budget.taken)
        if now >= self._due(request) or not self._admit(now, event):
            self._settle(request)
        else:
            self.actions.append(api.SetTimer(request.id << 1 | 1, self._due(request) - now))
            self._place_held(now, request.cls)
            self._place(now, request)

    def _due(self, request: Request) -> int:
        """Settle two ticks ahead of the client: a timer fires in the first batch at or past its time."""
        return request.deadline - 2 * self.settings.tick

    def _worth(self, now: int, event: api.RequestArrived) -> float:
        """A request's worth; less once its tenant has used up this node's part of the allowance."""
        worth, tenants = self.settings.classes[event.cls].worth, self.settings.tenants
        if event.tenant < len(tenants) and tenants[event.tenant].allowance > 0.0 and not event.repeat:
            rate = tenants[event.tenant].allowance / self.settings.siblings
            left, at = self.shares[event.tenant]
            left = min(left + rate * (now - at) / api.SECOND, max(rate, 1.0))
            self.shares[event.tenant] = (left - 1.0 if left >= 1.0 else left), now
            worth *= 1.0 if left >= 1.0 else self.settings.over_share_worth
        return worth

    def _admit(self, now: int, event: api.RequestArrived) -> bool:
        """Whether to try at all; only at the first tier, as further down the work above is already done.

        Guards against overload and crowding, where queues only grow and servers may turn slow and stay so.
        """
        if self.settings.tier:
            return True
        worth, load = self._worth(now, event), self._load(now)
        room = self._room(now)
        part = room / self.settings.siblings  # this node's part of the servers, cold ones by what they can do
        # Guards against taking chance for calm or crowding: a mean of few answers strays by so much.
        few = NOISE / math.sqrt(max(self.load.ends * self.load.fade(now), 1e-9))
        self.calm = min(load * (1.0 + few), self.calm * (1.0 + (now - self.calm_at) / CALM_DOUBLES))
        # Guards against a calm load that was never seen: calls near their aims are too slow in any case.
        # All classes together: the worst of several means of few is far off by chance.
        seen = [c.trials * c.fade(now) + PRIOR for c in self.classes]
        near = sum(c.mean(now, FIRST_MEAN) * n for c, n in zip(self.classes, seen, strict=True)) / sum(seen)
        slow, self.calm_at = CROWD_LEAST * load * near / AIM_PART / (1.0 + few), now
        self.strain = max(load / self.calm / (1.0 + few), slow)
        # Guards against crowding servers before answers tell; of many nodes each holds its part on average.
        window, self.arrivals = FIRST_CALLS * part + self.grown, self.arrivals + 1
        self.pace = min(1.0, max(window / STEADY, 1.0 / self.arrivals))
        self.busy += (self.out - self.busy) * self.pace
        crowd = max(CROWD_LEAST * (self.busy / window) ** 2, self.strain)
        crowd = self.crowd = self.crowd + (min(crowd, CROWD_MOST + 1.0) - self.crowd) * self.pace
        if now < self.warm_from:
            return self._admits_cold(now, event.cls, worth)
        works = [1.0 if self.settings.worth_by_work else self._base(now, i) for i in range(len(self.classes))]
        most = max(spec.worth / work for spec, work in zip(self.settings.classes, works, strict=True))
        limit = CROWD_LEAST + (CROWD_MOST - CROWD_LEAST) * worth / works[event.cls] / most
        # Guards against refusing for ever: with fewer calls out than servers the load is not ours.
        if refused := self.busy >= part and self.random.random() >= 1.0 + limit - crowd:
            self._say(now, f"refusing: load {load / self.calm:.1f} times the calm one, {self.out} calls out")
        return not refused

    def _admits_cold(self, now: int, cls: int, worth: float) -> bool:
        """Whether a fleet that is cold as a whole can take a request of this worth in time for its aim.

        Credit holds what cold servers bear, and the worthiest held goes first: so a request waits for those
        that are worth as much, at the rate of what is answered. Guards against holding what is given up in
        the end, and against all that was held going out in one instant once the servers are warm.
        """
        values = self._values(now)
        value = values[cls] * worth / self.settings.classes[cls].worth if worth else 0.0
        ahead = sum(len(held) for held, each in zip(self.held, values, strict=True) if each >= value)
        rate = self.flow.ends * self.flow.fade(now) * math.log(2) / LOAD_HALF_LIFE
        first = FIRST_CALLS * max(len(self.servers), 1) / self.settings.siblings
        if refused := ahead >= max(first, WAIT_PART * self.settings.classes[cls].aim * rate):
            self._say(now, f"refusing: no server is warm, {ahead} requests wait, {self.out} calls out")
        return not refused

    def _place_held(self, now: int, cls: int = -1) -> None:
        """Where all servers are cold, requests held that are worth more than this class's go first."""
        if now >= self.warm_from or not any(self.held):
            return
        values = self._values(now)
        while any(self.held):
            best = max(range(len(values)), key=lambda i: values[i] if self.held[i] else -1.0)
            if cls >= 0 and values[best] <= values[cls]:
                return
            first = next(iter(self.held[best].values()))
            self._place(now, first, timed=True)
            if first.held:
                return

    def _room(self, now: int) -> float:
        """The servers, cold ones by what they can do; what may be out beyond the first calls goes with it.

        Guards against calls that were borne by servers which are gone or cold now: they crowd the others,
        which turn slow for long. Growing again as fast as ever would make up for the loss in a second or two.
        """
        seen = [s for s in self.servers.values() if s not in self.refusers and now < s.used + LOAD_HALF_LIFE]
        rest = [s for s in self.servers.values() if s not in self.refusers and now >= s.used + LOAD_HALF_LIFE]
        # Of those not heard of lately as many may refuse as of the others.
        part = (len(seen) + PRIOR) / (len(seen) + len(self.refusers) + PRIOR)
        room = sum(s.warmth(now, self.settings) for s in seen)
        room = max(room + part * sum(s.warmth(now, self.settings) for s in rest), 1.0)
        if room < (1.0 - LOSS) * self.room:
            self.lost = now
        self.grown *= room / self.room if self.room else 1.0
        self.room = room
        return room

    def _growth(self, now: int) -> float:
        return GROWTH * self.pace * (REGROWTH if now < self.lost + HALF_LIFE else 1.0)

    def _fired(self, now: int, token: int) -> None:
        request = self.requests.get(token >> 1)
        if token == 0:
            self.asking = False
            self.actions.append(api.Subscribe())
        elif request and not request.closed and not request.streaming:
            if now >= self._due(request):
                self._settle(request)
            elif now >= request.late or all(a.status is not None for a in request.attempts):
                self._place_held(now, request.cls)
                self._place(now, request)

    def _place(self, now: int, request: Request, timed: bool = False) -> None:
        """Send to the cheapest set of servers that the request's class allows; hold if there is none.

        While calls of it are out, this is one more copy, raced with those that are overdue. `timed`: it is
        held, and its timer is set.
        """
        spec, tried, anchor, allow = request.spec, request.attempts, request.anchor, self.settings
        room = allow.max_attempts - len(tried) if now < self._due(request) else 0
        further = int(min(self.spare, self.budget.left(now)))
        out = any(a.status is None for a in tried)
        races = spec.effect is not api.Effect.UNSAFE and allow.may_duplicate and allow.may_cancel
        if room <= 0 or (anchor and spec.effect is api.Effect.UNSAFE) or (tried and further < 1):
            return None if out else self._settle(request)
        if out and (not races or self.strain >= GROWTH_MOST or self.crowd >= CROWD_LEAST):
            return None  # guards against copies that only lengthen queues
        most = 1 if out or not races else min(SET_MOST, room, further + (not tried))
        base, load = self._base(now, request.cls), self._load(now)
        pool, used = [s for s in self._pool(now) if s.may_take(spec)], [a.server for a in tried]
        pool = [s for s in pool if s not in used] or ([] if out else pool)  # one that failed comes last
        if anchor and spec.effect is api.Effect.KEYED:
            if now >= anchor.sent + spec.window:
                return None if out else self._settle(request)
            pool = [s for s in pool if self._same_group(spec, s, anchor.server)]
        scarce = any(now < s.refused + allow.idle_close for s in self.refusers)
        pool = [s for s in pool if self._connects(now, s, scarce)] or pool
        look = max(SET_MOST, math.ceil(LOOKERS * len(self.servers) / self.settings.siblings))
        pool = self.random.sample(pool, min(len(pool), look, POOL_MOST))
        if not pool and out:
            return None
        if not pool and not anchor and now + HOLD >= request.half:
            return self._settle(request)  # guards against clients that wait for nothing: they may ask again
        if not pool:
            self.held[request.cls][request.id], request.held = request, True
            return None if timed else self.actions.append(api.SetTimer(request.id << 1 | 1, HOLD))
        left = (request.deadline - now) / (base * load)
        candidates = [self._candidate(now, left, s) for s in pool]
        chosen = cheapest_set(candidates, TARGET, most)
        if len(chosen) > 1 and not request.harmless:  # a keyed race stays inside one group
            home = chosen[0][2]
            chosen = cheapest_set([c for c in candidates if self._same_group(spec, c[2], home)], TARGET, most)
        for _price, _chance, server in chosen:
            self._send(now, request, server, base, load)
        if races:
            # Guards against silent servers and connections: the set was right when it was sent only.
            patience = int(OVERDUE * base * load)
            request.late = now + patience
            if request.late < self._due(request):
                self.actions.append(api.SetTimer(request.id << 1 | 1, patience))
        return None

    def _connects(self, now: int, server: Server, scarce: bool) -> bool:
        """Whether a connection to it is open and idle, or a new one may be counted on.

        Guards against dead servers, and against full tables, which refuse more to all the more is tried. That
        some refused and are gone says nothing of others: those that start in their place have none open yet.
        """
        if server.open < server.links and now < server.used + self.settings.idle_close:
            return True
        fresh = not scarce or server.refused or server.warmth(now, self.settings) < 1.0
        return bool(fresh) and now >= server.shut

    def _values(self, now: int) -> list[float]:
        """The classes' worths, by what a call takes from servers where the settings leave that out.

        Guards against a class that is refused by its aim alone, as its calls were never seen: until they are,
        they take what others do.
        """
        specs = self.settings.classes
        if self.settings.worth_by_work:
            return [spec.worth for spec in specs]
        fades = [c.fade(now) for c in self.classes]
        time = sum(c.time * f * spec.aim for c, f, spec in zip(self.classes, fades, specs, strict=True))
        first = FIRST_MEAN * sum(spec.aim for spec in specs) / len(specs)
        ends = sum(c.ends * f for c, f in zip(self.classes, fades, strict=True))
        usual = (time + PRIOR * first) / (ends + PRIOR)
        return [spec.worth / (max(c.mean(now, usual / spec.aim), 1e-3) * spec.aim)
                for c, spec in zip(self.classes, specs, strict=True)]

    def _base(self, now: int, cls: int) -> float:
        """What a call of this class usually takes, in nanoseconds."""
        return max(self.classes[cls].mean(now, FIRST_MEAN), 1e-3) * self.settings.classes[cls].aim

    def _load(self, now: int) -> float:
        """How long calls take now, as a multiple of the usual; calls still out count by their age.

        Guards against silent servers passing for a common load: overdue calls do not count.
        """
        if now != self.load_at:
            ages = ((now * s.open_rate - s.open_sent, s.open) for s in self.servers.values() if s.open)
            waiting = sum(age for age, calls in ages if age <= REFERENCE * calls * self.load_now)
            self.load_now, self.load_at = self.load.mean(now, 1.0, waiting), now
        return self.load_now

    def _candidate(self, now: int, left: float, server: Server) -> Candidate:
        """The server's price and its chance to answer within `left` times the expected time.

        Its kind's outcomes stand in for PRIOR of its own: each node has few.
        """
        kind, own = self.kinds.setdefault(server.entry.kind, Evidence(CLASS_HALF_LIFE)), server.own
        # Guards against silent servers: a call that is out adds its age though nothing ended.
        waiting = max(0.0, now * server.open_rate - server.open_sent) / self._load(now)
        usual = kind.mean(now, 1.0)
        if server.warmth(now, self.settings) < 1.0:
            usual = min(usual, 1.0)  # guards against starving what has just started where others are slow
        mean = max(own.mean(now, usual, waiting), 1e-3)
        share, sparse = own.share(now, kind.share(now)), own.trials * own.fade(now) < SPARSE
        key = round(50 * math.log(mean)), min(round(200 * share), 199), sparse  # steps of 2% and 0.5%
        if key not in self.fits:
            if len(self.fits) >= FITS_MOST:  # guards against memory that grows with every odd server
                self.fits.clear()
            self.fits[key] = fit_curve(math.exp(key[0] / 50), key[1] / 200, 1 if sparse else SHAPE_MAX)
        shape, mean = self.fits[key]
        crosses = self.settings.prices.cross_zone > 0 and server.entry.zone != self.settings.zone
        price = (server.open + 1) * mean * (CROSSING if crosses else 1.0)
        return price, float(gammainc(shape, shape * left / mean)), server

    @staticmethod
    def _same_group(spec: api.RequestClass, a: Server, b: Server) -> bool:
        if spec.group is api.Group.ZONE:
            return a.entry.zone == b.entry.zone
        return spec.group is api.Group.ALL or a.entry.cell == b.entry.cell

    def _send(self, now: int, request: Request, server: Server, base: float, load: float) -> None:
        # Guards against storms: copies and retries are earned by answers only, as every tier multiplies them.
        if request.attempts:
            self.spare -= 1.0
            self.budget.note(now, self.budget.sent)
        attempt = Attempt(server, now, base, base * load)
        self._release(request)
        request.attempts.append(attempt)
        self._track(attempt, 1)
        if server.warmth(now, self.settings) < 1.0:
            server.credit -= 1.0
            server.lately.note(now, 0.0, True, False)
        self.actions.append(api.Send(request.id, server.entry.server))

    def _pool(self, now: int) -> list[Server]:
        """The servers that may take a call: warm ones, and cold ones with room in this node's part.

        Guards against pushing over a cold server: each node gives it a part of the rate at which warm ones
        answer that node, so that the sum keeps the budget. Fresh credit is random, or all would send at once.
        """
        warmths = [(s, s.warmth(now, self.settings)) for s in self.servers.values()]
        cold = [(s, warmth) for s, warmth in warmths if warmth < 1.0]
        warm = max(len(warmths) - len(cold), 1) * HALF_LIFE / math.log(2)
        # What a warm server answers in a nanosecond. Guards against starving cold ones while the warm ones
        # are crowded: as much as they answered at best they can do, and so can a cold one in time.
        each = max(self.warm.ends * self.warm.fade(now) / warm, self.most * math.exp2(
            (self.most_at - now) / CLASS_HALF_LIFE))
        self.most, self.most_at = each, now
        least = self._least(now, min(warmth for _, warmth in cold)) if cold else 0.0
        used = COLD_PART if now >= self.warm_from else KEPT_PART
        for s, warmth in cold:
            part = max(min(1.0, used * self.settings.cold_multiple * warmth) * each, least)
            since, s.credit_at = now - s.credit_at, now
            if s.credit > 1.0:  # guards against calls earned by all nodes at a time and sent at another
                s.credit = 1.0 + (s.credit - 1.0) * math.exp2(-since / self.settings.cold_window)
            else:
                gain = part * since
                s.credit, s.paid = min(1.0, s.credit + max(gain - s.paid, 0.0)), max(s.paid - gain, 0.0)
        return [s for s, warmth in warmths if warmth >= 1.0 or s.credit >= 1.0]

    def _least(self, now: int, warmth: float) -> float:
        """What time gives any cold server, in calls a nanosecond, though no warm one answers.

        Guards against a fleet that is cold as a whole, and would stay dark. By Little's law a server that
        answers within some time does at least one call in that time. Before any answer that is what a call
        usually takes, longer by its coldness. Of that all nodes together use their part of the budget.
        """
        usual = sum(self._base(now, i) for i in range(len(self.classes))) / len(self.classes)
        most = min(1.0, COLD_FIRST * self.settings.cold_multiple) / self.settings.siblings
        return most / (self.cold.mean(now, usual / api.SECOND / warmth) * api.SECOND)

    def avoided(self, now: int) -> int:
        """Ready servers that are not chosen while others are: most of their calls miss, or are overdue."""
        return sum(1 for s in self.servers.values() if s.own.share(now) < AVOIDED_SHARE or (
            s.open and now * s.open_rate - s.open_sent > OVERDUE * s.open * self._load(now)))

    def _track(self, attempt: Attempt, by: int) -> None:
        """Keep the sums over open attempts, whose age counts as time waited."""
        server = attempt.server
        server.open += by
        self.out += by
        server.open_rate += by / attempt.base
        server.open_sent += by * attempt.sent / attempt.base

    def _learn(self, now: int, request: Request, attempt: Attempt, latency: int) -> None:
        """Take in how an attempt ended. A cancelled one only tells that it took longer than it had."""
        ok = attempt.status is api.Status.OK
        lost = not ok and attempt.status is not api.Status.CANCELLED
        server, waited = attempt.server, latency / attempt.expected
        if ok:
            server.links, server.used = max(server.links, server.open + 1), now
            if attempt.sent > server.refused and server in self.refusers:  # it takes connections again
                self.refusers.remove(server)
                server.refused, server.rest = 0, SHUT // 2
        elif attempt.status is api.Status.CONNECT_FAILED:
            server.rest = min(2 * server.rest, max(self.settings.idle_close, SHUT))
            server.shut, server.links, server.refused = now + server.rest, 0, now
            if self.servers.get(server.entry.server) is server:
                self.refusers.add(server)
        server.own.note(now, waited, ok, lost)
        # Guards against a kind that is damned by a few silent servers: they return, and others of it start.
        self.kinds[server.entry.kind].note(now, min(waited, OVERDUE), ok, lost)
        # The common load is taken out, or a busy start would pass for what the class usually takes.
        self.classes[request.cls].note(now, latency / request.spec.aim / self._load(now), ok, lost)
        if ok or waited <= REFERENCE:
            self.load.note(now, latency / attempt.base, ok, lost)
        if server.warmth(now, self.settings) >= 1.0:
            self.warm.note(now, waited, ok, lost)
            self.warm_lately.note(now, waited, ok, lost)
            return
        self.cold.note(now, latency / api.SECOND, ok, lost)
        if ok:
            self._earned(now, server, waited)

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

    def _warm_count(self, now: int) -> int:
        return sum(1 for s in self.servers.values() if s.warmth(now, self.settings) >= 1.0)

    def _ended(self, now: int, event: api.AttemptEnded) -> None:
        request = self.requests.get(event.request)
        if request is None or event.attempt >= len(request.attempts):
            return
        attempt = request.attempts[event.attempt]
        if attempt.status is not None:  # told before
            return
        attempt.status = event.status
        self._track(attempt, -1)
        if event.status is not api.Status.MOOT:
            self._learn(now, request, attempt, event.latency)
        elif event.attempt:
            self.budget.moot(attempt.sent)
        if event.status is api.Status.FULL:
            # Guards against servers that turn away before times tell: too much is out already. Also slows
            # growth while servers throttle one class; harmless there, as the first few calls stay.
            self.grown = max(self.grown - FULL_SHRINKS * GROWTH * self.pace, 0.0)
        if event.status is api.Status.OK:
            self.spare = min(SPARE_MOST, self.spare + SPARE_SHARE)
            # Guards against growing with the queues themselves: answers at their usual times need so many.
            self.flow.note(now, attempt.base, True, False)
            need = ROOM * self.flow.time * math.log(2) / LOAD_HALF_LIFE
            if self.strain < GROWTH_MOST and self.grown < need:
                self.grown += self._growth(now)
            else:
                # Guards against holding a window that keeps servers slow: they recover once nearly idle. A
                # node with few calls out yields by less: its strain strays by chance.
                yields = self.pace ** 2 if self.strain > GROWTH_MOST else 0.0
                part = 1.0 if self.grown > need or self.strain > CROWD_LEAST else yields
                self.grown = max(self.grown - GROWTH * self.pace * part, 0.0)
        if event.closed or event.status is api.Status.OK or request.closed:
            self._cancel_others(request, event.attempt)
            self._close(request)
        elif not request.streaming and all(a.status is not None for a in request.attempts):
            self._place(now, request)
        self._place_held(now)  # what this answer earned a cold server goes to the worthiest

    def _release(self, request: Request) -> None:
        if request.held:
            del self.held[request.cls][request.id]
            request.held = False

    def _cancel_others(self, request: Request, winner: int) -> None:
        for index, attempt in enumerate(request.attempts):
            if attempt.status is None and index != winner and self.settings.may_cancel:
                self.actions.append(api.Cancel(request.id, index))

    def _settle(self, request: Request) -> None:
        """The final answer where no server gave one: a refusal only if a further try is harmless."""
        if request.harmless or request.anchor is None:
            # Guards against all that were refused together coming back together, before queues are shorter.
            pause = self.random.uniform(*BACK_PART) * request.spec.aim if self.settings.retry_after else 0.0
            self.actions.append(api.Refuse(request.id, min(int(pause), self.settings.max_retry_after)))
        else:
            self.actions.append(api.Fail(request.id))
        self._cancel_others(request, -1)
        self._close(request)

    def _close(self, request: Request) -> None:
        """Nothing more is sent; it is kept only until its last attempt has ended."""
        request.closed = True
        self._release(request)
        if all(a.status is not None for a in request.attempts):
            del self.requests[request.id]
