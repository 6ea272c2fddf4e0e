"""What makes an item invalid by itself, and which items can't be valid together."""

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

MAX_SHOWN_NAME = 80  # characters of a name in a message
Key = tuple[str, str]  # section, name


class InvalidCallError(Exception):
    """A call is invalid; the message says in one line which item and why."""


class RouteFacts(NamedTuple):
    """What the checks between items need to know of a route."""

    host: str
    prefix: str
    services: tuple[str, ...]


def label(section: str, name: str, otherwise: str = "") -> str:
    """An item in a message: section and name, or `otherwise` where it has no name."""
    return f"{section} {name[:MAX_SHOWN_NAME]!r}" if name else otherwise or section


def facts_of(item: RouteItem) -> RouteFacts:
    """The facts of a route."""
    return RouteFacts(host_key(item.host), item.pfx, tuple(service for service, _ in services_of(item)))


def problem_of(item: Item) -> str:
    """What is wrong with an item by itself (`key: reason`); empty: nothing."""
    if isinstance(item, RouteItem):
        return _match_problem(item) or _figures_problem(item) or _services_problem(item)
    if isinstance(item, ServiceItem):
        if not item.hc.startswith("/"):
            return "Hc: must start with a slash"
        return "Maxconn: must be at least 1" if item.maxconn < 1 else ""
    if isinstance(item, LimitsItem):
        figures: dict[str, float] = {
            "HdrBytes": item.hdr_bytes,
            "BodyBytes": item.body_bytes,
            "HdrS": item.hdr_s,
            "IdleS": item.idle_s,
        }
        return next((f"{key}: must be over 0" for key, value in figures.items() if value <= 0), "")
    return ""


def _match_problem(item: RouteItem) -> str:
    if not host_key(item.host):
        return "Host: is empty"
    if not item.pfx.startswith("/") or not item.pfx.endswith("/"):
        return "Pfx: must start and end with a slash"
    return ""


def _figures_problem(item: RouteItem) -> str:
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
    """Every route's services exist, and no two routes match the same.

    Raises:
        InvalidCallError: they don't.
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
    """A section is a list or one item: both could not be laid out when read back.

    Raises:
        InvalidCallError: a section is both.
    """
    is_single: dict[str, bool] = {}
    for section, name in keys:
        single = name == single_name
        if is_single.setdefault(section, single) != single:
            raise InvalidCallError(
                f"{label(section, name)}: Name: the section holds both a list and one item"
            )
