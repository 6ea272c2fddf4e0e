"""Selects the database backend from the configured location."""

from __future__ import annotations

from minthitch.record.sqlite import SqliteStore
from minthitch.record.store import Store, StoreError

POSTGRES_SCHEMES = ("postgresql://", "postgres://")


def open_store(location: str) -> Store:
    """Creates a store without opening it: a PostgreSQL URL, else a SQLite path. Raises StoreError."""
    if not location.startswith(POSTGRES_SCHEMES):
        return SqliteStore(location)
    try:
        from minthitch.record.postgres import PostgresStore  # an optional extra, imported only if used
    except ImportError as err:
        raise StoreError(f"PostgreSQL needs the extra `postgres` ({err})") from None
    return PostgresStore(location)


def redacted(location: str) -> str:
    """The location as it may be logged: a URL without user and password."""
    return location.rpartition("@")[2] if location.startswith(POSTGRES_SCHEMES) else location
