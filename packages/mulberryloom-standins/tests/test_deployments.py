"""Tests of the example deployments and of fleet plans made from them."""

import hashlib
import pathlib

import pytest

from mulberryloom_standins import deployments
from mulberryloom_standins import fleet
from mulberryloom_standins import ports

EXAMPLES = pathlib.Path(__file__).parents[3] / 'examples'
DEPLOYMENT_NAMES = ['akwaboa', 'cumann-leabhar']


def _load_deployment(name):
    return deployments.Deployment.from_directory(EXAMPLES / name)


@pytest.mark.parametrize('name', DEPLOYMENT_NAMES)
def test_deployment_example_has_each_kind_of_method(name):
    deployment = _load_deployment(name)
    kinds = {
        deployment.urgent_method(),
        deployment.batch_method(),
        deployment.non_idempotent_method(),
        deployment.gang_method(),
    }
    assert len(kinds) == 4
    assert deployment.gang_account() in deployment.accounts


@pytest.mark.parametrize('name', DEPLOYMENT_NAMES)
def test_deployment_example_tokens_match_digests(name):
    deployment = _load_deployment(name)
    digest_by_name = {
        key: value['token_sha256']
        for part in ('accounts', 'operators')
        for key, value in deployment.ticket[part].items()
    }
    for key, digest in digest_by_name.items():
        token = deployments.token_of(key)
        assert hashlib.sha256(token.encode()).hexdigest() == digest
    bootstrap = deployments.BOOTSTRAP_TOKEN.encode()
    digest = hashlib.sha256(bootstrap).hexdigest()
    assert deployment.entry['operator_bootstrap_sha256'] == digest


@pytest.mark.parametrize('name', DEPLOYMENT_NAMES)
def test_fleet_plan_gives_each_listener_its_own_address(name):
    plan = fleet.FleetPlan.from_deployment(
        _load_deployment(name), ports.PortPool()
    )
    addresses = [plan.store]
    for entry in plan.entries:
        addresses += [
            entry.callers_address,
            entry.operators_address,
            entry.peers_address,
        ]
    for agent in plan.agents:
        addresses += [agent.peers_address, agent.backend_listen]
        addresses += [agent.backend, agent.platform]
    assert len(set(addresses)) == len(addresses)
    assert len(plan.agents) == 6
    racks_by_data_centre = {
        agent.location.data_centre: agent.location.rack
        for agent in plan.agents
    }
    assert len(set(racks_by_data_centre.values())) == 3
