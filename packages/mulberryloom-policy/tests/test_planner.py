"""Tests of the planner through its public methods, on a small fleet."""

from mulberryloom_core import exceptions
from mulberryloom_core import messages
from mulberryloom_core import shapes
from mulberryloom_core.version import configuration
from mulberryloom_policy import decisions
from mulberryloom_policy import options
from mulberryloom_policy import planner as planners


def worker_state(name, rack='r1', tasks=()):
    """Return the report of a healthy worker with 8 accelerators."""
    return messages.WorkerState(
        worker=name,
        incarnation=1,
        data_centre='galway-a',
        rack=rack,
        address='127.0.0.1:1',
        services=['typeset'],
        health=messages.BackendHealth.HEALTHY,
        capacity=shapes.Resources(8, 8, 130, 250_000),
        tasks=list(tasks),
    )


def client_account(name, guarantees=(), **overrides):
    return configuration.ClientAccount(
        name, 1, '', list(guarantees), **overrides
    )


def make_configuration(*accounts, racks=()):
    return configuration.Configuration(
        1,
        1,
        {account.name: account for account in accounts},
        {},
        {rack.name: rack for rack in racks},
        {},
    )


def make_job(request_id, accelerators=0, account='a', **overrides):
    fields = {
        'adjacency': shapes.Adjacency.ANY,
        'request_class': shapes.RequestClass.BATCH,
        'is_idempotent': True,
        'is_checkpointable': True,
        'declared_run_ms': 1_000,
        'submitted_ms': 0,
        'deadline_at_ms': 10_000_000,
    } | overrides
    adjacency = fields.pop('adjacency')
    return decisions.Job(
        request_id,
        account,
        'typeset',
        'edition',
        demand=shapes.Demand(accelerators, adjacency, 1, 256),
        **fields,
    )


def make_planner(*accounts, workers=('w1', 'w2'), **settings):
    planner = planners.Planner.from_configuration(
        make_configuration(*accounts),
        options.PolicyOptions.from_settings(settings),
    )
    planner.set_owned({account.name for account in accounts})
    for name in workers:
        planner.observe_worker(worker_state(name), 0)
    return planner


def placements_by_id(decided):
    return {
        decision.request_id: decision.placements
        for decision in decided
        if isinstance(decision, decisions.Place)
    }


def test_planner_splits_gang_over_workers():
    planner = make_planner(client_account('a'))
    assert planner.submit(make_job('big', 16), 0).is_ok()
    assert planner.submit(make_job('more', 1), 0).is_ok()
    placements = placements_by_id(planner.plan(0))
    assert {member.worker for member in placements['big']} == {'w1', 'w2'}
    assert sum(member.accelerators for member in placements['big']) == 16
    assert 'more' not in placements


def test_planner_counts_placement_until_job_ends():
    planner = make_planner(client_account('a'), workers=('w1',))
    for index in range(2):
        planner.submit(make_job(f'j{index}', 8), 0)
    assert list(placements_by_id(planner.plan(0))) == ['j0']
    planner.observe_worker(worker_state('w1'), 1)
    assert placements_by_id(planner.plan(1)) == {}
    planner.record_ended('j0', messages.Outcome(), 2)
    assert list(placements_by_id(planner.plan(2))) == ['j1']


def test_planner_requeues_refused_job_at_its_position():
    planner = make_planner(client_account('a'), workers=('w1',))
    for index in range(2):
        planner.submit(make_job(f'j{index}', 8, submitted_ms=index), index)
    assert list(placements_by_id(planner.plan(2))) == ['j0']
    planner.record_refused('j0', 3)
    assert list(placements_by_id(planner.plan(3))) == ['j0']


FAILED = exceptions.ErrorKind.BACKEND_FAILED
PREEMPTED = exceptions.ErrorKind.PREEMPTED
GRACE_MS = 10_000


def guaranteed_shape(
    accelerators, adjacency=shapes.Adjacency.WORKER, copies=1
):
    demand = shapes.Demand(accelerators, adjacency, 1, 256)
    return shapes.GuaranteedShape(demand, copies)


