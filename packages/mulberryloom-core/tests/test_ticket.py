"""Tests of tickets, the configuration document and its merge."""

import json

import hypothesis
from hypothesis import strategies
import pytest
from result import Err
from result import Ok

from mulberryloom_core import exceptions
from mulberryloom_core.process import settings
from mulberryloom_core import store
from mulberryloom_core.version import document
from mulberryloom_core.version import merge
from mulberryloom_core.version import schemas
from mulberryloom_core.version import ticket

KIND = exceptions.ErrorKind


def account(token='a', **extra):
    """Return the JSON value of an account in a ticket."""
    return {'token_sha256': token * 64, 'guarantees': [], **extra}


def service(*accounts):
    """Return the JSON value of a service in a ticket."""
    return {
        'accounts': list(accounts),
        'methods': {
            'fit': {'request_class': 'urgent', 'demand': {'processors': 2}}
        },
        'objectives': {},
    }


def parse(number, **objects_by_kind):
    """Return a ticket parsed from JSON values."""
    text = json.dumps({'number': number, **objects_by_kind})
    return ticket.parse(text).unwrap()


def apply_all(*tickets):
    """Return the document after tickets, all of which must be accepted."""
    result = document.Document.empty()
    for item in tickets:
        result = ticket.apply(result, item).unwrap().document
    return result


def refusal(base, item, packing_check=None):
    """Return the error of a ticket that must be refused."""
    return ticket.apply(base, item, packing_check).unwrap_err()


FIRST = parse(
    10,
    accounts={
        'eire-west': account(
            guarantees=[{'demand': {'accelerators': 8, 'adjacency': 'worker'}}]
        )
    },
    services={'rental': service('eire-west')},
    racks={
        'r1': {
            'data_centre': 'galway-a',
            'workers': 3,
            'worker': {'slots': 8, 'accelerators': 8},
        }
    },
    operators={'ann': {'token_sha256': 'b' * 64}},
)


def test_apply_sets_ticket_number_of_changed_objects():
    result = apply_all(FIRST, parse(12, accounts={'two': account('c')}))
    config = result.configuration
    assert (config.version, config.ticket) == (2, 12)
    assert config.accounts_by_name['eire-west'].ticket == 10
    assert config.accounts_by_name['two'].ticket == 12


def test_document_round_trip_preserves_content_and_matches_schema():
    result = apply_all(FIRST, parse(12, operators={'ann': None}))
    text = document.encode(result)
    assert document.decode(text) == Ok(result)
    assert settings.check(json.loads(text), schemas.DOCUMENT) == []


def test_parse_reports_every_problem_with_path():
    text = json.dumps(
        {
            'number': 0,
            'accounts': {'x': account(weight=-1, colour='red')},
            'wings': {},
        }
    )
    error = ticket.parse(text).unwrap_err()
    assert error.kind is KIND.INVALID_TICKET
    for part in ('$.number', '$.accounts.x', 'weight', 'colour', 'wings'):
        assert part in error.detail


@pytest.mark.parametrize(
    'text',
    ['', '[]', '{"number": 1}', '{"number": 1, "accounts": {}}', 'null'],
)
def test_parse_refuses_ticket_without_content(text):
    assert ticket.parse(text).unwrap_err().kind is KIND.INVALID_TICKET


def test_parse_refuses_name_with_newline():
    text = json.dumps({'number': 1, 'accounts': {'x\n': account()}})
    assert ticket.parse(text).unwrap_err().kind is KIND.INVALID_TICKET


def test_apply_is_idempotent_for_repeated_ticket():
    base = apply_all(FIRST)
    later = apply_all(FIRST, parse(12, accounts={'two': account('c')}))
    for current in (base, later):
        repeated = ticket.apply(current, FIRST).unwrap()
        assert repeated.document is current
        assert repeated.version == 1


def test_apply_refuses_reused_number_with_different_content():
    other = parse(10, accounts={'other': account('d')})
    assert refusal(apply_all(FIRST), other).kind is KIND.TICKET_NUMBER_REUSED


def test_apply_refuses_superseded_ticket_and_lists_objects():
    older = parse(
        9,
        accounts={'eire-west': account(), 'new': account('e')},
        services={'rental': None},
    )
    error = refusal(apply_all(FIRST), older)
    assert error.kind is KIND.TICKET_SUPERSEDED
    assert 'accounts.eire-west has ticket 10' in error.detail
    assert 'services.rental has ticket 10' in error.detail
    assert 'new' not in error.detail


def test_apply_accepts_lower_number_for_other_objects():
    result = apply_all(FIRST, parse(9, accounts={'new': account('e')}))
    assert result.configuration.accounts_by_name['new'].ticket == 9


def test_removed_object_keeps_ticket_number():
    removed = parse(12, services={'rental': None})
    base = apply_all(FIRST, removed)
    assert base.configuration.services_by_name == {}
    older = parse(11, services={'rental': service('eire-west')})
    assert refusal(base, older).kind is KIND.TICKET_SUPERSEDED
    newer = parse(13, services={'rental': service('eire-west')})
    assert ticket.apply(base, newer).unwrap().document.tombstones == []


