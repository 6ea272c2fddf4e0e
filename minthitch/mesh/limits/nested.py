"""Detects which routes carry nested calls: calls that the sidecar's own server makes while it runs a request.

Requests do not say so, so it is inferred. The request that makes a nested call is still running, so a nested
call never comes while the server runs nothing; a client's request comes at any time. A route whose requests
were never seen while nothing ran carries nested calls.
"""

from __future__ import annotations

MIN_REQUESTS = 5  # a route with no more requests than this does not count as one of nested calls
MAX_ROUTES = 4_000  # bounds the memory


class NestedCallDetector:
    """The requests that one sidecar has seen, by route."""

    def __init__(self) -> None:
        self.request_counts: dict[str, int] = {}  # by route; -1 once it is known to carry clients' requests

    def record(self, route: str, running: int) -> bool:
        """A request has come while `running` ran at the server; whether it counts as a nested call."""
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
        """Whether no request on this route is known to be a client's."""
        return self.request_counts.get(route, 0) >= 0

    def is_nested(self, route: str) -> bool:
        """Whether the requests on this route count as nested calls."""
        return self.request_counts.get(route, 0) > MIN_REQUESTS
