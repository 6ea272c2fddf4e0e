"""The calls of servers, operators and the platform, and the bodies of heartbeats."""

from __future__ import annotations

from typing import Annotated, Literal

from msgspec import Meta, Struct
from msgspec.json import Decoder

ID_PLACEHOLDER = b"{}"


class Call(Struct, frozen=True, gc=False):
    """One call: `path` may end with `{}`, which stands for an id; `handler` is a shell's key for its work."""

    name: str
    method: bytes
    path: bytes
    handler: str


CALLS = (
    Call("ready", b"GET", b"/ready", "ready"),
    Call("beat", b"POST", b"/Instances.Heartbeat/{}", "beat"),
    Call("leave", b"POST", b"/Instances.Deregister/{}", "leave"),
    Call("patch", b"POST", b"/Config.Patch", "patch"),
    Call("fetch", b"GET", b"/Config.Fetch", "fetch"),
    Call("status", b"GET", b"/Mesh.Status", "status"),  # our own: what this process knows, for its operators
    Call("trace", b"POST", b"/Mesh.Trace/{}", "trace"),  # our own, at a sidecar: for so many seconds
    Call(
        "explain", b"GET", b"/Mesh.Explain/{}", "explain"
    ),  # ours, at a sidecar: a request by its X-Request-Id
    Call("whole", b"GET", b"/Mesh.Config", "whole"),  # our own, at a control node: all items with their index
)


def find_call(method: bytes, path: bytes) -> tuple[Call, str] | None:
    """The call that is meant, and the id in its path ("" where it has none); None if there is none such."""
    for call in CALLS:
        if call.method == method:
            ident = _ident(call.path, path)
            if ident is not None:
                return call, ident
    return None


def known_methods(path: bytes) -> tuple[bytes, ...]:
    """The methods known at this path: where there are some, a call that was not found is a 405, not a 404."""
    return tuple(call.method for call in CALLS if _ident(call.path, path) is not None)


def _ident(template: bytes, path: bytes) -> str | None:
    bare = path.partition(b"?")[0]
    if not template.endswith(ID_PLACEHOLDER):
        return "" if bare == template else None
    stem = template[: -len(ID_PLACEHOLDER)]
    ident = bare[len(stem) :]
    # A slash would make one server's id look like the path of another call.
    if not bare.startswith(stem) or not ident or b"/" in ident or not ident.isascii():
        return None
    return ident.decode("ascii")


class Summary(Struct, frozen=True, rename="pascal", gc=False):
    """What stays the same for one run of a server: service, version of its software, zone, slots."""

    svc: Annotated[str, Meta(min_length=1)]
    cap: Annotated[int, Meta(ge=1)]
    ver: str = ""
    az: str = ""


class Stat(Struct, frozen=True, rename="pascal", gc=False):
    """What changes: state, `seq` (lower in a late heartbeat), seconds that it is slow after its start."""

    state: Literal["up", "draining"]
    seq: int
    cold_s: float = 0.0


class Heartbeat(Struct, frozen=True, rename="pascal", gc=False):
    """The body of a heartbeat; `addr` is "ip:port", checked by who connects to it."""

    addr: Annotated[str, Meta(min_length=1)]
    summary: Summary
    stat: Stat


# Not strict: integers may come as `9.0`. A server whose heartbeat is rejected gets no requests.
_HEARTBEAT_DECODER = Decoder(Heartbeat, strict=False)


def decode_heartbeat(body: bytes) -> Heartbeat:
    """The heartbeat in a body.

    Raises:
        msgspec.DecodeError: it is no heartbeat (msgspec.ValidationError is one of these).
    """
    return _HEARTBEAT_DECODER.decode(body)
