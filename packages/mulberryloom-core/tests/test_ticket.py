"""Tests of the rules of tickets and of the configuration document."""

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
    """Return an account as it stands in a ticket."""
    return {'token_sha256': token * 64, 'guarantees': [], **extra}


def service(*accounts):
    """Return a service as it stands in a ticket."""
    return {
        'accounts': list(accounts),
        'methods': {
            'fit': {'request_class': 'urgent', 'demand': {'processors': 2}}
        },
        'objectives': {},
    }


def parse(number, **objects_by_kind):
    """Return a ticket from plain values."""
    text = json.dumps({'number': number, **objects_by_kind})
    return ticket.parse(text).unwrap()


def apply_all(*tickets):
    """Return the document after tickets that must all be accepted."""
    result = document.Document.empty()
    for item in tickets:
        result = ticket.apply(result, item).unwrap().document
    return result


def refusal(base, item, packing_check=None):
    """Return the error with which a ticket is refused."""
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


def test_objects_carry_the_number_of_their_ticket():
    result = apply_all(FIRST, parse(12, accounts={'two': account('c')}))
    config = result.configuration
    assert (config.version, config.ticket) == (2, 12)
    assert config.accounts_by_name['eire-west'].ticket == 10
    assert config.accounts_by_name['two'].ticket == 12


def test_document_survives_the_store_and_fits_its_schema():
    result = apply_all(FIRST, parse(12, operators={'ann': None}))
    text = document.encode(result)
    assert document.decode(text) == Ok(result)
    assert settings.check(json.loads(text), schemas.DOCUMENT) == []


def test_every_mistake_is_named_with_its_path():
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
def test_ticket_without_content_is_invalid(text):
    assert ticket.parse(text).unwrap_err().kind is KIND.INVALID_TICKET


def test_name_with_a_line_end_is_invalid():
    text = json.dumps({'number': 1, 'accounts': {'x\n': account()}})
    assert ticket.parse(text).unwrap_err().kind is KIND.INVALID_TICKET


def test_same_ticket_again_is_the_same_answer():
    base = apply_all(FIRST)
    later = apply_all(FIRST, parse(12, accounts={'two': account('c')}))
    for known in (base, later):
        again = ticket.apply(known, FIRST).unwrap()
        assert again.document is known
        assert again.version == 1


def test_same_number_with_other_content_is_refused():
    other = parse(10, accounts={'other': account('d')})
    assert refusal(apply_all(FIRST), other).kind is KIND.TICKET_NUMBER_REUSED


def test_older_ticket_is_refused_with_the_numbers_in_the_way():
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


def test_older_number_is_fine_for_objects_that_it_alone_touches():
    result = apply_all(FIRST, parse(9, accounts={'new': account('e')}))
    assert result.configuration.accounts_by_name['new'].ticket == 9


def test_removed_object_keeps_its_number():
    removed = parse(12, services={'rental': None})
    base = apply_all(FIRST, removed)
    assert base.configuration.services_by_name == {}
    back = parse(11, services={'rental': service('eire-west')})
    assert refusal(base, back).kind is KIND.TICKET_SUPERSEDED
    again = parse(13, services={'rental': service('eire-west')})
    assert ticket.apply(base, again).unwrap().document.tombstones == []


def test_dropped_tombstones_still_refuse_older_tickets(monkeypatch):
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
def test_references_are_checked(changes, path):
    error = refusal(apply_all(FIRST), parse(20, **changes))
    assert error.kind is KIND.INVALID_TICKET
    assert path in error.detail


def test_document_stays_within_the_store_limit():
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


def test_guarantees_that_do_not_pack_are_refused():
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


def plain_ticket(number, weights):
    """Return a ticket that sets or removes accounts."""
    return parse(
        number,
        accounts={
            name: weight and account(name, weight=weight)
            for name, weight in weights.items()
        },
    )


def visible(result):
    """Return the number and weight of each account."""
    return {
        name: (item.ticket, item.weight)
        for name, item in result.configuration.accounts_by_name.items()
    }


@hypothesis.settings(derandomize=True, deadline=None, max_examples=200)
@hypothesis.given(
    tickets=strategies.lists(strategies.tuples(NUMBERS, CHANGES), max_size=12)
)
def test_tickets_against_a_simple_oracle(tickets):
    base = document.Document.empty()
    content_by_number = {}
    number_by_name = {}
    shown = {}
    for number, weights in tickets:
        result = ticket.apply(base, plain_ticket(number, weights))
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
                shown[name] = (number, weight)
        assert visible(base) == {
            name: pair for name, pair in shown.items() if pair[1]
        }


@hypothesis.settings(derandomize=True, deadline=None, max_examples=200)
@hypothesis.given(
    common=strategies.lists(CHANGES, max_size=3),
    left=strategies.lists(CHANGES, max_size=3),
    right=strategies.lists(CHANGES, max_size=3),
)
def test_merge_holds_the_newest_of_each_object(common, left, right):
    base = document.Document.empty()
    number = 0
    for weights in common:
        number += 1
        item = plain_ticket(number, weights)
        base = ticket.apply(base, item).unwrap().document
    sides = []
    for step, changes in ((1, left), (2, right)):
        side = base
        for index, weights in enumerate(changes):
            # Odd numbers on one side, even ones on the other.
            item = plain_ticket(number + 2 * index + step, weights)
            side = ticket.apply(side, item).unwrap().document
        sides.append(side)
    one, two = sides
    joined = merge.merge(one, two)
    assert merge.covers(joined, one)
    assert merge.covers(joined, two)
    mirrored = merge.merge(two, one)
    assert document.encode(joined) == document.encode(mirrored)
    for name in 'abc':
        number, winner = max(
            (side.ticket_numbers('accounts').get(name, 0), index)
            for index, side in enumerate(sides)
        )
        expected = visible(sides[winner]).get(name)
        assert visible(joined).get(name) == expected
    if joined is not one and joined is not two:
        assert joined.version > max(one.version, two.version)
