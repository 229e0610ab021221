"""Structured logs as JSON lines."""

import collections
import dataclasses
import logging
import queue
import sys
import threading
import typing as t

import structlog

#: Lines queued for a slow reader; further lines are dropped and counted.
MAX_QUEUED_LINES = 5_000


class LineWriter:
    """Text stream whose writes never block.

    A thread writes the queued lines to the target. While the queue is full,
    lines are dropped; afterwards a line with the number of dropped lines is
    written.

    :param target: stream to which the thread writes.
    :param max_queued_lines: length of the queue in lines.
    :ivar dropped: lines dropped since the start.
    """

    def __init__(
        self, target: t.TextIO, max_queued_lines: int = MAX_QUEUED_LINES
    ) -> None:
        self.dropped = 0
        self._reported = 0
        self._target = target
        self._queue: queue.Queue[str] = queue.Queue(max_queued_lines)
        threading.Thread(target=self._run, daemon=True).start()

    def write(self, text: str) -> int:
        """Queue a line, or drop it if the queue is full."""
        try:
            self._queue.put_nowait(text)
        except queue.Full:
            self.dropped += 1
        return len(text)

    def flush(self) -> None:
        """Do nothing; the thread flushes whenever the queue is empty."""

    def drain(self) -> None:
        """Wait until all queued lines are written, at the end of a process."""
        self._queue.join()

    def _run(self) -> None:
        while True:
            text = self._queue.get()
            try:
                self._target.write(text)
                if self.dropped > self._reported:
                    count = self.dropped - self._reported
                    self._reported += count
                    self._target.write(
                        f'{{"event": "log lines dropped", "count": {count}}}\n'
                    )
                if self._queue.empty():
                    self._target.flush()
            except (OSError, ValueError):
                # The target is closed, so the loss cannot be reported there.
                self.dropped += 1
            finally:
                self._queue.task_done()


@dataclasses.dataclass(frozen=True, slots=True)
class LogOptions:
    """Log level and sampling of a process.

    :param level: lowest level that is written, such as ``info``.
    :param sampling_interval_by_event: for an event with interval ``n``, the
        first of each ``n`` lines below ``warning`` is written.
    """

    level: str = 'info'
    sampling_interval_by_event: dict[str, int] = dataclasses.field(
        default_factory=dict
    )


#: Part of a settings schema from which :class:`LogOptions` is read.
OPTIONS_SCHEMA: dict[str, t.Any] = {
    'log_level': {
        'enum': ['debug', 'info', 'warning', 'error'],
        'default': 'info',
        'description': 'lowest level that is logged',
    },
    'log_sampling': {
        'type': 'object',
        'additionalProperties': {
            'type': 'integer',
            'minimum': 1,
            'maximum': 1_000_000,
        },
        'default': {},
        'description': (
            'by event, of how many lines one is written; warnings and '
            'errors always are'
        ),
    },
}


class Sampler:
    """Log processor that samples the lines of frequent events.

    A line of a sampled event has the sampling interval as ``one_of``.
    """

    def __init__(self, options: LogOptions) -> None:
        self._sampling_interval_by_event = options.sampling_interval_by_event
        self._line_count_by_event: collections.Counter[str] = (
            collections.Counter()
        )

    def __call__(
        self, logger: t.Any, method: str, line: t.MutableMapping[str, t.Any]
    ) -> t.MutableMapping[str, t.Any]:
        """Pass a line to the next processor, or drop it.

        :param method: name of the log method, such as ``info``.
        :raises structlog.DropEvent: if the line is dropped.
        """
        event = line.get('event', '')
        sampling_interval = self._sampling_interval_by_event.get(event, 1)
        if sampling_interval == 1 or method not in ('debug', 'info'):
            return line
        self._line_count_by_event[event] += 1
        if self._line_count_by_event[event] % sampling_interval != 1:
            raise structlog.DropEvent
        line['one_of'] = sampling_interval
        return line


def start(options: LogOptions, **fields: t.Any) -> LineWriter:
    """Set up logging to standard output that never blocks.

    :param fields: fields of every line, such as the worker's name.
    :return: the writer, to be drained before the process ends.
    """
    writer = LineWriter(sys.stdout)
    configure(options.level, writer, options, **fields)
    return writer


def configure(
    level: str = 'info',
    file: t.Any = None,
    options: LogOptions | None = None,
    **fields: t.Any,
) -> None:
    """Set up logging of the process.

    :param level: lowest level that is written, such as ``info``.
    :param file: stream for the lines; standard error by default.
    :param options: sampling; the level in it is not used.
    :param fields: fields of every line, such as the worker's name.
    """
    structlog.configure(
        processors=[
            Sampler(options or LogOptions()),
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt='iso', utc=True),
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(
            logging.getLevelNamesMapping()[level.upper()]
        ),
        logger_factory=structlog.PrintLoggerFactory(file or sys.stderr),
    )
    structlog.contextvars.bind_contextvars(**fields)
