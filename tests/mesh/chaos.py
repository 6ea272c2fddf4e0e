"""Raft cores under a random adversary that controls every step.

It decides which messages arrive, in which order and how often, which writes become durable, whose clock
advances, and which processes and disks are lost. There are no timing or ordering guarantees.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence
from typing import Any

import msgpack

from minthitch.mesh.raft.actions import Action, Apply, Persist, PersistedState, Send, Timing
from minthitch.mesh.raft.log import DATA, MEMBERS, Entry
from minthitch.mesh.raft.member import Role
from minthitch.mesh.raft.membership import address_of
from minthitch.mesh.raft.messages import decode_message, encode_message
from minthitch.mesh.raft.node import RaftNode
from minthitch.mesh.raft.reconfiguration import GroupPolicy
from tests.mesh.cluster import Disk, InvariantViolationError

TIMING = Timing(0.1, 0.6)
MAX_IN_FLIGHT = 80  # messages; the oldest ones beyond this are lost
RETAINED_ENTRIES = 3  # entries kept from before a snapshot
STEPS_BETWEEN_PARTITIONS = 60  # average number of steps
UNRESPONSIVE_S = 2.0  # seconds after which a spare replaces a voter


class Machine:
    def __init__(self, ip: str) -> None:
        self.ip, self.incarnation = ip, 0
        self.disk = Disk()
        self.core: RaftNode | None = None
        self.pending_write: Persist | None = None
        self.now = 0.0
        self.applied: list[bytes] = []
        self.removed = False  # permanently

    @property
    def name(self) -> str:
        return f"{self.ip}#{self.incarnation}"

    def holds(self, index: int, term: int) -> bool:
        """Whether its disk has that entry, or a snapshot that covers it."""
        saved = self.disk.saved
        return saved is not None and (
            saved.snapshot.index >= index or any(e.index == index and e.term == term for e in saved.entries)
        )


class Chaos:
    """`count` founders and some spares; fewer than half of the voters may lose their disks at a time."""

    def __init__(
        self, seed: int, count: int = 3, spares: int = 0, node_type: type[RaftNode] = RaftNode
    ) -> None:
        self.random, self.node_type = random.Random(seed), node_type
        self.count, self.spares = count, spares
        self.max_losses = (count - 1) // 2
        self.machines = {f"n{i}": Machine(f"n{i}") for i in range(count + spares)}
        self.founders = tuple(f"n{i}#0" for i in range(count))
        self.in_flight: list[tuple[str, str, Any]] = []  # from, to, message; None: a join request
        self.committed: dict[int, Entry] = {}
        self.leaders: dict[int, str] = {}
        self.proposed: dict[tuple[int, int], bytes] = {}
        self.acknowledged: dict[int, bytes] = {}
        self.committed_voters_index = 0  # index of the newest committed MEMBERS entry
        self.proposal_count, self.disk_losses = 0, 0
        self.isolated: set[str] = set()  # no messages pass between these and the others
        for machine in self.machines.values():
            self.start(machine)

    # Machines

    def start(self, machine: Machine) -> None:
        saved: PersistedState | None = machine.disk.saved
        is_founder = saved is None and machine.name in self.founders
        machine.pending_write, machine.applied = None, []
        machine.core = self.node_type(
            machine.name,
            saved,
            self.founders if is_founder else (),
            TIMING,
            self.random.getrandbits(40),
            machine.now,
            GroupPolicy(self.count, UNRESPONSIVE_S),
        )
        machine.core.log.retained_entries = RETAINED_ENTRIES
        self.execute(machine, machine.core.drain())

    def stop(self, machine: Machine) -> None:
        if machine.pending_write is not None and self.random.random() < 0.5:
            machine.disk.write(machine.pending_write)
        machine.core, machine.pending_write = None, None

    def lost_copies(self, *more: Machine) -> int:
        """Missing copies of the newest committed set of voters, if `more` are lost too.

        Counts voters whose disk does not have it, that have a new name or are gone permanently, and
        vacancies.
        """
        if not self.committed_voters_index:
            return self.count
        entry = self.committed[self.committed_voters_index]
        names = msgpack.unpackb(entry.data)
        absent = {address_of(name) for name in names if self.machines[address_of(name)].name != name}
        absent |= {m.ip for m in self.machines.values() if m.removed or not m.holds(entry.index, entry.term)}
        absent |= {machine.ip for machine in more}
        return sum(address_of(name) in absent for name in names) + self.count - len(names)

    def lose_disk(self, machine: Machine) -> bool:
        """Lose the disk, if another loss is tolerated."""
        if self.lost_copies(machine) > self.max_losses:
            return False
        machine.core, machine.pending_write, machine.disk = None, None, Disk()
        machine.incarnation += 1
        self.disk_losses += 1
        return True

    def remove(self, machine: Machine) -> None:
        """Remove a machine permanently, if a spare one can replace it."""
        if (
            sum(m.removed for m in self.machines.values()) < self.spares
            and self.lost_copies(machine) <= self.max_losses
        ):
            machine.core, machine.pending_write, machine.removed = None, None, True

    # Events

    def call_core(self, machine: Machine, call: Callable[[RaftNode], list[Action]]) -> None:
        if machine.core is None:
            return
        self.execute(machine, call(machine.core))
        core = machine.core
        if core.is_leader and self.leaders.setdefault(core.term, core.name) != core.name:
            raise InvariantViolationError(
                f"two leaders in term {core.term}: {core.name}, {self.leaders[core.term]}"
            )

    def execute(self, machine: Machine, actions: Sequence[Action]) -> None:
        for action in actions:
            if isinstance(action, Send):
                packed = msgpack.unpackb(msgpack.packb(encode_message(action.message)))
                self.in_flight.append((machine.name, action.to, decode_message(tuple(packed))))
            elif isinstance(action, Persist):
                machine.pending_write = action
            elif isinstance(action, Apply):
                self.apply(machine, action.entry)
            else:
                machine.applied = msgpack.unpackb(action.data)
                entries = [entry for index, entry in sorted(self.committed.items()) if index <= action.index]
                if machine.applied != [entry.data for entry in entries if entry.kind == DATA]:
                    raise InvariantViolationError(
                        f"{machine.name}: snapshot {action.index} differs from the committed entries"
                    )
        del self.in_flight[:-MAX_IN_FLIGHT]

    def apply(self, machine: Machine, entry: Entry) -> None:
        known = self.committed.setdefault(entry.index, entry)
        if known != entry:
            raise InvariantViolationError(
                f"{machine.name} applies {entry}, another machine has applied {known}"
            )
        if entry.kind == MEMBERS:
            self.committed_voters_index = max(self.committed_voters_index, entry.index)
        elif entry.kind == DATA:
            machine.applied.append(entry.data)
            if (entry.index, entry.term) in self.proposed:
                self.acknowledged[entry.index] = entry.data

    def tick(self, machine: Machine, seconds: float) -> None:
        machine.now += seconds
        self.call_core(machine, lambda core: core.tick(machine.now))
        core = machine.core
        if core is not None and core.role is Role.LEARNER:
            self.in_flight += [(machine.name, ip, None) for ip in self.machines]

    def complete_write(self, machine: Machine) -> None:
        if machine.pending_write is not None:
            persist, machine.pending_write = machine.pending_write, None
            machine.disk.write(persist)
            self.call_core(machine, lambda core: core.persisted(machine.now, persist.write_id))

    def arrive(self, src: str, to: str, message: Any) -> None:
        machine = self.machines[address_of(to)]
        if message is None:
            self.call_core(machine, lambda core: core.add_learner(machine.now, src))
        elif machine.name == to:
            self.call_core(machine, lambda core: core.receive(machine.now, src, message))

    def propose(self, machine: Machine) -> None:
        core = machine.core
        if core is None or not core.is_leader:
            return
        self.proposal_count += 1
        data = b"%d" % self.proposal_count
        placed = core.propose(machine.now, data)
        if placed is not None:
            self.proposed[placed] = data
        self.execute(machine, core.drain())

    def snapshot(self, machine: Machine) -> None:
        data = msgpack.packb(machine.applied)
        self.call_core(machine, lambda core: core.compact(core.last_applied, data))

    # The adversary

    def step(self) -> None:
        draw = self.random
        if draw.random() < 1.0 / STEPS_BETWEEN_PARTITIONS:
            self.isolated = set(draw.sample(sorted(self.machines), draw.choice((0, 0, 1, self.max_losses))))
        machine = draw.choice([m for m in self.machines.values() if not m.removed])
        selector = draw.random()
        if selector < 0.5:
            if self.in_flight:
                position = draw.randrange(len(self.in_flight))
                item = self.in_flight[position] if draw.random() < 0.1 else self.in_flight.pop(position)
                partitioned = (address_of(item[0]) in self.isolated) != (address_of(item[1]) in self.isolated)
                if not partitioned and draw.random() > 0.05:
                    self.arrive(*item)
        elif selector < 0.68:
            self.tick(machine, draw.choice((0.02, 0.1, 0.1, 0.3, 0.8)))
        elif selector < 0.88:
            self.complete_write(machine)
        elif selector < 0.95:
            for each in self.machines.values():
                self.propose(each)
        elif selector < 0.965:
            self.snapshot(machine)
        elif machine.core is None:
            self.start(machine)
        elif selector < 0.985:
            self.stop(machine)
        elif draw.random() < 0.4:
            self.lose_disk(machine)
        elif draw.random() < 0.03:
            self.remove(machine)

    def run_scenario(self, steps: int) -> None:
        for _ in range(steps):
            self.step()
        self.recover_and_check()

    def advance(self) -> None:
        """Deliver all messages in order, complete all writes, and advance all clocks equally."""
        for machine in self.machines.values():
            if not machine.removed:
                self.tick(machine, 0.05)
        for machine in self.machines.values():
            self.complete_write(machine)
        for _ in range(4):
            in_flight, self.in_flight = self.in_flight, []
            for item in in_flight:
                self.arrive(*item)
            for machine in self.machines.values():
                self.complete_write(machine)

    def is_consistent(self) -> bool:
        live = [m for m in self.machines.values() if not m.removed]
        core = next((m.core for m in live if m.core and m.core.is_leader and m.core.has_lease(m.now)), None)
        if (
            core is None
            or core.log.voters_index > core.commit_index
            or core.commit_index < core.log.last_index
        ):
            return False
        expected_voters = min(self.count, len(live))
        return (
            len(core.voters) >= expected_voters
            and {m.name for m in live} >= set(core.voters)
            and all(m.core is not None and m.core.last_applied == core.commit_index for m in live)
        )

    def recover_and_check(self, rounds: int = 400) -> None:
        """Recover all machines not removed; check that they agree and have every acknowledged entry."""
        for machine in self.machines.values():
            if machine.core is None and not machine.removed:
                self.start(machine)
        for _ in range(rounds):
            if self.is_consistent():
                break
            self.advance()
        else:
            raise InvariantViolationError(f"not consistent: {self.summary()}")
        for machine in self.machines.values():
            if not machine.removed and not set(self.acknowledged.values()) <= set(machine.applied):
                raise InvariantViolationError(f"{machine.name} lacks acknowledged entries")

    def summary(self) -> list[Any]:
        return [
            (
                m.name,
                m.removed,
                m.core and (m.core.role, m.core.term, m.core.commit_index, m.core.last_index, m.core.voters),
            )
            for m in self.machines.values()
        ]
