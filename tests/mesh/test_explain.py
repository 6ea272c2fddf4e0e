"""Traces of requests: traced exchanges in virtual time, the bound of the buffer, the lines for operators."""

from __future__ import annotations

import gc
import tracemalloc
import unittest
from types import SimpleNamespace
from typing import Any, cast

from minthitch.cli import formatting
from minthitch.mesh.http.listener import ClientConnection
from minthitch.mesh.sidecar.exchange import Exchange
from minthitch.mesh.sidecar.handlers import AdminHandler
from minthitch.mesh.sidecar.trace import (
    MAX_SELECTIONS,
    MAX_SHOWN,
    MAX_STEPS,
    MAX_TRACE_BYTES,
    REPLIED,
    SENT,
    STEP_FIELDS,
    Trace,
    TraceBuffer,
)
from minthitch.mesh.sidecar.tracing import Tracer, unescaped
from minthitch.net.callers import Incoming
from rigs.simulation import servers
from rigs.simulation.clients import Clients, Operators
from rigs.simulation.mesh import Site
from rigs.simulation.play import Action
from tests.mesh.test_simulation import case, slots, statuses
from tests.mesh.test_start import NEVER, loaded


class Watch:
    """Switches tracing on at sidecars, sends requests by actions and keeps their ids."""

    def __init__(self) -> None:
        self.tracers: dict[int, Tracer] = {}
        self.names: list[tuple[int, str]] = []

    def trace(self, sidecar: int, seconds: str) -> Action:
        def action(site: Site, clients: Clients, operators: Operators) -> None:
            node = site.sidecars[sidecar]
            assert node.front is not None
            tracer = self.tracers.setdefault(sidecar, Tracer(node.front))
            site.loop.on(node.machine, lambda: tracer.switch(seconds))

        return action

    def ask(self, sidecar: int, kind: str, key: str = "") -> Action:
        def action(site: Site, clients: Clients, operators: Operators) -> None:
            name = clients.ask(site.sidecars[sidecar], kind, key, lambda status, body: None, 2.0)
            self.names.append((sidecar, name))

        return action

    def told(self, number: int) -> dict[str, Any] | None:
        sidecar, name = self.names[number]
        return self.tracers[sidecar].explain(name.encode())

    def lines(self, number: int) -> str:
        told = self.told(number)
        assert told is not None
        return "\n".join(formatting.request_lines(told))


class TracedRequests(unittest.TestCase):
    def test_hedging_a_claim_a_replay_and_a_rejection_are_traced_and_nothing_before_or_after(self) -> None:
        self.addCleanup(setattr, servers, "SLOTS", servers.SLOTS)
        watch = Watch()
        played = case(
            [],
            (3.9, watch.ask(0, "idempotent")),
            (4.0, watch.trace(0, "2")),
            (4.0, watch.trace(1, "2")),
            (4.1, watch.ask(0, "idempotent")),
            (4.2, watch.ask(0, "keyed", "k")),
            (4.9, watch.ask(1, "keyed", "k")),
            (5.2, slots(0)),
            (5.21, watch.ask(0, "keyed", "refused")),
            (5.29, slots(4)),
            (6.6, watch.ask(0, "idempotent")),
        )
        self.assertEqual((played.broken, statuses(played, "k")), ([], [200, 200]))
        self.assertIsNone(watch.told(0))
        for words in ("(idempotent, rank 1)", "looked at ", "->", "  chance ", "sent to ", "answered 200"):
            self.assertIn(words, watch.lines(1))
        self.assertIn("its key is claimed here", watch.lines(2))
        owner = watch.tracers[0].sidecar.name
        self.assertIn(f"its key was answered before by sidecar {owner}", watch.lines(3))
        for words in ("turned it away", "its server may have seen it", "answered 503"):
            self.assertIn(words, watch.lines(4))
        self.assertIsNone(watch.told(5))
        self.assertIs(watch.tracers[0].sidecar.make_exchange, Exchange)


