"""Tests of job records, task names, metrics and the log line writer."""

import io
import threading

from hypothesis import given
from hypothesis import strategies as st
from mulberryloom_core.process import logs
from mulberryloom_core.process import process_metrics
from mulberryloom_core.request import job_records
from mulberryloom_core.request import jobs
import pytest

_STEPS = st.builds(
    jobs.Step,
    tasks=st.integers(1, 4),
    cpu_millis=st.integers(0, 10_000),
    accelerators=st.integers(0, 8),
    is_gang=st.booleans(),
    label=st.text(max_size=5),
)


@given(st.lists(_STEPS, min_size=1, max_size=3), st.data())
def test_record_round_trip_preserves_job(steps, data):
    spec = jobs.JobSpec('payload', tuple(steps))
    job = jobs.Job.from_spec('ab', spec, jobs.JobTerms('q', 's', 'a'), 7)
    for task in job.task_by_key.values():
        if data.draw(st.booleans()):
            task.last_run = 2
            task.run = jobs.Run(2, 'w', 5, 'vm')
            task.checkpoint = 'c'
            task.crashes = (jobs.Crash(1, 'vm', 7, True, False),)
            task.proven_run = 1
    job.failure = data.draw(st.sampled_from([None, *jobs.JobFailure]))
    assert job_records.decode(job_records.encode(job)).unwrap() == job


@pytest.mark.parametrize(
    'record', [b'', b'{}', b'[]', b'\xff', b'{"format": 9}', b'null']
)
def test_decode_refuses_malformed_record(record):
    assert job_records.decode(record).is_err()


def test_parse_task_name_inverts_task_name():
    key = jobs.TaskKey(1, 2, 3)
    assert jobs.parse_task_name(jobs.task_name('ab', key)) == ('ab', key)
    for name in ('', 'ab', 'ab.1.2', 'ab.x.1.2', 'ab.1.2.3.4'):
        assert jobs.parse_task_name(name) is None


def test_tally_limits_labels_of_counter():
    counts = process_metrics.ProcessMetrics()
    for index in range(1_000):
        counts.count('calls_total', f'label-{index}')
    lines = counts.text().splitlines()
    values = [line for line in lines if line.startswith('calls_total')]
    assert len(values) <= process_metrics.MAX_LABELS + 1
    assert 'calls_total{kind="other"} 960' in values


def test_tally_histogram_counts_every_duration():
    counts = process_metrics.ProcessMetrics()
    for duration_ms in (1, 60, 10**9):
        counts.observe_ms('wait_ms', duration_ms)
    lines = counts.text().splitlines()
    assert 'wait_ms_bucket{le="100.0"} 2.0' in lines
    assert 'wait_ms_count 3.0' in lines


class BlockedFile(io.StringIO):
    """A file on which writes block, as on a pipe that nobody reads."""

    def __init__(self):
        super().__init__()
        self.released = threading.Event()

    def write(self, text):
        self.released.wait(10)
        return super().write(text)


def test_line_writer_drops_and_counts_lines_while_file_blocks():
    target = BlockedFile()
    writer = logs.LineWriter(target, max_queued_lines=10)
    for index in range(1_000):
        writer.write(f'{index}\n')
    assert writer.dropped >= 988
    target.released.set()
    writer.drain()
    assert '"log lines dropped"' in target.getvalue()
