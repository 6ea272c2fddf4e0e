"""The settings of a process, read from the file named by the environment variable MINTHITCH_BOOT.

Its lines (`a.b.c=value`, list items separated by commas) are parsed here and converted by msgspec. No
library parses them, to save memory in every process of the mesh: a bare process took 8.5 MB resident, with
javaproperties 20, with python-dotenv 13.2.
"""

from __future__ import annotations

from math import isfinite
from os import environ

from msgspec import Struct, ValidationError, convert, field

PATH_VARIABLE = "MINTHITCH_BOOT"  # environment variable with the path of the settings file
ZONE_PREFIX = "Net.Azs."  # followed by the zone's name, which may contain dots
BOUNDS = "Terms.Bnd"
BOOLEANS = frozenset({"true", "false"})  # allowed in place of a bound, which then keeps its default
TABLES = ("Self", "Self.Limits", "Net", "Net.Bind", "Infra", "Terms", "Terms.Tolerate", BOUNDS)
LISTS = frozenset({"Self.Serves", "Net.PortRange", "Net.Seeds", "Terms.Slo"})
MAX_PORT, MAX_OCTET, IP_OCTETS = 65535, 255, 4
MAX_DIGITS = 5  # of a port; longer texts are not accepted as numbers


class SettingsError(Exception):
    """The settings are invalid: `key` has `value`, and `reason` is the problem."""

    def __init__(self, key: str, value: str, reason: str) -> None:
        super().__init__(f"{key}={value}: {reason}")
        self.key = key
        self.value = value
        self.reason = reason


class Limits(Struct, frozen=True, rename="pascal"):
    """Resources of this process: cores, megabytes, file descriptors, megabits per second."""

    cpu: float = 1.0
    ncpu: float = 1.0
    mem_mb: float = 256.0
    nofile: int = 1024
    bw_mbps: float = 1000.0
    disk_mb: float = 0.0  # 0: no disk


class SelfSettings(Struct, frozen=True, rename="pascal"):
    """This process and its machine. Addresses and names that its machine class does not have are ""."""

    node: str
    mclass: str
    ip: str
    az: str
    region: str
    role: str = ""
    serves: tuple[str, ...] = ()
    quorum: bool = False
    # Whether this is the first start of the whole system. Only then may a node found a consensus group, so
    # it must be set explicitly.
    init: bool = False
    datadir: str = ""
    upstream: str = ""
    svc: str = ""
    limits: Limits = Limits()


class Bind(Struct, frozen=True, rename="pascal"):
    """Addresses to listen on, "ip:port"; "" if this process does not serve that interface."""

    inner: str = field(default="", name="In")
    out: str = ""
    readyz: str = ""
    ctl: str = ""


class Net(Struct, frozen=True, rename="pascal"):
    """Listen addresses, port range of mesh connections (first, last), seed nodes, region of each zone."""

    port_range: tuple[int, int]
    seeds: tuple[str, ...]
    bind: Bind = Bind()
    azs: dict[str, str] = {}


class Infra(Struct, frozen=True, rename="pascal"):
    """The surrounding infrastructure; `hb_s` is the heartbeat interval in seconds."""

    sd: str = "static"
    ingress: str = "static"
    hb_s: float = 1.5
    cfgmode: str = "parts"


class Tolerate(Struct, frozen=True, rename="pascal"):
    """How many machines, zones and regions may fail at the same time."""

    hw: int = 0
    azs: int = 0
    regions: int = 0


