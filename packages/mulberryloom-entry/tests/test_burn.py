"""Tests of error budget burn rates and their reports."""

import dataclasses

from mulberryloom_core import exceptions
from mulberryloom_core import messages
from mulberryloom_core import shapes
from mulberryloom_core.version import configuration
import pytest

from mulberryloom_entry.process import burn
from mulberryloom_entry.process import burn_page
from mulberryloom_entry.process import reports
from mulberryloom_entry.request import lifecycle

DAY_MS = 24 * burn.HOUR_MS
NOW_MS = 400 * DAY_MS


@pytest.fixture
def objectives():
    interactive = shapes.RequestClass.INTERACTIVE
    objective = configuration.Objective('fast', interactive, 100, 1_000, 99.0)
    service = configuration.Service('rental', 1, [], {}, {'fast': objective})
    return dataclasses.replace(
        configuration.Configuration.empty(),
        services_by_name={'rental': service},
    )


def make_burn(name='entry-1', incarnation=1):
    return burn.BurnRateTracker(
        messages.EntryInfo(name, incarnation, '127.0.0.1:1')
    )


def ended_request(total_ms=200, run_ms=150, error=None):
    work = messages.Work(
        'r',
        'accra',
        'rental',
        'fit',
        shapes.RequestClass.INTERACTIVE,
        shapes.Demand(),
    )
    request = lifecycle.Request.from_work(work, 0)
    outcome = messages.Outcome(error=error, run_ms=run_ms)
    request.end(outcome, total_ms)
    return request


def burn_windows(entry_burn, objectives, wall_ms=NOW_MS):
    return entry_burn.burn_rates(objectives, wall_ms)[0].windows


def test_record_counts_late_and_failed_requests_as_bad(objectives):
    entry_burn = make_burn()
    error = exceptions.Error.from_kind(exceptions.ErrorKind.BACKEND_FAILED)
    for request in (
        ended_request(),
        ended_request(total_ms=2_000, run_ms=1_990),
        ended_request(total_ms=500, run_ms=100),
        ended_request(error=error),
    ):
        entry_burn.record(request, objectives, NOW_MS)
    window = burn_windows(entry_burn, objectives)[0]
    assert (window.good, window.bad) == (1, 3)


def test_burn_rate_of_one_uses_up_the_error_budget(objectives):
    entry_burn = make_burn()
    for _ in range(99):
        entry_burn.record(ended_request(), objectives, NOW_MS)
    entry_burn.record(ended_request(total_ms=9_000), objectives, NOW_MS)
    objective_burn = entry_burn.burn_rates(objectives, NOW_MS)[0]
    assert [window.rate for window in objective_burn.windows] == pytest.approx(
        [1.0] * 4
    )
    assert objective_burn.budget_left_percent == pytest.approx(0.0)
    assert objective_burn.alerts == ['slow']


def test_fast_alert_requires_high_rate_in_both_windows(objectives):
    entry_burn = make_burn()
    for _ in range(1_000):
        entry_burn.record(
            ended_request(), objectives, NOW_MS - 50 * burn.MINUTE_MS
        )
    for _ in range(50):
        entry_burn.record(ended_request(total_ms=9_000), objectives, NOW_MS)
    assert 'fast' not in entry_burn.burn_rates(objectives, NOW_MS)[0].alerts
    for _ in range(300):
        entry_burn.record(ended_request(total_ms=9_000), objectives, NOW_MS)
    assert 'fast' in entry_burn.burn_rates(objectives, NOW_MS)[0].alerts


def test_windows_exclude_older_counts(objectives):
    entry_burn = make_burn()
    entry_burn.record(ended_request(total_ms=9_000), objectives, NOW_MS)
    later = NOW_MS + 2 * burn.HOUR_MS
    bad = [
        window.bad for window in burn_windows(entry_burn, objectives, later)
    ]
    assert bad == [0, 0, 1, 1]
    much_later = NOW_MS + 4 * DAY_MS
    assert [
        window.bad
        for window in burn_windows(entry_burn, objectives, much_later)
    ] == [0] * 4


def test_merge_counts_repeated_reports_once(objectives):
    local = make_burn()
    remote = make_burn('entry-2')
    remote.record(ended_request(), objectives, NOW_MS)
    local.merge(remote.take_changes(NOW_MS))
    assert remote.take_changes(NOW_MS) is None
    remote.record(ended_request(), objectives, NOW_MS)
    local.merge(remote.take_changes(NOW_MS))
    local.merge(remote.report(NOW_MS))
    assert burn_windows(local, objectives)[0].good == 2


def test_merge_keeps_counts_of_earlier_incarnation(objectives):
    local = make_burn()
    for incarnation in (1, 2):
        remote = make_burn('entry-2', incarnation)
        remote.record(ended_request(), objectives, NOW_MS)
        local.merge(remote.report(NOW_MS))
    assert burn_windows(local, objectives)[0].good == 2


def test_burn_report_is_rendered_as_text_and_html(objectives):
    entry_burn = make_burn()
    for _ in range(50):
        entry_burn.record(ended_request(total_ms=9_000), objectives, NOW_MS)
    objective_burns = entry_burn.burn_rates(objectives, NOW_MS)
    document = [dataclasses.asdict(item) for item in objective_burns]
    text = reports.format_burn(document)
    assert 'rental/fast' in text
    assert 'fast, slow' in text
    page = burn_page.render(document)
    assert page.count('<rect') == 4
    assert 'Alerts: fast, slow' in page
