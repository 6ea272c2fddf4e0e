"""What running control nodes and sidecars told, as short tables for people, and the course of one request
as lines.
"""

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
    """Lines with their cells below each other; figures to the right."""
    cells = [[_cell(value) for value in row] for row in (head, *rows)]
    widths = [max(len(row[at]) for row in cells) for at in range(len(head))]
    right = [all(_figure(row[at]) for row in cells[1:]) for at in range(len(head))]
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


def _figure(text: str) -> bool:
    return text == "-" or text.replace(".", "", 1).removeprefix("-").isdigit()


def status(found: Statuses) -> list[str]:
    """All processes in one table."""
    head = ("address", "what", "state", "leader", "term", "config", "keys", "waits", "of it")
    return columns(head, ((address, *_process(told)) for address, told in found.items()))


def _process(told: dict[str, Any]) -> Row:
    if "control" in told:
        disk = ", disk in trouble" if told["disk"]["bad"] else ""
        newest = "" if told["knows_newest"] else ", out of touch"
        return (
            "control",
            told["role"] + newest + disk,
            told["leader"].partition("#")[0],
            told["term"],
            told["configuration"]["index"],
            told["keys"]["claimed"],
            told["waiting"],
            f"{len(told['voters'])} voters, {len(told['sidecars'])} sidecars",
        )
    server, controls = told["server"], told["controls"]
    ready = "leaving" if told["leaving"] else "ready" if told["ready"] else "not ready"
    seen = f"server {server['state']}, {server['running']} of {server['slots']} slots"
    return (
        "sidecar",
        ready,
        controls["leader"],
        controls["term"],
        told["configuration"]["index"],
        sum(told["keys"].values()),
        told["open"],
        f"{seen}, {server['queued']} queued",
    )


def keys(found: Statuses) -> list[str]:
    """Claims at the control nodes; operations at the sidecars by state, the sidecar that holds most first."""
    controls = [
        (address, told["role"], *(told["keys"][key] for key in CLAIMS))
        for address, told in found.items()
        if "control" in told
    ]
    sidecars = [
        (
            address,
            *(told["keys"].get(state, 0) for state in STATES),
            book["held"],
            book["most"],
            book["bytes"] // 1024,
            book["keep_s"],
        )
        for address, told in found.items()
        if "sidecar" in told
        for book in [told["book"]]
    ]
    sidecars.sort(key=lambda row: -int(row[5]))
    return _parts(
        (("control", "role", "claims", "at most", "newest", "older", "rotated at", "window s"), controls),
        (("sidecar", *STATES, "held", "at most", "answers KiB", "kept s"), sidecars),
    )


def budget(found: Statuses) -> list[str]:
    """Further arrivals by sidecar and service, the largest spender first, and each service's sum."""
    held = [
        (address, name, part)
        for address, told in found.items()
        if "sidecar" in told
        for name, part in told["budgets"].items()
    ]
    held.sort(key=lambda row: (-row[2]["spent"], row[:2]))
    sums: dict[str, dict[str, float]] = {}
    for _, name, part in held:
        one = sums.setdefault(name, dict.fromkeys(SPENDING, 0))
        one.update({key: one[key] + part[key] for key in SPENDING})
    largest = sorted(sums.items(), key=lambda item: -item[1]["spent"])
    return _parts(
        (
            ("sidecar", "service", *SPENDING, "window s"),
            [
                (address, name, *(part[key] for key in SPENDING), part["window_s"])
                for address, name, part in held
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


def course(told: dict[str, Any]) -> list[str]:
    """One request, a line for each thing that happened to it."""
    steps, copies = told["steps"], {}
    lines = [
        f"request {told['request']} at sidecar {told['sidecar']}" + (", still open" if told["open"] else "")
    ]
    for step in steps:
        if step["what"] == "sent":
            copies[step["copy"]] = step["life"], step["at_ms"]
        life, sent = copies.get(step.get("copy", 0), ("", 0.0))
        first, *more = _SAID[step["what"]](step, life, f"{step['at_ms'] - sent:.1f} ms")
        lines += [f"{step['at_ms']:9.1f} ms  {first}", *(" " * 14 + line for line in more)]
    return lines


def _took(step: dict[str, Any], _life: str, _after: str) -> list[str]:
    return [
        f"route {step['route']} ({step['kind']}, rank {step['rank']}), service {step['service']} chosen",
        f"left: {_ms(step['aim_left_s'])} of its aim, {_ms(step['deadline_left_s'])} to its deadline; "
        f"at most {_count(step['tries'], 'server')}; budget shared with {step['nodes'] - 1} others",
    ]


def _looked(step: dict[str, Any], _life: str, _after: str) -> list[str]:
    wanted = _count(step["wanted"], "copy", "copies")
    lines = [
        f"looked at {_count(step['servers'], 'server')} for up to {wanted}, "
        f"{_ms(step['aim_left_s'])} left of the aim, budget {step['budget']:.1f}"
    ]
    lines += [
        f"{'->' if sent else '  '} {life}  price {price:.2f}  chance {chance:.2f}"
        for life, price, chance, sent in step["shown"]
    ]
    if step["servers"] > len(step["shown"]):
        lines.append(f"   and {step['servers'] - len(step['shown'])} more")
    return lines


def _sent(step: dict[str, Any], _life: str, _after: str) -> list[str]:
    counted = "a repeat" if step["repeat"] else "first"
    return [f"sent to {step['life']} at {step['ip']} ({counted}; budget {step['budget']:.1f})"]


def _turned_away(step: dict[str, Any], life: str, after: str) -> list[str]:
    seen = "its server may have seen it" if step["arrived"] else "its server never saw it"
    return [f"{life} turned it away after {after}: {step['why']}; {seen}; budget {step['budget']:.1f}"]


_SAID: dict[str, Any] = {
    "took": _took,
    "looked": _looked,
    "sent": _sent,
    "turned away": _turned_away,
    "claims": lambda s, life, after: ["asks the control nodes for its key"],
    "granted": lambda s, life, after: ["its key is claimed here: it may run"],
    "settled": lambda s, life, after: [f"its key was answered before {_by(s)}: that answer is given again"],
    "not held": lambda s, life, after: [f"its key is not claimed here: {s['why']}{_held(s)}"],
    "answered": lambda s, life, after: [
        f"{life} answered {s['status']} after {after}; budget {s['budget']:.1f}"
    ],
    "lost": lambda s, life, after: [
        f"{life} gave no answer after {after}: {s['why']}; it may have run; budget {s['budget']:.1f}"
    ],
    "cancelled": lambda s, life, after: [f"the copy at {life} is called off after {after}"],
    "overdue": lambda s, life, after: ["overdue: out for longer than such calls take"],
    "gone": lambda s, life, after: ["its client has gone"],
    "refused": lambda s, life, after: [f"no answer of a server: {s['why']}"],
    "replied": lambda s, life, after: [f"answered {s['status']}"],
}


def _by(step: dict[str, Any]) -> str:
    return f"by sidecar {step['holder']}" if step["holder"] else "by this sidecar"


def _held(step: dict[str, Any]) -> str:
    return f", held by sidecar {step['holder']}" if step["holder"] else ""


def _ms(seconds: float) -> str:
    return f"{seconds * 1000:.0f} ms"


def _count(number: int, one: str, many: str = "") -> str:
    return f"{number} {one if number == 1 else many or one + 's'}"
