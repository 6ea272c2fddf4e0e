"""Which routes carry calls that the sidecar's own server makes while it runs a request.

Nobody states that, so it is inferred: such a call has the run that makes it beside it, so it never comes
while nothing runs at the server. A client's request comes at any time. So a route whose requests were never
seen while nothing ran is one of nested calls.
"""

from __future__ import annotations

MIN_REQUESTS = 5  # from so many on a route may be one of nested calls
MAX_ROUTES = 4_000  # a bound on memory


class NestedCallDetector:
    """What one sidecar has seen of its routes."""

    def __init__(self) -> None:
        self.request_counts: dict[
            str, int
        ] = {}  # requests on each so far; -1 once it is known to be clients'

    def record(self, route: str, running: int) -> bool:
        """A request has come while `running` ran at the own server; whether it counts as a nested call."""
        count = self.request_counts.get(route, 0)
        if count < 0:
            return False
        if running == 0:
            count = -1
        elif count <= MIN_REQUESTS:
            count += 1
        if route in self.request_counts or len(self.request_counts) < MAX_ROUTES:
            self.request_counts[route] = count
        return count > MIN_REQUESTS

    def may_be_nested(self, route: str) -> bool:
        """Whether no request on it is known to be a client's."""
        return self.request_counts.get(route, 0) >= 0

    def is_nested(self, route: str) -> bool:
        """Whether its requests count as nested calls."""
        return self.request_counts.get(route, 0) > MIN_REQUESTS
