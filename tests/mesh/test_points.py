"""The hard cases of the control plane in virtual time: orders with one version, a machine isolated for
twenty seconds, a second loss after a repair, and many changes. `python -m bench.control` runs more of them
and looks for all planted faults.
"""

from __future__ import annotations

import unittest
from collections.abc import Callable

from rigs.simulation.order_checks import waits
from rigs.simulation.planted import planted
from rigs.simulation.play import Played
from rigs.simulation.points.isolation import TARGETS, isolation_day
from rigs.simulation.points.links import links_day
from rigs.simulation.points.many_changes import many_changes_day
from rigs.simulation.points.orders import orders_day
from rigs.simulation.points.second_loss import REPAIRS, second_loss_day
from rigs.simulation.points.stale_sidecar import stale_sidecar_day
from rigs.simulation.schedule import SYNC_S


class PointsTest(unittest.TestCase):
    def assert_no_violations(self, day: Callable[[int], Played], *seeds: int) -> list[Played]:
        played = []
        for seed in seeds:
            with self.subTest(seed=seed):
                played.append(day(seed))
                self.assertEqual(played[-1].broken, [])
        return played

    def assert_found(self, name: str, rules: str, day: Callable[[int], Played], *seeds: int) -> None:
        """The planted fault violates one of these rules; the real code violates none in the same schedule."""
        for seed in seeds:
            with planted(name):
                broken = [text for text in day(seed).broken if text.partition(":")[0] in rules.split()]
            if broken:
                self.assertEqual(day(seed).broken, [])
                return
        self.fail(f"{name}: not found")


class Callers(PointsTest):
    """Callers give up after a second, so each call must be answered before that, if only with a 503."""

    def test_no_call_is_kept_a_second_while_a_node_is_cut_off(self) -> None:
        for seed in (6, 7, 8):
            with self.subTest(seed=seed):
                self.assertEqual(waits(isolation_day(seed).history), [])


class OneOrder(PointsTest):
    """Orders with one version while leaders change."""

    def test_orders_are_linearizable(self) -> None:
        days = self.assert_no_violations(orders_day, *range(6))
        verdicts = [event.data["status"] for played in days for event in played.history.of("verdict")]
        self.assertIn(409, verdicts, "a race has one winner")
        struck = {event.data["state"] for played in days for event in played.history.of("struck")}
        self.assertLessEqual({"leader", "follower"}, struck)

    def test_both_confirmed(self) -> None:
        self.assert_found("both orders confirmed", "CONFLICT", orders_day, 0, 1, 2)

    def test_taken_order_refused(self) -> None:
        self.assert_found("a taken order refused", "REFUSED", orders_day, 0, 1, 2)


class Isolation(PointsTest):
    """One control node is isolated for twenty seconds."""

    def test_no_stale_read_and_no_order_without_a_majority(self) -> None:
        days = self.assert_no_violations(isolation_day, *range(len(TARGETS)))
        struck = {event.data["state"] for played in days for event in played.history.of("struck")}
        self.assertLessEqual({"leader", "follower", "learner"}, struck)

    def test_lease_that_never_ends(self) -> None:
        self.assert_found("a lease that never ends", "STALE GONE", isolation_day, 0, 5)

    def test_majority_counted_without_contact(self) -> None:
        self.assert_found("a majority counted without contact", "MINORITY", isolation_day, 0, 5)

    def test_restarted_sidecar_is_not_made_ready_by_a_stale_peer(self) -> None:
        days = self.assert_no_violations(stale_sidecar_day, 2, 8)
        fed = [event.data for played in days for event in played.history.of("fed")]
        self.assertTrue([data for data in fed if data["held"] < data["acked"]], "one received stale state")

    def test_ready_with_what_a_peer_fed_it(self) -> None:
        self.assert_found("ready with what a peer fed it", "READY", stale_sidecar_day, 8)


class SecondLoss(PointsTest):
    """Another machine is lost SYNC_S after the first one is back or has been replaced."""

    def test_after_a_lost_disk_and_after_all_restarted_in_turn(self) -> None:
        seeds = (3, 5, 6, 8)
        self.assertEqual({REPAIRS[seed % len(REPAIRS)] for seed in seeds}, {"wipe", "roll"})
        self.assert_no_violations(second_loss_day, *seeds)

    def test_after_a_machine_is_gone_for_good(self) -> None:
        """A spare has replaced it before another machine is lost."""
        self.assertEqual({REPAIRS[seed % len(REPAIRS)] for seed in (1, 16)}, {"gone"})
        self.assert_no_violations(second_loss_day, 1, 16)

    def test_lost_disk_whose_seeds_do_not_lead(self) -> None:
        """An empty machine rejoins although its seeds are followers and none of them is the leader."""
        self.assert_no_violations(second_loss_day, 0, 43)


class ManyChanges(PointsTest):
    def test_newest_state_is_restored_in_time(self) -> None:
        """After a restart, a lost disk, and a loss of all power."""
        for seed in (0, 1, 3):
            played = many_changes_day(seed, changes=25, routes=10)
            self.assertEqual(played.broken, [])
            took = [event.data["took"] for event in played.history.of("caught up")]
            self.assertTrue(took)
            self.assertLess(max(took), SYNC_S)


class RightCaller(PointsTest):
    """Connections between sidecars break while calls are in flight."""

    def test_executed_once_and_answered_to_the_right_caller(self) -> None:
        self.assert_no_violations(links_day, 0, 1)

    def test_answer_without_its_number_checked(self) -> None:
        self.assert_found("an answer without its number checked", "MIXED", links_day, 0, 1, 2)

    def test_reported_as_unsent_after_a_write(self) -> None:
        self.assert_found("never left, claimed after a write", "REFUSED", links_day, 0, 1, 2, 3)


if __name__ == "__main__":
    unittest.main()
