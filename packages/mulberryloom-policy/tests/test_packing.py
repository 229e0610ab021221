"""Tests of the packing of guaranteed shapes into workers."""

from mulberryloom_core import exceptions
from mulberryloom_core import shapes
from mulberryloom_core.version import configuration
from mulberryloom_policy.version import packing

WORKER_CAPACITY = shapes.Resources(8, 8, 130, 250_000)


def guaranteed_shape(accelerators, adjacency, copies=1, memory_mb=8_000):
    demand = shapes.Demand(accelerators, adjacency, 8, memory_mb)
    return shapes.GuaranteedShape(demand, copies)


def make_configuration(workers_by_rack, **shapes_by_account):
    accounts = {
        name: configuration.ClientAccount(name, 1, '', guarantees)
        for name, guarantees in shapes_by_account.items()
    }
    racks = {
        name: configuration.Rack(name, 1, 'dc', workers, WORKER_CAPACITY)
        for name, workers in workers_by_rack.items()
    }
    return configuration.Configuration(1, 1, accounts, {}, racks, {})


def pack(config):
    return packing.pack(lambda: packing.configured_bins(config), config)


def test_check_accepts_guarantees_that_fit_together():
    config = make_configuration(
        {'r1': 3, 'r2': 1},
        circles=[guaranteed_shape(8, shapes.Adjacency.WORKER)],
        press=[guaranteed_shape(16, shapes.Adjacency.RACK)],
    )
    assert packing.check(config).is_ok()


def test_check_refuses_rack_shape_on_two_racks_with_reason():
    """Enough accelerators in all do not help if no rack has enough."""
    config = make_configuration(
        {'r1': 1, 'r2': 1}, press=[guaranteed_shape(16, shapes.Adjacency.RACK)]
    )
    error = packing.check(config).unwrap_err()
    assert error.kind is exceptions.ErrorKind.GUARANTEES_DO_NOT_PACK
    assert 'press' in error.detail
    assert '16 accelerators in one rack' in error.detail
    assert 'at most 8 usable accelerators are left in one rack' in error.detail


def test_check_limits_guarantees_by_memory():
    big = guaranteed_shape(
        2, shapes.Adjacency.WORKER, copies=2, memory_mb=200_000
    )
    assert packing.check(make_configuration({'r1': 1}, a=[big])).is_err()
    assert packing.check(make_configuration({'r1': 2}, a=[big])).is_ok()


def test_pack_leaves_whole_racks_to_rack_shapes():
    config = make_configuration(
        {'r1': 2, 'r2': 1},
        a=[guaranteed_shape(8, shapes.Adjacency.WORKER)],
        b=[guaranteed_shape(16, shapes.Adjacency.RACK)],
    )
    packed = pack(config)
    assert packed.unplaced == []
    assert packed.workers_by_account['a'] == ['r2/0']


def test_pack_does_not_depend_on_order_of_accounts():
    guarantees = {
        'a': [guaranteed_shape(4, shapes.Adjacency.WORKER, 3)],
        'b': [guaranteed_shape(2, shapes.Adjacency.WORKER, 3)],
    }
    reversed_guarantees = dict(reversed(guarantees.items()))
    workers_by_rack = {'r1': 2, 'r2': 2}
    assert pack(make_configuration(workers_by_rack, **guarantees)) == pack(
        make_configuration(workers_by_rack, **reversed_guarantees)
    )


def test_pack_avoids_non_preemptible_load_of_other_accounts():
    config = make_configuration(
        {'r1': 2}, a=[guaranteed_shape(8, shapes.Adjacency.WORKER)]
    )
    load_by_account = {'b': shapes.Resources(1, 1, 1, 1)}

    def bins():
        return [
            packing.Bin.from_capacity(
                'w1', 'r1', WORKER_CAPACITY, load_by_account
            ),
            packing.Bin.from_capacity('w2', 'r1', WORKER_CAPACITY),
        ]

    assert packing.pack(bins, config).workers_by_account == {'a': ['w2']}


def test_pack_counts_own_non_preemptible_load_towards_part():
    config = make_configuration(
        {'r1': 1}, a=[guaranteed_shape(8, shapes.Adjacency.WORKER)]
    )
    load_by_account = {'a': shapes.Resources(1, 4, 4, 1_000)}

    def bins():
        return [
            packing.Bin.from_capacity(
                'w1', 'r1', WORKER_CAPACITY, load_by_account
            )
        ]

    assert packing.pack(bins, config).unplaced == []
