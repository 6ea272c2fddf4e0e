"""The mesh's command line on planted folders and files: its words, its exit code, that it changes nothing."""

from __future__ import annotations

import contextlib
import io
import json
import shutil
import socket
import tempfile
import threading
import unittest
from pathlib import Path

import lmdb
import msgpack

from minthitch.anvil.log import pack_members
from minthitch.anvil.messages import DATA, MEMBERS, NOOP, Entry, Persist
from minthitch.chest.store import FORMAT, HEAD, MARK, Chest, seal
from minthitch.cli.commands import main
from minthitch.forge.state import CLAIM, CONFIG, State, command
from minthitch.stamp.claims import Claim, packed
from tests.mesh.test_press import SETTINGS, first, route
from tests.mesh.test_press import call as config

BINDS = {"Out": 8304, "Readyz": 8302, "Ctl": 8306}
VOTERS = ("10.1.0.14#0", "10.2.0.10#0", "10.3.0.12#0")
KEY, MINE, OTHER = b"k" * 16, Claim("10.1.0.8/7", b"m" * 12, b"d"), Claim("10.1.0.9/8", b"o" * 12, b"d")
ENTRIES = (
    Entry(1, 0, MEMBERS, pack_members(VOTERS)), Entry(2, 1, NOOP, b""),
    Entry(3, 1, DATA, command(CONFIG, first(route()))),
    Entry(4, 1, DATA, command(CLAIM, packed(KEY, MINE, b""))),
    Entry(5, 2, DATA, command(CLAIM, packed(KEY, OTHER, b""))),
    Entry(6, 2, DATA, command(CONFIG, b"{")),
    Entry(7, 2, DATA, command(CONFIG, config(drop={"Routes": [{"Name": "r-1", "Ver": "00000009"}]}))))


def said(*words: str) -> tuple[int, str, str]:
    """Exit code, standard output and standard error."""
    out, err = io.StringIO(), io.StringIO()
    with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
        code = main(["mesh", *words])
    return code, out.getvalue(), err.getvalue()


class Planted(unittest.TestCase):
    def setUp(self) -> None:
        self.path = tempfile.mkdtemp()
        self.file = Path(self.path, "data.mdb")
        self.addCleanup(shutil.rmtree, self.path)

    def plant(self, *persists: Persist) -> None:
        chest = Chest(self.path, 4 << 20)
        chest.begin("0")
        for persist in persists:
            chest.write(persist)
        chest.close()

    def entries(self) -> None:
        self.plant(Persist(1, 2, VOTERS[0], 0, ENTRIES, None))

    def kept(self, word: str) -> tuple[int, str, str]:
        """What `word` says of the folder, which must be left as it was."""
        before = {path.name: path.read_bytes() for path in Path(self.path).iterdir()}
        told = said(word, self.path)
        self.assertEqual({path.name: path.read_bytes() for path in Path(self.path).iterdir()}, before)
        return told

    def complains(self, *words: str, of: str) -> None:
        code, out, err = said(*words)
        self.assertEqual((code, out, len(err.splitlines())), (2, "", 1), err)
        self.assertIn(of, err)


