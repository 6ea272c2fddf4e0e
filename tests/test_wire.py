"""The simulator's adapter: the protocol page's examples byte for byte, bad input, separate instances."""

from __future__ import annotations

import io
import json
import struct
import subprocess
import sys
from collections.abc import Sequence

import pytest

from minthitch import benchlink
from minthitch.interface import (
    Action,
    AttemptEnded,
    Cancel,
    Effect,
    Event,
    Fail,
    Group,
    HangUp,
    ListKind,
    ListUpdate,
    Log,
    PeerMessage,
    Probe,
    ProbeEnded,
    Refresh,
    Refuse,
    RequestArrived,
    RequestGone,
    Send,
    ServerEntry,
    SetTimer,
    Settings,
    State,
    Status,
    StreamStarted,
    Subscribe,
    Tell,
    TimerFired,
)
from minthitch.policy import Balancer
from minthitch.settings import SettingsError, read_settings

SERVER = 0x0A124A07 << 16 | 0x2BC3
CLASS = {"objectiveNs": 10**9, "deadlineNs": 3 * 10**9, "effect": "repeatable"}
SETTINGS = json.dumps({"classes": [CLASS], "surprise": {"new": 1}}).encode()


def record(text: str, size: int) -> bytes:
    data = bytes.fromhex(text)
    return data + bytes(size - len(data))


def frame(records: Sequence[bytes], tail: bytes = b"", now: int = 0x1F568BF90, batch: int = 1) -> bytes:
    body = b"".join(records)
    return struct.pack(">IIQI", 20 + len(body) + len(tail), len(records), now, batch) + body + tail


def up(inst: int = 3, settings: bytes = SETTINGS, offset: int = 0) -> bytes:
    return struct.pack(">BHQII29x", 3, inst, 7, offset, len(settings))


class Recorder(Balancer):
    """Records the events it is given, and returns preset actions."""

    def __init__(self, settings: Settings, seed: int) -> None:
        super().__init__(settings, seed)
        self.seen: list[tuple[int, Event]] = []
        self.replies: list[Action] = []

    def handle(self, now: int, event: Event) -> list[Action]:
        self.seen.append((now, event))
        replies, self.replies = self.replies, []
        return replies


def recorded() -> tuple[benchlink.Adapter, Recorder]:
    adapter = benchlink.Adapter(Recorder)
    adapter.answer(frame([up()], SETTINGS))
    balancer = adapter.balancers[3]
    assert isinstance(balancer, Recorder)
    return adapter, balancer


def test_the_empty_batch() -> None:
    batch = bytes.fromhex("00000014 00000000 00000001f568bf90 00000001")
    assert benchlink.Adapter().answer(batch) == bytes.fromhex("0000000c 00000000 00000001")


def test_the_example_batch_and_reply() -> None:
    """The example frame is for instances 3 and 5; its reply has a send, a timer and a log line."""
    adapter = benchlink.Adapter(Recorder)
    adapter.answer(frame([up(3), up(5)], SETTINGS))
    three, five = adapter.balancers[3], adapter.balancers[5]
    assert isinstance(three, Recorder)
    assert isinstance(five, Recorder)
    three.replies = [Send(0x5D3A91C4, SERVER, 80_000_000), SetTimer(77, 500_000_000)]
    five.replies = [Log("two servers known")]
    batch = frame(
        [
            record(
                "06 0003 5d3a91c4 00 00000000 91f03b7c55d20a64 0000000203b6db90 0000000000b71b00 0001", 48
            ),
            record("02 0003 000000000000004d", 48),
            record("04 0005 0e6f2b19", 48),
        ],
        batch=12,
    )
    assert batch[:4] == bytes.fromhex("000000a4")
    reply = adapter.answer(batch)
    assert three.seen == [
        (0x1F568BF90, RequestArrived(0x5D3A91C4, 0, 0x203B6DB90, 0, 0x91F03B7C55D20A64, 12_000_000)),
        (0x1F568BF90, TimerFired(77)),
    ]
    assert five.seen == [(0x1F568BF90, RequestGone(0x0E6F2B19))]
    assert reply == (
        bytes.fromhex("00000065 00000003 0000000c")
        + record("4b 0003 5d3a91c4 0000000004c4b400 0a124a07 2bc3", 24)
        + record("43 0003 000000000000004d 000000001dcd6500", 24)
        + record("48 0005 00000000 00000011", 24)
        + bytes.fromhex("74776f2073657276657273206b6e6f776e")
    )


