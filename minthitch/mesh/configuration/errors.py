"""All errors that the mesh itself can answer a call with, and what each answer guarantees."""

from __future__ import annotations

from enum import Enum

from msgspec import Struct


class ErrorKind(Enum):
    """The ways in which the mesh itself, instead of a server, ends a call."""

    # The request itself is at fault.
    BAD_REQUEST = "bad request"  # malformed head or body; clients do not retry it
    HEADER_TOO_LARGE = "header too large"  # over Limits.HdrBytes
    BODY_TOO_LARGE = "body too large"  # over Limits.BodyBytes
    HEADER_SLOW = "header slow"  # head incomplete after Limits.HdrS
    NO_ROUTE = "no route"  # no route of this host has a prefix of the path
    # The request has not run and will not run: a retry elsewhere or later is safe.
    NO_CONFIG = "no configuration"  # this node has not received one yet, so a 404 could be wrong
    NO_SERVER = "no server"  # no known server may take it
    BUSY = "busy"  # all servers are full, and the queue offers no slot in time
    NO_TIME = "no time"  # too little time is left to start an attempt
    LEAVING = "leaving"  # this node is shutting down and did not start the request
    # Keyed requests.
    KEY_AT_WORK = "key at work"  # the first request still runs, or its outcome is unknown within the window
    KEY_UNKNOWN = "key unknown"  # the first request ended without an answer: it may have run
    KEY_DIFFERS = "key differs"  # the key was used for a different operation
    # The request may have run: nothing is guaranteed.
    MAY_HAVE_RUN = "may have run"  # sent to a server, which gave no complete answer
    DEADLINE = "deadline"  # the deadline passed while a server had it
    # Calls of the operator and of servers.
    BAD_CONFIG = "bad configuration"  # invalid: no part was applied
    CONFIG_CONFLICT = "configuration conflict"  # the version exists with other content: no part was applied
    NO_LEADER = "no leader"  # no consensus now; the change may or may not be applied: retry
    NO_DISK = "no disk"  # the disk accepts no writes, so nothing may be acknowledged
    METHOD = "method"  # the path exists, but not with this method
    UNKNOWN_CALL = "unknown call"  # no call has this path
    INTERNAL = "internal"  # a fault of the mesh; guarantees nothing


class Reply(Struct, frozen=True, gc=False):
    """The answer to an error: HTTP status, whether it guarantees that nothing ran, Retry-After in seconds."""

    status: int
    not_run: bool
    retry_after: float | None = None


# By the protocol, 408, 421, 429 and 503 guarantee that nothing ran, whoever sends them, so they must not be
# combined with `not_run=False`. NO_LEADER and NO_DISK only answer calls of operators and servers, which retry
# them unchanged.
REPLIES: dict[ErrorKind, Reply] = {
    ErrorKind.BAD_REQUEST: Reply(400, True),
    ErrorKind.HEADER_TOO_LARGE: Reply(431, True),
    ErrorKind.BODY_TOO_LARGE: Reply(413, True),
    ErrorKind.HEADER_SLOW: Reply(408, True),
    ErrorKind.NO_ROUTE: Reply(404, True),
    ErrorKind.NO_CONFIG: Reply(503, True, 0.5),
    ErrorKind.NO_SERVER: Reply(503, True, 0.25),
    ErrorKind.BUSY: Reply(503, True, 0.1),
    ErrorKind.NO_TIME: Reply(503, True),
    ErrorKind.LEAVING: Reply(503, True, 0.0),
    ErrorKind.KEY_AT_WORK: Reply(409, False, 0.1),
    ErrorKind.KEY_UNKNOWN: Reply(502, False),
    ErrorKind.KEY_DIFFERS: Reply(422, True),
    ErrorKind.MAY_HAVE_RUN: Reply(502, False),
    ErrorKind.DEADLINE: Reply(504, False),
    ErrorKind.BAD_CONFIG: Reply(400, True),
    ErrorKind.CONFIG_CONFLICT: Reply(409, True),
    ErrorKind.NO_LEADER: Reply(503, True, 0.25),
    ErrorKind.NO_DISK: Reply(503, True, 0.5),
    ErrorKind.METHOD: Reply(405, True),
    ErrorKind.UNKNOWN_CALL: Reply(404, True),
    ErrorKind.INTERNAL: Reply(500, False),
}
