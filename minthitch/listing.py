"""The list of servers as values: read whole or not at all. No I/O."""

from __future__ import annotations

import ipaddress
import json
import math
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

STATES = ("up", "draining", "removed")


class ListError(Exception):
    """A list, or a call for it, that can't be used; the text says why."""


@dataclass(frozen=True, slots=True)
class Host:
    """One server as a list names it. `weight` is a share, `born_ms` Unix time in ms, 0 for long ago."""

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


def parse_address(text: object) -> tuple[str, int]:
    """`address:port` with an IP address. Raises ListError."""
    if not isinstance(text, str):
        raise ListError("an address is no text")
    host, colon, port = text.rpartition(":")
    if not colon or not host or not port.isdecimal() or not 0 < int(port) < 65536:
        raise ListError(f"bad address {text[:60]!r}")
    try:  # danger: a name would be looked up, and there is no DNS
        return str(ipaddress.ip_address(host.strip("[]"))), int(port)
    except ValueError:
        raise ListError(f"bad address {text[:60]!r}") from None


def static_listing(addresses: Iterable[str]) -> Listing:
    """A whole list from addresses alone; each names its server. Raises ListError."""
    hosts = []
    for text in addresses:
        address, port = parse_address(text)
        hosts.append(Host(text, address, port))
    if len({host.name for host in hosts}) != len(hosts):
        raise ListError("an address is given twice")
    return Listing(1, True, tuple(hosts))


def _whole(row: dict[str, Any], name: str, default: int | None) -> int:
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
    return Host(row["host"], address, port, str(row.get("site", "")), str(row.get("class", "")),
                _whole(row, "block", 0), state, float(weight), _whole(row, "born_ms", 0))


def parse_listing(value: object) -> Listing:
    """A list or a change of it, from decoded JSON. It is taken whole or not at all. Raises ListError."""
    if not isinstance(value, dict) or not isinstance(value.get("hosts"), list):
        raise ListError("no list of hosts")
    return Listing(_whole(value, "seq", None), value.get("whole") is True,
                   tuple(_host(row) for row in value["hosts"]))


def decode(text: bytes) -> Listing:
    """The same from JSON. Raises ListError."""
    try:
        return parse_listing(json.loads(text))
    except (ValueError, RecursionError) as err:
        raise ListError(f"not JSON ({err})") from None
