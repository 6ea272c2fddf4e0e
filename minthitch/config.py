"""Configuration of a node, from JSON. An error is one line with key and value."""

from __future__ import annotations

import json
import os
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from minthitch import interface as api
from minthitch import settings
from minthitch.listing import ListError, Listing, parse_address, parse_listing, static_listing

NO_SERVERS = Listing(0, True, ())
MAX_SOCKETS = 1024
MAX_MEMORY_BYTES = 192 * 1024 * 1024  # also the default
MIB = 1024 * 1024


class ConfigError(Exception):
    """An invalid configuration; the text is one line."""


@dataclass(frozen=True, slots=True)
class RecordConfig:
    """Settings of the store of record. Times in ns."""

    store: str  # path of a file, or a postgresql:// URL
    identity: str  # header field with the identity of a request
    required: frozenset[str]  # classes sent only after a durable intent
    best_effort: frozenset[str]  # classes sent even if the intent can't be stored
    intent_within: int = 250 * api.MILLISECOND
    answer_within: int = 250 * api.MILLISECOND
    lease: int = 10 * api.SECOND
    keep_answer: int = 16 * 1024  # bytes
    keep_for: int = 30 * 86_400 * api.SECOND
    keep_most: int = 1_000_000  # records


@dataclass(frozen=True, slots=True)
class RecoveryConfig:
    """Settings of the snapshots used after a crash. Times in ns."""

    folder: str
    cluster: str  # name of the installation; snapshots of others are ignored
    every: int = 5 * api.SECOND
    keep_for: int = 86_400 * api.SECOND  # how long learned values stay valid
    lists_for: int = 0  # how long a kept list stays valid; 0: within the grace only
    peers: tuple[tuple[str, int], ...] = ()  # operators' listeners of other nodes
    ask_within: int = 500 * api.MILLISECOND  # timeout for their answers
    ready_within: int = 0  # how long `/ready` waits for a server that accepts connections; 0 = no wait


@dataclass(frozen=True, slots=True)
class Config:
    """Configuration of a node. With `discovery` "", the list `known` is fixed."""

    name: str
    listen: tuple[str, int]
    discovery: str
    seed: int
    sockets: int
    known: Listing
    settings: api.Settings
    record: RecordConfig | None = None
    recovery: RecoveryConfig | None = None
    operators: tuple[str, int] | None = None  # address of the operators' pages; None = none
    admin: tuple[str, int] | None = None  # address of the admin commands; None = none
    memory: int = MAX_MEMORY_BYTES  # bytes for the process
    handover: str = ""  # folder in which a replacing process finds the old one; "" = off


def _text(table: Mapping[str, Any], name: str, environ: Mapping[str, str]) -> str:
    value = table.get(name) or environ.get(f"BALANCER_{name.upper()}")
    if not isinstance(value, str) or not value:
        raise ConfigError(f"{name} is missing")
    return value


def load_object(path: str | os.PathLike[str]) -> dict[str, Any]:
    """Reads a JSON object from a file. Raises ConfigError."""
    try:
        with open(path, encoding="utf-8") as file:
            table = json.load(file)
    except (OSError, ValueError, RecursionError) as err:
        raise ConfigError(f"{path}: {err}") from None
    if not isinstance(table, dict):
        raise ConfigError(f"{path}: not an object")
    return table


def known_servers(table: Mapping[str, Any]) -> Listing:
    """Returns the list: `servers` (fixed addresses) or `known` (a list that may be outdated)."""
    addresses = table.get("servers")
    if addresses is None:
        return parse_listing(table["known"]) if table.get("known") else NO_SERVERS
    if not isinstance(addresses, list):
        raise ConfigError(f"servers {addresses!r} is not a list of addresses")
    try:
        return static_listing(addresses)
    except ListError as err:
        raise ConfigError(f"servers: {err}") from None


def socket_limit(table: Mapping[str, Any]) -> int:
    limits = table.get("limits") or {}
    sockets = limits.get("sockets", MAX_SOCKETS) if isinstance(limits, dict) else None
    if isinstance(sockets, bool) or not isinstance(sockets, int) or sockets < 64:
        raise ConfigError(f"limits.sockets is not a whole number of 64 or more: {sockets!r}")
    return min(sockets, MAX_SOCKETS)


def memory_limit(table: Mapping[str, Any]) -> int:
    limits = table.get("limits") or {}
    memory = limits.get("memory_mb", MAX_MEMORY_BYTES // MIB) if isinstance(limits, dict) else None
    if isinstance(memory, bool) or not isinstance(memory, (int, float)) or not 1 <= memory < 1e9:
        raise ConfigError(f"limits.memory_mb is not a number of 1 or more: {memory!r}")
    return min(int(memory * MIB), MAX_MEMORY_BYTES)


def parse_seed(table: Mapping[str, Any]) -> int:
    try:
        return int(str(table.get("seed", "0")), 16)
    except ValueError:
        raise ConfigError(f"seed {table.get('seed')!r} is not hexadecimal") from None


def _admin(table: Mapping[str, Any], environ: Mapping[str, str]) -> tuple[str, int] | None:
    value = table.get("admin") or environ.get("BALANCER_ADMIN")
    try:
        return parse_address(value) if value else None
    except ListError as err:
        raise ConfigError(f"admin = {value!r}: {err}") from None


def from_table(table: Mapping[str, Any], environ: Mapping[str, str]) -> Config:
    """Builds a node's configuration from decoded JSON. Raises ConfigError."""
    sockets = socket_limit(table)
    try:
        discovery = "" if "servers" in table else _text(table, "discovery", environ)
        if discovery:
            parse_address(discovery)
        return Config(
            _text(table, "name", environ),
            parse_address(_text(table, "listen", environ)),
            discovery,
            parse_seed(table),
            sockets,
            known_servers(table),
            settings.from_object(table.get("settings")),
            admin=_admin(table, environ),
            memory=memory_limit(table),
            handover=environ.get("TMPDIR", ""),
        )
    except (ValueError, ListError) as err:
        raise ConfigError(str(err)) from None


def read_config(path: str | os.PathLike[str]) -> Config:
    """Reads a node's configuration from a file. Raises ConfigError."""
    return from_table(load_object(path), os.environ)
