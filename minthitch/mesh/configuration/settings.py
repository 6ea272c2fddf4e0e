"""The settings of a process: the file named by the variable MINTHITCH_BOOT.

Its lines (`a.b.c=value`, commas between the items of a list) are read here and typed by msgspec. No
library reads them, for weight: a bare process took 8.5 MB resident, with javaproperties 20, with
python-dotenv 13.2, and every process of the mesh pays for its memory all day.
"""

from __future__ import annotations

from math import isfinite
from os import environ

from msgspec import Struct, ValidationError, convert, field

PATH_VARIABLE = "MINTHITCH_BOOT"  # of the environment: the path of the file
ZONES = "Net.Azs."  # a zone's name follows, which may have dots in it
BOUNDS = "Terms.Bnd"
SWITCHES = frozenset({"true", "false"})  # in place of a bound: it says nothing of the figure
TABLES = ("Self", "Self.Limits", "Net", "Net.Bind", "Infra", "Terms", "Terms.Tolerate", BOUNDS)
LISTS = frozenset({"Self.Serves", "Net.PortRange", "Net.Seeds", "Terms.Slo"})
MAX_PORT, MAX_OCTET, IP_OCTETS = 65535, 255, 4
MAX_DIGITS = 5  # of a port: longer texts are no numbers of ours


class SettingsError(Exception):
    """The settings can't be used: `key` has `value`, and `reason` states the problem."""

    def __init__(self, key: str, value: str, reason: str) -> None:
        super().__init__(f"{key}={value}: {reason}")
        self.key = key
        self.value = value
        self.reason = reason


class Limits(Struct, frozen=True, rename="pascal"):
    """What the machine gives this process: cores, megabytes, descriptors, megabits a second."""

    cpu: float = 1.0
    ncpu: float = 1.0
    mem_mb: float = 256.0
    nofile: int = 1024
    bw_mbps: float = 1000.0
    disk_mb: float = 0.0  # 0: no disk


class SelfSettings(Struct, frozen=True, rename="pascal"):
    """This process and its machine. An address or name that its class lacks is ""."""

    node: str
    mclass: str
    ip: str
    az: str
    region: str
    role: str = ""
    serves: tuple[str, ...] = ()
    quorum: bool = False
    # A process that takes this for the first start may found a group, so it has to be stated.
    init: bool = False
    datadir: str = ""
    upstream: str = ""
    svc: str = ""
    limits: Limits = Limits()


class Bind(Struct, frozen=True, rename="pascal"):
    """Addresses to listen at, "ip:port"; "" for what this process does not serve."""

    inner: str = field(default="", name="In")
    out: str = ""
    readyz: str = ""
    ctl: str = ""


class Net(Struct, frozen=True, rename="pascal"):
    """Addresses, the ports for the project's own connections (first, last), seeds, regions by zone."""

    port_range: tuple[int, int]
    seeds: tuple[str, ...]
    bind: Bind = Bind()
    azs: dict[str, str] = {}


class Infra(Struct, frozen=True, rename="pascal"):
    """What surrounds the system; `hb_s` is the interval of heartbeats in seconds."""

    sd: str = "static"
    ingress: str = "static"
    hb_s: float = 1.5
    cfgmode: str = "parts"


class Tolerate(Struct, frozen=True, rename="pascal"):
    """How many machines, zones and regions may be lost at the same time."""

    hw: int = 0
    azs: int = 0
    regions: int = 0


class Bounds(Struct, frozen=True, rename="pascal"):
    """The rules' figures, in seconds but for the ratio and the slack (a number of requests).

    A bound is left out, or `true` or `false` in place of a figure, where its part of the rules is not in
    force or has no figure; what stands here is on the safe side.
    """

    seed_lag_s: float = 3.0
    reuse_s: float = 2.0
    contact_s: float = 3.0
    ack_s: float = 4.0
    sync_s: float = 4.0
    drain_s: float = 2.0
    grace_s: float = 6.0
    lost_s: float = 0.2
    apply_s: float = 2.0
    revert_s: float = 0.25
    skew_s: float = 5.0
    retry_ratio: float = 0.1
    retry_win_s: float = 10.0
    retry_slack: float = 0.0
    key_win_s: float = 60.0
    recover_s: float = 15.0


class Terms(Struct, frozen=True, rename="pascal"):
    """The parts of the rules in force, the losses to bear, the figures."""

    slo: tuple[str, ...] = ()
    tolerate: Tolerate = Tolerate()
    bounds: Bounds = field(default=Bounds(), name="Bnd")


class NodeSettings(Struct, frozen=True, rename="pascal"):
    """The settings file."""

    own: SelfSettings = field(name="Self")
    net: Net
    infra: Infra
    terms: Terms