class Bounds(Struct, frozen=True, rename="pascal"):
    """The numeric bounds of the service terms, in seconds except the ratio and the slack (in requests).

    A bound may be absent, or `true` or `false`, if its part of the terms is not in force or has no number.
    The defaults here are conservative.
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
    """The service terms: the parts in force, the failures to tolerate, the numeric bounds."""

    slo: tuple[str, ...] = ()
    tolerate: Tolerate = Tolerate()
    bounds: Bounds = field(default=Bounds(), name="Bnd")


class NodeSettings(Struct, frozen=True, rename="pascal"):
    """All settings of the file."""

    own: SelfSettings = field(name="Self")
    net: Net
    infra: Infra
    terms: Terms


def load_settings() -> NodeSettings:
    """Read the settings file.

    Raises:
        SettingsError: no file is named, it can't be read, or its text is invalid.
    """
    path = environ.get(PATH_VARIABLE, "")
    try:
        with open(path, encoding="utf-8") as file:
            text = file.read()
    except (OSError, ValueError) as err:
        raise SettingsError(PATH_VARIABLE, path, f"can't be read: {err}") from None
    return parse_settings(text)


def parse_settings(text: str) -> NodeSettings:
    """Parse the text of a settings file; unknown fields are ignored.

    Raises:
        SettingsError: a field is missing, or its value is invalid.
    """
    found = parse_lines(text)
    try:
        boot = convert(_nested(found), NodeSettings, strict=False)
    except ValidationError as err:
        raise _settings_error(str(err), found) from None
    _check(boot)
    return boot


def parse_lines(text: str) -> dict[str, str]:
    """All keys and values in the text of a settings file, known or unknown.

    Raises:
        SettingsError: a line has no "=".
    """
    found: dict[str, str] = {}
    for line in map(str.strip, text.splitlines()):
        if not line or line.startswith("#"):
            continue
        key, equals, value = line.partition("=")
        if not equals:  # a partly written file, not an unknown field
            raise SettingsError(key, "", "no '=' in the line")
        found[key.strip()] = value.strip()
    return found


def parse_address(text: str) -> tuple[str, int]:
    """Split "ip:port" into address and port.

    Raises:
        ValueError: not such an address.
    """
    ip, colon, port = text.rpartition(":")
    if not colon or not _is_ip(ip) or not _is_number(port, MAX_PORT) or int(port) == 0:
        raise ValueError("not an address ip:port")
    return ip, int(port)


def _nested(values: dict[str, str]) -> dict[str, object]:
    tables: dict[str, dict[str, object]] = {name: {} for name in TABLES}
    zones: dict[str, str] = {}
    for key, value in values.items():
        table, _, name = key.rpartition(".")
        if key.startswith(ZONE_PREFIX):
            zones[key[len(ZONE_PREFIX) :]] = value
        elif table == BOUNDS and value.lower() in BOOLEANS:
            continue  # a bound that is not in force must not keep the process from starting
        elif table in tables:
            tables[table][name] = _split_list(value) if key in LISTS else value
    for path in TABLES:  # after the fields, so that a field named like a table can't replace it
        parent, _, name = path.rpartition(".")
        if parent:
            tables[parent][name] = tables[path]
    tables["Net"]["Azs"] = zones
    return {name: tables[name] for name in TABLES if "." not in name}


def _split_list(value: str) -> list[str]:
    return [item.strip() for item in value.split(",") if item.strip()]


def _settings_error(message: str, values: dict[str, str]) -> SettingsError:
    """Convert msgspec's message ("... - at `$.Self.Init`") to an error with the file's key and value."""
    why, _, path = message.partition(" - at `$")
    key = path.strip(".`").partition("[")[0]
    problem, _, name = why.partition("missing required field `")
    if name:
        return SettingsError(f"{key}.{name.rstrip('`')}", "", "is missing")
    return SettingsError(key, values.get(key, ""), problem)


def _check(boot: NodeSettings) -> None:
    if not _is_ip(boot.own.ip):
        raise SettingsError("Self.Ip", boot.own.ip, "not an IP address")
    first, last = boot.net.port_range
    if not 0 < first <= last <= MAX_PORT:
        raise SettingsError("Net.PortRange", f"{first},{last}", "not a port range")
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
        bound = getattr(bounds, name)
        if not isfinite(bound) or bound < 0:  # NaN compares false with everything
            raise SettingsError(f"{BOUNDS}.{key}", str(bound), "not a number of 0 or more")


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