def test_the_example_list() -> None:
    adapter, balancer = recorded()
    tail = bytes.fromhex(
        "0000010000 0a124a07 2bc3 0000000000000000 3f800000".replace(" ", "")
        + "0000010000 0a9011f2 2bec 000000016b969d00 3fc00000".replace(" ", "")
    )
    adapter.answer(
        frame([record("08 0000 00000000 00000002", 48), record("0b 0003 00000029 04 0000", 48)], tail)
    )
    assert balancer.seen[-1][1] == ListUpdate(
        ListKind.CACHED,
        (
            ServerEntry(SERVER, State.READY, 0, 0, 0, 0, 1.0),
            ServerEntry(0x0A9011F2 << 16 | 0x2BEC, State.READY, 0, 0, 0, 0x16B969D00, 1.5),
        ),
    )


def test_the_example_reply_event_and_the_other_events() -> None:
    adapter, balancer = recorded()
    adapter.answer(
        frame(
            [
                record("01 0003 5d3a91c4 0000 0a124a07 2bc3 00 00000000011a49a0 01 00", 48),
                record("01 0003 5d3a91c4 0002 0a124a07 2bc3 0d 00000000011a49a0 00 02 3f800000 40000000", 48),
                record("09 0003 5d3a91c4 0001 00000000011a49a0 0a124a07 2bc3", 48),
                record("0a 0003 0a124a07 2bc3 0e 00000000011a49a0 01 3f000000", 48),
                record("05 0003 0004 00000000 00000002", 48),
                record("0b 0003 00000029 00 0000", 48),
            ],
            b"hi",
        )
    )
    assert [event for _, event in balancer.seen] == [
        AttemptEnded(0x5D3A91C4, 0, SERVER, Status.OK, 18_500_000, True),
        AttemptEnded(0x5D3A91C4, 2, SERVER, Status.ERROR, 18_500_000, False, (1.0, 2.0)),
        StreamStarted(0x5D3A91C4, 1, SERVER, 18_500_000),
        ProbeEnded(SERVER, Status.CONNECT_FAILED, 18_500_000, (0.5,)),
        PeerMessage(4, b"hi"),
        ListUpdate(ListKind.FAILED),
    ]


def test_the_other_actions() -> None:
    adapter, balancer = recorded()
    balancer.replies = [Refuse(9, 5), Fail(9), Cancel(9, 2), Subscribe()]
    reply = adapter.answer(frame([record("02 0003 00", 48)]))
    assert reply[12:] == (
        record("41 0003 00000009 0000000000000005", 24)
        + record("46 0003 00000009", 24)
        + record("4c 0003 00000009 0002", 24)
        + record("42 0003 01", 24)
    )


def test_the_actions_that_no_decision_takes_yet() -> None:
    adapter, balancer = recorded()
    balancer.replies = [Refresh(), Probe(SERVER), HangUp(SERVER), Tell(b"hi"), Tell(b"you", 2)]
    reply = adapter.answer(frame([record("02 0003 00", 48)]))
    assert reply[12:] == (
        record("49 0003", 24)
        + record("44 0003 0a124a07 2bc3", 24)
        + record("4a 0003 0a124a07 2bc3", 24)
        + record("45 0003 ffff 00000000 00000002", 24)
        + record("45 0003 0002 00000002 00000003", 24)
        + b"hiyou"
    )


def test_an_exception_in_the_balancer_is_reported() -> None:
    class Failing(Balancer):
        def handle(self, now: int, event: Event) -> list[Action]:
            raise IndexError("out of range")

    adapter = benchlink.Adapter(Failing)
    adapter.answer(frame([up()], SETTINGS))
    reply = adapter.answer(frame([record("02 0003 00", 48)]))
    text = b"IndexError: out of range"
    assert reply[12:] == record(f"47 0003 00000000 {len(text):08x}", 24) + text


