"""A control node: its components, timers, and the dispatch of messages from other processes."""

from __future__ import annotations

import asyncio
import time
from typing import Any

from minthitch.mesh.configuration.settings import NodeSettings
from minthitch.mesh.control.allowance_leases import AllowanceLeases
from minthitch.mesh.control.claim_expiry import ClaimExpiry
from minthitch.mesh.control.configuration_calls import ConfigurationCalls, OnResult
from minthitch.mesh.control.consensus import Clock, ConsensusDriver, MakeWriter
from minthitch.mesh.control.peer_links import PeerLinks
from minthitch.mesh.control.proposals import Proposals, send_result
from minthitch.mesh.control.sidecar_updates import SidecarUpdates
from minthitch.mesh.control.state_machine import CLAIM, NO_LEADER, ClaimResult
from minthitch.mesh.raft.actions import Action, Send
from minthitch.mesh.raft.errors import ConsensusViolationError
from minthitch.mesh.raft.log import Entry
from minthitch.mesh.raft.membership import address_of
from minthitch.mesh.raft.placement import Location
from minthitch.mesh.registry.registry import Registry
from minthitch.mesh.storage.store import Store
from minthitch.mesh.storage.writer import StorageWriter
from minthitch.mesh.transport import ops
from minthitch.mesh.transport.connection import Connection
from minthitch.mesh.transport.control_messages import (
    ClaimRequest,
    ForwardedFetch,
    ForwardedProposal,
    ForwardedResult,
    Hello,
    JoinRequest,
    LeaseRequest,
    RaftEnvelope,
    SidecarReport,
    decode_control_message,
)

TICK_INTERVAL_S = 0.02  # between two ticks of the consensus core
MAINTENANCE_INTERVAL_S = 0.5  # between two checks of liveness and expiry
JOIN_INTERVAL_S = 0.5  # between two join requests of a learner
FULL_UPDATE_INTERVAL_S = 2.0  # between two updates to all sidecars, also those that are up to date
CLAIM_MARGIN_S = 15.0  # claims are kept this much longer than the window, as requests take time too


