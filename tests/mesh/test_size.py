"""The control plane with many nodes: what is gathered, packed once, said only when new, and still safe."""

from __future__ import annotations

import random
import unittest
from collections import Counter
from unittest import mock

from minthitch.mesh.control import sidecar_updates
from minthitch.mesh.control.sidecar_updates import BATCH_INTERVAL_S
from minthitch.mesh.events.events import LOG
from minthitch.mesh.registry.merged_views import MergedViews
from minthitch.mesh.registry.records import SidecarRecord, is_newer, published_fields
from minthitch.mesh.registry.registry import EXPIRY_S, Registry, RegistryDelta
from minthitch.mesh.sidecar import links
from minthitch.mesh.sidecar.links import (
    HOLD_S,
    PROBE_AFTER_ONCE_S,
    PROBE_TIMEOUT_S,
    Peer,
    _significant_fields,
)
from minthitch.mesh.transport import compression, ops
from minthitch.mesh.transport.connection import DEAD
from minthitch.mesh.transport.framing import PIECE, Broken
from minthitch.mesh.transport.link import STALE
from rigs.simulation.mesh import CONTROLS
from rigs.simulation.size import SPREAD, Crowd

COUNT = 40
WAYS = 0.03  # seconds of the model's two ways and a turn of the loops


def record(ip: str, epoch: int, seq: int, state: str = "up", cold: float = 0.0) -> SidecarRecord:
    return SidecarRecord(ip, 1, epoch, seq, "a", "svc", f"{ip}-{epoch}", 4, state, cold, True)


class Lists(unittest.TestCase):
    def test_merging_what_a_word_touches_is_merging_all(self) -> None:
        for seed in range(30):
            rng = random.Random(seed)
            views, news = MergedViews(), Counter[bool]()
            for step in range(200):
                before = {ip: published_fields(r) for ip, r in views.merged.items()}
                control = rng.choice("abc")
                if rng.random() < 0.1:
                    said = views.disconnect(control)
                else:
                    state = rng.choice(("up", "draining"))
                    rows = [
                        record(rng.choice("123456"), rng.randrange(2), step, state)
                        for _ in range(rng.randrange(3))
                    ]
                    gone = [ip for ip in "123456" if rng.random() < 0.1 and all(r.ip != ip for r in rows)]
                    said = views.update(float(step), control, RegistryDelta(rng.random() < 0.1, rows, gone))
                whole: dict[str, SidecarRecord] = {}
                for view in views.views.values():
                    whole.update({ip: r for ip, r in view.items() if is_newer(r, whole.get(ip))})
                self.assertEqual(
                    {ip: (r.epoch, r.sequence) for ip, r in views.merged.items()},
                    {ip: (r.epoch, r.sequence) for ip, r in whole.items()},
                )
                self.assertEqual(said, before != {ip: published_fields(r) for ip, r in whole.items()})
                news[said] += 1
            self.assertGreater(min(news[True], news[False]), 10)

    def test_a_live_connection_keeps_its_sidecar_and_no_other_run(self) -> None:
        registry, old, new = Registry(), record("a", 1, 9), record("a", 2, 1)
        registry.update(0.0, old)
        registry.refresh("a", 1, EXPIRY_S)
        self.assertFalse(registry.expire(EXPIRY_S + 1.0))
        registry.update(EXPIRY_S + 1.0, new)
        registry.refresh(
            "a", 1, 9.0
        )  # danger: a line of a life before keeps the one that has died in the list
        self.assertTrue(registry.expire(9.0))

    def test_a_server_is_reported_again_once_it_is_warm(self) -> None:
        self.assertNotEqual(
            _significant_fields(record("a", 1, 1, cold=0.5)), _significant_fields(record("a", 1, 2))
        )
        self.assertEqual(
            _significant_fields(record("a", 1, 1, cold=0.5)), _significant_fields(record("a", 1, 2, cold=0.4))
        )

    def test_squeezed_bytes_come_back_and_no_more_than_may_be(self) -> None:
        data = b"\x94" + b"routes are alike " * 1_000
        self.assertLess(len(compression.squeezed(data)), len(data) / 10)
        self.assertEqual(compression.opened(compression.squeezed(data)), data)
        self.assertEqual(compression.opened(compression.squeezed(data[:100])), data[:100])
        with mock.patch.object(compression, "LONGEST", len(data) - 1), self.assertRaises(Broken):
            compression.opened(compression.squeezed(data))
        with self.assertRaises(Broken):
            compression.opened(compression.squeezed(data)[:-9])


