"""Tests of finding the log lines about a job."""

import pathlib

from mulberryloom_entry.jobs import explain

LOGS = pathlib.Path(__file__).parents[3] / 'examples/logs/clm-loom.jsonl'
JOB_ID = '8cc35058124e1d59'


def test_find_lines_sorts_by_time_and_includes_preempted_jobs():
    lines = LOGS.read_text().splitlines()
    found = explain.find_lines(JOB_ID, reversed(lines))
    times = [line.timestamp for line in found]
    assert times == sorted(times)
    events = [line.event for line in found]
    assert events[0] == 'job accepted'
    assert 'job ended' in events
    others = {line.fields.get('job_id') for line in found} - {None}
    assert '1f67d42a00cd6504' in others


def test_find_lines_skips_other_text():
    lines = ['', 'plain', '  1.0 node {"event": "x", "job_id": "a"}', '{"a']
    assert [line.event for line in explain.find_lines('a', lines)] == ['x']


def test_explain_reports_unknown_job(capsys):
    assert explain.explain('0' * 16, LOGS) == explain.NOT_FOUND
    assert 'no log line' in capsys.readouterr().err
