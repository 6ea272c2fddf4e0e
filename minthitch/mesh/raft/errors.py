"""Errors of the consensus core."""

from __future__ import annotations


class ConsensusViolationError(Exception):
    """A safety property of Raft is violated, e.g. a committed entry would be overwritten.

    The process must stop, as continuing could spread the inconsistency.
    """


class MalformedMessageError(ValueError):
    """The fields of a message do not match its tag."""
