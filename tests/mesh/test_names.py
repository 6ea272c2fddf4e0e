"""The mesh uses the terms of the field: no module, class or function has a withdrawn name."""

from __future__ import annotations

import ast
import re
import unittest
from collections.abc import Iterator
from pathlib import Path

ROOT = Path(__file__).parents[2]
MESH = ROOT / "minthitch" / "mesh"
WITHDRAWN = re.compile(
    "(vise|forge|anvil|chest|press|rack|stamp|clamp|gauge|pulley|spool|scribe|hall|rope|porch|visitor|purse"
    "|gatehouse|knock|begg?)(s|es|d|ed|r|er|ing)?"
)
# Still to be renamed. Remove a name once it is renamed; never add one.
REMAINING = frozenset[str]()
DEFINITIONS = (ast.ClassDef, ast.FunctionDef, ast.AsyncFunctionDef)
PART = re.compile(r"[A-Z]+(?![a-z])|[A-Z]?[a-z]+")


def parts(name: str) -> list[str]:
    """The words of an identifier: `sendAll`, `SendAll` and `send_all` have the same two words."""
    return [part.lower() for part in PART.findall(name)]


def is_withdrawn(name: str) -> bool:
    return any(WITHDRAWN.fullmatch(part) for part in parts(name))


def names() -> Iterator[tuple[str, str]]:
    """Each module, package, class and function of the mesh, with its file."""
    for file in sorted(MESH.rglob("*.py")):
        where = str(file.relative_to(ROOT))
        yield where, file.parent.name if file.stem == "__init__" else file.stem
        for node in ast.walk(ast.parse(file.read_text())):
            if isinstance(node, DEFINITIONS):
                yield where, node.name


class Names(unittest.TestCase):
    def test_no_module_class_or_function_has_a_withdrawn_name(self) -> None:
        found = {f"{where}: {name}" for where, name in names() if is_withdrawn(name)}
        self.assertEqual(sorted(found - REMAINING), [])

    def test_whole_words_in_any_spelling_are_found_and_parts_of_words_are_not(self) -> None:
        for name in ("Forge", "make_hall", "ChestFull", "begged", "_knock", "knocked", "by_visitor", "racks"):
            self.assertTrue(is_withdrawn(name), name)
        for name in ("compress", "timestamp", "begin", "began", "express", "challenge", "track", "advise"):
            self.assertFalse(is_withdrawn(name), name)


if __name__ == "__main__":
    unittest.main()
