"""Planned work only: whatever a sidecar has accepted is answered before its process ends."""

from __future__ import annotations

import unittest

from rigs.simulation.mesh import GRACE, Site
from rigs.simulation.people import Operators, People
from rigs.simulation.planned_work import TIMEOUT, play_planned_work
from rigs.simulation.play import Day, Deed, Played, play
from rigs.simulation.schedule import Fault

SIGTERM_AT = 5.0
PATIENCE = 1.5 * GRACE  # seconds that the clients of the cases wait: longer than a shutdown takes
CASE = Day(seconds=12.0, rate=0.2, quiet=9.0, failure_rate=0.0, timeout=TIMEOUT)


def ask(kind: str, key: str = "") -> Deed:
    def deed(site: Site, people: People, operators: Operators) -> None:
        people.ask(site.sidecars[0], kind, key, lambda status, body: None, PATIENCE)

    return deed


def silent_servers(site: Site, people: People, operators: Operators) -> None:
    for sidecar in site.sidecars:
        sidecar.server.silent_rate = 1.0


def shut_down(*deeds: tuple[float, Deed]) -> Played:
    """Sidecar 0 gets SIGTERM."""
    return play(1, [Fault(SIGTERM_AT, "leave-sidecar", 0)], CASE._replace(deeds=deeds))


def answers(played: Played, sidecar: str, since: float, until: float) -> list[int]:
    """What the requests that came there in that time were answered."""
    asked = {e.data["id"] for e in played.history.of("asked") if e.who == sidecar and since <= e.at < until}
    return [e.data["status"] for e in played.history.of("told") if e.data["id"] in asked]


class AcceptedBeforeSigterm(unittest.TestCase):
    """Incident 16: they kept their client's deadline, beyond the end of the process."""

    def check(self, kind: str, key: str, status: int) -> None:
        at = SIGTERM_AT - 0.2
        played = shut_down((at - 0.1, silent_servers), (at, ask(kind, key)))
        self.assertEqual(played.broken, [])
        self.assertEqual(answers(played, "10.0.0.11", at, at + 0.01), [status])

    def test_idempotent_request(self) -> None:
        self.check("idempotent", "", 504)

    def test_keyed_request(self) -> None:
        self.check("keyed", "k", 504)

    def test_request_that_may_run_once(self) -> None:
        self.check("mutating", "", 504)


class Drawn(unittest.TestCase):
    def test_days_of_planned_work_break_nothing(self) -> None:
        for seed in (7, 8, 10):
            with self.subTest(seed=seed):
                self.assertEqual(play_planned_work(seed).broken, [])


if __name__ == "__main__":
    unittest.main()
