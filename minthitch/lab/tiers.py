"""A tier of a run: its servers, what tells of them, its nodes and their books."""

from __future__ import annotations

from dataclasses import dataclass, field

from minthitch.lab.crowd import Front
from minthitch.lab.discovery import Discovery
from minthitch.lab.ledger import Ledger
from minthitch.lab.nodes import LabNode
from minthitch.lab.servers import ServerModel


@dataclass
class TierAtWork:
    """One tier of a run."""

    models: list[ServerModel]
    by_name: dict[str, ServerModel]
    discovery: Discovery
    ledger: Ledger
    front: Front
    nodes: list[LabNode] = field(default_factory=list)
