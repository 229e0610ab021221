"""Parsing and validation of callers' HTTP requests."""

import dataclasses

from mulberryloom_core.connection import http_types
from mulberryloom_core import exceptions
from mulberryloom_core import messages
from mulberryloom_core import shapes
from mulberryloom_core.version import configuration as configurations
from result import Err
from result import Ok
from result import Result

DEMAND_HEADER = 'mulberryloom-demand'
DEADLINE_HEADER = 'mulberryloom-deadline-ms'
IDEMPOTENCY_KEY_HEADER = 'idempotency-key'
MAX_IDEMPOTENCY_KEY_CHARACTERS = 255
#: Limit of each amount in the demand header.
MAX_AMOUNT = 1_000_000_000
#: Longest deadline that a caller may set: 30 days.
MAX_DEADLINE_MS = 30 * 24 * 3_600_000

_Kind = exceptions.ErrorKind


@dataclasses.dataclass(frozen=True, slots=True)
class DemandOverride:
    """Demand and run time of a request.

    Both are the method's defaults, replaced by the caller's demand header
    where it gives other values.

    :param declared_run_ms: expected run time.
    """

    demand: shapes.Demand
    declared_run_ms: int


def build_work(
    request: http_types.HttpRequest,
    request_id: str,
    account: configurations.ClientAccount,
    service_name: str,
    method_name: str,
    configuration: configurations.Configuration,
) -> Result[messages.Work, exceptions.Error]:
    """Validate a caller's request and build its work.

    :return: the work, or the error to answer with.
    """
    lookup = find_method(account, service_name, method_name, configuration)
    if isinstance(lookup, Err):
        return lookup
    method = lookup.ok_value
    headers = request.headers_by_name
    override = parse_demand_override(headers.get(DEMAND_HEADER, ''), method)
    if isinstance(override, Err):
        return override
    deadline_text = headers.get(DEADLINE_HEADER, str(method.deadline_ms))
    deadline = parse_amount(DEADLINE_HEADER, deadline_text, MAX_DEADLINE_MS)
    if isinstance(deadline, Err):
        return deadline
    if not deadline.ok_value:
        return Err(
            _malformed(
                f'{DEADLINE_HEADER}: expected 1 or more, got {deadline_text}'
            )
        )
    return Ok(
        messages.Work(
            request_id=request_id,
            account=account.name,
            service=service_name,
            method=method_name,
            request_class=method.request_class,
            demand=override.ok_value.demand,
            content_type=headers.get(
                'content-type', 'application/octet-stream'
            ),
            body=request.body,
            is_idempotent=method.is_idempotent,
            is_checkpointable=method.is_checkpointable,
            declared_run_ms=override.ok_value.declared_run_ms,
            deadline_ms=deadline.ok_value,
        )
    )


def find_method(
    account: configurations.ClientAccount,
    service_name: str,
    method_name: str,
    configuration: configurations.Configuration,
) -> Result[configurations.Method, exceptions.Error]:
    """Return a method that the account may call.

    :return: the method, or the error to answer with.
    """
    service = configuration.services_by_name.get(service_name)
    if service is None:
        return Err(_error(_Kind.UNKNOWN_SERVICE, service_name))
    if account.name not in service.accounts:
        detail = f'account {account.name} may not call service {service_name}'
        return Err(_error(_Kind.FORBIDDEN, detail))
    if account.state is not configurations.AccountState.ACTIVE:
        detail = (
            f'account {account.name} is {account.state.value}, expected active'
        )
        return Err(_error(_Kind.FORBIDDEN, detail))
    method = service.methods_by_name.get(method_name)
    if method is None:
        detail = f'service {service_name} has no method {method_name}'
        return Err(_error(_Kind.UNKNOWN_METHOD, detail))
    return Ok(method)


def parse_demand_override(
    text: str, method: configurations.Method
) -> Result[DemandOverride, exceptions.Error]:
    """Parse a demand header such as ``accelerators=16;adjacency=rack``.

    :param text: value of the header; empty without one.
    :param method: method whose defaults apply to omitted fields.
    """
    demand = method.demand
    override = DemandOverride(demand, method.declared_run_ms)
    for part in text.split(';') if text else []:
        name, _, value = part.strip().partition('=')
        updated = _apply_override(override, name.strip(), value.strip())
        if isinstance(updated, Err):
            return updated
        override = updated.ok_value
    return Ok(override)


_DEMAND_FIELDS_BY_NAME = {
    'accelerators': 'accelerators',
    'processors': 'processors',
    'memory-mb': 'memory_mb',
}


def _apply_override(
    override: DemandOverride, name: str, value: str
) -> Result[DemandOverride, exceptions.Error]:
    if name == 'adjacency':
        try:
            adjacency = shapes.Adjacency(value)
        except ValueError:
            allowed = ', '.join(kind.value for kind in shapes.Adjacency)
            return Err(
                _malformed(
                    f'adjacency: expected one of {allowed}, got {value!r}'
                )
            )
        demand = dataclasses.replace(override.demand, adjacency=adjacency)
        return Ok(dataclasses.replace(override, demand=demand))
    amount = parse_amount(name, value, MAX_AMOUNT)
    if isinstance(amount, Err):
        return amount
    if name == 'run-ms':
        run_ms = max(1, amount.ok_value)
        return Ok(dataclasses.replace(override, declared_run_ms=run_ms))
    field = _DEMAND_FIELDS_BY_NAME.get(name)
    if field is None:
        allowed = ', '.join([*_DEMAND_FIELDS_BY_NAME, 'adjacency', 'run-ms'])
        detail = f'{DEMAND_HEADER}: expected one of {allowed}, got {name!r}'
        return Err(_malformed(detail))
    demand = dataclasses.replace(override.demand, **{field: amount.ok_value})
    return Ok(dataclasses.replace(override, demand=demand))


def parse_amount(
    name: str, text: str, limit: int
) -> Result[int, exceptions.Error]:
    """Parse a whole number from a header or a field of a header.

    :param name: name of the header or field, for the error text.
    :param limit: highest value allowed.
    """
    is_number = text.isascii() and text.isdecimal() and len(text) < 20
    if not is_number or int(text) > limit:
        detail = f'{name}: expected a whole number up to {limit}, got {text!r}'
        return Err(_malformed(detail))
    return Ok(int(text))


def read_idempotency_key(
    request: http_types.HttpRequest,
) -> Result[str, exceptions.Error]:
    """Return the idempotency key of a request, or an empty string."""
    key = request.headers_by_name.get(IDEMPOTENCY_KEY_HEADER, '').strip()
    if len(key) > MAX_IDEMPOTENCY_KEY_CHARACTERS:
        return Err(
            _malformed(
                f'{IDEMPOTENCY_KEY_HEADER}: expected at most '
                f'{MAX_IDEMPOTENCY_KEY_CHARACTERS} characters, got {len(key)}'
            )
        )
    return Ok(key)


def _malformed(detail: str) -> exceptions.Error:
    return _error(_Kind.MALFORMED_REQUEST, detail)


def _error(kind: exceptions.ErrorKind, detail: str) -> exceptions.Error:
    return exceptions.Error.from_kind(kind, detail)
