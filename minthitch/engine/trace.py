"""Writes each event and action of a node's decisions as a line, for `fleet count`. Off by default.

A line is `# MS MARK FIELDS`: MS is on the machine's monotonic clock, MARK one of
`l` list, `a` arrival, `s` send, `e` end of an attempt, `c` cancel, `r` refusal, `f` failure.
Servers are written as `name/born_ms`, the same at every node, in a list followed by `:ZONE:KIND:STATE`.
An arrival has its class, 1 for a repeat, its tenant and the milliseconds until its deadline.
"""

from __future__ import annotations

from collections.abc import Callable

from minthitch import interface as api
from minthitch.engine.servers import ServerTable
from minthitch.policy import Balancer

MAX_NAMES = 10_000  # server names kept
MAX_BUFFERED_CHARS = 4_096  # a line that exceeds it triggers a flush


class TracingBalancer(Balancer):
    """A Balancer that writes its events and actions; its decisions are the same."""

    def __init__(self, settings: api.Settings, seed: int, write: Callable[[str], object]) -> None:
        super().__init__(settings, seed)
        self.write = write
        self.server_table: ServerTable | None = None  # gives server names
        self.names: dict[int, str] = {}  # last known, so that a removed server is still named
        self.buffer: list[str] = []
        self.buffered_chars = 0

    def handle(self, now: int, event: api.Event) -> list[api.Action]:
        actions = super().handle(now, event)
        at = now // api.MILLISECOND
        if (text := self._event(now, event)) is not None:
            self._line(f"# {at} {text}")
        for action in actions:
            if (text := self._action(action)) is not None:
                self._line(f"# {at} {text}")
        return actions

    def _line(self, text: str) -> None:
        self.buffer.append(text)
        self.buffered_chars += len(text) + 1
        if self.buffered_chars > MAX_BUFFERED_CHARS:
            self.flush()

    def flush(self) -> None:
        if self.buffer:
            self.write("\n".join(self.buffer) + "\n")
            self.buffer, self.buffered_chars = [], 0

    def _name(self, number: int) -> str:
        server = self.server_table.by_number.get(number) if self.server_table is not None else None
        if server is not None:
            # Bounded: lists that change for weeks would fill memory.
            if number not in self.names and len(self.names) >= MAX_NAMES:
                self.names.pop(next(iter(self.names)))
            self.names[number] = f"{server.name}/{server.born_ms}"
        return self.names.get(number, f"?{number}")

    def _event(self, now: int, event: api.Event) -> str | None:
        if isinstance(event, api.RequestArrived):
            left = (event.deadline - now) // api.MILLISECOND
            return (
                f"a {event.request} {self.settings.classes[event.cls].name} {int(event.repeat)} "
                f"{event.tenant} {left}"
            )
        if isinstance(event, api.AttemptEnded):
            return (
                f"e {event.request} {event.attempt} {self._name(event.server)} "
                f"{event.status.name} {event.latency // api.MILLISECOND} {int(event.closed)}"
            )
        if isinstance(event, api.ListUpdate):
            rows = " ".join(f"{self._name(e.server)}:{e.zone}:{e.kind}:{e.state.name}" for e in event.entries)
            return f"l {event.kind.name} {self.settings.tier} {rows}"
        return None

    def _action(self, action: api.Action) -> str | None:
        if isinstance(action, api.Send):
            return f"s {action.request} {self._name(action.server)}"
        if isinstance(action, api.Cancel):
            return f"c {action.request} {action.attempt}"
        if isinstance(action, (api.Refuse, api.Fail)):
            mark = "r" if isinstance(action, api.Refuse) else "f"
            part = len(self.servers) / self.settings.siblings
            return (
                f"{mark} {action.request} strain={self.slowdown:.2f} crowd={self.congestion:.2f} "
                f"busy={self.mean_in_flight:.2f} out={self.total_in_flight} grown={self.extra_limit:.2f} "
                f"part={part:.2f} spare={self.extra_attempts:.1f} calm={self.baseline_load:.2f} "
                f"load={self.load_now:.2f}"
            )
        return None
