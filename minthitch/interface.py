"""What goes into and comes out of the decision module: settings, events, actions.

Times are integer nanoseconds on one monotonic clock. A server, request or timer token is
a plain int chosen by the host. Nothing here decides anything.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from enum import Enum

SECOND = 1_000_000_000
MILLISECOND = 1_000_000


class Effect(Enum):
    """What a repeat of a request does."""

    SAFE = "safe"  # nothing
    KEYED = "keyed"  # dropped by the servers of one group, for a while
    UNSAFE = "unsafe"  # takes effect again


class Group(Enum):
    """Which servers drop the repeat of a keyed request that one of them has seen."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Status(Enum):
    """How an attempt or a probe ended."""

    OK = "ok"
    ERROR = "error"  # the server answered with an error; it may have run
    FULL = "full"  # turned away unread
    TIMEOUT = "timeout"  # may have run, may still run
    CONNECT_FAILED = "connect failed"
    RESET = "reset"  # connection broke; may have run
    CANCELLED = "cancelled"  # may have run
    MOOT = "moot"  # never left the node

    @property
    def never_ran(self) -> bool:
        """Whether this outcome proves that the attempt had no effect."""
        return self in (Status.FULL, Status.CONNECT_FAILED, Status.MOOT)


class State(Enum):
    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class ListKind(Enum):
    FULL = "full"  # every server there is
    CHANGES = "changes"  # only what changed
    CACHED = "cached"  # the full list as last held, perhaps stale
    FAILED = "failed"  # a call for the list failed, or the subscription broke


@dataclass(frozen=True, slots=True)
class RequestClass:
    name: str
    aim: int  # an answer within this earns the full worth
    deadline: int  # the client's whole patience
    effect: Effect = Effect.UNSAFE
    group: Group = Group.ALL  # keyed only
    window: int = 0  # keyed only: how long repeats are dropped, from the first send that may have run
    worth: float = 1.0
    late_worth: float = 0.0  # share of the worth paid after the aim
    stream: bool = False
    zones: tuple[int, ...] | None = None  # placement: the only zones it may be sent to; None = any
    kinds: tuple[int, ...] | None = None  # placement: the only kinds of machine; None = any
    aim_stretch: float = 0.0  # the aim grows by this multiple of a request's own work, up to the deadline


@dataclass(frozen=True, slots=True)
class Tenant:
    name: str
    allowance: float  # requests a second within its share, over all nodes; 0 = no limit


@dataclass(frozen=True, slots=True)
class Objective:
    """What the operators count, as weights of one sum, and two figures that belong to them."""

    whole: float = 1.0  # the whole day
    worst_window: float = 0.0  # its worst 10 s
    worst_class: float = 0.0
    worst_tenant: float = 0.0
    tail: float = 0.0  # in full only while at most tail_miss of a class's requests miss their aims
    tail_miss: float = 0.01
    nines: float = 0.0  # -log10 of the share of worth not served in time, in full at top_nines
    top_nines: float = 3.0


@dataclass(frozen=True, slots=True)
class Prices:
    """Points of the result, as fractions of 1, each times its own rate."""

    cross_zone: float = 0.0  # attempts that cross zones, as many as first tries
    waste: float = 0.0  # server work for no answer, as much as was asked for
    late_fail: float = 0.0  # all worth unserved once its aim has passed
    probe: float = 0.0  # one probe a first try
    peer: float = 0.0  # 256 bytes to one peer a first try
    handshake: float = 0.0  # one new connection a first try
    connection: float = 0.0  # 100 open connections a server
    discovery: float = 0.0  # 100 list lines a first try


