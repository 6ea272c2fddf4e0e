"""Start and end of both daemons: settings, required settings, event loop, exit code."""

from __future__ import annotations

import os
from collections.abc import Callable, Coroutine, Iterable
from typing import Any

import uvloop

from minthitch.mesh.configuration.settings import NodeSettings, SettingsError, load_settings
from minthitch.mesh.events.events import Event, log_event, open_log


def load_seeds() -> tuple[str, ...]:
    """The IP addresses of the seeds, from the settings file as it is now; empty if it can't be used."""
    try:
        return tuple(seed.rpartition(":")[0] for seed in load_settings().net.seeds)
    except SettingsError as err:  # invalid, or read while it was being written: the known seeds stay in use
        log_event(Event.SETTINGS, key=err.key, value=err.value, why=err.reason)
        return ()


def run(
    serve: Callable[[NodeSettings], Coroutine[Any, Any, int]],
    required: Callable[[NodeSettings], Iterable[tuple[str, str]]],
) -> int:
    """Run a daemon.

    Exits the process with the code that `serve` returns. Returns 2 if the settings can't be used, or one of
    those that `required` lists, as (key, value), is empty.
    """
    open_log()
    try:
        settings = load_settings()
        for key, value in required(settings):
            if not value:
                raise SettingsError(key, "", "is missing")
    except SettingsError as err:
        log_event(Event.SETTINGS, key=err.key, value=err.value, why=err.reason)
        return 2
    code = uvloop.run(serve(settings))
    os._exit(code)  # nothing is left to be written, and the interpreter's own shutdown takes time
