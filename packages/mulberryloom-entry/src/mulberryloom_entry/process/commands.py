"""Commands for operators; each returns the exit status."""

import asyncio
import json
import os
import pathlib
import signal
import sys
import time
import typing as t
import urllib.parse

from mulberryloom_core import identity
from mulberryloom_core.process import logs
from result import Err
from result import Result

from . import burn_page
from ..connection import operator_client
from . import reports
from . import runner
from . import settings as entry_settings

OK = 0
FAILED = 1
MISUSED = 2
DEFAULT_ENTRY = '127.0.0.1:7301'
TOKEN_VARIABLE = 'MULBERRYLOOM_TOKEN'
_POLL_S = 0.1

_Render = t.Callable[[t.Any], str]


class UsageError(Exception):
    """The command was called in a way that can't work."""


def serve(*, settings: pathlib.Path) -> int:
    """Run an entry until it is told to stop (SIGTERM).

    :param settings: settings file of the entry.
    """
    found = _read_settings(settings)
    if found is None:
        return MISUSED
    writer = logs.start(found.log_options, entry=found.name)
    asyncio.run(_serve(found))
    writer.drain()
    return OK


async def _serve(settings: entry_settings.EntrySettings) -> None:
    process = runner.EntryProcess.from_settings(settings)
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, process.request_stop)
    await process.run()


def check_settings(file: pathlib.Path, *, json: bool = False) -> int:
    """Check a settings file and name every mistake in it.

    :param file: settings file of an entry.
    :param json: print JSON for machines.
    """
    found = entry_settings.EntrySettings.from_file(file)
    problems = found.err_value if isinstance(found, Err) else []
    if json:
        listed = [
            {'path': problem.path, 'expected': problem.expected}
            for problem in problems
        ]
        _print_json({'is_valid': not problems, 'problems': listed})
    elif problems:
        _print_problems(file, problems)
    else:
        print(f'{file}: no mistakes')
    return MISUSED if problems else OK


def _read_settings(
    path: pathlib.Path,
) -> entry_settings.EntrySettings | None:
    found = entry_settings.EntrySettings.from_file(path)
    if isinstance(found, Err):
        _print_problems(path, found.err_value)
        return None
    return found.ok_value


def _print_problems(path: pathlib.Path, problems: t.Sequence[t.Any]) -> None:
    for problem in problems:
        print(f'{path}: {problem}', file=sys.stderr)
    print(
        'correct these and check again with "mulberryloom settings check"',
        file=sys.stderr,
    )


def check_ticket(
    file: pathlib.Path,
    *,
    entry: str = DEFAULT_ENTRY,
    token_file: pathlib.Path | None = None,
    json: bool = False,
) -> int:
    """Check a ticket against the state in force; change nothing.

    :param file: the ticket, as JSON.
    :param entry: operators' address of any entry.
    :param token_file: file with your token; else MULBERRYLOOM_TOKEN.
    :param json: print JSON for machines.
    """
    client = _client(entry, token_file)
    answer = client.post('/v1/tickets/check', _read_ticket(file))
    return _finish(answer, json, reports.checked)


def apply_ticket(
    file: pathlib.Path,
    *,
    entry: str = DEFAULT_ENTRY,
    token_file: pathlib.Path | None = None,
    wait_ms: int = 0,
    json: bool = False,
) -> int:
    """Apply a ticket: whole, or not at all.

    The same ticket may be applied again; the answer is the same.

    :param file: the ticket, as JSON.
    :param entry: operators' address of any entry.
    :param token_file: file with your token; else MULBERRYLOOM_TOKEN.
    :param wait_ms: wait so long for it to be in force everywhere.
    :param json: print JSON for machines.
    """
    client = _client(entry, token_file)
    answer = client.post('/v1/tickets', _read_ticket(file))
    status = _finish(answer, json, reports.applied)
    if status is not OK or not wait_ms:
        return status
    number = answer.unwrap()['number']
    return _wait_everywhere(client, number, wait_ms, json)


