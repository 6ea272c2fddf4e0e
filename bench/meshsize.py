"""What the control plane costs at size, in the model: `python -m bench.meshsize [--quick]`.

Three whole control nodes and N sidecars' lines to them: words, bytes and processor time of a control node
at rest, at a start,
for one server's state, for one item of the configuration, for a service whose servers are all replaced; then
the pure parts at 10,000. Bytes and words are exact; processor time is this machine's, and judged by ratios.
"""

from __future__ import annotations

import argparse
import sys
import time
from collections.abc import Callable
from statistics import median
from typing import NamedTuple

from minthitch.mesh.control.server import FULL_UPDATE_INTERVAL_S
from minthitch.mesh.control.sidecar_updates import BATCH_INTERVAL_S
from minthitch.mesh.events.events import LOG
from minthitch.mesh.registry.merged_views import MergedViews
from minthitch.mesh.registry.records import SidecarRecord
from minthitch.mesh.registry.registry import Registry, RegistryDelta
from rigs.simulation.size import START_SPREAD_S, LargeSite, Usage

SIZES, QUICK_SIZES = (20, 100, 1_000), (20, 100)
FEW, MANY = 10, 2_000  # routes
WINDOW = FULL_UPDATE_INTERVAL_S  # seconds looked at: one word to everyone whatever happens falls into each
LOOKS = 5  # windows at rest, of which the cheapest counts: others' work on this machine only adds
MEETERS = 2  # sidecars that open lines to all others
PURE = 10_000
SMALL_CORE = 0.245  # of a processor: the smallest machine that a control node is asked to run on
REST_PART = 0.05  # of it that a control node may use at 100 sidecars at rest
LIKE = 1.25  # by how much a figure for each sidecar may differ that must not depend on size
WORK_LIKE = 3.0  # the same for processor time, which also grows with caches that no longer hold all
TOLD_MOST = (
    BATCH_INTERVAL_S + 0.08
)  # seconds from an acknowledgement to the last sidecar: gathered, a sync, two ways
REPLACED_WORDS = START_SPREAD_S / BATCH_INTERVAL_S + 4.0  # words to each sidecar while a service is replaced
START_WORDS = 2.0 * REPLACED_WORDS  # a word to a new sidecar, and those of all that come after it


class Row(NamedTuple):
    """One size's figures: of a control node, in the mean of three."""

    sidecars: int
    start: Usage
    rest: Usage  # a second
    sidecar: Usage  # a second, of a sidecar at rest
    state: Usage  # beyond the rest
    state_told: tuple[float, float]  # median and most seconds
    change: Usage
    change_told: tuple[float, float]
    replaced: Usage
    pair: Usage  # a second of a sidecar with a quiet line to every other one, beyond the rest


def told(crowd: LargeSite) -> tuple[float, float]:
    delays = crowd.delays()
    assert len(delays) == len(crowd.reporters), f"{len(delays)} of {len(crowd.reporters)} were told"
    return median(delays), delays[-1]


def played(count: int, routes: int = FEW) -> Row:
    crowd = LargeSite(count, routes=routes)
    crowd.begin()
    start = crowd.usage()
    rest = min((crowd.usage_during(WINDOW) for _ in range(LOOKS)), key=lambda used: used.busy)
    sidecar = crowd.usage_during(WINDOW, ips=crowd.list_keepers())
    state = crowd.usage_during(WINDOW, crowd.drain).minus(rest)
    state_told = told(crowd)
    change = crowd.usage_during(WINDOW, crowd.change).minus(rest)
    change_told = told(crowd)
    replaced = crowd.usage_during(WINDOW, lambda: crowd.replace("svc-1", START_SPREAD_S)).minus(rest)
    met = crowd.connect_to_all(MEETERS)
    crowd.loop.run_until(crowd.loop.now + WINDOW)
    pair = crowd.usage_during(WINDOW, ips=met).minus(sidecar).divided_by(WINDOW)
    crowd.close()
    assert not crowd.faults, crowd.faults[0]
    return Row(
        count,
        start,
        rest.divided_by(WINDOW),
        sidecar.divided_by(WINDOW),
        state,
        state_told,
        change,
        change_told,
        replaced,
        pair,
    )


def pure(count: int) -> tuple[float, float, float]:
    """Microseconds for one record that changed: at a control node's list, to find it there, at a sidecar's
    list.
    """

    def record(n: int, seq: int) -> SidecarRecord:
        return SidecarRecord(
            f"10.{n >> 8}.{n & 255}.1", 7620, 1, seq, "a", "svc", f"life-{seq}", 5, "up", 0.0, True
        )

    registry, views = Registry(), MergedViews()
    for n in range(count):
        registry.update(0.0, record(n, 1))
    for control in ("a", "b", "c"):
        views.update(0.0, control, RegistryDelta(True, list(registry.records.values()), []))
    version = registry.version
    note = _each(lambda n: registry.update(0.0, record(n, 2)))
    since = _each(lambda n: registry.since(max(version, registry.version - 1)))
    take = _each(lambda n: views.update(0.0, "abc"[n % 3], RegistryDelta(False, [record(n, 2)], [])))
    return note, since, take


