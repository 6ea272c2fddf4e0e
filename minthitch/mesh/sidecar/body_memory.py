"""How much of a sidecar's memory request bodies may take, on each of its two sides.

A third is for the bodies of clients, a third for those of calls to the server beside the sidecar. The rest is
for copies: a body that arrives or leaves is in memory up to three times for a moment.
"""

from __future__ import annotations

RESIDENT_MB = 60.0  # of memory without long request bodies
MIN_BODY_MB = 16.0  # for bodies and their copies, however small the machine
SIDES = 3  # clients, the server, copies


def body_memory_bytes(mem_mb: float) -> int:
    """Bytes of long bodies that one side of a sidecar may hold, on a machine with `mem_mb` of memory."""
    return int(max(mem_mb - RESIDENT_MB, MIN_BODY_MB) * 1024 * 1024) // SIDES
