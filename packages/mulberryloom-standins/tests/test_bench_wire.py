"""Tests of the least-squares fit of the wire benchmark."""

import pytest

from mulberryloom_standins import bench_wire


def test_fit_returns_line_through_rows_of_one_name():
    rows = [
        bench_wire.Row('digest', size, 5.0 + 2.0 * size, 'us')
        for size in (0, 10, 20)
    ]
    other = bench_wire.Row('single', 0, 1.0, 'us')
    [line] = bench_wire.fit([*rows, other])
    assert line.name == 'digest'
    assert line.base == pytest.approx(5.0)
    assert line.per_item == pytest.approx(2.0)
