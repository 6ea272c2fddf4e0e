"""The hard cases of "nothing acknowledged is lost", each by name.

Real control nodes and sidecars run in virtual time, with changes, keys and requests in flight, and the whole
history is checked afterwards.
"""

from __future__ import annotations

import unittest
from unittest import mock

from rigs.simulation import play as play_module
from rigs.simulation.checks import delays
from rigs.simulation.clients import Clients, Operators
from rigs.simulation.history import Event
from rigs.simulation.mesh import Site
from rigs.simulation.play import Action, Day, Played, play
from rigs.simulation.schedule import SYNC_S, Fault

DAY = Day(seconds=8.0, rate=0.8, every=0.4, quiet=5.2, failure_rate=0.0)
NO_DRAWN_CHANGES = 1e6  # seconds between two drawn changes, where a case counts its own


class Hard(unittest.TestCase):
    def day(
        self,
        *schedule: Fault,
        seed: int = 1,
        seconds: float = 8.0,
        every: float = 0.4,
        actions: tuple[tuple[float, Action], ...] = (),
    ) -> Played:
        played = play(seed, schedule, DAY._replace(seconds=seconds, every=every, actions=actions))
        self.assertEqual(played.broken, [])
        return played

    def struck(self, played: Played, kind: str, state: str = "") -> list[Event]:
        """The events of this fault, which hit a control node in that state."""
        events = [
            e
            for e in played.history.of("struck")
            if e.data["kind"] == kind and e.data["state"].startswith(state)
        ]
        self.assertTrue(events, f"{kind} met no {state}")
        return events

    def taken(self, played: Played, since: float, until: float) -> list[Event]:
        """Acknowledgements in that time."""
        return [e for e in played.history.of("verdict") if e.data["status"] == 200 and since < e.at < until]

    # One machine in trouble

    def test_leader_receives_but_cannot_send(self) -> None:
        played = self.day(Fault(3.5, "mute-control", -1, 4.5))
        self.struck(played, "mute-control", "leader")
        self.assertTrue(self.taken(played, 5.0, 8.0), "another leads")

    def test_leader_sends_but_cannot_receive(self) -> None:
        played = self.day(Fault(3.5, "deaf-control", -1, 4.5))
        self.struck(played, "deaf-control", "leader")
        self.assertTrue(self.taken(played, 5.0, 8.0), "another leads")

    def test_leader_frozen_five_seconds_and_woken_with_a_write_half_done(self) -> None:
        for seed in (1, 2):
            played = self.day(Fault(3.5, "write-freeze", -1, 5.0), seed=seed, seconds=9.5)
            self.struck(played, "freeze-control", "leader")
            self.assertTrue(self.taken(played, 5.0, 8.0), "another leads")

    def test_disk_of_the_leader_hangs_while_it_holds_the_lease(self) -> None:
        played = self.day(Fault(3.5, "hang-disk", -1, 4.0))
        self.struck(played, "hang-disk", "leader")
        self.assertTrue(self.taken(played, 4.5, 7.5), "it hands over")

    def test_disk_full_for_four_and_a_half_seconds_while_changes_arrive(self) -> None:
        played = self.day(Fault(3.0, "full-disk", -1, 4.5))
        self.struck(played, "full-disk", "leader")
        self.assertTrue(self.taken(played, 4.0, 7.5), "it hands over")

    def test_all_disks_full_and_then_free_again(self) -> None:
        played = self.day(Fault(3.0, "full-disks", -1, 4.5))
        self.assertEqual(self.taken(played, 3.3, 7.4), [], "it can't be kept")
        self.assertTrue(self.taken(played, 7.5, 9.0))

    def test_clocks_differ(self) -> None:
        """By a second, two, an hour: only elapsed time counts."""

        def apart(site: Site, clients: Clients, operators: Operators) -> None:
            for control, seconds in zip(site.controls, (3600.0, 1.0, 0.0), strict=True):
                control.machine.offset = seconds
            for sidecar, seconds in zip(site.sidecars, (2.0, 0.0, 1.0, 0.0, 3600.0, 1.0), strict=True):
                sidecar.machine.offset = seconds

        self.day(
            Fault(3.5, "freeze-control", -1, 1.0),
            Fault(5.5, "kill-control", -1, 0.5),
            actions=((0.0, apart),),
        )

    def test_follower_far_behind(self) -> None:
        """So far that it needs a snapshot, and at once, since the two others lose power."""

        def cut(site: Site, clients: Clients, operators: Operators) -> None:
            behind = next(f for f in site.controls if not f.leads)
            pairs = [
                pair for ip in site.machines if ip != behind.ip for pair in ((ip, behind.ip), (behind.ip, ip))
            ]
            for pair in pairs:
                site.network.cut(*pair)
            site.loop.after(3.0, site.loop.world, site.network.heal, pairs)

        with mock.patch.multiple(play_module, SNAPSHOT_INTERVALS=(10,), RETAINED_ENTRY_COUNTS=(0,)):
            played = self.day(Fault(6.6, "power-control", -1, 0.3), actions=((3.5, cut),))
        self.assertTrue(list(played.history.of("image")))

    def test_claims_outlive_the_slowest_request(self) -> None:
        """A request may wait as long as its route allows, and claim its key only then."""

        def slow(site: Site, clients: Clients, operators: Operators) -> None:
            operators.versions[0] = 40  # as seconds
            operators.change(0)

        played = self.day(every=9.0, seconds=9.0)
        self.assertTrue(list(played.history.of("rotated")))
        played = self.day(every=9.0, seconds=9.0, actions=((0.8, slow),))
        self.assertEqual(list(played.history.of("rotated")), [])

    # Disks lost

    def test_acknowledging_machine_dies_within_4_ms(self) -> None:
        """It loses its process, its power or its disk."""
        ends = {"ack-kill": "kill-control", "ack-lost": "power-control", "ack-wipe": "wipe-control"}
        for kind, then in ends.items():
            for seed in (1, 2):
                self.struck(self.day(Fault(3.5, kind, -1, 0.5), seed=seed), then)

    def test_two_disks_lost_one_after_the_other(self) -> None:
        second = 3.2 + 0.5 + SYNC_S
        played = self.day(
            Fault(3.2, "wipe-control", 0, 0.5), Fault(second, "wipe-control", 1, 0.5), seconds=9.0
        )
        self.assertEqual(len(self.struck(played, "wipe-control")), 2)
        names = {control.server.raft.name for control in played.site.controls if control.server is not None}
        self.assertEqual(sum(name.endswith("#0") for name in names), 1)

    def test_wiped_machine_is_back_before_its_removal_is_agreed(self) -> None:
        played = self.day(Fault(3.5, "swap-control", -1, 0.5))
        self.struck(played, "swap-control", "leader")
        played = self.day(Fault(3.5, "lone-copy", -1, 1.0))
        lost = self.struck(played, "lone-copy", "leader")[0].at
        self.assertEqual(self.taken(played, lost + 0.01, lost + 1.9), [], "the one copy's machine is away")

    def test_torn_and_foreign_folders(self) -> None:
        for kind in ("tear-control", "foreign-control"):
            self.struck(self.day(Fault(3.5, kind, -1, 0.5)), kind, "leader")

    def test_snapshot_partly_sent(self) -> None:
        with mock.patch.multiple(
            play_module, SNAPSHOT_INTERVALS=(10,), RETAINED_ENTRY_COUNTS=(0,), CHUNK_SIZES_BYTES=(300,)
        ):
            played = self.day(Fault(3.5, "image-power", 1, 0.5), Fault(5.0, "freeze-control", -1, 0.3))
        self.struck(played, "power-control")
        self.assertTrue(list(played.history.of("image")))

    # All at once

    def test_all_killed_within_a_second(self) -> None:
        played = self.day(Fault(3.5, "all-spread", -1, 0.5))
        self.struck(played, "all-spread", "leader")

    def test_power_lost_again_in_recovery(self) -> None:
        for seed in (1, 2, 3):
            played = self.day(Fault(3.5, "twice-power", -1, 0.5), seed=seed)
            self.struck(played, "all-power")

    def test_all_power_lost_right_after_an_acknowledgement(self) -> None:
        self.struck(self.day(Fault(3.5, "ack-power", -1, 0.5)), "all-power", "leader")

    # Operators

    def test_identical_call_at_all_nodes_in_the_same_moment(self) -> None:
        def twins(site: Site, clients: Clients, operators: Operators) -> None:
            operators.identical_calls(0)

        played = self.day(
            Fault(4.0, "kill-control", -1, 0.5),
            every=NO_DRAWN_CHANGES,
            actions=tuple((at, twins) for at in (3.2, 3.99, 3.999, 5.5)),
        )
        self.assertEqual(len(self.taken(played, 3.15, 9.0)), 12, "each is told that it stands")

    def test_change_without_a_clear_answer(self) -> None:
        """The leader dies while it is in progress; the same call again is answered, and the change counts
        once.
        """

        def change(site: Site, clients: Clients, operators: Operators) -> None:
            operators.change(0)

        leads = (0.001, 0.006, 0.012, 0.02, 0.03)
        played = self.day(
            *(Fault(3.5 + n, "kill-control", -1, 0.3) for n in range(5)),
            every=NO_DRAWN_CHANGES,
            seconds=9.0,
            actions=tuple((3.5 + n - lead, change) for n, lead in enumerate(leads)),
        )
        self.assertEqual(len(self.taken(played, 3.15, 11.0)), 5)

    def test_20_changes_in_2_s(self) -> None:
        def change(site: Site, clients: Clients, operators: Operators) -> None:
            operators.change(len(operators.taken) % 6)

        played = self.day(every=NO_DRAWN_CHANGES, actions=tuple((3.5 + n / 10, change) for n in range(20)))
        self.assertEqual(len(self.taken(played, 3.4, 7.0)), 20)
        self.assertLess(max(delays(played.history)), 0.1)


if __name__ == "__main__":
    unittest.main()
