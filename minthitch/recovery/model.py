"""The stored model. Kinds, zones and classes go by name, as their numbers differ between processes."""

from __future__ import annotations

from hashlib import blake2b
from typing import Annotated

import msgspec

from minthitch.interface import RequestClass, Settings

MAX_ROWS = 20_000  # of classes, kinds or hosts each in a snapshot
MAX_RATE = 1e6  # calls per second; upper bound of the answers of one server to one node

Text = Annotated[str, msgspec.Meta(max_length=256)]
Nanoseconds = Annotated[int, msgspec.Meta(ge=0, le=1 << 62)]
Count = Annotated[float, msgspec.Meta(ge=0.0, le=1e12)]


class EvidenceSums(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The sums of a policy.Evidence when the snapshot was made."""

    trials: Count
    hits: Count
    ends: Count
    time: Count


class HostRow(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One server of the list that the node last used."""

    name: Text
    address: Text
    port: Annotated[int, msgspec.Meta(ge=1, le=65535)]
    zone: Text = ""
    kind: Text = ""
    cell: Annotated[int, msgspec.Meta(ge=0, le=1 << 31)] = 0
    weight: Count = 1.0
    born_ms: Annotated[int, msgspec.Meta(ge=0, le=1 << 53)] = 0


class Snapshot(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The whole snapshot. `wall` times are Unix ns, `up` times ns of the machine's monotonic clock."""

    cluster: Text  # the installation that the node belongs to
    node: Text
    generation: Annotated[int, msgspec.Meta(ge=1, le=1 << 53)]
    boot: Text  # the machine's boot id: `up` times compare within one boot only
    wall: Nanoseconds
    up: Nanoseconds
    siblings: Annotated[int, msgspec.Meta(ge=1, le=1 << 20)]
    cold: Text  # digest of the cold-start settings in force while it was learned
    # By class name: the class's digest and the sums of its evidence.
    classes: Annotated[dict[Text, tuple[Text, EvidenceSums]], msgspec.Meta(max_length=MAX_ROWS)]
    kinds: Annotated[dict[Text, EvidenceSums], msgspec.Meta(max_length=MAX_ROWS)]
    rate: Annotated[float, msgspec.Meta(ge=0.0, le=MAX_RATE)] = 0.0  # answers per second of a warm server
    listed_wall: Nanoseconds = 0  # when discovery last confirmed the list; 0 = never
    listed_up: Nanoseconds = 0
    seq: Annotated[int, msgspec.Meta(ge=0, le=1 << 62)] = 0
    hosts: Annotated[tuple[HostRow, ...], msgspec.Meta(max_length=MAX_ROWS)] = ()


def _digest(*parts: object) -> str:
    return blake2b(repr(parts).encode(), digest_size=8).hexdigest()


def class_digest(spec: RequestClass) -> str:
    """Unchanged as long as the outcomes of the class remain comparable."""
    return _digest(spec.name, spec.aim, spec.stream)


def cold_digest(settings: Settings) -> str:
    """Changes with the cold-start settings, under which `rate` and `kinds` were learned."""
    return _digest(settings.cold_share, settings.cold_time, settings.cold_multiple, settings.cold_window)
