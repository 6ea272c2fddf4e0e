"""Servers that answer 503 without stating that the request was not run: real programs in virtual time."""

from __future__ import annotations

import unittest
from typing import Any

from rigs.simulation.clients import Clients, Operators
from rigs.simulation.mesh import Site
from rigs.simulation.play import Day, play

SHORT = Day(seconds=6.0, rate=3.0, quiet=4.0, failure_rate=0.0)
KEPT = ("idempotent", "keyed", "mutating", "upload")


def shed(site: Site, clients: Clients, operators: Operators) -> None:
    """From now on all servers run each request and then answer 503."""
    for sidecar in site.sidecars:

        def answer(
            pool: Any, call: Any, status: int, body: bytes, respond: Any = sidecar.server._answer
        ) -> None:
            respond(pool, call, 503, body)

        sidecar.server._answer = answer  # type: ignore[method-assign]


class Promises(unittest.TestCase):
    def test_a_503_of_a_request_that_ran_is_not_passed_on_as_not_run(self) -> None:
        played = play(2, [], SHORT._replace(actions=((2.5, shed),)))
        self.assertEqual(played.broken, [])
        asked = {e.data["id"]: e.data["kind"] for e in played.history.of("asked") if e.at > 2.6}
        told = {
            (asked[e.data["id"]], e.data["status"])
            for e in played.history.of("told")
            if e.data["id"] in asked
        }
        self.assertEqual({kind for kind, status in told if status in (502, 503)}, set(KEPT))


if __name__ == "__main__":
    unittest.main()
