"""Estimates of run times, attribution of failures, and fragmentation."""

from mulberryloom_core import shapes
from mulberryloom_policy.process import estimates
from mulberryloom_policy.process import health
from mulberryloom_policy.request import fragmentation

KEY = ('typeset', 'edition', 'a')


def test_estimates_correct_wrong_declared_run_times():
    run_times = estimates.Estimates()
    assert run_times.run_ms(KEY, 1_000) == 1_000
    for _ in range(50):
        run_times.observe(KEY, 1_000, 10_000)
    assert 8_000 <= run_times.run_ms(KEY, 1_000) <= 12_000
    assert run_times.run_ms(('typeset', 'edition', 'b'), 1_000) == 1_000


def test_estimates_decay_old_runs():
    run_times = estimates.Estimates()
    for _ in range(100):
        run_times.observe(KEY, 1_000, 10_000)
    for _ in range(300):
        run_times.observe(KEY, 1_000, 1_000)
    assert run_times.run_ms(KEY, 1_000) <= 1_200


def test_health_quarantines_worker_after_repeated_failures():
    tracker = health.Health()
    for request_id in ('r1', 'r2', 'r3'):
        tracker.record_failure(request_id, ['w1'], 0)
    assert tracker.is_quarantined('w1')
    assert tracker.due_probes(health.FIRST_QUARANTINE_MS - 1) == []
    assert tracker.due_probes(health.FIRST_QUARANTINE_MS) == ['w1']


def test_health_doubles_quarantine_on_failed_probe_and_ends_it_on_success():
    tracker = health.Health()
    for request_id in ('r1', 'r2', 'r3'):
        tracker.record_failure(request_id, ['w1'], 0)
    now_ms = health.FIRST_QUARANTINE_MS
    tracker.start_probe('w1', 'r4')
    assert tracker.due_probes(now_ms) == []
    tracker.record_failure('r4', ['w1'], now_ms)
    second_probe_ms = now_ms + 2 * health.FIRST_QUARANTINE_MS
    assert tracker.due_probes(second_probe_ms - 1) == []
    assert tracker.due_probes(second_probe_ms) == ['w1']
    tracker.start_probe('w1', 'r5')
    tracker.record_success('r5', ['w1'])
    assert not tracker.is_quarantined('w1')


def test_health_keeps_quarantine_when_earlier_work_succeeds():
    tracker = health.Health()
    for request_id in ('r1', 'r2', 'r3'):
        tracker.record_failure(request_id, ['w1'], 0)
    tracker.record_success('older', ['w1'])
    assert tracker.is_quarantined('w1')


def test_health_blames_request_that_fails_on_two_healthy_workers():
    tracker = health.Health()
    tracker.record_failure('bad', ['w1'], 0)
    assert not tracker.is_request_blamed('bad')
    tracker.record_failure('bad', ['w2'], 0)
    assert tracker.is_request_blamed('bad')
    assert not tracker.is_suspect('w1')
    assert not tracker.is_suspect('w2')


def test_health_ignores_quarantined_worker_when_blaming_request():
    tracker = health.Health()
    for request_id in ('r1', 'r2', 'r3'):
        tracker.record_failure(request_id, ['w1'], 0)
    tracker.start_probe('w1', 'probe')
    tracker.record_failure('probe', ['w1'], 20_000)
    tracker.record_failure('probe', ['w2'], 20_000)
    assert not tracker.is_request_blamed('probe')


def test_shape_mix_counts_accelerators_unusable_by_large_shapes():
    mix = fragmentation.ShapeMix()
    mix.add(shapes.Demand(8, shapes.Adjacency.WORKER), 1_000, 0)
    assert mix.unusable_share([[8, 8], [8]]) == 0
    assert mix.unusable_share([[4, 4], [8]]) == 0.5
    assert mix.worker_waste(3) == 3
