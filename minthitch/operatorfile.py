"""Reads an operator file (TOML with units) into a Config, for `serve`, `check` and the library.

Unknown keys and values out of range are errors: one line with the key and the value.
"""

from __future__ import annotations

import math
import os
import re
import tomllib
from collections.abc import Mapping
from typing import Any

from minthitch import interface as api
from minthitch.config import MAX_SOCKETS, NO_SERVERS, Config, ConfigError, RecordConfig, RecoveryConfig
from minthitch.listing import ListError, parse_address, static_listing

UNITS = {
    "ms": api.MILLISECOND,
    "s": api.SECOND,
    "m": 60 * api.SECOND,
    "h": 3_600 * api.SECOND,
    "d": 86_400 * api.SECOND,
}
DURATION = re.compile(r"(\d{1,9}(?:\.\d{1,6})?)(ms|s|m|h|d)")
NO_LISTEN_ADDRESS = ("127.0.0.1", 0)  # the library does not listen
CLASS_KEYS = frozenset(("name", "effect", "aim", "deadline", "group", "window", "worth", "late_worth"))
TOP_KEYS = frozenset(
    (
        "name",
        "listen",
        "servers",
        "discovery",
        "seed",
        "sockets",
        "classes",
        "limits",
        "rules",
        "record",
        "operators",
        "recovery",
    )
)
RECORD_KEYS = frozenset(
    (
        "store",
        "identity",
        "required",
        "best_effort",
        "intent_within",
        "answer_within",
        "lease",
        "keep_answer",
        "keep_for",
        "keep_most",
    )
)
RECOVERY_KEYS = frozenset(
    ("folder", "cluster", "every", "keep_for", "lists_for", "peers", "ask_within", "ready_within")
)
MAX_PEERS = 1_000  # other nodes
MIN_SNAPSHOT_INTERVAL = 100 * api.MILLISECOND  # each snapshot is fsynced
OPERATOR_KEYS = frozenset(("listen", "calls", "handover"))
LIMIT_KEYS = frozenset(
    (
        "max_open",
        "max_attempts",
        "retry_after",
        "max_retry_after",
        "connect_timeout",
        "idle_close",
        "siblings",
        "may_duplicate",
    )
)
RULE_KEYS = frozenset(
    (
        "drain_grace",
        "answer_slack",
        "cold_share",
        "cold_time",
        "cold_multiple",
        "cold_window",
        "budget_share",
        "budget_free",
        "budget_window",
    )
)
DEFAULT_LIMITS: dict[str, Any] = {
    "max_open": 1_000,
    "max_attempts": 3,
    "retry_after": True,
    "max_retry_after": 2 * api.SECOND,
    "connect_timeout": api.SECOND,
    "idle_close": 30 * api.SECOND,
}
DEFAULT_RULES: dict[str, Any] = {"answer_slack": 20 * api.MILLISECOND, "drain_grace": 500 * api.MILLISECOND}
DURATION_KEYS = frozenset(
    (
        "aim",
        "deadline",
        "window",
        "max_retry_after",
        "connect_timeout",
        "idle_close",
        "drain_grace",
        "answer_slack",
        "cold_time",
        "cold_window",
        "budget_window",
        "intent_within",
        "answer_within",
        "lease",
        "keep_for",
        "every",
        "lists_for",
        "ask_within",
        "ready_within",
    )
)
BOOLEAN_KEYS = frozenset(("retry_after", "may_duplicate"))
INTEGER_KEYS = frozenset(("max_open", "max_attempts", "siblings", "keep_answer", "keep_most"))
FIELD_NAME = re.compile(r"[A-Za-z0-9-]{1,64}")


def duration(value: object, where: str) -> int:
    """Parses `"250ms"`, `"1.5s"` or `"2m"` to nanoseconds. Raises ConfigError."""
    if not isinstance(value, str) or not (match := DURATION.fullmatch(value)):
        raise ConfigError(f'{where} = {value!r} is not a time such as "250ms" or "1.5s"')
    return int(float(match[1]) * UNITS[match[2]])


def _value(name: str, value: object, where: str) -> Any:
    if name in DURATION_KEYS:
        return duration(value, where)
    if name in BOOLEAN_KEYS:
        if not isinstance(value, bool):
            raise ConfigError(f"{where} = {value!r} is not true or false")
        return value
    if isinstance(value, bool) or not isinstance(value, (int, float)) or not 0 <= value < math.inf:
        raise ConfigError(f"{where} = {value!r} is not a number of 0 or more")
    if name in INTEGER_KEYS and not isinstance(value, int):
        raise ConfigError(f"{where} = {value!r} is not a whole number")
    return value


def _reject_unknown(table: Mapping[str, Any], names: frozenset[str], where: str) -> None:
    for name, value in table.items():
        if name not in names:
            raise ConfigError(f"{where}{name} = {value!r} is unknown; known are {', '.join(sorted(names))}")


