"""Example deployments, read from the directories under ``examples``.

The token of a client account or operator is ``example-`` followed by its
name; the token ``example-bootstrap`` applies the first ticket.
"""

import copy
import dataclasses
import json
import pathlib
import typing as t

BOOTSTRAP_TOKEN = 'example-bootstrap'
#: Accelerators of a gang, which are those of a whole rack.
GANG_ACCELERATORS = 16

JsonObject: t.TypeAlias = dict[str, t.Any]


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerLocation:
    """Name and location of a worker of a deployment."""

    worker: str
    data_centre: str
    rack: str


@dataclasses.dataclass(frozen=True, slots=True)
class Deployment:
    """Settings and first ticket of a deployment.

    :param entry: template of the settings of entries.
    :param agent: template of the settings of agents.
    :param ticket: first ticket, with accounts, service, racks and operators.
    """

    name: str
    entry: JsonObject
    agent: JsonObject
    ticket: JsonObject

    @classmethod
    def from_directory(cls, directory: pathlib.Path) -> 'Deployment':
        """Read ``entry.json``, ``agent.json`` and ``ticket.json``."""
        return cls(
            directory.name,
            *(
                json.loads((directory / f'{part}.json').read_text())
                for part in ('entry', 'agent', 'ticket')
            ),
        )

    @property
    def service(self) -> str:
        """Name of the only service of the deployment."""
        (name,) = self.ticket['services']
        return name

    @property
    def methods_by_name(self) -> dict[str, JsonObject]:
        """Methods of the service as in the ticket."""
        return self.ticket['services'][self.service]['methods']

    @property
    def accounts(self) -> list[str]:
        """Names of the client accounts."""
        return list(self.ticket['accounts'])

    @property
    def data_centres(self) -> list[str]:
        """Names of the data centres without duplicates."""
        racks = self.ticket['racks'].values()
        return list(dict.fromkeys(rack['data_centre'] for rack in racks))

    @property
    def non_idempotent_methods(self) -> frozenset[str]:
        """Names of the methods that are not idempotent."""
        return frozenset(
            name
            for name, method in self.methods_by_name.items()
            if not method.get('is_idempotent', True)
        )

    @property
    def worker_locations(self) -> list[WorkerLocation]:
        """Workers of all racks of the ticket."""
        return [
            WorkerLocation(f'{name}-w{number}', rack['data_centre'], name)
            for name, rack in self.ticket['racks'].items()
            for number in range(1, rack['workers'] + 1)
        ]

    @property
    def worker_capacity(self) -> dict[str, int]:
        """Resources of each worker, by name; equal in all racks."""
        first = next(iter(self.ticket['racks'].values()))
        return first['worker']

    def urgent_method(self) -> str:
        """Return the first method of the request class ``urgent``."""
        return self._find_method(lambda m: m['request_class'] == 'urgent')

    def batch_method(self) -> str:
        """Return the first batch method that is not a gang method."""
        return self._find_method(
            lambda m: m['request_class'] == 'batch' and not _is_gang(m)
        )

    def non_idempotent_method(self) -> str:
        """Return the first method that is not idempotent."""
        return self._find_method(lambda m: not m.get('is_idempotent', True))

    def gang_method(self) -> str:
        """Return the first method whose gang takes a whole rack."""
        return self._find_method(_is_gang)

    def gang_account(self) -> str:
        """Return the first account with a guarantee of a whole rack."""
        for name, account in self.ticket['accounts'].items():
            if any(_is_gang(shape) for shape in account['guarantees']):
                return name
        raise ValueError(
            f'no account is guaranteed {GANG_ACCELERATORS} accelerators, '
            f'found accounts {self.accounts}'
        )

    def entry_settings(self, **changes: t.Any) -> JsonObject:
        """Return a copy of the entry settings with changes."""
        return {**copy.deepcopy(self.entry), **changes}

    def agent_settings(self, **changes: t.Any) -> JsonObject:
        """Return a copy of the agent settings with changes."""
        return {**copy.deepcopy(self.agent), **changes}

    def _find_method(self, is_match: t.Callable[[JsonObject], bool]) -> str:
        for name, method in self.methods_by_name.items():
            if is_match(method):
                return name
        raise ValueError(
            f'service {self.service} has no method of the requested kind, '
            f'only {list(self.methods_by_name)}'
        )


def _is_gang(method_or_guarantee: JsonObject) -> bool:
    return method_or_guarantee['demand']['accelerators'] == GANG_ACCELERATORS


def token_of(name: str) -> str:
    """Return the example token of a client account or operator."""
    return f'example-{name}'