def make_outcome(kind=None, run_ms=1_000):
    error = kind and exceptions.Error.from_kind(kind)
    return messages.Outcome(error=error, run_ms=run_ms)


def submit_and_start(planner, *jobs, now_ms=0):
    """Submit jobs, plan once and record the start of all placed jobs.

    :return: the decisions of the planner.
    """
    for job in jobs:
        assert planner.submit(job, now_ms).is_ok()
    decided = planner.plan(now_ms)
    for request_id in placements_by_id(decided):
        planner.record_started(request_id, 1, now_ms)
    return decided


def preemption_by_id(decided):
    return {
        decision.request_id: decision
        for decision in decided
        if isinstance(decision, decisions.Preempt)
    }


def test_planner_reclaims_guarantee_within_one_grace_period():
    """Eight borrowers on one worker are preempted for a guaranteed job."""
    planner = make_planner(
        client_account('a', [guaranteed_shape(8)]), client_account('b')
    )
    borrowers = [make_job(f'b{index}', 1, 'b') for index in range(16)]
    assert len(placements_by_id(submit_and_start(planner, *borrowers))) == 16
    edition = make_job('edition', 8, 'a', adjacency=shapes.Adjacency.WORKER)
    victims = preemption_by_id(
        submit_and_start(planner, edition, now_ms=1_000)
    )
    assert len(victims) == 8
    assert {victim.for_account for victim in victims.values()} == {'a'}
    assert len({victim.workers[0] for victim in victims.values()}) == 1
    assert planner.pressures(1_000)[0].is_below_guarantee
    for request_id in victims:
        assert placements_by_id(planner.plan(2_000)) == {}
        assert planner.record_ended(request_id, make_outcome(PREEMPTED), 2_000)
    assert list(placements_by_id(planner.plan(3_000))) == ['edition']


def test_planner_keeps_non_preemptible_jobs_out_of_parts_of_others():
    planner = make_planner(
        client_account('a', [guaranteed_shape(8)]), client_account('b')
    )
    jobs = [
        make_job(f'b{index}', 1, 'b', is_checkpointable=False)
        for index in range(16)
    ]
    assert len(placements_by_id(submit_and_start(planner, *jobs))) == 8
    edition = make_job(
        'edition',
        8,
        'a',
        adjacency=shapes.Adjacency.WORKER,
        is_checkpointable=False,
    )
    assert 'edition' in placements_by_id(
        submit_and_start(planner, edition, now_ms=1)
    )


def test_planner_stops_borrowing_when_other_owner_is_below_guarantee():
    """The guaranteed part is left free while another owner needs it."""
    planner = make_planner(
        client_account('a', [guaranteed_shape(8)]), client_account('b')
    )
    planner.set_owned({'b'})
    pressure = messages.AccountPressure('a', 1, True, 0)
    planner.observe_pressures([pressure], 0)
    jobs = [make_job(f'b{index}', 1, 'b') for index in range(16)]
    assert len(placements_by_id(submit_and_start(planner, *jobs))) == 8
    planner.observe_pressures([messages.AccountPressure('a', 0, False, 0)], 1)
    assert len(placements_by_id(planner.plan(1))) == 8


def test_planner_places_account_below_guarantee_first():
    planner = make_planner(
        client_account('a', weight=100),
        client_account('b', [guaranteed_shape(8)]),
        workers=('w1',),
    )
    decided = submit_and_start(
        planner, make_job('a1', 8, 'a'), make_job('b1', 8, 'b', submitted_ms=1)
    )
    assert list(placements_by_id(decided)) == ['b1']


def test_planner_places_lowest_weighted_dominant_share_first():
    planner = make_planner(client_account('a', weight=3), client_account('b'))
    jobs = [
        make_job(f'{name}{index}', 1, name)
        for index in range(16)
        for name in 'ab'
    ]
    started = placements_by_id(submit_and_start(planner, *jobs))
    assert sum(name.startswith('a') for name in started) == 12


