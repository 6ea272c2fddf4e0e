"""One call at the `Ctl` address of a running control node or sidecar, and the same call at several."""

from __future__ import annotations

import http.client
from collections.abc import Sequence
from concurrent.futures import ThreadPoolExecutor
from typing import Any, NamedTuple

from msgspec import DecodeError, json

from minthitch.config import ConfigError
from minthitch.mesh.configuration import settings

TIMEOUT = 5.0  # seconds for a running process to answer
MOST_AT_ONCE = 16  # processes asked at one time


class Silence(ConfigError):
    """Nobody answered, or not as HTTP: a call that changes something may have been taken or not."""


class Told(NamedTuple):
    """An answer; `pause` is its Retry-After in seconds, 0 without one."""

    status: int
    body: bytes
    pause: float

    def error(self) -> str:
        """What its body says is wrong, or its status alone."""
        try:
            table = json.decode(self.body)
        except DecodeError:
            table = None
        why = table.get("Err", "") if isinstance(table, dict) else ""
        return f"{self.status} {why}".strip()


def ask(address: str, method: str, path: str, body: bytes = b"") -> Told:
    """Raises ConfigError for what is no address, Silence where no answer came."""
    try:
        ip, port = settings.parse_address(address)
    except ValueError as err:
        raise ConfigError(f"{address}: {err}") from None
    line = http.client.HTTPConnection(ip, port, timeout=TIMEOUT)
    try:
        line.request(method, path, body or None)
        answer = line.getresponse()
        return Told(answer.status, answer.read(), _seconds(answer.getheader("Retry-After", "")))
    except (OSError, http.client.HTTPException) as err:
        raise Silence(f"{address}: {type(err).__name__}: {' '.join(str(err).split())}") from None
    finally:
        line.close()


def table(address: str, path: str) -> dict[str, Any]:
    """The JSON object at a path. Raises ConfigError for anything else."""
    told = ask(address, "GET", path)
    if told.status != 200:
        raise ConfigError(f"{address}: answered {told.error()}")
    try:
        found = json.decode(told.body)
    except DecodeError as err:
        raise ConfigError(f"{address}: no JSON: {err}") from None
    if not isinstance(found, dict):
        raise ConfigError(f"{address}: no JSON object")
    return found


def tables(addresses: Sequence[str], path: str) -> tuple[dict[str, dict[str, Any]], list[str]]:
    """What each told that answered, in the order given, and a line for each that did not."""

    def one(address: str) -> dict[str, Any] | ConfigError:
        try:
            return table(address, path)
        except ConfigError as err:
            return err

    with ThreadPoolExecutor(MOST_AT_ONCE) as pool:
        found = dict(zip(addresses, pool.map(one, addresses), strict=True))
    good = {address: told for address, told in found.items() if isinstance(told, dict)}
    return good, [str(told) for told in found.values() if isinstance(told, ConfigError)]


def _seconds(text: str) -> float:
    try:
        return max(float(text), 0.0) if text else 0.0
    except ValueError:
        return 0.0
