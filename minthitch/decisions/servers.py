"""One server as this node sees it: what it answered, what is out at it, what it may get."""

from __future__ import annotations

from minthitch import interface as api
from minthitch.decisions.evidence import HALF_LIFE, LOAD_HALF_LIFE, Evidence

SHUT = LOAD_HALF_LIFE  # so long a server that refused a connection is not asked for another; then twice that


class Server:
    """One server as this node sees it."""

    __slots__ = (
        "entry",
        "evidence",
        "in_flight",
        "open_rate",
        "open_sent",
        "credit",
        "credit_at",
        "connections",
        "used",
        "lately",
        "paid",
        "connect_after",
        "rest",
        "refused",
    )

    def __init__(self, entry: api.ServerEntry, now: int, credit: float, window: int) -> None:
        self.entry, self.evidence = entry, Evidence(HALF_LIFE)
        self.paid = 0.0  # calls that its answers earned it, which time does not give it once more
        self.lately = Evidence(window // 4)  # calls sent while it is cold
        self.in_flight = 0  # this node's attempts that are out; below, sums over them
        self.open_rate = self.open_sent = 0.0  # 1 / usual time; send time / usual time
        self.credit, self.credit_at = credit, now  # calls a cold server may still get
        self.connections, self.used = 0, 0  # connections that answered; when one of them last did
        self.refused = 0  # when it last refused one; 0 = it has answered since
        self.connect_after, self.rest = (
            now,
            SHUT // 2,
        )  # until when it is not asked for a new one; how long that was

    def may_take(self, spec: api.RequestClass) -> bool:
        """Placement: whether the class is open to this server's zone and kind, at every attempt."""
        return (spec.zones is None or self.entry.zone in spec.zones) and (
            spec.kinds is None or self.entry.kind in spec.kinds
        )

    def warm_from(self, settings: api.Settings) -> int:
        return self.entry.started and self.entry.started + settings.cold_time

    def warmth(self, now: int, settings: api.Settings) -> float:
        """The share of its work that it can do at least; 1 when warm."""
        if not self.entry.started or (age := now - self.entry.started) >= settings.cold_time:
            return 1.0
        return settings.cold_share + (1 - settings.cold_share) * max(age, 0) / settings.cold_time
