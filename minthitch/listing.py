"""Server lists as values, and their parsing. Invalid entries are left out and reported. No I/O."""

from __future__ import annotations

import ipaddress
import json
import math
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

STATES = ("up", "draining", "removed")


class ListError(Exception):
    """An invalid list, or a failed request for one; the text says why."""


@dataclass(frozen=True, slots=True)
class Host:
    """One entry of a list. `weight` is a share; `born_ms` is the start in Unix ms, 0 for long ago."""

    name: str
    address: str
    port: int
    zone: str = ""
    kind: str = ""
    cell: int = 0
    state: str = "up"
    weight: float = 1.0
    born_ms: int = 0


@dataclass(frozen=True, slots=True)
class Listing:
    seq: int
    whole: bool
    hosts: tuple[Host, ...]
    invalid: tuple[tuple[str, str], ...] = ()  # entries left out: host name or "", and reason


def parse_address(text: object) -> tuple[str, int]:
    """Parses `address:port` with an IP address. Raises ListError."""
    if not isinstance(text, str):
        raise ListError("an address is no text")
    host, colon, port = text.rpartition(":")
    if not colon or not host or not port.isdecimal() or not 0 < int(port) < 65536:
        raise ListError(f"bad address {text[:60]!r}")
    try:  # IP only: a host name would need DNS, which is not available
        return str(ipaddress.ip_address(host.strip("[]"))), int(port)
    except ValueError:
        raise ListError(f"bad address {text[:60]!r}") from None


def static_listing(addresses: Iterable[str]) -> Listing:
    """Returns a full list from addresses; each address is also the server's name. Raises ListError."""
    hosts = []
    for text in addresses:
        address, port = parse_address(text)
        hosts.append(Host(text, address, port))
    if len({host.name for host in hosts}) != len(hosts):
        raise ListError("an address is given twice")
    return Listing(1, True, tuple(hosts))


def _whole_number(row: dict[str, Any], name: str, default: int | None) -> int:
    value = row.get(name, default)
    if isinstance(value, bool) or not isinstance(value, int) or value < 0:
        raise ListError(f"{name} is not a whole number")
    return value


def _host(row: object) -> Host:
    if not isinstance(row, dict) or not isinstance(row.get("host"), str):
        raise ListError("an entry names no host")
    state, weight = row.get("health", "up"), row.get("share", 1.0)
    if state not in STATES:
        raise ListError(f"health {state!r} is unknown")
    if isinstance(weight, bool) or not isinstance(weight, (int, float)) or not 0 <= weight < math.inf:
        raise ListError("share is not a number")
    address, port = ("", 0) if state == "removed" else parse_address(row.get("dial"))
    return Host(
        row["host"],
        address,
        port,
        str(row.get("site", "")),
        str(row.get("class", "")),
        _whole_number(row, "block", 0),
        state,
        float(weight),
        _whole_number(row, "born_ms", 0),
    )


def _as_removed(row: object) -> Host | None:
    """Returns an invalid entry as a removal if it says that its server drains or is removed, else None.

    Otherwise that server would get requests past its grace.
    """
    if isinstance(row, dict) and isinstance(row.get("host"), str) and row.get("health") in STATES[1:]:
        return Host(row["host"], "", 0, state="removed")
    return None


def parse_listing(value: object) -> Listing:
    """Parses a list or a change from decoded JSON, each entry separately. Raises ListError."""
    if not isinstance(value, dict) or not isinstance(value.get("hosts"), list):
        raise ListError("no list of hosts")
    hosts, invalid = list[Host](), list[tuple[str, str]]()
    for row in value["hosts"]:
        try:
            hosts.append(_host(row))
        except ListError as err:
            name = row.get("host") if isinstance(row, dict) else None
            invalid.append((name if isinstance(name, str) else "", str(err)))
            if (removal := _as_removed(row)) is not None:
                hosts.append(removal)
    if invalid and not hosts:
        raise ListError(f"no entry can be used ({invalid[0][1]})")
    return Listing(
        _whole_number(value, "seq", None), value.get("whole") is True, tuple(hosts), tuple(invalid)
    )


def decode(text: bytes) -> Listing:
    """Parses a list or a change from JSON. Raises ListError."""
    try:
        return parse_listing(json.loads(text))
    except (ValueError, RecursionError) as err:
        raise ListError(f"not JSON ({err})") from None
