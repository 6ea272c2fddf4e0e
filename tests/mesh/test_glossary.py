"""The glossary is obeyed: no identifier of a finished package bears an operators' or withdrawn word."""

from __future__ import annotations

import ast
import re
import unittest
from collections.abc import Iterator
from pathlib import Path

from minthitch.mesh.events.events import Event

ROOT = Path(__file__).parents[2]
GLOSSARY = ROOT / "docs" / "GLOSSARY.md"
SEGMENT = re.compile(r"[A-Z]+(?![a-z])|[A-Z]?[a-z]+")
FINISHED, TO_DO = "finished", "to do"
# Packages that were still to do when this list was last changed. Take a package out once it is finished, and
# put none in.
REMAINING = frozenset(
    {
        "minthitch/mesh/transport",
        "minthitch/mesh/sidecar",
        "minthitch/mesh/http",
        "minthitch/decisions",
        "minthitch/engine",
        "minthitch/net",
        "minthitch/record",
        "minthitch/recovery",
        "minthitch/lab",
        "minthitch/admin",
        "minthitch/operators",
        "minthitch/fleet",
        "minthitch/embedded",
        "rigs",
        "bench",
    }
)


def tables() -> dict[str, list[list[str]]]:
    """The rows of each table of the glossary, without its head, by the heading above it."""
    found: dict[str, list[list[str]]] = {}
    heading = ""
    for line in GLOSSARY.read_text().splitlines():
        if line.startswith("## "):
            heading = line.removeprefix("## ")
        elif line.startswith("| ") and not line.startswith("| ---"):
            found.setdefault(heading, []).append([cell.strip() for cell in line.strip("|").split("|")])
    return {heading: rows[1:] for heading, rows in found.items()}


def words(text: str) -> tuple[str, ...]:
    """The words of an identifier or a text, in lower case."""
    return tuple(segment.lower() for segment in SEGMENT.findall(text))


class Glossary:
    def __init__(self) -> None:
        found = tables()
        self.packages = {row[0].strip("`"): row[1] for row in found["Packages"]}
        self.tests = {row[0].strip("`"): row[2].replace("`", "").split() for row in found["Packages"]}
        self.allowed = {row[0]: row[1] for row in found["Words that stay"]}
        headings = ("letter", "bench", "house style")
        rows = [row for heading, rows in found.items() if heading.endswith(headings) for row in rows]
        self.withdrawn = {words(row[0]) for row in rows}

    def withdrawn_in(self, name: str, where: str) -> str:
        """The withdrawn word that a name bears; empty: none."""
        segments = words(name)
        for size in {len(phrase) for phrase in self.withdrawn}:
            for start in range(len(segments) - size + 1):
                phrase = segments[start : start + size]
                scope = self.allowed.get(" ".join(phrase), "")
                if phrase in self.withdrawn and not (scope == "all" or (scope and f"/{scope}/" in where)):
                    return " ".join(phrase)
        return ""


def finished_files(glossary: Glossary) -> Iterator[Path]:
    """The modules of finished packages, and their tests."""
    for package, standing in glossary.packages.items():
        if standing == FINISHED:
            yield from sorted((ROOT / package).rglob("*.py"))
            for pattern in glossary.tests[package]:
                yield from sorted((ROOT / "tests" / "mesh").glob(pattern))


def identifiers(path: Path) -> Iterator[str]:
    """All names that a module defines, its own among them."""
    yield path.parent.name if path.stem == "__init__" else path.stem
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, (ast.ClassDef, ast.FunctionDef, ast.AsyncFunctionDef)):
            yield node.name
        elif isinstance(node, ast.arg):
            yield node.arg
        elif isinstance(node, ast.Name) and isinstance(node.ctx, ast.Store):
            yield node.id
        elif isinstance(node, ast.Attribute) and isinstance(node.ctx, ast.Store):
            yield node.attr
        elif isinstance(node, ast.alias) and node.asname:
            yield node.asname


class Names(unittest.TestCase):
    maxDiff = None

    def setUp(self) -> None:
        self.glossary = Glossary()

    def test_finished_packages_bear_no_withdrawn_term(self) -> None:
        found = []
        for path in finished_files(self.glossary):
            where = str(path.relative_to(ROOT))
            for name in sorted(set(identifiers(path))):
                if term := self.glossary.withdrawn_in(name, where):
                    found.append(f"{where}: {name} ({term})")
        self.assertEqual(found, [])

    def test_events_bear_no_withdrawn_term(self) -> None:
        found = [
            f"{event.name}: {event.value[2]}"
            for event in Event
            for text in (event.name, event.value[2])
            if self.glossary.withdrawn_in(text, "")
        ]
        self.assertEqual(found, [])

    def test_the_list_of_packages_to_do_only_gets_shorter(self) -> None:
        packages = self.glossary.packages
        to_do = {package for package, standing in packages.items() if standing == TO_DO}
        self.assertEqual(to_do, REMAINING)
        self.assertEqual(set(packages.values()), {FINISHED, TO_DO})
        for package in packages:
            self.assertTrue((ROOT / package).is_dir(), package)
            for pattern in self.glossary.tests[package]:
                self.assertTrue(list((ROOT / "tests" / "mesh").glob(pattern)), pattern)

    def test_words_are_found_in_any_spelling_and_not_inside_others(self) -> None:
        for name in ("told", "is_whole", "heldBytes", "MOST_CLAIMS", "turned_away_at", "TurnedAway"):
            self.assertTrue(self.glossary.withdrawn_in(name, ""), name)
        for name in ("almost", "holder_of", "threshold", "retold", "turned", "partition", "placement"):
            expected = "holder" if name == "holder_of" else ""
            self.assertEqual(self.glossary.withdrawn_in(name, ""), expected, name)


class Shape(unittest.TestCase):
    """Finished packages: no module over 350 lines, no function over 50."""

    def test_modules_and_functions_are_short(self) -> None:
        long: list[str] = []
        for package, standing in Glossary().packages.items():
            for path in sorted((ROOT / package).rglob("*.py")) if standing == FINISHED else ():
                text = path.read_text()
                if text.count("\n") > 350:
                    long.append(str(path))
                for node in ast.walk(ast.parse(text)):
                    if isinstance(node, (ast.FunctionDef, ast.AsyncFunctionDef)):
                        length = (node.end_lineno or 0) - node.lineno + 1
                        if length > 50:
                            long.append(f"{path}: {node.name}: {length}")
        self.assertEqual(long, [])


if __name__ == "__main__":
    unittest.main()
