"""One real node: `python -m minthitch`, told what it is by the file named in BALANCER_CONFIG."""

from __future__ import annotations

import asyncio
import gc
import os
import signal
import sys

import uvloop

from minthitch.config import Config, ConfigError, read_config
from minthitch.net.node import Node


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
