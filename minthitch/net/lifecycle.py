"""Whether the node accepts clients, sends them to other nodes or shuts down. No I/O; times are in seconds."""

from __future__ import annotations

from enum import Enum

# Seconds after `send_away` for which idle connections stay; those in use get an orderly close.
AWAY_IDLE_S = 1.0
# Seconds after SIGTERM for which new connections may still arrive (0.4 are specified).
ACCEPT_AFTER_SIGTERM_S = 0.6
# Seconds after SIGTERM for which kept connections are served as before, since other nodes may be down.
KEEP_ALIVE_AFTER_SIGTERM_S = 2.0
# Seconds for which idle connections stay after a new process has taken over the address.
REPLACED_IDLE_S = 1.6
# Seconds after SIGTERM by which every request is answered: SIGKILL follows after 3.7 or more.
ANSWER_TIMEOUT_S = 3.4
STREAM_TIMEOUT_S = 60.0  # seconds after SIGTERM after which answers that are still being streamed are cut off


class State(Enum):
    OPEN = "open"
    AWAY = "away"  # clients are sent to other nodes; the process keeps running
    ENDING = "ending"  # the process is shutting down


class Lifecycle:
    """The node's state and when it was entered."""

    def __init__(self) -> None:
        self.state, self.since = State.OPEN, 0.0
        self.replaced = False  # another process of this node listens at the same address

    def send_away(self, now: float) -> str:
        """Returns why it is not possible, or "". Repeating it changes nothing."""
        if self.state is State.ENDING:
            return "the process is ending"
        if self.state is State.OPEN:
            self.state, self.since = State.AWAY, now
        return ""

    def take_back(self, now: float) -> str:
        """Returns why it is not possible, or ""."""
        if self.state is State.ENDING:
            return "the process is ending"
        self.state, self.since = State.OPEN, now
        return ""

    def end(self, now: float) -> None:
        if self.state is not State.ENDING:
            self.state, self.since = State.ENDING, now

    @property
    def is_open(self) -> bool:
        """Whether new clients are welcome."""
        return self.state is State.OPEN

    def closes_after_answer(self, now: float) -> bool:
        """Whether each answer closes its connection.

        A node that shuts down waits with that: its clients would all move to the remaining nodes at once.
        """
        if self.state is State.ENDING and not self.replaced:
            return now >= self.since + KEEP_ALIVE_AFTER_SIGTERM_S
        return self.state is not State.OPEN

    def accepts(self, now: float) -> bool:
        """Whether connections are accepted: if the listener closed too early, late ones would be refused."""
        if self.state is not State.ENDING:
            return True
        return not self.replaced and now < self.since + ACCEPT_AFTER_SIGTERM_S

    def cuts_streams(self, now: float) -> bool:
        """Whether answers that are still being streamed are cut off."""
        return self.state is State.ENDING and now >= self.since + STREAM_TIMEOUT_S

    def keeps_idle(self, now: float) -> bool:
        """Whether a connection without a request may stay open."""
        if self.state is State.OPEN:
            return True
        linger = (
            AWAY_IDLE_S
            if self.state is State.AWAY
            else (REPLACED_IDLE_S if self.replaced else KEEP_ALIVE_AFTER_SIGTERM_S)
        )
        return now < self.since + linger