def test_planner_reserves_for_oldest_gang_and_backfills_short_jobs_only():
    planner = make_planner(client_account('a'))
    first = make_job('first', 8, declared_run_ms=100_000)
    small = make_job('small', 1, declared_run_ms=50_000)
    submit_and_start(planner, first, small)
    gang = make_job('gang', 16, submitted_ms=1)
    late = [
        make_job('long', 1, declared_run_ms=500_000, submitted_ms=2),
        make_job('short', 1, declared_run_ms=20_000, submitted_ms=2),
    ]
    assert list(
        placements_by_id(submit_and_start(planner, gang, *late, now_ms=2))
    ) == ['short']
    reason = planner.explain('gang', 2)
    assert reason.cause is decisions.WaitCause.RESERVED
    assert 90_000 <= reason.expected_start_ms <= 100_000
    for request_id in ('first', 'small', 'short'):
        planner.record_ended(request_id, make_outcome(), 100_000)
    assert list(placements_by_id(planner.plan(100_000))) == ['gang']


def test_planner_preempts_for_gang_after_half_of_longest_wait():
    planner = make_planner(client_account('a'), longest_gang_wait_ms=100_000)
    jobs = [make_job(f's{index}', 1) for index in range(16)]
    submit_and_start(planner, *jobs)
    gang = make_job('gang', 16, 'a', submitted_ms=1)
    assert preemption_by_id(submit_and_start(planner, gang, now_ms=1)) == {}
    assert preemption_by_id(planner.plan(49_000)) == {}
    victims = preemption_by_id(planner.plan(60_000))
    assert len(victims) == 16
    for request_id in victims:
        planner.record_ended(request_id, make_outcome(PREEMPTED), 65_000)
    assert list(placements_by_id(planner.plan(65_000))) == ['gang']


def test_planner_keeps_headroom_for_urgent_job_under_batch_load():
    """Batch jobs leave accelerators free after urgent jobs have run."""
    planner = make_planner(
        client_account('a', [guaranteed_shape(1, copies=8)]),
        client_account('b'),
    )
    urgent = {
        'is_checkpointable': False,
        'request_class': shapes.RequestClass.URGENT,
    }
    submit_and_start(planner, make_job('u1', 1, 'a', **urgent))
    batch = [make_job(f'b{index}', 1, 'b') for index in range(20)]
    submit_and_start(planner, *batch, now_ms=1)
    arrived = make_job('u2', 1, 'a', submitted_ms=2, **urgent)
    assert list(
        placements_by_id(submit_and_start(planner, arrived, now_ms=2))
    ) == ['u2']


def test_planner_places_guaranteed_shape_despite_headroom():
    planner = make_planner(
        client_account('a', [guaranteed_shape(8)]), workers=('w1',)
    )
    urgent = make_job('u1', 1, request_class=shapes.RequestClass.URGENT)
    submit_and_start(planner, urgent)
    planner.record_ended('u1', make_outcome(), 10)
    edition = make_job('edition', 8, adjacency=shapes.Adjacency.WORKER)
    assert list(
        placements_by_id(submit_and_start(planner, edition, now_ms=20))
    ) == ['edition']


def test_planner_refuses_job_with_retry_after_when_queue_is_full():
    planner = make_planner(client_account('a', queue_limit=2))
    for index in range(2):
        assert planner.submit(make_job(f'j{index}'), 0).is_ok()
    error = planner.submit(make_job('j2'), 0).unwrap_err()
    assert error.kind is exceptions.ErrorKind.QUEUE_FULL
    assert error.ran is exceptions.Ran.NO
    assert error.retry_after_ms > 0
    assert planner.submit(make_job('j3'), 0, is_accepted=True).is_ok()


def test_planner_refuses_unreachable_deadline_on_submit():
    planner = make_planner(client_account('a'))
    for index in range(10):
        planner.submit(make_job(f'j{index}', 16, declared_run_ms=60_000), 0)
    late = make_job('late', 1, deadline_at_ms=60_000)
    error = planner.submit(late, 0).unwrap_err()
    assert error.kind is exceptions.ErrorKind.DEADLINE_UNREACHABLE
    assert error.retry_after_ms > 0
    assert planner.submit(make_job('patient', 1), 0).is_ok()


