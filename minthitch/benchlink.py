"""Adapter between the simulator's binary protocol and the balancer. It makes no decisions.

Frames of event records come in on stdin, and frames of action records go out on stdout. All codes and record
layouts of the protocol are here. One process hosts many instances, each with its own Balancer and no shared
state.
"""

from __future__ import annotations

import gc
import struct
import sys
from collections.abc import Callable
from typing import BinaryIO, TypeVar

from minthitch import interface as api
from minthitch.policy import Balancer
from minthitch.settings import SettingsError, read_settings

HEADER = struct.Struct(">IIQI")
REPLY_HEADER = struct.Struct(">III")
EVENT_SIZE, ACTION_SIZE, ENTRY_SIZE = 48, 24, 23
MAX_FRAME = 1 << 30
MAX_DELAY = 71 * 60 * api.SECOND - api.SECOND  # the longest timer that the protocol allows, less a second

# Layouts of event records, and of an entry of a server list.
ATTEMPT_ENDED = struct.Struct(">xHIHIHBQBB4f")
TIMER_FIRED = struct.Struct(">xHQ")
INSTANCE_STARTED = struct.Struct(">xHQII")
REQUEST_GONE = struct.Struct(">xHI")
PEER_MESSAGE = struct.Struct(">xHHII")
REQUEST_ARRIVED = struct.Struct(">xHIBIQQQH")
INSTANCE_KILLED = struct.Struct(">xH")
SERVER_LIST = struct.Struct(">xHII")
STREAM_STARTED = struct.Struct(">xHIHQIH")
PROBE_ENDED = struct.Struct(">xHIHBQB4f")
LIST_UPDATE = struct.Struct(">xHIBH")
ENTRY = struct.Struct(">BBBHIHQf")

# Layouts of action records.
REFUSE = struct.Struct(">BHIQ9x")
SUBSCRIBE = struct.Struct(">BHB20x")
SET_TIMER = struct.Struct(">BHQQ5x")
FAIL = struct.Struct(">BHI17x")
TEXT = struct.Struct(">BHII13x")
SEND = struct.Struct(">BHIQIH3x")
CANCEL = struct.Struct(">BHIH15x")
REFRESH = struct.Struct(">BH21x")
TO_SERVER = struct.Struct(">BHIH15x")
TELL = struct.Struct(">BHHII11x")
ALL_PEERS = 0xFFFF
MAX_LISTS = 16

STATUS = {
    0: api.Status.OK,
    13: api.Status.ERROR,
    8: api.Status.FULL,
    4: api.Status.TIMEOUT,
    14: api.Status.CONNECT_FAILED,
    10: api.Status.RESET,
    1: api.Status.CANCELLED,
    9: api.Status.MOOT,
}
STATE = {0: api.State.DRAINING, 1: api.State.READY, 2: api.State.GONE}
LIST_KIND = {
    0: api.ListKind.FAILED,
    1: api.ListKind.FULL,
    3: api.ListKind.CHANGES,
    4: api.ListKind.CACHED,
}
T = TypeVar("T")
HINT_VALID, CLIENT_REPEAT = 1, 2


class WireError(Exception):
    """Input that the protocol does not allow; the message says what and where."""


