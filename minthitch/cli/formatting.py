"""Formats the status of running processes as tables, and the steps of one request as lines."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from typing import Any

from minthitch.mesh.idempotency.operations import OperationState

Row = Sequence[object]
Statuses = dict[str, dict[str, Any]]  # by address
CLAIMS = ("claimed", "most", "newest", "older", "rotated_at", "window_s")
SPENDING = ("requests", "spent", "left")
STATES = (OperationState.IN_PROGRESS, OperationState.ANSWERED, OperationState.NOT_RUN, OperationState.UNKNOWN)


def columns(head: Row, rows: Iterable[Row]) -> list[str]:
    """Align cells in columns, numbers to the right."""
    cells = [[_cell(value) for value in row] for row in (head, *rows)]
    widths = [max(len(row[at]) for row in cells) for at in range(len(head))]
    right = [all(_is_number(row[at]) for row in cells[1:]) for at in range(len(head))]
    return [
        "  ".join(
            text.rjust(width) if to_right else text.ljust(width)
            for text, width, to_right in zip(row, widths, right, strict=True)
        ).rstrip()
        for row in cells
    ]


def _cell(value: object) -> str:
    if isinstance(value, bool):
        return "yes" if value else "no"
    return f"{value:.1f}" if isinstance(value, float) else str(value) or "-"


def _is_number(text: str) -> bool:
    return text == "-" or text.replace(".", "", 1).removeprefix("-").isdigit()


def status(found: Statuses) -> list[str]:
    """A table of all processes."""
    head = ("address", "what", "state", "leader", "term", "config", "keys", "waits", "of it")
    return columns(head, ((address, *_process(answer)) for address, answer in found.items()))


def _process(answer: dict[str, Any]) -> Row:
    if "control" in answer:
        disk = ", disk in trouble" if answer["disk"]["bad"] else ""
        newest = "" if answer["knows_newest"] else ", out of touch"
        return (
            "control",
            answer["role"] + newest + disk,
            answer["leader"].partition("#")[0],
            answer["term"],
            answer["configuration"]["index"],
            answer["keys"]["claimed"],
            answer["waiting"],
            f"{len(answer['voters'])} voters, {len(answer['sidecars'])} sidecars",
        )
    server, controls = answer["server"], answer["controls"]
    ready = "leaving" if answer["leaving"] else "ready" if answer["ready"] else "not ready"
    seen = f"server {server['state']}, {server['running']} of {server['slots']} slots"
    return (
        "sidecar",
        ready,
        controls["leader"],
        controls["term"],
        answer["configuration"]["index"],
        sum(answer["keys"].values()),
        answer["open"],
        f"{seen}, {server['queued']} queued",
    )


def keys(found: Statuses) -> list[str]:
    """Tables of claims at control nodes, and of operations by state at sidecars, most operations first."""
    controls = [
        (address, answer["role"], *(answer["keys"][key] for key in CLAIMS))
        for address, answer in found.items()
        if "control" in answer
    ]
    sidecars = [
        (
            address,
            *(answer["keys"].get(state, 0) for state in STATES),
            operations["held"],
            operations["most"],
            operations["bytes"] // 1024,
            operations["keep_s"],
        )
        for address, answer in found.items()
        if "sidecar" in answer
        for operations in [answer["book"]]
    ]
    sidecars.sort(key=lambda row: -int(row[5]))
    return _parts(
        (("control", "role", "claims", "at most", "newest", "older", "rotated at", "window s"), controls),
        (("sidecar", *STATES, "held", "at most", "answers KiB", "kept s"), sidecars),
    )


def budget(found: Statuses) -> list[str]:
    """Tables of retry budgets by sidecar and service, largest spender first, and of their sums by service."""
    rows = [
        (address, name, figures)
        for address, answer in found.items()
        if "sidecar" in answer
        for name, figures in answer["budgets"].items()
    ]
    rows.sort(key=lambda row: (-row[2]["spent"], row[:2]))
    sums: dict[str, dict[str, float]] = {}
    for _, name, figures in rows:
        one = sums.setdefault(name, dict.fromkeys(SPENDING, 0))
        one.update({key: one[key] + figures[key] for key in SPENDING})
    largest = sorted(sums.items(), key=lambda item: -item[1]["spent"])
    return _parts(
        (
            ("sidecar", "service", *SPENDING, "window s"),
            [
                (address, name, *(figures[key] for key in SPENDING), figures["window_s"])
                for address, name, figures in rows
            ],
        ),
        (
            ("service, these sidecars", *SPENDING),
            [(name, *(one[key] for key in SPENDING)) for name, one in largest],
        ),
    )


def _parts(*parts: tuple[Row, Sequence[Row]]) -> list[str]:
    lines: list[str] = []
    for head, rows in parts:
        if rows:
            lines += [*([""] if lines else []), *columns(head, rows)]
    return lines


def request_lines(answer: dict[str, Any]) -> list[str]:
    """The steps of one request, one on a line."""
    steps, copies = answer["steps"], {}
    lines = [
        f"request {answer['request']} at sidecar {answer['sidecar']}"
        + (", still open" if answer["open"] else "")
    ]
    for step in steps:
        if step["what"] == "sent":
            copies[step["copy"]] = step["life"], step["at_ms"]
        server_id, sent = copies.get(step.get("copy", 0), ("", 0.0))
        first, *more = _STEP_LINES[step["what"]](step, server_id, f"{step['at_ms'] - sent:.1f} ms")
        lines += [f"{step['at_ms']:9.1f} ms  {first}", *(" " * 14 + line for line in more)]
    return lines


def _received(step: dict[str, Any], _server: str, _after: str) -> list[str]:
    return [
        f"route {step['route']} ({step['kind']}, rank {step['rank']}), service {step['service']} chosen",
        f"left: {_ms(step['aim_left_s'])} of its aim, {_ms(step['deadline_left_s'])} to its deadline; "
        f"at most {_count(step['tries'], 'server')}; budget shared with {step['nodes'] - 1} others",
    ]


def _looked(step: dict[str, Any], _server: str, _after: str) -> list[str]:
    wanted = _count(step["wanted"], "copy", "copies")
    lines = [
        f"looked at {_count(step['servers'], 'server')} for up to {wanted}, "
        f"{_ms(step['aim_left_s'])} left of the aim, budget {step['budget']:.1f}"
    ]
    lines += [
        f"{'->' if sent else '  '} {server_id}  price {price:.2f}  chance {chance:.2f}"
        for server_id, price, chance, sent in step["shown"]
    ]
    if step["servers"] > len(step["shown"]):
        lines.append(f"   and {step['servers'] - len(step['shown'])} more")
    return lines


def _sent(step: dict[str, Any], _server: str, _after: str) -> list[str]:
    counted = "a repeat" if step["repeat"] else "first"
    return [f"sent to {step['life']} at {step['ip']} ({counted}; budget {step['budget']:.1f})"]


def _rejected(step: dict[str, Any], server_id: str, after: str) -> list[str]:
    seen = "its server may have seen it" if step["arrived"] else "its server never saw it"
    return [f"{server_id} turned it away after {after}: {step['why']}; {seen}; budget {step['budget']:.1f}"]


_STEP_LINES: dict[str, Any] = {
    "took": _received,
    "looked": _looked,
    "sent": _sent,
    "turned away": _rejected,
    "claims": lambda _s, _server_id, _after: ["asks the control nodes for its key"],
    "granted": lambda _s, _server_id, _after: ["its key is claimed here: it may run"],
    "settled": lambda s, _server_id, _after: [
        f"its key was answered before {_by(s)}: that answer is given again"
    ],
    "not held": lambda s, _server_id, _after: [f"its key is not claimed here: {s['why']}{_owner_of(s)}"],
    "answered": lambda s, server_id, after: [
        f"{server_id} answered {s['status']} after {after}; budget {s['budget']:.1f}"
    ],
    "lost": lambda s, server_id, after: [
        f"{server_id} gave no answer after {after}: {s['why']}; it may have run; budget {s['budget']:.1f}"
    ],
    "cancelled": lambda _s, server_id, after: [f"the copy at {server_id} is cancelled after {after}"],
    "overdue": lambda _s, _server_id, _after: ["overdue: unanswered for longer than such calls take"],
    "gone": lambda _s, _server_id, _after: ["its client has gone"],
    "refused": lambda s, _server_id, _after: [f"no answer of a server: {s['why']}"],
    "replied": lambda s, _server_id, _after: [f"answered {s['status']}"],
}


def _by(step: dict[str, Any]) -> str:
    return f"by sidecar {step['holder']}" if step["holder"] else "by this sidecar"


def _owner_of(step: dict[str, Any]) -> str:
    return f", held by sidecar {step['holder']}" if step["holder"] else ""


def _ms(seconds: float) -> str:
    return f"{seconds * 1000:.0f} ms"


def _count(number: int, one: str, many: str = "") -> str:
    return f"{number} {one if number == 1 else many or one + 's'}"
