"""Logs as JSON lines."""

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


def configure(
    level: str = 'info', file: t.Any = None, **fields: t.Any
) -> None:
    """Set up logging of the process.

    :param level: lowest level that is written, such as ``info``.
    :param file: where lines go; standard error by default.
    :param fields: fields of every line, such as the worker's name.
    """
    structlog.configure(
        processors=[
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
