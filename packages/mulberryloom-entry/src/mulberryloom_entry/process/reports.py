"""Plain-text rendering of responses of the operators' interface.

Each function takes the decoded JSON document of one response. A job is here
a job with steps.
"""

import typing as t

from . import tables


def format_ticket_check(document: t.Any) -> str:
    """Format the result of a check of a ticket that is acceptable."""
    return (
        f'ticket {document["number"]} would be accepted; '
        f'{document["room_bytes"]} bytes left in the configuration document'
    )


def format_applied_ticket(document: t.Any) -> str:
    """Format the result of an accepted ticket."""
    return (
        f'ticket {document["number"]} accepted as version '
        f'{document["version"]}; {document["room_bytes"]} bytes left in the '
        'configuration document'
    )


def format_ticket_status(document: t.Any) -> str:
    """Format the processes with the version in force in each."""
    place = 'everywhere' if document['is_everywhere'] else 'in part'
    table = tables.render(
        ['process', 'version in force'],
        document['version_by_process'].items(),
    )
    return (
        f'ticket {document["number"]} (version {document["version"]}) is in '
        f'force {place}\n{table}'
    )


def _format_resources(resources: t.Any) -> str:
    return (
        f'{resources["accelerators"]} acc, {resources["slots"]} slots, '
        f'{resources["processors"]} cpu, {resources["memory_mb"]} MB'
    )


def format_status(document: t.Any) -> str:
    """Format the status of an entry and its region."""
    state = 'stopping' if document['is_stopping'] else 'running'
    title = (
        f'{document["name"]} ({document["data_centre"]}, '
        f'{document["region"]}): {state}, configuration version '
        f'{document["config_version"]}, '
        f'{document["open_requests"]} open requests'
    )
    owner_by_account = {
        shard['account']: shard['owner'] for shard in document['shards']
    }
    accounts = tables.render(
        ['client account', 'guaranteed', 'in use', 'borrowed', 'owner'],
        [
            [
                account['name'],
                _format_resources(account['guaranteed']),
                _format_resources(account['used']),
                f'{account["borrowed_accelerators"]} acc',
                owner_by_account.get(account['name'], ''),
            ]
            for account in document['accounts']
        ],
    )
    workers = tables.render(
        ['worker', 'data centre', 'rack', 'health', 'tasks', 'in use'],
        [
            [
                worker['name'],
                worker['data_centre'],
                worker['rack'],
                _health(worker),
                worker['tasks'],
                _format_resources(worker['used']),
            ]
            for worker in document['workers']
        ],
    )
    entries = tables.render(
        ['entry', 'address', 'version', 'draining'],
        [
            [
                entry['name'],
                entry['address'],
                entry['config_version'],
                'yes' if entry['is_draining'] else 'no',
            ]
            for entry in document['entries']
        ],
    )
    queued = tables.render(
        ['waiting request', 'client account', 'waited', 'reason', 'detail'],
        [
            [
                request['request_id'],
                request['account'],
                tables.duration(request['waited_ms']),
                request['cause'],
                request['detail'],
            ]
            for request in document['queued']
        ],
    )
    return '\n\n'.join([title, accounts, workers, entries, queued])


def _health(worker: t.Any) -> str:
    if worker['is_leaving']:
        return 'leaving'
    if worker['is_quarantined']:
        return 'quarantined'
    return worker['health']


def format_requests(document: t.Any) -> str:
    """Format a list of open requests."""
    return tables.render(
        ['request', 'client account', 'method', 'phase', 'age'],
        [
            [
                request['request_id'],
                request['account'],
                f'{request["service"]}/{request["method"]}',
                request['phase'],
                tables.duration(request['age_ms']),
            ]
            for request in document
        ],
    )


def format_cancellation(document: t.Any) -> str:
    """Format the number of requests being cancelled."""
    return f'cancelling {len(document["request_ids"])} open requests'


def format_jobs(document: t.Any) -> str:
    """Format a list of jobs."""
    table = tables.render(
        ['job', 'client account', 'queue', 'state', 'tasks done', 'running'],
        [
            [
                job['job_id'],
                job['account'],
                job['queue'],
                job['state'],
                (
                    f'{_sum_over_steps(job, "done")} of '
                    f'{_sum_over_steps(job, "tasks")}'
                ),
                _sum_over_steps(job, 'running'),
            ]
            for job in document['jobs']
        ],
    )
    return f'{table}\n{document["pending"]} not started'


def _sum_over_steps(job: t.Any, field: str) -> int:
    return sum(step[field] for step in job['steps'])


def format_job(document: t.Any) -> str:
    """Format one job, with the leader's decisions on it if included."""
    heading = (
        f'{document["job_id"]}: {document["state"]}, '
        f'{document["queue"]} of {document["account"]}, priority '
        f'{document["priority"]}'
    )
    if 'failure' in document:
        heading += f', {document["failure"]}'
    steps = tables.render(
        ['step', 'tasks', 'done', 'running', 'failures', 'crashes'],
        [
            [
                index,
                step['tasks'],
                step['done'],
                step['running'],
                step['failures'],
                # Entries of earlier versions do not tell it.
                step.get('crashes', 0),
            ]
            for index, step in enumerate(document['steps'])
        ],
    )
    lines = [heading, steps]
    for decision in document.get('decisions', ()):
        fields = {
            key: value
            for key, value in decision.items()
            if key not in ('at_ms', 'event')
        }
        elapsed_ms = decision['at_ms'] - document['accepted_ms']
        details = ' '.join(f'{name}={value}' for name, value in fields.items())
        lines.append(
            f'{tables.duration(max(0, elapsed_ms))} after its acceptance: '
            f'{decision["event"]} {details}'
        )
    return '\n'.join(lines)


def format_job_state(document: t.Any) -> str:
    """Format the current state of a job."""
    return f'{document["job_id"]} is {document["state"]}'


def format_evacuation(document: t.Any) -> str:
    """Format whether a data centre is evacuated."""
    negation = '' if document['is_evacuated'] else 'not '
    return (
        f'{document["data_centre"]} is {negation}evacuated, as of revision '
        f'{document["revision"]}'
    )


def format_evacuations(document: t.Any) -> str:
    """Format a list of evacuated data centres."""
    if not document['evacuations']:
        return 'no data centre is evacuated'
    return tables.render(
        ['evacuated data centre', 'revision'],
        [
            [evacuation['data_centre'], evacuation['revision']]
            for evacuation in document['evacuations']
        ],
    )


def format_burn(document: t.Any) -> str:
    """Format the burn rates of all objectives."""
    if not document:
        return 'no objectives are configured; add them with a ticket'
    rows = []
    for objective in document:
        rates = [f'{window["rate"]:.2f}' for window in objective['windows']]
        rows.append(
            [
                objective['objective'],
                f'{objective["target_percent"]} %',
                *rates,
                f'{objective["budget_left_percent"]:.1f} %',
                ', '.join(objective['alerts']) or 'none',
            ]
        )
    headings = ['objective', 'target', '5 min', '1 h', '6 h', '3 d']
    return tables.render([*headings, 'budget left', 'alerts'], rows)