def _each(work: Callable[[int], object], times: int = 300) -> float:
    began = time.process_time()
    for n in range(times):
        work(n)
    return (time.process_time() - began) / times * 1e6


def show(row: Row) -> None:
    n = row.sidecars
    rest, sidecar = row.rest, row.sidecar
    print(f"{n} sidecars")
    print(
        f"  a control node at rest, a second: {rest.messages_out:.0f} words and "
        f"{rest.heartbeats_out:.0f} beats out, {rest.bytes_in:.0f} bytes in, {rest.bytes_out:.0f} out, "
        f"{1000 * rest.busy:.1f} ms of processor"
    )
    print(
        f"  a sidecar at rest, a second: {sidecar.messages_out:.1f} words and {sidecar.heartbeats_out:.1f} "
        f"beats out, "
        f"{sidecar.bytes_out:.0f} bytes out, {1000 * sidecar.busy:.2f} ms; with a quiet line to every "
        f"other one "
        f"{row.pair.messages_out + row.pair.heartbeats_out:+.1f} words and beats, "
        f"{1000 * row.pair.busy:+.2f} ms"
    )
    print(
        f"  start within {START_SPREAD_S:g} s: {row.start.messages_out / n:.1f} words and "
        f"{row.start.bytes_out / n:.0f} bytes to each, {1000 * row.start.busy / n:.2f} ms for each"
    )
    for name, used, delays in (
        ("one server's state", row.state, row.state_told),
        ("one item of the configuration", row.change, row.change_told),
    ):
        print(
            f"  {name}: {used.messages_out / n:.2f} words and {used.bytes_out / n:.0f} bytes each; "
            f"told after {1000 * delays[0]:.0f} ms in the median, {1000 * delays[1]:.0f} at most"
        )
    print(
        f"  a service replaced within {START_SPREAD_S:g} s: {row.replaced.messages_out / n:.1f} words and "
        f"{row.replaced.bytes_out / n:.0f} bytes to each, {1000 * row.replaced.busy / n:.2f} ms for each"
    )


def short(rows: list[Row], many: Row) -> list[str]:
    """What is out of bounds."""
    found: list[str] = []

    def check(holds: bool, why: str) -> None:
        if not holds:
            found.append(why)

    by = {row.sidecars: row for row in rows}
    least = by[100].rest.busy
    check(
        least < REST_PART * SMALL_CORE,
        f"a control node at 100 sidecars at rest uses {1000 * least:.1f} ms a second",
    )
    for row in rows:
        n = row.sidecars
        for what, used, delays in (
            ("state", row.state, row.state_told),
            ("item", row.change, row.change_told),
        ):
            check(
                used.messages_out / n < LIKE,
                f"one {what} is {used.messages_out / n:.2f} words to each of {n}",
            )
            check(delays[1] < TOLD_MOST, f"one {what} is told to {n} after {delays[1]:.3f} s")
        words = row.replaced.messages_out / n
        check(words < REPLACED_WORDS, f"a service replaced is {words:.0f} words to each of {n}")
        words = row.start.messages_out / n
        check(words < START_WORDS, f"a start is {words:.0f} words to each of {n}")
        check(
            _alike(row.state.bytes_out / n, rows[0].state.bytes_out / rows[0].sidecars),
            f"bytes of a state change differ with the number of sidecars: {row.state.bytes_out / n:.0f}",
        )
    for what in ("change", "state"):
        check(
            _alike(getattr(many, what).bytes_out, getattr(by[100], what).bytes_out),
            f"bytes of one {what} differ with the routes",
        )
    work = [1000 * row.start.busy / row.sidecars for row in rows if row.sidecars >= 100]
    check(
        work[-1] < WORK_LIKE * work[0], f"a start takes {work[-1]:.2f} ms for each sidecar, not {work[0]:.2f}"
    )
    return found


def _alike(one: float, other: float) -> bool:
    return one < other * LIKE and other < one * LIKE


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--quick", action="store_true", help="without 1,000 sidecars")
    sizes = QUICK_SIZES if parser.parse_args().quick else SIZES
    LOG.disabled = True
    rows = []
    for size in sizes:
        rows.append(played(size))
        show(rows[-1])
    many = played(100, MANY)
    print(f"with {MANY} routes,", end=" ")
    show(many)
    for count in (100, PURE):
        note, since, take = pure(count)
        print(
            f"one record of {count}: {note:.1f} us to take in, {since:.1f} to find, {take:.1f} at a sidecar"
        )
    found = short(rows, many)
    print("meshsize:", f"short: {found[0]}" if found else "ok")
    return bool(found)


if __name__ == "__main__":
    sys.exit(main())
