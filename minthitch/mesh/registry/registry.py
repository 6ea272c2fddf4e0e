"""The registry of one control node: the newest record of each sidecar that reports to it."""

from __future__ import annotations

from typing import NamedTuple

from minthitch.mesh.registry.records import SidecarRecord, is_newer, published_fields

EXPIRY_S = 2.5  # without contact for this long a sidecar is dropped; heartbeats come every 0.5 s
MAX_RECORDS = 20_000  # more means a malfunction, and could exhaust the memory


class RegistryDelta(NamedTuple):
    """The changes after a version; if `complete`, all records."""

    complete: bool
    changed: list[SidecarRecord]
    dropped: list[str]  # addresses


class Registry:
    """Records by address. `version` increases with each change that sidecars must be notified of."""

    def __init__(self) -> None:
        self.records: dict[str, SidecarRecord] = {}  # by address
        self.version = 0
        self._last_contact: dict[str, float] = {}
        # By address: version of the last change or drop, in ascending order of versions.
        self._changed_at: dict[str, int] = {}

    def update(self, now: float, record: SidecarRecord) -> bool:
        """Apply a report; whether sidecars must be notified."""
        known = self.records.get(record.ip)
        if known is not None and not is_newer(record, known):
            return False
        if known is None and len(self.records) >= MAX_RECORDS:
            return False
        self._last_contact[record.ip] = now
        self.records[record.ip] = record
        if known is not None and published_fields(known) == published_fields(record):
            return False
        self._advance_version(record.ip)
        return True

    def refresh(self, ip: str, epoch: int, last_contact: float) -> None:
        """That run's connection was alive at `last_contact`: the sidecar need not repeat its report."""
        known = self.records.get(ip)
        if known is not None and known.epoch == epoch:
            self._last_contact[ip] = max(self._last_contact[ip], last_contact)

    def _advance_version(self, ip: str) -> None:
        self.version += 1
        self._changed_at.pop(ip, None)
        self._changed_at[ip] = self.version

    def expire(self, now: float) -> bool:
        """Drop the sidecars without contact; whether there were any."""
        expired = [ip for ip, contact in self._last_contact.items() if contact < now - EXPIRY_S]
        for ip in expired:
            del self._last_contact[ip], self.records[ip]
            self._advance_version(ip)
        if len(self._changed_at) > 2 * MAX_RECORDS:
            self._changed_at = {ip: at for ip, at in self._changed_at.items() if ip in self.records}
        return bool(expired)

    def since(self, version: int) -> RegistryDelta:
        """The changes after `version`. The cost depends on their number, not on that of all records."""
        if version <= 0:
            return RegistryDelta(True, list(self.records.values()), [])
        touched: list[str] = []
        for ip, changed_at in reversed(self._changed_at.items()):
            if changed_at <= version:
                break
            touched.append(ip)
        changed = [self.records[ip] for ip in touched if ip in self.records]
        return RegistryDelta(False, changed, [ip for ip in touched if ip not in self.records])
