"""Checks the replies to callers against the runs of backend servers."""

import collections
import dataclasses
import itertools

from mulberryloom_core import exceptions

from . import caller
from . import runs

#: Longest time for which only some members of a gang may run.
PARTIAL_GANG_LIMIT_MS = 5_000

_HTTP_OK = 200
#: Assumed duration of a run that has not ended; above any limit.
_OPEN_RUN_MS = 3_600_000


@dataclasses.dataclass(frozen=True, slots=True)
class Evidence:
    """Replies and runs of a trial.

    :param replies: final replies; for asynchronous requests the outcomes.
    :param runs: runs of all backend servers.
    :param non_idempotent_methods: names of methods that are not idempotent.
    :param partial_gang_limit_ms: longest time for which only some members
        of a gang may run, such as the time to stop a failed gang.
    """

    replies: list[caller.Reply]
    runs: list[runs.Run]
    non_idempotent_methods: frozenset[str]
    partial_gang_limit_ms: int = PARTIAL_GANG_LIMIT_MS


def find_violations(evidence: Evidence) -> list[str]:
    """Return a description of each violation; empty if there is none."""
    return [
        *_find_wrong_answers(evidence),
        *_find_runs_of_refused_requests(evidence),
        *_find_answers_without_run(evidence),
        *_find_repeated_runs(evidence),
        *_find_partial_gangs(evidence),
        *_find_shared_accelerators(evidence),
    ]


def _find_wrong_answers(evidence: Evidence) -> list[str]:
    return [reply.fault for reply in evidence.replies if reply.fault]


def _find_runs_of_refused_requests(evidence: Evidence) -> list[str]:
    """Find requests that ran although every reply said ``ran: no``."""
    ran_values_by_token = collections.defaultdict(set)
    for reply in evidence.replies:
        ran_values_by_token[reply.request_spec.order.token].add(reply.ran)
    refused_tokens = {
        token
        for token, ran_values in ran_values_by_token.items()
        if ran_values == {exceptions.Ran.NO}
    }
    return [
        f'request {run.token} ran on {run.worker} though refused as not run'
        for run in evidence.runs
        if run.token in refused_tokens
    ]


def _find_answers_without_run(evidence: Evidence) -> list[str]:
    finished_tokens = {
        attempt[0].token
        for attempt in _group_by_attempt(evidence.runs)
        if _has_all_members(attempt)
        and all(run.end is runs.RunEnd.FINISHED for run in attempt)
    }
    return [
        f'request {reply.request_spec.order.token} was answered without an '
        'attempt whose members all finished'
        for reply in evidence.replies
        if reply.status == _HTTP_OK
        and reply.request_spec.order.token not in finished_tokens
    ]


def _find_repeated_runs(evidence: Evidence) -> list[str]:
    count_by_token = collections.Counter(
        attempt[0].token
        for attempt in _group_by_attempt(evidence.runs)
        if attempt[0].method in evidence.non_idempotent_methods
    )
    repeated = [
        f'request {token} is not idempotent, but ran {count} times'
        for token, count in count_by_token.items()
        if count > 1
    ]
    started_again = [
        f'run {run_id} was started {count} times'
        for run_id, count in collections.Counter(
            run.run_id for run in evidence.runs
        ).items()
        if count > 1
    ]
    return repeated + started_again


def _find_partial_gangs(evidence: Evidence) -> list[str]:
    """Find gangs of which only some members ran for longer than the limit."""
    partial_gangs = []
    for attempt in _group_by_attempt(evidence.runs):
        partial_ms = _partial_time_ms(attempt)
        is_partly_finished = not _has_all_members(attempt) and any(
            run.end is runs.RunEnd.FINISHED for run in attempt
        )
        if is_partly_finished or partial_ms > evidence.partial_gang_limit_ms:
            first = attempt[0]
            partial_gangs.append(
                f'gang {first.request_id}.{first.attempt} was partial for '
                f'{partial_ms} ms, limit {evidence.partial_gang_limit_ms} '
                f'ms: {len(attempt)} of {first.members} members started'
            )
    return partial_gangs


def _partial_time_ms(attempt: list[runs.Run]) -> int:
    """Return the time for which only some members of a gang ran."""
    starts = [run.started_ms for run in attempt]
    ends = [_end_ms(run) for run in attempt]
    if not _has_all_members(attempt):
        return max(ends) - min(starts)
    failed_ends_ms = [
        run.ended_ms
        for run in attempt
        if run.end not in (runs.RunEnd.OPEN, runs.RunEnd.FINISHED)
    ]
    start_skew_ms = max(starts) - min(starts)
    if not failed_ends_ms:
        return start_skew_ms
    return max(start_skew_ms, max(ends) - min(failed_ends_ms))


def _find_shared_accelerators(evidence: Evidence) -> list[str]:
    shared = []
    runs_by_worker = collections.defaultdict(list)
    for run in evidence.runs:
        runs_by_worker[run.worker].append(run)
    for worker, worker_runs in runs_by_worker.items():
        for first, second in itertools.combinations(worker_runs, 2):
            common = set(first.positions) & set(second.positions)
            if common and _do_overlap(first, second):
                shared.append(
                    f'{worker} gave accelerators {sorted(common)} to '
                    f'{first.run_id} and {second.run_id} at the same time'
                )
    return shared


def _group_by_attempt(all_runs: list[runs.Run]) -> list[list[runs.Run]]:
    """Group runs by attempt."""
    runs_by_attempt = collections.defaultdict(list)
    for run in all_runs:
        runs_by_attempt[(run.request_id, run.attempt)].append(run)
    return list(runs_by_attempt.values())


def _has_all_members(attempt: list[runs.Run]) -> bool:
    members = {run.member for run in attempt}
    return members == set(range(attempt[0].members))


def _end_ms(run: runs.Run) -> int:
    """Return the end of a run; an open run gets an end above any limit."""
    if run.end is runs.RunEnd.OPEN:
        return run.started_ms + _OPEN_RUN_MS
    return run.ended_ms


def _do_overlap(first: runs.Run, second: runs.Run) -> bool:
    return _starts_before_end(first, second) and _starts_before_end(
        second, first
    )


def _starts_before_end(run: runs.Run, other: runs.Run) -> bool:
    """Tell whether one run started before the other run ended."""
    if other.end is runs.RunEnd.OPEN:
        return True
    return run.started_ms < other.ended_ms