class Crowded(unittest.TestCase):
    def setUp(self) -> None:
        patch = mock.patch.object(LOG, "disabled", True)
        patch.start()
        self.addCleanup(patch.stop)

    def crowd(self) -> Crowd:
        crowd = Crowd(COUNT)
        crowd.begin()
        self.addCleanup(crowd.close)
        self.addCleanup(lambda: self.assertEqual(crowd.faults, []))
        return crowd

    def listed(self, crowd: Crowd) -> set[int]:
        return {
            len(sidecar.controls.views.merged) for sidecar in crowd.told if sidecar.keeps and sidecar.controls
        }


class Many(Crowded):
    def test_a_start_of_all_is_no_word_for_each_of_each(self) -> None:
        crowd = self.crowd()
        self.assertEqual(self.listed(crowd), {COUNT})
        gathered = crowd.spent().words_out
        with mock.patch.object(sidecar_updates, "BATCH_INTERVAL_S", 0.0):
            self.assertGreater(self.crowd().spent().words_out, 1.25 * gathered)

    def test_one_state_is_one_word_each_packed_once_and_at_once(self) -> None:
        crowd = self.crowd()
        crowd.loop.run_until(crowd.loop.now + 1.0)
        with mock.patch.object(Registry, "since", autospec=True, side_effect=Registry.since) as since:
            crowd.over(0.2, crowd.drain)
        self.assertLessEqual(since.call_count, 2 * len(CONTROLS))
        self.assertEqual(len(crowd.heard), COUNT)
        self.assertLess(crowd.delays()[-1], WAYS)

    def test_a_drain_among_much_other_news_waits_for_no_more_than_is_gathered(self) -> None:
        crowd = self.crowd()
        crowd.replace("svc-1", SPREAD)
        crowd.loop.run_until(crowd.loop.now + 0.5)
        crowd.drain()
        crowd.loop.run_until(crowd.loop.now + 1.0)
        self.assertEqual(len(crowd.heard), COUNT)
        self.assertLess(crowd.delays()[-1], BATCH_INTERVAL_S + WAYS)

    def test_who_says_nothing_new_stays_and_who_is_gone_goes(self) -> None:
        crowd = self.crowd()
        with mock.patch.object(links, "MAX_REPORT_INTERVAL_S", 1e9):
            crowd.loop.run_until(crowd.loop.now + 2 * EXPIRY_S)
            self.assertEqual(self.listed(crowd), {COUNT})
            crowd.told[-1].stop(power=True)
            crowd.loop.run_until(crowd.loop.now + EXPIRY_S + 1.0)
        self.assertEqual(self.listed(crowd), {COUNT - 1})


