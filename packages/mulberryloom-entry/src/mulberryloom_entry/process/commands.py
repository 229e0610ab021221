"""Operators' commands; each function returns the exit status.

The command line takes the names of flags from the parameters and the help
texts from the docstrings of these functions. A job is here a job with steps,
which the package ``jobs`` serves.
"""

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

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_USAGE_ERROR = 2
DEFAULT_ENTRY = '127.0.0.1:7301'
TOKEN_VARIABLE = 'MULBERRYLOOM_TOKEN'
_POLL_INTERVAL_S = 0.1

_Formatter = t.Callable[[t.Any], str]


class UsageError(Exception):
    """The arguments or the environment of the command are invalid."""


def serve(*, settings: pathlib.Path) -> int:
    """Run an entry until SIGTERM or SIGINT stops it gracefully.

    :param settings: settings file of the entry.
    """
    parsed = _read_settings(settings)
    if parsed is None:
        return EXIT_USAGE_ERROR
    log_writer = logs.start(parsed.log_options, entry=parsed.name)
    asyncio.run(_serve(parsed))
    log_writer.drain()
    return EXIT_OK


async def _serve(settings: entry_settings.EntrySettings) -> None:
    process = runner.EntryProcess.from_settings(settings)
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, process.request_stop)
    await process.run()


def check_settings(file: pathlib.Path, *, json: bool = False) -> int:
    """Check a settings file and print all problems found in it.

    :param file: settings file of an entry.
    :param json: print JSON instead of text.
    """
    parsed = entry_settings.EntrySettings.from_file(file)
    problems = parsed.err_value if isinstance(parsed, Err) else []
    if json:
        problem_documents = [
            {'path': problem.path, 'expected': problem.expected}
            for problem in problems
        ]
        _print_json({'is_valid': not problems, 'problems': problem_documents})
    elif problems:
        _print_problems(file, problems)
    else:
        print(f'{file}: no problems found')
    return EXIT_USAGE_ERROR if problems else EXIT_OK


def _read_settings(
    path: pathlib.Path,
) -> entry_settings.EntrySettings | None:
    parsed = entry_settings.EntrySettings.from_file(path)
    if isinstance(parsed, Err):
        _print_problems(path, parsed.err_value)
        return None
    return parsed.ok_value


def _print_problems(path: pathlib.Path, problems: t.Sequence[t.Any]) -> None:
    for problem in problems:
        print(f'{path}: {problem}', file=sys.stderr)
    print(
        'correct these problems, then run "mulberryloom settings check"',
        file=sys.stderr,
    )


def check_ticket(
    file: pathlib.Path,
    *,
    entry: str = DEFAULT_ENTRY,
    token_file: pathlib.Path | None = None,
    json: bool = False,
) -> int:
    """Check a ticket against the state in force without applying it.

    :param file: the ticket, as JSON.
    :param entry: operators_listen address of any entry.
    :param token_file: file with the operator's token; by default the
        token is read from the variable MULBERRYLOOM_TOKEN.
    :param json: print JSON instead of text.
    """
    client = _client(entry, token_file)
    result = client.post('/v1/tickets/check', _read_ticket(file))
    return _print_result(result, json, reports.format_ticket_check)


def apply_ticket(
    file: pathlib.Path,
    *,
    entry: str = DEFAULT_ENTRY,
    token_file: pathlib.Path | None = None,
    wait_ms: int = 0,
    json: bool = False,
) -> int:
    """Apply a ticket completely or not at all.

    Applying the same ticket again has no effect and gives the same result.

    :param file: the ticket, as JSON.
    :param entry: operators_listen address of any entry.
    :param token_file: file with the operator's token; by default the
        token is read from the variable MULBERRYLOOM_TOKEN.
    :param wait_ms: milliseconds to wait until the ticket is in force in
        all processes; 0 does not wait.
    :param json: print JSON instead of text.
    """
    client = _client(entry, token_file)
    result = client.post('/v1/tickets', _read_ticket(file))
    status = _print_result(result, json, reports.format_applied_ticket)
    if status is not EXIT_OK or not wait_ms:
        return status
    number = result.unwrap()['number']
    return _wait_in_force(client, number, wait_ms, json)


def _wait_in_force(
    client: operator_client.OperatorClient,
    number: int,
    wait_ms: int,
    as_json: bool,
) -> int:
    deadline_s = time.monotonic() + wait_ms / 1_000
    while True:
        result = client.get(f'/v1/tickets/{number}')
        is_everywhere = result.map_or(
            False, lambda document: document['is_everywhere']
        )
        if is_everywhere or time.monotonic() >= deadline_s:
            status = _print_result(
                result, as_json, reports.format_ticket_status
            )
            return status if is_everywhere else EXIT_FAILED
        time.sleep(_POLL_INTERVAL_S)


