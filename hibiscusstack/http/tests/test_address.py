"""Tests of addresses."""

import pytest

from hibiscusstack.http.address import parse_address


@pytest.mark.parametrize(
    "address",
    ["", "80", "10.0.0.1", "10.0.0.1:", "10.0.0.1:0", "10.0.0.1:65536", "a.b:80"]
    + ["10.0.0.1:+8", "10.0.0.1:\xb2", "::1:80", "[10.0.0.1]:80", "[::1]", "[x]:80"],
)
def test_what_is_no_address_is_refused(address):
    with pytest.raises(ValueError):
        parse_address(address)
