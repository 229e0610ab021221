"""Tests of short requests, which need one worker and no queue."""

from mulberryloom_core import effects
from mulberryloom_core import exceptions
from mulberryloom_core import identity
from mulberryloom_core import messages
import mulberryloom_entry as entry

Kind = exceptions.ErrorKind
Ran = exceptions.Ran


def test_short_request_is_answered_with_outcome(make_region):
    region = make_region()
    call = region.submit(body=b'boots')
    assert call not in region.answers
    region.run(200)
    assert region.answers[call].body == b'answer to boots'
    assert len(region.runs()) == 1


def test_short_requests_are_spread_over_workers(make_region):
    region = make_region(agents=3)
    for _ in range(12):
        region.submit()
    ran = [len(agent.run_ids) for agent in region.agents.values()]
    assert ran == [4, 4, 4]


def test_short_request_is_retried_after_refusal(make_region):
    region = make_region()
    for agent in region.agents.values():
        agent.refusals = [Kind.NO_CAPACITY]
    call = region.submit()
    region.run(500)
    assert region.answers[call].error is None
    assert len(region.runs()) == 1


def test_failed_idempotent_request_is_retried_on_another_worker(make_region):
    region = make_region()
    first, second = region.agents.values()
    first.failures = 1
    second.failures = 1
    call = region.submit()
    region.run(150)
    second.failures = first.failures = 0
    region.run(1_000)
    assert region.answers[call].error is None
    assert len(first.run_ids) == 1
    assert len(second.run_ids) == 1


def test_request_ends_after_failures_on_two_healthy_workers(make_region):
    region = make_region(agents=3)
    for agent in region.agents.values():
        agent.failures = 9
    call = region.submit()
    region.run(3_000)
    assert region.answers[call].kind is Kind.BACKEND_FAILED
    assert region.answers[call].ran is Ran.YES
    assert len(region.runs()) == 2


def test_failed_request_is_not_retried_without_retry_budget(make_region):
    region = make_region(retry_percent=0)
    for agent in region.agents.values():
        agent.failures = 9
    call = region.submit()
    region.run(3_000)
    assert region.answers[call].kind is Kind.RETRY_BUDGET_SPENT
    assert region.answers[call].retry_after_ms > 0
    assert len(region.runs()) == 1


def test_request_of_lost_worker_runs_on_another(make_region):
    region = make_region()
    call = region.submit()
    agent = next(a for a in region.agents.values() if a.run_ids)
    agent.is_alive = False
    region.run(5_000)
    assert region.answers[call].error is None
    assert len(region.runs()) == 2


def test_agent_restart_ends_its_attempts_at_once(make_region):
    region = make_region()
    call = region.submit()
    agent = next(a for a in region.agents.values() if a.run_ids)
    agent.running.clear()
    agent.incarnation = 2
    peer = identity.PeerId(identity.Role.AGENT, agent.worker, 2)
    region.deliver('entry-1', effects.PeerConnected(peer))
    region.run(300)
    assert region.answers[call].error is None
    assert len(region.runs()) == 2


def test_lost_session_does_not_rerun_request(make_region):
    region = make_region()
    call = region.submit()
    agent = next(a for a in region.agents.values() if a.run_ids)
    peer = identity.PeerId(identity.Role.AGENT, agent.worker, 1)
    region.deliver('entry-1', effects.PeerLost(peer))
    region.run(300)
    assert region.answers[call].error is None
    assert len(region.runs()) == 1


def open_sessions(region):
    for agent in region.agents.values():
        peer = identity.PeerId(identity.Role.AGENT, agent.worker, 1)
        region.deliver('entry-1', effects.PeerConnected(peer))


def set_silent(region, is_silent):
    for agent in region.agents.values():
        agent.is_silent = is_silent


def test_answer_arrives_over_replaced_connection(make_region):
    region = make_region(retry_percent=0)
    open_sessions(region)
    calls = [region.submit(method=name) for name in ('fit', 'review')]
    set_silent(region, True)
    region.run(4_500)
    assert region.answers == {}
    set_silent(region, False)
    region.run(3_000)
    assert all(region.answers[call].error is None for call in calls)
    assert len(region.runs()) == 2


def test_lost_session_of_silent_worker_ends_its_attempts(make_region):
    region = make_region(retry_percent=0)
    open_sessions(region)
    idempotent = region.submit()
    non_idempotent = region.submit(method='review')
    set_silent(region, True)
    region.run(4_500)
    for agent in region.agents.values():
        peer = identity.PeerId(identity.Role.AGENT, agent.worker, 1)
        region.deliver('entry-1', effects.PeerLost(peer))
    region.run(100)
    assert region.answers[idempotent].kind is Kind.RETRY_BUDGET_SPENT
    assert region.answers[non_idempotent].kind is Kind.OUTCOME_UNKNOWN


def test_request_that_ran_is_not_refused_by_full_queue(make_region):
    region = make_region(agents=2, queue_limit=0)
    for agent in region.agents.values():
        agent.failures = 1
    call = region.submit()
    failing = next(a for a in region.agents.values() if a.run_ids)
    other = next(a for a in region.agents.values() if not a.run_ids)
    failing.slots = other.slots = 0
    other.failures = 0
    region.run(2_000)
    assert call not in region.answers
    other.slots = 4
    region.run(3_000)
    assert region.answers[call].error is None


def test_request_waits_for_capacity_until_deadline(make_region):
    region = make_region(agents=0)
    call = region.submit(deadline_ms=2_000)
    region.run(1_900)
    assert call not in region.answers
    region.run(200)
    assert region.answers[call].kind is Kind.DEADLINE_PASSED


def test_worker_that_left_gets_no_requests(make_region):
    region = make_region()
    leaving = region.agents['w0']
    peer = identity.PeerId(identity.Role.AGENT, 'w0', 1)
    leave = messages.AgentLeave('w0', 1)
    region.deliver('entry-1', effects.Received(peer, leave))
    for _ in range(4):
        region.submit()
    assert leaving.run_ids == []
    assert len(region.agents['w1'].run_ids) == 4


def test_answer_after_deadline_is_dropped(make_region):
    region = make_region()
    for agent in region.agents.values():
        agent.run_ms = 3_000
    call = region.submit(deadline_ms=1_000)
    region.run(1_100)
    assert region.answers[call].kind is Kind.DEADLINE_PASSED
    assert region.answers[call].ran is Ran.UNKNOWN
    region.run(3_000)
    assert len(region.answers) == 1


def test_cancelled_request_is_answered(make_region):
    region = make_region()
    call = region.submit(request_id='r-1')
    region.submit_input(
        ('entry-1', lambda c: entry.CancelRequested(c, 'accra', ['r-1']))
    )
    region.run(100)
    assert region.answers[call].kind is Kind.CANCELLED


def test_cancellation_by_another_account_has_no_effect(make_region):
    region = make_region()
    call = region.submit(request_id='r-1')
    region.submit_input(
        ('entry-1', lambda c: entry.CancelRequested(c, 'tema', ['r-1']))
    )
    region.run(300)
    assert region.answers[call].error is None


def test_answer_of_unknown_attempt_is_ignored(make_region):
    region = make_region()
    call = region.submit(request_id='r-1')
    agent = next(a for a in region.agents.values() if a.run_ids)
    peer = identity.PeerId(identity.Role.AGENT, agent.worker, 1)
    wrong = messages.TaskEnded('r-1', 7, messages.Outcome(body=b'wrong'))
    region.deliver('entry-1', effects.Received(peer, wrong))
    assert call not in region.answers
    region.run(300)
    assert region.answers[call].body == b'answer to size 42'
