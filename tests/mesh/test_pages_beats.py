"""What the operators' pages state about heartbeats: the forms of a body, and the answer."""

from __future__ import annotations

import asyncio
import unittest
from collections.abc import Callable
from types import SimpleNamespace
from typing import Any, cast
from unittest import mock

import msgspec

from minthitch.mesh.configuration.calls import Heartbeat, decode_heartbeat
from minthitch.mesh.idempotency.server_runs import RunRecord, RunState
from minthitch.mesh.sidecar import server_lifecycle
from minthitch.mesh.sidecar.handlers import AdminHandler
from minthitch.mesh.sidecar.server_lifecycle import ServerLifecycle

MOST_ANSWER = 4 * 1024  # bytes of an answer that still counts as an acknowledgement


def body(stat: str = '"State":"up","Seq":4,"ColdS":0', cap: str = "9", more: str = "") -> bytes:
    summary = f'"Svc":"huvo11a","Ver":"v1","Az":"scl-a","Cap":{cap}'
    return f'{{"Addr":"10.128.0.9:8080","Summary":{{{summary}}},"Stat":{{{stat}}}{more}}}'.encode()


DRAINING = body(stat='"State":"draining","Seq":9,"ColdS":0')


class Bodies(unittest.TestCase):
    def test_whole_numbers_and_fractions_in_any_form_and_fields_of_later_versions(self) -> None:
        for sent in (
            body(),
            body(cap="9.0"),
            body(stat='"State":"up","Seq":4.0,"ColdS":0'),
            body(stat='"State":"up","Seq":4'),
            body(stat='"State":"up","Seq":4,"ColdS":0.0,"Load":[1]', more=',"Tags":{"a":null}'),
        ):
            with self.subTest(sent=sent):
                beat = decode_heartbeat(sent)
                self.assertEqual((beat.summary.cap, beat.stat.seq, beat.stat.cold_s), (9, 4, 0.0))
        self.assertEqual(
            decode_heartbeat(body(stat='"State":"draining","Seq":5,"ColdS":2.5')).stat.cold_s, 2.5
        )

    def test_a_body_without_a_valid_state_slots_or_number_is_no_heartbeat(self) -> None:
        for sent in (
            body(stat='"State":"up"'),
            body(stat='"State":"gone","Seq":4'),
            body(cap="0"),
            body(cap="8.5"),
            body()[:-1],
            b"{}",
        ):
            with self.subTest(sent=sent), self.assertRaises(msgspec.DecodeError):
                decode_heartbeat(sent)


class Client:
    """Keeps the one answer."""

    def __init__(self) -> None:
        self.token, self.answers = 1, list[tuple[int, bytes]]()

    def respond(self, token: int, status: int, fields: object, body: bytes) -> None:
        self.answers.append((status, body))


class FakeAdmission:
    """Records what it is told, and how many answers there were by then."""

    def __init__(self, client: Client) -> None:
        self.client, self.server_id, self.heard = client, "", list[tuple[str, int]]()

    def on_heartbeat(self, server_id: str, heartbeat: Heartbeat) -> None:
        self.server_id = server_id
        self.heard.append((server_id, len(self.client.answers)))

    def suspend(self) -> None:
        pass

    def readmit(self, server_id: str) -> None:
        pass

    def deregister(self, server_id: str) -> None:
        self.heard.append((server_id, len(self.client.answers)))


class FakeRecorder:
    """Commits each record at once, or never."""

    def __init__(self, commits: bool) -> None:
        self.commits = commits

    def admit(self, server_id: str, done: Callable[[RunRecord], None]) -> None:
        if self.commits:
            done(RunRecord(RunState.ADMITTED, 1))

    def record_left(self, server_id: str, done: Callable[[RunRecord], None]) -> None:
        if self.commits:
            done(RunRecord(RunState.LEFT, 1))


class Answers(unittest.IsolatedAsyncioTestCase):
    def called(
        self, path: bytes, sent: bytes, commits: bool = True
    ) -> tuple[list[tuple[int, bytes]], list[tuple[str, int]]]:
        client = Client()
        admission = FakeAdmission(client)
        lifecycle = ServerLifecycle(admission, FakeRecorder(commits), lambda server_id, done: None)
        admin = AdminHandler(cast(Any, SimpleNamespace(server_lifecycle=lifecycle)))
        admin.log_client_error = lambda text: None  # type: ignore[method-assign]
        item = SimpleNamespace(method=b"POST", target=path, body=sent)
        admin.handle(cast(Any, client), cast(Any, item))
        return client.answers, admission.heard

    async def test_each_call_of_a_server_is_applied_and_then_answered_at_once_and_briefly(self) -> None:
        for path, sent in (
            (b"/Instances.Heartbeat/i-1", body()),
            (b"/Instances.Heartbeat/i-1", DRAINING),
            (b"/Instances.Deregister/i-1", b""),
        ):
            with self.subTest(path=path, sent=sent):
                answers, heard = self.called(path, sent)
                self.assertEqual([status for status, _ in answers], [200])
                self.assertLessEqual(len(answers[0][1]), MOST_ANSWER)
                self.assertEqual(heard, [("i-1", 0)], "before its answer, and once")

    async def test_a_departure_that_is_not_committed_is_applied_and_not_acknowledged(self) -> None:
        for path, sent in ((b"/Instances.Heartbeat/i-1", DRAINING), (b"/Instances.Deregister/i-1", b"")):
            with self.subTest(path=path), mock.patch.object(server_lifecycle, "ACKNOWLEDGE_WITHIN_S", 0.01):
                answers, heard = self.called(path, sent, commits=False)
                self.assertEqual((answers, heard), ([], [("i-1", 0)]))
                await asyncio.sleep(0.05)
                self.assertEqual([status for status, _ in answers], [503])

    async def test_an_unreadable_body_is_not_acknowledged(self) -> None:
        answers, heard = self.called(b"/Instances.Heartbeat/i-1", b"{")
        self.assertEqual(([status for status, _ in answers], heard), ([400], []))


if __name__ == "__main__":
    unittest.main()
