"""The one closed list of errors that a caller can be answered with, and what each answer promises."""

from __future__ import annotations

from enum import Enum

from msgspec import Struct


class ErrorKind(Enum):
    """Every way in which the system itself, not a server, ends a call."""

    # The request as it came.
    BAD_REQUEST = "bad request"  # no proper head or body; clients do not try again
    HEADER_TOO_LARGE = "header too large"  # over Limits.HdrBytes
    BODY_TOO_LARGE = "body too large"  # over Limits.BodyBytes
    HEADER_SLOW = "header slow"  # head not complete after Limits.HdrS
    NO_ROUTE = "no route"  # no route of this host begins the path
    # The request has not run and never will: another node or another moment may do.
    NO_CONFIG = "no configuration"  # this node has never learnt one; a 404 would be a lie
    NO_SERVER = "no server"  # none known that may take it
    BUSY = "busy"  # all servers full, and no turn in sight
    NO_TIME = "no time"  # what is left is too short to begin
    LEAVING = "leaving"  # this node is going down and began no new work
    # Keyed requests.
    KEY_AT_WORK = "key at work"  # the first one is still running, or its end is unknown within the window
    KEY_UNKNOWN = "key unknown"  # ended without an answer: it may have run
    KEY_DIFFERS = "key differs"  # one key, two different operations
    # It may have run: nothing is promised.
    MAY_HAVE_RUN = "may have run"  # sent to a server, and no complete answer came
    DEADLINE = "deadline"  # time ran out while a server had it
    # Calls of the operator and of servers.
    BAD_CONFIG = "bad configuration"  # invalid: no part in force
    CONFIG_CONFLICT = "configuration conflict"  # other content at a version that is taken: no part in force
    NO_LEADER = "no leader"  # the core can't agree now; the change may be in force or not: call again
    NO_DISK = "no disk"  # the disk takes nothing: nothing may be acknowledged
    METHOD = "method"  # the path is known, the method isn't
    UNKNOWN_CALL = "unknown call"  # no such path among the calls
    INTERNAL = "internal"  # our own fault; promises nothing


class Reply(Struct, frozen=True, gc=False):
    """An error's answer: HTTP status, whether it says that nothing ran, Retry-After in seconds."""

    status: int
    not_run: bool
    retry_after: float | None = None


# 408, 421, 429 and 503 are promises by the protocol, whoever sends them: none of these may stand beside
# `not_run=False`. NO_LEADER and NO_DISK answer only calls of operators and servers, which repeat unchanged.
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
