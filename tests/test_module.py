"""Limits on the source of the decisions, and independence of the hash seed."""

from __future__ import annotations

import os
import re
import subprocess
import sys
from pathlib import Path

from minthitch.interface import ListKind, ListUpdate, Log
from tests.rules import MS, Node, settings

ROOT = Path(__file__).parent.parent
PARTS = sorted((ROOT / "minthitch" / "decisions").glob("*.py"))
MODULE = "".join(part.read_text() for part in [ROOT / "minthitch" / "policy.py", *PARTS])


def test_the_module_stays_within_its_size() -> None:
    lines = MODULE.splitlines()
    assert len(lines) <= 1200  # the limit that the operators set
    assert max(map(len, lines)) <= 110
    assert "minthitch/interface.py" in lines[0]


def test_the_module_has_no_clock_no_io_and_no_global_randomness() -> None:
    for word in ("import time", "datetime", "open(", "print(", "random.seed", "random.random()", "global "):
        assert word not in MODULE.replace("self.random.random()", "")


def test_the_readme_example_runs() -> None:
    text = (ROOT / "README.md").read_text()
    code = text.split("## The module alone")[1].split("```python\n")[1].split("```")[0]
    run = subprocess.run([sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, check=True)
    assert run.stdout.startswith("send request 1 to server ")
    assert run.stdout.endswith("\n[]\n")


def test_actions_do_not_depend_on_the_hash_seed() -> None:
    code = (
        "from tests.rules import hostile_day, settings\n"
        "for seed in range(4): print(hostile_day(settings(), seed).log)"
    )
    outputs = {
        subprocess.run(
            [sys.executable, "-c", code],
            cwd=ROOT,
            capture_output=True,
            text=True,
            check=True,
            env={**os.environ, "PYTHONHASHSEED": seed},
        ).stdout
        for seed in ("0", "1", "12345")
    }
    assert len(outputs) == 1
    assert len(outputs.pop()) > 10_000


def test_the_readme_quotes_the_log_lines_as_they_are_printed() -> None:
    page = (ROOT / "README.md").read_text().split("## Log lines")[1].split("##")[0]
    node = Node(settings(ask_for_list=True))
    node.listed(4)
    node.feed(ListUpdate(ListKind.FAILED))
    node.queue(100, 40 * MS, 50 * MS)
    node.queue(600, 5 * MS, 50 * MS)
    printed = {re.sub(r"[\d.]+", "#", a.text) for a in node.log if isinstance(a, Log)}
    quoted = {re.sub(r"[\d.]+", "#", line.strip()) for line in page.splitlines() if line.startswith("    ")}
    assert printed == quoted and len(printed) == 2
