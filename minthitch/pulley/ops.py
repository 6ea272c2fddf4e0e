"""The messages between the mesh's own processes: each is a msgpack array that begins with one of these."""

from __future__ import annotations

from typing import Any

PING = 0  # []: the line's own beat
HELLO = 1  # [kind, name]: who opened the line
CALL = 2  # [id, life, left s, aim s, rank, flags, method, target, fields, body, request id, caller, route]
ANSWER = 3  # [id, status, fields, body, running, queued]: what the server said
BUSY = 4  # [id, reason, whether it arrived, running, queued, wait s]: not run, and never will
LOST = 5  # [id, reason, running, queued]: no answer; it may have run
CANCEL = 6  # [id]: the asker needs it no more
REPORT = 7  # [index, record, parts or None]: what a vise says of itself and its server; of its lease
STATE = 8  # [fresh, term, leader, forges, items or None, whole, records, dropped, lease or None]: by forges
CLAIM = 9  # [id, key, owner, claim, digest, taken-over claim]: whose is this key?
CLAIMED = 10  # [id, verdict, owner, claim, digest]
ASK = 11  # [id, key, claim]: what became of your claim?
TOLD = 12  # [id, state, status, fields, body]
RAFT = 13  # [from, message]: agreement among forges
FORWARD = 14  # [id, kind, data]: propose this for me, leader
RESULT = 15  # [id, done, data]: what applying it gave; done False = not taken, never will be by this
KNOCK = 16  # [member]: take me in
FETCH = 17  # [id]: give me the whole configuration as the leader knows it
BEG = 18  # [index]: no forge can be reached from here: what do you know that is newer?
FED = 19  # [items or None, records]

Message = tuple[Any, ...]
