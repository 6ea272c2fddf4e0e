"""The control plane with many nodes: batched updates, packed once and sent only on change, and still safe."""

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
from minthitch.mesh.sidecar import control_links
from minthitch.mesh.sidecar.control_links import _significant_fields
from minthitch.mesh.sidecar.peer import HOLD_S, PROBE_AFTER_ONCE_S, PROBE_TIMEOUT_S, Peer
from minthitch.mesh.transport import compression, ops
from minthitch.mesh.transport.connection import PEER_TIMEOUT_S
from minthitch.mesh.transport.framing import MAX_FRAME_PAYLOAD, ProtocolError
from minthitch.mesh.transport.link import STALE_CONNECT_S
from rigs.simulation.mesh import CONTROLS
from rigs.simulation.size import START_SPREAD_S, LargeSite

COUNT = 40
ROUND_TRIP_S = 0.03  # seconds for the simulated round trip and an iteration of both loops


def record(ip: str, epoch: int, seq: int, state: str = "up", cold: float = 0.0) -> SidecarRecord:
    return SidecarRecord(ip, 1, epoch, seq, "a", "svc", f"{ip}-{epoch}", 4, state, cold, True)


class RegistryViews(unittest.TestCase):
    def test_an_incremental_merge_equals_a_full_merge(self) -> None:
        for seed in range(30):
            rng = random.Random(seed)
            views, changes = MergedViews(), Counter[bool]()
            for step in range(200):
                before = {ip: published_fields(r) for ip, r in views.merged.items()}
                control = rng.choice("abc")
                if rng.random() < 0.1:
                    reported = views.disconnect(control)
                else:
                    state = rng.choice(("up", "draining"))
                    rows = [
                        record(rng.choice("123456"), rng.randrange(2), step, state)
                        for _ in range(rng.randrange(3))
                    ]
                    gone = [ip for ip in "123456" if rng.random() < 0.1 and all(r.ip != ip for r in rows)]
                    reported = views.update(
                        float(step), control, RegistryDelta(rng.random() < 0.1, rows, gone)
                    )
                whole: dict[str, SidecarRecord] = {}
                for view in views.views.values():
                    whole.update({ip: r for ip, r in view.items() if is_newer(r, whole.get(ip))})
                self.assertEqual(
                    {ip: (r.epoch, r.sequence) for ip, r in views.merged.items()},
                    {ip: (r.epoch, r.sequence) for ip, r in whole.items()},
                )
                self.assertEqual(reported, before != {ip: published_fields(r) for ip, r in whole.items()})
                changes[reported] += 1
            self.assertGreater(min(changes[True], changes[False]), 10)

    def test_a_live_connection_keeps_only_its_own_run_of_a_sidecar(self) -> None:
        registry, old, new = Registry(), record("a", 1, 9), record("a", 2, 1)
        registry.update(0.0, old)
        registry.refresh("a", 1, EXPIRY_S)
        self.assertFalse(registry.expire(EXPIRY_S + 1.0))
        registry.update(EXPIRY_S + 1.0, new)
        registry.refresh("a", 1, 9.0)  # a connection of the earlier run must not keep the new run in the list
        self.assertTrue(registry.expire(9.0))

    def test_a_server_is_reported_again_once_it_is_warm(self) -> None:
        self.assertNotEqual(
            _significant_fields(record("a", 1, 1, cold=0.5)), _significant_fields(record("a", 1, 2))
        )
        self.assertEqual(
            _significant_fields(record("a", 1, 1, cold=0.5)), _significant_fields(record("a", 1, 2, cold=0.4))
        )

    def test_compressed_bytes_are_restored_up_to_the_size_limit(self) -> None:
        data = b"\x94" + b"routes are alike " * 1_000
        self.assertLess(len(compression.compress(data)), len(data) / 10)
        self.assertEqual(compression.decompress(compression.compress(data)), data)
        self.assertEqual(compression.decompress(compression.compress(data[:100])), data[:100])
        with (
            mock.patch.object(compression, "MAX_MESSAGE_BYTES", len(data) - 1),
            self.assertRaises(ProtocolError),
        ):
            compression.decompress(compression.compress(data))
        with self.assertRaises(ProtocolError):
            compression.decompress(compression.compress(data)[:-9])


