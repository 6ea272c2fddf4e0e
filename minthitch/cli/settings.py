"""A settings file judged by the program that will run it: what it can't do without, and what looks wrong."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

from msgspec import Struct
from msgspec.structs import fields

from minthitch.mesh.configuration import settings
from minthitch.mesh.control import program as control
from minthitch.mesh.sidecar import program as sidecar
from minthitch.mesh.sidecar.shutdown_schedule import ACCEPT_FRACTION, LINGER_S

NEEDS = {"sidecar": sidecar.required_settings, "ctl": control.required_settings}  # by what a process serves
LEAST_GRACE = LINGER_S / ACCEPT_FRACTION  # seconds that a sidecar needs to leave without a refused client
SEEDS = 3  # machines that found a group


def check(found: settings.NodeSettings) -> None:
    """Raises BadSettings where a key is missing that one of its programs can't do without."""
    for service_kind in found.own.serves:
        if service_kind in NEEDS:
            for key, value in NEEDS[service_kind](found):
                if not value:
                    raise settings.SettingsError(
                        key, "", f"is missing, and what serves {service_kind} needs it"
                    )


def warnings(found: settings.NodeSettings, text: str) -> Iterator[str]:
    """One line each, with key and value: what a start would take, and its operator may not have meant."""
    own, seeds, (first, last) = found.own, found.net.seeds, found.net.port_range
    if not set(own.serves) & set(NEEDS):
        yield f"Self.Serves={','.join(own.serves)}: neither sidecar nor ctl, which the mesh's programs serve"
    if len(set(seeds)) != SEEDS:
        yield f"Net.Seeds={','.join(seeds)}: {len(set(seeds))} machines, and a group is founded by {SEEDS}"
    if own.init and "ctl" in own.serves:
        yield "Self.Init=true: right for the first start of the whole system only; set it to false after it"
    grace = found.terms.bounds.grace_s
    if "sidecar" in own.serves and grace < LEAST_GRACE:
        needs = f"a sidecar needs {LEAST_GRACE:.1f} to leave without a refused client"
        yield f"Terms.Bnd.GraceS={grace:g}: {needs}"
    if first == last:
        yield f"Net.PortRange={first},{last}: one port: the lines need no more today, a later version may"
    known = set(_known(settings.NodeSettings, ""))
    for key, value in settings.parse_lines(text).items():
        if key not in known and not key.startswith(settings.ZONE_PREFIX):
            yield f"{key}={value}: no such key; a start leaves it aside"


def _known(table: type[Struct], path: str) -> Iterator[str]:
    for field in fields(table):
        inner: Any = field.type
        name = path + field.encode_name
        if isinstance(inner, type) and issubclass(inner, Struct):
            yield from _known(inner, name + ".")
        else:
            yield name
