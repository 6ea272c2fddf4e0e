"""A real daemon that counts: `python -m rigs.hollow.program control|sidecar`, with the daemon's settings.

`sidecar+profile` runs under the profiler of the standard library, and tells where its time went.
"""

from __future__ import annotations

import cProfile
import sys
from types import CodeType
from typing import Any

from minthitch.mesh.control.program import main as control
from minthitch.mesh.sidecar.program import main as sidecar
from rigs.hollow.channel import listen
from rigs.hollow.meter import Meter

OWN = "/minthitch/"


def main() -> int:
    """Runs the daemon. Every request on standard input is answered with what it has used so far."""
    name, _, profiled = sys.argv[1].partition("+")
    meter = Meter()
    profile = cProfile.Profile() if profiled else None
    if profile is None:
        meter.install()
    listen(lambda request: {**meter.usage(), "profile": _shares(profile)})
    if profile is not None:
        profile.enable()
    return control() if name == "control" else sidecar()


def _shares(profile: cProfile.Profile | None) -> dict[str, list[float]]:
    """Seconds spent in each module of ours and in each library function, and how often it was called."""
    shares: dict[str, list[float]] = {}
    for entry in profile.getstats() if profile is not None else ():
        share = shares.setdefault(_place(entry.code), [0.0, 0.0])
        share[0] += entry.inlinetime
        share[1] += entry.callcount
    return shares


def _place(code: Any) -> str:
    if not isinstance(code, CodeType):
        return str(code)
    path = code.co_filename
    if OWN in path:
        return "minthitch." + path.rpartition(OWN)[2].removesuffix(".py").replace("/", ".")
    return f"{path.rpartition('/')[2]}:{code.co_name}"


if __name__ == "__main__":
    sys.exit(main())
