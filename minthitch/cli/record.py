"""`record`: inspects the store of record, and notes outcomes that an operator found out."""

from __future__ import annotations

import argparse
import json
import os
import sys
from collections.abc import Callable
from typing import Any

from minthitch.config import ConfigError
from minthitch.record.backends import POSTGRES_SCHEMES, open_store
from minthitch.record.model import Resolution
from minthitch.record.serialization import as_json
from minthitch.record.store import Store, StoreError


def add_to(commands: Any) -> None:
    """Add the command's arguments."""
    record = commands.add_parser(
        "record", help="inspect the store of record, and note outcomes that were in doubt"
    )
    record.add_argument(
        "--store", required=True, metavar="PATH|URL", help="the store, as in the setting record.store"
    )
    subcommands = record.add_subparsers(dest="subcommand", required=True)
    show = subcommands.add_parser(
        "show", help="print the record of one request as JSON; exit code 1 if there is none"
    )
    show.add_argument("identity")
    subcommands.add_parser(
        "doubtful", help="list the requests that may have run and whose outcome is unknown"
    )
    resolve = subcommands.add_parser("resolve", help="note the outcome of a doubtful or failed request")
    resolve.add_argument("identity")
    resolve.add_argument("found", choices=[outcome.value for outcome in Resolution])
    resolve.add_argument("--why", required=True, help="how the outcome was found out")
    subcommands.add_parser("export", help="print every record, as JSON lines")


def _show(store: Store, args: argparse.Namespace) -> int:
    record = store.get(args.identity)
    if record is None:
        print(f"minthitch: no record of {args.identity!r}", file=sys.stderr)
        return 1
    print(json.dumps(as_json(record, store.conflicts(args.identity)), indent=2))
    return 0


def _doubtful(store: Store, _args: argparse.Namespace) -> int:
    for record in store.doubtful():
        shown = as_json(record)
        print(
            f"{record.identity}  {record.state.value}  {shown['made']}  {record.cls}  {record.node}  "
            f"{record.server}  {record.reason}"
        )
    return 0


def _resolve(store: Store, args: argparse.Namespace) -> int:
    record = store.resolve(args.identity, Resolution(args.found), args.why)
    print(f"{record.identity} is noted as {args.found}")
    return 0


def _export(store: Store, _args: argparse.Namespace) -> int:
    for record in store.export():
        print(json.dumps(as_json(record)))
    return 0


HANDLERS: dict[str, Callable[[Store, argparse.Namespace], int]] = {
    "show": _show,
    "doubtful": _doubtful,
    "resolve": _resolve,
    "export": _export,
}


def main(args: argparse.Namespace) -> int:
    """Run one of the subcommands.

    Returns:
        The exit code: 1 where there is no such record.

    Raises:
        ConfigError: the store can't be opened or read.
    """
    # Opening a missing file would create an empty store, which reports no records.
    if not args.store.startswith(POSTGRES_SCHEMES) and not os.path.exists(args.store):
        raise ConfigError(f"--store {args.store!r}: no such file")
    store: Store | None = None
    try:
        store = open_store(args.store)
        store.open()
        return HANDLERS[args.subcommand](store, args)
    except StoreError as err:
        raise ConfigError(str(err)) from None
    except BrokenPipeError:
        return 0
    finally:
        if store is not None:
            store.close()
