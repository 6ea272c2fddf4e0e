"""The messages between the mesh's own processes: each is a msgpack array that begins with one of these."""

from __future__ import annotations

from typing import Any

PING = 0  # [whether to say one back]: the line's own beat
HELLO = 1  # [kind, name]: who opened the line
CALL = 2  # [id, life, left s, aim s, rank, flags, method, target, fields, body, request id, caller, route]
ANSWER = 3  # [id, status, fields, body, running, queued]: what the server said
REJECTED = 4  # [id, reason, whether it arrived, running, queued, wait s]: not run, and never will
OUTCOME_UNKNOWN = 5  # [id, reason, running, queued]: no answer; it may have run
CANCEL = 6  # [id]: the asker needs it no more
REPORT = 7  # [index, record]: what a sidecar says of itself and its server
# [fresh, term, leader, control nodes, items or None, whole, records, dropped]: what a control node tells
# sidecars
CONTROL_STATE = 8
CLAIM = 9  # [id, key, owner, claim, digest, taken-over claim]: whose is this key?
CLAIM_RESULT = 10  # [id, verdict, owner, claim, digest]
CLAIM_QUERY = 11  # [id, key, claim]: what became of your claim?
CLAIM_STATE = 12  # [id, state, status, fields, body]
RAFT = 13  # [from, message]: agreement among control nodes
FORWARD = 14  # [id, kind, data]: propose this for me, leader
RESULT = 15  # [id, done, data]: what applying it gave; done False = not taken, never will be by this
JOIN = 16  # [member]: take me in
FETCH = 17  # [id]: give me the whole configuration as the leader knows it
PEER_FETCH = 18  # [index]: no control node can be reached from here: what do you know that is newer?
PEER_STATE = 19  # [items or None, records]
LEASE_REQUEST = (
    20  # [term, stamp, newest lease taken, parts held and wanted]: of the slack, by a sidecar to the leader
)
LEASE_GRANT = 21  # [term, number, stamp, parts]: the leader's lease on the slack
OFFER = 22  # [id, life, left s, aim s, rank, bytes, route]: a call with a large body; may its body come?
GRANT = 23  # [id]: send the call that was offered

REQUEST_OPS = frozenset(
    (CALL, OFFER, CLAIM_QUERY, CLAIM, PEER_FETCH)
)  # what one end waits for the other after
COMPLETION_OPS = frozenset((ANSWER, REJECTED, OUTCOME_UNKNOWN, CLAIM_STATE, CLAIM_RESULT, PEER_STATE, CANCEL))
PEER = "peer"  # who says hello so is a sidecar that calls another: that line is quiet while nothing is open

Message = tuple[Any, ...]
