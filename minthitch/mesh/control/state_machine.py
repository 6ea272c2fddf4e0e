"""What the control nodes agree on: the configuration and the claims. Applied in the log's order; no I/O."""

from __future__ import annotations

from collections.abc import Iterator
from itertools import islice
from typing import Any, NamedTuple

import msgpack

from minthitch.mesh.configuration.errors import ErrorKind
from minthitch.mesh.configuration.items import ROUTE, ROUTES, Items
from minthitch.mesh.idempotency.claims import Claim, ClaimCommand, ClaimTable

CONFIG, CLAIM, ROTATE, TIME = 1, 2, 3, 4  # kinds of commands
GRANTED, HELD, FULL, NO_LEADER = "granted", "held", "full", "no leader"
OK, REFUSED, CONFLICT = 200, 400, 409
STEP_ROWS = 500  # claims encoded in one step: a quarter of a millisecond


class Patched(NamedTuple):
    """What became of a change of the configuration. Results travel between control nodes as arrays."""

    status: int
    why: str = ""
    changed: bool = False


class Claimed(NamedTuple):
    """Whose a key is: the owner's own words, empty where there is no room for the claim."""

    verdict: str
    owner: str = ""
    claim: bytes = b""
    digest: bytes = b""


class Fetched(NamedTuple):
    """The configuration, and the index of the log as of which it stands."""

    body: bytes
    as_of: int


def command(kind: int, data: bytes) -> bytes:
    return bytes(msgpack.packb((kind, data)))


class State:
    """The same on every control node that has applied the same entries."""

    def __init__(self) -> None:
        self.items, self.claims = Items(), ClaimTable()
        self.rotated = 0  # index of the last rotation
        self.passed_ms = 0  # since then, as leaders told (minthitch.mesh.idempotency.rotation)

    def apply(self, index: int, data: bytes) -> tuple[Any, ...]:
        """The result, as whoever proposed it is told: Patched, Claimed, or nothing for other entries."""
        kind, body = msgpack.unpackb(data, use_list=False)
        if kind == CONFIG:
            verdict = self.items.apply(body, index)
            if verdict.ok:
                return Patched(OK, changed=verdict.changed)
            conflict = verdict.kind is ErrorKind.CONFIG_CONFLICT
            return Patched(CONFLICT if conflict else REFUSED, verdict.why)
        if kind == CLAIM:
            return self._claim(ClaimCommand.unpack(body))
        if kind == ROTATE:
            self.claims.rotate()
            self.rotated, self.passed_ms = index, 0
        elif kind == TIME:
            self.passed_ms += msgpack.unpackb(body)
        return ()

    def _claim(self, wanted: ClaimCommand) -> Claimed:
        valid = self.claims.acquire(wanted)
        if valid is None:
            return Claimed(FULL)
        return Claimed(GRANTED if valid.claim_id == wanted.claim_id else HELD, *valid)

    def patience(self) -> float:
        """Seconds that a request may take at most by the routes that stand: so late its claim may come."""
        return max((ROUTE.decode(body).tmo_s for _, body in self.items.standing(ROUTES)), default=0.0)

    def dump(self) -> bytes:
        return bytes(msgpack.packb((self.items.snapshot(), self.claims.to_rows(), self._place())))

    def dump_steps(self) -> Iterator[bytes]:
        """The same as `dump` in pieces, as of this call: what is applied later is not in them."""
        if self.claims.count() <= STEP_ROWS:
            return iter((self.dump(),))
        return self._steps(self.items.snapshot(), self.claims.copy_generations(), self._place())

    def _place(self) -> tuple[int, int]:
        return self.rotated, self.passed_ms

    def _steps(
        self, items: bytes, generations: list[dict[bytes, Claim]], place: tuple[int, int]
    ) -> Iterator[bytes]:
        packer = msgpack.Packer()
        yield bytes(packer.pack_array_header(3)) + bytes(packer.pack(items))
        yield bytes(packer.pack_array_header(len(generations)))
        for table in generations:
            yield bytes(packer.pack_array_header(len(table)))
            rows = iter(table.items())
            while batch := list(islice(rows, STEP_ROWS)):
                yield b"".join([packer.pack((key, *claim)) for key, claim in batch])
        yield bytes(packer.pack(place))

    def load(self, snapshot: bytes) -> None:
        if not snapshot:
            return
        items, claims, place = msgpack.unpackb(snapshot, use_list=False)
        # A version that counted no time gives the rotation's index alone: what passed since isn't known.
        self.rotated, self.passed_ms = (place, 0) if isinstance(place, int) else place
        self.items.restore(items)
        self.claims.load_rows(claims)