class ManySidecars(unittest.TestCase):
    def setUp(self) -> None:
        patch = mock.patch.object(LOG, "disabled", True)
        patch.start()
        self.addCleanup(patch.stop)

    def crowd(self) -> LargeSite:
        crowd = LargeSite(COUNT)
        crowd.begin()
        self.addCleanup(crowd.close)
        self.addCleanup(lambda: self.assertEqual(crowd.faults, []))
        return crowd

    def listed(self, crowd: LargeSite) -> set[int]:
        return {
            len(sidecar.controls.views.merged)
            for sidecar in crowd.reporters
            if sidecar.keeps_list and sidecar.controls
        }


class Updates(ManySidecars):
    def test_a_start_of_all_sends_no_message_per_pair(self) -> None:
        crowd = self.crowd()
        self.assertEqual(self.listed(crowd), {COUNT})
        batched = crowd.usage().messages_out
        with mock.patch.object(sidecar_updates, "BATCH_INTERVAL_S", 0.0):
            self.assertGreater(self.crowd().usage().messages_out, 1.25 * batched)

    def test_a_single_change_is_packed_once_and_sent_to_each_at_once(self) -> None:
        crowd = self.crowd()
        crowd.loop.run_until(crowd.loop.now + 1.0)
        with mock.patch.object(Registry, "since", autospec=True, side_effect=Registry.since) as since:
            crowd.usage_during(0.2, crowd.drain)
        self.assertLessEqual(since.call_count, 2 * len(CONTROLS))
        self.assertEqual(len(crowd.first_update_at), COUNT)
        self.assertLess(crowd.delays()[-1], ROUND_TRIP_S)

    def test_a_drain_among_many_changes_waits_for_one_batch_at_most(self) -> None:
        crowd = self.crowd()
        crowd.replace("svc-1", START_SPREAD_S)
        crowd.loop.run_until(crowd.loop.now + 0.5)
        crowd.drain()
        crowd.loop.run_until(crowd.loop.now + 1.0)
        self.assertEqual(len(crowd.first_update_at), COUNT)
        self.assertLess(crowd.delays()[-1], BATCH_INTERVAL_S + ROUND_TRIP_S)

    def test_a_quiet_sidecar_stays_listed_and_a_dead_one_is_removed(self) -> None:
        crowd = self.crowd()
        with mock.patch.object(control_links, "MAX_REPORT_INTERVAL_S", 1e9):
            crowd.loop.run_until(crowd.loop.now + 2 * EXPIRY_S)
            self.assertEqual(self.listed(crowd), {COUNT})
            crowd.reporters[-1].stop(power=True)
            crowd.loop.run_until(crowd.loop.now + EXPIRY_S + 1.0)
        self.assertEqual(self.listed(crowd), {COUNT - 1})


