"""docs/design/lifetimes.md names each constant that bounds a container or a time, and no other."""

from __future__ import annotations

import ast
import re
import unittest
from pathlib import Path

ROOT = Path(__file__).parents[2]
MESH = ROOT / "minthitch" / "mesh"
PAGE = ROOT / "docs" / "design" / "lifetimes.md"
BOUND = re.compile(r"^MAX_|EXPIRY|RETENTION|WINDOW|^RESERVED_")
MENTION = re.compile(r"`(?P<file>[\w/]+\.py)`(?: and `(?P<other>[\w/]+\.py)`)?|`(?P<name>[A-Z][A-Z0-9_]+)`")


def constants(path: Path) -> set[str]:
    """Names of upper-case constants that a module defines at its top."""
    found: set[str] = set()
    for node in ast.parse(path.read_text()).body:
        targets = node.targets if isinstance(node, ast.Assign) else []
        for target in targets:
            names = target.elts if isinstance(target, ast.Tuple) else [target]
            found |= {name.id for name in names if isinstance(name, ast.Name) and name.id.isupper()}
    return found


def bounds_in_code() -> set[tuple[str, str]]:
    """File and name of each constant that bounds something, and of each length of a bounded deque."""
    found: set[tuple[str, str]] = set()
    for path in MESH.rglob("*.py"):
        file = path.relative_to(MESH).as_posix()
        found |= {(file, name) for name in constants(path) if BOUND.search(name)}
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.keyword) and node.arg == "maxlen":
                found.add((file, ast.unparse(node.value)))
    return found


def mentions(text: str) -> set[tuple[str, str]]:
    """File and name of each constant in the page's tables: a name belongs to the files named before it."""
    found: set[tuple[str, str]] = set()
    for line in text.splitlines():
        if not line.startswith("| ") or line.startswith("| ---"):
            continue
        files: list[str] = []
        for match in MENTION.finditer(line):
            if match["file"]:
                files = [match["file"], *([match["other"]] if match["other"] else [])]
            else:
                found |= {(file, match["name"]) for file in files}
    return found


class Lifetimes(unittest.TestCase):
    def test_each_bound_of_the_code_is_in_the_page(self) -> None:
        self.assertEqual(bounds_in_code() - mentions(PAGE.read_text()), set())

    def test_each_constant_of_the_page_is_in_the_code(self) -> None:
        for file, name in sorted(mentions(PAGE.read_text())):
            self.assertIn(name, constants(MESH / file), file)

    def test_a_bound_that_is_missing_in_the_page_is_found(self) -> None:
        text = PAGE.read_text().replace("`MAX_CONTROLS`", "", 1)
        self.assertEqual(bounds_in_code() - mentions(text), {("sidecar/control_links.py", "MAX_CONTROLS")})


if __name__ == "__main__":
    unittest.main()
