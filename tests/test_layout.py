"""Modules loaded by the default start: optional parts must not use the node's memory."""

from __future__ import annotations

import subprocess
import sys
import tomllib
from pathlib import Path

ROOT = Path(__file__).parent.parent
DEFAULT_START = {
    "minthitch",
    "minthitch.config",
    "minthitch.engine",
    "minthitch.engine.attempts",
    "minthitch.engine.calls",
    "minthitch.engine.clock",
    "minthitch.engine.core",
    "minthitch.engine.counts",
    "minthitch.engine.fields",
    "minthitch.engine.servers",
    "minthitch.engine.ports",
    "minthitch.engine.stream",
    "minthitch.decisions",
    "minthitch.decisions.admission",
    "minthitch.decisions.budget",
    "minthitch.decisions.choice",
    "minthitch.decisions.cold",
    "minthitch.decisions.evidence",
    "minthitch.decisions.gamma",
    "minthitch.decisions.state",
    "minthitch.decisions.outcomes",
    "minthitch.decisions.dispatch",
    "minthitch.decisions.requests",
    "minthitch.decisions.servers",
    "minthitch.decisions.sets",
    "minthitch.interface",
    "minthitch.listing",
    "minthitch.log",
    "minthitch.learned_state",
    "minthitch.net",
    "minthitch.net.caller_table",
    "minthitch.net.callers",
    "minthitch.net.eviction",
    "minthitch.net.discovery",
    "minthitch.net.lifecycle",
    "minthitch.net.node",
    "minthitch.net.pool",
    "minthitch.net.handover",
    "minthitch.net.body_memory",
    "minthitch.policy",
    "minthitch.program",
    "minthitch.settings",
}
NEVER = (
    "minthitch.admin",
    "minthitch.operators",
    "minthitch.record",
    "minthitch.recovery",
    "msgspec",
    "starlette",
    "fastapi",
    "httpx",
    "rich",
    "argparse",
    "sqlite3",
)


def _modules(code: str) -> set[str]:
    run = subprocess.run(
        [sys.executable, "-c", f"{code}\nimport sys\nprint(*sys.modules)"],
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=True,
    )
    return set(run.stdout.split())


def test_the_default_start_loads_what_it_needs_and_no_more() -> None:
    loaded = _modules("import minthitch.__main__, minthitch.net.node")
    own = {name for name in loaded if name.split(".")[0] == "minthitch"} - {"minthitch.__main__"}
    assert own == DEFAULT_START
    assert not loaded & set(NEVER)


def test_the_adapter_loads_no_transport() -> None:
    loaded = _modules("import minthitch.benchlink")
    assert not {name for name in loaded if name.startswith(("minthitch.net", "minthitch.engine", "uvloop"))}


def test_the_parts_of_the_decisions_load_alone() -> None:
    """Another program uses the curves, sets and evidence, and loads nothing else."""
    loaded = _modules(
        "import minthitch.decisions.gamma, minthitch.decisions.sets, minthitch.decisions.evidence"
    )
    own = {name for name in loaded if name.split(".")[0] == "minthitch"}
    assert own == {
        "minthitch",
        "minthitch.decisions",
        "minthitch.decisions.gamma",
        "minthitch.decisions.sets",
        "minthitch.decisions.evidence",
    }
    assert not loaded & {"asyncio", "dataclasses", "enum", "typing", "random"}


def test_the_operators_file_names_all_that_decides() -> None:
    for page in ("balancer.toml", "traced.toml"):
        named = tomllib.loads((ROOT / "deploy" / page).read_text())["policy"]
        parts = {str(part.relative_to(ROOT)) for part in (ROOT / "minthitch" / "decisions").glob("[!_]*.py")}
        assert set(named) == {"minthitch/policy.py"} | parts and len(named) == len(set(named))
