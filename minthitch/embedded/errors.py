"""Errors of the library's use. Outcomes of calls are values, not errors."""

from __future__ import annotations


class ClientError(Exception):
    """Base of the library's errors."""


class BadCall(ClientError, ValueError):
    """A call that no server could use; nothing of it was sent. `status` says why in HTTP's terms."""

    def __init__(self, text: str, status: int = 400) -> None:
        super().__init__(text)
        self.status = status


class ClientClosed(ClientError, RuntimeError):
    """The client is not started, closing or closed, or belongs to the process before a fork."""