class BufferBounds(unittest.TestCase):
    def trace(self, steps: int) -> Trace:
        held = [(float(n), 0.5, SimpleNamespace(server_id=f"life{n}")) for n in range(24)]
        trace = Trace(0.0)
        for n in range(steps):
            trace.add_selection(n * 1e-3, 1, 0.4, 3.0, cast(Any, held))
            trace.add(n * 1e-3, SENT, n, "life20", "10.0.0.1", False, 3.0)
        trace.add(1.0, REPLIED, 503)
        return trace

    def test_the_buffer_drops_the_oldest_and_takes_no_more_memory_than_it_counts(self) -> None:
        packed = self.trace(1).packed()
        gc.collect()
        tracemalloc.start()
        buffer = TraceBuffer(200_000)
        for n in range(3_000):
            buffer.store(b"request-%d" % n, bytes(bytearray(packed)))
        real = tracemalloc.get_traced_memory()[0]
        tracemalloc.stop()
        self.assertLessEqual(buffer.size, 200_000)
        self.assertLessEqual(real, 1.1 * buffer.size)
        self.assertIsNone(buffer.find(b"request-0"))
        self.assertIsNotNone(buffer.find(b"request-2999"))
        buffer.store(b"x" * MAX_TRACE_BYTES, packed)
        buffer.store(b"request-2999", packed)
        self.assertEqual(
            (buffer.left_out, buffer.size),
            (1, sum(len(ident) + len(held) + 300 for ident, held in buffer.traces.items())),
        )

    def test_a_trace_has_a_bounded_number_of_steps_and_shows_the_servers_sent_to(self) -> None:
        rows = self.trace(40).rows()
        self.assertEqual((len(rows), rows[-1][1:]), (MAX_STEPS + 1, (REPLIED, 503)))
        looks = [row[-1] for row in rows if row[1] == "looked"]
        self.assertEqual(
            [len(look) for look in looks[: MAX_SELECTIONS + 1]], [MAX_SHOWN] * MAX_SELECTIONS + [0]
        )
        self.assertEqual((looks[0][0][0], looks[0][0][3], looks[0][1][0]), ("life20", True, "life0"))


class TracingCalls(unittest.TestCase):
    def ask(self, admin: AdminHandler, method: bytes, target: bytes) -> int:
        said: list[int] = []
        client = SimpleNamespace(token=1, respond=lambda token, status, fields, body: said.append(status))
        item = Incoming()
        item.method, item.target = method, target
        admin.handle(cast(ClientConnection, client), item)
        return said[0]

    def test_tracing_loads_nothing_of_the_operators_commands(self) -> None:
        self.assertFalse(
            {name.partition(".")[0] for name in loaded("minthitch.mesh.sidecar.tracing")} & NEVER
        )

    def test_off_until_a_call_with_a_stated_end(self) -> None:
        timer = SimpleNamespace(cancel=lambda: None)
        loop = SimpleNamespace(time=lambda: 1.0, call_later=lambda *args: timer)
        sidecar = SimpleNamespace(loop=loop, exchanges=set(), make_exchange=Exchange, name="v/1")
        admin = AdminHandler(cast(Any, sidecar))
        self.assertEqual(self.ask(admin, b"GET", b"/Mesh.Explain/a"), 404)
        self.assertIsNone(admin.tracer)
        for seconds in (b"x", b"-1", b"3601", b"%C2%B2"):
            self.assertEqual(self.ask(admin, b"POST", b"/Mesh.Trace/" + seconds), 400)
        self.assertIs(sidecar.make_exchange, Exchange)
        self.assertEqual(self.ask(admin, b"POST", b"/Mesh.Trace/60"), 200)
        self.assertIsNot(sidecar.make_exchange, Exchange)
        assert admin.tracer is not None
        admin.tracer.buffer.store(b"a/b\xff", Trace(0.0).packed())
        for ident, status in ((b"a%2Fb%FF", 200), (b"a", 404), (b"%zz", 400)):
            self.assertEqual(self.ask(admin, b"GET", b"/Mesh.Explain/" + ident), status)
        self.assertEqual(self.ask(admin, b"POST", b"/Mesh.Trace/0"), 200)
        self.assertIs(sidecar.make_exchange, Exchange)
        self.assertEqual(unescaped("plain"), b"plain")


class StepLines(unittest.TestCase):
    def test_each_step_that_a_sidecar_records_has_a_line(self) -> None:
        self.assertEqual(set(STEP_FIELDS), set(formatting._STEP_LINES))


if __name__ == "__main__":
    unittest.main()
