"""What the core receives at startup, and the actions that it asks its caller to carry out."""

from __future__ import annotations

from msgspec import Struct

from minthitch.mesh.raft.log import Entry, Snapshot
from minthitch.mesh.raft.messages import Message


class Timing(Struct, frozen=True):
    """Times in seconds. Each election timeout is drawn from [election_timeout, 2 * election_timeout]."""

    heartbeat: float = 0.1
    election_timeout: float = 0.6


class PersistedState(Struct, frozen=True):
    """The durable state that a member reads from its disk at startup."""

    term: int
    voted_for: str
    snapshot: Snapshot
    entries: tuple[Entry, ...]  # after the snapshot


class Send(Struct, frozen=True):
    """Send a message to a member. Delivery is not guaranteed."""

    to: str
    message: Message


class Persist(Struct, frozen=True):
    """Write all of this atomically, in order: truncate the log, append entries, replace by the snapshot.

    The caller reports `RaftNode.persisted(write_id)` once the write is durable.
    """

    write_id: int
    term: int
    voted_for: str
    truncate_from: int  # delete the entries from this index on first; 0: none
    entries: tuple[Entry, ...]
    snapshot: Snapshot | None


class Apply(Struct, frozen=True):
    """Apply a committed entry to the state machine."""

    entry: Entry


class Restore(Struct, frozen=True):
    """Replace the state machine's state with a snapshot taken at `index`."""

    index: int
    data: bytes


Action = Send | Persist | Apply | Restore
