"""Tests of reading settings files, valid and invalid."""

from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from hibiscusstack.exceptions import SettingsError
from hibiscusstack.host.dialing import PeerAddress
from hibiscusstack.settings import describe_settings, parse_settings, read_settings

VALID_SETTINGS = """\
[host]
name = h1
data_centre = dc1
address = 127.0.0.1

[platform]
log_url = http://127.0.0.1:8500
list_url = http://127.0.0.1:8500/

[peers]
seeds = 127.0.0.1:7400,
    [::1]:7401
"""


def faults_of(text):
    result = parse_settings(text, "host.ini")
    assert result.is_error()
    return [str(fault) for fault in result.error.faults]


def test_missing_keys_get_their_defaults():
    parsed = parse_settings(VALID_SETTINGS, "host.ini").ok
    assert parsed.host.peer_port == 7400
    assert parsed.platform.list_url == "http://127.0.0.1:8500"
    expected = (PeerAddress("127.0.0.1", 7400), PeerAddress("::1", 7401))
    assert parsed.peers.seeds == expected


def test_all_faults_are_reported_at_once():
    text = (
        VALID_SETTINGS.replace("name = h1", "name = h 1\nport = 5")
        + "silence_ms = 0\n[cash]\n"
    )
    assert faults_of(text) == [
        "host.ini [cash]: expected one of the sections host, caller, operator,"
        " platform, peers, targets, limits, telemetry, found 'cash'",
        "host.ini [host] port: expected one of the keys name, data_centre, address,"
        " peer_port, drain_timeout_ms, leave_ms, found '5'",
        "host.ini [host] name: expected 1 to 64 letters, digits, '.', '_' or '-',"
        " found 'h 1'",
        "host.ini [peers] silence_ms: expected a whole number from 1 to 3600000,"
        " found '0'",
    ]


def test_missing_required_key_is_reported():
    faults = faults_of(VALID_SETTINGS.replace("address = 127.0.0.1", ""))
    assert faults == [
        "host.ini [host] address: expected an IP address, found 'no value'"
    ]


@pytest.mark.parametrize(
    ("old", "new"),
    [
        ("address = 127.0.0.1", "address = localhost"),
        ("address = 127.0.0.1", "address = 127.0.0.1\naddress = 127.0.0.2"),
        ("127.0.0.1:7400", "127.0.0.1:0"),
        ("127.0.0.1:7400", "127.0.0.1"),
        ("[::1]:7401", "::1:7401"),
        ("http://127.0.0.1:8500/", "http://platform.example/"),
        ("http://127.0.0.1:8500/", "file:///log"),
        ("http://127.0.0.1:8500/", "http://127.0.0.1:99999"),
        ("name = h1", "name = h1\npeer_port = 65536"),
        ("name = h1", "name = h1\npeer_port = ７４００"),
        ("[peers]", "[peers]\nheartbeat_ms = 2000"),
        ("[peers]", "[peers]\nfar_heartbeat_ms = 9000"),
        ("[host]", "[host"),
        ("[peers]", "[telemetry]\nlog_level = loud\n[peers]"),
    ],
)
def test_invalid_value_is_reported_once(old, new):
    assert len(faults_of(VALID_SETTINGS.replace(old, new, 1))) == 1


@settings(max_examples=300, derandomize=True, deadline=None, database=None)
@given(st.text(max_size=100), st.integers(0, len(VALID_SETTINGS)))
def test_any_text_gives_settings_or_typed_faults(inserted, place):
    result = parse_settings(
        VALID_SETTINGS[:place] + inserted + VALID_SETTINGS[place:], "host.ini"
    )
    assert result.is_ok() or isinstance(result.error, SettingsError)


@pytest.mark.parametrize("content", [b"\xff\xfe", b"x" * 2_000_000, None])
def test_unreadable_file_is_reported(tmp_path, content):
    path = tmp_path / "host.ini"
    if content is not None:
        path.write_bytes(content)
    faults = read_settings(path).error.faults
    assert [fault.where for fault in faults] == [str(path)]


def test_the_page_on_settings_is_current():
    page = Path(__file__).parents[3] / "docs" / "SETTINGS.md"
    assert page.read_text() == describe_settings()