class ControlServer:
    """Connects the components of one control node."""

    def __init__(
        self,
        settings: NodeSettings,
        store: Store | None = None,
        writer: MakeWriter = StorageWriter,
        clock: Clock = time.monotonic,
    ) -> None:
        """Start the control node.

        Args:
            settings: the settings of this process.
            store: the data folder; None opens the one in the settings. Simulations pass their own.
            writer: creates the writer of the store.
            clock: returns the current monotonic time in seconds.

        Raises:
            StoreError, OSError: the data folder can't be used.
        """
        self.settings = settings
        self.clock = clock
        self.loop = asyncio.get_running_loop()
        self.port = settings.net.port_range[0]
        self.failure: BaseException | None = None
        self.stop_requested = asyncio.Event()  # by a signal or a failure
        self.may_end = asyncio.Event()  # set once the shutdown is complete
        self.registry = Registry()
        self.proposals = Proposals(self)
        self.calls = ConfigurationCalls(self)
        self.updates = SidecarUpdates(self, self.registry)
        self.claim_expiry = ClaimExpiry(self, settings.terms.bounds.key_win_s)
        self.peer_links = PeerLinks(
            self, settings.own.ip, self.port, Location(settings.own.az, settings.own.region)
        )
        self.consensus = ConsensusDriver(self, settings, store, writer, clock)
        self.raft = self.consensus.raft
        self.state = self.consensus.state
        self.leases = AllowanceLeases(settings.terms.bounds, self.raft)
        self._was_up_to_date = False
        self._last_full_update = 0.0
        self.carry_out(self.raft.drain())
        seeds = tuple(address.rpartition(":")[0] for address in settings.net.seeds)
        self.peer_links.connect_to(seeds + self._voter_addresses())
        self._timers = {
            self._tick: self.loop.call_later(TICK_INTERVAL_S, self._tick),
            self._maintain: self.loop.call_later(MAINTENANCE_INTERVAL_S, self._maintain),
            self._request_to_join: self.loop.call_later(JOIN_INTERVAL_S, self._request_to_join),
        }

    def _voter_addresses(self) -> tuple[str, ...]:
        return tuple(address_of(member) for member in self.raft.voters)

    # State ----------------------------------------------------------------------------------------

    def time(self) -> float:
        """The loop's time in seconds."""
        return self.loop.time()

    def is_up_to_date(self, now: float) -> bool:
        """Whether all entries known to be committed are applied, and a quorum is in contact."""
        return self.consensus.is_up_to_date(now)

    @property
    def disk_healthy(self) -> bool:
        """Whether the disk is healthy."""
        return self.consensus.disk.healthy

    def pending_write_s(self) -> float:
        """Seconds since the current write started; 0 without one."""
        return self.consensus.pending_write_s()

    # Calls ----------------------------------------------------------------------------------------

    def propose(self, kind: int, data: bytes, on_result: OnResult) -> None:
        """Propose a command; `on_result` receives None if the outcome is unknown or there is no leader."""
        self.proposals.propose(kind, data, on_result)

    def patch(self, body: bytes, on_result: OnResult) -> None:
        """Change the configuration: see `ConfigurationCalls.patch`."""
        self.calls.patch(body, on_result)

    def fetch(self, on_result: OnResult) -> None:
        """Read the configuration: see `ConfigurationCalls.fetch`."""
        self.calls.fetch(on_result)

    def begin_shutdown(self) -> None:
        """Start a graceful shutdown; `may_end` is set once the process may exit."""
        self.carry_out(self.consensus.shutdown.begin(self.loop.time()))

    def fail(self, error: BaseException) -> None:
        """Stop this process at once because of an error."""
        self.failure = error
        self.stop_requested.set()
        self.may_end.set()

    # Events of the consensus core -----------------------------------------------------------------

    def carry_out(self, actions: list[Action]) -> None:
        """Execute the actions of the consensus core."""
        self.consensus.carry_out(actions)

    def send(self, action: Send) -> None:
        """Send a message of the consensus core to another member."""
        self.peer_links.send(action)

    def on_applied(self, entry: Entry, result: tuple[Any, ...]) -> None:
        """Pass an applied entry's result to the callers that proposed it."""
        self.proposals.on_applied(entry, result)

    def on_state_changed(self) -> None:
        """Notify sidecars of the changed configuration or voters."""
        self.updates.schedule()

    def on_leader_changed(self) -> None:
        """Connect to the current voters, and end proposals forwarded to the previous leader."""
        self.peer_links.connect_to(self._voter_addresses())
        self.proposals.on_leader_change()

    # Messages -------------------------------------------------------------------------------------

    def on_message(self, connection: Connection, wire: ops.Message) -> None:
        """Handle a message of another process."""
        try:
            self._dispatch(connection, wire)
        except ConsensusViolationError as error:
            self.fail(error)

    def _dispatch(self, connection: Connection, wire: ops.Message) -> None:
        message = decode_control_message(wire)
        if isinstance(message, RaftEnvelope):
            self.consensus.receive(message.source, message.target, message.message)
        elif isinstance(message, ClaimRequest):
            self._claim(connection, message)
        elif isinstance(message, SidecarReport):
            self.updates.on_report(connection, message)
        elif isinstance(message, LeaseRequest):
            self._report_lease(connection, message)
        elif isinstance(message, ForwardedProposal):
            self.proposals.on_forwarded_proposal(connection, message)
        elif isinstance(message, ForwardedFetch):
            self._fetch_for_peer(connection, message)
        elif isinstance(message, ForwardedResult):
            self.proposals.on_forwarded_result(message)
        elif isinstance(message, JoinRequest):
            self.peer_links.on_join_request(message.member, connection.name)
        elif isinstance(message, Hello) and connection.kind == "control":
            self.peer_links.on_hello(connection.name, message.location)

    def _claim(self, connection: Connection, message: ClaimRequest) -> None:
        def on_result(result: tuple[Any, ...] | None) -> None:
            if connection.up:
                answer = result or ClaimResult(NO_LEADER)
                connection.send((ops.CLAIM_RESULT, message.request_id, *answer), 0)

        self.propose(CLAIM, message.command.pack(), on_result)

    def _report_lease(self, connection: Connection, message: LeaseRequest) -> None:
        subscriber = self.updates.subscribers.get(connection)
        if subscriber is not None:
            self.leases.on_report(max(self.loop.time(), self.clock()), subscriber, message.report)

    def _fetch_for_peer(self, connection: Connection, message: ForwardedFetch) -> None:
        if self.raft.is_leader:
            self.calls.fetch_locally(lambda result: send_result(connection, message.request_id, result))
        else:
            send_result(connection, message.request_id, None)

    def on_connection_lost(self, connection: Connection) -> None:
        """Handle the loss of a connection."""
        self.updates.on_connection_lost(connection)

    # Time -----------------------------------------------------------------------------------------

    def _tick(self) -> None:
        self._timers[self._tick] = self.loop.call_later(TICK_INTERVAL_S, self._tick)
        now = self.loop.time()
        changed = self.consensus.tick(now)
        if self.consensus.shutdown.is_finished(now, len(self.calls.open_calls)):
            self.may_end.set()
        up_to_date = self.is_up_to_date(now)
        if changed or up_to_date != self._was_up_to_date:
            self._was_up_to_date = up_to_date
            # Otherwise sidecars would send claims to the previous leader for up to half a second.
            self.updates.send(to_all=True)

    def _maintain(self) -> None:
        self._timers[self._maintain] = self.loop.call_later(MAINTENANCE_INTERVAL_S, self._maintain)
        now = self.loop.time()
        self.updates.refresh_liveness()
        self.proposals.expire(now)
        self._expire_claims()
        to_all = now - self._last_full_update >= FULL_UPDATE_INTERVAL_S
        if to_all:
            self._last_full_update = now
        self.updates.send(to_all=to_all)
        self._grant_leases(max(now, self.clock()))

    def _expire_claims(self) -> None:
        # Monotonic time, because the loop's time may be from before a freeze of this process.
        self.claim_expiry.tick(self.clock(), CLAIM_MARGIN_S)

    def _grant_leases(self, now: float) -> None:
        self.leases.distribute(now)
        for connection, subscriber in self.updates.subscribers.items():
            lease = self.leases.grant(now, subscriber)
            if lease is not None:
                connection.send((ops.LEASE_GRANT, *lease), 0)

    def _request_to_join(self) -> None:
        self._timers[self._request_to_join] = self.loop.call_later(JOIN_INTERVAL_S, self._request_to_join)
        self.peer_links.request_to_join()

    def close(self) -> None:
        """Stop all components and timers."""
        for timer in self._timers.values():
            timer.cancel()
        self.consensus.close()
        self.peer_links.close()
        self.updates.close()
