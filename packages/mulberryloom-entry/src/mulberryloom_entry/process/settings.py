"""Settings of the entry process.

"Job" means here a job with steps, which the package ``jobs`` serves.
"""

import dataclasses
import pathlib
import typing as t

from mulberryloom_core.connection import http_types
from mulberryloom_core import identity
from mulberryloom_core.process import logs
from mulberryloom_core.process import settings as core_settings
from result import Err
from result import Ok
from result import Result

_ADDRESS = {
    'type': 'string',
    'pattern': r'^\S+:[0-9]{1,5}$',
    'description': 'numeric address and port, such as 127.0.0.1:7201',
}
_ADDRESS_KEYS = (
    'listen',
    'operators_listen',
    'peers_listen',
    'peers_advertise',
    'metrics_listen',
)
_POSITIVE_INTEGER = {'type': 'integer', 'minimum': 1}
_NON_NEGATIVE_NUMBER = {'type': 'number', 'minimum': 0}

SCHEMA: dict[str, t.Any] = {
    'title': 'Settings of mulberryloom serve',
    'type': 'object',
    'additionalProperties': False,
    'required': [
        'name',
        'region',
        'data_centre',
        'listen',
        'operators_listen',
        'peers_listen',
        'secret',
        'store',
    ],
    'properties': {
        'name': {
            'type': 'string',
            'pattern': '^[a-z0-9][a-z0-9-]{0,62}$',
            'description': 'name of this entry, unique in its region',
        },
        'region': {
            'type': 'string',
            'minLength': 1,
            'description': 'region of this entry',
        },
        'data_centre': {
            'type': 'string',
            'minLength': 1,
            'description': 'data centre of this entry',
        },
        'listen': {**_ADDRESS, 'description': 'where callers connect'},
        'operators_listen': {
            **_ADDRESS,
            'description': 'where operators connect',
        },
        'peers_listen': {
            **_ADDRESS,
            'description': 'where agents and other entries connect',
        },
        'peers_advertise': {
            **_ADDRESS,
            'description': 'address told to peers instead of peers_listen',
        },
        'entries': {
            'type': 'array',
            'items': _ADDRESS,
            'default': [],
            'description': 'peer addresses of other entries to start from',
        },
        'secret': {
            'type': 'string',
            'minLength': 16,
            'description': 'secret that all processes of a deployment share',
        },
        'store': {
            'type': 'array',
            'items': _ADDRESS,
            'minItems': 1,
            'description': "addresses of the platform's store",
        },
        'operator_bootstrap_sha256': {
            'type': 'string',
            'pattern': '^[0-9a-f]{64}$',
            'description': (
                "digest of the first operator's token, in use while the "
                'configuration has no operators'
            ),
        },
        'limits': {
            'type': 'object',
            'additionalProperties': False,
            'default': {},
            'description': "limits of callers' connections",
            'properties': {
                'max_head_bytes': _POSITIVE_INTEGER,
                'max_body_bytes': _POSITIVE_INTEGER,
                'max_connections': _POSITIVE_INTEGER,
                'receive_timeout_ms': _POSITIVE_INTEGER,
                'idle_timeout_ms': _POSITIVE_INTEGER,
            },
        },
        'balancer_notice_ms': {
            'type': 'integer',
            'minimum': 0,
            'default': 1000,
            'description': (
                'time for which a stopping entry still takes requests, '
                'until the balancer has noticed'
            ),
        },
        'policy': {
            'type': 'object',
            'additionalProperties': False,
            'default': {},
            'description': 'weights and bounds of the planner',
            'properties': {
                'completion_weight': _NON_NEGATIVE_NUMBER,
                'fragmentation_weight': _NON_NEGATIVE_NUMBER,
                'longest_gang_wait_ms': _POSITIVE_INTEGER,
                'checkpoint_grace_ms': _POSITIVE_INTEGER,
                'interactive_aging_ms': _POSITIVE_INTEGER,
                'batch_aging_ms': _POSITIVE_INTEGER,
                'is_moving_enabled': {'type': 'boolean'},
            },
        },
        'jobs': {
            'type': 'object',
            'additionalProperties': False,
            'required': ['listen'],
            'description': 'jobs with steps; without it none are taken',
            'properties': {
                'listen': {
                    **_ADDRESS,
                    'description': (
                        'where the agents of job workers and other entries '
                        'connect'
                    ),
                },
                'entries': {
                    'type': 'array',
                    'items': _ADDRESS,
                    'default': [],
                    'description': (
                        "other entries' addresses for jobs, to start from"
                    ),
                },
            },
        },
        'metrics_listen': {
            **_ADDRESS,
            'description': (
                'another address for the metrics, which '
                'operators_listen shows as well'
            ),
        },
        **logs.OPTIONS_SCHEMA,
    },
}


