"""A short outage of the store while many tasks of one worker end."""

import asyncio
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins import fleet as fleets  # noqa: E402

#: The jobs come one after the other, and their tasks end at the same time.
JOBS = [f'aaaaaaaaaaaaaa{number:02x}' for number in range(12)]
TASKS = 55
SPACING_S = 1.0
WORK_MS = 16_000
OUTAGE_S = 4.5


def repeated_runs(fleet):
    """Return the starts of tasks that had ended ``done`` before.

    Only ends count that were taken note of, with no lapse of the worker's
    lease between the two.
    """
    done = {}
    for worker in fleet.workers.values():
        for at, task, run_id, how in worker.ends:
            noted = worker.noted.get((task, run_id))
            if how != 'done' or noted is None:
                continue
            if not any(at <= lapse <= noted for lapse in worker.lapses):
                done.setdefault(task, (at, run_id, worker.name, noted))
    found = []
    for worker in fleet.workers.values():
        for at, task, run_id in worker.starts:
            if task in done and at > done[task][0] and run_id != done[task][1]:
                found.append((task, run_id, worker.name, *done[task][1:3]))
    return found


async def main(fleet, has_trouble):
    outage = asyncio.Event()

    async def refuse(method, path, query, document):
        return (503, {}) if outage.is_set() else None

    fleet.store.before = refuse
    began = time.monotonic()
    for number, job_id in enumerate(JOBS):
        await asyncio.sleep(began + number * SPACING_S - time.monotonic())
        work_ms = WORK_MS - int(number * SPACING_S * 1_000)
        assert await fleet.submit(
            1,
            job_id,
            {'ms': [work_ms]},
            [
                {
                    'count': TASKS,
                    'cpu': 180,
                    'mem_mb': 256,
                    'estimate_ms': work_ms,
                }
            ],
        )
    await asyncio.sleep(2)
    for worker in fleet.workers.values():
        if worker.runs:
            fleet.log(f'{worker.name} runs {len(worker.runs)} tasks')
    await asyncio.sleep(began + WORK_MS / 1_000 - 0.5 - time.monotonic())
    if has_trouble:
        fleet.log('the store answers 503')
        outage.set()
        await asyncio.sleep(OUTAGE_S)
        outage.clear()
        fleet.log('the store serves again')
    end = time.monotonic() + 60
    waiting = set(JOBS)
    while waiting and time.monotonic() < end:
        await asyncio.sleep(1)
        for job_id in sorted(waiting):
            _, document = await fleet.request('GET', f'/p1/{job_id}')
            if document.get('state') == 'completed':
                waiting.discard(job_id)
    await asyncio.sleep(2)
    repeated = repeated_runs(fleet)
    fleet.log(f'{len(repeated)} tasks ran again after they had ended done')
    for task, run_id, name, first_run, first_name in repeated[:20]:
        fleet.log(
            f'{task}: run {first_run} done on {first_name}, '
            f'run {run_id} started on {name}'
        )
    return not repeated


fleets.run(main, FOLDER)
