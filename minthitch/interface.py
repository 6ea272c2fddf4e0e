"""The interface of the balancer: its settings, the events it takes and the actions it returns.

Times are integer nanoseconds on one monotonic clock. Servers and requests are plain ints chosen by the host;
timer tokens are chosen by the balancer. This module holds data types only.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from enum import Enum

SECOND = 1_000_000_000
MILLISECOND = 1_000_000


class Effect(Enum):
    """The effect of executing a request a second time."""

    SAFE = "safe"  # none
    KEYED = "keyed"  # none: the servers of one group drop repeats within a window of time
    UNSAFE = "unsafe"  # it takes effect again


class Group(Enum):
    """Which servers drop the repeat of a keyed request that one of them has received."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Status(Enum):
    """How an attempt or a probe ended."""

    OK = "ok"
    ERROR = "error"  # the server answered with an error; the request may have run
    FULL = "full"  # the server rejected it without reading it
    TIMEOUT = "timeout"  # may have run, or may still run
    CONNECT_FAILED = "connect failed"
    RESET = "reset"  # the connection broke; may have run
    CANCELLED = "cancelled"  # may have run
    MOOT = "moot"  # it never left the node

    @property
    def never_ran(self) -> bool:
        """Whether this outcome proves that the attempt had no effect."""
        return self in (Status.FULL, Status.CONNECT_FAILED, Status.MOOT)


class State(Enum):
    """A server's state in the list."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class ListKind(Enum):
    """What a list update contains."""

    FULL = "full"  # all servers
    CHANGES = "changes"  # only the entries that changed
    CACHED = "cached"  # all servers as last known, perhaps out of date
    FAILED = "failed"  # a call for the list failed, or the subscription broke


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A class of requests: its latency target, the effect of repeats, its worth and its placement."""

    name: str
    aim: int  # latency target: an answer within this earns the full worth
    deadline: int  # the client gives up after this
    effect: Effect = Effect.UNSAFE
    group: Group = Group.ALL  # keyed only
    window: int = 0  # keyed only: how long repeats are dropped, from the first send that may have run
    worth: float = 1.0
    late_worth: float = 0.0  # share of the worth that an answer after the aim earns
    stream: bool = False
    zones: tuple[int, ...] | None = None  # placement: the only zones it may be sent to; None = all
    kinds: tuple[int, ...] | None = None  # placement: the only kinds of machine it may be sent to; None = all
    aim_stretch: float = 0.0  # the aim grows by this multiple of the request's own work, up to the deadline


@dataclass(frozen=True, slots=True)
class Tenant:
    """A customer with a rate within which its requests keep their full worth."""

    name: str
    allowance: float  # requests per second, over all nodes; 0 = no limit


@dataclass(frozen=True, slots=True)
class Objective:
    """The operators' objective: weights of one sum, and two parameters of its terms."""

    whole: float = 1.0  # the result over the whole day
    worst_window: float = 0.0  # the result in the worst 10 s
    worst_class: float = 0.0  # the result of the worst class
    worst_tenant: float = 0.0  # the result of the worst tenant
    tail: float = 0.0  # in full only if at most the share tail_miss of a class's requests miss their aims
    tail_miss: float = 0.01
    nines: float = 0.0  # -log10 of the share of worth not served in time; in full at top_nines
    top_nines: float = 3.0


@dataclass(frozen=True, slots=True)
class Prices:
    """Deductions from the result, as fractions of 1; each is multiplied by its own rate.

    The comments say at which rate a price is deducted in full.
    """

    cross_zone: float = 0.0  # one attempt in another zone per first attempt
    waste: float = 0.0  # as much server work without an answer as was requested
    late_fail: float = 0.0  # all worth not served once its aim has passed
    probe: float = 0.0  # one probe per first attempt
    peer: float = 0.0  # 256 bytes to one peer per first attempt
    handshake: float = 0.0  # one new connection per first attempt
    connection: float = 0.0  # 100 open connections per server
    discovery: float = 0.0  # 100 lines of the server list per first attempt


