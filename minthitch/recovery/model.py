"""What a node keeps: plain values, named so that another process, or another node, can tell them apart."""

from __future__ import annotations

from hashlib import blake2b
from typing import Annotated

import msgspec

from minthitch.interface import RequestClass, Settings

MAX_ROWS = 20_000  # of servers, kinds, classes or hosts in a snapshot
MAX_RATE = 1e6  # calls a second that a server may be said to answer one node

Text = Annotated[str, msgspec.Meta(max_length=256)]
Nanoseconds = Annotated[int, msgspec.Meta(ge=0, le=1 << 62)]
Count = Annotated[float, msgspec.Meta(ge=0.0, le=1e12)]


class EvidenceSums(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Evidence over outcomes: sums as they were when the snapshot was made (policy.Evidence)."""

    trials: Count
    hits: Count
    ends: Count
    time: Count


class HostRow(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One server of the list as last held."""

    name: Text
    address: Text
    port: Annotated[int, msgspec.Meta(ge=1, le=65535)]
    zone: Text = ""
    kind: Text = ""
    cell: Annotated[int, msgspec.Meta(ge=0, le=1 << 31)] = 0
    weight: Count = 1.0
    born_ms: Annotated[int, msgspec.Meta(ge=0, le=1 << 53)] = 0


class Snapshot(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Everything that is kept. Times on `wall` are Unix ns, on `up` the machine's monotonic ns."""

    cluster: Text  # the installation that it belongs to
    node: Text
    generation: Annotated[int, msgspec.Meta(ge=1, le=1 << 53)]
    boot: Text  # of the machine, so that `up` can be compared
    wall: Nanoseconds
    up: Nanoseconds
    siblings: Annotated[int, msgspec.Meta(ge=1, le=1 << 20)]
    cold: Text  # digest of the cold rules that it was learned under
    classes: Annotated[
        dict[Text, tuple[Text, EvidenceSums]], msgspec.Meta(max_length=MAX_ROWS)
    ]  # digest, times
    kinds: Annotated[dict[Text, EvidenceSums], msgspec.Meta(max_length=MAX_ROWS)]
    rate: Annotated[float, msgspec.Meta(ge=0.0, le=MAX_RATE)] = 0.0  # a warm server's answers a second here
    listed_wall: Nanoseconds = 0  # when discovery last told of the list; 0 = never
    listed_up: Nanoseconds = 0
    seq: Annotated[int, msgspec.Meta(ge=0, le=1 << 62)] = 0
    hosts: Annotated[tuple[HostRow, ...], msgspec.Meta(max_length=MAX_ROWS)] = ()


def _digest(*parts: object) -> str:
    return blake2b(repr(parts).encode(), digest_size=8).hexdigest()


def class_digest(spec: RequestClass) -> str:
    """The same for as long as what a call of the class takes can be compared."""
    return _digest(spec.name, spec.aim, spec.stream)


def cold_digest(settings: Settings) -> str:
    return _digest(settings.cold_share, settings.cold_time, settings.cold_multiple, settings.cold_window)
