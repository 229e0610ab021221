"""Settings of the agent and the JSON schema that validates them."""

import dataclasses
import pathlib
import typing as t

from mulberryloom_core import identity
from mulberryloom_core.process import logs
from mulberryloom_core.process import settings as checks
from result import Err
from result import Ok
from result import Result

_ADDRESS = {'type': 'string', 'pattern': r'^[0-9A-Fa-f.:\[\]]+:[0-9]{1,5}$'}
_NAME = {'type': 'string', 'pattern': r'^[A-Za-z0-9._-]{1,100}$'}

ADDRESS_KEYS = ('listen', 'backend_listen', 'platform', 'metrics_listen')

SCHEMA: dict[str, t.Any] = {
    'type': 'object',
    'additionalProperties': False,
    'required': [
        'worker',
        'data_centre',
        'rack',
        'listen',
        'backend_listen',
        'entries',
        'secret',
    ],
    'properties': {
        'worker': _NAME,
        'data_centre': _NAME,
        'rack': _NAME,
        'listen': _ADDRESS,
        'backend_listen': _ADDRESS,
        'entries': {'type': 'array', 'minItems': 1, 'items': _ADDRESS},
        'secret': {'type': 'string', 'minLength': 16},
        'platform': _ADDRESS,
        'metrics_listen': _ADDRESS,
        'backend_connections': {
            'type': 'integer',
            'minimum': 1,
            'maximum': 1_000,
        },
        'grace_ms': {'type': 'integer', 'minimum': 0, 'maximum': 3_600_000},
        'jobs': {
            'type': 'object',
            'additionalProperties': False,
            'required': ['worker', 'entries'],
            'properties': {
                'worker': _ADDRESS,
                'entries': {
                    'type': 'array',
                    'minItems': 1,
                    'items': _ADDRESS,
                },
            },
        },
        **logs.OPTIONS_SCHEMA,
    },
}


@dataclasses.dataclass(frozen=True, slots=True)
class JobSettings:
    """How an agent serves a worker that runs tasks of jobs.

    :param worker: where that worker takes calls.
    :param entries: the entries' addresses for jobs, to start from.
    """

    worker: identity.Address
    entries: tuple[identity.Address, ...]

    @classmethod
    def from_document(cls, document: dict[str, t.Any]) -> 'JobSettings':
        """Build the settings from a document that conforms to the schema."""
        return cls(
            identity.Address.from_text(document['worker']),
            tuple(
                identity.Address.from_text(text)
                for text in document['entries']
            ),
        )


@dataclasses.dataclass(frozen=True, slots=True)
class AgentSettings:
    """Settings of one agent.

    :param listen: address for entries and other agents.
    :param backend_listen: loopback address for the backend server.
    :param entries: addresses of entries to start from.
    :param secret: secret of the deployment, for the handshake.
    :param platform: address of the worker control; ``None`` without.
    :param metrics_listen: another address for the metrics, if wanted.
    :param backend_connections: open connections to the backend server.
    :param grace_ms: time for checkpoints at a stop.
    :param jobs: set when the worker runs tasks of jobs; it serves no
        single requests then.
    """

    worker: str
    data_centre: str
    rack: str
    listen: identity.Address
    backend_listen: identity.Address
    entries: tuple[str, ...]
    secret: bytes = dataclasses.field(repr=False)
    platform: identity.Address | None = None
    metrics_listen: identity.Address | None = None
    backend_connections: int = 60
    grace_ms: int = 30_000
    log_options: logs.LogOptions = logs.LogOptions()
    jobs: JobSettings | None = None

    @classmethod
    def from_document(cls, document: dict[str, t.Any]) -> 'AgentSettings':
        """Build the settings from a document that conforms to the schema."""
        values = dict(document)
        for key in ADDRESS_KEYS:
            if key in values:
                values[key] = identity.Address.from_text(values[key])
        values['entries'] = tuple(values['entries'])
        values['log_options'] = logs.LogOptions(
            values.pop('log_level', 'info'), values.pop('log_sampling', {})
        )
        values['secret'] = values['secret'].encode()
        if 'jobs' in values:
            values['jobs'] = JobSettings.from_document(values['jobs'])
        return cls(**values)


def read(
    path: pathlib.Path,
) -> Result[AgentSettings, list[checks.Problem]]:
    """Read and validate a settings file.

    :return: the settings, or all problems found in the file.
    """
    match checks.read(path, SCHEMA):
        case Err(problems):
            return Err(problems)
        case Ok(document):
            return _with_checked_ports(document)


def _with_checked_ports(
    document: dict[str, t.Any],
) -> Result[AgentSettings, list[checks.Problem]]:
    problems = []
    for path, text in _addresses_by_path(document):
        try:
            identity.Address.from_text(text)
        except ValueError:
            problems.append(
                checks.Problem(
                    f'$.{path}',
                    f'a numeric address and a port below 65536, not {text!r}',
                )
            )
    if problems:
        return Err(problems)
    return Ok(AgentSettings.from_document(document))


def _addresses_by_path(document: dict[str, t.Any]) -> list[tuple[str, str]]:
    addresses = [
        (key, document[key]) for key in ADDRESS_KEYS if key in document
    ]
    entries = enumerate(document['entries'])
    addresses += [(f'entries[{i}]', text) for i, text in entries]
    jobs = document.get('jobs')
    if jobs is not None:
        addresses.append(('jobs.worker', jobs['worker']))
        for i, text in enumerate(jobs['entries']):
            addresses.append((f'jobs.entries[{i}]', text))
    return addresses
