"""Packing of guaranteed shapes."""

from mulberryloom_core import exceptions
from mulberryloom_core import shapes
from mulberryloom_core.version import configuration
from mulberryloom_policy.version import packing

WORKER = shapes.Resources(8, 8, 130, 250_000)


def shape(accelerators, adjacency, copies=1, memory_mb=8_000):
    demand = shapes.Demand(accelerators, adjacency, 8, memory_mb)
    return shapes.GuaranteedShape(demand, copies)


def config(workers_by_rack, **guarantees):
    accounts = {
        name: configuration.ClientAccount(name, 1, '', some)
        for name, some in guarantees.items()
    }
    racks = {
        name: configuration.Rack(name, 1, 'dc', workers, WORKER)
        for name, workers in workers_by_rack.items()
    }
    return configuration.Configuration(1, 1, accounts, {}, racks, {})


def pack(made):
    return packing.pack(lambda: packing.configured_bins(made), made)


def test_all_guarantees_fit_together():
    made = config(
        {'r1': 3, 'r2': 1},
        circles=[shape(8, shapes.Adjacency.WORKER)],
        press=[shape(16, shapes.Adjacency.RACK)],
    )
    assert packing.check(made).is_ok()


def test_same_count_without_adjacency_is_refused_with_the_reason():
    made = config({'r1': 1, 'r2': 1}, press=[shape(16, shapes.Adjacency.RACK)])
    error = packing.check(made).unwrap_err()
    assert error.kind is exceptions.ErrorKind.GUARANTEES_DO_NOT_PACK
    assert 'press' in error.detail
    assert '16 accelerators in one rack' in error.detail
    assert 'at most 8 usable accelerators are left in one rack' in error.detail


def test_memory_counts_like_accelerators():
    big = shape(2, shapes.Adjacency.WORKER, copies=2, memory_mb=200_000)
    assert packing.check(config({'r1': 1}, a=[big])).is_err()
    assert packing.check(config({'r1': 2}, a=[big])).is_ok()


def test_worker_shapes_leave_whole_racks_to_rack_shapes():
    made = config(
        {'r1': 2, 'r2': 1},
        a=[shape(8, shapes.Adjacency.WORKER)],
        b=[shape(16, shapes.Adjacency.RACK)],
    )
    found = pack(made)
    assert found.missing == []
    assert found.workers_by_account['a'] == ['r2/0']


def test_packing_does_not_depend_on_the_order_of_accounts():
    one = {
        'a': [shape(4, shapes.Adjacency.WORKER, 3)],
        'b': [shape(2, shapes.Adjacency.WORKER, 3)],
    }
    two = dict(reversed(one.items()))
    racks = {'r1': 2, 'r2': 2}
    assert pack(config(racks, **one)) == pack(config(racks, **two))


def test_packing_goes_round_unstoppable_work_of_others():
    made = config({'r1': 2}, a=[shape(8, shapes.Adjacency.WORKER)])
    held = {'b': shapes.Resources(1, 1, 1, 1)}

    def bins():
        return [
            packing.Bin.from_capacity('w1', 'r1', WORKER, held),
            packing.Bin.from_capacity('w2', 'r1', WORKER),
        ]

    assert packing.pack(bins, made).workers_by_account == {'a': ['w2']}


def test_own_unstoppable_work_counts_towards_the_part():
    made = config({'r1': 1}, a=[shape(8, shapes.Adjacency.WORKER)])
    held = {'a': shapes.Resources(1, 4, 4, 1_000)}

    def bins():
        return [packing.Bin.from_capacity('w1', 'r1', WORKER, held)]

    assert packing.pack(bins, made).missing == []
