"""Server lists with invalid entries: only these are left out, and the rest is used."""

from __future__ import annotations

from typing import Any

import pytest

from minthitch.engine.servers import ServerTable
from minthitch.interface import SECOND, ListKind, ListUpdate, ServerEntry, State
from minthitch.listing import ListError, Listing, parse_listing
from minthitch.policy import Balancer
from tests.rules import settings

GOOD = ({"host": "a", "dial": "127.0.0.1:1"}, {"host": "b", "dial": "127.0.0.1:2"})


def listing(*rows: Any, seq: int = 1, whole: bool = True) -> Listing:
    return parse_listing({"seq": seq, "whole": whole, "hosts": list(rows)})


def applied(fleet: ServerTable, told: Listing) -> tuple[ServerEntry, ...]:
    return fleet.apply(told, ListKind.FULL if told.whole else ListKind.CHANGES, SECOND, 0)[0]


@pytest.mark.parametrize(
    ("row", "name", "why"),
    [
        (7, "", "an entry names no host"),
        ({"dial": "127.0.0.1:3"}, "", "an entry names no host"),
        ({"host": "c"}, "c", "an address is no text"),
        ({"host": "c", "dial": "box:3"}, "c", "bad address 'box:3'"),
        ({"host": "c", "dial": "127.0.0.1:3", "health": "well"}, "c", "health 'well' is unknown"),
        ({"host": "c", "dial": "127.0.0.1:3", "share": "much"}, "c", "share is not a number"),
        ({"host": "c", "dial": "127.0.0.1:3", "born_ms": -1}, "c", "born_ms is not a whole number"),
    ],
)
def test_an_odd_entry_is_left_out_and_the_rest_is_used(row: Any, name: str, why: str) -> None:
    told = listing(GOOD[0], row, GOOD[1])
    assert [host.name for host in told.hosts] == ["a", "b"]
    assert told.invalid == ((name, why),)


def test_an_odd_entry_does_not_withdraw_a_server_that_was_named_before() -> None:
    fleet = ServerTable(settings())
    balancer = Balancer(settings(), 1)
    balancer.handle(SECOND, ListUpdate(ListKind.FULL, applied(fleet, listing(*GOOD))))
    entries = applied(fleet, listing(GOOD[0], {"host": "b", "dial": "nowhere"}, seq=2))
    balancer.handle(SECOND, ListUpdate(ListKind.FULL, entries))
    assert set(balancer.servers) == {fleet.by_name[name].number for name in "ab"}
    assert set(fleet.by_name) == {"a", "b"} and fleet.by_name["b"].is_usable


@pytest.mark.parametrize("health", ["draining", "removed"])
def test_a_server_that_is_withdrawn_by_an_odd_entry_gets_nothing_more(health: str) -> None:
    fleet = ServerTable(settings())
    applied(fleet, listing(*GOOD))
    row = {"host": "b", "dial": "nowhere", "health": health, "block": "none"}
    entries = applied(fleet, listing(GOOD[0], row, seq=2))
    assert [entry.state for entry in entries] == [State.READY, State.GONE]
    assert set(fleet.by_name) == {"a"}


def test_a_list_of_odd_entries_only_is_no_list() -> None:
    """Treated as an empty list, it would remove every server."""
    with pytest.raises(ListError, match="no entry can be used"):
        listing({"host": "a"}, 7)


def test_an_empty_list_is_a_list() -> None:
    assert listing() == Listing(1, True, ())
