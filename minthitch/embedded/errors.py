"""Errors for wrong use of the library. The outcome of a call is a value, not an error."""

from __future__ import annotations


class ClientError(Exception):
    """Base class of the library's errors."""


class BadCall(ClientError, ValueError):
    """An invalid call, rejected before anything was sent. `status` is the matching HTTP status."""

    def __init__(self, text: str, status: int = 400) -> None:
        super().__init__(text)
        self.status = status


class ClientClosed(ClientError, RuntimeError):
    """The client is not started, closing or closed, or was created before a fork of the process."""
