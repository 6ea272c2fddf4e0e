"""Admission at one server: which requests start, which are queued, and which are rejected.

The gate counts the running requests exactly, so it can reject a request before the server has seen it: that
request has not run, and may go to another server at once. Times are seconds, passed in.
"""

from __future__ import annotations

from typing import Generic, TypeVar

MAX_QUEUED = 256  # requests, whatever their deadlines: bounds the memory
# Expected duration of a request while none on its route has ended: this many seconds, or this fraction of its
# latency target if that is longer. After a restart servers are slow and nothing is known.
INITIAL_MEAN_S = 0.1
INITIAL_FRACTION = 0.5
SMOOTHING = 0.05  # weight of the newest duration in a mean
MAX_ROUTES = 4_000  # whose mean durations are kept
# Priority of nested calls. Their callers occupy a slot while they wait, so these may miss their target.
URGENT = 0
MIN_TIME_FRACTION = 0.5  # of its expected duration: a request with less time left is not started
# A full server counts as stuck if no slot has become free for this many seconds and this many mean durations.
STUCK_S, STUCK_MEANS = 0.5, 3.0
# An urgent request is accepted if it is expected to end within this fraction of the time to its deadline.
MAX_DEADLINE_FRACTION = 0.8

Job = TypeVar("Job")


class QueuedRequest(Generic[Job]):
    """One request in the queue.

    `due`: when its latency target ends; `expected_duration`: in seconds, at the server.
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
        """The lowest goes first: by priority, then those that can still be on time, then by `due`."""
        return self.priority, now + self.expected_duration > self.due, self.due


class Gate(Generic[Job]):
    """The slots of one server, and the queue for them."""

    def __init__(self, slots: int) -> None:
        self.slots, self.running = slots, 0
        self.last_change = 0.0  # when a slot was last occupied or became free
        self.queue: list[QueuedRequest[Job]] = []
        self.mean = INITIAL_MEAN_S
        self.means: dict[str, tuple[float, int]] = {}  # by route: mean duration, and how many ended

    def expected_duration(self, route: str, latency_target: float) -> float:
        """Expected seconds at the server: the route's mean, else derived from the latency target."""
        known = self.means.get(route)
        return known[0] if known is not None else max(INITIAL_FRACTION * latency_target, INITIAL_MEAN_S)

    @property
    def queued(self) -> int:
        """How many requests are queued."""
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
            True: it starts now. False: it is queued. None: it is rejected, and has not run.
        """
        if self.running < self.slots and not self.queue:
            self.running, self.last_change = self.running + 1, now
            return True
        # Queueing a request that is not served in the end would cost its client the time for another server.
        ends = now + self.expected_wait(waiting.priority) + waiting.expected_duration
        latest = waiting.due
        if waiting.priority <= URGENT:
            latest = max(latest, now + MAX_DEADLINE_FRACTION * (waiting.deadline - now))
        if ends > latest or len(self.queue) >= MAX_QUEUED:
            return None
        self.queue.append(waiting)
        return False

    def stuck(self, now: float) -> bool:
        """Whether the server hangs: queued requests should go to another one."""
        return self.running >= self.slots and now - self.last_change > max(STUCK_S, STUCK_MEANS * self.mean)

    def ended(self, route: str, duration: float | None) -> None:
        """A slot has become free after `duration` seconds; None if that tells nothing about the route."""
        self.running = max(self.running - 1, 0)
        if duration is None:
            return
        self.mean += SMOOTHING * (duration - self.mean)
        mean, count = self.means.get(route, (0.0, 0))
        if count or len(self.means) < MAX_ROUTES:
            self.means[route] = mean + max(SMOOTHING, 1.0 / (count + 1)) * (duration - mean), count + 1

    def next(self, now: float) -> tuple[list[Job], list[Job]]:
        """After a slot has become free: the jobs that start now, and those rejected as their time is over."""
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
        """Remove a job from the queue; whether it was queued."""
        for waiting in self.queue:
            if waiting.job is job:
                self.queue.remove(waiting)
                return True
        return False

    def clear(self) -> list[Job]:
        """Empty the queue and return its jobs: the server accepts nothing more."""
        jobs, self.queue = [w.job for w in self.queue], []
        return jobs
