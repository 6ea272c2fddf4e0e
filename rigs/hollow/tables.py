"""The tables of what was measured, one function each."""

from __future__ import annotations

from rigs.hollow.figures import (
    ADDED_MS,
    AGREE,
    CALLS,
    CLAIMS,
    CONTROLS,
    EVENTS,
    FAILED,
    FULL,
    HOPS,
    KEYED,
    MACHINES,
    NODES,
    RACKS_LOST,
    RESTARTS,
    ROLES,
    SHAPES,
    YEAR,
    ZONES_LOST,
    Row,
    beyond_calm,
    claim_line,
    claim_memory,
    found,
    judged,
    line_of,
    number,
    of_sizes,
    point,
    rates,
    table,
)
from rigs.hollow.fit import fitted

AGREE_WITHIN = 10.0  # percent
NAMES = {"messages": "messages/s", "beats": "beats/s", "kb": "kB/s", "core": "% of a core"}


def calm_table(data: dict[str, Row]) -> str:
    rows = []
    for controls in (3, 5):
        for scenario in ("calm", "calls with budget leases"):
            for part in of_sizes(data, controls):
                if (row := found(part, scenario)) is None:
                    continue
                for role in ROLES:
                    rate = rates(row, role)
                    rows.append(
                        [
                            str(controls),
                            scenario,
                            str(part["nodes"]),
                            role,
                            *(number(rate[what]) for what in ("messages", "beats", "kb")),
                            number(rate["core"] * 100),
                            number(row[role]["rss_mb"]),
                        ]
                    )
    head = (
        "control",
        "scenario",
        "nodes",
        "role",
        "messages/s",
        "beats/s",
        "kB/s",
        "% of a core",
        "resident MB",
    )
    return table(head, rows)


def event_table(data: dict[str, Row]) -> str:
    rows = []
    for controls in (3, 5):
        for scenario in EVENTS:
            for part in of_sizes(data, controls):
                if (row := found(part, scenario)) is None:
                    continue
                cells = [str(controls), scenario, str(part["nodes"]), str(row.get("count", ""))]
                for role in ("leader", "sidecar"):
                    cost = beyond_calm(part, row, role)
                    cells += [number(cost[what]) for what in ("messages", "kb", "cpu_ms")]
                told = row.get("all_s")
                missing = f", {row['missing']:.0f} never" if row.get("missing") else ""
                cells.append(f"{told:.2f}{missing}" if told is not None else "")
                rows.append(cells)
    head = (
        "control",
        "event",
        "nodes",
        "of them",
        "leader messages",
        "leader kB",
        "leader cpu ms",
        "sidecar messages",
        "sidecar kB",
        "sidecar cpu ms",
        "in force everywhere s",
    )
    return table(head, rows)


def slope_table(data: dict[str, Row]) -> str:
    rows = []
    units = {"messages": "messages/s", "kb": "kB/s", "core": "% of a core"}
    for controls in (3, 5):
        for scenario in ("calm", "calls with budget leases"):
            for role in ROLES:
                for what, unit in units.items():
                    line = line_of(data, controls, scenario, role, what)
                    if line is None:
                        continue
                    scale = 100.0 if what == "core" else 1.0
                    rows.append(
                        [
                            str(controls),
                            scenario,
                            role,
                            unit,
                            number(line.base * scale),
                            number(line.slope * scale),
                            f"{line.residual * 100:.0f} %",
                            number(line.at(NODES) * scale),
                        ]
                    )
    return table(
        (
            "control",
            "scenario",
            "role",
            "unit",
            "at none",
            "each node adds",
            "largest residual",
            "line at 880",
        ),
        rows,
    )


def claim_table(data: dict[str, Row]) -> str:
    rows = []
    for part in data[CLAIMS]["parts"]:
        for row in part["rows"]:
            if row["scenario"] != "claims":
                continue
            lead, follow = rates(row, "leader"), rates(row, "follower")
            rows.append(
                [
                    str(part["controls"]),
                    number(row["rate"]),
                    f"{row['granted']:,} of {row['sent']:,}",
                    number(row["median_ms"]),
                    number(row["p99_ms"]),
                    number(lead["core"] * 100),
                    number(follow["core"] * 100),
                    number(lead["kb"]),
                    number(follow["kb"]),
                    number(row["leader"]["rss_mb"]),
                ]
            )
    head = (
        "control",
        "claims/s",
        "granted",
        "median ms",
        "99 of 100 ms",
        "leader % of a core",
        "follower % of a core",
        "leader kB/s",
        "follower kB/s",
        "leader resident MB",
    )
    return table(head, rows)


