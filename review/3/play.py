"""Clients give up and close their connections; their requests reach a server later all the same."""

from __future__ import annotations

import asyncio
import contextlib
import sys
from collections.abc import Callable
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parents[1] / "lib"))

from mesh import (
    BROKEN,
    HELD,
    Asked,
    Mesh,
    Process,
    Record,
    Server,
    UnableError,
    configuration,
    encode,
    main,
    route,
)

SLOTS, WORK_S = 2, 0.4  # of a server; that a run takes
AIM_S, TIMEOUT_S = 3.2, 8.5  # GoalS and TmoS of the route, as of the uploads of safar-mesh-large
BURSTS, CLIENTS = 3, 24  # bursts; clients of one burst, half of which give up
GIVE_UP_S = 0.25  # after which they do
LATE_S, A_FEW = 0.5, 5  # of the rule: so long after the close; more requests than this are "more than a few"
CLIENTS_AT = (2, 3)  # sidecars that the clients are at


async def work(_server: Server, asked: Asked) -> tuple[int, bytes]:
    """Work on a sale."""
    await asyncio.sleep(WORK_S)
    return 200, asked.fields["x-request-id"].encode()


async def give_up(mesh: Mesh, sidecar: Process, ident: str, left: Callable[[str], None]) -> None:
    """Send a request on a new connection, wait for a while, and close the connection."""
    _reader, writer = await asyncio.open_connection(sidecar.ip, mesh.ports["out"])
    fields = {"Host": "app.example", "X-Request-Id": ident, "X-Deadline-Ms": str(int(TIMEOUT_S * 1000))}
    mesh.record.note(f"sent   {ident} at {sidecar.name}")
    writer.write(encode("POST", "/sale/", fields, b"1"))
    await asyncio.sleep(GIVE_UP_S)
    writer.close()
    with contextlib.suppress(ConnectionError):
        await writer.wait_closed()
    mesh.record.note(f"left   {ident} at {sidecar.name}: the client has closed its connection")
    left(ident)


async def play(record: Record, trouble: bool) -> int:
    """The case."""
    mesh = Mesh(record, ["desk", "desk", "board", "board"], slots=SLOTS)
    loop = asyncio.get_running_loop()
    left: dict[str, float] = {}
    late: list[float] = []

    def on_run(_server: Server, asked: Asked) -> None:
        ident = asked.fields["x-request-id"]
        if ident in left and loop.time() - left[ident] > LATE_S:
            late.append(loop.time() - left[ident])
            record.note(f"LATE   {ident} reaches a server {late[-1]:.2f} s after its client's close")

    async def one(burst: int, client: int) -> int:
        ident, sidecar = f"b{burst}-{client}", mesh.sidecars[CLIENTS_AT[client // 2 % 2]]
        if trouble and client % 2:
            await give_up(mesh, sidecar, ident, lambda name: left.update({name: loop.time()}))
            return 0
        answer = await mesh.request(sidecar, "POST", "/sale/", {"X-Request-Id": ident}, b"1", TIMEOUT_S)
        return answer.status if answer is not None else 0

    mesh.on_run = on_run
    for server in mesh.servers[:2]:
        server.work = work
    try:
        routes = [
            route("sale", "/sale/", "mutating", "desk", GoalS=AIM_S, TmoS=TIMEOUT_S),
            route("board", "/board/", "idempotent", "board"),
        ]
        await mesh.start(configuration(["desk", "board"], routes))
        for number in range(16):  # the sidecars learn how long a run takes
            answer = await mesh.request(
                mesh.sidecars[CLIENTS_AT[number % 2]],
                "POST",
                "/sale/",
                {"X-Request-Id": f"w{number}"},
                b"1",
                3.0,
            )
            if answer is None or answer.status != 200:  # noqa: PLR2004
                raise UnableError("a first request was not served")
        for burst in range(1, BURSTS + 1):
            statuses = await asyncio.gather(*(one(burst, client) for client in range(CLIENTS)))
            await asyncio.sleep(AIM_S + 1.0)
            record.say(f"burst {burst}: {statuses.count(200)} served, {len(late)} late arrivals so far")
        broken = len(late) > A_FEW
        record.say(
            f"GONE {'broken' if broken else 'held'}: {len(left)} clients had left; requests of {len(late)} "
            f"reached a server over {LATE_S} s later, {max(late, default=0.0):.1f} s at most"
        )
        return BROKEN if broken else HELD
    finally:
        await mesh.end()


main(play)
