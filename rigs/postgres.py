"""A stand-in for PostgreSQL: its protocol 3.0 from the public description, on loopback.

Startup, SCRAM-SHA-256, simple and extended query, transactions, SQLSTATE errors and cancel, with the SQL
run on a SQLite file behind it; and faults by a script. It knows the SQL of the store of record, and no more.
"""

from __future__ import annotations

import base64
import hashlib
import hmac
import secrets
import socket
import sqlite3
import struct
import threading
import time
from collections import deque
from contextlib import suppress
from pathlib import Path
from typing import Any

USER, PASSWORD, ITERATIONS = "minthitch", "not a secret", 4096
SSL_REQUEST, GSS_REQUEST, CANCEL_REQUEST, PROTOCOL = 80877103, 80877104, 80877102, 196608
OID = {bytes: 17, int: 20, str: 25, float: 701}
INTS = {20: ">q", 21: ">h", 23: ">i"}
MOST_MESSAGE = 16 * 1024 * 1024
STALL_MOST = 30.0  # seconds
NOW = "CAST((julianday('now') - 2440587.5) * 86400000 AS INTEGER)"
WORDS = (  # what differs from SQLite's SQL
    ("CAST(EXTRACT(EPOCH FROM clock_timestamp()) * 1000 AS BIGINT)", NOW),
    ("BIGINT GENERATED ALWAYS AS IDENTITY PRIMARY KEY", "INTEGER PRIMARY KEY AUTOINCREMENT"),
    ("BYTEA", "BLOB"),
    (" FOR SHARE", ""),
)
STATES = ((sqlite3.IntegrityError, "23505"), (sqlite3.OperationalError, "42601"))


class Gone(Exception):
    """The connection is over."""


class Fault(Exception):
    """An error that the script calls for: its SQLSTATE and text."""


class Postgres:
    """A server. `script`: what the coming COMMITs do; `always`: what each statement does from now on.

    Of the script: `reset-before` and `reset-after` COMMIT took effect, `stall`, a SQLSTATE such as `40001`.
    Always: `refuse` (connections), `stall`, `deaf` (a stall that hears no cancel either), `read-only`.
    """

    def __init__(self, path: Path) -> None:
        self.path = path
        self.script: deque[str] = deque()
        self.always = ""
        self.go = threading.Event()  # lets what stalls go on
        self.stalled = threading.Event()
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.port = int(self.listener.getsockname()[1])
        self.url = f"postgresql://{USER}:{PASSWORD.replace(' ', '%20')}@127.0.0.1:{self.port}/record"
        self.sessions: dict[tuple[int, int], Session] = {}
        self.commits = 0
        self.connections = self.cancels = 0
        threading.Thread(target=self._accept, name="postgres", daemon=True).start()

    def _accept(self) -> None:
        while True:
            try:
                sock, _ = self.listener.accept()
            except OSError:
                return
            if self.always == "refuse":
                sock.close()
                continue
            self.connections += 1
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)  # else each answer waits for an ACK
            threading.Thread(target=Session(self, sock).run, name="postgres-session", daemon=True).start()

    def kill_all(self) -> None:
        """Every connection is reset, as when the server dies."""
        for session in list(self.sessions.values()):
            session.reset()

    def close(self) -> None:
        self.go.set()
        with suppress(OSError):  # danger: closed alone, it would go on accepting where a thread waits on it
            self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()
        self.kill_all()


