"""Tests of JSON documents of jobs."""

import json

from mulberryloom_core import exceptions
from mulberryloom_core.request import job_documents
from mulberryloom_core.request import jobs
import pytest


def _read(**fields):
    document = {'queue': 'rental/fit', 'steps': [{'tasks': 1}], **fields}
    return job_documents.read(json.dumps(document).encode())


def test_read_keeps_every_field_of_step():
    step = {
        'tasks': 4,
        'processors': 1.5,
        'memory_mb': 64,
        'accelerators': 8,
        'estimate_ms': 900,
        'after': [0],
        'is_gang': True,
        'is_same_rack': True,
        'label': 'a',
        'rack': 'r1',
        'max_per_worker': 1,
        'is_checkpointed': True,
        'is_lasting': False,
    }
    submission = _read(steps=[{'tasks': 1}, step], payload='x').unwrap()
    assert submission.queue == 'rental/fit'
    assert submission.spec.payload == 'x'
    assert submission.spec.steps[1] == jobs.Step(
        4, 1_500, 64, 8, 900, (0,), True, True, 'a', 'r1', 1, True
    )


@pytest.mark.parametrize(
    ('fields', 'path'),
    [
        ({'steps': []}, '$.steps'),
        ({'steps': [{'tasks': 0}]}, '$.steps[0].tasks'),
        ({'steps': [{'tasks': 1, 'cpu': 3}]}, '$.steps[0]'),
        ({'steps': [{'tasks': 1, 'after': [0]}]}, '$.steps[0].after'),
        ({'queue': 7}, '$.queue'),
        ({'payload': 'x' * 5_000}, '$.payload'),
        ({'repeats': 10, 'steps': [{'tasks': 7_000}]}, '$.steps'),
        ({'owner': 'me'}, '$'),
    ],
)
def test_read_reports_problem_with_path(fields, path):
    error = _read(**fields).unwrap_err()
    assert error.kind is exceptions.ErrorKind.MALFORMED_REQUEST
    assert error.detail.startswith(f'{path}:')


@pytest.mark.parametrize('body', [b'', b'[', b'[]', b'\xff\xfe'])
def test_read_refuses_body_that_is_not_json_object(body):
    assert job_documents.read(body).is_err()


def test_describe_counts_tasks_of_each_step():
    spec = jobs.JobSpec('', (jobs.Step(3), jobs.Step(2, after=(0,))))
    terms = jobs.JobTerms('rental/fit', 'rental', 'accra', 1)
    job = jobs.Job.from_spec('j1', spec, terms, 5)
    tasks = list(job.task_by_key.values())
    tasks[0].is_done = True
    tasks[1].run = jobs.Run(1, 'w', 2)
    tasks[1].last_run = 1
    description = job_documents.describe(job)
    assert description['state'] == 'running'
    assert description['steps'][0] == {
        'tasks': 3,
        'done': 1,
        'running': 1,
        'failures': 0,
        'crashes': 0,
    }
    assert description['steps'][1]['done'] == 0


def test_describe_tells_why_a_job_failed_and_counts_crashes():
    spec = jobs.JobSpec('', (jobs.Step(1),))
    terms = jobs.JobTerms('rental/fit', 'rental', 'accra', 1)
    job = jobs.Job.from_spec('j1', spec, terms, 5)
    assert 'failure' not in job_documents.describe(job)
    (task,) = job.task_by_key.values()
    task.crashes = (jobs.Crash(1, 'vm', 7, True, True),) * 2
    job.fail(jobs.JobFailure.CRASHES)
    description = job_documents.describe(job)
    assert description['failure'] == 'worker-crashes'
    assert description['steps'][0]['crashes'] == 2
