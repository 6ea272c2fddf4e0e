"""The mesh in virtual time: short days from seeds, explicit schedules, and planted faults that must be
detected.
"""

from __future__ import annotations

import asyncio
import unittest
from collections import Counter
from typing import Any
from unittest import mock

from rigs.simulation import clients, servers
from rigs.simulation.checks import violations
from rigs.simulation.clients import Clients, Operators
from rigs.simulation.history import Event, History
from rigs.simulation.loop import Machine, VirtualLoop
from rigs.simulation.mesh import CONTROLS, SIDECARS, Site
from rigs.simulation.network import Network
from rigs.simulation.planted import planted
from rigs.simulation.play import Action, Day, Played, play, shrink
from rigs.simulation.schedule import ALL, CORE, DISK_KEEPING, SYNC_S, Fault, draw_schedule, latest_end
from rigs.simulation.storms import storm

SHORT = Day(seconds=8.0, rate=2.0, quiet=5.2)
SEEDS = 18


def case(schedule: list[Fault], *actions: tuple[float, Action], seed: int = 1) -> Played:
    # A client that hangs up at random would hide the outcome of a key.
    with mock.patch.object(clients, "EARLY_HANG_UP_RATE", 0.0):
        return play(seed, schedule, SHORT._replace(rate=1.0, failure_rate=0.0, actions=actions))


def keyed(sidecar: int, key: str) -> Action:
    def action(site: Site, clients: Clients, operators: Operators) -> None:
        clients.ask(site.sidecars[sidecar], "keyed", key, lambda status, body: None, 2.0)

    return action


def runs(played: Played, key: str) -> list[Event]:
    return [e for e in played.history.of("arrival") if e.data["key"] == key and e.data["ran"]]


def statuses(played: Played, key: str) -> list[int]:
    """The status of each request with this key, in the order in which they were sent; 0 for no answer."""
    told = {e.data["id"]: e.data["status"] for e in played.history.of("told")}
    return [told.get(e.data["id"], 0) for e in played.history.of("asked") if e.data["key"] == key]


def slots(number: int) -> Action:
    def action(site: Site, clients: Clients, operators: Operators) -> None:
        servers.SLOTS = number

    return action


class RefusedByAllServers(unittest.TestCase):
    def test_key_refused_by_all_servers_runs_when_repeated(self) -> None:
        self.addCleanup(setattr, servers, "SLOTS", servers.SLOTS)
        played = case(
            [],
            (4.0, slots(0)),
            (4.01, keyed(0, "k")),
            (4.3, slots(4)),
            (6.0, keyed(0, "k")),
            (6.0, keyed(1, "k")),
        )
        self.assertEqual((statuses(played, "k"), len(runs(played, "k"))), ([503, 200, 200], 1))


class DrawnDays(unittest.TestCase):
    def test_day_without_faults_serves_nearly_all(self) -> None:
        played = play(1, [], SHORT)
        self.assertEqual(played.broken, [])
        told = Counter(e.data["status"] for e in played.history.of("told"))
        self.assertGreater(told[200], 0.95 * told.total())

    def test_days_with_faults_violate_no_rule(self) -> None:
        for seed in range(SEEDS):
            with self.subTest(seed=seed):
                self.assertEqual(play(seed, None, SHORT).broken, [])

    def test_storm_violates_no_rule(self) -> None:
        self.assertEqual(storm(1).broken, [])

    def test_same_seed_same_day(self) -> None:
        self.assertEqual(play(4, None, SHORT).history.events, play(4, None, SHORT).history.events)


