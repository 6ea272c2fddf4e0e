"""The rules of the mesh, checked on a history alone."""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from collections import defaultdict
from typing import Any

from rigs.simulation.fault_spans import CONTACT_S, FaultSpans
from rigs.simulation.history import Event, History, asked_requests
from rigs.simulation.mesh import KEY_WINDOW_S, RETRY_RATIO, RETRY_SLACK, RETRY_WINDOW_S, SIDECARS
from rigs.simulation.shutdown_checks import broken_off, lost

# Seconds to apply a change, to stop calls to a draining server, and allowed past a deadline.
APPLY_S, DRAIN_S, LATE_S = 2.0, 2.0, 0.1
REFUSAL_STATUSES = (408, 421, 429, 503)
RESYNC_S = 4.0  # after the last fault until the control nodes have restored all replicas
RECOVERY_S = 4.0  # after the last fault until most requests must succeed


def violations(history: History) -> list[str]:
    found: list[str] = []
    for check in CHECKS:
        found += check(history)
    return found


def faults(history: History) -> list[str]:
    return [f"FAULT: {e.who} at {e.at:.3f}: {e.data['why']}" for e in history.of("fault")]


def _runs(history: History) -> list[Event]:
    return [e for e in history.of("arrival") if e.data["ran"]]


def executed_at_most_once(history: History) -> list[str]:
    found = []
    asked = asked_requests(history)
    by_id: dict[str, Event] = {}
    by_key: dict[str, list[Event]] = defaultdict(list)
    for run in _runs(history):
        name, key = run.data["id"], run.data["key"]
        if asked[name].data["kind"] != "idempotent" and name in by_id:
            found.append(f"ONCE: request {name} ran twice, at {by_id[name].at:.3f} and {run.at:.3f}")
        by_id[name] = run
        if key:
            sent = asked[name].at
            for other in by_key[key]:
                if abs(sent - asked[other.data["id"]].at) < KEY_WINDOW_S and other.data["id"] != name:
                    found.append(
                        f"ONCE: {key} ran for {other.data['id']} at {other.at:.3f} and for {name} "
                        f"at {run.at:.3f}"
                    )
            by_key[key].append(run)
    return found


def refused_not_executed(history: History) -> list[str]:
    asked, ran = asked_requests(history), {e.data["id"]: e for e in _runs(history)}
    return [
        f"REFUSED: {e.data['id']} got {e.data['status']} at {e.at:.3f}, ran at {ran[e.data['id']].at:.3f}"
        for e in history.of("told")
        if e.data["status"] in REFUSAL_STATUSES
        and e.data["id"] in ran
        and asked[e.data["id"]].data["kind"] != "idempotent"
    ]


def bodies_match(history: History) -> list[str]:
    """A successful response carries the complete body that a server returned for this request or its key."""
    asked = asked_requests(history)
    said: dict[str, set[str]] = defaultdict(set)
    for event in history.of("served"):
        if event.data["status"] == 200:
            want = asked[event.data["id"]].data
            said[want["key"] or event.data["id"]].add(event.data["body"])
    found = []
    for event in history.of("told"):
        want = asked[event.data["id"]].data
        if event.data["status"] == 200 and event.data["body"] not in said[want["key"] or event.data["id"]]:
            found.append(f"MIXED: {event.data['id']} got {event.data['body']!r} at {event.at:.3f}")
    return found


def answered_once_in_time(history: History) -> list[str]:
    """Each request gets exactly one answer, in time unless its sidecar had a fault, and none that the rules
    do not explain.
    """
    found, spans = [], FaultSpans(history)
    told: dict[str, list[Event]] = defaultdict(list)
    early = {e.data["id"] for e in history.of("gave up") if e.data["early"]}
    for event in history.of("told", "unheard"):
        told[event.data["id"]].append(event)
    end = history.events[-1].at
    for name, ask in asked_requests(history).items():
        until = ask.at + ask.data["deadline"] + LATE_S
        answers = [e for e in told[name] if e.what == "told"]
        if len(answers) > 1:
            found.append(f"ANSWERED: {name} {len(answers)} times, last at {answers[-1].at:.3f}")
        in_time = any(e.at <= until for e in told[name])
        if not in_time and name not in early and until < end and spans.is_calm(ask.who, ask.at - 0.1, until):
            found.append(f"ANSWERED: {name} ({ask.data['kind']}) at {ask.who} not by {until:.3f}")
        if answers and answers[0].data["status"] in (400, 404, 422) and ask.at > 2.0 + APPLY_S:
            found.append(f"DENIED: {name} got {answers[0].data['status']} at {answers[0].at:.3f}")
    return found


# Configuration --------------------------------------------------------------------------------------


