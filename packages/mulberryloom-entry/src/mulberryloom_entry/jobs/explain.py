"""Finds the log lines about one job in the logs of any processes.

Beside the lines that name the job, those about the workers and agents of its
runs tell why a run was given up.
"""

import dataclasses
import datetime
import pathlib
import sys
import typing as t

from mulberryloom_core import identity
import orjson

#: Fields left out of a line's details: every line has them, or they name
#: the job.
_COMMON_FIELDS = ('timestamp', 'level', 'event', 'process', 'job_id')
#: Events at entries about workers and agents that may tell why a run was
#: given up.
_ENTRY_EVENTS = frozenset(
    {
        'session with agent lost',
        'session with agent opened',
        'worker adopted',
        'worker removed',
        'worker responsive again',
        'worker unresponsive',
    }
)
#: Such events at agents; also messages that an entry drops.
_AGENT_EVENTS = frozenset(
    {
        'agent started',
        'agent stopped',
        'agent was suspended',
        'following new leader',
        'heartbeat of another writer ignored',
        'invalid heartbeat rejected',
        'lease renewal rejected',
        'messages dropped',
        'new worker incarnation',
        'run lists are partial',
        'run lists are whole again',
        'session with leader lost',
        'worker crashed',
        'worker draining',
        'worker has shrunk',
        'worker lease counts as expired',
        'worker leaving',
        'worker left',
        'worker not verified',
        'worker to be verified',
    }
)
_WORKER_EVENTS = _ENTRY_EVENTS | _AGENT_EVENTS
#: Events with which the leader stops to track a run.
_END_EVENTS = ('run discarded', 'run ended')
#: Time after the last run for which lines about its worker are printed: the
#: leader's timeout of a silent worker.
MARGIN_MS = 10_000
#: Prefix of the lines that do not name the job.
_WORKER_LINE_INDENT = '    '
#: Exit codes of the command.
FOUND = 0
NOT_FOUND = 1


@dataclasses.dataclass(frozen=True, slots=True)
class Line:
    """One log line about a job, or a worker or agent of its runs.

    :param fields: all other fields of the line.
    :param is_about_job: whether the line names the job.
    """

    timestamp: str
    process: str
    event: str
    fields: dict[str, t.Any]
    is_about_job: bool = True

    @classmethod
    def from_document(
        cls, document: dict[str, t.Any], *, is_about_job: bool = True
    ) -> 'Line':
        """Build a line from its JSON object."""
        return cls(
            str(document.get('timestamp', '')),
            str(document.get('process', '')),
            str(document['event']),
            {k: v for k, v in document.items() if k not in _COMMON_FIELDS},
            is_about_job,
        )

    def __str__(self) -> str:
        indent = '' if self.is_about_job else _WORKER_LINE_INDENT
        details = ' '.join(f'{k}={v}' for k, v in self.fields.items())
        return (
            f'{indent}{self.timestamp} {self.process}: {self.event} {details}'
        )

    @property
    def time_ms(self) -> int | None:
        """Unix time; ``None`` if the line has none."""
        return _read_time_ms(self.timestamp)


def parse(text: str) -> dict[str, t.Any] | None:
    """Return the JSON object in a log line, after any prefix.

    :return: ``None`` if the line holds no JSON object.
    """
    start = text.find('{')
    if start < 0:
        return None
    try:
        document = orjson.loads(text[start:])
    except ValueError:
        return None
    return document if isinstance(document, dict) else None


def find_lines(job_id: str, lines: t.Iterable[str]) -> list[Line]:
    """Return the log lines about a job, sorted by time.

    Includes lines on its tasks, and lines on other jobs that name it as
    the reason. Lines without a JSON object or an event are skipped.

    :param lines: log lines of any number of processes.
    """
    found = []
    for document in _read_documents(lines):
        if not _names_job(job_id, document):
            continue
        line = Line.from_document(document)
        if not _is_about_job(job_id, document):
            fields = {'job_id': document.get('job_id'), **line.fields}
            line = dataclasses.replace(line, fields=fields)
        found.append(line)
    return sorted(found, key=lambda line: line.timestamp)


