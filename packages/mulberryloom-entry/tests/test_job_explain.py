"""Tests of finding the log lines about a job."""

import json
import pathlib

from mulberryloom_entry.jobs import explain

LOGS = pathlib.Path(__file__).parents[3] / 'examples/logs/clm-loom.jsonl'
JOB_ID = '8cc35058124e1d59'
TASK = f'{JOB_ID}.0.0.0'


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


def _line(second, process, event, **fields):
    document = {
        'timestamp': f'2026-12-04T22:29:{second:09.6f}Z',
        'process': process,
        'event': event,
        **fields,
    }
    return json.dumps(document)


def _run_line(second, event, run, worker, **fields):
    return _line(
        *(second, 'entry-1', event),
        **{'job_id': JOB_ID, 'task': TASK, 'run': run, 'worker': worker},
        **fields,
    )


def _explained_events(lines, capsys, tmp_path):
    """Return the events printed for the job, and those indented."""
    path = tmp_path / 'log.jsonl'
    path.write_text('\n'.join(lines))
    assert explain.explain(JOB_ID, path) == explain.FOUND
    printed = capsys.readouterr().out.splitlines()
    events = [line.partition(': ')[2].split(' worker=')[0] for line in printed]
    indented = [
        event
        for line, event in zip(printed, events, strict=True)
        if line.startswith(' ')
    ]
    return events, indented


RUNS = [
    _run_line(10, 'run planned', 1, 'w-1'),
    _run_line(18, 'run discarded', 1, 'w-1', agent='vm-1.b'),
    _run_line(19, 'run planned', 2, 'w-2'),
    _run_line(25, 'run ended', 2, 'w-2'),
]


# Guards against a run that was given up for a cause that the lines about the
# job do not name.
def test_explain_shows_lines_about_workers_of_the_runs(capsys, tmp_path):
    lines = [
        *RUNS,
        _line(2, 'vm-1', 'new worker incarnation', worker='w-1'),
        _line(3, 'vm-2', 'new worker incarnation', worker='w-2'),
        _line(14, 'vm-1', 'agent started', agent='vm-1.b'),
        _line(15, 'vm-1', 'invalid heartbeat rejected', worker='foreign'),
        _line(16, 'entry-1', 'messages dropped', peer='vm-1.a'),
        _line(17, 'entry-1', 'session with agent lost', agent='vm-1.a'),
        _line(17.5, 'entry-1', 'worker removed', worker='w-1', agent='vm-1.b'),
        _line(26, 'vm-2', 'worker leaving', worker='w-2'),
    ]
    events, indented = _explained_events(lines, capsys, tmp_path)
    assert indented == [
        'agent started agent=vm-1.b',
        'invalid heartbeat rejected',
        'messages dropped peer=vm-1.a',
        'session with agent lost agent=vm-1.a',
        'worker removed',
        'worker leaving',
    ]
    own = [event for event in events if event not in indented]
    assert len(own) == len(RUNS)
    # All are in order of time.
    assert [events.index(event) for event in indented] == [1, 2, 3, 4, 5, 9]


# Guards against lines about the job that are lost among those about others.
def test_explain_leaves_out_other_workers_and_times(capsys, tmp_path):
    lines = [
        *RUNS,
        _line(2, 'vm-1', 'new worker incarnation', worker='w-1'),
        _line(3, 'vm-3', 'new worker incarnation', worker='w-3'),
        _line(4, 'vm-1', 'agent was suspended', duration_ms=900),
        _line(15, 'vm-3', 'worker leaving', worker='w-3'),
        _line(15, 'vm-1', 'worker adopted', worker='w-3', agent='vm-3.a'),
        _line(15, 'entry-1', 'session with agent lost', agent='vm-3.a'),
        _line(15, 'entry-1', 'messages dropped', peer='vm-3.a'),
        _line(15, 'vm-1', 'listening on loopback', address='127.0.0.1:1'),
        _line(36, 'vm-1', 'agent started', agent='vm-1.c'),
        _line(15, 'entry-1', 'messages dropped', peer=['vm-1.a']),
        '{"event": "agent started", "process": "vm-1"}',
        '{"event": ["agent started"], "process": "vm-1", "timestamp": 5}',
    ]
    _, indented = _explained_events(lines, capsys, tmp_path)
    assert indented == []


# Guards against a later run of a pair whose end no leader has seen.
def test_explain_shows_all_lines_after_a_run_without_an_end(capsys, tmp_path):
    lines = [
        *RUNS[:3],
        _line(59, 'vm-1', 'agent started', agent='vm-1.c'),
    ]
    _, indented = _explained_events(lines, capsys, tmp_path)
    assert indented == ['agent started agent=vm-1.c']


# Guards against lines that are printed twice, or as if they were the job's.
def test_explain_takes_lines_of_other_jobs_for_no_runs(capsys, tmp_path):
    preempted = {'reason': f'reclaimed for {JOB_ID}', 'worker': 'w-9'}
    lines = [
        *RUNS,
        _line(
            *(12, 'entry-1', 'run stopping'),
            **{'job_id': 'b' * 16, 'task': 'b', 'run': 1, **preempted},
        ),
        _line(12, 'entry-1', 'worker removed', worker='w-9', agent='vm-9.a'),
    ]
    events, indented = _explained_events(lines, capsys, tmp_path)
    assert indented == []
    assert len(events) == len(RUNS) + 1
