"""Typed messages that a control node receives, and how they are decoded from the wire.

On the wire each is a msgpack array that begins with its number in `ops`; the order of the fields is fixed.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from msgspec import Struct

from minthitch.mesh.idempotency.claims import ClaimCommand
from minthitch.mesh.registry.records import SidecarRecord
from minthitch.mesh.transport import ops


class Hello(Struct, frozen=True):
    """Who opened the connection: kind of process, name, and, for a control node, zone and region."""

    kind: str
    name: str
    location: tuple[str, ...]


class RaftEnvelope(Struct, frozen=True):
    """A message of the consensus core in its wire form."""

    target: str
    source: str
    message: tuple[Any, ...]


class SidecarReport(Struct, frozen=True):
    """A sidecar's record, and the index of the configuration it holds."""

    configuration_index: int
    record: SidecarRecord


class ClaimRequest(Struct, frozen=True):
    """A sidecar claims an idempotency key."""

    request_id: int
    command: ClaimCommand


class ForwardedProposal(Struct, frozen=True):
    """Another control node believes that this one leads, and asks it to propose a command."""

    request_id: int
    kind: int
    data: bytes


class ForwardedFetch(Struct, frozen=True):
    """Another control node believes that this one leads, and asks it for the configuration."""

    request_id: int


class ForwardedResult(Struct, frozen=True):
    """The leader's answer to a forwarded proposal or fetch; `result` is None where the outcome is unknown."""

    request_id: int
    result: tuple[Any, ...] | None


class JoinRequest(Struct, frozen=True):
    """A learner asks to be added to the group."""

    member: str


class LeaseRequest(Struct, frozen=True):
    """A sidecar's report on its lease of the retry allowance (`limits.lease.Report`)."""

    report: tuple[Any, ...]


ControlMessage = (
    Hello
    | RaftEnvelope
    | SidecarReport
    | ClaimRequest
    | ForwardedProposal
    | ForwardedFetch
    | ForwardedResult
    | JoinRequest
    | LeaseRequest
)

_DECODERS: dict[int, Callable[..., ControlMessage]] = {
    ops.HELLO: lambda kind, name, *location: Hello(kind, name, location),
    ops.RAFT: RaftEnvelope,
    ops.REPORT: lambda index, *record: SidecarReport(index, SidecarRecord(*record)),
    ops.CLAIM: lambda request_id, *command: ClaimRequest(request_id, ClaimCommand(*command)),
    ops.FORWARD: ForwardedProposal,
    ops.FETCH: ForwardedFetch,
    ops.RESULT: lambda request_id, known, result: ForwardedResult(request_id, result if known else None),
    ops.JOIN: JoinRequest,
    ops.LEASE_REQUEST: lambda *report: LeaseRequest(report),
}


def decode_control_message(wire: ops.Message) -> ControlMessage | None:
    """The typed message; None for one that is not meant for control nodes."""
    decoder = _DECODERS.get(wire[0])
    return decoder(*wire[1:]) if decoder is not None else None


def encode_result(request_id: int, result: tuple[Any, ...] | None) -> ops.Message:
    """The wire form of a `ForwardedResult`."""
    return (ops.RESULT, request_id, result is not None, result)