def _wait_everywhere(
    client: operator_client.OperatorClient,
    number: int,
    wait_ms: int,
    as_json: bool,
) -> int:
    ends_at = time.monotonic() + wait_ms / 1_000
    while True:
        answer = client.get(f'/v1/tickets/{number}')
        is_everywhere = answer.map_or(False, lambda d: d['is_everywhere'])
        if is_everywhere or time.monotonic() >= ends_at:
            status = _finish(answer, as_json, reports.ticket)
            return status if is_everywhere else FAILED
        time.sleep(_POLL_S)


def show_ticket(
    number: int,
    *,
    entry: str = DEFAULT_ENTRY,
    token_file: pathlib.Path | None = None,
    json: bool = False,
) -> int:
    """Show in which processes a ticket is in force.

    :param number: number of the ticket.
    :param entry: operators' address of any entry.
    :param token_file: file with your token; else MULBERRYLOOM_TOKEN.
    :param json: print JSON for machines.
    """
    answer = _client(entry, token_file).get(f'/v1/tickets/{number}')
    return _finish(answer, json, reports.ticket)


def show_status(
    *,
    entry: str = DEFAULT_ENTRY,
    token_file: pathlib.Path | None = None,
    json: bool = False,
) -> int:
    """Show client accounts, workers, entries and what waits, and why.

    :param entry: operators' address of any entry.
    :param token_file: file with your token; else MULBERRYLOOM_TOKEN.
    :param json: print JSON for machines.
    """
    answer = _client(entry, token_file).get('/v1/status')
    return _finish(answer, json, reports.status)


def list_requests(
    *,
    entry: str = DEFAULT_ENTRY,
    token_file: pathlib.Path | None = None,
    json: bool = False,
) -> int:
    """List the open requests that an entry took or plans.

    :param entry: operators' address of the entry.
    :param token_file: file with your token; else MULBERRYLOOM_TOKEN.
    :param json: print JSON for machines.
    """
    answer = _client(entry, token_file).get('/v1/requests')
    return _finish(answer, json, reports.requests)


def cancel_requests(
    *request_ids: str,
    entry: str = DEFAULT_ENTRY,
    token_file: pathlib.Path | None = None,
    json: bool = False,
) -> int:
    """Cancel open requests; those that have ended are left alone.

    :param request_ids: ids as "mulberryloom requests list" shows them.
    :param entry: operators' address of the entry that lists them.
    :param token_file: file with your token; else MULBERRYLOOM_TOKEN.
    :param json: print JSON for machines.
    """
    if not request_ids:
        raise UsageError('name at least one request id')
    body = _dump({'request_ids': request_ids}).encode()
    answer = _client(entry, token_file).post('/v1/requests/cancel', body)
    return _finish(answer, json, reports.cancelled)


def list_jobs(
    *,
    queue: str = '',
    account: str = '',
    entry: str = DEFAULT_ENTRY,
    token_file: pathlib.Path | None = None,
    json: bool = False,
) -> int:
    """List the jobs of all entries, ended ones for a while too.

    :param queue: only those of this queue, such as ``rental/review-photo``.
    :param account: only those of this client account.
    :param entry: operators' address of any entry.
    :param token_file: file with your token; else MULBERRYLOOM_TOKEN.
    :param json: print JSON for machines.
    """
    fields = {'queue': queue, 'account': account}
    query = urllib.parse.urlencode({k: v for k, v in fields.items() if v})
    answer = _client(entry, token_file).get('/v1/jobs', query)
    return _finish(answer, json, reports.jobs)


def show_job(
    job_id: str,
    *,
    why: bool = False,
    entry: str = DEFAULT_ENTRY,
    token_file: pathlib.Path | None = None,
    json: bool = False,
) -> int:
    """Show a job, and if wanted why it waited and what was done for it.

    :param job_id: id as "mulberryloom jobs list" shows it.
    :param why: also show what the leader decided about it.
    :param entry: operators' address of any entry.
    :param token_file: file with your token; else MULBERRYLOOM_TOKEN.
    :param json: print JSON for machines.
    """
    path = f'/v1/jobs/{urllib.parse.quote(job_id, safe="")}'
    answer = _client(entry, token_file).get(path, 'why=1' if why else '')
    return _finish(answer, json, reports.job)


