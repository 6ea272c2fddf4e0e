"""The model of the network: delay, loss as late arrival, partitions. Pure, on virtual time."""

from __future__ import annotations

from collections.abc import Callable

from minthitch.lab.heap import Heap
from minthitch.lab.scenario import Network as Terms
from minthitch.lab.scenario import span
from minthitch.lab.streams import Stream

MOST_RESENDS = 8  # of one message; after that it never comes


class Network:
    """Carries messages between zones. A message over a cut never comes."""

    __slots__ = ("heap", "delay", "jitter", "loss", "resend", "stream", "cut", "messages")

    def __init__(self, heap: Heap, terms: Terms, stream: Stream) -> None:
        self.heap, self.stream, self.loss = heap, stream, terms.loss
        self.delay, self.jitter, self.resend = span(terms.delay), span(terms.jitter), span(terms.resend)
        self.cut: set[int] = set()  # zones that nothing crosses into or out of
        self.messages = 0

    def apart(self, a: int, b: int) -> bool:
        return bool(self.cut) and a != b and (a in self.cut or b in self.cut)

    def time(self) -> int:
        """Ns that one message takes; -1 if it never comes."""
        took = self.delay + int(self.jitter * self.stream.exponential()) if self.jitter else self.delay
        if self.loss:
            wait = self.resend
            for _ in range(MOST_RESENDS):
                if self.stream.uniform() >= self.loss:
                    return took
                took, wait = took + wait, 2 * wait
            return -1
        return took

    def send(self, a: int, b: int, arrive: Callable[[], None]) -> None:
        """One message from zone a to zone b."""
        self.messages += 1
        took = self.time()
        if took >= 0 and not self.apart(a, b):
            self.heap.post(took, arrive)
