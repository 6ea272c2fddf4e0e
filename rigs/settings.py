"""The settings of a small tier, in the platform's form."""

from __future__ import annotations

from typing import Any

MS = 1_000_000

SETTINGS: dict[str, Any] = {
    "areas": ["z"],
    "flavors": ["k"],
    "registryMode": "push",
    "siblings": 1,
    "tier": 1,
    "periodNs": 5 * MS,
    "classes": [
        {"name": "safe", "effect": "repeatable", "objectiveNs": 4000 * MS, "deadlineNs": 8000 * MS},
        {
            "name": "keyed",
            "effect": "by_key",
            "group": "cell",
            "windowNs": 10000 * MS,
            "objectiveNs": 4000 * MS,
            "deadlineNs": 8000 * MS,
        },
        {"name": "unsafe", "effect": "once", "objectiveNs": 4000 * MS, "deadlineNs": 8000 * MS},
    ],
    "policyLimits": {
        "connectTimeoutNs": 2000 * MS,
        "idleCloseNs": 600_000 * MS,
        "maxOpen": 100,
        "sendCap": 4,
        "maxRetryAfterNs": 2000 * MS,
        "mayCancel": True,
        "mayDuplicate": True,
        "retryAfter": True,
    },
    "rules": {"drainGraceNs": 500 * MS, "graceToAnswerNs": 20 * MS},
}


def settings_with(**parts: Any) -> dict[str, Any]:
    table = dict(SETTINGS)
    for name, part in parts.items():
        table[name] = {**table[name], **part} if isinstance(part, dict) else part
    return table
