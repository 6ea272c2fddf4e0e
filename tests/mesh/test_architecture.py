"""docs/ARCHITECTURE.md names files and functions that exist."""

from __future__ import annotations

import ast
import re
import unittest
from graphlib import CycleError, TopologicalSorter
from pathlib import Path

from tests.mesh.test_glossary import FINISHED, Glossary

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


def imports(path: Path, modules: frozenset[str]) -> set[str]:
    """The modules that a module imports, also those for types only."""
    found: set[str] = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.ImportFrom) and node.module:
            submodules = {f"{node.module}.{alias.name}" for alias in node.names} & modules
            found |= submodules or ({node.module} & modules)
    return found


def cycle_in(graph: dict[str, set[str]]) -> list[str]:
    """An import circle; empty: there is none."""
    try:
        TopologicalSorter(graph).prepare()
    except CycleError as error:
        return list(error.args[1])
    return []


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

    def test_finished_packages_and_the_simulation_have_no_import_circle(self) -> None:
        packages = [name for name, standing in Glossary().packages.items() if standing == FINISHED]
        packages.append("rigs/simulation")  # not finished, but free of circles
        paths = [path for package in packages for path in (ROOT / package).rglob("*.py")]
        names = {path: ".".join(path.relative_to(ROOT).with_suffix("").parts) for path in paths}
        modules = frozenset(names.values())
        self.assertGreater(len(modules), 50)
        self.assertEqual(cycle_in({name: imports(path, modules) for path, name in names.items()}), [])

    def test_a_circle_is_found(self) -> None:
        self.assertTrue(cycle_in({"a": {"b"}, "b": {"c"}, "c": {"a"}}))


if __name__ == "__main__":
    unittest.main()
