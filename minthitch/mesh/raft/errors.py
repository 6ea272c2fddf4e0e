"""Errors of the consensus core."""

from __future__ import annotations


class ConsensusViolationError(Exception):
    """A safety property of Raft does not hold, e.g. a committed entry would be replaced.

    Continuing could spread the damage, so the process has to stop.
    """


class MalformedMessageError(ValueError):
    """A message of a known type does not have the fields of that type."""
