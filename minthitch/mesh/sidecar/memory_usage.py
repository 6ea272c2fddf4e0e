"""What the memory of a sidecar is used for, as operators see it in Mesh.Status.

Bodies are the only large things that a sidecar holds. What is resident and in none of these figures, beyond
some 30 MB of code, belongs to the allocator or to objects that are still referred to after their end.
"""

from __future__ import annotations

import gc
import os
from collections.abc import Iterable
from typing import TYPE_CHECKING

from msgspec import Struct

if TYPE_CHECKING:
    from minthitch.mesh.http.listener import Listener
    from minthitch.mesh.sidecar.sidecar import Sidecar
    from minthitch.mesh.transport.connection import Connection

STATM_PATH = "/proc/self/statm"


class MemoryUsage(Struct):
    """All sizes are in bytes."""

    resident: int  # of the whole process
    client_bodies: int  # request bodies that are arriving, or wait for an earlier request of their connection
    open_requests: int  # bodies of requests that were accepted here and have not ended
    queued_calls: int  # bodies of calls that wait for the server beside this sidecar
    running_calls: int  # bodies of calls that run at it, as far as it has not got them yet
    unsent: int  # queued for other processes
    incomplete: int  # parts of messages whose end has not arrived
    stored_answers: int  # answers that are kept for repeated keys
    full_collections: int  # runs of the garbage collector over all objects since the start
    collected: int  # objects that it freed in them: these had ended, and still referred to each other


def measure_memory(sidecar: Sidecar, clients: Listener, inbound: Iterable[Connection]) -> MemoryUsage:
    """The present use. Raises OSError where the system does not tell the resident size."""
    queued, running = sidecar.admission.body_bytes()
    outbound = (
        peer.link.connection for peer in sidecar.dispatcher.peers.values() if peer.link.connection is not None
    )
    connections = [*inbound, *outbound]
    oldest_generation = gc.get_stats()[-1]
    return MemoryUsage(
        resident=_resident_bytes(),
        client_bodies=clients.body_bytes(),
        open_requests=sum(len(exchange.request.body) for exchange in sidecar.exchanges),
        queued_calls=queued,
        running_calls=running,
        unsent=sum(connection.unsent_bytes() for connection in connections),
        incomplete=sum(connection.inbox.partial_bytes for connection in connections),
        stored_answers=sidecar.keys.operations.answer_bytes,
        full_collections=oldest_generation["collections"],
        collected=oldest_generation["collected"],
    )


def _resident_bytes() -> int:
    with open(STATM_PATH, encoding="ascii") as statm:
        pages = int(statm.read().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE")
