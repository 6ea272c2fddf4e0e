"""Which runs of application servers were admitted and which have left, as claims in the replicated table.

A server announces its end once, and heartbeats from before may arrive later than that. The sidecar beside
the server has no disk, so a restarted one cannot tell such a heartbeat from a new one by what it remembers.
Therefore a run is recorded as admitted before the first request may reach it, and as left before its end is
acknowledged. Each record is a claim with an id of its own, and replaces another one only by naming it:

- A run that is recorded as left is never admitted again while the claim is kept, which is for at least the
  key window and CLAIM_MARGIN_S of the control node. Heartbeats are late by seconds.
- A restarted sidecar replaces its predecessor's claim before it admits the run. Commands of the predecessor
  that are still under way then name a claim that is no longer there, and change nothing.
"""

from __future__ import annotations

from enum import StrEnum
from hashlib import blake2b
from typing import NamedTuple

import msgpack

SERVER_KEY_PREFIX = b"server:"
KEY_HASH_BYTES = 16


class RunState(StrEnum):
    """What is recorded of a run, as stored."""

    ADMITTED = "admitted"
    LEFT = "left"


class RunRecord(NamedTuple):
    """The record of one run. It is stored in place of a request digest, as a msgpack array."""

    state: str  # a RunState
    order: int  # of two runs of one server, the later one has the larger order

    def pack(self) -> bytes:
        """The record in msgpack."""
        return bytes(msgpack.packb(tuple(self)))

    @classmethod
    def unpack(cls, data: bytes) -> RunRecord:
        """Undo `pack`."""
        return cls(*msgpack.unpackb(data, use_list=False))

    def is_later_than(self, other: RunRecord) -> bool:
        """Whether this run began after the other one, which is told by the order of their first records."""
        return self.order > other.order


def run_key(server_id: str) -> bytes:
    """The key of a run's claim. No idempotency key is equal to it: those are hashes without a prefix."""
    return SERVER_KEY_PREFIX + blake2b(server_id.encode(), digest_size=KEY_HASH_BYTES).digest()