def full_table(data: dict[str, Row]) -> str:
    rows = []
    for part in data[FULL]["parts"]:
        calm = found(part, "calm")
        for row in part["rows"]:
            if row["scenario"] == "claims" and calm is not None:
                grown = row["leader"]["rss_mb"] - calm["leader"]["rss_mb"]
                rows.append(
                    [
                        f"{part['controls']}",
                        f"{number(row['rate'])} for {row['seconds']:.0f} s",
                        *(f"{row[verdict]:,}" for verdict in ("granted", "full", "no leader")),
                        number(rates(row, "leader")["core"] * 100),
                        number(row["p99_ms"]),
                        number(grown),
                        number(row["disk_mb"]),
                    ]
                )
    head = (
        "control",
        "claims/s",
        "granted",
        "refused, table full",
        "no leader in 5 s",
        "leader % of a core",
        "99 of 100 ms",
        "leader's resident MB more than at rest",
        "folder's MB",
    )
    return table(head, rows)


def claim_slope_table(data: dict[str, Row]) -> str:
    rows = []
    for part in data[CLAIMS]["parts"]:
        for role in ("leader", "follower"):
            core, kb = claim_line(part, role, "core"), claim_line(part, role, "kb")
            rows.append(
                [
                    str(part["controls"]),
                    role,
                    number(core.slope * 1e6),
                    f"{core.residual * 100:.0f} %",
                    number(kb.slope * 1000),
                    f"{kb.residual * 100:.0f} %",
                    number(claim_memory(part, role)),
                    *(judged((core.base + core.slope * CALLS * share) * 100, 100.0, "%") for share in KEYED),
                    *(number(kb.slope * CALLS * share / 1000) for share in KEYED),
                ]
            )
    head = (
        "control",
        "role",
        "cpu us a claim",
        "residual",
        "bytes a claim",
        "residual",
        "resident bytes a claim held",
        *(f"% of a core at {CALLS * share:,.0f} claims/s ({share:.0%} keyed)" for share in KEYED),
        *(f"MB/s at {CALLS * share:,.0f}" for share in KEYED),
    )
    return table(head, rows)


def shape_table(data: dict[str, Row]) -> str:
    rows = []
    for part in data[SHAPES]["parts"]:
        calm = found(part, "calm")
        if calm is None:
            continue
        cells = [str(part["services"]), str(part["routes"]), number(rates(calm, "leader")["core"] * 100)]
        cells += [number(calm["sidecar"]["rss_mb"])]
        for scenario in ("an order of all routes", "an order of one route"):
            row = found(part, scenario)
            if row is None:
                cells += ["not run"] * 4
                continue
            lead, side = beyond_calm(part, row, "leader"), beyond_calm(part, row, "sidecar")
            cells += [
                number(lead["cpu_ms"]),
                number(side["cpu_ms"]),
                number(side["kb"]),
                f"{row['all_s']:.3f}",
            ]
        rows.append(cells)
    head = ["services", "routes", "calm: leader % of a core", "sidecar resident MB"]
    for order in ("all routes", "one route"):
        head += [f"{order}: leader cpu ms", "sidecar cpu ms", "sidecar kB", "in force s"]
    return table(head, rows)


def route_slope_table(data: dict[str, Row]) -> str:
    rows = []
    for scenario in ("an order of all routes", "an order of one route"):
        for role in ("leader", "sidecar"):
            for what, unit in (("cpu_ms", "us of cpu"), ("kb", "bytes")):
                points = []
                for part in data[SHAPES]["parts"]:
                    row = found(part, scenario)
                    if row is not None and part["services"] == 49:
                        points.append((float(part["routes"]), beyond_calm(part, row, role)[what] * 1000))
                if len(points) > 1:
                    line = fitted(points)
                    rows.append(
                        [
                            scenario,
                            role,
                            unit,
                            number(line.base),
                            number(line.slope),
                            f"{line.residual * 100:.0f} %",
                        ]
                    )
    return table(("order", "role", "unit", "at none", "each route that stands adds", "residual"), rows)


def hop_table(data: dict[str, Row]) -> str:
    rows = []
    for part in data[HOPS]["parts"]:
        if "width" not in part:
            continue
        direct = part["direct"]
        for way in ("direct", "relay", "sidecars"):
            row = part[way]
            added = [(row[what] - direct[what]) / 1000 for what in ("median_us", "p99_us")]
            rows.append(
                [
                    str(part["width"]),
                    part["rounds"],
                    way,
                    f"{row['calls']:,}",
                    str(row["failed"]),
                    number(row["median_us"]),
                    number(row["p99_us"]),
                    f"{added[0]:.3f}" if way != "direct" else "",
                    judged(added[1], ADDED_MS, "ms") if way != "direct" else "",
                    number(row["cpu_us"]) if way != "direct" else "",
                ]
            )
    head = (
        "calls at once",
        "rounds",
        "way",
        "calls",
        "failed",
        "median us",
        "99 of 100 us",
        "added ms, median",
        "added ms, 99 of 100",
        "processor us a call between client and server",
    )
    return table(head, rows)


