"""Lookup of the route of a request."""

import pytest

from hibiscusstack.pool.routes import Route, RouteTable

TABLE = RouteTable(
    3,
    [
        Route("all", "a.example", "/", "p"),
        Route("deep", "a.example", "/x/y/", "p"),
        Route("x", "A.Example", "/x/", "p"),
        Route("other", "b.example", "/x/", "p"),
    ],
)


@pytest.mark.parametrize(
    ("host", "path", "name"),
    [
        ("a.example", "/x/y/1", "deep"),
        ("a.example", "/x/y", "x"),
        ("a.example", "/x", "all"),
        ("A.EXAMPLE", "/x/1", "x"),
        ("b.example", "/x/", "other"),
        ("b.example", "/y/", None),
        ("a.example", "", None),
        ("a.example", "/X/1", "all"),
        ("example", "/x/", None),
    ],
)
def test_the_longest_matching_prefix_of_the_host_wins(host, path, name):
    route = TABLE.find(host, path)
    assert (route.name if route else None) == name


def test_length_of_a_table_and_lookup_in_an_empty_one():
    assert len(TABLE) == 4 and len(RouteTable(1, [])) == 0
    assert RouteTable(1, []).find("a.example", "/") is None
