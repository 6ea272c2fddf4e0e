"""The modules that the two daemons load, and how they refuse to start: with one line and an exit code.

Both are long-running, so every loaded module costs memory permanently. `ssl`, `subprocess`, `concurrent`,
`logging` and their imports come with asyncio itself, whatever the loop; uvloop, httptools, msgspec, msgpack
and lmdb (control node) are the pinned libraries. Nothing of the interactive commands is loaded: no cappa,
and so no rich.
"""

from __future__ import annotations

import os
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

ROOT = Path(__file__).parents[2]
NODE = {  # shared with the node: connections and parsing, but none of the node's decisions
    "engine",
    "engine.attempts",
    "engine.calls",
    "engine.clock",
    "engine.fields",
    "engine.servers",
    "engine.stream",
    "interface",
    "listing",
    "log",
    "net",
    "net.caller_table",
    "net.callers",
    "net.eviction",
    "net.body_memory",
}
BOTH = NODE | {
    "mesh",
    "mesh.configuration",
    "mesh.configuration.settings",
    "mesh.configuration.calls",
    "mesh.configuration.errors",
    "mesh.configuration.call_parser",
    "mesh.configuration.deleted_versions",
    "mesh.configuration.nesting",
    "mesh.configuration.items",
    "mesh.configuration.schema",
    "mesh.configuration.validation",
    "mesh.transport",
    "mesh.transport.connection",
    "mesh.transport.link",
    "mesh.transport.ops",
    "mesh.transport.framing",
    "mesh.transport.compression",
    "mesh.registry",
    "mesh.registry.records",
    "mesh.registry.registry",
    "mesh.events",
    "mesh.events.events",
    "mesh.http",
    "mesh.http.runtime",
    "mesh.http.listener",
    "mesh.idempotency",
    "mesh.idempotency.server_runs",
}
SIDECAR = BOTH | {
    "mesh.registry.merged_views",
    "mesh.limits",
    "mesh.limits.budget",
    "mesh.limits.bulk",
    "mesh.limits.gate",
    "mesh.limits.lease",
    "mesh.limits.nested",
    "decisions",
    "decisions.evidence",
    "decisions.gamma",
    "decisions.sets",
    "net.pool",
    "mesh.configuration.routes",
    "mesh.http.instance_probe",
    "mesh.http.upstream",
    "mesh.idempotency.operations",
    "mesh.sidecar",
    "mesh.sidecar.peer_queries",
    "mesh.sidecar.load_balancer",
    "mesh.sidecar.attempt_dispatcher",
    "mesh.sidecar.handlers",
    "mesh.sidecar.sidecar",
    "mesh.sidecar.admission",
    "mesh.sidecar.body_memory",
    "mesh.sidecar.keys",
    "mesh.sidecar.control_links",
    "mesh.sidecar.peer",
    "mesh.sidecar.offers",
    "mesh.sidecar.program",
    "mesh.sidecar.retry_budget",
    "mesh.sidecar.run_recorder",
    "mesh.sidecar.server_lifecycle",
    "mesh.sidecar.shutdown_schedule",
    "mesh.sidecar.exchange",
}
CONTROL = BOTH | {
    "mesh.raft",
    "mesh.raft.actions",
    "mesh.raft.election",
    "mesh.raft.election_timer",
    "mesh.raft.errors",
    "mesh.raft.follower",
    "mesh.raft.leader",
    "mesh.raft.leadership_transfer",
    "mesh.raft.log",
    "mesh.raft.member",
    "mesh.raft.membership",
    "mesh.raft.messages",
    "mesh.raft.node",
    "mesh.raft.persistence",
    "mesh.raft.placement",
    "mesh.raft.progress",
    "mesh.raft.reconfiguration",
    "mesh.raft.shutdown",
    "mesh.raft.shutdown_state",
    "mesh.raft.snapshot_transfer",
    "mesh.storage",
    "mesh.storage.errors",
    "mesh.storage.lmdb_meta",
    "mesh.storage.records",
    "mesh.storage.store",
    "mesh.storage.writer",
    "mesh.limits",
    "mesh.limits.budget",
    "mesh.limits.lease",
    "mesh.idempotency.claims",
    "mesh.idempotency.rotation",
    "mesh.control",
    "mesh.control.allowance_leases",
    "mesh.control.claim_expiry",
    "mesh.control.configuration_calls",
    "mesh.control.consensus",
    "mesh.control.disk_health",
    "mesh.control.handlers",
    "mesh.control.heartbeats",
    "mesh.control.peer_links",
    "mesh.control.program",
    "mesh.control.proposals",
    "mesh.control.server",
    "mesh.control.shutdown",
    "mesh.control.sidecar_updates",
    "mesh.control.snapshots",
    "mesh.control.state_machine",
    "mesh.control.status",
    "mesh.transport.control_messages",
}
NEVER = {
    "argparse",
    "cappa",
    "email",
    "hdrh",
    "http",
    "httpx",
    "multiprocessing",
    "nose2",
    "numpy",
    "plotly",
    "psycopg",
    "pytest",
    "rich",
    "scipy",
    "sqlite3",
    "starlette",
    "tomllib",
    "unittest",
    "urllib",
}


