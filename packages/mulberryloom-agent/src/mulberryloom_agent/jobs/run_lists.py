"""Checked rows of the lists of runs that a worker returns."""

import typing as t

from mulberryloom_core import messages
import structlog

#: Largest number that a row may contain; JSON has no larger exact ones.
MAX_INTEGER = 1 << 53
MAX_TEXT_BYTES = 4_096
_PERCENT = 100

_Row = t.TypeVar('_Row')

_log = structlog.get_logger(__name__)


def running_task(
    task: t.Any, run_number: t.Any, checkpoint: t.Any, progress: t.Any
) -> messages.RunningTask:
    """Build a row of the running tasks.

    :param progress: percentage; values above 100 are lowered to it.
    :raises ValueError: if a value is of another type or out of range.
    """
    return messages.RunningTask(
        _text(task),
        _integer(run_number),
        _text(checkpoint),
        min(_PERCENT, _integer(progress)),
    )


def ended_task(
    sequence: t.Any,
    task: t.Any,
    run_number: t.Any,
    how: t.Any,
    checkpoint: t.Any,
) -> messages.EndedTask:
    """Build a row of the ended tasks.

    :raises ValueError: if a value is of another type or out of range.
    """
    return messages.EndedTask(
        _integer(sequence),
        _text(task),
        _integer(run_number),
        _text(how),
        _text(checkpoint),
    )


def read_rows(
    worker: str, rows: t.Iterable[t.Any], read_row: t.Callable[[t.Any], _Row]
) -> tuple[tuple[_Row, ...], bool]:
    """Read the rows of a list, skipping those that cannot be read.

    :param worker: worker that has sent the list, for the log.
    :return: the rows, and whether some were skipped.
    """
    found = []
    is_partial = False
    for row in rows:
        try:
            found.append(read_row(row))
        except (ValueError, TypeError, LookupError, AttributeError) as error:
            is_partial = True
            _log.warning(
                'row of run list skipped', worker=worker, reason=repr(error)
            )
    return tuple(found), is_partial


def _integer(value: t.Any) -> int:
    if isinstance(value, bool) or not isinstance(value, int):
        raise ValueError(f'expected an integer, got {type(value).__name__}')
    if not 0 <= value <= MAX_INTEGER:
        raise ValueError(f'expected an integer from 0 to {MAX_INTEGER}')
    return value


def _text(value: t.Any) -> str:
    if not isinstance(value, str):
        raise ValueError(f'expected a string, got {type(value).__name__}')
    if len(value.encode()) > MAX_TEXT_BYTES:
        raise ValueError(f'expected at most {MAX_TEXT_BYTES} bytes')
    return value
