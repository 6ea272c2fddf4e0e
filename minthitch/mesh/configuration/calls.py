"""The HTTP calls of servers, operators and the platform, and the heartbeat body."""

from __future__ import annotations

from typing import Annotated, Literal

from msgspec import Meta, Struct
from msgspec.json import Decoder

ID_PLACEHOLDER = b"{}"


class Call(Struct, frozen=True, gc=False):
    """An HTTP call. `path` may end with `{}`, which stands for an id; `handler` names the code to run."""

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
    # The calls below are specific to this project.
    Call("status", b"GET", b"/Mesh.Status", "status"),  # the state of this process, for operators
    Call("trace", b"POST", b"/Mesh.Trace/{}", "trace"),  # sidecars only: trace for {} seconds
    Call("explain", b"GET", b"/Mesh.Explain/{}", "explain"),  # sidecars only: by X-Request-Id
    Call("whole", b"GET", b"/Mesh.Config", "whole"),  # control nodes only: all items and their log index
)


def find_call(method: bytes, path: bytes) -> tuple[Call, str] | None:
    """The call with this method and path, and the id in the path ("" without one); None if unknown."""
    for call in CALLS:
        if call.method == method:
            path_id = _path_id(call.path, path)
            if path_id is not None:
                return call, path_id
    return None


def known_methods(path: bytes) -> tuple[bytes, ...]:
    """The methods defined for this path. If there are any, an unknown call is a 405 instead of a 404."""
    return tuple(call.method for call in CALLS if _path_id(call.path, path) is not None)


def _path_id(template: bytes, path: bytes) -> str | None:
    bare = path.partition(b"?")[0]
    if not template.endswith(ID_PLACEHOLDER):
        return "" if bare == template else None
    prefix = template[: -len(ID_PLACEHOLDER)]
    path_id = bare[len(prefix) :]
    # An id with a slash could be mistaken for the path of another call.
    if not bare.startswith(prefix) or not path_id or b"/" in path_id or not path_id.isascii():
        return None
    return path_id.decode("ascii")


class Summary(Struct, frozen=True, rename="pascal", gc=False):
    """What is fixed while a server process runs: service, software version, zone, capacity in slots."""

    svc: Annotated[str, Meta(min_length=1)]
    cap: Annotated[int, Meta(ge=1)]
    ver: str = ""
    az: str = ""


class Stat(Struct, frozen=True, rename="pascal", gc=False):
    """What changes: state, sequence number (lower in a late heartbeat), seconds of slow start."""

    state: Literal["up", "draining"]
    seq: int
    cold_s: float = 0.0


class Heartbeat(Struct, frozen=True, rename="pascal", gc=False):
    """The body of a heartbeat; `addr` is "ip:port", validated by the code that connects to it."""

    addr: Annotated[str, Meta(min_length=1)]
    summary: Summary
    stat: Stat


# Not strict: integers may arrive as `9.0`. A server whose heartbeat is rejected gets no requests.
_HEARTBEAT_DECODER = Decoder(Heartbeat, strict=False)


def decode_heartbeat(body: bytes) -> Heartbeat:
    """Decode the body of a heartbeat.

    Raises:
        msgspec.DecodeError: the body is not a heartbeat (msgspec.ValidationError is a subclass).
    """
    return _HEARTBEAT_DECODER.decode(body)
