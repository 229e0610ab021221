"""Steps on requests that must run at most once, and on store faults."""

from behave import then
from behave import when

from mulberryloom_core import exceptions
from mulberryloom_standins import runs

_START_TIMEOUT_S = 15.0
_ONCE_ONLY_RUN_MS = 300
# Longer than the interval between two polls of a busy machine, so that a
# step sees the runs while they are open.
_OBSERVED_RUN_MS = 2_000


@when('the store goes down')
def when_store_down(context):
    context.trial.cluster.set_store_faults(outage=True)


@when('the store is back')
def when_store_back(context):
    context.trial.cluster.set_store_faults()


@when('the store is back and shows older values')
def when_store_back_older(context):
    context.trial.cluster.set_store_faults(stale_answers=100)


@when('the store loses the answers to its next {count:d} writes')
def when_answers_lost(context, count):
    context.trial.cluster.set_store_faults(lost_answers=count)


@then('the store has lost all those answers')
def then_answers_lost(context):
    assert context.trial.cluster.fetch_store_faults()['lost_answers'] == 0


@when('{count:d} requests that must run at most once are sent')
def when_once_only_sent(context, count):
    trial = context.trial
    for _ in range(count):
        trial.call(
            trial.deployment.accounts[0], _once_only_request_spec(trial)
        )
    context.last_replies = trial.collect()


@then('each of them is refused as not run')
def then_refused(context):
    for reply in context.last_replies:
        assert reply.status == 503, reply
        assert reply.ran is exceptions.Ran.NO, reply
        assert 'retry-after' in reply.response.headers_by_name, reply


@when('{count:d} requests that must run at most once are sent with keys')
def when_once_only_with_keys(context, count):
    trial = context.trial
    context.keyed_request_specs = []
    for number in range(count):
        request_spec = _once_only_request_spec(
            trial, f'key-{number}', _OBSERVED_RUN_MS
        )
        context.keyed_request_specs.append(request_spec)
        trial.call(trial.deployment.accounts[0], request_spec, entry=0)


@when('the agent of a worker that runs one of them is killed')
def when_running_agent_killed(context):
    trial = context.trial
    tokens = {
        request_spec.order.token
        for request_spec in context.keyed_request_specs
    }

    def find_worker():
        for run in trial.cluster.fetch_runs():
            if run.token in tokens and run.end is runs.RunEnd.OPEN:
                return run.worker
        return None

    try:
        worker = trial.wait_for(
            find_worker, _START_TIMEOUT_S, 'one of the requests runs'
        )
    except AssertionError as error:
        replies = [f.result() for f in trial.pending_replies if f.done()]
        raise AssertionError(f'{error}; replies: {replies}') from error
    trial.cluster.process_by_name[worker].kill()


@when('the callers repeat at the other entry what has not finished')
def when_repeated(context):
    trial = context.trial
    first_replies = trial.collect()
    finished = {
        r.request_spec.order.token for r in first_replies if r.status == 200
    }
    for request_spec in context.keyed_request_specs:
        if request_spec.order.token not in finished:
            trial.call(trial.deployment.accounts[0], request_spec, entry=1)
    trial.collect()


def _once_only_request_spec(trial, key='', run_ms=_ONCE_ONLY_RUN_MS):
    method = trial.deployment.non_idempotent_method()
    return trial.new_request_spec(method, run_ms, idempotency_key=key)
