"""Logs as JSON lines."""

import collections
import dataclasses
import logging
import queue
import sys
import threading
import typing as t

import structlog

#: Lines that wait for a slow reader; more are dropped and counted.
MAX_WAITING_LINES = 5_000


class LineWriter:
    """File that never blocks who writes to it.

    A thread passes the lines on. When its queue is full, lines are dropped
    and a line with their number follows once there is room.

    :param target: where the lines go.
    :ivar dropped: lines dropped since the start.
    """

    def __init__(
        self, target: t.TextIO, max_waiting: int = MAX_WAITING_LINES
    ) -> None:
        self.dropped = 0
        self._told = 0
        self._target = target
        self._queue: queue.Queue[str] = queue.Queue(max_waiting)
        threading.Thread(target=self._run, daemon=True).start()

    def write(self, text: str) -> int:
        """Take a line, or drop it."""
        try:
            self._queue.put_nowait(text)
        except queue.Full:
            self.dropped += 1
        return len(text)

    def flush(self) -> None:
        """Return at once; the thread flushes after each line."""

    def drain(self) -> None:
        """Wait until all lines are passed on; for the end of a process."""
        self._queue.join()

    def _run(self) -> None:
        while True:
            text = self._queue.get()
            try:
                self._target.write(text)
                if self.dropped > self._told:
                    lost = self.dropped - self._told
                    self._told += lost
                    self._target.write(
                        f'{{"event": "log lines dropped", "count": {lost}}}\n'
                    )
                if self._queue.empty():
                    self._target.flush()
            except (OSError, ValueError):
                # The reader is gone; there is nobody left to tell.
                self.dropped += 1
            finally:
                self._queue.task_done()


@dataclasses.dataclass(frozen=True, slots=True)
class LogOptions:
    """Which lines a process writes.

    :param level: lowest level, such as ``info``.
    :param keep_one_of_by_event: of an event's lines below ``warning``
        only every so many-th is written.
    """

    level: str = 'info'
    keep_one_of_by_event: dict[str, int] = dataclasses.field(
        default_factory=dict
    )


#: The part of a settings schema that holds :class:`LogOptions`.
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
    """Drops most lines of frequent events, and tells how many."""

    def __init__(self, options: LogOptions) -> None:
        self._keep_one_of = options.keep_one_of_by_event
        self._seen: collections.Counter[str] = collections.Counter()

    def __call__(
        self, logger: t.Any, method: str, line: t.MutableMapping[str, t.Any]
    ) -> t.MutableMapping[str, t.Any]:
        """Pass a line on, or drop it.

        :raises structlog.DropEvent: when it is dropped.
        """
        event = line.get('event', '')
        keep_one_of = self._keep_one_of.get(event, 1)
        if keep_one_of == 1 or method not in ('debug', 'info'):
            return line
        self._seen[event] += 1
        if self._seen[event] % keep_one_of != 1:
            raise structlog.DropEvent
        line['one_of'] = keep_one_of
        return line


def start(options: LogOptions, **fields: t.Any) -> LineWriter:
    """Log to standard output from now on, without ever waiting for it.

    :param fields: fields of every line, such as the worker's name.
    :return: the writer, to be drained at the end.
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
    :param file: where lines go; standard error by default.
    :param options: which lines are written.
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
