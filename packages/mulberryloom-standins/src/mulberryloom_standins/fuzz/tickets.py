"""Tickets for whole-system fuzzing."""

import hashlib
import json
import typing as t

ACCOUNTS = ('galway', 'sligo')
_RACK = {
    'data_centre': 'galway-a',
    'workers': 2,
    'worker': {
        'slots': 8,
        'accelerators': 8,
        'processors': 130,
        'memory_mb': 250_000,
    },
}


def first_ticket() -> bytes:
    """Return ticket 1: two accounts, one service, two racks."""
    return _encode(
        {
            'number': 1,
            'accounts': {name: account(name, 1) for name in ACCOUNTS},
            'services': {
                'press': {
                    'accounts': list(ACCOUNTS),
                    'methods': methods(),
                    'objectives': {},
                }
            },
            'racks': {'rack-a': _RACK, 'rack-b': _RACK},
            'operators': {},
        }
    )


def weight_ticket(number: int, accounts: list[str], weight: int) -> bytes:
    """Return a ticket that sets the weight of the given accounts."""
    return _encode(
        {
            'number': number,
            'accounts': {name: account(name, weight) for name in accounts},
        }
    )


def account(name: str, weight: int) -> dict[str, t.Any]:
    """Return a client account that is guaranteed eight accelerators."""
    return {
        'token_sha256': hashlib.sha256(name.encode()).hexdigest(),
        'guarantees': [{'demand': demand(8), 'copies': 1}],
        'weight': weight,
    }


def demand(accelerators: int) -> dict[str, t.Any]:
    """Return a demand; above eight accelerators it spans several workers."""
    return {
        'accelerators': accelerators,
        'adjacency': 'any' if accelerators > 8 else 'worker',
        'processors': max(1, 4 * accelerators),
        'memory_mb': max(256, 1_024 * accelerators),
    }


def methods() -> dict[str, t.Any]:
    """Return the methods of the service ``press``, by name."""
    return {
        'preview': {'request_class': 'urgent', 'demand': demand(0)},
        'audio': {
            'request_class': 'interactive',
            'demand': demand(1),
            'is_idempotent': False,
        },
        'typeset': {
            'request_class': 'batch',
            'demand': demand(16),
            'is_checkpointable': True,
        },
    }


def _encode(document: dict[str, t.Any]) -> bytes:
    return json.dumps(document, sort_keys=True).encode()
