"""Tests of the journal against records of other writers."""

from mulberryloom_core import store
from mulberryloom_entry.process import journal
from mulberryloom_entry.process import records
import pytest
from result import Ok


class Outbox:
    """Store that lists the same values under each prefix."""

    def __init__(self, values):
        self.values = values

    def call_store(self, request, on_result):
        entries = [
            store.Entry(f'{request.prefix}{index}', value, index + 1)
            for index, value in enumerate(self.values)
        ]
        on_result(Ok(store.Entries(entries, 9)), 0)


ODD_VALUES = [
    b'',
    b'\xff',
    b'[]',
    b'{}',
    b'{"work": []}',
    b'{"outcome": 5}',
    b'[' * 100_000,
]


# Guards against an account whose requests are never taken over, since one odd
# record stands among them.
@pytest.mark.parametrize('value', ODD_VALUES)
def test_odd_record_is_skipped_alone(value):
    loaded = []
    found = journal.Journal(Outbox([value]))
    found.load('a', 0, lambda *result: loaded.append(result), None)
    assert loaded == [([], {'0'}, 0)]


@pytest.mark.parametrize('value', ODD_VALUES)
@pytest.mark.parametrize(
    'record',
    [records.Claim, records.JournalRecord, records.ResultRecord],
)
def test_odd_record_is_a_value_error(record, value):
    with pytest.raises(ValueError):
        record.decode(value)
