"""Background tasks of a process."""

import asyncio
import typing as t

import structlog

#: Pause before a loop that has failed runs again.
RESTART_PAUSE_MS = 500
_MS_PER_S = 1_000

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

    def spawn_loop(
        self, run: t.Callable[[], t.Coroutine[t.Any, t.Any, None]]
    ) -> None:
        """Run a loop until it returns, and again whenever it fails.

        :param run: starts the loop; one that starts again must not rely on
            what its earlier run had left half done.
        """
        self.spawn(_run_until_return(run))

    async def cancel(self) -> None:
        """Cancel all tasks and wait until they have ended."""
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _on_done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            _log.error('background task failed', exc_info=task.exception())


async def _run_until_return(
    run: t.Callable[[], t.Coroutine[t.Any, t.Any, None]],
) -> None:
    while True:
        try:
            await run()
            return
        except Exception:
            _log.exception(
                'background loop failed',
                loop=getattr(run, '__qualname__', repr(run)),
            )
        await asyncio.sleep(RESTART_PAUSE_MS / _MS_PER_S)
