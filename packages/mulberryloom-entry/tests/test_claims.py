"""Tests of claims: requests that must not run more than once."""

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies
from mulberryloom_core import effects
from mulberryloom_core import exceptions
from mulberryloom_core import identity
from mulberryloom_core import store
from mulberryloom_entry.process import records

Kind = exceptions.ErrorKind
Ran = exceptions.Ran


def stored_claims(region):
    return [
        records.Claim.decode(entry.value)
        for key, entry in region.store.entries_by_key.items()
        if key.startswith(records.CLAIMS_PREFIX)
    ]


def test_claim_is_written_before_request_starts(make_region):
    region = make_region()
    region.store.is_down = True
    call = region.submit(method='review')
    assert region.runs() == []
    region.store.is_down = False
    region.run(500)
    assert region.answers[call].error is None
    assert len(region.runs()) == 1
    assert stored_claims(region)[0].worker in region.agents


def test_store_outage_refuses_request_without_running_it(make_region):
    region = make_region()
    region.store.is_down = True
    call = region.submit(method='review')
    region.run(4_000)
    assert region.answers[call].kind is Kind.STORE_UNAVAILABLE
    assert region.answers[call].ran is Ran.NO
    assert region.answers[call].retry_after_ms > 0
    assert region.runs() == []


def test_store_outage_reports_unknown_run_for_keyed_retry(make_region):
    region = make_region(entries=2)
    first = region.submit(method='review', key='parcel-1')
    region.run(500)
    region.store.is_down = True
    second = region.submit('entry-2', 'review', key='parcel-1')
    region.run(4_000)
    assert region.answers[first].error is None
    assert region.answers[second].ran is Ran.UNKNOWN


def test_lost_store_reply_is_resolved_by_reading_claim(make_region):
    region = make_region()
    region.store.replies_to_lose = 1
    call = region.submit(method='review')
    region.run(1_000)
    assert region.answers[call].error is None
    assert len(region.runs()) == 1


def test_claim_is_reassigned_after_refusal(make_region):
    region = make_region()
    for agent in region.agents.values():
        agent.refusals = [Kind.NO_CAPACITY]
    call = region.submit(method='review')
    region.run(1_000)
    assert region.answers[call].error is None
    assert len(region.runs()) == 1


def test_lost_agent_yields_outcome_unknown(make_region):
    region = make_region()
    call = region.submit(method='review')
    agent = next(a for a in region.agents.values() if a.run_ids)
    agent.is_alive = False
    region.run(4_000)
    assert region.answers[call].kind is Kind.OUTCOME_UNKNOWN
    assert region.answers[call].ran is Ran.UNKNOWN
    assert len(region.runs()) == 1


def test_second_entry_answers_with_stored_result(make_region):
    region = make_region(entries=2)
    first = region.submit('entry-1', 'review', key='parcel-1')
    region.run(500)
    second = region.submit('entry-2', 'review', key='parcel-1')
    region.run(500)
    assert region.answers[first].body == region.answers[second].body
    assert len(region.runs()) == 1


def test_second_entry_reports_key_in_use_while_first_is_alive(make_region):
    region = make_region(entries=2)
    region.submit('entry-1', 'review', key='parcel-1')
    second = region.submit('entry-2', 'review', key='parcel-1')
    region.run(50)
    assert region.answers[second].kind is Kind.IDEMPOTENCY_KEY_IN_USE
    region.run(500)
    for name in ('entry-2', 'entry-1', 'entry-2'):
        again = region.submit(name, 'review', key='parcel-1')
        region.run(500)
        assert region.answers[again].body == b'answer to size 42'
    assert len(region.runs()) == 1


def test_claim_is_released_when_no_agent_accepts(make_region):
    region = make_region(entries=2)
    for agent in region.agents.values():
        agent.refusals = [Kind.NO_CAPACITY]
    first = region.submit('entry-1', 'review', key='p-1', deadline_ms=100)
    region.run(3_000)
    assert region.answers[first].ran is Ran.NO
    for agent in region.agents.values():
        agent.refusals = []
    second = region.submit('entry-2', 'review', key='p-1')
    region.run(2_000)
    assert region.answers[second].error is None
    assert len(region.runs()) == 1


def test_key_of_refused_request_can_be_retried(make_region):
    region = make_region()
    region.store.is_down = True
    refused = region.submit(method='review', key='parcel-1')
    region.run(4_000)
    assert region.answers[refused].kind is Kind.STORE_UNAVAILABLE
    region.store.is_down = False
    region.run(2_000)
    again = region.submit(method='review', key='parcel-1')
    region.run(2_000)
    assert region.answers[again].error is None
    assert len(region.runs()) == 1


def test_second_entry_takes_over_run_of_lost_entry(make_region):
    region = make_region(entries=2)
    for agent in region.agents.values():
        agent.run_ms = 5_000
    region.submit('entry-1', 'review', key='parcel-1')
    region.kill_entry('entry-1')
    second = region.submit('entry-2', 'review', key='parcel-1')
    region.run(7_000)
    assert region.answers[second].body == b'answer to size 42'
    assert len(region.runs()) == 1


def test_second_entry_reassigns_claim_that_was_never_started(make_region):
    region = make_region(entries=2)
    for agent in region.agents.values():
        agent.is_silent = True
    region.submit('entry-1', 'review', key='parcel-1')
    assert len(stored_claims(region)) == 1
    region.kill_entry('entry-1')
    for agent in region.agents.values():
        agent.is_silent = False
    second = region.submit('entry-2', 'review', key='parcel-1')
    region.run(2_000)
    assert region.answers[second].error is None
    assert len(region.runs()) == 1
    assert sum(len(a.forbidden) for a in region.agents.values()) == 1