def _items(call: dict[str, Any]) -> list[tuple[str, int, Any]]:
    """(name, version, item or None for a deletion) of all routes in a call."""
    upsert, drop = call.get("Upsert", {}), call.get("Del", {})
    return [(i["Name"], int(i["Ver"], 16), i) for i in upsert.get("Routes", ())] + [
        (i["Name"], int(i["Ver"], 16), None) for i in drop.get("Routes", ())
    ]


def _acks(history: History) -> list[tuple[float, str, int, Any]]:
    return [
        (e.at, *row)
        for e in history.of("verdict")
        if e.data["status"] == 200
        for row in _items(e.data["call"])
    ]


def acknowledged_changes_kept(history: History) -> list[str]:
    found = [
        f"CONFIG: invalid acknowledged at {e.at:.3f}"
        for e in history.of("verdict")
        if e.data["sort"] == "invalid" and e.data["status"] == 200
    ]
    found += [
        f"CONFIG: a proper change refused with {e.data['status']} at {e.at:.3f}"
        for e in history.of("verdict")
        if e.data["sort"] == "proper" and e.data["status"] != 200
    ]
    fetched = next(history.of("fetched"), None)
    if fetched is None:
        return [*found, "ACKED: nothing could be read back"]
    held = {item["Name"]: item for item in fetched.data["body"]["Routes"]}
    sent = [row for e in history.of("sent") if e.data["sort"] != "invalid" for row in _items(e.data["call"])]
    newest: dict[str, tuple[int, Any]] = {}
    for _, name, ver, item in _acks(history):
        if name not in newest or ver >= newest[name][0]:
            newest[name] = ver, item
    for name, (ver, item) in newest.items():
        now = held.get(name)
        higher = [row for row in sent if row[0] == name and row[1] > ver]
        if now != item and not any(row[2] == now for row in higher):
            found.append(f"ACKED: {name} {ver:08x} acknowledged, read back {now}")
    for name, item in held.items():
        if not any(row[0] == name and row[2] == item for row in sent):
            found.append(f"ACKED: {item} was never sent, or is invalid")
    return found


def versions_never_fall(history: History) -> list[str]:
    found = []
    newest: dict[tuple[str, int], Event] = {}
    for event in history.of("table"):
        key = event.who, event.data["life"]
        last = newest.get(key)
        if last is not None:
            if event.data["index"] < last.data["index"]:
                found.append(
                    f"BACK: {event.who} from {last.data['index']} to {event.data['index']} at {event.at:.3f}"
                )
            found += [
                f"BACK: {event.who}: {name} from {ver} at {event.at:.3f}"
                for name, (ver, _) in last.data["rows"].items()
                if event.data["rows"].get(name, (ver,))[0] < ver
            ]
        newest[key] = event
    return found


class TableVersions:
    """The route table versions that each sidecar had, by incarnation of its process."""

    def __init__(self, history: History) -> None:
        self.starts: dict[str, list[float]] = defaultdict(list)
        # By sidecar and number of its incarnation.
        self.updates: dict[tuple[str, int], list[Event]] = defaultdict(list)
        for event in history.of("table", "start"):
            if event.what == "start":
                self.starts[event.who].append(event.at)
            else:
                self.updates[event.who, len(self.starts[event.who])].append(event)

    def since(self, sidecar: str, at: float, name: str, ver: int) -> float:
        """When the sidecar's incarnation at time `at` first had this version or a higher one."""
        updates = self.updates.get((sidecar, bisect_right(self.starts[sidecar], at)), ())
        return next((e.at for e in updates if e.data["rows"].get(name, (-1,))[0] >= ver), float("inf"))


def delays(history: History) -> list[float]:
    """Seconds from each acknowledgement until the last sidecar in contact had the change.

    Counts only changes after which neither the core nor the sidecar had a fault for APPLY_S.
    """
    tables, spans = TableVersions(history), FaultSpans(history)
    rows = []
    for at, name, ver, _ in _acks(history):
        reachable = [
            v
            for v in SIDECARS
            if spans.in_contact(v, at)
            and spans.is_calm(v, at, at + APPLY_S)
            and spans.is_calm("core", at, at + APPLY_S)
        ]
        if reachable:
            rows.append(max(tables.since(sidecar, at, name, ver) for sidecar in reachable) - at)
    return rows


