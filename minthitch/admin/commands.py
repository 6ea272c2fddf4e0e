"""Executes admin commands. No I/O: text in, text out, through the protocol ManagedNode."""

from __future__ import annotations

from typing import Protocol

from minthitch.admin.metrics import lines
from minthitch.engine.counts import NodeMetrics

COMMANDS = ("ready", "show-stat", "drain", "resume")


class ManagedNode(Protocol):
    """What the commands need of a node."""

    def ready(self) -> bool: ...
    def metrics(self) -> NodeMetrics: ...
    def send_away(self) -> str:
        """Starts to close client connections. Returns the reason if it can't, else ""."""

    def take_back(self) -> str:
        """Accepts clients again. Returns the reason if it can't, else ""."""


def answer(line: bytes, node: ManagedNode) -> str:
    """Returns the answer to one line, without the last newline. Unknown commands change nothing."""
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
