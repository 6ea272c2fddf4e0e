"""`lab mesh-days`: generates days of faults for a mesh deployment that together cover all pairs of faults."""

from __future__ import annotations

import argparse
from pathlib import Path
from typing import Any

from minthitch.config import ConfigError


def add_to(subcommands: Any) -> None:
    """Add the subcommand's arguments."""
    mesh = subcommands.add_parser(
        "mesh-days", help="write generated days for the mesh, in which faults of different kinds overlap"
    )
    mesh.add_argument("site", type=Path, help="the site's file (.toml)")
    mesh.add_argument(
        "--also",
        type=Path,
        nargs="+",
        default=[],
        metavar="SITE",
        help="other sites' files, for kinds of fault that this site lacks",
    )
    mesh.add_argument(
        "--page",
        type=Path,
        metavar="FILE",
        help="the benchmark's list of kinds: use only these, with their variants",
    )
    mesh.add_argument("--seed", type=int, default=1)
    mesh.add_argument("--count", type=int, default=20, metavar="K", help="days (20)")
    mesh.add_argument(
        "--mix", type=int, default=4, metavar="M", help="kinds of fault on one day (4); 1: each kind alone"
    )
    mesh.add_argument("--out", type=Path, metavar="DIR", required=True)


def _site(path: Path) -> dict[str, Any]:
    import tomllib

    try:
        return tomllib.loads(path.read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as err:
        raise ConfigError(f"{path}: {err}") from None


def main(args: argparse.Namespace) -> int:
    """Generate and write the days.

    Raises:
        ConfigError: a file can't be read or written.
    """
    import tomli_w

    from minthitch.lab import meshdays

    try:
        kinds = None if args.page is None else meshdays.page(args.page.read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError) as err:
        raise ConfigError(f"--page {args.page}: {err}") from None
    drawn = meshdays.pool(_site(args.site), [_site(path) for path in args.also], kinds)
    for day in meshdays.days(drawn, args.seed, args.count, args.mix):
        path = args.out / f"{day['name']}.toml"
        try:
            args.out.mkdir(parents=True, exist_ok=True)
            path.write_text(tomli_w.dumps({"day": [day]}), encoding="utf-8")
        except OSError as err:
            raise ConfigError(f"{path}: {err}") from None
        print(f"{path}: {' '.join(meshdays.kinds_of(day))}")
    return 0
