"""Tests of the operators' commands against a running entry."""

import asyncio
import hashlib
import io
import json
import threading

import pytest
from result import Err
import structlog

from mulberryloom_core import clock
from mulberryloom_core import exceptions
from mulberryloom_core import identity
from mulberryloom_core.process import logs
from mulberryloom_core.process import store_client
from mulberryloom_core import store as stores
from mulberryloom_core.version import writer
from mulberryloom_entry import __main__
from mulberryloom_entry.connection import operator_client
from mulberryloom_entry.jobs import keys
from mulberryloom_entry.process import runner
from mulberryloom_entry.process import settings as entry_settings
from mulberryloom_standins.store import core as store_core

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
    """An entry in its own thread.

    :param store: client of its store; by default of an unreachable one.
    """

    def __init__(self, document, store=None):
        settings = entry_settings.EntrySettings.from_document(document)
        if store is None:
            store = store_client.EtcdStore([identity.Address('127.0.0.1', 1)])
        self._process = runner.EntryProcess.from_settings(
            settings, clock.SystemClock(), store
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


class JobStore:
    """Store stand-in whose answers to writes of evacuations can be lost.

    :ivar answers_to_lose: number of these writes that take effect without
        an answer.
    """

    def __init__(self):
        self.answers_to_lose = 0
        self._core = store_core.StoreCore()

    async def call(self, request):
        if isinstance(request, stores.WatchPrefix):
            await asyncio.sleep(request.timeout_ms / 1_000)
        answer = self._core.handle(request, 0)
        is_evacuation = isinstance(request, stores.Transact) and any(
            key.startswith(keys.EVACUATIONS) for key in request.expected_by_key
        )
        if is_evacuation and self.answers_to_lose:
            self.answers_to_lose -= 1
            kind = exceptions.ErrorKind.STORE_UNAVAILABLE
            return Err(exceptions.Error.from_kind(kind))
        return answer


@pytest.fixture
def job_store():
    return JobStore()


@pytest.fixture
def separate_log():
    """Keep the log of the entry out of the output of the commands."""
    logs.configure('info', io.StringIO())
    yield
    structlog.reset_defaults()
    structlog.contextvars.clear_contextvars()


@pytest.fixture
def job_options(tmp_path, document, job_store, separate_log):
    """Options for commands to an entry that takes jobs."""
    with_jobs = {**document, 'jobs': {'listen': '127.0.0.1:0'}}
    yield from _run_entry(tmp_path, with_jobs, job_store)


@pytest.fixture
def options(tmp_path, document):
    """Options for commands to an entry without jobs."""
    yield from _run_entry(tmp_path, document)


def _run_entry(tmp_path, document, store=None):
    token_file = tmp_path / 'token'
    token_file.write_text(TOKEN + '\n')
    changed = {
        **document,
        'operator_bootstrap_sha256': hashlib.sha256(
            TOKEN.encode()
        ).hexdigest(),
        'balancer_notice_ms': 0,
    }
    running = RunningEntry(changed, store)
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


def test_evacuation_is_requested_listed_and_ended(
    capsys, job_options, job_store
):
    """Lost answers of the store must not change what a command reports."""
    evacuate = ['evacuate', 'galway-b', *job_options, '--json']
    status, stdout, _ = run_command(capsys, *evacuate)
    first = json.loads(stdout)
    assert (status, first['is_evacuated']) == (0, True)
    job_store.answers_to_lose = 1
    assert json.loads(run_command(capsys, *evacuate)[1]) == first
    _, stdout, _ = run_command(capsys, 'evacuations', *job_options)
    assert stdout.splitlines()[1].split() == [
        'galway-b',
        str(first['revision']),
    ]
    for _ in range(2):
        job_store.answers_to_lose = 1
        status, stdout, _ = run_command(capsys, *evacuate, '--end')
        assert (status, json.loads(stdout)['is_evacuated']) == (0, False)
    _, stdout, _ = run_command(capsys, 'evacuations', *job_options)
    assert stdout == 'no data centre is evacuated\n'


def test_evacuation_of_invalid_name_is_refused(capsys, job_options):
    for name in ('', 'galway/a', 'a' * 101):
        status, _, stderr = run_command(capsys, 'evacuate', name, *job_options)
        assert (status, 'malformed-request' in stderr) == (1, True)


def test_entry_without_jobs_refuses_evacuations(capsys, options):
    for command in (['evacuate', 'galway-a'], ['evacuations']):
        status, _, stderr = run_command(capsys, *command, *options)
        assert (status, 'unknown-queue' in stderr) == (1, True)


def test_client_timeout_exceeds_the_retry_period_of_a_ticket():
    assert operator_client.CALL_TIMEOUT_MS > writer.TICKET_TIMEOUT_MS + 1_000