def load_settings() -> NodeSettings:
    """The settings as they stand in the file now.

    Raises:
        SettingsError: no file is named, it can't be opened, or its text can't be used.
    """
    path = environ.get(PATH_VARIABLE, "")
    try:
        with open(path, encoding="utf-8") as file:
            text = file.read()
    except (OSError, ValueError) as err:
        raise SettingsError(PATH_VARIABLE, path, f"can't be read: {err}") from None
    return parse_settings(text)


def parse_settings(text: str) -> NodeSettings:
    """The settings in a file's text; fields that are not known are left aside.

    Raises:
        SettingsError: a field is missing, or its value can't be what it must be.
    """
    found = parse_lines(text)
    try:
        boot = convert(_tree(found), NodeSettings, strict=False)
    except ValidationError as err:
        raise _named(str(err), found) from None
    _check(boot)
    return boot


def parse_lines(text: str) -> dict[str, str]:
    """Each key and its value as they stand in a file's text, known or not.

    Raises:
        SettingsError: a line has no "=".
    """
    found: dict[str, str] = {}
    for line in map(str.strip, text.splitlines()):
        if not line or line.startswith("#"):
            continue
        key, equals, value = line.partition("=")
        if not equals:  # a file caught half written, not a field that is unknown
            raise SettingsError(key, "", "no '=' in the line")
        found[key.strip()] = value.strip()
    return found


def parse_address(text: str) -> tuple[str, int]:
    """The IP number and the port of "ip:port".

    Raises:
        ValueError: it is no such address.
    """
    ip, colon, port = text.rpartition(":")
    if not colon or not _is_ip(ip) or not _is_number(port, MAX_PORT) or int(port) == 0:
        raise ValueError("not an address ip:port")
    return ip, int(port)


def _tree(values: dict[str, str]) -> dict[str, object]:
    tables: dict[str, dict[str, object]] = {name: {} for name in TABLES}
    zones: dict[str, str] = {}
    for key, value in values.items():
        table, _, name = key.rpartition(".")
        if key.startswith(ZONES):
            zones[key[len(ZONES) :]] = value
        elif table == BOUNDS and value.lower() in SWITCHES:
            continue  # a process must not refuse to start because of a rule that it does not use
        elif table in tables:
            tables[table][name] = _items(value) if key in LISTS else value
    for path in TABLES:  # after the fields: a field that bears a table's name does not hide it
        parent, _, name = path.rpartition(".")
        if parent:
            tables[parent][name] = tables[path]
    tables["Net"]["Azs"] = zones
    return {name: tables[name] for name in TABLES if "." not in name}


def _items(value: str) -> list[str]:
    return [item.strip() for item in value.split(",") if item.strip()]


def _named(message: str, values: dict[str, str]) -> SettingsError:
    """The complaint of msgspec ("... - at `$.Self.Init`") with the key and value of the file."""
    why, _, path = message.partition(" - at `$")
    key = path.strip(".`").partition("[")[0]
    problem, _, name = why.partition("missing required field `")
    if name:
        return SettingsError(f"{key}.{name.rstrip('`')}", "", "is missing")
    return SettingsError(key, values.get(key, ""), problem)


def _check(boot: NodeSettings) -> None:
    if not _is_ip(boot.own.ip):
        raise SettingsError("Self.Ip", boot.own.ip, "not an IP number")
    first, last = boot.net.port_range
    if not 0 < first <= last <= MAX_PORT:
        raise SettingsError("Net.PortRange", f"{first},{last}", "not a range of ports")
    _check_bounds(boot.terms.bounds)
    bind = boot.net.bind
    _check_address("Self.Upstream", boot.own.upstream)
    _check_address("Net.Bind.In", bind.inner)
    _check_address("Net.Bind.Out", bind.out)
    _check_address("Net.Bind.Readyz", bind.readyz)
    _check_address("Net.Bind.Ctl", bind.ctl)
    for seed in boot.net.seeds:
        _check_address("Net.Seeds", seed)


def _check_bounds(bounds: Bounds) -> None:
    for name, key in zip(bounds.__struct_fields__, bounds.__struct_encode_fields__, strict=True):
        figure = getattr(bounds, name)
        if not isfinite(figure) or figure < 0:  # NaN compares false with everything
            raise SettingsError(f"{BOUNDS}.{key}", str(figure), "not a figure of 0 or more")


def _check_address(key: str, value: str) -> None:
    if not value:
        return
    try:
        parse_address(value)
    except ValueError as err:
        raise SettingsError(key, value, str(err)) from None


def _is_ip(text: str) -> bool:
    octets = text.split(".")
    return len(octets) == IP_OCTETS and all(_is_number(octet, MAX_OCTET) for octet in octets)


def _is_number(text: str, maximum: int) -> bool:
    return text.isascii() and text.isdigit() and len(text) <= MAX_DIGITS and int(text) <= maximum
