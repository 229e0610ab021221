"""Keys and values of claims, journal records and results in the store.

Entries of other versions read these records too: the fields are stored
under their own names.
"""

import base64
import dataclasses
import hashlib
import json
import typing as t

from mulberryloom_core import exceptions
from mulberryloom_core import messages
from mulberryloom_core import shapes

_Record = t.TypeVar('_Record')

CLAIMS_PREFIX = 'claims/'
JOURNAL_PREFIX = 'journal/'
RESULTS_PREFIX = 'results/'


def claim_key(account: str, request_id: str) -> str:
    """Return the store key of a claim."""
    return f'{CLAIMS_PREFIX}{account}/{request_id}'


def journal_key(account: str, request_id: str) -> str:
    """Return the store key of a journal record."""
    return f'{JOURNAL_PREFIX}{account}/{request_id}'


def result_key(account: str, request_id: str) -> str:
    """Return the store key of a result."""
    return f'{RESULTS_PREFIX}{account}/{request_id}'


def keyed_request_id(account: str, idempotency_key: str) -> str:
    """Return the request id derived from an idempotency key.

    Every entry derives the same id, so that a retry with the same key at
    another entry refers to the same request.
    """
    text = f'{account}\0{idempotency_key}'.encode()
    return 'k-' + hashlib.sha256(text).hexdigest()[:32]


def fingerprint(work: messages.Work) -> str:
    """Return a SHA-256 hash of service, method, content type and body.

    Two requests with the same idempotency key but different fingerprints
    are different requests.
    """
    digest = hashlib.sha256()
    for text in (work.service, work.method, work.content_type):
        digest.update(text.encode() + b'\0')
    digest.update(work.body)
    return digest.hexdigest()


@dataclasses.dataclass(frozen=True, slots=True)
class Claim:
    """Names the one agent incarnation that may start a request.

    :param worker: worker of the agent.
    :param incarnation: incarnation of the agent.
    :param attempt: number of the attempt.
    :param entry: entry that made the claim.
    :param entry_incarnation: incarnation of that entry.
    :param fingerprint: hash of the request, see :func:`fingerprint`.
    """

    request_id: str
    worker: str
    incarnation: int
    attempt: int
    entry: str
    entry_incarnation: int
    fingerprint: str

    def encode(self) -> bytes:
        """Return the value in the store."""
        return _encode_json(dataclasses.asdict(self))

    @classmethod
    def decode(cls, value: bytes) -> 'Claim':
        """Parse a value from the store.

        :raises ValueError: if it is no such record.
        """
        return _decode(value, lambda document: cls(**document))


@dataclasses.dataclass(frozen=True, slots=True)
class JournalRecord:
    """An asynchronous request that has been durably accepted.

    :param fingerprint: hash of the request, see :func:`fingerprint`.
    :param accepted_wall_ms: time of acceptance, in milliseconds since the
        Unix epoch.
    """

    work: messages.Work
    fingerprint: str
    accepted_wall_ms: int

    def encode(self) -> bytes:
        """Return the value in the store."""
        document = dataclasses.asdict(self)
        work = document['work']
        work['request_class'] = self.work.request_class.value
        work['demand']['adjacency'] = self.work.demand.adjacency.value
        work['body'] = base64.b64encode(self.work.body).decode()
        return _encode_json(document)

    @classmethod
    def decode(cls, value: bytes) -> 'JournalRecord':
        """Parse a value from the store.

        :raises ValueError: if it is no such record.
        """
        return _decode(value, cls._from_document)

    @classmethod
    def _from_document(cls, document: dict[str, t.Any]) -> 'JournalRecord':
        work = document.pop('work')
        demand = work['demand']
        demand['adjacency'] = shapes.Adjacency(demand['adjacency'])
        work['demand'] = shapes.Demand(**demand)
        work['request_class'] = shapes.RequestClass(work['request_class'])
        work['body'] = base64.b64decode(work['body'])
        return cls(messages.Work(**work), **document)


@dataclasses.dataclass(frozen=True, slots=True)
class ResultRecord:
    """Stored outcome of a request.

    :param fingerprint: hash of the request, see :func:`fingerprint`.
    :param ended_wall_ms: time of the end, in milliseconds since the Unix
        epoch.
    """

    outcome: messages.Outcome
    fingerprint: str
    ended_wall_ms: int

    def encode(self) -> bytes:
        """Return the value in the store."""
        document = dataclasses.asdict(self)
        outcome = document['outcome']
        outcome['body'] = base64.b64encode(self.outcome.body).decode()
        error = self.outcome.error
        if error is not None:
            outcome['error']['kind'] = error.kind.value
            outcome['error']['ran'] = error.ran.value
        return _encode_json(document)

    @classmethod
    def decode(cls, value: bytes) -> 'ResultRecord':
        """Parse a value from the store.

        :raises ValueError: if it is no such record.
        """
        return _decode(value, cls._from_document)

    @classmethod
    def _from_document(cls, document: dict[str, t.Any]) -> 'ResultRecord':
        outcome = document.pop('outcome')
        outcome['body'] = base64.b64decode(outcome['body'])
        error = outcome['error']
        if error is not None:
            error['kind'] = exceptions.ErrorKind(error['kind'])
            error['ran'] = exceptions.Ran(error['ran'])
            outcome['error'] = exceptions.Error(**error)
        return cls(messages.Outcome(**outcome), **document)


def _decode(
    value: bytes, from_document: t.Callable[[dict[str, t.Any]], _Record]
) -> _Record:
    try:
        return from_document(json.loads(value))
    except (AttributeError, LookupError, RecursionError, TypeError) as error:
        raise ValueError(f'invalid record: {error!r}') from error


def _encode_json(document: dict[str, t.Any]) -> bytes:
    text = json.dumps(document, sort_keys=True, separators=(',', ':'))
    return text.encode()
