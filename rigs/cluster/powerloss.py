"""The cluster whose power is lost: its policy, its servers and what its clients want."""

from __future__ import annotations

from typing import Any

from rigs.cluster.crowd import Want
from rigs.cluster.machine import Make

COLD = {"cold_share": 0.25, "cold_time": 9.0, "cold_multiple": 2.0, "cold_window": 1.0}  # seconds
MAKE = Make("", "", 2, 0.07, **COLD)
WARM_RATE = MAKE.cores / MAKE.work  # calls a second of a warm server
TABLE: dict[str, Any] = {
    "classes": [
        {"name": "route-search", "effect": "safe", "aim": "1.5s", "deadline": "4s", "worth": 5},
        {
            "name": "save-trip",
            "effect": "keyed",
            "group": "cell",
            "window": "10s",
            "aim": "2.5s",
            "deadline": "6s",
            "worth": 3,
        },
        {"name": "buy-ticket", "effect": "unsafe", "aim": "2.5s", "deadline": "6s", "worth": 8},
    ],
    "limits": {"siblings": 6, "max_retry_after": "2s"},
    "rules": {
        "cold_share": COLD["cold_share"],
        "cold_time": f"{COLD['cold_time']:g}s",
        "cold_multiple": COLD["cold_multiple"],
        "cold_window": f"{COLD['cold_window']:g}s",
    },
}
WANTS = {
    Want("route-search", 4.0, "GET"): 6.0,
    Want("save-trip", 6.0, key=True): 2.0,
    Want("buy-ticket", 6.0): 2.0,
}
DEADLINES = {want.cls: want.deadline for want in WANTS}
AIMS = {"route-search": 1.5, "save-trip": 2.5, "buy-ticket": 2.5}
WORTHS = {"route-search": 5.0, "save-trip": 3.0, "buy-ticket": 8.0}
UNSAFE_CLASSES = frozenset(("buy-ticket",))
