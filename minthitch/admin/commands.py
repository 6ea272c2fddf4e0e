"""What is answered to a line of the staff's. No I/O: text in, text out, deeds by a port."""

from __future__ import annotations

from typing import Protocol

from minthitch.admin.metrics import lines
from minthitch.engine.counts import NodeMetrics

COMMANDS = ("ready", "show-stat", "drain", "resume")


class ManagedNode(Protocol):
    """A node as its staff see it."""

    def ready(self) -> bool: ...
    def metrics(self) -> NodeMetrics: ...
    def send_away(self) -> str:
        """Gives why not, or "" once the clients are being sent away."""

    def take_back(self) -> str:
        """Gives why not, or "" once clients are taken in again."""


def answer(line: bytes, node: ManagedNode) -> str:
    """The whole answer to one line, without its last newline. A line that is not known changes nothing."""
    words = line.decode("latin-1").split()
    if not words:
        return f"error an empty line; calls are {', '.join(COMMANDS)}"
    if len(words) > 1 and words[0] in COMMANDS:
        return f"error {words[0]} takes nothing behind it: {' '.join(words[1:])[:60]!r}"
    if words[0] == "ready":
        return "done ready" if node.ready() else "error not ready"
    if words[0] == "show-stat":
        return "\n".join((*lines(node.metrics()), "end"))
    if words[0] == "drain":
        why = node.send_away()
        return f"error {why}" if why else "done draining"
    if words[0] == "resume":
        why = node.take_back()
        return f"error {why}" if why else "done serving"
    return f"error unknown call {words[0][:60]!r}; calls are {', '.join(COMMANDS)}"
