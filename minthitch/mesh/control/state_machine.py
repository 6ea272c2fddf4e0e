"""The replicated state machine: configuration and claims. Only committed commands change it; no I/O."""

from __future__ import annotations

from collections.abc import Iterator
from itertools import islice
from typing import NamedTuple

import msgpack

from minthitch.mesh.configuration.errors import ErrorKind
from minthitch.mesh.configuration.items import Items
from minthitch.mesh.configuration.schema import ROUTE_DECODER, ROUTES
from minthitch.mesh.idempotency.claims import Claim, ClaimCommand, ClaimTable

CONFIG, CLAIM, ROTATE, TIME = 1, 2, 3, 4  # command kinds, stored in the log
GRANTED, ALREADY_CLAIMED, FULL, NO_LEADER = "granted", "held", "full", "no leader"  # verdicts, as sent
OK, REJECTED, CONFLICT = 200, 400, 409
STEP_ROWS = 500  # claims encoded in one step, which takes a quarter of a millisecond


class ConfigurationResult(NamedTuple):
    """The outcome of a configuration change. Control nodes send results to each other as arrays."""

    status: int
    reason: str = ""
    changed: bool = False


class ClaimResult(NamedTuple):
    """The owner of a key; empty if there was no space for the claim."""

    verdict: str
    owner: str = ""
    claim_id: bytes = b""
    request_digest: bytes = b""


class FetchResult(NamedTuple):
    """The configuration, and the log index that it reflects."""

    body: bytes
    as_of_index: int


CommandResult = ConfigurationResult | ClaimResult | None  # None: the command has no result


def pack_command(kind: int, data: bytes) -> bytes:
    """Encode a command as the data of a log entry."""
    return bytes(msgpack.packb((kind, data)))


class StateMachine:
    """State that is equal on all control nodes that have applied the same entries."""

    def __init__(self) -> None:
        self.items = Items()
        self.claims = ClaimTable()
        self.rotation_index = 0  # log index of the last rotation of claims
        self.elapsed_ms = 0  # since then, as recorded by leaders (minthitch.mesh.idempotency.rotation)

    def apply(self, index: int, data: bytes) -> CommandResult:
        """Apply the command in the committed entry at `index`."""
        kind, body = msgpack.unpackb(data, use_list=False)
        if kind == CONFIG:
            return self._change_configuration(index, body)
        if kind == CLAIM:
            return self._claim(ClaimCommand.unpack(body))
        if kind == ROTATE:
            self.claims.rotate()
            self.rotation_index = index
            self.elapsed_ms = 0
        elif kind == TIME:
            self.elapsed_ms += msgpack.unpackb(body)
        return None

    def _change_configuration(self, index: int, body: bytes) -> ConfigurationResult:
        verdict = self.items.apply(body, index)
        if verdict.ok:
            return ConfigurationResult(OK, changed=verdict.changed)
        conflict = verdict.kind is ErrorKind.CONFIG_CONFLICT
        return ConfigurationResult(CONFLICT if conflict else REJECTED, verdict.reason)

    def _claim(self, command: ClaimCommand) -> ClaimResult:
        valid = self.claims.acquire(command)
        if valid is None:
            return ClaimResult(FULL)
        return ClaimResult(GRANTED if valid.claim_id == command.claim_id else ALREADY_CLAIMED, *valid)

    def longest_route_timeout(self) -> float:
        """The longest timeout of the current routes: a request's claim may arrive this late."""
        return max(
            (ROUTE_DECODER.decode(body).tmo_s for _, body in self.items.live_items(ROUTES)), default=0.0
        )

    def snapshot(self) -> bytes:
        """The whole state in msgpack."""
        return bytes(msgpack.packb((self.items.snapshot(), self.claims.to_rows(), self._rotation())))

    def snapshot_steps(self) -> Iterator[bytes]:
        """The bytes of `snapshot` in pieces, as of this call: later changes are not included."""
        if self.claims.count() <= STEP_ROWS:
            return iter((self.snapshot(),))
        return self._encode_in_steps(self.items.snapshot(), self.claims.copy_generations(), self._rotation())

    def _rotation(self) -> tuple[int, int]:
        return self.rotation_index, self.elapsed_ms

    def _encode_in_steps(
        self, items: bytes, generations: list[dict[bytes, Claim]], rotation: tuple[int, int]
    ) -> Iterator[bytes]:
        packer = msgpack.Packer()
        yield bytes(packer.pack_array_header(3)) + bytes(packer.pack(items))
        yield bytes(packer.pack_array_header(len(generations)))
        for generation in generations:
            yield bytes(packer.pack_array_header(len(generation)))
            rows = iter(generation.items())
            while batch := list(islice(rows, STEP_ROWS)):
                yield b"".join([packer.pack((key, *claim)) for key, claim in batch])
        yield bytes(packer.pack(rotation))

    def restore(self, snapshot: bytes) -> None:
        """Replace the state by `snapshot`; an empty one changes nothing."""
        if not snapshot:
            return
        items, claims, rotation = msgpack.unpackb(snapshot, use_list=False)
        # Earlier versions recorded no time and stored only the rotation's index: the time since is unknown.
        self.rotation_index, self.elapsed_ms = (rotation, 0) if isinstance(rotation, int) else rotation
        self.items.restore(items)
        self.claims.load_rows(claims)
