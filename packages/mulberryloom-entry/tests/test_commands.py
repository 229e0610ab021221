"""Tests of the operators' commands against a running entry."""

import asyncio
import hashlib
import json
import threading

import pytest

from mulberryloom_core import clock
from mulberryloom_core import identity
from mulberryloom_core.process import store_client
from mulberryloom_core.version import writer
from mulberryloom_entry import __main__
from mulberryloom_entry.connection import operator_client
from mulberryloom_entry.process import runner
from mulberryloom_entry.process import settings as entry_settings

TOKEN = 'operator-token'


def run_command(capsys, *arguments):
    """Run a command; return its exit status, stdout and stderr."""
    with pytest.raises(SystemExit) as exit_info:
        __main__.main(list(arguments))
    printed = capsys.readouterr()
    return exit_info.value.code, printed.out, printed.err


def write_json(path, document):
    path.write_text(json.dumps(document))
    return str(path)


def test_settings_check_prints_every_problem(capsys, tmp_path, document):
    good = write_json(tmp_path / 'good.json', document)
    assert run_command(capsys, 'settings', 'check', good)[0] == 0
    wrong = {
        **document,
        'listen': 'nowhere',
        'secret': 'short',
        'colour': 'red',
        'limits': {'max_connections': 0},
    }
    bad = write_json(tmp_path / 'bad.json', wrong)
    status, _, stderr = run_command(capsys, 'settings', 'check', bad)
    assert status == 2
    for path in ('$.listen', '$.secret', '$.limits.max_connections'):
        assert path in stderr
    assert 'colour' in stderr
    status, stdout, _ = run_command(capsys, 'settings', 'check', bad, '--json')
    assert len(json.loads(stdout)['problems']) == 4


def test_settings_check_rejects_port_out_of_range(capsys, tmp_path, document):
    wrong = {**document, 'entries': ['127.0.0.1:7101', '127.0.0.1:70000']}
    bad = write_json(tmp_path / 'bad.json', wrong)
    status, _, stderr = run_command(capsys, 'settings', 'check', bad)
    assert status == 2
    assert '$.entries[1]' in stderr


def test_exit_status_distinguishes_usage_error_from_failure(
    capsys, monkeypatch, tmp_path
):
    monkeypatch.delenv('MULBERRYLOOM_TOKEN', raising=False)
    status, _, stderr = run_command(capsys, 'status')
    assert status == 2
    assert '--token-file' in stderr
    token_file = tmp_path / 'token'
    token_file.write_text(TOKEN)
    options = ['--token-file', str(token_file), '--entry', '127.0.0.1:1']
    status, _, stderr = run_command(capsys, 'status', *options)
    assert status == 1
    assert 'next:' in stderr
    missing = str(tmp_path / 'none.json')
    assert run_command(capsys, 'ticket', 'apply', missing, *options)[0] == 2


class RunningEntry:
    """An entry in its own thread, whose store is unreachable."""

    def __init__(self, document):
        settings = entry_settings.EntrySettings.from_document(document)
        self._process = runner.EntryProcess.from_settings(
            settings,
            clock.SystemClock(),
            store_client.EtcdStore([identity.Address('127.0.0.1', 1)]),
        )
        self._started = threading.Event()
        self.thread = threading.Thread(target=self._run)

    def _run(self):
        asyncio.run(self._serve())

    async def _serve(self):
        serving = asyncio.create_task(self._process.run())
        await self._process.wait_started()
        self._started.set()
        await serving

    def start(self):
        self.thread.start()
        assert self._started.wait(10)
        return self._process.settings.operators_listen


@pytest.fixture
def options(tmp_path, document):
    token_file = tmp_path / 'token'
    token_file.write_text(TOKEN + '\n')
    changed = {
        **document,
        'operator_bootstrap_sha256': hashlib.sha256(
            TOKEN.encode()
        ).hexdigest(),
        'balancer_notice_ms': 0,
    }
    running = RunningEntry(changed)
    address = running.start()
    arguments = ['--entry', address, '--token-file', str(token_file)]
    yield arguments
    if running.thread.is_alive():
        with pytest.raises(SystemExit):
            __main__.main(['drain', *arguments])
    running.thread.join(10)
    assert not running.thread.is_alive()


def test_commands_succeed_against_a_running_entry(capsys, tmp_path, options):
    status, stdout, _ = run_command(capsys, 'status', *options)
    assert status == 0
    assert 'entry-1 (galway-a, eire-west): running' in stdout
    status, stdout, _ = run_command(capsys, 'status', *options, '--json')
    assert json.loads(stdout)['name'] == 'entry-1'
    assert run_command(capsys, 'requests', 'list', *options)[0] == 0
    assert run_command(capsys, 'requests', 'cancel', 'r-1', *options)[0] == 0
    assert run_command(capsys, 'requests', 'cancel', *options)[0] == 2
    page = tmp_path / 'burn.html'
    status, stdout, _ = run_command(
        capsys, 'report', 'burn', '--html', str(page), *options
    )
    assert status == 0
    assert 'no objectives' in stdout
    assert page.read_text().startswith('<!DOCTYPE html>')


def test_ticket_commands_print_problems_of_invalid_ticket(
    capsys, tmp_path, options
):
    wrong = {'number': 0, 'accounts': {'a': {'weight': -1}}, 'wings': {}}
    ticket = write_json(tmp_path / 'ticket.json', wrong)
    for action in ('check', 'apply'):
        status, _, stderr = run_command(
            capsys, 'ticket', action, ticket, *options
        )
        assert status == 1
        assert 'invalid-ticket' in stderr
        assert '$.number' in stderr
        assert 'wings' in stderr
    status, _, stderr = run_command(capsys, 'ticket', 'show', '7', *options)
    assert status == 1
    assert 'next:' in stderr


def test_drain_command_stops_the_entry(capsys, options):
    status, stdout, _ = run_command(capsys, 'drain', *options)
    assert status == 0
    assert 'stops' in stdout


def test_client_timeout_exceeds_the_retry_period_of_a_ticket():
    assert operator_client.CALL_TIMEOUT_MS > writer.TICKET_TIMEOUT_MS + 1_000
