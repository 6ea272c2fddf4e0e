"""Clients of control nodes: each attempt waits a second at most, then another node is tried with a growing
delay.

An order is a configuration change, repeated until its answer is definite. Every attempt and every read is
recorded with its start and end (`order`, `read`) for `linearizability`; the first call and the definite
answer of each order are recorded as `sent` and `verdict` for the other checks.
"""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any

from rigs.simulation.mesh import ControlNode, Site

ATTEMPT_TIMEOUT_S = 1.0  # without an answer; the client then tries another node
RETRY_DELAYS_S = (0.05, 0.1, 0.2, 0.4)  # between successive attempts; the last one repeats
ONE_WAY_DELAY_S = 0.001  # between a client and a node
REFUSAL_DELAY_S = 0.002  # until the machine of a stopped node refuses the connection
LOST_ANSWER_RATE = 0.0  # probability that an answer is lost in transit

Result = tuple[Any, ...] | None
OnStatus = Callable[[int], None]


class ControlClient:
    """Sends orders and reads; `lost` is the probability that an answer is lost in transit."""

    def __init__(self, site: Site, lost: float = LOST_ANSWER_RATE) -> None:
        self.site, self.loop, self.random, self.lost = site, site.loop, site.random, lost
        self.orders = self.reading = 0

    def order(
        self,
        call: dict[str, Any],
        sort: str = "proper",
        node: int | None = None,
        done: OnStatus | None = None,
    ) -> None:
        """Sends an order to one node after another until the answer is definite.

        `sort` is "proper", "race" or "invalid", as for operators' calls.
        """
        self.orders += 1
        self.site.record("sent", "operator", call=call, sort=sort, order=self.orders)
        index = self.random.randrange(len(self.site.controls)) if node is None else node
        _Order(self, call, sort, self.orders, done).send(index)

    def read(self, node: int | None = None) -> None:
        """Sends one read to one node, without a retry."""
        index = self.random.randrange(len(self.site.controls)) if node is None else node
        begin = self.loop.now

        def on_result(control: ControlNode, result: Result) -> None:
            if result is None:
                return
            if isinstance(result[0], bytes):
                self.site.record("read", control.ip, begin=begin, body=json.loads(result[0]))
            else:
                self.site.record("fault", control.ip, why=f"a read was answered with {result!r}")

        _Attempt(self, self.site.controls[index], "fetch", (), on_result)

    def read_repeatedly(self, every: float, until: float) -> None:
        """Reads at random nodes at random intervals around `every` seconds."""
        if self.loop.now < until:
            self.read()
            self.loop.after(
                self.random.uniform(0.5, 1.5) * every, self.loop.world, self.read_repeatedly, every, until
            )


class _Order:
    """One order, sent again until its answer is definite."""

    def __init__(
        self, client: ControlClient, call: dict[str, Any], sort: str, number: int, done: OnStatus | None
    ) -> None:
        self.client, self.call, self.sort, self.number, self.done = client, call, sort, number, done
        self.body = json.dumps(call).encode()
        self.attempts = 0

    def send(self, index: int) -> None:
        controls = self.client.site.controls
        begin = self.client.loop.now
        self.attempts += 1

        def on_result(control: ControlNode, result: Result) -> None:
            if result is not None and not isinstance(result[0], int):
                self.client.site.record("fault", control.ip, why="an order was answered with a configuration")
                return
            self._on_attempt_ended(index, control, begin, None if result is None else result[0])

        _Attempt(self.client, controls[index % len(controls)], "patch", (self.body,), on_result)

    def _on_attempt_ended(self, index: int, control: ControlNode, begin: float, status: int | None) -> None:
        site, loop = self.client.site, self.client.loop
        site.record("order", control.ip, begin=begin, call=self.call, status=status, order=self.number)
        if status is None:
            pause = RETRY_DELAYS_S[min(self.attempts, len(RETRY_DELAYS_S)) - 1]
            loop.after(pause, loop.world, self.send, index + 1)
            return
        if status == 200:
            voters = _voters(site)
            held = sum(is_on_disk(node, self.call) for node in voters)
            site.record("copies", control.ip, order=self.number, count=held, needed=len(voters) // 2 + 1)
        site.record("verdict", control.ip, call=self.call, sort=self.sort, status=status, order=self.number)
        if self.done is not None:
            self.done(status)


class _Attempt:
    """One call at one node. `on_result` is called once, with the answer, or with None if it is lost or
    late.
    """

    def __init__(
        self,
        client: ControlClient,
        control: ControlNode,
        method: str,
        args: tuple[Any, ...],
        on_result: Callable[[ControlNode, Result], None],
    ) -> None:
        self.client, self.control, self.on_result, self.over = client, control, on_result, False
        self.begin, self.life = client.loop.now, control.machine.life
        loop = client.loop
        if not control.machine.running:
            wait = REFUSAL_DELAY_S if control.machine.powered else ATTEMPT_TIMEOUT_S
            loop.after(wait, loop.world, self._end, None)
            return
        loop.after(ONE_WAY_DELAY_S, control.machine, self._at_node, method, args)
        loop.after(ATTEMPT_TIMEOUT_S, loop.world, self._end, None)

    def _at_node(self, method: str, args: tuple[Any, ...]) -> None:
        if self.control.server is not None:
            getattr(self.control.server, method)(*args, self._answered)

    def _answered(self, result: Result) -> None:
        """Runs at the node when it has answered."""
        site, loop = self.client.site, self.client.loop
        if self.control.machine.life != self.life:
            return
        site.record("waited", self.control.ip, seconds=loop.now - self.begin, clear=result is not None)
        if self.client.random.random() < self.client.lost:
            # The connection breaks; otherwise nothing arrives and the attempt times out.
            if self.client.random.random() < 0.5:
                loop.after(ONE_WAY_DELAY_S, loop.world, self._end, None)
            return
        loop.after(ONE_WAY_DELAY_S, loop.world, self._end, result)

    def _end(self, result: Result) -> None:
        if not self.over:
            self.over = True
            self.on_result(self.control, result)


def _voters(site: Site) -> list[ControlNode]:
    """The voters according to the leader, or to the node with the newest term and log if there is none."""
    cores = [node.server.raft for node in site.controls if node.server is not None]
    newest = max(cores, key=lambda core: (core.role == "leader", core.term, core.last_index), default=None)
    table = newest.voters if newest is not None else tuple(node.disk.voters for node in site.controls)[0]
    return [node for node in site.controls if f"{node.ip}#{node.disk.name}" in table]


def is_on_disk(control: ControlNode, call: dict[str, Any]) -> bool:
    """Whether the call is stored on the disk of this node, as a log entry or in its snapshot."""
    saved = control.disk.saved
    if saved is None:
        return False
    body = json.dumps(call).encode()
    if any(body in entry.data for entry in saved.entries):
        return True
    items = [json.dumps(item).encode() for rows in call.get("Upsert", {}).values() for item in rows]
    return bool(items) and all(item in saved.snapshot.data for item in items)