def profile_table(data: dict[str, Row]) -> str:
    rows = []
    for part in data[HOPS]["parts"]:
        for side in part.get("profile", []):
            rows += [[side["sidecar"], name, number(us), number(calls)] for name, us, calls in side["rows"]]
    return table(("sidecar", "where", "us a call (under the profiler)", "function calls a call"), rows)


def agree_table(data: dict[str, Row]) -> str:
    kinds = {part["kind"]: part for part in data[AGREE]["parts"]}
    rows = []
    for scenario in ("calm", "order"):
        for role in ROLES:
            for what in ("messages", "beats", "kb", "core"):
                scale = 100.0 if what == "core" else 1.0
                real, hollow = (
                    rates(kinds[kind][scenario], role)[what] * scale for kind in ("real", "hollow")
                )
                apart = (hollow - real) / real * 100 if real else 0.0
                text = f"**{apart:+.1f} %**" if abs(apart) > AGREE_WITHIN else f"{apart:+.1f} %"
                rows.append([scenario, role, NAMES[what], number(real), number(hollow), text])
    return table(("scenario", "role", "figure", "real", "hollow", "apart"), rows)


def lost_table(data: dict[str, Row]) -> str:
    """Losses that strike control a year, by the operators' rates, and the seconds that each costs claims."""
    rows = []
    at = point(data, CONTROLS, "leader lost")
    if at is None:
        return "not run"
    _, row = at
    stall, elected, back = row["claim_most_s"], row["elected_s"], row["back_s"]
    share, leads = CONTROLS / MACHINES, 1 / MACHINES
    events: list[tuple[str, float, float | None, str]] = [
        ("the leader's machine fails", FAILED * YEAR * leads, stall, "claims wait"),
        (
            "another control machine fails",
            FAILED * YEAR * (share - leads),
            None,
            "not run: a majority and the leader stay",
        ),
        ("the leader is restarted or replaced", RESTARTS * YEAR * leads, stall, "claims wait"),
        (
            "another control machine is restarted",
            RESTARTS * YEAR * (share - leads),
            None,
            "not run: a majority and the leader stay",
        ),
        ("the leader's zone goes (5 machines in 5 of 7 zones)", ZONES_LOST / 7, stall, "claims wait"),
        (
            "the leader's rack or switch goes (a rack of 30 taken)",
            RACKS_LOST * 30 * leads,
            stall,
            "claims wait",
        ),
    ]
    nodes = (
        (
            "restarts one by one",
            "a node is restarted or replaced",
            RESTARTS * YEAR,
            "until listed everywhere",
        ),
        ("a zone back at once", "a zone comes back", ZONES_LOST, "until its servers are listed everywhere"),
    )
    for scenario, name, yearly, effect in nodes:
        if (other := point(data, CONTROLS, scenario)) is not None:
            events.append((name, float(yearly), other[1]["all_s"], effect))
    for name, times, seconds, effect in events:
        costs = ["not run"] * 2 if seconds is None else [number(seconds), number(times * seconds)]
        rows.append([name, number(times), *costs, effect])
    text = table(("loss", "times a year", "seconds each", "seconds a year", "what it costs"), rows)
    return (
        f"{text}\n\nMeasured at {at[0]['nodes']} nodes and five control processes, SIGKILL of the leader: "
        f"another leads after {elected:.2f} s, the longest claim took {stall:.2f} s, the old leader's "
        f"process follows {back:.2f} s after its start."
    )


def run_table(data: dict[str, Row]) -> str:
    rows = []
    for name, content in data.items():
        for part in content["parts"]:
            if "leaders" not in part:
                continue
            changed = [row["scenario"] for row in part["rows"] if row.get("leader_changed")]
            rows.append(
                [
                    name,
                    part.get("measured", content["measured"]),
                    f"{part['controls']} control, {part['nodes']} nodes, {part['routes']} routes",
                    f"{part.get('load', content.get('load_before', 0.0)):.0f}",
                    str(part["leaders"]),
                    str(part["disk_slow"]),
                    "; ".join(changed) or "none",
                    "; ".join(part["faults"]) or "none",
                ]
            )
    head = (
        "figures",
        "ended at",
        "site",
        "machine's load at its end",
        "leaders",
        "slow syncs",
        "leader changed within",
        "faults",
    )
    return table(head, rows)
