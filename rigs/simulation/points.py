"""Schedules of the hard points of the control plane, each drawn from a seed and played with callers of `ctl`:
orders under one number, a machine cut off for twenty seconds, a second loss after a repair, and hundreds of
changes. `Point.play` gives the history with every rule that it breaks.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any, NamedTuple
from unittest import mock

from minthitch.mesh.configuration.schema import ROUTES
from rigs.simulation import linearizability, order_checks, people
from rigs.simulation.ctl import ControlClient
from rigs.simulation.cuts import MODES, WAYS, Cut, RefusingNetwork, cut_off, restart
from rigs.simulation.faults import SYNC_S, Fault
from rigs.simulation.history import History
from rigs.simulation.mesh import CONTROLS, SPARES, ControlNode, Site
from rigs.simulation.people import Operators, People, route
from rigs.simulation.planted import CUT_OFF, MANY_CHANGES, ONE_ORDER, RIGHT_CALLER, SECOND_LOSS
from rigs.simulation.play import Day, Deed, Played, play

FIRST = 3.0  # seconds from which on faults strike
READ_EVERY = 0.12
NAMES = 5  # routes that are changed
CUT_S = 20.0
UNDER_WAY = 8  # orders at once
Check = Callable[[History], list[str]]


class Point(NamedTuple):
    """One of the operators' points and the days that probe it."""

    name: str
    play: Callable[[int], Played]


class Script:
    """What callers do in one day; it learns its site with the first deed."""

    def __init__(self, seed: int, lost: float = 0.1) -> None:
        self.draw = random.Random(seed)
        self.lost = lost
        self.deeds: list[tuple[float, Deed]] = []
        self.client: ControlClient | None = None
        self.versions = [0] * NAMES
        self.last_read = 0  # number of the node that was last asked for the configuration

    def at(self, when: float, act: Callable[[Site, ControlClient], None]) -> None:
        def deed(site: Site, people: People, operators: Operators) -> None:
            if self.client is None:
                self.client = ControlClient(site, self.lost)
            act(site, self.client)

        self.deeds.append((round(when, 4), deed))

    def order(self, when: float, call: dict[str, Any], sort: str = "proper", node: int | None = None) -> None:
        """Sends an order at that time, first to that node, or to any."""
        self.at(when, lambda site, client: client.order(call, sort, node))

    def restart(self, when: float, number: int) -> None:
        self.at(when, lambda site, client: restart(site, site.controls[number]))

    def read_from(self, when: float, until: float) -> None:
        self.at(when, lambda site, client: client.read_on(READ_EVERY, until))

    def next(self, name: int) -> int:
        self.versions[name] += self.draw.choice((1, 1, 3))
        return self.versions[name]


def upsert(name: int, ver: int, timeout: float = 1.0) -> dict[str, Any]:
    """An order that sets one route."""
    return {"Upsert": {"Routes": [route(f"p{name}", ver, f"/p{name}/", "idempotent", "shop", timeout + ver)]}}


def drop(name: int, ver: int) -> dict[str, Any]:
    return {"Del": {"Routes": [{"Name": f"p{name}", "Ver": f"{ver:08x}"}]}}


def pair(name: int, ver: int, other: int, other_ver: int) -> dict[str, Any]:
    """An order that sets two routes."""
    routes = [upsert(n, v)["Upsert"]["Routes"][0] for n, v in ((name, ver), (other, other_ver))]
    return {"Upsert": {"Routes": routes}}


# One number, one order ------------------------------------------------------------------------------


def two_operators(script: Script, at: float) -> None:
    """Other content under one version, at two nodes in the same moment or nearly."""
    draw, name = script.draw, script.draw.randrange(NAMES)
    ver = script.next(name)
    for place, timeout in enumerate((1.25, 1.75)):
        later = draw.choice((0.0, 0.0, 0.001, 0.02)) * place
        node = draw.randrange(3) + place
        call = upsert(name, ver, timeout)
        script.order(at + later, call, "race", node)


def drop_and_upsert(script: Script, at: float) -> None:
    """Both under one version."""
    name = script.draw.randrange(NAMES)
    ver = script.next(name)
    for place, call in enumerate((upsert(name, ver), drop(name, ver))):
        node = script.draw.randrange(3) + place
        script.order(at, call, "race", node)


def one_order_everywhere(script: Script, at: float) -> None:
    """The same order at all nodes."""
    name = script.draw.randrange(NAMES)
    call = upsert(name, script.next(name))
    for node in range(3):
        script.order(at, call, "proper", node)


