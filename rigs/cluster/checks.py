"""The rules, read from a history alone. Pure; each breach is one line."""

from __future__ import annotations

import math
from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping, Sequence

from rigs.cluster.history import Event, want_of

ANSWERS = frozenset(("served", "refused", "failed"))
SLACK = 0.5  # seconds that a busy machine may add to an answer's way to its client


def breaches(history: Sequence[Event], deadlines: Mapping[str, float], unsafe: frozenset[str]) -> list[str]:
    """Each rule that the history shows broken, for classes with these deadlines in seconds."""
    return [
        *_answers(history, deadlines, excused(history, deadlines)),
        *_effects(history, unsafe),
        *_pushed(history),
    ]


def excused(history: Sequence[Event], deadlines: Mapping[str, float]) -> frozenset[str]:
    """Wants whose node was away within their time, so that no answer can be owed."""
    spans: dict[tuple[str, str], list[list[float]]] = defaultdict(list)
    for event in history:
        if event.what == "away":
            spans[event.who, event.word].append([event.at, math.inf])
        elif event.what == "back":
            for span in spans[event.who, event.word]:
                span[1] = min(span[1], event.at)
    by_node: dict[str, list[list[float]]] = defaultdict(list)
    for (who, _), of_one in spans.items():
        by_node[who] += of_one
    return frozenset(
        e.call
        for e in history
        if e.what == "asked"
        and any(e.at <= until and since <= e.at + deadlines[e.cls] for since, until in by_node[e.who])
    )


def _answers(history: Sequence[Event], deadlines: Mapping[str, float], dead: frozenset[str]) -> Iterable[str]:
    asked = {event.call: event for event in history if event.what == "asked"}
    heard: dict[str, list[Event]] = defaultdict(list)
    for event in history:
        if event.what == "heard":
            heard[event.call].append(event)
    for call, want in asked.items():
        answers = heard.get(call, [])
        if len(answers) != 1:
            yield f"{call}: {len(answers)} ends in place of one"
        elif call not in dead and answers[0].word not in ANSWERS:
            yield f"{call}: {answers[0].word}, though its node was up and linked"
        elif answers[0].at > want.at + deadlines[want.cls] + SLACK and call not in dead:
            yield f"{call}: answered {answers[0].at - want.at:.2f} s after it was asked"


def _effects(history: Sequence[Event], unsafe: frozenset[str]) -> Iterable[str]:
    """A call that a server took may have run. Refused means that it did not."""
    taken = [event.call for event in history if event.what == "took" and event.cls in unsafe]
    took = Counter(taken)
    for want, times in Counter(map(want_of, taken)).items():
        if times > 1:
            yield f"{want}: unsafe, taken {times} times"
    did = {event.call for event in history if event.what == "did"}
    for event in history:
        if event.what == "heard" and event.word == "refused" and took[event.call]:
            yield f"{event.call}: unsafe, taken, and told that it did not run"
        if event.what == "heard" and event.word == "served" and event.call not in did:
            yield f"{event.call}: served, and no server did it"


def _pushed(history: Sequence[Event]) -> Iterable[str]:
    for event in history:
        if event.what == "pushed over":
            yield f"{event.who}: cold, and pushed over"
