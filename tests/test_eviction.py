"""Which connection goes in a crowd: decided without sockets."""

from __future__ import annotations

from dataclasses import dataclass

import pytest

from minthitch.net.eviction import FIRST_REQUEST_GRACE_S, REUSE_GRACE_S, select_victim


@dataclass
class Idle:
    name: str
    since: float


@pytest.mark.parametrize(
    ("never", "once", "often", "goes"),
    [
        ([], [], [], None),
        (
            [FIRST_REQUEST_GRACE_S + 0.1, 0.0],
            [9.0],
            [9.0],
            "never0",
        ),  # silent for long: whatever else there is
        (
            [FIRST_REQUEST_GRACE_S - 0.1, 0.0],
            [REUSE_GRACE_S + 0.1, 0.0],
            [9.0],
            "once0",
        ),  # a new client's request is on its way
        (
            [FIRST_REQUEST_GRACE_S - 0.1, 0.0],
            [REUSE_GRACE_S - 0.1, 0.0],
            [9.0],
            "never0",
        ),  # and so may the next of one in use be
        ([FIRST_REQUEST_GRACE_S - 0.1, 0.0], [], [9.0], "never0"),  # rather than the usual clients
        ([], [], [0.2, 0.1], "often0"),
    ],
)
def test_who_goes_by_what_it_asked_and_for_how_long_it_has_been_idle(
    never: list[float], once: list[float], often: list[float], goes: str | None
) -> None:
    now = 100.0
    groups = {
        name: [Idle(f"{name}{i}", now - idle) for i, idle in enumerate(ages)]
        for name, ages in (("never", never), ("once", once), ("often", often))
    }
    chosen = select_victim(groups["never"], groups["once"], groups["often"], now)
    assert (chosen and chosen.name) == goes


def test_in_a_crowd_that_stays_a_new_client_is_heard() -> None:
    once = [Idle(f"o{i}", -REUSE_GRACE_S) for i in range(50)]
    never: list[Idle] = []
    for step in range(40):  # each new one comes before the last one's request has
        now = 1.0 + step * 0.003
        gone = select_victim(never, once, [], now)
        assert gone is not None and gone.name.startswith("o")
        once.remove(gone)
        never.append(Idle(f"n{step}", now))
    assert len(never) == 40
