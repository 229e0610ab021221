"""Tasks of a process that run beside everything else."""

import asyncio
import typing as t

import structlog

_log = structlog.get_logger(__name__)


class BackgroundTasks:
    """Tasks that nobody waits for; their failures are logged."""

    __slots__ = ('_tasks',)

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[None]] = set()

    def spawn(self, work: t.Coroutine[t.Any, t.Any, None]) -> None:
        """Run a coroutine until it ends or all tasks are cancelled."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._on_done)

    async def cancel(self) -> None:
        """Cancel all tasks and wait for them."""
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _on_done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            _log.error('task failed', exc_info=task.exception())
