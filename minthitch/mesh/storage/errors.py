"""Errors of the storage, and the one place that maps LMDB's errors to them."""

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
    """A data folder can't be used, now or ever."""


class StoreUnavailableError(StoreError):
    """The disk or the file is full, or refuses for now. Nothing was written: write the same again."""


class StoreCorruptedError(StoreError):
    """The file is not what was written. This disk has to be treated as lost."""


@contextmanager
def storage_errors(*, reading: bool = False) -> Iterator[None]:
    """Raise errors of LMDB, of the system and of decoding as errors of this module.

    Args:
        reading: nothing is written, so any error of LMDB is a sign of corruption.
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
    """Whether the disk or the file is full, and not merely refusing for another reason."""
    cause = error.__cause__
    full = isinstance(cause, (lmdb.MapFullError, lmdb.DiskError))
    return full or getattr(cause, "errno", 0) == errno.ENOSPC
