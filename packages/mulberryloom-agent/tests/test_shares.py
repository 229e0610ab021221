"""Tests of the shares that the agent enforces on the fast path."""

import agent_harness as harness
from mulberryloom_core import exceptions
from mulberryloom_core import messages
from mulberryloom_core import shapes
from mulberryloom_core.version import configuration
import pytest

from mulberryloom_agent import effects

Kind = exceptions.ErrorKind


def _account(name, copies=0, weight=1):
    shape = shapes.GuaranteedShape(
        shapes.Demand(1, processors=4, memory_mb=1_000), copies
    )
    return configuration.ClientAccount(
        name, 1, '', [shape] if copies else [], weight=weight
    )


def _configuration(*accounts, workers=1):
    rack = configuration.Rack('r1', 1, 'galway-a', workers, harness.CAPACITY)
    return configuration.Configuration(
        1,
        1,
        {account.name: account for account in accounts},
        {},
        {'r1': rack},
        {},
    )


def _agent(*accounts, workers=1):
    agent = harness.Agent()
    agent.connect()
    agent.configure(_configuration(*accounts, workers=workers))
    return agent


def _start(agent, request_id, account, **changes):
    """Start a task on the fast path; return the error, if any."""
    work = harness.work(request_id, account=account, **changes)
    outputs = agent.start(work, epoch=None, is_claimed=True)
    if harness.of_type(outputs, effects.CallBackend):
        return None
    return harness.error_of(outputs)


def test_configuration_applies_on_receipt_and_never_reverts():
    agent = _agent(_account('galway'))
    assert agent.core.config_version() == 1
    agent.configure(configuration.Configuration.empty())
    assert agent.core.config_version() == 1
    (heartbeat,) = harness.of_type(agent.advance(100), messages.AgentHeartbeat)
    assert heartbeat.config_version == 1


def test_entitlement_is_guarantees_plus_weighted_remainder():
    agent = _agent(_account('galway', 4, 1), _account('sligo', 0, 3))
    shares = agent.core.worker.shares
    galway = shares.entitlement('galway', harness.CAPACITY)
    sligo = shares.entitlement('sligo', harness.CAPACITY)
    assert (galway.slots, galway.accelerators) == (5, 5)
    assert (sligo.slots, sligo.accelerators) == (3, 3)


def test_guarantees_are_scaled_from_the_fleet_to_the_worker():
    agent = _agent(_account('galway', 8), workers=4)
    shares = agent.core.worker.shares
    assert shares.guaranteed('galway', harness.CAPACITY).accelerators == 2


@pytest.mark.parametrize(
    'changes',
    [
        {'declared_run_ms': 3_000},
        {'declared_run_ms': 60_000, 'is_checkpointable': True},
    ],
)
def test_reclaimable_work_borrows_available_resources(changes):
    agent = _agent(_account('galway', 6), _account('sligo'))
    for number in range(8):
        assert _start(agent, f's{number}', 'sligo', **changes) is None


@pytest.mark.parametrize(
    'changes', [{'is_idempotent': False}, {'declared_run_ms': 60_000}]
)
def test_non_reclaimable_work_leaves_guarantees_free(changes):
    agent = _agent(_account('galway', 6), _account('sligo'))
    errors = [
        _start(agent, f's{number}', 'sligo', **changes) for number in range(4)
    ]
    assert [error is None for error in errors] == [True, True, False, False]
    assert errors[2].kind == Kind.OVER_SHARE
    assert errors[2].ran == exceptions.Ran.NO
    assert errors[2].retry_after_ms > 0
    for number in range(6):
        assert _start(agent, f'g{number}', 'galway') is None


def test_borrower_is_refused_while_a_refused_account_is_below_share():
    agent = _agent(_account('galway', 4), _account('sligo'))
    for number in range(8):
        assert _start(agent, f's{number}', 'sligo') is None
    assert _start(agent, 'g0', 'galway').kind == Kind.NO_CAPACITY
    agent.answer('s0')
    assert _start(agent, 's8', 'sligo').kind == Kind.OVER_SHARE
    assert _start(agent, 'g1', 'galway') is None
    agent.answer('s1')
    agent.advance(2_000)
    assert _start(agent, 's9', 'sligo') is None


def test_planned_work_is_not_limited_by_shares():
    agent = _agent(_account('galway', 8), _account('sligo'))
    work = harness.work('s1', account='sligo', is_idempotent=False)
    outputs = agent.start(work, is_claimed=True)
    assert harness.of_type(outputs, effects.CallBackend)