def loaded(module: str) -> set[str]:
    run = subprocess.run(
        [sys.executable, "-c", f"import {module}, sys\nprint(*sys.modules)"],
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=True,
    )
    return set(run.stdout.split())


def started(program: str, settings: str | None) -> subprocess.CompletedProcess[str]:
    environ = {key: value for key, value in os.environ.items() if key != "MINTHITCH_BOOT"}
    if settings is not None:
        environ["MINTHITCH_BOOT"] = settings
    return subprocess.run(
        [sys.executable, "-m", f"minthitch.{program}"],
        cwd=ROOT,
        env=environ,
        capture_output=True,
        text=True,
        timeout=60,
    )


class Loads(unittest.TestCase):
    def holds(self, module: str, own: set[str], foreign: set[str]) -> None:
        found = loaded(module)
        self.assertEqual({name.partition(".")[2] for name in found if name.startswith("minthitch.")}, own)
        self.assertEqual({name.partition(".")[0] for name in found} & (NEVER | {"lmdb"}), foreign)

    def test_sidecar(self) -> None:
        self.holds("minthitch.mesh.sidecar.program", SIDECAR, set())

    def test_control(self) -> None:
        self.holds("minthitch.mesh.control.program", CONTROL, {"lmdb"})

    def test_the_nodes_command_line_loads_no_cappa(self) -> None:
        self.assertFalse(loaded("minthitch.cli.commands") & {"cappa", "lmdb", "minthitch.cli.mesh"})


class Refuses(unittest.TestCase):
    def refused(self, settings: str | None, said: str) -> None:
        for program in ("mesh.sidecar", "mesh.control"):
            with self.subTest(program=program, settings=settings):
                run = started(program, settings)
                self.assertEqual((run.returncode, run.stdout), (2, ""))
                self.assertEqual(len(run.stderr.splitlines()), 1, run.stderr)
                self.assertTrue(run.stderr.startswith("E101 "), run.stderr)
                self.assertIn(said, run.stderr)

    def test_a_missing_variable_or_file(self) -> None:
        self.refused(None, "MINTHITCH_BOOT=")
        self.refused("/nowhere/node.conf", "MINTHITCH_BOOT=/nowhere/node.conf")

    def test_a_bad_file(self) -> None:
        with tempfile.NamedTemporaryFile("w", suffix=".conf") as file:
            file.write(
                "Self.Ip=10.1.0\nSelf.Node=n\nSelf.Mclass=core\nSelf.Az=a\nSelf.Region=r\n"
                "Net.PortRange=7620,7635\nNet.Seeds=10.1.0.14:8306\n"
            )
            file.flush()
            self.refused(file.name, "Self.Ip=10.1.0")
