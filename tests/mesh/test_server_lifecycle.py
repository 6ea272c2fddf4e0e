"""Runs of a server through the real lifecycle, recorder and claim table: restarts, late and lost commands."""

from __future__ import annotations

import math
import random
import unittest
from collections.abc import Callable
from typing import Any
from unittest import mock

import msgspec

from minthitch.mesh.configuration.calls import Heartbeat
from minthitch.mesh.control.state_machine import CLAIM, NO_LEADER, StateMachine, pack_command
from minthitch.mesh.events.events import LOG
from minthitch.mesh.http.instance_probe import ProbeVerdict
from minthitch.mesh.idempotency import claims as claims_module
from minthitch.mesh.idempotency.claims import ClaimCommand
from minthitch.mesh.sidecar import server_lifecycle
from minthitch.mesh.sidecar.run_recorder import RunRecorder
from minthitch.mesh.sidecar.server_lifecycle import SILENT_S, ServerLifecycle
from rigs.simulation.loop import Machine, VirtualLoop

SEEDS = 150
SETTLED_S = 30.0  # after which no command is under way


def body(state: str, seq: int) -> bytes:
    return msgspec.json.encode(
        {"Addr": "a", "Summary": {"Svc": "s", "Cap": 1}, "Stat": {"State": state, "Seq": seq}}
    )


class FakeAdmission:
    """Which run gets requests."""

    def __init__(self) -> None:
        self.server_id, self.state, self.seq = "", "none", -1

    def on_heartbeat(self, server_id: str, heartbeat: Heartbeat) -> None:
        is_new = server_id != self.server_id or heartbeat.stat.seq > self.seq
        if is_new or heartbeat.stat.state == "draining":
            self.server_id, self.state, self.seq = server_id, heartbeat.stat.state, heartbeat.stat.seq

    def suspend(self) -> None:
        self.state = "none" if self.state == "up" else self.state

    def deregister(self, server_id: str) -> None:
        if server_id == self.server_id:
            self.state = "none"

    def readmit(self, server_id: str) -> None:
        pass

    @property
    def open_to(self) -> str:
        return self.server_id if self.state == "up" else ""


class ControlLinks:
    """Applies commands to one state machine: late, more than once, or without an answer."""

    def __init__(self, world: World) -> None:
        self.world = world

    def claim(self, claim: tuple[Any, ...], deadline: float, done: Callable[..., None]) -> None:
        world = self.world
        for _ in range(world.random.choice(world.copies)):
            world.loop.after(world.random.uniform(*world.delay_s), world.loop.world, world.apply, claim)

        def answer() -> None:
            if not world.has_leader or world.random.random() < world.loss_rate:
                done(NO_LEADER, "", b"", b"")
            else:
                done(*world.apply(claim))

        world.loop.after(world.random.uniform(*world.delay_s), world.loop.machine, answer)


class World:
    """A machine whose sidecar process is restarted, and the control nodes."""

    def __init__(self, seed: int = 1) -> None:
        self.loop = VirtualLoop(seed)
        self.random = random.Random(seed)
        self.state, self.index, self.epoch = StateMachine(), 0, 0
        self.machine = Machine("sidecar")
        self.copies: tuple[int, ...] = (0,)  # further copies of each command
        self.delay_s, self.loss_rate, self.has_leader = (0.001, 0.01), 0.0, True
        self.running = ""  # the run that answers probes; empty: none does
        self.probe_failure_rate, self.probes = 0.0, 0
        self.answers: list[tuple[str, bool]] = []  # which run's departure was acknowledged or not
        self.acknowledged: set[str] = set()
        self.start()

    def apply(self, claim: tuple[Any, ...]) -> Any:
        self.index += 1
        return self.state.apply(self.index, pack_command(CLAIM, ClaimCommand(*claim).pack()))

    def start(self) -> None:
        """Start the sidecar's process, without any memory of the one before."""
        self.epoch += 1
        self.machine.running = True
        self.admission = FakeAdmission()
        self.loop.after(0.0, self.machine, self._begin, self.admission)
        self.loop.run_until(self.loop.now)

    def _begin(self, admission: FakeAdmission) -> None:
        recorder = RunRecorder(ControlLinks(self), f"sidecar/{self.epoch}", self.epoch)
        self.lifecycle = ServerLifecycle(admission, recorder, self._probe)

    def _probe(self, server_id: str, done: Callable[[ProbeVerdict], None]) -> None:
        """Answer after a while by the run that is there, or that this can't be told."""
        self.probes += 1
        verdict = ProbeVerdict.UNKNOWN
        if self.running and self.random.random() >= self.probe_failure_rate:
            is_running = server_id == self.running
            verdict = ProbeVerdict.IS_RUNNING if is_running else ProbeVerdict.IS_NOT_RUNNING
        self.loop.after(self.random.uniform(*self.delay_s), self.machine, done, verdict)

    def restart(self) -> None:
        self.loop.end(self.machine)
        self.start()

    def up(self, life: str, seq: int = 1) -> None:
        self.loop.after(
            0.0, self.machine, lambda: self.lifecycle.on_heartbeat(life, body("up", seq), lambda taken: None)
        )

    def draining(self, life: str, seq: int = 2) -> None:
        self._leave(
            life,
            lambda acknowledge: self.lifecycle.on_heartbeat(life, body("draining", seq), acknowledge),
        )

    def deregister(self, life: str) -> None:
        self._leave(life, lambda acknowledge: self.lifecycle.on_deregister(life, acknowledge))

    def _leave(self, life: str, call: Callable[[Callable[[bool], None]], None]) -> None:
        def acknowledge(taken: bool) -> None:
            self.answers.append((life, taken))
            if taken:
                self.acknowledged.add(life)

        self.loop.after(0.0, self.machine, call, acknowledge)

    def run(self, seconds: float = 0.5) -> None:
        self.loop.run_until(self.loop.now + seconds)


