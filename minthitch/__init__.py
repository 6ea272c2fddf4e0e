"""minthitch: load balancing for services that call services, as a node or in your own service.

These names are the public API and stay stable. Each is imported on first use, so that the node and the
simulator's adapter load no library.
"""

from __future__ import annotations

TYPE_CHECKING = False  # avoids importing typing
if TYPE_CHECKING:
    from typing import Any

    from minthitch.config import Config, ConfigError
    from minthitch.embedded.client import BlockingClient, Client, configure
    from minthitch.embedded.errors import BadCall, ClientClosed, ClientError
    from minthitch.engine.calls import Answer, Failed, Refused, Served
    from minthitch.interface import Effect, Group, RequestClass, Settings
    from minthitch.policy import Balancer

__all__ = [
    "Answer",
    "BadCall",
    "Balancer",
    "BlockingClient",
    "Client",
    "ClientClosed",
    "ClientError",
    "Config",
    "ConfigError",
    "Effect",
    "Failed",
    "Group",
    "Refused",
    "RequestClass",
    "Served",
    "Settings",
    "configure",
]
_NAMES = {
    "minthitch.config": ("Config", "ConfigError"),
    "minthitch.embedded.client": ("BlockingClient", "Client", "configure"),
    "minthitch.embedded.errors": ("BadCall", "ClientClosed", "ClientError"),
    "minthitch.engine.calls": ("Answer", "Failed", "Refused", "Served"),
    "minthitch.interface": ("Effect", "Group", "RequestClass", "Settings"),
    "minthitch.policy": ("Balancer",),
}
_MODULE_OF = {name: module for module, names in _NAMES.items() for name in names}


def __getattr__(name: str) -> Any:
    if name not in _MODULE_OF:
        raise AttributeError(f"module 'minthitch' has no attribute {name!r}")
    from importlib import import_module

    return getattr(import_module(_MODULE_OF[name]), name)


def __dir__() -> list[str]:
    return sorted(__all__)
