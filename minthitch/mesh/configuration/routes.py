"""The configuration as the data plane uses it: route lookup by host and path, services and limits."""

from __future__ import annotations

from msgspec import UNSET, Struct

from minthitch.mesh.configuration.items import ItemSet
from minthitch.mesh.configuration.schema import (
    LIMITS,
    LIMITS_DECODER,
    ROUTE_DECODER,
    ROUTES,
    SERVICE_DECODER,
    SERVICES,
    LimitsItem,
    RouteItem,
    host_key,
    services_of,
)


class Route(Struct, frozen=True):
    """An active route; times in seconds, priority 0 is the highest, `services` are names and weights."""

    name: str
    kind: str
    timeout: float
    latency_target: float
    priority: int
    max_attempts: int
    services: tuple[tuple[str, float], ...]

    def choose_service(self, point: float) -> str:
        """Choose a service by weight for a random `point` in [0, 1); never one of weight 0."""
        remaining = point * sum(weight for _, weight in self.services)
        last = ""
        for name, weight in self.services:
            if weight <= 0:
                continue
            if remaining < weight:
                return name
            remaining -= weight
            last = name
        return last  # rounding errors may leave a small remainder


class Service(Struct, frozen=True, gc=False):
    """A service: health check path, connections that a server accepts, whether it deduplicates requests."""

    name: str
    health_path: str
    max_connections: int
    dedup: bool


class Limits(Struct, frozen=True, gc=False):
    """Limits on clients: bytes of head and body, seconds for a head and until an idle connection closes."""

    header_bytes: int = 16384
    body_bytes: int = 67108864
    header_s: float = 3.0
    idle_s: float = 15.0


class _HostRoutes(Struct, frozen=True):
    """One host's routes by path prefix, and the length of the longest prefix."""

    routes: dict[bytes, Route]
    longest: int


class RoutingTable:
    """All routes, services and limits as of one log index. Rebuilt when items change, never modified."""

    def __init__(self, items: ItemSet) -> None:
        self.index = items.index
        self.routes: dict[str, Route] = {}
        self.services = {name: _service(name, body) for name, body in items.live_items(SERVICES)}
        limits = (_limits(LIMITS_DECODER.decode(body)) for _, body in items.live_items(LIMITS))
        self.limits = next(limits, Limits())
        by_host: dict[str, dict[bytes, Route]] = {}
        for name, body in items.live_items(ROUTES):
            item = ROUTE_DECODER.decode(body)
            self.routes[name] = route = _route(item)
            by_host.setdefault(host_key(item.host), {})[item.pfx.encode()] = route
        self._hosts = {
            host.encode(): _HostRoutes(routes, max(map(len, routes))) for host, routes in by_host.items()
        }

    def match(self, host: bytes, path: bytes) -> Route | None:
        """The route with the longest matching path prefix; the host's case and port are ignored."""
        host_routes = self._hosts.get(host) or self._hosts.get(host.partition(b":")[0].strip().lower())
        if host_routes is None:
            return None
        query = path.find(b"?")
        # Searching only as far as the longest prefix bounds the cost of a path with ten thousand slashes.
        end = host_routes.longest if query < 0 else min(query, host_routes.longest)
        end = path.rfind(b"/", 0, end)
        while end >= 0:
            route = host_routes.routes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind(b"/", 0, end)
        return None


def _route(item: RouteItem) -> Route:
    latency_target = item.tmo_s if item.goal_s is UNSET else item.goal_s
    return Route(item.name, item.kind, item.tmo_s, latency_target, item.prio, item.tries, services_of(item))


def _service(name: str, body: bytes) -> Service:
    item = SERVICE_DECODER.decode(body)
    return Service(name, item.hc, item.maxconn, item.dedup)


def _limits(item: LimitsItem) -> Limits:
    return Limits(item.hdr_bytes, item.body_bytes, item.hdr_s, item.idle_s)