def cancel_job(
    job_id: str,
    *,
    entry: str = DEFAULT_ENTRY,
    token_file: pathlib.Path | None = None,
    json: bool = False,
) -> int:
    """Cancel a job; one that has ended is left alone.

    :param job_id: id as "mulberryloom jobs list" shows it.
    :param entry: operators' address of any entry.
    :param token_file: file with your token; else MULBERRYLOOM_TOKEN.
    :param json: print JSON for machines.
    """
    path = f'/v1/jobs/{urllib.parse.quote(job_id, safe="")}'
    answer = _client(entry, token_file).delete(path)
    return _finish(answer, json, reports.job_state)


def drain(
    *,
    entry: str = DEFAULT_ENTRY,
    token_file: pathlib.Path | None = None,
    json: bool = False,
) -> int:
    """Stop an entry gracefully, as SIGTERM does.

    :param entry: operators' address of the entry that shall stop.
    :param token_file: file with your token; else MULBERRYLOOM_TOKEN.
    :param json: print JSON for machines.
    """
    answer = _client(entry, token_file).post('/v1/drain')
    return _finish(answer, json, lambda _: f'the entry at {entry} stops')


def report_burn(
    *,
    entry: str = DEFAULT_ENTRY,
    token_file: pathlib.Path | None = None,
    html: pathlib.Path | None = None,
    json: bool = False,
) -> int:
    """Report how fast the error budgets of the objectives burn.

    A rate of 1 uses up the budget exactly.

    :param entry: operators' address of any entry.
    :param token_file: file with your token; else MULBERRYLOOM_TOKEN.
    :param html: write a page with plots to this file as well.
    :param json: print JSON for machines.
    """
    answer = _client(entry, token_file).get('/v1/burn')
    status = _finish(answer, json, reports.burn)
    if status is OK and html is not None:
        html.write_text(burn_page.render(answer.unwrap()), encoding='utf-8')
    return status


def _client(
    entry: str, token_file: pathlib.Path | None
) -> operator_client.OperatorClient:
    try:
        address = identity.Address.from_text(entry)
    except ValueError as error:
        raise UsageError(f'--entry: {error}') from error
    if token_file is not None:
        token = _read(token_file).decode('utf-8', 'replace').strip()
    else:
        token = os.environ.get(TOKEN_VARIABLE, '')
    if not token or not token.isascii() or not token.isprintable():
        raise UsageError(
            f'no usable token: name a file with --token-file, or set '
            f'{TOKEN_VARIABLE}'
        )
    return operator_client.OperatorClient(address, token)


def _read(path: pathlib.Path) -> bytes:
    try:
        return path.read_bytes()
    except OSError as error:
        raise UsageError(f'{path}: {error.strerror}') from error


def _read_ticket(path: pathlib.Path) -> bytes:
    body = _read(path)
    try:
        json.loads(body)
    except ValueError as error:
        raise UsageError(f'{path}: not JSON: {error}') from error
    return body


def _finish(
    answer: Result[t.Any, operator_client.Refusal],
    as_json: bool,
    render: _Render,
) -> int:
    """Print an answer and return the exit status."""
    if isinstance(answer, Err):
        refusal = answer.err_value
        if as_json:
            _print_json(refusal.document or {'kind': refusal.kind})
        print(f'{refusal.kind}: {refusal.detail}', file=sys.stderr)
        print(f'next: {refusal.advice}', file=sys.stderr)
        return FAILED
    if as_json:
        _print_json(answer.ok_value)
    else:
        print(render(answer.ok_value))
    return OK


def _dump(document: t.Any) -> str:
    return json.dumps(document, indent=2)


def _print_json(document: t.Any) -> None:
    print(_dump(document))
