"""Tests of the log lines of a process."""

import json
import sys
import threading
import time

from mulberryloom_core.process import logs
import pytest
import structlog


@pytest.fixture(autouse=True)
def restored():
    """Leave the logging of other tests as it was."""
    yield
    structlog.reset_defaults()
    structlog.contextvars.clear_contextvars()


class Lines:
    """Keeps what is written."""

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


def test_of_a_sampled_event_one_of_so_many_is_written():
    target = Lines()
    options = logs.LogOptions('info', {'run confirmed': 10})
    logs.configure('info', target, options, process='p')
    log = structlog.get_logger()
    for number in range(30):
        log.info('run confirmed', number=number)
        log.warning('store lost')
    log.debug('not written')
    found = [item['event'] for item in target.documents]
    assert found.count('run confirmed') == 3
    assert found.count('store lost') == 30
    assert len(found) == 33
    kept = [i for i in target.documents if i['event'] == 'run confirmed']
    assert [item['number'] for item in kept] == [0, 10, 20]
    assert kept[0]['one_of'] == 10


def test_warnings_are_never_sampled():
    target = Lines()
    options = logs.LogOptions('info', {'store lost': 100})
    logs.configure('info', target, options)
    for _ in range(5):
        structlog.get_logger().warning('store lost')
    assert len(target.documents) == 5


class StuckOutput:
    """Standard output whose reader has stopped reading."""

    def __init__(self):
        self.released = threading.Event()

    def write(self, text):
        self.released.wait(20)
        return len(text)

    def flush(self):
        pass


def test_a_flood_of_lines_keeps_nobody_waiting(monkeypatch):
    """No line waits for a reader, and no more than the bound are kept."""
    stuck = StuckOutput()
    monkeypatch.setattr(sys, 'stdout', stuck)
    writer = logs.start(logs.LogOptions(), process='p')
    log = structlog.get_logger()
    longest_s = 0.0
    for number in range(2 * logs.MAX_WAITING_LINES):
        began_s = time.perf_counter()
        log.info('job accepted', number=number)
        longest_s = max(longest_s, time.perf_counter() - began_s)
    stuck.released.set()
    writer.drain()
    assert longest_s < 0.5
    assert writer.dropped >= logs.MAX_WAITING_LINES - 2