def _checked_table(table: object, name: str, names: frozenset[str]) -> dict[str, Any]:
    """Returns the table if it is one and all of its keys are known. Raises ConfigError."""
    if not isinstance(table, dict):
        raise ConfigError(f"{name} = {table!r} is not a table")
    _reject_unknown(table, names, f"{name}.")
    return table


def _section(
    top: Mapping[str, Any], name: str, names: frozenset[str], defaults: dict[str, Any]
) -> dict[str, Any]:
    table = _checked_table(top.get(name, {}), name, names)
    return defaults | {key: _value(key, value, f"{name}.{key}") for key, value in table.items()}


def _choice(kinds: type[api.Effect] | type[api.Group], value: object, where: str) -> Any:
    try:
        return kinds(value)
    except ValueError:
        raise ConfigError(f"{where} = {value!r} is not one of {', '.join(k.value for k in kinds)}") from None


def _class(row: object, where: str) -> api.RequestClass:
    if not isinstance(row, dict):
        raise ConfigError(f"{where} = {row!r} is not a table")
    _reject_unknown(row, CLASS_KEYS, f"{where}.")
    name = row.get("name")
    if not isinstance(name, str) or not name.isascii() or not name.isprintable() or not name or " " in name:
        raise ConfigError(f"{where}.name = {name!r} is not a name without spaces")
    for needed in ("aim", "deadline"):
        if needed not in row:
            raise ConfigError(f"{where}.{needed} is missing (class {name!r})")
    rest = {
        key: _value(key, row[key], f"{where}.{key}")
        for key in ("aim", "deadline", "window", "worth", "late_worth")
        if key in row
    }
    effect = _choice(api.Effect, row.get("effect", "unsafe"), f"{where}.effect")
    if effect is api.Effect.KEYED and not rest.get("window"):
        raise ConfigError(f"{where}.window is missing: how long the servers drop a repeat (class {name!r})")
    if rest["aim"] > rest["deadline"]:
        raise ConfigError(f"{where}.aim = {row['aim']!r} is over its deadline {row['deadline']!r}")
    return api.RequestClass(
        name=name, effect=effect, group=_choice(api.Group, row.get("group", "all"), f"{where}.group"), **rest
    )


def settings(top: Mapping[str, Any]) -> api.Settings:
    """Builds the Settings from `classes`, `limits` and `rules`. Raises ConfigError."""
    rows = top.get("classes")
    if not isinstance(rows, list) or not rows:
        raise ConfigError(f"classes = {rows!r} is not a list of [[classes]]")
    classes = tuple(_class(row, f"classes[{i}]") for i, row in enumerate(rows))
    names = [spec.name for spec in classes]
    if twice := {name for name in names if names.count(name) > 1}:
        raise ConfigError(f"classes: name {min(twice)!r} is given twice")
    limits = _section(top, "limits", LIMIT_KEYS, DEFAULT_LIMITS)
    rules = _section(top, "rules", RULE_KEYS, DEFAULT_RULES)
    try:
        return api.Settings(classes=classes, **limits, **rules)
    except ValueError as err:
        raise ConfigError(str(err)) from None


def _names(table: Mapping[str, Any], key: str, known: list[str]) -> frozenset[str]:
    names = table.get(key, [])
    if not isinstance(names, list) or not all(isinstance(name, str) for name in names):
        raise ConfigError(f"record.{key} = {names!r} is not a list of classes")
    for name in names:
        if name not in known:
            raise ConfigError(f"record.{key}: class {name!r} is unknown; known are {', '.join(known)}")
    return frozenset(names)


def record_config(top: Mapping[str, Any], settings: api.Settings) -> RecordConfig | None:
    """Reads the `record` table, None if absent. Raises ConfigError."""
    if top.get("record") is None:
        return None
    table = _checked_table(top["record"], "record", RECORD_KEYS)
    store, identity = table.get("store"), table.get("identity", "Idempotency-Key")
    url = isinstance(store, str) and "://" in store
    if (
        not isinstance(store, str)
        or not store
        or (url and not store.startswith(("postgres://", "postgresql://")))
    ):
        raise ConfigError(f"record.store = {store!r} is neither the path of a file nor a postgresql:// URL")
    if not isinstance(identity, str) or not FIELD_NAME.fullmatch(identity):
        raise ConfigError(f"record.identity = {identity!r} is not the name of a field")
    known = [spec.name for spec in settings.classes]
    required, best = _names(table, "required", known), _names(table, "best_effort", known)
    if not required | best or required & best:
        raise ConfigError(
            f"record: each class in one of required = {sorted(required)} and "
            f"best_effort = {sorted(best)}, and one class at least"
        )
    rest = {
        key: _value(key, value, f"record.{key}")
        for key, value in table.items()
        if key in DURATION_KEYS | INTEGER_KEYS
    }
    for key, value in rest.items():
        if value <= 0:
            raise ConfigError(f"record.{key} = {table[key]!r} is not above 0")
    return RecordConfig(store, identity, required, best, **rest)