def test_planner_refuses_job_larger_than_configured_fleet():
    rack = configuration.Rack(
        'r1', 1, 'dc', 2, shapes.Resources(8, 8, 130, 250_000)
    )
    planner = make_planner(client_account('a'))
    planner.configure(make_configuration(client_account('a'), racks=[rack]))
    error = planner.submit(make_job('huge', 17), 0).unwrap_err()
    assert error.kind is exceptions.ErrorKind.NEVER_FITS
    assert planner.submit(make_job('large', 16), 0).is_ok()


def test_planner_queues_job_larger_than_live_fleet_without_blocking():
    """Other jobs start meanwhile, and it starts once the fleet has grown."""
    planner = make_planner(client_account('a'))
    decided = submit_and_start(
        planner, make_job('huge', 24), make_job('small', 1, submitted_ms=1)
    )
    assert list(placements_by_id(decided)) == ['small']
    reason = planner.explain('huge', 1)
    assert reason.cause is decisions.WaitCause.UNSCHEDULABLE_TODAY
    assert '24 accelerators' in reason.detail
    planner.record_ended('small', make_outcome(), 2)
    planner.observe_worker(worker_state('w3'), 2)
    assert list(placements_by_id(planner.plan(2))) == ['huge']


def test_planner_refuses_expired_job_as_not_run():
    planner = make_planner(client_account('a'), workers=('w1',))
    submit_and_start(planner, make_job('first', 8))
    planner.submit(make_job('late', 8, deadline_at_ms=5_000), 1)
    assert planner.plan(4_999) == []
    (refused,) = planner.plan(6_000)
    assert refused.request_id == 'late'
    assert refused.error.kind is exceptions.ErrorKind.DEADLINE_PASSED
    assert refused.error.ran is exceptions.Ran.NO


def test_planner_quarantines_failing_worker_until_probe_succeeds():
    planner = make_planner(client_account('a'), workers=('w1',))
    for index in range(3):
        submit_and_start(planner, make_job(f'f{index}', 1), now_ms=index)
        planner.record_ended(f'f{index}', make_outcome(FAILED), index)
    planner.submit(make_job('probe', 1), 10)
    planner.submit(make_job('other', 1), 10)
    assert placements_by_id(planner.plan(10)) == {}
    assert list(placements_by_id(planner.plan(20_000))) == ['other']
    planner.record_ended('other', make_outcome(), 21_000)
    assert list(placements_by_id(planner.plan(21_000))) == ['probe']


def test_planner_retries_job_on_another_worker():
    planner = make_planner(client_account('a'))
    job = make_job('again', 1)
    (first,) = placements_by_id(submit_and_start(planner, job))['again']
    planner.record_ended('again', make_outcome(FAILED), 1)
    assert planner.submit(job, 1, is_accepted=True).is_ok()
    (second,) = placements_by_id(planner.plan(1))['again']
    assert second.worker != first.worker
    planner.record_ended('again', make_outcome(FAILED), 2)
    error = planner.submit(job, 2, is_accepted=True).unwrap_err()
    assert error.kind is exceptions.ErrorKind.ATTEMPTS_SPENT


def test_planner_cancels_all_queued_jobs():
    planner = make_planner(
        client_account('a', queue_limit=5_000), workers=('w1',)
    )
    submit_and_start(planner, make_job('running', 8))
    for index in range(2_000):
        planner.submit(make_job(f'j{index}', 8, submitted_ms=index), index)
    assert all(planner.cancel(f'j{index}', 3_000) for index in range(2_000))
    assert not planner.cancel('running', 3_000)
    assert planner.pressures(3_000)[0].waiting == 0
    planner.record_ended('running', make_outcome(), 3_000)
    assert planner.plan(3_000) == []


