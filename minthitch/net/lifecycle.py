"""Whether the node takes clients in, sends them away or ends. No I/O; times are given in, in seconds."""

from __future__ import annotations

from enum import Enum

AWAY_IDLE_S = 1.0  # seconds in which idle connections stay after a drain: those in use meet an orderly close
ACCEPT_AFTER_SIGTERM_S = 0.6  # seconds after SIGTERM in which new connections may still come (0.4 stated)
# seconds after SIGTERM in which kept connections are served as before: other nodes may be away
KEEP_ALIVE_AFTER_SIGTERM_S = 2.0
REPLACED_IDLE_S = 1.6  # seconds in which idle connections stay where another process listens
ANSWER_TIMEOUT_S = 3.4  # seconds after SIGTERM by which all is answered: SIGKILL comes after 3.7 or more
STREAM_TIMEOUT_S = 60.0  # seconds after SIGTERM by which long answers that are being passed on are cut


class State(Enum):
    OPEN = "open"
    AWAY = "away"  # clients are sent to other nodes; the process stays
    ENDING = "ending"  # the process ends


class Lifecycle:
    """A state and since when it holds."""

    def __init__(self) -> None:
        self.state, self.since = State.OPEN, 0.0
        self.replaced = False  # another process of this node listens at the same address

    def send_away(self, now: float) -> str:
        """Gives why not, or "". Twice is once."""
        if self.state is State.ENDING:
            return "the process is ending"
        if self.state is State.OPEN:
            self.state, self.since = State.AWAY, now
        return ""

    def take_back(self, now: float) -> str:
        """Gives why not, or ""."""
        if self.state is State.ENDING:
            return "the process is ending"
        self.state, self.since = State.OPEN, now
        return ""

    def end(self, now: float) -> None:
        if self.state is not State.ENDING:
            self.state, self.since = State.ENDING, now

    @property
    def is_open(self) -> bool:
        """Whether new clients are wanted."""
        return self.state is State.OPEN

    def closes_after_answer(self, now: float) -> bool:
        """Whether each answer closes its connection. Danger: all at once fall on the nodes that are left."""
        if self.state is State.ENDING and not self.replaced:
            return now >= self.since + KEEP_ALIVE_AFTER_SIGTERM_S
        return self.state is not State.OPEN

    def accepts(self, now: float) -> bool:
        """Whether connections are accepted. Danger: closed too soon, what still comes is refused."""
        if self.state is not State.ENDING:
            return True
        return not self.replaced and now < self.since + ACCEPT_AFTER_SIGTERM_S

    def cuts_streams(self, now: float) -> bool:
        """Whether answers that are still being passed on are given up."""
        return self.state is State.ENDING and now >= self.since + STREAM_TIMEOUT_S

    def keeps_idle(self, now: float) -> bool:
        """Whether a connection without a request may stay."""
        if self.state is State.OPEN:
            return True
        linger = (
            AWAY_IDLE_S
            if self.state is State.AWAY
            else (REPLACED_IDLE_S if self.replaced else KEEP_ALIVE_AFTER_SIGTERM_S)
        )
        return now < self.since + linger