def test_reused_key_with_different_body_is_refused(make_region):
    region = make_region(entries=2)
    region.submit('entry-1', 'review', key='parcel-1', body=b'one')
    region.run(500)
    for name in ('entry-1', 'entry-2'):
        call = region.submit(name, 'review', key='parcel-1', body=b'two')
        region.run(500)
        assert region.answers[call].kind is Kind.IDEMPOTENCY_KEY_REUSED
    assert len(region.runs()) == 1


def test_claim_of_lost_agent_is_not_reassigned(make_region):
    region = make_region(entries=2)
    for agent in region.agents.values():
        agent.run_ms = 60_000
    region.submit('entry-1', 'review', key='parcel-1')
    region.kill_entry('entry-1')
    for agent in region.agents.values():
        if agent.run_ids:
            agent.is_alive = False
    region.run(4_000)
    second = region.submit('entry-2', 'review', key='parcel-1')
    region.run(7_000)
    assert region.answers[second].kind is Kind.OUTCOME_UNKNOWN
    assert len(region.runs()) == 1


def test_restarted_agent_cannot_release_claim_of_earlier_incarnation(
    make_region,
):
    region = make_region(entries=2)
    region.submit('entry-1', 'review', key='parcel-1')
    agent = next(a for a in region.agents.values() if a.run_ids)
    region.kill_entry('entry-1')
    agent.restart()
    second = region.submit('entry-2', 'review', key='parcel-1')
    region.run(3_000)
    assert region.answers[second].kind is Kind.OUTCOME_UNKNOWN
    assert len(region.runs()) == 1


def test_abandoned_claim_is_deleted(make_region):
    region = make_region()
    region.store.replies_to_lose = 1
    call = region.submit(method='review')
    region.store.is_down = True
    region.run(4_000)
    assert region.answers[call].kind is Kind.STORE_UNAVAILABLE
    assert len(stored_claims(region)) == 1
    region.store.is_down = False
    region.run(3_000)
    assert stored_claims(region) == []


FAULTS = (
    'store-down',
    'store-up',
    'lose-answer',
    'silence',
    'wake',
    'refuse',
    'lose-session',
    'restart-agent',
    'restart-unnoticed',
    'kill-entry',
    'retry',
    'retry-elsewhere',
    'wait',
    'wait-long',
)


def _inject(region, fault):
    agents = list(region.agents.values())
    if fault == 'store-down':
        region.store.is_down = True
    elif fault == 'store-up':
        region.store.is_down = False
    elif fault == 'lose-answer':
        region.store.replies_to_lose += 1
    elif fault == 'silence':
        agents[0].is_silent = True
    elif fault == 'wake':
        agents[0].is_silent = False
    elif fault == 'refuse':
        agents[1].refusals.append(Kind.NO_CAPACITY)
    elif fault == 'lose-session':
        peer = identity.PeerId(identity.Role.AGENT, agents[0].worker, 1)
        region.deliver('entry-2', effects.PeerLost(peer))
    elif fault.startswith('restart'):
        _restart(region, is_noticed=fault == 'restart-agent')
    elif fault == 'kill-entry' and 'entry-1' in region.cores:
        region.kill_entry('entry-1')
    elif fault == 'retry':
        region.submit('entry-1', 'review', key='parcel-1')
    elif fault == 'retry-elsewhere':
        region.submit('entry-2', 'review', key='parcel-1')
    elif fault == 'wait':
        region.run(150)
    elif fault == 'wait-long':
        region.run(3_500)


def _restart(region, is_noticed):
    """Restart the agent that ran the request, or else the first one.

    :param is_noticed: whether the entries see the new session.
    """
    agents = list(region.agents.values())
    agent = next((a for a in agents if a.run_ids), agents[0])
    agent.restart()
    if not is_noticed:
        return
    peer = identity.PeerId(
        identity.Role.AGENT, agent.worker, agent.incarnation
    )
    for name in list(region.cores):
        region.deliver(name, effects.PeerConnected(peer))


@settings(derandomize=True, deadline=None, max_examples=150)
@given(strategies.lists(strategies.sampled_from(FAULTS), max_size=14))
def test_runs_at_most_once_under_faults(make_region, faults):
    region = make_region(entries=2)
    for fault in faults:
        _inject(region, fault)
    region.store.is_down = False
    region.run(9_000)
    assert len(region.runs()) <= 1
    for call, answer in region.answers.items():
        if isinstance(answer, exceptions.Error) and answer.ran is Ran.NO:
            assert region.runs_by_call[call] == 0


def test_unkeyed_claim_is_deleted_after_retention(make_region):
    region = make_region()
    region.submit(method='review')
    region.run(500)
    assert len(stored_claims(region)) == 1
    region.run(605_000, step_ms=500)
    assert stored_claims(region) == []
    assert any(
        isinstance(call, store.DeleteKey) for call in region.store.calls
    )


def test_keyed_retry_at_same_entry_gets_first_answer(make_region):
    region = make_region()
    first = region.submit(method='review', key='parcel-1')
    second = region.submit(method='review', key='parcel-1')
    region.run(500)
    third = region.submit(method='review', key='parcel-1')
    assert region.answers[second].kind is Kind.IDEMPOTENCY_KEY_IN_USE
    assert region.answers[third] == region.answers[first]
    assert len(region.runs()) == 1