def repeated(script: Script, at: float) -> None:
    """An order, and the same again later at other nodes: after restarts, snapshots and overtaking changes."""
    draw, name = script.draw, script.draw.randrange(NAMES)
    other = (name + 1) % NAMES
    if draw.random() < 0.3:
        call = pair(name, script.next(name), other, script.next(other))
    elif draw.random() < 0.3:
        call = drop(name, script.next(name))
    else:
        call = upsert(name, script.next(name))
    script.order(at, call)
    for _ in range(3):
        script.order(at + draw.choice((0.01, 0.05, 0.3, 1.0, 3.0, 6.0)), call)
    if draw.random() < 0.4:
        newer = upsert(name, script.next(name))
        script.order(at + draw.uniform(0.0, 2.0), newer)


def eight_at_once(script: Script, at: float) -> None:
    for place in range(UNDER_WAY):
        name = place % NAMES
        call = upsert(name, script.next(name))
        script.order(at, call, "proper", place)


def through_a_follower(script: Script, at: float) -> None:
    """Orders that a follower hands on, while the leader changes in between."""
    name = script.draw.randrange(NAMES)
    call = upsert(name, script.next(name))
    lead = script.draw.uniform(0.0, 0.03)

    def send(site: Site, client: ControlClient) -> None:
        followers = [n for n, control in enumerate(site.controls) if not control.leads]
        client.order(call, "proper", script.draw.choice(followers))

    script.at(at, send)
    script.at(at + lead, lambda site, client: restart(site, site.leader()))


ORDER_DEEDS = (
    two_operators,
    drop_and_upsert,
    one_order_everywhere,
    repeated,
    eight_at_once,
    through_a_follower,
)
ORDER_FAULTS = (
    "kill-control",
    "freeze-control",
    "cut-control",
    "deaf-control",
    "mute-control",
    "reset-control",
    "power-control",
    "hang-disk",
)


def orders_day(seed: int) -> Played:
    """Orders under one number while leaders change."""
    draw = random.Random(seed ^ 0x0DDE)
    script = Script(seed, lost=draw.choice((0.0, 0.1, 0.3)))
    script.read_from(1.5, 15.0)
    faults, at = list[Fault](), FIRST
    while at < 11.0:
        draw.choice(ORDER_DEEDS)(script, at)
        if draw.random() < 0.35:
            last = draw.choice((0.1, 0.4, 1.0))
            strikes = at + draw.choice((-0.01, 0.001, 0.004, 0.01, 0.02, 0.05))
            faults.append(
                Fault(round(strikes, 4), draw.choice(ORDER_FAULTS), draw.choice((-1, -1, 0, 1, 2)), last)
            )
            at += last
        at += draw.uniform(0.1, 0.7)
    return _play(seed, script, 13.0, faults)


# Cut off for twenty seconds -------------------------------------------------------------------------

TARGETS = ("leader", "follower", "seed", "last read", "learner")


