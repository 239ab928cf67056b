"""Means, spreads and paired differences."""

import pytest

from hibiscusstack_standins.lab.statistics import compare_paired, spread_of


def test_one_value_has_no_spread():
    spread = spread_of([4.0])
    assert (spread.mean, spread.deviation, spread.error) == (4.0, 0.0, 0.0)


def test_the_error_falls_with_the_root_of_the_count():
    few, many = spread_of([1.0, 3.0] * 2), spread_of([1.0, 3.0] * 200)
    assert many.error == pytest.approx(few.error / 10, rel=0.2)


def test_pairs_take_away_what_differs_between_seeds():
    first = [1.0, 5.0, 9.0, 13.0]
    difference = compare_paired(first, [value + 0.1 for value in first])
    assert difference.is_clear
    assert difference.low == pytest.approx(0.1)


def test_a_difference_that_changes_sign_is_not_clear():
    difference = compare_paired([0.0] * 6, [1.0, -1.0, 1.0, -1.0, 0.5, -0.5])
    assert difference.mean == 0.0
    assert not difference.is_clear


def test_the_same_values_give_the_same_interval():
    values = [0.3, 0.1, 0.7, -0.2]
    assert compare_paired([0.0] * 4, values) == compare_paired([0.0] * 4, values)
