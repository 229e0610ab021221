"""Steps on the error kinds and the answers that callers get for them."""

from behave import given
from behave import then

from mulberryloom_core import exceptions


@given('an error of kind "{kind}" with a wait of {wait:d} ms')
def given_error(context, kind, wait):
    context.error = exceptions.Error.from_kind(
        exceptions.ErrorKind(kind), retry_after_ms=wait
    )


@then('its answer has status {status:d} and says that the request did not run')
def then_status(context, status):
    answer = exceptions.RESPONSE_BY_KIND[context.error.kind]
    assert answer.status == status
    assert context.error.ran is exceptions.Ran.NO


@then('it asks the caller to come back after {wait:d} ms')
def then_wait(context, wait):
    assert context.error.retry_after_ms == wait