class Lifecycle(unittest.TestCase):
    def setUp(self) -> None:
        self.world = World()
        self.enterContext(mock.patch.object(LOG, "disabled", True))
        self.addCleanup(self.world.loop.close)

    def assert_open_to(self, life: str) -> None:
        self.world.run()
        self.assertEqual(self.world.admission.open_to, life)

    def assert_admits(self, life: str, seq: int = 1) -> None:
        self.world.up(life, seq)
        self.assert_open_to(life)

    def test_a_late_heartbeat_of_a_run_that_has_left_is_ignored_by_later_processes(self) -> None:
        # Guards against: the departure was known to the process that acknowledged it alone.
        for leave in (self.world.deregister, self.world.draining):
            self.world.up(leave.__name__)
            self.assert_open_to(leave.__name__)
            leave(leave.__name__)
            self.assert_open_to("")
            self.world.restart()
            self.world.up(leave.__name__)
            self.assert_open_to("")
        self.assertEqual(self.world.answers, [("deregister", True), ("draining", True)])

    def test_a_restarted_sidecar_admits_its_server_again(self) -> None:
        self.assert_admits("a")
        self.world.restart()
        self.assert_admits("a", 2)

    def test_commands_of_a_predecessor_are_fenced(self) -> None:
        self.assert_admits("a")
        claim, under_way = ControlLinks.claim, list[tuple[Any, ...]]()

        def delayed(links: ControlLinks, body: tuple[Any, ...], *more: Any) -> None:
            names_a_claim = bool(body[-1])
            if names_a_claim:
                under_way.append(body)
            else:
                claim(links, body, *more)

        with mock.patch.object(ControlLinks, "claim", delayed):
            self.world.deregister("a")
            self.world.run()
        self.world.restart()
        self.assert_admits("a", 2)
        self.assertEqual(len(under_way), 1)
        self.world.apply(under_way[0])
        self.world.restart()
        self.assert_admits("a", 3)

    def test_a_departure_is_acknowledged_once_it_is_committed(self) -> None:
        self.assert_admits("a")
        self.world.has_leader = False
        self.world.deregister("a")
        self.assert_open_to("")
        self.world.run(2.0)
        self.assertEqual(self.world.answers, [("a", False)])
        self.world.has_leader = True
        self.world.run(1.0)
        self.world.deregister("a")
        self.world.run()
        self.assertEqual(self.world.answers, [("a", False), ("a", True)])

    def test_a_run_that_leaves_before_it_is_admitted_stays_out(self) -> None:
        self.world.up("a")
        self.world.draining("a")
        self.world.up("a")
        self.assert_open_to("")

    def test_another_run_takes_over_and_late_heartbeats_of_the_earlier_one_change_nothing(self) -> None:
        self.assert_admits("a")
        self.assert_admits("b")
        self.world.up("a", 9)
        self.assert_open_to("b")

    def test_late_heartbeats_of_an_earlier_run_do_not_replace_the_present_one_after_a_restart(self) -> None:
        # Guards against: the live run counted as ended, and its heartbeats were ignored from then on.
        self.assert_admits("a")
        self.assert_admits("b")
        self.world.restart()
        self.assert_admits("b", 5)
        self.world.up("a", 9)
        self.world.run()
        self.assert_admits("b", 6)

    def test_a_run_that_starts_after_the_clock_was_set_back_is_admitted(self) -> None:
        # Guards against: by the wall clock the live run counted as an earlier one, and stayed out for good.
        self.assert_admits("a")
        self.world.epoch -= 10
        self.world.restart()
        self.assert_admits("a", 2)
        self.assert_admits("b")

    def test_runs_heard_at_once_after_the_clock_was_set_back_are_told_apart(self) -> None:
        self.assert_admits("a")
        self.world.epoch -= 10
        self.world.restart()
        self.world.up("a", 2)
        self.assert_admits("b")

    def test_a_late_first_heartbeat_of_a_crashed_run_leaves_the_living_one_in_service(self) -> None:
        # Guards against: the dead run, heard last, counted as the later one, and the living one stayed out
        # for good though its heartbeats were acknowledged (review/5).
        self.world.running = "b"
        self.assert_admits("b")
        self.world.up("a")
        self.world.run()
        self.assert_admits("b", 2)
        self.world.up("a", 2)
        self.assert_open_to("b")

    def test_a_late_heartbeat_that_a_restarted_sidecar_hears_first_gives_way_at_once(self) -> None:
        self.world.running = "b"
        for rotations in (0, 2):  # of the table of claims: after two the records are gone
            self.assert_admits("b")
            for _ in range(rotations):
                self.world.state.claims.rotate()
            self.world.restart()
            self.world.up("a", 7)
            self.world.run()
            self.assert_admits("b", 2)

    def test_a_new_run_takes_the_place_of_a_crashed_one_with_one_probe(self) -> None:
        self.assert_admits("a")
        self.world.running = "b"
        self.assert_admits("b")
        self.assertEqual(self.world.probes, 1)

    def test_a_new_run_after_a_departure_needs_no_probe(self) -> None:
        self.assert_admits("a")
        self.world.deregister("a")
        self.world.run()
        self.assert_admits("b")
        self.assertEqual(self.world.probes, 0)

    def test_a_living_run_that_was_replaced_unprobed_returns_with_the_next_answer_of_the_server(self) -> None:
        self.assert_admits("b")
        self.assert_admits("a")  # late, and the server tells nothing
        self.world.running = "b"
        self.assert_admits("b", 2)
        self.world.up("a", 2)
        self.assert_open_to("b")

    def test_a_living_run_returns_without_any_answer_once_the_other_one_is_silent(self) -> None:
        self.assert_admits("b")
        self.assert_admits("a")
        for seq in range(2, 2 + int(2 * SILENT_S)):
            self.world.up("b", seq)
            self.world.run()
        self.assert_admits("b", 99)

    def test_draining_of_an_earlier_run_does_not_replace_the_present_one(self) -> None:
        self.assert_admits("b")
        self.world.draining("a")
        self.assert_open_to("b")
        self.assertEqual(self.world.answers, [("a", True)])

    def test_a_table_full_of_idempotency_keys_keeps_no_server_out(self) -> None:
        with mock.patch.object(claims_module, "MAX_CLAIMS", 1):
            self.world.apply((b"key", "other/1", b"claim", b"digest", b""))
            self.assertEqual(self.world.apply((b"key2", "other/1", b"claim2", b"digest", b""))[0], "full")
            self.world.up("a")
            self.assert_open_to("a")

    def test_a_server_is_admitted_once_there_is_a_leader(self) -> None:
        self.world.has_leader = False
        self.world.up("a")
        self.assert_open_to("")
        self.world.up("a", 2)
        self.world.has_leader = True
        self.world.run(1.0)
        self.assert_open_to("a")


