"""The operator: sends a configuration to one control node after the other until one takes it, and reads it
back.
"""

from __future__ import annotations

import asyncio
import json
from typing import Any

from rigs.mesh_demo.servers import HEALTH, HOST
from rigs.mesh_demo.wire import Answer, Door, request

SILENCE = 1.0  # seconds without an answer after which the next control node is asked
PAUSE = 0.05  # seconds before the second try; doubles
TRIES = 12
FINAL = (400, 409, 412, 413, 422)
Item = dict[str, Any]
Call = dict[str, Any]


def route(name: str, prefix: str, kind: str, service: str, ver: int, **more: Any) -> Item:
    return {
        "Name": name,
        "Host": HOST,
        "Pfx": prefix,
        "Kind": kind,
        "TmoS": 2,
        "GoalS": 0.4,
        "Prio": 1,
        "Svc": service,
        "Tries": 2,
        "Ver": f"{ver:08x}",
        **more,
    }


def service(name: str, ver: int) -> Item:
    return {
        "Name": name,
        "Hc": HEALTH,
        "Maxconn": 64,
        "Proto": "h1",
        "Tls": False,
        "Dedup": False,
        "Ver": f"{ver:08x}",
    }


def first() -> Call:
    return {
        "Upsert": {
            "Routes": [
                route("tiles", "/tiles/", "idempotent", "maps", 3),
                route("trips", "/trips/", "idempotent", "desk", 3, GoalS=0.6),
                route("pay", "/pay/", "keyed", "desk", 3, Prio=0),
                route("photos", "/photos/", "upload", "maps", 3, Prio=2),
            ],
            "Svcs": [service("maps", 3), service("desk", 3)],
            "Limits": {"HdrBytes": 16384, "BodyBytes": 4194304, "HdrS": 3, "IdleS": 15, "Ver": "00000003"},
        },
        "Del": {},
    }


def change() -> Call:
    """One route more, and another that moves to other figures."""
    return {
        "Upsert": {
            "Routes": [
                route("news", "/news/", "idempotent", "maps", 8),
                route("tiles", "/tiles/", "idempotent", "maps", 8, GoalS=0.3),
            ]
        },
        "Del": {},
    }


class Operator:
    """Knows the control nodes' addresses."""

    def __init__(self, ips: list[str], port: int) -> None:
        self.doors = [Door(ip, port) for ip in ips]
        self.at = 0
        self.refused = ""  # what the last call that ended for good was told

    async def patch(self, call: Call) -> bool:
        """Whether it was acknowledged."""
        answer = await self._ask("POST", "/Config.Patch", json.dumps(call).encode())
        return answer is not None and answer.status == 200

    async def read_back(self) -> list[Any]:
        """What each control node gives, in turn; None from one that gives nothing."""
        found: list[Any] = []
        for number in range(len(self.doors)):
            self.at = number
            answer = await self._ask("GET", "/Config.Fetch", b"", only=True)
            found.append(json.loads(answer.body) if answer is not None and answer.status == 200 else None)
        return found

    async def _ask(self, method: str, path: str, body: bytes, only: bool = False) -> Answer | None:
        pause = PAUSE
        for _ in range(TRIES):
            door = self.doors[self.at % len(self.doors)]
            answer = await _once(door, method, path, body)
            if answer is not None and (answer.status < 300 or answer.status in FINAL):
                self.refused = "" if answer.status < 300 else answer.body.decode(errors="replace")
                return answer
            self.at += not only
            await asyncio.sleep(pause)
            pause = min(2 * pause, 1.0)
        return None

    def close(self) -> None:
        for door in self.doors:
            door.close()


async def _once(door: Door, method: str, path: str, body: bytes) -> Answer | None:
    """One call, following 307 twice."""
    fields = {"Host": "ctl", "Content-Type": "application/json"}
    for _ in range(3):
        try:
            answer = await door.ask(request(method, path, fields, body), SILENCE)
        except OSError:
            return None
        if answer.status != 307:
            return answer
        where = answer.fields.get(b"location", b"").decode().removeprefix("http://").partition("/")[0]
        ip, _, port = where.rpartition(":")
        if not ip or not port.isdigit():
            return None
        door = Door(ip, int(port))  # of one call; closed by the control node when it idles
    return None


def stands(calls: list[Call]) -> dict[str, list[Item]]:
    """What must be read back: the newest of each name."""
    table: dict[str, dict[str, Item]] = {"Routes": {}, "Svcs": {}}
    for call in calls:
        for section, names in table.items():
            for item in call["Upsert"].get(section, []):
                names[item["Name"]] = item
    return {section: _by_name(list(names.values())) for section, names in table.items()}


def same(found: Any, calls: list[Call]) -> bool:
    """Whether what was read back is what was sent."""
    wanted = stands(calls)
    return (
        isinstance(found, dict)
        and found.get("Limits") == calls[0]["Upsert"]["Limits"]
        and all(_by_name(found.get(section, [])) == items for section, items in wanted.items())
    )


def _by_name(items: list[Item]) -> list[Item]:
    return sorted(items, key=lambda item: str(item["Name"]))
