"""One server as this node sees it: its outcomes, the attempts in flight there, its cold-start credit."""

from __future__ import annotations

from minthitch import interface as api
from minthitch.decisions.evidence import HALF_LIFE, LOAD_HALF_LIFE, Evidence

CONNECT_BACKOFF = LOAD_HALF_LIFE  # first pause in new connections after a failed connect; doubles each time


class Server:
    """A ready server and what this node has learned about it."""

    __slots__ = (
        "entry",
        "evidence",
        "in_flight",
        "inverse_base_sum",
        "scaled_sent_sum",
        "credit",
        "credit_at",
        "connections",
        "answered_at",
        "recent_sends",
        "prepaid",
        "connect_after",
        "backoff",
        "connect_failed_at",
    )

    def __init__(self, entry: api.ServerEntry, now: int, credit: float, window: int) -> None:
        self.entry, self.evidence = entry, Evidence(HALF_LIFE)
        self.prepaid = 0.0  # credit earned by answers, which is deducted from what time grants later
        self.recent_sends = Evidence(window // 4)  # attempts sent while it is cold
        self.in_flight = 0  # this node's attempts in flight there; the next line holds sums over them
        self.inverse_base_sum = self.scaled_sent_sum = 0.0  # of 1 / base_latency; of sent_at / base_latency
        self.credit, self.credit_at = credit, now  # attempts that a cold server may still get; last update
        self.connections, self.answered_at = 0, 0  # connections that have answered; when one last did
        self.connect_failed_at = 0  # time of the last failed connect; 0 = it has answered since
        self.connect_after, self.backoff = now, CONNECT_BACKOFF // 2  # no new connection before; last pause

    def may_take(self, spec: api.RequestClass) -> bool:
        """Placement: whether the class may use this server's zone and kind; holds for every attempt."""
        return (spec.zones is None or self.entry.zone in spec.zones) and (
            spec.kinds is None or self.entry.kind in spec.kinds
        )

    def warm_at(self, settings: api.Settings) -> int:
        """When it has its full capacity; 0 if it started long ago."""
        return self.entry.started and self.entry.started + settings.cold_time

    def warmth(self, now: int, settings: api.Settings) -> float:
        """The share of its full capacity that it has at least; 1 when warm."""
        if not self.entry.started or (age := now - self.entry.started) >= settings.cold_time:
            return 1.0
        return settings.cold_share + (1 - settings.cold_share) * max(age, 0) / settings.cold_time
