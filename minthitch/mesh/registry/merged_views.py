"""Merges what a sidecar learns from several control nodes into one list of endpoints."""

from __future__ import annotations

from collections.abc import Iterable

from minthitch.mesh.registry.records import SidecarRecord, is_newer, published_fields
from minthitch.mesh.registry.registry import EXPIRY_S, RegistryDelta


class MergedViews:
    """The newest record of each address, over the views of all control nodes.

    Equal records from several control nodes are stored once. An update costs only the work for the addresses
    it contains.
    """

    def __init__(self) -> None:
        self.merged: dict[str, SidecarRecord] = {}
        self.views: dict[str, dict[str, SidecarRecord]] = {}
        self._complete_since: dict[str, float] = {}  # when each control node first sent its view
        self._stale = ""  # the disconnected control node whose view is used while there is no other

    def update(self, now: float, source: str, delta: RegistryDelta) -> bool:
        """Apply an update from a control node; whether published fields of the merged list have changed."""
        if delta.complete or source not in self._complete_since:
            self._complete_since[source] = now
        if source == self._stale:
            self._stale = ""
        before = self.views.get(source, {})
        view = self.views[source] = {} if delta.complete else before
        touched = dict.fromkeys(before) if delta.complete else {}
        for record in delta.changed:
            known = self.merged.get(record.ip)
            view[record.ip] = known if known is not None and known == record else record
            touched[record.ip] = None
        for ip in delta.dropped:
            view.pop(ip, None)
            touched[ip] = None
        return self._merge(touched)

    def disconnect(self, source: str) -> bool:
        """The connection to a control node is lost; whether the merged list has changed.

        The last remaining view stays in use: a sidecar without control nodes continues with what it knows.
        """
        if source not in self.views:
            return False
        if len(self.views) > 1:
            return self._drop(source)
        self._stale = source
        return False

    def _drop(self, source: str) -> bool:
        self._complete_since.pop(source, None)
        return self._merge(self.views.pop(source, {}))

    def expire(self, now: float) -> bool:
        """Drop the stale view once all other control nodes have had the time to learn of all sidecars."""
        complete = [since for source, since in self._complete_since.items() if source != self._stale]
        if not self._stale or not complete or min(complete) > now - EXPIRY_S:
            return False
        self._drop(self._stale)
        self._stale = ""
        return True

    def _merge(self, touched: Iterable[str]) -> bool:
        changed = False
        for ip in touched:
            newest: SidecarRecord | None = None
            for view in self.views.values():
                record = view.get(ip)
                if record is not None and is_newer(record, newest):
                    newest = record
            known = self.merged.pop(ip, None)
            if newest is not None:
                self.merged[ip] = newest
            changed = changed or _published(known) != _published(newest)
        return changed


def _published(record: SidecarRecord | None) -> object:
    return None if record is None else published_fields(record)
