"""One call at the `Ctl` address of a running control node or sidecar, and the same call at several."""

from __future__ import annotations

import http.client
from collections.abc import Sequence
from concurrent.futures import ThreadPoolExecutor
from http import HTTPStatus
from typing import Any, NamedTuple

from msgspec import DecodeError, json

from minthitch.config import ConfigError
from minthitch.mesh.configuration import settings

TIMEOUT_S = 5.0  # for a running process to answer
MAX_CONCURRENT = 16  # processes asked at the same time


class NoAnswerError(ConfigError):
    """No answer, or none in HTTP: whether a call that changes something took effect is unknown."""


class Answer(NamedTuple):
    """An answer; `retry_after` is in seconds, 0 without one."""

    status: int
    body: bytes
    retry_after: float

    def error(self) -> str:
        """Its status and the error that its body states."""
        try:
            table = json.decode(self.body)
        except DecodeError:
            table = None
        why = table.get("Err", "") if isinstance(table, dict) else ""
        return f"{self.status} {why}".strip()


def ask(address: str, method: str, path: str, body: bytes = b"") -> Answer:
    """Send one call.

    Raises:
        ConfigError: the address is none.
        NoAnswerError: no answer came.
    """
    try:
        ip, port = settings.parse_address(address)
    except ValueError as err:
        raise ConfigError(f"{address}: {err}") from None
    connection = http.client.HTTPConnection(ip, port, timeout=TIMEOUT_S)
    try:
        connection.request(method, path, body or None)
        response = connection.getresponse()
        retry_after = _seconds(response.getheader("Retry-After", ""))
        return Answer(response.status, response.read(), retry_after)
    except (OSError, http.client.HTTPException) as err:
        raise NoAnswerError(f"{address}: {type(err).__name__}: {' '.join(str(err).split())}") from None
    finally:
        connection.close()


def table(address: str, path: str) -> dict[str, Any]:
    """The JSON object at a path.

    Raises:
        ConfigError: there is none.
    """
    answer = ask(address, "GET", path)
    if answer.status != HTTPStatus.OK:
        raise ConfigError(f"{address}: answered {answer.error()}")
    try:
        found = json.decode(answer.body)
    except DecodeError as err:
        raise ConfigError(f"{address}: no JSON: {err}") from None
    if not isinstance(found, dict):
        raise ConfigError(f"{address}: no JSON object")
    return found


def tables(addresses: Sequence[str], path: str) -> tuple[dict[str, dict[str, Any]], list[str]]:
    """The objects by address, in the order given, and a line for each address without an answer."""

    def one(address: str) -> dict[str, Any] | ConfigError:
        try:
            return table(address, path)
        except ConfigError as err:
            return err

    with ThreadPoolExecutor(MAX_CONCURRENT) as pool:
        found = dict(zip(addresses, pool.map(one, addresses), strict=True))
    good = {address: answer for address, answer in found.items() if isinstance(answer, dict)}
    return good, [str(answer) for answer in found.values() if isinstance(answer, ConfigError)]


def _seconds(text: str) -> float:
    try:
        return max(float(text), 0.0) if text else 0.0
    except ValueError:
        return 0.0
