"""The crowd: people who want something, ask for it, wait, give up, come back. Pure, on virtual time."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Sequence

from minthitch import interface as api
from minthitch.interface import SECOND
from minthitch.lab.heap import START, Heap
from minthitch.lab.network import Network
from minthitch.lab.nodes import LabNode
from minthitch.lab.scenario import Load, span
from minthitch.lab.streams import Stream, edges
from minthitch.lab.tally import Tally

LOST_AFTER = 2  # round trips until a client hears that its node is dead
CLIENT_ZONE = -1  # outside every zone: no cut parts clients from nodes
SLACK = 50 * api.MILLISECOND  # behind its deadline until a client stops listening


class Front:
    """Leads clients to nodes, and notices late that one has died or come back."""

    def __init__(self, nodes: Sequence[LabNode], turns: str, stream: Stream) -> None:
        self.nodes, self.turns, self.stream = list(nodes), turns, stream
        self.seen = list(range(len(self.nodes)))  # those that it takes for alive
        self.turn = 0

    def pick(self) -> LabNode | None:
        if not self.seen:
            return None
        self.turn += 1
        count = len(self.seen)
        place = self.turn % count if self.turns == "round-robin" else self.stream.below(count)
        return self.nodes[self.seen[place]]

    def notice(self, number: int, alive: bool) -> None:
        if alive and number not in self.seen:
            self.seen = sorted([*self.seen, number])
        elif not alive and number in self.seen:
            self.seen.remove(number)


class Want:
    """One thing that one client wants, over all its tries."""

    __slots__ = (
        "crowd",
        "client",
        "cls",
        "since",
        "tries",
        "work",
        "number",
        "node",
        "identity",
        "heeds",
        "done",
        "asked_at",
        "counted",
    )

    def __init__(self, crowd: Crowd, client: int, cls: int, work: int, heeds: bool) -> None:
        self.crowd, self.client, self.cls, self.work, self.heeds = crowd, client, cls, work, heeds
        self.since = crowd.heap.time
        self.tries = self.number = self.identity = self.asked_at = 0
        self.node: LabNode | None = None
        self.done = False
        self.counted = self.since >= crowd.from_time

    def heard(self, word: str, retry_after: int) -> None:
        """The node has said its last word; it comes a little later."""
        number = self.number
        if word == "lost":
            self.crowd.heap.post(
                LOST_AFTER * self.crowd.network.delay, lambda: self.crowd.answered(self, number, word, 0)
            )
        else:
            self.crowd.network.send(
                CLIENT_ZONE, CLIENT_ZONE, lambda: self.crowd.answered(self, number, word, retry_after)
            )


class Crowd:
    """Arrivals, tries and what they come to."""

    def __init__(
        self,
        heap: Heap,
        network: Network,
        front: Front,
        load: Load,
        settings: api.Settings,
        tier_work: Callable[[], int],
        streams: Callable[[str], Stream],
        tally: Tally,
        numbers: Callable[[], int],
        from_time: int,
        until: int,
    ) -> None:
        self.heap, self.network, self.front, self.load, self.settings = heap, network, front, load, settings
        self.tier_work, self.tally, self.numbers = tier_work, tally, numbers
        self.from_time, self.until = from_time, until
        self.arrivals, self.kinds, self.people = streams("arrivals"), streams("classes"), streams("clients")
        self.backoffs = streams("backoff")
        names = {spec.name: i for i, spec in enumerate(settings.classes)}
        rows = [(names[row.name], row.share, row.work) for row in load.mix] or [
            (i, 1.0, 1.0) for i in range(len(settings.classes))
        ]
        self.classes = [cls for cls, _, _ in rows]
        self.works = [work for _, _, work in rows]
        self.edges = edges([share for _, share, _ in rows])
        self.think, self.backoff = span(load.think), span(load.backoff)
        self.top = load.rate * max([1.0, *(multiple for _, multiple in load.profile)])
        self.words: Counter[str] = Counter()
        self.watch: Callable[[Want, str], None] | None = None

    def start(self) -> None:
        if self.load.loop == "closed":
            for client in range(self.load.clients):
                self._think(client)
        else:
            self._next()

    # Arrivals -----------------------------------------------------------------------------------

    def rate(self, now: int) -> float:
        """Arrivals a second, by straight lines between the profile's points."""
        profile, at = self.load.profile, (now - START) / SECOND
        if not profile:
            return self.load.rate
        if at <= profile[0][0]:
            return self.load.rate * profile[0][1]
        for (a, low), (b, high) in zip(profile, profile[1:], strict=False):
            if at < b:
                return self.load.rate * (low + (high - low) * (at - a) / (b - a))
        return self.load.rate * profile[-1][1]

    def _next(self) -> None:
        """A Poisson stream at the highest rate, thinned to the rate of now (Lewis and Shedler, 1979)."""
        self.heap.post(int(self.arrivals.exponential() / self.top * SECOND), self._arrive)

    def _arrive(self) -> None:
        if self.heap.time >= self.until:
            return
        self._next()
        if self.arrivals.uniform() * self.top < self.rate(self.heap.time):
            self._want(self.people.below(self.load.clients))

    def _think(self, client: int) -> None:
        self.heap.post(int(self.think * self.people.exponential()), lambda: self._think_over(client))

    def _think_over(self, client: int) -> None:
        if self.heap.time < self.until:
            self._want(client)

    def _want(self, client: int) -> None:
        place = self.kinds.pick(self.edges)
        work = int(self.tier_work() * self.works[place])
        heeds = self.load.heed >= 1.0 or self.people.uniform() < self.load.heed
        want = Want(self, client, self.classes[place], work, heeds)
        self.tally.wanted(want.since, want.cls, want.counted)
        self._try(want)

    # Tries --------------------------------------------------------------------------------------

    def _try(self, want: Want) -> None:
        want.tries += 1
        want.number, want.identity = self.numbers(), 0
        want.asked_at = self.heap.time
        want.node = node = self.front.pick()
        if want.counted:
            self.tally.tries += 1
        if self.watch is not None:
            self.watch(want, "asks")
        number, left = want.number, self.settings.classes[want.cls].deadline
        self.heap.post(left + SLACK, lambda: self.answered(want, number, "nothing", 0))
        if node is None:
            want.heard("lost", 0)
            return

        def come() -> None:
            if want.number != number or want.done:
                return
            if node.up:
                key = want.client + 1 if self.load.sessions else 0
                want.identity = node.ask(
                    want, want.cls, want.work, left - (self.heap.time - want.asked_at), key, want.tries > 1
                )
            else:
                want.heard("lost", 0)

        self.network.send(CLIENT_ZONE, CLIENT_ZONE, come)

    def answered(self, want: Want, number: int, word: str, retry_after: int) -> None:
        """What a client hears of one try; `nothing` where its patience ends first."""
        if want.number != number or want.done:
            return
        if word == "nothing" and want.node is not None and want.identity:
            want.node.leave(want.identity)
        want.number = 0
        if want.counted:
            self.words[word] += 1
        if self.watch is not None:
            self.watch(want, f"hears {word}")
        now, spec = self.heap.time, self.settings.classes[want.cls]
        if word == "served":
            self._end(want, now, True)
            return
        harmless = word == "refused" or spec.effect is not api.Effect.UNSAFE
        if want.tries >= self.load.tries or not harmless or now >= want.since + spec.deadline:
            self._end(want, now, False)
            return
        pause = int(self.backoff * self.backoffs.exponential())
        if word == "refused" and want.heeds and retry_after:
            pause = retry_after
        self.heap.post(pause, lambda: self._again(want))

    def _again(self, want: Want) -> None:
        if self.heap.time >= want.since + self.settings.classes[want.cls].deadline:
            self._end(want, self.heap.time, False)
        else:
            self._try(want)

    def _end(self, want: Want, now: int, served: bool) -> None:
        want.done = True
        self.tally.ended(want.since, now, want.cls, served, want.counted)
        if self.load.loop == "closed":
            self._think(want.client)
