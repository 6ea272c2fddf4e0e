"""How both daemons begin and end: settings, what they can't do without, the loop, the exit code."""

from __future__ import annotations

import os
from collections.abc import Callable, Coroutine, Iterable
from typing import Any

import uvloop

from minthitch.mesh.configuration.settings import NodeSettings, SettingsError, load_settings
from minthitch.mesh.events.events import Event, log_event, open_log


def load_seeds() -> tuple[str, ...]:
    """The seeds' IP numbers as the settings file has them now; none where it can't be used."""
    try:
        return tuple(seed.rpartition(":")[0] for seed in load_settings().net.seeds)
    except SettingsError as err:  # caught half written, or wrong: what is known stays
        log_event(Event.SETTINGS, key=err.key, value=err.value, why=err.why)
        return ()


def run(
    serve: Callable[[NodeSettings], Coroutine[Any, Any, int]],
    needs: Callable[[NodeSettings], Iterable[tuple[str, str]]],
) -> int:
    """Gives 2 for settings that can't be used, `needs` (key, value) too; else ends with `serve`'s code."""
    open_log()
    try:
        boot = load_settings()
        for key, value in needs(boot):
            if not value:
                raise SettingsError(key, "", "is missing")
    except SettingsError as err:
        log_event(Event.SETTINGS, key=err.key, value=err.value, why=err.why)
        return 2
    code = uvloop.run(serve(boot))
    os._exit(code)  # nothing is left to be written; the interpreter's own end takes its time
