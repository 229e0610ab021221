"""Stand-in of a worker, as PROTOCOL.md describes it.

The job's ``spec`` is JSON: ``{"ms": [5000], "gang": [0]}``, with one item for
each step. ``ms`` is the work of a task, ``0`` for a task that lasts; ``gang``
is the number of members, or 0.
"""

import asyncio
import json
import time

from . import http

TICK_S = 0.02
HEARTBEAT_S = 1.5
STARTUP_MS = 300
GANG_TIMEOUT_S = 3.0


class Run:
    def __init__(self, task, run_id, work_ms, members, checkpoint, now):
        self.task = task
        self.run_id = run_id
        self.work_ms = work_ms
        self.members = members
        self.checkpoint = checkpoint
        self.started = now
        self.done_ms = 0.0
        self.stop_at = None
        if checkpoint:
            self.done_ms = float(checkpoint)

    @property
    def percent(self):
        if not self.work_ms:
            return 100 if self.done_ms >= STARTUP_MS else 0
        return min(100, int(100 * self.done_ms / self.work_ms))


class Worker:
    """One life of a worker at a time.

    :param fleet: all workers by name; gangs span them.
    :ivar starts: all runs that ever began, as (time, task, run).
    :ivar ends: all ends, as (time, task, run, how).
    :ivar refuses_starts: whether it answers starts with 503, unhealthy.
    :ivar lapses: when its lease lapsed, also while nothing ran.
    :ivar noted: when each end was taken note of, by task and run.
    """

    def __init__(self, name, spec, agent, log, fleet):
        self.name = name
        self.spec = spec
        self.agent = agent
        self.log = log
        self.fleet = fleet
        self.starts = []
        self.ends = []
        self.noted = {}
        self.lapses = []
        self.runs = {}
        self.refuses_starts = False
        self.is_up = False
        self._tasks = []
        self._server = http.Server(self._respond)

    async def start(self):
        """Begin a life; it knows nothing of an earlier one."""
        self._born_ms = int(time.time() * 1_000)
        self._boot = time.monotonic()
        self._sequence = 0
        self._fence = 0
        self._deadline_ms = 0
        self._has_lapsed = True
        self.runs = {}
        self._over = {}
        self._finished = []
        self._count = 0
        self._ended = asyncio.Event()
        self.is_up = True
        await self._server.listen(*self.spec['app'])
        self._tasks = [
            asyncio.create_task(self._advance()),
            asyncio.create_task(self._beat()),
        ]
        self.log('worker up', self.name)

    async def crash(self):
        """End at once; everything that runs ends with it."""
        self.is_up = False
        for task in self._tasks:
            task.cancel()
        for run in self.runs.values():
            self.log(
                'run lost with its worker', self.name, run.task, run.run_id
            )
            self.ends.append((time.monotonic(), run.task, run.run_id, 'lost'))
        lost, self.runs = self.runs, {}
        for run in lost.values():
            for worker, other in self._gang_of(run) if run.members else []:
                worker._end_alone(other, 'broken')
        await self._server.close()
        self.log('worker down', self.name)

    def clock_ms(self):
        return int((time.monotonic() - self._boot) * 1_000)

    async def _beat(self):
        while True:
            self._sequence += 1
            host, port = self.spec['app']
            body = {
                'service': self.spec['service'],
                'address': f'{host}:{port}',
                'zone': self.spec['zone'],
                'version': 'v1',
                'capacity': 8,
                'state': 'ready',
                'warmup_left_ms': 0,
                'free_resources': self.spec['room'],
                'labels': ['a', self.spec['rack']],
                'clock_ms': self.clock_ms(),
                'sequence': self._sequence,
                'born': self._born_ms,
            }
            status, _ = await http.call(
                self.agent,
                'PUT',
                f'/-/instances/{self.name}',
                body,
                timeout=1,
                source=host,
            )
            await asyncio.sleep(HEARTBEAT_S if status == 200 else 0.3)

    async def _advance(self):
        last = time.monotonic()
        while True:
            await asyncio.sleep(TICK_S)
            now = time.monotonic()
            passed_ms, last = (now - last) * 1_000, now
            if self.clock_ms() <= self._deadline_ms:
                self._has_lapsed = False
            elif not self._has_lapsed:
                self._has_lapsed = True
                self.lapses.append(now)
                self.log('lease lapsed', self.name)
                for run in list(self.runs.values()):
                    if self.runs.get(run.task) is run:
                        self._end(run, 'lapsed')
            for run in list(self.runs.values()):
                if self.runs.get(run.task) is not run:
                    continue
                if run.stop_at is not None:
                    if now >= run.stop_at:
                        self._end(run, 'stopped')
                    continue
                if run.members and len(self._gang_of(run)) < run.members:
                    if now - run.started > GANG_TIMEOUT_S and not run.done_ms:
                        self._end(run, 'alone')
                    continue
                run.done_ms += passed_ms
                if run.work_ms and run.done_ms >= run.work_ms:
                    self._end(run, 'done')

    def _gang_of(self, run):
        """Return the worker and run of each member that is present."""
        step = run.task.rpartition('.')[0]
        return [
            (worker, other)
            for worker in self.fleet.values()
            for other in worker.runs.values()
            if other.task.rpartition('.')[0] == step
            and other.run_id == run.run_id
        ]

    def _end(self, run, how):
        """End a run, and with it those of the other members of its gang."""
        others = self._gang_of(run) if run.members else []
        self._end_alone(run, how)
        for worker, other in others:
            if other is not run and how != 'alone':
                worker._end_alone(other, 'done' if how == 'done' else 'broken')

    def _end_alone(self, run, how):
        del self.runs[run.task]
        self._over[run.task] = max(run.run_id, self._over.get(run.task, 0))
        self._count += 1
        self._finished.append([self._count, run.task, run.run_id, how, ''])
        self.ends.append((time.monotonic(), run.task, run.run_id, how))
        self.log('run ended', self.name, run.task, run.run_id, how)
        self._ended.set()
        self._ended = asyncio.Event()

    async def _respond(self, method, target, headers, body):
        if headers.get('x-expected-instance', self.name) != self.name:
            return 421, {}
        document = json.loads(body) if body else {}
        if target in ('/-/run-start', '/-/run-stop'):
            return self._order(target, document)
        if target == '/-/hold':
            return await self._hold(document)
        return 404, {}

    def _reply(self, status, **fields):
        return status, {'clock_ms': self.clock_ms(), **fields}

    def _order(self, target, document):
        token = document.get('fencing_token', 0)
        if token < self._fence:
            return self._reply(409, reason='fence')
        self._fence = token
        task, run_id = document['task'], document['run_id']
        run = self.runs.get(task)
        if target == '/-/run-stop':
            self._over[task] = max(run_id, self._over.get(task, 0))
            if run is not None and run.run_id <= run_id and not run.stop_at:
                run.stop_at = time.monotonic() + 0.1
                self.log('run stopping', self.name, task, run.run_id)
            return self._reply(200)
        if self.refuses_starts:
            self.log('start refused with 503', self.name, task, run_id)
            return self._reply(503)
        self._deadline_ms = max(
            self._deadline_ms,
            min(document['deadline_ms'], self.clock_ms() + 6_000),
        )
        if run is not None and run.run_id == run_id:
            return self._reply(200)
        if run_id <= self._over.get(task, 0) or run is not None:
            return self._reply(409, reason='old')
        if document['deadline_ms'] <= self.clock_ms():
            return self._reply(409, reason='late')
        spec = json.loads(document['spec'])
        step = int(task.split('.')[2])
        self.runs[task] = Run(
            task,
            run_id,
            spec['ms'][step],
            spec.get('gang', [0] * 9)[step],
            document.get('checkpoint', ''),
            time.monotonic(),
        )
        self.starts.append((time.monotonic(), task, run_id))
        self.log('run started', self.name, task, run_id)
        return self._reply(200)

    async def _hold(self, document):
        token = document.get('fencing_token', 0)
        if token < self._fence:
            return self._reply(409, reason='fence')
        self._fence = token
        if document.get('deadline_ms'):
            self._deadline_ms = max(
                self._deadline_ms,
                min(document['deadline_ms'], self.clock_ms() + 6_000),
            )
        observed = document.get('observed', 0)
        for number, task, run_id, _, _ in self._finished:
            if number <= observed:
                self.noted[task, run_id] = time.monotonic()
        if self._finished and self._finished[0][0] <= observed:
            self.log('ends taken note of up to', observed, 'at', self.name)
        self._finished = [row for row in self._finished if row[0] > observed]
        if document.get('wait_ms') and not self._finished:
            try:
                async with asyncio.timeout(document['wait_ms'] / 1_000):
                    await self._ended.wait()
            except TimeoutError:
                pass
        running = [
            [run.task, run.run_id, '', run.percent, 0]
            for run in self.runs.values()
        ]
        return self._reply(
            200,
            running=running,
            finished=self._finished[:500],
            born=self._born_ms,
        )
