"""Line fits through measured points, and quantiles."""

from __future__ import annotations

import math

import pytest
from fleet_scale.line_fit import EqualPointsError, TooFewPointsError, fit_line, quantile


def test_a_fit_finds_the_slope_and_its_error() -> None:
    exact = fit_line([0, 1, 2, 3], [5, 7, 9, 11])
    assert (exact.slope, exact.intercept, exact.slope_error, exact.value_at(10)) == (2.0, 5.0, 0.0, 25.0)
    noisy = fit_line([0, 1, 2, 3], [0, 3, 0, 3])
    # Computed by hand: slope and intercept 0.6; sum of squared residuals 7.2; error sqrt(7.2 / 2 / 5).
    assert noisy.slope == pytest.approx(0.6)
    assert noisy.slope_error == pytest.approx(math.sqrt(0.72))
    assert exact.rises
    assert not noisy.rises
    with pytest.raises(TooFewPointsError):
        fit_line([1.0, 2.0], [1.0, 2.0])
    with pytest.raises(EqualPointsError):
        fit_line([1.0, 1.0, 1.0], [1.0, 1.0, 1.0])
    assert [quantile([1, 2, 3, 4], share) for share in (0.5, 0.99, 0.0)] == [2, 4, 1]
