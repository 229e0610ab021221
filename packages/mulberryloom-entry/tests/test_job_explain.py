"""The story of a job, from lines of several processes."""

import pathlib

from mulberryloom_entry.jobs import explain

LOGS = pathlib.Path(__file__).parents[3] / 'examples/logs/clm-loom.jsonl'
JOB_ID = '8cc35058124e1d59'


def test_story_is_in_order_and_names_what_gave_way():
    lines = LOGS.read_text().splitlines()
    story = explain.tell(JOB_ID, reversed(lines))
    times = [line.timestamp for line in story]
    assert times == sorted(times)
    events = [line.event for line in story]
    assert events[0] == 'job accepted'
    assert 'job ended' in events
    others = {line.fields.get('job_id') for line in story} - {None}
    assert '1f67d42a00cd6504' in others


def test_other_text_is_skipped():
    lines = ['', 'plain', '  1.0 node {"event": "x", "job_id": "a"}', '{"a']
    assert [line.event for line in explain.tell('a', lines)] == ['x']


def test_unknown_job_is_told(capsys):
    assert explain.explain('0' * 16, LOGS) == explain.NOT_FOUND
    assert 'no line' in capsys.readouterr().err
