"""Calls with large bodies are offered to the receiving sidecar before the body is sent: both sides."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Hashable
from typing import Any

from minthitch.mesh.limits.bulk import MIN_OFFERED_BYTES, BulkAdmission, Offer
from minthitch.mesh.sidecar.admission import Admission
from minthitch.mesh.transport import ops

Reply = Callable[[ops.Message], None]
BODY, LEFT, AIM = 10, 3, 4  # positions in a CALL message
MIN_TIME_LEFT_S = 0.01  # a call with less time left is not sent


class OfferReceiver:
    """Decides which offered bodies may be sent to the server beside this sidecar.

    Args:
        admission: to the server; tells when it does not hold the body of a call any more.
        memory: bytes of bodies that may be held for the server.
    """

    def __init__(self, admission: Admission, memory: int) -> None:
        self.loop = asyncio.get_running_loop()
        self.admission, self.bulk = admission, BulkAdmission(memory)
        admission.on_body_released = self._on_body_released
        self.replies: dict[Hashable, Reply] = {}  # by key, while an offer waits

    def on_offer(self, origin: Hashable, reply: Reply, message: ops.Message) -> None:
        """Answers GRANT or BUSY, at once or when it is decided."""
        _, ident, server_id, time_left, aim, rank, size, route = message
        now, admission, key = self.loop.time(), self.admission, (origin, ident)
        if admission.state != "up" or server_id != admission.server_id:
            self._reject(reply, ident, "gone")
            return
        due = now + aim - admission.gate.expected_duration(route, aim)
        if now + admission.gate.expected_wait(rank) > due:
            self._reject(reply, ident, "full")
            return
        verdict = self.bulk.offer(now, Offer(key, size, rank, due, now + time_left))
        if verdict is None:
            self._reject(reply, ident, "full")
        elif verdict:
            reply((ops.GRANT, ident))
        else:
            self.replies[key] = reply

    def on_call(self, origin: Hashable, message: ops.Message) -> None:
        """A CALL has arrived: if it was offered, the next one may be granted."""
        key = (origin, message[1])
        if key in self.bulk.granted:
            self.bulk.arrived(self.loop.time(), key)
            self._decide_waiting()

    def _on_body_released(self, key: Hashable) -> None:
        """The server has the body of a call, or the call has ended: others may be granted."""
        if self.bulk.released(key):
            self._decide_waiting()

    def on_cancel(self, origin: Hashable, ident: int) -> None:
        """The sender no longer needs the call."""
        self.replies.pop((origin, ident), None)
        self.bulk.withdrawn(self.loop.time(), (origin, ident))
        self._decide_waiting()

    def on_connection_lost(self, origin: Hashable) -> None:
        """The connection to the sender is lost, and with it all its offers."""
        keys = [*self.bulk.granted, *(offer.key for offer in self.bulk.waiting)]
        for key in keys:
            if isinstance(key, tuple) and key[0] == origin:
                self.replies.pop(key, None)
                self.bulk.withdrawn(self.loop.time(), key)
        self._decide_waiting()

    def _decide_waiting(self) -> None:
        grants, late = self.bulk.next(self.loop.time())
        for key in late:
            self._answer(key, None)
        for key in grants:
            self._answer(key, ops.GRANT)

    def _answer(self, key: Any, op: int | None) -> None:
        reply = self.replies.pop(key, None)
        if reply is None:
            return
        if op is None:
            self._reject(reply, key[1], "late")
        else:
            reply((op, key[1]))

    def _reject(self, reply: Reply, ident: int, why: str) -> None:
        gate = self.admission.gate
        wait = max(gate.expected_wait(0), self.bulk.expected_wait(0))
        reply((ops.REJECTED, ident, why, False, gate.running, gate.queued, wait))


class OfferSender:
    """Holds calls with large bodies until the receiver grants them."""

    def __init__(self) -> None:
        self.held: dict[int, tuple[ops.Message, float]] = {}  # by call id: the message, and when it was made

    def offer(self, now: float, message: ops.Message) -> ops.Message | None:
        """The offer to send in place of this CALL; None where its body is small and it is sent directly."""
        if len(message[BODY]) < MIN_OFFERED_BYTES:
            return None
        _, ident, server_id, time_left, aim, rank, *_ = message
        self.held[ident] = message, now
        return (ops.OFFER, ident, server_id, time_left, aim, rank, len(message[BODY]), message[-1])

    def holds(self, ident: int) -> bool:
        """Whether this call was offered and is not sent yet."""
        return ident in self.held

    def granted(self, now: float, ident: int) -> ops.Message | None:
        """The call to send now, with its times reduced by the wait; None where it is no longer needed."""
        held = self.held.pop(ident, None)
        if held is None:
            return None
        message, held_since = held
        time_left = message[LEFT] - (now - held_since)
        if time_left < MIN_TIME_LEFT_S:
            return None
        return (*message[:LEFT], time_left, message[AIM] - (now - held_since), *message[AIM + 1 :])

    def forget(self, ident: int) -> bool:
        """Drops the call. Whether it was offered and not sent yet."""
        return self.held.pop(ident, None) is not None