def test_placement_budget_and_prices_are_read() -> None:
    read = read_settings(
        json.dumps(
            {
                "classes": [CLASS | {"flavorsAllowed": [2], "confinedTo": [0, 1], "aimStretch": 1.5}, CLASS],
                "rules": {"budgetShare": 0.2, "freeResends": 5.0, "resendSpanNs": 2 * 10**9},
                "objectiveMix": {"whole": 0.5, "nines": 0.2, "topNines": 4, "tail": 0.1, "tailMiss": 0.02},
                "deductions": {"waste": 0.15, "lateFail": 0.05, "registryMode": 0.01},
                "weights": "rough",
                "familyInfo": {"passesDeadline": False},
                "report": {"via": "on_probe", "columns": ["utilization"]},
                "policyLimits": {"connectTimeoutNs": 7, "idleCloseNs": 8, "streamsPerConn": 9},
            }
        ).encode()
    )
    bound, free = read.classes
    assert (bound.kinds, bound.zones, bound.aim_stretch) == ((2,), (0, 1), 1.5)
    assert (free.kinds, free.zones, free.aim_stretch) == (None, None, 0.0)
    assert (read.budget_share, read.budget_free, read.budget_window) == (0.2, 5.0, 2 * 10**9)
    assert read_settings(SETTINGS).budget_share is None
    assert (read.objective.nines, read.objective.top_nines, read.objective.tail_miss) == (0.2, 4, 0.02)
    assert (read.prices.waste, read.prices.late_fail, read.prices.discovery) == (0.15, 0.05, 0.01)
    assert (read.connect_timeout, read.idle_close, read.streams) == (7, 8, 9)
    assert (read.weights, read.passes_deadline, read.report_columns) == ("rough", False, ("utilization",))


@pytest.mark.parametrize(
    ("extra", "message"),
    [
        ({"rules": {"budgetShare": "much"}}, "rules.budgetShare is not a number"),
        ({"rules": {"budgetShare": -1}}, "budget_share must be finite and not below 0"),
        ({"rules": {"resendSpanNs": 0}}, "budget_window"),
        ({"rules": []}, None),
        ({"rules": [1]}, "rules is not an object"),
        (
            {"classes": [CLASS | {"flavorsAllowed": 3}]},
            "classes[0].flavorsAllowed is not a list of positions",
        ),
        ({"classes": [CLASS | {"worth": -1}]}, "worth must be finite and not below 0"),
        ({"classes": [CLASS | {"objectiveNs": float("nan")}]}, "objectiveNs is not a number in range"),
        ({"policyLimits": {"mayCancel": "yes"}}, "mayCancel is not true or false"),
        ({"report": {"columns": 4}}, "report.columns is not a list"),
    ],
)
def test_settings_of_the_wrong_type_or_range_are_named(extra: dict[str, object], message: str | None) -> None:
    text = json.dumps({"classes": [CLASS], **extra}).encode()
    if message is None:
        read_settings(text)
        return
    with pytest.raises(SettingsError) as caught:
        read_settings(text)
    assert message in str(caught.value)


def test_a_killed_instance_starts_empty_and_its_batch_holds_no_action_of_the_dead_one() -> None:
    adapter, balancer = recorded()
    balancer.replies = [Fail(9)]
    reply = adapter.answer(frame([record("02 0003 00", 48), record("07 0003", 48), up()], SETTINGS))
    assert len(reply) == 12
    assert adapter.balancers[3] is not balancer


def test_settings_are_read_with_defaults_and_unknown_keys_skipped() -> None:
    settings = read_settings(SETTINGS)
    assert settings.classes[0].effect is Effect.SAFE
    assert settings.max_attempts == 1
    full = read_settings(
        json.dumps(
            {
                "classes": [CLASS | {"effect": "by_key", "group": "cell", "windowNs": 5, "worth": 2.5}],
                "customers": [{"name": "a", "allowancePerS": 3.5}],
                "registryMode": "ask",
                "siblings": 4,
                "policyLimits": {"sendCap": 5, "mayDuplicate": False},
                "deductions": {"crossZone": 0.03},
                "rules": {"coldFrom": 0.2, "coldNs": 7, "overloadFactor": 2.5, "mustAskInNs": 9},
            }
        ).encode()
    )
    assert (full.classes[0].group, full.classes[0].window, full.tenants[0].allowance) == (Group.CELL, 5, 3.5)
    assert (full.ask_for_list, full.siblings, full.max_attempts, full.may_duplicate) == (True, 4, 5, False)
    assert (full.cold_share, full.cold_time, full.cold_multiple, full.ask_within) == (0.2, 7, 2.5, 9)
    assert full.prices.cross_zone == 0.03


