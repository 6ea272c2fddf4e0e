"""docs/ARCHITECTURE.md names files and functions that exist."""

from __future__ import annotations

import ast
import re
import unittest
from pathlib import Path

ROOT = Path(__file__).parents[2]
PAGE = ROOT / "docs" / "ARCHITECTURE.md"
STEP = re.compile(r"^\| \d+ \| `(?P<file>[^`]+)` \| `(?P<function>[^`]+)` \| (?P<text>.*) \|$", re.MULTILINE)
FILE = re.compile(r"`(minthitch/[\w/]+(?:\.py)?)`")
FUNCTION = re.compile(r"`([A-Z]\w+\.\w+)`")


def functions(path: Path) -> set[str]:
    """The functions of a module, methods with their class."""
    found: set[str] = set()
    for node in ast.parse(path.read_text()).body:
        if isinstance(node, ast.FunctionDef):
            found.add(node.name)
        elif isinstance(node, ast.ClassDef):
            found |= {f"{node.name}.{item.name}" for item in node.body if isinstance(item, ast.FunctionDef)}
    return found


class Architecture(unittest.TestCase):
    def setUp(self) -> None:
        self.text = PAGE.read_text()

    def test_each_step_names_a_function_of_its_file(self) -> None:
        steps = list(STEP.finditer(self.text))
        self.assertEqual(len(steps), 40)
        for step in steps:
            known = functions(ROOT / step["file"])
            self.assertIn(step["function"], known, step["file"])
            for other in FUNCTION.findall(step["text"]):
                self.assertIn(other, known, step["file"])

    def test_each_file_and_package_exists(self) -> None:
        names = FILE.findall(self.text)
        self.assertGreater(len(names), 60)
        for name in names:
            self.assertTrue((ROOT / name).exists(), name)


if __name__ == "__main__":
    unittest.main()