class ExplicitSchedules(unittest.TestCase):
    def assert_no_violation(self, played: Played) -> None:
        self.assertEqual(played.broken, [])

    def test_leader_frozen_with_claims_under_way(self) -> None:
        for lead in (0.001, 0.01, 0.02):
            asks = [(4.0 - lead, keyed(n, f"cold{n}")) for n in range(6)]
            again = [(6.0, keyed((n + 1) % 6, f"cold{n}")) for n in range(6)]
            played = case([Fault(4.0, "freeze-control", -1, 5.0)], *asks, *again)
            self.assert_no_violation(played)
            self.assertTrue(all(len(runs(played, f"cold{n}")) == 1 for n in range(6)))

    def test_one_key_in_three_zones_at_the_same_time(self) -> None:
        played = case([], *((4.0 + n / 10, keyed(zone, f"twin{n}")) for n in range(20) for zone in (0, 1, 2)))
        self.assert_no_violation(played)
        for n in range(20):
            self.assertEqual(len(runs(played, f"twin{n}")), 1)
            self.assertTrue(set(statuses(played, f"twin{n}")) <= {200, 409, 0}, "0: its client hung up early")

    def test_sidecar_dies_between_claim_and_send(self) -> None:
        played = case([Fault(3.9, "claim-kill", 0, 0.5)], *((4.0 + n, keyed(n, "lost")) for n in range(4)))
        self.assert_no_violation(played)
        self.assertEqual(played.history.shown("kill-sidecar").count("trouble"), 1)
        self.assertLessEqual(len(runs(played, "lost")), 1)

    def test_sidecar_dies_between_send_and_answer(self) -> None:
        played = case([Fault(3.99, "sent-kill", 0, 0.5)], *((4.0 + n, keyed(n, "sent")) for n in range(4)))
        self.assert_no_violation(played)
        self.assertEqual(len(runs(played, "sent")), 1)

    def test_power_lost_everywhere_with_keys_in_flight(self) -> None:
        for lead in (0.005, 0.02, 0.06):
            asks = [(4.0 - lead, keyed(n, f"dark{n}")) for n in range(6)]
            back = [(4.5 + 0.2 * at, keyed((n + at) % 6, f"dark{n}")) for n in range(6) for at in range(8)]
            played = case([Fault(4.0, "all-power", 0, 0.5)], *asks, *back)
            self.assert_no_violation(played)
            self.assertTrue(all(len(runs(played, f"dark{n}")) <= 1 for n in range(6)))

    def test_leader_changes_around_a_race_of_two_operators(self) -> None:
        def race(site: Site, clients: Clients, operators: Operators) -> None:
            operators.race(0)

        for lead in (0.001, 0.015, 0.05):
            self.assert_no_violation(case([Fault(4.0, "kill-control", -1, 1.0)], (4.0 - lead, race)))

    def test_sidecar_without_control_nodes_claims_through_another(self) -> None:
        played = case([Fault(3.0, "control-lost", 0, 6.0)], (2.6, keyed(0, "near")), (6.0, keyed(0, "far")))
        self.assert_no_violation(played)
        self.assertEqual(statuses(played, "far"), [200])

    def test_sidecar_that_shuts_down_answers_what_it_accepted(self) -> None:
        played = play(
            1,
            [Fault(3.0 + n / 2, "leave-sidecar", n) for n in range(3)],
            SHORT._replace(seconds=9.5, rate=4.0),
        )
        self.assert_no_violation(played)
        self.assertEqual(len(list(played.history.of("left"))), 3)

    def test_disk_lost_right_after_an_acknowledgement(self) -> None:
        self.assert_no_violation(case([Fault(3.5, "ack-wipe", -1, 0.5)]))


class PlantedFaults(unittest.TestCase):
    """A sample of the planted faults; `python -m bench.mesh` looks for all of them."""

    def assert_found(self, name: str, rule: str, schedule: list[Fault] | None = None, tries: int = 8) -> None:
        with planted(name):
            for seed in range(tries):
                if any(text.startswith(rule) for text in play(seed, schedule, SHORT).broken):
                    return
        self.fail(f"{name}: not found")

    def test_acknowledged_before_commit(self) -> None:
        self.assert_found("configuration acknowledged before it is agreed", "CONFIG")

    def test_key_freed_that_may_have_run(self) -> None:
        self.assert_found("a key freed that may have run", "ONCE", [Fault(4.0, "reset-sidecar", 3, 0.1)])

    def test_claims_forgotten_by_a_new_leader(self) -> None:
        again = [Fault(3.0 + second, "kill-control", -1, 0.4) for second in range(5)]
        self.assert_found("a new leader that rotates too soon", "ONCE", again)

    def test_keys_not_claimed(self) -> None:
        self.assert_found("keys not claimed", "ONCE")

    def test_sidecar_that_ignores_draining(self) -> None:
        self.assert_found("a gate that is deaf to draining", "DRAIN", [Fault(4.0, "server-drains", 0, 5.0)])

    def test_a_violating_schedule_is_shrunk(self) -> None:
        with planted("a gate that is deaf to draining"):
            drain = Fault(4.0, "server-drains", 0, 5.0)
            schedule = [Fault(3.5, "reset-sidecar", 4), drain, Fault(6.5, "control-lost", 5)]
            self.assertEqual(shrink(1, schedule, SHORT), [drain])


