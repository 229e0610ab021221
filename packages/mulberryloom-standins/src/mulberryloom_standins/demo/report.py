"""Report of the demo: table of requests and jobs, and violations."""

import dataclasses
import json

from mulberryloom_core.request import jobs as jobs_module

from .. import audit
from .. import deployments
from .. import runs
from . import requests
from . import step_jobs

_HEADINGS = ('kind', 'account', 'method', 'ended', 'waited', 'ran', 'where')


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """Requests, jobs and runs of one demo."""

    deployment: deployments.Deployment
    rows: list[requests.Row]
    runs: list[runs.Run]
    job_rows: list[step_jobs.JobRow] = dataclasses.field(default_factory=list)

    def violations(self) -> list[str]:
        """Return descriptions of lost, repeated, wrong and partial work."""
        evidence = audit.Evidence(
            [row.reply for row in self.rows],
            self.runs,
            self.deployment.non_idempotent_methods,
        )
        return [
            *self.unfinished(),
            *audit.find_violations(evidence),
            *self._find_wrong_gangs(),
            *(text for row in self.job_rows for text in row.problems()),
        ]

    def completed_jobs(self) -> int:
        """Return the number of completed jobs."""
        completed = jobs_module.JobState.COMPLETED.value
        return sum(row.state == completed for row in self.job_rows)

    def table(self) -> str:
        """Return the table as text, one line per request or job."""
        lines = [
            _HEADINGS,
            *(self._request_cells(row) for row in self.rows),
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
        """Return a description of each request without status 200."""
        return [
            f'{row.kind} request of {row.account} was lost: '
            f'{_describe_result(row)}'
            for row in self.rows
            if row.reply.status != 200
        ]

    def _find_wrong_gangs(self) -> list[str]:
        """Find gangs with too few accelerators or in several racks."""
        rack_by_worker = {
            location.worker: location.rack
            for location in self.deployment.worker_locations
        }
        violations = []
        for row in self.rows:
            if row.kind != 'gang':
                continue
            members = self._finished_runs(row)
            accelerators = sum(len(run.positions) for run in members)
            racks = {rack_by_worker[run.worker] for run in members}
            if accelerators != deployments.GANG_ACCELERATORS:
                violations.append(
                    f'gang of {row.account} had {accelerators} accelerators, '
                    f'expected {deployments.GANG_ACCELERATORS}'
                )
            if len(racks) != 1:
                violations.append(
                    f'gang of {row.account} ran in racks {sorted(racks)}, '
                    'expected one rack'
                )
        return violations

    def _runs_of(self, row: requests.Row) -> list[runs.Run]:
        token = row.reply.request_spec.order.token
        return [run for run in self.runs if run.token == token]

    def _finished_runs(self, row: requests.Row) -> list[runs.Run]:
        return [
            run
            for run in self._runs_of(row)
            if run.end is runs.RunEnd.FINISHED
        ]

    def _request_cells(self, row: requests.Row) -> tuple[str, ...]:
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
            where.append(_describe_run(run))
        return (
            row.kind,
            row.account,
            row.reply.request_spec.method,
            _describe_result(row),
            waited,
            ran,
            ' + '.join(where),
        )


def _job_cells(row: step_jobs.JobRow) -> tuple[str, ...]:
    """Return the table cells of a job."""
    workers = sorted({run.worker for run in row.runs})
    where = f'{len(row.runs)} runs on {", ".join(workers) or "no worker"}'
    return ('job', row.account, row.queue, row.state, '-', '-', where)


def _describe_run(run: runs.Run) -> str:
    text = run.worker
    if run.positions:
        positions = ','.join(str(position) for position in run.positions)
        text = f'{text}[{positions}]'
    if run.end is not runs.RunEnd.FINISHED:
        text = f'{text} ({run.end.value})'
    return text


def _describe_result(row: requests.Row) -> str:
    """Return the result of a request; for errors the status and reason."""
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