class Adapter:
    """The instances of one process, and the frames to and from them."""

    def __init__(self, make: Callable[[api.Settings, int], Balancer] = Balancer) -> None:
        self.make = make
        self.balancers: dict[int, Balancer] = {}
        self.lists: dict[int, tuple[api.ServerEntry, ...]] = {}
        self.records: list[bytes] = []
        self.tail = bytearray()

    def answer(self, frame: bytes) -> bytes:
        """The reply frame to one complete frame."""
        length, count, now, batch = HEADER.unpack_from(frame)
        tail_at = HEADER.size + count * EVENT_SIZE
        if length != len(frame) or tail_at > length:
            raise WireError(f"batch {batch}: {count} records do not fit a frame of {length} bytes")
        self.records, self.tail = [], bytearray()
        for index in range(count):
            try:
                self._handle_event(frame, HEADER.size + index * EVENT_SIZE, tail_at, now)
            except WireError as err:
                raise WireError(f"batch {batch}, record {index}: {err}") from None
        body = b"".join(self.records)
        total = REPLY_HEADER.size + len(body) + len(self.tail)
        return REPLY_HEADER.pack(total, len(self.records), batch) + body + self.tail

    @staticmethod
    def _slice(frame: bytes, tail_at: int, offset: int, size: int) -> bytes:
        if tail_at + offset + size > len(frame):
            raise WireError(f"offset {offset} and length {size} point outside the tail")
        return frame[tail_at + offset : tail_at + offset + size]

    def _handle_event(self, frame: bytes, at: int, tail_at: int, now: int) -> None:
        code = frame[at]
        event: api.Event
        if code == 1:
            (inst, request, attempt, host, port, status, latency, closed, n, *stats) = (
                ATTEMPT_ENDED.unpack_from(frame, at)
            )
            event = api.AttemptEnded(
                request,
                attempt,
                host << 16 | port,
                self._lookup(STATUS, status, "outcome"),
                latency,
                bool(closed),
                tuple(stats[:n]),
            )
        elif code == 2:
            inst, token = TIMER_FIRED.unpack_from(frame, at)
            event = api.TimerFired(token)
        elif code == 6:
            inst, request, cls, tenant, key, deadline, cost, flags = REQUEST_ARRIVED.unpack_from(frame, at)
            event = api.RequestArrived(
                request,
                cls,
                deadline,
                tenant,
                key,
                cost if flags & HINT_VALID else 0,
                bool(flags & CLIENT_REPEAT),
            )
        elif code == 8:
            number, offset, size = SERVER_LIST.unpack_from(frame, at)
            if number >= MAX_LISTS:
                raise WireError(f"list number {number} is not below {MAX_LISTS}")
            data = self._slice(frame, tail_at, offset, size * ENTRY_SIZE)
            self.lists[number] = tuple(
                api.ServerEntry(
                    host << 16 | port,
                    self._lookup(STATE, state, "server state"),
                    zone,
                    cell,
                    kind,
                    started,
                    weight,
                )
                for kind, zone, state, cell, host, port, started, weight in ENTRY.iter_unpack(data)
            )
            return
        elif code == 11:
            inst, _generation, kind_code, number = LIST_UPDATE.unpack_from(frame, at)
            kind = self._lookup(LIST_KIND, kind_code, "list kind")
            if kind is not api.ListKind.FAILED and number not in self.lists:
                raise WireError(f"list {number} was never given")
            event = api.ListUpdate(kind, () if kind is api.ListKind.FAILED else self.lists[number])
        elif code == 4:
            inst, request = REQUEST_GONE.unpack_from(frame, at)
            event = api.RequestGone(request)
        elif code == 3:
            inst, seed, offset, size = INSTANCE_STARTED.unpack_from(frame, at)
            try:
                settings = read_settings(self._slice(frame, tail_at, offset, size))
            except SettingsError as err:
                raise WireError(str(err)) from None
            self.balancers[inst] = self.make(settings, seed)
            return
        elif code == 7:
            (inst,) = INSTANCE_KILLED.unpack_from(frame, at)
            self.balancers.pop(inst, None)
            self.records = [r for r in self.records if r[1:3] != inst.to_bytes(2, "big")]
            return
        elif code == 9:
            inst, request, attempt, latency, host, port = STREAM_STARTED.unpack_from(frame, at)
            event = api.StreamStarted(request, attempt, host << 16 | port, latency)
        elif code == 10:
            inst, host, port, status, latency, n, *stats = PROBE_ENDED.unpack_from(frame, at)
            event = api.ProbeEnded(
                host << 16 | port, self._lookup(STATUS, status, "outcome"), latency, tuple(stats[:n])
            )
        elif code == 5:
            inst, sender, offset, size = PEER_MESSAGE.unpack_from(frame, at)
            event = api.PeerMessage(sender, self._slice(frame, tail_at, offset, size))
        else:
            raise WireError(f"unknown event code {code}")
        balancer = self.balancers.get(inst)
        if balancer is None:
            raise WireError(f"event for instance {inst}, which is not up")
        if isinstance(event, api.RequestArrived) and event.cls >= len(balancer.settings.classes):
            raise WireError(f"class {event.cls} is not in the settings")
        try:
            actions = balancer.handle(now, event)
        except Exception as err:  # a bug in the decisions; the simulator's report shows the text
            self._pack_text(71, inst, f"{type(err).__name__}: {err}")
            return
        for action in actions:
            self._pack_action(inst, action)

    @staticmethod
    def _lookup(table: dict[int, T], code: int, what: str) -> T:
        if code not in table:
            raise WireError(f"unknown {what} {code}")
        return table[code]

    def _pack_action(self, inst: int, action: api.Action) -> None:
        if isinstance(action, api.Send):
            host, port = action.server >> 16, action.server & 0xFFFF
            record = SEND.pack(75, inst, action.request, action.timeout, host, port)
        elif isinstance(action, api.SetTimer):
            record = SET_TIMER.pack(67, inst, action.token, min(max(action.delay, 0), MAX_DELAY))
        elif isinstance(action, api.Cancel):
            record = CANCEL.pack(76, inst, action.request, action.attempt)
        elif isinstance(action, api.Refuse):
            record = REFUSE.pack(65, inst, action.request, action.retry_after)
        elif isinstance(action, api.Fail):
            record = FAIL.pack(70, inst, action.request)
        elif isinstance(action, api.Subscribe):
            record = SUBSCRIBE.pack(66, inst, 1)
        elif isinstance(action, api.Refresh):
            record = REFRESH.pack(73, inst)
        elif isinstance(action, (api.Probe, api.HangUp)):
            code = 68 if isinstance(action, api.Probe) else 74
            record = TO_SERVER.pack(code, inst, action.server >> 16, action.server & 0xFFFF)
        elif isinstance(action, api.Tell):
            peer = ALL_PEERS if action.peer is None else action.peer
            record = TELL.pack(69, inst, peer, len(self.tail), len(action.data))
            self.tail += action.data
        else:
            return self._pack_text(72, inst, action.text)
        self.records.append(record)
        return None

    def _pack_text(self, code: int, inst: int, text: str) -> None:
        data = text.encode()
        self.records.append(TEXT.pack(code, inst, len(self.tail), len(data)))
        self.tail += data


def _read(source: BinaryIO, size: int, what: str) -> bytes:
    data = source.read(size)
    if len(data) not in (0, size):
        raise WireError(f"input ends after {len(data)} of {size} bytes of {what}")
    return data


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Answer frames until end of input."""
    adapter = Adapter()
    while head := _read(source, HEADER.size, "a header"):
        length = HEADER.unpack(head)[0]
        if not HEADER.size <= length <= MAX_FRAME:
            raise WireError(f"a frame cannot have {length} bytes")
        body = _read(source, length - HEADER.size, "a frame")
        if len(body) != length - HEADER.size:
            raise WireError("input ends after a header")
        sink.write(adapter.answer(head + body))
        sink.flush()


def main() -> int:
    gc.disable()  # no reference cycles arise here; collections would only cost CPU
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except WireError as err:
        print(f"benchlink: {err}", file=sys.stderr)
        return 2
    except BrokenPipeError:
        return 0
    return 0


if __name__ == "__main__":
    sys.exit(main())
