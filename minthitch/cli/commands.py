"""`python -m minthitch COMMAND`. Defines the arguments; other modules do the work."""

from __future__ import annotations

import argparse
import json
import os
from collections.abc import Callable, Sequence
from dataclasses import replace
from pathlib import Path

from minthitch import config as platform
from minthitch import operatorfile
from minthitch.cli import fleet, lab, record, recovery
from minthitch.config import MAX_SOCKETS, Config, ConfigError
from minthitch.listing import ListError, parse_address, static_listing
from minthitch.program import report_config_error, run

MESH = "mesh"  # `minthitch.cli.mesh` parses its arguments, with another library
MIN_SOCKETS = 64
MAX_DEMO_SECONDS = 600


def parser() -> argparse.ArgumentParser:
    """The arguments of all commands but `mesh`."""
    top = argparse.ArgumentParser(
        prog="python -m minthitch",
        description="A load-balancing node. Without a command, BALANCER_CONFIG names its configuration.",
    )
    commands = top.add_subparsers(dest="command", required=True)
    serve = commands.add_parser("serve", help="run a node from an operator file and flags")
    serve.add_argument("config", nargs="?", help="operator file (.toml) or platform configuration (.json)")
    serve.add_argument("--listen", metavar="ADDRESS:PORT", help="address to accept clients at")
    serve.add_argument(
        "--server",
        metavar="ADDRESS:PORT",
        action="append",
        default=[],
        help="a server; repeat it for a static list, which needs no discovery",
    )
    serve.add_argument(
        "--discovery", metavar="ADDRESS:PORT", help="service that provides the list of servers"
    )
    serve.add_argument("--name", help="the node's name, printed before each log line")
    serve.add_argument("--sockets", type=int, metavar="N", help="most file descriptors used, 64 to 1024")
    check = commands.add_parser(
        "check", help="check a configuration: exit code 0, or 2 with the invalid key and value"
    )
    check.add_argument("config", help="operator file (.toml) or platform configuration (.json)")
    demo = commands.add_parser("demo", help="run test servers, discovery, a node and traffic on loopback")
    demo.add_argument("--seconds", type=float, default=20.0, help="duration (1 to 600; default 20)")
    demo.add_argument("--plain", action="store_true", help="print lines instead of a live table")
    commands.add_parser("traced", help="start as the platform does, and log each event and action")
    record.add_to(commands)
    lab.add_to(commands)
    fleet.add_to(commands)
    recovery.add_to(commands)
    commands.add_parser(MESH, add_help=False, help="the mesh: settings, data folders, events (extra `mesh`)")
    return top


def read(path: str) -> Config:
    """Read a configuration; the file suffix tells its format. Raises ConfigError."""
    if Path(path).suffix == ".json":
        table = platform.load_object(path)
        config = platform.from_table(table, os.environ)
        own = {key: value for key, value in operatorfile.operators(table).items() if value}
        return replace(
            config,
            record=operatorfile.record_config(table, config.settings),
            recovery=operatorfile.recovery_config(table),
            **own,
        )
    return operatorfile.read(path)


def _config_from_flags(args: argparse.Namespace) -> Config:
    """The file's configuration, overridden by the flags. Raises ConfigError."""
    if args.config is None:
        raise ConfigError(
            "serve needs a configuration: its classes state which requests may run more than once"
        )
    config = read(args.config)
    if args.server and args.discovery:
        raise ConfigError("--server and --discovery: either one or the other")
    try:
        if args.listen is not None:
            config = replace(config, listen=parse_address(args.listen))
        if args.server:
            config = replace(config, known=static_listing(args.server), discovery="")
        if args.discovery is not None:
            parse_address(args.discovery)
            config = replace(config, discovery=args.discovery)
    except ListError as err:
        raise ConfigError(str(err)) from None
    if args.sockets is not None:
        if not MIN_SOCKETS <= args.sockets <= MAX_SOCKETS:
            raise ConfigError(f"--sockets {args.sockets} is not from {MIN_SOCKETS} to {MAX_SOCKETS}")
        config = replace(config, sockets=args.sockets)
    if config.listen == operatorfile.NO_LISTEN_ADDRESS:
        raise ConfigError("listen is missing: in the file or as --listen ADDRESS:PORT")
    return replace(config, name=args.name) if args.name else config


def _describe(config: Config) -> str:
    """Summarise a configuration as one line of JSON."""
    servers = [f"{host.address}:{host.port}" for host in config.known.hosts]
    return json.dumps(
        {
            "name": config.name,
            "discovery": config.discovery or None,
            "servers": servers or None,
            "classes": {c.name: c.effect.value for c in config.settings.classes},
            "max_open": config.settings.max_open,
            "sockets": config.sockets,
        }
    )


def _mesh(argv: Sequence[str]) -> int:
    try:
        from minthitch.cli import mesh  # nodes and daemons must not load its library

        return mesh.main(argv)
    except ModuleNotFoundError as err:
        return report_config_error(
            ConfigError(f"mesh: no module {err.name}: the extra `mesh` is not installed")
        )
    except ConfigError as err:
        return report_config_error(err)


def main(argv: Sequence[str]) -> int:
    """Run one command.

    Returns:
        Its exit code; 2 for an invalid configuration.
    """
    if argv[:1] == [MESH]:
        return _mesh(argv[1:])
    args = parser().parse_args(argv)
    try:
        return COMMANDS[args.command](args)
    except ConfigError as err:
        return report_config_error(err)


def _check(args: argparse.Namespace) -> int:
    print(f"{args.config}: good {_describe(read(args.config))}")
    return 0


def _traced(_args: argparse.Namespace) -> int:
    path = os.environ.get("BALANCER_CONFIG", "")
    if not path:
        raise ConfigError("BALANCER_CONFIG names no file")
    return run(read(path), lambda: read(path), trace=True)


def _serve(args: argparse.Namespace) -> int:
    return run(_config_from_flags(args), lambda: _config_from_flags(args))


def _demo(args: argparse.Namespace) -> int:
    if not 1 <= args.seconds <= MAX_DEMO_SECONDS:
        raise ConfigError(f"--seconds {args.seconds} is not from 1 to {MAX_DEMO_SECONDS}")
    from minthitch.cli import demo  # needs the repository's test servers

    return demo.main(args.seconds, args.plain)


COMMANDS: dict[str, Callable[[argparse.Namespace], int]] = {
    "check": _check,
    "record": record.main,
    "fleet": fleet.main,
    "recovery": recovery.main,
    "lab": lab.main,
    "traced": _traced,
    "serve": _serve,
    "demo": _demo,
}
