"""Announcements between many entries: lists travel when they change."""

from mulberryloom_core import identity
from mulberryloom_entry.jobs import entry_addresses

NOTICE_INTERVAL_MS = 350
ENTRY_COUNT = 50


def _address(index):
    return identity.Address('127.0.0.1', 1_000 + index)


def _make_addresses(count=ENTRY_COUNT):
    return entry_addresses.EntryAddresses(_address(i) for i in range(count))


def test_unchanged_addresses_are_not_sent_in_each_notice():
    addresses = _make_addresses()
    spent_ms = 60_000
    sent_count = sum(
        len(addresses.take_due_texts(now_ms))
        for now_ms in range(0, spent_ms, NOTICE_INTERVAL_MS)
    )
    announcements = (
        spent_ms // entry_addresses.FULL_ANNOUNCEMENT_INTERVAL_MS + 1
    )
    assert sent_count <= ENTRY_COUNT * announcements


def test_new_address_is_in_the_next_notice():
    addresses = _make_addresses()
    addresses.take_due_texts(0)
    assert addresses.add(_address(ENTRY_COUNT))
    assert not addresses.add(_address(ENTRY_COUNT))
    assert str(_address(ENTRY_COUNT)) in addresses.take_due_texts(
        NOTICE_INTERVAL_MS
    )
    assert addresses.take_due_texts(2 * NOTICE_INTERVAL_MS) == []


def test_peer_that_connects_gets_all_addresses():
    addresses = _make_addresses()
    addresses.take_due_texts(0)
    assert len(addresses.texts()) == ENTRY_COUNT
    assert list(addresses) == [_address(i) for i in range(ENTRY_COUNT)]
