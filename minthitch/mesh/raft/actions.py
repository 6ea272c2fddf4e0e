"""What the core is given at its start, and what it asks its caller to do."""

from __future__ import annotations

from msgspec import Struct

from minthitch.mesh.raft.log import Entry, Snapshot
from minthitch.mesh.raft.messages import Message


class Timing(Struct, frozen=True):
    """Seconds. Each election timeout is drawn from [election_timeout, 2 * election_timeout]."""

    heartbeat: float = 0.1
    election_timeout: float = 0.6


class PersistedState(Struct, frozen=True):
    """What a member finds on its disk at its start."""

    term: int
    voted_for: str
    snapshot: Snapshot
    entries: tuple[Entry, ...]  # those after the snapshot


class Send(Struct, frozen=True):
    """Send a message to a member. It may be lost."""

    to: str
    message: Message


class Persist(Struct, frozen=True):
    """Write all of this to the disk or nothing, in this order: truncate, append, replace by the snapshot.

    The caller reports `RaftNode.persisted(write_id)` once the write is durable.
    """

    write_id: int
    term: int
    voted_for: str
    truncate_from: int  # entries from this index on are deleted first; 0: none
    entries: tuple[Entry, ...]
    snapshot: Snapshot | None


class Apply(Struct, frozen=True):
    """Apply a committed entry to the state machine."""

    entry: Entry


class Restore(Struct, frozen=True):
    """Replace the state machine by that of a snapshot, as of `index`."""

    index: int
    data: bytes


Action = Send | Persist | Apply | Restore