def test_planner_places_aged_batch_job_before_later_interactive_job():
    planner = make_planner(
        client_account('a'), workers=('w1',), batch_aging_ms=1_000
    )
    submit_and_start(planner, make_job('running', 8))
    interactive = {'request_class': shapes.RequestClass.INTERACTIVE}
    for request_id, submitted_ms, overrides in (
        ('batch', 1, {}),
        ('soon', 500, interactive),
    ):
        planner.submit(
            make_job(request_id, 8, submitted_ms=submitted_ms, **overrides),
            submitted_ms,
        )
    late = make_job('late', 8, submitted_ms=40_000, **interactive)
    planner.submit(late, 40_000)
    order = []
    for now_ms in (50_000, 51_000, 52_000):
        last = order[-1] if order else 'running'
        planner.record_ended(last, make_outcome(), now_ms)
        order += placements_by_id(planner.plan(now_ms))
    assert order == ['batch', 'soon', 'late']


def fragment_fleet(planner):
    """Leave one small job with a long run time on each of two workers."""
    fillers = [
        make_job(f'f{index}', 7, declared_run_ms=1_000) for index in (1, 2)
    ]
    submit_and_start(
        planner, fillers[0], make_job('s1', 1, declared_run_ms=900_000)
    )
    submit_and_start(
        planner,
        fillers[1],
        make_job('s2', 1, declared_run_ms=900_000),
        now_ms=1,
    )
    for filler in fillers:
        planner.record_ended(filler.request_id, make_outcome(), 1_000)


def test_planner_moves_small_job_to_free_whole_worker():
    planner = make_planner(client_account('a'))
    fragment_fleet(planner)
    block = make_job(
        'block', 8, adjacency=shapes.Adjacency.WORKER, submitted_ms=2_000
    )
    victims = preemption_by_id(submit_and_start(planner, block, now_ms=2_000))
    assert len(victims) == 1
    (moved,) = victims
    planner.record_ended(moved, make_outcome(PREEMPTED), 9_000)
    placements = placements_by_id(planner.plan(9_000))
    assert set(placements) == {'block', moved}
    assert placements['block'][0].worker != placements[moved][0].worker


def test_planner_moves_no_job_when_moving_is_disabled():
    planner = make_planner(client_account('a'), is_moving_enabled=False)
    fragment_fleet(planner)
    block = make_job(
        'block', 8, adjacency=shapes.Adjacency.WORKER, submitted_ms=2_000
    )
    assert (
        preemption_by_id(submit_and_start(planner, block, now_ms=2_000)) == {}
    )


def foreign_tasks(name):
    """Return tasks of an account with another owner that fill a worker."""
    return [
        messages.TaskState(
            request_id=f'{name}-{index}',
            attempt=1,
            account='b',
            service='typeset',
            method='proof',
            request_class=shapes.RequestClass.BATCH,
            phase=messages.TaskPhase.RUNNING,
            resources=shapes.Resources(1, 1, 1, 256),
            positions=[index],
            is_checkpointable=True,
            is_idempotent=True,
            is_gang=False,
            declared_run_ms=600_000,
            age_ms=1_000,
            peak_memory_mb=0,
        )
        for index in range(8)
    ]


def test_planner_preempts_again_when_cleared_worker_is_taken():
    """Tasks of another owner may start on a worker before it is claimed."""
    shape = guaranteed_shape(16, shapes.Adjacency.ANY)
    planner = make_planner(client_account('a', [shape]), client_account('b'))
    planner.set_owned({'a'})
    planner.observe_worker(worker_state('w1', tasks=foreign_tasks('w1')), 0)
    planner.submit(make_job('gang', 16), 0)
    assert {
        request_id[:2] for request_id in preemption_by_id(planner.plan(0))
    } == {'w1'}
    # The planner's view of the second worker was stale: tasks had started.
    planner.observe_worker(worker_state('w2', tasks=foreign_tasks('w2')), 100)
    assert 'w2' in {
        request_id[:2] for request_id in preemption_by_id(planner.plan(100))
    }
    planner.observe_worker(worker_state('w1'), 200)
    planner.observe_worker(worker_state('w2'), 200)
    assert list(placements_by_id(planner.plan(200))) == ['gang']
