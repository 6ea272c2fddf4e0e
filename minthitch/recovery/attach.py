"""Puts snapshots to a node: read and judged at its start, written every few seconds and at its end."""

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
from minthitch.recovery.asker import ask_all
from minthitch.recovery.cycle import Cycle, Say, Write
from minthitch.recovery.hearsay import LIVE_FOR, MOST_ASKED, Heard, Word, believe
from minthitch.recovery.learned import class_times, kind_times, rate, recollect
from minthitch.recovery.model import MOST_ROWS, HostRow, Snapshot, cold_digest
from minthitch.recovery.phases import Phase, Phases, Seen
from minthitch.recovery.seconds import Seconds
from minthitch.recovery.store import Store, youngest
from minthitch.recovery.trust import Now, Terms, Trusted, Verdict, judge

BOOT_ID = Path("/proc/sys/kernel/random/boot_id")
MOST_LINES = 20  # of what was said, kept for `explain`
LOOK = 0.2  # seconds between two looks at the clock
MOST_REACHED = 3  # servers that are tried at each look while none has taken a connection
REACH_WITHIN = 0.15  # seconds for it
ASK_FIRST = SECOND // 2  # between the first two times that peers are asked
ASKS_FOR = 30 * SECOND  # after the start
LEAST_ENDS = 5.0  # answers of warm servers from which on what was learned here is said
CLOSE_WITHIN = 2.0  # seconds for the last snapshot


def boot_id() -> str:
    """Of this machine's start; "" where it can't be told, so that only the wall clock counts."""
    try:
        return BOOT_ID.read_text().strip()
    except OSError:
        return ""