def show_ticket(
    number: int,
    *,
    entry: str = DEFAULT_ENTRY,
    token_file: pathlib.Path | None = None,
    json: bool = False,
) -> int:
    """Show in which processes a ticket is in force.

    :param number: number of the ticket.
    :param entry: operators_listen address of any entry.
    :param token_file: file with the operator's token; by default the
        token is read from the variable MULBERRYLOOM_TOKEN.
    :param json: print JSON instead of text.
    """
    result = _client(entry, token_file).get(f'/v1/tickets/{number}')
    return _print_result(result, json, reports.format_ticket_status)


def show_status(
    *,
    entry: str = DEFAULT_ENTRY,
    token_file: pathlib.Path | None = None,
    json: bool = False,
) -> int:
    """Show client accounts, workers, entries and why requests wait.

    :param entry: operators_listen address of any entry.
    :param token_file: file with the operator's token; by default the
        token is read from the variable MULBERRYLOOM_TOKEN.
    :param json: print JSON instead of text.
    """
    result = _client(entry, token_file).get('/v1/status')
    return _print_result(result, json, reports.format_status)


def list_requests(
    *,
    entry: str = DEFAULT_ENTRY,
    token_file: pathlib.Path | None = None,
    json: bool = False,
) -> int:
    """List the open requests accepted or scheduled by an entry.

    :param entry: operators_listen address of the entry.
    :param token_file: file with the operator's token; by default the
        token is read from the variable MULBERRYLOOM_TOKEN.
    :param json: print JSON instead of text.
    """
    result = _client(entry, token_file).get('/v1/requests')
    return _print_result(result, json, reports.format_requests)


def cancel_requests(
    *request_ids: str,
    entry: str = DEFAULT_ENTRY,
    token_file: pathlib.Path | None = None,
    json: bool = False,
) -> int:
    """Cancel open requests; those that have ended are not changed.

    :param request_ids: ids as printed by "mulberryloom requests list".
    :param entry: operators_listen address of the entry that lists them.
    :param token_file: file with the operator's token; by default the
        token is read from the variable MULBERRYLOOM_TOKEN.
    :param json: print JSON instead of text.
    """
    if not request_ids:
        raise UsageError('expected at least one request id, got none')
    body = _to_json({'request_ids': request_ids}).encode()
    result = _client(entry, token_file).post('/v1/requests/cancel', body)
    return _print_result(result, json, reports.format_cancellation)


def list_jobs(
    *,
    queue: str = '',
    account: str = '',
    entry: str = DEFAULT_ENTRY,
    token_file: pathlib.Path | None = None,
    json: bool = False,
) -> int:
    """List the jobs of all entries, including those that ended recently.

    :param queue: list only jobs of this queue, such as
        ``rental/review-photo``.
    :param account: list only jobs of this client account.
    :param entry: operators_listen address of any entry.
    :param token_file: file with the operator's token; by default the
        token is read from the variable MULBERRYLOOM_TOKEN.
    :param json: print JSON instead of text.
    """
    fields = {'queue': queue, 'account': account}
    query = urllib.parse.urlencode(
        {name: value for name, value in fields.items() if value}
    )
    result = _client(entry, token_file).get('/v1/jobs', query)
    return _print_result(result, json, reports.format_jobs)


def show_job(
    job_id: str,
    *,
    why: bool = False,
    entry: str = DEFAULT_ENTRY,
    token_file: pathlib.Path | None = None,
    json: bool = False,
) -> int:
    """Show the state of a job and of its steps.

    :param job_id: id as printed by "mulberryloom jobs list".
    :param why: also show the decisions of the leader on the job, which
        explain why it waited.
    :param entry: operators_listen address of any entry.
    :param token_file: file with the operator's token; by default the
        token is read from the variable MULBERRYLOOM_TOKEN.
    :param json: print JSON instead of text.
    """
    path = f'/v1/jobs/{urllib.parse.quote(job_id, safe="")}'
    result = _client(entry, token_file).get(path, 'why=1' if why else '')
    return _print_result(result, json, reports.format_job)


def cancel_job(
    job_id: str,
    *,
    entry: str = DEFAULT_ENTRY,
    token_file: pathlib.Path | None = None,
    json: bool = False,
) -> int:
    """Cancel a job; one that has ended is not changed.

    :param job_id: id as printed by "mulberryloom jobs list".
    :param entry: operators_listen address of any entry.
    :param token_file: file with the operator's token; by default the
        token is read from the variable MULBERRYLOOM_TOKEN.
    :param json: print JSON instead of text.
    """
    path = f'/v1/jobs/{urllib.parse.quote(job_id, safe="")}'
    result = _client(entry, token_file).delete(path)
    return _print_result(result, json, reports.format_job_state)


