"""Base class of tests with a simulated site whose control nodes have elected a leader."""

from __future__ import annotations

import unittest
from unittest import mock

from minthitch.mesh.events.events import LOG
from rigs.simulation.mesh import Site


class SiteTestCase(unittest.TestCase):
    """Runs control nodes in virtual time and suppresses their log output."""

    def setUp(self) -> None:
        silent = mock.patch.object(LOG, "disabled", True)
        silent.start()
        self.addCleanup(silent.stop)

    def start_site(self, seed: int) -> Site:
        site = Site(seed)
        self.addCleanup(site.loop.close)
        for control in site.controls:
            site.loop.after(0.0, site.loop.world, control.start)
        site.loop.run_until(3.0)
        self.assertTrue(site.leader().leads)
        return site
