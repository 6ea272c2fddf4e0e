"""The record of a call, the writes that change it and their results, as plain values. No I/O."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class State(Enum):
    """The known outcome of a call. Within one turn only `INTENT` is ever left, and only once."""

    INTENT = "intent"  # no outcome yet; it may have been sent to a server
    SERVED = "served"
    FAILED = "failed"  # it may have run
    NEVER_RAN = "never-ran"  # no server accepted it
    DOUBT = "doubt"  # its node's epoch was fenced while the call was an intent


class Resolution(Enum):
    """What was found out later about a call in doubt or failed."""

    RAN = "ran"
    NEVER_RAN = "never-ran"


@dataclass(frozen=True, slots=True)
class Record:
    """One call, by its identity. Times are Unix ms, for display only: no decision depends on them."""

    identity: str
    cls: str
    digest: bytes  # of the request, to detect different requests with the same identity
    node: str
    epoch: int  # identifies the start of the node that holds the call
    turn: int  # from 1; incremented when a call that never ran is claimed again
    state: State
    server: str = ""  # that the last attempt was sent to
    attempts: int = 0
    made_at: int = 0
    ended_at: int = 0
    reason: str = ""
    answer_digest: bytes = b""
    answer: bytes | None = None  # None: no answer, or one above the size limit
    content_type: bytes = b""
    word: Resolution | None = None  # what was found out later; None = not resolved
    why: str = ""  # how that is known

    @property
    def may_be_resent(self) -> bool:
        """Whether the call may be sent again: only if it is known that it never ran."""
        return self.state is State.NEVER_RAN or self.word is Resolution.NEVER_RAN


# Writes -----------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Claim:
    """Records the intent before the first send. Succeeds if the identity is new or never ran."""

    identity: str
    cls: str
    digest: bytes
    node: str
    epoch: int
    server: str
    at: int


@dataclass(frozen=True, slots=True)
class AddAttempt:
    """Records a further attempt of a call that this epoch holds, before it is sent."""

    identity: str
    epoch: int
    server: str
    at: int


@dataclass(frozen=True, slots=True)
class Settle:
    """Records the outcome of a call that this epoch holds."""

    identity: str
    epoch: int
    state: State
    at: int
    reason: str = ""
    answer_digest: bytes = b""
    answer: bytes | None = None
    content_type: bytes = b""


@dataclass(frozen=True, slots=True)
class Lookup:
    """Reads the record."""

    identity: str


@dataclass(frozen=True, slots=True)
class Renew:
    """Extends the epoch's lease to `lease` milliseconds from now, by the store's clock."""

    epoch: int
    lease: int


Write = Claim | AddAttempt | Settle | Lookup | Renew


# Results ----------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Done:
    """The write is durable."""


@dataclass(frozen=True, slots=True)
class Existing:
    """The record as it stands; a write was not applied. For a `Settle` a conflict is recorded too."""

    record: Record


@dataclass(frozen=True, slots=True)
class Missing:
    """There is no such record."""


@dataclass(frozen=True, slots=True)
class Fenced:
    """Not written: the epoch is fenced."""


@dataclass(frozen=True, slots=True)
class NotWritten:
    """Not written: the store is unavailable, full, read-only or overloaded.

    At shutdown it may also stand for a commit whose outcome is unknown; the cause says so.
    """

    cause: str


Result = Done | Existing | Missing | Fenced | NotWritten
