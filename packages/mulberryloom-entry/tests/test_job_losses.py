"""Tests of summing up lost work and waits from log lines."""

import pathlib

from mulberryloom_entry.jobs import losses
import orjson

LOGS = pathlib.Path(__file__).parents[3] / 'examples/logs/clm-loom.jsonl'


def _line(second, event, job_id, **fields):
    document = {
        'timestamp': f'2026-03-26T10:00:{second:06.3f}Z',
        'event': event,
        'job_id': job_id,
        **fields,
    }
    return orjson.dumps(document).decode()


def _stopping(second, reason, lost_core_s):
    return _line(
        second, 'run stopping', 'a', reason=reason, lost_core_s=lost_core_s
    )


def test_waits_end_with_a_start_or_with_another_reason():
    lines = [
        _line(1, 'step waiting', 'a', step=0, reason='first'),
        _line(3, 'step waiting', 'a', step=0, reason='second'),
        _line(3.5, 'run planned', 'a', task='a.0.0.4'),
        _line(9, 'run planned', 'a', task='a.0.0.5'),
    ]
    report = losses.LossReport.from_lines(reversed(lines))
    assert report.waited_s_by_reason == {'first': 2.0, 'second': 0.5}


def test_lost_work_is_summed_by_reason_without_the_names_of_jobs():
    report = losses.LossReport.from_lines(
        [
            _stopping(1, 'reclaimed for b', 3),
            _stopping(2, 'reclaimed for c', 4),
            _stopping(3, 'worker draining', 100),
            'no JSON',
        ]
    )
    assert report.lost_core_s_by_reason == {
        'reclaimed': 7,
        'worker draining': 100,
    }
    text = '\n'.join(report.to_lines())
    assert text.index('worker draining: a 100') < text.index('reclaimed: a 7')


def test_jobs_that_were_never_accepted_bound_what_can_be_served():
    report = losses.LossReport.from_lines(
        [
            _line(1, 'job not accepted', 'a', reason='store silent'),
            _line(2, 'job accepted', 'a'),
            _line(2, 'job accepted', 'b'),
            _line(2, 'job accepted', 'c'),
            _line(3, 'job ended', 'c', state='cancelled'),
            _line(4, 'job not accepted', 'd', reason='store silent'),
        ]
    )
    assert report.rejections_by_id == {'d': ['store silent']}
    assert report.serviceable_share == 2 / 3


def test_show_losses_reads_files(capsys):
    losses.show_losses(LOGS)
    assert 'work thrown away' in capsys.readouterr().out
