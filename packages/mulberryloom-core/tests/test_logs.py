"""Tests of the logging of a process."""

import json
import sys
import threading
import time

from mulberryloom_core.process import logs
import pytest
import structlog


@pytest.fixture(autouse=True)
def restored_logging():
    """Reset the logging configuration for other tests."""
    yield
    structlog.reset_defaults()
    structlog.contextvars.clear_contextvars()


class RecordingStream:
    """Stream that records the written text."""

    def __init__(self):
        self.text = ''

    def write(self, text):
        self.text += text
        return len(text)

    def flush(self):
        pass

    @property
    def documents(self):
        return [json.loads(line) for line in self.text.splitlines()]


def test_sampler_writes_first_line_of_each_interval():
    target = RecordingStream()
    options = logs.LogOptions('info', {'run confirmed': 10})
    logs.configure('info', target, options, process='p')
    log = structlog.get_logger()
    for number in range(30):
        log.info('run confirmed', number=number)
        log.warning('store unreachable')
    log.debug('not written')
    events = [line['event'] for line in target.documents]
    assert events.count('run confirmed') == 3
    assert events.count('store unreachable') == 30
    assert len(events) == 33
    sampled = [
        line for line in target.documents if line['event'] == 'run confirmed'
    ]
    assert [line['number'] for line in sampled] == [0, 10, 20]
    assert sampled[0]['one_of'] == 10


def test_sampler_keeps_all_warnings():
    target = RecordingStream()
    options = logs.LogOptions('info', {'store unreachable': 100})
    logs.configure('info', target, options)
    for _ in range(5):
        structlog.get_logger().warning('store unreachable')
    assert len(target.documents) == 5


class BlockedOutput:
    """Standard output that blocks, since its reader does not read."""

    def __init__(self):
        self.released = threading.Event()

    def write(self, text):
        self.released.wait(20)
        return len(text)

    def flush(self):
        pass


def test_logging_does_not_block_on_blocked_output(monkeypatch):
    """A log call returns at once; lines over the queue limit are dropped."""
    blocked = BlockedOutput()
    monkeypatch.setattr(sys, 'stdout', blocked)
    writer = logs.start(logs.LogOptions(), process='p')
    log = structlog.get_logger()
    longest_s = 0.0
    for number in range(2 * logs.MAX_QUEUED_LINES):
        started_s = time.perf_counter()
        log.info('job accepted', number=number)
        longest_s = max(longest_s, time.perf_counter() - started_s)
    blocked.released.set()
    writer.drain()
    assert longest_s < 0.5
    assert writer.dropped >= logs.MAX_QUEUED_LINES - 2