class ChecksTest(unittest.TestCase):
    """Each check detects a violation in a history written by hand."""

    def rules(self, *events: tuple[float, str, str, dict[str, Any]]) -> set[str]:
        history = History()
        for at, what, who, data in events:
            history.add(at, what, who, **data)
        history.add(50.0, "end", "world")
        return {text.partition(":")[0] for text in violations(history)}

    def assert_detected(self, rule: str, *events: tuple[float, str, str, dict[str, Any]]) -> None:
        self.assertIn(rule, self.rules(*events))

    def asked(self, name: str, at: float, kind: str = "mutating", key: str = "") -> Any:
        return (
            at,
            "asked",
            SIDECARS[0],
            {"id": name, "key": key, "kind": kind, "service": "s", "deadline": 1.0},
        )

    def ran(self, name: str, at: float, key: str = "") -> Any:
        return (
            at,
            "arrival",
            SIDECARS[1],
            {"id": name, "key": key, "ran": True, "life": "l", "meant": "l", "service": "s"},
        )

    def told(self, name: str, at: float, status: int, body: str = "") -> Any:
        return at, "told", SIDECARS[0], {"id": name, "status": status, "body": body}

    def test_request_executed_twice(self) -> None:
        self.assert_detected("ONCE", self.asked("a", 1.0), self.ran("a", 1.1), self.ran("a", 1.2))
        self.assert_detected(
            "ONCE",
            self.asked("a", 1.0, "keyed", "k"),
            self.asked("b", 2.0, "keyed", "k"),
            self.ran("a", 1.1, "k"),
            self.ran("b", 2.1, "k"),
        )

    def test_refused_request_executed(self) -> None:
        self.assert_detected("REFUSED", self.asked("a", 1.0), self.ran("a", 1.1), self.told("a", 1.2, 503))

    def test_body_of_another_request(self) -> None:
        self.assert_detected("MIXED", self.asked("a", 1.0), self.told("a", 1.2, 200, "of another"))

    def test_missing_or_repeated_answer(self) -> None:
        self.assert_detected("ANSWERED", self.asked("a", 1.0))
        self.assert_detected(
            "ANSWERED", self.asked("a", 1.0), self.told("a", 1.2, 502), self.told("a", 1.3, 502)
        )

    def test_request_lost_in_shutdown(self) -> None:
        leaves = [
            self.asked("a", 1.0),
            (1.0, "trouble", SIDECARS[0], {"kind": "leave-sidecar"}),
            (1.5, "left", SIDECARS[0], {}),
            (1.5, "unheard", SIDECARS[0], {"id": "a"}),
        ]
        self.assert_detected("LOST", *leaves)
        frozen = (1.1, "trouble", SIDECARS[0], {"kind": "freeze-sidecar"})
        self.assertNotIn("LOST", self.rules(*leaves[:2], frozen, *leaves[2:]), "not planned work only")

    def test_version_goes_back(self) -> None:
        table = {"life": 1, "index": 7, "rows": {"x": (2, True)}}
        older = {"life": 1, "index": 8, "rows": {"x": (1, True)}}
        self.assert_detected("BACK", (1.0, "table", SIDECARS[0], table), (1.1, "table", SIDECARS[0], older))

    def test_acknowledged_change_lost(self) -> None:
        item = {"Name": "x", "Ver": "00000001"}
        call = {"Upsert": {"Routes": [item]}}
        said = {"call": call, "sort": "proper", "status": 200}
        self.assert_detected(
            "ACKED",
            (1.0, "sent", "o", {"call": call, "sort": "proper"}),
            (1.1, "verdict", "f", said),
            (9.0, "fetched", "f", {"body": {"Routes": []}}),
        )
        self.assert_detected("SYNC", (9.0, "unsynced", "world", {}))
        self.assert_detected("APPLIED", (0.1, "start", SIDECARS[0], {}), (1.1, "verdict", "f", said))

    def test_retry_budget_exceeded(self) -> None:
        self.assert_detected(
            "BUDGET", self.asked("a", 1.0, "idempotent"), *(self.ran("a", 1.1) for _ in range(9))
        )