class Recovery:
    """Snapshots at work for one engine, on the running loop.

    `heard` gives when discovery was last heard, in the clock's ns; 0 for never.
    """

    def __init__(
        self,
        engine: Engine,
        config: RecoveryConfig,
        node: str,
        log: Callable[[str], None],
        heard: Callable[[], int],
    ) -> None:
        """Reads what is there and takes what is trusted of it. Raises ConfigError."""
        self.engine, self.config, self.node, self.log, self.heard = engine, config, node, log, heard
        self.boot, self.trusted = boot_id(), Trusted()
        self.store = Store(config.folder, node)
        if not self.store.folder.is_dir():
            raise ConfigError(f"recovery.folder = {config.folder!r} is not a folder")
        self.terms = Terms(config.keep_for, config.lists_for)
        self.started, self.lines = engine.clock.now(), list[str]()
        generation = self._read()
        self.cycle = Cycle(config.every, generation, self.started)
        self.phases, self.reached = Phases(self.started), False
        self.seconds = Seconds([spec.name for spec in engine.settings.classes], self.started)
        self.heard_of: Heard | None = None  # what peers' words came to, and until when it is news
        self.news_until = 0
        self.next_ask = self.started
        self.ending = asyncio.Event()
        self.asking: asyncio.Task[None] | None = None
        self.task = asyncio.get_running_loop().create_task(self._run())

    def _say(self, text: str) -> None:
        if len(self.lines) < MOST_LINES:  # danger: a disk that fails now and then would fill the memory
            self.lines.append(text)
        self.log(f"recovery: {text}")

    def _say_verdicts(self, verdicts: Iterable[Verdict]) -> None:
        for verdict in verdicts:
            self._say(f"{verdict.part} {'taken' if verdict.taken else 'not taken'}: {verdict.why}")

    def _now(self) -> Now:
        return Now(self.config.cluster, self.boot, self.engine.clock.wall(), time.monotonic_ns())

    # At the start -------------------------------------------------------------------------------

    def _read(self) -> int:
        """Gives the generation that the next snapshot follows."""
        found = self.store.read()
        for each in found:
            if each.fault is not None:
                self._say(f"{each.path.name} is not used: {each.why}")
        best = youngest(found)
        if best is None or best.snapshot is None:
            self._say("nothing is known from before")
            return 0
        self.trusted = judge(best.snapshot, self._now(), self.engine.settings, self.terms)
        self._say_verdicts(self.trusted.verdicts)
        self._take()
        return best.snapshot.generation

    def _take(self) -> None:
        if isinstance(self.engine.balancer, Balancer):
            recollect(
                self.engine.balancer,
                self.engine.clock.now(),
                self.trusted,
                self.engine.server_table.kind_number,
            )
        if self.trusted.hosts is not None:
            # Danger: what stopped this node may have stopped them too, and cold ones would be pushed over.
            born = self.engine.clock.wall() // MILLISECOND
            hosts = tuple(
                Host(row.name, row.address, row.port, row.zone, row.kind, row.cell, "up", row.weight, born)
                for row in self.trusted.hosts
            )
            self.engine.listed(Listing(self.trusted.seq, True, hosts), ListKind.CACHED)

    # While it runs ------------------------------------------------------------------------------

    async def _run(self) -> None:
        while not self.ending.is_set():
            with suppress(TimeoutError):
                await asyncio.wait_for(self.ending.wait(), LOOK)
            self._look_at_phase(self.engine.clock.now())
            self._look_at_peers(self.engine.clock.now())
            if not self.ready() and self.phases.phase is Phase.LISTED:
                await self._reach()
            action = self.cycle.tick(self.engine.clock.now()) if self._keeps() else None
            if action is not None:
                await self._write(action)

    # Phases -------------------------------------------------------------------------------------

    def _look_at_phase(self, now: int) -> None:
        engine, counts = self.engine, self.engine.counts
        if not isinstance(engine.balancer, Balancer):
            return
        servers = engine.balancer.servers.values()
        warm = sum(server.warmth(now, engine.balancer.settings) >= 1.0 for server in servers)
        reached, self.reached = self.reached, False  # danger: what was reached once may be gone
        step = self.phases.look(
            Seen(now, len(servers), warm, counts.sends, sum(counts.served), sum(counts.refused), reached)
        )
        if step is not None:
            self.log(f"recovery: {step.phase}: {step.why}")
            if step.phase is Phase.LISTED:
                self.seconds.again()
        rows = list(zip(counts.served, counts.refused, counts.failed, strict=True))
        text = self.seconds.look(now, engine.clock.wall(), self.phases.phase, rows)
        if text is not None:
            self.log(text)

    def _keeps(self) -> bool:
        """Danger: power lost within a recovery; two snapshots of nothing would be all that is left."""
        return self.phases.learns or not (self.trusted.rate or self.trusted.classes)

    async def _reach(self) -> None:
        """Whether a server of the tier below takes connections: nobody may send here before."""
        servers = list(self.engine.server_table.by_name.values())
        chosen = self.engine.random.sample(servers, min(len(servers), MOST_REACHED))

        async def one(host: str, port: int) -> None:
            _, writer = await asyncio.wait_for(asyncio.open_connection(host, port), REACH_WITHIN)
            self.reached = True
            writer.close()

        await asyncio.gather(*(one(s.host, s.port) for s in chosen), return_exceptions=True)

    def ready(self) -> bool:
        """Whether callers may be sent here. Beside a server, which the tier above takes for ready by this
        node's word, once the tier below is reached.
        """
        within = self.config.ready_within
        return not within or self.phases.servable(self.engine.clock.now(), within)

    # Peers --------------------------------------------------------------------------------------

    def _look_at_peers(self, now: int) -> None:
        """Asks in the first seconds, less and less often; what was heard is news for a while."""
        balancer = self.engine.balancer
        if self.news_until and now >= self.news_until and isinstance(balancer, Balancer):
            balancer.settings, self.news_until = self.engine.settings, 0
        idle = self.asking is None or self.asking.done()
        if self.config.peers and idle and self.next_ask <= now < self.started + ASKS_FOR:
            self.next_ask = now + max(now - self.started, ASK_FIRST)  # doubled each time
            self.asking = asyncio.get_running_loop().create_task(self._ask())

    async def _ask(self) -> None:
        config, engine = self.config, self.engine
        chosen = engine.random.sample(config.peers, min(len(config.peers), MOST_ASKED))
        words = await ask_all(chosen, config.ask_within / SECOND)
        own = (self.trusted.rate, self.trusted.age or 0) if self.trusted.rate else None
        heard = believe(
            words, own, len(chosen), len(config.peers), engine.settings, config.cluster, self.terms
        )
        if self.heard_of is None or heard.rate != self.heard_of.rate:
            self._say_verdicts(heard.verdicts)
        self.heard_of, now = heard, engine.clock.now()
        if isinstance(engine.balancer, Balancer):
            recollect(engine.balancer, now, Trusted(rate=heard.rate), engine.server_table.kind_number)
            engine.balancer.settings = change_settings(engine.settings, siblings=heard.siblings)
            self.news_until = now + LIVE_FOR

    def word(self) -> Word:
        """What this node says to others: what it has learned, or else what it kept itself; never hearsay."""
        engine, rate_now, age = self.engine, 0.0, 0
        if isinstance(engine.balancer, Balancer) and engine.balancer.warm.ends >= LEAST_ENDS:
            rate_now = rate(engine.balancer, engine.clock.now())
        elif self.trusted.rate:
            rate_now = self.trusted.rate
            age = (self.trusted.age or 0) + engine.clock.now() - self.started
        return Word(
            self.config.cluster,
            self.node,
            cold_digest(engine.settings),
            engine.settings.siblings,
            rate_now,
            age,
        )

    async def _write(self, action: Write) -> None:
        said: Say | None
        try:
            snapshot = self.made(action.generation)
            await asyncio.to_thread(self.store.write, snapshot)
        except (OSError, ValueError) as err:
            said = self.cycle.failed(self.engine.clock.now(), str(err))
        else:
            said = self.cycle.written(self.engine.clock.now())
        if said is not None:
            self._say(said.text)

    def made(self, generation: int) -> Snapshot:
        """What is known now."""
        engine, now, up = self.engine, self.engine.clock.now(), time.monotonic_ns()
        wall, fleet, heard = engine.clock.wall(), engine.server_table, self.heard()
        empty = Snapshot(
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
        kinds = {number: name for name, number in fleet.kinds.items()}
        if isinstance(engine.balancer, Balancer):
            empty = change(
                empty,
                classes=class_times(engine.balancer, engine.settings),
                kinds=kind_times(engine.balancer, kinds),
                rate=rate(engine.balancer, now),
            )
        if not heard:
            return empty
        zones = {number: name for name, number in fleet.zones.items()}
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
            for s in list(fleet.by_name.values())[:MOST_ROWS]
            if s.is_usable
        )
        ago = max(now - heard, 0)
        return change(
            empty, listed_wall=max(wall - ago, 1), listed_up=max(up - ago, 1), seq=fleet.seq, hosts=rows
        )

    async def page(self, rest: str) -> tuple[int, object]:
        """For operators: what was trusted at the start and why, and how writing goes. For peers: `known`."""
        if rest == "known":
            return 200, to_builtins(self.word())
        now = self.engine.clock.now()
        written = self.cycle.written_at
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
                for v in (*self.trusted.verdicts, *(self.heard_of.verdicts if self.heard_of else ()))
            ],
            "said": self.lines,
            "generation": self.cycle.generation,
            "failures": self.cycle.failures,
            "written_s_ago": None if written is None else (now - written) / SECOND,
        }

    async def close(self) -> None:
        """Writes the last snapshot, behind one that is on its way: two at once would write into one file."""
        self.ending.set()
        if self.asking is not None:
            self.asking.cancel()
        try:
            async with asyncio.timeout(CLOSE_WITHIN):
                await self.task
                action = self.cycle.end() if self._keeps() else None
                if action is not None:
                    await self._write(action)
        except TimeoutError:
            self.log("recovery: the last snapshot was not written in time")
