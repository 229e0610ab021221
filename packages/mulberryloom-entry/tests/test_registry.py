"""Tests of the registration of entries in the store."""

from mulberryloom_core import messages
from mulberryloom_core import store
from mulberryloom_entry.process import registry

KEY = 'entries/entry-1'
MAX_CALLS_PER_S = 200 + 500
ENTRIES_PER_REGION = 12


def registered_keys(region):
    entries_by_key = region.store.entries_by_key
    return [
        key
        for key in entries_by_key
        if key.startswith(registry.ENTRIES_PREFIX)
    ]


def test_registry_lets_entries_discover_each_other(make_region):
    region = make_region()
    region.add_entry('entry-2', is_connected=False)
    region.run(20_000)
    assert registered_keys(region) == ['entries/entry-1', 'entries/entry-2']
    for name, core in region.cores.items():
        others = set(region.cores) - {name}
        assert set(core.context.membership.entries_by_name) == others


def test_registry_registers_again_after_lease_lapsed(make_region):
    region = make_region()
    region.store.expired_lease_ids.add(region.store.last_lease_id)
    region.store.entries_by_key.pop(KEY)
    region.run(10_000)
    assert registered_keys(region) == [KEY]


def test_registry_bounds_calls_and_registers_again_after_outage(make_region):
    region = make_region()
    region.store.is_down = True
    before = len(region.store.calls)
    region.run(10_000)
    calls = len(region.store.calls) - before
    assert calls <= 10 * MAX_CALLS_PER_S // ENTRIES_PER_REGION
    region.store.expired_lease_ids.add(region.store.last_lease_id)
    region.store.entries_by_key.pop(KEY)
    region.store.is_down = False
    region.run(10_000)
    assert registered_keys(region) == [KEY]


# Guards against a place among the entries to call for an address that cannot
# be called.
def test_registry_skips_an_odd_registration_alone():
    found = []
    info = messages.EntryInfo('entry-1', 1, '10.0.0.1:80')
    registration = registry.Registry(
        info, None, lambda name, address: found.append((name, address))
    )
    values = [b'10.0.0.2:70000', b'\xff', b'[' * 100_000, b'10.0.0.2:80']
    entries = [
        store.Entry(f'{registry.ENTRIES_PREFIX}e{index}', value, index + 1)
        for index, value in enumerate(values)
    ]
    registration._on_listed(store.Entries(entries, 9), 0)
    assert found == [('e3', '10.0.0.2:80')]