class DrawnHistories(unittest.TestCase):
    """Any process ends at any step, clocks are set back, and any call or command is late, repeated, reordered
    or lost. No run gets requests after its departure was acknowledged, and a new run gets them in the end.
    """

    def test_runs_that_have_left_stay_out_and_new_ones_are_admitted(self) -> None:
        with mock.patch.object(LOG, "disabled", True):
            for seed in range(SEEDS):
                with self.subTest(seed=seed):
                    self.check(seed)

    def check(self, seed: int) -> None:
        world = World(seed)
        draw = world.random
        world.copies, world.loss_rate = draw.choice(((0,), (0, 1, 2))), draw.choice((0.0, 0.3))
        world.delay_s = draw.choice(((0.001, 0.01), (0.001, 0.6)))
        lives = ["a", "b"]
        calls = (world.up, world.up, world.draining, world.deregister)
        for step in range(draw.randrange(6, 30)):
            if draw.random() < 0.25:
                world.epoch -= draw.choice((0, 0, 3))
                world.restart()
            elif draw.random() < 0.1:
                world.has_leader = not world.has_leader
            else:
                call, life = draw.choice(calls), draw.choice(lives)
                call(life, *(() if call == world.deregister else (draw.randrange(step + 1),)))
            for _ in range(draw.randrange(6)):
                world.run(draw.choice((0.001, 0.02, 0.3)))
                self.assertNotIn(world.admission.open_to, world.acknowledged)
        world.has_leader, world.loss_rate = True, 0.0
        world.run(SETTLED_S)
        self.assertNotIn(world.admission.open_to, world.acknowledged)
        world.up("new")
        world.run()
        world.up("new", 2)
        world.run(SETTLED_S)
        self.assertEqual(world.admission.open_to, "new")
        world.loop.close()


