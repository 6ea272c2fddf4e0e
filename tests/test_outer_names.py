"""Each name that leaves the process, as `golden/outer-names.txt` lists them, still stands in the code."""

from __future__ import annotations

import ast
import re
from collections.abc import Iterator
from pathlib import Path

ROOT = Path(__file__).parent.parent
NAMES = ROOT / "tests" / "golden" / "outer-names.txt"
WORD = re.compile(r"[\w.-]+")
DATA_FILES = (*ROOT.glob("deploy/*.toml"), *ROOT.glob("minthitch/lab/scenarios/*.toml"))
FIELDS_WITH_NAMES = ("id", "arg", "attr", "name", "asname", "module")


def _names_in(tree: ast.AST) -> Iterator[str]:
    for node in ast.walk(tree):
        for field in FIELDS_WITH_NAMES:
            if isinstance(value := getattr(node, field, None), str):
                yield value
        if isinstance(node, ast.Constant) and isinstance(node.value, (str, bytes)):
            text = node.value if isinstance(node.value, str) else node.value.decode("latin-1")
            yield text
            yield from (word.rstrip(".-") for word in WORD.findall(text))
            yield from re.findall(r"\w+", text)


def _names_in_use() -> set[str]:
    found: set[str] = set()
    for path in (ROOT / "minthitch").rglob("*.py"):
        found.update(_names_in(ast.parse(path.read_text())))
        found.add(path.stem)
        found.add(".".join(path.relative_to(ROOT).with_suffix("").parts).removesuffix(".__init__"))
    for path in DATA_FILES:
        found.update(WORD.findall(path.read_text()))
        found.update(re.findall(r"[\w-]+", path.read_text()))
        found.add(path.stem)
    return found


def test_each_outer_name_is_still_used() -> None:
    names = NAMES.read_text().split()
    assert len(names) > 800
    assert names == sorted(set(names))
    in_use = _names_in_use()
    # The last part of a command such as `mesh diff` is the name of a class in lower case.
    commands = {name.lower() for name in in_use}
    assert [name for name in names if name not in in_use and name not in commands] == []
