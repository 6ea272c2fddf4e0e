"""What a run came to, in numbers: worth, latencies, seconds. Pure."""

from __future__ import annotations

from collections.abc import Sequence

from hdrh.histogram import HdrHistogram

from minthitch import interface as api
from minthitch.lab.heap import START

LONGEST = 3_600_000_000  # us that a histogram tells apart
DIGITS = 3


class Tally:
    """Counts wants by class and second. A want is worth its class's worth once, by its first asking."""

    def __init__(self, classes: Sequence[api.RequestClass], seconds: int) -> None:
        self.classes = list(classes)
        self.latency = [HdrHistogram(1, LONGEST, DIGITS) for _ in classes]  # us, of what was served
        self.wants = [0] * len(classes)
        self.in_aim = [0] * len(classes)
        self.late = [0] * len(classes)
        self.unserved = [0] * len(classes)
        self.tries = 0
        self.worth = self.offered = 0.0
        self.each_second = [[0.0, 0.0] for _ in range(seconds + 1)]  # worth wanted, served

    def _second(self, since: int) -> list[float]:
        return self.each_second[min((since - START) // api.SECOND, len(self.each_second) - 1)]

    def wanted(self, since: int, cls: int, counted: bool) -> None:
        self._second(since)[0] += self.classes[cls].worth
        if counted:
            self.wants[cls] += 1
            self.offered += self.classes[cls].worth

    def ended(self, since: int, now: int, cls: int, served: bool, counted: bool) -> None:
        spec, took = self.classes[cls], now - since
        worth = 0.0
        if served:
            worth = spec.worth * (1.0 if took <= spec.aim else spec.late_worth)
        self._second(since)[1] += worth
        if not counted:
            return
        self.worth += worth
        if not served:
            self.unserved[cls] += 1
            return
        self.latency[cls].record_value(max(took // 1_000, 1))
        if took <= spec.aim:
            self.in_aim[cls] += 1
        else:
            self.late[cls] += 1

    @property
    def share(self) -> float:
        """Of the worth that was wanted, what was served in time."""
        return self.worth / self.offered if self.offered else 1.0

    def by_class(self) -> dict[str, dict[str, float]]:
        """Figures of each class; latencies in ms."""
        found = {}
        for i, spec in enumerate(self.classes):
            histogram = self.latency[i]
            some = histogram.get_total_count() > 0
            found[spec.name] = {
                "wants": self.wants[i],
                "in_aim": self.in_aim[i],
                "late": self.late[i],
                "unserved": self.unserved[i],
                **{
                    f"p{q:g}_ms": histogram.get_value_at_percentile(q) / 1e3 if some else 0.0
                    for q in (50, 95, 99, 99.9)
                },
            }
        return found