def evacuate(
    name: str,
    *,
    end: bool = False,
    entry: str = DEFAULT_ENTRY,
    token_file: pathlib.Path | None = None,
    json: bool = False,
) -> int:
    """Start no new tasks in a data centre until the request is taken back.

    Running tasks continue. Repeating the command has no further effect.

    :param name: name of the data centre.
    :param end: take the request back.
    :param entry: operators_listen address of any entry.
    :param token_file: file with the operator's token; by default the
        token is read from the variable MULBERRYLOOM_TOKEN.
    :param json: print JSON instead of text.
    """
    path = f'/v1/evacuations/{urllib.parse.quote(name, safe="")}'
    client = _client(entry, token_file)
    result = client.delete(path) if end else client.put(path)
    return _print_result(result, json, reports.format_evacuation)


def list_evacuations(
    *,
    entry: str = DEFAULT_ENTRY,
    token_file: pathlib.Path | None = None,
    json: bool = False,
) -> int:
    """List the data centres in which no new tasks are to start.

    :param entry: operators_listen address of any entry.
    :param token_file: file with the operator's token; by default the
        token is read from the variable MULBERRYLOOM_TOKEN.
    :param json: print JSON instead of text.
    """
    result = _client(entry, token_file).get('/v1/evacuations')
    return _print_result(result, json, reports.format_evacuations)


def drain(
    *,
    entry: str = DEFAULT_ENTRY,
    token_file: pathlib.Path | None = None,
    json: bool = False,
) -> int:
    """Stop an entry gracefully, like SIGTERM.

    :param entry: operators_listen address of the entry to stop.
    :param token_file: file with the operator's token; by default the
        token is read from the variable MULBERRYLOOM_TOKEN.
    :param json: print JSON instead of text.
    """
    result = _client(entry, token_file).post('/v1/drain')
    return _print_result(result, json, lambda _: f'the entry at {entry} stops')


def report_burn(
    *,
    entry: str = DEFAULT_ENTRY,
    token_file: pathlib.Path | None = None,
    html: pathlib.Path | None = None,
    json: bool = False,
) -> int:
    """Report the burn rates of the error budgets of all objectives.

    A burn rate of 1 uses up the error budget exactly.

    :param entry: operators_listen address of any entry.
    :param token_file: file with the operator's token; by default the
        token is read from the variable MULBERRYLOOM_TOKEN.
    :param html: also write an HTML page with plots to this file.
    :param json: print JSON instead of text.
    """
    result = _client(entry, token_file).get('/v1/burn')
    status = _print_result(result, json, reports.format_burn)
    if status is EXIT_OK and html is not None:
        html.write_text(burn_page.render(result.unwrap()), encoding='utf-8')
    return status


def _client(
    entry: str, token_file: pathlib.Path | None
) -> operator_client.OperatorClient:
    try:
        address = identity.Address.from_text(entry)
    except ValueError as error:
        raise UsageError(f'--entry: {error}') from error
    if token_file is not None:
        token = _read_file(token_file).decode('utf-8', 'replace').strip()
    else:
        token = os.environ.get(TOKEN_VARIABLE, '')
    if not token or not token.isascii() or not token.isprintable():
        raise UsageError(
            f'no usable token: expected printable ASCII text in the file '
            f'given by --token-file or in {TOKEN_VARIABLE}'
        )
    return operator_client.OperatorClient(address, token)


def _read_file(path: pathlib.Path) -> bytes:
    try:
        return path.read_bytes()
    except OSError as error:
        raise UsageError(f'{path}: {error.strerror}') from error


def _read_ticket(path: pathlib.Path) -> bytes:
    body = _read_file(path)
    try:
        json.loads(body)
    except ValueError as error:
        raise UsageError(f'{path}: not JSON: {error}') from error
    return body


def _print_result(
    result: Result[t.Any, operator_client.RequestFailure],
    as_json: bool,
    format_document: _Formatter,
) -> int:
    """Print a result and return the exit status.

    :param format_document: formats the document of the response as text.
    """
    if isinstance(result, Err):
        failure = result.err_value
        if as_json:
            _print_json(failure.document or {'kind': failure.kind})
        print(f'{failure.kind}: {failure.detail}', file=sys.stderr)
        print(f'next: {failure.advice}', file=sys.stderr)
        return EXIT_FAILED
    if as_json:
        _print_json(result.ok_value)
    else:
        print(format_document(result.ok_value))
    return EXIT_OK


def _to_json(document: t.Any) -> str:
    return json.dumps(document, indent=2)


def _print_json(document: t.Any) -> None:
    print(_to_json(document))
