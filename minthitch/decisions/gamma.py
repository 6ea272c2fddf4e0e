"""Latency curves: the Gamma distribution with a given mean and a given share of answers in time."""

from __future__ import annotations

import math

SHAPE_MAX = 64  # largest shape k of a Gamma distribution; a larger one is practically a step at the mean
GAMMA_ERROR = 1e-12  # relative error at which the series or the continued fraction ends
GAMMA_TAIL = -40.0  # above the mean, below this logarithm of the leading factor, the upper part is negligible
REFERENCE = 2.0  # reference time r, as a multiple of the call's expected latency


def gammainc(a: float, x: float) -> float:
    """The regularized lower incomplete gamma function P(a, x), for a >= 1 and x >= 0.

    Series for x < a + 1, continued fraction (modified Lentz) above. Not from scipy.special: importing that
    for one function takes 0.2 s of CPU and 33 MB at each start.
    """
    if x <= 0.0:
        return 0.0
    if a == 1.0:
        return -math.expm1(-x)
    log_factor = a * math.log(x) - x - math.lgamma(a)
    if x < a + 1.0:
        total = term = 1.0 / a
        n = a
        while term > total * GAMMA_ERROR:
            n += 1.0
            term *= x / n
            total += term
        return min(1.0, total * math.exp(log_factor))
    if log_factor < GAMMA_TAIL:  # the upper part is below any error that matters
        return 1.0
    b = x + 1.0 - a
    c, d = math.inf, 1.0 / b
    h, n, step = d, 0.0, 2.0
    while abs(step - 1.0) > GAMMA_ERROR:
        n += 1.0
        weight = n * (a - n)
        b += 2.0
        d = 1.0 / (weight * d + b)
        c = b + weight / c
        step = c * d
        h *= step
    return 1.0 - math.exp(log_factor) * h


def fit_shape(ratio: float, share: float, shape_max: int = SHAPE_MAX) -> float | None:
    """The least k >= 1 with P(k, k * ratio) = share, where ratio = r / mean; None if there is none.

    `shape_max` if the value rises with k but does not reach the share by then.
    """
    error = [gammainc(float(k), k * ratio) - share for k in range(1, shape_max + 1)]
    if error[0] == 0.0:
        return 1.0
    low = next((float(k) for k in range(1, shape_max) if error[k - 1] * error[k] <= 0.0), 0.0)
    if not low:
        return float(shape_max) if error[0] < 0.0 < error[-1] - error[0] else None
    high, rising = low + 1.0, error[int(low) - 1] < 0.0
    while high - low > 1e-6:
        middle = (low + high) / 2
        if (gammainc(middle, middle * ratio) < share) == rising:
            low = middle
        else:
            high = middle
    return (low + high) / 2


def fit_curve(mean: float, share: float, shape_max: int = SHAPE_MAX) -> tuple[float, float]:
    """(shape, mean) of the Gamma distribution with this mean and P(R <= REFERENCE) = share.

    Without such a shape k >= 1 the result is an exponential. If the share is below that of the exponential
    with this mean, as when calls fail, it is fitted to the share alone (the paper's fit to one figure);
    otherwise it has this mean.
    """
    share = min(max(share, 1e-3), 1 - 1e-6)
    shape = fit_shape(REFERENCE / mean, share, shape_max)
    if shape is not None:
        return shape, mean
    return 1.0, max(mean, -REFERENCE / math.log1p(-share))
