"""Storage errors, and the one place that converts LMDB's errors to them."""

from __future__ import annotations

import errno
from collections.abc import Iterator
from contextlib import contextmanager

import lmdb
import msgpack

_CORRUPTION = (
    lmdb.CorruptedError,
    lmdb.PageNotFoundError,
    lmdb.InvalidError,
    lmdb.VersionMismatchError,
    lmdb.IncompatibleError,
)
_UNREADABLE = (ValueError, TypeError, msgpack.UnpackException)


class StoreError(Exception):
    """The data folder can't be used, temporarily or permanently."""


class StoreUnavailableError(StoreError):
    """The disk or the file is full, or refuses writes for now. Nothing was written: retry the same write."""


class StoreCorruptedError(StoreError):
    """The file does not contain what was written. This disk must be treated as lost."""


@contextmanager
def storage_errors(*, reading: bool = False) -> Iterator[None]:
    """Convert LMDB, operating system and decoding errors to this module's errors.

    Args:
        reading: nothing is written, so almost any LMDB error means corruption.
    """
    try:
        yield
    except _CORRUPTION as error:
        raise StoreCorruptedError(str(error)) from error
    except lmdb.Error as error:
        if reading and not isinstance(error, lmdb.MemoryError):
            raise StoreCorruptedError(str(error)) from error
        raise StoreUnavailableError(str(error)) from error
    except OSError as error:
        raise StoreUnavailableError(str(error)) from error
    except _UNREADABLE as error:
        raise StoreCorruptedError(repr(error)) from error


def is_out_of_space(error: StoreError) -> bool:
    """Whether the error is a full disk or file, rather than another refusal."""
    cause = error.__cause__
    full = isinstance(cause, (lmdb.MapFullError, lmdb.DiskError))
    return full or getattr(cause, "errno", 0) == errno.ENOSPC
