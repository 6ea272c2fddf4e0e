"""Shutdown of a control node: it hands over leadership, answers accepted calls, and accepts no new ones."""

from __future__ import annotations

import unittest
from types import SimpleNamespace
from typing import Any, cast

from minthitch.mesh.control.handlers import ControlHandlers
from minthitch.mesh.control.server import ControlServer
from minthitch.mesh.control.shutdown import SHUTDOWN_TIMEOUT_S, GracefulShutdown
from minthitch.mesh.http.listener import ClientConnection
from minthitch.mesh.raft.actions import Action
from minthitch.net.callers import Incoming
from rigs.simulation.mesh import ControlNode, Site
from rigs.simulation.size import items
from tests.mesh.site_test_case import SiteTestCase


class StubCore:
    def __init__(self, role: str, leader: str | None) -> None:
        self.role, self.name, self.leader = role, "a#0", leader
        self.asked: list[float] = []
        self.dispensable = True  # whether the other members have its entries

    @property
    def is_leader(self) -> bool:
        return self.role == "leader"

    def begin_shutdown(self, now: float) -> list[Action]:
        self.asked.append(now)
        return []

    def may_end(self, now: float) -> bool:
        return self.dispensable


class Conditions(unittest.TestCase):
    def test_a_leader_waits_for_its_successor(self) -> None:
        core = StubCore("leader", "a#0")
        shutdown = GracefulShutdown(core)
        self.assertFalse(shutdown.is_finished(1.0, 0), "not begun")
        shutdown.begin(1.0)
        shutdown.begin(1.5)
        self.assertEqual(core.asked, [1.0])
        self.assertFalse(shutdown.is_finished(1.1, 0))
        core.role, core.leader = "follower", None
        self.assertFalse(shutdown.is_finished(1.2, 0), "there is no leader yet")
        core.leader = "b#0"
        self.assertFalse(shutdown.is_finished(1.3, 1), "a call is open")
        core.dispensable = False
        self.assertFalse(shutdown.is_finished(1.3, 0), "it has entries that a majority lacks")
        core.dispensable = True
        self.assertTrue(shutdown.is_finished(1.3, 0))

    def test_it_does_not_wait_forever(self) -> None:
        shutdown = GracefulShutdown(StubCore("leader", "a#0"))
        shutdown.begin(1.0)
        self.assertFalse(shutdown.is_finished(1.0 + SHUTDOWN_TIMEOUT_S - 0.01, 3))
        self.assertTrue(shutdown.is_finished(1.0 + SHUTDOWN_TIMEOUT_S, 3))

    def test_a_follower_may_go_at_once(self) -> None:
        shutdown = GracefulShutdown(StubCore("follower", "b#0"))
        shutdown.begin(1.0)
        self.assertTrue(shutdown.is_finished(1.0, 0))


class NewWork(unittest.TestCase):
    def test_new_work_is_refused_and_it_is_not_ready(self) -> None:
        server = SimpleNamespace(raft=SimpleNamespace(in_contact_with_quorum=lambda now: True))
        handlers = ControlHandlers(cast(ControlServer, server))
        handlers.shutting_down = True
        self.assertFalse(handlers.accepts_requests(), "so answers have Connection: close")
        for method, path in ((b"POST", b"/Config.Patch"), (b"GET", b"/Config.Fetch"), (b"GET", b"/ready")):
            answers: list[int] = []
            client = SimpleNamespace(
                token=1, respond=lambda token, status, *rest, answers=answers: answers.append(status)
            )
            item = Incoming()
            item.method, item.target = method, path
            handlers.handle(cast(ClientConnection, client), item)
            self.assertEqual(answers, [503], path)


class Handover(SiteTestCase):
    def seconds_until_leader(self, site: Site, old: ControlNode) -> float:
        """Seconds until another member has the leader's lease."""
        began = site.loop.now
        while site.loop.now < began + 5.0:
            site.loop.run_until(site.loop.now + 0.005)
            for control in site.controls:
                now = site.loop.now + control.machine.offset
                if control is not old and control.server is not None and control.server.raft.has_lease(now):
                    return site.loop.now - began
        raise AssertionError("no leader")

    def test_a_handover_is_faster_than_an_election(self) -> None:
        handed, elected = list[float](), list[float]()
        for seed in range(12):
            site = self.start_site(seed)
            leader = site.leader()
            assert leader.server is not None
            site.loop.on(leader.machine, leader.server.begin_shutdown)
            handed.append(self.seconds_until_leader(site, leader))
            site.loop.run_until(site.loop.now + SHUTDOWN_TIMEOUT_S)
            self.assertTrue(leader.server.may_end.is_set())
            self.assertFalse(leader.leads)
            site = self.start_site(seed)
            leader = site.leader()
            leader.stop()
            elected.append(self.seconds_until_leader(site, leader))
        self.assertLess(max(handed), 0.5 * sum(elected) / len(elected))

    def test_accepted_calls_are_answered_before_it_may_end(self) -> None:
        for seed in range(12):
            for to_leader in (True, False):
                site = self.start_site(seed)
                leader = site.leader()
                node = leader if to_leader else next(c for c in site.controls if not c.leads)
                answers: list[tuple[Any, bool]] = []
                server = node.server
                assert server is not None

                def on_result(
                    result: Any,
                    server: ControlServer = server,
                    answers: list[tuple[Any, bool]] = answers,
                ) -> None:
                    answers.append((result, server.may_end.is_set()))

                site.loop.after(0.0, node.machine, server.patch, items(range(3), 1), on_result)
                site.loop.after(0.0005, node.machine, server.begin_shutdown)
                site.loop.run_until(3.0 + SHUTDOWN_TIMEOUT_S)
                self.assertEqual(answers, [((200, "", True), False)], (seed, to_leader))
                self.assertTrue(server.may_end.is_set())

    def test_a_leader_that_shuts_down_accepts_no_new_call(self) -> None:
        site = self.start_site(1)
        leader, answers = site.leader(), list[Any]()
        assert leader.server is not None
        last = leader.server.raft.last_index
        site.loop.on(leader.machine, leader.server.begin_shutdown)
        site.loop.after(0.0, leader.machine, leader.server.patch, items(range(3), 1), answers.append)
        site.loop.run_until(3.001)
        self.assertEqual((answers, leader.server.raft.last_index), ([None], last))
