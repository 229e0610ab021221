"""Sums up from log lines where jobs were lost, delayed or repeated."""

import collections
import datetime
import pathlib
import sys
import typing as t

from . import explain

#: Reason of stops that callers asked for.
_CANCELLED = 'cancelled'
_MAX_JOBS = 3


class LossReport:
    """What the log lines of all processes of one day add up to.

    :ivar accepted_ids: jobs that were accepted.
    :ivar rejections_by_id: reasons for which submissions of a job were not
        accepted, of jobs that never were.
    :ivar ended_by_state: number of jobs that ended, by state.
    :ivar waited_s_by_reason: time for which steps waited, in seconds.
    :ivar lost_core_s_by_reason: work of stopped runs that was not saved, in
        core-seconds.
    :ivar lost_runs_by_reason: number of runs that were stopped or discarded.
    """

    __slots__ = (
        '_lost_core_s_by_job',
        '_waits_by_step',
        'accepted_ids',
        'ended_by_state',
        'lost_core_s_by_reason',
        'lost_runs_by_reason',
        'rejections_by_id',
        'waited_s_by_reason',
    )

    def __init__(self) -> None:
        self.accepted_ids: set[str] = set()
        self.rejections_by_id: dict[str, list[str]] = {}
        self.ended_by_state: collections.Counter[str] = collections.Counter()
        self.waited_s_by_reason: collections.Counter[str] = (
            collections.Counter()
        )
        self.lost_core_s_by_reason: collections.Counter[str] = (
            collections.Counter()
        )
        self.lost_runs_by_reason: collections.Counter[str] = (
            collections.Counter()
        )
        # By reason and id of the job.
        self._lost_core_s_by_job: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        # Time and reason of the waits that have not ended.
        self._waits_by_step: dict[tuple[str, int], tuple[float, str]] = {}

    @classmethod
    def from_lines(cls, lines: t.Iterable[str]) -> 'LossReport':
        """Sum up log lines; lines without a JSON object are skipped.

        :param lines: log lines of any number of processes.
        """
        report = cls()
        documents = [
            document for line in lines if (document := explain.parse(line))
        ]
        documents.sort(key=lambda item: str(item.get('timestamp', '')))
        for document in documents:
            report._add(document)
        for job_id in report.accepted_ids:
            report.rejections_by_id.pop(job_id, None)
        return report

    def _add(self, document: dict[str, t.Any]) -> None:
        job_id = str(document.get('job_id', ''))
        reason = _without_id(str(document.get('reason', '')))
        match document.get('event'):
            case 'job accepted':
                self.accepted_ids.add(job_id)
            case 'job not accepted':
                self.rejections_by_id.setdefault(job_id, []).append(reason)
            case 'job ended':
                self.ended_by_state[str(document.get('state'))] += 1
            case 'step waiting':
                step = (job_id, int(document.get('step', 0)))
                self._end_wait(step, document)
                self._waits_by_step[step] = (_time_s(document), reason)
            case 'run planned':
                step_index = str(document.get('task', '')).split('.')[2:3]
                step = (job_id, int(step_index[0]) if step_index else 0)
                self._end_wait(step, document)
            case 'run stopping':
                lost = float(document.get('lost_core_s', 0))
                self.lost_runs_by_reason[reason] += 1
                self.lost_core_s_by_reason[reason] += lost
                self._lost_core_s_by_job[reason, job_id] += lost
            case 'run discarded':
                self.lost_runs_by_reason[reason] += 1

    def _end_wait(
        self, step: tuple[str, int], document: dict[str, t.Any]
    ) -> None:
        since_s, reason = self._waits_by_step.pop(step, (0.0, ''))
        if reason:
            self.waited_s_by_reason[reason] += _time_s(document) - since_s

    @property
    def serviceable_share(self) -> float:
        """Share of the jobs that were not cancelled which were accepted.

        No schedule serves more of them.
        """
        accepted = len(self.accepted_ids) - self.ended_by_state[_CANCELLED]
        count = accepted + len(self.rejections_by_id)
        return accepted / count if count else 1.0

    def to_lines(self) -> list[str]:
        """Return the report as text."""
        states = ', '.join(
            f'{count} {state}'
            for state, count in sorted(self.ended_by_state.items())
        )
        lines = [
            f'{len(self.accepted_ids)} jobs accepted ({states}), '
            f'{len(self.rejections_by_id)} never accepted; at most '
            f'{self.serviceable_share:.3f} of those not cancelled can be '
            'served'
        ]
        for job_id, reasons in sorted(self.rejections_by_id.items()):
            lines.append(f'  {job_id}: {"; ".join(reasons)}')
        lines.append('steps waited, s:')
        lines += _rows(self.waited_s_by_reason, '.1f')
        lines.append('work thrown away, core-s:')
        for reason, lost in self.lost_core_s_by_reason.most_common():
            if not lost:
                continue
            largest = collections.Counter(
                {
                    job_id: job_lost
                    for (key, job_id), job_lost in (
                        self._lost_core_s_by_job.items()
                    )
                    if key == reason
                }
            )
            examples = ', '.join(
                f'{job_id} {job_lost:.0f}'
                for job_id, job_lost in largest.most_common(_MAX_JOBS)
            )
            lines.append(f'  {lost:10.0f}  {reason}: {examples}')
        lines.append('runs stopped or lost:')
        lines += _rows(self.lost_runs_by_reason, 'd')
        return lines


def _rows(
    count_by_reason: collections.Counter[str], form: str
) -> t.Iterator[str]:
    for reason, count in count_by_reason.most_common():
        yield f'  {count:10{form}}  {reason}'


def _without_id(reason: str) -> str:
    """Return a reason without the job that it names."""
    return 'reclaimed' if reason.startswith('reclaimed for ') else reason


def _time_s(document: dict[str, t.Any]) -> float:
    try:
        time = datetime.datetime.fromisoformat(str(document['timestamp']))
    except (KeyError, ValueError):
        return 0.0
    return time.timestamp()


def show_losses(*paths: pathlib.Path) -> int:
    """Print what delayed jobs and threw work away, and what bounds them.

    :param paths: log files of any number of processes; standard input if
        there are none.
    """
    lines: list[str] = []
    for path in paths:
        lines += path.read_text(errors='replace').splitlines()
    if not paths:
        lines = sys.stdin.read().splitlines()
    for line in LossReport.from_lines(lines).to_lines():
        print(line)
    return explain.FOUND
