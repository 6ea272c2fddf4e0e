"""Ownership of idempotency keys: a replicated state machine.

Every control node applies the same committed entries in the same order. A claim exists before the first
attempt of its operation and until its retention window has passed twice, whatever the outcome. Another
claim can replace it only by naming it, after its owner has stated that the operation never ran.
"""

from __future__ import annotations

from typing import Any, NamedTuple

import msgpack

from minthitch.mesh.idempotency.server_runs import SERVER_KEY_PREFIX

MAX_CLAIMS = 150_000  # about 60 MB; beyond it new claims are rejected, existing ones are kept
# Claims on runs of servers (`server_runs`) may exceed MAX_CLAIMS by this many: a table
# that is full of idempotency keys must not keep servers out.
RESERVED_FOR_SERVERS = 10_000


class Claim(NamedTuple):
    """Who owns a key."""

    owner: str  # address of the sidecar that owns it, and the epoch of that process
    claim_id: bytes
    request_digest: bytes  # a repeated request with the key must have the same one


class ClaimCommand(NamedTuple):
    """The command to claim a key. The order of its fields is part of the stored and the wire format."""

    key: bytes
    owner: str
    claim_id: bytes
    request_digest: bytes
    replaces: bytes  # id of the claim that this one may replace; empty: none

    def pack(self) -> bytes:
        """The command in msgpack."""
        return bytes(msgpack.packb(tuple(self)))

    @classmethod
    def unpack(cls, data: bytes) -> ClaimCommand:
        """Undo `pack`."""
        return cls(*msgpack.unpackb(data, use_list=False))

    @property
    def claim(self) -> Claim:
        """The claim that is asked for."""
        return Claim(self.owner, self.claim_id, self.request_digest)


class ClaimTable:
    """Claims in two generations: new claims go into the first one, a rotation drops the second one."""

    def __init__(self) -> None:
        self.generations: list[dict[bytes, Claim]] = [{}, {}]

    def find(self, key: bytes) -> Claim | None:
        """The claim on a key."""
        for generation in self.generations:
            if (claim := generation.get(key)) is not None:
                return claim
        return None

    def count(self) -> int:
        """How many claims there are."""
        return sum(len(generation) for generation in self.generations)

    def acquire(self, command: ClaimCommand) -> Claim | None:
        """Claim a key.

        Returns:
            The claim that is valid now: the new one, or an existing one of another operation. None if the
            table is full.
        """
        existing = self.find(command.key)
        if existing is None and self.count() >= _max_claims(command.key):
            return None
        if existing is not None and existing.claim_id != command.replaces:
            return existing
        for generation in self.generations:
            generation.pop(command.key, None)
        self.generations[0][command.key] = command.claim
        return command.claim

    def rotate(self) -> None:
        """Drop the claims that were made before the previous rotation."""
        self.generations = [{}, self.generations[0]]

    def copy_generations(self) -> list[dict[bytes, Claim]]:
        """A copy of the generations; later changes of the table do not affect it."""
        return [dict(generation) for generation in self.generations]

    def to_rows(self) -> list[list[list[Any]]]:
        """The generations as lists, for a snapshot."""
        return [[[key, *claim] for key, claim in generation.items()] for generation in self.generations]

    def load_rows(self, rows: Any) -> None:
        """Replace the contents by what `to_rows` returned."""
        self.generations = [{row[0]: Claim(*row[1:]) for row in generation} for generation in rows]


def _max_claims(key: bytes) -> int:
    """The size from which the table accepts no new claim on this key."""
    return MAX_CLAIMS + (RESERVED_FOR_SERVERS if key.startswith(SERVER_KEY_PREFIX) else 0)
