"""Message types between the mesh's own processes.

A message is a msgpack array: one of these numbers, then the fields in the order of the comment behind it. The
numbers and the orders are the wire format.
"""

from __future__ import annotations

from typing import Any

PING = 0  # [whether to reply with a heartbeat]: heartbeat of the connection
HELLO = 1  # [kind, name, and for a control node zone and region]: who opened the connection
# [id, server id, seconds left, latency target in seconds, priority, flags, method, target, headers, body,
# request id, caller, route]: a request
CALL = 2
ANSWER = 3  # [id, status, headers, body, running, queued]: the server's response
# [id, reason, whether the server saw it, running, queued, wait in seconds]: it has not run and never will
REJECTED = 4
OUTCOME_UNKNOWN = 5  # [id, reason, running, queued]: no response; the request may have run
CANCEL = 6  # [id]: the caller does not need the response any more
REPORT = 7  # [index, record]: a sidecar's report about itself and its server
# [whether it is up to date, term, leader, control nodes, configuration delta or None, whether the records are
# complete, records, dropped addresses]: from a control node to sidecars
CONTROL_STATE = 8
CLAIM = 9  # [id, key, owner, claim, digest, replaced claim]: claim an idempotency key
CLAIM_RESULT = 10  # [id, verdict, owner, claim, digest]
CLAIM_QUERY = 11  # [id, key, claim]: to the owner of a claim: what is the state of its operation?
CLAIM_STATE = 12  # [id, state, status, headers, body]
RAFT = 13  # [from, message]: consensus among control nodes
FORWARD = 14  # [id, kind, data]: ask the leader to propose a command
RESULT = 15  # [id, done, data]: the result; done False: not proposed, and this request never will be
JOIN = 16  # [member]: ask to be added to the group
FETCH = 17  # [id]: ask the leader for its complete configuration
PEER_FETCH = 18  # [index]: from a sidecar that reaches no control node to another: send anything newer
PEER_STATE = 19  # [configuration delta or None, records]
LEASE_REQUEST = 20  # [term, number, newest lease taken, amounts]: a sidecar's lease of the retry allowance
LEASE_GRANT = 21  # [term, number, report number, amounts]: the leader's lease of the retry allowance
# [id, server id, seconds left, latency target in seconds, priority, bytes, route]: asks whether the large
# body of a call may be sent
OFFER = 22
GRANT = 23  # [id]: the offered call may be sent

REQUEST_OPS = frozenset((CALL, OFFER, CLAIM_QUERY, CLAIM, PEER_FETCH))  # their sender waits for a reply
# Messages after which it waits no more.
COMPLETION_OPS = frozenset((ANSWER, REJECTED, OUTCOME_UNKNOWN, CLAIM_STATE, CLAIM_RESULT, PEER_STATE, CANCEL))
PEER = "peer"  # kind, in HELLO, of a sidecar that calls another one: frequent heartbeats only while in use

Message = tuple[Any, ...]
