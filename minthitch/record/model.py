"""A record and what may be written of it, as values. No I/O."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class State(Enum):
    """What is known of a call. Only `INTENT` is ever left, and once."""

    INTENT = "intent"  # it may be on its way to a server
    SERVED = "served"
    FAILED = "failed"  # it may have run
    NEVER_RAN = "never-ran"  # nothing of it reached a server that took it
    DOUBT = "doubt"  # its node ended, or was fenced off, while it was an intent


class Resolution(Enum):
    """What an operator, or a later word of the servers, says of a call that may have run."""

    RAN = "ran"
    NEVER_RAN = "never-ran"


@dataclass(frozen=True, slots=True)
class Record:
    """One call, by its identity. Times are Unix milliseconds, for people; nothing is decided by them."""

    identity: str
    cls: str
    digest: bytes  # of the request, so that one identity with two requests is seen
    node: str
    epoch: int  # of the start of the node that holds it
    turn: int  # how often it was begun anew after it never ran, from 1
    state: State
    server: str = ""  # of the last attempt
    attempts: int = 0
    made_at: int = 0
    ended_at: int = 0
    reason: str = ""
    answer_digest: bytes = b""
    answer: bytes | None = None  # None: none, or longer than what is kept
    content_type: bytes = b""
    word: Resolution | None = None
    why: str = ""  # of the word

    @property
    def may_begin(self) -> bool:
        """Whether the call may be sent again: only where it is known that it never ran."""
        return self.state is State.NEVER_RAN or self.word is Resolution.NEVER_RAN


# What is written --------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Claim:
    """The intent of a first send: inserted where the identity is not there or never ran."""

    identity: str
    cls: str
    digest: bytes
    node: str
    epoch: int
    server: str
    at: int


@dataclass(frozen=True, slots=True)
class Attempted:
    """A further send of a call that this epoch holds, after earlier ones that never ran."""

    identity: str
    epoch: int
    server: str
    at: int


@dataclass(frozen=True, slots=True)
class Settle:
    """The outcome of a call that this epoch holds."""

    identity: str
    epoch: int
    state: State
    at: int
    reason: str = ""
    answer_digest: bytes = b""
    answer: bytes | None = None
    content_type: bytes = b""


@dataclass(frozen=True, slots=True)
class Look:
    """The record as it is."""

    identity: str


@dataclass(frozen=True, slots=True)
class Renew:
    """The epoch's lease for so many milliseconds from now, by the store's clock."""

    epoch: int
    lease: int


Write = Claim | Attempted | Settle | Look | Renew


# What comes of it -------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Done:
    """It is durable."""


@dataclass(frozen=True, slots=True)
class Held:
    """It was not written: the record stands so. For a `Settle` this is a conflict, noted as one."""

    record: Record


@dataclass(frozen=True, slots=True)
class Missing:
    """No such record."""


@dataclass(frozen=True, slots=True)
class Fenced:
    """It was not written: the epoch was taken over."""


@dataclass(frozen=True, slots=True)
class Lost:
    """It was not written, and is known not to have been: the store is away, full or read-only."""

    cause: str


Result = Done | Held | Missing | Fenced | Lost
