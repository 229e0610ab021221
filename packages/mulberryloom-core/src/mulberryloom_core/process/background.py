"""Background tasks of a process."""

import asyncio
import typing as t

import structlog

_log = structlog.get_logger(__name__)


class BackgroundTasks:
    """Set of tasks that are not awaited; their failures are logged."""

    __slots__ = ('_tasks',)

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[None]] = set()

    def spawn(self, coroutine: t.Coroutine[t.Any, t.Any, None]) -> None:
        """Run a coroutine until it ends or :meth:`cancel` is called."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._on_done)

    async def cancel(self) -> None:
        """Cancel all tasks and wait until they have ended."""
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _on_done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            _log.error('background task failed', exc_info=task.exception())
