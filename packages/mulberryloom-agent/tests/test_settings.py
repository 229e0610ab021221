"""Tests of the settings file and of the ``settings check`` command."""

import json

import pytest

from mulberryloom_agent import __main__ as commands
from mulberryloom_agent.process import settings

DOCUMENT = {
    'worker': 'galway-a-r1-w1',
    'data_centre': 'galway-a',
    'rack': 'galway-a-r1',
    'listen': '127.0.0.1:0',
    'backend_listen': '127.0.0.1:7000',
    'entries': ['127.0.0.1:7101', '127.0.0.1:7102'],
    'secret': '0123456789abcdef',
}


def _write_settings(tmp_path, **changes):
    path = tmp_path / 'agent.json'
    path.write_text(json.dumps(DOCUMENT | changes))
    return path


def test_read_parses_valid_settings(tmp_path):
    path = _write_settings(tmp_path, platform='127.0.0.1:7300')
    parsed = settings.read(path).unwrap()
    assert parsed.platform.port == 7_300
    assert parsed.entries == ('127.0.0.1:7101', '127.0.0.1:7102')
    assert 'abcdef' not in repr(parsed)


def test_read_reports_every_problem_with_its_path(tmp_path):
    path = _write_settings(tmp_path, grace_ms=-1, colour='red', entries=[])
    problems = settings.read(path).unwrap_err()
    text = '\n'.join(str(problem) for problem in problems)
    assert len(problems) == 3
    assert '$.grace_ms' in text
    assert 'colour' in text


@pytest.mark.parametrize(
    'changes',
    [{'listen': '127.0.0.1:99999'}, {'entries': ['127.0.0.1:70000']}],
)
def test_read_refuses_port_out_of_range(tmp_path, changes):
    (problem,) = settings.read(
        _write_settings(tmp_path, **changes)
    ).unwrap_err()
    assert 'port' in problem.expected


def test_check_command_exit_status_reports_problems(tmp_path, capsys):
    for changes, status in (({}, 0), ({'rack': 1}, 2)):
        path = str(_write_settings(tmp_path, **changes))
        with pytest.raises(SystemExit) as stopped:
            commands.main(['settings', 'check', '--settings', path])
        assert stopped.value.code == status
    assert '$.rack' in capsys.readouterr().err