def recovery_config(top: Mapping[str, Any]) -> RecoveryConfig | None:
    """Reads the `recovery` table, None if absent. Raises ConfigError."""
    if top.get("recovery") is None:
        return None
    table = _checked_table(top["recovery"], "recovery", RECOVERY_KEYS)
    folder, cluster = table.get("folder"), table.get("cluster")
    if not isinstance(folder, str) or not os.path.isdir(folder):
        raise ConfigError(f"recovery.folder = {folder!r} is not a folder")
    if not isinstance(cluster, str) or not 0 < len(cluster) <= 64:
        raise ConfigError(f"recovery.cluster = {cluster!r} is not a name of 1 to 64 letters")
    rest = {
        key: _value(key, value, f"recovery.{key}") for key, value in table.items() if key in DURATION_KEYS
    }
    if rest.get("every", MIN_SNAPSHOT_INTERVAL) < MIN_SNAPSHOT_INTERVAL:
        raise ConfigError(f"recovery.every = {table['every']!r} is under 100ms")
    if rest.get("keep_for", 1) <= 0:
        raise ConfigError(f"recovery.keep_for = {table['keep_for']!r} is not above 0")
    if rest.get("ask_within", 1) <= 0:
        raise ConfigError(f"recovery.ask_within = {table['ask_within']!r} is not above 0")
    peers = table.get("peers", [])
    if not isinstance(peers, list) or len(peers) > MAX_PEERS:
        raise ConfigError(f"recovery.peers = {peers!r:.100} is not a list of up to {MAX_PEERS} addresses")
    where = tuple(_address(peer, f"recovery.peers[{i}]") for i, peer in enumerate(peers))
    return RecoveryConfig(folder, cluster, peers=where, **rest)


def operators(top: Mapping[str, Any]) -> dict[str, Any]:
    """Reads the `operators` table to arguments of Config. Raises ConfigError."""
    table = _checked_table(top.get("operators", {}), "operators", OPERATOR_KEYS)
    if "operators" in top and not table:
        raise ConfigError("operators = {} names neither listen, calls nor handover")
    folder = table.get("handover", "")
    if not isinstance(folder, str) or ("handover" in table and not os.path.isdir(folder)):
        raise ConfigError(f"operators.handover = {folder!r} is not a folder")
    where = {key: _address(table[key], f"operators.{key}") for key in ("listen", "calls") if key in table}
    return {"operators": where.get("listen"), "admin": where.get("calls"), "handover": folder}


def _address(value: object, where: str) -> tuple[str, int]:
    try:
        return parse_address(value)
    except ListError as err:
        raise ConfigError(f"{where} = {value!r}: {err}") from None


def _sockets(value: object) -> int:
    if isinstance(value, bool) or not isinstance(value, int) or not 64 <= value <= MAX_SOCKETS:
        raise ConfigError(f"sockets = {value!r} is not a whole number from 64 to {MAX_SOCKETS}")
    return value


def _seed(value: object) -> int:
    try:
        return int(str(value), 16)
    except ValueError:
        raise ConfigError(f"seed = {value!r} is not hexadecimal") from None


def from_table(top: Mapping[str, Any]) -> Config:
    """Builds a Config from the decoded file. Raises ConfigError."""
    _reject_unknown(top, TOP_KEYS, "")
    name = top.get("name", "minthitch")
    if not isinstance(name, str) or not name:
        raise ConfigError(f"name = {name!r} is not a text")
    servers, discovery = top.get("servers"), top.get("discovery", "")
    if (servers is None) == (not discovery):
        raise ConfigError("either servers or discovery must be given, and not both")
    if servers is not None and (not isinstance(servers, list) or not servers):
        raise ConfigError(f"servers = {servers!r} is not a list of addresses")
    if discovery:
        _address(discovery, "discovery")
    for i, server in enumerate(servers or ()):
        _address(server, f"servers[{i}]")
    try:
        known = static_listing(servers) if servers is not None else NO_SERVERS
    except ListError as err:
        raise ConfigError(f"servers = {servers!r}: {err}") from None
    listen = _address(top["listen"], "listen") if "listen" in top else NO_LISTEN_ADDRESS
    limits_and_classes = settings(top)
    return Config(
        name,
        listen,
        discovery,
        _seed(top.get("seed", "0")),
        _sockets(top.get("sockets", MAX_SOCKETS)),
        known,
        limits_and_classes,
        record_config(top, limits_and_classes),
        recovery_config(top),
        **operators(top),
    )


def read(path: str | os.PathLike[str]) -> Config:
    """Reads a Config from a TOML file. Raises ConfigError."""
    try:
        with open(path, "rb") as file:
            top = tomllib.load(file)
    except (OSError, ValueError, RecursionError) as err:
        raise ConfigError(f"{path}: {err}") from None
    return from_table(top)