def cut_day(seed: int, waits: bool = False) -> Played:
    """One control node is cut off for twenty seconds, and orders go on. `waits`: judges these, too."""
    draw = random.Random(seed ^ 0xC07)
    script = Script(seed, lost=draw.choice((0.0, 0.05)))
    at, target = FIRST + draw.uniform(0.5, 1.0), TARGETS[seed % len(TARGETS)]
    place = seed // len(TARGETS)
    way, mode = WAYS[place % len(WAYS)], MODES[place // len(WAYS) % len(MODES)]
    restarts = draw.choice(((), (), (draw.uniform(0.1, 19.0),), (2.0, 9.0, 19.5)))
    cut = Cut(at, CUT_S, way, mode, restarts)

    def strike(site: Site, client: ControlClient) -> None:
        control = target_of(site, target, draw)
        client.site.say("target", control.ip, kind=target, way=way, mode=mode)
        cut_off(site, control, cut)

    script.at(at, strike)
    if draw.random() < 0.4:  # the one that returns may be the first to stand
        back = at + CUT_S + draw.choice((-0.05, 0.02, 0.1, 0.3))
        script.at(back, lambda site, client: restart(site, site.leader(), away=1.0))
    script.read_from(1.5, at + CUT_S + 4.0)
    for when in _moments(draw, at, at + CUT_S + 3.0):
        draw.choice(ORDER_DEEDS[:-1])(script, when)
    checks = (order_checks.waits,) if waits else ()
    controls = CONTROLS + SPARES if target == "learner" else CONTROLS
    return _play(seed, script, at + CUT_S + 4.0, [], checks, controls)


def target_of(site: Site, target: str, draw: random.Random) -> ControlNode:
    leader = site.leader()
    if target == "leader":
        return leader
    if target == "follower":
        return draw.choice([control for control in site.controls if control is not leader])
    if target == "seed":
        return site.controls[0]
    if target == "learner":
        return site.controls[-1]
    reads = [event.who for event in site.history.of("read")]
    return next((c for c in site.controls if reads and c.ip == reads[-1]), leader)


def _moments(draw: random.Random, since: float, until: float) -> list[float]:
    """Around the cut's begin and end, and between."""
    near = [end + draw.choice((-0.01, 0.001, 0.01, 0.1, 0.3)) for end in (since, since + CUT_S)]
    at, between = since + 0.5, list[float]()
    while at < until:
        between.append(at)
        at += draw.uniform(0.3, 1.6)
    return near + between


FED_CUT, FED_ALONE, FED_HEALED = 3.0, 6.0, 9.0  # seconds
FED = 0, 3  # numbers of the sidecar that restarts, and of the one that feeds it something old


def fed_day(seed: int) -> Played:
    """A sidecar restarts, sees only a control node that is cut off from the others, then none at all, and is
    fed by other sidecars, some of them as stale as that node.

    `ready` in the history: with which version it became ready, and which was acknowledged by then.
    """
    draw = random.Random(seed ^ 0xFED)
    script = Script(seed, lost=0.0)
    stale: list[ControlNode] = []

    def cut(site: Site, client: ControlClient) -> None:
        stale.append(site.leader() if seed % 2 else draw.choice([c for c in site.controls if not c.leads]))
        site.say("struck", stale[0].ip, kind="cut from controls", state=stale[0].state)
        others = [control.ip for control in site.controls if control is not stale[0]]
        sidecars = [site.sidecars[number].ip for number in FED]
        _cut_pairs(site, [stale[0].ip, *sidecars], others, FED_HEALED - FED_CUT, ["core", *sidecars])

    def leave_alone(site: Site, client: ControlClient) -> None:
        alone = site.sidecars[FED[0]].ip
        others = [stale[0].ip]
        if seed % 4 < 2:  # only the stale sidecar can feed it
            others += [s.ip for n, s in enumerate(site.sidecars) if n not in FED]
        _cut_pairs(site, [alone], others, FED_HEALED - FED_ALONE + draw.choice((0.0, 1.0)), [alone])

    def restart_sidecar(site: Site, client: ControlClient) -> None:
        sidecar = site.sidecars[FED[0]]
        site.say("trouble", sidecar.ip, kind="restart")
        sidecar.stop()
        site.loop.after(0.3, site.loop.world, sidecar.start)
        site.loop.after(0.4, site.loop.world, _until_ready, site, sidecar.ip)
        site.loop.after(0.4, site.loop.world, lambda: site.say("well", sidecar.ip, kind="restart"))

    script.at(FED_CUT, cut)
    for when in (2.5, 4.2, 4.8, 7.0):
        script.order(when, upsert(0, script.next(0)))
    script.at(5.0, restart_sidecar)
    script.at(FED_ALONE, leave_alone)
    script.order(FED_HEALED + draw.uniform(-0.05, 0.05), upsert(0, script.next(0)))
    return _play(seed, script, FED_HEALED + 3.0, [], (_ready_with_newest,))


def _cut_pairs(site: Site, ips: list[str], others: list[str], seconds: float, scopes: list[str]) -> None:
    """Each of `ips` from each of `others`, both ways."""
    pairs = [pair for ip in ips for other in others for pair in ((ip, other), (other, ip))]
    new = [pair for pair in pairs if pair not in site.network.cuts]
    for one in new:
        site.network.cut(*one)
    for scope in scopes:
        site.say("trouble", scope, kind="cut")

    def healed() -> None:
        site.network.heal(new)
        for scope in scopes:
            site.say("well", scope, kind="cut")

    site.loop.after(seconds, site.loop.world, healed)


def _until_ready(site: Site, ip: str) -> None:
    sidecar = next(one for one in site.sidecars if one.ip == ip)
    front = sidecar.front
    acked = [order for order in linearizability.operations(site.history)[0] if order.status == 200]
    newest = max((row.ver for order in acked for row in order.rows if row.key[1] == "p0"), default=0)
    held = front.controls.replica._rows.get((ROUTES, "p0")) if front is not None else None
    state = {"held": held.version if held is not None else 0, "acked": newest}
    if front is not None and front.table is not None and front.controls.replica.index and not front.ready():
        site.say("fed", ip, **state)
    if front is not None and front.ready():
        site.say("ready", ip, **state)
        return
    site.loop.after(0.02, site.loop.world, _until_ready, site, ip)


def _ready_with_newest(history: History) -> list[str]:
    return [
        f"READY: {e.who} at {e.at:.3f} with {e.data['held']:08x}, acknowledged is {e.data['acked']:08x}"
        for e in history.of("ready")
        if e.data["held"] < e.data["acked"]
    ] + ([] if next(history.of("ready"), None) else ["READY: never"])


# A second loss after a repair -----------------------------------------------------------------------

REPAIRS = ("wipe", "gone", "roll")


def second_loss_day(seed: int) -> Played:
    """One machine is lost for good or comes back empty, or all restart in turn; then another is lost."""
    draw = random.Random(seed ^ 0x10557)
    script = Script(seed, lost=0.0)
    kind, at = REPAIRS[seed % len(REPAIRS)], FIRST
    second = at + (_roll(script, at) if kind == "roll" else 0.5) + SYNC_S
    first = draw.randrange(3)
    if kind != "roll":
        script.at(at, lambda site, client: lose(site, _voting(site, first), for_good=kind == "gone"))
    away = draw.choice((1.0, 3.0, 8.0))

    def lose_another(site: Site, client: ControlClient) -> None:
        running = [c for c in site.controls if c.machine.running and _votes(c)]
        target = site.leader() if draw.random() < 0.5 else draw.choice(running)
        _lose_for_a_while(site, target, draw.choice(("power", "power", "cut", "freeze", "wipe")), away)

    script.at(second, lose_another)
    end = second + 8.0
    script.read_from(1.5, end)
    for when in _moments(draw, at, end - 1.0):
        if when < end:
            draw.choice(ORDER_DEEDS[:-1])(script, when)
    return _play(seed, script, end + 2.0, [], controls=CONTROLS + SPARES)


def _lose_for_a_while(site: Site, target: ControlNode, kind: str, away: float) -> None:
    if kind == "cut":
        cut_off(site, target, Cut(site.loop.now, away))
        return
    site.say("struck", target.ip, kind=f"second {kind}", state=target.state)
    site.say("trouble", "core", kind="second")
    if kind == "freeze":
        site.loop.freeze(target.machine)
    else:
        target.stop(power=True)
    if kind == "wipe":
        target.disk.wipe()

    def back() -> None:
        if kind == "freeze":
            site.loop.thaw(target.machine)
        else:
            target.start()
        site.say("well", "core", kind="second")

    site.loop.after(away, site.loop.world, back)


def _votes(control: ControlNode) -> bool:
    return control.server is not None and control.server.raft.name in control.server.raft.voters


def _voting(site: Site, number: int) -> ControlNode:
    """The so many-th of the voters, or the leader."""
    voters = [control for control in site.controls if _votes(control)]
    return voters[number % len(voters)] if voters else site.leader()


def lose(site: Site, control: ControlNode, for_good: bool) -> None:
    """Its machine ends with its disk; it is back empty at once, or never."""
    site.say("struck", control.ip, kind="gone" if for_good else "wipe", state=control.state)
    site.say("trouble", "core", kind="first")
    control.stop(power=True)
    control.disk.wipe()

    def over() -> None:
        if not for_good:
            control.start()
        site.say("well", "core", kind="first")

    site.loop.after(0.5, site.loop.world, over)


def _roll(script: Script, at: float, every: float = 2.0) -> float:
    """All founders are restarted in turn; gives how long that takes."""
    for place in range(len(CONTROLS)):
        script.restart(at + place * every, place)
    return every * len(CONTROLS)


# Hundreds of changes --------------------------------------------------------------------------------

ENDS = ("restart", "wipe", "replace", "power")
CHANGES, CHANGE_EVERY = 120, 0.04
BIG_LIST = 40  # routes, all of which each change brings


def many_changes_day(seed: int, changes: int = CHANGES, routes: int = BIG_LIST) -> Played:
    """So many changes of a big list of routes; then a member is restarted, wiped or replaced, or all power
    is lost. `caught up` in the history: when each node held the newest again.
    """
    draw = random.Random(seed ^ 0x4C0)
    script = Script(seed, lost=0.0)
    end, struck = ENDS[seed % len(ENDS)], FIRST + changes * CHANGE_EVERY + 1.0
    for number in range(changes):
        script.order(FIRST + number * CHANGE_EVERY, big_list(routes, number + 1))

    def strike(site: Site, client: ControlClient) -> None:
        if end == "power":
            site.say("trouble", "core", kind="power")
            for control in site.controls:
                site.say("struck", control.ip, kind="power", state=control.state)
                control.stop(power=True)
                site.loop.after(0.5, site.loop.world, control.start)
            site.loop.after(0.5, site.loop.world, lambda: site.say("well", "core", kind="power"))
            targets = list(site.controls)
        else:
            target = site.leader() if draw.random() < 0.5 else draw.choice(site.controls)
            targets = [target]
            if end == "restart":
                restart(site, target, power=True)
            else:
                lose(site, target, for_good=False)
        site.say("end of changes", "core", kind=end)
        for control in targets:
            site.loop.after(0.6, site.loop.world, _until_it_serves, site, control, site.loop.now)

    script.at(struck, strike)
    script.read_from(1.5, struck + 6.0)
    script.order(struck + 1.0, big_list(routes, changes + 1))
    return _play(seed, script, struck + 7.0, [], (_caught_up,))


def big_list(routes: int, ver: int) -> dict[str, Any]:
    """All routes of a big list in a new version."""
    items = [route(f"big-{n}", ver, f"/big-{n}/", "idempotent", "shop", 1.0 + ver) for n in range(routes)]
    return {"Upsert": {"Routes": items}}


def _caught_up(history: History) -> list[str]:
    """Each machine that was struck holds the newest within SYNC_S, and votes."""
    caught = {event.who: event.data["took"] for event in history.of("caught up")}
    struck = {event.who for event in history.of("struck")}
    return [
        f"CAUGHT UP: {who} after {caught.get(who, float('inf')):.2f} s"
        for who in sorted(struck)
        if caught.get(who, float("inf")) > SYNC_S
    ]


def _until_it_serves(site: Site, control: ControlNode, since: float) -> None:
    """Says once its own state holds the newest that was acknowledged, and it votes."""
    server = control.server
    if (
        server is not None
        and server.is_up_to_date(site.loop.now + control.machine.offset)
        and _votes(control)
    ):
        site.say("caught up", control.ip, took=site.loop.now - since)
        return
    site.loop.after(0.02, site.loop.world, _until_it_serves, site, control, since)


# Wrong caller, sent twice ---------------------------------------------------------------------------

LINK_FAULTS = (
    "reset-sidecar",
    "kill-sidecar",
    "freeze-sidecar",
    "cut-sidecar",
    "deaf-sidecar",
    "mute-sidecar",
    "pair-sidecar",
    "claim-kill",
    "sent-kill",
    "server-crash",
    "server-replaced",
)


def callers_day(seed: int) -> Played:
    """Links between sidecars break while calls of all kinds are under way, and keys are asked for again."""
    draw = random.Random(seed ^ 0xCA11)
    faults, at = list[Fault](), FIRST
    while at < 8.0:
        last = draw.choice((0.05, 0.2, 0.5, 1.5))
        faults.append(Fault(round(at, 4), draw.choice(LINK_FAULTS), draw.randrange(6), last))
        at += draw.uniform(0.05, 0.5)
    return play(seed, faults, Day(seconds=9.0, rate=6.0, every=5.0, quiet=5.2, make_network=RefusingNetwork))


# Play -----------------------------------------------------------------------------------------------


def _play(
    seed: int,
    script: Script,
    seconds: float,
    faults: list[Fault],
    checks: tuple[Check, ...] = (),
    controls: tuple[str, ...] = CONTROLS,
) -> Played:
    day = Day(
        seconds=seconds,
        rate=0.2,
        every=1e6,
        quiet=5.2,
        mood=0.0,
        deeds=tuple(script.deeds),
        controls=controls,
        make_network=RefusingNetwork,
    )
    with mock.patch.object(people, "EARLY", 0.0):
        played = play(seed, faults, day)
    more = [text for check in (order_checks.violations, *checks) for text in check(played.history)]
    return played._replace(broken=played.broken + more)


def cut_or_fed_day(seed: int) -> Played:
    """Of five days one of a sidecar that is fed by others."""
    return fed_day(seed // 5) if seed % 5 == 4 else cut_day(seed - seed // 5)


POINTS = (
    Point(CUT_OFF, cut_or_fed_day),
    Point(ONE_ORDER, orders_day),
    Point(SECOND_LOSS, second_loss_day),
    Point(MANY_CHANGES, many_changes_day),
    Point(RIGHT_CALLER, callers_day),
)
