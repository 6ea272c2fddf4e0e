"""Days for deployments of the mesh that nobody has played: a site's troubles drawn anew, in all pairs. Pure.

What may be drawn is read from the tables of the site's file: a trouble is one of its entries, with its
numbers between the least and the most that any entry of its kind has. Kinds that the site lacks come from
other sites' files, and from the page of kinds (a bare entry: the bench's own strengths). Which kinds meet on
which day is a covering design after Cohen, Dalal, Fredman and Patton, "The AETG System" (1997): day by day,
the kinds that make most pairs not met before.
"""

from __future__ import annotations

import random
import re
from collections.abc import Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass
from itertools import combinations, islice
from typing import Any

from minthitch.config import ConfigError

MOST_DAYS = 1_000
MOST_MIX = 8  # kinds on one day: with more, no cause can be told from the others
CLOSING = "closing/"  # before the name of what strikes at the end of a day: one of a day's kinds
PLANNED = frozenset(
    {
        "big_config",
        "bad_config",
        "config_change",
        "config_race",
        "config_storm",
        "release",
        "roll_term",
        "scale_in",
    }
)
PARTS = ("plan", "faults")
NUMBERS = ("share", "x", "for_s", "gap_s", "count")
NEAR = 1.5  # s before and after a day's moment within which its troubles begin, so that they meet
MOMENT = (10.0, 20.0)  # s; where a site's days hold no trouble that has a time
PLACED = 0.25  # of the troubles that had no place are tied to a zone
NEW_HOW = 0.5  # of the troubles take a variant of the page of kinds in place of their entry's
KIND = re.compile(r"^([a-z_]+): (.*)$", re.MULTILINE)
HOW = re.compile(r"how: ([a-z_]+(?: [a-z_]+)*)")

Table = dict[str, Any]


@dataclass(frozen=True)
class Pool:
    """What days are drawn from."""

    entries: Mapping[str, tuple[Table, ...]]  # by kind: as the sites write them
    hows: Mapping[str, tuple[str, ...]]  # by kind: variants that the page of kinds names
    closings: Mapping[str, tuple[Table, ...]]  # by kind, with the prefix
    bases: tuple[Table, ...]  # the site's own days with trouble: traffic, floors, length
    planned: frozenset[str]
    services: tuple[str, ...]
    zones: tuple[str, ...]
    moment: tuple[float, float]  # s from the start of traffic: the earliest and latest unplanned trouble

    @property
    def kinds(self) -> tuple[str, ...]:
        return (*sorted(self.entries), *sorted(self.closings))


def page(text: str) -> dict[str, tuple[str, ...]]:
    """The kinds that the bench's page of kinds names, each with its variants."""
    return {
        kind: tuple(how for found in HOW.findall(told) for how in found.split())
        for kind, told in KIND.findall(text)
    }


def pool(
    site: Table, others: Sequence[Table] = (), kinds: Mapping[str, tuple[str, ...]] | None = None
) -> Pool:
    """Gathers what a site's days may hold; with `kinds` (of `page`) only these.

    Raises ConfigError for a file that is no site's.
    """
    kinds = {} if kinds is None else kinds
    days = _tables(site, "day")
    bases = tuple(day for day in days if day.get("faults"))
    zones, services = _names(site, "zones"), _names(site, "services")
    if not bases or not zones or not services:
        raise ConfigError("the site's file needs zones, services, and a day with faults")
    own = _gathered([site])
    entries = {**{kind: ({"kind": kind},) for kind in kinds}, **_gathered(others), **own}
    if kinds:
        entries = {kind: rows for kind, rows in entries.items() if kind in kinds}
    times = [float(row["at"]) for day in bases for row in day["faults"] if "at" in row]
    closings: dict[str, list[Table]] = {}
    for day in days:
        if "closing" in day:
            closings.setdefault(CLOSING + day["closing"]["kind"], []).append(dict(day["closing"]))
    seen = {
        str(row["kind"])
        for each in (site, *others)
        for day in _tables(each, "day")
        for row in day.get("plan", ())
    }
    return Pool(
        entries,
        kinds,
        {kind: tuple(rows) for kind, rows in closings.items()},
        bases,
        PLANNED | seen,
        services,
        zones,
        (min(times), max(times)) if times else MOMENT,
    )


def _tables(site: Table, key: str) -> list[Table]:
    rows = site.get(key, [])
    if not isinstance(rows, list) or not all(isinstance(row, dict) for row in rows):
        raise ConfigError(f"{key} is no list of tables")
    return rows


def _names(site: Table, key: str) -> tuple[str, ...]:
    return tuple(str(row["name"]) for row in _tables(site, key) if "name" in row)


def _gathered(sites: Iterable[Table]) -> dict[str, tuple[Table, ...]]:
    found: dict[str, list[Table]] = {}
    for site in sites:
        placed = [row for day in _tables(site, "day") for part in PARTS for row in day.get(part, ())]
        for row in (*_tables(site, "troubles"), *placed):
            if not isinstance(row, dict) or not isinstance(row.get("kind"), str):
                raise ConfigError(f"a trouble without a kind: {row!r}")
            found.setdefault(row["kind"], []).append(row)
    return {kind: tuple(rows) for kind, rows in found.items()}


