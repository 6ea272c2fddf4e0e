"""One real node: `python -m minthitch`, told what it is by the file named in BALANCER_CONFIG."""

from __future__ import annotations

import asyncio
import gc
import json
import os
import signal
import sys
from typing import Any

import uvloop

from minthitch import settings
from minthitch.net import discovery
from minthitch.net.node import Config, Node


class ConfigError(Exception):
    """A configuration that can't be used; the text is one plain line."""


def _text(table: dict[str, Any], name: str) -> str:
    value = table.get(name) or os.environ.get(f"BALANCER_{name.upper()}")
    if not isinstance(value, str) or not value:
        raise ConfigError(f"{name} is missing")
    return value


def read_config(path: str) -> Config:
    try:
        with open(path, encoding="utf-8") as file:
            table = json.load(file)
    except (OSError, ValueError, RecursionError) as err:
        raise ConfigError(f"{path}: {err}") from None
    if not isinstance(table, dict):
        raise ConfigError(f"{path}: not an object")
    limits = table.get("limits") or {}
    sockets = limits.get("sockets", 1024) if isinstance(limits, dict) else None
    if isinstance(sockets, bool) or not isinstance(sockets, int) or sockets < 64:
        raise ConfigError("limits.sockets is not a whole number of 64 or more")
    known = table.get("known") or {"seq": 0, "whole": True, "hosts": []}
    try:
        discovery.parse_address(_text(table, "discovery"))
        return Config(_text(table, "name"), discovery.parse_address(_text(table, "listen")),
                      _text(table, "discovery"), int(str(table.get("seed", "0")), 16), min(sockets, 1024),
                      discovery.parse_listing(known), settings.from_object(table.get("settings")))
    except (ValueError, discovery.DiscoveryError) as err:
        raise ConfigError(str(err)) from None


def reload(node: Node, path: str) -> None:
    """SIGHUP: reads the file again; one that can't be used changes nothing."""
    try:
        node.reload(read_config(path))
    except ConfigError as err:
        node.log(f"configuration not taken: {' '.join(str(err).split())}")


async def serve(config: Config, path: str) -> None:
    node = Node(config)
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(lambda _loop, context: node.log(
        f"{context.get('message')}: {context.get('exception')!r}"))
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, node.drain)
    loop.add_signal_handler(signal.SIGHUP, reload, node, path)
    await node.start()
    gc.collect()
    gc.freeze()  # what is here now stays; the collector need not walk it
    await node.finished.wait()
    await node.stop()


def main() -> int:
    path = os.environ.get("BALANCER_CONFIG")
    try:
        if not path:
            raise ConfigError("BALANCER_CONFIG names no file")
        config = read_config(path)
    except ConfigError as err:
        print("minthitch:", " ".join(str(err).split()), file=sys.stderr)
        return 2
    try:
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(serve(config, path))
    except OSError as err:
        print(f"minthitch: cannot listen on {config.listen[0]}:{config.listen[1]}: {err}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
