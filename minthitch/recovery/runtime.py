"""Runs recovery in a node: restores a snapshot at the start, writes one at each interval and at the end."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Iterable
from contextlib import suppress
from dataclasses import replace as change_settings
from pathlib import Path

from msgspec import to_builtins
from msgspec.structs import replace as change

from minthitch.config import ConfigError, RecoveryConfig
from minthitch.engine import Engine
from minthitch.interface import MILLISECOND, SECOND, ListKind
from minthitch.listing import Host, Listing
from minthitch.policy import Balancer
from minthitch.recovery.learned import class_evidence, kind_evidence, restore, warm_rate
from minthitch.recovery.model import MAX_ROWS, HostRow, Snapshot, cold_digest
from minthitch.recovery.peer_client import query_peers
from minthitch.recovery.peer_reports import (
    ESTIMATE_TTL,
    MAX_PEERS_ASKED,
    PeerEstimate,
    PeerReport,
    merge_reports,
)
from minthitch.recovery.phases import Observation, Phase, PhaseTracker
from minthitch.recovery.progress import ProgressLog
from minthitch.recovery.store import Store, newest
from minthitch.recovery.trust import AgeLimits, NodeContext, Trusted, Verdict, evaluate
from minthitch.recovery.write_schedule import LogLine, Write, WriteSchedule

BOOT_ID_FILE = Path("/proc/sys/kernel/random/boot_id")
MAX_MESSAGES = 20  # log messages kept for `explain`
POLL_INTERVAL_S = 0.2
MAX_PROBED = 3  # servers probed per poll while none has accepted a connection
PROBE_TIMEOUT_S = 0.15
FIRST_QUERY_INTERVAL = SECOND // 2  # ns between the first two queries of the peers
QUERY_PERIOD = 30 * SECOND  # peers are queried for this long after the start
MIN_ANSWERS = 5.0  # from this many answers of warm servers on, peers are told the rate learned here
CLOSE_TIMEOUT_S = 2.0  # for the last snapshot


def boot_id() -> str:
    """Identifies the machine's current boot; "" if unknown, so that only the wall clock counts."""
    try:
        return BOOT_ID_FILE.read_text().strip()
    except OSError:
        return ""


