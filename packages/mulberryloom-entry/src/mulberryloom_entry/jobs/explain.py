"""The story of one job, told from the log lines of any processes."""

import dataclasses
import pathlib
import sys
import typing as t

import orjson

#: Fields that every line has or that name the line's subject.
_COMMON = ('timestamp', 'level', 'event', 'process', 'job_id')
FOUND = 0
NOT_FOUND = 1


@dataclasses.dataclass(frozen=True, slots=True)
class Line:
    """One log line about a job."""

    timestamp: str
    process: str
    event: str
    fields: dict[str, t.Any]

    def __str__(self) -> str:
        details = ' '.join(f'{k}={v}' for k, v in self.fields.items())
        return f'{self.timestamp} {self.process}: {self.event} {details}'


def parse(text: str) -> dict[str, t.Any] | None:
    """Return the JSON object in a line, whatever stands before it."""
    begin = text.find('{')
    if begin < 0:
        return None
    try:
        document = orjson.loads(text[begin:])
    except ValueError:
        return None
    return document if isinstance(document, dict) else None


def tell(job_id: str, lines: t.Iterable[str]) -> list[Line]:
    """Return the lines about a job, in the order of their times.

    :param lines: log lines of any number of processes; others are skipped.
    """
    found = []
    for text in lines:
        document = parse(text)
        if document is None or 'event' not in document:
            continue
        is_task = str(document.get('task', '')).startswith(f'{job_id}.')
        is_reason = job_id in str(document.get('reason', ''))
        if document.get('job_id') != job_id and not is_task and not is_reason:
            continue
        fields = {k: v for k, v in document.items() if k not in _COMMON}
        if is_reason and document.get('job_id') != job_id:
            fields = {'job_id': document.get('job_id'), **fields}
        found.append(
            Line(
                str(document.get('timestamp', '')),
                str(document.get('process', '')),
                str(document['event']),
                fields,
            )
        )
    return sorted(found, key=lambda line: line.timestamp)


def explain(job_id: str, *paths: pathlib.Path) -> int:
    """Print the story of a job from log files, or from standard input.

    :param job_id: id of the job.
    :param paths: log files of any number of processes.
    """
    lines: list[str] = []
    for path in paths:
        lines += path.read_text(errors='replace').splitlines()
    if not paths:
        lines = sys.stdin.read().splitlines()
    story = tell(job_id, lines)
    for line in story:
        print(line)
    if not story:
        print(f'no line about {job_id}', file=sys.stderr)
        return NOT_FOUND
    return FOUND
