"""Validation of single items, and of all items together."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from msgspec import UNSET

from minthitch.mesh.configuration.schema import (
    ROUTES,
    Item,
    LimitsItem,
    RouteItem,
    ServiceItem,
    host_key,
    services_of,
)

MAX_SHOWN_NAME = 80  # characters of a name shown in a message
Key = tuple[str, str]  # section, name


class InvalidCallError(Exception):
    """A call is invalid; the one-line message names the item and the reason."""


class RouteFacts(NamedTuple):
    """The fields of a route that checks across items need."""

    host: str
    prefix: str
    services: tuple[str, ...]


def label(section: str, name: str, otherwise: str = "") -> str:
    """An item's label in a message: section and name, or `otherwise` if it has no name."""
    return f"{section} {name[:MAX_SHOWN_NAME]!r}" if name else otherwise or section


def facts_of(item: RouteItem) -> RouteFacts:
    """Extract the fields of a route that checks across items need."""
    return RouteFacts(host_key(item.host), item.pfx, tuple(service for service, _ in services_of(item)))


def problem_of(item: Item) -> str:
    """The problem of a single item as `key: reason`; empty if it is valid."""
    if isinstance(item, RouteItem):
        return _match_problem(item) or _range_problem(item) or _services_problem(item)
    if isinstance(item, ServiceItem):
        if not item.hc.startswith("/"):
            return "Hc: must start with a slash"
        return "Maxconn: must be at least 1" if item.maxconn < 1 else ""
    if isinstance(item, LimitsItem):
        limits: dict[str, float] = {
            "HdrBytes": item.hdr_bytes,
            "BodyBytes": item.body_bytes,
            "HdrS": item.hdr_s,
            "IdleS": item.idle_s,
        }
        return next((f"{key}: must be over 0" for key, value in limits.items() if value <= 0), "")
    return ""


def _match_problem(item: RouteItem) -> str:
    if not host_key(item.host):
        return "Host: is empty"
    if not item.pfx.startswith("/") or not item.pfx.endswith("/"):
        return "Pfx: must start and end with a slash"
    return ""


def _range_problem(item: RouteItem) -> str:
    if item.tmo_s <= 0:
        return "TmoS: must be over 0"
    if item.goal_s is not UNSET and item.goal_s <= 0:
        return "GoalS: must be over 0"
    if item.tries < 1:
        return "Tries: must be at least 1"
    return "Prio: must not be negative" if item.prio < 0 else ""


def _services_problem(item: RouteItem) -> str:
    if item.svc is not UNSET and item.split is not UNSET:
        return "Split: beside Svc"
    if item.svc is not UNSET:
        return "" if item.svc else "Svc: is empty"
    if item.split is UNSET:
        return "Svc: missing, and Split too"
    if any(weighted.wt < 0 for weighted in item.split):
        return "Split: a weight is negative"
    if not 0 < sum(weighted.wt for weighted in item.split) < float("inf"):
        return "Split: the weights sum to 0" if len(item.split) else "Split: is empty"
    return ""


def check_routes(routes: dict[str, RouteFacts], services: set[str]) -> None:
    """Check that every route's services exist and no two routes have the same host and prefix.

    Raises:
        InvalidCallError: a service does not exist, or two routes collide.
    """
    matches: dict[tuple[str, str], str] = {}
    for name, facts in routes.items():
        for service in facts.services:
            if service not in services:
                missing = service[:MAX_SHOWN_NAME]
                raise InvalidCallError(f"{label(ROUTES, name)}: Svc: no service {missing!r}")
        other = matches.setdefault((facts.host, facts.prefix), name)
        if other != name:
            shown = other[:MAX_SHOWN_NAME]
            raise InvalidCallError(f"{label(ROUTES, name)}: Pfx: same Host and Pfx as {shown!r}")


def check_layout(keys: Iterable[Key], single_name: str) -> None:
    """Check that each section is either a list or a single item: JSON can't represent both.

    Raises:
        InvalidCallError: a section has both.
    """
    is_single: dict[str, bool] = {}
    for section, name in keys:
        single = name == single_name
        if is_single.setdefault(section, single) != single:
            raise InvalidCallError(
                f"{label(section, name)}: Name: the section holds both a list and one item"
            )
