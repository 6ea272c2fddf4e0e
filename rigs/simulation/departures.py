"""Days on which servers leave, while sidecars and control nodes are restarted and heartbeats are late.

A server says `draining`, or deregisters at once, serves on for some seconds and ends. Heartbeats that it sent
before are delivered again later, each once or more, in any order. Sidecars and control nodes are killed, shut
down, frozen and cut off around that moment.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import NamedTuple

from rigs.simulation.clients import Clients, Operators
from rigs.simulation.mesh import SIDECARS, Site
from rigs.simulation.play import Action, Day, Played, play, print_days
from rigs.simulation.schedule import Fault
from rigs.simulation.servers import HeartbeatCall, Server

FIRST_S, LAST_S = 3.0, 12.0  # the first departure, and the last
SERVES_ON_S = (4.0, 7.0)  # range of the time from a departure to the end of the server
NEXT_START_S = 0.3  # from the end of a server to the start of the next one in its place
MAX_LATENESS_S = 6.0  # of a heartbeat
SIDECAR_FAULTS = ("kill-sidecar", "kill-sidecar", "leave-sidecar", "freeze-sidecar", "control-lost")
CORE_FAULTS = ("kill-control", "freeze-control", "leave-control", "all-killed", "all-power", "hang-disk")


class Departure(NamedTuple):
    """How one server leaves. Times are in seconds from the start of the day, delays from the departure."""

    at: float
    sidecar: int
    drains: bool  # whether it says `draining`, and deregisters only at its end
    serves_on: float
    late: tuple[float, ...]  # delays of heartbeats that were sent before

    def actions(self) -> tuple[tuple[float, Action], ...]:
        """What happens in a day by this departure."""
        sent: list[HeartbeatCall] = []
        leaving: list[int] = []  # the incarnation that leaves

        def leave(server: Server) -> None:
            if not server.up or server.state != "up":
                return
            leaving.append(server.number)
            sent.append(server.heartbeat_call())
            if self.drains:
                server.drain()
            else:
                server.leave()

        def deliver(server: Server) -> None:
            for heartbeat in sent:
                server.deliver(heartbeat)

        def end(server: Server) -> None:
            if server.up and leaving == [server.number]:
                if self.drains:
                    server.leave()
                server.crash()
                server.loop.after(NEXT_START_S, server.loop.world, server.start)

        return (
            (self.at, self._at_server(leave)),
            *((self.at + delay, self._at_server(deliver)) for delay in self.late),
            (self.at + self.serves_on, self._at_server(end)),
        )

    def _at_server(self, call: Callable[[Server], None]) -> Action:
        def action(site: Site, clients: Clients, operators: Operators) -> None:
            call(site.sidecars[self.sidecar].server)

        return action


def draw_departures(seed: int) -> tuple[list[Fault], Day]:
    """Draws the departures of a day, and the faults around them."""
    draw = random.Random(seed ^ 0xDE9A27)
    schedule: list[Fault] = []
    actions: tuple[tuple[float, Action], ...] = ()
    at = FIRST_S + draw.uniform(0.0, 1.0)
    while at < LAST_S - SERVES_ON_S[0]:
        for sidecar in draw.sample(range(len(SIDECARS)), draw.choice((1, 1, 2))):
            departure = _draw_departure(draw, at, sidecar)
            actions += departure.actions()
            schedule += _draw_faults(draw, departure)
        at += SERVES_ON_S[1] + draw.uniform(0.0, 2.0)
    day = Day(
        seconds=LAST_S + 2.0, rate=draw.choice((4.0, 10.0)), failure_rate=0.0, quiet=7.0, actions=actions
    )
    return sorted(schedule), day


def _draw_departure(draw: random.Random, at: float, sidecar: int) -> Departure:
    late = tuple(sorted(draw.uniform(0.0, MAX_LATENESS_S) for _ in range(draw.randrange(1, 4))))
    return Departure(at, sidecar, draw.random() < 0.5, draw.uniform(*SERVES_ON_S), late)


def _draw_faults(draw: random.Random, departure: Departure) -> list[Fault]:
    """Faults of the leaving server's sidecar, and at times of the control nodes, around the departure."""
    moments = [draw.choice((0.001, 0.02, 0.1, draw.uniform(0.0, 2.0))) for _ in range(draw.choice((1, 1, 2)))]
    faults = [
        Fault(
            round(departure.at + sum(moments[: number + 1]), 3),
            draw.choice(SIDECAR_FAULTS),
            departure.sidecar,
            draw.choice((0.3, 0.5, 1.5)),
        )
        for number in range(len(moments))
    ]
    if draw.random() < 0.5:
        moment = departure.at + draw.choice((-0.2, -0.01, 0.005, draw.uniform(0.0, 2.0)))
        faults.append(
            Fault(
                round(moment, 3), draw.choice(CORE_FAULTS), draw.choice((-1, 0, 1)), draw.choice((0.3, 1.0))
            )
        )
    return faults


def play_departures(seed: int) -> Played:
    """Runs the day drawn from this seed."""
    schedule, day = draw_departures(seed)
    return play(seed, schedule, day)


def main(argv: list[str]) -> None:
    """`python -m rigs.simulation.departures FIRST COUNT`: the rules that each of these days violated."""
    print_days("departures", play_departures, argv)


if __name__ == "__main__":
    import sys

    main(sys.argv[1:])
