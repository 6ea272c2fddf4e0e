"""The randomized election timeout (dissertation, 3.4), reproducible from a seed."""

from __future__ import annotations

_MASK_64 = 0xFFFFFFFFFFFFFFFF


class ElectionTimer:
    """Expires within [timeout, 2 * timeout] seconds after each reset."""

    def __init__(self, seed: int, timeout: float) -> None:
        self._state = seed & _MASK_64
        self._timeout = timeout
        self._deadline = 0.0

    def reset(self, now: float) -> None:
        """Start again from `now`."""
        self._deadline = now + self._timeout * (1.0 + self._uniform())

    def expired(self, now: float) -> bool:
        """Whether the time is over."""
        return now >= self._deadline

    def _uniform(self) -> float:
        """A number in [0, 1) by splitmix64.

        Source: Steele, Lea, Flood, "Fast Splittable Pseudorandom Number Generators" (2014).
        """
        self._state = (self._state + 0x9E3779B97F4A7C15) & _MASK_64
        mixed = self._state
        mixed = ((mixed ^ (mixed >> 30)) * 0xBF58476D1CE4E5B9) & _MASK_64
        mixed = ((mixed ^ (mixed >> 27)) * 0x94D049BB133111EB) & _MASK_64
        return ((mixed ^ (mixed >> 31)) >> 11) / (1 << 53)
