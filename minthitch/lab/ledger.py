"""The referee: the four rules by what servers saw and clients heard, never by the nodes' word. Pure."""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence

from minthitch import interface as api

MOST_LINES = 20  # breaches told in words; all are counted
KEEP = 30 * api.SECOND  # behind a request's deadline for which it is remembered

ANSWERS, AGAIN = "one answer in time", "sent again"
DRAINED, PUSHED = "sent to a drained server", "cold pushed over"
RULES = (ANSWERS, AGAIN, DRAINED, PUSHED)


class Case:
    """One request that a node accepted."""

    __slots__ = ("number", "cls", "deadline", "taken", "heard", "over_at", "lost")

    def __init__(self, number: int, cls: int, deadline: int) -> None:
        self.number, self.cls, self.deadline = number, cls, deadline
        self.taken: list[tuple[int, int, int]] = []  # when, cell, zone of each server that took it
        self.heard = 0
        self.over_at = 0  # when its node gave the final answer; 0 = it has not
        self.lost = False  # its node died, or its caller left in time


class Ledger:
    """Books of all requests of one tier's nodes, and the breaches seen in them."""

    def __init__(self, classes: Sequence[api.RequestClass], grace: int, slack: int) -> None:
        self.classes, self.grace, self.slack = classes, grace, slack
        self.cases: dict[int, Case] = {}
        self.broken: Counter[str] = Counter(dict.fromkeys(RULES, 0))
        self.lines: list[str] = []
        self.attempts = self.turned_away = 0

    def _breach(self, rule: str, text: str) -> None:
        self.broken[rule] += 1
        if len(self.lines) < MOST_LINES:
            self.lines.append(f"{rule}: {text}")

    def accepted(self, number: int, cls: int, deadline: int) -> None:
        self.cases[number] = Case(number, cls, deadline)

    def rejected(self, number: int) -> None:
        """The node did not take it: what it said is the answer, and nothing is owed."""
        self.cases.pop(number, None)

    def lost(self, number: int) -> None:
        """Its node died with it: no answer is owed."""
        if (case := self.cases.get(number)) is not None:
            case.lost = True

    def left(self, now: int, number: int) -> None:
        """Its caller left: no answer is owed, unless it was overdue by then."""
        case = self.cases.get(number)
        if case is not None and now <= case.deadline + self.slack:
            case.lost = True

    def written(self, now: int, number: int, server: str, told: int) -> None:
        """A node sent the request's first byte; `told`: when it had heard that the server drains, or 0."""
        self.attempts += 1
        if told and now > told + self.grace:
            self._breach(DRAINED, f"request {number} to {server}, {(now - told) / 1e9:.3f} s after the word")
        case = self.cases.get(number)
        if case is not None and case.over_at and now > case.over_at:
            self._breach(ANSWERS, f"request {number} went to {server} behind its final answer")

    def took(self, now: int, number: int, cell: int, zone: int) -> None:
        """A server took the request up: from now on it may have run."""
        case = self.cases.get(number)
        if case is None:
            return
        spec = self.classes[case.cls]
        if case.taken:
            first, its_cell, its_zone = case.taken[0]
            if spec.effect is api.Effect.UNSAFE:
                self._breach(AGAIN, f"request {number} ({spec.name}) ran {len(case.taken) + 1} times")
            elif spec.effect is api.Effect.KEYED:
                apart = (spec.group is api.Group.CELL and cell != its_cell) or (
                    spec.group is api.Group.ZONE and zone != its_zone
                )
                if apart or now - first > spec.window + self.slack:
                    self._breach(AGAIN, f"request {number} ({spec.name}) where its repeat is not dropped")
        case.taken.append((now, cell, zone))

    def full(self) -> None:
        """A server turned it away unread."""
        self.turned_away += 1

    def answered(self, now: int, number: int, word: str) -> None:
        """A node gave a final answer: served, refused or failed."""
        case = self.cases.get(number)
        if case is None:
            return
        case.heard += 1
        case.over_at = case.over_at or now
        if case.heard > 1:
            self._breach(ANSWERS, f"request {number} has {case.heard} answers")
        if now > case.deadline + self.slack:
            self._breach(ANSWERS, f"request {number} {(now - case.deadline) / 1e9:.3f} s late")
        unsafe = self.classes[case.cls].effect is not api.Effect.SAFE
        if word == "refused" and case.taken and unsafe:
            self._breach(AGAIN, f"request {number} refused, and it may have run")
        if word == "served" and not case.taken:
            self._breach(ANSWERS, f"request {number} served by no server")

    def pushed_over(self, server: str, load: float) -> None:
        self._breach(PUSHED, f"{server}, sent {load:.1f} times what it could do")

    def sweep(self, now: int) -> None:
        """Forgets old cases; those without an answer are breaches."""
        for number, case in list(self.cases.items()):
            if now > case.deadline + KEEP:
                self._close(case)
                del self.cases[number]

    def _close(self, case: Case) -> None:
        if not case.heard and not case.lost:
            self._breach(ANSWERS, f"request {case.number} has none")

    def finish(self, now: int) -> None:
        """The run is over: what was due by now must have been answered."""
        for case in self.cases.values():
            if now > case.deadline + self.slack:
                self._close(case)
        self.cases.clear()