@dataclasses.dataclass(frozen=True, slots=True)
class JobSettings:
    """Settings of the part of an entry that serves jobs.

    :param listen: where agents of job workers and other entries connect.
    :param entries: other entries' addresses for jobs, to start from.
    """

    listen: identity.Address
    entries: tuple[identity.Address, ...] = ()

    @classmethod
    def from_document(cls, document: dict[str, t.Any]) -> 'JobSettings':
        """Build the settings from a document that conforms to the schema."""
        return cls(
            identity.Address.from_text(document['listen']),
            tuple(
                identity.Address.from_text(text)
                for text in document.get('entries', [])
            ),
        )


@dataclasses.dataclass(frozen=True, slots=True)
class EntrySettings:
    """Validated settings of one entry."""

    name: str
    region: str
    data_centre: str
    listen: str
    operators_listen: str
    peers_listen: str
    secret: str
    store: list[str]
    peers_advertise: str = ''
    entries: list[str] = dataclasses.field(default_factory=list)
    operator_bootstrap_sha256: str = ''
    limits: http_types.HttpLimits = http_types.HttpLimits()
    balancer_notice_ms: int = 1_000
    policy: dict[str, t.Any] = dataclasses.field(default_factory=dict)
    metrics_listen: str = ''
    log_options: logs.LogOptions = logs.LogOptions()
    jobs: JobSettings | None = None

    @property
    def advertised_address(self) -> str:
        """Address that peers use to connect to this entry."""
        return self.peers_advertise or self.peers_listen

    @property
    def other_entry_addresses(self) -> list[str]:
        """Configured peer addresses without those of this entry itself."""
        own = (self.peers_listen, self.peers_advertise)
        return [address for address in self.entries if address not in own]

    @property
    def listen_address(self) -> identity.Address:
        """Address of the listener for callers."""
        return identity.Address.from_text(self.listen)

    @property
    def operators_address(self) -> identity.Address:
        """Address of the listener for operators."""
        return identity.Address.from_text(self.operators_listen)

    @property
    def peers_address(self) -> identity.Address:
        """Address of the listener for agents and other entries."""
        return identity.Address.from_text(self.peers_listen)

    @classmethod
    def from_document(cls, document: dict[str, t.Any]) -> 'EntrySettings':
        """Build settings from a document that conforms to the schema."""
        fields = dict(document)
        limits = http_types.HttpLimits(**fields.pop('limits', {}))
        options = logs.LogOptions(
            fields.pop('log_level', 'info'), fields.pop('log_sampling', {})
        )
        if 'jobs' in fields:
            fields['jobs'] = JobSettings.from_document(fields['jobs'])
        return cls(limits=limits, log_options=options, **fields)

    @classmethod
    def from_file(
        cls, path: pathlib.Path
    ) -> Result['EntrySettings', list[core_settings.Problem]]:
        """Read and validate a settings file.

        :return: the settings, or all problems found in the file.
        """
        document = core_settings.read(path, SCHEMA)
        if isinstance(document, Err):
            return document
        problems = _check_ports(document.ok_value)
        if problems:
            return Err(problems)
        return Ok(cls.from_document(document.ok_value))


def _check_ports(
    document: dict[str, t.Any],
) -> list[core_settings.Problem]:
    """Return a problem for each address that cannot be used."""
    texts_by_path = {
        f'$.{key}': document[key] for key in _ADDRESS_KEYS if key in document
    }
    for key in ('entries', 'store'):
        for index, text in enumerate(document.get(key, [])):
            texts_by_path[f'$.{key}[{index}]'] = text
    jobs = document.get('jobs', {})
    if 'listen' in jobs:
        texts_by_path['$.jobs.listen'] = jobs['listen']
    for index, text in enumerate(jobs.get('entries', [])):
        texts_by_path[f'$.jobs.entries[{index}]'] = text
    problems = []
    for path, text in texts_by_path.items():
        try:
            identity.Address.from_text(text)
        except ValueError:
            problems.append(
                core_settings.Problem(
                    path,
                    'a numeric address and a port up to '
                    f'{identity.MAX_PORT}, got {text!r}',
                )
            )
    return problems