class Folders(Planted):
    def test_whole(self) -> None:
        self.entries()
        code, out, _ = self.kept("verify")
        self.assertEqual(code, 0)
        self.assertEqual(out, f"{self.path}: whole: disk '0', term 2, 7 entries, last index 7, "
                              f"members {', '.join(VOTERS)}\n")

    def test_the_log_tells_what_each_entry_does(self) -> None:
        self.entries()
        code, out, _ = self.kept("log")
        lines = out.splitlines()
        self.assertEqual((code, lines[:2]), (0, [f"1 0 members {', '.join(VOTERS)}", "2 1 noop"]))
        self.assertEqual(lines[2], "3 1 config 200 Routes r-1 00000007, Svcs s-1 00000007")
        self.assertEqual(lines[3], f"4 1 claim {KEY.hex()} 6d6d6d6d by 10.1.0.8/7: granted")
        self.assertEqual(lines[4], f"5 2 claim {KEY.hex()} 6f6f6f6f by 10.1.0.9/8: held, held by 10.1.0.8/7")
        self.assertTrue(lines[5].startswith("6 2 config 400 call: can't be read"), lines[5])
        self.assertEqual(lines[6], "7 2 config 200 -Routes r-1 00000009")
        self.assertEqual(said("log", self.path, "--from", "6")[1].splitlines(), lines[5:])

    def test_items_after_an_image(self) -> None:
        state = State()
        state.apply(3, ENTRIES[2].data)
        self.plant(Persist(1, 1, "", 0, ENTRIES[:3], None),
                   Persist(2, 1, "", 0, (), (3, 1, VOTERS, state.dump())))
        code, out, _ = self.kept("items")
        table = json.loads(out)
        self.assertEqual((code, table["Routes"], list(table)), (0, [route()], ["Routes", "Svcs"]))
        self.assertEqual(said("log", self.path)[1], "image up to 3, term 1: configuration 3, 0 claims\n")
        self.assertIn(f"image up to 3, 0 entries, last index 3, members {VOTERS[0]}", self.kept("verify")[1])

    def test_empty(self) -> None:
        code, out, _ = self.kept("verify")
        self.assertEqual((code, out.split(": ")[1]), (1, "empty"))
        self.complains("log", self.path, of="empty")
        self.plant()
        self.assertIn("0 entries, last index 0, members none", self.kept("verify")[1])
        self.assertEqual(self.kept("log"), (0, "", ""))

    def test_a_flipped_byte(self) -> None:
        self.entries()
        raw = self.file.read_bytes()
        at = raw.rindex(b"10.1.0.9/8")  # in an entry that was acknowledged
        self.file.write_bytes(raw[:at] + b"X" + raw[at + 1:])
        code, out, _ = self.kept("verify")
        self.assertEqual((code, out.split(": ")[1]), (1, "torn"))
        for word in ("log", "items"):
            self.complains(word, self.path, of="torn")

    def test_a_torn_meta_page_is_judged_as_at_a_start_and_left_alone(self) -> None:
        self.entries()
        whole = self.kept("verify")[1]
        self.plant_torn_commit()
        code, out, _ = self.kept("verify")
        self.assertEqual((code, out), (0, whole))

    def plant_torn_commit(self) -> None:
        """One more commit, of which the loss of power left the meta page alone."""
        before = self.file.read_bytes()
        chest = Chest(self.path, 4 << 20)
        chest.write(Persist(2, 9, "", 0, (), None))
        chest.close()
        after = self.file.read_bytes()
        self.file.write_bytes(after[:8192] + before[8192:])

    def test_foreign_and_newer(self) -> None:
        self.file.write_bytes(b"not ours" * 4096)
        self.assertEqual(self.kept("verify")[1].split(": ")[1], "foreign")
        self.file.unlink()
        with lmdb.Environment(self.path, lock=False) as env, env.begin(write=True) as txn:
            txn.put(HEAD, seal(HEAD, bytes(msgpack.packb([MARK, FORMAT + 1]))))
        self.assertEqual(self.kept("verify")[1].split(": ")[1], "newer")
        self.complains("items", self.path, of="later version")

    def test_no_folder(self) -> None:
        for word in ("verify", "log", "items"):
            self.complains(word, f"{self.path}/none", of="not a folder")


class Settings(Planted):
    def check(self, text: str) -> str:
        path = Path(self.path, "node.conf")
        path.write_text(text)
        return str(path)

    def test_good(self) -> None:
        binds = "".join(f"Net.Bind.{name}=10.1.0.8:{port}\n" for name, port in BINDS.items())
        code, out, err = said("check", self.check(SETTINGS + "Self.Svc=s-1\n" + binds))
        self.assertEqual((code, err), (0, ""))
        self.assertIn("good: sidecar-hall-1 in lahore-hall serves sidecar, lines at 10.1.0.8:7620", out)

    def test_bad(self) -> None:
        self.complains("check", self.check(SETTINGS + "Self.Ip=10.1.0"), of="Self.Ip=10.1.0: not an IP")
        self.complains("check", self.check(SETTINGS), of="Self.Svc=: is missing")
        self.complains("check", f"{self.path}/none", of="can't be read")


class Words(Planted):
    def test_words_that_are_none(self) -> None:
        self.complains(of="command is required")
        self.complains("chekc", of="chekc")
        self.complains("log", of="")
        self.complains("log", self.path, "--from", "x", of="--from")
        self.complains("events", "999", of="999")

    def test_an_event(self) -> None:
        self.assertEqual(said("events", "E303"), said("events", "303"))
        self.assertIn("E303 warning: no leader in term {term}\n  when: ", said("events", "303")[1])


class Status(unittest.TestCase):
    def ask(self, reply: bytes) -> tuple[int, str, str]:
        """`mesh status` at a process that answers one call so."""
        with socket.create_server(("127.0.0.1", 0)) as listener:
            def serve() -> None:
                line, _ = listener.accept()
                with line:
                    self.asked = line.recv(4096)
                    line.sendall(reply)

            server = threading.Thread(target=serve)
            server.start()
            found = said("status", f"127.0.0.1:{listener.getsockname()[1]}")
            server.join(5)
        return found

    def test_what_a_running_process_knows_is_printed_and_what_is_no_answer_is_one_line(self) -> None:
        body = b'{"role":"leader"}'
        head = b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: %d\r\n\r\n" % len(body)
        code, out, _ = self.ask(head + body)
        self.assertEqual((code, json.loads(out)), (0, {"role": "leader"}))
        self.assertTrue(self.asked.startswith(b"GET /Mesh.Status HTTP/1.1"))
        unknown = b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"
        for found in (self.ask(unknown), self.ask(b"rubbish\r\n"), said("status", "nowhere"),
                      said("status", "127.0.0.1:1")):
            self.assertEqual((found[0], found[2].count("\n")), (2, 1), found)
