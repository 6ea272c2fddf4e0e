"""Messages between members, and their wire form.

On the wire a message is a msgpack array: a tag, then the fields in the order of the class. Tags and the
order of fields are fixed, as members of two versions talk to each other during a rolling upgrade.

`sent_at` is the leader's steady clock in seconds. A follower returns the newest one, which proves to the
leader that the follower accepted it as leader at that time or later (dissertation, 6.4.1). `sequence`
numbers a leader's messages.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Any

from msgspec import Struct
from msgspec.structs import astuple

from minthitch.mesh.raft.errors import MalformedMessageError
from minthitch.mesh.raft.log import Entry


class PreVote(Struct, frozen=True, gc=False):
    """Asks whether an election in `term` could be won, without starting one (dissertation, 9.6)."""

    term: int
    last_log_index: int
    last_log_term: int


class PreVoteResponse(Struct, frozen=True, gc=False):
    """Answers `PreVote` for `term`; `current_term` is that of the sender."""

    term: int
    granted: bool
    current_term: int


class RequestVote(Struct, frozen=True, gc=False):
    """Asks for a vote. With `leadership_transfer` a voter need not wait for its leader's lease to expire."""

    term: int
    last_log_index: int
    last_log_term: int
    leadership_transfer: bool


class RequestVoteResponse(Struct, frozen=True, gc=False):
    """Answers `RequestVote`."""

    term: int
    granted: bool


class AppendEntries(Struct, frozen=True):
    """Replicates entries; without any it is a heartbeat.

    `in_contact_with_quorum` is whether the leader had heard from a majority lately.
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

    `index` is the last index that is durable and equal to the leader's log on success, and on failure the
    index from which the leader should go on.
    """

    term: int
    success: bool
    index: int
    sent_at: float
    sequence: int


class InstallSnapshot(Struct, frozen=True):
    """Sends one chunk of a snapshot, or none, which asks how much has been received."""

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
    """Answers `InstallSnapshot`: so many bytes of that snapshot have been received without a gap."""

    term: int
    last_included_index: int
    received: int
    sent_at: float
    sequence: int


class ForwardedJoin(Struct, frozen=True, gc=False):
    """Tells the leader that `member`, which was replaced as a voter, asked for a pre-vote."""

    member: str


class ShutdownNotice(Struct, frozen=True, gc=False):
    """The sender's process ends soon; it acknowledges no entry after `max_acknowledged` any more."""

    term: int
    max_acknowledged: int


class TimeoutNow(Struct, frozen=True, gc=False):
    """The leader of `term` hands over: start an election at once (dissertation, 3.10)."""

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
    """The wire form of a message, ready for msgpack."""
    fields = astuple(message)
    if type(message) is AppendEntries:
        rows = [(entry.term, entry.kind, entry.data) for entry in message.entries]
        fields = (*fields[:-1], rows)
    return (_TAGS[type(message)], *fields)


def decode_message(wire: tuple[Any, ...]) -> Message | None:
    """The message with that wire form; None for a tag of a later version, which is ignored.

    Raises:
        MalformedMessageError: the fields are not those of the tag.
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
