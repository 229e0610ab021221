"""Finds the log lines about one job in the logs of any processes."""

import dataclasses
import pathlib
import sys
import typing as t

import orjson

#: Fields left out of a line's details: every line has them, or they name
#: the job.
_COMMON_FIELDS = ('timestamp', 'level', 'event', 'process', 'job_id')
#: Exit codes of the command.
FOUND = 0
NOT_FOUND = 1


@dataclasses.dataclass(frozen=True, slots=True)
class Line:
    """One log line about a job.

    :param fields: all other fields of the line.
    """

    timestamp: str
    process: str
    event: str
    fields: dict[str, t.Any]

    def __str__(self) -> str:
        details = ' '.join(f'{k}={v}' for k, v in self.fields.items())
        return f'{self.timestamp} {self.process}: {self.event} {details}'


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
    for text in lines:
        document = parse(text)
        if document is None or 'event' not in document:
            continue
        is_about_task = str(document.get('task', '')).startswith(f'{job_id}.')
        is_named_in_reason = job_id in str(document.get('reason', ''))
        if (
            document.get('job_id') != job_id
            and not is_about_task
            and not is_named_in_reason
        ):
            continue
        fields = {k: v for k, v in document.items() if k not in _COMMON_FIELDS}
        if is_named_in_reason and document.get('job_id') != job_id:
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
    """Print the log lines about a job from log files or standard input.

    :param job_id: id of the job.
    :param paths: log files of any number of processes.
    """
    lines: list[str] = []
    for path in paths:
        lines += path.read_text(errors='replace').splitlines()
    if not paths:
        lines = sys.stdin.read().splitlines()
    found = find_lines(job_id, lines)
    for line in found:
        print(line)
    if not found:
        print(f'no log line about job {job_id}', file=sys.stderr)
        return NOT_FOUND
    return FOUND
