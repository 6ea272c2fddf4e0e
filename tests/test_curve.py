"""Curve fit and set search, against the paper's figures, degenerate inputs and brute force."""

from __future__ import annotations

import random
from itertools import combinations
from math import prod
from typing import Any

import pytest
from scipy.special import gammainc

from minthitch import interface as api
from minthitch import policy
from minthitch.decisions import choice
from minthitch.policy import cheapest_set, fit_curve, fit_shape


@pytest.mark.parametrize("a", [1.0, 1.0001, 1.7, 2.0, 3.0, 7.3, 20.0, 33.33, 63.9, 64.0])
def test_the_incomplete_gamma_function_is_scipys(a: float) -> None:
    last = 0.0
    for x in [a * 10 ** (e / 20) for e in range(-80, 41)] + [0.0, a, a + 1.0, a + 1.0 - 1e-9, 1e6, 1e300]:
        assert policy.gammainc(a, x) == pytest.approx(float(gammainc(a, x)), rel=1e-9, abs=1e-12)
    for i in range(1000):  # the search for a shape relies on it never falling
        value = policy.gammainc(a, i * a / 200)
        assert 0.0 <= value <= 1.0 and value >= last - 1e-12
        last = value


def test_the_curve_cache_is_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(choice, "MAX_CURVES", 5)
    monkeypatch.setattr(choice, "fit_curve", lambda mean, share, most: (1.0, mean))
    node = policy.Balancer(api.Settings(classes=(api.RequestClass("a", api.SECOND, api.SECOND),)), 1)
    server = policy.Server(api.ServerEntry(1), 0, 1.0, api.SECOND)
    for i in range(40):
        server.evidence.note(0, 0.1 + i, True, False)
        node._candidate(0, 1.0, server)
        assert len(node.curves) <= 5


def test_fit_reproduces_the_papers_worked_value() -> None:
    assert fit_shape(100 / 66, 0.81) == pytest.approx(2.17116, abs=1e-5)


@pytest.mark.parametrize(("mean", "limit", "share", "shape"), [(8, 10, 0.92, 34), (7.2, 8, 0.70, 18)])
def test_fit_comes_close_to_the_papers_rounded_examples(
    mean: float, limit: float, share: float, shape: float
) -> None:
    fitted = fit_shape(limit / mean, share)
    assert fitted is not None
    assert fitted == pytest.approx(shape, rel=0.05)


def test_the_papers_set_example() -> None:
    """S4 and S5 reach 0.96 within 9 s at a price of 20, half of S1's (so do S2 and S4, a tie)."""

    def chance(mean: float, limit: float, share: float) -> float:
        shape = fit_shape(limit / mean, share, 256)
        assert shape is not None
        return float(gammainc(shape, shape * 9 / mean))

    second, fourth = chance(8, 10, 0.92), chance(7.2, 8, 0.70)
    assert second == pytest.approx(0.78, abs=0.01)
    assert fourth == pytest.approx(0.86, abs=0.01)
    candidates: list[Any] = [
        (10, fourth, "S4"),
        (10, fourth, "S5"),
        (10, second, "S2"),
        (20, second, "S3"),
        (40, 0.96, "S1"),
    ]
    chosen: list[Any] = cheapest_set(candidates, 0.96, 3)
    assert [c[2] for c in chosen] == ["S4", "S5"]


def test_the_papers_first_service_has_a_second_root_above_one() -> None:
    """The paper lists k = 0.01 for S1; the search upward from 1 that it describes finds the other root."""
    assert fit_shape(9 / 8, 0.96) == policy.SHAPE_MAX
    found = fit_shape(9 / 8, 0.96, 512)
    assert found is not None
    assert gammainc(found, found * 9 / 8) == pytest.approx(0.96, abs=1e-6)


def test_two_roots_give_the_lower_one_above_one() -> None:
    """Just above r = mean the CDF at r falls with k before it rises: the first crossing counts."""
    found = fit_shape(1.02, 0.60)
    assert found is not None
    assert 1 <= found < 10
    assert gammainc(found, found * 1.02) == pytest.approx(0.60, abs=1e-6)


@pytest.mark.parametrize("ratio", [1e-6, 0.1, 0.5, 0.99, 1.0, 1.01, 2.0, 10.0, 1e6])
@pytest.mark.parametrize("share", [0.0, 1e-9, 0.01, 0.5, 0.632, 0.9, 1 - 1e-9, 1.0])
def test_every_case_of_the_fit_is_a_proper_curve(ratio: float, share: float) -> None:
    shape, mean = fit_curve(policy.REFERENCE / ratio, share)
    assert 1 <= shape <= policy.SHAPE_MAX
    assert mean >= policy.REFERENCE / ratio
    values = [float(gammainc(shape, shape * t / mean)) for t in (0.01, 0.1, 1.0, 10.0)]
    assert all(0 <= v <= 1 for v in values)
    assert values == sorted(values)


def test_a_share_below_the_exponential_gives_the_exponential_through_the_share() -> None:
    """Calls that fail fast leave the mean low: the fit must then use the share alone."""
    shape, mean = fit_curve(0.1, 0.3)
    assert shape == 1.0
    assert gammainc(shape, policy.REFERENCE / mean) == pytest.approx(0.3)


def brute_force(candidates: list[Any], target: float, most: int) -> float | None:
    prices = [
        sum(c[0] for c in group)
        for size in range(1, most + 1)
        for group in combinations(candidates, size)
        if 1 - prod(1 - c[1] for c in group) >= target
    ]
    return min(prices, default=None)


def test_set_search_is_exact() -> None:
    rng = random.Random(7)
    found = 0
    for _ in range(1500):
        size = rng.randint(1, 9)
        prices = (lambda: rng.randint(1, 4)) if rng.random() < 0.5 else (lambda: rng.uniform(1, 4))
        candidates: list[Any] = [(prices(), round(rng.random(), rng.choice([1, 6])), i) for i in range(size)]
        target, most = rng.uniform(0.3, 1.0), rng.randint(1, 3)
        chosen: list[Any] = cheapest_set(candidates, target, most)
        best = brute_force(candidates, target, most)
        if best is None:
            assert len(chosen) == 1
            assert chosen[0][1] == max(c[1] for c in candidates)
        else:
            found += 1
            assert len({c[2] for c in chosen}) == len(chosen) <= most
            assert 1 - prod(1 - c[1] for c in chosen) >= target
            assert sum(c[0] for c in chosen) == pytest.approx(best)
    assert 300 < found < 1400
