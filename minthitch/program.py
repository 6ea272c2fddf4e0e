"""Runs a node as a process: event loop, signals, exit code. Used by `python -m minthitch` and `serve`."""

from __future__ import annotations

import asyncio
import gc
import signal
import sys
from collections.abc import Callable

import uvloop

from minthitch.config import Config, ConfigError
from minthitch.net.node import Node


def report_config_error(err: BaseException) -> int:
    """Prints a configuration error on one line. Returns the exit code."""
    print("minthitch:", " ".join(str(err).split()), file=sys.stderr)
    return 2


def reload(node: Node, read: Callable[[], Config]) -> None:
    """SIGHUP: reads the configuration again; an invalid one changes nothing."""
    try:
        node.reload(read())
    except ConfigError as err:
        node.log(f"configuration not taken: {' '.join(str(err).split())}")


def traced_node(config: Config) -> Node:
    """Returns a node that writes each event and action to the log, for `fleet count`."""
    import atexit

    from minthitch.engine.trace import TracingBalancer  # loaded only if used

    decider = TracingBalancer(config.settings, config.seed, sys.stderr.write)
    atexit.register(decider.flush)
    node = Node(config, decider)
    decider.server_table = node.engine.server_table
    return node


async def serve(config: Config, read: Callable[[], Config], trace: bool = False) -> None:
    """Runs a node until it has drained.

    Raises OSError if it can't listen, ConfigError for an invalid store or operators' address.
    """
    node = traced_node(config) if trace else Node(config)
    recording = None
    if config.record is not None:
        from minthitch.record.attach import Recording  # loaded only if used

        recording = Recording(node.engine, config.record, config.name, node.log)
    recovery = None
    if config.recovery is not None:
        try:
            from minthitch.recovery.runtime import Recovery  # loaded only if used
        except ImportError as err:
            raise ConfigError(f"recovery needs the extra `recovery`: {err}") from None
        recovery = Recovery(node.engine, config.recovery, config.name, node.log, node.list_confirmed_at)
        node.ready_condition = recovery.is_ready
    listener = None
    if config.operators is not None:
        from minthitch.operators.listener import Page, open_listener

        pages: dict[str, Page] = {**recording.pages()} if recording is not None else {}
        if recovery is not None:
            pages["recovery"] = recovery.page
        listener = await open_listener(config.operators, pages, node.log)
    admin = None
    if config.admin is not None:
        from minthitch.admin.listener import open_admin_listener

        admin = await open_admin_listener(config.admin, node, node.log)
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(
        lambda _loop, context: node.log(f"{context.get('message')}: {context.get('exception')!r}")
    )
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, node.drain)
    loop.add_signal_handler(signal.SIGHUP, reload, node, read)
    await node.start()
    gc.collect()
    gc.freeze()  # objects made so far stay, so the garbage collector need not scan them
    await node.finished.wait()
    if admin is not None:
        admin.close()
    if listener is not None:
        await listener.close()
    if recording is not None:
        await recording.close()
    if recovery is not None:
        await recovery.close()
    await node.stop()


def run(config: Config, read: Callable[[], Config], trace: bool = False) -> int:
    """Runs a node. Returns the exit code: 0, 1 if it can't listen, 2 for a configuration error."""
    try:
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(serve(config, read, trace))
    except ConfigError as err:
        return report_config_error(err)
    except OSError as err:
        print(f"minthitch: cannot listen on {config.listen[0]}:{config.listen[1]}: {err}", file=sys.stderr)
        return 1
    return 0
