"""How deep a configuration call may be nested is judged alike on every control node.

Guards against: a change was acknowledged, and absent after the leader's end, because the depth at which the
decoder gives up depends on the interpreter's stack (docs/incidents/22-deep-change-judged-twice.md).
"""

from __future__ import annotations

import json
import random
import sys
import unittest
from collections.abc import Callable

from minthitch.mesh.configuration.items import Items, Verdict
from minthitch.mesh.configuration.nesting import MAX_NESTING, is_nested_too_deep

OUTER_LEVELS = 4  # the call, Upsert, the list of routes, the route
ROUTE = (
    '{"Name":"r-1","Host":"h","Pfx":"/a/","Kind":"idempotent",'
    '"TmoS":3,"Svc":"s-1","Ver":"00000002","Note":%s}'
)
CALL = '{"Upsert":{"Svcs":[{"Name":"s-1","Ver":"00000001"}],"Routes":[' + ROUTE + "]}}"
MAX_FRAMES = 400  # of Python, below the state machine: far more than the programs have


def call(levels: int) -> bytes:
    """A call with a note of so many levels of its own."""
    return (CALL % ("[" * levels + "]" * levels)).encode()


def at_depth(frames: int, act: Callable[[], Verdict]) -> Verdict:
    """What `act` returns on a stack that is deeper by so many frames."""
    return act() if frames == 0 else at_depth(frames - 1, act)


class Nesting(unittest.TestCase):
    def test_the_limit_is_exact(self) -> None:
        for levels, ok in ((MAX_NESTING - OUTER_LEVELS, True), (MAX_NESTING - OUTER_LEVELS + 1, False)):
            verdict = Items().apply(call(levels), 1)
            self.assertEqual(verdict.ok, ok, verdict.reason)
        self.assertIn("nested deeper than 512", verdict.reason)

    def test_the_verdict_is_the_same_on_any_stack(self) -> None:
        for levels in (MAX_NESTING - OUTER_LEVELS, MAX_NESTING, 700, 930, 976, 5_000):
            verdicts = {
                at_depth(frames, lambda levels=levels: Items().apply(call(levels), 1)).ok  # type: ignore[misc]
                for frames in range(0, MAX_FRAMES, 20)
            }
            self.assertEqual(len(verdicts), 1, levels)

    def test_an_accepted_change_stands_after_a_snapshot_and_a_repeat(self) -> None:
        machine, restored = Items(), Items()
        body = call(MAX_NESTING - OUTER_LEVELS)
        self.assertTrue(machine.apply(body, 1).ok)
        restored.restore(machine.snapshot())
        spaced = body.replace(b":", b": ")
        for stands in (machine, restored):
            verdict = at_depth(MAX_FRAMES, lambda stands=stands: stands.apply(spaced, 2))  # type: ignore[misc]
            self.assertEqual((verdict.ok, verdict.changed), (True, False))
        self.assertEqual(machine.fetch(), restored.fetch())

    def test_brackets_in_strings_do_not_count(self) -> None:
        for text in (
            '"' + "[" * 2_000 + '"',
            r'"\"' + "{" * 2_000 + '"',
            r'"\\"' + "",
            '["' + r"\\" * 999 + '"]',
        ):
            self.assertFalse(is_nested_too_deep(text.encode()), text[:9])
        note = '"' + "[{" * 2_000 + r"\"" + '"'
        self.assertTrue(Items().apply((CALL % note).encode(), 1).ok)

    def test_drawn_texts_are_measured_as_they_decode(self) -> None:
        rng = random.Random(8)
        for _ in range(300):
            text, depth = "1", 0
            for _ in range(rng.randrange(MAX_NESTING - 6, MAX_NESTING + 7)):
                filler = json.dumps("".join(rng.choices('[]{}"\\a', k=rng.randrange(4))))
                forms = (
                    (f"[{filler},{text}]", 0),
                    (f"{{{filler}:{text}}}", 0),
                    (f"[{text},[]]", 1),
                    (f"[{text}]", 0),
                )
                text, beside = rng.choice(forms)
                depth = 1 + max(depth, beside)
            self.assertEqual(is_nested_too_deep(text.encode()), depth > MAX_NESTING)

    def test_drawn_bytes_never_raise_and_are_judged_alike_on_any_stack(self) -> None:
        rng = random.Random(9)
        whole = call(MAX_NESTING - OUTER_LEVELS - 1)
        for _ in range(400):
            broken = bytearray(whole)
            for _ in range(rng.randrange(1, 4)):
                broken[rng.randrange(len(broken))] = rng.choice(b'[]{}",:\\a\0\xff')
            bodies = bytes(broken), bytes(broken[: rng.randrange(len(broken))]), b"[" * rng.randrange(3_000)
            for body in bodies:
                flat, deep = Items(), Items()
                verdicts = flat.apply(body, 1), at_depth(MAX_FRAMES, lambda b=body, d=deep: d.apply(b, 1))  # type: ignore[misc]
                self.assertEqual(verdicts[0], verdicts[1])

    def test_the_interpreter_allows_more_than_the_limit(self) -> None:
        self.assertGreaterEqual(sys.getrecursionlimit(), MAX_NESTING + MAX_FRAMES)


if __name__ == "__main__":
    unittest.main()
