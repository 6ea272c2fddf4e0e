"""Records the runs of the server beside this sidecar in the replicated claims of the control nodes.

The rules are those of `minthitch.mesh.idempotency.server_runs`. A command is repeated until a control node
has answered it: each names the claim that it may replace, so a repeat changes nothing.
"""

from __future__ import annotations

import asyncio
import os
from collections.abc import Callable
from typing import Protocol

from minthitch.mesh.idempotency.server_runs import RunRecord, RunState, run_key
from minthitch.mesh.sidecar.control_links import GRANTED, HELD, OnClaimed

CLAIM_ID_BYTES = 12
ATTEMPT_S = 2.0  # for which one command is repeated before its id is given up
RETRY_INTERVAL_S = 0.2  # after a command that no leader has decided, or that found the table full
ClaimBody = tuple[bytes, str, bytes, bytes, bytes]  # key, owner, claim id, record, claim id to replace


class ClaimLinks(Protocol):
    """The connections to the control nodes."""

    def claim(self, body: ClaimBody, deadline: float, done: OnClaimed) -> None:
        """Claim a key; `done` receives the verdict, and the owner, id and record of the valid claim."""


class Registration:
    """One run of the server, until its record is decided. `on_decided` receives the valid record."""

    def __init__(self, server_id: str, wanted: RunRecord, on_decided: Callable[[RunRecord], None]) -> None:
        self.key = run_key(server_id)
        self.wanted, self.on_decided = wanted, on_decided
        self.claim_id = os.urandom(CLAIM_ID_BYTES)
        self.replaces = b""


class RunRegistry:
    """Admits runs of the server, and records that they have left.

    Args:
        links: the connections to the control nodes.
        owner: the name of this sidecar process.
        epoch: of this sidecar process.
    """

    def __init__(self, links: ClaimLinks, owner: str, epoch: int) -> None:
        self._links, self._owner, self._epoch = links, owner, epoch
        self._loop = asyncio.get_running_loop()
        self._run_count = 0
        self._closed = False

    def admit(
        self, server_id: str, current: Callable[[], RunRecord | None], done: Callable[[RunRecord], None]
    ) -> None:
        """Record that a run is admitted, unless it has left or is earlier than the current one.

        Args:
            server_id: id of the run.
            current: returns the record of the run that is admitted at the moment of the call.
            done: receives the valid record, once it is known. The run may be admitted if that is ADMITTED,
                and later than the current one.
        """
        self._run_count += 1
        fresh = RunRecord(RunState.ADMITTED, self._epoch, self._run_count)
        registration = Registration(server_id, fresh, done)

        def on_existing(existing: RunRecord, claim_id: bytes) -> None:
            present = current()
            if existing.state == RunState.LEFT or (present is not None and present.is_later_than(existing)):
                done(existing)
                return
            # A predecessor of this process has admitted the run. Its commands must not take effect any more.
            registration.wanted, registration.replaces = existing, claim_id
            self._send(registration, on_existing)

        self._send(registration, on_existing)

    def record_left(self, server_id: str, done: Callable[[RunRecord], None]) -> None:
        """Record that a run has left; `done` receives the record once it is committed."""
        left = RunRecord(RunState.LEFT, self._epoch, 0)
        registration = Registration(server_id, left, done)

        def on_existing(existing: RunRecord, claim_id: bytes) -> None:
            if existing.state == RunState.LEFT:
                done(existing)
                return
            registration.replaces = claim_id
            self._send(registration, on_existing)

        self._send(registration, on_existing)

    def _send(self, registration: Registration, on_existing: Callable[[RunRecord, bytes], None]) -> None:
        if self._closed:
            return

        def on_claimed(verdict: str, _owner: str, claim_id: bytes, record: bytes) -> None:
            if verdict == GRANTED:
                registration.on_decided(registration.wanted)
            elif verdict == HELD:
                on_existing(RunRecord.unpack(record), claim_id)
            else:
                self._loop.call_later(RETRY_INTERVAL_S, self._send, registration, on_existing)

        body = (
            registration.key,
            self._owner,
            registration.claim_id,
            registration.wanted.pack(),
            registration.replaces,
        )
        self._links.claim(body, self._loop.time() + ATTEMPT_S, on_claimed)

    def close(self) -> None:
        """Repeat no command any more."""
        self._closed = True
