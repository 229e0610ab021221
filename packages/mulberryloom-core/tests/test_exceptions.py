"""Tests of error kinds and their responses."""

from mulberryloom_core import exceptions


def test_answer_by_kind_covers_every_kind():
    assert set(exceptions.RESPONSE_BY_KIND) == set(exceptions.ErrorKind)


def test_error_of_final_kind_has_no_retry_after():
    error = exceptions.Error.from_kind(
        exceptions.ErrorKind.NEVER_FITS, retry_after_ms=5_000
    )
    assert error.retry_after_ms == 0
