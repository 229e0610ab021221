"""Table of what ran where, and what was wrong."""

import dataclasses
import json

from mulberryloom_core.request import jobs as jobs_module

from .. import audit
from .. import deployments
from .. import runs
from . import job_part
from . import jobs

_HEADINGS = ('kind', 'account', 'method', 'ended', 'waited', 'ran', 'where')


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """Result of one demo."""

    deployment: deployments.Deployment
    rows: list[jobs.Row]
    runs: list[runs.Run]
    job_rows: list[job_part.JobRow] = dataclasses.field(default_factory=list)

    def violations(self) -> list[str]:
        """Return everything that was lost, doubled, wrong or in part."""
        evidence = audit.Evidence(
            [row.reply for row in self.rows],
            self.runs,
            self.deployment.once_only,
        )
        return [
            *self.unfinished(),
            *audit.find_violations(evidence),
            *self._find_wrong_gangs(),
            *(text for row in self.job_rows for text in row.problems()),
        ]

    def completed_jobs(self) -> int:
        """Return how many jobs were completed."""
        done = jobs_module.JobState.COMPLETED.value
        return sum(row.state == done for row in self.job_rows)

    def table(self) -> str:
        """Return the table as text, one line for each request."""
        lines = [
            _HEADINGS,
            *(self._cells(row) for row in self.rows),
            *(_job_cells(row) for row in self.job_rows),
        ]
        widths = [max(map(len, column)) for column in zip(*lines)]
        return '\n'.join(
            '  '.join(
                cell.ljust(width)
                for cell, width in zip(line, widths, strict=True)
            ).rstrip()
            for line in lines
        )

    def unfinished(self) -> list[str]:
        """Return a line for each request without a finished answer."""
        return [
            f'{row.kind} request of {row.account} was lost: {_end(row)}'
            for row in self.rows
            if row.reply.status != 200
        ]

    def _find_wrong_gangs(self) -> list[str]:
        """Find gangs without all accelerators, or not in one rack."""
        rack_by_worker = {p.worker: p.rack for p in self.deployment.places}
        wrong = []
        for row in self.rows:
            if row.kind != 'gang':
                continue
            members = self._finished_runs(row)
            accelerators = sum(len(run.positions) for run in members)
            racks = {rack_by_worker[run.worker] for run in members}
            if accelerators != deployments.GANG_ACCELERATORS:
                wrong.append(f'gang of {row.account} had {accelerators}')
            if len(racks) != 1:
                wrong.append(f'gang of {row.account} ran in {sorted(racks)}')
        return wrong

    def _runs_of(self, row: jobs.Row) -> list[runs.Run]:
        token = row.reply.job.order.token
        return [run for run in self.runs if run.token == token]

    def _finished_runs(self, row: jobs.Row) -> list[runs.Run]:
        return [
            run
            for run in self._runs_of(row)
            if run.end is runs.RunEnd.FINISHED
        ]

    def _cells(self, row: jobs.Row) -> tuple[str, ...]:
        where = []
        waited = ran = '-'
        all_runs = sorted(self._runs_of(row), key=lambda run: run.started_ms)
        if all_runs:
            waited_ms = max(0, all_runs[0].started_ms - row.reply.sent_ms)
            waited = f'{waited_ms} ms'
        finished = self._finished_runs(row)
        if finished:
            ran_ms = max(run.ended_ms - run.started_ms for run in finished)
            ran = f'{ran_ms} ms'
        for run in all_runs:
            where.append(_place(run))
        return (
            row.kind,
            row.account,
            row.reply.job.method,
            _end(row),
            waited,
            ran,
            ' + '.join(where),
        )


def _job_cells(row: job_part.JobRow) -> tuple[str, ...]:
    """Return the cells of a job with steps."""
    workers = sorted({run.worker for run in row.runs})
    where = f'{len(row.runs)} runs on {", ".join(workers) or "no worker"}'
    return ('job', row.account, row.queue, row.state, '-', '-', where)


def _place(run: runs.Run) -> str:
    place = run.worker
    if run.positions:
        positions = ','.join(str(position) for position in run.positions)
        place = f'{place}[{positions}]'
    if run.end is not runs.RunEnd.FINISHED:
        place = f'{place} ({run.end.value})'
    return place


def _end(row: jobs.Row) -> str:
    """Return the status, and of a refusal its reason."""
    reply = row.reply
    if reply.status == 200:
        return reply.fault or 'finished'
    if reply.response is None:
        return 'no answer'
    try:
        problem = json.loads(reply.response.body)
    except ValueError:
        return f'status {reply.status}'
    detail = problem.get('detail') or problem.get('title', '')
    return f'status {reply.status} {detail}'
