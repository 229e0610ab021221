"""Answers of the operators' interface as text for people."""

import typing as t

from . import tables


def checked(document: t.Any) -> str:
    """Tell that a ticket would be accepted."""
    return (
        f'ticket {document["number"]} would be accepted; '
        f'{document["room_bytes"]} bytes of room left'
    )


def applied(document: t.Any) -> str:
    """Tell that a ticket was accepted."""
    return (
        f'ticket {document["number"]} accepted as version '
        f'{document["version"]}; {document["room_bytes"]} bytes of room left'
    )


def ticket(document: t.Any) -> str:
    """Tell where a ticket is in force."""
    place = 'everywhere' if document['is_everywhere'] else 'in part'
    table = tables.render(
        ['process', 'version in force'],
        document['version_by_process'].items(),
    )
    return (
        f'ticket {document["number"]} (version {document["version"]}) is in '
        f'force {place}\n{table}'
    )


def _amounts(resources: t.Any) -> str:
    return (
        f'{resources["accelerators"]} acc, {resources["slots"]} slots, '
        f'{resources["processors"]} cpu, {resources["memory_mb"]} MB'
    )


def status(document: t.Any) -> str:
    """Return the status of a region for people."""
    state = 'stopping' if document['is_stopping'] else 'running'
    title = (
        f'{document["name"]} ({document["data_centre"]}, '
        f'{document["region"]}): {state}, configuration version '
        f'{document["config_version"]}, '
        f'{document["open_requests"]} open requests'
    )
    owners = {s['account']: s['owner'] for s in document['shards']}
    accounts = tables.render(
        ['client account', 'guaranteed', 'in use', 'borrowed', 'owner'],
        [
            [
                account['name'],
                _amounts(account['guaranteed']),
                _amounts(account['used']),
                f'{account["borrowed_accelerators"]} acc',
                owners.get(account['name'], ''),
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
                _amounts(worker['used']),
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
                job['request_id'],
                job['account'],
                tables.duration(job['waited_ms']),
                job['cause'],
                job['detail'],
            ]
            for job in document['queued']
        ],
    )
    return '\n\n'.join([title, accounts, workers, entries, queued])


def _health(worker: t.Any) -> str:
    if worker['is_leaving']:
        return 'leaving'
    if worker['is_quarantined']:
        return 'quarantined'
    return worker['health']


def requests(document: t.Any) -> str:
    """List open requests."""
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


def cancelled(document: t.Any) -> str:
    """Tell how many requests are being cancelled."""
    return f'cancelling {len(document["request_ids"])} open requests'


def jobs(document: t.Any) -> str:
    """List jobs."""
    table = tables.render(
        ['job', 'client account', 'queue', 'state', 'tasks done', 'running'],
        [
            [
                job['job_id'],
                job['account'],
                job['queue'],
                job['state'],
                f'{_sum(job, "done")} of {_sum(job, "tasks")}',
                _sum(job, 'running'),
            ]
            for job in document['jobs']
        ],
    )
    return f'{table}\n{document["pending"]} not started'


def _sum(job: t.Any, field: str) -> int:
    return sum(step[field] for step in job['steps'])


def job(document: t.Any) -> str:
    """Return one job for people, with the decisions on it if shown."""
    head = (
        f'{document["job_id"]}: {document["state"]}, '
        f'{document["queue"]} of {document["account"]}, priority '
        f'{document["priority"]}'
    )
    steps = tables.render(
        ['step', 'tasks', 'done', 'running', 'failures'],
        [
            [n, s['tasks'], s['done'], s['running'], s['failures']]
            for n, s in enumerate(document['steps'])
        ],
    )
    lines = [head, steps]
    for item in document.get('decisions', ()):
        fields = {k: v for k, v in item.items() if k not in ('at_ms', 'event')}
        after_ms = item['at_ms'] - document['accepted_ms']
        details = ' '.join(f'{name}={value}' for name, value in fields.items())
        lines.append(
            f'{tables.duration(max(0, after_ms))} after its acceptance: '
            f'{item["event"]} {details}'
        )
    return '\n'.join(lines)


def job_state(document: t.Any) -> str:
    """Tell the state that a job is in now."""
    return f'{document["job_id"]} is {document["state"]}'


def burn(document: t.Any) -> str:
    """Return the burn report for people."""
    if not document:
        return 'no objectives are configured; set them by ticket'
    rows = []
    for item in document:
        rates = [f'{window["rate"]:.2f}' for window in item['windows']]
        rows.append(
            [
                item['objective'],
                f'{item["target_percent"]} %',
                *rates,
                f'{item["budget_left_percent"]:.1f} %',
                ', '.join(item['alerts']) or 'none',
            ]
        )
    heads = ['objective', 'target', '5 min', '1 h', '6 h', '3 d']
    return tables.render([*heads, 'budget left', 'alerts'], rows)
