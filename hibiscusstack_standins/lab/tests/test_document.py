"""The page on scenario files."""

from pathlib import Path

from hibiscusstack_standins.lab.document import describe_scenarios


def test_the_page_is_as_generated():
    assert Path("docs/operators/lab-scenarios.md").read_text() == describe_scenarios()
