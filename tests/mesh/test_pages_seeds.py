"""Seeds are all that is told of other nodes; later they may name no leader, or a machine that is down."""

from __future__ import annotations

import unittest
from typing import Any
from unittest import mock

from msgspec import structs

from minthitch.mesh.configuration.settings import NodeSettings
from minthitch.mesh.raft.node import RaftNode
from rigs.simulation.clients import Clients, Operators
from rigs.simulation.mesh import ControlNode, Node, Site
from rigs.simulation.play import Day, Played, play

CALM = Day(seconds=5.0, rate=0.5, every=0.5, quiet=5.2, failure_rate=0.0)
DARK = "10.0.0.99:8000"  # nobody is there
GONE_AFTER = 2.0  # seconds


def told(node: ControlNode, *seeds: str) -> None:
    """From its next start on its settings name these."""

    def boot(own: Any) -> NodeSettings:
        plain = Node.boot(node, own)
        return structs.replace(plain, net=structs.replace(plain.net, seeds=seeds))

    node.boot = boot  # type: ignore[method-assign]


def follower(site: Site, number: int) -> ControlNode:
    return [node for node in site.controls if node is not site.leader()][number]


class Seeds(unittest.TestCase):
    def test_a_control_node_without_its_disk_is_taken_in_though_its_seeds_name_no_leader(self) -> None:
        def lose(site: Site, clients: Clients, operators: Operators) -> None:
            node = follower(site, 0)
            told(node, f"{node.ip}:8000", f"{follower(site, 1).ip}:8000", DARK)
            node.stop(power=True)
            node.disk.wipe()
            node.start()

        for seed in range(4):
            with self.subTest(seed=seed):
                self.assertEqual(self.played(seed, lose).broken, [])

    def test_a_spare_whose_seeds_name_one_follower_takes_the_place_of_one_that_is_gone(self) -> None:
        spares: list[ControlNode] = []

        def replace(site: Site, clients: Clients, operators: Operators) -> None:
            spare = ControlNode(site, "10.0.1.2")
            spare.starts = 1  # its first start is not that of the whole system
            told(spare, f"{follower(site, 1).ip}:8000", DARK)
            follower(site, 0).stop(power=True)
            spare.start()
            spares.append(spare)

        keep = RaftNode.__init__

        def hasty(core: RaftNode, *given: Any, **named: Any) -> None:
            keep(core, *given, **named)
            core.reconfiguration.policy.unresponsive_after_s = GONE_AFTER

        for seed in range(3):
            with self.subTest(seed=seed), mock.patch.object(RaftNode, "__init__", hasty):
                played = self.played(seed, replace)
                voters = played.site.leader().server.raft.voters  # type: ignore[union-attr]
                self.assertIn(spares[-1].server.raft.name, voters)  # type: ignore[union-attr]

    def played(self, seed: int, action: Any) -> Played:
        return play(seed, [], CALM._replace(actions=((3.0, action),)))


if __name__ == "__main__":
    unittest.main()
