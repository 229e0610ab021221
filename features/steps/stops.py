"""Steps that stop backend servers, agents and entries."""

import signal
import time

from behave import then
from behave import when

from features.support import trial as trial_module

_MS_PER_S = 1_000


@when('the backend server of the first worker stops its heartbeats')
def when_backend_silent(context):
    worker = context.trial.cluster.plan.agents[0].location.worker
    context.trial.cluster.set_backend_faults(worker, skips_heartbeats=True)
    context.fault_at_ms = trial_module.now_ms()


@when('the agent of the first worker is asked to stop')
def when_agent_stopped(context):
    worker = context.trial.cluster.plan.agents[0].location.worker
    context.trial.cluster.send_signal(worker, signal.SIGTERM)
    context.fault_at_ms = trial_module.now_ms()


@then('no run started on the first worker later than {seconds:d} s after that')
def then_no_new_work(context, seconds):
    trial = context.trial
    worker = trial.cluster.plan.agents[0].location.worker
    limit_ms = context.fault_at_ms + seconds * _MS_PER_S
    all_runs = trial.cluster.fetch_runs()
    runs_on_worker = [run for run in all_runs if run.worker == worker]
    assert runs_on_worker, f'no run at all on {worker}'
    late_runs = [run for run in runs_on_worker if run.started_ms > limit_ms]
    assert not late_runs, late_runs
    assert any(run.started_ms > limit_ms for run in all_runs)


@then('the agent of the first worker has exited with 0')
def then_agent_exited(context):
    worker = context.trial.cluster.plan.agents[0].location.worker
    assert context.trial.cluster.process_by_name[worker].wait() == 0


@when('the first entry and the last agent are asked to stop, twice')
def when_planned_stops(context):
    trial = context.trial
    process_names = [
        trial.cluster.plan.entries[0].name,
        trial.cluster.plan.agents[-1].location.worker,
    ]
    time.sleep(0.5)
    for name in process_names:
        trial.cluster.send_signal(name, signal.SIGTERM)
    notice_ms = trial.cluster.plan.entries[0].settings['balancer_notice_ms']
    time.sleep(notice_ms / 2 / _MS_PER_S)
    trial.remove_from_balancer(0)
    for name in process_names:
        trial.cluster.send_signal(name, signal.SIGTERM)


@then('the first entry has exited with 0')
def then_entry_exited(context):
    name = context.trial.cluster.plan.entries[0].name
    assert context.trial.cluster.process_by_name[name].wait() == 0


@when('the first entry is killed')
def when_first_entry_killed(context):
    trial = context.trial
    entry = trial.cluster.plan.entries[0]
    trial.cluster.process_by_name[entry.name].kill()
    trial.remove_from_balancer(0)


@when('the second entry is killed and started again')
def when_second_entry_restarted(context):
    cluster = context.trial.cluster
    entry = cluster.plan.entries[1]
    cluster.process_by_name[entry.name].kill()
    cluster.start_entry(entry)


@when('the agent of the first worker is killed')
def when_first_agent_killed(context):
    worker = context.trial.cluster.plan.agents[0].location.worker
    context.trial.cluster.process_by_name[worker].kill()
