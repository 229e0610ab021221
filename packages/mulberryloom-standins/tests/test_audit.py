"""Tests that the audit finds each kind of violation."""

import pytest

from mulberryloom_core.connection import http_types
from mulberryloom_core import exceptions
from mulberryloom_standins import answers
from mulberryloom_standins import audit
from mulberryloom_standins import caller
from mulberryloom_standins import runs
from mulberryloom_standins import targets


def _run(token='t', **changes):
    fields = {
        'request_id': f'r-{token}',
        'attempt': 1,
        'member': 0,
        'members': 1,
        'worker': 'w1',
        'service': 'rental',
        'method': 'fit',
        'positions': [],
        'is_resumed': False,
        'memory_mb': 1,
        'started_ms': 1_000,
        'ended_ms': 1_100,
        'end': runs.RunEnd.FINISHED,
    }
    return runs.Run(token=token, **{**fields, **changes})


def _reply(token='t', status=200, ran=exceptions.Ran.YES, fault=''):
    request_spec = targets.RequestSpec('rental', 'fit', answers.Order(token))
    response = http_types.HttpResponse(status)
    return caller.Reply(request_spec, b'', response, ran, fault, 1)


def _violations(replies, all_runs):
    evidence = audit.Evidence(replies, all_runs, frozenset({'review'}))
    return audit.find_violations(evidence)


def test_audit_accepts_whole_gang_retry_and_refusal():
    gang = [
        _run('g', member=member, members=2, worker=f'w{member}', positions=[0])
        for member in range(2)
    ]
    refused = _reply('no', 503, exceptions.Ran.NO)
    retried = [
        _run('a', attempt=1, end=runs.RunEnd.FAILED),
        _run('a', attempt=2, worker='w2'),
    ]
    replies = [_reply('g'), _reply('a'), refused]
    assert _violations(replies, gang + retried) == []


@pytest.mark.parametrize(
    ('replies', 'all_runs', 'text'),
    [
        ([_reply(fault='cut short')], [_run()], 'cut short'),
        ([_reply(status=503, ran=exceptions.Ran.NO)], [_run()], 'refused as'),
        ([_reply()], [], 'without an attempt whose members all finished'),
        (
            [_reply()],
            [_run(end=runs.RunEnd.STOPPED)],
            'without an attempt whose members all finished',
        ),
        (
            [],
            [_run(method='review'), _run(method='review', attempt=2)],
            'ran 2 times',
        ),
        ([], [_run(), _run(worker='w2')], 'started 2 times'),
        ([], [_run(members=2)], '1 of 2 members'),
        (
            [],
            [
                _run(members=2, end=runs.RunEnd.STOPPED, ended_ms=2_000),
                _run(members=2, member=1, worker='w2', ended_ms=7_001),
            ],
            'partial for 5001 ms',
        ),
        (
            [],
            [_run(members=2, end=runs.RunEnd.OPEN, ended_ms=0)],
            '1 of 2 members',
        ),
        (
            [],
            [
                _run('a', positions=[3, 4]),
                _run('b', positions=[4], started_ms=1_099, ended_ms=1_200),
            ],
            'accelerators [4]',
        ),
    ],
)
def test_audit_finds_violation(replies, all_runs, text):
    (violation,) = _violations(replies, all_runs)
    assert text in violation


def test_audit_accepts_gang_stopped_within_limit():
    run = _run(members=2, end=runs.RunEnd.STOPPED, ended_ms=3_000)
    assert _violations([], [run]) == []
    late = _run(members=2, member=1, worker='w2', ended_ms=8_000)
    assert _violations([], [run, late]) == []
