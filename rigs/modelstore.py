"""Reference model of a store of record in plain dictionaries."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import replace

from minthitch.record.model import (
    AddAttempt,
    Claim,
    Done,
    Existing,
    Fenced,
    Lookup,
    Missing,
    Record,
    Renew,
    Resolution,
    Result,
    Settle,
    State,
    Write,
)


class ModelStore:
    """One store shared by several nodes, with a manual clock in ms."""

    def __init__(self) -> None:
        self.records: dict[str, Record] = {}
        self.epochs: dict[int, tuple[str, int]] = {}  # unfenced epochs: node, end of the lease
        self.next_epoch = 1
        self.now = 1_000
        self.conflicts: list[tuple[str, int, State]] = []

    def start_epoch(self, node: str, lease_ms: int) -> int:
        for epoch, (name, _) in list(self.epochs.items()):
            if name == node:
                self._fence(epoch, "its node started anew")
        epoch, self.next_epoch = self.next_epoch, self.next_epoch + 1
        self.epochs[epoch] = (node, self.now + lease_ms)
        return epoch

    def fence_expired(self) -> list[Record]:
        expired = [epoch for epoch, (_, until) in self.epochs.items() if until < self.now]
        return [record for epoch in expired for record in self._fence(epoch, "its node fell silent")]

    def _fence(self, epoch: int, reason: str) -> list[Record]:
        if self.epochs.pop(epoch, None) is None:
            return []
        found = [
            replace(r, state=State.DOUBT, reason=reason, ended_at=self.now)
            for r in self.records.values()
            if r.epoch == epoch and r.state is State.INTENT
        ]
        self.records |= {record.identity: record for record in found}
        return found

    def apply(self, writes: Sequence[Write]) -> list[Result]:
        return [self._apply_write(write) for write in writes]

    def _apply_write(self, write: Write) -> Result:
        if isinstance(write, Lookup):
            return self._current(write.identity)
        if write.epoch not in self.epochs:
            if isinstance(write, Settle):
                self.conflicts.append((write.identity, write.epoch, write.state))
            return Fenced()
        if isinstance(write, Renew):
            self.epochs[write.epoch] = (self.epochs[write.epoch][0], self.now + write.lease)
            return Done()
        found = self.records.get(write.identity)
        if isinstance(write, Claim):
            return self._claim(write, found)
        if found is None:
            return Missing()
        is_open = found.epoch == write.epoch and found.state is State.INTENT
        if isinstance(write, AddAttempt):
            if not is_open:
                return Existing(found)
            self.records[write.identity] = replace(found, server=write.server, attempts=found.attempts + 1)
            return Done()
        if is_open:
            self.records[write.identity] = replace(
                found,
                state=write.state,
                ended_at=write.at,
                reason=write.reason,
                answer=write.answer,
                answer_digest=write.answer_digest,
                content_type=write.content_type,
            )
            return Done()
        outcome = (write.epoch, write.state, write.answer_digest)
        if (found.epoch, found.state, found.answer_digest) == outcome:
            return Done()
        self.conflicts.append((write.identity, write.epoch, write.state))
        return Existing(found)

    def _current(self, identity: str) -> Result:
        found = self.records.get(identity)
        return Missing() if found is None else Existing(found)

    def _claim(self, write: Claim, found: Record | None) -> Result:
        if found is not None and not found.may_be_resent:
            return Existing(found)
        self.records[write.identity] = Record(
            write.identity,
            write.cls,
            write.digest,
            write.node,
            write.epoch,
            found.turn + 1 if found else 1,
            State.INTENT,
            write.server,
            1,
            write.at,
        )
        return Done()

    def resolve(self, identity: str, word: Resolution, why: str) -> bool:
        found = self.records.get(identity)
        if found is None or found.word or found.state not in (State.DOUBT, State.FAILED):
            return False
        self.records[identity] = replace(found, word=word, why=why)
        return True