class SidecarLinks(ManySidecars):
    def test_connections_between_sidecars_are_quiet_and_a_dead_one_is_found_before_use(self) -> None:
        crowd = self.crowd()
        ips = crowd.connect_to_all(2)
        crowd.loop.run_until(crowd.loop.now + 1.0)
        caller = crowd.reporters[-1]
        self.assertEqual((len(ips), caller.answers), (2, COUNT - 1))
        reported = crowd.usage_during(5.0, ips=ips)
        self.assertLess(reported.messages_out + reported.heartbeats_out, 5.0 * 3 * len(CONTROLS))
        live, dead = caller.peers[0], caller.peers[1]
        crowd.network.cut(caller.ip, dead.ip)
        left: list[str] = []
        for peer in (live, dead):
            crowd.loop.after(0.0, caller.machine, self.ask, peer, left)
        crowd.loop.run_until(crowd.loop.now + PROBE_TIMEOUT_S + 0.1)
        self.assertEqual((left, caller.answers, caller.losses), ([live.ip], COUNT, [dead.ip]))

    def test_a_call_avoids_a_suspected_connection_whose_open_calls_are_not_cut(self) -> None:
        crowd = self.crowd()
        crowd.connect_to_all(1)
        crowd.loop.run_until(crowd.loop.now + 1.0)
        caller = crowd.reporters[-1]
        peer = caller.peers[0]
        left: list[str] = []
        crowd.loop.after(0.0, caller.machine, self.call, peer, 7, left)  # gets no answer
        crowd.loop.run_until(crowd.loop.now + PROBE_AFTER_ONCE_S / 2)
        crowd.network.cut(caller.ip, peer.ip)
        crowd.loop.run_until(crowd.loop.now + PROBE_AFTER_ONCE_S)
        crowd.loop.after(0.0, caller.machine, self.call, peer, 8, left)
        crowd.loop.run_until(crowd.loop.now + HOLD_S + 0.05)
        self.assertEqual((left, caller.returned), ([peer.ip], [8]))
        crowd.loop.run_until(crowd.loop.now + PROBE_TIMEOUT_S)
        self.assertEqual(caller.losses, [])
        crowd.loop.run_until(crowd.loop.now + 2 * PEER_TIMEOUT_S)
        self.assertEqual(caller.losses, [peer.ip])

    def test_a_pending_connection_to_a_dead_machine_does_not_hide_its_return(self) -> None:
        crowd = self.crowd()
        sidecar = crowd.reporters[-1]
        assert sidecar.controls is not None
        link = sidecar.controls.links[CONTROLS[0]]
        way = (sidecar.ip, CONTROLS[0])
        crowd.network.cut(*way)
        crowd.loop.run_until(crowd.loop.now + 2 * PEER_TIMEOUT_S)
        for _ in range(200):  # until a connection attempt has been pending for a while
            if link.connect_task is not None and crowd.loop.now - link.connect_started > STALE_CONNECT_S:
                break
            crowd.loop.run_until(crowd.loop.now + 0.01)
        self.assertFalse(link.up)
        crowd.network.heal([way])
        crowd.loop.after(0.0, sidecar.machine, link.reconnect_now)
        crowd.loop.run_until(crowd.loop.now + 0.02)
        self.assertTrue(link.up)

    def call(self, peer: Peer, ident: int, left: list[str]) -> None:
        message = (ops.CALL, ident, "no life", 9.0, 9.0, 1, 1, b"POST", b"/", (), b"", b"id", b"a", "route")
        peer.send(message, 0, lambda parcel: left.append(peer.ip), at_most_once=True)

    def test_a_long_message_on_a_slow_link_keeps_its_connection(self) -> None:
        crowd = self.crowd()
        crowd.connect_to_all(1)
        crowd.loop.run_until(crowd.loop.now + 15.0)
        caller = crowd.reporters[-1]
        peer, far = caller.peers[0], caller.peers[0].link.connection
        assert far is not None
        caller.answers = 0
        crowd.loop.after(0.0, caller.machine, far.probe, lambda: None)
        crowd.loop.run_until(crowd.loop.now + 0.1)
        crowd.metered_network.slow_to, crowd.metered_network.slow_by = peer.ip, 0.6  # seconds per frame
        crowd.loop.after(0.0, caller.machine, self.upload, peer)
        crowd.loop.run_until(crowd.loop.now + 9.0)
        self.assertEqual((caller.answers, caller.losses), (1, []))

    def upload(self, peer: Peer) -> None:
        peer.send((ops.PEER_FETCH, bytes(8 * MAX_FRAME_PAYLOAD)), 2, lambda parcel: None)

    def ask(self, peer: Peer, left: list[str]) -> None:
        peer.send((ops.PEER_FETCH, 0), 0, lambda parcel: left.append(peer.ip))
