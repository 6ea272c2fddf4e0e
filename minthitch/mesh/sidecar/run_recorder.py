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
ATTEMPT_S = 2.0  # for which the connections to the control nodes repeat one command by themselves
RETRY_INTERVAL_S = 0.2  # after a command that no leader has decided, or that found the table full
ClaimBody = tuple[bytes, str, bytes, bytes, bytes]  # key, owner, claim id, record, claim id to replace
OnRecorded = Callable[[RunRecord], None]  # receives the valid record of the run


class ClaimLinks(Protocol):
    """The connections to the control nodes."""

    def claim(self, body: ClaimBody, deadline: float, done: OnClaimed) -> None:
        """Claim a key; `done` receives the verdict, and the owner, id and record of the valid claim."""


class _Command:
    """The wish to record a run, until a control node has decided it."""

    def __init__(self, server_id: str, wanted: RunRecord, done: OnRecorded) -> None:
        self.key = run_key(server_id)
        self.wanted, self.done = wanted, done
        self.claim_id = os.urandom(CLAIM_ID_BYTES)
        self.replaces = b""


class RunRecorder:
    """Records that runs of the server are admitted, and that they have left.

    Args:
        links: the connections to the control nodes.
        owner: the name of this sidecar process.
        epoch: of this sidecar process, in milliseconds of the wall clock.
    """

    def __init__(self, links: ClaimLinks, owner: str, epoch: int) -> None:
        self._links, self._owner = links, owner
        self._loop = asyncio.get_running_loop()
        # The order of the latest run that this process has recorded or read of. Beginning with the epoch, it
        # exceeds what earlier processes used; if the clock was set back, reading their records raises it.
        self._latest_order = epoch
        self._closed = False

    def admit(self, server_id: str, done: OnRecorded) -> None:
        """Record that a run is admitted, unless it has left.

        A run without a record gets a later order than every run that this process knows of. One that an
        earlier process has admitted keeps its order.
        """
        self._latest_order += 1
        self._send(_Command(server_id, RunRecord(RunState.ADMITTED, self._latest_order), done))

    def record_left(self, server_id: str, done: OnRecorded) -> None:
        """Record that a run has left; `done` is called once that is committed."""
        self._send(_Command(server_id, RunRecord(RunState.LEFT, self._latest_order), done))

    def _send(self, command: _Command) -> None:
        if self._closed:
            return

        def on_claimed(verdict: str, _owner: str, claim_id: bytes, record: bytes) -> None:
            if verdict == GRANTED:
                command.done(command.wanted)
            elif verdict == HELD:
                self._on_existing(command, RunRecord.unpack(record), claim_id)
            else:
                self._loop.call_later(RETRY_INTERVAL_S, self._send, command)

        body = (command.key, self._owner, command.claim_id, command.wanted.pack(), command.replaces)
        self._links.claim(body, self._loop.time() + ATTEMPT_S, on_claimed)

    def _on_existing(self, command: _Command, existing: RunRecord, claim_id: bytes) -> None:
        """The run has a record: that it has left is final, and any other is replaced by this process's claim.

        That holds where the run is to be admitted, too: commands of the process that admitted it before must
        not take effect any more.
        """
        self._latest_order = max(self._latest_order, existing.order)
        if existing.state == RunState.LEFT:
            command.done(existing)
            return
        command.wanted = existing._replace(state=command.wanted.state)
        command.replaces = claim_id
        self._send(command)

    def close(self) -> None:
        """Repeat no command any more."""
        self._closed = True
