"""JSON schemas of tickets and of the configuration document."""

import typing as t

Schema: t.TypeAlias = dict[str, t.Any]

NAME_PATTERN = r'^[A-Za-z0-9][A-Za-z0-9._-]{0,62}\Z'
MAX_NUMBER = 2**53 - 1

_NAME: Schema = {'type': 'string', 'pattern': NAME_PATTERN}
_DIGEST: Schema = {'type': 'string', 'pattern': r'^[0-9a-f]{64}\Z'}
_FLAG: Schema = {'type': 'boolean'}
_REQUEST_CLASS: Schema = {'enum': ['urgent', 'interactive', 'batch']}
_SECONDS_PER_YEAR = 365 * 86_400
_MAX_DURATION_MS = _SECONDS_PER_YEAR * 1_000


def _integer(minimum: int, maximum: int) -> Schema:
    return {'type': 'integer', 'minimum': minimum, 'maximum': maximum}


def _object(required: Schema, optional: Schema | None = None) -> Schema:
    return {
        'type': 'object',
        'properties': required | (optional or {}),
        'required': list(required),
        'additionalProperties': False,
    }


def _by_name(item: Schema) -> Schema:
    return {
        'type': 'object',
        'propertyNames': {'pattern': NAME_PATTERN},
        'additionalProperties': item,
    }


def _nullable(item: Schema) -> Schema:
    return item | {'type': [item['type'], 'null']}


_AMOUNTS: Schema = {
    'accelerators': _integer(0, 100_000),
    'processors': _integer(0, 10_000_000),
    'memory_mb': _integer(0, 2**40),
}
_DEMAND = _object(
    {}, _AMOUNTS | {'adjacency': {'enum': ['any', 'rack', 'worker']}}
)
_GUARANTEE = _object({'demand': _DEMAND}, {'copies': _integer(1, 10_000)})
_METHOD = _object(
    {'request_class': _REQUEST_CLASS, 'demand': _DEMAND},
    {
        'is_idempotent': _FLAG,
        'is_checkpointable': _FLAG,
        'declared_run_ms': _integer(1, _MAX_DURATION_MS),
        'deadline_ms': _integer(1, _MAX_DURATION_MS),
    },
)
_OBJECTIVE = _object(
    {
        'request_class': _REQUEST_CLASS,
        'start_within_ms': _integer(0, _MAX_DURATION_MS),
        'finish_within_ms': _integer(0, _MAX_DURATION_MS),
        'target_percent': {
            'type': 'number',
            'exclusiveMinimum': 0,
            'exclusiveMaximum': 100,
        },
    }
)
_ACCOUNT = (
    {
        'token_sha256': _DIGEST,
        'guarantees': {'type': 'array', 'items': _GUARANTEE},
    },
    {
        'weight': _integer(1, 1_000_000),
        'queue_limit': _integer(1, 1_000_000),
        'retry_percent': _integer(0, 1_000),
        'state': {'enum': ['active', 'suspended']},
    },
)
_SERVICE = (
    {
        'accounts': {'type': 'array', 'items': _NAME, 'uniqueItems': True},
        'methods': _by_name(_METHOD),
        'objectives': _by_name(_OBJECTIVE),
    },
    {},
)
_RACK = (
    {
        'data_centre': _NAME,
        'workers': _integer(0, 10_000),
        'worker': _object({}, _AMOUNTS | {'slots': _integer(0, 100_000)}),
    },
    {},
)
_OPERATOR = ({'token_sha256': _DIGEST}, {})

_FIELDS_BY_KIND = {
    'accounts': _ACCOUNT,
    'services': _SERVICE,
    'racks': _RACK,
    'operators': _OPERATOR,
}
_TICKET_NUMBER = _integer(1, MAX_NUMBER)

#: A ticket: its number, and at least one kind with the new state of each
#: changed object; ``null`` removes an object.
TICKET: Schema = _object(
    {'number': _TICKET_NUMBER},
    {
        kind: _by_name(_nullable(_object(*fields)))
        for kind, fields in _FIELDS_BY_KIND.items()
    },
) | {'minProperties': 2}

#: The configuration document in the store.
DOCUMENT: Schema = _object(
    {
        'version': _integer(0, MAX_NUMBER),
        'ticket': _integer(0, MAX_NUMBER),
        'floor': _integer(0, MAX_NUMBER),
        'tombstones': {
            'type': 'array',
            'items': _object(
                {
                    'ticket': _TICKET_NUMBER,
                    'kind': {'enum': list(_FIELDS_BY_KIND)},
                    'name': _NAME,
                }
            ),
        },
        'recent_tickets': {
            'type': 'array',
            'items': _object(
                {
                    'number': _TICKET_NUMBER,
                    'sha256': _DIGEST,
                    'version': _integer(1, MAX_NUMBER),
                }
            ),
        },
    }
    | {
        kind: _by_name(
            _object(
                required | optional | {'ticket': _TICKET_NUMBER},
            )
        )
        for kind, (required, optional) in _FIELDS_BY_KIND.items()
    }
)
