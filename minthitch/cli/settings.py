"""Checks a settings file: errors that prevent a start, and warnings about likely mistakes."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

from msgspec import Struct
from msgspec.structs import fields

from minthitch.mesh.configuration import settings
from minthitch.mesh.control import program as control
from minthitch.mesh.sidecar import program as sidecar
from minthitch.mesh.sidecar.shutdown_schedule import ACCEPT_FRACTION, LINGER_S

# Required settings, by what a process serves.
NEEDS = {"sidecar": sidecar.required_settings, "ctl": control.required_settings}
MIN_GRACE_S = LINGER_S / ACCEPT_FRACTION  # for a sidecar to shut down without refusing a client
SEEDS = 3  # control nodes that found a group


def check(found: settings.NodeSettings) -> None:
    """Raises SettingsError if a key is missing that one of the process's programs requires."""
    for service_kind in found.own.serves:
        if service_kind in NEEDS:
            for key, value in NEEDS[service_kind](found):
                if not value:
                    raise settings.SettingsError(
                        key, "", f"is missing, and a process that serves {service_kind} requires it"
                    )


def warnings(found: settings.NodeSettings, text: str) -> Iterator[str]:
    """A line with key and value for each setting that a start accepts but that is probably a mistake."""
    own, seeds, (first, last) = found.own, found.net.seeds, found.net.port_range
    if not set(own.serves) & set(NEEDS):
        yield f"Self.Serves={','.join(own.serves)}: neither sidecar nor ctl, which the mesh's programs serve"
    if len(set(seeds)) != SEEDS:
        yield f"Net.Seeds={','.join(seeds)}: {len(set(seeds))} control nodes, a group is founded by {SEEDS}"
    if own.init and "ctl" in own.serves:
        yield "Self.Init=true: right for the first start of the whole system only; set it to false after it"
    grace = found.terms.bounds.grace_s
    if "sidecar" in own.serves and grace < MIN_GRACE_S:
        needs = f"a sidecar needs {MIN_GRACE_S:.1f} to shut down without refusing a client"
        yield f"Terms.Bnd.GraceS={grace:g}: {needs}"
    if first == last:
        yield f"Net.PortRange={first},{last}: one port: connections need no more today, a later version may"
    known = set(_known(settings.NodeSettings, ""))
    for key, value in settings.parse_lines(text).items():
        if key not in known and not key.startswith(settings.ZONE_PREFIX):
            yield f"{key}={value}: unknown key; a start ignores it"


def _known(table: type[Struct], path: str) -> Iterator[str]:
    for field in fields(table):
        inner: Any = field.type
        name = path + field.encode_name
        if isinstance(inner, type) and issubclass(inner, Struct):
            yield from _known(inner, name + ".")
        else:
            yield name
