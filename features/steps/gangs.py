"""Steps that kill or freeze members of a gang and check the others."""

import signal
import time

from behave import then
from behave import when

from features.support import trial as trial_module
from mulberryloom_standins import runs

# Lease that an agent requests for each task, and the time allowed for
# detecting that it has expired.
_TASK_LEASE_MS = 10_000
_EXPIRY_DETECTION_MS = 1_000
_MS_PER_S = 1_000


@when('the agent of its second member is killed')
def when_member_killed(context):
    context.trial.partial_gang_limit_ms = _TASK_LEASE_MS + _EXPIRY_DETECTION_MS
    _agent_of_member(context, 1).kill()
    context.fault_at_ms = trial_module.now_ms()


@then('its first member has stopped {seconds:d} s later')
def then_first_member_stopped(context, seconds):
    _wait_for_end_of_member(context, 0, seconds)


@then("its second member has stopped when the platform's lease has lapsed")
def then_second_member_stopped(context):
    limit_ms = _TASK_LEASE_MS + _EXPIRY_DETECTION_MS
    _wait_for_end_of_member(context, 1, limit_ms / _MS_PER_S)


@when('the agent of its first member is frozen for {seconds:d} s')
def when_coordinator_frozen(context, seconds):
    process = _agent_of_member(context, 0)
    process.send(signal.SIGSTOP)
    time.sleep(seconds)
    process.send(signal.SIGCONT)


@then('the gang has started within {seconds:d} s')
def then_gang_started(context, seconds):
    trial = context.trial
    trial.wait_for(
        lambda: len(trial.runs_of(context.gang_request_spec.order.token)) == 2,
        seconds,
        'both members of the gang have started',
    )


def _first_attempt(context):
    """Return the runs of the gang's first attempt."""
    gang_runs = context.trial.runs_of(context.gang_request_spec.order.token)
    first_attempt = min(run.attempt for run in gang_runs)
    return [run for run in gang_runs if run.attempt == first_attempt]


def _agent_of_member(context, member):
    """Return the agent process of the worker that runs a member.

    :param member: index of the member, from 0.
    """
    (run,) = [r for r in _first_attempt(context) if r.member == member]
    return context.trial.cluster.process_by_name[run.worker]


def _wait_for_end_of_member(context, member, timeout_s):
    def has_ended():
        (run,) = [r for r in _first_attempt(context) if r.member == member]
        return run.end is not runs.RunEnd.OPEN

    context.trial.wait_for(
        has_ended, timeout_s, f'member {member} of the gang has ended'
    )
