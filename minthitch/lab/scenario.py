"""A scenario: what is there, who asks, what happens. Read by msgspec from TOML; no I/O but the file's.

Every key that is not known and every value out of range is one line with the key and the value.
"""

from __future__ import annotations

import os
import re
import tomllib
from collections.abc import Mapping, Sequence
from dataclasses import replace
from pathlib import Path
from typing import Any

import msgspec

from minthitch import interface as api
from minthitch import operatorfile
from minthitch.config import ConfigError
from minthitch.lab.streams import KINDS

LIBRARY = Path(__file__).parent / "scenarios"
MOST_SERVERS, MOST_NODES, MOST_CLIENTS, MOST_SECONDS = 20_000, 2_000, 1_000_000, 86_400
MOST_TIERS = 8
DEEDS = (
    "silence",
    "crash",
    "restart",
    "drain",
    "slow",
    "errors",
    "join",
    "nodes-die",
    "stale-list",
    "silent-list",
    "partition",
    "nodes-turn",
    "power-lost",
)
PATH = re.compile(r" - at `\$(.*?)`")
UNKNOWN = re.compile(r"unknown field `(.*?)`")


class Share(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """A class's part of the crowd's requests, beside what `classes` says of it."""

    name: str
    share: float = 1.0
    work: float = 1.0  # of a request, as a multiple of the tier's


class Load(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Who asks. `open`: arrivals by a rate that waits for nobody; `closed`: clients that think, then ask."""

    rate: float = 100.0  # arrivals a second (open)
    loop: str = "open"
    clients: int = 1_000
    think: str = "10s"  # mean, exponential (closed)
    profile: tuple[tuple[float, float], ...] = ()  # (second, multiple of the rate), straight lines between
    mix: tuple[Share, ...] = ()  # empty: every class alike
    tries: int = 3  # of one client for one thing
    heed: float = 1.0  # part of the clients that follow Retry-After
    backoff: str = "200ms"  # mean pause of those that do not, and behind a failure
    sessions: bool = False  # requests carry their client's session key


class Cold(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """What a server that has just started can do, and when it falls over."""

    share: float = 1.0
    time: str = "0s"
    multiple: float = 3.0
    window: str = "2s"
    restart: str = "5s"  # one that fell over is back after this


class Choke(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """When a server that holds too many calls turns slow, and when it recovers."""

    at: float = 0.0  # calls held on average, running or waiting, beyond which it does; 0 = never
    over: str = "2s"  # the time of that average
    slower: float = 2.5  # its speed is divided by this
    below: float = 0.3  # part of its cores at work, on average over `rest`, under which it recovers
    rest: str = "3s"
    most: str = "25s"  # and after this in any case


class Tier(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Servers of one kind of work, and the balancers before them."""

    name: str
    servers: int
    nodes: int = 1
    cores: int = 4
    slots: int = 256  # requests held at once, those that wait for the next tier too; more are turned away
    work: str = "20ms"  # CPU of a request
    spread: str = "exponential"
    width: float = 1.0
    cells: int = 1
    zones: int = 1
    kinds: tuple[float, ...] = (1.0,)  # speeds, given by turns
    calls: int = 0  # to the next tier, one after another
    beside: bool = False  # each server of the tier before has a node of its own here; `nodes` is then theirs
    cold: Cold = Cold()
    choke: Choke = Choke()


class Network(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    delay: str = "0.5ms"  # one way
    jitter: str = "0.2ms"  # mean, exponential
    loss: float = 0.0  # of a message; it comes `resend` later, doubled each time
    resend: str = "200ms"


class Discovery(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    delay: str = "200ms"  # until a change reaches a node
    jitter: str = "100ms"


class Front(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """What leads clients to nodes: it goes on to a dead node for a while."""

    notices: str = "2s"
    turns: str = "random"  # or round-robin


class Deed(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Something that happens at a time, for a while."""

    do: str
    at: float
    tier: str = ""  # empty: the first
    count: float = 1.0  # servers or nodes; below 1 a part of them
    last: float = 0.0  # seconds; 0 = to the end
    by: float = 1.0  # `slow`: the factor of speed; `errors`: the part that fails
    zone: int = -1  # `partition`, and any choice of servers: only this zone; -1 = all
    spread: float = 0.0  # seconds over which those that it strikes are struck, evenly


class Scenario(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    about: str
    expect: str
    tiers: tuple[Tier, ...]
    classes: tuple[dict[str, Any], ...]
    seconds: float = 60.0
    settle: float = 10.0  # at the start, not counted
    siblings: int = 0  # what each node is told; 0 = as many as there are
    load: Load = Load()
    network: Network = Network()
    discovery: Discovery = Discovery()
    front: Front = Front()
    limits: dict[str, Any] = {}
    rules: dict[str, Any] = {}
    deeds: tuple[Deed, ...] = ()

    def settings(self) -> api.Settings:
        """For the nodes of the first tier, by the operator file's own reader. Raises ConfigError."""
        cold = self.tiers[0].cold
        rules = {
            "cold_share": cold.share,
            "cold_time": cold.time,
            "cold_multiple": cold.multiple,
            "cold_window": cold.window,
            **self.rules,
        }
        return operatorfile.settings({"classes": list(self.classes), "limits": self.limits, "rules": rules})

    def settings_of(self, number: int, node: int) -> api.Settings:
        """For one node before the tier with this number."""
        tier, base = self.tiers[number], self.settings()
        cold = tier.cold
        return replace(
            base,
            tier=number,
            node=node,
            siblings=self.siblings or tier.nodes,
            zone=node % tier.zones,
            cold_share=cold.share,
            cold_time=span(cold.time),
            cold_multiple=cold.multiple,
            cold_window=span(cold.window),
            zones=tuple(f"z{i}" for i in range(tier.zones)),
            kinds=tuple(f"k{i}" for i in range(len(tier.kinds))),
        )


def span(text: str, where: str = "time") -> int:
    """Ns. Raises ConfigError."""
    return operatorfile.duration(text, where)


# Reading ----------------------------------------------------------------------------------------


def _at(table: Any, path: str) -> Any:
    """The value at msgspec's path, such as `.tiers[0].work`; None where it does not lead anywhere."""
    for name, index in re.findall(r"\.(\w+)|\[(\d+)\]", path):
        try:
            table = table[name] if name else table[int(index)]
        except (KeyError, IndexError, TypeError):
            return None
    return table


def _plain(table: Mapping[str, Any], err: msgspec.ValidationError) -> ConfigError:
    text = str(err)
    path = match[1] if (match := PATH.search(text)) else ""
    what = PATH.sub("", text).strip()
    if unknown := UNKNOWN.search(what):
        path = f"{path}.{unknown[1]}"
        what = "is unknown"
    path = path.replace("[...]", "[0]")
    return ConfigError(f"{path.lstrip('.') or 'the scenario'} = {_at(table, path)!r}: {what}")


def _need(good: bool, where: str, value: object, what: str) -> None:
    if not good:
        raise ConfigError(f"{where} = {value!r} {what}")


def _check_tier(tier: Tier, where: str, last: bool) -> None:
    _need(
        0 < tier.servers <= MOST_SERVERS, f"{where}.servers", tier.servers, f"is not from 1 to {MOST_SERVERS}"
    )
    _need(0 < tier.nodes <= MOST_NODES, f"{where}.nodes", tier.nodes, f"is not from 1 to {MOST_NODES}")
    for name in ("cores", "slots", "cells", "zones"):
        _need(getattr(tier, name) > 0, f"{where}.{name}", getattr(tier, name), "is not above 0")
    _need(span(tier.work, f"{where}.work") > 0, f"{where}.work", tier.work, "is not above 0")
    _need(tier.spread in KINDS, f"{where}.spread", tier.spread, f"is not one of {', '.join(KINDS)}")
    _need(tier.spread != "pareto" or tier.width > 1, f"{where}.width", tier.width, "is not above 1 (pareto)")
    _need(bool(tier.kinds) and min(tier.kinds) > 0, f"{where}.kinds", tier.kinds, "are no speeds above 0")
    _need(not (last and tier.calls), f"{where}.calls", tier.calls, "lead to no tier: it is the last")
    _need(0 <= tier.calls <= 16, f"{where}.calls", tier.calls, "is not from 0 to 16")
    cold = tier.cold
    _need(0 < cold.share <= 1, f"{where}.cold.share", cold.share, "is not above 0 and up to 1")
    _need(cold.multiple > 0, f"{where}.cold.multiple", cold.multiple, "is not above 0")
    for name in ("time", "window", "restart"):
        span(getattr(cold, name), f"{where}.cold.{name}")
    _check_choke(tier.choke, f"{where}.choke")


def _check_choke(choke: Choke, where: str) -> None:
    _need(choke.at >= 0, f"{where}.at", choke.at, "is below 0")
    _need(choke.slower >= 1, f"{where}.slower", choke.slower, "is below 1")
    _need(0 < choke.below <= 1, f"{where}.below", choke.below, "is not above 0 and up to 1")
    for name in ("over", "rest", "most"):
        text = getattr(choke, name)
        _need(span(text, f"{where}.{name}") > 0, f"{where}.{name}", text, "is not above 0")


def _check_load(load: Load, names: Sequence[str]) -> None:
    _need(0 < load.rate < 1e6, "load.rate", load.rate, "is not above 0")
    _need(load.loop in ("open", "closed"), "load.loop", load.loop, "is neither open nor closed")
    _need(0 < load.clients <= MOST_CLIENTS, "load.clients", load.clients, f"is not from 1 to {MOST_CLIENTS}")
    _need(span(load.think, "load.think") > 0, "load.think", load.think, "is not above 0")
    _need(span(load.backoff, "load.backoff") > 0, "load.backoff", load.backoff, "is not above 0")
    _need(1 <= load.tries <= 100, "load.tries", load.tries, "is not from 1 to 100")
    _need(0 <= load.heed <= 1, "load.heed", load.heed, "is not from 0 to 1")
    for i, share in enumerate(load.mix):
        _need(share.name in names, f"load.mix[{i}].name", share.name, f"is no class of {', '.join(names)}")
        _need(share.share > 0, f"load.mix[{i}].share", share.share, "is not above 0")
        _need(share.work > 0, f"load.mix[{i}].work", share.work, "is not above 0")
    times = [point[0] for point in load.profile]
    _need(times == sorted(times), "load.profile", load.profile, "is not in the order of its times")
    _need(all(point[1] >= 0 for point in load.profile), "load.profile", load.profile, "goes below 0")


def _check_deed(deed: Deed, where: str, scenario: Scenario) -> None:
    tiers = [tier.name for tier in scenario.tiers]
    _need(deed.do in DEEDS, f"{where}.do", deed.do, f"is not one of {', '.join(DEEDS)}")
    _need(not deed.tier or deed.tier in tiers, f"{where}.tier", deed.tier, f"is none of {', '.join(tiers)}")
    _need(0 <= deed.at <= scenario.seconds, f"{where}.at", deed.at, f"is not within {scenario.seconds} s")
    _need(deed.last >= 0, f"{where}.last", deed.last, "is below 0")
    _need(deed.count > 0, f"{where}.count", deed.count, "is not above 0")
    _need(deed.by >= 0 and (deed.do != "slow" or deed.by > 0), f"{where}.by", deed.by, "is out of range")
    _need(deed.do != "errors" or deed.by <= 1, f"{where}.by", deed.by, "is above 1")


def check(scenario: Scenario) -> Scenario:
    """The scenario, if it can be played. Raises ConfigError."""
    _need(0 < scenario.seconds <= MOST_SECONDS, "seconds", scenario.seconds, f"is not up to {MOST_SECONDS}")
    _need(0 <= scenario.settle < scenario.seconds, "settle", scenario.settle, "is not below `seconds`")
    _need(0 < len(scenario.tiers) <= MOST_TIERS, "tiers", len(scenario.tiers), f"are not 1 to {MOST_TIERS}")
    names = [tier.name for tier in scenario.tiers]
    _need(len(set(names)) == len(names), "tiers", names, "name one tier twice: a loop would never end")
    for i, tier in enumerate(scenario.tiers):
        _check_tier(tier, f"tiers[{i}]", i + 1 == len(scenario.tiers))
    for above, tier in zip((None, *scenario.tiers), scenario.tiers, strict=False):
        _need(
            not tier.beside or (above is not None and above.calls > 0 and above.servers == tier.nodes),
            f"tier {tier.name}.nodes",
            tier.nodes,
            "is not the number of the servers that call it",
        )
    settings = scenario.settings()
    _check_load(scenario.load, [spec.name for spec in settings.classes])
    network = scenario.network
    _need(0 <= network.loss < 1, "network.loss", network.loss, "is not from 0 to below 1")
    for where, text in (
        ("network.delay", network.delay),
        ("network.jitter", network.jitter),
        ("network.resend", network.resend),
        ("discovery.delay", scenario.discovery.delay),
        ("discovery.jitter", scenario.discovery.jitter),
        ("front.notices", scenario.front.notices),
    ):
        span(text, where)
    turns = scenario.front.turns
    _need(turns in ("random", "round-robin"), "front.turns", turns, "is neither random nor round-robin")
    for i, deed in enumerate(scenario.deeds):
        _check_deed(deed, f"deeds[{i}]", scenario)
    return scenario


def set_key(table: dict[str, Any], text: str) -> None:
    """`load.rate=200` or `tiers.0.servers=40` into a decoded file. Raises ConfigError."""
    key, equals, word = text.partition("=")
    if not equals:
        raise ConfigError(f"--set {text!r} is not key=value")
    try:
        value = tomllib.loads(f"value = {word}")["value"]
    except tomllib.TOMLDecodeError:
        value = word
    *way, last = key.split(".")
    place: Any = table
    try:
        for name in way:
            place = place[int(name)] if isinstance(place, list) else place.setdefault(name, {})
        place[int(last) if isinstance(place, list) else last] = value
    except (LookupError, ValueError, TypeError, AttributeError):
        raise ConfigError(f"--set {key} = {word!r}: there is no such place") from None


def from_table(table: Mapping[str, Any]) -> Scenario:
    """A scenario from its decoded file. Raises ConfigError."""
    try:
        return check(msgspec.convert(table, Scenario, strict=True))
    except msgspec.ValidationError as err:
        raise _plain(table, err) from None


def find(name: str | os.PathLike[str]) -> Path:
    """A file's path, or the name of one of the library's."""
    path = Path(name)
    return path if path.suffix == ".toml" else LIBRARY / f"{path}.toml"


def read_table(name: str | os.PathLike[str]) -> dict[str, Any]:
    """A scenario's file, decoded only. Raises ConfigError."""
    try:
        return tomllib.loads(find(name).read_text(encoding="utf-8"))
    except FileNotFoundError:
        raise ConfigError(f"{name}: no such scenario; there are {', '.join(library())}") from None
    except (OSError, ValueError) as err:
        raise ConfigError(f"{name}: {err}") from None


def read(name: str | os.PathLike[str], changes: Sequence[str] = ()) -> Scenario:
    """A scenario by its file or its name in the library, with `--set` changes. Raises ConfigError."""
    table = read_table(name)
    for change in changes:
        set_key(table, change)
    return from_table(table)


def library() -> list[str]:
    return sorted(path.stem for path in LIBRARY.glob("*.toml"))
