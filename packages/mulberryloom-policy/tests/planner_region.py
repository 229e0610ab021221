"""A region of jobs and workers for tests of the job planner."""

from mulberryloom_core.request import jobs
from mulberryloom_core.version import catalogue as catalogues
from mulberryloom_policy import jobs as policy

NOW_MS = 1_000_000
CATALOGUE = catalogues.Catalogue.from_parts(
    1,
    [catalogues.Queue('q', 'h', '/q/', 's')],
    [catalogues.Service('s')],
    [catalogues.Account('a', frozenset('k'), 16)],
)


def worker(index, rack='r1', **fields):
    """Return a worker with 128 cores, 256 GiB and 8 accelerators."""
    capacity = policy.WorkerCapacity(
        f'w{index}',
        1,
        's',
        'dc',
        rack,
        frozenset({'kind', rack}),
        128_000,
        262_144,
        8,
        is_accepting=True,
        **fields,
    )
    capacity.recompute_free()
    return capacity


def step(tasks=1, accelerators=1, **fields):
    """Return a step whose tasks take 10 cores and 10 s unless stated."""
    fields.setdefault('estimate_ms', 10_000)
    return jobs.Step(tasks, 10_000, 1_000, accelerators, **fields)


class Region:
    """Jobs and workers of one test; starts of plans take effect at once.

    Stopping runs go on until a test ends them.
    """

    def __init__(self, workers, options=None):
        self.workers = workers
        self.planner = policy.JobPlanner(options or policy.PlanOptions())
        self.jobs = []
        self.now_ms = NOW_MS

    def submit(self, *steps, priority=1, account='a', queue='q'):
        terms = jobs.JobTerms(queue, 's', account, priority, 2, 3.0, 1_000)
        job = jobs.Job.from_spec(
            f'{len(self.jobs):016x}',
            jobs.JobSpec('x', steps),
            terms,
            self.now_ms,
        )
        self.jobs.append(job)
        return job

    def plan(self, **options):
        return self.planner.plan(
            [job for job in self.jobs if not job.state.is_final],
            self.workers,
            CATALOGUE,
            self.now_ms,
            self.now_ms,
            **options,
        )

    def run_round(self, after_ms=0):
        """Plan after a delay, start tasks and mark stopping runs."""
        self.now_ms += after_ms
        plan = self.plan()
        for start in plan.starts:
            self.start_run(start.job, start.task, start.worker)
        for stop in plan.stops:
            stop.run.is_stopping = True
        return plan

    def start_run(self, job, task, worker):
        task.last_run += 1
        task.run = jobs.Run(task.last_run, worker.worker, worker.boot)
        run = policy.ActiveRun(
            job,
            task,
            task.run,
            job.step_of(task.key),
            (worker.worker, worker.boot),
            self.now_ms,
            is_recorded=True,
            is_confirmed=True,
            last_progress_ms=self.now_ms,
            last_listed_ms=self.now_ms,
            progress_listed_ms=self.now_ms,
        )
        worker.run_by_key[run.key] = run
        return run

    def end_run(self, run, *, is_done=False):
        run.task.run = None
        run.task.is_done = is_done
        for worker in self.workers:
            worker.run_by_key.pop(run.key, None)

    def end_stopping_runs(self):
        for worker in self.workers:
            for run in list(worker.run_by_key.values()):
                if run.is_stopping:
                    self.end_run(run)

    def runs(self, job):
        return [
            run
            for worker in self.workers
            for run in worker.run_by_key.values()
            if run.job is job
        ]
