"""Tests of tickets that operators submit to entries."""

import json

from mulberryloom_core import exceptions
import mulberryloom_entry as entry
import pytest

from mulberryloom_entry.process import status

Kind = exceptions.ErrorKind


def make_ticket(number, weight=1, copies=1):
    demand = {
        'accelerators': 4,
        'adjacency': 'worker',
        'processors': 8,
        'memory_mb': 1_024,
    }
    account = {
        'token_sha256': '1' * 64,
        'guarantees': [{'demand': demand, 'copies': copies}],
        'weight': weight,
    }
    worker = {
        'slots': 8,
        'accelerators': 8,
        'processors': 64,
        'memory_mb': 64_000,
    }
    rack = {'data_centre': 'galway-a', 'workers': 2, 'worker': worker}
    return {
        'number': number,
        'accounts': {'sligo': account},
        'racks': {'rack-9': rack},
    }


def apply_ticket(region, name, document, is_check=False):
    body = json.dumps(document).encode()
    call_id = region.submit_input(
        (name, lambda call_id: entry.TicketSubmitted(call_id, body, is_check))
    )
    region.run(500)
    return region.answers[call_id]


@pytest.fixture
def region(make_region):
    return make_region(entries=2, version=0)


def test_ticket_is_in_force_at_every_entry(region):
    accepted = apply_ticket(region, 'entry-1', make_ticket(7))
    assert isinstance(accepted, entry.TicketAccepted)
    region.run(3_000)
    for core in region.cores.values():
        assert core.configuration.ticket == 7
        assert 'sligo' in core.configuration.accounts_by_name
        version = core.version_of_ticket(7)
        shown = status.describe_ticket(core, 7, version)
        entries = {
            name: shown.version_by_process[name] for name in region.cores
        }
        assert entries == {'entry-1': 1, 'entry-2': 1}


def test_ticket_submitted_twice_gets_the_same_answer(region):
    first = apply_ticket(region, 'entry-1', make_ticket(7))
    second = apply_ticket(region, 'entry-2', make_ticket(7))
    assert (first.ticket, first.config_version) == (7, 1)
    assert (second.ticket, second.config_version) == (7, 1)


def test_ticket_with_older_or_reused_number_is_rejected(region):
    apply_ticket(region, 'entry-1', make_ticket(7))
    reused = apply_ticket(region, 'entry-2', make_ticket(7, weight=2))
    assert reused.kind is Kind.TICKET_NUMBER_REUSED
    older = apply_ticket(region, 'entry-2', make_ticket(6))
    assert older.kind is Kind.TICKET_SUPERSEDED


def test_ticket_check_does_not_change_the_configuration(region):
    checked = apply_ticket(region, 'entry-1', make_ticket(7), is_check=True)
    assert checked.ticket == 7
    assert region.cores['entry-1'].configuration.version == 0
    broken = apply_ticket(region, 'entry-1', {'number': 8}, is_check=True)
    assert broken.kind is Kind.INVALID_TICKET


def test_ticket_with_guarantees_that_do_not_pack_is_rejected(region):
    refused = apply_ticket(region, 'entry-1', make_ticket(7, copies=5))
    assert refused.kind is Kind.GUARANTEES_DO_NOT_PACK
    assert region.cores['entry-1'].configuration.version == 0


def test_ticket_is_accepted_after_a_lost_reply_of_the_store(region):
    region.store.replies_to_lose = 1
    accepted = apply_ticket(region, 'entry-1', make_ticket(7))
    assert accepted.config_version == 1


def test_peers_share_the_configuration_while_the_store_is_down(region):
    """A store that returns empty does not reset the configuration."""
    apply_ticket(region, 'entry-1', make_ticket(7))
    region.store.is_down = True
    late = region.add_entry('entry-3', configuration=None)
    region.run(3_000)
    assert late.configuration.ticket == 7
    region.store.is_down = False
    region.store.entries_by_key.clear()
    region.run(15_000)
    for core in region.cores.values():
        assert core.configuration.ticket == 7
