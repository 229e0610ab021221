"""Tests of background tasks."""

import asyncio

from mulberryloom_core.process import background


# Guards against a process that lives on without one of its loops.
def test_loop_that_fails_runs_again(monkeypatch):
    monkeypatch.setattr(background, 'RESTART_PAUSE_MS', 1)
    runs = []

    async def run():
        runs.append(len(runs))
        if len(runs) < 3:
            raise RuntimeError('failed')

    async def scenario():
        tasks = background.BackgroundTasks()
        tasks.spawn_loop(run)
        await asyncio.sleep(0.2)
        await tasks.cancel()

    asyncio.run(scenario())
    assert runs == [0, 1, 2]