def applied_in_time(history: History) -> list[str]:
    """A sidecar that is in contact APPLY_S after an acknowledgement, or later, has the change."""
    found, spans, tables = [], FaultSpans(history), TableVersions(history)
    end = history.events[-1].at
    ends = sorted(e.at for e in history.of("well"))
    for at, name, ver, _ in _acks(history):
        check_times = [at + APPLY_S, *(e + CONTACT_S + 0.01 for e in ends if e + CONTACT_S > at + APPLY_S)]
        for sidecar in SIDECARS:
            late = [
                check_time
                for check_time in check_times
                if check_time < end
                and spans.in_contact(sidecar, check_time)
                and tables.since(sidecar, check_time, name, ver) > check_time
            ]
            if late:
                found.append(
                    f"APPLIED: {name} {ver:08x}, acknowledged at {at:.3f}, not at {sidecar} by {late[0]:.3f}"
                )
    return found


def replicas_restored(history: History) -> list[str]:
    """Once the core had no fault for RESYNC_S, each control node votes and stores all committed entries, so
    that the loss of one disk is tolerated.
    """
    spans = FaultSpans(history)
    return [
        f"SYNC: not whole again at {e.at:.3f}"
        for e in history.of("unsynced")
        if spans.is_calm("core", e.at - RESYNC_S, e.at)
    ]


# Servers --------------------------------------------------------------------------------------------


def retry_budget(history: History) -> list[str]:
    found = []
    asked, first = defaultdict(list), set[str]()
    # A nested call of a repeated request is a further arrival.
    first.update(e.data["id"] for e in history.of("inner") if e.data["repeat"])
    further: dict[str, list[float]] = defaultdict(list)
    for event in history.of("asked", "arrival"):
        if event.what == "asked":
            asked[event.data["service"]].append(event.at)
        elif event.data["id"] in first:
            further[event.data["service"]].append(event.at)
        else:
            first.add(event.data["id"])
    for service, times in further.items():
        for n, at in enumerate(times):  # checks each window that ends with a further arrival
            start = at - RETRY_WINDOW_S
            count = n + 1 - bisect_right(times, start, 0, n + 1)
            most = max(
                _count(asked[service], start - shift, at - shift)
                for shift in (0, RETRY_WINDOW_S / 2, RETRY_WINDOW_S)
            )
            if count > RETRY_RATIO * most + RETRY_SLACK:
                found.append(
                    f"BUDGET: {service}: {count} further arrivals, {most} requests "
                    f"in the {RETRY_WINDOW_S} s to {at:.3f}"
                )
                break
    return found


def _count(times: list[float], since: float, until: float) -> int:
    return bisect_right(times, until) - bisect_left(times, since)


def draining_gets_no_requests(history: History) -> list[str]:
    found, spans = [], FaultSpans(history)
    drained: dict[str, float] = {}
    asked = asked_requests(history)
    for event in history.of("beaten", "arrival"):
        if event.what == "beaten":
            if event.data["state"] in ("draining", "gone"):
                drained.setdefault(event.who, event.at)
            continue
        if not event.data["ran"]:
            continue
        since, sender = drained.get(event.data["life"]), asked[event.data["id"]].who
        if since is not None and event.at > since + DRAIN_S and spans.in_contact(sender, event.at):
            found.append(
                f"DRAIN: {event.data['id']} reached {event.data['life']} at {event.at:.3f}, "
                f"which left at {since:.3f}"
            )
    return found


def incarnation_matches(history: History) -> list[str]:
    """A request for another incarnation does not reach a server whose sidecar already knows the current
    one.
    """
    found, known = [], dict[str, float]()
    for event in history.of("beaten", "arrival"):
        if event.what == "beaten":
            known.setdefault(event.who, event.at)
        elif event.data["meant"] != event.data["life"]:
            since = known.get(event.data["life"], event.at)
            if event.at - since > 0.01:
                found.append(
                    f"ROUTE: {event.data['id']} for {event.data['meant']} reached "
                    f"{event.data['life']} at {event.at:.3f}"
                )
    return found


def serves_after_recovery(history: History) -> list[str]:
    """After recovery most requests succeed. Repeats of a key may fail: the first outcome may be unknown."""
    healed = next((e.at for e in history.of("healed")), 0.0) + RECOVERY_S
    late, known = [], set[str]()
    for event in history.of("asked"):
        if event.at > healed and event.data["key"] not in known:
            late.append(event)
        known.update({event.data["key"]} - {""})
    good = {e.data["id"] for e in history.of("told") if e.data["status"] == 200}
    served = sum(e.data["id"] in good for e in late)
    bad = len(late) >= 20 and served < len(late) / 3  # servers fail at random as well
    return [f"RECOVER: {served} of {len(late)} served"] if bad else []


CHECKS = (
    faults,
    executed_at_most_once,
    refused_not_executed,
    bodies_match,
    answered_once_in_time,
    lost,
    broken_off,
    acknowledged_changes_kept,
    versions_never_fall,
    applied_in_time,
    replicas_restored,
    retry_budget,
    draining_gets_no_requests,
    incarnation_matches,
    serves_after_recovery,
)
