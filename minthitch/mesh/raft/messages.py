"""Messages between members, and their wire format.

A message is sent as a msgpack array: a tag, followed by the fields in class order. Tags and field order
must not change, because members of two versions communicate during a rolling upgrade.

`sent_at` is the leader's monotonic clock in seconds. A follower echoes the newest value that it received,
which proves to the leader that the follower accepted it as leader at that time or later (dissertation,
6.4.1). `sequence` numbers the messages of one leader.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Any

from msgspec import Struct
from msgspec.structs import astuple

from minthitch.mesh.raft.errors import MalformedMessageError
from minthitch.mesh.raft.log import Entry


class PreVote(Struct, frozen=True, gc=False):
    """Asks whether the sender could win an election in `term`, without starting one (dissertation, 9.6)."""

    term: int
    last_log_index: int
    last_log_term: int


class PreVoteResponse(Struct, frozen=True, gc=False):
    """Answers `PreVote` for `term`. `current_term` is the responder's own term."""

    term: int
    granted: bool
    current_term: int


class RequestVote(Struct, frozen=True, gc=False):
    """Requests a vote. With `leadership_transfer` a voter need not wait until its leader's lease expires."""

    term: int
    last_log_index: int
    last_log_term: int
    leadership_transfer: bool


class RequestVoteResponse(Struct, frozen=True, gc=False):
    """Answers `RequestVote`. `term` is the responder's own term."""

    term: int
    granted: bool


class AppendEntries(Struct, frozen=True):
    """Replicates log entries; without entries it is a heartbeat.

    `in_contact_with_quorum` tells whether a majority has recently responded to the leader.
    """

    term: int
    prev_log_index: int
    prev_log_term: int
    leader_commit: int
    sent_at: float
    sequence: int
    in_contact_with_quorum: bool
    entries: tuple[Entry, ...]


class AppendEntriesResponse(Struct, frozen=True, gc=False):
    """Answers `AppendEntries`.

    On success, `index` is the last index that is durable and known to match the leader's log. On failure,
    it is the index from which the leader should continue.
    """

    term: int
    success: bool
    index: int
    sent_at: float
    sequence: int


class InstallSnapshot(Struct, frozen=True):
    """Sends one chunk of a snapshot. An empty chunk asks how many bytes have been received."""

    term: int
    last_included_index: int
    last_included_term: int
    voters: tuple[str, ...]
    length: int  # bytes of the whole snapshot
    checksum: int  # CRC-32 of the whole snapshot
    offset: int
    chunk: bytes
    sent_at: float
    sequence: int
    in_contact_with_quorum: bool


class InstallSnapshotResponse(Struct, frozen=True, gc=False):
    """Answers `InstallSnapshot`: `received` bytes of that snapshot have arrived without a gap."""

    term: int
    last_included_index: int
    received: int
    sent_at: float
    sequence: int


class ForwardedJoin(Struct, frozen=True, gc=False):
    """Tells the leader that `member`, which is no longer a voter, requested a pre-vote."""

    member: str


class ShutdownNotice(Struct, frozen=True, gc=False):
    """The sender's process is shutting down and acknowledges no entry after `max_acknowledged`."""

    term: int
    max_acknowledged: int


class TimeoutNow(Struct, frozen=True, gc=False):
    """Sent by the leader of `term` to transfer leadership: start an election at once (dissertation, 3.10)."""

    term: int


Message = (
    PreVote
    | PreVoteResponse
    | RequestVote
    | RequestVoteResponse
    | AppendEntries
    | AppendEntriesResponse
    | InstallSnapshot
    | InstallSnapshotResponse
    | ForwardedJoin
    | ShutdownNotice
    | TimeoutNow
)

_TAGS: dict[type[Message], str] = {
    PreVote: "pre",
    PreVoteResponse: "pre-re",
    RequestVote: "vote",
    RequestVoteResponse: "vote-re",
    AppendEntries: "app",
    AppendEntriesResponse: "app-re",
    InstallSnapshot: "img",
    InstallSnapshotResponse: "img-re",
    ForwardedJoin: "join",
    ShutdownNotice: "leaving",
    TimeoutNow: "now",
}


def encode_message(message: Message) -> tuple[Any, ...]:
    """Return the wire form of a message, ready for msgpack."""
    fields = astuple(message)
    if type(message) is AppendEntries:
        rows = [(entry.term, entry.kind, entry.data) for entry in message.entries]
        fields = (*fields[:-1], rows)
    return (_TAGS[type(message)], *fields)


def decode_message(wire: tuple[Any, ...]) -> Message | None:
    """Return the decoded message; None for an unknown tag of a later version, which is ignored.

    Raises:
        MalformedMessageError: the fields do not match the tag.
    """
    decoder = _DECODERS.get(wire[0]) if wire else None
    if decoder is None:
        return None
    try:
        return decoder(*wire[1:])
    except (TypeError, ValueError) as error:
        raise MalformedMessageError(f"{wire[0]}: {error}") from None


def _decode_append_entries(
    term: int, prev_log_index: int, prev_log_term: int, leader_commit: int, *others: Any
) -> AppendEntries:
    sent_at, sequence, in_contact_with_quorum, rows = others
    entries = tuple(
        Entry(index, entry_term, kind, data)
        for index, (entry_term, kind, data) in enumerate(rows, prev_log_index + 1)
    )
    return AppendEntries(
        term,
        prev_log_index,
        prev_log_term,
        leader_commit,
        sent_at,
        sequence,
        in_contact_with_quorum,
        entries,
    )


def _decode_install_snapshot(
    term: int, last_included_index: int, last_included_term: int, voters: Sequence[str], *others: Any
) -> InstallSnapshot:
    length, checksum, offset, chunk, sent_at, sequence, in_contact_with_quorum = others
    return InstallSnapshot(
        term,
        last_included_index,
        last_included_term,
        tuple(voters),
        length,
        checksum,
        offset,
        chunk,
        sent_at,
        sequence,
        in_contact_with_quorum,
    )


_DECODERS: dict[str, Callable[..., Message]] = {
    **{tag: message_type for message_type, tag in _TAGS.items()},
    _TAGS[AppendEntries]: _decode_append_entries,
    _TAGS[InstallSnapshot]: _decode_install_snapshot,
}
