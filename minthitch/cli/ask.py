"""HTTP calls to the `Ctl` address of one or more running control nodes and sidecars."""

from __future__ import annotations

import http.client
from collections.abc import Sequence
from concurrent.futures import ThreadPoolExecutor
from http import HTTPStatus
from typing import Any, NamedTuple

from msgspec import DecodeError, json

from minthitch.config import ConfigError
from minthitch.mesh.configuration import settings

TIMEOUT_S = 5.0  # for an answer of a running process
MAX_CONCURRENT = 16  # processes called at the same time


class NoAnswerError(ConfigError):
    """No valid HTTP answer: it is unknown whether a call that changes something took effect."""


class Answer(NamedTuple):
    """An answer; `retry_after` is in seconds, 0 if the answer has none."""

    status: int
    body: bytes
    retry_after: float

    def error(self) -> str:
        """The status, and the error text in the body."""
        try:
            table = json.decode(self.body)
        except DecodeError:
            table = None
        why = table.get("Err", "") if isinstance(table, dict) else ""
        return f"{self.status} {why}".strip()


def ask(address: str, method: str, path: str, body: bytes = b"") -> Answer:
    """Send one call.

    Raises:
        ConfigError: the address is invalid.
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
    """Fetch the JSON object at a path.

    Raises:
        ConfigError: no answer, or one that is not a JSON object.
    """
    answer = ask(address, "GET", path)
    if answer.status != HTTPStatus.OK:
        raise ConfigError(f"{address}: answered {answer.error()}")
    try:
        found = json.decode(answer.body)
    except DecodeError as err:
        raise ConfigError(f"{address}: not JSON: {err}") from None
    if not isinstance(found, dict):
        raise ConfigError(f"{address}: not a JSON object")
    return found


def tables(addresses: Sequence[str], path: str) -> tuple[dict[str, dict[str, Any]], list[str]]:
    """Fetch the object from each address; returns them in the given order, and a line for each error."""

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
