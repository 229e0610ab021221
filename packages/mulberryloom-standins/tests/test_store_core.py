"""Tests of the core of the store stand-in."""

from mulberryloom_core import exceptions
from mulberryloom_core import store
from mulberryloom_standins import store as store_standin


def _put(core, key, value, expected=0, now_ms=0, lease_id=0):
    return core.handle(store.PutKey(key, value, expected, lease_id), now_ms)


def _read_values(core, key, now_ms=0):
    answer = core.handle(store.GetKey(key), now_ms).ok_value
    return [entry.value for entry in answer.entries]


def test_write_requires_the_expected_revision():
    core = store_standin.StoreCore()
    written = _put(core, 'a', b'1').ok_value
    refused = _put(core, 'a', b'2')
    assert refused.err_value.kind is exceptions.ErrorKind.STORE_CONFLICT
    assert _put(core, 'a', b'2', written.revision).is_ok()
    assert _read_values(core, 'a') == [b'2']


def test_deleted_key_is_absent_and_can_be_created_again():
    core = store_standin.StoreCore()
    written = _put(core, 'a', b'1').ok_value
    assert core.handle(store.DeleteKey('a', written.revision), 0).is_ok()
    assert _read_values(core, 'a') == []
    assert _put(core, 'a', b'2').is_ok()


def test_lapsed_lease_deletes_its_keys():
    core = store_standin.StoreCore()
    lease = core.handle(store.GrantLease(1_000), 0).ok_value.lease_id
    _put(core, 'a', b'1', lease_id=lease)
    core.handle(store.RenewLease(lease), 900)
    assert _read_values(core, 'a', now_ms=1_800) == [b'1']
    assert _read_values(core, 'a', now_ms=1_900) == []
    renewed = core.handle(store.RenewLease(lease), 1_900).ok_value
    assert renewed.ttl_ms == 0
    late = _put(core, 'a', b'2', now_ms=1_900, lease_id=lease)
    assert late.err_value.kind is exceptions.ErrorKind.STORE_CONFLICT


def test_rewritten_key_is_detached_from_its_first_lease():
    core = store_standin.StoreCore()
    lease = core.handle(store.GrantLease(1_000), 0).ok_value.lease_id
    written = _put(core, 'a', b'1', lease_id=lease).ok_value
    _put(core, 'a', b'2', written.revision)
    assert _read_values(core, 'a', now_ms=5_000) == [b'2']


def test_watch_waits_for_a_change_or_its_timeout():
    core = store_standin.StoreCore()
    _put(core, 'x/a', b'1')
    revision = core.state.revision
    core.submit(7, store.WatchPrefix('x/', revision, 1_000), 0)
    core.submit(8, store.WatchPrefix('y/', revision, 1_000), 0)
    assert core.take_due_answers(500) == []
    _put(core, 'x/b', b'2', now_ms=500)
    (changed,) = core.take_due_answers(500)
    assert changed.call_id == 7
    assert [e.key for e in changed.result.ok_value.entries] == ['x/b']
    (timed_out,) = core.take_due_answers(1_000)
    assert timed_out.call_id == 8
    assert timed_out.result.ok_value.entries == []


def test_watch_reports_a_deletion_as_an_empty_value():
    core = store_standin.StoreCore()
    written = _put(core, 'x/a', b'1').ok_value
    core.handle(store.DeleteKey('x/a', written.revision), 0)
    watch = store.WatchPrefix('x/', written.revision, 1_000)
    (entry,) = core.handle(watch, 0).ok_value.entries
    assert entry.value == b''


def test_outage_refuses_calls_without_effect():
    core = store_standin.StoreCore()
    core.faults.outage = True
    refused = _put(core, 'a', b'1')
    assert refused.err_value.kind is exceptions.ErrorKind.STORE_UNAVAILABLE
    core.faults.outage = False
    assert _read_values(core, 'a') == []


def test_lost_answer_leaves_the_write_in_effect():
    core = store_standin.StoreCore()
    core.faults.lost_answers = 1
    lost = _put(core, 'a', b'1')
    assert lost.err_value.kind is exceptions.ErrorKind.STORE_UNAVAILABLE
    assert _read_values(core, 'a') == [b'1']
    assert _put(core, 'b', b'1').is_ok()


def test_stale_answer_has_the_value_before_the_last_write():
    core = store_standin.StoreCore()
    written = _put(core, 'a', b'1').ok_value
    _put(core, 'a', b'2', written.revision)
    core.faults.stale_answers = 1
    assert _read_values(core, 'a') == [b'1']
    assert _read_values(core, 'a') == [b'2']


def test_delay_postpones_the_effect_and_the_answer():
    core = store_standin.StoreCore()
    core.faults.delay_ms = 300
    core.submit(1, store.PutKey('a', b'1', 0), 0)
    assert core.take_due_answers(299) == []
    assert _read_values(core, 'a') == []
    assert [done.call_id for done in core.take_due_answers(300)] == [1]


def test_value_over_the_limit_is_refused():
    core = store_standin.StoreCore()
    at_limit = bytes(store.MAX_VALUE_BYTES)
    assert _put(core, 'a', at_limit).is_ok()
    assert _put(core, 'b', at_limit + b'x').is_err()


def test_calls_are_counted_by_kind_even_during_an_outage():
    core = store_standin.StoreCore()
    _put(core, 'a', b'1')
    core.faults.outage = True
    core.handle(store.GetKey('a'), 0)
    core.submit(1, store.WatchPrefix('a', 0, 100), 0)
    core.take_due_answers(0)
    assert core.calls_by_kind == {'PutKey': 1, 'GetKey': 1, 'WatchPrefix': 1}