class LivingRuns(unittest.TestCase):
    """Runs follow each other by crashes and departures; heartbeats are late by any time, and clocks, records,
    leaders and processes come and go. In the end the run that is there gets the requests.
    """

    def test_the_run_that_is_there_is_in_service_in_the_end(self) -> None:
        with mock.patch.object(LOG, "disabled", True):
            for seed in range(SEEDS):
                with self.subTest(seed=seed):
                    self.assertEqual(self.play(seed), "living")

    def test_planted_fault_the_run_heard_last_is_taken_for_the_later_one_is_found(self) -> None:
        unknown = mock.patch.object(World, "_probe", lambda world, life, done: done(ProbeVerdict.UNKNOWN))
        patient = mock.patch.object(server_lifecycle, "SILENT_S", math.inf)
        with mock.patch.object(LOG, "disabled", True), unknown, patient:
            self.assertIn("another", [self.play(seed) for seed in range(SEEDS)])

    def test_planted_fault_a_replaced_run_is_never_heard_again_is_found(self) -> None:
        def ignore(lifecycle: ServerLifecycle, server_id: str, seq: int) -> None:
            lifecycle._replaced[server_id] = 10**9

        with (
            mock.patch.object(LOG, "disabled", True),
            mock.patch.object(ServerLifecycle, "_ignore_up_to", ignore),
        ):
            self.assertIn("another", [self.play(seed) for seed in range(SEEDS)])

    def play(self, seed: int) -> str:
        """Whether the living run is in service at the end, or another one or none."""
        world = World(seed)
        draw = world.random
        world.copies, world.loss_rate = draw.choice(((0,), (0, 1, 2))), draw.choice((0.0, 0.3))
        world.delay_s, world.probe_failure_rate = (
            (0.001, draw.choice((0.01, 0.6))),
            draw.choice((0.0, 0.5, 1.0)),
        )
        sent = list[tuple[str, int]]()  # heartbeats that may still arrive, or arrive again
        number = seq = 0
        for _ in range(draw.randrange(8, 40)):
            step = draw.random()
            if not number or step < 0.15:  # the run before has crashed, or has left
                if number and draw.random() < 0.3:
                    world.deregister(world.running)
                number, seq = number + 1, 0
                world.running = f"run-{number}"
            elif step < 0.25:
                world.epoch -= draw.choice((0, 0, 3))
                world.restart()
            elif step < 0.32:
                world.has_leader = not world.has_leader
            elif step < 0.4:
                world.state.claims.rotate()
            elif step < 0.6 and sent:
                world.up(*draw.choice(sent))
            else:
                seq += 1
                sent.append((world.running, seq))
                if draw.random() < 0.8:
                    world.up(world.running, seq)
            world.run(draw.choice((0.001, 0.3, 2.0)))
        world.has_leader, world.loss_rate = True, 0.0
        for _ in range(int(4 * SILENT_S)):
            seq += 1
            world.up(world.running, seq)
            world.run(0.5)
        world.run(SETTLED_S)
        found = world.admission.open_to
        world.loop.close()
        return "living" if found == world.running else "another" if found else "none"


if __name__ == "__main__":
    unittest.main()
