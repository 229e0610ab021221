"""Steps that start a fleet, send requests and check their outcomes."""

from behave import given
from behave import then
from behave import when

from features.support import trial as trial_module
from mulberryloom_standins import deployments
from mulberryloom_standins import runs

_COUNTER_RUN_MS = 30
_BATCH_RUN_MS = 300
_ONCE_ONLY_RUN_MS = 200
_GANG_RUN_MS = 500
_START_TIMEOUT_S = 10.0
_OUTCOME_TIMEOUT_S = 60.0


@given('a fleet of separate processes for "{deployment}"')
def given_fleet(context, deployment):
    context.trial = trial_module.Trial.start(deployment)


@given('a fleet of {count:d} workers for "{deployment}"')
def given_small_fleet(context, count, deployment):
    context.trial = trial_module.Trial.start(deployment, worker_count=count)


@when('its accounts send {count:d} counter requests')
def when_counter(context, count):
    trial = context.trial
    accounts = trial.deployment.accounts
    for number in range(count):
        request_spec = trial.new_request_spec(
            trial.deployment.urgent_method(), _COUNTER_RUN_MS
        )
        trial.call(accounts[number % len(accounts)], request_spec)


@when('an account submits {count:d} asynchronous batch requests')
def when_batch(context, count):
    trial = context.trial
    for _ in range(count):
        request_spec = trial.new_request_spec(
            trial.deployment.batch_method(), _BATCH_RUN_MS
        )
        trial.submit(trial.deployment.accounts[1], request_spec)


@when('an account sends a request that must run at most once')
def when_once_only(context):
    trial = context.trial
    request_spec = trial.new_request_spec(
        trial.deployment.non_idempotent_method(), _ONCE_ONLY_RUN_MS
    )
    trial.call(trial.deployment.accounts[0], request_spec)


@when('the account with a guaranteed rack submits a gang')
def when_gang(context):
    submit_gang(context, _GANG_RUN_MS)


@when('a gang that runs for {seconds:d} s has started')
def when_gang_started(context, seconds):
    submit_gang(context, seconds * 1_000)
    context.trial.wait_for(
        lambda: (
            len(context.trial.runs_of(context.gang_request_spec.order.token))
            == 2
        ),
        _START_TIMEOUT_S,
        'both members of the gang have started',
    )


def submit_gang(context, run_ms):
    """Submit a gang; keep request and pending outcome in the context."""
    trial = context.trial
    context.gang_request_spec = trial.new_request_spec(
        trial.deployment.gang_method(), run_ms
    )
    account = trial.deployment.gang_account()
    context.gang_outcome = trial.submit(account, context.gang_request_spec)


@then('every request finishes')
def then_all_finish(context):
    unfinished = [r for r in context.trial.collect() if r.status != 200]
    assert not unfinished, unfinished


@then('the gang finishes')
def then_gang_finishes(context):
    reply = context.gang_outcome.result(_OUTCOME_TIMEOUT_S)
    assert reply.status == 200, reply


@then('a request that must run at most once finishes within {seconds:d} s')
def then_once_only_finishes(context, seconds):
    trial = context.trial
    request_spec = trial.new_request_spec(
        trial.deployment.non_idempotent_method(), _ONCE_ONLY_RUN_MS
    )
    trial.call_until_finished(
        trial.deployment.accounts[0], request_spec, seconds
    )


@then('every request has ended')
def then_all_end(context):
    context.trial.collect()


@then('the gang held 16 accelerators of one rack')
def then_gang_is_whole(context):
    trial = context.trial
    rack_by_worker = {
        p.worker: p.rack for p in trial.deployment.worker_locations
    }
    finished_runs = [
        run
        for run in trial.runs_of(context.gang_request_spec.order.token)
        if run.end is runs.RunEnd.FINISHED
    ]
    accelerator_count = sum(len(run.positions) for run in finished_runs)
    assert accelerator_count == deployments.GANG_ACCELERATORS, finished_runs
    racks = {rack_by_worker[run.worker] for run in finished_runs}
    assert len(racks) == 1, racks


@then('the records of the backend servers show no violation')
def then_no_violation(context):
    context.trial.collect()
    violations = context.trial.violations()
    assert not violations, violations
