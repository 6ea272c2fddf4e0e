"""Which idle connection is closed when there are too many; decided without sockets."""

from __future__ import annotations

from dataclasses import dataclass

import pytest

from minthitch.net.eviction import FIRST_REQUEST_GRACE_S, REUSE_GRACE_S, select_victim


@dataclass
class Idle:
    name: str
    since: float


@pytest.mark.parametrize(
    ("never", "once", "often", "expected"),
    [
        ([], [], [], None),
        # A connection that has been silent for long goes first.
        ([FIRST_REQUEST_GRACE_S + 0.1, 0.0], [9.0], [9.0], "never0"),
        # The first request of a new client may be on the way.
        ([FIRST_REQUEST_GRACE_S - 0.1, 0.0], [REUSE_GRACE_S + 0.1, 0.0], [9.0], "once0"),
        # So may the next request of a client that has just been answered.
        ([FIRST_REQUEST_GRACE_S - 0.1, 0.0], [REUSE_GRACE_S - 0.1, 0.0], [9.0], "never0"),
        ([FIRST_REQUEST_GRACE_S - 0.1, 0.0], [], [9.0], "never0"),  # before regular clients
        ([], [], [0.2, 0.1], "often0"),
    ],
)
def test_the_victim_depends_on_requests_answered_and_idle_time(
    never: list[float], once: list[float], often: list[float], expected: str | None
) -> None:
    now = 100.0
    groups = {
        name: [Idle(f"{name}{i}", now - idle) for i, idle in enumerate(ages)]
        for name, ages in (("never", never), ("once", once), ("often", often))
    }
    chosen = select_victim(groups["never"], groups["once"], groups["often"], now)
    assert (chosen and chosen.name) == expected


def test_a_new_client_is_not_closed_before_its_request_arrives() -> None:
    once = [Idle(f"o{i}", -REUSE_GRACE_S) for i in range(50)]
    never: list[Idle] = []
    for step in range(40):  # each new client connects before the previous one's request has arrived
        now = 1.0 + step * 0.003
        gone = select_victim(never, once, [], now)
        assert gone is not None and gone.name.startswith("o")
        once.remove(gone)
        never.append(Idle(f"n{step}", now))
    assert len(never) == 40