def find_worker_lines(
    job_id: str, job_lines: list[Line], lines: t.Iterable[str]
) -> list[Line]:
    """Return the log lines about the workers and agents of a job's runs.

    Only those count that were written from the first run on until a while
    after the last one.

    :param job_lines: the lines about the job, sorted by time.
    :param lines: log lines of any number of processes.
    """
    # Lines about other jobs name this one only as their reason.
    run_lines = [
        line
        for line in job_lines
        if 'run' in line.fields and 'job_id' not in line.fields
    ]
    window = _time_window_ms(run_lines)
    if window is None:
        return []
    documents = list(_read_documents(lines))
    workers = {
        str(line.fields['worker'])
        for line in run_lines
        if 'worker' in line.fields
    }
    vms = _find_vms(workers, documents)
    found = []
    for document in documents:
        line = Line.from_document(document, is_about_job=False)
        if line.event not in _WORKER_EVENTS or _names_job(job_id, document):
            continue
        if line.time_ms is None or not window[0] <= line.time_ms <= window[1]:
            continue
        if str(document.get('worker')) in workers or _vms_of(line) & vms:
            found.append(line)
    return sorted(found, key=lambda line: line.timestamp)


def _read_documents(lines: t.Iterable[str]) -> t.Iterator[dict[str, t.Any]]:
    for text in lines:
        document = parse(text)
        if document is not None and 'event' in document:
            yield document


def _names_job(job_id: str, document: dict[str, t.Any]) -> bool:
    """Whether a line is about a job, or about another on its account."""
    return _is_about_job(job_id, document) or (
        job_id in str(document.get('reason', ''))
    )


def _is_about_job(job_id: str, document: dict[str, t.Any]) -> bool:
    return document.get('job_id') == job_id or str(
        document.get('task', '')
    ).startswith(f'{job_id}.')


def _time_window_ms(run_lines: list[Line]) -> tuple[float, float] | None:
    """Return the first and last time of the lines about workers.

    :param run_lines: the lines about the job's runs, sorted by time.
    :return: ``None`` if the job has no run.
    """
    times_ms = [line.time_ms for line in run_lines]
    known_ms = [time_ms for time_ms in times_ms if time_ms is not None]
    if not known_ms:
        return None
    open_runs = set()
    for line in run_lines:
        key = (str(line.fields.get('task')), str(line.fields['run']))
        if line.event == 'run planned':
            open_runs.add(key)
        elif line.event in _END_EVENTS:
            open_runs.discard(key)
    if open_runs:
        return known_ms[0], float('inf')
    return known_ms[0], known_ms[-1] + MARGIN_MS


def _find_vms(
    workers: set[str], documents: list[dict[str, t.Any]]
) -> set[str]:
    """Return the VMs on which workers ran, by their agents."""
    vms = set()
    for document in documents:
        if str(document.get('worker')) not in workers:
            continue
        if document['event'] == 'new worker incarnation':
            vms.add(str(document.get('process', '')))
        if 'agent' in document:
            vms.add(identity.vm_of(str(document['agent'])))
    return vms - {''}


def _vms_of(line: Line) -> set[str]:
    """Return the VMs of the agents that wrote a line or that it names.

    An entry may run on the VM of an agent, and writes lines about all.
    """
    peers = [line.fields.get(name, '') for name in ('agent', 'peer')]
    vms = {identity.vm_of(str(peer)) for peer in peers}
    if line.event in _AGENT_EVENTS:
        vms.add(line.process)
    return vms


def _read_time_ms(timestamp: str) -> int | None:
    try:
        time = datetime.datetime.fromisoformat(timestamp)
        return round(time.timestamp() * 1_000)
    except (OverflowError, ValueError):
        return None


def explain(job_id: str, *paths: pathlib.Path) -> int:
    """Print the log lines about a job from log files or standard input.

    Lines about the workers and agents of its runs are indented.

    :param job_id: id of the job.
    :param paths: log files of any number of processes.
    """
    lines: list[str] = []
    for path in paths:
        lines += path.read_text(errors='replace').splitlines()
    if not paths:
        lines = sys.stdin.read().splitlines()
    found = find_lines(job_id, lines)
    found += find_worker_lines(job_id, found, lines)
    for line in sorted(found, key=lambda line: line.timestamp):
        print(line)
    if not found:
        print(f'no log line about job {job_id}', file=sys.stderr)
        return NOT_FOUND
    return FOUND
