"""Receiver-driven admission of large request bodies, so that they cannot congest the receiver's link.

Many senders share one slow link into a server's machine. Bodies sent without asking queue up inside the
network, where neither side can reorder or drop them, and every small request behind them misses its deadline.
So a sender first offers a large body by its size. The receiver grants offers by priority and due time, and
limits the bytes that are granted and have not arrived to a window, and the bytes that it holds to its memory.
An offer that can't be served in time is rejected before its body is sent. No I/O and no clock: times are
seconds, passed in.
"""

from __future__ import annotations

import math
from collections.abc import Hashable

MIN_OFFERED_BYTES = 16 * 1024  # smaller bodies are sent at once: an offer would cost more than they do
WINDOW = 96 * 1024  # bytes granted and not received; a larger body is granted alone
MAX_WAITING = 256  # offers waiting for a grant
DECAY = 0.9  # factor on earlier measurements of the link with each body that arrives


class Offer:
    """A large body that a sender asks to send."""

    __slots__ = ("key", "size", "priority", "due", "deadline")

    def __init__(self, key: Hashable, size: int, priority: int, due: float, deadline: float) -> None:
        """`due`: by when the body must have arrived to be on time; `deadline`: of its request."""
        self.key, self.size, self.priority, self.due, self.deadline = key, size, priority, due, deadline


class BulkAdmission:
    """Offers to one receiver: those granted, those waiting, and the bodies that it still holds.

    Args:
        memory: bytes of bodies that are granted or held; one larger body is granted where there is no other.
    """

    def __init__(self, memory: float = math.inf) -> None:
        self.granted: dict[Hashable, Offer] = {}
        self.waiting: list[Offer] = []
        self.outstanding = 0  # bytes granted and not received
        self.memory = memory
        self.received: dict[Hashable, int] = {}  # bytes received and not passed on, by call
        self.received_bytes = 0
        self._bytes, self._seconds = 0.0, 0.0  # received, and the time it took, both decaying
        self._since = 0.0  # when the last body arrived, or, if none was in flight, the first was granted

    @property
    def rate(self) -> float:
        """Bytes per second that arrive while bodies are in flight; infinite before the first has arrived."""
        return self._bytes / self._seconds if self._seconds > 0.0 else float("inf")

    def expected_wait(self, priority: int) -> float:
        """Roughly how many seconds a body offered now with this priority would wait for its grant."""
        return max(self._bytes_ahead(priority) - WINDOW, 0) / self.rate

    def offer(self, now: float, offer: Offer) -> bool | None:
        """A body is offered.

        Returns:
            True: granted. False: it waits. None: rejected, as it can't arrive by `due` or too many wait.
        """
        if not self.waiting and self._fits(offer):
            self._grant(now, offer)
            return True
        arrives_at = now + (self._bytes_ahead(offer.priority) + offer.size) / self.rate
        if len(self.waiting) >= MAX_WAITING or arrives_at > offer.due:
            return None
        self.waiting.append(offer)
        return False

    def arrived(self, now: float, key: Hashable) -> None:
        """A body has arrived. It is held until `released`."""
        offer = self.granted.pop(key, None)
        if offer is None:
            return
        self.outstanding -= offer.size
        self.received[key] = offer.size
        self.received_bytes += offer.size
        self._bytes = self._bytes * DECAY + offer.size
        self._seconds = self._seconds * DECAY + max(now - self._since, 1e-6)
        self._since = now

    def released(self, key: Hashable) -> bool:
        """A body is not held any more; whether it was."""
        size = self.received.pop(key, None)
        if size is None:
            return False
        self.received_bytes -= size
        return True

    def withdrawn(self, _now: float, key: Hashable) -> None:
        """The sender does not need it any more, or its connection is lost."""
        offer = self.granted.pop(key, None)
        if offer is not None:
            self.outstanding -= offer.size
            return
        self.waiting = [other for other in self.waiting if other.key != key]

    def next(self, now: float) -> tuple[list[Hashable], list[Hashable]]:
        """After something arrived or was withdrawn: the keys granted now, and those that are too late."""
        for key in [key for key, offer in self.granted.items() if offer.deadline < now]:
            # A sender that failed must not occupy the window.
            self.outstanding -= self.granted.pop(key).size
        late = [offer.key for offer in self.waiting if offer.due <= now]
        self.waiting = [offer for offer in self.waiting if offer.due > now]
        grants: list[Hashable] = []
        while self.waiting:
            best = min(self.waiting, key=lambda offer: (offer.priority, offer.due))
            if not self._fits(best):
                break
            self.waiting.remove(best)
            self._grant(now, best)
            grants.append(best.key)
        return grants, late

    def _bytes_ahead(self, priority: int) -> int:
        """Bytes that would arrive before a body of this priority offered now."""
        return self.outstanding + sum(offer.size for offer in self.waiting if offer.priority <= priority)

    def _fits(self, offer: Offer) -> bool:
        if self.granted and self.outstanding + offer.size > WINDOW:
            return False
        taken = self.received_bytes + self.outstanding
        return not taken or taken + offer.size <= self.memory

    def _grant(self, now: float, offer: Offer) -> None:
        if not self.granted:
            self._since = now
        self.granted[offer.key] = offer
        self.outstanding += offer.size
