"""One control node: its parts, its timers, and the messages of the other processes."""

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
MAINTENANCE_INTERVAL_S = 0.5  # between two looks at who is alive and what has expired
JOIN_INTERVAL_S = 0.5  # between two requests of a learner to be added
FULL_UPDATE_INTERVAL_S = 2.0  # between two updates to a sidecar that lacks nothing
CLAIM_MARGIN_S = 15.0  # for which claims are kept beyond the window: requests take their time too


class ControlServer:
    """Everything that one control node has."""

    def __init__(
        self,
        boot: NodeSettings,
        store: Store | None = None,
        writer: MakeWriter = StorageWriter,
        clock: Clock = time.monotonic,
    ) -> None:
        """Start it.

        Args:
            boot: the settings.
            store: the data folder; None: the one that the settings name. Simulations give their own.
            writer: makes the writer of the store.
            clock: seconds of the steady clock, read anew at each call.

        Raises:
            StoreError, OSError: the data folder can't be used.
        """
        self.boot = boot
        self.clock = clock
        self.loop = asyncio.get_running_loop()
        self.port = boot.net.port_range[0]
        self.failure: BaseException | None = None
        self.finished = asyncio.Event()  # the process has to end
        self.may_end = asyncio.Event()  # after `begin_shutdown`
        self.registry = Registry()
        self.proposals = Proposals(self)
        self.calls = ConfigurationCalls(self)
        self.updates = SidecarUpdates(self, self.registry)
        self.claim_expiry = ClaimExpiry(self, boot.terms.bounds.key_win_s)
        self.peer_links = PeerLinks(self, boot.own.ip, self.port, Location(boot.own.az, boot.own.region))
        self.consensus = ConsensusDriver(self, boot, store, writer, clock)
        self.raft = self.consensus.raft
        self.state = self.consensus.state
        self.leases = AllowanceLeases(boot.terms.bounds, self.raft)
        self._was_up_to_date = False
        self._last_full_update = 0.0
        self.carry_out(self.raft.drain())
        seeds = tuple(address.rpartition(":")[0] for address in boot.net.seeds)
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
        """Whether everything committed is applied here, and is not outdated by a partition."""
        return self.consensus.is_up_to_date(now)

    @property
    def disk_healthy(self) -> bool:
        """Whether the disk can be relied on."""
        return self.consensus.disk.healthy

    def pending_write_s(self) -> float:
        """Seconds that the write under way takes already."""
        return self.consensus.pending_write_s()

    # Calls ----------------------------------------------------------------------------------------

    def propose(self, kind: int, data: bytes, on_result: OnResult) -> None:
        """Propose a command; `on_result` gets None where the outcome is unknown or there is no leader."""
        self.proposals.propose(kind, data, on_result)

    def patch(self, body: bytes, on_result: OnResult) -> None:
        """Change the configuration: see `ConfigurationCalls.patch`."""
        self.calls.patch(body, on_result)

    def fetch(self, on_result: OnResult) -> None:
        """Read the configuration: see `ConfigurationCalls.fetch`."""
        self.calls.fetch(on_result)

    def begin_shutdown(self) -> None:
        """Prepare the end of this process: `may_end` is set once it may end."""
        self.carry_out(self.consensus.shutdown.begin(self.loop.time()))

    def fail(self, error: BaseException) -> None:
        """End this process at once, because of an error."""
        self.failure = error
        self.finished.set()
        self.may_end.set()

    # Events of the consensus core -----------------------------------------------------------------

    def carry_out(self, actions: list[Action]) -> None:
        """Do what the consensus core asks for."""
        self.consensus.carry_out(actions)

    def send(self, action: Send) -> None:
        """Send a message of the consensus core."""
        self.peer_links.send(action)

    def on_applied(self, entry: Entry, result: tuple[Any, ...]) -> None:
        """A committed entry was applied."""
        self.proposals.on_applied(entry, result)

    def on_state_changed(self) -> None:
        """Sidecars have to be notified of the configuration or of the voters."""
        self.updates.schedule()

    def on_leader_changed(self) -> None:
        """There is another leader, or other voters."""
        self.peer_links.connect_to(self._voter_addresses())
        self.proposals.on_leader_change()

    # Messages -------------------------------------------------------------------------------------

    def on_message(self, connection: Connection, wire: ops.Message) -> None:
        """A message of another process has come."""
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
        """A connection has ended."""
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
            # Without this, sidecars would send claims to the previous leader for half a second more.
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
        # By the steady clock: the loop's time may be from before a freeze of this process.
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
        """Stop everything."""
        for timer in self._timers.values():
            timer.cancel()
        self.consensus.close()
        self.peer_links.close()
        self.updates.close()
