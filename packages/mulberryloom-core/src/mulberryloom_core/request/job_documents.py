"""JSON documents of jobs: submissions and descriptions for callers."""

import dataclasses
import typing as t

from result import Err
from result import Ok
from result import Result

from .. import exceptions
from . import jobs
from ..process import settings

#: Limit on the payload, since every task receives a copy.
MAX_PAYLOAD_CHARACTERS = 4_000
#: Limit on the tasks of a job, whose record must fit into one store value.
MAX_TASKS = 8_000
MAX_STEPS = 100
_MILLIS_PER_CORE = 1_000

_AMOUNT = {'type': 'integer', 'minimum': 0, 'maximum': 1_000_000_000}
_TIME = {'type': 'integer', 'minimum': 0, 'maximum': 1 << 53}
_NAME = {'type': 'string', 'maxLength': 100}
_FLAG = {'type': 'boolean'}

STEP_SCHEMA: dict[str, t.Any] = {
    'type': 'object',
    'additionalProperties': False,
    'required': ['tasks'],
    'properties': {
        'tasks': {'type': 'integer', 'minimum': 1, 'maximum': MAX_TASKS},
        'processors': {'type': 'number', 'minimum': 0, 'maximum': 10_000},
        'memory_mb': _AMOUNT,
        'accelerators': {**_AMOUNT, 'maximum': 1_024},
        'estimate_ms': _TIME,
        'after': {'type': 'array', 'items': _AMOUNT, 'uniqueItems': True},
        'is_gang': _FLAG,
        'is_same_rack': _FLAG,
        'label': _NAME,
        'rack': _NAME,
        'max_per_worker': _AMOUNT,
        'is_checkpointed': _FLAG,
        'is_lasting': _FLAG,
    },
}

SCHEMA: dict[str, t.Any] = {
    'type': 'object',
    'additionalProperties': False,
    'required': ['queue', 'steps'],
    'properties': {
        'queue': {'type': 'string', 'minLength': 1, 'maxLength': 200},
        'payload': {'type': 'string', 'maxLength': MAX_PAYLOAD_CHARACTERS},
        'steps': {
            'type': 'array',
            'minItems': 1,
            'maxItems': MAX_STEPS,
            'items': STEP_SCHEMA,
        },
        'repeats': {'type': 'integer', 'minimum': 0, 'maximum': MAX_TASKS},
        'first_due_ms': _TIME,
        'interval_ms': _TIME,
    },
}


@dataclasses.dataclass(frozen=True, slots=True)
class Submission:
    """A validated submission.

    :param queue: name of the queue.
    """

    queue: str
    spec: jobs.JobSpec


def read(body: bytes) -> Result[Submission, exceptions.Error]:
    """Parse and validate a submission.

    :return: the submission, or an error of kind ``MALFORMED_REQUEST`` that
        lists all problems with their paths.
    """
    parsed = settings.parse(body, SCHEMA)
    if isinstance(parsed, Err):
        return _malformed(
            '; '.join(str(problem) for problem in parsed.err_value)
        )
    document = parsed.ok_value
    steps = tuple(_step(item) for item in document['steps'])
    for index, step in enumerate(steps):
        if any(earlier >= index for earlier in step.after):
            return _malformed(
                f'$.steps[{index}].after: expected indexes below {index}, '
                f'got {list(step.after)}'
            )
    repeats = document.get('repeats', 0)
    tasks = max(1, repeats) * sum(step.tasks for step in steps)
    if tasks > MAX_TASKS:
        return _malformed(
            f'$.steps: expected at most {MAX_TASKS} tasks over all '
            f'repetitions, got {tasks}'
        )
    spec = jobs.JobSpec(
        document.get('payload', ''),
        steps,
        repeats,
        document.get('first_due_ms', 0),
        document.get('interval_ms', 0),
    )
    return Ok(Submission(document['queue'], spec))


def _step(item: dict[str, t.Any]) -> jobs.Step:
    fields = dict(item)
    fields['cpu_millis'] = round(
        fields.pop('processors', 0) * _MILLIS_PER_CORE
    )
    fields['after'] = tuple(fields.get('after', ()))
    return jobs.Step(**fields)


def _malformed(detail: str) -> Err[exceptions.Error]:
    kind = exceptions.ErrorKind.MALFORMED_REQUEST
    return Err(exceptions.Error.from_kind(kind, detail))


def describe(job: jobs.Job) -> dict[str, t.Any]:
    """Return the JSON document of a job for callers and operators."""
    document = {
        'job_id': job.job_id,
        'queue': job.terms.queue,
        'account': job.terms.account,
        'priority': job.terms.priority,
        'state': job.state.value,
        'accepted_ms': job.accepted_ms,
        'ended_ms': job.ended_ms,
        'steps': [
            _describe_step(job, index) for index in range(len(job.spec.steps))
        ],
    }
    if job.failure is not None:
        document['failure'] = job.failure.value
    return document


def _describe_step(job: jobs.Job, index: int) -> dict[str, t.Any]:
    tasks = [
        task for key, task in job.task_by_key.items() if key.step == index
    ]
    return {
        'tasks': len(tasks),
        'done': sum(task.is_done for task in tasks),
        'running': sum(task.run is not None for task in tasks),
        'failures': sum(task.failures for task in tasks),
        'crashes': sum(len(task.crashes) for task in tasks),
    }
