"""The story of one want: a run played again from its seed, with what happened to it written down."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

from minthitch.config import ConfigError
from minthitch.interface import SECOND
from minthitch.lab import scenario as scenarios
from minthitch.lab.crowd import Want
from minthitch.lab.heap import START
from minthitch.lab.run import Run

STEPS = (
    ("accepted", "is accepted by a node of {t}"),
    ("took", "is taken up by a server of {t}"),
    ("written", "goes out to {s}"),
    ("answered", "is answered by its node: {w}"),
    ("rejected", "is not taken by its node"),
)


class Scribe:
    """Writes down what concerns one want, as it happens in a run."""

    def __init__(self, run: Run, number: int) -> None:
        self.run, self.left = run, number
        self.want: Want | None = None
        self.lines: list[str] = []
        self.numbers: set[int] = set()
        inner = run.crowd.watch

        def watch(want: Want, what: str) -> None:
            if inner is not None:
                inner(want, what)
            self._asked(want, what)

        run.crowd.watch = watch
        for tier in run.tiers:
            for name, text in STEPS:
                self._listen(tier.ledger, name, text, tier.models[0].tier.name)

    def _listen(self, ledger: Any, name: str, text: str, tier: str) -> None:
        inner = getattr(ledger, name)

        def heard(*args: Any) -> None:
            number = args[0] if name in ("accepted", "rejected") else args[1]
            if number in self.numbers:
                self._say(
                    f"request {number} "
                    + text.format(
                        t=tier,
                        s=args[2] if name == "written" else "",
                        w=args[2] if name == "answered" else "",
                    )
                )
            inner(*args)

        setattr(ledger, name, heard)

    def _asked(self, want: Want, what: str) -> None:
        if self.want is None and what == "asks" and want.tries == 1:
            self.left -= 1
            if self.left == 0:
                self.want = want
                spec = self.run.settings.classes[want.cls]
                self._say(f"client {want.client} wants {spec.name} (work {want.work / 1e6:.1f} ms)")
        if want is self.want:
            if what == "asks":
                self.numbers.add(want.number)
                self._say(f"try {want.tries} is request {want.number}")
            else:
                self._say(f"the client {what}")

    def _say(self, text: str) -> None:
        self.lines.append(f"{(self.run.heap.time - START) / SECOND:10.6f}  {text}")


def story(name: str, changes: Sequence[str], seed: int, chooser: str, number: int) -> list[str]:
    """Lines with the time in seconds. Raises ConfigError."""
    if number < 1:
        raise ConfigError(f"--want {number} is not 1 or more")
    run = Run(scenarios.read(name, changes), seed, chooser)
    scribe = Scribe(run, number)
    run.play()
    if scribe.want is None:
        raise ConfigError(f"--want {number}: fewer were asked for in this run")
    return scribe.lines
