"""Planned work only: a sidecar answers every request that it has accepted before its process ends."""

from __future__ import annotations

import unittest

from minthitch.mesh.sidecar.shutdown_schedule import ShutdownSchedule
from rigs.simulation.clients import Clients, Operators
from rigs.simulation.history import History
from rigs.simulation.mesh import GRACE_S, Site
from rigs.simulation.planned_work import TIMEOUT, play_planned_work
from rigs.simulation.planted import planted
from rigs.simulation.play import Action, Day, Played, play
from rigs.simulation.schedule import Fault
from rigs.simulation.shutdown_checks import broken_off

SIGTERM_AT = 5.0
PATIENCE = 1.5 * GRACE_S  # seconds that the clients of these cases wait: longer than a shutdown takes
CASE = Day(seconds=12.0, rate=0.2, quiet=9.0, failure_rate=0.0, timeout=TIMEOUT)


def ask(kind: str, key: str = "") -> Action:
    def action(site: Site, clients: Clients, operators: Operators) -> None:
        clients.ask(site.sidecars[0], kind, key, lambda status, body: None, PATIENCE)

    return action


def silent_servers(site: Site, clients: Clients, operators: Operators) -> None:
    for sidecar in site.sidecars:
        sidecar.server.silent_rate = 1.0


def shut_down(*actions: tuple[float, Action]) -> Played:
    """Sidecar 0 gets SIGTERM."""
    return play(1, [Fault(SIGTERM_AT, "leave-sidecar", 0)], CASE._replace(actions=actions))


def answers(played: Played, sidecar: str, since: float, until: float) -> list[int]:
    """Statuses of the requests that came to this sidecar in that time."""
    asked = {e.data["id"] for e in played.history.of("asked") if e.who == sidecar and since <= e.at < until}
    return [e.data["status"] for e in played.history.of("told") if e.data["id"] in asked]


class AcceptedBeforeSigterm(unittest.TestCase):
    """Incident 16: such requests kept their client's deadline, beyond the end of the process."""

    def check(self, kind: str, key: str, status: int) -> None:
        at = SIGTERM_AT - 0.2
        played = shut_down((at - 0.1, silent_servers), (at, ask(kind, key)))
        self.assertEqual(played.broken, [])
        self.assertEqual(answers(played, "10.0.0.11", at, at + 0.01), [status])

    def test_idempotent_request(self) -> None:
        self.check("idempotent", "", 504)

    def test_keyed_request(self) -> None:
        self.check("keyed", "k", 504)

    def test_non_idempotent_request(self) -> None:
        self.check("mutating", "", 504)


class Drawn(unittest.TestCase):
    def test_days_of_planned_work_break_nothing(self) -> None:
        for seed in (2, 3, 7, 8):
            with self.subTest(seed=seed):
                self.assertEqual(play_planned_work(seed).broken, [])


class Planted(unittest.TestCase):
    """`python -m bench.mesh` looks for these faults in more days."""

    def found(self, name: str, seed: int) -> None:
        with planted(name):
            self.assertRegex("\n".join(play_planned_work(seed).broken), "^LOST")

    def test_open_requests_that_keep_their_deadline(self) -> None:
        self.found("open requests keep their deadline in a shutdown", 10)

    def test_requests_accepted_until_the_end(self) -> None:
        self.found("requests accepted until the end", 2)

    def test_open_requests_answered_too_soon(self) -> None:
        self.found("open requests answered too soon", 2)


class BrokenOff(unittest.TestCase):
    """The sidecar itself responds while a server still works; SIGTERM at 10, GRACE_S until 16."""

    def broken(
        self, asked_at: float, told_at: float, body: str = "", deadline: float = 9.0, trouble: str = ""
    ) -> list[str]:
        history = History()
        who, name = "10.0.0.11", "q1"
        if trouble:
            history.add(9.0, "trouble", trouble, kind="kill")
        history.add(10.0, "sigterm", who)
        history.add(
            asked_at, "asked", who, id=name, key="", kind="mutating", service="shop", deadline=deadline
        )
        history.add(asked_at + 0.1, "arrival", "10.0.1.11", id=name, key="", ran=True)
        history.add(told_at, "told", who, id=name, status=504, body=body)
        return broken_off(history)

    def test_counts_before_the_last_sixth(self) -> None:
        self.assertEqual(len(self.broken(9.5, 14.9)), 1)

    def test_counts_in_the_last_sixth_where_it_came_late(self) -> None:
        self.assertEqual(len(self.broken(13.1, 15.2)), 1)

    def test_does_not_count_in_the_last_sixth_where_it_came_in_time(self) -> None:
        self.assertEqual(self.broken(12.9, 15.2), [])

    def test_does_not_count_at_the_deadline_or_with_the_servers_own_answer(self) -> None:
        self.assertEqual(self.broken(9.5, 14.5, deadline=5.0), [])
        self.assertEqual(self.broken(9.5, 14.5, body="by its server"), [])

    def test_does_not_count_during_an_unplanned_fault(self) -> None:
        self.assertEqual(self.broken(9.5, 14.9, trouble="core"), [])


class Schedule(unittest.TestCase):
    def test_six_seconds_of_grace(self) -> None:
        schedule = ShutdownSchedule(100.0, 6.0)
        self.assertEqual(
            [schedule.reject_from, schedule.answer_by, schedule.end_by, schedule.linger_until],
            [102.8, 105.2, 105.4, 102.5],
        )

    def test_answers_fall_into_the_last_sixth_and_the_end_before_the_kill(self) -> None:
        for grace in (0.5, 1.0, 2.0, 4.0, 6.0, 10.0, 30.0):
            with self.subTest(grace=grace):
                schedule = ShutdownSchedule(0.0, grace)
                self.assertLessEqual(schedule.reject_from, min(schedule.answer_by, 3.0))
                self.assertGreaterEqual(schedule.answer_by, min(5 / 6 * grace, grace - 0.1))
                self.assertLessEqual(schedule.answer_by, schedule.end_by)
                self.assertLess(schedule.end_by, grace)

    def test_ends_when_idle_after_its_linger_and_in_any_case_at_its_end(self) -> None:
        schedule = ShutdownSchedule(0.0, 6.0)
        self.assertEqual([schedule.may_end(now, True) for now in (2.4, 2.6)], [False, True])
        self.assertEqual([schedule.may_end(now, False) for now in (2.6, 5.3, 5.41)], [False, False, True])


if __name__ == "__main__":
    unittest.main()
