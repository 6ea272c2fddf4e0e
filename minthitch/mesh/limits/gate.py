"""Admission at one server: which requests start, which are queued, and which are rejected.

The gate counts exactly what runs, so it can reject a request before the server has seen it: that request
has not run, and another server may be asked at once. Times are seconds, passed in.
"""

from __future__ import annotations

from typing import Generic, TypeVar

MAX_QUEUED = 256  # requests, whatever their deadlines: a bound on memory
# What a request is expected to need before any has ended: so many seconds, or that fraction of its latency
# target where it is more. After a restart servers are slow and nothing is known.
INITIAL_MEAN_S = 0.1
INITIAL_FRACTION = 0.5
SMOOTHING = 0.05  # weight of the newest duration in a mean
MAX_ROUTES = 4_000  # routes whose means are kept
URGENT = 0  # priority of requests for which others wait while they occupy a slot: they may come late
MIN_TIME_FRACTION = 0.5  # of what a request expected_duration: with less time left it is not started
# A full server hangs if no slot has become free for so many seconds, and so many mean durations.
STUCK_S, STUCK_MEANS = 0.5, 3.0
MAX_DEADLINE_FRACTION = (
    0.8  # of the time to its deadline in which an urgent request has to be expected to end
)

Job = TypeVar("Job")


class QueuedRequest(Generic[Job]):
    """One request in the queue.

    `due`: until then its answer has its full value; `expected_duration`: expected seconds.
    """

    __slots__ = ("job", "priority", "due", "deadline", "expected_duration")

    def __init__(
        self, job: Job, priority: int, due: float, deadline: float, expected_duration: float
    ) -> None:
        self.job, self.priority, self.due, self.deadline, self.expected_duration = (
            job,
            priority,
            due,
            deadline,
            expected_duration,
        )

    def sort_key(self, now: float) -> tuple[int, bool, float]:
        """Sort key, the lowest first: priority; those that can be on time; the earliest of them."""
        return self.priority, now + self.expected_duration > self.due, self.due


class Gate(Generic[Job]):
    """Slots of one server, and the queue for them."""

    def __init__(self, slots: int) -> None:
        self.slots, self.running = slots, 0
        self.last_change = 0.0  # when a slot was occupied or became free last
        self.queue: list[QueuedRequest[Job]] = []
        self.mean = INITIAL_MEAN_S
        self.means: dict[str, tuple[float, int]] = {}  # by route: seconds, and how many ended

    def expected_duration(self, route: str, latency_target: float) -> float:
        """Expected seconds at the server; by the latency target where the route is not known yet."""
        known = self.means.get(route)
        return known[0] if known is not None else max(INITIAL_FRACTION * latency_target, INITIAL_MEAN_S)

    @property
    def queued(self) -> int:
        """How many requests wait."""
        return len(self.queue)

    def expected_wait(self, priority: int) -> float:
        """Expected seconds until a request of this priority gets a slot."""
        if self.running < self.slots:
            return 0.0
        ahead = sum(w.expected_duration for w in self.queue if w.priority <= priority)
        return (ahead + self.mean) / max(self.slots, 1)

    def arrive(self, now: float, waiting: QueuedRequest[Job]) -> bool | None:
        """A request has come.

        Returns:
            True: it starts now. False: it waits. None: it is rejected, and has not run.
        """
        if self.running < self.slots and not self.queue:
            self.running, self.last_change = self.running + 1, now
            return True
        # A request that waits and is not served in the end has cost its client the time for another server.
        ends = now + self.expected_wait(waiting.priority) + waiting.expected_duration
        latest = waiting.due
        if waiting.priority <= URGENT:
            latest = max(latest, now + MAX_DEADLINE_FRACTION * (waiting.deadline - now))
        if ends > latest or len(self.queue) >= MAX_QUEUED:
            return None
        self.queue.append(waiting)
        return False

    def stuck(self, now: float) -> bool:
        """Whether its server hangs: queued requests should go to another one."""
        return self.running >= self.slots and now - self.last_change > max(STUCK_S, STUCK_MEANS * self.mean)

    def ended(self, route: str, duration: float | None) -> None:
        """A slot has become free after `duration` seconds; None where that proves nothing."""
        self.running = max(self.running - 1, 0)
        if duration is None:
            return
        self.mean += SMOOTHING * (duration - self.mean)
        mean, count = self.means.get(route, (0.0, 0))
        if count or len(self.means) < MAX_ROUTES:
            self.means[route] = mean + max(SMOOTHING, 1.0 / (count + 1)) * (duration - mean), count + 1

    def next(self, now: float) -> tuple[list[Job], list[Job]]:
        """After a slot has become free: those that start now, and those rejected as their time is over."""
        self.last_change = now
        starts: list[Job] = []
        late = [w for w in self.queue if now + MIN_TIME_FRACTION * w.expected_duration > w.deadline]
        if late:
            self.queue = [
                w for w in self.queue if now + MIN_TIME_FRACTION * w.expected_duration <= w.deadline
            ]
        while self.queue and self.running < self.slots:
            best = min(self.queue, key=lambda w: w.sort_key(now))
            self.queue.remove(best)
            self.running += 1
            starts.append(best.job)
        return starts, [w.job for w in late]

    def remove(self, job: Job) -> bool:
        """Take one out of the queue; whether it was there."""
        for waiting in self.queue:
            if waiting.job is job:
                self.queue.remove(waiting)
                return True
        return False

    def clear(self) -> list[Job]:
        """Take all out of the queue: the server accepts nothing more."""
        jobs, self.queue = [w.job for w in self.queue], []
        return jobs
