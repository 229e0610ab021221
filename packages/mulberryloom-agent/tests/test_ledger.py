"""Tests of the resource ledger of a worker."""

import hypothesis
from hypothesis import strategies as st
from mulberryloom_core import exceptions
from mulberryloom_core import shapes

from mulberryloom_agent.process import ledger

CAPACITY = shapes.Resources(4, 8, 16, 1_000)


def _key(number):
    return ledger.TaskKey(f'q{number}', 1)


def test_choose_positions_prefers_smallest_fitting_range():
    assert ledger.choose_positions([0, 1, 2, 5, 6], 2) == (5, 6)
    assert ledger.choose_positions([0, 2, 3, 4, 7], 4) == (0, 2, 3, 4)


def test_reserve_refuses_negative_amounts():
    worker_ledger = ledger.Ledger()
    worker_ledger.resize(CAPACITY)
    result = worker_ledger.reserve(_key(1), 'a', shapes.Resources(1, -1, 1, 1))
    kind = result.unwrap_err().kind
    assert kind == exceptions.ErrorKind.MALFORMED_REQUEST


def test_reserve_fails_until_reservations_fit_reduced_capacity():
    worker_ledger = ledger.Ledger()
    worker_ledger.resize(CAPACITY)
    worker_ledger.reserve(_key(1), 'a', shapes.Resources(1, 6, 1, 1)).unwrap()
    worker_ledger.resize(shapes.Resources(4, 4, 16, 1_000))
    one_accelerator = shapes.Resources(1, 1, 1, 1)
    assert worker_ledger.reserve(_key(2), 'a', one_accelerator).is_err()
    worker_ledger.release(_key(1))
    assert worker_ledger.reserve(
        _key(2), 'a', one_accelerator
    ).unwrap().positions == (0,)


amounts = st.integers(-1, 5)
resources = st.builds(
    shapes.Resources, st.integers(0, 2), amounts, amounts, amounts
)
steps = st.tuples(st.booleans(), st.integers(0, 9), resources)


# Hypothesis derives the examples from the source of this test: renaming
# anything in it would change them.
@hypothesis.settings(derandomize=True, deadline=None)
@hypothesis.given(st.lists(steps, max_size=60))
def test_nothing_is_held_twice_whatever_is_asked(sequence):
    book = ledger.Ledger()
    book.resize(CAPACITY)
    held = {}
    for is_release, number, wanted in sequence:
        if is_release:
            book.release(_key(number))
            held.pop(number, None)
            continue
        result = book.reserve(_key(number), f'a{number % 3}', wanted)
        if result.is_ok():
            assert number not in held
            held[number] = result.unwrap()
    total = sum((r.resources for r in held.values()), shapes.Resources())
    assert total == book.used
    assert total.fits_in(CAPACITY)
    positions = [p for r in held.values() for p in r.positions]
    assert len(positions) == len(set(positions)) == total.accelerators
    by_account = book.usage_by_account()
    assert sum(by_account.values(), shapes.Resources()) == total
