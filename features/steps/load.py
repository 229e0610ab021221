"""Steps that put load on the fleet and silence its connections."""

import time

from behave import given
from behave import when

from features.support import trial as trial_module
from mulberryloom_standins import runs

_START_TIMEOUT_S = 15.0
_BORROWER_RUN_MS = 20_000
_COUNTER_RUN_MS = 30
_JOURNALED_RUN_MS = 1_500


@given(
    'another account fills the fleet with {count:d} runs that can be '
    'checkpointed'
)
def given_borrowers(context, count):
    trial = context.trial
    context.borrower_tokens = []
    for _ in range(count):
        request_spec = trial.new_request_spec(
            trial.deployment.batch_method(), _BORROWER_RUN_MS
        )
        context.borrower_tokens.append(request_spec.order.token)
        trial.submit(trial.deployment.accounts[1], request_spec)
    trial.wait_for(
        lambda: _count_open_runs(trial) >= count,
        _START_TIMEOUT_S,
        f'{count} runs are in progress',
    )


@given(
    'a fleet of {count:d} workers for "{deployment}" whose agents reach the '
    'entries over a relay'
)
def given_relayed_fleet(context, count, deployment):
    context.trial = trial_module.Trial.start(
        deployment, worker_count=count, is_relayed=True
    )


@when('every open connection of the relay falls silent in {direction}')
def when_connections_silent(context, direction):
    direction_by_phrase = {
        'both directions': 'both',
        'the direction of the entry': 'to_target',
        'the direction of the agent': 'to_client',
    }
    assert (
        context.trial.cluster.drop_relayed_data(direction_by_phrase[direction])
        > 0
    )


@when('the other account cancels its runs')
def when_borrowers_cancelled(context):
    trial = context.trial
    trial.cancel(trial.deployment.accounts[1], context.borrower_tokens)


@when(
    'counter requests arrive at {rate:d} per s with answers of {size:d} bytes'
)
def when_counter_load(context, rate, size):
    trial = context.trial

    def make_request_spec():
        return trial.new_request_spec(
            trial.deployment.urgent_method(),
            _COUNTER_RUN_MS,
            answer_bytes=size,
        )

    for account in trial.deployment.accounts:
        account_rate_per_s = rate / len(trial.deployment.accounts)
        trial.start_load(account, make_request_spec, account_rate_per_s)


@when('{seconds:d} s pass')
def when_time_passes(context, seconds):
    time.sleep(seconds)


@when('{count:d} asynchronous requests have been accepted by the first entry')
def when_accepted_by_first(context, count):
    trial = context.trial
    account = trial.deployment.accounts[1]
    method = trial.deployment.batch_method()
    request_specs = [
        trial.new_request_spec(method, _JOURNALED_RUN_MS) for _ in range(count)
    ]
    for request_spec in request_specs:
        trial.submit(account, request_spec, entry=0)
    trial.wait_for(
        lambda: all(
            trial.is_accepted(request_spec) for request_spec in request_specs
        ),
        _START_TIMEOUT_S,
        'all asynchronous requests are accepted',
    )


@when('{count:d} counter requests are sent to the second entry')
def when_counter_to_second(context, count):
    trial = context.trial
    for _ in range(count):
        request_spec = trial.new_request_spec(
            trial.deployment.urgent_method(), _COUNTER_RUN_MS
        )
        trial.call(trial.deployment.accounts[0], request_spec, entry=1)


def _count_open_runs(trial):
    all_runs = trial.cluster.fetch_runs()
    return sum(run.end is runs.RunEnd.OPEN for run in all_runs)