def test_floor_refuses_older_tickets_of_dropped_tombstones(monkeypatch):
    monkeypatch.setattr(document, 'MAX_TOMBSTONES', 20)
    monkeypatch.setattr(document, 'MAX_RECENT_TICKETS', 10)
    count = document.MAX_TOMBSTONES + 5
    names = [f'a{index}' for index in range(count)]
    base = apply_all(
        *(
            parse(number, services={name: None})
            for number, name in enumerate(names, start=1)
        )
    )
    assert len(base.tombstones) == document.MAX_TOMBSTONES
    assert base.floor == 5
    late = parse(5, services={'a0': service()})
    assert refusal(base, late).kind is KIND.TICKET_SUPERSEDED


@pytest.mark.parametrize(
    ('changes', 'path'),
    [
        ({'accounts': {'eire-west': None}}, '$.services.rental.accounts[0]'),
        ({'services': {'s': service('nobody')}}, '$.services.s.accounts[0]'),
        (
            {'accounts': {'two': account('b')}},
            '$.operators.ann.token_sha256',
        ),
    ],
)
def test_apply_refuses_dangling_references_and_shared_tokens(changes, path):
    error = refusal(apply_all(FIRST), parse(20, **changes))
    assert error.kind is KIND.INVALID_TICKET
    assert path in error.detail


def test_apply_refuses_document_above_store_limit():
    methods = {
        f'm{index}': {'request_class': 'batch', 'demand': {}}
        for index in range(4_000)
    }
    big = {**service('eire-west'), 'methods': methods}
    first = ticket.apply(apply_all(FIRST), parse(20, services={'b': big}))
    room_bytes = first.unwrap().room_bytes
    size = len(document.encode(first.unwrap().document))
    assert room_bytes == store.MAX_VALUE_BYTES - size > 0
    second = parse(21, services={'c': big})
    error = refusal(first.unwrap().document, second)
    assert error.kind is KIND.CONFIGURATION_TOO_LARGE


def test_apply_returns_error_of_packing_check():
    problem = exceptions.Error.from_kind(KIND.GUARANTEES_DO_NOT_PACK)
    error = refusal(
        document.Document.empty(), FIRST, lambda config: Err(problem)
    )
    assert error is problem


NUMBERS = strategies.integers(1, 12)
CHANGES = strategies.dictionaries(
    strategies.sampled_from(['a', 'b', 'c']),
    strategies.sampled_from([None, 1, 2]),
    min_size=1,
)


def weights_ticket(number, weights):
    """Return a ticket that sets accounts, or removes them for ``None``."""
    return parse(
        number,
        accounts={
            name: weight and account(name, weight=weight)
            for name, weight in weights.items()
        },
    )


def number_and_weight_by_name(result):
    """Return the ticket number and weight of each account."""
    return {
        name: (item.ticket, item.weight)
        for name, item in result.configuration.accounts_by_name.items()
    }


@hypothesis.settings(derandomize=True, deadline=None, max_examples=200)
@hypothesis.given(
    tickets=strategies.lists(strategies.tuples(NUMBERS, CHANGES), max_size=12)
)
def test_apply_agrees_with_model(tickets):
    base = document.Document.empty()
    content_by_number = {}
    number_by_name = {}
    expected_by_name = {}
    for number, weights in tickets:
        result = ticket.apply(base, weights_ticket(number, weights))
        if number in content_by_number:
            is_same = content_by_number[number] == weights
            assert result.is_ok() == is_same
        elif any(number_by_name.get(name, 0) >= number for name in weights):
            assert result.unwrap_err().kind is KIND.TICKET_SUPERSEDED
        else:
            base = result.unwrap().document
            content_by_number[number] = weights
            for name, weight in weights.items():
                number_by_name[name] = number
                expected_by_name[name] = (number, weight)
        assert number_and_weight_by_name(base) == {
            name: pair for name, pair in expected_by_name.items() if pair[1]
        }


@hypothesis.settings(derandomize=True, deadline=None, max_examples=200)
@hypothesis.given(
    common=strategies.lists(CHANGES, max_size=3),
    left=strategies.lists(CHANGES, max_size=3),
    right=strategies.lists(CHANGES, max_size=3),
)
def test_merge_keeps_newest_state_of_each_object(common, left, right):
    base = document.Document.empty()
    number = 0
    for weights in common:
        number += 1
        item = weights_ticket(number, weights)
        base = ticket.apply(base, item).unwrap().document
    sides = []
    for step, changes in ((1, left), (2, right)):
        side = base
        for index, weights in enumerate(changes):
            # The two sides use numbers of different parity.
            item = weights_ticket(number + 2 * index + step, weights)
            side = ticket.apply(side, item).unwrap().document
        sides.append(side)
    first, second = sides
    merged = merge.merge(first, second)
    assert merge.covers(merged, first)
    assert merge.covers(merged, second)
    mirrored = merge.merge(second, first)
    assert document.encode(merged) == document.encode(mirrored)
    for name in 'abc':
        number, newest = max(
            (side.ticket_numbers('accounts').get(name, 0), index)
            for index, side in enumerate(sides)
        )
        expected = number_and_weight_by_name(sides[newest]).get(name)
        assert number_and_weight_by_name(merged).get(name) == expected
    if merged is not first and merged is not second:
        assert merged.version > max(first.version, second.version)
