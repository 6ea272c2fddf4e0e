"""Keyed requests through the real `IdempotencyKeys` of several sidecars and the real claims of the control
nodes, in random orders.
"""

from __future__ import annotations

import asyncio
import random
import unittest
from collections.abc import Callable
from typing import Any

from minthitch.mesh.configuration.errors import REPLIES, ErrorKind
from minthitch.mesh.control.state_machine import CLAIM, StateMachine, pack_command
from minthitch.mesh.idempotency.claims import ClaimCommand
from minthitch.mesh.idempotency.operations import Operation
from minthitch.mesh.sidecar.keys import IdempotencyKeys, hashed


class ControlLinks:
    """Stands for the connections to the control nodes: each claim is applied and answered at a random moment,
    or its answer is lost.
    """

    def __init__(self, world: World) -> None:
        self.world = world

    def claim(self, body: tuple[Any, ...], deadline: float, done: Callable[..., None]) -> None:
        key, owner, claim, digest, over = body

        def apply() -> None:
            self.world.index += 1
            data = pack_command(CLAIM, ClaimCommand(key, owner, claim, digest, over).pack())
            result = self.world.state.apply(self.world.index, data)
            assert result is not None
            lost = self.world.rng.random() < self.world.losses
            self.world.later(done, *(("no leader", "", b"", b"") if lost else result))

        self.world.later(apply)


class FakeExchange:
    """One request; a run is recorded at the moment when it would be sent."""

    def __init__(self, world: World, keys: IdempotencyKeys, key: bytes) -> None:
        self.world, self.keys, self.key, self.deadline = world, keys, key, 1e9
        self.answer: tuple[int, bytes] | None = None
        self.claim_owner = ""

    def claim_deadline(self) -> float:
        return 1e9

    def on_claim_granted(self, operation: Operation) -> None:
        fate = self.world.rng.choice(("answered", "answered", "not run", "lost"))
        if fate != "not run":
            self.world.runs.setdefault(self.key, []).append(b"run %d" % self.world.index)
        self.world.later(self._end, operation, fate)

    def _end(self, operation: Operation, fate: str) -> None:
        operations = self.keys.operations
        if fate == "answered":
            body = self.world.runs[self.key][-1]
            operations.record_answer(operation, 200, (), body)
            self.replay(200, (), body)
        elif fate == "not run":
            operations.record_not_run(operation)
            self.fail(ErrorKind.BUSY)
        else:
            operations.record_unknown(operation)
            self.fail(ErrorKind.MAY_HAVE_RUN)

    def replay(self, status: int, fields: Any, body: bytes) -> None:
        assert self.answer is None, "two answers"
        self.answer = status, body

    def fail(self, kind: ErrorKind) -> None:
        assert self.answer is None, "two answers"
        self.answer = REPLIES[kind].status, b""