class Recovery:
    """Restores and writes the snapshots of one engine, on the running loop.

    `listed_at` gives when discovery last confirmed the list, in ns of the engine's clock; 0 for never.
    """

    def __init__(
        self,
        engine: Engine,
        config: RecoveryConfig,
        node: str,
        log: Callable[[str], None],
        listed_at: Callable[[], int],
    ) -> None:
        """Reads the stored snapshots and restores what is trusted. Raises ConfigError."""
        self.engine, self.config, self.node, self.log, self.listed_at = engine, config, node, log, listed_at
        self.boot, self.trusted = boot_id(), Trusted()
        self.store = Store(config.folder, node)
        if not self.store.folder.is_dir():
            raise ConfigError(f"recovery.folder = {config.folder!r} is not a folder")
        self.limits = AgeLimits(config.keep_for, config.lists_for)
        self.started, self.messages = engine.clock.now(), list[str]()
        generation = self._load()
        self.schedule = WriteSchedule(config.every, generation, self.started)
        self.phases, self.server_reached = PhaseTracker(self.started), False
        self.progress = ProgressLog([spec.name for spec in engine.settings.classes], self.started)
        self.peer_estimate: PeerEstimate | None = None  # merged from peers' reports
        self.estimate_until = 0
        self.next_query = self.started
        self.ending = asyncio.Event()
        self.query_task: asyncio.Task[None] | None = None
        self.task = asyncio.get_running_loop().create_task(self._run())

    def _report(self, text: str) -> None:
        if len(self.messages) < MAX_MESSAGES:  # a disk that fails now and then must not fill the memory
            self.messages.append(text)
        self.log(f"recovery: {text}")

    def _report_verdicts(self, verdicts: Iterable[Verdict]) -> None:
        for verdict in verdicts:
            self._report(f"{verdict.part} {'taken' if verdict.taken else 'not taken'}: {verdict.why}")

    def _context(self) -> NodeContext:
        return NodeContext(self.config.cluster, self.boot, self.engine.clock.wall(), time.monotonic_ns())

    # Start ------------------------------------------------------------------------------------

    def _load(self) -> int:
        """Restores the newest snapshot and gives its generation, 0 if there is none."""
        contents = self.store.read()
        for content in contents:
            if content.fault is not None:
                self._report(f"{content.path.name} is ignored: {content.why}")
        best = newest(contents)
        if best is None or best.snapshot is None:
            self._report("no usable snapshot found")
            return 0
        self.trusted = evaluate(best.snapshot, self._context(), self.engine.settings, self.limits)
        self._report_verdicts(self.trusted.verdicts)
        self._restore()
        return best.snapshot.generation

    def _restore(self) -> None:
        if isinstance(self.engine.balancer, Balancer):
            restore(
                self.engine.balancer,
                self.engine.clock.now(),
                self.trusted,
                self.engine.server_table.kind_number,
            )
        if self.trusted.hosts is not None:
            # What stopped this node may have restarted the servers too. They count as just started: cold
            # servers that are taken for warm would be overloaded.
            born = self.engine.clock.wall() // MILLISECOND
            hosts = tuple(
                Host(row.name, row.address, row.port, row.zone, row.kind, row.cell, "up", row.weight, born)
                for row in self.trusted.hosts
            )
            self.engine.listed(Listing(self.trusted.seq, True, hosts), ListKind.CACHED)

    # Running -----------------------------------------------------------------------------------

    async def _run(self) -> None:
        while not self.ending.is_set():
            with suppress(TimeoutError):
                await asyncio.wait_for(self.ending.wait(), POLL_INTERVAL_S)
            self._update_phase(self.engine.clock.now())
            self._update_peers(self.engine.clock.now())
            if not self.is_ready() and self.phases.phase is Phase.LISTED:
                await self._probe_servers()
            action = self.schedule.tick(self.engine.clock.now()) if self._should_write() else None
            if action is not None:
                await self._write(action)

    # Phases -------------------------------------------------------------------------------------

    def _update_phase(self, now: int) -> None:
        engine, counts = self.engine, self.engine.counts
        if not isinstance(engine.balancer, Balancer):
            return
        servers = engine.balancer.servers.values()
        warm = sum(server.warmth(now, engine.balancer.settings) >= 1.0 for server in servers)
        # A server that was reached once may be gone since.
        reached, self.server_reached = self.server_reached, False
        transition = self.phases.observe(
            Observation(
                now, len(servers), warm, counts.sends, sum(counts.served), sum(counts.refused), reached
            )
        )
        if transition is not None:
            self.log(f"recovery: {transition.phase}: {transition.why}")
            if transition.phase is Phase.LISTED:
                self.progress.restart()
        rows = list(zip(counts.served, counts.refused, counts.failed, strict=True))
        text = self.progress.next_line(now, engine.clock.wall(), self.phases.phase, rows)
        if text is not None:
            self.log(text)

    def _should_write(self) -> bool:
        """Whether a snapshot may be written. Otherwise a second power loss, during a recovery, would leave
        two snapshots without anything learned in place of the restored ones.
        """
        return self.phases.has_learned or not (self.trusted.rate or self.trusted.classes)

    async def _probe_servers(self) -> None:
        """Tries to connect to servers of the tier below, as callers are not sent here before one accepts."""
        servers = list(self.engine.server_table.by_name.values())
        chosen = self.engine.random.sample(servers, min(len(servers), MAX_PROBED))

        async def probe(host: str, port: int) -> None:
            _, writer = await asyncio.wait_for(asyncio.open_connection(host, port), PROBE_TIMEOUT_S)
            self.server_reached = True
            writer.close()

        await asyncio.gather(*(probe(s.host, s.port) for s in chosen), return_exceptions=True)

    def is_ready(self) -> bool:
        """Whether callers may be sent here. For a node beside a server (`ready_within` is set), the tier
        above takes this answer for the server's readiness, so it waits until the tier below is reached.
        """
        max_wait = self.config.ready_within
        return not max_wait or self.phases.is_servable(self.engine.clock.now(), max_wait)

    # Peers --------------------------------------------------------------------------------------

    def _update_peers(self, now: int) -> None:
        """Drops an expired estimate; queries peers after the start, at growing intervals."""
        balancer = self.engine.balancer
        if self.estimate_until and now >= self.estimate_until and isinstance(balancer, Balancer):
            balancer.settings, self.estimate_until = self.engine.settings, 0
        idle = self.query_task is None or self.query_task.done()
        if self.config.peers and idle and self.next_query <= now < self.started + QUERY_PERIOD:
            self.next_query = now + max(now - self.started, FIRST_QUERY_INTERVAL)  # doubles each time
            self.query_task = asyncio.get_running_loop().create_task(self._query_peers())

    async def _query_peers(self) -> None:
        config, engine = self.config, self.engine
        chosen = engine.random.sample(config.peers, min(len(config.peers), MAX_PEERS_ASKED))
        reports = await query_peers(chosen, config.ask_within / SECOND)
        own = (self.trusted.rate, self.trusted.age or 0) if self.trusted.rate else None
        estimate = merge_reports(
            reports, own, len(chosen), len(config.peers), engine.settings, config.cluster, self.limits
        )
        if self.peer_estimate is None or estimate.rate != self.peer_estimate.rate:
            self._report_verdicts(estimate.verdicts)
        self.peer_estimate, now = estimate, engine.clock.now()
        if isinstance(engine.balancer, Balancer):
            restore(engine.balancer, now, Trusted(rate=estimate.rate), engine.server_table.kind_number)
            engine.balancer.settings = change_settings(engine.settings, siblings=estimate.siblings)
            self.estimate_until = now + ESTIMATE_TTL

    def peer_report(self) -> PeerReport:
        """The report to peers: the rate learned here or else the one of this node's own snapshot, never one
        that other peers reported.
        """
        engine, rate_now, age = self.engine, 0.0, 0
        if isinstance(engine.balancer, Balancer) and engine.balancer.warm.ends >= MIN_ANSWERS:
            rate_now = warm_rate(engine.balancer, engine.clock.now())
        elif self.trusted.rate:
            rate_now = self.trusted.rate
            age = (self.trusted.age or 0) + engine.clock.now() - self.started
        return PeerReport(
            self.config.cluster,
            self.node,
            cold_digest(engine.settings),
            engine.settings.siblings,
            rate_now,
            age,
        )

    async def _write(self, action: Write) -> None:
        message: LogLine | None
        try:
            snapshot = self.make_snapshot(action.generation)
            await asyncio.to_thread(self.store.write, snapshot)
        except (OSError, ValueError) as err:
            message = self.schedule.failed(self.engine.clock.now(), str(err))
        else:
            message = self.schedule.written(self.engine.clock.now())
        if message is not None:
            self._report(message.text)

    def make_snapshot(self, generation: int) -> Snapshot:
        """A snapshot of the current state; without a server list if discovery was never heard."""
        engine, now, up = self.engine, self.engine.clock.now(), time.monotonic_ns()
        wall, server_table, list_at = engine.clock.wall(), engine.server_table, self.listed_at()
        snapshot = Snapshot(
            self.config.cluster,
            self.node,
            generation,
            self.boot,
            wall,
            up,
            engine.settings.siblings,
            cold_digest(engine.settings),
            {},
            {},
        )
        kinds = {number: name for name, number in server_table.kinds.items()}
        if isinstance(engine.balancer, Balancer):
            snapshot = change(
                snapshot,
                classes=class_evidence(engine.balancer, engine.settings),
                kinds=kind_evidence(engine.balancer, kinds),
                rate=warm_rate(engine.balancer, now),
            )
        if not list_at:
            return snapshot
        zones = {number: name for name, number in server_table.zones.items()}
        rows = tuple(
            HostRow(
                s.name,
                s.host,
                s.port,
                zones.get(s.entry.zone, ""),
                kinds.get(s.entry.kind, ""),
                s.entry.cell,
                s.entry.weight,
                s.born_ms,
            )
            for s in list(server_table.by_name.values())[:MAX_ROWS]
            if s.is_usable
        )
        ago = max(now - list_at, 0)
        return change(
            snapshot,
            listed_wall=max(wall - ago, 1),
            listed_up=max(up - ago, 1),
            seq=server_table.seq,
            hosts=rows,
        )

    async def page(self, rest: str) -> tuple[int, object]:
        """For operators: verdicts and the state of writing. For peers: their report, at `known`."""
        if rest == "known":
            return 200, to_builtins(self.peer_report())
        now = self.engine.clock.now()
        written = self.schedule.written_at
        return 200, {
            "node": self.node,
            "cluster": self.config.cluster,
            "up_s": (now - self.started) / SECOND,
            "phase": self.phases.phase,
            "phase_why": self.phases.why,
            "phase_s": (now - self.phases.since) / SECOND,
            "age_s": None if self.trusted.age is None else self.trusted.age / SECOND,
            "verdicts": [
                {"part": v.part, "taken": v.taken, "why": v.why}
                for v in (
                    *self.trusted.verdicts,
                    *(self.peer_estimate.verdicts if self.peer_estimate else ()),
                )
            ],
            "said": self.messages,
            "generation": self.schedule.generation,
            "failures": self.schedule.failures,
            "written_s_ago": None if written is None else (now - written) / SECOND,
        }

    async def close(self) -> None:
        """Writes the last snapshot, after one in progress has ended, as both would write to the same file."""
        self.ending.set()
        if self.query_task is not None:
            self.query_task.cancel()
        try:
            async with asyncio.timeout(CLOSE_TIMEOUT_S):
                await self.task
                action = self.schedule.end() if self._should_write() else None
                if action is not None:
                    await self._write(action)
        except TimeoutError:
            self.log("recovery: the last snapshot was not written in time")