class LoopAndNetwork(unittest.TestCase):
    """The simulated event loop and network."""

    def setUp(self) -> None:
        self.loop = VirtualLoop(1)
        self.network = Network(self.loop)
        self.a, self.b = Machine("a", 5.0), Machine("b", 70.0)
        self.network.add("a", "a", self.a)
        self.network.add("b", "b", self.b)
        self.said: list[Any] = []

    def tearDown(self) -> None:
        self.loop.close()

    def after(self, machine: Machine, delay: float, word: str) -> None:
        self.loop.after(delay, machine, self.said.append, word)

    def test_frozen_callbacks_wait_and_killed_ones_are_dropped(self) -> None:
        self.after(self.a, 1.0, "a")
        self.after(self.b, 1.0, "b")
        self.loop.freeze(self.a)
        self.loop.end(self.b)
        self.loop.run_until(2.0)
        self.assertEqual(self.said, [])
        self.loop.thaw(self.a)
        self.loop.run_until(2.0)
        self.assertEqual(self.said, ["a"])

    def test_slow_callbacks_are_delayed_in_order(self) -> None:
        self.a.lag = 0.5
        for word in "123":
            self.after(self.a, 0.0, word)
        self.loop.run_until(0.4)
        self.assertEqual(self.said, [])
        self.loop.run_until(0.6)
        self.assertEqual(self.said, ["1", "2", "3"])

    def test_each_machine_has_its_own_clock(self) -> None:
        self.loop.on(self.a, lambda: self.said.append(self.loop.time()))
        self.loop.on(self.b, lambda: self.loop.call_at(71.0, lambda: self.said.append(self.loop.now)))
        self.loop.run_until(2.0)
        self.assertEqual(self.said, [5.0, 1.0])

    def _connect(self) -> Any:
        loop, said, made = self.loop, self.said, list[Any]()

        class Recorder(asyncio.Protocol):
            def data_received(self, data: bytes) -> None:
                said.append(data)

            def connection_lost(self, exc: Exception | None) -> None:
                said.append("lost")

        async def connect() -> None:
            made.append((await loop.create_connection(Recorder, "b", 1))[0])

        def listen() -> None:
            self.network.listen(self.b, Recorder, "b", 1)

        loop.on(self.b, listen)
        loop.after(0.0, self.a, lambda: loop.create_task(connect()))
        loop.run_until(loop.now + 1.0)
        return made[0]

    def test_cut_is_silent_and_heals_in_order(self) -> None:
        end = self._connect()
        self.network.cut("a", "b")
        for word in (b"1", b"2"):
            self.loop.on(self.a, end.write, word)
        self.loop.run_until(3.0)
        self.assertEqual(self.said, [])
        self.loop.after(0.0, self.a, end.write, b"3")
        self.loop.after(0.0, self.loop.world, self.network.heal, [("a", "b")])
        self.loop.run_until(4.0)
        self.assertEqual(self.said, [b"1", b"2", b"3"])

    def test_kill_resets_connections_and_power_loss_is_silent(self) -> None:
        for power, heard in ((True, ["lost"]), (False, [])):
            self.said.clear()
            self._connect()
            self.b.powered = power
            self.loop.end(self.b)
            self.network.close_connections(self.b)
            self.loop.run_until(self.loop.now + 1.0)
            self.assertEqual(self.said, heard)
            self.b.powered = self.b.running = True

    def test_drawn_schedules_stay_within_tolerated_faults(self) -> None:
        for seed in range(50):
            core = [f for f in draw_schedule(seed, 40.0) if f.kind in (*CORE, *ALL)]
            for two in [f for f in core if f.kind not in (*DISK_KEEPING, *ALL)]:
                before = [latest_end(one) + SYNC_S for one in core if one.at < two.at]
                self.assertLess(max(before, default=0.0), two.at)
        self.assertEqual((len(CONTROLS), len(SIDECARS)), (3, 6))


if __name__ == "__main__":
    unittest.main()
