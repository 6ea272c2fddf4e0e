"""The model of a server: cores, slots, warmth, falling over, silence, slowness. Pure, on virtual time."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Protocol

from minthitch.interface import Status
from minthitch.lab.choke import Choking
from minthitch.lab.heap import Heap
from minthitch.lab.ledger import Ledger
from minthitch.lab.rivals.base import Sight
from minthitch.lab.scenario import Tier, span
from minthitch.lab.streams import Stream

LEAST_WORK = 1_000  # ns
ORACLE_PART = 0.5  # of what pushes a cold server over: the work of a call is not known before it comes


class Below(Protocol):
    """Calls to the next tier, one after another, for a job that holds its slot meanwhile."""

    def __call__(self, job: Job, done: Callable[[Status], None]) -> None: ...


class Job:
    """A request at a server."""

    __slots__ = ("number", "cls", "deadline", "work", "reply", "gone")

    def __init__(
        self, number: int, cls: int, deadline: int, work: int, reply: Callable[[Status], None]
    ) -> None:
        self.number, self.cls, self.deadline, self.work, self.reply = number, cls, deadline, work, reply
        self.gone = False  # whoever asked has given it up


class ServerModel:
    """One server at one address. `epoch` counts its starts: what belongs to an earlier one is void."""

    __slots__ = (
        "heap",
        "ledger",
        "tier",
        "name",
        "number",
        "cell",
        "zone",
        "kind",
        "speed",
        "up",
        "born",
        "epoch",
        "silent",
        "factor",
        "errors",
        "busy",
        "held",
        "queue",
        "recent",
        "recent_work",
        "served",
        "falls",
        "stream",
        "below",
        "on_fall",
        "cold_time",
        "window",
        "work_done",
        "choke",
    )

    def __init__(
        self,
        heap: Heap,
        ledger: Ledger,
        tier: Tier,
        number: int,
        stream: Stream,
        below: Below | None,
        on_fall: Callable[[ServerModel], None],
    ) -> None:
        self.heap, self.ledger, self.tier, self.number, self.stream = heap, ledger, tier, number, stream
        self.below, self.on_fall = below, on_fall
        self.name = f"{tier.name}-{number}"
        self.cell, self.zone = number % tier.cells, number % tier.zones
        self.kind = number % len(tier.kinds)
        self.speed = tier.kinds[self.kind]
        self.cold_time, self.window = span(tier.cold.time), span(tier.cold.window)
        self.up, self.born, self.epoch = True, 0, 0  # born 0: long ago
        self.silent, self.factor, self.errors = False, 1.0, 0.0
        self.busy = self.held = 0  # cores at work; slots taken
        self.queue: deque[Job] = deque()
        self.recent: deque[tuple[int, int]] = deque()  # arrivals of the window while it is cold
        self.recent_work = 0
        self.served = self.falls = 0
        self.work_done = 0  # ns of CPU
        self.choke = Choking(tier.choke, tier.cores)

    def warmth(self, now: int) -> float:
        """The part of its speed that it has."""
        if not self.born or now - self.born >= self.cold_time:
            return 1.0
        share = self.tier.cold.share
        return share + (1.0 - share) * (now - self.born) / self.cold_time

    def arrive(self, job: Job) -> None:
        """A request has come whole."""
        now = self.heap.time
        if self.held >= self.tier.slots:
            self.ledger.full()
            job.reply(Status.FULL)
            return
        self.held += 1
        self._look()
        self.ledger.took(now, job.number, self.cell, self.zone)
        if self.silent:
            return  # it holds it, and says nothing any more
        if self.born and now - self.born < self.cold_time and self._pushed(now, job.work):
            return
        if self.busy < self.tier.cores:
            self._start(job)
        else:
            self.queue.append(job)

    def _look(self) -> None:
        """What waits for the next tier holds a slot and crowds nobody here."""
        self.choke.look(self.heap.time, self.busy + len(self.queue), self.busy)

    def _pushed(self, now: int, work: int) -> bool:
        """Whether this one is more than a cold server bears: it falls over, with all that it holds."""
        self.recent.append((now, work))
        self.recent_work += work
        while self.recent[0][0] <= now - self.window:
            self.recent_work -= self.recent.popleft()[1]
        can = self.tier.cores * self.speed * self.factor * self.warmth(now) * self.window
        if self.recent_work <= self.tier.cold.multiple * can:
            return False
        self.falls += 1
        self.ledger.pushed_over(self.name, self.recent_work / can)
        self.on_fall(self)
        return True

    def sight(self) -> Sight:
        """What an oracle sees of it. A cold one bears what keeps it under half of its budget."""
        now, tier = self.heap.time, self.tier
        warmth = self.warmth(now)
        speed = tier.cores * self.speed * self.factor * self.choke.factor * warmth
        recent = sum(work for at, work in self.recent if at > now - self.window)
        bears = warmth >= 1.0 or recent < ORACLE_PART * tier.cold.multiple * speed * self.window
        room = self.choke.room if tier.choke.at > 0 else float(tier.slots)
        return Sight(self.busy + len(self.queue), speed, min(room, tier.slots - self.held), bears)

    def _start(self, job: Job) -> None:
        self.busy += 1
        self._look()
        speed = self.speed * self.factor * self.choke.factor * self.warmth(self.heap.time)
        took = max(int(job.work / speed), LEAST_WORK)
        self.work_done += took
        epoch = self.epoch
        self.heap.post(took, lambda: self._computed(job, epoch))

    def _computed(self, job: Job, epoch: int) -> None:
        if epoch != self.epoch:
            return
        self.busy -= 1
        while self.queue and self.busy < self.tier.cores:
            waiting = self.queue.popleft()
            if waiting.gone:
                self.held -= 1
            else:
                self._start(waiting)
        if self.below is None or job.gone:
            self._finish(job, epoch, Status.OK)
        else:
            self.below(job, lambda status: self._finish(job, epoch, status))

    def _finish(self, job: Job, epoch: int, status: Status) -> None:
        if epoch != self.epoch:
            return
        self.held -= 1
        self._look()
        if self.silent:
            return
        if status is Status.OK and self.errors and self.stream.uniform() < self.errors:
            status = Status.ERROR
        self.served += status is Status.OK
        job.reply(status)

    def stop(self) -> None:
        """The process ends: what it holds is void."""
        self.up = False
        self.epoch += 1
        self.busy = self.held = self.recent_work = 0
        self.queue.clear()
        self.recent.clear()
        self.choke.reset(self.heap.time)

    def start(self) -> None:
        """A new process, cold."""
        self.stop()
        self.up, self.silent, self.factor, self.errors = True, False, 1.0, 0.0
        self.born = self.heap.time