class World:
    """Sidecars, one replicated state, and the pending events, which happen in random order."""

    def __init__(self, seed: int, losses: float = 0.1) -> None:
        self.rng, self.losses, self.index = random.Random(seed), losses, 0
        self.state = StateMachine()
        self.todo: list[tuple[Callable[..., None], tuple[Any, ...]]] = []
        self.runs: dict[bytes, list[bytes]] = {}
        self.keys = {f"v{n}/1": self._keys(f"v{n}/1") for n in range(3)}
        self.exchanges: list[FakeExchange] = []

    def _keys(self, name: str) -> IdempotencyKeys:
        return IdempotencyKeys(ControlLinks(self), 60.0, name, self._ask)  # type: ignore[arg-type]

    def _ask(self, owner: str, claim: bytes, deadline: float, done: Callable[..., None]) -> None:
        def ask() -> None:
            if self.rng.random() < self.losses or owner not in self.keys:
                self.later(done, None)
            else:
                self.keys[owner].on_query(1, claim, lambda message: self.later(done, message))

        self.later(ask)

    def later(self, call: Callable[..., None], *args: Any) -> None:
        self.todo.append((call, args))

    def restart(self, number: int) -> None:
        """A new run of the process, which has forgotten everything."""
        life = 1 + max(int(name.partition("/")[2]) for name in self.keys)
        for name in [n for n in self.keys if n.startswith(f"v{number}/")]:
            del self.keys[name]
        self.keys[f"v{number}/{life}"] = self._keys(f"v{number}/{life}")

    def play(self, keys: int, tries: int) -> None:
        for _ in range(tries):
            if self.rng.random() < 0.05:
                self.restart(self.rng.randrange(3))
            key = b"key %d" % self.rng.randrange(keys)
            exchange = FakeExchange(self, self.keys[self.rng.choice(sorted(self.keys))], key)
            self.exchanges.append(exchange)
            exchange.keys.open(exchange, hashed(key), b"digest")
            for _ in range(self.rng.randrange(6)):
                self.step()
        while self.todo:
            self.step()

    def step(self) -> None:
        if self.todo:
            call, args = self.todo.pop(self.rng.randrange(len(self.todo)))
            call(*args)

    def broken(self) -> list[str]:
        """What the history violates."""
        found = [f"{key!r} ran {len(runs)} times" for key, runs in self.runs.items() if len(runs) > 1]
        found += [
            f"{t.key!r}: success {t.answer}"
            for t in self.exchanges
            if t.answer and t.answer[0] == 200 and t.answer[1] not in self.runs.get(t.key, [])
        ]
        return found + [f"{t.key!r} without an answer" for t in self.exchanges if t.answer is None]


def play(seed: int, plant: Callable[[World], None] | None = None) -> World:
    async def inside() -> World:
        world = World(seed)
        if plant is not None:
            plant(world)
        world.play(keys=4, tries=60)
        return world

    return asyncio.run(inside())


class RandomOrders(unittest.TestCase):
    def test_no_key_runs_twice_and_each_request_is_answered_once(self) -> None:
        served = 0
        for seed in range(150):
            world = play(seed)
            self.assertEqual(world.broken(), [], f"seed {seed}")
            served += sum(1 for t in world.exchanges if t.answer and t.answer[0] == 200)
        self.assertGreater(served, 1_000)

    def _found(self, plant: Callable[[World], None]) -> bool:
        return any(play(seed, plant).broken() for seed in range(40))

    def test_a_lost_run_reported_as_not_run_is_found(self) -> None:
        def plant(world: World) -> None:
            for keys in world.keys.values():
                keys.operations.record_unknown = keys.operations.record_not_run  # type: ignore[method-assign]

        self.assertTrue(self._found(plant))

    def test_a_claim_that_any_sidecar_may_take_over_is_found(self) -> None:
        def plant(world: World) -> None:
            claims = world.state.claims
            real = claims.acquire
            claims.acquire = lambda command: real(  # type: ignore[method-assign]
                command._replace(replaces=held.claim_id) if (held := claims.find(command.key)) else command
            )

        self.assertTrue(self._found(plant))


class SingleCases(unittest.TestCase):
    def test_a_key_used_again_with_another_request_is_rejected(self) -> None:
        async def inside() -> tuple[Any, Any]:
            world = World(1, losses=0.0)
            first, second = (FakeExchange(world, world.keys[name], b"k") for name in ("v0/1", "v1/1"))
            first.keys.open(first, hashed(b"k"), b"one")
            while world.todo:
                world.step()
            second.keys.open(second, hashed(b"k"), b"two")
            while world.todo:
                world.step()
            return first.answer, second.answer

        _, second = asyncio.run(inside())
        self.assertEqual(second, (422, b""))

    def test_the_snapshot_has_claims_and_configuration(self) -> None:
        state, copy = StateMachine(), StateMachine()
        state.apply(1, pack_command(CLAIM, ClaimCommand(b"k" * 16, "v", b"c", b"d", b"").pack()))
        copy.restore(state.snapshot())
        self.assertEqual(
            copy.apply(2, pack_command(CLAIM, ClaimCommand(b"k" * 16, "w", b"x", b"d", b"").pack())),
            ("held", "v", b"c", b"d"),
        )


if __name__ == "__main__":
    unittest.main()