BAD = {
    "cut in the header": (b"\0\0\0\x14\0\0", "input ends after 6 of 20 bytes of a header"),
    "cut in the frame": (frame([up()], SETTINGS)[:40], "input ends after 20 of"),
    "nothing after the header": (frame([up()], SETTINGS)[:20], "input ends after a header"),
    "length below a header": (struct.pack(">IIQI", 3, 0, 0, 1), "a frame cannot have 3 bytes"),
    "too many records": (struct.pack(">IIQI", 20, 9, 0, 1), "9 records do not fit a frame of 20 bytes"),
    "unknown event": (frame([record("63 0003", 48)]), "record 0: unknown event code 99"),
    "offset outside the tail": (frame([up(offset=50)], SETTINGS), "point outside the tail"),
    "settings no JSON": (frame([up(3, b"{,")], b"{,"), "settings: not JSON"),
    "settings no object": (frame([up(3, b"[]")], b"[]"), "settings: not an object"),
    "no class": (frame([up(3, b"{}")], b"{}"), "settings: no request class"),
    "no aim": (frame([up(3, b'{"classes":[{}]}')], b'{"classes":[{}]}'), "classes[0].objectiveNs is missing"),
    "no such instance": (frame([record("02 0009 00", 48)]), "event for instance 9, which is not up"),
    "no such list": (
        frame([up(), record("0b 0003 00000029 04 0000", 48)], SETTINGS),
        "list 0 was never given",
    ),
    "list number too high": (
        frame([record("08 0010 00000000 00000000", 48)]),
        "list number 16 is not below 16",
    ),
    "settings too deep": (frame([up(3, b"[" * 99999)], b"[" * 99999), "settings: not JSON"),
    "unknown outcome": (
        frame([up(), record("01 0003 5d3a91c4 0000 0a124a07 2bc3 63", 48)], SETTINGS),
        "unknown outcome 99",
    ),
    "no such class": (frame([up(), record("06 0003 5d3a91c4 09", 48)], SETTINGS), "class 9 is not in"),
}


@pytest.mark.parametrize("name", BAD)
def test_bad_input_gives_one_plain_line(
    name: str, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    data, message = BAD[name]
    out = io.BytesIO()
    monkeypatch.setattr(sys, "stdin", io.TextIOWrapper(io.BytesIO(data)))
    monkeypatch.setattr(sys, "stdout", io.TextIOWrapper(out))
    assert benchlink.main() != 0
    error = capsys.readouterr().err
    assert message in error
    assert error.count("\n") == 1
    assert out.getvalue() == b""


def test_the_process_answers_and_ends_with_its_input() -> None:
    run = subprocess.run(
        [sys.executable, "-m", "minthitch.benchlink"],
        input=frame([up()], SETTINGS),
        capture_output=True,
        timeout=60,
    )
    assert (run.returncode, run.stderr, len(run.stdout)) == (0, b"", 12)


def test_instances_act_alike_in_one_process_and_in_two() -> None:
    entry = benchlink.ENTRY
    servers = b"".join(entry.pack(0, 0, 1, 0, i, 80, 0, 1.0) for i in range(6))
    start = [struct.pack(">BHII37x", 8, 0, len(SETTINGS), 6)]

    def opening(insts: list[int]) -> bytes:
        return frame(
            start + [r for i in insts for r in (up(i), record(f"0b {i:04x} 00000001 04 0000", 48))],
            SETTINGS + servers,
        )

    def traffic(insts: list[int], step: int) -> bytes:
        now = 10**9 * step
        arrival = struct.Struct(">BHIBIQQQH10x")
        return frame([arrival.pack(6, i, step, 0, 0, 0, now + 3 * 10**9, 0, 0) for i in insts], now=now)

    def actions(insts: list[int]) -> dict[int, list[bytes]]:
        adapter = benchlink.Adapter()
        found: dict[int, list[bytes]] = {i: [] for i in insts}
        for batch in [opening(insts)] + [traffic(insts, step) for step in range(1, 20)]:
            reply = adapter.answer(batch)
            for at in range(12, len(reply), 24):
                found[int.from_bytes(reply[at + 1 : at + 3], "big")].append(reply[at : at + 24])
        return found

    together = actions([1, 2])
    assert together == actions([1]) | actions([2])
    assert len(together[1]) > 20
