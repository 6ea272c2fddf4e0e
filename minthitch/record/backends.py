"""From the configuration's word to a store."""

from __future__ import annotations

from minthitch.record.sqlite import SqliteStore
from minthitch.record.store import Store, StoreError

POSTGRES_SCHEMES = ("postgresql://", "postgres://")


def open_store(where: str) -> Store:
    """A store that is not open yet: a PostgreSQL URL, else a file's path. Raises StoreError."""
    if not where.startswith(POSTGRES_SCHEMES):
        return SqliteStore(where)
    try:
        from minthitch.record.postgres import PostgresStore  # an extra, loaded where it is asked for
    except ImportError as err:
        raise StoreError(f"PostgreSQL needs the extra `postgres` ({err})") from None
    return PostgresStore(where)


def redacted(where: str) -> str:
    """What a log may say of it: no password."""
    return where.rpartition("@")[2] if where.startswith(POSTGRES_SCHEMES) else where
