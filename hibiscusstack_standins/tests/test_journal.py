"""Tests of the journal of starts."""

import json

from hibiscusstack_standins.journal import StartJournal


def test_each_start_is_in_the_file_at_once(tmp_path):
    path = tmp_path / "starts.jsonl"
    for number in range(2):
        StartJournal(path).record("t1", f"j/{number}/1")
    lines = [json.loads(line) for line in path.read_text().splitlines()]
    assert [line["task_id"] for line in lines] == ["j/0/1", "j/1/1"]
    assert lines[0]["at_ms"] <= lines[1]["at_ms"]
