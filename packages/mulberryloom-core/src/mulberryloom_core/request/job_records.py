"""Records of jobs in the store."""

import dataclasses
import typing as t

import orjson
from result import Err
from result import Ok
from result import Result

from ..exceptions import Error
from ..exceptions import ErrorKind
from . import jobs

#: Version of the record format.
FORMAT = 1


def encode(job: jobs.Job) -> bytes:
    """Return the record of a job, without tasks that had no run.

    Fields that most jobs lack are left out. Earlier versions ignore them.
    """
    document: dict[str, t.Any] = {
        'format': FORMAT,
        'id': job.job_id,
        'spec': _encode_spec(job.spec),
        'terms': dataclasses.asdict(job.terms),
        'accepted_ms': job.accepted_ms,
        'is_cancelled': job.is_cancelled,
        'is_failed': job.is_failed,
        'ended_ms': job.ended_ms,
        'tasks': [
            _encode_task(task)
            for task in job.task_by_key.values()
            if task.last_run
        ],
    }
    if job.failure is not None:
        document['failure'] = job.failure.value
    crashes = [
        _encode_crashes(task)
        for task in job.task_by_key.values()
        if task.crashes or task.proven_run
    ]
    if crashes:
        document['crashes'] = crashes
    return orjson.dumps(document)


def decode(record: bytes) -> Result[jobs.Job, Error]:
    """Read a record written by :func:`encode`.

    :return: the job, or an error of kind ``MALFORMED_REQUEST``.
    """
    try:
        document = orjson.loads(record)
        if document['format'] != FORMAT:
            raise ValueError(
                f'expected format {FORMAT}, got {document["format"]}'
            )
        return Ok(_decode_job(document))
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        return Err(
            Error.from_kind(
                ErrorKind.MALFORMED_REQUEST, f'invalid job record: {error!r}'
            )
        )


def _decode_job(document: dict[str, t.Any]) -> jobs.Job:
    job = jobs.Job.from_spec(
        document['id'],
        _decode_spec(document['spec']),
        jobs.JobTerms(**document['terms']),
        document['accepted_ms'],
    )
    job.is_cancelled = document['is_cancelled']
    job.is_failed = document['is_failed']
    job.ended_ms = document['ended_ms']
    for row in document['tasks']:
        task = _decode_task(row)
        if task.key not in job.task_by_key:
            raise ValueError(f'task is not in the specification: {task.key}')
        job.task_by_key[task.key] = task
    if 'failure' in document:
        job.failure = jobs.JobFailure(document['failure'])
    for row in document.get('crashes', ()):
        _decode_crashes(row, job)
    return job


def _encode_spec(spec: jobs.JobSpec) -> dict[str, t.Any]:
    """Return a specification as JSON, without default values."""
    document: dict[str, t.Any] = {
        'payload': spec.payload,
        'steps': [_non_default_fields(step) for step in spec.steps],
    }
    if spec.repeats:
        document['repeats'] = spec.repeats
        document['first_due_ms'] = spec.first_due_ms
        document['interval_ms'] = spec.interval_ms
    return document


def _non_default_fields(step: jobs.Step) -> dict[str, t.Any]:
    """Return the non-default fields of a step, and ``tasks`` in any case."""
    return {
        field.name: getattr(step, field.name)
        for field in dataclasses.fields(step)
        if getattr(step, field.name) or field.name == 'tasks'
    }


def _decode_spec(document: dict[str, t.Any]) -> jobs.JobSpec:
    steps = []
    for fields in document['steps']:
        after = tuple(fields.pop('after', ()))
        steps.append(jobs.Step(**fields, after=after))
    return jobs.JobSpec(
        document['payload'],
        tuple(steps),
        document.get('repeats', 0),
        document.get('first_due_ms', 0),
        document.get('interval_ms', 0),
    )


def _encode_task(task: jobs.Task) -> list[t.Any]:
    run = task.run
    return [
        task.key.repetition,
        task.key.step,
        task.key.index,
        task.last_run,
        task.failures,
        task.checkpoint,
        task.is_done,
        [run.number, run.worker, run.worker_boot, run.vm] if run else None,
    ]


def _decode_task(row: list[t.Any]) -> jobs.Task:
    repetition, step, index, last_run, failures, checkpoint, is_done, run = row
    return jobs.Task(
        jobs.TaskKey(repetition, step, index),
        last_run,
        failures,
        checkpoint,
        is_done,
        jobs.Run(*run) if run else None,
    )


def _encode_crashes(task: jobs.Task) -> list[t.Any]:
    return [
        *dataclasses.astuple(task.key),
        task.proven_run,
        [dataclasses.astuple(crash) for crash in task.crashes],
    ]


def _decode_crashes(row: list[t.Any], job: jobs.Job) -> None:
    repetition, step, index, proven_run, crashes = row
    task = job.task_by_key[jobs.TaskKey(repetition, step, index)]
    task.proven_run = proven_run
    task.crashes = tuple(jobs.Crash(*fields) for fields in crashes)