class Session:
    """One connection, in a thread of its own."""

    def __init__(self, server: Postgres, sock: socket.socket) -> None:
        self.server, self.sock = server, sock
        self.key = (secrets.randbelow(1 << 30), secrets.randbelow(1 << 30))
        self.database: sqlite3.Connection | None = None
        self.state = b"I"  # idle, T in a transaction, E in one that failed
        self.statement = ""
        self.parameters: list[Any] = []
        self.oids: tuple[int, ...] = ()
        self.results: tuple[list[str], list[tuple[Any, ...]], str] | None = None
        self.formats: tuple[int, ...] = ()
        self.skipping = False  # behind an error, until Sync
        self.cancelled = threading.Event()

    # Bytes --------------------------------------------------------------------------------------

    def _read(self, size: int) -> bytes:
        data = b""
        while len(data) < size:
            part = self.sock.recv(size - len(data))
            if not part:
                raise Gone
            data += part
        return data

    def _message(self) -> tuple[bytes, bytes]:
        kind = self._read(1)
        (size,) = struct.unpack(">I", self._read(4))
        if not 4 <= size <= MOST_MESSAGE:
            raise Gone
        return kind, self._read(size - 4)

    def _send(self, kind: bytes, body: bytes = b"") -> None:
        self.sock.sendall(kind + struct.pack(">I", len(body) + 4) + body)

    def _ready(self) -> None:
        self._send(b"Z", self.state)

    def _error(self, state: str, text: str) -> None:
        fields = (("S", "ERROR"), ("V", "ERROR"), ("C", state), ("M", text))
        self._send(b"E", b"".join(f"{name}{value}\0".encode() for name, value in fields) + b"\0")

    def reset(self) -> None:
        with suppress(OSError):  # its own thread may have closed it meanwhile
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            self.sock.shutdown(socket.SHUT_RDWR)
        self.sock.close()

    # Life ---------------------------------------------------------------------------------------

    def run(self) -> None:
        try:
            if self._startup():
                self._serve()
        except (Gone, OSError):
            pass
        finally:
            self.server.sessions.pop(self.key, None)
            if self.database is not None:
                self.database.close()  # an open transaction is rolled back
            self.sock.close()

    def _startup(self) -> bool:
        while True:
            (size,) = struct.unpack(">I", self._read(4))
            body = self._read(size - 4)
            (code,) = struct.unpack(">I", body[:4])
            if code == CANCEL_REQUEST:
                self._pass_cancel(struct.unpack(">II", body[4:12]))
                return False
            if code in (SSL_REQUEST, GSS_REQUEST):
                self.sock.sendall(b"N")
                continue
            break
        words = body[4:].rstrip(b"\0").split(b"\0")
        settings = dict(zip(words[::2], words[1::2], strict=True))
        if code != PROTOCOL or settings.get(b"user") != USER.encode():
            self._error("28000", "no such user")
            return False
        if not self._scram():
            self._error("28P01", "password authentication failed")
            return False
        self.database = sqlite3.connect(  # a cancel interrupts it from another thread
            self.server.path, timeout=5, isolation_level=None, check_same_thread=False
        )
        self.database.execute("PRAGMA journal_mode = WAL")
        self.database.create_function("pg_advisory_xact_lock", 1, lambda number: None)
        self.server.sessions[self.key] = self
        self._send(b"R", struct.pack(">I", 0))
        for name, value in (
            ("server_version", "16.0"),
            ("client_encoding", "UTF8"),
            ("standard_conforming_strings", "on"),
            ("integer_datetimes", "on"),
        ):
            self._send(b"S", f"{name}\0{value}\0".encode())
        self._send(b"K", struct.pack(">II", *self.key))
        self._ready()
        return True

    def _pass_cancel(self, key: tuple[int, ...]) -> None:
        """The server answers nothing to it, whatever comes of it."""
        session = self.server.sessions.get((key[0], key[1]))
        if session is not None and self.server.always != "deaf":
            self.server.cancels += 1
            session.cancelled.set()
            if session.database is not None:
                session.database.interrupt()

    def _scram(self) -> bool:
        """SCRAM-SHA-256 (RFC 5802, 7677) without channel binding."""
        self._send(b"R", struct.pack(">I", 10) + b"SCRAM-SHA-256\0\0")
        kind, body = self._message()
        mechanism, _, rest = body.partition(b"\0")
        if kind != b"p" or mechanism != b"SCRAM-SHA-256":
            return False
        first = rest[4:].decode()
        bare = first.split(",", 2)[2]
        nonce = dict(part.split("=", 1) for part in bare.split(","))["r"] + secrets.token_hex(9)
        salt = secrets.token_bytes(16)
        challenge = f"r={nonce},s={base64.b64encode(salt).decode()},i={ITERATIONS}"
        self._send(b"R", struct.pack(">I", 11) + challenge.encode())
        kind, body = self._message()
        final = body.decode()
        without_proof, _, proof = final.rpartition(",p=")
        if kind != b"p" or f"r={nonce}" not in without_proof:
            return False
        salted = hashlib.pbkdf2_hmac("sha256", PASSWORD.encode(), salt, ITERATIONS)
        client_key = hmac.digest(salted, b"Client Key", "sha256")
        signed = f"{bare},{challenge},{without_proof}".encode()
        signature = hmac.digest(hashlib.sha256(client_key).digest(), signed, "sha256")
        given = bytes(a ^ b for a, b in zip(base64.b64decode(proof), signature, strict=True))
        if hashlib.sha256(given).digest() != hashlib.sha256(client_key).digest():
            return False
        verifier = hmac.digest(hmac.digest(salted, b"Server Key", "sha256"), signed, "sha256")
        self._send(b"R", struct.pack(">I", 12) + b"v=" + base64.b64encode(verifier))
        return True

    def _serve(self) -> None:
        while True:
            kind, body = self._message()
            if kind == b"X":
                return
            if kind == b"S":
                self.skipping = False
                self._ready()
                continue
            if self.skipping:
                continue
            try:
                self._do(kind, body)
            except Fault as fault:
                self._failed(str(fault.args[0]), str(fault.args[1]), kind)
            except sqlite3.Error as err:
                state = next((code for base, code in STATES if isinstance(err, base)), "XX000")
                self._failed(state, str(err), kind)

    def _failed(self, state: str, text: str, kind: bytes) -> None:
        if self.state == b"T":
            self.state = b"E"
        self._error(state, text)
        if state == "57P01":  # the administrator's command ends the connection too
            raise Gone
        if kind == b"Q":
            self._ready()
        else:
            self.skipping = True

    # Queries ------------------------------------------------------------------------------------

    def _do(self, kind: bytes, body: bytes) -> None:
        if kind == b"Q":
            columns, rows, tag = self._run(body[:-1].decode(), [])
            if columns:
                self._describe(columns, rows)
            for row in rows:
                self._row(row)
            self._send(b"C", tag.encode() + b"\0")
            self._ready()
        elif kind == b"P":
            _, statement, rest = body.split(b"\0", 2)
            (count,) = struct.unpack(">H", rest[:2])
            self.statement, self.oids = (
                statement.decode(),
                struct.unpack(f">{count}I", rest[2 : 2 + 4 * count]),
            )
            self._send(b"1")
        elif kind == b"B":
            self._bind(body)
            self._send(b"2")
        elif kind == b"D":
            columns, rows, _ = self._result()
            if columns:
                self._describe(columns, rows)
            else:
                self._send(b"n")
        elif kind == b"E":
            _, rows, tag = self._result()
            for row in rows:
                self._row(row)
            self._send(b"C", tag.encode() + b"\0")
            self.results = None
        elif kind == b"C":
            self._send(b"3")

    def _bind(self, body: bytes) -> None:
        at = body.index(b"\0", body.index(b"\0") + 1) + 1
        (count,) = struct.unpack_from(">H", body, at)
        formats = struct.unpack_from(f">{count}H", body, at + 2)
        at += 2 + 2 * count
        (values,) = struct.unpack_from(">H", body, at)
        at += 2
        self.parameters, self.results = [], None
        for i in range(values):
            (size,) = struct.unpack_from(">i", body, at)
            at += 4
            raw = None if size < 0 else body[at : at + size]
            at += max(size, 0)
            binary = bool(formats and formats[i if len(formats) > 1 else 0])
            self.parameters.append(_value(raw, self.oids[i] if i < len(self.oids) else 0, binary))

    def _result(self) -> tuple[list[str], list[tuple[Any, ...]], str]:
        if self.results is None:
            self.results = self._run(self.statement, self.parameters)
        return self.results

    def _run(self, statement: str, parameters: list[Any]) -> tuple[list[str], list[tuple[Any, ...]], str]:
        word = statement.split(None, 1)[0].upper()
        self.cancelled.clear()  # one that came between statements cancels nothing
        if self.server.always in ("stall", "deaf"):
            self._stall()
        if self.state == b"E" and word not in ("ROLLBACK", "COMMIT"):
            raise Fault("25P02", "current transaction is aborted")
        if self.server.always == "read-only" and word in ("INSERT", "UPDATE", "DELETE", "CREATE"):
            raise Fault("25006", f"cannot execute {word} in a read-only transaction")
        assert self.database is not None
        if word in ("BEGIN", "COMMIT", "ROLLBACK"):
            return [], [], self._transaction(word)
        for ours, theirs in WORDS:
            statement = statement.replace(ours, theirs)
        for number in range(len(parameters), 0, -1):
            statement = statement.replace(f"${number}", f"?{number}")
        cursor = self.database.execute(statement, parameters)
        rows = cursor.fetchall()
        columns = [column[0] for column in cursor.description or ()]
        count = len(rows) if columns else max(cursor.rowcount, 0)
        return columns, rows, f"INSERT 0 {count}" if word == "INSERT" else f"{word} {count}"

    def _stall(self) -> None:
        self.server.stalled.set()
        end = time.monotonic() + STALL_MOST
        while not self.server.go.is_set() and time.monotonic() < end:
            if self.cancelled.wait(0.01):
                raise Fault("57014", "canceling statement due to user request")

    def _transaction(self, word: str) -> str:
        assert self.database is not None
        if word == "BEGIN":
            self.database.execute("BEGIN IMMEDIATE")
            self.state = b"T"
            return "BEGIN"
        failed, self.state = self.state == b"E", b"I"
        fault = self.server.script.popleft() if word == "COMMIT" and self.server.script else ""
        if word == "ROLLBACK" or failed:
            self._roll_back()
            return "ROLLBACK"
        if fault == "stall":
            try:
                self._stall()
            except Fault:
                self._roll_back()
                raise
        if fault == "reset-before":
            self._roll_back()
            self.reset()
            raise Gone
        if len(fault) == 5 and fault != "stall":
            self._roll_back()
            raise Fault(fault, "by the script")
        self.database.execute("COMMIT")
        self.server.commits += 1
        if fault == "reset-after":
            self.reset()
            raise Gone
        return "COMMIT"

    def _roll_back(self) -> None:
        assert self.database is not None
        if self.database.in_transaction:
            self.database.execute("ROLLBACK")

    def _describe(self, columns: list[str], rows: list[tuple[Any, ...]]) -> None:
        body = struct.pack(">H", len(columns))
        for i, name in enumerate(columns):
            kind = next((type(row[i]) for row in rows if row[i] is not None), str)
            body += name.encode() + b"\0" + struct.pack(">IhIhih", 0, 0, OID[kind], -1, -1, 0)
        self._send(b"T", body)

    def _row(self, row: tuple[Any, ...]) -> None:
        body = struct.pack(">H", len(row))
        for value in row:
            if value is None:
                body += struct.pack(">i", -1)
                continue
            text = b"\\x" + value.hex().encode() if isinstance(value, bytes) else str(value).encode()
            body += struct.pack(">i", len(text)) + text
        self._send(b"D", body)


def _value(raw: bytes | None, oid: int, binary: bool) -> Any:
    """A parameter as SQLite takes it."""
    if raw is None:
        return None
    if oid == 17:
        return raw if binary else bytes.fromhex(raw.decode().removeprefix("\\x"))
    if oid in INTS:
        return struct.unpack(INTS[oid], raw)[0] if binary else int(raw)
    return raw.decode()
