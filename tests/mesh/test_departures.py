"""Servers that leave: what was acknowledged holds after a restart of the sidecar beside the server."""

from __future__ import annotations

import unittest

from rigs.simulation.departures import Departure, play_departures
from rigs.simulation.planted import planted
from rigs.simulation.play import Day, Played, play
from rigs.simulation.schedule import Fault

SEEDS = 6  # drawn days; more by hand: python -m rigs.simulation.departures 0 50
LEAVES_AT, SERVES_ON_S = 4.0, 8.0
CASE = Day(seconds=13.0, rate=10.0, quiet=7.0, failure_rate=0.0)


def departure(
    *faults: Fault, drains: bool = False, late: tuple[float, ...] = (3.0,), seed: int = 1
) -> Played:
    """A day on which the server beside sidecar 0 leaves, and heartbeats from before are late."""
    leaving = Departure(LEAVES_AT, 0, drains, SERVES_ON_S, late)
    return play(seed, list(faults), CASE._replace(actions=leaving.actions()))


def kill(target: int = 0, after: float = 0.3) -> Fault:
    return Fault(LEAVES_AT + after, "kill-sidecar", target, 0.5)


def requests_reaching(played: Played, life: str, since: float) -> int:
    events = played.history.of("arrival")
    return sum(e.data["ran"] and e.data["life"] == life and e.at > since for e in events)


class LateHeartbeats(unittest.TestCase):
    def test_late_heartbeat_does_not_revive_a_deregistered_server_after_a_sidecar_restart(self) -> None:
        # Guards against: the restarted sidecar took a heartbeat from before the Deregister for a new server.
        played = departure(kill())
        self.assertEqual(played.broken, [])
        self.assertGreater(requests_reaching(played, "shop-10.0.0.11-1", 0.0), 0)
        self.assertEqual(requests_reaching(played, "shop-10.0.0.11-1", LEAVES_AT + 0.5), 0)

    def test_late_heartbeat_does_not_revive_a_draining_server_after_a_sidecar_restart(self) -> None:
        # The restarted sidecar hears the late heartbeat before the next one that says `draining`.
        played = departure(kill(), drains=True, late=(0.85, 2.0, 3.0))
        self.assertEqual(played.broken, [])
        self.assertEqual(requests_reaching(played, "shop-10.0.0.11-1", LEAVES_AT + 0.5), 0)

    def test_a_departure_outlives_a_restart_of_all_control_nodes_too(self) -> None:
        played = departure(kill(), Fault(LEAVES_AT + 0.5, "all-killed", -1, 0.5))
        self.assertEqual(played.broken, [])


class DrawnDepartures(unittest.TestCase):
    def test_drawn_days_violate_no_rule(self) -> None:
        for seed in range(SEEDS):
            with self.subTest(seed=seed):
                self.assertEqual(play_departures(seed).broken, [])


class PlantedFaults(unittest.TestCase):
    def assert_found(self, name: str, *faults: Fault) -> None:
        with planted(name):
            for seed in range(8):
                played = departure(*faults, seed=seed)
                if any(text.startswith("DRAIN") for text in played.broken):
                    return
        self.fail(f"{name}: not found")

    def test_departure_kept_in_memory_only(self) -> None:
        self.assert_found("a departure kept in the memory of its sidecar", kill())

    def test_departure_acknowledged_before_commit(self) -> None:
        no_leader = Fault(LEAVES_AT - 0.05, "kill-control", -1, 0.3)
        self.assert_found("a departure acknowledged before it is committed", no_leader, kill(after=0.05))


if __name__ == "__main__":
    unittest.main()
