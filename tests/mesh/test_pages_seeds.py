"""Seeds are the only configured addresses of other nodes; they may lack the leader or name a dead machine."""

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
DEAD_SEED = "10.0.0.99:8000"  # no machine has this address
UNRESPONSIVE_AFTER_S = 2.0


def set_seeds(node: ControlNode, *seeds: str) -> None:
    """Set the seeds in the node's settings, from its next start on."""

    def boot(own: Any) -> NodeSettings:
        plain = Node.boot(node, own)
        return structs.replace(plain, net=structs.replace(plain.net, seeds=seeds))

    node.boot = boot  # type: ignore[method-assign]


def follower(site: Site, number: int) -> ControlNode:
    return [node for node in site.controls if node is not site.leader()][number]


class Seeds(unittest.TestCase):
    def test_a_node_that_lost_its_disk_rejoins_though_its_seeds_lack_the_leader(self) -> None:
        def lose(site: Site, clients: Clients, operators: Operators) -> None:
            node = follower(site, 0)
            set_seeds(node, f"{node.ip}:8000", f"{follower(site, 1).ip}:8000", DEAD_SEED)
            node.stop(power=True)
            node.disk.wipe()
            node.start()

        for seed in range(4):
            with self.subTest(seed=seed):
                self.assertEqual(self.played(seed, lose).broken, [])

    def test_a_spare_with_one_follower_as_seed_replaces_a_dead_voter(self) -> None:
        spares: list[ControlNode] = []

        def replace(site: Site, clients: Clients, operators: Operators) -> None:
            spare = ControlNode(site, "10.0.1.2")
            spare.starts = 1  # its first start is not that of the whole system
            set_seeds(spare, f"{follower(site, 1).ip}:8000", DEAD_SEED)
            follower(site, 0).stop(power=True)
            spare.start()
            spares.append(spare)

        original = RaftNode.__init__

        def with_short_timeout(core: RaftNode, *given: Any, **named: Any) -> None:
            original(core, *given, **named)
            core.reconfiguration.policy.unresponsive_after_s = UNRESPONSIVE_AFTER_S

        for seed in range(3):
            with self.subTest(seed=seed), mock.patch.object(RaftNode, "__init__", with_short_timeout):
                played = self.played(seed, replace)
                voters = played.site.leader().server.raft.voters  # type: ignore[union-attr]
                self.assertIn(spares[-1].server.raft.name, voters)  # type: ignore[union-attr]

    def played(self, seed: int, action: Any) -> Played:
        return play(seed, [], CALM._replace(actions=((3.0, action),)))


if __name__ == "__main__":
    unittest.main()
