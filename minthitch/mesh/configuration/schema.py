"""Configuration items as they are sent: a struct and a decoder for each section."""

from __future__ import annotations

from typing import Literal

from msgspec import UNSET, Raw, Struct, UnsetType, json

ROUTES, SERVICES, LIMITS = "Routes", "Svcs", "Limits"
KNOWN_SECTIONS = (ROUTES, SERVICES, LIMITS)


class WeightedService(Struct, frozen=True, rename="pascal", gc=False):
    """One service of a route's traffic split; its share is its weight over the sum of all weights."""

    svc: str
    wt: float


class RouteItem(Struct, frozen=True, rename="pascal"):
    """A route as sent; times in seconds."""

    name: str
    ver: str
    host: str
    pfx: str
    kind: Literal["idempotent", "keyed", "mutating", "upload"]
    tmo_s: float
    goal_s: float | UnsetType = UNSET
    prio: int = 0
    tries: int = 1
    svc: str | UnsetType = UNSET
    split: list[WeightedService] | UnsetType = UNSET


class ServiceItem(Struct, frozen=True, rename="pascal", gc=False):
    """A service as sent."""

    name: str
    ver: str
    hc: str = "/healthz"
    maxconn: int = 64
    dedup: bool = False


class LimitsItem(Struct, frozen=True, rename="pascal", gc=False):
    """Limits on clients: bytes of head and body, seconds for a head and until an idle connection closes."""

    ver: str
    hdr_bytes: int = 16384
    body_bytes: int = 67108864
    hdr_s: float = 3.0
    idle_s: float = 15.0


class NamedItem(Struct, frozen=True, rename="pascal", gc=False):
    """An item in the list of an unknown section, or a deletion of a list item."""

    name: str
    ver: str


class SingleItem(Struct, frozen=True, rename="pascal", gc=False):
    """An unknown section that is a single item, or its deletion."""

    ver: str


Item = RouteItem | ServiceItem | LimitsItem | NamedItem | SingleItem

ROUTE_DECODER = json.Decoder(RouteItem)
SERVICE_DECODER = json.Decoder(ServiceItem)
LIMITS_DECODER = json.Decoder(LimitsItem)
ANY_DECODER = json.Decoder()
LIST_DECODER = json.Decoder(list[Raw])
_NAMED_DECODER = json.Decoder(NamedItem)
_SINGLE_DECODER = json.Decoder(SingleItem)
_SECTION_DECODERS: dict[str, json.Decoder[Item]] = {
    ROUTES: ROUTE_DECODER,  # type: ignore[dict-item]
    SERVICES: SERVICE_DECODER,  # type: ignore[dict-item]
    LIMITS: LIMITS_DECODER,  # type: ignore[dict-item]
}


def decoder_of(section: str, *, deletes: bool, is_list: bool) -> json.Decoder[Item]:
    """The decoder of a section's items; for deletions and unknown sections, of name and version only."""
    plain: json.Decoder[Item] = _NAMED_DECODER if is_list else _SINGLE_DECODER  # type: ignore[assignment]
    return plain if deletes else _SECTION_DECODERS.get(section, plain)


def services_of(item: RouteItem) -> tuple[tuple[str, float], ...]:
    """A route's services and their weights; a single service has weight 1."""
    if item.split is not UNSET:
        return tuple((weighted.svc, weighted.wt) for weighted in item.split)
    return ((item.svc, 1.0),) if item.svc is not UNSET else ()


def host_key(host: str) -> str:
    """A host name normalized for comparison: lower case, without a port."""
    return host.partition(":")[0].strip().lower()