def design(kinds: Sequence[str], mix: int, seed: int) -> Iterator[tuple[str, ...]]:
    """Endless: the kinds of each day, `mix` of them, all pairs in few days; then all again in another order.

    With a `mix` of 1 each kind has a day to itself. At most one closing strikes on a day.
    """
    rng = random.Random(seed)
    while True:
        order = rng.sample(list(kinds), len(kinds))
        if mix == 1:
            yield from ((kind,) for kind in order)
            continue
        left = {pair for pair in map(frozenset, combinations(order, 2)) if _may_meet(pair)}
        if not left:
            raise ConfigError(f"no two kinds of {', '.join(kinds) or 'none'} can meet on a day")
        while left:
            chosen = _next_day(order, left, mix)
            left -= set(map(frozenset, combinations(chosen, 2)))
            yield tuple(chosen)


def _may_meet(kinds: Iterable[str]) -> bool:
    return sum(kind.startswith(CLOSING) for kind in kinds) < 2


def _next_day(order: Sequence[str], left: set[frozenset[str]], mix: int) -> list[str]:
    """Begins with the kind that has most pairs left; then, one by one, the kind that makes most of them."""
    chosen = [max(order, key=lambda kind: sum(kind in pair for pair in left))]
    while len(chosen) < mix:
        fit = [kind for kind in order if kind not in chosen and _may_meet((*chosen, kind))]
        if not fit:
            break
        chosen.append(max(fit, key=lambda kind: sum(frozenset((kind, other)) in left for other in chosen)))
    return chosen


def days(drawn: Pool, seed: int, count: int, mix: int) -> list[Table]:
    """The first `count` days of a seed. Raises ConfigError for figures out of range."""
    if not 1 <= count <= MOST_DAYS:
        raise ConfigError(f"--count {count} is not from 1 to {MOST_DAYS}")
    if not 1 <= mix <= MOST_MIX:
        raise ConfigError(f"--mix {mix} is not from 1 to {MOST_MIX}")
    chosen = islice(design(drawn.kinds, mix, seed), count)
    return [day(drawn, kinds, seed, number) for number, kinds in enumerate(chosen, 1)]


def day(drawn: Pool, kinds: Sequence[str], seed: int, number: int) -> Table:
    """A day of the site on which these kinds meet, the same for the same seed and number.

    Its traffic, length, floors and changes of configuration are those of one of the site's days: so its
    floors are a measure and no promise, since other troubles may cost more.
    """
    rng = random.Random(f"{seed}/{number}")
    base = rng.choice(drawn.bases)
    moment = rng.uniform(*drawn.moment)
    made = {key: value for key, value in base.items() if key != "closing"}
    made |= {
        "name": f"own-{seed}-{number}",
        "slot": "trouble",
        "labels": [],
        "faults": [],
        "seed": rng.randrange(1, 1 << 28),
        "plan": [row for row in base.get("plan", ()) if row["kind"] == "config_change"],
    }
    for kind in kinds:
        if kind.startswith(CLOSING):
            made["closing"] = _strong(rng, drawn.closings[kind], ("down_s",))
            continue
        entry = _entry(drawn, rng, kind, moment)
        made["plan" if kind in drawn.planned else "faults"].append(entry)
    for part in PARTS:
        made[part].sort(key=lambda row: float(row["at"]))
    return made


def kinds_of(made: Table) -> list[str]:
    """The kinds that a day holds, in the order of their times, closing last."""
    rows = sorted((*made["plan"], *made["faults"]), key=lambda row: float(row["at"]))
    closing = [CLOSING + made["closing"]["kind"]] if "closing" in made else []
    return list(dict.fromkeys([*(str(row["kind"]) for row in rows), *closing]))


def _entry(drawn: Pool, rng: random.Random, kind: str, moment: float) -> Table:
    early, late = drawn.moment
    at = min(max(moment + rng.uniform(-NEAR, NEAR), early), late)
    row = {"at": round(at, 2), **_strong(rng, drawn.entries[kind], NUMBERS)}
    if "service" in row:
        row["service"] = rng.choice(drawn.services)
    if "to_zone" in row or "one_zone" in str(row.get("how", "")):
        row["to_zone"] = rng.choice(drawn.zones)
    free = kind not in drawn.planned and not {"service", "on", "to_zone"} & set(row)
    if "zone" in row or (free and rng.random() < PLACED):
        row["zone"] = rng.choice(drawn.zones)
    hows = drawn.hows.get(kind, ())
    if hows and rng.random() < NEW_HOW:
        row["how"] = rng.choice(hows)
    return row


def _strong(rng: random.Random, rows: Sequence[Table], numbers: Sequence[str]) -> Table:
    """One of these entries, its numbers drawn anew between the least and the most of all of them."""
    made = {key: value for key, value in rng.choice(rows).items() if key != "at"}
    for key in numbers:
        if key in made:
            made[key] = _between(rng, [row[key] for row in rows if key in row])
    return made


def _between(rng: random.Random, values: Sequence[float]) -> float:
    """Whole where all values are: things are counted in whole ones."""
    low, high = min(values), max(values)
    if all(value == int(value) for value in values):
        return type(values[0])(rng.randint(int(low), int(high)))
    return round(rng.uniform(low, high), 3)
