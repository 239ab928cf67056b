"""Tests of the selector parser."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hibiscusstack.dispatch.policy.selectors import parse_selector
from hibiscusstack.exceptions import InvalidInputError


@pytest.mark.parametrize(
    ("text", "labels", "expected"),
    [
        ("", {}, True),
        ("zone = north", {"zone": "north"}, True),
        ("zone == north", {"zone": "south"}, False),
        ("zone != north", {}, True),
        ("zone != north", {"zone": "north"}, False),
        ("kind in (a, b)", {"kind": "b"}, True),
        ("kind not in (a, b)", {"kind": "b"}, False),
        ("kind not in (a,b)", {}, True),
        ("gpu", {"gpu": ""}, True),
        ("gpu", {}, False),
        ("!gpu", {}, True),
        ("in = x", {"in": "x"}, True),
        ("a=1,b=2", {"a": "1", "b": "3"}, False),
    ],
)
def test_selector_matches(text, labels, expected):
    assert parse_selector(text).matches(labels) is expected


@pytest.mark.parametrize(
    "text", ["a =", "a in ()", "a in (b", "a, ", ",a", "a b", "= b", "a in (b,)", "!"]
)
def test_malformed_text_is_refused_with_its_location(text):
    with pytest.raises(InvalidInputError) as raised:
        parse_selector(text, "class x.work")
    assert raised.value.where == "class x.work"


@given(st.text(alphabet="ab!=,() in", max_size=40))
def test_any_text_parses_or_is_refused(text):
    try:
        selector = parse_selector(text)
    except InvalidInputError:
        return
    assert selector.matches({"a": "b"}) in (True, False)


def test_text_beyond_the_limit_is_refused():
    with pytest.raises(InvalidInputError):
        parse_selector("a" * 5_000)