@dataclass(frozen=True, slots=True)
class Settings:
    """The settings a balancer is started with. Every field except `classes` has a default."""

    classes: tuple[RequestClass, ...]
    tenants: tuple[Tenant, ...] = ()
    tier: int = 0  # the tier this node sends to; 0 is the one that serves clients
    zone: int = 0
    node: int = 0
    siblings: int = 1  # number of nodes that send to the same tier, this one included
    tick: int = MILLISECOND  # minimum time between two batches of events
    ask_for_list: bool = False  # list changes are sent only after a Subscribe
    # A node that has not subscribed for this long (4 times as long after a failed call) is held to changes of
    # the list as if it had been told them.
    ask_within: int = 10 * SECOND
    drain_grace: int = 0  # for how long a server that drains or is gone may still be sent to
    answer_slack: int = 0  # how long after the deadline a final answer may still be given
    cold_share: float = 1.0  # a server that just started has at least this share of its full capacity
    cold_time: int = 0  # and has all of it (is warm) after this time
    cold_multiple: float = 1.0  # a cold server fails if it is sent more than this multiple of its capacity
    cold_window: int = SECOND  # over this time
    budget_share: float | None = None  # attempts beyond a first allowed per request; None = no budget
    budget_free: float = 0.0  # the same, allowed whatever the traffic
    budget_window: int = 5 * SECOND  # sliding window over which both are counted
    may_cancel: bool = True  # attempts may be cancelled
    may_duplicate: bool = True  # several attempts of a request may be in flight at once
    may_probe: bool = False
    may_tell: bool = False
    max_attempts: int = 1  # attempts per request, the first included
    retry_after: bool = False  # refusals may state when to try again
    max_retry_after: int = 0
    connect_timeout: int = 0  # a connection not established by then has failed; 0 = not stated
    idle_close: int = 0  # idle connections are closed after this; 0 = not stated
    streams: int = 1  # concurrent attempts per connection
    passes_deadline: bool = True  # below the first tier: calls carry the time that their caller has left
    over_share_worth: float = 1.0  # factor on the worth of requests over their tenant's allowance
    worth_by_work: bool = False  # the worth of a class is per unit of work, not per request
    weights: str = "off"  # what ServerEntry.weight means: off, nominal, rough or live
    objective: Objective = Objective()
    prices: Prices = Prices()
    report_columns: tuple[str, ...] = ()
    reports_in_answers: bool = False  # load reports come with outcomes too, not only with probes
    zones: tuple[str, ...] = ()  # names, for the host: ServerEntry.zone and .kind are indexes into these
    kinds: tuple[str, ...] = ()
    max_open: int = 0  # limit on requests open at once, enforced by the host; 0 = not stated

    def __post_init__(self) -> None:
        if not self.classes:
            raise ValueError("settings: no request class")
        for spec in self.classes:
            if spec.aim <= 0 or spec.deadline <= 0:
                raise ValueError(f"settings: class {spec.name!r} needs an aim and a deadline above 0")
            _require_non_negative(
                f"class {spec.name!r}: ", spec, "window", "worth", "late_worth", "aim_stretch"
            )
        for tenant in self.tenants:
            _require_non_negative(f"tenant {tenant.name!r}: ", tenant, "allowance")
        if self.siblings < 1 or self.max_attempts < 1 or self.tick <= 0 or self.cold_window <= 0:
            raise ValueError("settings: siblings, max_attempts, tick and cold_window must be above 0")
        if not 0 < self.cold_share <= 1 or not 0 < self.cold_multiple < math.inf:
            raise ValueError("settings: cold_share must lie in (0, 1] and cold_multiple above 0")
        if self.budget_window <= 0 or self.streams < 1:
            raise ValueError("settings: budget_window and streams must be above 0")
        _require_non_negative(
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
            _require_non_negative("", self, "budget_share")
        for part in (self.objective, self.prices):
            _require_non_negative("", part, *part.__slots__)


def _require_non_negative(where: str, owner: object, *names: str) -> None:
    for name in names:
        if not 0 <= getattr(owner, name) < math.inf:  # also rejects NaN
            raise ValueError(f"settings: {where}{name} must be finite and not below 0")


@dataclass(frozen=True, slots=True)
class ServerEntry:
    """One server in the list."""

    server: int
    state: State = State.READY
    zone: int = 0
    cell: int = 0
    kind: int = 0
    started: int = 0  # clock time of its last start; 0 = long ago
    weight: float = 1.0


# Events ---------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class ListUpdate:
    """The server list, or changes to it."""

    kind: ListKind
    entries: tuple[ServerEntry, ...] = ()


@dataclass(frozen=True, slots=True)
class RequestArrived:
    """A client sent a request."""

    request: int
    cls: int  # index into Settings.classes
    deadline: int  # clock time at which the client gives up on this request
    tenant: int = 0
    key: int = 0
    cost: int = 0  # hint of the expected work; 0 = no hint
    repeat: bool = False  # the client marked this as a retry of its own


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """An attempt has its outcome."""

    request: int
    attempt: int  # 0, 1, 2 ... in the order of the request's sends
    server: int
    status: Status
    latency: int
    closed: bool = False  # the request is over, with this outcome or before it
    report: tuple[float, ...] = ()


@dataclass(frozen=True, slots=True)
class StreamStarted:
    """The first part of a streamed answer arrived: the request is answered by this attempt."""

    request: int
    attempt: int
    server: int
    latency: int


@dataclass(frozen=True, slots=True)
class RequestGone:
    """The client no longer waits for the request."""

    request: int


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer set by SetTimer is due."""

    token: int


@dataclass(frozen=True, slots=True)
class ProbeEnded:
    """A probe has its outcome."""

    server: int
    status: Status
    latency: int
    report: tuple[float, ...] = ()


@dataclass(frozen=True, slots=True)
class PeerMessage:
    """Another node sent a message with Tell."""

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
    """Start an attempt: send the request to the server."""

    request: int
    server: int
    timeout: int = 0  # 0 = until the client gives up


@dataclass(frozen=True, slots=True)
class Cancel:
    """Cancel an attempt in flight."""

    request: int
    attempt: int


@dataclass(frozen=True, slots=True)
class Refuse:
    """Final answer: the request took no effect, or a retry has none, so trying again is harmless."""

    request: int
    retry_after: int = 0


@dataclass(frozen=True, slots=True)
class Fail:
    """Final answer: the request may or may not have taken effect."""

    request: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Deliver TimerFired with this token after the delay."""

    token: int
    delay: int


@dataclass(frozen=True, slots=True)
class Subscribe:
    """Subscribe to changes of the server list."""


@dataclass(frozen=True, slots=True)
class Refresh:
    """Request the full server list once."""


@dataclass(frozen=True, slots=True)
class Probe:
    """Probe a server; only if `may_probe`."""

    server: int


@dataclass(frozen=True, slots=True)
class HangUp:
    """Close the idle connections to a server."""

    server: int


@dataclass(frozen=True, slots=True)
class Tell:
    """Send at most 256 bytes to one peer, or to all if `peer` is None; only if `may_tell`."""

    data: bytes
    peer: int | None = None


@dataclass(frozen=True, slots=True)
class Log:
    """Write a line to the log."""

    text: str = field(default="")


Action = Send | Cancel | Refuse | Fail | SetTimer | Subscribe | Refresh | Probe | HangUp | Tell | Log