class Quiet(Crowded):
    def test_connections_between_sidecars_are_quiet_and_a_dead_one_is_found_before_use(self) -> None:
        crowd = self.crowd()
        ips = crowd.meet(2)
        crowd.loop.run_until(crowd.loop.now + 1.0)
        caller = crowd.told[-1]
        self.assertEqual((len(ips), caller.answers), (2, COUNT - 1))
        said = crowd.over(5.0, ips=ips)
        self.assertLess(said.words_out + said.beats_out, 5.0 * 3 * len(CONTROLS))
        live, dead = caller.peers[0], caller.peers[1]
        crowd.network.cut(caller.ip, dead.ip)
        left: list[str] = []
        for peer in (live, dead):
            crowd.loop.after(0.0, caller.machine, self.ask, peer, left)
        crowd.loop.run_until(crowd.loop.now + PROBE_TIMEOUT_S + 0.1)
        self.assertEqual((left, caller.answers, caller.losses), ([live.ip], COUNT, [dead.ip]))

    def test_a_call_goes_elsewhere_while_a_line_is_doubted_and_what_is_open_on_it_is_not_cut(self) -> None:
        crowd = self.crowd()
        crowd.meet(1)
        crowd.loop.run_until(crowd.loop.now + 1.0)
        caller = crowd.told[-1]
        peer = caller.peers[0]
        left: list[str] = []
        crowd.loop.after(0.0, caller.machine, self.call, peer, 7, left)  # nobody answers it
        crowd.loop.run_until(crowd.loop.now + PROBE_AFTER_ONCE_S / 2)
        crowd.network.cut(caller.ip, peer.ip)
        crowd.loop.run_until(crowd.loop.now + PROBE_AFTER_ONCE_S)
        crowd.loop.after(0.0, caller.machine, self.call, peer, 8, left)
        crowd.loop.run_until(crowd.loop.now + HOLD_S + 0.05)
        self.assertEqual((left, caller.back), ([peer.ip], [8]))
        crowd.loop.run_until(crowd.loop.now + PROBE_TIMEOUT_S)
        self.assertEqual(caller.losses, [])
        crowd.loop.run_until(crowd.loop.now + 2 * DEAD)
        self.assertEqual(caller.losses, [peer.ip])

    def test_a_connection_that_met_a_dark_machine_does_not_hide_its_return(self) -> None:
        crowd = self.crowd()
        sidecar = crowd.told[-1]
        assert sidecar.controls is not None
        link = sidecar.controls.links[CONTROLS[0]]
        way = (sidecar.ip, CONTROLS[0])
        crowd.network.cut(*way)
        crowd.loop.run_until(crowd.loop.now + 2 * DEAD)
        for _ in range(200):  # until a connection has been under way for a while
            if link.task is not None and crowd.loop.now - link.begun > STALE:
                break
            crowd.loop.run_until(crowd.loop.now + 0.01)
        self.assertFalse(link.up)
        crowd.network.heal([way])
        crowd.loop.after(0.0, sidecar.machine, link.nudge)
        crowd.loop.run_until(crowd.loop.now + 0.02)
        self.assertTrue(link.up)

    def call(self, peer: Peer, ident: int, left: list[str]) -> None:
        message = (ops.CALL, ident, "no life", 9.0, 9.0, 1, 1, b"POST", b"/", (), b"", b"id", b"a", "route")
        peer.send(message, 0, lambda parcel: left.append(peer.ip), at_most_once=True)

    def test_a_long_message_on_a_slow_link_keeps_its_line(self) -> None:
        crowd = self.crowd()
        crowd.meet(1)
        crowd.loop.run_until(crowd.loop.now + 15.0)
        caller = crowd.told[-1]
        peer, far = caller.peers[0], caller.peers[0].link.connection
        assert far is not None
        caller.answers = 0
        crowd.loop.after(0.0, caller.machine, far.ask, lambda: None)
        crowd.loop.run_until(crowd.loop.now + 0.1)
        crowd.metered.slow_to, crowd.metered.slow_by = peer.ip, 0.6  # seconds for each piece
        crowd.loop.after(0.0, caller.machine, self.upload, peer)
        crowd.loop.run_until(crowd.loop.now + 9.0)
        self.assertEqual((caller.answers, caller.losses), (1, []))

    def upload(self, peer: Peer) -> None:
        peer.send((ops.PEER_FETCH, bytes(8 * PIECE)), 2, lambda parcel: None)

    def ask(self, peer: Peer, left: list[str]) -> None:
        peer.send((ops.PEER_FETCH, 0), 0, lambda parcel: left.append(peer.ip))
