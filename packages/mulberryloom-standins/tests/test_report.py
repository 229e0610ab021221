"""Tests of the report of the demo."""

import pathlib

from mulberryloom_core.connection import http_types
from mulberryloom_core import exceptions
from mulberryloom_standins import answers
from mulberryloom_standins import caller
from mulberryloom_standins.demo import report
from mulberryloom_standins.demo import requests
from mulberryloom_standins import deployments
from mulberryloom_standins import runs
from mulberryloom_standins import targets

EXAMPLES = pathlib.Path(__file__).parents[3] / 'examples'
AKWABOA = deployments.Deployment.from_directory(EXAMPLES / 'akwaboa')


def _row(kind, token, status=200, body=b''):
    order = answers.Order(token)
    request_spec = targets.RequestSpec('rental', 'reconcile-fleet', order)
    response = http_types.HttpResponse(status, body=body)
    ran = exceptions.Ran.YES
    reply = caller.Reply(
        request_spec, order.to_body(), response, ran, '', 1, 1_000
    )
    return requests.Row(kind, 'fleet-office', reply)


def _gang_run(member, worker, positions, end=runs.RunEnd.FINISHED):
    return runs.Run(
        token='g',
        request_id='r-g',
        attempt=1,
        member=member,
        members=2,
        worker=worker,
        service='rental',
        method='reconcile-fleet',
        positions=positions,
        is_resumed=False,
        memory_mb=1,
        started_ms=1_250,
        ended_ms=1_750,
        end=end,
    )


def _report(rows, all_runs):
    return report.Report(AKWABOA, rows, all_runs)


def test_report_accepts_whole_gang_in_one_rack():
    positions = list(range(8))
    members = [
        _gang_run(0, 'accra-a-r1-w1', positions),
        _gang_run(1, 'accra-a-r1-w2', positions),
    ]
    demo_report = _report([_row('gang', 'g')], members)
    assert demo_report.violations() == []
    line = demo_report.table().splitlines()[1]
    assert 'accra-a-r1-w1[0,1,2,3,4,5,6,7] + accra-a-r1-w2' in line
    assert '250 ms' in line
    assert '500 ms' in line


def test_report_finds_gang_in_two_racks_with_too_few_accelerators():
    members = [
        _gang_run(0, 'accra-a-r1-w1', list(range(8))),
        _gang_run(1, 'tema-b-r1-w1', list(range(7))),
    ]
    few, scattered = _report([_row('gang', 'g')], members).violations()
    assert 'had 15' in few
    assert "['accra-a-r1', 'tema-b-r1']" in scattered


def test_report_finds_request_without_finished_answer():
    row = _row('counter', 'c', 503, b'{"title": "no worker serves this"}')
    demo_report = _report([row], [])
    (lost,) = demo_report.violations()
    assert 'lost: status 503 no worker serves this' in lost
