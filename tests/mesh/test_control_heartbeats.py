"""Heartbeats of servers at a control node: acknowledged only if their sidecar already acts on them."""

from __future__ import annotations

import json
import unittest
from types import SimpleNamespace
from typing import Any, cast

from minthitch.mesh.control.handlers import ControlHandlers
from minthitch.mesh.control.server import ControlServer
from minthitch.mesh.control.state_machine import CLAIM, StateMachine, pack_command
from minthitch.mesh.events.events import LOG
from minthitch.mesh.http.listener import ClientConnection
from minthitch.mesh.idempotency.claims import ClaimCommand
from minthitch.mesh.idempotency.server_runs import RunRecord, RunState, run_key
from minthitch.mesh.registry.records import SidecarRecord
from minthitch.mesh.registry.registry import EXPIRY_S, Registry
from minthitch.net.callers import Incoming

SERVER_ID, IP = "i-7f3a91c2", "10.128.0.9"


class Client:
    """A client connection that records the answer."""

    def __init__(self) -> None:
        self.token = 1
        self.answers: list[tuple[int, dict[bytes, bytes], bytes]] = []

    def respond(self, token: int, status: int, fields: Any, body: bytes) -> None:
        self.answers.append((status, dict(fields), body))


def heartbeat(state: str, ip: str = IP) -> bytes:
    summary = {"Svc": "shop", "Ver": "v1", "Az": "a", "Cap": 9}
    return json.dumps(
        {"Addr": f"{ip}:8080", "Summary": summary, "Stat": {"State": state, "Seq": 4, "ColdS": 0}}
    ).encode()


class Heartbeats(unittest.TestCase):
    def setUp(self) -> None:
        self.registry = Registry()
        self.state = StateMachine()
        server = SimpleNamespace(registry=self.registry, state=self.state)
        self.handlers = ControlHandlers(cast(ControlServer, server))
        self.seq = 0

    def report(self, server_id: str, state: str, ip: str = IP) -> None:
        """A sidecar reports its server's state."""
        self.seq += 1
        self.registry.update(
            0.0, SidecarRecord(ip, 9000, 1, self.seq, "a", "shop", server_id, 9, state, 0.0, True)
        )

    def record_left(self, server_id: str = SERVER_ID) -> None:
        """The sidecar's record of the departure is committed."""
        record = RunRecord(RunState.LEFT, 1).pack()
        command = ClaimCommand(run_key(server_id), "sidecar/1", b"claim", record, b"")
        self.state.apply(1, pack_command(CLAIM, command.pack()))

    def asked(self, path: str, body: bytes = b"") -> tuple[int, dict[bytes, bytes]]:
        item, client = Incoming(), Client()
        item.method, item.target, item.body = b"POST", path.encode(), body
        self.handlers.handle(cast(ClientConnection, client), item)
        self.assertEqual(len(client.answers), 1)
        status, fields, _ = client.answers[0]
        return status, fields

    def heartbeat(self, state: str, ip: str = IP) -> int:
        return self.asked(f"/Instances.Heartbeat/{SERVER_ID}", heartbeat(state, ip))[0]

    def leave(self) -> int:
        return self.asked(f"/Instances.Deregister/{SERVER_ID}")[0]

    def test_without_its_sidecar_nothing_is_acknowledged(self) -> None:
        self.assertEqual((self.heartbeat("up"), self.heartbeat("draining"), self.leave()), (503, 503, 503))
        _, fields = self.asked(f"/Instances.Heartbeat/{SERVER_ID}", heartbeat("draining"))
        self.assertGreater(float(fields[b"Retry-After"]), 0.0)

    def test_the_state_that_its_sidecar_reports_is_acknowledged(self) -> None:
        self.report(SERVER_ID, "up")
        self.assertEqual((self.heartbeat("up"), self.heartbeat("draining"), self.leave()), (200, 503, 503))
        self.report(SERVER_ID, "draining")
        self.record_left()
        self.assertEqual((self.heartbeat("up"), self.heartbeat("draining"), self.leave()), (503, 200, 503))
        self.report(SERVER_ID, "none")
        self.assertEqual((self.heartbeat("up"), self.heartbeat("draining"), self.leave()), (503, 503, 200))

    def test_a_departure_that_its_sidecar_reports_and_nobody_recorded_is_not_acknowledged(self) -> None:
        # Guards against: the sidecar is restarted and forgets what a control node has acknowledged.
        self.record_left("i-other")
        for state in ("draining", "none"):
            self.report(SERVER_ID, state)
            self.assertEqual((self.heartbeat("draining"), self.leave()), (503, 503), state)

    def test_reports_of_another_run_or_address_do_not_count(self) -> None:
        self.record_left()
        self.report("i-other", "draining")
        self.assertEqual((self.heartbeat("draining"), self.leave()), (503, 503))
        self.report(SERVER_ID, "draining", "10.128.0.10")
        self.assertEqual(self.heartbeat("draining"), 503)

    def test_the_report_of_an_expired_sidecar_does_not_count(self) -> None:
        self.record_left()
        self.report(SERVER_ID, "draining")
        self.registry.expire(EXPIRY_S + 0.1)
        self.assertEqual(self.heartbeat("draining"), 503)

    def test_an_invalid_heartbeat_is_rejected(self) -> None:
        with self.assertLogs(LOG, "WARNING"):
            self.assertEqual(self.asked(f"/Instances.Heartbeat/{SERVER_ID}", b"{}")[0], 400)