@dataclass(frozen=True, slots=True)
class Settings:
    """What a balancer is told at its start. Every field but `classes` has a default."""

    classes: tuple[RequestClass, ...]
    tenants: tuple[Tenant, ...] = ()
    tier: int = 0  # the tier this node sends to; 0 is the one that clients reach
    zone: int = 0
    node: int = 0
    siblings: int = 1  # nodes that send to the same tier, this one included
    tick: int = MILLISECOND  # least time between two batches of events
    ask_for_list: bool = False  # changes come only to a subscriber
    ask_within: int = 10 * SECOND  # not asked for this long (4 times, after a failed call): counts as told
    drain_grace: int = 0
    answer_slack: int = 0
    cold_share: float = 1.0  # a started server can do at least this part of its work
    cold_time: int = 0  # and is warm after this
    cold_multiple: float = 1.0  # sent more than this multiple of what it can do,
    cold_window: int = SECOND  # for this long, it falls over
    budget_share: float | None = None  # further attempts for each request taken; None = no budget
    budget_free: float = 0.0  # and this many whatever the traffic,
    budget_window: int = 5 * SECOND  # both counted over this time
    may_cancel: bool = True
    may_duplicate: bool = True
    may_probe: bool = False
    may_tell: bool = False
    max_attempts: int = 1
    retry_after: bool = False
    max_retry_after: int = 0
    connect_timeout: int = 0  # a connection not up by then has failed; 0 = not stated
    idle_close: int = 0  # idle connections close after this; 0 = not stated
    streams: int = 1  # attempts that one connection carries at once
    passes_deadline: bool = True  # below the first tier: a call carries the time that its caller has left
    over_share_worth: float = 1.0
    worth_by_work: bool = False
    weights: str = "off"  # what ServerEntry.weight means: off, nominal, rough or live
    objective: Objective = Objective()
    prices: Prices = Prices()
    report_columns: tuple[str, ...] = ()
    reports_in_answers: bool = False  # load reports come with outcomes too, not with probes alone
    zones: tuple[str, ...] = ()  # names, for the host: ServerEntry.zone and .kind are positions here
    kinds: tuple[str, ...] = ()
    max_open: int = 0  # requests open at once, kept by the host; 0 = not stated

    def __post_init__(self) -> None:
        if not self.classes:
            raise ValueError("settings: no request class")
        for spec in self.classes:
            if spec.aim <= 0 or spec.deadline <= 0:
                raise ValueError(f"settings: class {spec.name!r} needs an aim and a deadline above 0")
            _not_below_zero(f"class {spec.name!r}: ", spec, "window", "worth", "late_worth", "aim_stretch")
        for tenant in self.tenants:
            _not_below_zero(f"tenant {tenant.name!r}: ", tenant, "allowance")
        if self.siblings < 1 or self.max_attempts < 1 or self.tick <= 0 or self.cold_window <= 0:
            raise ValueError("settings: siblings, max_attempts, tick and cold_window must be above 0")
        if not 0 < self.cold_share <= 1 or not 0 < self.cold_multiple < math.inf:
            raise ValueError("settings: cold_share must lie in (0, 1] and cold_multiple above 0")
        if self.budget_window <= 0 or self.streams < 1:
            raise ValueError("settings: budget_window and streams must be above 0")
        _not_below_zero(
            "",
            self,
            "tier",
            "zone",
            "node",
            "ask_within",
            "drain_grace",
            "answer_slack",
            "cold_time",
            "budget_free",
            "max_retry_after",
            "connect_timeout",
            "idle_close",
            "over_share_worth",
            "max_open",
        )
        if self.budget_share is not None:
            _not_below_zero("", self, "budget_share")
        for part in (self.objective, self.prices):
            _not_below_zero("", part, *part.__slots__)


def _not_below_zero(where: str, owner: object, *names: str) -> None:
    for name in names:
        if not 0 <= getattr(owner, name) < math.inf:  # NaN fails this too
            raise ValueError(f"settings: {where}{name} must be finite and not below 0")


@dataclass(frozen=True, slots=True)
class ServerEntry:
    server: int
    state: State = State.READY
    zone: int = 0
    cell: int = 0
    kind: int = 0
    started: int = 0  # clock time of its latest start; 0 = long ago
    weight: float = 1.0


# Events ---------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class ListUpdate:
    kind: ListKind
    entries: tuple[ServerEntry, ...] = ()


@dataclass(frozen=True, slots=True)
class RequestArrived:
    request: int
    cls: int  # index into Settings.classes
    deadline: int  # clock time at which the client gives up this try
    tenant: int = 0
    key: int = 0
    cost: int = 0  # expected work; 0 = not hinted
    repeat: bool = False  # the client says that it tried before


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    request: int
    attempt: int  # 0, 1, 2 ... in the order of sends
    server: int
    status: Status
    latency: int
    closed: bool = False  # the request is over, by this outcome or earlier
    report: tuple[float, ...] = ()


@dataclass(frozen=True, slots=True)
class StreamStarted:
    request: int
    attempt: int
    server: int
    latency: int


@dataclass(frozen=True, slots=True)
class RequestGone:
    request: int


@dataclass(frozen=True, slots=True)
class TimerFired:
    token: int


@dataclass(frozen=True, slots=True)
class ProbeEnded:
    server: int
    status: Status
    latency: int
    report: tuple[float, ...] = ()


@dataclass(frozen=True, slots=True)
class PeerMessage:
    sender: int
    data: bytes


Event = (
    ListUpdate
    | RequestArrived
    | AttemptEnded
    | StreamStarted
    | RequestGone
    | TimerFired
    | ProbeEnded
    | PeerMessage
)


# Actions --------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Send:
    request: int
    server: int
    timeout: int = 0  # 0 = until the client gives up


@dataclass(frozen=True, slots=True)
class Cancel:
    request: int
    attempt: int


@dataclass(frozen=True, slots=True)
class Refuse:
    """Final answer: not done, and trying again is harmless."""

    request: int
    retry_after: int = 0


@dataclass(frozen=True, slots=True)
class Fail:
    """Final answer that promises nothing about the effect."""

    request: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    token: int
    delay: int


@dataclass(frozen=True, slots=True)
class Subscribe:
    """Ask for the changes of the server list from now on."""


@dataclass(frozen=True, slots=True)
class Refresh:
    """Ask for the whole server list, once."""


@dataclass(frozen=True, slots=True)
class Probe:
    """Examine a server; only where `may_probe`."""

    server: int


@dataclass(frozen=True, slots=True)
class HangUp:
    """Close the idle connections to a server."""

    server: int


@dataclass(frozen=True, slots=True)
class Tell:
    """At most 256 bytes to one peer, or to all where `peer` is None; only where `may_tell`."""

    data: bytes
    peer: int | None = None


@dataclass(frozen=True, slots=True)
class Log:
    text: str = field(default="")


Action = Send | Cancel | Refuse | Fail | SetTimer | Subscribe | Refresh | Probe | HangUp | Tell | Log
