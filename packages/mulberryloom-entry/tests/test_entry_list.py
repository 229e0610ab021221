"""Tests of sending the list of live entries to agents."""

from mulberryloom_core import messages
from mulberryloom_entry.process import entry_list

ONE_ENTRY = [messages.EntryInfo('entry-1', 1, '127.0.0.1:1')]
TWO_ENTRIES = [*ONE_ENTRY, messages.EntryInfo('entry-2', 1, '127.0.0.1:2')]


def test_tracker_sends_each_list_once_per_agent():
    tracker = entry_list.EntryListTracker()
    assert tracker.entries_for('w1', list(ONE_ENTRY)) == ONE_ENTRY
    assert tracker.entries_for('w1', list(ONE_ENTRY)) == []
    assert tracker.entries_for('w2', list(ONE_ENTRY)) == ONE_ENTRY
    assert tracker.entries_for('w1', list(TWO_ENTRIES)) == TWO_ENTRIES
    assert tracker.entries_for('w2', list(TWO_ENTRIES)) == TWO_ENTRIES


def test_tracker_sends_list_again_after_new_session():
    tracker = entry_list.EntryListTracker()
    tracker.entries_for('w1', ONE_ENTRY)
    tracker.forget('w1')
    assert tracker.entries_for('w1', ONE_ENTRY) == ONE_ENTRY
